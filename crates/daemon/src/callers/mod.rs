//! The PostgreSQL front end: speaks PostgreSQL's wire protocol to callers and passes their
//! statements to a [`StatementService`].
//!
//! A [`CallerEdge`] accepts connections and runs one task for each. The task owns its socket and
//! its session state. It reads messages one at a time, passes each statement to the service and
//! sends back its single answer. Routing to leaseholders and endpoints is up to the service.

mod answers;
mod conversation;
mod edge;
mod extended;
mod marks;
pub(crate) mod parameters;
mod rows;
mod running;
mod scan;
mod session;
mod startup;
mod statement_class;
mod transaction;
mod wire;

pub use answers::HAS_RUN_DETAIL;
pub use answers::MAY_HAVE_RUN_DETAIL;
pub use answers::NOT_RUN_DETAIL;
pub use edge::CallerEdge;
pub use edge::CallerLimits;
pub use edge::DrainStage;
pub use marks::MarkFault;
pub use marks::read_marks;
pub use ragwort_types::StatementShape;
pub use scan::StatementScan;
pub use statement_class::StatementClass;

use async_trait::async_trait;
use ragwort_types::CustomerName;
use ragwort_types::DatabaseError;
use ragwort_types::GroupName;
use ragwort_types::Refusal;
use ragwort_types::SessionName;
use ragwort_types::StatementId;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use ragwort_types::TransactionId;

/// The identity of a session, taken from the caller's start-up message.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SessionIdentity {
    /// The customer, given as the start-up user.
    pub customer: CustomerName,
    /// The database group, given as the start-up database.
    pub group: GroupName,
    /// The session's name: the option `ragwort.session`, by default the customer's name.
    pub session: SessionName,
}

/// The reason for which a session is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionRefusal {
    /// The caller's key belongs to no account, and the customer's contract requires a key.
    UnknownKey,
    /// The customer has no contract.
    NoContract,
    /// The customer's contract doesn't name the group.
    UnknownGroup,
    /// The customer has as many sessions on this gateway as its contract allows.
    TooManySessions {
        /// The time to wait before a retry, in milliseconds; zero if unknown.
        come_back_after_ms: u64,
    },
    /// The gateway is shutting down.
    Draining,
    /// The gateway has just started and has not received its catalog yet, which takes only moments.
    Starting {
        /// The time to wait before a retry, in milliseconds.
        come_back_after_ms: u64,
    },
    /// The gateway accepts no work at present, for example because it has no lease.
    NotReady {
        /// The time to wait before a retry, in milliseconds; zero if unknown.
        come_back_after_ms: u64,
    },
}

/// A statement to describe without running it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DescribeRequest {
    /// The session that asks.
    pub identity: SessionIdentity,
    /// The statement's text.
    pub text: String,
    /// The transaction in which the statement will run, if one is open.
    pub transaction: Option<TransactionId>,
}

/// The reply to a [`DescribeRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DescribeReply {
    /// The statement's shape.
    Shape(StatementShape),
    /// The database reported an error, such as an unknown table.
    Failed(DatabaseError),
    /// The statement was not described.
    Refused(Refusal),
    /// The service doesn't implement descriptions.
    Unsupported,
}

/// Runs callers' statements. The daemon implements it by the gateway's forwarding.
#[async_trait]
pub trait StatementService: Send + Sync + 'static {
    /// Admits a session or refuses it.
    ///
    /// # Errors
    ///
    /// Returns the reason if the session is not admitted.
    fn open_session(&self, identity: &SessionIdentity) -> Result<(), SessionRefusal>;

    /// Records the end of an admitted session; called exactly once for each.
    fn close_session(&self, identity: &SessionIdentity);

    /// Runs a statement to its final verdict.
    ///
    /// The edge sets no time limit of its own: the service must bound the call by the statement's
    /// deadline.
    async fn execute(&self, request: StatementRequest) -> StatementReply;

    /// Describes a statement without running it.
    async fn describe(&self, request: DescribeRequest) -> DescribeReply {
        let _ = request;
        DescribeReply::Unsupported
    }

    /// Requests the cancellation of a running statement. Its reply still comes from `execute`.
    fn cancel(&self, id: StatementId);
}
