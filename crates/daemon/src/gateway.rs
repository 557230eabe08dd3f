//! The gateway: finds the leaseholder of a statement's group and brings back its one reply.
//!
//! A gateway holds no database connection. What it decides is whether a statement that could not
//! be handed over is worth another attempt within its deadline, and what may be claimed of a
//! statement whose reply was lost.

use crate::clock::NodeClock;
use crate::detours::MOST_DETOURS;
use crate::detours::list_detours;
use crate::log_event;
use crate::member::MemberView;
use crate::peers::LinkError;
use crate::peers::PeerLinks;
use crate::statements::links::CallSort;
use crate::statements::links::StatementLinks;
use jsonrpsee_ws_client::WsClient;
use log::Level;
use ragwort_control::CatalogCopy;
use ragwort_control::ClockTime;
use ragwort_policy::DetourPauses;
use ragwort_policy::IsolationWatch;
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

/// What a leaseholder's reply may take beyond the statement's deadline. The leaseholder answers by
/// the deadline itself; the grace covers the way back.
const REPLY_GRACE: Duration = Duration::from_millis(250);

/// What of a target is left for the ways between caller, gateway and leaseholder, which neither of
/// them can measure: callers are up to 3 ms from their gateway, failure domains 1.5 ms apart.
const WAY_BACK: Duration = Duration::from_millis(10);

/// How a group's leaseholder is replaced after it is lost: its lease must end, then the placement
/// is committed and the successor collects the journal. Two heartbeats and a round of calls beyond
/// the lease is what that takes when nothing else fails.
const TAKEOVER_LEASES: f64 = 1.5;

/// The same when the group is handed over and its next leaseholder answers: that one learns of its
/// placement with its next heartbeat, of which a lease holds three or more.
const HANDOVER_LEASES: f64 = 0.5;

/// A statement's way through one gateway.
pub struct Gateway {
    clock: NodeClock,
    links: GatewayLinks,
    view: watch::Receiver<MemberView>,
    lease: Duration,
    outages: Mutex<HashMap<GroupName, ClockTime>>,
    /// What is known of this gateway's reach while it has no lease.
    isolation: Mutex<IsolationWatch>,
    /// The groups to which other gateways found no way either.
    detour_pauses: Mutex<DetourPauses>,
}

/// The ways from a gateway to other VMs.
#[derive(Clone)]
pub struct GatewayLinks {
    /// Remote calls.
    pub peers: PeerLinks,
    /// Statements.
    pub statements: Arc<StatementLinks>,
    /// The VM whose links these are.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
}

/// How one attempt to hand a statement over ended.
enum HandOver {
    /// The leaseholder replied.
    Replied(StatementReply),
    /// No connection to the VM could be had, so that the statement was not handed over.
    OutOfReach,
    /// The statement was not handed over, or the other side said that it did not take it.
    NotTaken(RefusalCause),
    /// The VM that is to lead the group answers and doesn't lead it yet.
    NotLeading,
    /// The statement was handed over and the reply was lost.
    ReplyLost,
}

/// Which VMs to hand a statement to.
struct RouteTarget {
    leaseholder: PeerPlace,
    relays: Vec<PeerPlace>,
}

/// Where a VM answers.
#[derive(Clone, Copy)]
struct PeerPlace {
    calls: SocketAddr,
    statements: Option<SocketAddr>,
}

impl From<&MemberRecord> for PeerPlace {
    fn from(member: &MemberRecord) -> Self {
        Self {
            calls: member.peer_address,
            statements: member.statement_address,
        }
    }
}

/// What a statement is called in the log.
struct RequestNames {
    id: String,
    customer: CustomerName,
    group: GroupName,
}

impl From<&StatementRequest> for RequestNames {
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
    /// `lease` is the length of a member's lease: the time that a lost leaseholder's successor
    /// must wait.
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
            detour_pauses: Mutex::default(),
        }
    }

    /// Brings a statement to its group's leaseholder and returns the reply.
    pub async fn execute(&self, request: StatementRequest) -> StatementReply {
        let started = self.clock.now();
        let known = RequestNames::from(&request);
        let reply = self.bring(request, started).await;
        self.log_failure(&known, &reply, started);
        reply
    }

    /// Logs what became of a statement that has no answer of an endpoint.
    ///
    /// Its leaseholder has its own line, if the statement got there; this one says what the gateway
    /// knew when it gave up.
    fn log_failure(&self, known: &RequestNames, reply: &StatementReply, started: ClockTime) {
        let (outcome, cause) = match &reply.verdict {
            RequestVerdict::Ran(_) => return,
            RequestVerdict::NotRun(refusal) => ("refused", refusal.cause.to_string()),
            RequestVerdict::MayHaveRun(cause) => ("in_doubt", cause.to_string()),
        };
        let view = self.view.borrow();
        let placement = view
            .copy
            .group(&known.group)
            .map(|record| &record.placement);
        log_event!(
            Level::Info,
            "request_failed",
            id = known.id,
            customer = known.customer,
            group = known.group,
            outcome = outcome,
            cause = cause,
            took_ms = self.clock.now().since(started).as_millis(),
            leaseholder = placement.map_or("none", |placement| placement.leaseholder.as_str()),
            epoch = placement.map_or(0, |placement| placement.epoch.0),
            revision = view.copy.revision(),
            lease_held = view.may_serve(self.clock.now()),
        );
    }

    async fn bring(&self, request: StatementRequest, started: ClockTime) -> StatementReply {
        let view = self.view.borrow().clone();
        let contract = view.copy.contract(&request.customer);
        let terms = contract.and_then(|held| find_terms(&held.contract, &request.marks));
        let terms = match terms {
            Some(terms) => terms,
            None if view.may_serve(started) => {
                return reply_with(&request, RequestVerdict::refused(RefusalCause::Contract, 0));
            }
            // The contract may have come since this copy of the catalog.
            None => return self.refuse(&request, RefusalCause::NoLease),
        };
        let deadline = started + find_deadline(&terms, &request.marks);
        self.attempt_until(request, &terms, started, deadline).await
    }

    /// Passes a statement on to its leaseholder for a gateway that can't reach it.
    ///
    /// A gateway that is cut off itself says so, which tells the asker to try another one; any other
    /// refusal tells that nobody leads the group.
    pub async fn relay(&self, request: StatementRequest) -> StatementReply {
        let Some(target) = self.find_target(&request.group) else {
            return self.refuse(&request, self.name_outage());
        };
        let limit = Duration::from_millis(ragwort_types::LONGEST_DEADLINE_MS);
        match self
            .hand_over(&request, target.leaseholder, limit, false)
            .await
        {
            HandOver::Replied(reply) => reply,
            HandOver::NotTaken(cause) => self.refuse(&request, cause),
            HandOver::NotLeading | HandOver::OutOfReach => {
                self.refuse(&request, self.name_outage())
            }
            HandOver::ReplyLost => doubt(&request),
        }
    }

    /// Says why no leaseholder can be reached from here.
    fn name_outage(&self) -> RefusalCause {
        let remaining = self.view.borrow().lease.remaining(self.clock.now());
        match self.is_lonely(remaining) {
            true => RefusalCause::NoLease,
            false => RefusalCause::NoLeaseholder,
        }
    }

    /// Says whether several heartbeats in a row had no answer: it may be this VM that is cut off.
    fn is_lonely(&self, remaining: Duration) -> bool {
        remaining < self.lease / 2
    }

    /// Brings a statement that is to be described to its group's leaseholder.
    ///
    /// A description changes nothing, so it is asked for again within its deadline until a
    /// leaseholder replies.
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
            let end = self.note_outage(&request.group, TAKEOVER_LEASES);
            if end >= deadline || end <= self.clock.now() {
                return self.refuse_describe(&request);
            }
            sleep(ATTEMPT_PAUSE).await;
        }
    }

    /// Passes a description on to its leaseholder for a gateway that can't reach it.
    pub async fn relay_describe(&self, mut request: ShapeRequest) -> ShapeReply {
        request.relay = false;
        let limit = Duration::from_millis(ragwort_types::LONGEST_DEADLINE_MS);
        let reply = match self.find_target(&request.group) {
            Some(target) => self.ask_shape(&request, target.leaseholder, limit).await,
            None => None,
        };
        reply.unwrap_or_else(|| self.refuse_describe(&request))
    }

    async fn try_describe(&self, request: &ShapeRequest, limit: Duration) -> Option<ShapeReply> {
        if !self.view.borrow().may_serve(self.clock.now()) {
            return None;
        }
        let target = self.find_target(&request.group)?;
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

    /// Asks one VM for a statement's shape; `None` if it doesn't lead the group, or no reply came.
    async fn ask_shape(
        &self,
        request: &ShapeRequest,
        place: PeerPlace,
        limit: Duration,
    ) -> Option<ShapeReply> {
        let sent = request.clone();
        let call = |client: Arc<WsClient>| async move { client.describe(sent).await };
        let reply = self.links.peers.call(place.calls, limit, call).await.ok()?;
        let misrouted = matches!(
            &reply.outcome,
            ShapeOutcome::Refused(refusal) if is_misrouted(refusal.cause)
        );
        (reply.id == request.id && !misrouted).then_some(reply)
    }

    fn refuse_describe(&self, request: &ShapeRequest) -> ShapeReply {
        let after = self.return_after(&request.group);
        let outcome = ShapeOutcome::refused(RefusalCause::NoLeaseholder, after);
        shape_reply(request, outcome)
    }

    /// Cancels a statement at its group's leaseholder; the outcome arrives as its reply.
    pub async fn cancel(&self, group: GroupName, id: StatementId) {
        let Some(target) = self.find_target(&group) else {
            return;
        };
        let call = |client: Arc<WsClient>| async move { client.cancel(group, id).await };
        let _ = self
            .links
            .peers
            .call(target.leaseholder.calls, self.lease, call)
            .await;
    }

    async fn attempt_until(
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
                    return settle_reply(&request, reply, terms, sent_before);
                }
                HandOver::NotTaken(cause) => (cause, TAKEOVER_LEASES),
                HandOver::OutOfReach => (RefusalCause::NoLeaseholder, TAKEOVER_LEASES),
                HandOver::NotLeading => (RefusalCause::NoLeaseholder, HANDOVER_LEASES),
                HandOver::ReplyLost if is_resendable(&request, terms) => {
                    sent_before = true;
                    (RefusalCause::NoLeaseholder, TAKEOVER_LEASES)
                }
                HandOver::ReplyLost => return doubt(&request),
            };
            if let Some(lost) = lose_transaction(&request) {
                return lost;
            }
            let end = self.note_outage(&request.group, leases);
            if end >= deadline || end <= self.clock.now() {
                // A read leaves nothing behind, and an idempotent write may have run by now.
                if sent_before && terms.access == AccessMode::Write {
                    return doubt(&request);
                }
                return self.refuse(&request, cause);
            }
            sleep(ATTEMPT_PAUSE).await;
        }
    }

    async fn try_once(&self, request: &StatementRequest, limit: Duration) -> HandOver {
        let remaining = self.view.borrow().lease.remaining(self.clock.now());
        if self.is_lonely(remaining) {
            self.prepare_detours();
        }
        if remaining.is_zero() {
            return self.try_detours(request, limit).await;
        }
        let Some(target) = self.find_target(&request.group) else {
            return HandOver::NotTaken(RefusalCause::NoLeaseholder);
        };
        let direct = self
            .hand_over(request, target.leaseholder, limit, false)
            .await;
        let HandOver::OutOfReach = direct else {
            return direct;
        };
        // The path between this VM and the leaseholder may be cut while both live: a standby in
        // another failure domain usually still reaches it, or another gateway does.
        for relay in target.relays {
            let relayed = self.hand_over(request, relay, limit, true).await;
            if !is_untaken(&relayed) {
                return relayed;
            }
        }
        match self.try_detours(request, limit).await {
            HandOver::NotTaken(_) => HandOver::OutOfReach,
            taken => taken,
        }
    }

    /// Hands a statement to another gateway, which brings it to the leaseholder.
    ///
    /// A gateway that is cut off from every control VM and leaseholder, but not from its callers, would
    /// refuse them for as long, and the balancer goes on sending new ones where most gateways of a
    /// failure domain are cut off. The other gateway goes by its own copy of the catalog, and the
    /// leaseholder checks lease and contract, so nothing rests on what this one knows.
    async fn try_detours(&self, request: &StatementRequest, limit: Duration) -> HandOver {
        let now = self.clock.now();
        if !self.isolation().may_try(now) {
            return HandOver::NotTaken(RefusalCause::NoLease);
        }
        if !self.detour_pauses().may_try(now, &request.group) {
            return HandOver::NotTaken(RefusalCause::NoLeaseholder);
        }
        let mut reached = false;
        for place in self.find_detours() {
            let relayed = self.hand_over(request, place, limit, true).await;
            match relayed {
                HandOver::OutOfReach | HandOver::NotTaken(RefusalCause::NoLease) => {}
                HandOver::NotTaken(_) | HandOver::NotLeading => reached = true,
                taken => {
                    self.isolation().note_reached();
                    return taken;
                }
            }
        }
        self.note_vain_detour(reached, &request.group)
    }

    /// Notes that no other gateway could bring a statement to its leaseholder.
    ///
    /// Where one was reached that isn't cut off, nobody leads this group, and its statements alone wait
    /// with the next try. If all waited, half of the gateways would refuse everything for as long as one
    /// group has no leaseholder.
    fn note_vain_detour(&self, reached: bool, group: &GroupName) -> HandOver {
        let now = self.clock.now();
        if reached {
            self.isolation().note_reached();
            self.detour_pauses().note_vain(now, group);
            return HandOver::NotTaken(RefusalCause::NoLeaseholder);
        }
        self.isolation().note_vain(now);
        HandOver::NotTaken(RefusalCause::NoLease)
    }

    /// Connects to other gateways, so that a statement needn't wait for that later.
    fn prepare_detours(&self) {
        let places = self.find_detours();
        for address in places.into_iter().filter_map(|place| place.statements) {
            self.links.statements.prepare(address);
        }
    }

    fn find_detours(&self) -> SmallVec<[PeerPlace; MOST_DETOURS]> {
        let view = self.view.borrow();
        let members = list_detours(&view, &self.links.vm, &self.links.domain);
        members.into_iter().map(PeerPlace::from).collect()
    }

    fn isolation(&self) -> MutexGuard<'_, IsolationWatch> {
        self.isolation
            .lock()
            .expect("no holder of this lock panics")
    }

    fn detour_pauses(&self) -> MutexGuard<'_, DetourPauses> {
        self.detour_pauses
            .lock()
            .expect("no holder of this lock panics")
    }

    /// Says whether a new session would be refused all of its statements: this gateway has no lease,
    /// and lately reached no other gateway either.
    pub fn is_isolated(&self) -> bool {
        let now = self.clock.now();
        !self.view.borrow().may_serve(now) && self.isolation().is_isolated(now)
    }

    /// Says whether that has been so for a time.
    pub fn is_isolated_for(&self, time: Duration) -> bool {
        let now = self.clock.now();
        !self.view.borrow().may_serve(now) && self.isolation().is_isolated_for(now, time)
    }

    async fn hand_over(
        &self,
        request: &StatementRequest,
        place: PeerPlace,
        limit: Duration,
        relayed: bool,
    ) -> HandOver {
        match self.send(request.clone(), place, limit, relayed).await {
            Ok(reply) if reply.id != request.id => HandOver::ReplyLost,
            Ok(reply) => match reply.verdict {
                RequestVerdict::NotRun(refusal) if is_misrouted(refusal.cause) => {
                    match refusal.cause {
                        RefusalCause::NoLeaseholder if !relayed => HandOver::NotLeading,
                        cause => HandOver::NotTaken(cause),
                    }
                }
                _ => HandOver::Replied(reply),
            },
            Err(LinkError::Unreachable | LinkError::Exhausted) => HandOver::OutOfReach,
            Err(LinkError::Lost | LinkError::Rejected(_)) => HandOver::ReplyLost,
        }
    }

    async fn send(
        &self,
        request: StatementRequest,
        place: PeerPlace,
        limit: Duration,
        relayed: bool,
    ) -> Result<StatementReply, LinkError> {
        let sort = match relayed {
            true => CallSort::Relay,
            false => CallSort::Execute,
        };
        if let Some(address) = place.statements {
            let links = &self.links.statements;
            return links.call(address, sort, request, limit).await;
        }
        let call = |client: Arc<WsClient>| async move {
            match sort {
                CallSort::Execute => client.execute(request).await,
                CallSort::Relay => client.relay(request).await,
            }
        };
        self.links.peers.call(place.calls, limit, call).await
    }

    fn find_target(&self, group: &GroupName) -> Option<RouteTarget> {
        let view = self.view.borrow();
        let record: &GroupRecord = view.copy.group(group)?;
        let place = |vm: &VmName| view.copy.member(vm).map(PeerPlace::from);
        Some(RouteTarget {
            leaseholder: place(&record.placement.leaseholder)?,
            relays: record.placement.standbys.iter().filter_map(place).collect(),
        })
    }

    /// Notes that a group has no reachable leaseholder and returns when that should be over.
    fn note_outage(&self, group: &GroupName, leases: f64) -> ClockTime {
        let mut outages = self.outages.lock().expect("no holder of this lock panics");
        let since = *outages
            .entry(group.clone())
            .or_insert_with(|| self.clock.now());
        since + self.leaseholder_lease(group).mul_f64(leases)
    }

    /// Returns how long the leaseholder of a group may hold its lease when it is lost.
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

    /// Refuses a statement at once; the caller should be back when a takeover can be over.
    fn refuse(&self, request: &StatementRequest, cause: RefusalCause) -> StatementReply {
        let after = self.return_after(&request.group);
        reply_with(request, RequestVerdict::refused(cause, after))
    }

    /// Returns when a takeover of the group can be over, in milliseconds from now.
    fn return_after(&self, group: &GroupName) -> u64 {
        let end = self.note_outage(group, TAKEOVER_LEASES);
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
/// Its gateway has looked its key up. One that wasn't sure to know the newest accounts sends along what
/// it was shown: without a lease it would go on serving a key that was taken away long ago.
pub fn is_caller_taken(
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

/// Returns a statement's deadline: the contract's, or the caller's if that is tighter.
pub fn find_deadline(terms: &KindTerms, marks: &RequestMarks) -> Duration {
    let asked = marks.deadline_ms.unwrap_or(u64::MAX);
    Duration::from_millis(terms.deadline_ms.min(asked))
}

/// Returns until when the answer to a statement is worth most, at the leaseholder that took it in
/// at `arrived`.
pub fn find_target(
    arrived: ClockTime,
    terms: &KindTerms,
    request: &StatementRequest,
) -> Option<ClockTime> {
    let target = Duration::from_millis(terms.target_ms?);
    let spent = Duration::from_millis(request.spent_ms + request.waited_ms) + WAY_BACK;
    Some(arrived + target.saturating_sub(spent))
}

fn is_untaken(attempt: &HandOver) -> bool {
    matches!(
        attempt,
        HandOver::NotTaken(_) | HandOver::NotLeading | HandOver::OutOfReach
    )
}

fn is_misrouted(cause: RefusalCause) -> bool {
    matches!(cause, RefusalCause::NoLease | RefusalCause::NoLeaseholder)
}

/// Says whether a statement whose reply was lost may be handed over again: it changes nothing, has
/// the same effect twice, or has a key by which the next leaseholder knows it.
fn is_resendable(request: &StatementRequest, terms: &KindTerms) -> bool {
    request.step == TransactionStep::Single
        && (terms.access == AccessMode::Read
            || terms.repeat == RepeatRule::Idempotent
            || request.marks.key.is_some())
}

/// A transaction lives on one connection of one leaseholder: it can't move to another.
///
/// It was not committed, so its statements count as not run.
fn lose_transaction(request: &StatementRequest) -> Option<StatementReply> {
    match request.step {
        TransactionStep::Single | TransactionStep::Begin(_) => None,
        TransactionStep::Within(_) | TransactionStep::Commit(_) | TransactionStep::Rollback(_) => {
            let verdict = RequestVerdict::refused(RefusalCause::TransactionLost, 0);
            Some(reply_with(request, verdict))
        }
    }
}

fn doubt(request: &StatementRequest) -> StatementReply {
    let verdict = match request.step {
        // Nothing of a transaction lasts before its commit was asked for.
        TransactionStep::Begin(_) | TransactionStep::Within(_) | TransactionStep::Rollback(_) => {
            RequestVerdict::refused(RefusalCause::TransactionLost, 0)
        }
        TransactionStep::Single | TransactionStep::Commit(_) => {
            RequestVerdict::MayHaveRun(DoubtCause::LeaseholderLost)
        }
    };
    reply_with(request, verdict)
}

/// Returns the reply as it may be told to the caller.
///
/// A refusal covers only the attempt that it answers. An earlier attempt whose reply was lost can
/// still be on its way and run, so a refused resend of a write says nothing about the write.
fn settle_reply(
    request: &StatementRequest,
    reply: StatementReply,
    terms: &KindTerms,
    sent_before: bool,
) -> StatementReply {
    let refused = matches!(reply.verdict, RequestVerdict::NotRun(_));
    if refused && sent_before && terms.access == AccessMode::Write {
        return doubt(request);
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
