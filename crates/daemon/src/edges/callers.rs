//! The interface to the protocol between callers and a gateway.

use super::ProtocolFault;
use bytes::BytesMut;
use ragwort_types::AccessMode;
use ragwort_types::AccountKey;
use ragwort_types::LogPosition;
use ragwort_types::PreparedDefinition;
use ragwort_types::TransactionMode;

/// Decodes callers' messages and encodes answers to them.
pub trait CallerProtocol: Send + Sync + 'static {
    /// Decodes and removes the first message in `buffer`; `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns a fault if the bytes aren't a valid message.
    fn decode(&self, buffer: &mut BytesMut) -> Result<Option<CallerMessage>, ProtocolFault>;

    /// Appends the encoded answer to `buffer`.
    fn encode(&self, answer: &CallerAnswer, buffer: &mut BytesMut);
}

/// A message of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens the session.
    Open {
        /// The caller's name for its database, which is the customer's name.
        database: String,
        /// The key of the caller's account; empty if it shows none.
        key: AccountKey,
    },
    /// Runs a statement.
    Statement {
        /// The caller's id of the statement.
        id: String,
        /// The statement.
        statement: CallerStatement,
    },
    /// Ends the session.
    Close,
}

/// A caller's statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerStatement {
    /// Opens a transaction.
    Begin(TransactionMode),
    /// Commits the open transaction.
    Commit,
    /// Rolls back the open transaction.
    Rollback,
    /// Reads or writes; the text is forwarded to an endpoint unchanged.
    Run {
        /// Whether the statement reads or writes.
        access: AccessMode,
        /// The statement's text.
        text: String,
    },
    /// Sets a value of the session.
    Set {
        /// The value's name.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepares a statement under a name.
    Prepare {
        /// Its name within the session.
        name: String,
        /// The access and shape of the statement.
        definition: PreparedDefinition,
    },
    /// Runs a prepared statement.
    Execute {
        /// Its name within the session.
        name: String,
        /// Its arguments, in the protocol's text form.
        arguments: String,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// Its name within the session.
        name: String,
    },
    /// A statement that the protocol doesn't define.
    Unknown,
}

/// The transaction state of a session as reported to its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SessionState {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction has failed; only its end is accepted.
    Failed,
}

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerAnswer {
    /// The session is open.
    Opened,
    /// The session was refused or ended by an error; the connection is closed.
    Fatal(CallerError),
    /// A statement succeeded.
    Complete {
        /// The rows.
        rows: Vec<String>,
        /// The endpoint's command tag; `None` if the gateway answered the statement itself.
        tag: Option<String>,
        /// The session's state after the statement.
        state: SessionState,
        /// The position of the endpoint's log.
        position: Option<LogPosition>,
    },
    /// A statement failed.
    Failed {
        /// The error.
        error: CallerError,
        /// The session's state after the statement.
        state: SessionState,
    },
}

/// An error that is sent to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerError {
    /// The kind of error.
    pub sort: CallerErrorSort,
    /// The time to wait before a retry, in milliseconds; zero if a retry is useless or the time
    /// unknown.
    pub come_back_after_ms: u64,
    /// The error message.
    pub text: String,
}

/// The kind of an error that is sent to a caller. Where the doc says that nothing is kept, the
/// statement, or its whole transaction, has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallerErrorSort {
    /// The system is overloaded, or nothing can serve the statement at present; nothing is kept.
    Busy,
    /// No endpoint's log has reached the position that the read requires; nothing is kept.
    Lagging,
    /// The group has no primary; nothing is kept.
    NoPrimary,
    /// The transaction was lost or rolled back; nothing is kept.
    Aborted,
    /// The outcome is unknown.
    InDoubt,
    /// The endpoint failed while it ran the statement, which may have taken effect or not.
    Failed,
    /// The statement timed out at the endpoint, and may have taken effect or not.
    TimedOut,
    /// No contract exists under the database's name.
    NoDatabase,
    /// No prepared statement has the name.
    UnknownStatement,
    /// A message is too long.
    TooLong,
    /// The statement is invalid, or not accepted in the session's state.
    Malformed,
    /// No account has the caller's key; nothing was run.
    Unauthorized,
}
