//! Calls to the processes of a set: the operator, agent and platform APIs.

use jsonrpsee::core::ClientError;
use jsonrpsee_http_client::HttpClient;
use ragwort_rpc::AgentApiClient;
use ragwort_rpc::OperatorApiClient;
use ragwort_types::CatalogOutcome;
use ragwort_types::ChangeId;
use ragwort_types::CommandReply;
use ragwort_types::ContractChange;
use ragwort_types::ContractVersion;
use ragwort_types::CustomerContract;
use ragwort_types::FormReply;
use ragwort_types::InstanceStatus;
use ragwort_types::NodeStatus;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;

/// The pause between attempts of a call that is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The timeout for a contract to be in force, which includes the first election of a control
/// leader.
const CONTRACT_TIMEOUT: Duration = Duration::from_secs(20);

/// The reason for which a set could not be brought into the required state.
#[derive(Debug)]
pub enum SetFault {
    /// An operation on a file, process or socket failed.
    Io(io::Error),
    /// A call failed, or its address is invalid.
    Call(ClientError),
    /// These VMs weren't ready in time.
    NotReady(Vec<String>),
    /// A group wasn't whole in time, for this reason; see [`crate::lab_queries`].
    NotWhole(String),
    /// A request was refused or not fulfilled in time, for this reason.
    Refused(String),
    /// These processes didn't exit with status 0 in time.
    BadEnd(Vec<String>),
}

impl fmt::Display for SetFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(formatter, "I/O error: {error}"),
            Self::Call(error) => write!(formatter, "call failed: {error}"),
            Self::NotReady(vms) => write!(formatter, "not ready: {}", vms.join(", ")),
            Self::NotWhole(seen) => write!(formatter, "group not whole: {seen}"),
            Self::Refused(reason) => write!(formatter, "refused: {reason}"),
            Self::BadEnd(processes) => write!(formatter, "no clean exit: {}", processes.join(", ")),
        }
    }
}

impl std::error::Error for SetFault {}

impl From<io::Error> for SetFault {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<ClientError> for SetFault {
    fn from(error: ClientError) -> Self {
        Self::Call(error)
    }
}

/// Creates an RPC client for a daemon or an agent.
///
/// # Errors
///
/// Returns a [`ClientError`] if the client can't be built for the address.
pub fn agent_client(address: SocketAddr) -> Result<HttpClient, ClientError> {
    HttpClient::builder().build(format!("http://{address}"))
}

/// Returns whether a daemon's platform port reports that the daemon is ready.
pub async fn is_ready(platform: SocketAddr) -> bool {
    let answer = ask_platform(platform, "/ready").await;
    answer.is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
}

/// Sends an HTTP GET request to a daemon's platform port and returns the response, including
/// headers.
///
/// # Errors
///
/// Returns an [`io::Error`] if the connection fails.
pub async fn ask_platform(platform: SocketAddr, path: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(platform).await?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {platform}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Requests the status of an instance from its agent.
///
/// # Errors
///
/// Returns a [`ClientError`] if the call fails.
pub async fn ask_instance_status(agent: SocketAddr) -> Result<InstanceStatus, ClientError> {
    AgentApiClient::status(&agent_client(agent)?).await
}

/// Requests a daemon's view of the deployment.
///
/// # Errors
///
/// Returns a [`ClientError`] if the call fails.
pub async fn ask_node_status(peers: SocketAddr) -> Result<NodeStatus, ClientError> {
    OperatorApiClient::status(&agent_client(peers)?).await
}

/// Forms the control group, and retries until the control VMs are running.
///
/// # Errors
///
/// Returns [`SetFault::Refused`] with the last reason if no attempt has succeeded after `max_wait`.
pub async fn form_control(peers: SocketAddr, max_wait: Duration) -> Result<(), SetFault> {
    let end = Instant::now() + max_wait;
    let client = agent_client(peers)?;
    loop {
        let reason = match client.form().await {
            Ok(FormReply::Formed | FormReply::AlreadyFormed) => return Ok(()),
            Ok(FormReply::Refused(reason)) => reason,
            Err(error) => error.to_string(),
        };
        if Instant::now() >= end {
            return Err(SetFault::Refused(reason));
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Applies a new customer's contract and waits until it is in force.
///
/// # Errors
///
/// Returns [`SetFault::Refused`] if the contract is refused, or not in force within 20 s.
pub async fn apply_contract(peers: SocketAddr, contract: CustomerContract) -> Result<(), SetFault> {
    let end = Instant::now() + CONTRACT_TIMEOUT;
    let client = agent_client(peers)?;
    let change = ContractChange {
        change_id: ChangeId::fresh(),
        base_version: ContractVersion(0),
        contract,
    };
    loop {
        let reason = match client.apply_contract(change.clone()).await {
            Ok(CommandReply::Committed(CatalogOutcome::ContractAccepted(acceptance))) => {
                match client.in_force_status(acceptance).await {
                    Ok(status) if status.in_force => return Ok(()),
                    Ok(status) => format!("{} members have not applied it", status.waiting_for),
                    Err(error) => error.to_string(),
                }
            }
            Ok(CommandReply::Committed(outcome)) => {
                return Err(SetFault::Refused(format!("{outcome:?}")));
            }
            Ok(reply) => format!("{reply:?}"),
            Err(error) => error.to_string(),
        };
        if Instant::now() >= end {
            return Err(SetFault::Refused(reason));
        }
        sleep(RETRY_PAUSE).await;
    }
}
