//! Runs one task for each group that is placed on this VM, and keeps what endpoints announce of
//! themselves.
//!
//! Standbys receive the announcements too, so that a successor knows a group's endpoints at once
//! when it takes the group over.

use crate::clock::NodeClock;
use crate::edges::NodeEdges;
use crate::group::GroupContext;
use crate::group::GroupEvent;
use crate::group::ending::refuse_shape;
use crate::group::ending::refuse_statement;
use crate::group::spawn_group;
use crate::log_event;
use crate::member::MemberView;
use crate::native::spawn_native_group;
use log::Level;
use ragwort_control::ClockTime;
use ragwort_control::GroupTable;
use ragwort_types::AnnouncementReply;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::GroupName;
use ragwort_types::GroupRecord;
use ragwort_types::InstanceName;
use ragwort_types::ShapeReply;
use ragwort_types::ShapeRequest;
use ragwort_types::StatementId;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::interval;

/// Interval at which expired announcements are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// How long after its first announcement an unplaced group waits before control is asked to place
/// it, so that the first placement sees more than the instance that was quickest to announce
/// itself.
const PLACEMENT_DELAY: Duration = Duration::from_millis(300);

/// Capacity of the queue of one group's task. The task takes events from it at once, so it fills
/// only when the process itself is starved.
const GROUP_QUEUE_CAPACITY: usize = 4_096;

/// A request to the manager.
#[derive(Debug)]
pub enum LeaseholderEvent {
    /// A statement for a group that should be led here.
    Statement(Box<StatementRequest>, oneshot::Sender<StatementReply>),
    /// A request to describe a statement, for a group that should be led here.
    Describe(Box<ShapeRequest>, oneshot::Sender<ShapeReply>),
    /// Cancels a statement.
    Cancel(GroupName, StatementId),
    /// An endpoint announces itself.
    Announce(
        Arc<EndpointAnnouncement>,
        oneshot::Sender<AnnouncementReply>,
    ),
    /// Another VM forwards announcements; the reply says for each whether this VM leads the group.
    AnnounceBatch(Vec<Arc<EndpointAnnouncement>>, oneshot::Sender<Vec<bool>>),
    /// A request for the state, for operators.
    Dump(oneshot::Sender<serde_json::Value>),
}

/// The latest announcement of an endpoint.
#[derive(Clone, Debug)]
pub struct ReceivedAnnouncement {
    /// The announcement.
    pub announcement: Arc<EndpointAnnouncement>,
    /// The time of its arrival.
    pub received: ClockTime,
}

/// Runs the tasks of this VM's groups.
pub struct LeaseholderManager {
    context: Arc<GroupContext>,
    clock: NodeClock,
    view: watch::Receiver<MemberView>,
    unplaced: watch::Sender<Vec<GroupName>>,
    announcements: BTreeMap<GroupName, BTreeMap<InstanceName, ReceivedAnnouncement>>,
    first_announced: BTreeMap<GroupName, ClockTime>,
    /// The queues of the groups' tasks.
    groups: BTreeMap<GroupName, mpsc::Sender<GroupEvent>>,
    /// The groups' tasks; each returns the name of its group and whether it has panicked.
    tasks: JoinSet<(GroupName, bool)>,
    /// Whether a group's task has panicked and isn't started again yet.
    restart_due: bool,
    /// The groups of the catalog for which tasks were last started.
    seen_groups: Arc<GroupTable>,
    edges: NodeEdges,
}

impl LeaseholderManager {
    /// Creates a manager without groups.
    pub fn new(
        context: Arc<GroupContext>,
        edges: NodeEdges,
        view: watch::Receiver<MemberView>,
        unplaced: watch::Sender<Vec<GroupName>>,
    ) -> Self {
        Self {
            clock: context.clock,
            context,
            view,
            unplaced,
            announcements: BTreeMap::new(),
            first_announced: BTreeMap::new(),
            groups: BTreeMap::new(),
            tasks: JoinSet::new(),
            restart_due: false,
            seen_groups: Arc::default(),
            edges,
        }
    }

    /// Runs until `stop` is set; then ends and joins the groups' tasks.
    pub async fn run(
        mut self,
        mut events: mpsc::Receiver<LeaseholderEvent>,
        mut stop: watch::Receiver<bool>,
    ) {
        let mut sweep = interval(SWEEP_INTERVAL);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle_event(event).await,
                    None => break,
                },
                changed = self.view.changed() => {
                    if changed.is_err() {
                        break;
                    }
                    self.apply_view();
                }
                Some(ended) = self.tasks.join_next(), if !self.tasks.is_empty() => {
                    if let Ok((group, panicked)) = ended {
                        self.groups.remove(&group);
                        // Started again at once, a task that always panics would take the processor.
                        match panicked {
                            true => self.restart_due = true,
                            false => self.start_placed_groups(),
                        }
                    }
                }
                _ = sweep.tick() => self.sweep(),
                changed = stop.changed() => {
                    if changed.is_err() || *stop.borrow() {
                        break;
                    }
                }
            }
        }
        self.refuse_queue(&mut events).await;
        self.groups.clear();
        while self.tasks.join_next().await.is_some() {}
    }

    /// Closes the manager's queue and refuses the requests that are left in it.
    ///
    /// A statement that is dropped without a reply counts as one that may have run.
    async fn refuse_queue(&self, queue: &mut mpsc::Receiver<LeaseholderEvent>) {
        queue.close();
        while let Some(event) = queue.recv().await {
            match event {
                LeaseholderEvent::Statement(request, reply) => refuse_statement(&request, reply),
                LeaseholderEvent::Describe(request, reply) => refuse_shape(&request, reply),
                // The sender learns from the dropped reply channel that the daemon is stopping.
                LeaseholderEvent::Cancel(_, _)
                | LeaseholderEvent::Announce(_, _)
                | LeaseholderEvent::AnnounceBatch(_, _)
                | LeaseholderEvent::Dump(_) => {}
            }
        }
    }

    async fn handle_event(&mut self, event: LeaseholderEvent) {
        match event {
            LeaseholderEvent::Statement(request, reply) => self.handle_statement(request, reply),
            LeaseholderEvent::Describe(request, reply) => self.handle_describe(request, reply),
            LeaseholderEvent::Cancel(group, id) => {
                if let Some(inbox) = self.groups.get(&group) {
                    let _ = inbox.try_send(GroupEvent::Cancel(id));
                }
            }
            LeaseholderEvent::Announce(announcement, reply) => {
                let group = announcement.group.clone();
                self.record_announcement(announcement);
                let _ = reply.send(self.announcement_reply(&group));
            }
            LeaseholderEvent::AnnounceBatch(announcements, reply) => {
                let _ = reply.send(self.handle_batch(announcements));
            }
            LeaseholderEvent::Dump(reply) => {
                let _ = reply.send(self.dump().await);
            }
        }
    }

    fn handle_statement(
        &mut self,
        request: Box<StatementRequest>,
        reply: oneshot::Sender<StatementReply>,
    ) {
        let Some(inbox) = self.groups.get(&request.group) else {
            return refuse_statement(&request, reply);
        };
        let event = GroupEvent::Statement(request, reply);
        if let Err(refused) = inbox.try_send(event)
            && let GroupEvent::Statement(request, reply) = refused.into_inner()
        {
            refuse_statement(&request, reply);
        }
    }

    /// Passes a describe request to its group's task. A dropped `reply` tells the sender that
    /// nobody accepted it.
    fn handle_describe(&mut self, request: Box<ShapeRequest>, reply: oneshot::Sender<ShapeReply>) {
        if let Some(inbox) = self.groups.get(&request.group) {
            let _ = inbox.try_send(GroupEvent::Describe(request, reply));
        }
    }

    fn handle_batch(&mut self, announcements: Vec<Arc<EndpointAnnouncement>>) -> Vec<bool> {
        let leads = {
            let view = self.view.borrow();
            let groups = announcements.iter().map(|one| view.copy.group(&one.group));
            groups
                .map(|record| record.is_some_and(|record| self.is_led_here(record)))
                .collect()
        };
        for announcement in announcements {
            self.record_announcement(announcement);
        }
        leads
    }

    /// Keeps an announcement and passes it to the group's task, unless a later one of the endpoint
    /// is known.
    fn record_announcement(&mut self, announcement: Arc<EndpointAnnouncement>) {
        // A delayed announcement would restore an outdated role or state.
        if self.is_stale(&announcement) {
            return;
        }
        let now = self.clock.now();
        let group = &announcement.group;
        self.first_announced.entry(group.clone()).or_insert(now);
        if let Some(inbox) = self.groups.get(group) {
            let announcement = Box::new(EndpointAnnouncement::clone(&announcement));
            let _ = inbox.try_send(GroupEvent::Announced(announcement));
        }
        let instances = self.announcements.entry(group.clone()).or_default();
        let received = ReceivedAnnouncement {
            announcement,
            received: now,
        };
        instances.insert(received.announcement.instance.clone(), received);
    }

    fn is_stale(&self, announcement: &EndpointAnnouncement) -> bool {
        let instances = self.announcements.get(&announcement.group);
        let known = instances.and_then(|instances| instances.get(&announcement.instance));
        known.is_some_and(|known| announcement.is_before(&known.announcement))
    }

    fn announcement_reply(&self, group: &GroupName) -> AnnouncementReply {
        let view = self.view.borrow();
        let Some(record) = view.copy.group(group) else {
            return AnnouncementReply::default();
        };
        let leaseholder = std::iter::once(&record.placement.leaseholder);
        let vms = leaseholder.chain(&record.placement.standbys);
        let members = vms.filter_map(|vm| view.copy.member(vm));
        AnnouncementReply {
            announce_to: members.map(|member| member.peer_address).collect(),
            leaseholder_told: self.is_led_here(record),
        }
    }

    fn is_led_here(&self, record: &GroupRecord) -> bool {
        record.placement.leaseholder == self.context.settings.vm
    }

    /// Starts tasks that have panicked again, drops expired announcements and publishes the groups
    /// that need a placement.
    fn sweep(&mut self) {
        if std::mem::take(&mut self.restart_due) {
            self.start_placed_groups();
        }
        let now = self.clock.now();
        let expiry = Duration::from_millis(self.context.settings.timing.announce_lost_ms);
        for instances in self.announcements.values_mut() {
            instances.retain(|_, one| now.since(one.received) < expiry);
        }
        self.announcements
            .retain(|_, instances| !instances.is_empty());
        self.first_announced
            .retain(|group, _| self.announcements.contains_key(group));
        let view = self.view.borrow();
        // Anyone can announce an endpoint, also of a group that no contract or document names.
        let is_configured = |group: &GroupName| {
            view.copy.group_terms(group).is_some() || view.copy.contract_table().names_group(group)
        };
        let due = self.first_announced.iter().filter(|(group, first)| {
            let unplaced =
                now.since(**first) >= PLACEMENT_DELAY && view.copy.group(group).is_none();
            unplaced && is_configured(group)
        });
        let unplaced: Vec<GroupName> = due.map(|(group, _)| group.clone()).collect();
        drop(view);
        self.unplaced.send_if_modified(|known| {
            let changed = *known != unplaced;
            *known = unplaced;
            changed
        });
    }

    /// Starts the tasks of groups that a change of the view has placed here, if it has changed any
    /// group.
    fn apply_view(&mut self) {
        let changed = {
            let view = self.view.borrow_and_update();
            !Arc::ptr_eq(view.copy.group_table(), &self.seen_groups)
        };
        if changed {
            self.start_placed_groups();
        }
    }

    /// Starts a task for each group that is placed here and has none. A task ends by itself when
    /// its group moves away.
    fn start_placed_groups(&mut self) {
        let view = self.view.borrow().clone();
        let own = &self.context.settings.vm;
        let led = view
            .copy
            .groups()
            .filter(|record| record.placement.leaseholder == *own);
        for record in led {
            let group = &record.placement.group;
            if self.groups.contains_key(group) {
                continue;
            }
            log_event!(
                Level::Info,
                "group_taken",
                group = group,
                epoch = record.placement.epoch,
            );
            let (inbox, events) = mpsc::channel(GROUP_QUEUE_CAPACITY);
            for received in self
                .announcements
                .get(group)
                .into_iter()
                .flat_map(BTreeMap::values)
            {
                let announcement = Box::new(EndpointAnnouncement::clone(&received.announcement));
                let _ = inbox.try_send(GroupEvent::Announced(announcement));
            }
            let context = Arc::clone(&self.context);
            let previous = self.seen_groups.get(group);
            let previous = previous.map(|former| former.placement.clone());
            let view = self.view.clone();
            let record = record.clone();
            let task = match self.edges.clone() {
                NodeEdges::Postgres => spawn_group(context, record, previous, view, events),
                NodeEdges::Native(edges) => {
                    spawn_native_group(context, edges, record, view, events)
                }
            };
            self.groups.insert(group.clone(), inbox);
            let group = group.clone();
            self.tasks.spawn(async move {
                // A panic of the task was logged by the panic hook.
                let panicked = task.await.is_err();
                (group, panicked)
            });
        }
        self.context.metrics.set_groups_led(self.groups.len());
        self.seen_groups = Arc::clone(view.copy.group_table());
    }

    async fn dump(&self) -> serde_json::Value {
        let mut groups = serde_json::Map::new();
        for (group, inbox) in &self.groups {
            let (reply, answer) = oneshot::channel();
            if inbox.try_send(GroupEvent::Dump(reply)).is_ok()
                && let Ok(state) = answer.await
            {
                groups.insert(group.to_string(), state);
            }
        }
        let announced = self.announcements.iter().map(|(group, instances)| {
            let names: Vec<_> = instances.keys().map(ToString::to_string).collect();
            (group.to_string(), serde_json::json!(names))
        });
        serde_json::json!({
            "led": groups,
            "announced": announced.collect::<serde_json::Map<_, _>>(),
        })
    }
}
