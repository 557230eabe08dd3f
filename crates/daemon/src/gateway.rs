//! The gateway: forwards a statement to the leaseholder of its group and returns the one reply.
//!
//! A gateway holds no database connections. A statement that was not handed over is tried again
//! within its deadline, as long as a takeover of the group can end in time. A statement whose reply
//! was lost is resent only if a second run does no harm (see `is_resendable`); otherwise the caller
//! is told that it may have run.
//!
//! If the leaseholder can't be reached directly, the statement goes through one of the group's
//! standbys, or through another gateway.

use crate::clock::NodeClock;
use crate::log_event;
use crate::member::MemberView;
use crate::peers::LinkError;
use crate::peers::PeerLinks;
use crate::relay_gateways::MAX_RELAY_GATEWAYS;
use crate::relay_gateways::list_relay_gateways;
use crate::statements::links::CallKind;
use crate::statements::links::StatementLinks;
use jsonrpsee_ws_client::WsClient;
use log::Level;
use ragwort_control::CatalogCopy;
use ragwort_control::ClockTime;
use ragwort_policy::IsolationWatch;
use ragwort_policy::RelayPauses;
use ragwort_rpc::PeerApiClient;
use ragwort_types::AccessMode;
use ragwort_types::CustomerContract;
use ragwort_types::CustomerName;
use ragwort_types::DomainName;
use ragwort_types::DoubtCause;
use ragwort_types::GroupName;
use ragwort_types::GroupRecord;
use ragwort_types::KindTerms;
use ragwort_types::MemberRecord;
use ragwort_types::RefusalCause;
use ragwort_types::RepeatRule;
use ragwort_types::RequestMarks;
use ragwort_types::RequestVerdict;
use ragwort_types::ShapeOutcome;
use ragwort_types::ShapeReply;
use ragwort_types::ShapeRequest;
use ragwort_types::StatementId;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use ragwort_types::TransactionStep;
use ragwort_types::VmName;
use smallvec::SmallVec;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// The pause between two attempts to hand a statement over.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(20);

/// How long after a statement's deadline its reply is still awaited. The leaseholder answers by the
/// deadline; this covers the network path back.
const REPLY_GRACE: Duration = Duration::from_millis(250);

/// The part of a latency target that is reserved for the network between caller, gateway and
/// leaseholder, which neither of them can measure: callers are up to 3 ms from their gateway,
/// failure domains 1.5 ms apart.
const NETWORK_ALLOWANCE: Duration = Duration::from_millis(10);

/// The time in which a lost leaseholder is replaced when nothing else fails, in leases. Its lease
/// must end; then the placement is committed and the successor collects the journal, which takes
/// two heartbeats and a round of calls.
const TAKEOVER_LEASES: f64 = 1.5;

/// The time in which a planned handover completes when the next leaseholder answers, in leases. The
/// successor learns of its placement with its next heartbeat, and a lease holds at least three
/// heartbeats.
const HANDOVER_LEASES: f64 = 0.5;

/// Forwards the statements of one VM's callers.
pub struct Gateway {
    clock: NodeClock,
    links: GatewayLinks,
    view: watch::Receiver<MemberView>,
    lease: Duration,
    outages: Mutex<HashMap<GroupName, ClockTime>>,
    /// The outcomes of attempts to reach other gateways while this one has no lease.
    isolation: Mutex<IsolationWatch>,
    /// The pauses for groups whose leaseholder other gateways couldn't reach either.
    relay_pauses: Mutex<RelayPauses>,
}

/// The links from a gateway to other VMs.
#[derive(Clone)]
pub struct GatewayLinks {
    /// The links for remote calls.
    pub peers: PeerLinks,
    /// The links for statements.
    pub statements: Arc<StatementLinks>,
    /// The gateway's VM.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
}

/// The outcome of one attempt to hand a statement over.
enum HandOver {
    /// The leaseholder replied.
    Replied(StatementReply),
    /// No connection to the VM could be opened, so the statement was not handed over.
    Unreachable,
    /// The statement was not handed over, or the VM answered that it has no lease or, as a relay,
    /// that it reaches no leaseholder.
    NotAccepted(RefusalCause),
    /// The VM that the group is placed on answers, but doesn't lead the group yet.
    NotLeading,
    /// The statement was handed over and the reply was lost.
    ReplyLost,
}

/// The VMs through which a group's statements can be handed over.
struct GroupRoute {
    leaseholder: PeerAddresses,
    relays: Vec<PeerAddresses>,
}

/// The addresses on which a VM answers.
#[derive(Clone, Copy)]
struct PeerAddresses {
    calls: SocketAddr,
    statements: Option<SocketAddr>,
}

impl From<&MemberRecord> for PeerAddresses {
    fn from(member: &MemberRecord) -> Self {
        Self {
            calls: member.peer_address,
            statements: member.statement_address,
        }
    }
}

/// The fields that identify a statement in the log.
struct RequestLogFields {
    id: String,
    customer: CustomerName,
    group: GroupName,
}

impl From<&StatementRequest> for RequestLogFields {
    fn from(request: &StatementRequest) -> Self {
        let context = request.context.as_ref();
        let id = context.map(|context| context.caller_id.clone());
        Self {
            id: id.unwrap_or_else(|| request.id.to_string()),
            customer: request.customer.clone(),
            group: request.group.clone(),
        }
    }
}

impl Gateway {
    /// Creates a gateway that looks up contracts and placements in `view`.
    ///
    /// `lease` is the length of a member's lease, which the successor of a lost leaseholder must
    /// wait for.
    pub fn new(
        clock: NodeClock,
        links: GatewayLinks,
        view: watch::Receiver<MemberView>,
        lease: Duration,
    ) -> Self {
        Self {
            clock,
            links,
            view,
            lease,
            outages: Mutex::default(),
            isolation: Mutex::default(),
            relay_pauses: Mutex::default(),
        }
    }

    /// Forwards a statement to its group's leaseholder and returns the reply.
    pub async fn execute(&self, request: StatementRequest) -> StatementReply {
        let started = self.clock.now();
        let log_fields = RequestLogFields::from(&request);
        let reply = self.forward_statement(request, started).await;
        self.log_failure(&log_fields, &reply, started);
        reply
    }

    /// Logs the outcome of a statement that no endpoint answered.
    ///
    /// The leaseholder logs the statement as well if it got there; this line shows what the gateway
    /// knew when it gave up.
    fn log_failure(
        &self,
        log_fields: &RequestLogFields,
        reply: &StatementReply,
        started: ClockTime,
    ) {
        let (outcome, cause) = match &reply.verdict {
            RequestVerdict::Ran(_) => return,
            RequestVerdict::NotRun(refusal) => ("refused", refusal.cause.to_string()),
            RequestVerdict::MayHaveRun(cause) => ("in_doubt", cause.to_string()),
        };
        let view = self.view.borrow();
        let placement = view
            .copy
            .group(&log_fields.group)
            .map(|record| &record.placement);
        log_event!(
            Level::Info,
            "request_failed",
            id = log_fields.id,
            customer = log_fields.customer,
            group = log_fields.group,
            outcome = outcome,
            cause = cause,
            took_ms = self.clock.now().since(started).as_millis(),
            leaseholder = placement.map_or("none", |placement| placement.leaseholder.as_str()),
            epoch = placement.map_or(0, |placement| placement.epoch.0),
            revision = view.copy.revision(),
            lease_held = view.may_serve(self.clock.now()),
        );
    }

    async fn forward_statement(
        &self,
        request: StatementRequest,
        started: ClockTime,
    ) -> StatementReply {
        let view = self.view.borrow().clone();
        let contract = view.copy.contract(&request.customer);
        let terms = contract.and_then(|held| find_terms(&held.contract, &request.marks));
        let terms = match terms {
            Some(terms) => terms,
            None if view.may_serve(started) => {
                return reply_with(&request, RequestVerdict::refused(RefusalCause::Contract, 0));
            }
            // Without a lease the catalog copy may be out of date and lack the contract.
            None => return self.refuse(&request, RefusalCause::NoLease),
        };
        let deadline = started + find_deadline(&terms, &request.marks);
        self.forward_until(request, &terms, started, deadline).await
    }

    /// Forwards a statement to its leaseholder on behalf of a gateway that can't reach it.
    ///
    /// A gateway that is cut off itself refuses with [`RefusalCause::NoLease`], which tells the
    /// asking gateway to try another one; any other refusal means that nobody leads the group.
    pub async fn relay(&self, request: StatementRequest) -> StatementReply {
        let Some(target) = self.find_route(&request.group) else {
            return self.refuse(&request, self.outage_cause());
        };
        let limit = Duration::from_millis(ragwort_types::MAX_DEADLINE_MS);
        match self
            .hand_over(&request, target.leaseholder, limit, false)
            .await
        {
            HandOver::Replied(reply) => reply,
            HandOver::NotAccepted(cause) => self.refuse(&request, cause),
            HandOver::NotLeading | HandOver::Unreachable => {
                self.refuse(&request, self.outage_cause())
            }
            HandOver::ReplyLost => may_have_run_reply(&request),
        }
    }

    /// Returns the reason why no leaseholder can be reached from here.
    fn outage_cause(&self) -> RefusalCause {
        let remaining = self.view.borrow().lease.remaining(self.clock.now());
        match self.may_be_isolated(remaining) {
            true => RefusalCause::NoLease,
            false => RefusalCause::NoLeaseholder,
        }
    }

    /// Says whether several heartbeats in a row went unanswered, so that this VM may be the one
    /// that is cut off.
    fn may_be_isolated(&self, remaining: Duration) -> bool {
        remaining < self.lease / 2
    }

    /// Forwards a request to describe a statement to the group's leaseholder.
    ///
    /// A description changes nothing, so it is requested again until a leaseholder replies or the
    /// deadline passes.
    pub async fn describe(&self, mut request: ShapeRequest) -> ShapeReply {
        let started = self.clock.now();
        let view = self.view.borrow().clone();
        let contract = view.copy.contract(&request.customer);
        let marks = RequestMarks::default();
        let Some(terms) = contract.and_then(|held| find_terms(&held.contract, &marks)) else {
            return shape_reply(&request, ShapeOutcome::refused(RefusalCause::Contract, 0));
        };
        let deadline = started + find_deadline(&terms, &marks);
        loop {
            let now = self.clock.now();
            request.spent_ms = now.since(started).as_millis() as u64;
            let limit = deadline.since(now) + REPLY_GRACE;
            if let Some(reply) = self.try_describe(&request, limit).await {
                return reply;
            }
            if request.transaction.is_some() {
                let lost = ShapeOutcome::refused(RefusalCause::TransactionLost, 0);
                return shape_reply(&request, lost);
            }
            let end = self.record_outage(&request.group, TAKEOVER_LEASES);
            if end >= deadline || end <= self.clock.now() {
                return self.refuse_describe(&request);
            }
            sleep(ATTEMPT_PAUSE).await;
        }
    }

    /// Forwards a request to describe a statement on behalf of a gateway that can't reach the
    /// leaseholder.
    pub async fn relay_describe(&self, mut request: ShapeRequest) -> ShapeReply {
        request.relay = false;
        let limit = Duration::from_millis(ragwort_types::MAX_DEADLINE_MS);
        let reply = match self.find_route(&request.group) {
            Some(target) => self.ask_shape(&request, target.leaseholder, limit).await,
            None => None,
        };
        reply.unwrap_or_else(|| self.refuse_describe(&request))
    }

    async fn try_describe(&self, request: &ShapeRequest, limit: Duration) -> Option<ShapeReply> {
        if !self.view.borrow().may_serve(self.clock.now()) {
            return None;
        }
        let target = self.find_route(&request.group)?;
        if let Some(reply) = self.ask_shape(request, target.leaseholder, limit).await {
            self.end_outage(&request.group);
            return Some(reply);
        }
        let mut relayed = request.clone();
        relayed.relay = true;
        for relay in target.relays {
            if let Some(reply) = self.ask_shape(&relayed, relay, limit).await {
                return Some(reply);
            }
        }
        None
    }

    /// Asks one VM for a statement's shape; `None` if it doesn't lead the group or didn't reply.
    async fn ask_shape(
        &self,
        request: &ShapeRequest,
        peer: PeerAddresses,
        limit: Duration,
    ) -> Option<ShapeReply> {
        let sent = request.clone();
        let call = |client: Arc<WsClient>| async move { client.describe(sent).await };
        let reply = self.links.peers.call(peer.calls, limit, call).await.ok()?;
        let misrouted = matches!(
            &reply.outcome,
            ShapeOutcome::Refused(refusal) if is_misrouted(refusal.cause)
        );
        (reply.id == request.id && !misrouted).then_some(reply)
    }

    fn refuse_describe(&self, request: &ShapeRequest) -> ShapeReply {
        let after = self.retry_after_ms(&request.group);
        let outcome = ShapeOutcome::refused(RefusalCause::NoLeaseholder, after);
        shape_reply(request, outcome)
    }

    /// Cancels a statement at its group's leaseholder; the outcome arrives as its reply.
    pub async fn cancel(&self, group: GroupName, id: StatementId) {
        let Some(target) = self.find_route(&group) else {
            return;
        };
        let call = |client: Arc<WsClient>| async move { client.cancel(group, id).await };
        let _ = self
            .links
            .peers
            .call(target.leaseholder.calls, self.lease, call)
            .await;
    }

    async fn forward_until(
        &self,
        mut request: StatementRequest,
        terms: &KindTerms,
        started: ClockTime,
        deadline: ClockTime,
    ) -> StatementReply {
        let mut sent_before = false;
        loop {
            let now = self.clock.now();
            let limit = deadline.since(now) + REPLY_GRACE;
            request.spent_ms = now.since(started).as_millis() as u64;
            let (cause, leases) = match self.try_once(&request, limit).await {
                HandOver::Replied(reply) => {
                    self.end_outage(&request.group);
                    return reply_to_caller(&request, reply, terms, sent_before);
                }
                HandOver::NotAccepted(cause) => (cause, TAKEOVER_LEASES),
                HandOver::Unreachable => (RefusalCause::NoLeaseholder, TAKEOVER_LEASES),
                HandOver::NotLeading => (RefusalCause::NoLeaseholder, HANDOVER_LEASES),
                HandOver::ReplyLost if is_resendable(&request, terms) => {
                    sent_before = true;
                    (RefusalCause::NoLeaseholder, TAKEOVER_LEASES)
                }
                HandOver::ReplyLost => return may_have_run_reply(&request),
            };
            if let Some(lost) = refuse_lost_transaction(&request) {
                return lost;
            }
            let end = self.record_outage(&request.group, leases);
            if end >= deadline || end <= self.clock.now() {
                // An earlier attempt at a write may have run by now; a read changes nothing.
                if sent_before && terms.access == AccessMode::Write {
                    return may_have_run_reply(&request);
                }
                return self.refuse(&request, cause);
            }
            sleep(ATTEMPT_PAUSE).await;
        }
    }

    async fn try_once(&self, request: &StatementRequest, limit: Duration) -> HandOver {
        let remaining = self.view.borrow().lease.remaining(self.clock.now());
        if self.may_be_isolated(remaining) {
            self.connect_relay_gateways();
        }
        if remaining.is_zero() {
            return self.relay_through_gateways(request, limit).await;
        }
        let Some(target) = self.find_route(&request.group) else {
            return HandOver::NotAccepted(RefusalCause::NoLeaseholder);
        };
        let direct = self
            .hand_over(request, target.leaseholder, limit, false)
            .await;
        let HandOver::Unreachable = direct else {
            return direct;
        };
        // The network path between this VM and the leaseholder may be cut while both run. A standby
        // in another failure domain usually still reaches it, or another gateway does.
        for relay in target.relays {
            let relayed = self.hand_over(request, relay, limit, true).await;
            if !was_not_handed_over(&relayed) {
                return relayed;
            }
        }
        match self.relay_through_gateways(request, limit).await {
            HandOver::NotAccepted(_) => HandOver::Unreachable,
            taken => taken,
        }
    }

    /// Hands a statement to another gateway, which forwards it to the leaseholder.
    ///
    /// A gateway that is cut off from all control VMs and leaseholders, but not from its callers,
    /// would otherwise refuse their statements for as long as that lasts, and the balancer keeps
    /// sending it new callers where most gateways of a failure domain are cut off. The other
    /// gateway uses its own catalog copy, and the leaseholder checks lease and contract, so nothing
    /// depends on this gateway's copy.
    async fn relay_through_gateways(
        &self,
        request: &StatementRequest,
        limit: Duration,
    ) -> HandOver {
        let now = self.clock.now();
        if !self.isolation().may_try(now) {
            return HandOver::NotAccepted(RefusalCause::NoLease);
        }
        if !self.relay_pauses().may_try(now, &request.group) {
            return HandOver::NotAccepted(RefusalCause::NoLeaseholder);
        }
        let mut reached = false;
        for peer in self.find_relay_gateways() {
            let relayed = self.hand_over(request, peer, limit, true).await;
            match relayed {
                HandOver::Unreachable | HandOver::NotAccepted(RefusalCause::NoLease) => {}
                HandOver::NotAccepted(_) | HandOver::NotLeading => reached = true,
                taken => {
                    self.isolation().note_reached();
                    return taken;
                }
            }
        }
        self.record_failed_relay(reached, &request.group)
    }

    /// Records that no other gateway could forward a statement to its leaseholder.
    ///
    /// If one was reached that isn't cut off itself, nobody leads this group, and only its
    /// statements pause before the next attempt. If all statements paused, half of the gateways
    /// would refuse everything for as long as one group has no leaseholder.
    fn record_failed_relay(&self, reached: bool, group: &GroupName) -> HandOver {
        let now = self.clock.now();
        if reached {
            self.isolation().note_reached();
            self.relay_pauses().note_failed_attempt(now, group);
            return HandOver::NotAccepted(RefusalCause::NoLeaseholder);
        }
        self.isolation().note_failed_attempt(now);
        HandOver::NotAccepted(RefusalCause::NoLease)
    }

    /// Opens links to other gateways in advance, so that a statement doesn't wait for a connection.
    fn connect_relay_gateways(&self) {
        let gateways = self.find_relay_gateways();
        for address in gateways.into_iter().filter_map(|peer| peer.statements) {
            self.links.statements.prepare(address);
        }
    }

    fn find_relay_gateways(&self) -> SmallVec<[PeerAddresses; MAX_RELAY_GATEWAYS]> {
        let view = self.view.borrow();
        let members = list_relay_gateways(&view, &self.links.vm, &self.links.domain);
        members.into_iter().map(PeerAddresses::from).collect()
    }

    fn isolation(&self) -> MutexGuard<'_, IsolationWatch> {
        self.isolation
            .lock()
            .expect("no holder of this lock panics")
    }

    fn relay_pauses(&self) -> MutexGuard<'_, RelayPauses> {
        self.relay_pauses
            .lock()
            .expect("no holder of this lock panics")
    }

    /// Says whether all statements of a new session would be refused: this gateway has no lease,
    /// and lately reached no other gateway.
    pub fn is_isolated(&self) -> bool {
        let now = self.clock.now();
        !self.view.borrow().may_serve(now) && self.isolation().is_isolated(now)
    }

    /// Says whether [`is_isolated`](Self::is_isolated) has held for at least `time`.
    pub fn is_isolated_for(&self, time: Duration) -> bool {
        let now = self.clock.now();
        !self.view.borrow().may_serve(now) && self.isolation().is_isolated_for(now, time)
    }

    async fn hand_over(
        &self,
        request: &StatementRequest,
        peer: PeerAddresses,
        limit: Duration,
        relayed: bool,
    ) -> HandOver {
        match self.send(request.clone(), peer, limit, relayed).await {
            Ok(reply) if reply.id != request.id => HandOver::ReplyLost,
            Ok(reply) => match reply.verdict {
                RequestVerdict::NotRun(refusal) if is_misrouted(refusal.cause) => {
                    match refusal.cause {
                        RefusalCause::NoLeaseholder if !relayed => HandOver::NotLeading,
                        cause => HandOver::NotAccepted(cause),
                    }
                }
                _ => HandOver::Replied(reply),
            },
            Err(LinkError::Unreachable | LinkError::Exhausted) => HandOver::Unreachable,
            Err(LinkError::Lost | LinkError::Rejected(_)) => HandOver::ReplyLost,
        }
    }

    async fn send(
        &self,
        request: StatementRequest,
        peer: PeerAddresses,
        limit: Duration,
        relayed: bool,
    ) -> Result<StatementReply, LinkError> {
        let kind = match relayed {
            true => CallKind::Relay,
            false => CallKind::Execute,
        };
        if let Some(address) = peer.statements {
            let links = &self.links.statements;
            return links.call(address, kind, request, limit).await;
        }
        let call = |client: Arc<WsClient>| async move {
            match kind {
                CallKind::Execute => client.execute(request).await,
                CallKind::Relay => client.relay(request).await,
            }
        };
        self.links.peers.call(peer.calls, limit, call).await
    }

    fn find_route(&self, group: &GroupName) -> Option<GroupRoute> {
        let view = self.view.borrow();
        let record: &GroupRecord = view.copy.group(group)?;
        let addresses_of = |vm: &VmName| view.copy.member(vm).map(PeerAddresses::from);
        Some(GroupRoute {
            leaseholder: addresses_of(&record.placement.leaseholder)?,
            relays: record
                .placement
                .standbys
                .iter()
                .filter_map(addresses_of)
                .collect(),
        })
    }

    /// Records that a group has no reachable leaseholder, and returns when the outage should be
    /// over if a replacement takes `leases` leases.
    fn record_outage(&self, group: &GroupName, leases: f64) -> ClockTime {
        let mut outages = self.outages.lock().expect("no holder of this lock panics");
        let since = *outages
            .entry(group.clone())
            .or_insert_with(|| self.clock.now());
        since + self.leaseholder_lease(group).mul_f64(leases)
    }

    /// Returns the length of the lease that a group's leaseholder asks for.
    fn leaseholder_lease(&self, group: &GroupName) -> Duration {
        let view = self.view.borrow();
        let record = view.copy.group(group);
        let member = record.and_then(|record| view.copy.member(&record.placement.leaseholder));
        match member.map(|member| member.lease_ms) {
            None | Some(0) => self.lease,
            Some(asked) => Duration::from_millis(asked),
        }
    }

    fn end_outage(&self, group: &GroupName) {
        let mut outages = self.outages.lock().expect("no holder of this lock panics");
        outages.remove(group);
    }

    /// Refuses a statement and tells the caller to come back when a takeover can be over.
    fn refuse(&self, request: &StatementRequest, cause: RefusalCause) -> StatementReply {
        let after = self.retry_after_ms(&request.group);
        reply_with(request, RequestVerdict::refused(cause, after))
    }

    /// Returns the time until a takeover of the group can be over, in milliseconds.
    fn retry_after_ms(&self, group: &GroupName) -> u64 {
        let end = self.record_outage(group, TAKEOVER_LEASES);
        let left = self.clock.until(end).max(self.leaseholder_lease(group) / 4);
        left.as_millis() as u64
    }
}

/// Returns the terms of the kind that a statement's marks name, or of the default kind.
pub fn find_terms(contract: &CustomerContract, marks: &RequestMarks) -> Option<KindTerms> {
    let kind = marks.kind.as_ref().unwrap_or(&contract.default_kind);
    contract.kind(kind).copied()
}

/// Says whether a statement's caller may work under a contract.
///
/// The gateway has checked the caller's key. A gateway without a lease may not know the newest
/// accounts, so it sends the key's digest along, which is checked here: otherwise such a gateway
/// would go on serving a key that was revoked long ago.
pub fn is_caller_admitted(
    copy: &CatalogCopy,
    contract: &CustomerContract,
    request: &StatementRequest,
) -> bool {
    match (&request.account, &request.proof) {
        (None, _) => contract.callers.is_open(),
        (Some(_), None) => true,
        (Some(account), Some(proof)) => copy.accounts().find_holder(proof) == Some(account),
    }
}

/// Returns the time that a statement may take: the contract's deadline, or the caller's if that is
/// shorter.
pub fn find_deadline(terms: &KindTerms, marks: &RequestMarks) -> Duration {
    let asked = marks.deadline_ms.unwrap_or(u64::MAX);
    Duration::from_millis(terms.deadline_ms.min(asked))
}

/// Returns the moment by which the leaseholder that received a statement at `arrived` should answer
/// it to meet the latency target of its kind; `None` if the kind has none.
pub fn find_latency_target(
    arrived: ClockTime,
    terms: &KindTerms,
    request: &StatementRequest,
) -> Option<ClockTime> {
    let target = Duration::from_millis(terms.target_ms?);
    let spent = Duration::from_millis(request.spent_ms + request.waited_ms) + NETWORK_ALLOWANCE;
    Some(arrived + target.saturating_sub(spent))
}

fn was_not_handed_over(attempt: &HandOver) -> bool {
    matches!(
        attempt,
        HandOver::NotAccepted(_) | HandOver::NotLeading | HandOver::Unreachable
    )
}

fn is_misrouted(cause: RefusalCause) -> bool {
    matches!(cause, RefusalCause::NoLease | RefusalCause::NoLeaseholder)
}

/// Says whether a statement whose reply was lost may be handed over again: it changes nothing, is
/// idempotent, or has a request key by which the next leaseholder recognizes it.
fn is_resendable(request: &StatementRequest, terms: &KindTerms) -> bool {
    request.step == TransactionStep::Single
        && (terms.access == AccessMode::Read
            || terms.repeat == RepeatRule::Idempotent
            || request.marks.key.is_some())
}

/// Refuses a statement within a transaction: the transaction is bound to one connection of one
/// leaseholder and can't move to another.
///
/// The transaction was not committed, so its statements count as not run.
fn refuse_lost_transaction(request: &StatementRequest) -> Option<StatementReply> {
    match request.step {
        TransactionStep::Single | TransactionStep::Begin(_) => None,
        TransactionStep::Within(_) | TransactionStep::Commit(_) | TransactionStep::Rollback(_) => {
            let verdict = RequestVerdict::refused(RefusalCause::TransactionLost, 0);
            Some(reply_with(request, verdict))
        }
    }
}

fn may_have_run_reply(request: &StatementRequest) -> StatementReply {
    let verdict = match request.step {
        // A transaction has no effect before its commit was requested.
        TransactionStep::Begin(_) | TransactionStep::Within(_) | TransactionStep::Rollback(_) => {
            RequestVerdict::refused(RefusalCause::TransactionLost, 0)
        }
        TransactionStep::Single | TransactionStep::Commit(_) => {
            RequestVerdict::MayHaveRun(DoubtCause::LeaseholderLost)
        }
    };
    reply_with(request, verdict)
}

/// Returns the reply that is passed on to the caller.
///
/// A refusal covers only the attempt that it answers. An earlier attempt whose reply was lost may
/// still be on its way and run, so a refused resend of a write doesn't show that the write has not
/// run.
fn reply_to_caller(
    request: &StatementRequest,
    reply: StatementReply,
    terms: &KindTerms,
    sent_before: bool,
) -> StatementReply {
    let refused = matches!(reply.verdict, RequestVerdict::NotRun(_));
    if refused && sent_before && terms.access == AccessMode::Write {
        return may_have_run_reply(request);
    }
    reply
}

/// Creates the reply to a statement that no endpoint answered.
pub fn reply_with(request: &StatementRequest, verdict: RequestVerdict) -> StatementReply {
    StatementReply {
        id: request.id,
        verdict,
        served_by: None,
    }
}

fn shape_reply(request: &ShapeRequest, outcome: ShapeOutcome) -> ShapeReply {
    ShapeReply {
        id: request.id,
        outcome,
    }
}
