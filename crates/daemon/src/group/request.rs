//! The state of a statement while its group's leaseholder handles it.

use crate::connection::ConnectionId;
use ragwort_control::ClockTime;
use ragwort_control::RoundId;
use ragwort_control::WriteTicket;
use ragwort_policy::RequestTicket;
use ragwort_types::AccessMode;
use ragwort_types::CustomerName;
use ragwort_types::InstanceName;
use ragwort_types::KindTerms;
use ragwort_types::RequestKey;
use ragwort_types::RequestVerdict;
use ragwort_types::ServedBy;
use ragwort_types::StatementId;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use ragwort_types::TransactionStep;
use tokio::sync::oneshot;

/// The stage of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// Waits in the scheduler's queue.
    Waiting,
    /// Dispatched to this instance; waits until every standby holds its key.
    Journaling(InstanceName),
    /// Runs on this connection.
    Running(ConnectionId),
    /// Answered; waits until a majority holds its write.
    AwaitingMajority(WriteTicket),
    /// Answered; waits until a majority confirms the term in this read round.
    AwaitingRound(RoundId),
    /// Its verdict is known; waits until every standby holds the journal entry with this number.
    Recording(u64),
}

/// A request that the leaseholder has admitted.
#[derive(Debug)]
pub struct ActiveRequest {
    /// The statement.
    pub request: Box<StatementRequest>,
    /// The channel for the reply.
    pub reply: oneshot::Sender<StatementReply>,
    /// The contract's terms for its kind, tightened by the caller's marks.
    pub terms: KindTerms,
    /// When it arrived.
    pub arrived: ClockTime,
    /// The time by which the caller needs the answer.
    pub deadline: ClockTime,
    /// Its stage.
    pub stage: RequestStage,
    /// The number of the journal entry with its key.
    pub key_entry: Option<u64>,
    /// The read round that a fresh read joined when it was dispatched.
    pub round: Option<RoundId>,
    /// When it was dispatched; its arrival time until then.
    pub dispatched: ClockTime,
    /// The endpoint's answer, while it is withheld for confirmation.
    pub answer: Option<(RequestVerdict, ServedBy)>,
}

impl ActiveRequest {
    /// Returns whether the request may change data: a single write, or a transaction's commit.
    pub fn is_write(&self) -> bool {
        match self.request.step {
            TransactionStep::Single => self.terms.access == AccessMode::Write,
            TransactionStep::Commit(_) => true,
            TransactionStep::Begin(_)
            | TransactionStep::Within(_)
            | TransactionStep::Rollback(_) => false,
        }
    }

    /// Returns whether the answer must reflect every write that was acknowledged before the read.
    pub fn is_fresh_read(&self) -> bool {
        self.request.step == TransactionStep::Single
            && self.terms.access == AccessMode::Read
            && self.terms.max_age_ms == 0
    }
}

/// A resend that waits for the verdict of the first attempt.
#[derive(Debug)]
pub struct ResendWaiter {
    /// The resent statement.
    pub id: StatementId,
    /// The channel for the reply.
    pub reply: oneshot::Sender<StatementReply>,
    /// The time by which the caller needs the answer.
    pub deadline: ClockTime,
}

/// A request key together with its customer, within which it is unique.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyedRequest {
    /// The customer.
    pub customer: CustomerName,
    /// The key.
    pub key: RequestKey,
}

/// An open transaction, which is pinned to a connection.
#[derive(Clone, Debug)]
pub struct OpenTransaction {
    /// The ticket of the request that opened it.
    pub opener: RequestTicket,
    /// The connection.
    pub connection: ConnectionId,
    /// When its last statement ended.
    pub last_used: ClockTime,
}
