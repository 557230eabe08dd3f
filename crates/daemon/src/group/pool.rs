//! A group's endpoints as its leaseholder uses them: announcements, agents and connections.

use super::GroupContext;
use super::notice::AgentReport;
use super::notice::GroupNotice;
use crate::connection::ConnectionEvent;
use crate::connection::ConnectionId;
use crate::connection::ConnectionOrder;
use crate::connection::ConnectionTarget;
use crate::connection::spawn_connection;
use crate::descriptors::DescriptorHold;
use crate::descriptors::DescriptorUse;
use jsonrpsee_ws_client::WsClient;
use ragwort_control::ClockTime;
use ragwort_policy::RequestTicket;
use ragwort_rpc::AgentApiClient;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::GroupName;
use ragwort_types::InstanceIdentity;
use ragwort_types::InstanceName;
use ragwort_types::InstanceStatus;
use ragwort_types::TransactionId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// How long an agent holds a call that waits for a change. Each return is also a sign of life.
const WATCH_HOLD: Duration = Duration::from_millis(400);

/// The pause after an agent did not answer.
const WATCH_PAUSE: Duration = Duration::from_millis(50);

/// How many times a probe's time a connection may take to answer a ping. A connection that is
/// closed for nothing costs 12 ms; a statement that waits behind a lost ping may miss its deadline.
const PING_PROBES: u32 = 2;

/// An endpoint that announces itself.
#[derive(Debug)]
pub struct EndpointEntry {
    /// What it last said of itself.
    pub announcement: EndpointAnnouncement,
    /// When it said so.
    pub heard: ClockTime,
    watcher: AbortHandle,
    _hold: DescriptorHold,
}

/// A connection in the pool.
#[derive(Debug)]
pub struct PoolConnection {
    /// The instance it leads to.
    pub instance: InstanceName,
    /// Whether it is open yet.
    pub open: bool,
    /// The request that runs on it.
    pub running: Option<RequestTicket>,
    /// The transaction that holds it.
    pub pinned: Option<TransactionId>,
    /// Whether it takes no further statement: it owes an answer, or a cancel was sent on it.
    pub spent: bool,
    /// Whether it has to prove that it still answers before it takes another statement.
    pub doubted: bool,
    /// Whether its endpoint was taken out of use since: the scheduler counts it no more.
    pub retired: bool,
    orders: mpsc::Sender<ConnectionOrder>,
}

impl PoolConnection {
    fn is_idle(&self) -> bool {
        let taken = self.running.is_some() || self.pinned.is_some();
        self.open && !self.spent && !self.doubted && !taken
    }

    /// Hands an order to the connection's task and says whether it was taken.
    pub fn send(&self, order: ConnectionOrder) -> bool {
        self.orders.try_send(order).is_ok()
    }
}

/// The endpoints and connections of one group.
pub struct EndpointPool {
    context: Arc<GroupContext>,
    group: GroupName,
    notices: mpsc::Sender<GroupNotice>,
    events: mpsc::Sender<ConnectionEvent>,
    endpoints: BTreeMap<InstanceName, EndpointEntry>,
    last_heard: BTreeMap<InstanceName, ClockTime>,
    born: ClockTime,
    connections: BTreeMap<ConnectionId, PoolConnection>,
    next_id: u64,
    children: JoinSet<()>,
}

impl EndpointPool {
    /// Creates an empty pool that reports to the group's task.
    pub fn new(
        context: Arc<GroupContext>,
        group: GroupName,
        notices: mpsc::Sender<GroupNotice>,
        events: mpsc::Sender<ConnectionEvent>,
    ) -> Self {
        Self {
            born: context.clock.now(),
            context,
            group,
            notices,
            events,
            endpoints: BTreeMap::new(),
            last_heard: BTreeMap::new(),
            connections: BTreeMap::new(),
            next_id: 0,
            children: JoinSet::new(),
        }
    }

    /// Takes an announcement and says whether the endpoint is new or has moved.
    pub fn take_announcement(&mut self, announcement: EndpointAnnouncement) -> bool {
        let heard = self.context.clock.now();
        let instance = announcement.instance.clone();
        self.last_heard.insert(instance.clone(), heard);
        if let Some(entry) = self.endpoints.get_mut(&instance)
            && entry.announcement.agent_address == announcement.agent_address
            && entry.announcement.data_address == announcement.data_address
        {
            entry.announcement = announcement;
            entry.heard = heard;
            return false;
        }
        self.remove_endpoint(&instance);
        let identity = InstanceIdentity {
            group: self.group.clone(),
            instance: instance.clone(),
        };
        let watch = watch_agent(
            Arc::clone(&self.context),
            identity,
            announcement.agent_address,
            self.notices.clone(),
        );
        let watcher = self.children.spawn(watch);
        let entry = EndpointEntry {
            announcement,
            heard,
            watcher,
            _hold: self.context.descriptors.serve_endpoint(),
        };
        self.endpoints.insert(instance, entry);
        true
    }

    /// Returns an endpoint.
    pub fn endpoint(&self, instance: &InstanceName) -> Option<&EndpointEntry> {
        self.endpoints.get(instance)
    }

    /// Iterates over the endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.endpoints.values()
    }

    /// Returns how long an instance has not announced itself to this leaseholder.
    pub fn silent_for(&self, instance: &InstanceName, now: ClockTime) -> Duration {
        let last = self.last_heard.get(instance).copied();
        now.since(last.unwrap_or(self.born))
    }

    /// Removes endpoints that have not announced themselves for `limit`.
    pub fn remove_silent(&mut self, limit: Duration) -> Vec<InstanceName> {
        let now = self.context.clock.now();
        let silent = self
            .endpoints
            .iter()
            .filter(|(_, entry)| now.since(entry.heard) >= limit);
        let silent: Vec<InstanceName> = silent.map(|(instance, _)| instance.clone()).collect();
        for instance in &silent {
            self.remove_endpoint(instance);
        }
        silent
    }

    fn remove_endpoint(&mut self, instance: &InstanceName) {
        if let Some(entry) = self.endpoints.remove(instance) {
            entry.watcher.abort();
        }
    }

    /// Starts to open a connection to an instance; its event tells how that ended.
    pub fn open_connection(&mut self, instance: &InstanceName) -> bool {
        let Some(entry) = self.endpoints.get(instance) else {
            return false;
        };
        let timing = &self.context.settings.timing;
        self.next_id += 1;
        let id = ConnectionId(self.next_id);
        let target = ConnectionTarget {
            id,
            address: entry.announcement.data_address,
            database: self.group.to_string(),
            instance: instance.clone(),
            connect_timeout: Duration::from_millis(timing.connect_timeout_ms),
            idle_ping: Duration::from_millis(timing.idle_ping_ms),
            ping_timeout: Duration::from_millis(timing.probe_timeout_ms) * PING_PROBES,
        };
        let hold = self.context.descriptors.hold(DescriptorUse::Endpoints);
        let (orders, task) = spawn_connection(target, self.events.clone());
        self.children.spawn(async move {
            // A task that panicked has logged that itself.
            let _ = task.await;
            drop(hold);
        });
        let connection = PoolConnection {
            instance: instance.clone(),
            open: false,
            running: None,
            pinned: None,
            spent: false,
            doubted: false,
            retired: false,
            orders,
        };
        self.connections.insert(id, connection);
        true
    }

    /// Finds an idle connection to an instance: the one used last, so that the others can idle out.
    pub fn find_idle(&self, instance: &InstanceName) -> Option<ConnectionId> {
        let mut newest_first = self.connections.iter().rev();
        let found = newest_first.find(|(_, one)| one.instance == *instance && one.is_idle());
        found.map(|(id, _)| *id)
    }

    /// Finds the connection that a transaction holds.
    pub fn find_pinned(&self, transaction: TransactionId) -> Option<ConnectionId> {
        let mut connections = self.connections.iter();
        let found = connections.find(|(_, one)| one.pinned == Some(transaction));
        found.map(|(id, _)| *id)
    }

    /// Says whether a statement runs on a connection.
    pub fn is_running(&self, id: ConnectionId) -> bool {
        let connection = self.connections.get(&id);
        connection.is_some_and(|one| one.running.is_some())
    }

    /// Returns a connection.
    pub fn connection(&mut self, id: ConnectionId) -> Option<&mut PoolConnection> {
        self.connections.get_mut(&id)
    }

    /// Forgets a connection; its task ends once its statement has ended.
    pub fn remove_connection(&mut self, id: ConnectionId) -> Option<PoolConnection> {
        self.connections.remove(&id)
    }

    /// Closes an instance's connections, those with a running statement once it has ended, and
    /// returns the transactions that lose theirs at once.
    ///
    /// If they stayed, an endpoint whose announcements come and go would hold the connections of
    /// each time until it had no room left.
    pub fn retire_connections(&mut self, instance: &InstanceName) -> Vec<TransactionId> {
        let own = |one: &PoolConnection| one.instance == *instance;
        for connection in self.connections.values_mut().filter(|one| own(one)) {
            connection.retired = true;
            connection.spent = true;
        }
        let idle = self
            .connections
            .extract_if(.., |_, one| own(one) && one.running.is_none());
        idle.filter_map(|(_, connection)| connection.pinned)
            .collect()
    }

    /// Makes every idle connection to an instance prove that it still answers, and returns how many
    /// there are.
    ///
    /// One silent connection suggests that something on the path has forgotten them all; the
    /// caller's next statements would otherwise find that out one by one.
    pub fn doubt_idle(&mut self, instance: &InstanceName) -> usize {
        let all = self.connections.values_mut();
        let mut count = 0;
        for connection in all.filter(|one| one.instance == *instance && one.is_idle()) {
            if connection.send(ConnectionOrder::Ping) {
                connection.doubted = true;
                count += 1;
            }
        }
        count
    }

    /// Returns the number of connections, open or opening.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Counts connections by instance, for dumps.
    pub fn count_by_instance(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for connection in self.connections.values() {
            *counts.entry(connection.instance.to_string()).or_default() += 1;
        }
        counts
    }

    /// Joins children that have ended.
    pub fn reap(&mut self) {
        while self.children.try_join_next().is_some() {}
    }

    /// Closes everything and joins all children.
    pub async fn shut_down(&mut self) {
        self.connections.clear();
        self.endpoints.clear();
        self.children.shutdown().await;
    }
}

/// Reports an agent's every change, and its silence, until the task is ended.
///
/// The first question, and the first one after a silence, is answered at once. If it were held like the
/// others, nothing would be known of the instance for [`WATCH_HOLD`] after each takeover: replicas would
/// serve no reads meanwhile, and what is known then would be as old as the hold.
async fn watch_agent(
    context: Arc<GroupContext>,
    identity: InstanceIdentity,
    address: SocketAddr,
    notices: mpsc::Sender<GroupNotice>,
) {
    let mut known: Option<InstanceStatus> = None;
    let hold_ms = WATCH_HOLD.as_millis() as u64;
    let grace = Duration::from_millis(context.settings.timing.probe_timeout_ms);
    loop {
        let asked = context.clock.now();
        let call = |client: Arc<WsClient>| async move {
            match known {
                Some(known) => client.wait_change(known, hold_ms).await,
                None => client.status().await,
            }
        };
        let limit = WATCH_HOLD + grace;
        let status = context.links.call_instance(address, &identity, limit, call);
        let status = status.await.ok();
        let report = AgentReport {
            instance: identity.instance.clone(),
            asked,
            status,
        };
        if notices.send(GroupNotice::Agent(report)).await.is_err() {
            return;
        }
        known = status;
        if status.is_none() {
            sleep(WATCH_PAUSE).await;
        }
    }
}
