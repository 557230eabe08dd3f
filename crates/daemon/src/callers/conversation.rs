//! The message loop of an admitted session: the simple and the extended query protocol.
//!
//! Messages are processed strictly in order, each to its last answer. In a drain an idle session
//! is closed right after an answer, so that no statement under way is lost with the connection.

use crate::callers::DescribeReply;
use crate::callers::DescribeRequest;
use crate::callers::DrainStage;
use crate::callers::StatementClass;
use crate::callers::StatementScan;
use crate::callers::StatementShape;
use crate::callers::answers::CallerError;
use crate::callers::answers::ErrorScope;
use crate::callers::answers::make_served_notice;
use crate::callers::answers::warn_no_transaction;
use crate::callers::extended::BoundPortal;
use crate::callers::extended::PreparedStatement;
use crate::callers::extended::PreparedStore;
use crate::callers::rows::describe_columns;
use crate::callers::rows::describe_parameters;
use crate::callers::rows::encode_row;
use crate::callers::running::CompleteAnswer;
use crate::callers::running::StatementOutcome;
use crate::callers::running::StatementRunner;
use crate::callers::transaction::TransactionState;
use crate::callers::wire::CallerStream;
use crate::callers::wire::StreamFault;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::data::NoData;
use pgwire::messages::extendedquery::BindComplete;
use pgwire::messages::extendedquery::Close;
use pgwire::messages::extendedquery::CloseComplete;
use pgwire::messages::extendedquery::Describe;
use pgwire::messages::extendedquery::Execute;
use pgwire::messages::extendedquery::ParseComplete;
use pgwire::messages::extendedquery::TARGET_TYPE_BYTE_STATEMENT;
use pgwire::messages::response::CommandComplete;
use pgwire::messages::response::EmptyQueryResponse;
use pgwire::messages::response::ReadyForQuery;
use std::convert::Infallible;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

/// The maximum time that a draining gateway waits for the next statement of an idle session. The
/// session is closed right after its answer.
///
/// The next statement may already be under way when an idle session is closed. Some drivers drop an
/// error that arrives while no statement is pending and report only a closed connection for the
/// statement, which leaves the caller in doubt whether it ran.
const LAST_STATEMENT_WAIT: Duration = Duration::from_secs(2);

/// The reason for which a conversation ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SessionEnd {
    /// The caller sent Terminate.
    Terminated,
    /// The gateway is shutting down.
    Drained,
    /// The stream can't be used any more.
    Fault(StreamFault),
}

impl From<StreamFault> for SessionEnd {
    fn from(fault: StreamFault) -> Self {
        Self::Fault(fault)
    }
}

/// The target of a Describe message that has not been answered yet.
///
/// The gateway has no parser, but an answer names its own columns. Drivers often send Describe and
/// Execute together, so the reply to Describe is deferred until the next message. If that is the
/// Execute, its answer supplies the description, and the service isn't asked a second time.
#[derive(Clone, Debug, PartialEq, Eq)]
enum DescribeTarget {
    Statement(String),
    Portal(String),
}

/// The query protocol by which a statement was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueryProtocol {
    Simple,
    Extended,
}

/// The state of the conversation with one caller.
pub(crate) struct Conversation {
    stream: CallerStream,
    runner: StatementRunner,
    store: PreparedStore,
    drain_stage: watch::Receiver<DrainStage>,
    notice: bool,
    pending_describe: Option<DescribeTarget>,
    /// Whether messages are skipped up to the next Sync, after an error.
    skipping: bool,
    /// Whether `ReadyForQuery` was the last message sent.
    ready_sent: bool,
    /// Whether the caller has been sent the outcome of every statement that ran.
    outcomes_delivered: bool,
    /// The final statement of the session; set once the gateway drains and the session is idle.
    last_statement: Option<LastStatement>,
}

/// The last statement of an idle session on a draining gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastStatement {
    /// Not received yet; the session ends at this instant if none arrives.
    Awaited(Instant),
    /// Received; the session ends after its answer.
    Received,
}

impl Conversation {
    pub(crate) fn new(
        stream: CallerStream,
        runner: StatementRunner,
        store: PreparedStore,
        drain_stage: watch::Receiver<DrainStage>,
        notice: bool,
    ) -> Self {
        Self {
            stream,
            runner,
            store,
            drain_stage,
            notice,
            pending_describe: None,
            skipping: false,
            ready_sent: true,
            outcomes_delivered: true,
            last_statement: None,
        }
    }

    /// Serves the caller until either side ends the session, then rolls back an open transaction.
    pub(crate) async fn run(&mut self) -> SessionEnd {
        let Err(end) = self.serve().await;
        self.runner.roll_back_open().await;
        end
    }

    /// Returns the stream, and whether the caller has been sent the outcome of every statement that
    /// ran.
    pub(crate) fn into_stream(self) -> (CallerStream, bool) {
        (self.stream, self.outcomes_delivered)
    }

    async fn serve(&mut self) -> Result<Infallible, SessionEnd> {
        loop {
            let message = self.next_message().await?;
            self.handle_message(message).await?;
        }
    }

    async fn next_message(&mut self) -> Result<PgWireFrontendMessage, SessionEnd> {
        loop {
            if self.must_end() {
                return Err(SessionEnd::Drained);
            }
            let until = match self.last_statement {
                Some(LastStatement::Awaited(until)) => Some(until),
                Some(LastStatement::Received) | None => None,
            };
            tokio::select! {
                changed = self.drain_stage.changed() => {
                    if changed.is_err() {
                        return Err(SessionEnd::Drained);
                    }
                }
                () = sleep_until(until.unwrap_or_else(Instant::now)), if until.is_some() => {}
                message = self.stream.next_message() => {
                    if self.last_statement.is_some() {
                        self.last_statement = Some(LastStatement::Received);
                    }
                    return Ok(message?);
                }
            }
        }
    }

    fn must_end(&mut self) -> bool {
        let stage = *self.drain_stage.borrow();
        match stage {
            DrainStage::Serve => false,
            DrainStage::EndIdle => {
                let between = self.ready_sent && self.runner.state() == TransactionState::Idle;
                between && self.last_statement_done()
            }
            DrainStage::EndAll => true,
        }
    }

    fn last_statement_done(&mut self) -> bool {
        let now = Instant::now();
        let awaited = LastStatement::Awaited(now + LAST_STATEMENT_WAIT);
        match *self.last_statement.get_or_insert(awaited) {
            LastStatement::Awaited(until) => now >= until,
            LastStatement::Received => true,
        }
    }

    async fn handle_message(&mut self, message: PgWireFrontendMessage) -> Result<(), SessionEnd> {
        match message {
            PgWireFrontendMessage::Terminate(_) => return Err(SessionEnd::Terminated),
            PgWireFrontendMessage::Sync(_) => return Ok(self.handle_sync().await?),
            _ if self.skipping => return Ok(()),
            _ => {}
        }
        self.ready_sent = false;
        if !self.executes_described(&message) {
            self.send_pending_describe().await?;
            if self.skipping {
                return Ok(());
            }
        }
        let taken = match message {
            PgWireFrontendMessage::Query(query) => {
                return Ok(self.handle_query(&query.query).await?);
            }
            PgWireFrontendMessage::Parse(parse) => match self.store.parse(parse) {
                Ok(()) => self.stream.send(ParseComplete::new()).await,
                Err(error) => self.fail(error).await,
            },
            PgWireFrontendMessage::Bind(bind) => match self.store.bind(bind) {
                Ok(()) => self.stream.send(BindComplete::new()).await,
                Err(error) => self.fail(error).await,
            },
            PgWireFrontendMessage::Describe(describe) => self.handle_describe(describe).await,
            PgWireFrontendMessage::Execute(execute) => self.handle_execute(execute).await,
            PgWireFrontendMessage::Close(close) => self.handle_close(close).await,
            PgWireFrontendMessage::Flush(_) => self.stream.flush().await,
            // As in PostgreSQL, the remaining messages of a failed COPY are dropped.
            PgWireFrontendMessage::CopyData(_)
            | PgWireFrontendMessage::CopyDone(_)
            | PgWireFrontendMessage::CopyFail(_) => Ok(()),
            _ => Err(StreamFault::Malformed("unexpected message".to_owned())),
        };
        Ok(taken?)
    }

    async fn handle_query(&mut self, text: &str) -> Result<(), StreamFault> {
        let outcome = self.runner.run(&mut self.stream, text, None).await;
        match outcome {
            StatementOutcome::Failed(error) => {
                self.stream
                    .send(error.to_response(ErrorScope::Statement))
                    .await?;
            }
            outcome => self.answer(outcome, QueryProtocol::Simple).await?,
        }
        self.send_ready().await
    }

    async fn handle_sync(&mut self) -> Result<(), StreamFault> {
        if !self.skipping {
            self.send_pending_describe().await?;
        }
        self.pending_describe = None;
        self.skipping = false;
        self.send_ready().await
    }

    async fn send_ready(&mut self) -> Result<(), StreamFault> {
        let state = self.runner.state();
        if state == TransactionState::Idle {
            self.store.close_portals();
        }
        self.stream.send(ReadyForQuery::new(state.status())).await?;
        self.stream.flush().await?;
        self.ready_sent = true;
        self.outcomes_delivered = true;
        Ok(())
    }

    /// Reports an error of the extended protocol and skips messages up to the next Sync.
    async fn fail(&mut self, error: CallerError) -> Result<(), StreamFault> {
        self.runner.mark_transaction_failed();
        self.pending_describe = None;
        self.skipping = true;
        let response = error.to_response(ErrorScope::Statement);
        self.stream.send(response).await?;
        self.stream.flush().await
    }

    async fn handle_describe(&mut self, describe: Describe) -> Result<(), StreamFault> {
        let name = describe.name.unwrap_or_default();
        let (known, target) = if describe.target_type == TARGET_TYPE_BYTE_STATEMENT {
            let known = self.store.statement(&name).map(|_| ());
            (known, DescribeTarget::Statement(name))
        } else {
            let known = self.store.portal(&name).map(|_| ());
            (known, DescribeTarget::Portal(name))
        };
        match known {
            Ok(()) => {
                self.pending_describe = Some(target);
                Ok(())
            }
            Err(error) => self.fail(error).await,
        }
    }

    /// Returns whether a message executes the statement or portal of the deferred Describe.
    fn executes_described(&self, message: &PgWireFrontendMessage) -> bool {
        let (Some(target), PgWireFrontendMessage::Execute(execute)) =
            (&self.pending_describe, message)
        else {
            return false;
        };
        let name = execute.name.as_deref().unwrap_or_default();
        match target {
            DescribeTarget::Portal(portal) => portal == name,
            DescribeTarget::Statement(statement) => self
                .store
                .portal(name)
                .is_ok_and(|portal| portal.statement == *statement),
        }
    }

    async fn handle_execute(&mut self, execute: Execute) -> Result<(), StreamFault> {
        let name = execute.name.unwrap_or_default();
        let portal = match self.store.portal(&name) {
            Ok(_) if execute.max_rows > 0 => Err(CallerError::not_run(
                "0A000",
                "fetching a part of the rows isn't supported",
            )),
            found => found.cloned(),
        };
        let portal = match portal {
            Ok(portal) => portal,
            Err(error) => return self.fail(error).await,
        };
        // A portal runs only once: a second execution would repeat a write.
        self.store.close_portal(&name);
        self.outcomes_delivered = false;
        let target = self.pending_describe.take();
        let parameters = Some(portal.parameters.clone());
        let outcome = self
            .runner
            .run(&mut self.stream, &portal.prepared.text, parameters)
            .await;
        match outcome {
            StatementOutcome::Failed(error) => self.fail(error).await,
            outcome if target.is_none() && !matches_shape(&outcome, &portal.prepared) => {
                self.fail(CallerError::shape_mismatch()).await
            }
            outcome => {
                self.describe_outcome(target.as_ref(), &portal, &outcome)
                    .await?;
                self.answer(outcome, QueryProtocol::Extended).await
            }
        }
    }

    /// Answers the Describe that preceded an Execute, using the columns of the answer.
    async fn describe_outcome(
        &mut self,
        target: Option<&DescribeTarget>,
        portal: &BoundPortal,
        outcome: &StatementOutcome,
    ) -> Result<(), StreamFault> {
        let Some(target) = target else { return Ok(()) };
        if let DescribeTarget::Statement(_) = target {
            let types = describe_parameters(&portal.prepared.types, portal.parameters.len());
            self.stream.send(types).await?;
        }
        self.send_columns(columns_of(outcome)).await
    }

    async fn send_columns(&mut self, columns: &[String]) -> Result<(), StreamFault> {
        if columns.is_empty() {
            return self.stream.send(NoData::new()).await;
        }
        self.stream.send(describe_columns(columns)).await
    }

    async fn handle_close(&mut self, close: Close) -> Result<(), StreamFault> {
        let name = close.name.unwrap_or_default();
        if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
            self.store.close_statement(&name);
        } else {
            self.store.close_portal(&name);
        }
        self.stream.send(CloseComplete::new()).await
    }

    /// Answers a deferred Describe that no Execute followed, by asking the service.
    async fn send_pending_describe(&mut self) -> Result<(), StreamFault> {
        let Some(target) = self.pending_describe.take() else {
            return Ok(());
        };
        let found = match &target {
            DescribeTarget::Statement(name) => self.store.statement(name).cloned(),
            DescribeTarget::Portal(name) => self
                .store
                .portal(name)
                .map(|portal| portal.prepared.clone()),
        };
        let described = match found {
            Ok(prepared) => self
                .find_shape(&prepared)
                .await
                .map(|shape| (prepared, shape)),
            Err(error) => Err(error),
        };
        let (prepared, shape) = match described {
            Ok(described) => described,
            Err(error) => return self.fail(error).await,
        };
        if let DescribeTarget::Statement(name) = &target {
            self.store.set_shape(name, &shape);
            let types = describe_parameters(&prepared.types, shape.parameters);
            self.stream.send(types).await?;
        }
        self.send_columns(&shape.columns).await
    }

    async fn find_shape(
        &self,
        prepared: &PreparedStatement,
    ) -> Result<StatementShape, CallerError> {
        if let Some(shape) = &prepared.shape {
            return Ok(shape.clone());
        }
        let scan = StatementScan::new(&prepared.text);
        match StatementClass::of(&scan) {
            StatementClass::Unsupported(reason) => {
                return Err(CallerError::not_run("0A000", reason));
            }
            StatementClass::Ordinary => {}
            StatementClass::Empty
            | StatementClass::Begin
            | StatementClass::Commit
            | StatementClass::Rollback => return Ok(StatementShape::default()),
        }
        let request = DescribeRequest {
            identity: self.runner.identity().clone(),
            text: prepared.text.to_string(),
            transaction: self.runner.state().open(),
        };
        match self.runner.service().describe(request).await {
            DescribeReply::Shape(shape) => Ok(shape),
            DescribeReply::Failed(error) => Err(CallerError::from(&error)),
            DescribeReply::Refused(refusal) => Err(CallerError::from(refusal)),
            DescribeReply::Unsupported => Err(CallerError::not_describable()),
        }
    }

    /// Sends the answer of a statement. The simple protocol always describes the columns, the
    /// extended one only on request.
    async fn answer(
        &mut self,
        outcome: StatementOutcome,
        protocol: QueryProtocol,
    ) -> Result<(), StreamFault> {
        match outcome {
            StatementOutcome::Empty => self.stream.send(EmptyQueryResponse::new()).await,
            StatementOutcome::EndWithoutTransaction(tag) => {
                self.stream.send(warn_no_transaction()).await?;
                self.stream.send(CommandComplete::new(tag)).await
            }
            StatementOutcome::Complete(answer) => {
                if protocol == QueryProtocol::Simple
                    && let Some(rows) = &answer.rows
                {
                    self.stream.send(describe_columns(&rows.columns)).await?;
                }
                self.send_complete(answer).await
            }
            StatementOutcome::Failed(error) => {
                let response = error.to_response(ErrorScope::Statement);
                self.stream.send(response).await
            }
        }
    }

    async fn send_complete(&mut self, answer: CompleteAnswer) -> Result<(), StreamFault> {
        for row in answer.rows.iter().flat_map(|rows| &rows.rows) {
            self.stream.send(encode_row(row)).await?;
        }
        self.stream.send(CommandComplete::new(answer.tag)).await?;
        if self.notice
            && let Some(served) = &answer.served_by
        {
            self.stream.send(make_served_notice(served)).await?;
        }
        Ok(())
    }
}

fn columns_of(outcome: &StatementOutcome) -> &[String] {
    match outcome {
        StatementOutcome::Complete(CompleteAnswer {
            rows: Some(rows), ..
        }) => &rows.columns,
        _ => &[],
    }
}

/// Returns whether an answer has the columns that were described to the caller before. With other
/// columns the caller would read values under the wrong names.
fn matches_shape(outcome: &StatementOutcome, prepared: &PreparedStatement) -> bool {
    match (&prepared.shape, outcome) {
        (
            Some(shape),
            StatementOutcome::Complete(CompleteAnswer {
                rows: Some(rows), ..
            }),
        ) => shape.columns == rows.columns,
        _ => true,
    }
}
