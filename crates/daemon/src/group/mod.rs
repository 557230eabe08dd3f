//! The leaseholder of one database group.
//!
//! One task is the only owner of the group's connections, queue, journal and session positions.
//! Callers' statements, endpoints' announcements and the reports of its child tasks reach it as
//! messages; after each it lets the scheduler, the journal and the promotion say what is due.

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
use crate::handover_plans::HandoverPlanner;
use crate::log_event;
use crate::member::MemberView;
use crate::metrics::DaemonMetrics;
use crate::peers::PeerLinks;
use crate::proposer::CommandProposer;
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
use ragwort_control::GroupJournal;
use ragwort_control::PositionQuorum;
use ragwort_control::RoundId;
use ragwort_control::WriteTicket;
use ragwort_policy::CustomerTerms;
use ragwort_policy::EndpointRole;
use ragwort_policy::EndpointState;
use ragwort_policy::GroupScheduler;
use ragwort_policy::RequestTicket;
use ragwort_policy::SchedulerSettings;
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
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;

/// The step in which waits, ages and silent endpoints are looked at.
const TICK: Duration = Duration::from_millis(10);

/// Events taken in before the scheduler is asked once for all of them.
const EVENTS_AT_ONCE: usize = 64;

/// What all leaseholders of a VM work with.
pub struct GroupContext {
    /// The daemon's settings.
    pub settings: Arc<DaemonSettings>,
    /// The process's clock.
    pub clock: NodeClock,
    /// Links to other VMs and to agents.
    pub links: PeerLinks,
    /// Where the control VMs are.
    pub directory: ControlDirectory,
    /// The journals that this VM holds as a standby.
    pub standby: mpsc::Sender<StandbyEvent>,
    /// The metrics.
    pub metrics: DaemonMetrics,
    /// What the process may hold as connections to endpoints.
    pub descriptors: DescriptorBudget,
    /// The handovers that are due.
    pub handovers: HandoverPlanner,
}

impl GroupContext {
    /// Returns what brings commands to the control VMs.
    pub(crate) fn proposer(&self) -> CommandProposer {
        CommandProposer {
            links: self.links.clone(),
            directory: self.directory.clone(),
            limit: Duration::from_millis(self.settings.timing.lease_ms),
        }
    }
}

/// What a group's task is asked or told from outside.
#[derive(Debug)]
pub enum GroupEvent {
    /// A statement.
    Statement(Box<StatementRequest>, oneshot::Sender<StatementReply>),
    /// A statement to describe without running it.
    Describe(Box<ShapeRequest>, oneshot::Sender<ShapeReply>),
    /// Cancels a statement.
    Cancel(StatementId),
    /// An endpoint announces itself.
    Announced(Box<EndpointAnnouncement>),
    /// The state, for operators.
    Dump(oneshot::Sender<serde_json::Value>),
}

/// A group's task.
pub(crate) struct GroupTask {
    context: Arc<GroupContext>,
    group: GroupName,
    record: GroupRecord,
    previous: Option<GroupPlacement>,
    view: watch::Receiver<MemberView>,
    handing_over: bool,
    handover: HandoverState,
    scheduler: GroupScheduler,
    quorum: PositionQuorum,
    journal: Option<GroupJournal>,
    journal_since: ClockTime,
    /// The last epoch that this task has confirmed in the agreed log.
    journal_confirmed: PlacementEpoch,
    confirming: Option<PlacementEpoch>,
    recovery: JournalRecovery,
    appending: BTreeSet<VmName>,
    pool: EndpointPool,
    promotion: PromotionDriver,
    requests: HashMap<RequestTicket, ActiveRequest>,
    shapes: HashMap<RequestTicket, ActiveShape>,
    tickets: HashMap<StatementId, RequestTicket>,
    transactions: HashMap<TransactionId, OpenTransaction>,
    resends: HashMap<KeyedRequest, Vec<ResendWaiter>>,
    writes: HashMap<WriteTicket, RequestTicket>,
    watch: Option<PrimaryWatch>,
    /// Since when the present term is served here.
    serving_since: Option<ClockTime>,
    round_running: Option<(RoundId, ClockTime)>,
    confirmed_round: RoundId,
    last_ticket: u64,
    ticks: u64,
    notices: mpsc::Sender<GroupNotice>,
    children: JoinSet<()>,
}

/// Starts a group's task; it ends when the group is placed elsewhere or `events` is closed.
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
        handing_over: false,
        handover: HandoverState::default(),
        scheduler,
        journal: None,
        journal_since: ClockTime::default(),
        journal_confirmed: PlacementEpoch(0),
        confirming: None,
        recovery: JournalRecovery::default(),
        appending: BTreeSet::new(),
        pool,
        requests: HashMap::new(),
        shapes: HashMap::new(),
        tickets: HashMap::new(),
        transactions: HashMap::new(),
        resends: HashMap::new(),
        writes: HashMap::new(),
        watch: None,
        serving_since: None,
        round_running: None,
        confirmed_round: RoundId(0),
        last_ticket: 0,
        ticks: 0,
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
        self.follow_contracts();
        self.begin_recovery();
        let mut ticker = interval(TICK);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(EVENTS_AT_ONCE);
        loop {
            let wake = self.time_to_wake();
            tokio::select! {
                count = events.recv_many(&mut batch, EVENTS_AT_ONCE) => {
                    if count == 0 {
                        break;
                    }
                    for event in batch.drain(..) {
                        self.take_event(event);
                    }
                }
                Some(event) = connections.recv() => {
                    self.take_connection_event(event);
                    while let Ok(event) = connections.try_recv() {
                        self.take_connection_event(event);
                    }
                }
                Some(notice) = notices.recv() => {
                    self.take_notice(notice);
                    while let Ok(notice) = notices.try_recv() {
                        self.take_notice(notice);
                    }
                }
                changed = self.view.changed() => {
                    if changed.is_err() || !self.follow_view() {
                        break;
                    }
                }
                _ = ticker.tick() => self.take_tick(),
                () = sleep(wake) => {}
            }
            self.follow_scheduler();
            self.begin_read_round();
            self.replicate_journal();
            self.confirm_journal();
            self.pool.reap();
            while self.children.try_join_next().is_some() {}
        }
        self.end(events).await;
    }

    fn take_event(&mut self, event: GroupEvent) {
        match event {
            GroupEvent::Statement(request, reply) => self.take_statement(request, reply),
            GroupEvent::Describe(request, reply) => self.take_describe(request, reply),
            GroupEvent::Cancel(id) => self.cancel(id),
            GroupEvent::Announced(announcement) => self.take_announcement(*announcement),
            GroupEvent::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
        }
    }

    fn take_notice(&mut self, notice: GroupNotice) {
        match notice {
            GroupNotice::Agent(report) => self.take_agent_report(report),
            GroupNotice::ReadRound(report) => self.take_round_report(report),
            GroupNotice::Journal(report) => self.take_journal_report(&report),
            GroupNotice::JournalCopy(vm, source) => self.take_journal_copy(&vm, source),
            GroupNotice::Command(command, reply) => self.take_command_reply(*command, reply),
            GroupNotice::Order(report) => self.take_order_report(report),
            GroupNotice::Probe(report) => self.take_probe_report(&report),
            GroupNotice::StandbyProbe(probe) => self.take_standby_probe(&probe),
        }
    }

    fn take_announcement(&mut self, announcement: EndpointAnnouncement) {
        let instance = announcement.instance.clone();
        let leaving = announcement.status.leaving;
        let known = self.pool.endpoint(&instance);
        let left = known.is_some_and(|entry| entry.announcement.status.leaving != leaving);
        if self.pool.take_announcement(announcement) || left {
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

    /// Tells the scheduler what an endpoint may be used for now.
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

    /// Returns who must answer on a connection that is meant for one of the group's instances.
    fn identify(&self, instance: &InstanceName) -> InstanceIdentity {
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

    /// Says whether this VM may dispatch and answer for the group now.
    fn may_lead(&self, now: ClockTime) -> bool {
        let vm = &self.context.settings.vm;
        self.view.borrow().may_lead(now, vm, &self.group)
    }

    /// Follows a change of this VM's view; false if the group is placed elsewhere.
    fn follow_view(&mut self) -> bool {
        self.follow_contracts();
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

    fn follow_contracts(&mut self) {
        let view = self.view.borrow();
        let here = view.copy.contracts().map(|held| &held.contract);
        let here = here.filter(|contract| contract.groups.contains(&self.group));
        let terms: Vec<CustomerTerms> = here.map(CustomerTerms::from).collect();
        drop(view);
        self.scheduler.set_contracts(&terms);
    }

    fn default_kind(&self, customer: &CustomerName) -> KindName {
        let view = self.view.borrow();
        let contract = view.copy.contract(customer);
        contract.map_or_else(
            || KindName::from(""),
            |held| held.contract.default_kind.clone(),
        )
    }

    fn time_to_wake(&self) -> Duration {
        let now = self.context.clock.now();
        let wake = self.scheduler.next_wakeup(now);
        wake.map_or(TICK, |wake| wake.since(now))
    }

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
            "writes_waiting": self.writes.len(),
            "connections": self.pool.count_by_instance(),
            "instances": statuses.collect::<serde_json::Map<_, _>>(),
        })
    }

    /// Answers what is left, closes the connections and joins all children.
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
