//! A stand-in for a database endpoint: one in-memory instance with a data port, an agent,
//! replication and announcements.

use crate::agent_port::AgentService;
use crate::announcer::Announcer;
use crate::data_port::DataPort;
use crate::faults::FaultRequest;
use crate::faults::FaultState;
use crate::instance::InstanceCore;
use crate::instance_task::InstanceHandle;
use crate::instance_task::create_instance;
use crate::replication::run_puller;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use ragwort_types::DomainName;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::GroupName;
use ragwort_types::InstanceIdentity;
use ragwort_types::InstanceName;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The maximum number of connections to an agent's port; each VM that monitors the instance holds a
/// few.
const MAX_AGENT_CONNECTIONS: u32 = 1024;

/// The settings of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSettings {
    /// The name of the database group.
    pub group: GroupName,
    /// The name of the instance.
    pub instance: InstanceName,
    /// The failure domain.
    pub domain: DomainName,
    /// The address of the data port; port 0 selects a free one.
    pub data_address: SocketAddr,
    /// The address of the agent; port 0 selects a free one.
    pub agent_address: SocketAddr,
    /// The announced address of the data port, if clients connect through a relay.
    pub advertised_data: Option<SocketAddr>,
    /// The announced address of the agent, if clients connect through a relay.
    pub advertised_agent: Option<SocketAddr>,
    /// The addresses of the daemons to announce to.
    pub announce: Vec<SocketAddr>,
    /// The number of statements that can run concurrently.
    pub slots: u32,
    /// The maximum number of connections.
    pub connections: u32,
    /// The time that opening a connection takes.
    pub connect_time: Duration,
    /// The time that a statement occupies a slot.
    pub service_time: Duration,
    /// The replication lag of a replica, in milliseconds.
    pub lag_ms: u64,
    /// Whether the instance starts as the primary of term 0, as in a new group.
    pub primary: bool,
}

impl EndpointSettings {
    /// Returns the settings of an endpoint of the group `cases` for tests: on free ports of
    /// 127.0.0.1, with a service time of 1 ms, without delays or announcements.
    pub fn quick(instance: &str, primary: bool) -> Self {
        let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
        Self {
            group: "cases".into(),
            instance: instance.into(),
            domain: "windhoek-a".into(),
            data_address: any_port,
            agent_address: any_port,
            advertised_data: None,
            advertised_agent: None,
            announce: Vec::new(),
            slots: 2,
            connections: 16,
            connect_time: Duration::ZERO,
            service_time: Duration::from_millis(1),
            lag_ms: 0,
            primary,
        }
    }
}

/// The state that the endpoint's tasks share.
#[derive(Debug)]
pub struct EndpointShared {
    /// The names of group and instance.
    pub identity: InstanceIdentity,
    /// The instance's state.
    pub instance: InstanceHandle,
    /// The active faults.
    pub faults: watch::Sender<FaultState>,
    /// One permit for each free slot.
    pub slots: Arc<Semaphore>,
    /// One permit for each connection that may still be opened.
    pub connections: Arc<Semaphore>,
    /// The time that opening a connection takes.
    pub connect_time: Duration,
    /// The time that a statement occupies a slot.
    pub service_time: Duration,
}

impl EndpointShared {
    /// Waits while the endpoint is frozen.
    pub async fn wait_until_thawed(&self) {
        let mut faults = self.faults.subscribe();
        // The sender lives as long as `self`, so the wait can't fail.
        let _ = faults.wait_for(|state| !state.frozen).await;
    }

    /// Waits while the endpoint is frozen or isolated, in which case it must not make calls.
    pub async fn wait_until_calls_allowed(&self) {
        let mut faults = self.faults.subscribe();
        // The sender lives as long as `self`, so the wait can't fail.
        let _ = faults
            .wait_for(|state| !state.frozen && !state.isolated)
            .await;
    }

    /// Applies a fault request and returns the resulting state.
    pub async fn set_fault(&self, request: FaultRequest) -> FaultState {
        if let FaultRequest::Leaving(leaving) = request {
            self.instance.set_leaving(leaving).await;
        }
        self.faults.send_modify(|state| state.apply(request));
        *self.faults.borrow()
    }
}

/// A running endpoint.
#[derive(Debug)]
pub struct LabEndpoint {
    shared: Arc<EndpointShared>,
    data_address: SocketAddr,
    agent_address: SocketAddr,
    agent: ServerHandle,
    tasks: JoinSet<()>,
}

impl LabEndpoint {
    /// Binds the ports and starts the endpoint's tasks.
    ///
    /// # Errors
    ///
    /// Returns an [`io::Error`] if a port can't be bound.
    pub async fn start(settings: &EndpointSettings) -> io::Result<Self> {
        let (instance_task, instance) = create_instance(InstanceCore::new(settings.primary));
        let shared = Arc::new(EndpointShared {
            identity: InstanceIdentity {
                group: settings.group.clone(),
                instance: settings.instance.clone(),
            },
            instance,
            faults: watch::Sender::new(FaultState::new(settings.lag_ms)),
            slots: Arc::new(Semaphore::new(settings.slots as usize)),
            connections: Arc::new(Semaphore::new(settings.connections as usize)),
            connect_time: settings.connect_time,
            service_time: settings.service_time,
        });
        let listener = TcpListener::bind(settings.data_address).await?;
        let data_address = listener.local_addr()?;
        let config = ServerConfig::builder()
            .max_connections(MAX_AGENT_CONNECTIONS)
            .set_tcp_no_delay(true)
            .build();
        let server = Server::builder()
            .set_config(config)
            .build(settings.agent_address)
            .await?;
        let agent_address = server.local_addr()?;
        let agent = server.start(AgentService::new(shared.clone()).into_methods());

        let announcement = EndpointAnnouncement {
            started_ms: 0,
            sequence: 0,
            group: settings.group.clone(),
            instance: settings.instance.clone(),
            domain: settings.domain.clone(),
            data_address: settings.advertised_data.unwrap_or(data_address),
            agent_address: settings.advertised_agent.unwrap_or(agent_address),
            slots: settings.slots,
            connections: settings.connections,
            status: shared.instance.status(),
        };
        let announcer = Announcer::new(announcement, settings.announce.clone());
        let mut tasks = JoinSet::new();
        tasks.spawn(instance_task.run());
        tasks.spawn(DataPort::new(shared.clone()).run(listener));
        tasks.spawn(run_puller(shared.clone()));
        tasks.spawn(announcer.run(shared.clone()));
        Ok(Self {
            shared,
            data_address,
            agent_address,
            agent,
            tasks,
        })
    }

    /// Returns the address of the data port.
    pub fn data_address(&self) -> SocketAddr {
        self.data_address
    }

    /// Returns the address of the agent.
    pub fn agent_address(&self) -> SocketAddr {
        self.agent_address
    }

    /// Returns the state that the endpoint's tasks share, for tests in the same process.
    pub fn shared(&self) -> &Arc<EndpointShared> {
        &self.shared
    }

    /// Announces that the instance is about to shut down and keeps serving for the notice period.
    pub async fn leave(&self, notice: Duration) {
        self.shared.instance.set_leaving(true).await;
        tokio::time::sleep(notice).await;
    }

    /// Stops all tasks and waits until they have ended.
    pub async fn stop(mut self) {
        // An error means that the agent has already been stopped.
        let _ = self.agent.stop();
        self.agent.stopped().await;
        self.tasks.shutdown().await;
    }
}
