//! Replacement of a primary whose writes are acknowledged once one replica has received them.

use crate::bench::AGED;
use crate::bench::LONG_TIMING;
use crate::bench::NativeBench;
use crate::bench::TestStatement;
use crate::bench::WRITE;
use crate::bench::is_served;
use crate::bench::position;
use crate::cases::wait_until;
use ragwort_types::DoubtCause;
use ragwort_types::RequestVerdict;
use std::time::Duration;
use tokio::time::sleep;

/// The number of report requests that a busy instance may refuse before it is found to lead. One
/// that is repeated when a statement ends is refused only if the next statement overtakes it.
const MAX_REFUSED_REPORTS: usize = 10;

failure_cases! {
    /// The only replica that holds all acknowledged writes is too busy for a report. The other one
    /// was promoted, and the writes were lost.
    busy_replica_with_all_writes_is_promoted => busy_case();
    /// The only replica that holds all acknowledged writes is leaving. It wasn't asked, the other
    /// one was promoted, and the writes were lost.
    leaving_replica_with_all_writes_is_promoted => leaving_case();
    /// The primary fails together with the leaseholder. The next leaseholder promoted the first
    /// replica that reported, which may lack acknowledged writes.
    successor_awaits_all_replicas => successor_case();
    /// The only replica with the last writes has failed before the primary and the leaseholder. A
    /// successor that doesn't know of it promoted another one.
    endpoint_that_is_gone_stays_noted => gone_case();
    /// The primary and the replica that holds all acknowledged writes fail together. The group waits
    /// for one of them, and is served again by the primary when that returns.
    returning_primary_ends_the_wait => returning_case();
    /// All slots of the promoted instance are always taken by reads, so it refused the report
    /// requests that show that it leads. Writes waited until one met a free slot by chance.
    busy_instance_is_found_to_lead => busy_leader_case();
    /// A write was under way at a leaving primary when its successor was chosen, which may lack it.
    /// Its caller was told that it is saved.
    write_under_way_at_a_replaced_primary_is_in_doubt => late_write_case();
}

/// Starts a group in which the first replica has received one write more than the second.
async fn start_uneven() -> NativeBench {
    let mut bench = NativeBench::start_synchronous([5, 5, 5], LONG_TIMING).await;
    bench.settle().await;
    bench.endpoints[1].script().position = position(6);
    bench
}

fn count_reports(bench: &NativeBench, index: usize) -> usize {
    let script = bench.endpoints[index].script();
    let answered = script.commands.iter();
    answered.filter(|(_, line)| line == "describe").count()
}

fn count_orders(bench: &NativeBench) -> usize {
    bench.promotions.orders.lock().unwrap().len()
}

/// Waits until an endpoint has answered several further report requests, and checks that no
/// promotion was ordered.
async fn wait_without_order(bench: &NativeBench, index: usize) {
    let before = count_reports(bench, index);
    wait_until(|| count_reports(bench, index) >= before + 4).await;
    assert_eq!(count_orders(bench), 0);
}

async fn busy_case() {
    let mut bench = start_uneven().await;
    bench.endpoints[1].script().busy = true;
    bench.endpoints[0].kill().await;
    assert_eq!(bench.wait_for_order().await, 1);
}

async fn leaving_case() {
    let mut bench = start_uneven().await;
    bench.announce(1, true).await;
    bench.endpoints[0].kill().await;
    assert_eq!(bench.wait_for_order().await, 1);
}

async fn successor_case() {
    let bench = NativeBench::start_synchronous_with_dead_primary([5, 5, 6], |endpoints| {
        endpoints[2].script().withholds_reports = true;
    })
    .await;
    wait_without_order(&bench, 1).await;
    bench.endpoints[2].script().withholds_reports = false;
    assert_eq!(bench.wait_for_order().await, 2);
}

async fn gone_case() {
    let mut bench = NativeBench::start_synchronous([5, 5, 5], "announce_lost_ms: 1500").await;
    bench.settle().await;
    bench.wait_for_notes(1).await;
    bench.endpoints[1].kill().await;
    while bench.dump().await["lag_ms"]["cases-2"] != serde_json::Value::Null {
        bench.announce(0, false).await;
        bench.announce(2, false).await;
        sleep(Duration::from_millis(5)).await;
    }
    // Another change has the endpoints noted again.
    bench.announce(2, true).await;
    bench.wait_for_notes(2).await;
    assert_eq!(bench.list_noted(), ["cases-1", "cases-2", "cases-3"]);
}

async fn returning_case() {
    let mut bench = start_uneven().await;
    bench.endpoints[1].kill().await;
    bench.endpoints[0].kill().await;
    wait_without_order(&bench, 2).await;
    bench.endpoints[0].restart().await;
    let reply = bench.ask(TestStatement::new(WRITE, "write after")).await;
    assert!(is_served(&reply), "{reply:?}");
    assert_eq!(reply.served_by.unwrap().instance.as_str(), "cases-1");
    assert_eq!(count_orders(&bench), 0);
}

/// Repeats reads that accept old data until the test ends.
async fn read_on(bench: &NativeBench) {
    loop {
        bench.ask(TestStatement::new(AGED, "read shelf")).await;
    }
}

async fn busy_leader_case() {
    let mut bench = start_uneven().await;
    bench.endpoints[2].kill().await;
    bench.endpoints[0].kill().await;
    assert_eq!(bench.wait_for_order().await, 1);
    bench.endpoints[1].script().run_time = Duration::from_millis(100);
    let promotion = async {
        let busy = || bench.endpoints[1].script().refused_reports > 0;
        wait_until(busy).await;
        bench.lead(1);
        let reply = bench.ask(TestStatement::new(WRITE, "write after")).await;
        assert!(is_served(&reply), "{reply:?}");
    };
    tokio::select! {
        () = promotion => {}
        () = read_on(&bench) => {}
        () = read_on(&bench) => {}
        () = read_on(&bench) => {}
        () = read_on(&bench) => {}
    }
    let refused = bench.endpoints[1].script().refused_reports;
    assert!(refused <= MAX_REFUSED_REPORTS, "{refused} were refused");
}

async fn late_write_case() {
    let mut bench = start_uneven().await;
    bench.endpoints[0].script().silent = true;
    let write = bench.send(TestStatement::new(WRITE, "write late")).await;
    bench.wait_for_withheld(0, "run - write late").await;
    bench.announce(0, true).await;
    assert_eq!(bench.wait_for_order().await, 1);
    bench.endpoints[0].script().silent = false;
    let doubt = RequestVerdict::MayHaveRun(DoubtCause::NotConfirmed);
    assert_eq!(write.await.unwrap().verdict, doubt);
}
