//! Session state that accompanies a statement, where sessions share endpoint connections.

use crate::AccessMode;
use crate::LogPosition;
use crate::position::brief_position;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;

/// The values of a session's settings, by name.
pub type SessionValues = BTreeMap<String, String>;

/// The session state that a statement depends on.
///
/// Sessions share endpoint connections, so no session state may be kept in a connection only. The
/// gateway keeps the state and sends the part that a statement depends on; the leaseholder restores
/// it on a connection before it runs the statement there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionContext {
    /// The caller's own id of the statement, which is passed on to the endpoint.
    #[serde(rename = "i")]
    pub caller_id: String,
    /// The operation that the statement performs.
    #[serde(rename = "a")]
    pub act: StatementOperation,
    /// The mode of the transaction to open before the statement, if one is to be opened.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub opens: Option<TransactionMode>,
    /// The values of the session's settings.
    #[serde(rename = "v", default, skip_serializing_if = "SessionValues::is_empty")]
    pub values: SessionValues,
    /// The position of the session's last write, which its reads must cover.
    #[serde(
        rename = "w",
        default,
        skip_serializing_if = "Option::is_none",
        with = "brief_position::optional"
    )]
    pub last_write: Option<LogPosition>,
}

/// The operation that a statement performs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatementOperation {
    /// Reads or writes; the statement's text is sent to the endpoint unchanged.
    #[serde(rename = "t")]
    Text(AccessMode),
    /// Runs a prepared statement; the statement's text contains the arguments.
    #[serde(rename = "p")]
    Prepared(PreparedDefinition),
    /// Commits the statement's transaction.
    #[serde(rename = "c")]
    Commit,
    /// Rolls back the statement's transaction.
    #[serde(rename = "r")]
    Rollback,
}

impl StatementOperation {
    /// Returns the statement's access mode; a commit or rollback counts as a write.
    pub fn access(&self) -> AccessMode {
        match self {
            Self::Text(access) => *access,
            Self::Prepared(definition) => definition.access,
            Self::Commit | Self::Rollback => AccessMode::Write,
        }
    }
}

/// The definition of a prepared statement. Unlike the statement's name, which belongs to one
/// session, it is equal for all sessions that prepare the same statement.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PreparedDefinition {
    /// Whether it reads or writes.
    pub access: AccessMode,
    /// The definition, in the database's own syntax.
    pub shape: String,
}

/// The access mode of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionMode {
    /// The transaction only reads, so a replica may run it.
    ReadOnly,
    /// The transaction may write.
    ReadWrite,
}

/// A fault that an endpoint reported for one statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointFault {
    /// The class of the fault.
    pub sort: EndpointFaultKind,
    /// The endpoint's message.
    pub text: String,
}

/// The class of a fault that an endpoint reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EndpointFaultKind {
    /// All the endpoint's slots are in use and its queue is full; nothing ran.
    Busy,
    /// The endpoint has not reached the log position that the statement must read; nothing ran.
    Lagging,
    /// The endpoint is not the primary, or no longer is; nothing ran.
    ReadOnly,
    /// The endpoint is not the expected instance; nothing ran.
    WrongInstance,
    /// The endpoint has reached its connection limit; nothing ran.
    ConnectionLimit,
    /// The endpoint has no prepared statement of that name; nothing ran.
    UnknownStatement,
    /// The endpoint rolled the transaction back; none of its effects remain.
    Aborted,
    /// The endpoint ran the statement, which failed.
    Failed,
    /// The endpoint ran the statement, which timed out.
    TimedOut,
    /// The endpoint could not parse the statement, or does not accept it in its current state.
    Malformed,
    /// Any other fault.
    Other,
}

impl EndpointFaultKind {
    /// Returns whether the fault guarantees that the statement has no effect.
    pub fn has_not_run(self) -> bool {
        match self {
            Self::Busy
            | Self::Lagging
            | Self::ReadOnly
            | Self::WrongInstance
            | Self::ConnectionLimit
            | Self::UnknownStatement
            | Self::Aborted => true,
            Self::Failed | Self::TimedOut | Self::Malformed | Self::Other => false,
        }
    }
}
