//! The work of a leaseholder whose group gets no statements.

use crate::bench::NativeBench;
use crate::cases::wait_until;
use std::time::Duration;
use tokio::time::sleep;

failure_cases! {
    /// A VM led hundreds of groups without statements, and each ran all its checks 20 times a
    /// second. That took the VM's processor from the groups in use.
    idle_group_runs_only_checks_that_are_due => idle_case();
    /// A replica fails in a group without statements. If nothing made the check for silent endpoints
    /// due, the replica would stay known, and reads would be sent to it.
    silent_endpoint_of_an_idle_group_is_dropped => silence_case();
    /// A device on the path drops the state of connections that are idle. If nothing made their
    /// validation due, the next statement would find that out.
    connections_of_an_idle_group_are_validated => validation_case();
    /// Each endpoint announces itself about once a second, mostly without a change. Each time, all
    /// endpoints of its group were passed to the scheduler again.
    repeated_announcement_updates_no_endpoint => repetition_case();
    /// An operator lowers the connection limit of a group. If the scheduler got it only with an
    /// endpoint's announcement, and repeated ones are ignored, it would keep the former limit.
    changed_connection_limit_needs_no_announcement => limit_case();
    /// Gateways come and go while hundreds of groups are led. Each change had all of the groups
    /// compare their endpoints with the recorded ones.
    change_of_another_member_compares_no_endpoints => member_case();
}

async fn idle_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    bench.wait_for_notes(1).await;
    wait_for_calm(&bench).await;
}

/// Waits until no check but the metrics runs, and returns the numbers of runs.
async fn wait_for_calm(bench: &NativeBench) -> serde_json::Map<String, serde_json::Value> {
    let mut before = count_checks(bench).await;
    loop {
        sleep(Duration::from_millis(300)).await;
        let after = count_checks(bench).await;
        if after == before {
            return after;
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

async fn member_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    bench.wait_for_notes(1).await;
    let mut before = wait_for_calm(&bench).await;
    for number in 10..15 {
        bench.add_gateway(number);
        let handovers = before["handover"].clone();
        bench
            .wait_for(|dump| dump["checks"]["handover"] != handovers)
            .await;
        let after = count_checks(&bench).await;
        assert_eq!(after["records"], before["records"]);
        before = after;
    }
}

async fn silence_case() {
    // The answers to validations keep the other endpoints known.
    let timing = "announce_lost_ms: 1000, idle_ping_ms: 100";
    let mut bench = NativeBench::start_with_timing([5, 5, 5], timing).await;
    bench.settle().await;
    bench.endpoints[2].kill().await;
    bench
        .wait_for(|dump| {
            let endpoints = dump["scheduler"]["endpoints"].as_array().unwrap();
            endpoints.len() == 2
        })
        .await;
}

async fn validation_case() {
    let timing = "announce_lost_ms: 60000, idle_ping_ms: 100";
    let mut bench = NativeBench::start_with_timing([5, 5, 5], timing).await;
    bench.settle().await;
    wait_until(|| {
        let script = bench.endpoints[1].script();
        let resets = script.commands.iter().filter(|(_, line)| line == "reset");
        resets.count() >= 10
    })
    .await;
}

async fn repetition_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    bench.wait_for_notes(1).await;
    let before = count_updates(&bench).await;
    for _ in 0..10 {
        for index in 0..3 {
            bench.announce(index, false).await;
        }
    }
    assert_eq!(count_updates(&bench).await, before);
    bench.announce(2, true).await;
    let dump = bench.dump().await;
    assert_eq!(dump["scheduler"]["endpoints"][2]["leaving"], true);
    assert!(dump["endpoint_updates"].as_u64().unwrap() > before);
}

async fn limit_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    let before = count_updates(&bench).await;
    bench.limit_connections(9);
    bench
        .wait_for(|dump| dump["endpoint_updates"].as_u64().unwrap() > before)
        .await;
}

/// Returns how often the endpoints were passed to the scheduler.
async fn count_updates(bench: &NativeBench) -> u64 {
    bench.dump().await["endpoint_updates"].as_u64().unwrap()
}
