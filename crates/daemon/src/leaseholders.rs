//! The manager of this VM's leaseholders: one task per group that is placed here.
//!
//! The manager also keeps what endpoints announce of themselves. A standby hears the announcements
//! too, so that it knows the endpoints at once when it takes a group over.

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
use ragwort_types::AnnouncementReply;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::GroupName;
use ragwort_types::GroupPlacement;
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
use tokio::task::JoinHandle;
use tokio::time::interval;

/// How often announcements that have grown old are dropped.
const SWEEP_EVERY: Duration = Duration::from_millis(500);

/// How long an unplaced group's endpoints wait before control is asked to place it, so that the
/// first placement sees more than the instance that was quickest to announce itself.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Statements that may wait to be taken in by one group's task. The task takes them in at once, so
/// this is passed only when the process itself is starved.
const GROUP_INBOX: usize = 4_096;

/// What the manager is asked or told.
#[derive(Debug)]
pub enum LeaseholderEvent {
    /// A statement for a group that should be led here.
    Statement(Box<StatementRequest>, oneshot::Sender<StatementReply>),
    /// A statement to describe, for a group that should be led here.
    Describe(Box<ShapeRequest>, oneshot::Sender<ShapeReply>),
    /// Cancels a statement.
    Cancel(GroupName, StatementId),
    /// An endpoint announces itself.
    Announce(
        Box<EndpointAnnouncement>,
        oneshot::Sender<AnnouncementReply>,
    ),
    /// The state, for operators.
    Dump(oneshot::Sender<serde_json::Value>),
}

/// What an endpoint last said of itself.
#[derive(Clone, Debug)]
pub struct HeardAnnouncement {
    /// The announcement.
    pub announcement: EndpointAnnouncement,
    /// When it arrived.
    pub heard: ClockTime,
}

struct GroupHandle {
    inbox: mpsc::Sender<GroupEvent>,
    task: JoinHandle<()>,
}

/// The manager's task.
pub struct LeaseholderManager {
    context: Arc<GroupContext>,
    clock: NodeClock,
    view: watch::Receiver<MemberView>,
    unplaced: watch::Sender<Vec<GroupName>>,
    heard: BTreeMap<GroupName, BTreeMap<InstanceName, HeardAnnouncement>>,
    first_heard: BTreeMap<GroupName, ClockTime>,
    groups: BTreeMap<GroupName, GroupHandle>,
    placements: BTreeMap<GroupName, GroupPlacement>,
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
            heard: BTreeMap::new(),
            first_heard: BTreeMap::new(),
            groups: BTreeMap::new(),
            placements: BTreeMap::new(),
            edges,
        }
    }

    /// Runs until told to stop; then ends and joins the groups' tasks.
    pub async fn run(
        mut self,
        mut events: mpsc::Receiver<LeaseholderEvent>,
        mut stop: watch::Receiver<bool>,
    ) {
        let mut sweep = interval(SWEEP_EVERY);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.take_event(event).await,
                    None => break,
                },
                changed = self.view.changed() => {
                    if changed.is_err() {
                        break;
                    }
                    self.follow_view().await;
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
        for (_, handle) in std::mem::take(&mut self.groups) {
            drop(handle.inbox);
            let _ = handle.task.await;
        }
    }

    /// Closes the manager's own queue and refuses what waits in it.
    ///
    /// A statement that is dropped with the queue has no reply, so that its caller would be told that it
    /// may have run.
    async fn refuse_queue(&self, queue: &mut mpsc::Receiver<LeaseholderEvent>) {
        queue.close();
        while let Some(event) = queue.recv().await {
            match event {
                LeaseholderEvent::Statement(request, reply) => refuse_statement(&request, reply),
                LeaseholderEvent::Describe(request, reply) => refuse_shape(&request, reply),
                // Who asked for these is told by the missing answer.
                LeaseholderEvent::Cancel(_, _)
                | LeaseholderEvent::Announce(_, _)
                | LeaseholderEvent::Dump(_) => {}
            }
        }
    }

    async fn take_event(&mut self, event: LeaseholderEvent) {
        match event {
            LeaseholderEvent::Statement(request, reply) => self.take_statement(request, reply),
            LeaseholderEvent::Describe(request, reply) => self.take_describe(request, reply),
            LeaseholderEvent::Cancel(group, id) => {
                if let Some(handle) = self.groups.get(&group) {
                    let _ = handle.inbox.try_send(GroupEvent::Cancel(id));
                }
            }
            LeaseholderEvent::Announce(announcement, reply) => {
                let _ = reply.send(self.take_announcement(*announcement));
            }
            LeaseholderEvent::Dump(reply) => {
                let _ = reply.send(self.dump().await);
            }
        }
    }

    fn take_statement(
        &mut self,
        request: Box<StatementRequest>,
        reply: oneshot::Sender<StatementReply>,
    ) {
        let Some(handle) = self.groups.get(&request.group) else {
            return refuse_statement(&request, reply);
        };
        let event = GroupEvent::Statement(request, reply);
        if let Err(refused) = handle.inbox.try_send(event)
            && let GroupEvent::Statement(request, reply) = refused.into_inner()
        {
            refuse_statement(&request, reply);
        }
    }

    /// Passes a description on; dropping its `reply` tells the asker that nobody took it.
    fn take_describe(&mut self, request: Box<ShapeRequest>, reply: oneshot::Sender<ShapeReply>) {
        if let Some(handle) = self.groups.get(&request.group) {
            let _ = handle.inbox.try_send(GroupEvent::Describe(request, reply));
        }
    }

    fn take_announcement(&mut self, announcement: EndpointAnnouncement) -> AnnouncementReply {
        let now = self.clock.now();
        let group = announcement.group.clone();
        // One that was delayed on its way would bring back a role or a state that is over.
        if self.is_overtaken(&announcement) {
            let view = self.view.borrow();
            let record = view.copy.group(&group);
            return record.map_or_else(AnnouncementReply::default, |record| {
                self.direct_announcer(&view, record)
            });
        }
        self.first_heard.entry(group.clone()).or_insert(now);
        if let Some(handle) = self.groups.get(&group) {
            let event = GroupEvent::Announced(Box::new(announcement.clone()));
            let _ = handle.inbox.try_send(event);
        }
        let instances = self.heard.entry(group.clone()).or_default();
        let heard = HeardAnnouncement {
            announcement,
            heard: now,
        };
        instances.insert(heard.announcement.instance.clone(), heard);
        let view = self.view.borrow();
        match view.copy.group(&group) {
            Some(record) => self.direct_announcer(&view, record),
            None => AnnouncementReply::default(),
        }
    }

    fn is_overtaken(&self, announcement: &EndpointAnnouncement) -> bool {
        let instances = self.heard.get(&announcement.group);
        let known = instances.and_then(|instances| instances.get(&announcement.instance));
        known.is_some_and(|known| announcement.is_before(&known.announcement))
    }

    fn direct_announcer(&self, view: &MemberView, record: &GroupRecord) -> AnnouncementReply {
        let leaseholder = std::iter::once(&record.placement.leaseholder);
        let vms = leaseholder.chain(&record.placement.standbys);
        let members = vms.filter_map(|vm| view.copy.member(vm));
        AnnouncementReply {
            announce_to: members.map(|member| member.peer_address).collect(),
            leaseholder_told: record.placement.leaseholder == self.context.settings.vm,
        }
    }

    /// Drops what has not been heard for long and lists the groups that want a placement.
    fn sweep(&mut self) {
        let now = self.clock.now();
        let lost = Duration::from_millis(self.context.settings.timing.announce_lost_ms);
        for instances in self.heard.values_mut() {
            instances.retain(|_, one| now.since(one.heard) < lost);
        }
        self.heard.retain(|_, instances| !instances.is_empty());
        self.first_heard
            .retain(|group, _| self.heard.contains_key(group));
        let view = self.view.borrow();
        // Anybody can announce an endpoint of a group that nobody has a contract for.
        let is_named = |group: &GroupName| {
            let mut contracts = view.copy.contracts();
            view.copy.group_terms(group).is_some()
                || contracts.any(|held| held.contract.groups.contains(group))
        };
        let settled = self.first_heard.iter().filter(|(group, first)| {
            let unplaced = now.since(**first) >= SETTLE_TIME && view.copy.group(group).is_none();
            unplaced && is_named(group)
        });
        let unplaced: Vec<GroupName> = settled.map(|(group, _)| group.clone()).collect();
        drop(view);
        self.unplaced.send_if_modified(|known| {
            let changed = *known != unplaced;
            *known = unplaced;
            changed
        });
    }

    /// Starts a task for each group placed here; a task ends by itself when its group moves away.
    async fn follow_view(&mut self) {
        let ended = self
            .groups
            .extract_if(.., |_, handle| handle.task.is_finished());
        for (_, handle) in ended.collect::<Vec<_>>() {
            let _ = handle.task.await;
        }
        let view = self.view.borrow_and_update().clone();
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
            let (inbox, events) = mpsc::channel(GROUP_INBOX);
            for heard in self.heard.get(group).into_iter().flat_map(BTreeMap::values) {
                let announcement = Box::new(heard.announcement.clone());
                let _ = inbox.try_send(GroupEvent::Announced(announcement));
            }
            let context = Arc::clone(&self.context);
            let previous = self.placements.get(group).cloned();
            let view = self.view.clone();
            let record = record.clone();
            let task = match self.edges.clone() {
                NodeEdges::Postgres => spawn_group(context, record, previous, view, events),
                NodeEdges::Native(edges) => {
                    spawn_native_group(context, edges, record, view, events)
                }
            };
            self.groups
                .insert(group.clone(), GroupHandle { inbox, task });
        }
        self.context.metrics.set_groups_led(self.groups.len());
        let placements = view.copy.groups().map(|record| &record.placement);
        self.placements = placements
            .map(|one| (one.group.clone(), one.clone()))
            .collect();
    }

    async fn dump(&self) -> serde_json::Value {
        let mut groups = serde_json::Map::new();
        for (group, handle) in &self.groups {
            let (reply, answer) = oneshot::channel();
            if handle.inbox.try_send(GroupEvent::Dump(reply)).is_ok()
                && let Ok(state) = answer.await
            {
                groups.insert(group.to_string(), state);
            }
        }
        let heard = self.heard.iter().map(|(group, instances)| {
            let names: Vec<_> = instances.keys().map(ToString::to_string).collect();
            (group.to_string(), serde_json::json!(names))
        });
        serde_json::json!({
            "led": groups,
            "announced": heard.collect::<serde_json::Map<_, _>>(),
        })
    }
}
