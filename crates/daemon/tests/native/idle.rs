//! The work of a leaseholder whose group gets no statements.

use crate::bench::NativeBench;
use std::time::Duration;
use tokio::time::sleep;

failure_cases! {
    /// A VM led hundreds of groups without statements, and each ran all its checks 20 times a
    /// second. That took the VM's processor from the groups in use.
    idle_group_runs_only_checks_that_are_due => idle_case();
}

async fn idle_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    bench.wait_for_notes(1).await;
    let mut before = count_checks(&bench).await;
    loop {
        sleep(Duration::from_millis(300)).await;
        let after = count_checks(&bench).await;
        if after == before {
            break;
        }
        before = after;
    }
}

/// Returns the number of runs of each check but the update of the metrics, which is always due
/// again.
async fn count_checks(bench: &NativeBench) -> serde_json::Map<String, serde_json::Value> {
    let mut dump = bench.dump().await;
    let mut checks = std::mem::take(dump["checks"].as_object_mut().unwrap());
    checks.remove("metrics");
    checks
}
