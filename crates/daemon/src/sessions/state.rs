//! The state of one session, and how each of its statements is executed. No I/O.
//!
//! BEGIN is deferred: the gateway answers it, and the transaction is opened together with its first
//! statement, so that an idle transaction holds no connection. After a failure the session accepts
//! only the end of the transaction. Reads carry the position of the session's last write, so that a
//! replica without it doesn't answer (read-your-writes).

use crate::edges::CallerAnswer;
use crate::edges::CallerError;
use crate::edges::CallerErrorSort;
use crate::edges::CallerStatement;
use crate::edges::SessionState;
use crate::sessions::END_KIND;
use crate::sessions::READ_KIND;
use crate::sessions::WRITE_KIND;
use ragwort_types::AccessMode;
use ragwort_types::EndpointFault;
use ragwort_types::EndpointFaultKind;
use ragwort_types::LogPosition;
use ragwort_types::PreparedDefinition;
use ragwort_types::Refusal;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::SessionContext;
use ragwort_types::SessionValues;
use ragwort_types::StatementAnswer;
use ragwort_types::StatementOperation;
use ragwort_types::StatementReply;
use ragwort_types::TransactionId;
use ragwort_types::TransactionMode;
use ragwort_types::TransactionStep;
use std::collections::HashMap;

/// The maximum number of values that a session may set, and of statements that it may prepare.
/// Values are sent along with every statement; prepared statements are kept on endpoint
/// connections.
const MAX_NAMES: usize = 1_024;

/// How a statement is executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionStep {
    /// The gateway answers it directly.
    Answer(CallerAnswer),
    /// It is sent to the group's leaseholder.
    Run(StatementDraft),
}

/// A statement to be sent to the group's leaseholder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementDraft {
    /// Its step within a transaction.
    pub step: TransactionStep,
    /// Its kind in the contract.
    pub kind: &'static str,
    /// Its text, or the arguments of a prepared statement.
    pub text: String,
    /// The part of the session's state that is sent with it.
    pub context: SessionContext,
    /// Whether it is the rollback that answers the COMMIT of a failed transaction, so that the
    /// caller is sent an error even if it succeeds.
    answers_failed_commit: bool,
}

/// The progress of a session's transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum TransactionProgress {
    /// No transaction is open.
    #[default]
    None,
    /// BEGIN was answered, but no connection is held yet; the first statement opens the
    /// transaction.
    Deferred(TransactionMode),
    /// The transaction holds a connection.
    Open(TransactionId),
    /// The transaction has failed; the id is kept while it may still hold a connection.
    Failed(Option<TransactionId>),
}

/// The state of a session.
#[derive(Debug, Default)]
pub struct CallerSession {
    values: SessionValues,
    prepared: HashMap<String, PreparedDefinition>,
    progress: TransactionProgress,
    last_write: Option<LogPosition>,
}

impl CallerSession {
    /// Returns the transaction state that is reported to the caller.
    pub fn state(&self) -> SessionState {
        match self.progress {
            TransactionProgress::None => SessionState::Idle,
            TransactionProgress::Deferred(_) | TransactionProgress::Open(_) => SessionState::Open,
            TransactionProgress::Failed(_) => SessionState::Failed,
        }
    }

    /// Decides how a statement is executed; `id` is the caller's id of it.
    pub fn handle(&mut self, id: String, statement: CallerStatement) -> SessionStep {
        if let TransactionProgress::Failed(held) = self.progress {
            return self.handle_in_failed(id, &statement, held);
        }
        match statement {
            CallerStatement::Begin(mode) if self.progress == TransactionProgress::None => {
                self.progress = TransactionProgress::Deferred(mode);
                self.complete()
            }
            CallerStatement::Begin(_) | CallerStatement::Unknown => {
                self.fail(CallerErrorSort::Malformed, "statement is not taken here")
            }
            CallerStatement::Commit => self.handle_commit(id),
            CallerStatement::Rollback => self.handle_rollback(id),
            CallerStatement::Run { access, text } => {
                self.draft(id, StatementOperation::Text(access), text)
            }
            CallerStatement::Execute { name, arguments } => {
                match self.prepared.get(&name).cloned() {
                    Some(definition) => {
                        self.draft(id, StatementOperation::Prepared(definition), arguments)
                    }
                    None => self.fail(
                        CallerErrorSort::UnknownStatement,
                        "no prepared statement has this name",
                    ),
                }
            }
            CallerStatement::Set { name, value } => {
                if self.values.len() >= MAX_NAMES && !self.values.contains_key(&name) {
                    return self.fail(CallerErrorSort::Busy, "session has too many values");
                }
                self.values.insert(name, value);
                self.complete()
            }
            CallerStatement::Prepare { name, definition } => {
                if self.prepared.len() >= MAX_NAMES && !self.prepared.contains_key(&name) {
                    return self.fail(CallerErrorSort::Busy, "session has too many statements");
                }
                self.prepared.insert(name, definition);
                self.complete()
            }
            CallerStatement::Deallocate { name } => {
                self.prepared.remove(&name);
                self.complete()
            }
        }
    }

    /// Updates the session by a statement's verdict, and returns the answer to the caller.
    pub fn finish(&mut self, draft: &StatementDraft, reply: StatementReply) -> CallerAnswer {
        let position = reply.served_by.map(|served| served.position);
        match reply.verdict {
            RequestVerdict::Ran(StatementAnswer::Tagged(rows)) => {
                self.apply_success(draft, position);
                if draft.answers_failed_commit {
                    return self.answer_failed(rolled_back_error());
                }
                CallerAnswer::Complete {
                    rows: rows.rows,
                    tag: Some(rows.tag),
                    state: self.state(),
                    position,
                }
            }
            RequestVerdict::Ran(StatementAnswer::Faulted(fault)) => {
                self.apply_failure(draft, ConnectionHold::Kept);
                self.answer_failed(error_of_fault(&fault))
            }
            RequestVerdict::Ran(_) => {
                self.apply_failure(draft, ConnectionHold::Kept);
                self.answer_failed(CallerError {
                    sort: CallerErrorSort::InDoubt,
                    come_back_after_ms: 0,
                    text: "answer is of another sort than the statement's".to_owned(),
                })
            }
            RequestVerdict::NotRun(refusal) => {
                self.apply_failure(draft, hold_after_refusal(draft.step, refusal.cause));
                if draft.answers_failed_commit {
                    return self.answer_failed(rolled_back_error());
                }
                self.answer_failed(error_of_refusal(refusal))
            }
            RequestVerdict::MayHaveRun(cause) => {
                self.apply_failure(draft, ConnectionHold::Lost);
                self.answer_failed(CallerError {
                    sort: CallerErrorSort::InDoubt,
                    come_back_after_ms: 0,
                    text: format!("outcome is unknown: {cause}"),
                })
            }
        }
    }

    /// If the `session_ends` while its transaction may still hold a connection, forgets the
    /// transaction and returns its rollback.
    pub fn take_abandoned(&mut self, session_ends: bool) -> Option<StatementDraft> {
        let left = match self.progress {
            TransactionProgress::Open(id) | TransactionProgress::Failed(Some(id))
                if session_ends =>
            {
                id
            }
            _ => return None,
        };
        self.progress = TransactionProgress::None;
        Some(self.draft_rollback("-".to_owned(), left, false))
    }

    fn handle_in_failed(
        &mut self,
        id: String,
        statement: &CallerStatement,
        held: Option<TransactionId>,
    ) -> SessionStep {
        let commits = match statement {
            CallerStatement::Commit => true,
            CallerStatement::Rollback => false,
            _ => {
                return self.fail(
                    CallerErrorSort::Malformed,
                    "transaction has failed; only its end is taken",
                );
            }
        };
        if let Some(transaction) = held {
            return SessionStep::Run(self.draft_rollback(id, transaction, commits));
        }
        self.progress = TransactionProgress::None;
        match commits {
            true => SessionStep::Answer(self.answer_failed(rolled_back_error())),
            false => self.complete(),
        }
    }

    fn handle_commit(&mut self, id: String) -> SessionStep {
        match self.progress {
            TransactionProgress::None | TransactionProgress::Failed(_) => {
                self.fail(CallerErrorSort::Malformed, "no transaction is open")
            }
            TransactionProgress::Deferred(_) | TransactionProgress::Open(_) => {
                self.draft(id, StatementOperation::Commit, String::new())
            }
        }
    }

    fn handle_rollback(&mut self, id: String) -> SessionStep {
        match self.progress {
            TransactionProgress::Open(transaction) => {
                SessionStep::Run(self.draft_rollback(id, transaction, false))
            }
            TransactionProgress::None
            | TransactionProgress::Deferred(_)
            | TransactionProgress::Failed(_) => {
                self.progress = TransactionProgress::None;
                self.complete()
            }
        }
    }

    fn draft(&mut self, id: String, act: StatementOperation, text: String) -> SessionStep {
        let commits = act == StatementOperation::Commit;
        let (step, opens) = match self.progress {
            TransactionProgress::None | TransactionProgress::Failed(_) => {
                (TransactionStep::Single, None)
            }
            TransactionProgress::Deferred(mode) => {
                (TransactionStep::Begin(TransactionId::fresh()), Some(mode))
            }
            TransactionProgress::Open(open) if commits => (TransactionStep::Commit(open), None),
            TransactionProgress::Open(open) => (TransactionStep::Within(open), None),
        };
        let kind = match (&act, act.access()) {
            (StatementOperation::Commit | StatementOperation::Rollback, _) => END_KIND,
            (_, AccessMode::Read) => READ_KIND,
            (_, AccessMode::Write) => WRITE_KIND,
        };
        SessionStep::Run(StatementDraft {
            step,
            kind,
            text,
            context: self.make_context(id, act, opens),
            answers_failed_commit: false,
        })
    }

    fn draft_rollback(
        &self,
        id: String,
        transaction: TransactionId,
        answers_failed_commit: bool,
    ) -> StatementDraft {
        StatementDraft {
            step: TransactionStep::Rollback(transaction),
            kind: END_KIND,
            text: String::new(),
            context: self.make_context(id, StatementOperation::Rollback, None),
            answers_failed_commit,
        }
    }

    fn make_context(
        &self,
        caller_id: String,
        act: StatementOperation,
        opens: Option<TransactionMode>,
    ) -> SessionContext {
        SessionContext {
            caller_id,
            act,
            opens,
            values: self.values.clone(),
            last_write: self.last_write,
        }
    }

    fn apply_success(&mut self, draft: &StatementDraft, position: Option<LogPosition>) {
        let commits = draft.context.act == StatementOperation::Commit;
        let single_write = draft.step == TransactionStep::Single
            && draft.context.act.access() == AccessMode::Write;
        if commits || single_write {
            // A later position than the write's own only makes later reads stricter than needed.
            self.last_write = self.last_write.max(position);
        }
        match draft.step {
            TransactionStep::Single | TransactionStep::Within(_) => {}
            TransactionStep::Begin(_) if commits => self.progress = TransactionProgress::None,
            TransactionStep::Begin(id) => self.progress = TransactionProgress::Open(id),
            TransactionStep::Commit(_) | TransactionStep::Rollback(_) => {
                self.progress = TransactionProgress::None;
            }
        }
    }

    fn apply_failure(&mut self, draft: &StatementDraft, hold: ConnectionHold) {
        let held = |id| match hold {
            ConnectionHold::Kept => Some(id),
            ConnectionHold::Lost => None,
        };
        self.progress = match draft.step {
            TransactionStep::Single => TransactionProgress::None,
            TransactionStep::Begin(_) if draft.context.act == StatementOperation::Commit => {
                TransactionProgress::None
            }
            TransactionStep::Begin(id) | TransactionStep::Within(id) => {
                TransactionProgress::Failed(held(id))
            }
            // The transaction is over for the caller; the gateway rolls back one that is still
            // open.
            TransactionStep::Commit(_) | TransactionStep::Rollback(_) => TransactionProgress::None,
        };
    }

    fn complete(&self) -> SessionStep {
        SessionStep::Answer(CallerAnswer::Complete {
            rows: Vec::new(),
            tag: None,
            state: self.state(),
            position: None,
        })
    }

    /// Answers with an error of the gateway's own and marks an open transaction as failed.
    fn fail(&mut self, sort: CallerErrorSort, text: &str) -> SessionStep {
        self.progress = match self.progress {
            TransactionProgress::None => TransactionProgress::None,
            TransactionProgress::Deferred(_) => TransactionProgress::Failed(None),
            TransactionProgress::Open(id) => TransactionProgress::Failed(Some(id)),
            TransactionProgress::Failed(held) => TransactionProgress::Failed(held),
        };
        SessionStep::Answer(self.answer_failed(CallerError {
            sort,
            come_back_after_ms: 0,
            text: text.to_owned(),
        }))
    }

    fn answer_failed(&self, error: CallerError) -> CallerAnswer {
        CallerAnswer::Failed {
            error,
            state: self.state(),
        }
    }
}

/// Whether a failed transaction may still hold its connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionHold {
    Kept,
    Lost,
}

impl StatementDraft {
    /// Returns the rollback of the transaction that this statement may have left open: a commit or
    /// rollback that was not run leaves its transaction open.
    pub fn cleanup_draft(&self, verdict: &RequestVerdict) -> Option<StatementDraft> {
        let RequestVerdict::NotRun(refusal) = verdict else {
            return None;
        };
        let open = match self.step {
            TransactionStep::Commit(id) | TransactionStep::Rollback(id) => id,
            TransactionStep::Single | TransactionStep::Begin(_) | TransactionStep::Within(_) => {
                return None;
            }
        };
        if refusal.cause == RefusalCause::TransactionLost {
            return None;
        }
        let mut draft = self.clone();
        draft.step = TransactionStep::Rollback(open);
        draft.context.act = StatementOperation::Rollback;
        draft.text = String::new();
        Some(draft)
    }
}

/// Returns whether a transaction may still hold its connection after a statement was refused.
///
/// A transaction is registered at the leaseholder only once its first statement was answered, so
/// one whose first statement didn't run holds nothing there. A rollback sent for it would only be
/// answered that the transaction is lost.
fn hold_after_refusal(step: TransactionStep, cause: RefusalCause) -> ConnectionHold {
    match (step, cause) {
        (TransactionStep::Begin(_), _) | (_, RefusalCause::TransactionLost) => ConnectionHold::Lost,
        _ => ConnectionHold::Kept,
    }
}

fn rolled_back_error() -> CallerError {
    CallerError {
        sort: CallerErrorSort::Aborted,
        come_back_after_ms: 0,
        text: "transaction had failed and was rolled back".to_owned(),
    }
}

fn error_of_fault(fault: &EndpointFault) -> CallerError {
    let sort = match fault.sort {
        EndpointFaultKind::Busy
        | EndpointFaultKind::ConnectionLimit
        | EndpointFaultKind::WrongInstance => CallerErrorSort::Busy,
        EndpointFaultKind::Lagging => CallerErrorSort::Lagging,
        EndpointFaultKind::ReadOnly => CallerErrorSort::NoPrimary,
        EndpointFaultKind::UnknownStatement => CallerErrorSort::UnknownStatement,
        EndpointFaultKind::Aborted => CallerErrorSort::Aborted,
        EndpointFaultKind::Failed => CallerErrorSort::Failed,
        EndpointFaultKind::TimedOut => CallerErrorSort::TimedOut,
        EndpointFaultKind::Malformed => CallerErrorSort::Malformed,
        EndpointFaultKind::Other => CallerErrorSort::InDoubt,
    };
    CallerError {
        sort,
        come_back_after_ms: 0,
        text: format!("endpoint reported: {}", fault.text),
    }
}

fn error_of_refusal(refusal: Refusal) -> CallerError {
    let sort = match refusal.cause {
        RefusalCause::Overload
        | RefusalCause::DeadlineOutOfReach
        | RefusalCause::DeadlinePassed
        | RefusalCause::NoLeaseholder
        | RefusalCause::NoLease
        | RefusalCause::Draining
        | RefusalCause::EndpointRefused
        | RefusalCause::Cancelled
        | RefusalCause::Limit => CallerErrorSort::Busy,
        RefusalCause::NoPrimary => CallerErrorSort::NoPrimary,
        RefusalCause::ReplicasBehind => CallerErrorSort::Lagging,
        RefusalCause::TransactionLost => CallerErrorSort::Aborted,
        RefusalCause::Contract => CallerErrorSort::NoDatabase,
        RefusalCause::RequestKey => CallerErrorSort::Malformed,
        RefusalCause::AccountLimit => CallerErrorSort::Busy,
        RefusalCause::UnknownKey => CallerErrorSort::Unauthorized,
    };
    CallerError {
        sort,
        come_back_after_ms: refusal.come_back_after_ms,
        text: format!("not run: {}", refusal.cause),
    }
}
