//! Membership: renews this VM's lease and keeps its catalog copy up to date.
//!
//! One task sends heartbeats to one control VM and turns to the others when it gets no grant. The
//! lease counts from the moment at which the heartbeat was *sent*, so this VM always believes its
//! lease to be shorter than control does.

use crate::catalog_fetch::CatalogFetch;
use crate::catalog_fetch::FetchContext;
use crate::clock::NodeClock;
use crate::directory::ControlDirectory;
use crate::directory::ControlList;
use crate::heartbeat_calls::HeartbeatAnswer;
use crate::heartbeat_calls::HeartbeatCalls;
use crate::heartbeat_calls::HeartbeatPurpose;
use crate::log_event;
use crate::peers::PeerLinks;
use crate::settings::DaemonSettings;
use log::Level;
use ragwort_control::CatalogCopy;
use ragwort_control::ClockTime;
use ragwort_control::MemberLease;
use ragwort_control::RequestedLease;
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
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;

/// How many control VMs can be tried in vain before the lease ends; each is waited for this part of
/// the lease. A VM that has lost power doesn't answer at all, not even with a refused connection.
const ATTEMPTS_IN_LEASE: u32 = 3;

/// How long a VM without a lease waits for one control VM before it asks the next one as well:
/// several round trips between failure domains, so that usually only one is asked.
const ASK_STAGGER: Duration = Duration::from_millis(50);

/// This VM's catalog copy and lease.
#[derive(Clone)]
pub struct MemberView {
    /// The catalog copy; at revision zero before the first grant.
    pub copy: Arc<CatalogCopy>,
    /// The lease.
    pub lease: MemberLease,
    /// Whether this VM is shutting down.
    pub draining: bool,
    /// The number of changes of the catalog copy that may change which callers are accepted.
    pub admission_changes: u64,
}

impl MemberView {
    /// Says whether this VM may serve now: it has a valid lease, and so a current catalog copy.
    pub fn may_serve(&self, now: ClockTime) -> bool {
        self.lease.is_valid(now)
    }

    /// Returns what a decision made now is based on.
    pub fn standing(&self, now: ClockTime) -> CatalogStanding {
        CatalogStanding {
            revision: self.copy.revision(),
            lease_left: self.lease.remaining(now),
        }
    }

    /// Says whether this view differs from `former` by the end of a lease that is valid in both, at
    /// most.
    pub fn is_renewal_of(&self, former: &Self, now: ClockTime) -> bool {
        Arc::ptr_eq(&self.copy, &former.copy)
            && self.may_serve(now) == former.may_serve(now)
            && self.draining == former.draining
            && self.admission_changes == former.admission_changes
    }

    /// Says whether `vm`, which is this VM, may dispatch and answer for a group now.
    ///
    /// A group's task handles a change of the view in turn with its other events. Without this
    /// check its answers until then would be acknowledged under a placement that has ended, while a
    /// successor leads the group.
    pub fn may_lead(&self, now: ClockTime, vm: &VmName, group: &GroupName) -> bool {
        let record = self.copy.group(group);
        self.may_serve(now) && record.is_none_or(|record| record.placement.leaseholder == *vm)
    }
}

/// What a decision about a caller is based on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CatalogStanding {
    /// The revision of the catalog copy.
    pub revision: CatalogRevision,
    /// The remaining time of the lease; without one, the copy may be out of date.
    pub lease_left: Duration,
}

/// The state of the heartbeat task.
pub struct MemberTask {
    /// The daemon's settings.
    pub settings: Arc<DaemonSettings>,
    /// The process's clock.
    pub clock: NodeClock,
    /// Links to the control VMs.
    pub links: PeerLinks,
    /// The addresses of the control VMs.
    pub directory: ControlDirectory,
    /// The channel on which the view is published.
    pub view: watch::Sender<MemberView>,
    /// The groups whose endpoints announce here and that have no placement.
    pub unplaced: watch::Receiver<Vec<GroupName>>,
    /// Whether the daemon is shutting down.
    pub draining: watch::Receiver<bool>,
    /// Ends the task.
    pub stop: watch::Receiver<bool>,
    /// Determines the length of the lease to ask for.
    pub requested_lease: RequestedLease,
    /// The last grant, while its lease can't begin yet.
    pub pending_grant: Option<PendingGrant>,
}

/// A grant whose lease can't begin before the catalog copy has reached its revision, with the time
/// at which its heartbeat was sent.
pub struct PendingGrant {
    sent: ClockTime,
    grant: LeaseGrant,
}

/// Returns the lease that a process with these settings requests at first.
pub fn initial_requested_lease(settings: &DaemonSettings) -> RequestedLease {
    let timing = &settings.timing;
    RequestedLease::new(
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
    /// Sends heartbeats until `stop` is set, then leaves the membership.
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
        let not_superseded = self.run_heartbeats(id, &mut fetch).await;
        fetch.stop().await;
        not_superseded
    }

    async fn run_heartbeats(&mut self, mut id: MemberId, fetch: &mut CatalogFetch) -> bool {
        let mut calls = HeartbeatCalls::new(self.clock, self.links.clone());
        let mut cursor = 0;
        // The control VM that granted the present lease; `None` once it has failed to renew it.
        let mut attached: Option<SocketAddr> = None;
        let mut ever_attached = false;
        loop {
            let addresses = self.directory.addresses();
            if addresses.is_empty() {
                // No control address is known; new settings may bring one.
                let now = self.clock.now();
                match self.wait_next(None, now, fetch, &mut calls).await {
                    WaitEnd::Stopped => return true,
                    WaitEnd::Due | WaitEnd::Granted(_) => continue,
                }
            }
            attached = attached.filter(|address| addresses.contains(address));
            let started = self.clock.now();
            let mut due = self.next_heartbeat_time(started);
            let answer = match attached {
                Some(address) => self.renew_lease(&id, address, fetch, &mut calls).await,
                None => self.seek_grant(&id, &addresses, cursor, &mut calls).await,
            };
            if let Some(answer) = &answer {
                self.take_grant(answer, fetch);
            }
            let answered = answer.as_ref().map(|answer| answer.address);
            match answer.and_then(|answer| answer.reply) {
                Some(HeartbeatReply::Granted(grant)) => {
                    // Sends the next heartbeat at once, since an operator waits for the
                    // confirmation of the change.
                    if grant.delta.as_ref().is_some_and(must_be_confirmed) {
                        due = started;
                    }
                    log_attachment(&id, attached, answered);
                    attached = answered;
                    ever_attached = true;
                }
                Some(HeartbeatReply::NotYet) => {
                    attached = None;
                    // A control VM that was removed from the voters never learns of a leader again.
                    cursor += 1;
                }
                // The incarnation is taken from the wall clock, which was set back since an earlier
                // process of this VM started. This process holds nothing yet, so it may take a
                // later incarnation.
                Some(HeartbeatReply::Superseded(latest)) if !ever_attached => {
                    log_event!(Level::Warn, "clock_went_back", vm = id.vm, known = latest);
                    id.incarnation = latest.next();
                    // Answers to the former incarnation say that it was superseded.
                    calls = HeartbeatCalls::new(self.clock, self.links.clone());
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
                    if let Some(address) = attached.take() {
                        log_event!(Level::Warn, "heartbeat_lost", vm = id.vm, control = address);
                    }
                    cursor += 1;
                }
            }
            match self.wait_next(attached, due, fetch, &mut calls).await {
                WaitEnd::Stopped => {
                    self.leave(&id).await;
                    return true;
                }
                WaitEnd::Due => {}
                WaitEnd::Granted(address) => {
                    log_attachment(&id, attached, Some(address));
                    attached = Some(address);
                    ever_attached = true;
                }
            }
            if let Some(address) = attached {
                let index = addresses.iter().position(|known| *known == address);
                cursor = index.unwrap_or(cursor);
            }
        }
    }

    fn describe_self(&self, id: &MemberId) -> MemberRecord {
        MemberRecord {
            id: id.clone(),
            domain: self.settings.domain.clone(),
            peer_address: self.settings.listen.peers,
            statement_address: self.settings.listen.statements,
            lease_ms: self.requested_lease.lease().as_millis() as u64,
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

    /// Sends a heartbeat to the control VM that granted the present lease; returns `None` if it
    /// doesn't answer in time, so that another one is asked while the lease is still valid.
    async fn renew_lease(
        &mut self,
        id: &MemberId,
        address: SocketAddr,
        fetch: &CatalogFetch,
        calls: &mut HeartbeatCalls,
    ) -> Option<HeartbeatAnswer> {
        self.send_heartbeat(id, address, HeartbeatPurpose::Renewal, calls);
        let patience = sleep(self.answer_patience());
        tokio::pin!(patience);
        loop {
            tokio::select! {
                answer = calls.next() => {
                    let superseded = matches!(answer.reply, Some(HeartbeatReply::Superseded(_)));
                    if answer.address == address || superseded {
                        return Some(answer);
                    }
                    self.take_grant(&answer, fetch);
                }
                () = &mut patience => return None,
            }
        }
    }

    /// Asks the control VMs one after the other, starting at index `cursor` and [`ASK_STAGGER`]
    /// apart, without waiting for earlier answers.
    ///
    /// After a restart of many VMs some control VMs hang, start late or have no leader yet. Asked
    /// strictly one at a time, they would delay the grant of another one, and with it this VM's
    /// callers.
    async fn seek_grant(
        &mut self,
        id: &MemberId,
        addresses: &[SocketAddr],
        cursor: usize,
        calls: &mut HeartbeatCalls,
    ) -> Option<HeartbeatAnswer> {
        let mut rotated: ControlList = addresses.into();
        rotated.rotate_left(cursor % addresses.len());
        let mut unasked: ControlList = rotated.into_iter().rev().collect();
        unasked.retain(|address| !calls.is_unanswered(*address));
        let asking_time = ASK_STAGGER * u32::try_from(unasked.len()).unwrap_or(u32::MAX);
        let patience = sleep(asking_time + self.answer_patience());
        tokio::pin!(patience);
        let mut turns = interval(ASK_STAGGER);
        turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut asked = ControlList::new();
        let mut fallback = None;
        loop {
            tokio::select! {
                _ = turns.tick(), if !unasked.is_empty() => {
                    if let Some(address) = unasked.pop() {
                        self.send_heartbeat(id, address, HeartbeatPurpose::Search, calls);
                        asked.push(address);
                    }
                }
                answer = calls.next() => {
                    asked.retain(|address| *address != answer.address);
                    match answer.reply {
                        Some(HeartbeatReply::NotYet) => fallback = Some(answer),
                        Some(_) => return Some(answer),
                        None => {}
                    }
                    if unasked.is_empty() && asked.is_empty() {
                        return fallback;
                    }
                }
                () = &mut patience => return fallback,
            }
        }
    }

    fn describe_heartbeat(&mut self, id: &MemberId) -> HeartbeatRequest {
        HeartbeatRequest {
            member: self.describe_self(id),
            revision: self.view.borrow().copy.revision(),
            unplaced_groups: self.unplaced.borrow_and_update().clone(),
        }
    }

    fn send_heartbeat(
        &mut self,
        id: &MemberId,
        address: SocketAddr,
        purpose: HeartbeatPurpose,
        calls: &mut HeartbeatCalls,
    ) {
        let request = self.describe_heartbeat(id);
        // A grant that comes later is of no use, since its lease has ended.
        let limit = self.requested_lease.lease();
        calls.send(address, purpose, request, limit);
    }

    /// Returns how long one control VM is waited for before the next one is asked.
    fn answer_patience(&self) -> Duration {
        self.requested_lease.lease() / ATTEMPTS_IN_LEASE
    }

    /// Applies the grant of an answer, if there is one.
    fn take_grant(&mut self, answer: &HeartbeatAnswer, fetch: &CatalogFetch) {
        let Some(HeartbeatReply::Granted(grant)) = &answer.reply else {
            return;
        };
        let took = self.clock.now().since(answer.sent);
        if took >= self.answer_patience() {
            log_event!(
                Level::Warn,
                "heartbeat_late",
                control = answer.address,
                took_ms = took.as_millis(),
            );
        }
        self.apply_grant(answer.sent, grant);
        if let Some(missing) = self.missing_revision(grant) {
            fetch.ask_for(missing);
        }
        // The time to find a control VM that grants says nothing about the delays of a heartbeat.
        if answer.purpose == HeartbeatPurpose::Renewal {
            self.record_heartbeat_time(answer.sent);
        }
    }

    /// Publishes the new view: the delta always, the lease only if the copy has reached the grant's
    /// revision.
    ///
    /// Control reports a change to an operator as in force once every VM with a lease has it. A VM
    /// whose lease had ended was not counted; if it took a new lease without the change, it would
    /// serve under the replaced contract. So a lease is taken only together with everything up to
    /// the grant's revision.
    fn apply_grant(&mut self, sent: ClockTime, grant: &LeaseGrant) {
        let mut copy = Arc::clone(&self.view.borrow().copy);
        let mut callers = false;
        // A later answer may have come first, with all that this delta holds.
        let delta = grant.delta.as_ref();
        if let Some(delta) = delta.filter(|delta| delta.to >= copy.revision()) {
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
        self.publish(|view| {
            view.copy = copy;
            view.draining = *self.draining.borrow();
            view.admission_changes += u64::from(callers);
            renewed = view.lease.renew(sent, grant, held);
        });
        let grant = LeaseGrant {
            delta: None,
            ..grant.clone()
        };
        let pending_grant = self.pending_grant.as_ref();
        if pending_grant.is_none_or(|pending_grant| pending_grant.sent <= sent) {
            self.pending_grant = (!renewed).then_some(PendingGrant { sent, grant });
        }
    }

    /// Publishes a fetched copy, and renews the lease if a grant waited for it.
    fn apply_copy(&mut self, copy: CatalogCopy) {
        let held = copy.revision();
        if held <= self.view.borrow().copy.revision() {
            return;
        }
        let pending_grant = self.pending_grant.take();
        self.publish(|view| {
            view.copy = Arc::new(copy);
            view.admission_changes += 1;
            if let Some(PendingGrant { sent, grant }) = &pending_grant {
                view.lease.renew(*sent, grant, held);
            }
        });
    }

    /// Changes the published view. Its receivers aren't woken for a renewed lease, of which they
    /// read the end when they need it: each group's task is one of them.
    fn publish(&self, change: impl FnOnce(&mut MemberView)) {
        self.view.send_if_modified(|view| {
            let former = view.clone();
            change(view);
            !view.is_renewal_of(&former, self.clock.now())
        });
    }

    /// Returns the revision of a grant if the copy hasn't reached it.
    fn missing_revision(&self, grant: &LeaseGrant) -> Option<CatalogRevision> {
        let held = self.view.borrow().copy.revision();
        (held < grant.revision).then_some(grant.revision)
    }

    /// Records how long a granted heartbeat took, which may lengthen the lease to ask for.
    fn record_heartbeat_time(&mut self, sent: ClockTime) {
        let took = self.clock.now().since(sent);
        if self.requested_lease.note_heartbeat_time(took) {
            log_event!(
                Level::Info,
                "lease_lengthened",
                took_ms = took.as_millis(),
                lease_ms = self.requested_lease.lease().as_millis(),
            );
        }
    }

    /// Returns when the heartbeat after the one sent at `sent` is due.
    fn next_heartbeat_time(&self, sent: ClockTime) -> ClockTime {
        sent + Duration::from_millis(self.settings.timing.heartbeat_ms)
    }

    /// Waits until the next heartbeat is due, and takes late answers meanwhile.
    async fn wait_next(
        &mut self,
        attached: Option<SocketAddr>,
        due: ClockTime,
        fetch: &mut CatalogFetch,
        calls: &mut HeartbeatCalls,
    ) -> WaitEnd {
        let timing = &self.settings.timing;
        let pause = match attached {
            Some(_) => self.clock.until(due),
            None => Duration::from_millis(timing.heartbeat_ms / 4),
        };
        let pausing = sleep(pause);
        tokio::pin!(pausing);
        let mut end = WaitEnd::Due;
        loop {
            tokio::select! {
                () = &mut pausing => {}
                changed = self.stop.changed() => {
                    if changed.is_err() {
                        return WaitEnd::Stopped;
                    }
                }
                _ = self.draining.changed() => {}
                // The next heartbeat confirms the copy and gets the lease for which it was fetched.
                copy = fetch.next_copy() => self.apply_copy(copy),
                changed = self.unplaced.changed() => {
                    if changed.is_err() {
                        sleep(pause).await;
                    }
                }
                answer = calls.next() => {
                    self.take_grant(&answer, fetch);
                    match &answer.reply {
                        Some(HeartbeatReply::Granted(_)) if attached.is_none() => {
                            end = WaitEnd::Granted(answer.address);
                        }
                        Some(HeartbeatReply::Granted(grant))
                            if grant.delta.as_ref().is_some_and(must_be_confirmed) => {}
                        Some(_) | None => continue,
                    }
                }
            }
            return match *self.stop.borrow() {
                true => WaitEnd::Stopped,
                false => end,
            };
        }
    }

    /// Leaves the membership, so that control needn't wait for this VM's lease to end.
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

/// Why the wait for the next heartbeat has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitEnd {
    /// The next heartbeat is due.
    Due,
    /// The control VM at this address has granted a lease to a member that had found none.
    Granted(SocketAddr),
    /// This VM is to stop.
    Stopped,
}

fn log_attachment(id: &MemberId, former: Option<SocketAddr>, granted: Option<SocketAddr>) {
    if let (None, Some(address)) = (former, granted) {
        log_event!(Level::Info, "lease_granted", vm = id.vm, control = address);
    }
}

/// Says whether control waits for the confirmation of a delta, as for every change but those of
/// members: an operator's change is in force only when all members have confirmed it.
fn must_be_confirmed(delta: &CatalogDelta) -> bool {
    let is_membership_change =
        |item: &CatalogItem| matches!(item, CatalogItem::Member(_) | CatalogItem::MemberGone(_));
    !delta.items.iter().all(is_membership_change)
}
