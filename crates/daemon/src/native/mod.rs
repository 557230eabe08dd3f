//! The leaseholder of a group whose databases keep terms of their own.
//!
//! It differs from [`group`](crate::group) in who decides: here the database itself counts terms,
//! acknowledges writes by its own rule, and is told by somebody else whom to promote. So there is
//! no majority of positions and no fence. What remains is shared: the same scheduler, placements
//! and leases.
//!
//! One task is the only owner of the group's connections, queue and positions. Statements,
//! announcements and the reports of its child tasks reach it as messages.
//!
//! A statement's way: `intake` says what it must see and hands it to the scheduler, `dispatch` picks
//! a connection and what must be replayed there, [`link`] carries it out, `outcomes` decides what
//! its caller may be told, `faults` what an endpoint's fault leads to. `primary` follows the instances'
//! roles and replaces a primary.

mod dispatch;
mod faults;
mod handover;
mod intake;
mod link;
mod notes;
mod outcomes;
mod pool;
mod primary;
mod request;
mod ticking;

use crate::edges::NativeEdges;
use crate::edges::PromotionOrder;
use crate::edges::PromotionReply;
use crate::group::GroupContext;
use crate::group::GroupEvent;
use crate::group::ending::refuse_queue;
use crate::log_event;
use crate::member::MemberView;
use handover::HandoverCourse;
use link::LinkEvent;
use log::Level;
use notes::NotesCourse;
use pool::NativePool;
use ragwort_control::ClockTime;
use ragwort_control::HeadlessWatch;
use ragwort_control::PositionHistory;
use ragwort_control::PrimaryReplacement;
use ragwort_control::ReplacementState;
use ragwort_control::ReplicaEstimate;
use ragwort_control::RoleBoard;
use ragwort_policy::AccountDemand;
use ragwort_policy::CustomerTerms;
use ragwort_policy::GroupScheduler;
use ragwort_policy::RequestTicket;
use ragwort_policy::SchedulerSettings;
use ragwort_types::CatalogCommand;
use ragwort_types::CommandReply;
use ragwort_types::GroupName;
use ragwort_types::GroupRecord;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::StatementId;
use ragwort_types::TransactionId;
use request::NativeRequest;
use request::NativeTransaction;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

/// The step in which waits, ages and silent endpoints are looked at.
const TICK: Duration = Duration::from_millis(10);

/// The same for a group without requests. A VM may lead many such groups, and their steps would take more
/// of its processor than the groups in use.
const CALM_TICK: Duration = Duration::from_millis(50);

/// Events taken in before the scheduler is asked once for all of them.
const EVENTS_AT_ONCE: usize = 64;

/// Reports of child tasks that may wait.
const NOTICE_QUEUE: usize = 1_024;

/// What a child task reports.
#[derive(Debug)]
enum NativeNotice {
    /// A command was answered.
    Command(Box<CatalogCommand>, CommandReply),
    /// An order to promote was answered.
    Ordered(PromotionOrder, PromotionReply),
}

/// The task of one group.
struct NativeTask {
    context: Arc<GroupContext>,
    edges: NativeEdges,
    group: GroupName,
    record: GroupRecord,
    view: watch::Receiver<MemberView>,
    scheduler: GroupScheduler,
    pool: NativePool,
    demand: AccountDemand,
    /// Whether callers work for accounts, so that a connection serves those of one only.
    by_account: bool,
    roles: RoleBoard,
    /// The primary whose positions `history` holds, and its term.
    leading: Option<(InstanceName, GroupTerm)>,
    history: PositionHistory,
    replicas: BTreeMap<InstanceName, ReplicaEstimate>,
    replacement: PrimaryReplacement,
    /// The primary that doesn't answer any more.
    suspect: Option<InstanceName>,
    /// Since when there has been no primary that may be used.
    headless: HeadlessWatch,
    /// When the last promotion was ordered, until it shows.
    ordered_at: Option<ClockTime>,
    /// How long promotions take once they were ordered.
    promotion_time: Duration,
    /// When this VM took the group over.
    taken: ClockTime,
    handover: HandoverCourse,
    notes: NotesCourse,
    requests: HashMap<RequestTicket, NativeRequest>,
    tickets: HashMap<StatementId, RequestTicket>,
    transactions: HashMap<TransactionId, NativeTransaction>,
    last_ticket: u64,
    ticks: u64,
    notices: mpsc::Sender<NativeNotice>,
    children: JoinSet<()>,
}

/// Starts a group's task; it ends when the group is placed elsewhere or `events` is closed.
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
    let mut headless = HeadlessWatch::default();
    headless.begin(context.clock.now());
    let task = NativeTask {
        pool: NativePool::new(
            group.clone(),
            protocol,
            open_limit,
            context.descriptors.clone(),
            link_events,
        ),
        headless,
        taken: context.clock.now(),
        context,
        edges,
        group,
        record,
        view,
        scheduler,
        demand: AccountDemand::default(),
        by_account: false,
        roles: RoleBoard::new(reached),
        leading: None,
        history: PositionHistory::default(),
        replicas: BTreeMap::new(),
        replacement: PrimaryReplacement::default(),
        suspect: None,
        ordered_at: None,
        promotion_time: primary::PROMOTION_PRIOR,
        handover: HandoverCourse::default(),
        notes: NotesCourse::default(),
        requests: HashMap::new(),
        tickets: HashMap::new(),
        transactions: HashMap::new(),
        last_ticket: 0,
        ticks: 0,
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
        self.follow_contracts();
        self.begin_with_notes();
        let mut ticked = Instant::now();
        let mut batch = Vec::with_capacity(EVENTS_AT_ONCE);
        loop {
            let calm = self.is_calm();
            let due = match calm {
                true => CALM_TICK,
                false => TICK,
            };
            let wake = self.time_to_wake().min(CALM_TICK);
            tokio::select! {
                count = events.recv_many(&mut batch, EVENTS_AT_ONCE) => {
                    if count == 0 {
                        break;
                    }
                    // The estimate of what replicas hold is a calm tick old.
                    if calm {
                        self.report_positions();
                    }
                    for event in batch.drain(..) {
                        self.take_event(event);
                    }
                }
                Some(event) = links.recv() => {
                    self.take_link_event(event);
                    while let Ok(event) = links.try_recv() {
                        self.take_link_event(event);
                    }
                }
                Some(notice) = notices.recv() => self.take_notice(notice),
                changed = self.view.changed() => {
                    if changed.is_err() || !self.follow_view() {
                        break;
                    }
                }
                () = sleep_until(ticked + due) => {
                    self.take_tick(ticked.elapsed());
                    ticked = Instant::now();
                }
                () = sleep(wake) => {}
            }
            self.follow_scheduler();
            self.pool.reap();
            while self.children.try_join_next().is_some() {}
        }
        self.end(events).await;
    }

    fn take_event(&mut self, event: GroupEvent) {
        match event {
            GroupEvent::Statement(request, reply) => self.take_statement(request, reply),
            // Callers of such a group describe nothing; without an answer the asker is refused.
            GroupEvent::Describe(_, _) => {}
            GroupEvent::Cancel(id) => self.cancel(id),
            GroupEvent::Announced(announcement) => self.take_announcement(*announcement),
            GroupEvent::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
        }
    }

    fn take_notice(&mut self, notice: NativeNotice) {
        match notice {
            NativeNotice::Command(command, reply) => self.take_command_reply(*command, &reply),
            NativeNotice::Ordered(order, reply) => self.take_promotion_reply(&order, reply),
        }
    }

    fn now(&self) -> ClockTime {
        self.context.clock.now()
    }

    /// Says whether this VM may dispatch and answer for the group now.
    fn may_serve(&self) -> bool {
        let vm = &self.context.settings.vm;
        self.view.borrow().may_lead(self.now(), vm, &self.group)
    }

    /// Follows a change of this VM's view; false if the group is placed elsewhere.
    fn follow_view(&mut self) -> bool {
        self.follow_contracts();
        let view = self.view.borrow_and_update().clone();
        let Some(record) = view.copy.group(&self.group) else {
            return true;
        };
        // A later epoch than the next one means that another VM has led the group meanwhile: what it has
        // acknowledged isn't known here.
        let was_away = record.placement.epoch > self.record.placement.epoch.next();
        if record.placement.leaseholder != self.context.settings.vm || was_away {
            log_event!(
                Level::Info,
                "group_left",
                group = self.group,
                epoch = record.placement.epoch,
            );
            return false;
        }
        self.record = record.clone();
        true
    }

    fn follow_contracts(&mut self) {
        let view = self.view.borrow();
        let here = view.copy.contracts().map(|held| &held.contract);
        let here = here.filter(|contract| contract.groups.contains(&self.group));
        let terms: Vec<CustomerTerms> = here.map(CustomerTerms::from).collect();
        self.by_account = view.copy.accounts().iter().next().is_some();
        drop(view);
        self.scheduler.set_contracts(&terms);
    }

    fn time_to_wake(&self) -> Duration {
        let now = self.now();
        let wake = self.scheduler.next_wakeup(now);
        wake.map_or(CALM_TICK, |wake| wake.since(now))
    }

    /// Says whether the group has neither requests nor a change of its primary or leaseholder under way.
    fn is_calm(&self) -> bool {
        let unused = self.requests.is_empty() && self.transactions.is_empty();
        let steady = self.replacement.state() == ReplacementState::Steady;
        unused && steady && self.headless.since().is_none() && !self.handover.is_begun()
    }

    /// Proposes a command at the control VMs; the answer comes as a notice.
    fn propose(&mut self, command: CatalogCommand) {
        let proposer = self.context.proposer();
        let notices = self.notices.clone();
        self.children.spawn(async move {
            let reply = proposer.propose(&command).await;
            // A task that has ended needs no answer.
            let _ = notices
                .send(NativeNotice::Command(Box::new(command), reply))
                .await;
        });
    }

    fn take_command_reply(&mut self, command: CatalogCommand, reply: &CommandReply) {
        match command {
            CatalogCommand::IssueToken(request) => self.take_number_reply(&request, reply),
            CatalogCommand::PlaceGroup(_) => self.take_handover_reply(reply),
            CatalogCommand::RecordEndpoints(_) => self.take_notes_reply(reply),
            _ => {}
        }
    }

    fn dump(&self) -> serde_json::Value {
        let now = self.now();
        let lags = self.replicas.iter();
        let lags =
            lags.map(|(name, lag)| (name.to_string(), (lag.lag(now).as_millis() as u64).into()));
        let leading = self.leading.as_ref();
        serde_json::json!({
            "record": self.record,
            "primary": leading.map(|(instance, _)| instance.to_string()),
            "term": leading.map(|(_, term)| term.0),
            "newest": self.history.newest().to_string(),
            "lag_ms": lags.collect::<serde_json::Map<String, serde_json::Value>>(),
            "replacement": format!("{:?}", self.replacement.state()),
            "replaced": self.replacement.replaced(),
            "handing_over": self.handover.is_begun(),
            "handed_over": self.handover.is_out_of_hand(),
            "scheduler": self.scheduler.snapshot(now),
            "requests": self.requests.len(),
            "transactions": self.transactions.len(),
            "connections": self.pool.count_by_instance(),
        })
    }

    /// Answers what is left, closes the connections and joins all children.
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
