//! Reports to the scheduler of the accounts that have an idle connection.

use crate::bench::NativeBench;
use crate::bench::TestStatement;
use crate::bench::is_served;
use crate::catalog::KNOWN_ACCOUNT;

failure_cases! {
    /// A group's task runs the scheduler after each of its events, many times a second. When each
    /// run went through all connections for each endpoint, groups without work kept a VM busy.
    idle_accounts_are_reported_when_connections_change => report_case();
}

async fn report_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    bench.require_keys();
    let statement = TestStatement::new("write", "write once").account(KNOWN_ACCOUNT);
    let reply = bench.ask(statement).await;
    assert!(is_served(&reply), "{reply:?}");
    let before = count_reports(&bench).await;
    assert!(before > 0);
    // Each dump is an event that changes no connection. Connections change meanwhile too, as
    // endpoints are asked for their positions.
    for _ in 0..1_000 {
        bench.dump().await;
    }
    let reports = count_reports(&bench).await - before;
    assert!(reports < 1_000, "{reports} reports");
}

async fn count_reports(bench: &NativeBench) -> u64 {
    let dump = bench.dump().await;
    dump["scheduler"]["counts"]["idle_reports"]
        .as_u64()
        .unwrap()
}
