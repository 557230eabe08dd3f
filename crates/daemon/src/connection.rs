//! One connection to an endpoint: a task that owns the socket and runs one statement at a time.
//!
//! After each statement the task pipelines a second one that makes the endpoint echo the
//! statement's id together with its log position. The echo proves that the answer belongs to the
//! statement; after a commit its position is the one that a majority must hold.

use crate::callers::parameters::ColumnText;
use crate::log_event;
use futures::FutureExt;
use futures::TryStreamExt;
use log::Level;
use ragwort_types::DatabaseError;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::LogPosition;
use ragwort_types::RowSet;
use ragwort_types::StatementAnswer;
use ragwort_types::StatementId;
use ragwort_types::StatementShape;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio_postgres::Client;
use tokio_postgres::Column;
use tokio_postgres::Config;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;
use tokio_postgres::types::Type;

/// How long data may stay unsent or unacknowledged before the connection ends, in place of the
/// kernel's many minutes of retransmission.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Identifies a connection within one leaseholder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// The endpoint to connect to, and the time limits of the connection.
#[derive(Clone, Debug)]
pub struct ConnectionTarget {
    /// Identifies the connection in its events.
    pub id: ConnectionId,
    /// The endpoint's address for statements.
    pub address: SocketAddr,
    /// The database name, which is the group's.
    pub database: String,
    /// The instance that must answer at the address.
    pub instance: InstanceName,
    /// The time limit for connecting.
    pub connect_timeout: Duration,
    /// The idle time after which the connection is pinged.
    pub idle_ping: Duration,
    /// The time limit for the answer to a ping.
    pub ping_timeout: Duration,
}

/// A command of the leaseholder to a connection.
#[derive(Debug)]
pub enum ConnectionCommand {
    /// Runs a statement.
    Run(RunCommand),
    /// Describes a statement without running it.
    Describe(DescribeCommand),
    /// Asks the endpoint to cancel the running statement.
    Cancel,
    /// Checks that the endpoint still answers on this connection.
    Ping,
}

/// A statement to run.
#[derive(Debug)]
pub struct RunCommand {
    /// The statement's id.
    pub id: StatementId,
    /// The statement's text.
    pub text: String,
    /// Its parameters, sent by the extended protocol; `None` selects the simple protocol.
    pub parameters: Option<Vec<Option<String>>>,
    /// The deadline of the answer.
    pub until: Instant,
}

/// A statement to describe.
#[derive(Debug)]
pub struct DescribeCommand {
    /// Identifies the command.
    pub id: StatementId,
    /// The statement's text.
    pub text: String,
    /// The number of its parameters, which are all sent as text.
    pub parameters: usize,
    /// The time limit for the answer.
    pub limit: Duration,
}

/// An event that a connection reports to the leaseholder.
#[derive(Debug)]
pub struct ConnectionEvent {
    /// The connection.
    pub id: ConnectionId,
    /// The change.
    pub change: ConnectionChange,
}

/// A change of a connection's state.
#[derive(Debug)]
pub enum ConnectionChange {
    /// It is open and idle.
    Opened,
    /// A statement ended.
    Finished(StatementId, RunOutcome),
    /// The endpoint has answered a ping that it was told to send.
    PingAnswered,
    /// A description ended.
    Described(StatementId, DescribeOutcome),
    /// It is closed; no further event follows.
    Closed,
}

/// The outcome of a statement on its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The endpoint answered; the position is that of its log right after the statement, if it
    /// could be read.
    Answered(StatementAnswer, Option<LogPosition>),
    /// The endpoint said that it did not run the statement.
    Refused(DatabaseError),
    /// No byte of the statement was sent.
    NotSent,
    /// The connection was lost after the statement was sent.
    Lost,
    /// The endpoint did not answer in time.
    Silent,
    /// The echoed id was not the statement's.
    Mismatch,
}

/// The outcome of describing a statement on its connection. The statement itself has not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DescribeOutcome {
    /// The endpoint described the statement.
    Shape(StatementShape),
    /// The endpoint reported an error, such as an unknown table.
    Failed(DatabaseError),
    /// The endpoint refused because it accepts no work now.
    Refused(DatabaseError),
    /// No byte of the command was sent.
    NotSent,
    /// The connection was lost or silent, or the answer belonged to another statement.
    Lost,
}

/// Starts a connection's task. The caller joins the handle after it has dropped the sender.
pub fn spawn_connection(
    target: ConnectionTarget,
    events: mpsc::Sender<ConnectionEvent>,
) -> (mpsc::Sender<ConnectionCommand>, JoinHandle<()>) {
    let (sender, commands) = mpsc::channel(4);
    let handle = tokio::spawn(async move {
        let id = target.id;
        run_connection(target, commands, &events).await;
        let change = ConnectionChange::Closed;
        let _ = events.send(ConnectionEvent { id, change }).await;
    });
    (sender, handle)
}

async fn run_connection(
    target: ConnectionTarget,
    commands: mpsc::Receiver<ConnectionCommand>,
    events: &mpsc::Sender<ConnectionEvent>,
) {
    let Some((client, driver)) = open_client(&target).await else {
        return;
    };
    let change = ConnectionChange::Opened;
    let id = target.id;
    if events.send(ConnectionEvent { id, change }).await.is_ok() {
        serve_commands(&target, &client, commands, events).await;
    }
    drop(client);
    driver.abort();
    let _ = driver.await;
}

async fn open_client(target: &ConnectionTarget) -> Option<(Client, JoinHandle<()>)> {
    let mut config = Config::new();
    config
        .host(target.address.ip().to_string())
        .port(target.address.port())
        .user("ragwortgate")
        .dbname(&target.database)
        .connect_timeout(target.connect_timeout)
        .tcp_user_timeout(TCP_USER_TIMEOUT)
        .keepalives(true);
    let opening = timeout(target.connect_timeout, config.connect(NoTls)).await;
    let (client, connection) = opening.ok()?.ok()?;
    let driver = tokio::spawn(async move {
        let _ = connection.await;
    });
    let greeting = timeout(target.connect_timeout, ask_instance(&client)).await;
    let found = greeting.ok().flatten();
    if found.as_deref() == Some(target.instance.as_str()) {
        return Some((client, driver));
    }
    log_event!(
        Level::Warn,
        "endpoint_of_another_instance",
        address = target.address,
        group = target.database,
        instance = target.instance,
        answered = found.as_deref().unwrap_or("nobody"),
    );
    drop(client);
    driver.abort();
    // The task was aborted.
    let _ = driver.await;
    None
}

/// Asks which instance answers on a connection.
///
/// An address may be reassigned, and the database name only tells groups apart. A read that was
/// sent to another instance of the group, because of the position that the expected one holds,
/// would miss its session's write. A connection leads to the same process until it ends, so one
/// check per connection is enough.
async fn ask_instance(client: &Client) -> Option<String> {
    let asking = client.simple_query("show ragwort_position greeting");
    let messages = asking.await.ok()?;
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    })?;
    row.try_get("instance").ok()?.map(str::to_owned)
}

async fn serve_commands(
    target: &ConnectionTarget,
    client: &Client,
    mut commands: mpsc::Receiver<ConnectionCommand>,
    events: &mpsc::Sender<ConnectionEvent>,
) {
    loop {
        let command = match timeout(target.idle_ping, commands.recv()).await {
            Ok(Some(command)) => Some(command),
            Ok(None) => return,
            Err(_) => None,
        };
        let (change, reusable) = match command {
            Some(ConnectionCommand::Run(run)) => {
                let id = run.id;
                let (outcome, reusable) = run_statement(client, run, &mut commands).await;
                (Some(ConnectionChange::Finished(id, outcome)), reusable)
            }
            Some(ConnectionCommand::Describe(command)) => {
                let (outcome, reusable) = describe_statement(client, &command).await;
                let change = ConnectionChange::Described(command.id, outcome);
                (Some(change), reusable)
            }
            Some(ConnectionCommand::Ping) => {
                let answered = ping_endpoint(target, client).await;
                (answered.then_some(ConnectionChange::PingAnswered), answered)
            }
            // A device on the network path may have dropped the state of an idle connection, which
            // then looks open but never answers. The ping detects that before a caller's statement
            // does.
            None => (None, ping_endpoint(target, client).await),
            Some(ConnectionCommand::Cancel) => (None, true),
        };
        if let Some(change) = change {
            let id = target.id;
            if events.send(ConnectionEvent { id, change }).await.is_err() {
                return;
            }
        }
        if !reusable {
            return_unsent(target, commands, events).await;
            return;
        }
    }
}

async fn ping_endpoint(target: &ConnectionTarget, client: &Client) -> bool {
    let ping = client.simple_query("select 1");
    matches!(timeout(target.ping_timeout, ping).await, Ok(Ok(_)))
}

/// Reports the statements that were ordered on a dead connection as not sent.
///
/// If they were dropped with the connection, their callers would be told that the statements may
/// have run, although no byte was sent.
async fn return_unsent(
    target: &ConnectionTarget,
    mut commands: mpsc::Receiver<ConnectionCommand>,
    events: &mpsc::Sender<ConnectionEvent>,
) {
    commands.close();
    while let Some(command) = commands.recv().await {
        let change = match command {
            ConnectionCommand::Run(run) => ConnectionChange::Finished(run.id, RunOutcome::NotSent),
            ConnectionCommand::Describe(command) => {
                ConnectionChange::Described(command.id, DescribeOutcome::NotSent)
            }
            ConnectionCommand::Ping | ConnectionCommand::Cancel => continue,
        };
        let id = target.id;
        if events.send(ConnectionEvent { id, change }).await.is_err() {
            return;
        }
    }
}

/// Runs one statement; returns its outcome and whether the connection can be used again.
///
/// A connection with an outstanding answer is never reused: the late answer would be taken for that
/// of the next statement. Nor is a connection on which a cancel was sent, which could arrive late
/// and cancel the next statement.
async fn run_statement(
    client: &Client,
    run: RunCommand,
    commands: &mut mpsc::Receiver<ConnectionCommand>,
) -> (RunOutcome, bool) {
    if client.is_closed() {
        return (RunOutcome::NotSent, false);
    }
    // The deadline passed while the statement waited behind a ping.
    if Instant::now() >= run.until {
        return (RunOutcome::NotSent, true);
    }
    let mut cancelled = false;
    let answering = timeout_at(run.until, answer_statement(client, &run)).fuse();
    tokio::pin!(answering);
    let outcome = loop {
        tokio::select! {
            answered = &mut answering => break answered.unwrap_or(RunOutcome::Silent),
            command = commands.recv(), if !cancelled => match command {
                Some(ConnectionCommand::Cancel) => {
                    cancelled = true;
                    let _ = client.cancel_token().cancel_query(NoTls).await;
                }
                Some(_) => {}
                // The leaseholder has dropped the connection and doesn't wait for the answer.
                None => return (RunOutcome::Lost, false),
            },
        }
    };
    let reusable = matches!(outcome, RunOutcome::Answered(..) | RunOutcome::Refused(_));
    (outcome, reusable && !cancelled)
}

/// Describes one statement; returns the outcome and whether the connection can be used again.
async fn describe_statement(client: &Client, command: &DescribeCommand) -> (DescribeOutcome, bool) {
    let answered = timeout(command.limit, prepare_statement(client, command)).await;
    let outcome = answered.unwrap_or(DescribeOutcome::Lost);
    let reusable = matches!(
        outcome,
        DescribeOutcome::Shape(_) | DescribeOutcome::Failed(_)
    );
    (outcome, reusable)
}

/// Has the endpoint prepare a statement, with the parameter types with which it would be run.
///
/// As for a statement that runs, the echo proves that the description belongs to the statement.
async fn prepare_statement(client: &Client, command: &DescribeCommand) -> DescribeOutcome {
    let types = vec![Type::TEXT; command.parameters];
    let echo_text = format!("show ragwort_position {}", command.id);
    let preparing = client.prepare_typed(&command.text, &types);
    let (prepared, echo) = tokio::join!(preparing, client.simple_query(&echo_text));
    let outcome = match prepared {
        Ok(statement) => DescribeOutcome::Shape(StatementShape {
            parameters: statement.params().len(),
            columns: name_columns(statement.columns()),
        }),
        Err(error) => match as_database_error(&error) {
            Some(reported) if is_refusal(&reported) => return DescribeOutcome::Refused(reported),
            Some(reported) => DescribeOutcome::Failed(reported),
            None => return DescribeOutcome::Lost,
        },
    };
    match echo {
        Ok(messages) => match read_echo(&messages) {
            Some((id, _)) if id == command.id.to_string() => outcome,
            _ => DescribeOutcome::Lost,
        },
        // Within a failed transaction a database refuses everything but a rollback, also the echo.
        Err(error) if as_database_error(&error).is_some() => outcome,
        Err(_) => DescribeOutcome::Lost,
    }
}

async fn answer_statement(client: &Client, run: &RunCommand) -> RunOutcome {
    let echo_text = format!("show ragwort_position {}", run.id);
    let (answer, echo) = match &run.parameters {
        None => {
            let answer = client.simple_query(&run.text);
            let echo = client.simple_query(&echo_text);
            let (answer, echo) = tokio::join!(answer, echo);
            (answer.map(|messages| collect_answer(&messages)), echo)
        }
        Some(parameters) => {
            let answer = run_extended(client, &run.text, parameters).await;
            (answer, client.simple_query(&echo_text).await)
        }
    };
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => match as_database_error(&error) {
            Some(reported) if is_refusal(&reported) => return RunOutcome::Refused(reported),
            Some(reported) => StatementAnswer::Failed(reported),
            None => return RunOutcome::Lost,
        },
    };
    match echo {
        Ok(messages) => match read_echo(&messages) {
            Some((id, position)) if id == run.id.to_string() => {
                RunOutcome::Answered(answer, Some(position))
            }
            _ => RunOutcome::Mismatch,
        },
        // Within a failed transaction a database refuses everything but a rollback, also the echo.
        Err(error) if as_database_error(&error).is_some() => RunOutcome::Answered(answer, None),
        Err(_) => RunOutcome::Lost,
    }
}

async fn run_extended(
    client: &Client,
    text: &str,
    parameters: &[Option<String>],
) -> Result<StatementAnswer, tokio_postgres::Error> {
    let typed = parameters.iter().map(|value| (value, Type::TEXT));
    let stream = client.query_typed_raw(text, typed).await?;
    tokio::pin!(stream);
    let mut set = RowSet::default();
    while let Some(row) = stream.try_next().await? {
        if set.columns.is_empty() {
            set.columns = name_columns(row.columns());
        }
        let values = (0..row.len()).map(|index| row.try_get::<_, Option<ColumnText>>(index));
        let texts = values.map(|value| value.map(|text| text.map(|text| text.0)));
        set.rows.push(texts.collect::<Result<_, _>>()?);
    }
    let affected = stream.rows_affected().unwrap_or(0);
    if set.columns.is_empty() && affected == 0 {
        set.columns = find_columns(client, text, parameters.len()).await?;
    }
    if set.columns.is_empty() {
        return Ok(StatementAnswer::Done(affected));
    }
    Ok(StatementAnswer::Rows(set))
}

/// Returns the columns of a statement that ended without a row.
///
/// The client library reports columns only with rows. A read that finds nothing would look like a
/// write: a driver that asks for the columns together with the answer would be told that the
/// statement has none, and show no table instead of an empty one.
async fn find_columns(
    client: &Client,
    text: &str,
    parameters: usize,
) -> Result<Vec<String>, tokio_postgres::Error> {
    let types = vec![Type::TEXT; parameters];
    match client.prepare_typed(text, &types).await {
        Ok(statement) => Ok(name_columns(statement.columns())),
        // The statement can't be described any more, for example because it dropped its own table.
        Err(error) if error.as_db_error().is_some() => Ok(Vec::new()),
        Err(error) => Err(error),
    }
}

fn name_columns(columns: &[Column]) -> Vec<String> {
    let names = columns.iter().map(|column| column.name().to_string());
    names.collect()
}

fn collect_answer(messages: &[SimpleQueryMessage]) -> StatementAnswer {
    let mut set = RowSet::default();
    let mut described = false;
    let mut affected = 0;
    for message in messages {
        match message {
            SimpleQueryMessage::RowDescription(columns) => {
                described = true;
                set.columns = columns
                    .iter()
                    .map(|column| column.name().to_string())
                    .collect();
            }
            SimpleQueryMessage::Row(row) => {
                let values = (0..row.len()).map(|index| row.get(index).map(str::to_string));
                set.rows.push(values.collect());
            }
            SimpleQueryMessage::CommandComplete(count) => affected = *count,
            _ => {}
        }
    }
    if described {
        StatementAnswer::Rows(set)
    } else {
        StatementAnswer::Done(affected)
    }
}

fn read_echo(messages: &[SimpleQueryMessage]) -> Option<(String, LogPosition)> {
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    })?;
    let id = row.get(0)?.to_string();
    let term = GroupTerm(row.get(1)?.parse().ok()?);
    let index = row.get(2)?.parse().ok()?;
    Some((id, LogPosition::new(term, index)))
}

fn as_database_error(error: &tokio_postgres::Error) -> Option<DatabaseError> {
    let reported = error.as_db_error()?;
    Some(DatabaseError {
        sqlstate: reported.code().code().to_string(),
        message: reported.message().to_string(),
    })
}

/// Says whether an error means that the endpoint has run nothing: it shuts down or is fenced, is
/// read-only, or has no free connection.
fn is_refusal(error: &DatabaseError) -> bool {
    matches!(
        error.sqlstate.as_str(),
        "57P01" | "57P03" | "25006" | "53300"
    )
}
