//! Connections to daemons, and the classification of failed calls by whether they had an effect.

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

/// The time within which a daemon must accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The time within which a daemon must reply. A daemon that does not know the outcome says so well
/// before that.
const REPLY_TIMEOUT: Duration = Duration::from_secs(15);

/// The reason for which a call has no reply.
#[derive(Debug)]
pub enum CallFault {
    /// No connection could be opened, so the call was not sent.
    NotSent(String),
    /// The daemon refused the method or its parameters, or a read-only call failed; nothing was
    /// changed.
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

/// Creates a client for a daemon, after a check that the daemon accepts connections.
///
/// The check opens a connection and closes it again. It distinguishes a daemon that is down, where
/// the call has no effect, from one that is lost during the call.
///
/// # Errors
///
/// Returns [`CallFault::NotSent`] if the daemon does not accept a connection.
pub async fn open_client(address: SocketAddr) -> Result<HttpClient, CallFault> {
    let not_sent = |reason: String| CallFault::NotSent(format!("{address}: {reason}"));
    timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| not_sent("connection timed out".to_owned()))?
        .map_err(|error| not_sent(error.to_string()))?;
    HttpClient::builder()
        .request_timeout(REPLY_TIMEOUT)
        .build(format!("http://{address}"))
        .map_err(|error| not_sent(error.to_string()))
}

/// Creates a client for the first daemon that accepts connections.
///
/// # Errors
///
/// Returns [`CallFault::NotSent`], with the reason for each daemon, if none does.
pub async fn open_first_available(addresses: &AddressList) -> Result<HttpClient, CallFault> {
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
