//! A statement on its way through its group's leaseholder.

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

/// How far a request has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// It waits in the scheduler's queue.
    Waiting,
    /// It was dispatched to this instance and waits until all standbys hold its key.
    Journaling(InstanceName),
    /// It runs on this connection.
    Running(ConnectionId),
    /// It was answered and waits for a majority to hold its write.
    AwaitingMajority(WriteTicket),
    /// It was answered and waits for a majority to confirm the term.
    AwaitingRound(RoundId),
    /// Its verdict is known and waits until all standbys hold it.
    Recording(u64),
}

/// A request that the leaseholder has taken in.
#[derive(Debug)]
pub struct ActiveRequest {
    /// The statement.
    pub request: Box<StatementRequest>,
    /// Where the reply goes.
    pub reply: oneshot::Sender<StatementReply>,
    /// What the contract says of its kind, with the caller's marks applied.
    pub terms: KindTerms,
    /// When it arrived.
    pub arrived: ClockTime,
    /// When its caller needs the answer.
    pub deadline: ClockTime,
    /// How far it has come.
    pub stage: RequestStage,
    /// The journal entry of its key.
    pub key_entry: Option<u64>,
    /// The round of reads that it joined when it was dispatched.
    pub round: Option<RoundId>,
    /// When it was dispatched.
    pub dispatched: ClockTime,
    /// The endpoint's answer, while it waits to be confirmed.
    pub answer: Option<(RequestVerdict, ServedBy)>,
}

impl ActiveRequest {
    /// Says whether the request may change data: it is a write, or commits a transaction.
    pub fn is_write(&self) -> bool {
        match self.request.step {
            TransactionStep::Single => self.terms.access == AccessMode::Write,
            TransactionStep::Commit(_) => true,
            TransactionStep::Begin(_)
            | TransactionStep::Within(_)
            | TransactionStep::Rollback(_) => false,
        }
    }

    /// Says whether the answer must reflect everything acknowledged before it.
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
    /// Where the reply goes.
    pub reply: oneshot::Sender<StatementReply>,
    /// When its caller needs the answer.
    pub deadline: ClockTime,
}

/// A request key within its customer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyedRequest {
    /// The customer.
    pub customer: CustomerName,
    /// The key.
    pub key: RequestKey,
}

/// A transaction that holds a connection.
#[derive(Clone, Debug)]
pub struct OpenTransaction {
    /// The request that opened it.
    pub opener: RequestTicket,
    /// The connection.
    pub connection: ConnectionId,
    /// When its last statement ended.
    pub last_used: ClockTime,
}
