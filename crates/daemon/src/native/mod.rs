//! The leaseholder task of a native group: a group whose databases number their replication terms
//! themselves.
//!
//! In the groups of [`group`](crate::group) the leaseholder decides by a majority of positions and
//! fences instances. In a native group the database assigns the terms, acknowledges writes by its
//! own rule, and is promoted by an external service that the leaseholder sends orders to.
//! Scheduler, placements and leases are the same for both.
//!
//! One task owns the group's connections, queue and positions, so none of that state is locked.
//! Statements, announcements and the results of child tasks reach it as messages.
//!
//! A statement passes these modules in order:
//!
//! - `intake` checks it, determines the log position that it must see and queues it at the
//!   scheduler;
//! - `dispatch` picks a connection and lists the session state to replay there;
//! - `link` sends the commands and reads the answers;
//! - `outcomes` derives the verdict that the caller gets, and `faults` retries or settles a
//!   statement for which the endpoint reported a fault.
//!
//! `primary` tracks the instances' roles and detects a failed primary, `reports` asks the instances,
//! `replacing` has another one promoted, and `fencing` keeps late orders from doing so. `handover`
//! moves the group to another VM, and `notes` keeps the endpoints in the catalog for a successor.

mod dispatch;
mod faults;
mod fencing;
mod handover;
mod intake;
mod link;
mod notes;
mod outcomes;
mod pool;
mod primary;
mod replacing;
mod reports;
mod request;
mod ticking;

use crate::edges::NativeEdges;
use crate::edges::PromotionOrder;
use crate::edges::PromotionReply;
use crate::endpoint_levels::CountedFaults;
use crate::group::GroupContext;
use crate::group::GroupEvent;
use crate::group::ending::refuse_queue;
use crate::log_event;
use crate::member::MemberView;
use crate::scarcity::ScarcityReport;
use handover::HandoverProgress;
use link::LinkEvent;
use log::Level;
use notes::NotesProgress;
use pool::NativePool;
use ragwort_control::CatalogCopy;
use ragwort_control::ClockTime;
use ragwort_control::ContractTable;
use ragwort_control::InstanceRoles;
use ragwort_control::OrderFence;
use ragwort_control::OutstandingOrders;
use ragwort_control::PositionHistory;
use ragwort_control::PrimaryAbsence;
use ragwort_control::PrimaryReplacement;
use ragwort_control::ReplacementState;
use ragwort_control::ReplicaEstimate;
use ragwort_policy::AccountDemand;
use ragwort_policy::CheckSchedule;
use ragwort_policy::CustomerTerms;
use ragwort_policy::GroupCheck;
use ragwort_policy::GroupScheduler;
use ragwort_policy::RequestTicket;
use ragwort_policy::SchedulerSettings;
use ragwort_types::CatalogCommand;
use ragwort_types::CommandReply;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::GroupName;
use ragwort_types::GroupRecord;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::StatementId;
use ragwort_types::TransactionId;
use request::NativeRequest;
use request::NativeTransaction;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Interval of the checks of a group in use, or whose primary or leaseholder is being replaced.
const TICK: Duration = Duration::from_millis(10);

/// Interval at which the metrics are updated.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of the checks that depend on the catalog or on the lease, in a group without requests.
const CATALOG_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of events handled before one run of the scheduler.
const MAX_EVENT_BATCH: usize = 64;

/// Capacity of the queues for results of child tasks and for events of connections.
const NOTICE_QUEUE: usize = 1_024;

/// The effect of a change of the catalog view on a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ViewEffect {
    /// The change concerns other groups only.
    Nothing,
    /// Something may have changed for the group.
    Changed,
    /// The group has moved to another VM.
    Left,
}

/// The result of a child task.
#[derive(Debug)]
enum NativeNotice {
    /// The control VMs' reply to a proposed command.
    Command(Box<CatalogCommand>, CommandReply),
    /// The promotion service's reply to an order.
    Ordered(PromotionOrder, PromotionReply),
}

/// State of the leaseholder task of one native group.
struct NativeTask {
    context: Arc<GroupContext>,
    edges: NativeEdges,
    group: GroupName,
    record: GroupRecord,
    view: watch::Receiver<MemberView>,
    /// The contracts that were last passed to the scheduler.
    applied_contracts: Arc<ContractTable>,
    scheduler: GroupScheduler,
    /// What was last reported of the scheduler's scarcity and levels.
    scarcity: ScarcityReport,
    pool: NativePool,
    demand: AccountDemand,
    /// Whether client accounts are configured. Each connection then serves callers of one account
    /// only.
    by_account: bool,
    roles: InstanceRoles,
    /// The last primary that was found, and its term; `history` holds its positions.
    leading: Option<(InstanceName, GroupTerm)>,
    history: PositionHistory,
    replicas: BTreeMap<InstanceName, ReplicaEstimate>,
    replacement: PrimaryReplacement,
    /// The orders to promote that may still take effect.
    orders: OutstandingOrders,
    fence: OrderFence,
    /// The instances that may have received acknowledged writes, by address. An instance that is
    /// gone stays until another one has its address, and with it its log.
    log_holders: BTreeMap<SocketAddr, EndpointAnnouncement>,
    /// The instances that refused the last report request because all their slots were taken.
    refused_reports: BTreeSet<InstanceName>,
    /// When it was last logged that no instance may be promoted.
    wait_logged_at: ClockTime,
    /// The primary that was found unresponsive and is kept out of use.
    suspect: Option<InstanceName>,
    /// Tracks how long the group has had no usable primary.
    primary_absence: PrimaryAbsence,
    /// When the promotion service accepted the last order; `None` once a primary was found after
    /// it.
    promotion_ordered_at: Option<ClockTime>,
    /// Estimated time from an accepted promotion order until its primary is found.
    promotion_time: Duration,
    /// Time at which this VM took the group over.
    taken_over_at: ClockTime,
    handover: HandoverProgress,
    notes: NotesProgress,
    requests: HashMap<RequestTicket, NativeRequest>,
    tickets: HashMap<StatementId, RequestTicket>,
    transactions: HashMap<TransactionId, NativeTransaction>,
    last_ticket: u64,
    checks: CheckSchedule,
    counted_faults: CountedFaults,
    /// How often the endpoints were passed to the scheduler.
    endpoint_updates: u64,
    /// When the replicas' positions were last passed to the scheduler.
    positions_reported_at: ClockTime,
    /// The catalog copy that was last applied.
    seen_copy: Arc<CatalogCopy>,
    /// The configured connection limit that was last passed to the scheduler.
    connection_limit: Option<u32>,
    notices: mpsc::Sender<NativeNotice>,
    children: JoinSet<()>,
}

/// Spawns the leaseholder task of a native group.
///
/// The task ends when the group is placed at another VM or `events` is closed.
pub fn spawn_native_group(
    context: Arc<GroupContext>,
    edges: NativeEdges,
    record: GroupRecord,
    view: watch::Receiver<MemberView>,
    events: mpsc::Receiver<GroupEvent>,
) -> JoinHandle<()> {
    let (notices, notice_queue) = mpsc::channel(NOTICE_QUEUE);
    let (link_events, link_queue) = mpsc::channel(NOTICE_QUEUE);
    let group = record.placement.group.clone();
    let home = context.settings.domain.clone();
    let scheduler = GroupScheduler::new(SchedulerSettings::new(record.placement.epoch.0, home));
    let open_limit = Duration::from_millis(context.settings.timing.connect_timeout_ms);
    let protocol = Arc::clone(&edges.endpoints);
    let reached = record.term;
    let orders = OutstandingOrders::from_record(&record.orders);
    let mut primary_absence = PrimaryAbsence::default();
    primary_absence.begin(context.clock.now());
    let task = NativeTask {
        pool: NativePool::new(
            group.clone(),
            protocol,
            open_limit,
            context.descriptors.clone(),
            link_events,
        ),
        primary_absence,
        taken_over_at: context.clock.now(),
        context,
        edges,
        group,
        record,
        view,
        applied_contracts: Arc::default(),
        scheduler,
        scarcity: ScarcityReport::default(),
        demand: AccountDemand::default(),
        by_account: false,
        roles: InstanceRoles::new(reached),
        leading: None,
        history: PositionHistory::default(),
        replicas: BTreeMap::new(),
        replacement: PrimaryReplacement::default(),
        orders,
        fence: OrderFence::default(),
        log_holders: BTreeMap::new(),
        refused_reports: BTreeSet::new(),
        wait_logged_at: ClockTime::default(),
        suspect: None,
        promotion_ordered_at: None,
        promotion_time: primary::INITIAL_PROMOTION_TIME,
        handover: HandoverProgress::default(),
        notes: NotesProgress::default(),
        requests: HashMap::new(),
        tickets: HashMap::new(),
        transactions: HashMap::new(),
        last_ticket: 0,
        checks: CheckSchedule::default(),
        counted_faults: CountedFaults::default(),
        endpoint_updates: 0,
        positions_reported_at: ClockTime::default(),
        seen_copy: Arc::default(),
        connection_limit: None,
        notices,
        children: JoinSet::new(),
    };
    tokio::spawn(task.run(events, notice_queue, link_queue))
}

impl NativeTask {
    async fn run(
        mut self,
        mut events: mpsc::Receiver<GroupEvent>,
        mut notices: mpsc::Receiver<NativeNotice>,
        mut links: mpsc::Receiver<LinkEvent>,
    ) {
        self.apply_contracts();
        self.load_notes();
        self.log_recorded_orders();
        self.request_initial_checks();
        let mut batch = Vec::with_capacity(MAX_EVENT_BATCH);
        loop {
            if self.is_active() {
                self.checks.request_after(GroupCheck::Activity, TICK);
            }
            let wake = self.time_until_wakeup();
            tokio::select! {
                count = events.recv_many(&mut batch, MAX_EVENT_BATCH) => {
                    if count == 0 {
                        break;
                    }
                    if batch.iter().any(needs_positions) {
                        self.report_positions_for_arrivals();
                    }
                    let mut changed = false;
                    for event in batch.drain(..) {
                        changed |= self.handle_event(event);
                    }
                    if !changed {
                        continue;
                    }
                }
                Some(event) = links.recv() => {
                    self.handle_link_event(event);
                    while let Ok(event) = links.try_recv() {
                        self.handle_link_event(event);
                    }
                }
                Some(notice) = notices.recv() => self.handle_notice(notice),
                changed = self.view.changed() => {
                    if changed.is_err() {
                        break;
                    }
                    match self.apply_view() {
                        ViewEffect::Left => break,
                        ViewEffect::Nothing => continue,
                        ViewEffect::Changed => {}
                    }
                }
                () = sleep(wake) => self.run_due_checks(),
            }
            self.run_scheduler();
            self.pool.join_ended_children();
            while self.children.try_join_next().is_some() {}
        }
        self.end(events).await;
    }

    /// Handles an event; returns whether the scheduler must be polled after it.
    fn handle_event(&mut self, event: GroupEvent) -> bool {
        match event {
            GroupEvent::Statement(request, reply) => {
                self.handle_statement(request, reply);
                true
            }
            // The caller protocol of native groups has no such request. Dropping the reply channel
            // refuses it.
            GroupEvent::Describe(_, _) => false,
            GroupEvent::Cancel(id) => {
                self.cancel(id);
                true
            }
            GroupEvent::Announced(announcement) => self.handle_announcement(*announcement),
            GroupEvent::Dump(reply) => {
                let _ = reply.send(self.dump());
                false
            }
        }
    }

    fn handle_notice(&mut self, notice: NativeNotice) {
        match notice {
            NativeNotice::Command(command, reply) => self.handle_command_reply(*command, &reply),
            NativeNotice::Ordered(order, reply) => self.handle_promotion_reply(&order, reply),
        }
    }

    fn now(&self) -> ClockTime {
        self.context.clock.now()
    }

    /// Returns whether this VM may dispatch and answer for the group now.
    fn may_serve(&self) -> bool {
        let vm = &self.context.settings.vm;
        self.view.borrow().may_lead(self.now(), vm, &self.group)
    }

    /// Applies a change of this VM's catalog view.
    ///
    /// Hundreds of groups see each change, and most changes concern none or one of them.
    fn apply_view(&mut self) -> ViewEffect {
        let view = self.view.borrow_and_update().clone();
        let former = std::mem::replace(&mut self.seen_copy, Arc::clone(&view.copy));
        if !view.copy.shares_groups(&former) {
            self.checks
                .request_after(GroupCheck::Handover, CATALOG_INTERVAL);
        }
        let only_others =
            !Arc::ptr_eq(&view.copy, &former) && self.is_same_here(&view.copy, &former);
        if only_others {
            return ViewEffect::Nothing;
        }
        self.apply_contracts();
        self.request_checks_of_view();
        let Some(record) = view.copy.group(&self.group) else {
            return ViewEffect::Changed;
        };
        // A skipped epoch means that another VM has led the group in between. The positions that it
        // acknowledged aren't known here, so this task must not go on.
        let was_away = record.placement.epoch > self.record.placement.epoch.next();
        if record.placement.leaseholder != self.context.settings.vm || was_away {
            log_event!(
                Level::Info,
                "group_left",
                group = self.group,
                epoch = record.placement.epoch,
            );
            return ViewEffect::Left;
        }
        self.record = record.clone();
        ViewEffect::Changed
    }

    /// Returns whether two copies say the same about this group.
    fn is_same_here(&self, copy: &CatalogCopy, former: &CatalogCopy) -> bool {
        let record = copy.group_table().get(&self.group);
        let former_record = former.group_table().get(&self.group);
        let same_record = match (record, former_record) {
            (Some(record), Some(former_record)) => Arc::ptr_eq(record, former_record),
            (None, None) => true,
            (Some(_), None) | (None, Some(_)) => false,
        };
        same_record
            && Arc::ptr_eq(copy.contract_table(), former.contract_table())
            && Arc::ptr_eq(copy.account_table(), former.account_table())
            && copy.group_terms(&self.group) == former.group_terms(&self.group)
    }

    /// Passes the terms of the customers that use this group to the scheduler, if any contract has
    /// changed.
    fn apply_contracts(&mut self) {
        let view = self.view.borrow();
        self.by_account = view.copy.accounts().iter().next().is_some();
        let contracts = Arc::clone(view.copy.contract_table());
        drop(view);
        if Arc::ptr_eq(&contracts, &self.applied_contracts) {
            return;
        }
        let here = contracts.of_group(&self.group).map(|held| &held.contract);
        let terms: Vec<CustomerTerms> = here.map(CustomerTerms::from).collect();
        self.applied_contracts = contracts;
        self.scheduler.set_contracts(&terms);
    }

    fn time_until_wakeup(&self) -> Duration {
        let now = self.now();
        let wakeups = [
            self.checks.next_due(),
            self.scheduler.next_wakeup(now),
            self.scheduler.next_connection_attempt(now),
        ];
        let next = wakeups.into_iter().flatten().min();
        next.map_or(METRICS_INTERVAL, |next| next.since(now))
    }

    /// Returns whether the group has requests, or its primary or leaseholder is doubtful or being
    /// replaced.
    fn is_active(&self) -> bool {
        let used = !self.requests.is_empty() || !self.transactions.is_empty();
        let replaced = self.replacement.state() != ReplacementState::Steady;
        // Without an endpoint there is nothing to watch until one announces itself.
        let watched = self.pool.endpoints().next().is_some()
            && (!self.is_steady() || self.roles.needs_any_report() || self.is_primary_watched());
        let ordered = !self.orders.is_empty();
        used || replaced || ordered || self.handover.is_begun() || watched
    }

    /// Proposes a command to the control VMs; the reply arrives as a [`NativeNotice::Command`].
    fn propose(&mut self, command: CatalogCommand) {
        let proposer = self.context.proposer();
        let notices = self.notices.clone();
        self.children.spawn(async move {
            let reply = proposer.propose(&command).await;
            // The group's task may have ended.
            let _ = notices
                .send(NativeNotice::Command(Box::new(command), reply))
                .await;
        });
    }

    fn handle_command_reply(&mut self, command: CatalogCommand, reply: &CommandReply) {
        match command {
            CatalogCommand::IssueToken(request) => self.handle_number_reply(&request, reply),
            CatalogCommand::PlaceGroup(_) => self.handle_handover_reply(reply),
            CatalogCommand::RecordEndpoints(_) => self.handle_notes_reply(reply),
            _ => {}
        }
    }

    fn dump(&self) -> serde_json::Value {
        let now = self.now();
        let lags = self.replicas.iter();
        let lags =
            lags.map(|(name, lag)| (name.to_string(), (lag.lag(now).as_millis() as u64).into()));
        let leading = self.leading.as_ref();
        let checks = self.checks.runs();
        let checks = checks.map(|(check, runs)| (check.as_str().to_owned(), runs.into()));
        serde_json::json!({
            "record": self.record,
            "primary": leading.map(|(instance, _)| instance.to_string()),
            "term": leading.map(|(_, term)| term.0),
            "newest": self.history.newest().to_string(),
            "lag_ms": lags.collect::<serde_json::Map<String, serde_json::Value>>(),
            "replacement": format!("{:?}", self.replacement.state()),
            "replaced": self.replacement.replaced(),
            "fence": format!("{:?}", self.fence.state()),
            "outstanding_orders": self.orders.list().count(),
            "holds_writes": self.holds_writes(),
            "handing_over": self.handover.is_begun(),
            "handed_over": self.handover.successor_may_serve(),
            "scheduler": self.scheduler.snapshot(now),
            "requests": self.requests.len(),
            "transactions": self.transactions.len(),
            "connections": self.pool.count_by_instance(),
            "endpoint_updates": self.endpoint_updates,
            "checks": checks.collect::<serde_json::Map<String, serde_json::Value>>(),
        })
    }

    /// Settles the remaining statements, closes the connections and ends all child tasks.
    async fn end(mut self, mut queue: mpsc::Receiver<GroupEvent>) {
        refuse_queue(&self.group, &mut queue).await;
        let tickets: Vec<RequestTicket> = self.requests.keys().copied().collect();
        for ticket in tickets {
            self.settle_at_end(ticket);
        }
        self.context.metrics.forget_group(&self.group);
        self.children.shutdown().await;
        self.pool.shut_down().await;
    }
}

/// Returns whether the positions that the scheduler knows must be up to date for an event.
fn needs_positions(event: &GroupEvent) -> bool {
    match event {
        GroupEvent::Statement(_, _) | GroupEvent::Dump(_) => true,
        GroupEvent::Describe(_, _) | GroupEvent::Cancel(_) | GroupEvent::Announced(_) => false,
    }
}
