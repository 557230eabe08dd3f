//! The endpoint stand-in: one instance with a data port, an agent and announcements.

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

/// The most connections to an agent's port; every VM that watches the instance holds a few.
const AGENT_CONNECTIONS: u32 = 1024;

/// How an endpoint is set up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSettings {
    /// The group.
    pub group: GroupName,
    /// The instance.
    pub instance: InstanceName,
    /// The failure domain.
    pub domain: DomainName,
    /// Where to take statements; port 0 picks a free one.
    pub data_address: SocketAddr,
    /// Where the agent answers; port 0 picks a free one.
    pub agent_address: SocketAddr,
    /// The data address to announce, if callers come by another way, such as a relay.
    pub advertised_data: Option<SocketAddr>,
    /// The agent's address to announce, if another.
    pub advertised_agent: Option<SocketAddr>,
    /// Daemons to announce to.
    pub announce: Vec<SocketAddr>,
    /// How many statements run at once.
    pub slots: u32,
    /// How many connections are taken.
    pub connections: u32,
    /// How long a connection takes to open.
    pub connect_time: Duration,
    /// How long a statement takes.
    pub service_time: Duration,
    /// A replica's lag, in milliseconds.
    pub lag_ms: u64,
    /// Whether the instance starts as the primary of term 0, for a brand new group.
    pub primary: bool,
}

impl EndpointSettings {
    /// Returns the settings of a quick endpoint of the group `cases` on free ports of 127.0.0.1.
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

/// What the endpoint's tasks share.
#[derive(Debug)]
pub struct EndpointShared {
    /// Which instance of which group this is.
    pub identity: InstanceIdentity,
    /// The instance.
    pub instance: InstanceHandle,
    /// The faults in force.
    pub faults: watch::Sender<FaultState>,
    /// The slots.
    pub slots: Arc<Semaphore>,
    /// The connections that may still be opened.
    pub connections: Arc<Semaphore>,
    /// How long a connection takes to open.
    pub connect_time: Duration,
    /// How long a statement takes.
    pub service_time: Duration,
}

impl EndpointShared {
    /// Waits while the endpoint is frozen.
    pub async fn pass_freeze(&self) {
        let mut faults = self.faults.subscribe();
        // The sender lives as long as `self`, so the wait can't fail.
        let _ = faults.wait_for(|state| !state.frozen).await;
    }

    /// Waits while the endpoint is frozen or cut off, for calls that it makes itself.
    pub async fn pass_isolation(&self) {
        let mut faults = self.faults.subscribe();
        // The sender lives as long as `self`, so the wait can't fail.
        let _ = faults
            .wait_for(|state| !state.frozen && !state.isolated)
            .await;
    }

    /// Applies a fault and returns the faults then in force.
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
    /// Starts an endpoint's tasks.
    ///
    /// # Errors
    ///
    /// Returns the [`io::Error`] of a port that can't be bound.
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
            .max_connections(AGENT_CONNECTIONS)
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

    /// Returns where the endpoint takes statements.
    pub fn data_address(&self) -> SocketAddr {
        self.data_address
    }

    /// Returns where the agent answers.
    pub fn agent_address(&self) -> SocketAddr {
        self.agent_address
    }

    /// Returns what the endpoint's tasks share, for tests in the same process.
    pub fn shared(&self) -> &Arc<EndpointShared> {
        &self.shared
    }

    /// Announces that the instance is leaving and keeps serving for a while.
    pub async fn leave(&self, patience: Duration) {
        self.shared.instance.set_leaving(true).await;
        tokio::time::sleep(patience).await;
    }

    /// Stops all tasks and waits until they have ended.
    pub async fn stop(mut self) {
        // An agent that has stopped already needs no second order.
        let _ = self.agent.stop();
        self.agent.stopped().await;
        self.tasks.shutdown().await;
    }
}
