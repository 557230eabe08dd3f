//! Request outcomes: whether a request ran, and its answer, refusal or doubt.

use crate::EndpointFault;
use crate::InstanceName;
use crate::LogPosition;
use crate::position::brief_position;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;

/// The outcome of a request: whether it ran, did not run, or may have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestVerdict {
    /// The endpoint ran the request and returned this answer.
    #[serde(rename = "r")]
    Ran(StatementAnswer),
    /// The request did not run: it cannot have reached an endpoint, or the endpoint reported that
    /// it had not run it.
    #[serde(rename = "n")]
    NotRun(Refusal),
    /// The request may have reached an endpoint, and its outcome is unknown.
    #[serde(rename = "m")]
    MayHaveRun(DoubtCause),
}

impl RequestVerdict {
    /// Creates the verdict of a request that was refused before it ran; see
    /// [`Refusal::come_back_after_ms`].
    pub fn refused(cause: RefusalCause, come_back_after_ms: u64) -> Self {
        Self::NotRun(Refusal {
            cause,
            come_back_after_ms,
        })
    }
}

/// The refusal of a request, with the time after which the caller may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason for which the request did not run.
    pub cause: RefusalCause,
    /// The time to wait before a retry, in milliseconds; zero means that a retry is useless unless
    /// the request is changed.
    pub come_back_after_ms: u64,
}

/// The reason for which a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RefusalCause {
    /// The queue or the customer's share of it is full.
    Overload,
    /// The request would end after its deadline.
    DeadlineOutOfReach,
    /// The deadline passed before the request was dispatched.
    DeadlinePassed,
    /// The group has no primary at present: a promotion is running.
    NoPrimary,
    /// The replicas are too far behind to acknowledge writes.
    ReplicasBehind,
    /// No leaseholder with a live lease could be reached.
    NoLeaseholder,
    /// This VM holds no lease, or is not the leaseholder of this group or epoch.
    NoLease,
    /// The customer has no contract, or the contract does not allow the request.
    Contract,
    /// The request key is missing, malformed or older than the window in which keys are remembered.
    RequestKey,
    /// The VM is shutting down.
    Draining,
    /// The endpoint refused the request without running it.
    EndpointRefused,
    /// The transaction is no longer open.
    TransactionLost,
    /// The caller cancelled the request before it was dispatched.
    Cancelled,
    /// A limit on sessions, connections or message sizes was reached.
    Limit,
    /// The account has reached its rate limit.
    AccountLimit,
    /// The caller did not present a valid key of its account.
    UnknownKey,
}

/// The reason for which it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DoubtCause {
    /// The endpoint's connection was lost after the request was sent.
    EndpointLost,
    /// The endpoint did not answer before the deadline.
    EndpointSilent,
    /// The leaseholder was lost after the request was sent to it.
    LeaseholderLost,
    /// The write ran, but no majority of the instances confirmed it before the deadline or the end
    /// of the term.
    NotConfirmed,
    /// A request with this key was sent earlier and its outcome is unknown.
    EarlierAttempt,
    /// The lease ended while the request was running.
    LeaseLost,
    /// The answer did not belong to the request.
    AnswerMismatch,
}

macro_rules! display_as_debug_words {
    ($($name:ident),*) => {$(
        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                let mut first = true;
                for letter in format!("{self:?}").chars() {
                    if letter.is_uppercase() && !first {
                        formatter.write_str(" ")?;
                    }
                    first = false;
                    write!(formatter, "{}", letter.to_lowercase())?;
                }
                Ok(())
            }
        }
    )*};
}

display_as_debug_words!(RefusalCause, DoubtCause);

/// An endpoint's answer to one statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatementAnswer {
    /// Rows, each value in its text form.
    Rows(RowSet),
    /// The statement returned no rows; holds the number of affected rows.
    Done(u64),
    /// The statement returned rows and a completion tag, which are passed on unchanged.
    #[serde(rename = "t")]
    Tagged(TaggedRows),
    /// The endpoint reported a fault of a general class, such as being busy or read-only.
    Faulted(EndpointFault),
    /// The endpoint ran the statement and the database reported an error.
    Failed(DatabaseError),
}

/// An answer that is passed on unchanged from the endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaggedRows {
    /// The rows, each as one text.
    #[serde(rename = "r")]
    pub rows: Vec<String>,
    /// The completion tag that ends the answer.
    #[serde(rename = "t")]
    pub tag: String,
}

/// The rows of an answer, in text form.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowSet {
    /// The column names.
    pub columns: Vec<String>,
    /// The rows; `None` stands for an SQL `NULL`.
    pub rows: Vec<Vec<Option<String>>>,
}

/// An error that the database reported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseError {
    /// The five-character SQLSTATE.
    pub sqlstate: String,
    /// The database's message.
    pub message: String,
}

/// The instance that answered a statement, and its log position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedBy {
    /// The instance that answered.
    #[serde(rename = "i")]
    pub instance: InstanceName,
    /// Whether the instance answered as a replica.
    #[serde(rename = "r")]
    pub replica: bool,
    /// The instance's log position at the time of the answer.
    #[serde(rename = "p", with = "brief_position")]
    pub position: LogPosition,
}
