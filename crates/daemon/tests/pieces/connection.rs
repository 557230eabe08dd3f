//! One connection to an endpoint: what it says of a statement whose answer is late, lost or wrong.

use crate::scripted::start_scripted;
use ragwort_lab::endpoint::EndpointSettings;
use ragwort_lab::endpoint::LabEndpoint;
use ragwort_lab::faults::FaultRequest;
use ragwort_lab::relay::CutRelay;
use ragwort_types::DatabaseError;
use ragwort_types::GroupTerm;
use ragwort_types::RowSet;
use ragwort_types::StatementAnswer;
use ragwort_types::StatementId;
use ragwort_types::StatementShape;
use ragwortgated::connection::ConnectionChange;
use ragwortgated::connection::ConnectionEvent;
use ragwortgated::connection::ConnectionId;
use ragwortgated::connection::ConnectionOrder;
use ragwortgated::connection::ConnectionTarget;
use ragwortgated::connection::DescribeOrder;
use ragwortgated::connection::DescribeOutcome;
use ragwortgated::connection::RunOrder;
use ragwortgated::connection::RunOutcome;
use ragwortgated::connection::spawn_connection;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// A limit that no healthy statement comes near.
const LONG: Duration = Duration::from_secs(50);

/// A limit that is meant to run out.
const SHORT: Duration = Duration::from_millis(100);

failure_cases! {
    /// An endpoint has died, and another instance of its group listens where it did. A read that is sent
    /// there for what the dead one held would miss its session's write. The connection must not open.
    connection_to_another_instance_does_not_open => other_instance_case("cases", "cases-2");
    /// The same, and the instance belongs to another group: a statement would run in a database that its
    /// customer has no part in.
    connection_to_another_group_does_not_open => other_instance_case("files", "cases-1");
    /// A late answer of an earlier statement stands in front of this statement's own. A caller
    /// would be shown a stranger's case; it must get no rows, and the connection ends.
    answer_of_another_statement_is_not_handed_on => mismatch_case();
    /// The path to the endpoint has forgotten the connection: the statement is sent and nothing
    /// comes back. The caller is in doubt at its deadline, and nobody else gets the connection, on
    /// which the late answer could still arrive.
    silent_connection_is_never_used_again => silent_case();
    /// The connection breaks while the statement runs. The caller must not be told that it did not
    /// run.
    connection_lost_after_the_send_leaves_doubt => lost_case();
    /// The instance was fenced because another one is to be the primary. It says that it ran
    /// nothing, so the caller's write may go to the successor.
    fenced_endpoint_refuses_without_running => fenced_case();
    /// A cancel overtakes nothing: it can reach the endpoint after the statement has ended, and
    /// would then hit the next one. So nothing follows a cancelled statement on its connection.
    cancelled_connection_is_not_used_again => cancel_case();
    /// An idle connection was forgotten by something on its path. A caller's statement would find
    /// that out by losing its deadline; the ping finds it first.
    idle_ping_finds_a_dead_connection => ping_case();
    /// A statement is ordered on a connection whose ping is about to fail. No byte of it is sent,
    /// so it may run elsewhere, and its caller isn't left in doubt.
    statement_behind_a_lost_ping_was_not_sent => behind_ping_case();
    /// A driver prepares a statement that the database doesn't understand. The caller reads the
    /// database's own error, nothing runs, and the connection stays good.
    failed_description_runs_nothing => describe_case();
    /// A description gets no answer. It holds its connection only as long as it was told, and the
    /// connection isn't used again.
    silent_description_ends_the_connection => silent_describe_case();
    /// A read by the extended protocol finds nothing. Its caller must be shown an empty table with
    /// its columns, and not an answer without a table; a write's count of rows must not be lost.
    empty_answer_keeps_its_columns => empty_answer_case();
    /// The database answers a prepared read with numbers and truth values, in its binary form. The
    /// caller must read the same words as by the simple protocol, and not be left in doubt.
    typed_answer_is_read_as_text => typed_answer_case();
}

/// A connection under test, with what it reports.
struct TestConnection {
    orders: mpsc::Sender<ConnectionOrder>,
    events: mpsc::Receiver<ConnectionEvent>,
    task: JoinHandle<()>,
}

impl TestConnection {
    async fn open(address: SocketAddr, idle_ping: Duration) -> Self {
        let target = describe_target(address, idle_ping);
        let (sender, events) = mpsc::channel(16);
        let (orders, task) = spawn_connection(target, sender);
        let mut connection = Self {
            orders,
            events,
            task,
        };
        let opened = connection.next().await;
        assert!(matches!(opened, ConnectionChange::Opened), "{opened:?}");
        connection
    }

    async fn next(&mut self) -> ConnectionChange {
        self.events.recv().await.unwrap().change
    }

    async fn order(&self, order: ConnectionOrder) {
        self.orders.send(order).await.unwrap();
    }

    async fn start(&self, text: &str, limit: Duration) {
        let run = RunOrder {
            id: StatementId::fresh(),
            text: text.to_owned(),
            parameters: None,
            until: Instant::now() + limit,
        };
        self.order(ConnectionOrder::Run(run)).await;
    }

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

    async fn run_extended(&mut self, text: &str, parameters: &[&str]) -> StatementAnswer {
        let values = parameters.iter().map(|value| Some((*value).to_owned()));
        let run = RunOrder {
            id: StatementId::fresh(),
            text: text.to_owned(),
            parameters: Some(values.collect()),
            until: Instant::now() + LONG,
        };
        self.order(ConnectionOrder::Run(run)).await;
        match self.finish().await {
            RunOutcome::Answered(answer, _) => answer,
            other => panic!("{other:?}"),
        }
    }

    async fn describe(&mut self, text: &str, limit: Duration) -> DescribeOutcome {
        let order = DescribeOrder {
            id: StatementId::fresh(),
            text: text.to_owned(),
            parameters: 1,
            limit,
        };
        self.order(ConnectionOrder::Describe(order)).await;
        match self.next().await {
            ConnectionChange::Described(_, outcome) => outcome,
            other => panic!("{other:?}"),
        }
    }

    /// Expects that the connection takes nothing any more and its task ends.
    async fn expect_closed(mut self) {
        let closed = self.next().await;
        assert!(matches!(closed, ConnectionChange::Closed), "{closed:?}");
        self.task.await.unwrap();
        assert!(self.orders.is_closed());
    }

    /// Expects that the connection still answers, and ends it.
    async fn expect_usable(mut self) {
        let outcome = self.run("select 1", LONG).await;
        assert!(matches!(outcome, RunOutcome::Answered(..)), "{outcome:?}");
        drop(self.orders);
        self.task.await.unwrap();
    }
}

fn describe_target(address: SocketAddr, idle_ping: Duration) -> ConnectionTarget {
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
    let target = describe_target(endpoint.data_address(), LONG);
    let (sender, mut events) = mpsc::channel(16);
    let (orders, task) = spawn_connection(target, sender);
    let event = events.recv().await.unwrap();
    assert!(
        matches!(event.change, ConnectionChange::Closed),
        "{event:?}"
    );
    drop(orders);
    task.await.unwrap();
    endpoint.stop().await;
}

async fn start_endpoint() -> LabEndpoint {
    LabEndpoint::start(&EndpointSettings::quick("cases-1", true))
        .await
        .unwrap()
}

/// Waits until a statement runs at the endpoint.
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
    let relay = CutRelay::start(endpoint.data_address(), Duration::ZERO);
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
    connection.order(ConnectionOrder::Cancel).await;
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
    connection.order(ConnectionOrder::Ping).await;
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
    drop(connection.orders);
    connection.task.await.unwrap();
    tasks.shutdown().await;
}
