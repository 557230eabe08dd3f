//! What a leaseholder knows when it takes a group over.

use crate::bench::Ask;
use crate::bench::NativeBench;
use crate::bench::WRITE;
use crate::bench::is_served;
use crate::cases::wait_until;
use ragwort_types::DoubtCause;
use ragwort_types::GroupTerm;
use ragwort_types::LogPosition;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::TransactionId;
use ragwort_types::TransactionStep;

failure_cases! {
    /// A leaseholder's VM dies, and another takes the group over before any endpoint has announced
    /// itself to it. A caller's write needn't wait for that.
    noted_endpoints_serve_before_they_announce_themselves => noted_case();
    /// A primary was replaced behind a cut, and answers the new leaseholder first. What is written
    /// there is lost with it, so nothing is sent to it.
    noted_term_keeps_writes_from_a_replaced_primary => replaced_case();
    /// A rack is lost, with the leaseholder's VM and the primary. The next leaseholder finds nobody where
    /// the primary was, and replaces it without waiting for the time in which one that lives would
    /// announce itself: callers can't write for so long.
    noted_primary_that_is_dead_is_replaced => dead_noted_case();
    /// A VM hands its groups over, and a clerk has a transaction open for a second. Other callers' single
    /// statements are served meanwhile; they would be refused though nothing is wrong. No new transaction
    /// is opened, and when the last one has ended the group moves.
    handover_serves_single_statements_to_its_last_moment => handover_case();
    /// A VM drains, a transaction goes on for longer than it may, and the group is handed over while its
    /// commit is under way. The successor learns how far the primary is before the commit is done. Were the
    /// commit acknowledged here, the successor would let replicas serve that lack it, for as long as nobody
    /// writes: a foreman would see a shelf as it was.
    commit_that_outlasts_a_handover_is_in_doubt => outlasting_case();
    /// The same, and the commit comes only when the group was handed over: it isn't run.
    commit_after_a_handover_is_not_run => late_commit_case();
    /// Endpoints announce themselves. What is known of them is noted once, for a successor, and not
    /// with each announcement: a note goes to every VM.
    endpoints_are_noted_once => noting_case();
    /// An instance crashes and starts again under its name, and counts its announcements from one. Its
    /// leaseholder would take them for late ones, and go on using connections that are gone: reads
    /// sent there fail one by one until the count has caught up, minutes later.
    restarted_instance_is_taken_as_new => restarted_case();
    /// An announcement of an instance's former process comes late, after it has started again. Taken
    /// for news, it would bring back a state that is over: here, that the instance is leaving.
    late_announcement_of_a_former_process_changes_nothing => former_process_case();
    /// A leaseholder is starved and its lease lapses for a moment, while the first write of a transaction
    /// runs at the endpoint. Told that nobody led the group, the gateway would hand the write over once more
    /// when the lease is back: it would run a second time, beside a transaction that nobody ends. The caller
    /// is told that the transaction is lost, and the endpoint rolls it back.
    write_that_outlasts_a_lease_runs_once => lapsed_case(TransactionStep::Begin, "begin");
    /// The same for a later write of a transaction.
    later_write_that_outlasts_a_lease_loses_its_transaction => lapsed_case(TransactionStep::Within, "write record");
    /// A group went to another VM and came back before its task looked. It went on with what it knew, and let
    /// replicas serve reads that lacked the other's writes.
    group_that_was_led_elsewhere_meanwhile_begins_anew => away_case();
    /// A leaseholder hands its group over, and statements reach its task while that ends. They wait in the
    /// task's queue, which ends with it. A clerk whose write gets no answer is told that it may have run, and
    /// can't send it again, though nobody has run it.
    statement_that_meets_an_ending_leaseholder_is_answered => ending_case();
}

fn is_leaving(dump: &serde_json::Value, index: usize) -> bool {
    dump["scheduler"]["endpoints"][index]["leaving"] == true
}

fn count_opens(bench: &NativeBench, index: usize) -> usize {
    let script = bench.endpoints[index].script();
    let opens = script.commands.iter();
    opens.filter(|(_, line)| line.starts_with("open")).count()
}

async fn restarted_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    let mut leaving = bench.describe_process(1, 1_000, 40);
    leaving.status.leaving = true;
    bench.announce_as(leaving).await;
    bench.settle_around(1).await;
    bench.wait_for(|dump| is_leaving(dump, 1)).await;
    let opened = count_opens(&bench, 1);
    bench.announce_as(bench.describe_process(1, 2_000, 1)).await;
    bench.wait_for(|dump| !is_leaving(dump, 1)).await;
    bench
        .wait_for(|dump| dump["connections"]["cases-2"].as_u64() > Some(0))
        .await;
    // The leaseholder counts a connection from when it begins to open it.
    wait_until(|| count_opens(&bench, 1) > opened).await;
}

async fn former_process_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.announce_as(bench.describe_process(1, 2_000, 1)).await;
    bench.settle_around(1).await;
    let mut late = bench.describe_process(1, 1_000, 40);
    late.status.leaving = true;
    bench.announce_as(late).await;
    // What is announced next is taken in after it.
    bench.announce(2, true).await;
    bench.wait_for(|dump| is_leaving(dump, 2)).await;
    bench.wait_for(|dump| !is_leaving(dump, 1)).await;
}

async fn noted_case() {
    let bench = NativeBench::start_with_notes([5, 5, 5], 1).await;
    let reply = bench.ask(Ask::new(WRITE, "write record")).await;
    assert!(is_served(&reply), "{reply:?}");
    assert_eq!(bench.count_runs("write record"), 1);
}

async fn replaced_case() {
    let mut bench = NativeBench::start_with_notes([5, 5, 5], 2).await;
    bench.wait_for_command(0, "describe").await;
    let write = bench.send(Ask::new(WRITE, "write record")).await;
    bench.endpoints[1].script().position = LogPosition::new(GroupTerm(2), 5);
    bench.promote(1).await;
    let reply = write.await.unwrap();
    assert!(is_served(&reply), "{reply:?}");
    assert_eq!(reply.served_by.unwrap().instance.as_str(), "cases-2");
    assert!(bench.endpoints[0].script().ran.is_empty());
}

async fn dead_noted_case() {
    let mut bench = NativeBench::start_with_dead_primary([5, 5, 6]).await;
    assert_eq!(bench.wait_for_order().await, 2);
    bench.wait_for(|dump| dump["replaced"] == "cases-1").await;
    bench.promote(2).await;
    assert!(is_served(&bench.ask(Ask::new(WRITE, "write after")).await));
}

async fn handover_case() {
    let (bench, open) = drain_with_transaction().await;
    bench.wait_for(|dump| dump["handing_over"] == true).await;
    assert!(is_served(&bench.ask(Ask::new(WRITE, "write single")).await));
    let other = TransactionStep::Begin(TransactionId::fresh());
    let refused = bench.ask(Ask::new(WRITE, "write two").step(other)).await;
    let expected = RequestVerdict::refused(RefusalCause::NoLeaseholder, 0);
    assert_eq!(refused.verdict, expected);
    let end = Ask::new(WRITE, "COMMIT").step(TransactionStep::Commit(open));
    assert!(is_served(&bench.ask(end).await));
    // From then on nothing is taken in, until the next leaseholder answers.
    while is_served(&bench.ask(Ask::new(WRITE, "write late")).await) {}
    let refused = bench.ask(Ask::new(WRITE, "write later")).await;
    assert_eq!(refused.verdict, expected);
}

/// Opens a transaction and lets the VM drain.
async fn drain_with_transaction() -> (NativeBench, TransactionId) {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    let open = TransactionId::fresh();
    let begin = Ask::new(WRITE, "write one").step(TransactionStep::Begin(open));
    assert!(is_served(&bench.ask(begin).await));
    bench.drain();
    (bench, open)
}

async fn outlasting_case() {
    let (bench, open) = drain_with_transaction().await;
    bench.endpoints[0].script().silent = true;
    let commit = Ask::new(WRITE, "COMMIT").step(TransactionStep::Commit(open));
    let reply = bench.send(commit).await;
    bench.wait_for(|dump| dump["handed_over"] == true).await;
    bench.endpoints[0].script().silent = false;
    let doubt = RequestVerdict::MayHaveRun(DoubtCause::LeaseLost);
    assert_eq!(reply.await.unwrap().verdict, doubt);
}

async fn late_commit_case() {
    let (bench, open) = drain_with_transaction().await;
    bench.wait_for(|dump| dump["handed_over"] == true).await;
    let commit = Ask::new(WRITE, "COMMIT").step(TransactionStep::Commit(open));
    let lost = RequestVerdict::refused(RefusalCause::TransactionLost, 0);
    assert_eq!(bench.ask(commit).await.verdict, lost);
    assert_eq!(bench.count_runs("COMMIT"), 0);
}

async fn noting_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    bench.wait_for_notes(1).await;
    for _ in 0..3 {
        for index in 0..3 {
            bench.announce(index, false).await;
        }
    }
    assert!(is_served(&bench.ask(Ask::new(WRITE, "write record")).await));
    assert_eq!(bench.count_notes(), 1);
    bench.announce(1, true).await;
    bench.wait_for_notes(2).await;
}

async fn away_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    bench.change_epoch(2);
    assert!(is_served(&bench.ask(Ask::new(WRITE, "write on")).await));
    bench.change_epoch(4);
    wait_until(|| bench.is_ended()).await;
}

async fn ending_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    bench.place_elsewhere();
    let asks = (0..64).map(|_| Ask::new(WRITE, "write late"));
    let replies: Vec<_> = asks.filter_map(|ask| bench.try_send(ask)).collect();
    let mut doubts = 0;
    for reply in replies {
        let verdict = reply.await.expect("the statement is answered").verdict;
        match verdict {
            RequestVerdict::NotRun(_) => {}
            // It was taken in and dispatched before the change was seen.
            RequestVerdict::MayHaveRun(DoubtCause::LeaseLost) => doubts += 1,
            verdict => panic!("{verdict:?}"),
        }
    }
    assert!(bench.count_runs("write late") <= doubts);
}

async fn lapsed_case(create: fn(TransactionId) -> TransactionStep, held: &str) {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    let open = TransactionId::fresh();
    let step = create(open);
    if let TransactionStep::Within(_) = step {
        let begin = Ask::new(WRITE, "write first").step(TransactionStep::Begin(open));
        assert!(is_served(&bench.ask(begin).await));
    }
    bench.endpoints[0].script().silent = true;
    let reply = bench.send(Ask::new(WRITE, "write record").step(step)).await;
    bench.wait_for_any_held(held).await;
    bench.lapse();
    bench.endpoints[0].script().silent = false;
    let lost = RequestVerdict::refused(RefusalCause::TransactionLost, 0);
    assert_eq!(reply.await.unwrap().verdict, lost);
    bench.wait_for(|dump| dump["transactions"] == 0).await;
    bench.regain();
    let commit = Ask::new(WRITE, "COMMIT").step(TransactionStep::Commit(open));
    assert_eq!(bench.ask(commit).await.verdict, lost);
    assert_eq!(bench.count_runs("COMMIT"), 0);
}
