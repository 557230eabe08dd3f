//! Calls to daemons, and what is known of a call that failed.

use crate::options::AddressList;
use jsonrpsee::core::ClientError;
use jsonrpsee::types::error::INVALID_PARAMS_CODE;
use jsonrpsee::types::error::METHOD_NOT_FOUND_CODE;
use jsonrpsee_http_client::HttpClient;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a daemon may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a daemon may take to answer; it answers with an unknown outcome well before that.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// Why a call has no answer.
#[derive(Debug)]
pub enum CallFault {
    /// No connection: the call was not sent.
    NotSent(String),
    /// The daemon refused the call as such: it did nothing.
    Refused(String),
    /// The call was sent and its outcome is unknown.
    InDoubt(String),
}

impl fmt::Display for CallFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(formatter, "not sent: {reason}"),
            Self::Refused(reason) => write!(formatter, "refused: {reason}"),
            Self::InDoubt(reason) => write!(formatter, "outcome unknown: {reason}"),
        }
    }
}

impl From<ClientError> for CallFault {
    fn from(error: ClientError) -> Self {
        match &error {
            ClientError::Call(object)
                if matches!(object.code(), METHOD_NOT_FOUND_CODE | INVALID_PARAMS_CODE) =>
            {
                Self::Refused(object.message().to_owned())
            }
            _ => Self::InDoubt(error.to_string()),
        }
    }
}

/// Opens a client for a daemon that takes connections now.
///
/// The connection tried here is closed again; it tells a daemon that is down from one that was lost
/// with the call in its hands.
///
/// # Errors
///
/// Returns [`CallFault::NotSent`] when the daemon takes no connection.
pub async fn open_client(address: SocketAddr) -> Result<HttpClient, CallFault> {
    let not_sent = |reason: String| CallFault::NotSent(format!("{address}: {reason}"));
    timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| not_sent("no connection in time".to_owned()))?
        .map_err(|error| not_sent(error.to_string()))?;
    HttpClient::builder()
        .request_timeout(ANSWER_TIMEOUT)
        .build(format!("http://{address}"))
        .map_err(|error| not_sent(error.to_string()))
}

/// Opens a client for the first daemon that takes connections now.
///
/// # Errors
///
/// Returns [`CallFault::NotSent`] with each daemon's reason when none does.
pub async fn open_first(addresses: &AddressList) -> Result<HttpClient, CallFault> {
    let mut reasons = Vec::new();
    for address in &addresses.0 {
        match open_client(*address).await {
            Ok(client) => return Ok(client),
            Err(CallFault::NotSent(reason)) => reasons.push(reason),
            Err(fault) => return Err(fault),
        }
    }
    Err(CallFault::NotSent(reasons.join("; ")))
}
