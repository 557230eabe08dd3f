//! Runs the leaseholder of one database group: the only task that may dispatch the group's
//! statements and replace its primary.
//!
//! The task alone owns the group's connections, scheduler queue, journal and session positions.
//! Statements, endpoint announcements and the reports of child tasks reach it as messages. After
//! each batch of messages it polls the scheduler, starts a read round if reads wait for one, and
//! replicates the journal to the standbys.
//!
//! A leaseholder may be frozen and superseded without noticing it, so the task checks its lease
//! before it dispatches a statement and again before it releases an answer.

mod confirming;
mod describing;
mod dispatch;
pub(crate) mod ending;
mod handover;
mod instances;
mod intake;
mod journaling;
mod notice;
mod outcomes;
mod pool;
mod probing;
mod promoting;
mod request;
mod ticking;

pub(crate) use intake::hash_text;

use crate::clock::NodeClock;
use crate::connection::ConnectionEvent;
use crate::descriptors::DescriptorBudget;
use crate::directory::ControlDirectory;
use crate::endpoint_levels::CountedFaults;
use crate::handover_plans::HandoverPlanner;
use crate::log_event;
use crate::member::MemberView;
use crate::metrics::DaemonMetrics;
use crate::peers::PeerLinks;
use crate::proposer::CommandProposer;
use crate::scarcity::ScarcityReport;
use crate::settings::DaemonSettings;
use crate::standby::StandbyEvent;
use describing::ActiveShape;
use ending::refuse_queue;
use handover::HandoverState;
use journaling::JournalRecovery;
use log::Level;
use notice::GroupNotice;
use pool::EndpointPool;
use probing::PrimaryWatch;
use promoting::PromotionDriver;
use ragwort_control::ClockTime;
use ragwort_control::ContractTable;
use ragwort_control::GroupJournal;
use ragwort_control::PositionQuorum;
use ragwort_control::ProbeOutcome;
use ragwort_control::RoundId;
use ragwort_control::WriteTicket;
use ragwort_policy::CustomerTerms;
use ragwort_policy::EndpointRole;
use ragwort_policy::EndpointState;
use ragwort_policy::GroupScheduler;
use ragwort_policy::RequestTicket;
use ragwort_policy::SchedulerSettings;
use ragwort_types::CatalogRevision;
use ragwort_types::CustomerName;
use ragwort_types::DoubtCause;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::GroupName;
use ragwort_types::GroupPlacement;
use ragwort_types::GroupRecord;
use ragwort_types::InstanceIdentity;
use ragwort_types::InstanceName;
use ragwort_types::KindName;
use ragwort_types::PlacementEpoch;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::ShapeReply;
use ragwort_types::ShapeRequest;
use ragwort_types::StatementId;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use ragwort_types::TransactionId;
use ragwort_types::VmName;
use request::ActiveRequest;
use request::KeyedRequest;
use request::OpenTransaction;
use request::RequestStage;
use request::ResendWaiter;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The interval of the periodic work while the group is in use or changing: deadlines, data ages,
/// silent endpoints, promotion and handover.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The maximum time between two polls of the scheduler.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// The maximum number of events that are handled before the scheduler is polled once for all of
/// them.
const MAX_EVENT_BATCH: usize = 64;

/// The resources that all leaseholders of a VM share.
pub struct GroupContext {
    /// The daemon's settings.
    pub settings: Arc<DaemonSettings>,
    /// The process's clock.
    pub clock: NodeClock,
    /// The connections to other VMs and to the agents of instances.
    pub links: PeerLinks,
    /// The addresses of the control VMs.
    pub directory: ControlDirectory,
    /// The queue of the task that holds this VM's standby copies of journals.
    pub standby: mpsc::Sender<StandbyEvent>,
    /// The metrics.
    pub metrics: DaemonMetrics,
    /// The budget of file descriptors for connections to endpoints.
    pub descriptors: DescriptorBudget,
    /// The planner of handovers to other VMs.
    pub handovers: HandoverPlanner,
}

impl GroupContext {
    /// Returns a proposer that sends commands to the control VMs.
    pub(crate) fn proposer(&self) -> CommandProposer {
        CommandProposer {
            links: self.links.clone(),
            directory: self.directory.clone(),
            limit: Duration::from_millis(self.settings.timing.lease_ms),
        }
    }
}

/// A message to a group's task from outside.
#[derive(Debug)]
pub enum GroupEvent {
    /// Runs a statement.
    Statement(Box<StatementRequest>, oneshot::Sender<StatementReply>),
    /// Describes a statement's parameters and columns without running it.
    Describe(Box<ShapeRequest>, oneshot::Sender<ShapeReply>),
    /// Cancels a statement.
    Cancel(StatementId),
    /// An endpoint's announcement of its addresses, capacity and status.
    Announced(Box<EndpointAnnouncement>),
    /// Returns the group's state for an operator's dump.
    Dump(oneshot::Sender<serde_json::Value>),
}

/// The state of a group's leaseholder task.
pub(crate) struct GroupTask {
    context: Arc<GroupContext>,
    group: GroupName,
    record: GroupRecord,
    /// The placement before the present one, whose VMs may hold a copy of the journal.
    previous: Option<GroupPlacement>,
    view: watch::Receiver<MemberView>,
    /// The contracts that were last passed to the scheduler.
    applied_contracts: Arc<ContractTable>,
    /// Whether the group is being handed over, or its promotion state machine has stopped; only
    /// statements of open transactions are admitted then.
    handing_over: bool,
    handover: HandoverState,
    scheduler: GroupScheduler,
    /// What was last reported of the scheduler's scarcity and levels.
    scarcity: ScarcityReport,
    quorum: PositionQuorum,
    /// The recovered journal; `None` until its copies have been collected.
    journal: Option<GroupJournal>,
    /// When the journal was recovered.
    journal_recovered_at: ClockTime,
    /// The last epoch whose journal this task has confirmed in the replicated log.
    confirmed_journal_epoch: PlacementEpoch,
    /// The epoch whose confirmation has been proposed.
    confirming_epoch: Option<PlacementEpoch>,
    recovery: JournalRecovery,
    /// The standbys that have not answered their last append yet.
    appends_in_flight: BTreeSet<VmName>,
    pool: EndpointPool,
    promotion: PromotionDriver,
    requests: HashMap<RequestTicket, ActiveRequest>,
    shapes: HashMap<RequestTicket, ActiveShape>,
    /// The tickets of statements and descriptions, by statement ID.
    tickets: HashMap<StatementId, RequestTicket>,
    transactions: HashMap<TransactionId, OpenTransaction>,
    /// The resends that wait for the verdict of a first attempt with the same key.
    resend_waiters: HashMap<KeyedRequest, Vec<ResendWaiter>>,
    /// The answered writes that wait for a majority.
    unconfirmed_writes: HashMap<WriteTicket, RequestTicket>,
    primary_watch: Option<PrimaryWatch>,
    /// When this leaseholder began to serve the present term.
    serving_since: Option<ClockTime>,
    /// The read round in progress and when it began.
    running_round: Option<(RoundId, ClockTime)>,
    /// The last read round that a majority has confirmed.
    confirmed_round: RoundId,
    last_ticket: u64,
    /// The number of runs of the periodic work.
    ticks: u64,
    /// When the periodic work was last done.
    ticked_at: ClockTime,
    /// Whether an event has made the periodic work due within a tick.
    tick_requested: bool,
    /// The catalog revision of the last view.
    seen_revision: CatalogRevision,
    /// When the journal was last pruned.
    pruned_at: ClockTime,
    counted_faults: CountedFaults,
    /// The number of probes sent to the primary on an open connection.
    probes: u64,
    notices: mpsc::Sender<GroupNotice>,
    children: JoinSet<()>,
}

/// Starts a group's task, which ends when the group is placed on another VM or `events` is closed.
pub fn spawn_group(
    context: Arc<GroupContext>,
    record: GroupRecord,
    previous: Option<GroupPlacement>,
    view: watch::Receiver<MemberView>,
    events: mpsc::Receiver<GroupEvent>,
) -> JoinHandle<()> {
    let (notices, notice_queue) = mpsc::channel(4_096);
    let (connection_events, connection_queue) = mpsc::channel(1_024);
    let group = record.placement.group.clone();
    let seed = record.placement.epoch.0;
    let scheduler = GroupScheduler::new(SchedulerSettings::new(
        seed,
        context.settings.domain.clone(),
    ));
    let pool = EndpointPool::new(
        Arc::clone(&context),
        group.clone(),
        notices.clone(),
        connection_events,
    );
    let task = GroupTask {
        promotion: PromotionDriver::new(&context, &record),
        context,
        quorum: PositionQuorum::new(&record),
        group,
        record,
        previous,
        view,
        applied_contracts: Arc::default(),
        handing_over: false,
        handover: HandoverState::default(),
        scheduler,
        scarcity: ScarcityReport::default(),
        journal: None,
        journal_recovered_at: ClockTime::default(),
        confirmed_journal_epoch: PlacementEpoch(0),
        confirming_epoch: None,
        recovery: JournalRecovery::default(),
        appends_in_flight: BTreeSet::new(),
        pool,
        requests: HashMap::new(),
        shapes: HashMap::new(),
        tickets: HashMap::new(),
        transactions: HashMap::new(),
        resend_waiters: HashMap::new(),
        unconfirmed_writes: HashMap::new(),
        primary_watch: None,
        serving_since: None,
        running_round: None,
        confirmed_round: RoundId(0),
        last_ticket: 0,
        ticks: 0,
        ticked_at: ClockTime::default(),
        tick_requested: false,
        seen_revision: CatalogRevision::default(),
        pruned_at: ClockTime::default(),
        counted_faults: CountedFaults::default(),
        probes: 0,
        notices,
        children: JoinSet::new(),
    };
    tokio::spawn(task.run(events, notice_queue, connection_queue))
}

impl GroupTask {
    async fn run(
        mut self,
        mut events: mpsc::Receiver<GroupEvent>,
        mut notices: mpsc::Receiver<GroupNotice>,
        mut connections: mpsc::Receiver<ConnectionEvent>,
    ) {
        self.apply_contracts();
        self.begin_recovery();
        let mut batch = Vec::with_capacity(MAX_EVENT_BATCH);
        loop {
            let tick = self.next_tick();
            let wake = self.time_until_wakeup();
            tokio::select! {
                count = events.recv_many(&mut batch, MAX_EVENT_BATCH) => {
                    if count == 0 {
                        break;
                    }
                    self.refresh_for_arrivals();
                    for event in batch.drain(..) {
                        self.handle_event(event);
                    }
                }
                Some(event) = connections.recv() => {
                    self.handle_connection_event(event);
                    while let Ok(event) = connections.try_recv() {
                        self.handle_connection_event(event);
                    }
                }
                Some(notice) = notices.recv() => {
                    self.handle_notice(notice);
                    while let Ok(notice) = notices.try_recv() {
                        self.handle_notice(notice);
                    }
                }
                changed = self.view.changed() => {
                    if changed.is_err() || !self.apply_view() {
                        break;
                    }
                    let revision = self.view.borrow().copy.revision();
                    self.tick_requested |= revision != self.seen_revision;
                    self.seen_revision = revision;
                }
                () = sleep(self.context.clock.until(tick)) => self.handle_tick(),
                () = sleep(wake) => {}
            }
            self.run_scheduler();
            self.begin_read_round();
            self.replicate_journal();
            self.confirm_journal();
            self.pool.join_ended_children();
            while self.children.try_join_next().is_some() {}
        }
        self.end(events).await;
    }

    fn handle_event(&mut self, event: GroupEvent) {
        match event {
            GroupEvent::Statement(request, reply) => self.handle_statement(request, reply),
            GroupEvent::Describe(request, reply) => self.handle_describe(request, reply),
            GroupEvent::Cancel(id) => self.cancel(id),
            GroupEvent::Announced(announcement) => {
                self.tick_requested = true;
                self.handle_announcement(*announcement);
            }
            GroupEvent::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
        }
    }

    fn handle_notice(&mut self, notice: GroupNotice) {
        self.tick_requested |= match &notice {
            GroupNotice::Agent(report) => {
                self.quorum.status(&report.instance) != report.status.as_ref()
            }
            GroupNotice::Probe(report) => report.outcome != ProbeOutcome::Answered,
            GroupNotice::ReadRound(_) => false,
            GroupNotice::Journal(_)
            | GroupNotice::JournalCopy(_, _)
            | GroupNotice::Command(_, _)
            | GroupNotice::Order(_)
            | GroupNotice::StandbyProbe(_) => true,
        };
        match notice {
            GroupNotice::Agent(report) => self.handle_agent_report(report),
            GroupNotice::ReadRound(report) => self.handle_round_report(report),
            GroupNotice::Journal(report) => self.handle_journal_report(&report),
            GroupNotice::JournalCopy(vm, source) => self.handle_journal_copy(&vm, source),
            GroupNotice::Command(command, reply) => self.handle_command_reply(*command, reply),
            GroupNotice::Order(report) => self.handle_order_report(report),
            GroupNotice::Probe(report) => self.handle_probe_report(&report),
            GroupNotice::StandbyProbe(probe) => self.handle_standby_probe(&probe),
        }
    }

    /// Records an announcement and updates the scheduler if the endpoint is new, has moved, or has
    /// begun or ceased to leave.
    fn handle_announcement(&mut self, announcement: EndpointAnnouncement) {
        let instance = announcement.instance.clone();
        let leaving = announcement.status.leaving;
        let known = self.pool.endpoint(&instance);
        let left = known.is_some_and(|entry| entry.announcement.status.leaving != leaving);
        if self.pool.record_announcement(announcement) || left {
            log_event!(
                Level::Info,
                "endpoint_announced",
                group = self.group,
                instance = instance,
                leaving = leaving,
            );
            self.refresh_endpoint(&instance);
        }
    }

    /// Passes an endpoint's present role, capacity and position to the scheduler, or removes it
    /// there if it no longer announces itself.
    fn refresh_endpoint(&mut self, instance: &InstanceName) {
        let now = self.context.clock.now();
        let Some(entry) = self.pool.endpoint(instance) else {
            self.scheduler.remove_endpoint(now, instance);
            return;
        };
        let announcement = &entry.announcement;
        let state = EndpointState {
            instance: instance.clone(),
            domain: announcement.domain.clone(),
            slots: announcement.slots,
            connections: announcement.connections,
            role: self.role_of(instance),
            leaving: announcement.status.leaving,
        };
        self.scheduler.set_endpoint(now, state);
        self.report_position(instance);
    }

    /// Returns the role in which the scheduler may use an instance; an instance whose position is
    /// unknown serves nothing.
    fn role_of(&self, instance: &InstanceName) -> EndpointRole {
        if !self.is_serving() {
            return EndpointRole::Unusable;
        }
        match self.record.primary.as_ref() == Some(instance) {
            true => EndpointRole::Primary,
            false if self.quorum.counted_position(instance).is_some() => EndpointRole::Replica,
            false => EndpointRole::Unusable,
        }
    }

    /// Returns the identity that the peer must show on a connection to one of the group's
    /// instances.
    fn expected_identity(&self, instance: &InstanceName) -> InstanceIdentity {
        InstanceIdentity {
            group: self.group.clone(),
            instance: instance.clone(),
        }
    }

    fn refresh_all_endpoints(&mut self) {
        let names = self
            .pool
            .endpoints()
            .map(|entry| &entry.announcement.instance);
        for instance in names.cloned().collect::<Vec<_>>() {
            self.refresh_endpoint(&instance);
        }
    }

    /// Returns whether this VM's lease allows it to dispatch and answer for the group now.
    fn may_lead(&self, now: ClockTime) -> bool {
        let vm = &self.context.settings.vm;
        self.view.borrow().may_lead(now, vm, &self.group)
    }

    /// Applies a change of this VM's catalog view; returns false if the group is placed on another
    /// VM.
    fn apply_view(&mut self) -> bool {
        self.apply_contracts();
        let view = self.view.borrow_and_update().clone();
        let Some(record) = view.copy.group(&self.group).cloned() else {
            return true;
        };
        if record.placement.leaseholder != self.context.settings.vm {
            log_event!(
                Level::Info,
                "group_left",
                group = self.group,
                epoch = record.placement.epoch,
            );
            return false;
        }
        if record.placement.epoch > self.record.placement.epoch {
            self.previous = Some(self.record.placement.clone());
            if let Some(journal) = &mut self.journal {
                journal.adopt_placement(&record.placement);
            }
        }
        self.adopt_record(record, view.copy.revision());
        true
    }

    /// Passes the terms of the customers that use this group to the scheduler, if any contract has
    /// changed.
    fn apply_contracts(&mut self) {
        let contracts = Arc::clone(self.view.borrow().copy.contract_table());
        if Arc::ptr_eq(&contracts, &self.applied_contracts) {
            return;
        }
        let here = contracts.of_group(&self.group).map(|held| &held.contract);
        let terms: Vec<CustomerTerms> = here.map(CustomerTerms::from).collect();
        self.applied_contracts = contracts;
        self.scheduler.set_contracts(&terms);
    }

    /// Returns the request kind that the customer's contract sets for unmarked statements.
    fn default_kind(&self, customer: &CustomerName) -> KindName {
        let view = self.view.borrow();
        let contract = view.copy.contract(customer);
        contract.map_or_else(
            || KindName::from(""),
            |held| held.contract.default_kind.clone(),
        )
    }

    /// Returns the time until the scheduler must be polled again.
    fn time_until_wakeup(&self) -> Duration {
        let now = self.context.clock.now();
        let wakeups = [
            self.scheduler.next_wakeup(now),
            self.scheduler.next_connection_attempt(now),
        ];
        let next = wakeups.into_iter().flatten().min();
        next.map_or(MAX_SLEEP, |next| next.since(now))
    }

    /// Returns the group's state as it appears in an operator's dump.
    fn dump(&self) -> serde_json::Value {
        let now = self.context.clock.now();
        let statuses = self.record.instances.iter().map(|instance| {
            let status = self.quorum.status(instance);
            (instance.to_string(), serde_json::json!(status))
        });
        serde_json::json!({
            "record": self.record,
            "serving": self.is_serving(),
            "handing_over": self.handing_over,
            "journal": self.journal.as_ref().map(|journal| serde_json::json!({
                "epoch": journal.epoch().0,
                "keys": journal.key_count(),
                "sessions": journal.sessions().len(),
                "deposed": journal.is_deposed(),
            })),
            "scheduler": self.scheduler.snapshot(now),
            "requests": self.requests.len(),
            "transactions": self.transactions.len(),
            "writes_waiting": self.unconfirmed_writes.len(),
            "connections": self.pool.count_by_instance(),
            "ticks": self.ticks,
            "probes": self.probes,
            "instances": statuses.collect::<serde_json::Map<_, _>>(),
        })
    }

    /// Settles all remaining requests, closes the connections and joins all child tasks.
    async fn end(mut self, mut queue: mpsc::Receiver<GroupEvent>) {
        refuse_queue(&self.group, &mut queue).await;
        let tickets: Vec<RequestTicket> = self.requests.keys().copied().collect();
        for ticket in tickets {
            let verdict = self.verdict_at_end(ticket);
            self.settle(ticket, verdict);
        }
        self.refuse_shapes();
        self.context.metrics.forget_group(&self.group);
        self.children.shutdown().await;
        self.pool.shut_down().await;
    }

    /// Returns the verdict of a request that is open when the task ends: refused if nothing was
    /// sent to an endpoint, in doubt otherwise.
    fn verdict_at_end(&self, ticket: RequestTicket) -> RequestVerdict {
        let stage = self.requests.get(&ticket).map(|active| &active.stage);
        match stage {
            Some(RequestStage::Waiting | RequestStage::Journaling(_)) | None => {
                RequestVerdict::refused(RefusalCause::NoLeaseholder, 0)
            }
            Some(_) => RequestVerdict::MayHaveRun(DoubtCause::LeaseLost),
        }
    }
}
