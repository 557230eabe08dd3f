//! The start-up phase of a caller's connection: TLS and GSS negotiation, the protocol version, and
//! the options of the session. Encryption is declined; the protocol version is 3.0.

use crate::callers::answers::CallerError;
use crate::callers::wire::CallerStream;
use crate::callers::wire::StreamFault;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::SslNegotiationMetaMessage;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::response::GssEncResponse;
use pgwire::messages::response::SslResponse;
use pgwire::messages::startup::NegotiateProtocolVersion;
use pgwire::messages::startup::Startup;
use ragwort_types::CustomerName;
use ragwort_types::GroupName;
use ragwort_types::SessionName;
use std::collections::BTreeMap;

/// The maximum length of a session name in bytes. Names are stored in the group's journal on three
/// VMs.
const MAX_SESSION_NAME_BYTES: usize = 128;

/// The minor version of the supported protocol, 3.0.
const MINOR_VERSION: u16 = 0;

/// The request that a connection started with.
pub(crate) enum Opening {
    /// A session.
    Session(SessionOptions),
    /// A request to cancel another session's statement.
    Cancel(CancelRequest),
    /// A start-up message with unsupported options.
    Refused(CallerError),
}

/// The options of a start-up message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SessionOptions {
    pub(crate) customer: CustomerName,
    pub(crate) group: GroupName,
    pub(crate) session: SessionName,
    /// Whether a notice after each answer names the instance that served it (`ragwort.notice`).
    pub(crate) notice: bool,
}

/// Reads messages up to the start-up message or a cancel request, and declines encryption.
pub(crate) async fn read_opening(stream: &mut CallerStream) -> Result<Opening, StreamFault> {
    loop {
        match stream.next_message().await? {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresSsl(_)) => {
                stream.send(SslResponse::Refuse).await?;
                stream.flush().await?;
            }
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresGss(_)) => {
                stream.send(GssEncResponse::Refuse).await?;
                stream.flush().await?;
            }
            PgWireFrontendMessage::CancelRequest(request) => return Ok(Opening::Cancel(request)),
            PgWireFrontendMessage::Startup(startup) => {
                negotiate_version(stream, &startup).await?;
                return Ok(match read_options(&startup.parameters) {
                    Ok(options) => Opening::Session(options),
                    Err(error) => Opening::Refused(error),
                });
            }
            _ => return Err(StreamFault::Malformed("not a start-up message".to_owned())),
        }
    }
}

/// Sends `NegotiateProtocolVersion` if the caller asked for another minor version or for protocol
/// options.
async fn negotiate_version(
    stream: &mut CallerStream,
    startup: &Startup,
) -> Result<(), StreamFault> {
    let unsupported: Vec<String> = startup
        .parameters
        .keys()
        .filter(|name| name.starts_with("_pq_."))
        .cloned()
        .collect();
    if startup.protocol_number_minor == MINOR_VERSION && unsupported.is_empty() {
        return Ok(());
    }
    let message = NegotiateProtocolVersion::new(Startup::PROTOCOL_VERSION_3_0, unsupported);
    stream.send(message).await
}

fn read_options(parameters: &BTreeMap<String, String>) -> Result<SessionOptions, CallerError> {
    let user = parameters
        .get("user")
        .filter(|user| !user.is_empty())
        .ok_or_else(|| CallerError::not_run("28000", "expected a user, the customer's name"))?;
    let database = parameters.get("database").unwrap_or(user);
    if let Some(encoding) = parameters.get("client_encoding")
        && !matches!(
            encoding.to_ascii_uppercase().trim_matches('\''),
            "UTF8" | "UTF-8" | "UNICODE"
        )
    {
        let message = format!("client_encoding: expected UTF8, found {encoding}");
        return Err(CallerError::not_run("22023", message));
    }
    let mut options = SessionOptions {
        customer: CustomerName::from(user.as_str()),
        group: GroupName::from(database.as_str()),
        session: SessionName::from(user.as_str()),
        notice: false,
    };
    if let Some(text) = parameters.get("options") {
        set_options(text, &mut options)?;
    }
    Ok(options)
}

/// Parses `-c NAME=VALUE` pairs. Other options than the gateway's own are refused: they would be
/// lost with the first statement that runs on another connection.
fn set_options(text: &str, options: &mut SessionOptions) -> Result<(), CallerError> {
    let mut words = split_words(text).into_iter();
    while let Some(word) = words.next() {
        let pair = match word.as_str() {
            "-c" => words.next().unwrap_or_default(),
            other => other
                .strip_prefix("-c")
                .or_else(|| other.strip_prefix("--"))
                .unwrap_or_default()
                .to_owned(),
        };
        let (name, value) = pair
            .split_once('=')
            .ok_or_else(|| option_error(&word, "expected -c NAME=VALUE"))?;
        match name {
            "ragwort.session" if value.is_empty() || value.len() > MAX_SESSION_NAME_BYTES => {
                return Err(option_error(name, "expected 1 to 128 bytes"));
            }
            "ragwort.session" => options.session = SessionName::from(value),
            "ragwort.notice" => {
                options.notice = match value {
                    "on" | "true" | "1" => true,
                    "off" | "false" | "0" => false,
                    _ => return Err(option_error(name, "expected on or off")),
                }
            }
            _ => return Err(option_error(name, "options of a connection aren't kept")),
        }
    }
    Ok(())
}

fn option_error(name: &str, expected: &str) -> CallerError {
    CallerError::not_run("22023", format!("start-up option {name}: {expected}"))
}

/// Splits at whitespace; a backslash escapes the next character.
fn split_words(text: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut letters = text.chars();
    while let Some(letter) = letters.next() {
        let word = words.last_mut().expect("there is always a last word");
        match letter {
            '\\' => word.extend(letters.next()),
            space if space.is_whitespace() => words.push(String::new()),
            other => word.push(other),
        }
    }
    words.retain(|word| !word.is_empty());
    words
}
