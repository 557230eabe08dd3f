//! Runs a session's statements through the service, one at a time, and tracks the transaction
//! state.
//!
//! A statement is classified by its first words, checked against the transaction state, run to its
//! verdict, and the state is updated. Transactions that have no caller any more are rolled back, as
//! each would pin an endpoint's connection.

use crate::callers::SessionIdentity;
use crate::callers::StatementClass;
use crate::callers::StatementScan;
use crate::callers::StatementService;
use crate::callers::answers::CallerError;
use crate::callers::marks::read_marks;
use crate::callers::statement_class::command_tag;
use crate::callers::transaction::StatementPlan;
use crate::callers::transaction::TransactionState;
use crate::callers::transaction::abandoned_transaction;
use crate::callers::wire::CallerStream;
use crate::log_event;
use crate::metrics::DaemonMetrics;
use log::Level;
use ragwort_types::DoubtCause;
use ragwort_types::RequestMarks;
use ragwort_types::RequestVerdict;
use ragwort_types::RowSet;
use ragwort_types::ServedBy;
use ragwort_types::StatementAnswer;
use ragwort_types::StatementId;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use ragwort_types::TransactionId;
use ragwort_types::TransactionStep;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The text of the rollback that the gateway sends on its own, and the tag of a completed rollback.
const ROLLBACK_TEXT: &str = "ROLLBACK";

/// The outcome of a statement as reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StatementOutcome {
    /// The text contains no statement.
    Empty,
    /// The statement ran.
    Complete(CompleteAnswer),
    /// A COMMIT or ROLLBACK without an open transaction; contains its command tag.
    EndWithoutTransaction(String),
    /// The statement was refused, failed, or its outcome is unknown.
    Failed(CallerError),
}

/// The answer of a statement that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CompleteAnswer {
    pub(crate) tag: String,
    pub(crate) rows: Option<RowSet>,
    pub(crate) served_by: Option<ServedBy>,
}

/// Runs one session's statements and holds its transaction state.
pub(crate) struct StatementRunner {
    service: Arc<dyn StatementService>,
    identity: SessionIdentity,
    state: TransactionState,
    cancelled: watch::Receiver<Option<Instant>>,
    metrics: DaemonMetrics,
}

impl StatementRunner {
    pub(crate) fn new(
        service: Arc<dyn StatementService>,
        identity: SessionIdentity,
        cancelled: watch::Receiver<Option<Instant>>,
        metrics: DaemonMetrics,
    ) -> Self {
        Self {
            service,
            identity,
            state: TransactionState::Idle,
            cancelled,
            metrics,
        }
    }

    pub(crate) fn service(&self) -> &Arc<dyn StatementService> {
        &self.service
    }

    pub(crate) fn identity(&self) -> &SessionIdentity {
        &self.identity
    }

    pub(crate) fn state(&self) -> TransactionState {
        self.state
    }

    /// Marks an open transaction as failed, after an error that the gateway itself detected.
    pub(crate) fn mark_transaction_failed(&mut self) {
        self.state = self.state.after_error();
    }

    /// Runs a statement to its outcome, and cancels it if the caller disconnects meanwhile.
    pub(crate) async fn run(
        &mut self,
        stream: &mut CallerStream,
        text: &str,
        parameters: Option<Vec<Option<String>>>,
    ) -> StatementOutcome {
        let scan = StatementScan::new(text);
        let class = StatementClass::of(&scan);
        if class == StatementClass::Empty {
            return StatementOutcome::Empty;
        }
        match self.state.plan(class) {
            StatementPlan::RefuseInFailed => StatementOutcome::Failed(CallerError::not_run(
                "25P02",
                "transaction has failed; only its end is taken",
            )),
            StatementPlan::EndFailed(transaction) => {
                if let Some(id) = transaction {
                    self.roll_back(id).await;
                }
                self.state = TransactionState::Idle;
                StatementOutcome::Complete(CompleteAnswer {
                    tag: ROLLBACK_TEXT.to_owned(),
                    rows: None,
                    served_by: None,
                })
            }
            StatementPlan::EndWithoutTransaction => {
                StatementOutcome::EndWithoutTransaction(command_tag(&scan, 0, false))
            }
            StatementPlan::Run(step) => {
                let marks = match check_statement(&scan, class) {
                    Ok(marks) => marks,
                    Err(error) => {
                        self.mark_transaction_failed();
                        return StatementOutcome::Failed(error);
                    }
                };
                let request =
                    self.make_request(text, parameters, marks, step, stream.since_last_read());
                let reply = self.execute(stream, request).await;
                self.apply_verdict(&scan, step, reply).await
            }
        }
    }

    /// Updates the transaction state by a verdict and returns the outcome for the caller.
    async fn apply_verdict(
        &mut self,
        scan: &StatementScan<'_>,
        step: TransactionStep,
        reply: StatementReply,
    ) -> StatementOutcome {
        self.state = self.state.after(step, &reply.verdict);
        if let Some(id) = abandoned_transaction(step, &reply.verdict) {
            self.roll_back(id).await;
        }
        // A transaction whose rollback failed can't be committed any more: only this session knows
        // its id, and it uses it no further. The rollback counts as done.
        if matches!(step, TransactionStep::Rollback(_))
            && !matches!(reply.verdict, RequestVerdict::Ran(_))
        {
            return StatementOutcome::Complete(CompleteAnswer {
                tag: ROLLBACK_TEXT.to_owned(),
                rows: None,
                served_by: None,
            });
        }
        match reply.verdict {
            RequestVerdict::Ran(StatementAnswer::Rows(rows)) => {
                complete_rows(scan, rows, reply.served_by)
            }
            RequestVerdict::Ran(StatementAnswer::Done(count)) => {
                StatementOutcome::Complete(CompleteAnswer {
                    tag: command_tag(scan, count, false),
                    rows: None,
                    served_by: reply.served_by,
                })
            }
            RequestVerdict::Ran(StatementAnswer::Failed(error)) => {
                StatementOutcome::Failed(CallerError::from(&error))
            }
            // PostgreSQL endpoints never return these kinds of answer.
            RequestVerdict::Ran(StatementAnswer::Tagged(_) | StatementAnswer::Faulted(_)) => {
                StatementOutcome::Failed(CallerError::from(DoubtCause::AnswerMismatch))
            }
            RequestVerdict::NotRun(refusal) => StatementOutcome::Failed(CallerError::from(refusal)),
            RequestVerdict::MayHaveRun(cause) => StatementOutcome::Failed(CallerError::from(cause)),
        }
    }

    fn make_request(
        &self,
        text: &str,
        parameters: Option<Vec<Option<String>>>,
        marks: RequestMarks,
        step: TransactionStep,
        waited: Duration,
    ) -> StatementRequest {
        StatementRequest {
            id: StatementId::fresh(),
            customer: self.identity.customer.clone(),
            session: self.identity.session.clone(),
            group: self.identity.group.clone(),
            marks,
            text: text.to_owned(),
            parameters,
            step,
            spent_ms: u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
            waited_ms: 0,
            account: None,
            proof: None,
            context: None,
        }
    }

    /// Executes a request; passes a cancel request, or the caller's disconnection, on to the
    /// service.
    async fn execute(
        &mut self,
        stream: &mut CallerStream,
        request: StatementRequest,
    ) -> StatementReply {
        let id = request.id;
        let started = Instant::now();
        // A cancel request received before this statement was meant for an earlier one.
        self.cancelled.borrow_and_update();
        let service = Arc::clone(&self.service);
        let mut running = pin!(service.execute(request));
        let mut caller_gone = false;
        let mut edge_gone = false;
        loop {
            tokio::select! {
                reply = &mut running => return self.check_reply(id, reply),
                changed = self.cancelled.changed(), if !edge_gone => {
                    edge_gone = changed.is_err();
                    let accepted = *self.cancelled.borrow();
                    // A cancel request accepted before this statement started was meant for the
                    // previous one and was delayed in the edge's queue.
                    if accepted.is_some_and(|accepted| accepted > started) {
                        service.cancel(id);
                    }
                }
                () = stream.wait_closed(), if !caller_gone => {
                    caller_gone = true;
                    service.cancel(id);
                }
            }
        }
    }

    /// Replaces an answer that belongs to another statement by a doubt, so that a caller never
    /// receives another caller's rows.
    fn check_reply(&self, id: StatementId, reply: StatementReply) -> StatementReply {
        if reply.id == id {
            return reply;
        }
        self.metrics.count_invariant_failure("own answer only");
        log_event!(
            Level::Error,
            "answer_mismatch",
            statement = id,
            answer = reply.id
        );
        StatementReply {
            id,
            verdict: RequestVerdict::MayHaveRun(DoubtCause::AnswerMismatch),
            served_by: None,
        }
    }

    /// Rolls back a transaction that its caller won't end; the verdict is ignored.
    async fn roll_back(&self, id: TransactionId) {
        let step = TransactionStep::Rollback(id);
        let marks = RequestMarks::default();
        let request = self.make_request(ROLLBACK_TEXT, None, marks, step, Duration::ZERO);
        self.service.execute(request).await;
    }

    /// Rolls back the transaction that is open or failed at the end of the session, if any.
    pub(crate) async fn roll_back_open(&mut self) {
        let open = match self.state {
            TransactionState::Open(id) | TransactionState::Failed(Some(id)) => id,
            TransactionState::Idle | TransactionState::Failed(None) => return,
        };
        self.state = TransactionState::Idle;
        self.roll_back(open).await;
    }
}

fn check_statement(
    scan: &StatementScan<'_>,
    class: StatementClass,
) -> Result<RequestMarks, CallerError> {
    if let StatementClass::Unsupported(reason) = class {
        return Err(CallerError::not_run("0A000", reason));
    }
    read_marks(scan).map_err(CallerError::from)
}

fn complete_rows(
    scan: &StatementScan<'_>,
    rows: RowSet,
    served_by: Option<ServedBy>,
) -> StatementOutcome {
    let width = rows.columns.len();
    if rows.rows.iter().any(|row| row.len() != width) || i16::try_from(width).is_err() {
        return StatementOutcome::Failed(CallerError::shape_mismatch());
    }
    StatementOutcome::Complete(CompleteAnswer {
        tag: command_tag(scan, rows.rows.len() as u64, true),
        rows: Some(rows),
        served_by,
    })
}
