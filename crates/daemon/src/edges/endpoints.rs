//! The interface to the protocol between a leaseholder and endpoints whose databases keep terms of
//! their own.

use super::ProtocolFault;
use super::SessionState;
use bytes::BytesMut;
use ragwort_types::AccountName;
use ragwort_types::EndpointFault;
use ragwort_types::GroupName;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::InstanceRole;
use ragwort_types::LogPosition;
use ragwort_types::PreparedDefinition;
use ragwort_types::TransactionMode;

/// Encodes commands to endpoints and decodes their messages.
pub trait EndpointProtocol: Send + Sync + 'static {
    /// Appends the encoded command to `buffer`.
    fn encode(&self, command: &EndpointCommand, buffer: &mut BytesMut);

    /// Decodes and removes the first message in `buffer`; `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns a fault if the bytes aren't a valid message.
    fn decode(&self, buffer: &mut BytesMut) -> Result<Option<EndpointMessage>, ProtocolFault>;

    /// Parses the row that answers [`EndpointCommand::Describe`]; `None` if it is invalid.
    fn read_report(&self, row: &str) -> Option<EndpointReport>;
}

/// A command to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointCommand {
    /// Opens a connection and names the instance expected at the address.
    Open {
        /// The group.
        group: GroupName,
        /// The instance.
        instance: InstanceName,
        /// The account of the callers that will use the connection; `None` if they have none.
        account: Option<AccountName>,
    },
    /// Opens a transaction.
    Begin {
        /// Whether it may write.
        mode: TransactionMode,
        /// The position that the endpoint's log must have reached.
        after: Option<LogPosition>,
    },
    /// Runs a caller's statement by its text.
    Run {
        /// The caller's id of the statement.
        id: String,
        /// The statement's text.
        text: String,
        /// The position that the endpoint's log must have reached; allowed for reads only.
        after: Option<LogPosition>,
    },
    /// Runs a prepared statement of a caller.
    Execute {
        /// The caller's id of the statement.
        id: String,
        /// The prepared definition, which determines the statement's name on the connection.
        definition: PreparedDefinition,
        /// The arguments.
        arguments: String,
        /// The position that the endpoint's log must have reached; allowed for reads only.
        after: Option<LogPosition>,
    },
    /// Commits the transaction.
    Commit {
        /// The caller's id of its COMMIT.
        id: String,
    },
    /// Rolls back the transaction.
    Rollback,
    /// Sets a value of the session.
    Set {
        /// The value's name.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepares a statement under the name derived from its shape.
    Prepare(PreparedDefinition),
    /// Clears the connection's values and prepared statements.
    Reset,
    /// Requests an [`EndpointReport`]. The request occupies one of the endpoint's slots.
    Describe,
    /// Stops a replica from receiving the log, so that it confirms no further write.
    Pause(GroupTerm),
    /// Lets a paused replica receive the log again.
    Resume,
    /// Demotes a primary of a lower term to a replica.
    StepDown(GroupTerm),
}

/// A message from an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointMessage {
    /// A row of the answer.
    Row(String),
    /// The command succeeded; contains its command tag.
    Complete(String),
    /// The command failed.
    Fault(EndpointFault),
    /// The answer is complete, and the endpoint is ready for the next command.
    Ready(EndpointEnd),
}

/// The end of an endpoint's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointEnd {
    /// Whether a transaction is open on the connection.
    pub state: SessionState,
    /// The position of the instance's log.
    pub position: Option<LogPosition>,
}

/// An endpoint's report of its own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointReport {
    /// The role that the endpoint believes it has.
    pub role: InstanceRole,
    /// The group term that the endpoint is in.
    pub term: GroupTerm,
    /// The position up to which it has received the log.
    pub received: LogPosition,
}
