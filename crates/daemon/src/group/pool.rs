//! The endpoints of a group that announce themselves to its leaseholder, with the connections to
//! them and the tasks that watch their agents.

use super::GroupContext;
use super::notice::AgentReport;
use super::notice::GroupNotice;
use crate::connection::ConnectionCommand;
use crate::connection::ConnectionEvent;
use crate::connection::ConnectionId;
use crate::connection::ConnectionTarget;
use crate::connection::spawn_connection;
use crate::descriptors::DescriptorGuard;
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

/// How long an agent holds a status request open while nothing changes (long polling). Each return
/// also shows that the agent is alive.
const LONG_POLL_HOLD: Duration = Duration::from_millis(400);

/// The pause before an agent that did not answer is asked again.
const AGENT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The ping timeout of a connection, as a multiple of the probe timeout. Closing a working
/// connection costs 12 ms; a statement that waits behind a lost ping may miss its deadline.
const PING_TIMEOUT_PROBES: u32 = 2;

/// An endpoint that announces itself.
#[derive(Debug)]
pub struct EndpointEntry {
    /// Its last announcement.
    pub announcement: EndpointAnnouncement,
    /// When the last announcement arrived.
    pub announced_at: ClockTime,
    watcher: AbortHandle,
    _guard: DescriptorGuard,
}

/// A connection in the pool.
#[derive(Debug)]
pub struct PoolConnection {
    /// The instance that it connects to.
    pub instance: InstanceName,
    /// Whether it has been established.
    pub open: bool,
    /// The request that runs on it.
    pub running: Option<RequestTicket>,
    /// The transaction that it is pinned to.
    pub pinned: Option<TransactionId>,
    /// Whether it takes no further statement: an answer is outstanding, a cancel was sent on it, or
    /// its endpoint has been removed.
    pub unusable: bool,
    /// Whether it is under validation: a ping must be answered before it takes another statement.
    pub validating: bool,
    /// Whether its endpoint has been removed; the scheduler no longer counts the connection.
    pub retired: bool,
    commands: mpsc::Sender<ConnectionCommand>,
}

impl PoolConnection {
    fn is_idle(&self) -> bool {
        let in_use = self.running.is_some() || self.pinned.is_some();
        self.open && !self.unusable && !self.validating && !in_use
    }

    /// Sends a command to the connection's task and returns whether it was accepted.
    pub fn send(&self, command: ConnectionCommand) -> bool {
        self.commands.try_send(command).is_ok()
    }
}

/// The endpoints of one group and the connections to them.
pub struct EndpointPool {
    context: Arc<GroupContext>,
    group: GroupName,
    notices: mpsc::Sender<GroupNotice>,
    events: mpsc::Sender<ConnectionEvent>,
    endpoints: BTreeMap<InstanceName, EndpointEntry>,
    /// When each instance last announced itself, also after its endpoint was removed.
    last_announced: BTreeMap<InstanceName, ClockTime>,
    created_at: ClockTime,
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
            created_at: context.clock.now(),
            context,
            group,
            notices,
            events,
            endpoints: BTreeMap::new(),
            last_announced: BTreeMap::new(),
            connections: BTreeMap::new(),
            next_id: 0,
            children: JoinSet::new(),
        }
    }

    /// Records an announcement and returns whether the endpoint is new or has moved.
    pub fn record_announcement(&mut self, announcement: EndpointAnnouncement) -> bool {
        let announced_at = self.context.clock.now();
        let instance = announcement.instance.clone();
        self.last_announced.insert(instance.clone(), announced_at);
        if let Some(entry) = self.endpoints.get_mut(&instance)
            && entry.announcement.agent_address == announcement.agent_address
            && entry.announcement.data_address == announcement.data_address
        {
            entry.announcement = announcement;
            entry.announced_at = announced_at;
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
            announced_at,
            watcher,
            _guard: self.context.descriptors.count_endpoint(),
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

    /// Returns the time since an instance last announced itself, or since this pool was created.
    pub fn silent_for(&self, instance: &InstanceName, now: ClockTime) -> Duration {
        let last = self.last_announced.get(instance).copied();
        now.since(last.unwrap_or(self.created_at))
    }

    /// Returns when the next endpoint will not have announced itself for `limit`.
    pub fn next_silence(&self, limit: Duration) -> Option<ClockTime> {
        let announced = self.endpoints.values().map(|entry| entry.announced_at);
        announced.min().map(|oldest| oldest + limit)
    }

    /// Removes and returns the endpoints that have not announced themselves for `limit`.
    pub fn remove_silent(&mut self, limit: Duration) -> Vec<InstanceName> {
        let now = self.context.clock.now();
        let silent = self
            .endpoints
            .iter()
            .filter(|(_, entry)| now.since(entry.announced_at) >= limit);
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

    /// Starts to open a connection to an instance; an event reports the result. Returns false if
    /// the instance has no endpoint.
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
            ping_timeout: Duration::from_millis(timing.probe_timeout_ms) * PING_TIMEOUT_PROBES,
        };
        let guard = self.context.descriptors.hold(DescriptorUse::Endpoints);
        let (commands, task) = spawn_connection(target, self.events.clone());
        self.children.spawn(async move {
            // A panic of the task was logged by the panic hook.
            let _ = task.await;
            drop(guard);
        });
        let connection = PoolConnection {
            instance: instance.clone(),
            open: false,
            running: None,
            pinned: None,
            unusable: false,
            validating: false,
            retired: false,
            commands,
        };
        self.connections.insert(id, connection);
        true
    }

    /// Returns the newest idle connection to an instance, so that older ones can time out as idle.
    pub fn find_idle(&self, instance: &InstanceName) -> Option<ConnectionId> {
        let mut newest_first = self.connections.iter().rev();
        let found = newest_first.find(|(_, one)| one.instance == *instance && one.is_idle());
        found.map(|(id, _)| *id)
    }

    /// Returns the connection that a transaction is pinned to.
    pub fn find_pinned(&self, transaction: TransactionId) -> Option<ConnectionId> {
        let mut connections = self.connections.iter();
        let found = connections.find(|(_, one)| one.pinned == Some(transaction));
        found.map(|(id, _)| *id)
    }

    /// Returns whether a statement runs on a connection.
    pub fn is_running(&self, id: ConnectionId) -> bool {
        let connection = self.connections.get(&id);
        connection.is_some_and(|one| one.running.is_some())
    }

    /// Returns a connection.
    pub fn connection(&mut self, id: ConnectionId) -> Option<&mut PoolConnection> {
        self.connections.get_mut(&id)
    }

    /// Removes a connection; its task ends when its statement has ended.
    pub fn remove_connection(&mut self, id: ConnectionId) -> Option<PoolConnection> {
        self.connections.remove(&id)
    }

    /// Closes an instance's connections, a busy one when its statement has ended, and returns the
    /// transactions that lose their connection at once.
    ///
    /// Otherwise an endpoint that is repeatedly lost and announced again would accumulate
    /// connections until it reaches its limit.
    pub fn retire_connections(&mut self, instance: &InstanceName) -> Vec<TransactionId> {
        let own = |one: &PoolConnection| one.instance == *instance;
        for connection in self.connections.values_mut().filter(|one| own(one)) {
            connection.retired = true;
            connection.unusable = true;
        }
        let idle = self
            .connections
            .extract_if(.., |_, one| own(one) && one.running.is_none());
        idle.filter_map(|(_, connection)| connection.pinned)
            .collect()
    }

    /// Starts the validation of every idle connection to an instance by a ping, and returns their
    /// number.
    ///
    /// One silent connection suggests that a device on the path has dropped the state of them all,
    /// which the next statements would otherwise discover one by one.
    pub fn validate_idle(&mut self, instance: &InstanceName) -> usize {
        let all = self.connections.values_mut();
        let mut count = 0;
        for connection in all.filter(|one| one.instance == *instance && one.is_idle()) {
            if connection.send(ConnectionCommand::Ping) {
                connection.validating = true;
                count += 1;
            }
        }
        count
    }

    /// Returns the number of connections, open or opening.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of connections to each instance, for dumps.
    pub fn count_by_instance(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for connection in self.connections.values() {
            *counts.entry(connection.instance.to_string()).or_default() += 1;
        }
        counts
    }

    /// Joins the child tasks that have ended.
    pub fn join_ended_children(&mut self) {
        while self.children.try_join_next().is_some() {}
    }

    /// Closes all connections and joins all child tasks.
    pub async fn shut_down(&mut self) {
        self.connections.clear();
        self.endpoints.clear();
        self.children.shutdown().await;
    }
}

/// Reports every change of an agent's status, and its silence, until the task is aborted.
///
/// The first request, and the first one after a silence, is answered at once. If the agent held it
/// open like the others, nothing would be known of the instance for [`LONG_POLL_HOLD`] after each
/// takeover: replicas would serve no reads, and the status would then be as old as the hold.
async fn watch_agent(
    context: Arc<GroupContext>,
    identity: InstanceIdentity,
    address: SocketAddr,
    notices: mpsc::Sender<GroupNotice>,
) {
    let mut known: Option<InstanceStatus> = None;
    let hold_ms = LONG_POLL_HOLD.as_millis() as u64;
    let grace = Duration::from_millis(context.settings.timing.probe_timeout_ms);
    loop {
        let sent_at = context.clock.now();
        let call = |client: Arc<WsClient>| async move {
            match known {
                Some(known) => client.wait_change(known, hold_ms).await,
                None => client.status().await,
            }
        };
        let limit = LONG_POLL_HOLD + grace;
        let status = context.links.call_instance(address, &identity, limit, call);
        let status = status.await.ok();
        let report = AgentReport {
            instance: identity.instance.clone(),
            sent_at,
            status,
        };
        if notices.send(GroupNotice::Agent(report)).await.is_err() {
            return;
        }
        known = status;
        if status.is_none() {
            sleep(AGENT_RETRY_PAUSE).await;
        }
    }
}
