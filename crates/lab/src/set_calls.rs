//! Calls to the processes of a set: operators', agents' and the platform's.

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

/// The pause between attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// How long a contract may take to be in force, while control settles.
const CONTRACT_PATIENCE: Duration = Duration::from_secs(20);

/// Why a set could not be brought into the wanted state.
#[derive(Debug)]
pub enum SetFault {
    /// A file, process or socket failed.
    Io(io::Error),
    /// A call's address or answer is unusable.
    Call(ClientError),
    /// These VMs aren't ready.
    NotReady(Vec<String>),
    /// A group isn't whole; what was seen last.
    NotWhole(String),
    /// An operator's call was refused for good; the reason.
    Refused(String),
    /// These processes ended badly.
    BadEnd(Vec<String>),
}

impl fmt::Display for SetFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(formatter, "input or output failed: {error}"),
            Self::Call(error) => write!(formatter, "call failed: {error}"),
            Self::NotReady(vms) => write!(formatter, "not ready: {}", vms.join(", ")),
            Self::NotWhole(seen) => write!(formatter, "group not whole: {seen}"),
            Self::Refused(reason) => write!(formatter, "refused: {reason}"),
            Self::BadEnd(processes) => write!(formatter, "ended badly: {}", processes.join(", ")),
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

/// Creates a client for calls to a daemon or an agent.
///
/// # Errors
///
/// Returns the [`ClientError`] of an address that can't be used.
pub fn agent_client(address: SocketAddr) -> Result<HttpClient, ClientError> {
    HttpClient::builder().build(format!("http://{address}"))
}

/// Asks a daemon's platform port whether it is ready.
pub async fn is_ready(platform: SocketAddr) -> bool {
    let answer = ask_platform(platform, "/ready").await;
    answer.is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
}

/// Asks a daemon's platform port and returns the answer, headers included.
///
/// # Errors
///
/// Returns the [`io::Error`] of the connection.
pub async fn ask_platform(platform: SocketAddr, path: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(platform).await?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {platform}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Asks an agent for its instance's status.
///
/// # Errors
///
/// Returns the [`ClientError`] of the call.
pub async fn ask_instance_status(agent: SocketAddr) -> Result<InstanceStatus, ClientError> {
    AgentApiClient::status(&agent_client(agent)?).await
}

/// Asks a daemon for its view of the system.
///
/// # Errors
///
/// Returns the [`ClientError`] of the call.
pub async fn ask_node_status(peers: SocketAddr) -> Result<NodeStatus, ClientError> {
    OperatorApiClient::status(&agent_client(peers)?).await
}

/// Forms control, trying until the control VMs are up.
///
/// # Errors
///
/// Returns [`SetFault::Refused`] with the last reason after `patience`.
pub async fn form_control(peers: SocketAddr, patience: Duration) -> Result<(), SetFault> {
    let end = Instant::now() + patience;
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
/// Returns [`SetFault::Refused`] if it is refused or not in force in time.
pub async fn apply_contract(peers: SocketAddr, contract: CustomerContract) -> Result<(), SetFault> {
    let end = Instant::now() + CONTRACT_PATIENCE;
    let client = agent_client(peers)?;
    let change = ContractChange {
        change_id: ChangeId::fresh(),
        base_version: ContractVersion(0),
        contract,
    };
    loop {
        let reason = match client.apply_contract(change.clone()).await {
            Ok(CommandReply::Committed(CatalogOutcome::ContractAccepted(acceptance))) => {
                match client.force_status(acceptance).await {
                    Ok(status) if status.in_force => return Ok(()),
                    Ok(status) => format!("{} members lack it", status.waiting_for),
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
