//! The data port: a PostgreSQL server that executes the commands of [`crate::statement`].
//!
//! The numbers of concurrent statements (slots) and of connections are limited, as on a small
//! database server. Injected faults take effect here: a frozen endpoint or a silenced connection
//! doesn't answer.

use crate::endpoint::EndpointShared;
use crate::instance::KeyWrite;
use crate::instance::StatementFault;
use crate::statement::LabCommand;
use crate::statement::UnknownCommand;
use crate::statement::count_parameters;
use crate::statement::describe_columns;
use async_trait::async_trait;
use futures::Sink;
use futures::stream;
use pgwire::api::ClientInfo;
use pgwire::api::ClientPortalStore;
use pgwire::api::ConnectionManager;
use pgwire::api::METADATA_DATABASE;
use pgwire::api::PgWireServerHandlers;
use pgwire::api::Type;
use pgwire::api::auth::StartupHandler;
use pgwire::api::auth::noop::NoopStartupHandler;
use pgwire::api::cancel::CancelHandler;
use pgwire::api::cancel::DefaultCancelHandler;
use pgwire::api::portal::Format;
use pgwire::api::portal::Portal;
use pgwire::api::query::ExtendedQueryHandler;
use pgwire::api::query::SimpleQueryHandler;
use pgwire::api::results::DataRowEncoder;
use pgwire::api::results::FieldFormat;
use pgwire::api::results::FieldInfo;
use pgwire::api::results::QueryResponse;
use pgwire::api::results::Response;
use pgwire::api::results::Tag;
use pgwire::api::stmt::QueryParser;
use pgwire::error::ErrorInfo;
use pgwire::error::PgWireError;
use pgwire::error::PgWireResult;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::tokio::process_socket;
use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Accepts connections and serves each in a task.
#[derive(Debug)]
pub struct DataPort {
    shared: Arc<EndpointShared>,
    cancels: Arc<ConnectionManager>,
}

impl DataPort {
    /// Creates the port.
    pub fn new(shared: Arc<EndpointShared>) -> Self {
        Self {
            shared,
            cancels: Arc::new(ConnectionManager::new()),
        }
    }

    /// Serves connections until the task is cancelled, which cancels the connections' tasks too.
    pub async fn run(self, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((socket, _)) => self.spawn_connection(socket, &mut connections).await,
                    Err(error) => log::warn!("event=accept_failed error=\"{error}\""),
                },
                Some(_) = connections.join_next() => {}
            }
        }
    }

    async fn spawn_connection(&self, socket: TcpStream, connections: &mut JoinSet<()>) {
        let connection = Arc::new(DataConnection {
            shared: self.shared.clone(),
            cancels: self.cancels.clone(),
            generation: self.shared.instance.generation().await,
            silence_count: self.shared.faults.borrow().silence_count,
            permit: Mutex::new(None),
            transaction: Mutex::new(None),
        });
        connections.spawn(async move {
            // A client that disconnects is not a fault of the endpoint, hence the debug level.
            if let Err(error) = process_socket(socket, None, ConnectionHandlers(connection)).await {
                log::debug!("event=connection_failed error=\"{error}\"");
            }
        });
    }
}

/// The state of one client connection.
#[derive(Debug)]
struct DataConnection {
    shared: Arc<EndpointShared>,
    cancels: Arc<ConnectionManager>,
    /// The instance's generation when the connection was opened; see
    /// [`crate::instance::InstanceCore::generation`].
    generation: u64,
    /// The value of [`crate::faults::FaultState::silence_count`] when the connection was opened; a
    /// later value means that the connection is silenced.
    silence_count: u64,
    permit: Mutex<Option<OwnedSemaphorePermit>>,
    transaction: Mutex<Option<OpenTransaction>>,
}

/// The uncommitted writes of a transaction; `failed` is set after an error, as in PostgreSQL.
#[derive(Debug, Default)]
struct OpenTransaction {
    writes: Vec<KeyWrite>,
    failed: bool,
}

/// The result of a command, before it is encoded for the protocol.
enum CommandAnswer {
    Row(Vec<Option<String>>),
    NoRow,
    Done(&'static str),
    Began,
    Ended(&'static str),
}

impl DataConnection {
    /// Waits while the endpoint is frozen; never returns once this connection is silenced.
    ///
    /// A silenced connection releases its connection permit at once. A real server does so when it
    /// detects the dead peer, which takes longer than a test runs.
    async fn wait_out_faults(&self) {
        self.shared.wait_until_thawed().await;
        if self.is_silenced() {
            self.permit.lock().await.take();
            std::future::pending::<()>().await;
        }
    }

    fn is_silenced(&self) -> bool {
        self.shared.faults.borrow().silence_count != self.silence_count
    }

    async fn execute(&self, command: LabCommand) -> PgWireResult<CommandAnswer> {
        self.wait_out_faults().await;
        let answer = self.execute_command(command).await;
        self.wait_out_faults().await;
        if answer.is_err() {
            self.fail_transaction().await;
        }
        answer
    }

    async fn execute_command(&self, command: LabCommand) -> PgWireResult<CommandAnswer> {
        self.refuse_in_failed_transaction(&command).await?;
        match command {
            LabCommand::Begin => {
                self.transaction.lock().await.get_or_insert_default();
                Ok(CommandAnswer::Began)
            }
            LabCommand::Rollback => {
                self.transaction.lock().await.take();
                Ok(CommandAnswer::Ended("ROLLBACK"))
            }
            LabCommand::Commit => self.commit().await,
            LabCommand::Ping => Ok(CommandAnswer::Row(vec![Some("1".to_owned())])),
            LabCommand::ShowPosition { id } => self.show_position(id).await,
            LabCommand::Get { key } => self.get(&key).await,
            LabCommand::Find { key } => match self.get(&key).await? {
                CommandAnswer::Row(values) if values == [None] => Ok(CommandAnswer::NoRow),
                found => Ok(found),
            },
            LabCommand::Put { key, value } => self.write(KeyWrite::Put { key, value }).await,
            LabCommand::Append { key, value } => self.write(KeyWrite::Append { key, value }).await,
            LabCommand::Sleep { millis } => {
                let _slot = self
                    .run_in_slot(false, Duration::from_millis(millis))
                    .await?;
                self.check(false).await?;
                Ok(CommandAnswer::Done("SLEEP"))
            }
        }
    }

    /// Refuses all commands but those that end the transaction or query the position once a
    /// statement of the transaction has failed.
    async fn refuse_in_failed_transaction(&self, command: &LabCommand) -> PgWireResult<()> {
        let transaction = self.transaction.lock().await;
        let failed = transaction.as_ref().is_some_and(|open| open.failed);
        let allowed = matches!(
            command,
            LabCommand::Commit | LabCommand::Rollback | LabCommand::ShowPosition { .. }
        );
        if failed && !allowed {
            return Err(error("ERROR", "25P02", "current transaction is aborted"));
        }
        Ok(())
    }

    async fn fail_transaction(&self) {
        if let Some(open) = self.transaction.lock().await.as_mut() {
            open.failed = true;
        }
    }

    async fn show_position(&self, id: String) -> PgWireResult<CommandAnswer> {
        let position = self.shared.instance.position(self.generation).await;
        let status = position.map_err(into_error)?;
        Ok(CommandAnswer::Row(vec![
            Some(id),
            Some(status.position.term.to_string()),
            Some(status.position.index.to_string()),
            Some(format!("{:?}", status.role).to_lowercase()),
            Some(self.shared.identity.instance.to_string()),
        ]))
    }

    async fn get(&self, key: &str) -> PgWireResult<CommandAnswer> {
        let _slot = self.run_in_slot(false, self.shared.service_time).await?;
        let read = self.shared.instance.read(self.generation, key).await;
        let committed = read.map_err(into_error)?;
        let transaction = self.transaction.lock().await;
        let own = transaction.iter().flat_map(|open| &open.writes);
        let value = own
            .filter(|write| write.key() == key)
            .fold(committed, |value, write| {
                Some(write.apply_to(value.as_deref()))
            });
        Ok(CommandAnswer::Row(vec![value]))
    }

    async fn write(&self, write: KeyWrite) -> PgWireResult<CommandAnswer> {
        let _slot = self.run_in_slot(true, self.shared.service_time).await?;
        let mut transaction = self.transaction.lock().await;
        match transaction.as_mut() {
            Some(open) => {
                self.check(true).await?;
                open.writes.push(write);
            }
            None => {
                let writes = vec![write];
                let committed = self.shared.instance.commit(self.generation, writes).await;
                committed.map_err(into_error)?;
            }
        }
        Ok(CommandAnswer::Done("WRITE"))
    }

    async fn commit(&self) -> PgWireResult<CommandAnswer> {
        let Some(open) = self.transaction.lock().await.take() else {
            return Ok(CommandAnswer::Ended("COMMIT"));
        };
        if open.failed {
            return Ok(CommandAnswer::Ended("ROLLBACK"));
        }
        if open.writes.is_empty() {
            self.check(false).await?;
            return Ok(CommandAnswer::Ended("COMMIT"));
        }
        let _slot = self.run_in_slot(true, self.shared.service_time).await?;
        let committed = self.shared.instance.commit(self.generation, open.writes);
        committed.await.map_err(into_error)?;
        Ok(CommandAnswer::Ended("COMMIT"))
    }

    async fn check(&self, writes: bool) -> PgWireResult<()> {
        let checked = self.shared.instance.check(self.generation, writes).await;
        checked.map_err(into_error)
    }

    /// Acquires a slot, checks that the statement may still run, and holds the slot for `duration`
    /// times the slow factor. The slot is released when the returned permit is dropped.
    async fn run_in_slot(
        &self,
        writes: bool,
        duration: Duration,
    ) -> PgWireResult<OwnedSemaphorePermit> {
        let slots = self.shared.slots.clone();
        let Ok(slot) = slots.acquire_owned().await else {
            return std::future::pending().await;
        };
        self.wait_out_faults().await;
        self.check(writes).await?;
        let factor = self.shared.faults.borrow().slow_factor;
        sleep(duration * factor).await;
        self.shared.wait_until_thawed().await;
        Ok(slot)
    }
}

fn into_error(fault: StatementFault) -> PgWireError {
    // A fenced instance closes the connection, so that the client looks for the new primary.
    let severity = match fault {
        StatementFault::Fenced(_) => "FATAL",
        StatementFault::ReadOnly => "ERROR",
    };
    error(severity, fault.sqlstate(), &fault.to_string())
}

fn error(severity: &str, sqlstate: &str, message: &str) -> PgWireError {
    PgWireError::UserError(Box::new(ErrorInfo::new(
        severity.to_owned(),
        sqlstate.to_owned(),
        message.to_owned(),
    )))
}

fn syntax_error(unknown: UnknownCommand) -> PgWireError {
    error("ERROR", "42601", &unknown.to_string())
}

fn text_fields(columns: &[&str], format: &Format) -> Vec<FieldInfo> {
    let field = |(index, name): (usize, &&str)| {
        let format = match format {
            Format::Individual(codes) if index >= codes.len() => FieldFormat::Text,
            format => format.format_for(index),
        };
        FieldInfo::new((*name).to_owned(), None, None, Type::TEXT, format)
    };
    columns.iter().enumerate().map(field).collect()
}

fn into_response(
    answer: CommandAnswer,
    columns: &[&str],
    format: &Format,
) -> PgWireResult<Response> {
    let response = match answer {
        CommandAnswer::Row(values) => {
            let fields = Arc::new(text_fields(columns, format));
            let mut encoder = DataRowEncoder::new(fields.clone());
            for value in &values {
                encoder.encode_field(value)?;
            }
            let rows = stream::iter(vec![Ok(encoder.take_row())]);
            Response::Query(QueryResponse::new(fields, rows))
        }
        CommandAnswer::NoRow => {
            let fields = Arc::new(text_fields(columns, format));
            Response::Query(QueryResponse::new(fields, stream::empty()))
        }
        CommandAnswer::Done(tag) => Response::Execution(Tag::new(tag).with_rows(1)),
        CommandAnswer::Began => Response::TransactionStart(Tag::new("BEGIN")),
        CommandAnswer::Ended(tag) => Response::TransactionEnd(Tag::new(tag)),
    };
    Ok(response)
}

#[async_trait]
impl NoopStartupHandler for DataConnection {
    fn connection_manager(&self) -> Option<Arc<ConnectionManager>> {
        Some(self.cancels.clone())
    }

    async fn post_startup<C>(
        &self,
        client: &mut C,
        _message: PgWireFrontendMessage,
    ) -> PgWireResult<()>
    where
        C: ClientInfo + Sink<PgWireBackendMessage> + Unpin + Send,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        self.wait_out_faults().await;
        let database = client.metadata().get(METADATA_DATABASE);
        if database.map(String::as_str) != Some(self.shared.identity.group.as_str()) {
            return Err(error("FATAL", "3D000", "database does not exist"));
        }
        let Ok(permit) = self.shared.connections.clone().try_acquire_owned() else {
            return Err(error("FATAL", "53300", "too many connections"));
        };
        *self.permit.lock().await = Some(permit);
        sleep(self.shared.connect_time).await;
        self.wait_out_faults().await;
        Ok(())
    }
}

#[async_trait]
impl SimpleQueryHandler for DataConnection {
    async fn do_query<C>(&self, _client: &mut C, query: &str) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let command = LabCommand::parse(query, &[]).map_err(syntax_error)?;
        let columns = command.columns();
        let answer = self.execute(command).await?;
        Ok(vec![into_response(answer, columns, &Format::UnifiedText)?])
    }
}

#[async_trait]
impl ExtendedQueryHandler for DataConnection {
    type Statement = String;
    type QueryParser = CommandParser;

    fn query_parser(&self) -> Arc<Self::QueryParser> {
        Arc::new(CommandParser {
            shared: self.shared.clone(),
            silence_count: self.silence_count,
        })
    }

    async fn do_query<C>(
        &self,
        _client: &mut C,
        portal: &Portal<Self::Statement>,
        _max_rows: usize,
    ) -> PgWireResult<Response>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let parameters = portal
            .parameters
            .iter()
            .map(|value| String::from_utf8_lossy(value.as_deref().unwrap_or_default()).into_owned())
            .collect::<Vec<_>>();
        let text = &portal.statement.statement;
        let command = LabCommand::parse(text, &parameters).map_err(syntax_error)?;
        let columns = command.columns();
        let answer = self.execute(command).await?;
        into_response(answer, columns, &portal.result_column_format)
    }
}

/// Describes parameters and columns to clients of the extended query protocol; all are of type
/// text.
#[derive(Debug)]
struct CommandParser {
    shared: Arc<EndpointShared>,
    silence_count: u64,
}

#[async_trait]
impl QueryParser for CommandParser {
    type Statement = String;

    async fn parse_sql<C>(
        &self,
        _client: &C,
        sql: &str,
        _types: &[Option<Type>],
    ) -> PgWireResult<Option<String>>
    where
        C: ClientInfo + Unpin + Send + Sync,
    {
        self.shared.wait_until_thawed().await;
        if self.shared.faults.borrow().silence_count != self.silence_count {
            std::future::pending::<()>().await;
        }
        describe_columns(sql).map_err(syntax_error)?;
        Ok(Some(sql.to_owned()))
    }

    fn get_parameter_types(&self, statement: &String) -> PgWireResult<Vec<Type>> {
        Ok(vec![Type::TEXT; count_parameters(statement)])
    }

    fn get_result_schema(
        &self,
        statement: &String,
        column_format: Option<&Format>,
    ) -> PgWireResult<Vec<FieldInfo>> {
        let columns = describe_columns(statement).map_err(syntax_error)?;
        let format = column_format.unwrap_or(&Format::UnifiedText);
        Ok(text_fields(columns, format))
    }
}

/// The `pgwire` handlers of one connection, all of which are the connection itself.
struct ConnectionHandlers(Arc<DataConnection>);

impl PgWireServerHandlers for ConnectionHandlers {
    fn simple_query_handler(&self) -> Arc<impl SimpleQueryHandler> {
        self.0.clone()
    }

    fn extended_query_handler(&self) -> Arc<impl ExtendedQueryHandler> {
        self.0.clone()
    }

    fn startup_handler(&self) -> Arc<impl StartupHandler> {
        self.0.clone()
    }

    fn cancel_handler(&self) -> Arc<impl CancelHandler> {
        Arc::new(DefaultCancelHandler::new(self.0.cancels.clone()))
    }
}
