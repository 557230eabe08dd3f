//! The transaction state machine of a session: idle, open or failed.
//!
//! It decides whether a statement runs, is refused or is answered by the gateway, and how each
//! verdict changes the state. As in PostgreSQL, a failed transaction accepts only its end.

use crate::callers::StatementClass;
use pgwire::messages::response::TransactionStatus;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::StatementAnswer;
use ragwort_types::TransactionId;
use ragwort_types::TransactionStep;

/// The transaction state of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open(TransactionId),
    /// A statement of the transaction failed; only COMMIT and ROLLBACK are accepted. The id is kept
    /// while the transaction may still pin a connection.
    Failed(Option<TransactionId>),
}

/// How a statement is handled in a given transaction state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StatementPlan {
    /// Run it through the service.
    Run(TransactionStep),
    /// Roll back the failed transaction and report a rollback, whatever its verdict.
    EndFailed(Option<TransactionId>),
    /// Answer with a warning, without running it: there is no transaction to end.
    EndWithoutTransaction,
    /// Refuse it: the transaction has failed.
    RefuseInFailed,
}

impl TransactionState {
    /// Returns the transaction status that `ReadyForQuery` reports.
    pub(crate) fn status(self) -> TransactionStatus {
        match self {
            Self::Idle => TransactionStatus::Idle,
            Self::Open(_) => TransactionStatus::Transaction,
            Self::Failed(_) => TransactionStatus::Error,
        }
    }

    /// Returns the open transaction; `None` if it has failed or there is none.
    pub(crate) fn open(self) -> Option<TransactionId> {
        match self {
            Self::Open(id) => Some(id),
            Self::Idle | Self::Failed(_) => None,
        }
    }

    /// Decides how a statement of a class is handled in this state.
    pub(crate) fn plan(self, class: StatementClass) -> StatementPlan {
        let ends = matches!(class, StatementClass::Commit | StatementClass::Rollback);
        match (self, class) {
            (Self::Failed(transaction), _) if ends => StatementPlan::EndFailed(transaction),
            (Self::Failed(_), _) => StatementPlan::RefuseInFailed,
            (Self::Idle, _) if ends => StatementPlan::EndWithoutTransaction,
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

    /// Returns the state after an error that the gateway itself detected.
    pub(crate) fn after_error(self) -> Self {
        match self {
            Self::Open(id) => Self::Failed(Some(id)),
            other => other,
        }
    }

    /// Returns the state after a step's verdict.
    ///
    /// A failed commit ends the transaction, as in PostgreSQL. Drivers send no rollback after it,
    /// so a session kept in the failed state would refuse every later statement.
    pub(crate) fn after(self, step: TransactionStep, verdict: &RequestVerdict) -> Self {
        match step {
            TransactionStep::Single => self,
            TransactionStep::Begin(id) if is_success(verdict) => Self::Open(id),
            TransactionStep::Begin(_) => Self::Idle,
            TransactionStep::Within(_) if is_success(verdict) => self,
            TransactionStep::Within(_) if is_transaction_lost(verdict) => Self::Failed(None),
            TransactionStep::Within(id) => Self::Failed(Some(id)),
            TransactionStep::Commit(_) | TransactionStep::Rollback(_) => Self::Idle,
        }
    }
}

/// Returns the transaction that may still be open after a step's verdict though the caller won't
/// end it. The gateway has to roll it back, or its connection would stay pinned until its deadline.
pub(crate) fn abandoned_transaction(
    step: TransactionStep,
    verdict: &RequestVerdict,
) -> Option<TransactionId> {
    match (step, verdict) {
        (TransactionStep::Begin(id), RequestVerdict::MayHaveRun(_)) => Some(id),
        (TransactionStep::Commit(id), RequestVerdict::NotRun(_))
            if !is_transaction_lost(verdict) =>
        {
            Some(id)
        }
        _ => None,
    }
}

fn is_success(verdict: &RequestVerdict) -> bool {
    matches!(
        verdict,
        RequestVerdict::Ran(StatementAnswer::Rows(_) | StatementAnswer::Done(_))
    )
}

fn is_transaction_lost(verdict: &RequestVerdict) -> bool {
    matches!(verdict, RequestVerdict::NotRun(refusal) if refusal.cause == RefusalCause::TransactionLost)
}
