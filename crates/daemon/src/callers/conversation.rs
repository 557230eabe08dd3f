//! The conversation with an admitted caller: messages in, answers out, one at a time.

use crate::callers::DescribeReply;
use crate::callers::DescribeRequest;
use crate::callers::DrainOrder;
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

/// How long a drain waits for an idle session's next statement, to close the session behind its answer.
///
/// The next statement may be under way already when an idle session is closed. Some drivers drop an error
/// that arrives while no statement is pending and report only a closed connection for that statement, so
/// that the caller can't know whether it ran.
const LAST_STATEMENT_WAIT: Duration = Duration::from_secs(2);

/// Why a conversation ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SessionEnd {
    /// The caller said goodbye.
    Terminated,
    /// The gateway is shutting down.
    Drained,
    /// The stream can't go on.
    Fault(StreamFault),
}

impl From<StreamFault> for SessionEnd {
    fn from(fault: StreamFault) -> Self {
        Self::Fault(fault)
    }
}

/// A description that the caller asked for and hasn't got yet.
///
/// The gateway has no parser, but an answer describes itself. Drivers ask for a description and
/// for the execution in one go, so the description waits for the next message: when that is the
/// execution, the answer gives it, and the service isn't asked twice.
#[derive(Clone, Debug, PartialEq, Eq)]
enum OwedDescription {
    Statement(String),
    Portal(String),
}

/// Which of the protocol's two ways a statement came by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueryProtocol {
    Simple,
    Extended,
}

/// The conversation with one caller.
pub(crate) struct Conversation {
    stream: CallerStream,
    runner: StatementRunner,
    store: PreparedStore,
    order: watch::Receiver<DrainOrder>,
    notice: bool,
    owed: Option<OwedDescription>,
    /// After an error, messages are skipped up to the next Sync.
    skipping: bool,
    /// Whether the last thing sent was that the gateway is ready for a query.
    at_boundary: bool,
    /// Whether the caller was told the outcome of all that ran.
    all_told: bool,
    /// Set while the gateway drains.
    last_statement: Option<LastStatement>,
}

/// The last statement of an idle session on a draining gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastStatement {
    /// Not received yet; the session ends without it at this moment.
    Awaited(Instant),
    /// Received; the session ends behind its answer.
    Taken,
}

impl Conversation {
    pub(crate) fn new(
        stream: CallerStream,
        runner: StatementRunner,
        store: PreparedStore,
        order: watch::Receiver<DrainOrder>,
        notice: bool,
    ) -> Self {
        Self {
            stream,
            runner,
            store,
            order,
            notice,
            owed: None,
            skipping: false,
            at_boundary: true,
            all_told: true,
            last_statement: None,
        }
    }

    /// Serves the caller until one side ends it, and rolls back what is open.
    pub(crate) async fn run(&mut self) -> SessionEnd {
        let Err(end) = self.serve().await;
        self.runner.roll_back_open().await;
        end
    }

    /// Returns the stream, and whether the caller was told the outcome of all that ran.
    pub(crate) fn into_stream(self) -> (CallerStream, bool) {
        (self.stream, self.all_told)
    }

    async fn serve(&mut self) -> Result<Infallible, SessionEnd> {
        loop {
            let message = self.next_message().await?;
            self.take(message).await?;
        }
    }

    async fn next_message(&mut self) -> Result<PgWireFrontendMessage, SessionEnd> {
        loop {
            if self.must_end() {
                return Err(SessionEnd::Drained);
            }
            let until = match self.last_statement {
                Some(LastStatement::Awaited(until)) => Some(until),
                Some(LastStatement::Taken) | None => None,
            };
            tokio::select! {
                changed = self.order.changed() => {
                    if changed.is_err() {
                        return Err(SessionEnd::Drained);
                    }
                }
                () = sleep_until(until.unwrap_or_else(Instant::now)), if until.is_some() => {}
                message = self.stream.next_message() => {
                    if self.last_statement.is_some() {
                        self.last_statement = Some(LastStatement::Taken);
                    }
                    return Ok(message?);
                }
            }
        }
    }

    fn must_end(&mut self) -> bool {
        let order = *self.order.borrow();
        match order {
            DrainOrder::Serve => false,
            DrainOrder::EndIdle => {
                let between = self.at_boundary && self.runner.state() == TransactionState::Idle;
                between && self.has_had_last_statement()
            }
            DrainOrder::EndAll => true,
        }
    }

    fn has_had_last_statement(&mut self) -> bool {
        let now = Instant::now();
        let awaited = LastStatement::Awaited(now + LAST_STATEMENT_WAIT);
        match *self.last_statement.get_or_insert(awaited) {
            LastStatement::Awaited(until) => now >= until,
            LastStatement::Taken => true,
        }
    }

    async fn take(&mut self, message: PgWireFrontendMessage) -> Result<(), SessionEnd> {
        match message {
            PgWireFrontendMessage::Terminate(_) => return Err(SessionEnd::Terminated),
            PgWireFrontendMessage::Sync(_) => return Ok(self.take_sync().await?),
            _ if self.skipping => return Ok(()),
            _ => {}
        }
        self.at_boundary = false;
        if !self.executes_owed(&message) {
            self.pay_description().await?;
            if self.skipping {
                return Ok(());
            }
        }
        let taken = match message {
            PgWireFrontendMessage::Query(query) => {
                return Ok(self.take_query(&query.query).await?);
            }
            PgWireFrontendMessage::Parse(parse) => match self.store.parse(parse) {
                Ok(()) => self.stream.send(ParseComplete::new()).await,
                Err(error) => self.fail(error).await,
            },
            PgWireFrontendMessage::Bind(bind) => match self.store.bind(bind) {
                Ok(()) => self.stream.send(BindComplete::new()).await,
                Err(error) => self.fail(error).await,
            },
            PgWireFrontendMessage::Describe(describe) => self.take_describe(describe).await,
            PgWireFrontendMessage::Execute(execute) => self.take_execute(execute).await,
            PgWireFrontendMessage::Close(close) => self.take_close(close).await,
            PgWireFrontendMessage::Flush(_) => self.stream.flush().await,
            // As in PostgreSQL, what is left of a failed COPY is dropped.
            PgWireFrontendMessage::CopyData(_)
            | PgWireFrontendMessage::CopyDone(_)
            | PgWireFrontendMessage::CopyFail(_) => Ok(()),
            _ => Err(StreamFault::Malformed("unexpected message".to_owned())),
        };
        Ok(taken?)
    }

    async fn take_query(&mut self, text: &str) -> Result<(), StreamFault> {
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

    async fn take_sync(&mut self) -> Result<(), StreamFault> {
        if !self.skipping {
            self.pay_description().await?;
        }
        self.owed = None;
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
        self.at_boundary = true;
        self.all_told = true;
        Ok(())
    }

    /// Reports an error of the extended protocol; the rest up to the next Sync is skipped.
    async fn fail(&mut self, error: CallerError) -> Result<(), StreamFault> {
        self.runner.note_error();
        self.owed = None;
        self.skipping = true;
        let response = error.to_response(ErrorScope::Statement);
        self.stream.send(response).await?;
        self.stream.flush().await
    }

    async fn take_describe(&mut self, describe: Describe) -> Result<(), StreamFault> {
        let name = describe.name.unwrap_or_default();
        let (known, owed) = if describe.target_type == TARGET_TYPE_BYTE_STATEMENT {
            let known = self.store.statement(&name).map(|_| ());
            (known, OwedDescription::Statement(name))
        } else {
            let known = self.store.portal(&name).map(|_| ());
            (known, OwedDescription::Portal(name))
        };
        match known {
            Ok(()) => {
                self.owed = Some(owed);
                Ok(())
            }
            Err(error) => self.fail(error).await,
        }
    }

    /// Says whether a message executes what the caller wanted described just before.
    fn executes_owed(&self, message: &PgWireFrontendMessage) -> bool {
        let (Some(owed), PgWireFrontendMessage::Execute(execute)) = (&self.owed, message) else {
            return false;
        };
        let name = execute.name.as_deref().unwrap_or_default();
        match owed {
            OwedDescription::Portal(portal) => portal == name,
            OwedDescription::Statement(statement) => self
                .store
                .portal(name)
                .is_ok_and(|portal| portal.statement == *statement),
        }
    }

    async fn take_execute(&mut self, execute: Execute) -> Result<(), StreamFault> {
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
        // A portal runs once: a second execution would run a write again.
        self.store.close_portal(&name);
        self.all_told = false;
        let owed = self.owed.take();
        let parameters = Some(portal.parameters.clone());
        let outcome = self
            .runner
            .run(&mut self.stream, &portal.prepared.text, parameters)
            .await;
        match outcome {
            StatementOutcome::Failed(error) => self.fail(error).await,
            outcome if owed.is_none() && !fits_shape(&outcome, &portal.prepared) => {
                self.fail(CallerError::misfit()).await
            }
            outcome => {
                self.describe_outcome(owed.as_ref(), &portal, &outcome)
                    .await?;
                self.answer(outcome, QueryProtocol::Extended).await
            }
        }
    }

    /// Sends the description that the caller asked for just before it executed.
    async fn describe_outcome(
        &mut self,
        owed: Option<&OwedDescription>,
        portal: &BoundPortal,
        outcome: &StatementOutcome,
    ) -> Result<(), StreamFault> {
        let Some(owed) = owed else { return Ok(()) };
        if let OwedDescription::Statement(_) = owed {
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

    async fn take_close(&mut self, close: Close) -> Result<(), StreamFault> {
        let name = close.name.unwrap_or_default();
        if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
            self.store.close_statement(&name);
        } else {
            self.store.close_portal(&name);
        }
        self.stream.send(CloseComplete::new()).await
    }

    /// Sends the description that is still owed, from what the service says of the statement.
    async fn pay_description(&mut self) -> Result<(), StreamFault> {
        let Some(owed) = self.owed.take() else {
            return Ok(());
        };
        let found = match &owed {
            OwedDescription::Statement(name) => self.store.statement(name).cloned(),
            OwedDescription::Portal(name) => self
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
        if let OwedDescription::Statement(name) = &owed {
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
            opening: self.runner.opening().clone(),
            text: prepared.text.to_string(),
            transaction: self.runner.state().open(),
        };
        match self.runner.service().describe(request).await {
            DescribeReply::Shape(shape) => Ok(shape),
            DescribeReply::Failed(error) => Err(CallerError::from(&error)),
            DescribeReply::Refused(refusal) => Err(CallerError::from(refusal)),
            DescribeReply::Unsupported => Err(CallerError::undescribed()),
        }
    }

    /// Sends the answer of a statement that didn't fail. In the extended protocol the columns are
    /// described only on demand; in the simple one always.
    async fn answer(
        &mut self,
        outcome: StatementOutcome,
        protocol: QueryProtocol,
    ) -> Result<(), StreamFault> {
        match outcome {
            StatementOutcome::Empty => self.stream.send(EmptyQueryResponse::new()).await,
            StatementOutcome::NothingToEnd(tag) => {
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

/// Says whether an answer has the columns that the caller was told before; a caller would read
/// other columns under the wrong names.
fn fits_shape(outcome: &StatementOutcome, prepared: &PreparedStatement) -> bool {
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
