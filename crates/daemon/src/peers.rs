//! Links to other VMs and to endpoints' agents.
//!
//! A link is opened on first use and kept. [`LinkError`] distinguishes a call that has certainly
//! not run, because no connection could be opened, from one that may have run.

use crate::connecting::connect_stream;
use crate::descriptors::DescriptorBudget;
use crate::descriptors::DescriptorGuard;
use crate::descriptors::DescriptorUse;
use crate::log_event;
use crate::shortage::record_shortage;
use futures::future::join_all;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::client::Error as ClientError;
use jsonrpsee::rpc_params;
use jsonrpsee::types::error::METHOD_NOT_FOUND_CODE;
use jsonrpsee_ws_client::PingConfig;
use jsonrpsee_ws_client::WsClient;
use jsonrpsee_ws_client::WsClientBuilder;
use log::Level;
use ragwort_control::ProbeOutcome;
use ragwort_rpc::AgentApiClient;
use ragwort_rpc::PeerApiClient;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::InstanceIdentity;
use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::sleep;
use tokio::time::timeout;

/// The maximum number of calls in flight on one link. A gateway multiplexes all its callers over
/// one link to a leaseholder, so the library's default of 256 would refuse ordinary load.
const LINK_REQUESTS: usize = 16_384;

/// The maximum size of a message on a link, in bytes. A catalog snapshot of 710 groups and
/// thousands of contracts takes a few megabytes.
const LINK_MESSAGE_BYTES: u32 = 64 * 1024 * 1024;

/// How long a call may take before its link is checked, and the time between further checks.
/// Statements and calls to control take milliseconds; a longer call usually waits for a connection
/// slot.
const CHECK_AFTER: Duration = Duration::from_millis(400);

/// Time limit for the check: many round trips between regions.
const CHECK_LIMIT: Duration = Duration::from_millis(400);

/// Time limit for a call that passes announcements on to another VM.
pub(crate) const ANNOUNCE_LIMIT: Duration = Duration::from_millis(700);

/// Interval at which an idle link is pinged. It is long, because these pings serve only to close
/// dead links eventually. With 629 links on a VM it makes 63 pings a second.
const IDLE_PING: Duration = Duration::from_secs(10);

/// The reason why a call over a link failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// No connection could be opened: the call has not run.
    Unreachable,
    /// This VM has no descriptor, memory or port for a connection: the call has not run, and
    /// nothing is known about the other side.
    Exhausted,
    /// The connection was lost or silent after the call was handed to it: the call may have run.
    Lost,
    /// The other side answered with an error.
    Rejected(String),
}

impl LinkError {
    /// Says whether the call may have reached the other side.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::Unreachable | Self::Exhausted)
    }
}

impl fmt::Display for LinkError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => formatter.write_str("peer unreachable"),
            Self::Exhausted => {
                formatter.write_str("no descriptor, memory or port for a connection")
            }
            Self::Lost => formatter.write_str("link lost during the call"),
            Self::Rejected(text) => write!(formatter, "call rejected: {text}"),
        }
    }
}

/// The links of one process, by address. Clones share the same links.
#[derive(Clone)]
pub struct PeerLinks {
    slots: Arc<Mutex<HashMap<SocketAddr, Arc<LinkSlot>>>>,
    connect_timeout: Duration,
    descriptors: Option<DescriptorBudget>,
}

#[derive(Default)]
struct LinkSlot {
    link: AsyncMutex<Option<OpenLink>>,
}

/// An open link, and the instance that was verified on it, if any.
struct OpenLink {
    client: Arc<WsClient>,
    /// The instance whose agent has identified itself on this link.
    verified: Option<InstanceIdentity>,
    _guard: Option<DescriptorGuard>,
}

impl PeerLinks {
    /// Creates an empty set of links; each connects within `connect_timeout` or not at all.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            slots: Arc::default(),
            connect_timeout,
            descriptors: None,
        }
    }

    /// Counts open links as held descriptors of the process.
    pub fn with_descriptor_budget(self, descriptors: DescriptorBudget) -> Self {
        Self {
            descriptors: Some(descriptors),
            ..self
        }
    }

    /// Makes one call over the link to `address`, which must be answered within `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Unreachable`] if no connection could be opened, and [`LinkError::Lost`]
    /// if the connection ended or the time ran out after the call was handed over.
    pub async fn call<Reply, Call, Answer>(
        &self,
        address: SocketAddr,
        limit: Duration,
        call: Call,
    ) -> Result<Reply, LinkError>
    where
        Call: FnOnce(Arc<WsClient>) -> Answer,
        Answer: Future<Output = Result<Reply, ClientError>>,
    {
        let client = self.connect(address, None).await?;
        self.call_on(address, client, limit, call).await
    }

    /// Makes one call to the agent of an instance, as [`call`](Self::call) does.
    ///
    /// The identity of the agent is checked once on each connection. An address may be reassigned,
    /// and another group's instance may answer there: it would be counted towards a majority that
    /// doesn't hold the write, or promoted in place of the expected one. A connection leads to the
    /// same process until it ends.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Unreachable`] also if another instance answers, since the call was not
    /// made.
    pub async fn call_instance<Reply, Call, Answer>(
        &self,
        address: SocketAddr,
        expected: &InstanceIdentity,
        limit: Duration,
        call: Call,
    ) -> Result<Reply, LinkError>
    where
        Call: FnOnce(Arc<WsClient>) -> Answer,
        Answer: Future<Output = Result<Reply, ClientError>>,
    {
        let client = self.connect(address, Some(expected)).await?;
        self.call_on(address, client, limit, call).await
    }

    async fn call_on<Reply, Call, Answer>(
        &self,
        address: SocketAddr,
        client: Arc<WsClient>,
        limit: Duration,
        call: Call,
    ) -> Result<Reply, LinkError>
    where
        Call: FnOnce(Arc<WsClient>) -> Answer,
        Answer: Future<Output = Result<Reply, ClientError>>,
    {
        let answering = call(Arc::clone(&client));
        match timeout(limit, await_answer(&client, answering)).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(ClientError::Call(error))) => {
                Err(LinkError::Rejected(error.message().to_string()))
            }
            // The network path may have dropped the connection's state: the connection stays silent
            // for good while new ones work, and every later call would time out too. Closing it
            // makes the next call open a new one.
            Ok(Err(_)) | Err(_) => {
                self.discard(address, &client).await;
                Err(LinkError::Lost)
            }
        }
    }

    /// Closes the link to `address`, so that the next call opens a new one.
    pub async fn reopen(&self, address: SocketAddr) {
        let slot = self.slot(address);
        *slot.link.lock().await = None;
    }

    /// Returns the open link to `address`, or opens one; verifies the instance if one is expected.
    async fn connect(
        &self,
        address: SocketAddr,
        expected: Option<&InstanceIdentity>,
    ) -> Result<Arc<WsClient>, LinkError> {
        let slot = self.slot(address);
        let mut link = slot.link.lock().await;
        if let Some(open) = link.as_ref().filter(|open| open.client.is_connected())
            && (expected.is_none() || open.verified.as_ref() == expected)
        {
            return Ok(Arc::clone(&open.client));
        }
        *link = None;
        let opening = open_verified(address, expected, self.connect_timeout);
        let client = timeout(self.connect_timeout, opening).await;
        let client = client.map_err(|_| LinkError::Unreachable)?;
        let client = Arc::new(client.map_err(|error| error.as_link_error())?);
        let descriptors = self.descriptors.as_ref();
        *link = Some(OpenLink {
            client: Arc::clone(&client),
            verified: expected.cloned(),
            _guard: descriptors.map(|budget| budget.hold(DescriptorUse::Peers)),
        });
        Ok(client)
    }

    async fn discard(&self, address: SocketAddr, broken: &Arc<WsClient>) {
        let slot = self.slot(address);
        let mut link = slot.link.lock().await;
        if link
            .as_ref()
            .is_some_and(|held| Arc::ptr_eq(&held.client, broken))
        {
            *link = None;
        }
    }

    fn slot(&self, address: SocketAddr) -> Arc<LinkSlot> {
        let mut slots = self.slots.lock().expect("no holder of this lock panics");
        Arc::clone(slots.entry(address).or_default())
    }
}

/// Waits for a call's answer, and checks every [`CHECK_AFTER`] that the link still answers at all.
///
/// The network path may have dropped the connection's state, or the other process may be frozen.
/// The call, and its caller, would then wait until the deadline. Only calls that take long are
/// checked: pings on every idle link of 630 VMs cost more than all that control may spend.
async fn await_answer<Reply>(
    client: &WsClient,
    answering: impl Future<Output = Result<Reply, ClientError>>,
) -> Result<Reply, ClientError> {
    tokio::pin!(answering);
    loop {
        tokio::select! {
            reply = &mut answering => return reply,
            alive = check_link(client) => if !alive {
                return Err(ClientError::RequestTimeout);
            },
        }
    }
}

/// Waits for [`CHECK_AFTER`], then says whether the other side still answers on the link. Any
/// answer counts, including one that the method is unknown.
async fn check_link(client: &WsClient) -> bool {
    sleep(CHECK_AFTER).await;
    let ping = client.request::<(), _>("peer_ping", rpc_params![]);
    match timeout(CHECK_LIMIT, ping).await {
        Ok(Ok(()) | Err(ClientError::Call(_))) => true,
        Ok(Err(_)) | Err(_) => false,
    }
}

/// Passes an endpoint's announcement on, and says whether the VM that answers leads the endpoint's
/// group.
///
/// Only the leaseholder can keep work away from a leaving endpoint. By now another VM may answer at
/// its address, or the same VM may no longer lead the group; either accepts the announcement like
/// any VM. If that were enough, the endpoint would be told that it may stop while it is still sent
/// work.
pub async fn pass_announcement(
    links: &PeerLinks,
    address: SocketAddr,
    announcement: Arc<EndpointAnnouncement>,
) -> bool {
    let call = |client: Arc<WsClient>| async move { client.pass_announcement(announcement).await };
    matches!(links.call(address, ANNOUNCE_LIMIT, call).await, Ok(true))
}

/// Passes announcements on in one call, and says for each what [`pass_announcement`] says. All are
/// false if the call fails.
pub async fn pass_announcements(
    links: &PeerLinks,
    address: SocketAddr,
    announcements: Vec<Arc<EndpointAnnouncement>>,
) -> Vec<bool> {
    let count = announcements.len();
    let batch = announcements.clone();
    let call = |client: Arc<WsClient>| async move {
        match client.pass_announcements(batch).await {
            // A VM of an earlier version takes announcements one by one.
            Err(ClientError::Call(error)) if error.code() == METHOD_NOT_FOUND_CODE => Ok(None),
            reply => reply.map(Some),
        }
    };
    match links.call(address, ANNOUNCE_LIMIT, call).await {
        Ok(Some(received)) if received.len() == count => received,
        Ok(None) => {
            let announcements = announcements.into_iter();
            let calls = announcements.map(|one| pass_announcement(links, address, one));
            join_all(calls).await
        }
        Ok(Some(_)) | Err(_) => vec![false; count],
    }
}

/// Opens a *new* connection to `address`, which must be accepted within `limit`.
///
/// # Errors
///
/// Returns how the attempt failed: refused by a live system, silent, or not tried for want of this
/// VM's own resources.
pub async fn probe_accept(address: SocketAddr, limit: Duration) -> Result<(), ProbeOutcome> {
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) if record_shortage(&error) => Err(ProbeOutcome::Untried),
        Ok(Err(_)) => Err(ProbeOutcome::Refused),
        Err(_) => Err(ProbeOutcome::Silent),
    }
}

/// Makes a handshake with the agent of an instance on a *new* connection within `limit`, and
/// returns its outcome.
///
/// A connection that is accepted and then closed at once comes from a live system on which the
/// process has ended; it counts as refused. So does one on which another instance answers.
pub async fn probe_answer(
    address: SocketAddr,
    expected: &InstanceIdentity,
    limit: Duration,
) -> ProbeOutcome {
    match timeout(limit, open_verified(address, Some(expected), limit)).await {
        Ok(Ok(_)) => ProbeOutcome::Answered,
        Ok(Err(OpenError::Client(ClientError::RequestTimeout))) | Err(_) => ProbeOutcome::Silent,
        Ok(Err(OpenError::Exhausted)) => ProbeOutcome::Untried,
        Ok(Err(_)) => ProbeOutcome::Refused,
    }
}

/// The reason why a link could not be opened.
#[derive(Debug)]
enum OpenError {
    /// This VM has no descriptor, memory or port for a connection.
    Exhausted,
    /// The connection or the identity check failed.
    Client(ClientError),
    /// This instance answers in place of the expected one.
    OtherInstance(InstanceIdentity),
}

impl OpenError {
    fn as_link_error(&self) -> LinkError {
        match self {
            Self::Exhausted => LinkError::Exhausted,
            Self::Client(_) | Self::OtherInstance(_) => LinkError::Unreachable,
        }
    }
}

impl From<io::Error> for OpenError {
    fn from(error: io::Error) -> Self {
        match record_shortage(&error) {
            true => Self::Exhausted,
            false => Self::Client(ClientError::Transport(error.into())),
        }
    }
}

impl fmt::Display for OpenError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Exhausted => LinkError::Exhausted.fmt(formatter),
            Self::Client(error) => write!(formatter, "{error}"),
            Self::OtherInstance(found) => write!(
                formatter,
                "instance {} of group {} answers",
                found.instance, found.group
            ),
        }
    }
}

/// Connects and, if an instance is expected, checks that its agent answers.
async fn open_verified(
    address: SocketAddr,
    expected: Option<&InstanceIdentity>,
    limit: Duration,
) -> Result<WsClient, OpenError> {
    let client = open_client(address, limit).await?;
    let Some(expected) = expected else {
        return Ok(client);
    };
    let found = AgentApiClient::identity(&client).await;
    let found = found.map_err(OpenError::Client)?;
    if found == *expected {
        return Ok(client);
    }
    let error = OpenError::OtherInstance(found);
    log_event!(
        Level::Warn,
        "agent_of_another_instance",
        address = address,
        group = expected.group,
        instance = expected.instance,
        cause = error,
    );
    Err(error)
}

async fn open_client(address: SocketAddr, limit: Duration) -> Result<WsClient, OpenError> {
    let stream = connect_stream(address, limit).await?;
    stream.set_nodelay(true)?;
    let client = WsClientBuilder::default()
        .connection_timeout(limit)
        .request_timeout(Duration::from_secs(600))
        .max_concurrent_requests(LINK_REQUESTS)
        .max_buffer_capacity_per_subscription(1)
        .max_request_size(LINK_MESSAGE_BYTES)
        .max_response_size(LINK_MESSAGE_BYTES)
        .enable_ws_ping(
            PingConfig::new()
                .ping_interval(IDLE_PING)
                .inactive_limit(IDLE_PING * 2)
                .max_failures(1),
        )
        .build_with_stream(format!("ws://{address}"), stream)
        .await;
    client.map_err(OpenError::Client)
}
