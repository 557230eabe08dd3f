//! What a statement carries of its session when sessions share connections.

use crate::AccessMode;
use crate::LogPosition;
use crate::position::brief_position;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;

/// The values that a session has set, by name.
pub type SessionValues = BTreeMap<String, String>;

/// What a statement needs of its session.
///
/// Sessions share connections, so nothing of a session may rest on one. The gateway keeps it and
/// sends along what the next statement needs; the leaseholder brings a connection into that state
/// before it runs the statement there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionContext {
    /// The id by which the caller knows the statement; the endpoint is sent the same.
    #[serde(rename = "i")]
    pub caller_id: String,
    /// What the statement does.
    #[serde(rename = "a")]
    pub act: StatementAct,
    /// The transaction that is to be opened for it; its own statement follows at once.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub opens: Option<TransactionMode>,
    /// The values that hold in the session.
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

/// What a statement does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatementAct {
    /// It reads or writes by its text, which the endpoint is sent unchanged.
    #[serde(rename = "t")]
    Text(AccessMode),
    /// It runs a prepared statement; its text holds the arguments.
    #[serde(rename = "p")]
    Prepared(PreparedShape),
    /// It commits its transaction.
    #[serde(rename = "c")]
    Commit,
    /// It rolls its transaction back.
    #[serde(rename = "r")]
    Rollback,
}

impl StatementAct {
    /// Returns whether the statement reads or writes; the end of a transaction counts as a write.
    pub fn access(&self) -> AccessMode {
        match self {
            Self::Text(access) => *access,
            Self::Prepared(shape) => shape.access,
            Self::Commit | Self::Rollback => AccessMode::Write,
        }
    }
}

/// What a prepared statement is. Its name belongs to a session; this is the same for all sessions
/// that prepare the same.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PreparedShape {
    /// Whether it reads or writes.
    pub access: AccessMode,
    /// The shape, in the words of the database.
    pub shape: String,
}

/// The sort of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionMode {
    /// It only reads, so that a replica may run it.
    ReadOnly,
    /// It may write.
    ReadWrite,
}

/// A fault that an endpoint reported for one statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointFault {
    /// What sort of fault it is.
    pub sort: FaultSort,
    /// The endpoint's words.
    pub text: String,
}

/// What sort of fault an endpoint reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FaultSort {
    /// All slots are in use and its queue is full; nothing ran.
    Busy,
    /// Its log lacks the position that the statement must see; nothing ran.
    Lagging,
    /// It isn't the primary, or not any more; nothing ran.
    ReadOnly,
    /// It isn't the instance that was expected; nothing ran.
    WrongInstance,
    /// It takes no more connections; nothing ran.
    ConnectionLimit,
    /// It has no prepared statement of that name; nothing ran.
    UnknownStatement,
    /// It has rolled the transaction back; nothing of it is kept.
    Aborted,
    /// It ran the statement and failed.
    Failed,
    /// It ran the statement and gave up.
    TimedOut,
    /// It did not understand the statement, or takes none of this sort now.
    Malformed,
    /// Anything else.
    Other,
}

impl FaultSort {
    /// Says whether the endpoint promises that the statement did not run.
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
