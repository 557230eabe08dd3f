//! The leaseholder's state of a statement and of an open transaction in a native group.

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

/// A statement that is queued or running.
pub(super) struct NativeRequest {
    /// The statement.
    pub(super) request: Box<StatementRequest>,
    /// The state of its session that it depends on.
    pub(super) context: Box<SessionContext>,
    /// Receives the reply.
    pub(super) reply: oneshot::Sender<StatementReply>,
    /// The contract's terms for its kind.
    pub(super) terms: KindTerms,
    /// Time of its arrival at this leaseholder.
    pub(super) arrived: ClockTime,
    /// Time after which its caller doesn't need the answer any more.
    pub(super) deadline: ClockTime,
    /// Minimum log position of an instance that may serve it.
    pub(super) min_position: LogPosition,
    /// The commands sent before it, while it is dispatched.
    pub(super) running: Option<StatementPrelude>,
}

/// The commands that are sent before a statement on its connection.
#[derive(Clone, Debug)]
pub(super) struct StatementPrelude {
    /// The steps that restore its session's state.
    pub(super) replay: ReplaySteps,
    /// Whether a command that begins its transaction follows them.
    pub(super) begins: bool,
}

impl StatementPrelude {
    /// Returns the number of commands before the statement itself.
    pub(super) fn command_count(&self) -> usize {
        self.replay.len() + usize::from(self.begins)
    }
}

impl NativeRequest {
    /// Returns whether an answer means that it has committed a write.
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

/// An open transaction, pinned to a connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct NativeTransaction {
    /// Ticket of the statement that opened it, by which the scheduler identifies it.
    pub(super) opener: RequestTicket,
    /// The connection that it is pinned to.
    pub(super) link: LinkId,
    /// Whether it was opened for writes.
    pub(super) may_write: bool,
    /// Time at which its last statement ended.
    pub(super) last_used: ClockTime,
}
