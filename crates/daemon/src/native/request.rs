//! A statement on its way through the leaseholder of a group with terms of its own.

use super::link::LinkId;
use ragwort_control::ClockTime;
use ragwort_policy::ReplaySteps;
use ragwort_policy::RequestTicket;
use ragwort_types::KindTerms;
use ragwort_types::LogPosition;
use ragwort_types::SessionContext;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use ragwort_types::TransactionStep;
use tokio::sync::oneshot;

/// A statement that the leaseholder has taken in.
pub(super) struct NativeRequest {
    /// The statement.
    pub(super) request: Box<StatementRequest>,
    /// What it carries of its session.
    pub(super) context: Box<SessionContext>,
    /// Where the reply goes.
    pub(super) reply: oneshot::Sender<StatementReply>,
    /// What the contract says of its kind.
    pub(super) terms: KindTerms,
    /// When it arrived.
    pub(super) arrived: ClockTime,
    /// When its caller needs the answer.
    pub(super) deadline: ClockTime,
    /// What an instance's log must hold to serve it.
    pub(super) floor: LogPosition,
    /// Where it runs, once it was dispatched.
    pub(super) running: Option<RunningPlace>,
}

/// Where a statement runs.
#[derive(Clone, Debug)]
pub(super) struct RunningPlace {
    /// What is replayed there before it.
    pub(super) replay: ReplaySteps,
    /// Whether its transaction is opened before it.
    pub(super) begins: bool,
}

impl RunningPlace {
    /// Returns how many commands go before the statement itself.
    pub(super) fn prelude(&self) -> usize {
        self.replay.len() + usize::from(self.begins)
    }
}

impl NativeRequest {
    /// Says whether it commits something when it is answered.
    pub(super) fn commits(&self) -> bool {
        match self.request.step {
            TransactionStep::Single => {
                self.context.act.access() == ragwort_types::AccessMode::Write
            }
            TransactionStep::Commit(_) => true,
            TransactionStep::Begin(_)
            | TransactionStep::Within(_)
            | TransactionStep::Rollback(_) => false,
        }
    }
}

/// A transaction that holds a connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct NativeTransaction {
    /// The request that opened it.
    pub(super) opener: RequestTicket,
    /// The connection.
    pub(super) link: LinkId,
    /// When its last statement ended.
    pub(super) last_used: ClockTime,
}
