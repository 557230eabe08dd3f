//! A connection to an endpoint: the outcome of statements whose answers are late, lost or wrong.

use crate::scripted::start_scripted;
use ragwort_lab::endpoint::EndpointSettings;
use ragwort_lab::endpoint::LabEndpoint;
use ragwort_lab::faults::FaultRequest;
use ragwort_lab::relay::FaultRelay;
use ragwort_types::DatabaseError;
use ragwort_types::GroupTerm;
use ragwort_types::RowSet;
use ragwort_types::StatementAnswer;
use ragwort_types::StatementId;
use ragwort_types::StatementShape;
use ragwortgated::connection::ConnectionChange;
use ragwortgated::connection::ConnectionCommand;
use ragwortgated::connection::ConnectionEvent;
use ragwortgated::connection::ConnectionId;
use ragwortgated::connection::ConnectionTarget;
use ragwortgated::connection::DescribeCommand;
use ragwortgated::connection::DescribeOutcome;
use ragwortgated::connection::RunCommand;
use ragwortgated::connection::RunOutcome;
use ragwortgated::connection::spawn_connection;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// A limit that no healthy statement comes near.
const LONG: Duration = Duration::from_secs(50);

/// A limit that a test lets expire.
const SHORT: Duration = Duration::from_millis(100);

failure_cases! {
    /// An endpoint has died, and another instance of its group listens at its address. A read that
    /// was routed by the dead instance's position would miss its session's write there. The
    /// connection must not open.
    connection_to_another_instance_does_not_open => other_instance_case("cases", "cases-2");
    /// An instance of another group listens at the endpoint's address. A statement would run in a
    /// database to which its customer has no access.
    connection_to_another_group_does_not_open => other_instance_case("files", "cases-1");
    /// The late answer to an earlier statement arrives in place of this statement's own. The caller
    /// must not get another caller's rows, and the connection is closed.
    answer_of_another_statement_is_not_handed_on => mismatch_case();
    /// The path to the endpoint has dropped the connection's state: the statement is sent, and
    /// nothing comes back. The outcome is in doubt at the deadline, and the connection is not
    /// reused, because the late answer could still arrive on it.
    silent_connection_is_never_used_again => silent_case();
    /// The connection breaks while the statement runs. The caller must not be told that it was not
    /// run.
    connection_lost_after_the_send_leaves_doubt => lost_case();
    /// The instance was fenced in favour of a new primary. It refuses without running the
    /// statement, so the statement may go to the successor.
    fenced_endpoint_refuses_without_running => fenced_case();
    /// A cancel request may reach the endpoint after its statement has ended, and would then cancel
    /// the next one. So no statement follows a cancelled one on its connection.
    cancelled_connection_is_not_used_again => cancel_case();
    /// The path to the endpoint has dropped an idle connection. The ping detects it, so that no
    /// statement spends its deadline on it.
    idle_ping_finds_a_dead_connection => ping_case();
    /// A statement is queued on a connection whose ping is about to fail. None of it is sent, so it
    /// may run elsewhere, and its caller isn't left in doubt.
    statement_behind_a_lost_ping_was_not_sent => behind_ping_case();
    /// A driver prepares a statement that the database refuses as invalid. The caller gets the
    /// database's own error, nothing runs, and the connection stays usable.
    failed_description_runs_nothing => describe_case();
    /// A description gets no answer. It occupies its connection no longer than its limit, and the
    /// connection isn't used again.
    silent_description_ends_the_connection => silent_describe_case();
    /// A read by the extended protocol finds no row. Its answer must be an empty row set with its
    /// columns, and a write's row count must not be lost.
    empty_answer_keeps_its_columns => empty_answer_case();
    /// The database answers a prepared read with numbers and booleans in binary format. The caller
    /// must get the same texts as by the simple protocol, and not be left in doubt.
    typed_answer_is_read_as_text => typed_answer_case();
}

/// A connection under test, its commands and the events that it reports.
struct TestConnection {
    commands: mpsc::Sender<ConnectionCommand>,
    events: mpsc::Receiver<ConnectionEvent>,
    task: JoinHandle<()>,
}

impl TestConnection {
    /// Opens a connection and waits until it is usable.
    async fn open(address: SocketAddr, idle_ping: Duration) -> Self {
        let target = create_target(address, idle_ping);
        let (sender, events) = mpsc::channel(16);
        let (commands, task) = spawn_connection(target, sender);
        let mut connection = Self {
            commands,
            events,
            task,
        };
        let opened = connection.next().await;
        assert!(matches!(opened, ConnectionChange::Opened), "{opened:?}");
        connection
    }

    /// Waits for the connection's next event.
    async fn next(&mut self) -> ConnectionChange {
        self.events.recv().await.unwrap().change
    }

    async fn command(&self, command: ConnectionCommand) {
        self.commands.send(command).await.unwrap();
    }

    /// Runs a statement by the simple protocol.
    async fn start(&self, text: &str, limit: Duration) {
        let run = RunCommand {
            id: StatementId::fresh(),
            text: text.to_owned(),
            parameters: None,
            until: Instant::now() + limit,
        };
        self.command(ConnectionCommand::Run(run)).await;
    }

    /// Waits for the outcome of the running statement.
    async fn finish(&mut self) -> RunOutcome {
        match self.next().await {
            ConnectionChange::Finished(_, outcome) => outcome,
            other => panic!("{other:?}"),
        }
    }

    async fn run(&mut self, text: &str, limit: Duration) -> RunOutcome {
        self.start(text, limit).await;
        self.finish().await
    }

    /// Runs a statement by the extended protocol and returns its answer.
    async fn run_extended(&mut self, text: &str, parameters: &[&str]) -> StatementAnswer {
        let values = parameters.iter().map(|value| Some((*value).to_owned()));
        let run = RunCommand {
            id: StatementId::fresh(),
            text: text.to_owned(),
            parameters: Some(values.collect()),
            until: Instant::now() + LONG,
        };
        self.command(ConnectionCommand::Run(run)).await;
        match self.finish().await {
            RunOutcome::Answered(answer, _) => answer,
            other => panic!("{other:?}"),
        }
    }

    /// Describes a statement with one parameter.
    async fn describe(&mut self, text: &str, limit: Duration) -> DescribeOutcome {
        let command = DescribeCommand {
            id: StatementId::fresh(),
            text: text.to_owned(),
            parameters: 1,
            limit,
        };
        self.command(ConnectionCommand::Describe(command)).await;
        match self.next().await {
            ConnectionChange::Described(_, outcome) => outcome,
            other => panic!("{other:?}"),
        }
    }

    /// Asserts that the connection closes, accepts no commands and its task ends.
    async fn expect_closed(mut self) {
        let closed = self.next().await;
        assert!(matches!(closed, ConnectionChange::Closed), "{closed:?}");
        self.task.await.unwrap();
        assert!(self.commands.is_closed());
    }

    /// Asserts that the connection still answers, and closes it.
    async fn expect_usable(mut self) {
        let outcome = self.run("select 1", LONG).await;
        assert!(matches!(outcome, RunOutcome::Answered(..)), "{outcome:?}");
        drop(self.commands);
        self.task.await.unwrap();
    }
}

/// Creates a target that expects instance `cases-1` of group `cases`.
fn create_target(address: SocketAddr, idle_ping: Duration) -> ConnectionTarget {
    ConnectionTarget {
        id: ConnectionId(1),
        address,
        database: "cases".to_owned(),
        instance: "cases-1".into(),
        connect_timeout: Duration::from_secs(2),
        idle_ping,
        ping_timeout: SHORT,
    }
}

async fn other_instance_case(group: &str, instance: &str) {
    let settings = EndpointSettings {
        group: group.into(),
        ..EndpointSettings::quick(instance, true)
    };
    let endpoint = LabEndpoint::start(&settings).await.unwrap();
    let target = create_target(endpoint.data_address(), LONG);
    let (sender, mut events) = mpsc::channel(16);
    let (commands, task) = spawn_connection(target, sender);
    let event = events.recv().await.unwrap();
    assert!(
        matches!(event.change, ConnectionChange::Closed),
        "{event:?}"
    );
    drop(commands);
    task.await.unwrap();
    endpoint.stop().await;
}

async fn start_endpoint() -> LabEndpoint {
    LabEndpoint::start(&EndpointSettings::quick("cases-1", true))
        .await
        .unwrap()
}

/// Waits until a statement occupies a slot of the endpoint.
async fn wait_running(endpoint: &LabEndpoint) {
    let slots = &endpoint.shared().slots;
    crate::cases::wait_until(|| slots.available_permits() < 2).await;
}

async fn mismatch_case() {
    let (address, mut tasks) = start_scripted(Some("another-statement")).await;
    let mut connection = TestConnection::open(address, LONG).await;
    let outcome = connection.run("get case-7", LONG).await;
    assert_eq!(outcome, RunOutcome::Mismatch);
    connection.expect_closed().await;
    tasks.shutdown().await;
}

async fn silent_case() {
    let endpoint = start_endpoint().await;
    let mut connection = TestConnection::open(endpoint.data_address(), LONG).await;
    let silence = FaultRequest::SilenceConnections;
    endpoint.shared().set_fault(silence).await;
    let outcome = connection.run("get case-7", SHORT).await;
    assert_eq!(outcome, RunOutcome::Silent);
    connection.expect_closed().await;
    endpoint.stop().await;
}

async fn lost_case() {
    let endpoint = start_endpoint().await;
    let relay = FaultRelay::start(endpoint.data_address(), Duration::ZERO);
    let relay = relay.await.unwrap();
    let mut connection = TestConnection::open(relay.address(), LONG).await;
    connection.start("sleep 50000", LONG).await;
    wait_running(&endpoint).await;
    relay.stop().await;
    assert_eq!(connection.finish().await, RunOutcome::Lost);
    connection.expect_closed().await;
    endpoint.stop().await;
}

async fn fenced_case() {
    let endpoint = start_endpoint().await;
    let mut connection = TestConnection::open(endpoint.data_address(), LONG).await;
    endpoint.shared().instance.fence(GroupTerm(5)).await;
    let outcome = connection.run("put case-7 open", LONG).await;
    assert!(matches!(outcome, RunOutcome::Refused(_)), "{outcome:?}");
    assert!(endpoint.shared().instance.read_log().await.is_empty());
    endpoint.stop().await;
}

async fn cancel_case() {
    let endpoint = start_endpoint().await;
    let mut connection = TestConnection::open(endpoint.data_address(), LONG).await;
    connection.start("sleep 50000", LONG).await;
    wait_running(&endpoint).await;
    connection.command(ConnectionCommand::Cancel).await;
    let outcome = connection.finish().await;
    let RunOutcome::Answered(StatementAnswer::Failed(error), _) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(error.sqlstate, "57014");
    connection.expect_closed().await;
    endpoint.stop().await;
}

async fn ping_case() {
    let endpoint = start_endpoint().await;
    let quickly = Duration::from_millis(5);
    let connection = TestConnection::open(endpoint.data_address(), quickly).await;
    let silence = FaultRequest::SilenceConnections;
    endpoint.shared().set_fault(silence).await;
    connection.expect_closed().await;
    endpoint.stop().await;
}

async fn behind_ping_case() {
    let endpoint = start_endpoint().await;
    let mut connection = TestConnection::open(endpoint.data_address(), LONG).await;
    let silence = FaultRequest::SilenceConnections;
    endpoint.shared().set_fault(silence).await;
    connection.command(ConnectionCommand::Ping).await;
    let outcome = connection.run("put case-7 open", LONG).await;
    assert_eq!(outcome, RunOutcome::NotSent);
    connection.expect_closed().await;
    assert!(endpoint.shared().instance.read_log().await.is_empty());
    endpoint.stop().await;
}

async fn describe_case() {
    let endpoint = start_endpoint().await;
    let mut connection = TestConnection::open(endpoint.data_address(), LONG).await;
    let shape = connection.describe("get $1", LONG).await;
    let expected = StatementShape {
        parameters: 1,
        columns: vec!["value".to_owned()],
    };
    assert_eq!(shape, DescribeOutcome::Shape(expected));
    let outcome = connection.describe("frobnicate $1", LONG).await;
    let DescribeOutcome::Failed(DatabaseError { sqlstate, .. }) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(sqlstate, "42601");
    let outcome = connection.describe("put case-7 $1", LONG).await;
    let expected = StatementShape {
        parameters: 1,
        columns: Vec::new(),
    };
    assert_eq!(outcome, DescribeOutcome::Shape(expected));
    assert!(endpoint.shared().instance.read_log().await.is_empty());
    connection.expect_usable().await;
    endpoint.stop().await;
}

async fn silent_describe_case() {
    let endpoint = start_endpoint().await;
    let mut connection = TestConnection::open(endpoint.data_address(), LONG).await;
    let silence = FaultRequest::SilenceConnections;
    endpoint.shared().set_fault(silence).await;
    let outcome = connection.describe("get $1", SHORT).await;
    assert_eq!(outcome, DescribeOutcome::Lost);
    connection.expect_closed().await;
    endpoint.stop().await;
}

async fn empty_answer_case() {
    let endpoint = start_endpoint().await;
    let mut connection = TestConnection::open(endpoint.data_address(), LONG).await;
    let answer = connection.run_extended("find $1", &["case-7"]).await;
    let empty = RowSet {
        columns: vec!["value".to_owned()],
        rows: Vec::new(),
    };
    assert_eq!(answer, StatementAnswer::Rows(empty));
    let put = connection.run_extended("put $1 $2", &["case-7", "open"]);
    assert_eq!(put.await, StatementAnswer::Done(1));
    connection.expect_usable().await;
    endpoint.stop().await;
}

async fn typed_answer_case() {
    let (address, mut tasks) = start_scripted(None).await;
    let mut connection = TestConnection::open(address, LONG).await;
    let answer = connection.run_extended("get numbers", &[]).await;
    let texts = [Some("-7"), Some("9000000000"), Some("t"), Some("0.5"), None];
    let row = texts.map(|text| text.map(str::to_owned));
    let expected = RowSet {
        columns: ["small", "big", "truth", "ratio", "none"]
            .map(str::to_owned)
            .into(),
        rows: vec![row.into()],
    };
    assert_eq!(answer, StatementAnswer::Rows(expected));
    drop(connection.commands);
    connection.task.await.unwrap();
    tasks.shutdown().await;
}
