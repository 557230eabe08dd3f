//! Where a session stands in its transaction, and what each verdict does to that.

use crate::callers::StatementClass;
use pgwire::messages::response::TransactionStatus;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::StatementAnswer;
use ragwort_types::TransactionId;
use ragwort_types::TransactionStep;

/// Where a session stands in its transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open(TransactionId),
    /// A statement of the transaction failed; only its end is taken. The transaction is named
    /// while a connection may still be pinned by it.
    Failed(Option<TransactionId>),
}

/// What to do with a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StatementPlan {
    /// Hand it to the service.
    Run(TransactionStep),
    /// Roll the failed transaction back and say so, whatever comes of it.
    EndFailed(Option<TransactionId>),
    /// Answer without running: there is no transaction to end.
    NothingToEnd,
    /// Refuse it: the transaction has failed.
    RefuseInFailed,
}

impl TransactionState {
    /// Returns the state as callers see it.
    pub(crate) fn status(self) -> TransactionStatus {
        match self {
            Self::Idle => TransactionStatus::Idle,
            Self::Open(_) => TransactionStatus::Transaction,
            Self::Failed(_) => TransactionStatus::Error,
        }
    }

    /// Returns the transaction that statements can run in.
    pub(crate) fn open(self) -> Option<TransactionId> {
        match self {
            Self::Open(id) => Some(id),
            Self::Idle | Self::Failed(_) => None,
        }
    }

    /// Plans a statement.
    pub(crate) fn plan(self, class: StatementClass) -> StatementPlan {
        let ends = matches!(class, StatementClass::Commit | StatementClass::Rollback);
        match (self, class) {
            (Self::Failed(transaction), _) if ends => StatementPlan::EndFailed(transaction),
            (Self::Failed(_), _) => StatementPlan::RefuseInFailed,
            (Self::Idle, _) if ends => StatementPlan::NothingToEnd,
            (Self::Idle, StatementClass::Begin) => {
                StatementPlan::Run(TransactionStep::Begin(TransactionId::fresh()))
            }
            (Self::Idle, _) => StatementPlan::Run(TransactionStep::Single),
            (Self::Open(id), StatementClass::Commit) => {
                StatementPlan::Run(TransactionStep::Commit(id))
            }
            (Self::Open(id), StatementClass::Rollback) => {
                StatementPlan::Run(TransactionStep::Rollback(id))
            }
            (Self::Open(id), _) => StatementPlan::Run(TransactionStep::Within(id)),
        }
    }

    /// Returns the state after an error that the gateway itself found.
    pub(crate) fn after_error(self) -> Self {
        match self {
            Self::Open(id) => Self::Failed(Some(id)),
            other => other,
        }
    }

    /// Returns the state after a step's verdict.
    ///
    /// A failed commit ends the transaction, as in PostgreSQL: drivers don't send a rollback
    /// after it, and a session kept in the failed state would refuse all that follows.
    pub(crate) fn after(self, step: TransactionStep, verdict: &RequestVerdict) -> Self {
        match step {
            TransactionStep::Single => self,
            TransactionStep::Begin(id) if is_success(verdict) => Self::Open(id),
            TransactionStep::Begin(_) => Self::Idle,
            TransactionStep::Within(_) if is_success(verdict) => self,
            TransactionStep::Within(_) if is_lost(verdict) => Self::Failed(None),
            TransactionStep::Within(id) => Self::Failed(Some(id)),
            TransactionStep::Commit(_) | TransactionStep::Rollback(_) => Self::Idle,
        }
    }
}

/// Returns the transaction that a step's verdict leaves behind without a caller to end it: its
/// connection would stay pinned until its deadline.
pub(crate) fn left_behind(
    step: TransactionStep,
    verdict: &RequestVerdict,
) -> Option<TransactionId> {
    match (step, verdict) {
        (TransactionStep::Begin(id), RequestVerdict::MayHaveRun(_)) => Some(id),
        (TransactionStep::Commit(id), RequestVerdict::NotRun(_)) if !is_lost(verdict) => Some(id),
        _ => None,
    }
}

fn is_success(verdict: &RequestVerdict) -> bool {
    matches!(
        verdict,
        RequestVerdict::Ran(StatementAnswer::Rows(_) | StatementAnswer::Done(_))
    )
}

fn is_lost(verdict: &RequestVerdict) -> bool {
    matches!(verdict, RequestVerdict::NotRun(refusal) if refusal.cause == RefusalCause::TransactionLost)
}
