//! The endpoints and connections of a native group.
//!
//! Each connection is opened for one account, whose rights the endpoint applies to all statements
//! on it. So a statement gets an idle connection of its own account only, and of those the one that
//! needs the fewest commands to restore the session's state.

use super::link::LinkEvent;
use super::link::LinkId;
use super::link::LinkOrder;
use super::link::LinkTarget;
use super::link::spawn_link;
use crate::descriptors::DescriptorBudget;
use crate::descriptors::DescriptorGuard;
use crate::descriptors::DescriptorUse;
use crate::edges::EndpointProtocol;
use ragwort_control::ClockTime;
use ragwort_control::digest_text;
use ragwort_policy::ConnectionImage;
use ragwort_policy::EndpointDemand;
use ragwort_policy::HeldConnection;
use ragwort_policy::RequestTicket;
use ragwort_types::AccountName;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::GroupName;
use ragwort_types::InstanceName;
use ragwort_types::PreparedDefinition;
use ragwort_types::SessionValues;
use ragwort_types::TransactionId;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// A known endpoint of the group.
#[derive(Debug)]
pub(super) struct NativeEndpoint {
    /// Its newest announcement.
    pub(super) announcement: EndpointAnnouncement,
    /// Time of arrival of that announcement.
    pub(super) announced_at: ClockTime,
    /// Time of its last answer on any connection.
    pub(super) answered_at: ClockTime,
    /// Number of connections in a row that failed to open.
    pub(super) failed_opens: u32,
    /// Start time of the probe under way: a connection opened to check that the endpoint is alive.
    pub(super) probe_started: Option<ClockTime>,
    /// Number of report requests in a row that it didn't answer in time.
    pub(super) silent_reports: u32,
    /// Its last refusal of a connection because of its connection limit.
    pub(super) full: Option<FullEndpoint>,
    /// How often each account uses connections to it.
    pub(super) demand: EndpointDemand,
    _guard: DescriptorGuard,
}

impl NativeEndpoint {
    /// Returns when the endpoint last announced itself or answered.
    pub(super) fn last_heard_at(&self) -> ClockTime {
        self.announced_at.max(self.answered_at)
    }
}

/// An endpoint's refusal of a connection because of its connection limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FullEndpoint {
    /// Time of the refusal.
    pub(super) since: ClockTime,
    /// Number of connections that this VM had open then.
    pub(super) held: u32,
}

/// How an announcement relates to the last one of its instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnnouncementKind {
    /// It is older than the last one.
    Stale,
    /// The instance wasn't known.
    New,
    /// It says the same as the last one.
    Repetition,
    /// It is the present state of a known process.
    Update,
    /// The instance has started again and kept no connections of its former process.
    Restart,
}

/// A connection in the pool.
#[derive(Debug)]
pub(super) struct NativeConnection {
    /// The instance it leads to.
    pub(super) instance: InstanceName,
    /// The address that it was opened to.
    pub(super) address: SocketAddr,
    /// The account whose callers it serves; `None` for callers without one.
    pub(super) account: Option<AccountName>,
    /// The account's digest, by which the scheduler knows it.
    account_digest: Option<u64>,
    /// Whether the opening exchange has ended.
    pub(super) open: bool,
    /// The state in which the scheduler counts it.
    pub(super) counted: ConnectionCount,
    /// The order under way.
    pub(super) work: ConnectionWork,
    /// The open transaction that it is reserved for.
    pub(super) pinned: Option<TransactionId>,
    /// Whether it takes no further orders.
    pub(super) unusable: bool,
    /// Whether it is under validation, which keeps statements off it.
    pub(super) validating: bool,
    /// Whether its endpoint was removed, so that the scheduler doesn't count it any more.
    pub(super) retired: bool,
    /// The session state that earlier statements left on it.
    pub(super) image: ConnectionImage,
    /// Time at which it was opened or its last order ended.
    pub(super) last_used: ClockTime,
    /// Time at which its opening began or its last statement of a caller ended.
    pub(super) last_statement: ClockTime,
    /// Time at which its last order was sent.
    pub(super) ordered_at: ClockTime,
    orders: mpsc::Sender<LinkOrder>,
}

/// The state in which the scheduler counts a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionCount {
    /// Being opened.
    Opening,
    /// Open. One that is opened for a waiting statement is counted so from the start.
    Open,
}

/// The order under way on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionWork {
    /// No order.
    Nothing,
    /// A caller's statement.
    Statement(RequestTicket),
    /// A report request or connection validation of the leaseholder.
    Internal,
}

impl NativeConnection {
    pub(super) fn is_idle(&self) -> bool {
        let free = self.work == ConnectionWork::Nothing && self.pinned.is_none();
        self.open && free && !self.unusable && !self.validating
    }

    /// Returns whether a caller's statement runs on it or a transaction holds it.
    fn is_used_by_caller(&self) -> bool {
        matches!(self.work, ConnectionWork::Statement(_)) || self.pinned.is_some()
    }

    /// Queues an order at the connection's task; returns false if the task has ended or its queue
    /// is full.
    pub(super) fn send(&self, order: LinkOrder) -> bool {
        self.orders.try_send(order).is_ok()
    }
}

/// Returns the digest by which the scheduler knows an account.
pub(super) fn digest_account(account: &AccountName) -> u64 {
    digest_text(account.as_str())
}

/// The endpoints and connections of one group.
pub(super) struct NativePool {
    group: GroupName,
    protocol: Arc<dyn EndpointProtocol>,
    open_limit: Duration,
    descriptors: DescriptorBudget,
    events: mpsc::Sender<LinkEvent>,
    endpoints: BTreeMap<InstanceName, NativeEndpoint>,
    connections: BTreeMap<LinkId, NativeConnection>,
    /// The instances whose idle connections may have changed since they were last taken.
    idle_changes: BTreeSet<InstanceName>,
    next_id: u64,
    children: JoinSet<()>,
}

impl NativePool {
    pub(super) fn new(
        group: GroupName,
        protocol: Arc<dyn EndpointProtocol>,
        open_limit: Duration,
        descriptors: DescriptorBudget,
        events: mpsc::Sender<LinkEvent>,
    ) -> Self {
        Self {
            group,
            protocol,
            open_limit,
            descriptors,
            events,
            endpoints: BTreeMap::new(),
            connections: BTreeMap::new(),
            idle_changes: BTreeSet::new(),
            next_id: 0,
            children: JoinSet::new(),
        }
    }

    /// Compares an announcement with the last one of its instance.
    pub(super) fn classify_announcement(
        &self,
        announcement: &EndpointAnnouncement,
    ) -> AnnouncementKind {
        let Some(known) = self.endpoints.get(&announcement.instance) else {
            return AnnouncementKind::New;
        };
        let known = &known.announcement;
        if announcement.is_before(known) {
            return AnnouncementKind::Stale;
        }
        if announcement.is_restart_since(known) {
            return AnnouncementKind::Restart;
        }
        match announcement.repeats(known) {
            true => AnnouncementKind::Repetition,
            false => AnnouncementKind::Update,
        }
    }

    /// Stores an announcement that isn't stale, and adds its endpoint if it is new.
    pub(super) fn record_announcement(
        &mut self,
        now: ClockTime,
        announcement: EndpointAnnouncement,
    ) {
        let instance = announcement.instance.clone();
        match self.endpoints.get_mut(&instance) {
            Some(known) => {
                known.announcement = announcement;
                known.announced_at = now;
            }
            None => {
                let endpoint = NativeEndpoint {
                    announcement,
                    announced_at: now,
                    answered_at: now,
                    failed_opens: 0,
                    probe_started: None,
                    silent_reports: 0,
                    full: None,
                    demand: EndpointDemand::default(),
                    _guard: self.descriptors.count_endpoint(),
                };
                self.note_idle_change(&instance);
                self.endpoints.insert(instance, endpoint);
            }
        }
    }

    pub(super) fn endpoint(&self, instance: &InstanceName) -> Option<&NativeEndpoint> {
        self.endpoints.get(instance)
    }

    pub(super) fn endpoint_mut(&mut self, instance: &InstanceName) -> Option<&mut NativeEndpoint> {
        self.endpoints.get_mut(instance)
    }

    pub(super) fn endpoints(&self) -> impl Iterator<Item = &NativeEndpoint> {
        self.endpoints.values()
    }

    pub(super) fn names(&self) -> Vec<InstanceName> {
        self.endpoints.keys().cloned().collect()
    }

    pub(super) fn remove_endpoint(&mut self, instance: &InstanceName) {
        self.endpoints.remove(instance);
    }

    /// Lists the endpoints that have neither announced themselves nor answered for `limit`.
    pub(super) fn find_silent(&self, now: ClockTime, limit: Duration) -> Vec<InstanceName> {
        let silent = self.endpoints.iter();
        let silent = silent.filter(|(_, one)| now.since(one.last_heard_at()) >= limit);
        silent.map(|(instance, _)| instance.clone()).collect()
    }

    /// Begins to open a connection to an instance for an account's callers. An event reports the
    /// outcome.
    ///
    /// Returns `None` if the instance isn't known.
    pub(super) fn open_connection(
        &mut self,
        now: ClockTime,
        instance: &InstanceName,
        account: Option<AccountName>,
    ) -> Option<LinkId> {
        let endpoint = self.endpoints.get(instance)?;
        self.next_id += 1;
        let id = LinkId(self.next_id);
        let target = LinkTarget {
            id,
            address: endpoint.announcement.data_address,
            group: self.group.clone(),
            instance: instance.clone(),
            account: account.clone(),
            open_limit: self.open_limit,
            protocol: Arc::clone(&self.protocol),
        };
        let guard = self.descriptors.hold(DescriptorUse::Endpoints);
        let (orders, task) = spawn_link(target, self.events.clone());
        self.children.spawn(async move {
            // A panic of the task was logged by the panic hook.
            let _ = task.await;
            drop(guard);
        });
        let connection = NativeConnection {
            instance: instance.clone(),
            address: endpoint.announcement.data_address,
            account_digest: account.as_ref().map(digest_account),
            account,
            open: false,
            counted: ConnectionCount::Opening,
            work: ConnectionWork::Nothing,
            pinned: None,
            unusable: false,
            validating: false,
            retired: false,
            image: ConnectionImage::default(),
            last_used: now,
            last_statement: now,
            ordered_at: now,
            orders,
        };
        self.connections.insert(id, connection);
        Some(id)
    }

    /// Finds the account's idle connection to an instance that needs the fewest commands to restore
    /// a session's state. Among equals it returns the last used one, so that the others can be
    /// closed as idle.
    pub(super) fn find_idle(
        &self,
        instance: &InstanceName,
        account: Option<&AccountName>,
        values: &SessionValues,
        prepared: Option<&PreparedDefinition>,
    ) -> Option<LinkId> {
        let own = self
            .connections
            .iter()
            .filter(|(_, one)| one.instance == *instance && one.account.as_ref() == account);
        let idle = own.filter(|(_, one)| one.is_idle());
        let best = idle.min_by_key(|(_, one)| {
            let cost = one.image.cost(values, prepared);
            (cost, std::cmp::Reverse(one.last_used))
        });
        best.map(|(id, _)| *id)
    }

    /// Records a statement of an account that needs a connection to an instance.
    pub(super) fn note_demand(
        &mut self,
        now: ClockTime,
        instance: &InstanceName,
        account: &AccountName,
    ) {
        let own = self.connections.values();
        let own = own.filter(|one| one.instance == *instance);
        let own = own.filter(|one| one.account.as_ref() == Some(account));
        let in_use = own.filter(|one| one.is_used_by_caller()).count();
        if let Some(endpoint) = self.endpoints.get_mut(instance) {
            endpoint.demand.note(now, Some(account), in_use);
        }
    }

    /// Finds any idle connection to an instance.
    pub(super) fn find_any_idle(&self, instance: &InstanceName) -> Option<LinkId> {
        let own = self.connections.iter();
        let mut idle = own.filter(|(_, one)| one.instance == *instance && one.is_idle());
        idle.next().map(|(id, _)| *id)
    }

    /// Returns the accounts that have an idle connection to an instance, by their digests.
    pub(super) fn idle_accounts(&self, instance: &InstanceName) -> impl Iterator<Item = u64> {
        let own = self.connections.values();
        let idle = own.filter(move |one| one.instance == *instance && one.is_idle());
        idle.filter_map(|one| one.account_digest)
    }

    /// Notes that the idle connections to an instance may have changed.
    pub(super) fn note_idle_change(&mut self, instance: &InstanceName) {
        if !self.idle_changes.contains(instance) {
            self.idle_changes.insert(instance.clone());
        }
    }

    /// Returns the instances whose idle connections may have changed since the last call.
    pub(super) fn take_idle_changes(&mut self) -> BTreeSet<InstanceName> {
        std::mem::take(&mut self.idle_changes)
    }

    /// Lists the connections to an instance, for the choice of one to replace.
    pub(super) fn list_held(&self, instance: &InstanceName) -> Vec<HeldConnection<'_>> {
        let own = self.connections.iter();
        let own = own.filter(|(_, one)| one.instance == *instance);
        let held = own.map(|(id, one)| HeldConnection {
            id: id.0,
            account: one.account.as_ref(),
            idle: one.is_idle(),
            last_used: one.last_statement,
        });
        held.collect()
    }

    pub(super) fn connection(&self, id: LinkId) -> Option<&NativeConnection> {
        self.connections.get(&id)
    }

    pub(super) fn connection_mut(&mut self, id: LinkId) -> Option<&mut NativeConnection> {
        let connection = self.connections.get_mut(&id)?;
        if !self.idle_changes.contains(&connection.instance) {
            self.idle_changes.insert(connection.instance.clone());
        }
        Some(connection)
    }

    /// Removes a connection. Its task ends after the orders that it was sent.
    pub(super) fn remove_connection(&mut self, id: LinkId) -> Option<NativeConnection> {
        let connection = self.connections.remove(&id)?;
        self.note_idle_change(&connection.instance);
        Some(connection)
    }

    pub(super) fn connections(&self) -> impl Iterator<Item = (LinkId, &NativeConnection)> {
        self.connections.iter().map(|(id, one)| (*id, one))
    }

    /// Lists an instance's connections.
    pub(super) fn links_of(&self, instance: &InstanceName) -> Vec<LinkId> {
        let own = self.connections.iter();
        let own = own.filter(|(_, one)| one.instance == *instance);
        own.map(|(id, _)| *id).collect()
    }

    /// Returns the number of connections to each instance, for dumps.
    pub(super) fn count_by_instance(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for connection in self.connections.values() {
            *counts.entry(connection.instance.to_string()).or_default() += 1;
        }
        counts
    }

    /// Returns the number of connections, open or opening.
    pub(super) fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Joins the connection tasks that have ended.
    pub(super) fn join_ended_children(&mut self) {
        while self.children.try_join_next().is_some() {}
    }

    /// Closes all connections and ends their tasks.
    pub(super) async fn shut_down(&mut self) {
        self.connections.clear();
        self.endpoints.clear();
        self.children.shutdown().await;
    }
}
