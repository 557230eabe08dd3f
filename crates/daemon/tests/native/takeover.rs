//! Change of a group's leaseholder: takeover by noted endpoints, handover, lapse of the lease and
//! the end of the task.

use crate::bench::NativeBench;
use crate::bench::TestStatement;
use crate::bench::WRITE;
use crate::bench::is_served;
use crate::cases::wait_until;
use ragwort_types::DoubtCause;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::TransactionId;
use ragwort_types::TransactionStep;

failure_cases! {
    /// A leaseholder's VM dies, and another one takes the group over before any endpoint has
    /// announced itself there. Writes are served by the noted endpoints without waiting for
    /// announcements.
    noted_endpoints_serve_before_they_announce_themselves => noted_case();
    /// A primary was replaced during a network partition, and answers the new leaseholder first.
    /// Writes to it would be lost, so none are sent there.
    noted_term_keeps_writes_from_a_replaced_primary => replaced_case();
    /// A rack fails with the leaseholder's VM and the primary. The next leaseholder can't reach the
    /// noted primary, and replaces it without waiting for the time in which a live one would
    /// announce itself. Callers couldn't write during that time.
    noted_primary_that_is_dead_is_replaced => dead_noted_case();
    /// A VM hands its groups over while a transaction stays open for a second. Single statements of
    /// other callers are served meanwhile instead of being refused for that time. No new
    /// transaction is opened, and the group moves when the last one has ended.
    handover_serves_single_statements_until_transactions_end => handover_case();
    /// A VM drains, a transaction exceeds its time limit, and the group is handed over while the
    /// commit is under way. The successor may read the primary's position before the commit is
    /// done. If the commit were acknowledged here, the successor would let replicas without it
    /// serve reads until the next write.
    commit_that_outlasts_a_handover_is_in_doubt => outlasting_case();
    /// As above, but the commit arrives after the group was handed over. It isn't run.
    commit_after_a_handover_is_not_run => late_commit_case();
    /// Endpoints announce themselves repeatedly. They are noted in the catalog once and not with
    /// each announcement, since a note goes to every VM.
    endpoints_are_noted_once => noting_case();
    /// An instance crashes, starts again under its name, and numbers its announcements from one. A
    /// leaseholder that took them for stale ones would go on using the broken connections. Reads
    /// sent there would fail one by one until the numbers have caught up, minutes later.
    restarted_instance_is_treated_as_new => restarted_case();
    /// An announcement of an instance's former process arrives after its restart. If it were
    /// applied, it would restore an outdated state: here, that the instance is leaving.
    late_announcement_of_a_former_process_changes_nothing => former_process_case();
    /// A leaseholder is starved of CPU time, and its lease lapses for a moment while the first
    /// write of a transaction runs at the endpoint. On a refusal with `NoLease` the gateway would
    /// submit the write again once the lease is back. It would run a second time, beside a
    /// transaction that nobody ends. So the caller is told that the transaction is lost, and the
    /// endpoint rolls it back.
    write_that_outlasts_a_lease_runs_once => lapsed_case(TransactionStep::Begin, "begin");
    /// As above, for a later write of a transaction.
    later_write_that_outlasts_a_lease_loses_its_transaction => lapsed_case(TransactionStep::Within, "write record");
    /// A group moved to another VM and back before its task saw the first move. The task went on
    /// with its old positions, and let replicas serve reads without the writes that the other VM
    /// had acknowledged.
    skipped_epoch_ends_the_leaseholder_task => skipped_epoch_case();
    /// Statements reach a leaseholder's task while it ends, and wait in its queue. If the queue
    /// were dropped, their callers would be told that the writes may have run, and couldn't repeat
    /// them, though none has run.
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
    bench.settle_without(1).await;
    bench.wait_for(|dump| is_leaving(dump, 1)).await;
    let opened = count_opens(&bench, 1);
    bench.announce_as(bench.describe_process(1, 2_000, 1)).await;
    bench.wait_for(|dump| !is_leaving(dump, 1)).await;
    bench
        .wait_for(|dump| dump["connections"]["cases-2"].as_u64() > Some(0))
        .await;
    // The dump also counts connections that are still being opened.
    wait_until(|| count_opens(&bench, 1) > opened).await;
}

async fn former_process_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.announce_as(bench.describe_process(1, 2_000, 1)).await;
    bench.settle_without(1).await;
    let mut late = bench.describe_process(1, 1_000, 40);
    late.status.leaving = true;
    bench.announce_as(late).await;
    // Announcements are handled in order, so this one shows that the late one was handled.
    bench.announce(2, true).await;
    bench.wait_for(|dump| is_leaving(dump, 2)).await;
    bench.wait_for(|dump| !is_leaving(dump, 1)).await;
}

async fn noted_case() {
    let bench = NativeBench::start_with_notes([5, 5, 5], 1).await;
    let reply = bench.ask(TestStatement::new(WRITE, "write record")).await;
    assert!(is_served(&reply), "{reply:?}");
    assert_eq!(bench.count_runs("write record"), 1);
}

async fn replaced_case() {
    let mut bench = NativeBench::start_with_notes([5, 5, 5], 2).await;
    bench.wait_for_command(0, "describe").await;
    let write = bench.send(TestStatement::new(WRITE, "write record")).await;
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
    assert!(is_served(
        &bench.ask(TestStatement::new(WRITE, "write after")).await
    ));
}

async fn handover_case() {
    let (bench, open) = drain_with_transaction().await;
    bench.wait_for(|dump| dump["handing_over"] == true).await;
    assert!(is_served(
        &bench.ask(TestStatement::new(WRITE, "write single")).await
    ));
    let other = TransactionStep::Begin(TransactionId::fresh());
    let refused = bench
        .ask(TestStatement::new(WRITE, "write two").step(other))
        .await;
    let expected = RequestVerdict::refused(RefusalCause::NoLeaseholder, 0);
    assert_eq!(refused.verdict, expected);
    let end = TestStatement::new(WRITE, "COMMIT").step(TransactionStep::Commit(open));
    assert!(is_served(&bench.ask(end).await));
    // After the last transaction has ended, all statements are refused.
    while is_served(&bench.ask(TestStatement::new(WRITE, "write late")).await) {}
    let refused = bench.ask(TestStatement::new(WRITE, "write later")).await;
    assert_eq!(refused.verdict, expected);
}

/// Opens a transaction and lets the VM drain.
async fn drain_with_transaction() -> (NativeBench, TransactionId) {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    let open = TransactionId::fresh();
    let begin = TestStatement::new(WRITE, "write one").step(TransactionStep::Begin(open));
    assert!(is_served(&bench.ask(begin).await));
    bench.drain();
    (bench, open)
}

async fn outlasting_case() {
    let (bench, open) = drain_with_transaction().await;
    bench.endpoints[0].script().silent = true;
    let commit = TestStatement::new(WRITE, "COMMIT").step(TransactionStep::Commit(open));
    let reply = bench.send(commit).await;
    bench.wait_for(|dump| dump["handed_over"] == true).await;
    bench.endpoints[0].script().silent = false;
    let doubt = RequestVerdict::MayHaveRun(DoubtCause::LeaseLost);
    assert_eq!(reply.await.unwrap().verdict, doubt);
}

async fn late_commit_case() {
    let (bench, open) = drain_with_transaction().await;
    bench.wait_for(|dump| dump["handed_over"] == true).await;
    let commit = TestStatement::new(WRITE, "COMMIT").step(TransactionStep::Commit(open));
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
    assert!(is_served(
        &bench.ask(TestStatement::new(WRITE, "write record")).await
    ));
    assert_eq!(bench.count_notes(), 1);
    bench.announce(1, true).await;
    bench.wait_for_notes(2).await;
}

async fn skipped_epoch_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    bench.change_epoch(2);
    assert!(is_served(
        &bench.ask(TestStatement::new(WRITE, "write on")).await
    ));
    bench.change_epoch(4);
    wait_until(|| bench.is_ended()).await;
}

async fn ending_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    bench.place_elsewhere();
    let statements = (0..64).map(|_| TestStatement::new(WRITE, "write late"));
    let replies: Vec<_> = statements
        .filter_map(|statement| bench.try_send(statement))
        .collect();
    let mut doubts = 0;
    for reply in replies {
        let verdict = reply.await.expect("the statement is answered").verdict;
        match verdict {
            RequestVerdict::NotRun(_) => {}
            // It was dispatched before the task saw the new placement.
            RequestVerdict::MayHaveRun(DoubtCause::LeaseLost) => doubts += 1,
            verdict => panic!("{verdict:?}"),
        }
    }
    assert!(bench.count_runs("write late") <= doubts);
}

async fn lapsed_case(create: fn(TransactionId) -> TransactionStep, withheld: &str) {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    let open = TransactionId::fresh();
    let step = create(open);
    if let TransactionStep::Within(_) = step {
        let begin = TestStatement::new(WRITE, "write first").step(TransactionStep::Begin(open));
        assert!(is_served(&bench.ask(begin).await));
    }
    bench.endpoints[0].script().silent = true;
    let reply = bench
        .send(TestStatement::new(WRITE, "write record").step(step))
        .await;
    bench.wait_for_any_withheld(withheld).await;
    bench.end_lease();
    bench.endpoints[0].script().silent = false;
    let lost = RequestVerdict::refused(RefusalCause::TransactionLost, 0);
    assert_eq!(reply.await.unwrap().verdict, lost);
    bench.wait_for(|dump| dump["transactions"] == 0).await;
    bench.renew_lease();
    let commit = TestStatement::new(WRITE, "COMMIT").step(TransactionStep::Commit(open));
    assert_eq!(bench.ask(commit).await.verdict, lost);
    assert_eq!(bench.count_runs("COMMIT"), 0);
}
