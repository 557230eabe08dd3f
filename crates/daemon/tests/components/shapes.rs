//! Prepared statements, from a PostgreSQL driver through caller edge, gateway and leaseholder to an
//! endpoint.

use crate::bench::GroupBench;
use crate::bench::UNREACHABLE_ADDRESS;
use crate::bench::create_record;
use crate::bench::create_view;
use crate::bench::plain_links;
use crate::peer::FakePeer;
use crate::peer::PeerScript;
use ragwort_lab::faults::FaultRequest;
use ragwort_types::GroupTerm;
use ragwortgated::callers::CallerEdge;
use ragwortgated::callers::CallerLimits;
use ragwortgated::gateway::Gateway;
use ragwortgated::metrics::DaemonMetrics;
use ragwortgated::service::GatewayService;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_postgres::Client;
use tokio_postgres::Config;
use tokio_postgres::NoTls;

failure_cases! {
    /// A driver prepares each statement before it executes it, as most drivers do by default.
    driver_prepares_reads_and_writes => prepared_statements_case();
    /// A prepared read finds no row. The driver gets an empty result and no error.
    prepared_read_that_finds_nothing_is_empty => empty_case();
    /// A driver prepares a statement that the database refuses as invalid. The caller gets the
    /// database's error, and its session stays usable.
    unknown_statement_fails_to_prepare => unknown_case();
    /// A statement in a transaction is prepared on the transaction's own connection.
    transaction_prepares_on_its_own_connection => transaction_case();
    /// Preparing an invalid statement in a transaction aborts the transaction, as it does without a
    /// proxy. None of its writes may be committed.
    failed_preparation_fails_its_transaction => failed_transaction_case();
    /// Long statements occupy all slots of the primary. A preparation waits for a free slot; it
    /// neither takes the connection of a running statement nor is it lost.
    preparation_waits_while_all_slots_are_taken => busy_case();
    /// No connection to an endpoint answers any more. The preparation detects that and gets its
    /// answer over a new connection.
    preparation_outlives_silent_connections => silent_case();
}

/// A caller edge and its gateway, in front of a group's leaseholder.
struct CallerBench {
    group: GroupBench,
    leader: FakePeer,
    address: SocketAddr,
    drain: watch::Sender<bool>,
    edge: JoinHandle<()>,
    cancels: JoinHandle<()>,
}

impl CallerBench {
    async fn start() -> Self {
        let group = GroupBench::start().await;
        let leader = FakePeer::start(PeerScript::Forward(group.inbox.clone())).await;
        let addresses = [leader.address, UNREACHABLE_ADDRESS, UNREACHABLE_ADDRESS];
        let view = create_view(addresses, &create_record("vm-1", 1), true);
        let (_, view) = watch::channel(view);
        let lease = Duration::from_secs(1);
        let gateway = Gateway::new(
            group.clock,
            plain_links(group.links.clone()),
            view.clone(),
            lease,
        );
        let (_, closing) = watch::channel(false);
        let (service, cancels) =
            GatewayService::start(Arc::new(gateway), group.clock, view, closing);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let limits = CallerLimits {
            connections: 10,
            message_bytes: 65_536,
            startup: Duration::from_secs(30),
            statement: Duration::from_secs(30),
            drain: Duration::from_secs(30),
        };
        let metrics = DaemonMetrics::new();
        let edge = CallerEdge::new(listener, limits, Arc::new(service), metrics);
        let (drain, drained) = watch::channel(false);
        Self {
            group,
            leader,
            address,
            drain,
            edge: tokio::spawn(edge.run(drained)),
            cancels,
        }
    }

    /// Connects a driver as the bench's customer.
    async fn connect(&self) -> Client {
        let mut config = Config::new();
        config.hostaddr(self.address.ip()).port(self.address.port());
        config.user("omuti").dbname("cases");
        let (client, connection) = config.connect(NoTls).await.unwrap();
        // The connection's task ends when the client is dropped.
        tokio::spawn(connection);
        client
    }

    async fn stop(self, client: Client) {
        drop(client);
        self.drain.send_replace(true);
        self.edge.await.unwrap();
        self.cancels.await.unwrap();
        self.leader.stop().await;
        self.group.stop().await;
    }
}

/// Reads a key with a prepared statement.
async fn read(client: &Client, key: &str) -> Option<String> {
    let rows = client.query("/*kind='fresh'*/ get $1", &[&key]).await;
    rows.unwrap()[0].get(0)
}

async fn prepared_statements_case() {
    let bench = CallerBench::start().await;
    let client = bench.connect().await;
    client.execute("put $1 $2", &[&"k", &"v"]).await.unwrap();
    assert_eq!(read(&client, "k").await.as_deref(), Some("v"));
    let prepared = client.prepare("/*kind='fresh'*/ get $1").await.unwrap();
    assert_eq!(prepared.params().len(), 1);
    assert_eq!(prepared.columns()[0].name(), "value");
    for key in ["k", "other"] {
        client.query(&prepared, &[&key]).await.unwrap();
    }
    assert_eq!(bench.group.count_commits().await, 1);
    bench.stop(client).await;
}

async fn empty_case() {
    let bench = CallerBench::start().await;
    let client = bench.connect().await;
    let rows = client.query("/*kind='fresh'*/ find $1", &[&"k"]).await;
    assert!(rows.unwrap().is_empty());
    bench.stop(client).await;
}

async fn unknown_case() {
    let bench = CallerBench::start().await;
    let client = bench.connect().await;
    let error = client.prepare("frobnicate $1").await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "42601");
    assert_eq!(read(&client, "k").await, None);
    bench.stop(client).await;
}

async fn transaction_case() {
    let bench = CallerBench::start().await;
    let mut client = bench.connect().await;
    let transaction = client.transaction().await.unwrap();
    let put = transaction.execute("put $1 $2", &[&"k", &"v"]).await;
    put.unwrap();
    let rows = transaction.query("get $1", &[&"k"]).await.unwrap();
    assert_eq!(rows[0].get::<_, &str>(0), "v");
    transaction.commit().await.unwrap();
    assert_eq!(read(&client, "k").await.as_deref(), Some("v"));
    bench.stop(client).await;
}

async fn failed_transaction_case() {
    let bench = CallerBench::start().await;
    let mut client = bench.connect().await;
    let transaction = client.transaction().await.unwrap();
    let put = transaction.execute("put $1 $2", &[&"k", &"v"]).await;
    put.unwrap();
    let error = transaction.prepare("frobnicate $1").await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "42601");
    let error = transaction.execute("put k w", &[]).await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "25P02");
    transaction.rollback().await.unwrap();
    assert_eq!(read(&client, "k").await, None);
    assert_eq!(bench.group.count_commits().await, 0);
    bench.stop(client).await;
}

async fn busy_case() {
    let bench = CallerBench::start().await;
    let client = bench.connect().await;
    let sleepers = [bench.connect().await, bench.connect().await];
    let (first, second, prepared) = tokio::join!(
        sleepers[0].simple_query("sleep 300"),
        sleepers[1].simple_query("sleep 300"),
        async {
            bench.group.wait_running(2).await;
            client.prepare("/*kind='fresh'*/ get $1").await
        },
    );
    first.unwrap();
    second.unwrap();
    assert_eq!(prepared.unwrap().columns().len(), 1);
    drop(sleepers);
    bench.stop(client).await;
}

async fn silent_case() {
    let bench = CallerBench::start().await;
    let client = bench.connect().await;
    for index in 0..3 {
        let silence = FaultRequest::SilenceConnections;
        bench.group.set_fault(index, silence).await;
    }
    let prepared = client.prepare("/*kind='fresh'*/ get $1").await.unwrap();
    assert_eq!(prepared.columns().len(), 1);
    let status = bench.group.endpoints[0].shared().instance.status();
    assert_eq!(status.fenced_term, GroupTerm(1));
    bench.stop(client).await;
}
