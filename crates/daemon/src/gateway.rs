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
use crate::metrics::DaemonMetrics;
use crate::peers::LinkError;
use crate::peers::PeerLinks;
use crate::relay_gateways::RelayGateways;
use crate::statements::links::CallKind;
use crate::statements::links::LinkReadiness;
use crate::statements::links::StatementLinks;
use jsonrpsee_ws_client::WsClient;
use log::Level;
use ragwort_control::CatalogCopy;
use ragwort_control::ClockTime;
use ragwort_policy::MAX_FORWARDED;
use ragwort_policy::OwnLease;
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
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

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

/// The time in which a leaseholder applies a change of a contract that this gateway has applied, in
/// leases: within its next heartbeats.
const CATCH_UP_LEASES: f64 = HANDOVER_LEASES;

/// How long a statement waits for a connection to be opened before it takes another way. A
/// connection is open after two round trips between failure domains, 6 ms; a packet that is lost on
/// the way costs the 50 ms after which another attempt is begun.
pub(crate) const CONNECT_WAIT_LIMIT: Duration = Duration::from_millis(100);

/// Forwards the statements of one VM's callers.
pub struct Gateway {
    pub(crate) clock: NodeClock,
    pub(crate) links: GatewayLinks,
    pub(crate) view: watch::Receiver<MemberView>,
    lease: Duration,
    outages: Mutex<HashMap<GroupName, ClockTime>>,
    /// The gateways through which statements go when this one is cut off.
    pub(crate) relays: RelayGateways,
    /// Limits the statements in flight that this gateway forwards for others.
    forwarding: Semaphore,
    pub(crate) metrics: DaemonMetrics,
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

/// A statement and what happened to it so far.
pub(crate) struct Attempt<'t> {
    pub(crate) request: StatementRequest,
    terms: &'t KindTerms,
    started: ClockTime,
    pub(crate) deadline: ClockTime,
    /// Whether it was handed over earlier and the reply was lost.
    sent_before: bool,
}

impl Attempt<'_> {
    /// Says whether the statement may be handed over again after its reply was lost.
    pub(crate) fn is_resendable(&self) -> bool {
        is_resendable(&self.request, self.terms)
    }

    /// Says whether the statement may go to another VM after this outcome.
    pub(crate) fn may_go_on(&self, outcome: &HandOver) -> bool {
        match outcome {
            HandOver::Unreachable | HandOver::NotAccepted(_) | HandOver::NotLeading => true,
            HandOver::ReplyLost | HandOver::LostBehindRelay => self.is_resendable(),
            HandOver::Replied(_) => false,
        }
    }
}

/// The outcome of one attempt to hand a statement over.
pub(crate) enum HandOver {
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
    /// The statement was handed over to a relay, which lost the leaseholder's reply.
    LostBehindRelay,
}

/// What a gateway knows of a contract that a leaseholder lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ContractStanding {
    /// The catalog copy lacks it too, under a lease.
    Missing,
    /// The catalog copy has it, under a lease: one of the two VMs is behind.
    Held,
    /// Without a lease the catalog copy proves nothing.
    Unknown,
}

/// The VMs through which a group's statements can be handed over.
struct GroupRoute {
    leaseholder: PeerAddresses,
    relays: Vec<PeerAddresses>,
}

/// The addresses on which a VM answers.
#[derive(Clone, Copy)]
pub(crate) struct PeerAddresses {
    calls: SocketAddr,
    pub(crate) statements: Option<SocketAddr>,
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
        let relays = RelayGateways::new(links.vm.clone(), links.domain.clone());
        Self {
            clock,
            links,
            view,
            lease,
            outages: Mutex::default(),
            relays,
            forwarding: Semaphore::new(MAX_FORWARDED),
            metrics: DaemonMetrics::new(),
        }
    }

    /// Replaces the metrics in which forwarded statements are counted.
    pub fn with_metrics(mut self, metrics: DaemonMetrics) -> Self {
        self.metrics = metrics;
        self
    }

    /// Forwards a statement to its group's leaseholder and returns the reply.
    pub async fn execute(&self, request: StatementRequest) -> StatementReply {
        let started = self.clock.now();
        let log_fields = RequestLogFields::from(&request);
        let reply = self.forward_statement(request, started).await;
        self.log_failure(&log_fields, &reply, started);
        reply
    }

    /// Logs a statement that this gateway refused without forwarding it.
    pub(crate) fn log_unforwarded(&self, request: &StatementRequest, reply: &StatementReply) {
        self.log_failure(&RequestLogFields::from(request), reply, self.clock.now());
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
            lease_left_ms = view.lease.remaining(self.clock.now()).as_millis(),
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
    /// asking gateway to try another one; any other refusal means that nobody leads the group. One
    /// that forwards [`MAX_FORWARDED`] statements already refuses with the same cause, so that its
    /// own callers aren't harmed.
    pub async fn relay(&self, request: StatementRequest) -> StatementReply {
        let Ok(_permit) = self.forwarding.try_acquire() else {
            self.metrics.count_relayed(false);
            return self.refuse_relay(&request, RefusalCause::NoLease);
        };
        let reply = self.relay_admitted(&request).await;
        self.metrics.count_relayed(!is_misrouted_reply(&reply));
        reply
    }

    async fn relay_admitted(&self, request: &StatementRequest) -> StatementReply {
        let Some(target) = self.find_route(&request.group) else {
            return self.refuse_relay(request, self.outage_cause());
        };
        // The asking gateway's statement can go to another gateway instead of waiting here.
        let leaseholder = target.leaseholder;
        if self.verify_link(leaseholder).await != LinkReadiness::Ready {
            return self.refuse_relay(request, self.outage_cause());
        }
        let limit = Duration::from_millis(ragwort_types::MAX_DEADLINE_MS);
        match self.hand_over(request, leaseholder, limit, false).await {
            HandOver::Replied(reply) => reply,
            HandOver::NotAccepted(_) | HandOver::NotLeading | HandOver::Unreachable => {
                self.refuse_relay(request, self.outage_cause())
            }
            HandOver::ReplyLost | HandOver::LostBehindRelay => may_have_run_reply(request),
        }
    }

    /// Refuses to forward a statement for another gateway. Unlike [`refuse`](Self::refuse), it
    /// leaves the outages alone that this gateway's own statements have met.
    fn refuse_relay(&self, request: &StatementRequest, cause: RefusalCause) -> StatementReply {
        let after = self.leaseholder_lease(&request.group) / 4;
        let refused = RequestVerdict::refused(cause, after.as_millis() as u64);
        reply_with(request, refused)
    }

    /// Returns the reason why no leaseholder can be reached from here.
    fn outage_cause(&self) -> RefusalCause {
        match self.own_lease() {
            OwnLease::Held => RefusalCause::NoLeaseholder,
            OwnLease::InDoubt | OwnLease::Ended => RefusalCause::NoLease,
        }
    }

    /// Returns the state of the lease. It is in doubt when several heartbeats in a row went
    /// unanswered, so that this VM may be the one that is cut off.
    fn own_lease(&self) -> OwnLease {
        let remaining = self.view.borrow().lease.remaining(self.clock.now());
        if remaining.is_zero() {
            OwnLease::Ended
        } else if remaining < self.lease / 2 {
            OwnLease::InDoubt
        } else {
            OwnLease::Held
        }
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
            return match view.may_serve(started) {
                true => shape_reply(&request, ShapeOutcome::refused(RefusalCause::Contract, 0)),
                false => self.refuse_describe(&request),
            };
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
        let mut relayed = request.clone();
        relayed.relay = true;
        if self.view.borrow().may_serve(self.clock.now()) {
            let target = self.find_route(&request.group)?;
            if let Some(reply) = self.ask_shape(request, target.leaseholder, limit).await {
                self.end_outage(&request.group);
                return Some(reply);
            }
            for standby in target.relays {
                if let Some(reply) = self.ask_shape(&relayed, standby, limit).await {
                    return Some(reply);
                }
            }
        }
        // Other gateways are looked for by statements; a description uses those that they found.
        for relay in self.find_working_relays() {
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
        request: StatementRequest,
        terms: &KindTerms,
        started: ClockTime,
        deadline: ClockTime,
    ) -> StatementReply {
        let mut attempt = Attempt {
            request,
            terms,
            started,
            deadline,
            sent_before: false,
        };
        let mut doubted_since = None;
        loop {
            let outcome = self.try_once(&mut attempt).await;
            let request = &attempt.request;
            let sent_before = attempt.sent_before;
            let (cause, leases) = match outcome {
                HandOver::Replied(reply) => {
                    self.end_outage(&request.group);
                    let standing = match lacks_contract(&reply) && !sent_before {
                        true => self.find_contract_standing(request),
                        false => ContractStanding::Missing,
                    };
                    match standing {
                        ContractStanding::Missing => {
                            return reply_to_caller(request, reply, terms, sent_before);
                        }
                        ContractStanding::Unknown => {
                            return self.refuse_doubted(request, RefusalCause::NoLease);
                        }
                        ContractStanding::Held => {}
                    }
                    let since = *doubted_since.get_or_insert_with(|| self.clock.now());
                    if !self.may_ask_again(request, since, deadline) {
                        return self.refuse_doubted(request, RefusalCause::NoLeaseholder);
                    }
                    sleep(ATTEMPT_PAUSE).await;
                    continue;
                }
                HandOver::NotAccepted(cause) => (cause, TAKEOVER_LEASES),
                HandOver::Unreachable => (RefusalCause::NoLeaseholder, TAKEOVER_LEASES),
                HandOver::NotLeading => (RefusalCause::NoLeaseholder, HANDOVER_LEASES),
                HandOver::ReplyLost | HandOver::LostBehindRelay if attempt.is_resendable() => {
                    (RefusalCause::NoLeaseholder, TAKEOVER_LEASES)
                }
                HandOver::ReplyLost | HandOver::LostBehindRelay => {
                    return may_have_run_reply(request);
                }
            };
            if let Some(lost) = refuse_lost_transaction(request) {
                return lost;
            }
            let end = self.record_outage(&request.group, leases);
            if end >= deadline || end <= self.clock.now() {
                // An earlier attempt at a write may have run by now; a read changes nothing.
                if sent_before && terms.access == AccessMode::Write {
                    return may_have_run_reply(request);
                }
                return self.refuse(request, cause);
            }
            sleep(ATTEMPT_PAUSE).await;
        }
    }

    /// Returns what this gateway knows of the contract that a leaseholder lacks for a statement.
    ///
    /// The group to which the statement was sent comes from this gateway's catalog copy, and the
    /// contract may have moved to another group. So the leaseholder's answer alone doesn't show that
    /// the database doesn't exist.
    fn find_contract_standing(&self, request: &StatementRequest) -> ContractStanding {
        let view = self.view.borrow();
        if !view.may_serve(self.clock.now()) {
            return ContractStanding::Unknown;
        }
        let contracts = view.copy.contract_table();
        let held = contracts.get_for_group(&request.customer, &request.group);
        let terms = held.and_then(|held| find_terms(&held.contract, &request.marks));
        match terms {
            Some(_) => ContractStanding::Held,
            None => ContractStanding::Missing,
        }
    }

    /// Returns whether a statement that its leaseholder refused for want of a contract may be sent
    /// again: one of a transaction may not, and the leaseholder must have time to catch up.
    fn may_ask_again(
        &self,
        request: &StatementRequest,
        since: ClockTime,
        deadline: ClockTime,
    ) -> bool {
        let opens = matches!(
            request.step,
            TransactionStep::Single | TransactionStep::Begin(_)
        );
        let limit = self
            .leaseholder_lease(&request.group)
            .mul_f64(CATCH_UP_LEASES);
        opens && self.clock.now() < deadline.min(since + limit)
    }

    /// Refuses a statement whose contract only one of this gateway and the leaseholder has.
    fn refuse_doubted(&self, request: &StatementRequest, cause: RefusalCause) -> StatementReply {
        let after = self.leaseholder_lease(&request.group) / 4;
        let refused = RequestVerdict::refused(cause, after.as_millis() as u64);
        reply_with(request, refused)
    }

    async fn try_once(&self, attempt: &mut Attempt<'_>) -> HandOver {
        let lease = self.own_lease();
        self.relays.note_lease(lease);
        if lease != OwnLease::Held {
            self.connect_relay_gateways(lease);
        }
        if lease == OwnLease::Ended {
            return self.relay_through_gateways(attempt, lease).await;
        }
        let Some(target) = self.find_route(&attempt.request.group) else {
            return HandOver::NotAccepted(RefusalCause::NoLeaseholder);
        };
        let leaseholder = target.leaseholder;
        let in_doubt = lease != OwnLease::Held || self.links.statements.saw_silence();
        let readiness = match in_doubt {
            true => self.verify_link(leaseholder).await,
            false => self.check_link(leaseholder, CONNECT_WAIT_LIMIT).await,
        };
        let direct = match readiness {
            LinkReadiness::Pending => HandOver::Unreachable,
            LinkReadiness::Ready | LinkReadiness::Down => {
                self.hand_over_attempt(attempt, leaseholder, false).await
            }
        };
        match direct {
            HandOver::Unreachable => {}
            // Where the link was given up, other ways may be open long before a takeover is over.
            HandOver::ReplyLost
                if attempt.is_resendable()
                    && self.clock.now() < attempt.deadline
                    && self.check_link(leaseholder, Duration::ZERO).await
                        != LinkReadiness::Ready => {}
            taken => return taken,
        }
        let detour = self.try_detours(attempt, &target.relays, lease).await;
        match detour {
            HandOver::Unreachable | HandOver::NotAccepted(_) | HandOver::NotLeading => {}
            taken => return taken,
        }
        if readiness != LinkReadiness::Pending {
            return direct;
        }
        self.await_leaseholder(attempt, leaseholder).await
    }

    /// Hands a statement to the group's standbys, then to other gateways.
    ///
    /// The network path between this VM and the leaseholder may be cut while both run. A standby in
    /// another failure domain usually still reaches it, or another gateway does.
    async fn try_detours(
        &self,
        attempt: &mut Attempt<'_>,
        standbys: &[PeerAddresses],
        lease: OwnLease,
    ) -> HandOver {
        for address in standbys.iter().filter_map(|standby| standby.statements) {
            self.links.statements.prepare(address, true);
        }
        self.connect_relay_gateways(lease);
        for standby in standbys {
            if self.verify_link(*standby).await == LinkReadiness::Pending {
                continue;
            }
            let relayed = self.hand_over_attempt(attempt, *standby, true).await;
            if !attempt.may_go_on(&relayed) {
                return relayed;
            }
        }
        self.relay_through_gateways(attempt, lease).await
    }

    /// Waits until a pending link to the leaseholder is open or given up, and hands the statement
    /// over if it is open.
    async fn await_leaseholder(
        &self,
        attempt: &mut Attempt<'_>,
        leaseholder: PeerAddresses,
    ) -> HandOver {
        let Some(address) = leaseholder.statements else {
            return HandOver::Unreachable;
        };
        let links = &self.links.statements;
        let waiting = async {
            match links.check_readiness(address, true, None).await {
                LinkReadiness::Ready => links.verify(address).await,
                readiness => readiness,
            }
        };
        match timeout(self.clock.until(attempt.deadline), waiting).await {
            Ok(LinkReadiness::Ready) => self.hand_over_attempt(attempt, leaseholder, false).await,
            Ok(LinkReadiness::Pending | LinkReadiness::Down) | Err(_) => HandOver::Unreachable,
        }
    }

    /// Returns whether a statement to a VM would be sent now. Remote calls aren't known to wait.
    async fn check_link(&self, peer: PeerAddresses, wait_limit: Duration) -> LinkReadiness {
        match peer.statements {
            None => LinkReadiness::Ready,
            Some(address) => {
                let links = &self.links.statements;
                links.check_readiness(address, true, Some(wait_limit)).await
            }
        }
    }

    /// Returns whether a statement to a VM would be sent now and the VM has shown a sign of life
    /// lately.
    ///
    /// An idle link stays open when its other side is cut off. A write that is sent on it ends in
    /// doubt, while it could have gone another way.
    async fn verify_link(&self, peer: PeerAddresses) -> LinkReadiness {
        let readiness = self.check_link(peer, CONNECT_WAIT_LIMIT).await;
        match (readiness, peer.statements) {
            (LinkReadiness::Ready, Some(address)) => self.links.statements.verify(address).await,
            (readiness, _) => readiness,
        }
    }

    /// Says whether all statements of a new session would be refused: this gateway has no lease,
    /// and all gateways through which it could forward have failed lately.
    pub fn is_isolated(&self) -> bool {
        let now = self.clock.now();
        !self.view.borrow().may_serve(now) && self.relays.is_isolated(now)
    }

    /// Says whether [`is_isolated`](Self::is_isolated) has held for at least `time`.
    pub fn is_isolated_for(&self, time: Duration) -> bool {
        let now = self.clock.now();
        !self.view.borrow().may_serve(now) && self.relays.is_isolated_for(now, time)
    }

    /// Hands a statement to a VM with the time that it has left, and records whether its reply was
    /// lost.
    pub(crate) async fn hand_over_attempt(
        &self,
        attempt: &mut Attempt<'_>,
        peer: PeerAddresses,
        relayed: bool,
    ) -> HandOver {
        let now = self.clock.now();
        let limit = attempt.deadline.since(now) + REPLY_GRACE;
        attempt.request.spent_ms = now.since(attempt.started).as_millis() as u64;
        let outcome = self.hand_over(&attempt.request, peer, limit, relayed).await;
        if matches!(outcome, HandOver::ReplyLost | HandOver::LostBehindRelay) {
            attempt.sent_before = true;
        }
        outcome
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
                RequestVerdict::MayHaveRun(DoubtCause::LeaseholderLost) if relayed => {
                    HandOver::LostBehindRelay
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

    /// Returns the addresses of a member.
    pub(crate) fn find_member(&self, vm: &VmName) -> Option<PeerAddresses> {
        let view = self.view.borrow();
        view.copy.member(vm).map(PeerAddresses::from)
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

fn lacks_contract(reply: &StatementReply) -> bool {
    matches!(&reply.verdict, RequestVerdict::NotRun(refusal) if refusal.cause == RefusalCause::Contract)
}

fn is_misrouted_reply(reply: &StatementReply) -> bool {
    matches!(&reply.verdict, RequestVerdict::NotRun(refusal) if is_misrouted(refusal.cause))
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
