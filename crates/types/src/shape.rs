//! Descriptions of a statement's parameters and columns, obtained without running the statement.

use crate::CustomerName;
use crate::DatabaseError;
use crate::GroupName;
use crate::Refusal;
use crate::RefusalCause;
use crate::SessionName;
use crate::StatementId;
use crate::TransactionId;
use serde::Deserialize;
use serde::Serialize;

/// A request to describe a statement, which a gateway sends to a group's leaseholder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShapeRequest {
    /// The identifier of the request; its reply carries the same one.
    pub id: StatementId,
    /// The customer.
    pub customer: CustomerName,
    /// The caller's session.
    pub session: SessionName,
    /// The database group.
    pub group: GroupName,
    /// The statement's text.
    pub text: String,
    /// The open transaction in which the statement will run, if there is one.
    pub transaction: Option<TransactionId>,
    /// The time that the gateway has already spent on the request, in milliseconds.
    pub spent_ms: u64,
    /// Whether the receiver must forward the request to the leaseholder, which the sender can't
    /// reach.
    pub relay: bool,
}

/// The parameters and columns of a statement; their values are in text form.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementShape {
    /// The number of parameters.
    pub parameters: usize,
    /// The column names; empty for a statement that returns no rows.
    pub columns: Vec<String>,
}

/// A leaseholder's reply to a [`ShapeRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShapeReply {
    /// The identifier of the request.
    pub id: StatementId,
    /// The outcome of the description.
    pub outcome: ShapeOutcome,
}

/// The outcome of a request to describe a statement, which never runs the statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShapeOutcome {
    /// The statement's parameters and columns.
    Known(StatementShape),
    /// The database reported an error, such as an unknown table.
    Failed(DatabaseError),
    /// The request was refused.
    Refused(Refusal),
}

impl ShapeOutcome {
    /// Creates the outcome of a refused request; see [`Refusal::come_back_after_ms`].
    pub fn refused(cause: RefusalCause, come_back_after_ms: u64) -> Self {
        Self::Refused(Refusal {
            cause,
            come_back_after_ms,
        })
    }
}
