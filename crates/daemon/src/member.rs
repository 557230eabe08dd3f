//! Membership: keeps this VM's lease alive and its copy of the catalog up to date.
//!
//! One task sends heartbeats to one control VM and moves on to another when it gets no grant. The
//! lease counts from the moment a heartbeat was *sent*, so this VM always believes its lease to be
//! shorter than control does.

use crate::catalog_fetch::CatalogFetch;
use crate::catalog_fetch::FetchContext;
use crate::clock::NodeClock;
use crate::directory::ControlDirectory;
use crate::log_event;
use crate::peers::PeerLinks;
use crate::settings::DaemonSettings;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use log::Level;
use ragwort_control::CatalogCopy;
use ragwort_control::ClockTime;
use ragwort_control::LeasePace;
use ragwort_control::MemberLease;
use ragwort_rpc::PeerApiClient;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogDelta;
use ragwort_types::CatalogItem;
use ragwort_types::CatalogRevision;
use ragwort_types::CatalogScope;
use ragwort_types::CommandReply;
use ragwort_types::CommandRequest;
use ragwort_types::GroupName;
use ragwort_types::HeartbeatReply;
use ragwort_types::HeartbeatRequest;
use ragwort_types::LeaseGrant;
use ragwort_types::MemberId;
use ragwort_types::MemberRecord;
use ragwort_types::MemberTraits;
use ragwort_types::VmIncarnation;
use ragwort_types::VmName;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

/// How many control VMs can be asked in vain before the lease is over. One that has lost power
/// answers nothing at all, not even that nobody listens.
const ATTEMPTS_IN_LEASE: u32 = 3;

/// How long a VM without a lease waits for one control VM before it asks the next one as well: several
/// times the round trip between failure domains, so that one that answers is asked alone.
const ASK_GAP: Duration = Duration::from_millis(50);

/// What this VM knows of the system.
#[derive(Clone)]
pub struct MemberView {
    /// The copy of the catalog; revision zero before the first grant.
    pub copy: Arc<CatalogCopy>,
    /// The lease.
    pub lease: MemberLease,
    /// Whether this VM is shutting down.
    pub draining: bool,
    /// How often it changed which callers are taken.
    pub caller_changes: u64,
}

impl MemberView {
    /// Says whether this VM may serve now: it has a live lease, and so a present catalog.
    pub fn may_serve(&self, now: ClockTime) -> bool {
        self.lease.is_valid(now)
    }

    /// Says whether `vm`, which is this VM, may dispatch and answer for a group now.
    ///
    /// A group's task takes a change of the view in its turn among other events. Its answers until then would
    /// be acknowledged under a placement that is over, beside a successor.
    pub fn may_lead(&self, now: ClockTime, vm: &VmName, group: &GroupName) -> bool {
        let record = self.copy.group(group);
        self.may_serve(now) && record.is_none_or(|record| record.placement.leaseholder == *vm)
    }
}

/// What the heartbeat task works with.
pub struct MemberTask {
    /// The daemon's settings.
    pub settings: Arc<DaemonSettings>,
    /// The process's clock.
    pub clock: NodeClock,
    /// Links to the control VMs.
    pub links: PeerLinks,
    /// Where the control VMs are.
    pub directory: ControlDirectory,
    /// Where the view is published.
    pub view: watch::Sender<MemberView>,
    /// The groups whose endpoints announce here and that have no placement.
    pub unplaced: watch::Receiver<Vec<GroupName>>,
    /// Whether the daemon is shutting down.
    pub draining: watch::Receiver<bool>,
    /// Ends the task.
    pub stop: watch::Receiver<bool>,
    /// The lease to ask for.
    pub pace: LeasePace,
    /// The last grant and the moment at which its heartbeat was sent, until it is taken.
    pub untaken: Option<UntakenGrant>,
}

/// A grant that can't be taken before the copy of the catalog has come up to it.
pub struct UntakenGrant {
    sent: ClockTime,
    grant: LeaseGrant,
}

/// Returns the pace at which a process of these settings begins.
pub fn create_pace(settings: &DaemonSettings) -> LeasePace {
    let timing = &settings.timing;
    LeasePace::new(
        Duration::from_millis(timing.heartbeat_ms),
        Duration::from_millis(timing.lease_ms),
    )
}

/// Creates the identity of this process: the VM's name and the start time.
pub fn create_member_id(settings: &DaemonSettings) -> MemberId {
    let started = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let micros = started.unwrap_or_default().as_micros();
    MemberId {
        vm: settings.vm.clone(),
        incarnation: VmIncarnation(u64::try_from(micros).unwrap_or(u64::MAX)),
    }
}

impl MemberTask {
    /// Sends heartbeats until told to stop, then leaves the membership.
    ///
    /// Returns false if another process has joined under this VM's name.
    pub async fn run(mut self, id: MemberId) -> bool {
        let mut fetch = CatalogFetch::start(FetchContext {
            clock: self.clock,
            links: self.links.clone(),
            directory: self.directory.clone(),
            view: self.view.subscribe(),
            scope: CatalogScope::of(self.describe_traits()),
        });
        let in_order = self.beat(id, &mut fetch).await;
        fetch.stop().await;
        in_order
    }

    async fn beat(&mut self, mut id: MemberId, fetch: &mut CatalogFetch) -> bool {
        let mut turn = 0;
        let mut attached = false;
        let mut ever_attached = false;
        loop {
            let addresses = self.directory.addresses();
            let Some(address) = addresses.get(turn % addresses.len().max(1)).copied() else {
                // Without any address there is nobody to ask; new settings may bring one.
                if !self.wait_next(false, self.clock.now(), fetch).await {
                    return true;
                }
                continue;
            };
            let sent = self.clock.now();
            let mut due = self.next_beat(sent);
            let reply = match attached {
                true => self.send_heartbeat(&id, address).await,
                false => self.seek_grant(&id, &addresses, &mut turn).await,
            };
            if let Some(SentReply { sent, reply }) = &reply
                && let HeartbeatReply::Granted(grant) = reply
            {
                self.take_grant(*sent, grant);
            }
            match reply.map(|answered| answered.reply) {
                Some(HeartbeatReply::Granted(grant)) => {
                    // A change is confirmed at once, so that its operator isn't kept waiting.
                    if grant.delta.as_ref().is_some_and(must_be_confirmed) {
                        due = sent;
                    }
                    if let Some(lacked) = self.lacks(&grant) {
                        fetch.ask_for(lacked);
                    }
                    // A search for a control VM takes long without any pause of this VM's own.
                    if attached {
                        self.note_round(sent);
                    }
                    if !attached {
                        log_event!(Level::Info, "lease_granted", vm = id.vm, control = address);
                    }
                    attached = true;
                    ever_attached = true;
                }
                Some(HeartbeatReply::NotYet) => {
                    attached = false;
                    // A control VM that was removed from the voters knows no leader for good.
                    turn += 1;
                }
                // The wall clock, from which the incarnation was taken, went back since the former
                // process started. This one holds nothing yet, so it may take a later one.
                Some(HeartbeatReply::Superseded(latest)) if !ever_attached => {
                    log_event!(Level::Warn, "clock_went_back", vm = id.vm, known = latest);
                    id.incarnation = latest.next();
                }
                Some(HeartbeatReply::Superseded(_)) => {
                    log_event!(
                        Level::Warn,
                        "superseded",
                        vm = id.vm,
                        incarnation = id.incarnation
                    );
                    self.view.send_modify(|view| view.lease.supersede());
                    return false;
                }
                None => {
                    if attached {
                        log_event!(Level::Warn, "heartbeat_lost", vm = id.vm, control = address);
                    }
                    attached = false;
                    turn += 1;
                }
            }
            if !self.wait_next(attached, due, fetch).await {
                self.leave(&id).await;
                return true;
            }
        }
    }

    fn describe_self(&self, id: &MemberId) -> MemberRecord {
        MemberRecord {
            id: id.clone(),
            domain: self.settings.domain.clone(),
            peer_address: self.settings.listen.peers,
            statement_address: self.settings.listen.statements,
            lease_ms: self.pace.lease().as_millis() as u64,
            draining: *self.draining.borrow(),
            traits: self.describe_traits(),
        }
    }

    fn describe_traits(&self) -> MemberTraits {
        MemberTraits {
            control: self.settings.roles.control,
            leaseholder: self.settings.roles.leaseholder,
            // The peers address was bound before the first heartbeat.
            exclusive: true,
        }
    }

    /// Asks one control VM after the other, from `turn` on, without waiting for those that were asked
    /// before; `turn` becomes the one that grants.
    ///
    /// After a restart of many VMs some control VMs hang, start late or wait for a leader. Asked one at
    /// a time they would keep this VM from the one that could grant, and its callers with it.
    async fn seek_grant(
        &mut self,
        id: &MemberId,
        addresses: &[SocketAddr],
        turn: &mut usize,
    ) -> Option<SentReply> {
        let request = self.describe_heartbeat(id);
        let this = &*self;
        let asked = (0..addresses.len()).map(|step| {
            let place = (*turn + step) % addresses.len();
            let request = request.clone();
            async move {
                sleep(ASK_GAP * u32::try_from(step).unwrap_or(u32::MAX)).await;
                let reply = this.call_heartbeat(request, addresses[place]).await;
                (place, reply)
            }
        });
        let mut asked: FuturesUnordered<_> = asked.collect();
        let mut best = None;
        while let Some((place, reply)) = asked.next().await {
            match reply {
                Some(vain) if vain.reply == HeartbeatReply::NotYet => best = Some(vain),
                Some(decisive) => {
                    *turn = place;
                    return Some(decisive);
                }
                None => {}
            }
        }
        best
    }

    fn describe_heartbeat(&mut self, id: &MemberId) -> HeartbeatRequest {
        HeartbeatRequest {
            member: self.describe_self(id),
            revision: self.view.borrow().copy.revision(),
            unplaced_groups: self.unplaced.borrow_and_update().clone(),
        }
    }

    async fn send_heartbeat(&mut self, id: &MemberId, address: SocketAddr) -> Option<SentReply> {
        let request = self.describe_heartbeat(id);
        self.call_heartbeat(request, address).await
    }

    async fn call_heartbeat(
        &self,
        request: HeartbeatRequest,
        address: SocketAddr,
    ) -> Option<SentReply> {
        let sent = self.clock.now();
        let limit = self.pace.lease() / ATTEMPTS_IN_LEASE;
        let call = |client: Arc<jsonrpsee_ws_client::WsClient>| async move {
            client.heartbeat(request).await
        };
        let calling = timeout(limit, self.links.call(address, limit, call));
        let reply = calling.await.ok()?.ok()?.0;
        Some(SentReply { sent, reply })
    }

    /// Publishes the new view: the delta always, the lease only with it.
    ///
    /// A VM that lacks a change which control has told an operator is in force everywhere would
    /// serve under the replaced contract. It can lack one after its lease ended and it was not
    /// counted, so a lease is only taken together with everything up to the grant's revision.
    fn take_grant(&mut self, sent: ClockTime, grant: &LeaseGrant) {
        let mut copy = Arc::clone(&self.view.borrow().copy);
        let mut callers = false;
        if let Some(delta) = &grant.delta {
            match Arc::make_mut(&mut copy).apply_delta(delta) {
                Ok(changes) => callers = changes.callers,
                Err(error) => {
                    log_event!(Level::Warn, "delta_refused", error = error);
                    return;
                }
            }
        }
        let held = copy.revision();
        let mut renewed = false;
        self.view.send_modify(|view| {
            view.copy = copy;
            view.draining = *self.draining.borrow();
            view.caller_changes += u64::from(callers);
            renewed = view.lease.renew(sent, grant, held);
        });
        let grant = LeaseGrant {
            delta: None,
            ..grant.clone()
        };
        self.untaken = (!renewed).then_some(UntakenGrant { sent, grant });
    }

    /// Publishes a copy that was fetched, with the lease that waited for it.
    fn take_copy(&mut self, copy: CatalogCopy) {
        let held = copy.revision();
        if held <= self.view.borrow().copy.revision() {
            return;
        }
        let untaken = self.untaken.take();
        self.view.send_modify(|view| {
            view.copy = Arc::new(copy);
            view.caller_changes += 1;
            if let Some(UntakenGrant { sent, grant }) = &untaken {
                view.lease.renew(*sent, grant, held);
            }
        });
    }

    /// Returns the revision of a grant that the copy hasn't reached.
    fn lacks(&self, grant: &LeaseGrant) -> Option<CatalogRevision> {
        let held = self.view.borrow().copy.revision();
        (held < grant.revision).then_some(grant.revision)
    }

    /// Learns from the time that a granted heartbeat took.
    fn note_round(&mut self, sent: ClockTime) {
        let took = self.clock.now().since(sent);
        if self.pace.note_round(took) {
            log_event!(
                Level::Info,
                "lease_lengthened",
                took_ms = took.as_millis(),
                lease_ms = self.pace.lease().as_millis(),
            );
        }
    }

    /// Returns when the heartbeat after the one sent at `sent` is due.
    fn next_beat(&self, sent: ClockTime) -> ClockTime {
        sent + Duration::from_millis(self.settings.timing.heartbeat_ms)
    }

    /// Waits for the next heartbeat's time; false if this VM is to stop.
    async fn wait_next(
        &mut self,
        attached: bool,
        due: ClockTime,
        fetch: &mut CatalogFetch,
    ) -> bool {
        let timing = &self.settings.timing;
        let pause = if attached {
            self.clock.until(due)
        } else {
            Duration::from_millis(timing.heartbeat_ms / 4)
        };
        tokio::select! {
            () = sleep(pause) => {}
            changed = self.stop.changed() => {
                if changed.is_err() || *self.stop.borrow() {
                    return false;
                }
            }
            _ = self.draining.changed() => {}
            // The next heartbeat confirms it, and brings the lease that it was fetched for.
            copy = fetch.next_copy() => self.take_copy(copy),
            changed = self.unplaced.changed() => {
                if changed.is_err() {
                    sleep(pause).await;
                }
            }
        }
        !*self.stop.borrow()
    }

    /// Leaves the membership, so that nobody waits for this VM's lease to end.
    async fn leave(&self, id: &MemberId) {
        self.view.send_modify(|view| view.lease.supersede());
        let command = CatalogCommand::RemoveMember(id.clone());
        let limit = Duration::from_millis(self.settings.timing.lease_ms);
        for address in self.directory.addresses() {
            let request = CommandRequest {
                forwarded: false,
                command: command.clone(),
            };
            let call = |client: Arc<jsonrpsee_ws_client::WsClient>| async move {
                client.propose(request).await
            };
            let reply = self.links.call(address, limit, call).await;
            if matches!(reply, Ok(CommandReply::Committed(_))) {
                return;
            }
        }
    }
}

/// A reply and the moment at which its heartbeat was sent, from which its lease counts.
struct SentReply {
    sent: ClockTime,
    reply: HeartbeatReply,
}

/// Says whether control waits for a delta's confirmation: an operator's change is in force only then.
fn must_be_confirmed(delta: &CatalogDelta) -> bool {
    let routine =
        |item: &CatalogItem| matches!(item, CatalogItem::Member(_) | CatalogItem::MemberGone(_));
    !delta.items.iter().all(routine)
}
