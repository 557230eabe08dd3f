//! What a statement takes and returns, found out without running it.

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

/// A statement to describe, on its way from a gateway to a group's leaseholder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShapeRequest {
    /// Identifies the request; its reply carries the same.
    pub id: StatementId,
    /// The customer.
    pub customer: CustomerName,
    /// The caller's session.
    pub session: SessionName,
    /// The database group.
    pub group: GroupName,
    /// The statement's text.
    pub text: String,
    /// The transaction in which the statement will run, if one is open.
    pub transaction: Option<TransactionId>,
    /// The time that the gateway has already spent on it, in milliseconds.
    pub spent_ms: u64,
    /// Whether the receiver is to pass it on to the leaseholder, which the sender can't reach.
    pub relay: bool,
}

/// What a statement takes and returns; all of it is in text form.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementShape {
    /// The number of parameters.
    pub parameters: usize,
    /// The columns' names; empty for a statement that returns no rows.
    pub columns: Vec<String>,
}

/// A leaseholder's reply to a [`ShapeRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShapeReply {
    /// The request that this replies to.
    pub id: StatementId,
    /// What was found out.
    pub outcome: ShapeOutcome,
}

/// What was found out about a statement's shape. Whatever it is, the statement has not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShapeOutcome {
    /// The statement's shape.
    Known(StatementShape),
    /// The database reported an error, such as an unknown table.
    Failed(DatabaseError),
    /// The statement was not described.
    Refused(Refusal),
}

impl ShapeOutcome {
    /// Creates the outcome of a request that no endpoint answered.
    pub fn refused(cause: RefusalCause, come_back_after_ms: u64) -> Self {
        Self::Refused(Refusal {
            cause,
            come_back_after_ms,
        })
    }
}
