//! A group's leaseholder: keys, majorities, transactions and replicas under faults.

use crate::bench::Ask;
use crate::bench::FIRST_TERM;
use crate::bench::FRESH;
use crate::bench::GRANT;
use crate::bench::GroupBench;
use crate::bench::SHORT_MS;
use crate::bench::STATUS;
use crate::bench::one_value;
use ragwort_lab::endpoint::EndpointSettings;
use ragwort_lab::endpoint::LabEndpoint;
use ragwort_lab::faults::FaultRequest;
use ragwort_types::DoubtCause;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceRole;
use ragwort_types::RefusalCause;
use ragwort_types::RequestKey;
use ragwort_types::RequestVerdict;
use ragwort_types::StatementAnswer;
use ragwort_types::StatementReply;
use ragwort_types::TransactionId;
use ragwort_types::TransactionStep;
use std::time::Duration;
use tokio::time::sleep;

/// The verdict of a write of one key.
const WRITTEN: RequestVerdict = RequestVerdict::Ran(StatementAnswer::Done(1));

failure_cases! {
    /// A clerk's grant takes long, and her program sends it again. The second attempt must get the
    /// first one's outcome, and the case must hold one grant.
    resend_of_a_running_write_gets_its_verdict => resend_running_case();
    /// The answer to a grant was lost on its way back, and the caller sends it again later.
    resend_of_a_decided_write_gets_its_verdict => resend_decided_case();
    /// A standby does not answer, so it may lack the grant's key. If the leaseholder died now, its
    /// successor would run a resend a second time. So nothing is dispatched; the caller is told
    /// that nothing ran, and a resend runs once the standby is back.
    key_is_held_by_all_standbys_before_dispatch => unheld_key_case();
    /// A standby has moved, and at its former address another VM answers. If that one took the key, the
    /// leaseholder would dispatch a grant that its standby has never heard of; after the next losses a
    /// resend would grant it again. Nothing is dispatched until the standby itself holds the key.
    key_is_not_held_by_another_vm_at_the_address => misdirected_key_case();
    /// Nothing reaches the replicas any more. The primary has written, but could be the only one
    /// that did; if it died, the write would be gone. The caller must not be told that it is done.
    write_without_a_majority_is_in_doubt => cut_replication_case();
    /// Nothing reaches the replicas any more, and that has lasted for longer than a write's deadline.
    /// A further write could only end in doubt, so its caller is told at once that it was not run.
    write_is_refused_while_the_replicas_are_far_behind => behind_case();
    /// The caller sends a keyed write again that no majority held in time. The outcome of the first
    /// attempt is unknown, and a second grant must not be written to find out.
    resend_of_a_doubtful_write_does_not_run => doubtful_resend_case();
    /// Two callers work at once, one of them in a transaction. What the first has not committed
    /// must not show up in the second one's answers, nor be committed with its statements.
    transaction_keeps_its_connection => transaction_case();
    /// The endpoint's connection breaks between two statements of a transaction. All that it has
    /// done is rolled back, and its caller gets to know by one clear verdict.
    connection_lost_within_a_transaction => lost_transaction_case();
    /// The connection breaks while the commit is running: it may have been the last thing that the
    /// endpoint did.
    connection_lost_during_commit_leaves_doubt => lost_commit_case();
    /// A statement of a transaction takes longer than a transaction may be idle. Its caller waits
    /// for it and gets its answer, and can commit.
    long_statement_does_not_make_its_transaction_idle => long_statement_case();
    /// A caller opens a transaction and is never heard of again. Its connection is one of few, so
    /// the transaction is ended; a caller that comes back after all is told that it is lost.
    idle_transaction_is_ended => idle_transaction_case();
    /// Two long statements are cancelled, which ends their connections. The writes that waited
    /// behind them must get their turn, and none be refused because a connection that was ending
    /// was taken for a free one.
    waiting_writes_outlive_cancelled_connections => cancelled_case();
    /// An endpoint's announcements are lost for a while, several times in a row. Each time it is
    /// taken out of use and comes back. The connections of the time before must not stay open
    /// beside the new ones until the endpoint has no room left.
    returning_endpoint_is_not_filled_with_connections => flapping_case();
    /// The same while a transaction is open: it ends with one verdict, and its connection with it.
    transaction_ends_when_its_endpoint_is_taken_out => taken_out_case();
    /// A clerk changes a case and reads it again, while the replicas have stopped to follow. She
    /// must see her own change, though an old enough answer would do for anybody else.
    own_write_is_read_although_replicas_lag => own_write_case();
    /// A replica has fallen behind by more than the caller accepts.
    read_goes_to_a_replica_only_within_its_age => aged_read_case();
    /// A write's time is up while the primary still works on it, and replication has stopped. Nobody here
    /// knows when the write is done. A read that allows 50 ms, asked 100 ms later, must not be served by
    /// a replica as if nothing had been written since.
    write_in_doubt_makes_no_replica_fresh => doubtful_write_case();
    /// A write's time is up while the primary still works on it, replication has stopped, and the
    /// leaseholder dies. Its successor has never heard of the write, which is done later. Taking the
    /// primary to stand still, the successor would let replicas pass for fresh, and a clerk's read that
    /// allows 50 ms would miss a grant that is a second old.
    write_in_doubt_is_not_forgotten_by_a_takeover => doubt_after_takeover_case();
    /// A leaseholder has just begun. The agents hold its first questions until something changes, so
    /// when their answers come they are as old as a short write's deadline. All instances hold the same,
    /// yet the write was refused: `lag=409 ms known=409 ms`, with all three at 1/1 in one sighting of
    /// 409 ms ago. A clerk saw her grant refused after a takeover though nothing was behind.
    old_status_is_no_sign_of_replicas_behind => old_status_case();
    /// One write runs long at the primary, so for a while nothing is heard of its position. The replicas
    /// hold all that it holds. A second clerk's short write must not be refused as if they were behind.
    long_write_is_no_sign_of_replicas_behind => long_write_case();
    /// A replica has died, and another group's instance listens where its agent did. That one follows a
    /// term of the same number and its log is long. Counted as the replica, it would make a majority: the
    /// clerk would be told that her grant is safe, though the primary alone holds it.
    agent_of_another_group_makes_no_majority => foreign_agent_case();
    /// The same, and the other group's instance is the primary of an earlier term. A replica of that term
    /// is told to follow ours. Obeying, the other group's primary would drop all that it holds and take no
    /// more writes.
    agent_of_another_group_gets_no_orders => foreign_order_case();
}

fn stands(reply: &StatementReply) -> (&RequestVerdict, bool) {
    let replica = reply
        .served_by
        .as_ref()
        .is_some_and(|served| served.replica);
    (&reply.verdict, replica)
}

fn refused_by(verdict: &RequestVerdict) -> Option<RefusalCause> {
    match verdict {
        RequestVerdict::NotRun(refusal) => Some(refusal.cause),
        _ => None,
    }
}

/// Waits until reads of a session without writes are served by replicas.
async fn wait_for_replicas(bench: &GroupBench) {
    loop {
        let reply = bench.ask(Ask::new(STATUS, "get case-0")).await;
        if stands(&reply).1 {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until a replica is known to be at most 50 ms behind, so that it serves a read that allows as much.
async fn wait_for_fresh_replicas(bench: &GroupBench) {
    while !stands(&bench.ask(Ask::new(STATUS, "get case-0").max_age(50)).await).1 {
        sleep(Duration::from_millis(20)).await;
    }
}

async fn resend_running_case() {
    let bench = GroupBench::start().await;
    bench.set_fault(0, FaultRequest::Slow(200)).await;
    let grant = Ask::new(GRANT, "append case-7 grant").key(RequestKey::fresh());
    let first = bench.send(grant.clone()).await;
    let second = bench.send(grant.clone()).await;
    bench.wait_running(1).await;
    let third = bench.send(grant).await;
    assert_eq!(first.await.unwrap().verdict, WRITTEN);
    assert_eq!(second.await.unwrap().verdict, WRITTEN);
    assert_eq!(third.await.unwrap().verdict, WRITTEN);
    assert_eq!(bench.count_commits().await, 1);
    bench.stop().await;
}

async fn resend_decided_case() {
    let bench = GroupBench::start().await;
    let grant = Ask::new(GRANT, "append case-7 grant").key(RequestKey::fresh());
    assert_eq!(bench.ask(grant.clone()).await.verdict, WRITTEN);
    assert_eq!(bench.ask(grant).await.verdict, WRITTEN);
    assert_eq!(bench.count_commits().await, 1);
    bench.stop().await;
}

async fn unheld_key_case() {
    let bench = GroupBench::start().await;
    bench.standbys[1].set_holding(false);
    let grant = Ask::new(GRANT, "append case-7 grant").key(RequestKey::fresh());
    let reply = bench.ask(grant.clone().deadline(SHORT_MS)).await;
    let cause = refused_by(&reply.verdict);
    assert_eq!(cause, Some(RefusalCause::DeadlinePassed), "{reply:?}");
    assert_eq!(bench.count_commits().await, 0);
    bench.standbys[1].set_holding(true);
    assert_eq!(bench.ask(grant).await.verdict, WRITTEN);
    assert_eq!(bench.count_commits().await, 1);
    bench.stop().await;
}

async fn misdirected_key_case() {
    let bench = GroupBench::start().await;
    bench.exchange_standbys();
    let grant = Ask::new(GRANT, "append case-7 grant").key(RequestKey::fresh());
    let reply = bench.ask(grant.clone().deadline(SHORT_MS)).await;
    let cause = refused_by(&reply.verdict);
    assert_eq!(cause, Some(RefusalCause::DeadlinePassed), "{reply:?}");
    assert_eq!(bench.count_commits().await, 0);
    bench.stop().await;
}

async fn cut_replication_case() {
    let bench = GroupBench::start().await;
    bench.cut_replication(true).await;
    let grant = Ask::new(GRANT, "append case-7 grant");
    let reply = bench.ask(grant.clone().deadline(SHORT_MS)).await;
    let doubt = RequestVerdict::MayHaveRun(DoubtCause::NotConfirmed);
    assert_eq!(reply.verdict, doubt);
    assert_eq!(bench.count_commits().await, 1);
    // The next write waits for the same majority, and gets it.
    let later = bench.send(grant).await;
    bench.cut_replication(false).await;
    assert_eq!(later.await.unwrap().verdict, WRITTEN);
    bench.stop().await;
}

async fn behind_case() {
    let bench = GroupBench::start().await;
    bench.cut_replication(true).await;
    let grant = Ask::new(GRANT, "append case-7 grant").deadline(SHORT_MS);
    let doubt = RequestVerdict::MayHaveRun(DoubtCause::NotConfirmed);
    assert_eq!(bench.ask(grant.clone()).await.verdict, doubt);
    let reply = bench.ask(grant.clone()).await;
    let RequestVerdict::NotRun(refusal) = reply.verdict else {
        panic!("{reply:?}");
    };
    assert_eq!(refusal.cause, RefusalCause::ReplicasBehind);
    assert!(refusal.come_back_after_ms > 0);
    assert_eq!(bench.count_commits().await, 1);
    bench.cut_replication(false).await;
    // The refused caller comes back until the replicas have caught up.
    while bench.ask(grant.clone()).await.verdict != WRITTEN {
        sleep(Duration::from_millis(5)).await;
    }
    bench.stop().await;
}

async fn doubtful_resend_case() {
    let bench = GroupBench::start().await;
    bench.cut_replication(true).await;
    let grant = Ask::new(GRANT, "append case-7 grant").key(RequestKey::fresh());
    let reply = bench.ask(grant.clone().deadline(SHORT_MS)).await;
    let doubt = RequestVerdict::MayHaveRun(DoubtCause::NotConfirmed);
    assert_eq!(reply.verdict, doubt);
    bench.cut_replication(false).await;
    let reply = bench.ask(grant).await;
    assert!(
        matches!(reply.verdict, RequestVerdict::MayHaveRun(_)),
        "{reply:?}"
    );
    assert_eq!(bench.count_commits().await, 1);
    bench.stop().await;
}

async fn transaction_case() {
    let bench = GroupBench::start().await;
    let id = TransactionId::fresh();
    let within = |text: &str| Ask::new(GRANT, text).step(TransactionStep::Within(id));
    let begin = Ask::new(GRANT, "begin").step(TransactionStep::Begin(id));
    let begun = bench.ask(begin).await;
    assert!(matches!(begun.verdict, RequestVerdict::Ran(_)), "{begun:?}");
    bench.ask(within("put case-7 granted")).await;
    let other = Ask::new(FRESH, "get case-7").session("other");
    let seen = bench.ask(other.clone()).await;
    let nothing = StatementAnswer::Rows(ragwort_types::RowSet {
        columns: vec!["value".to_owned()],
        rows: vec![vec![None]],
    });
    assert_eq!(seen.verdict, RequestVerdict::Ran(nothing));
    let write = Ask::new(GRANT, "put case-8 open").session("other");
    assert_eq!(bench.ask(write).await.verdict, WRITTEN);
    assert_eq!(bench.count_commits().await, 1);
    let own = bench.ask(within("get case-7")).await;
    let granted = RequestVerdict::Ran(one_value("value", "granted"));
    assert_eq!(own.verdict, granted);
    let commit = Ask::new(GRANT, "commit").step(TransactionStep::Commit(id));
    let ended = bench.ask(commit).await;
    assert!(matches!(ended.verdict, RequestVerdict::Ran(_)), "{ended:?}");
    assert_eq!(bench.ask(other).await.verdict, granted);
    bench.stop().await;
}

async fn begin_with_write(bench: &GroupBench) -> TransactionId {
    let id = TransactionId::fresh();
    let begin = Ask::new(GRANT, "begin").step(TransactionStep::Begin(id));
    bench.ask(begin).await;
    let put = Ask::new(GRANT, "put case-7 granted").step(TransactionStep::Within(id));
    let reply = bench.ask(put).await;
    assert!(matches!(reply.verdict, RequestVerdict::Ran(_)), "{reply:?}");
    id
}

async fn lost_transaction_case() {
    let mut bench = GroupBench::start().await;
    let id = begin_with_write(&bench).await;
    bench.lose_connections().await;
    let lost = Some(RefusalCause::TransactionLost);
    let put = Ask::new(GRANT, "put case-8 granted").step(TransactionStep::Within(id));
    assert_eq!(refused_by(&bench.ask(put).await.verdict), lost);
    let commit = Ask::new(GRANT, "commit").step(TransactionStep::Commit(id));
    assert_eq!(refused_by(&bench.ask(commit).await.verdict), lost);
    assert_eq!(bench.count_commits().await, 0);
    bench.stop().await;
}

async fn lost_commit_case() {
    let mut bench = GroupBench::start().await;
    let id = begin_with_write(&bench).await;
    bench.set_fault(0, FaultRequest::Slow(10_000)).await;
    let commit = Ask::new(GRANT, "commit").step(TransactionStep::Commit(id));
    let committing = bench.send(commit).await;
    bench.wait_running(1).await;
    bench.lose_connections().await;
    let doubt = RequestVerdict::MayHaveRun(DoubtCause::EndpointLost);
    assert_eq!(committing.await.unwrap().verdict, doubt);
    bench.stop().await;
}

async fn long_statement_case() {
    let bench = GroupBench::start_with("announce_lost_ms: 60000, idle_transaction_ms: 1500").await;
    let id = begin_with_write(&bench).await;
    let sleep = Ask::new(GRANT, "sleep 3500").step(TransactionStep::Within(id));
    let reply = bench.ask(sleep).await;
    assert!(matches!(reply.verdict, RequestVerdict::Ran(_)), "{reply:?}");
    let commit = Ask::new(GRANT, "commit").step(TransactionStep::Commit(id));
    let reply = bench.ask(commit).await;
    assert!(matches!(reply.verdict, RequestVerdict::Ran(_)), "{reply:?}");
    assert_eq!(bench.count_commits().await, 1);
    bench.stop().await;
}

async fn idle_transaction_case() {
    let bench = GroupBench::start_with("announce_lost_ms: 60000, idle_transaction_ms: 200").await;
    let id = TransactionId::fresh();
    let begin = Ask::new(GRANT, "begin").step(TransactionStep::Begin(id));
    bench.ask(begin).await;
    while bench.dump().await["transactions"] != 0 {
        sleep(Duration::from_millis(10)).await;
    }
    let commit = Ask::new(GRANT, "commit").step(TransactionStep::Commit(id));
    let lost = Some(RefusalCause::TransactionLost);
    assert_eq!(refused_by(&bench.ask(commit).await.verdict), lost);
    bench.stop().await;
}

async fn cancelled_case() {
    let bench = GroupBench::start().await;
    for _ in 0..10 {
        let mut long = Vec::new();
        for _ in 0..2 {
            let request = Ask::new(FRESH, "sleep 40000").into_request();
            long.push((request.id, bench.send_request(request).await));
        }
        bench.wait_running(2).await;
        let mut waiting = Vec::new();
        for _ in 0..8 {
            waiting.push(bench.send(Ask::new(GRANT, "append case-7 grant")).await);
        }
        for (id, _) in &long {
            bench.cancel(*id).await;
        }
        for reply in waiting {
            assert_eq!(reply.await.unwrap().verdict, WRITTEN);
        }
        for (_, reply) in long {
            let verdict = reply.await.unwrap().verdict;
            assert!(matches!(verdict, RequestVerdict::Ran(_)), "{verdict:?}");
        }
    }
    // None was even tried on a connection that was ending.
    assert_eq!(bench.dump().await["scheduler"]["counts"]["retried"], 0);
    assert_eq!(bench.count_commits().await, 80);
    bench.stop().await;
}

async fn wait_taken_out(bench: &GroupBench) {
    while bench.dump().await["scheduler"]["endpoints"] != serde_json::json!([]) {
        sleep(Duration::from_millis(10)).await;
    }
}

async fn flapping_case() {
    let bench = GroupBench::start_with("announce_lost_ms: 300").await;
    for _ in 0..4 {
        wait_taken_out(&bench).await;
        bench.wait_serving().await;
    }
    let connections = bench.dump().await["connections"]["cases-1"].as_u64();
    // One for each slot, and a spare one.
    assert!(connections <= Some(3), "{connections:?}");
    bench.stop().await;
}

async fn taken_out_case() {
    let bench = GroupBench::start_with("announce_lost_ms: 1500").await;
    let id = begin_with_write(&bench).await;
    wait_taken_out(&bench).await;
    bench.wait_serving().await;
    let commit = Ask::new(GRANT, "commit").step(TransactionStep::Commit(id));
    let lost = Some(RefusalCause::TransactionLost);
    assert_eq!(refused_by(&bench.ask(commit).await.verdict), lost);
    assert_eq!(bench.dump().await["transactions"], 0);
    assert_eq!(bench.count_commits().await, 0);
    bench.stop().await;
}

async fn own_write_case() {
    let bench = GroupBench::start().await;
    wait_for_replicas(&bench).await;
    bench.cut_replication(true).await;
    let put = Ask::new(GRANT, "put case-7 granted").deadline(SHORT_MS);
    bench.ask(put).await;
    let read = Ask::new(STATUS, "get case-7");
    let own = bench.ask(read.clone()).await;
    let granted = RequestVerdict::Ran(one_value("value", "granted"));
    assert_eq!(stands(&own), (&granted, false));
    let other = bench.ask(read.session("other")).await;
    assert!(stands(&other).1, "{other:?}");
    bench.stop().await;
}

async fn aged_read_case() {
    let bench = GroupBench::start().await;
    wait_for_replicas(&bench).await;
    bench.cut_replication(true).await;
    let put = Ask::new(GRANT, "put case-7 granted").deadline(SHORT_MS);
    let written = bench.ask(put).await;
    // The replicas lack a write that is at least so old.
    sleep(Duration::from_millis(100)).await;
    let read = Ask::new(STATUS, "get case-7").session("other");
    let young = bench.ask(read.clone().max_age(50)).await;
    let granted = RequestVerdict::Ran(one_value("value", "granted"));
    assert_eq!(stands(&young), (&granted, false), "after {written:?}");
    let old = bench.ask(read).await;
    assert!(stands(&old).1, "{old:?}");
    bench.stop().await;
}

/// Stops replication and gives up on a write that the primary goes on with.
async fn leave_write_in_doubt() -> GroupBench {
    let bench = GroupBench::start().await;
    wait_for_fresh_replicas(&bench).await;
    bench.cut_replication(true).await;
    bench.set_fault(0, FaultRequest::Slow(1_500)).await;
    let put = Ask::new(GRANT, "put case-7 granted").deadline(SHORT_MS);
    let written = bench.ask(put).await;
    assert!(
        matches!(written.verdict, RequestVerdict::MayHaveRun(_)),
        "{written:?}"
    );
    bench
}

async fn doubtful_write_case() {
    let bench = leave_write_in_doubt().await;
    sleep(Duration::from_millis(100)).await;
    let read = Ask::new(STATUS, "get case-7").session("other").max_age(50);
    let young = bench.ask(read).await;
    assert!(!stands(&young).1, "{young:?}");
    bench.stop().await;
}

async fn doubt_after_takeover_case() {
    let mut bench = leave_write_in_doubt().await;
    bench.replace_leaseholder().await;
    // The agents' first answers to the successor are older than the read allows from here on.
    sleep(Duration::from_millis(600)).await;
    let read = Ask::new(STATUS, "get case-7").session("other").max_age(50);
    let young = bench.ask(read).await;
    assert!(!stands(&young).1, "{young:?}");
    bench.stop().await;
}

async fn old_status_case() {
    let bench = GroupBench::start().await;
    while bench.dump().await["instances"]["cases-1"].is_null() {
        sleep(Duration::from_millis(1)).await;
    }
    let put = Ask::new(GRANT, "put case-7 granted").deadline(SHORT_MS);
    assert_eq!(bench.ask(put).await.verdict, WRITTEN);
    bench.stop().await;
}

async fn long_write_case() {
    let bench = GroupBench::start().await;
    wait_for_replicas(&bench).await;
    bench.set_fault(0, FaultRequest::Slow(1_500)).await;
    let long = bench.send(Ask::new(GRANT, "append case-7 grant")).await;
    bench.wait_running(1).await;
    bench.set_fault(0, FaultRequest::Slow(1)).await;
    sleep(Duration::from_millis(600)).await;
    let short = Ask::new(GRANT, "append case-8 grant").deadline(SHORT_MS);
    assert_eq!(bench.ask(short).await.verdict, WRITTEN);
    assert_eq!(long.await.unwrap().verdict, WRITTEN);
    bench.stop().await;
}

/// Starts a primary of another group that has some writes of its own.
async fn start_foreigner(term: GroupTerm) -> LabEndpoint {
    let settings = EndpointSettings {
        group: "files".into(),
        ..EndpointSettings::quick("files-1", true)
    };
    let foreigner = LabEndpoint::start(&settings).await.unwrap();
    let instance = &foreigner.shared().instance;
    instance.fence(term).await;
    instance.promote(term, 0).await;
    let generation = instance.generation().await;
    for _ in 0..40 {
        instance.commit(generation, Vec::new()).await.unwrap();
    }
    foreigner
}

async fn foreign_agent_case() {
    let bench = GroupBench::start().await;
    let foreigner = start_foreigner(FIRST_TERM).await;
    bench.cut_replication(true).await;
    bench.announce_at(1, foreigner.agent_address()).await;
    let grant = Ask::new(GRANT, "append case-7 grant").deadline(SHORT_MS);
    let reply = bench.ask(grant).await;
    let doubt = RequestVerdict::MayHaveRun(DoubtCause::NotConfirmed);
    assert_eq!(reply.verdict, doubt);
    bench.stop().await;
    foreigner.stop().await;
}

async fn foreign_order_case() {
    let bench = GroupBench::start().await;
    let foreigner = start_foreigner(GroupTerm(0)).await;
    let before = foreigner.shared().instance.read_log().await;
    bench.announce_at(1, foreigner.agent_address()).await;
    sleep(Duration::from_millis(600)).await;
    assert_eq!(foreigner.shared().instance.read_log().await, before);
    let status = foreigner.shared().instance.status();
    assert_eq!(status.role, InstanceRole::Primary);
    bench.stop().await;
    foreigner.stop().await;
}
