//! A group's leaseholder under faults: request keys, majorities, transactions and reads from
//! replicas.

use crate::bench::FIRST_TERM;
use crate::bench::FRESH;
use crate::bench::GRANT;
use crate::bench::GroupBench;
use crate::bench::RequestBuilder;
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
    /// A group without statements did all its periodic work at each tick of 10 ms. A VM that led
    /// many such groups had no processor left for those in use.
    idle_group_works_only_when_a_probe_is_due => idle_case();
    /// A caller resends a keyed write while its first attempt still runs. Every attempt must get
    /// the verdict of the first, and the write must run once.
    resend_of_a_running_write_gets_its_verdict => resend_running_case();
    /// The answer to a keyed write was lost on its way back, and the caller resends it later.
    resend_of_a_decided_write_gets_its_verdict => resend_decided_case();
    /// A standby does not answer, so it may lack the write's key. If the leaseholder died now, its
    /// successor would run a resend a second time. So the write is not dispatched, its caller is
    /// told that it was not run, and a resend runs once the standby is back.
    key_is_held_by_all_standbys_before_dispatch => unreplicated_key_case();
    /// A standby has moved, and another VM answers at its former address. If that VM accepted the
    /// key, the leaseholder would dispatch a write that its standby doesn't know, and after the
    /// next failures a resend would run again. Nothing is dispatched until the standby itself holds
    /// the key.
    key_is_not_held_by_another_vm_at_the_address => misdirected_key_case();
    /// Replication has stopped. The primary has committed a write, but may be the only instance
    /// that holds it; if it died, the write would be lost. The caller must not be told that it
    /// succeeded.
    write_without_a_majority_is_in_doubt => cut_replication_case();
    /// Replication has been cut for longer than a write's deadline. A further write could only end
    /// in doubt, so it is refused at once without being run.
    write_is_refused_while_the_replicas_are_far_behind => refused_while_behind_case();
    /// The caller resends a keyed write that no majority confirmed in time. The outcome of the
    /// first attempt is unknown, and the leaseholder must not run the write again to find out.
    resend_of_a_doubtful_write_does_not_run => doubtful_resend_case();
    /// Two callers work at once, one of them in a transaction. The other one must not see its
    /// uncommitted writes, nor commit them with a statement of its own.
    transaction_keeps_its_connection => transaction_case();
    /// The endpoint's connection breaks between two statements of a transaction. The transaction is
    /// rolled back, and its caller is told so.
    connection_lost_within_a_transaction => lost_transaction_case();
    /// The connection breaks during the commit, which may have taken effect.
    connection_lost_during_commit_leaves_doubt => lost_commit_case();
    /// A statement of a transaction runs for longer than the idle limit of transactions. It is
    /// answered, and the transaction can commit.
    long_statement_does_not_make_its_transaction_idle => long_statement_case();
    /// A caller opens a transaction and disappears. The transaction occupies one of few
    /// connections, so it is ended after the idle limit; a caller that comes back is told that it
    /// is lost.
    idle_transaction_is_ended => idle_transaction_case();
    /// Two long statements are cancelled, which closes their connections. The writes queued behind
    /// them must run; none may be refused because a closing connection was counted as free.
    waiting_writes_outlive_cancelled_connections => cancelled_case();
    /// An endpoint's announcements are lost several times in a row. Each time it is taken out of
    /// use and comes back. Its earlier connections must not stay open beside the new ones, or they
    /// would use up the endpoint's connection limit.
    flapping_endpoint_does_not_accumulate_connections => flapping_case();
    /// An endpoint is taken out of use while a transaction is open on it. The transaction ends with
    /// one verdict, and its connection is closed.
    transaction_ends_when_its_endpoint_is_taken_out => taken_out_case();
    /// A session writes while replication is cut, and reads the same key. It must see its own
    /// write, although a replica's older answer would do for other sessions.
    own_write_is_read_although_replicas_lag => own_write_case();
    /// A replica lags by more than a read's maximum age, so the primary serves the read.
    read_goes_to_a_replica_only_within_its_age => aged_read_case();
    /// A write's deadline passes while the primary still runs it, and replication is cut. The
    /// leaseholder doesn't know when the write commits. A read with a maximum age of 50 ms, sent
    /// 100 ms later, must not be served by a replica as if nothing had been written since.
    write_in_doubt_makes_no_replica_fresh => doubtful_write_case();
    /// A write's deadline passes while the primary still runs it, replication is cut, and the
    /// leaseholder dies. The successor doesn't know of the write, which commits later. If it
    /// assumed that the primary's position stands still, it would take the replicas for fresh, and
    /// a read with a maximum age of 50 ms would miss a write that is a second old.
    write_in_doubt_is_not_forgotten_by_a_takeover => doubt_after_takeover_case();
    /// A leaseholder has just started. Agents hold its first status requests until something
    /// changes, so the answers are as old as a short write's deadline when they arrive. All
    /// instances hold the same log, yet a write after a takeover was refused: `lag=409 ms known=409
    /// ms`, with all three at 1/1 in one observation of 409 ms before. The age of a status must not
    /// count as lag.
    old_status_is_no_sign_of_replicas_behind => old_status_case();
    /// One write runs long at the primary, whose position isn't reported meanwhile. The replicas
    /// hold the whole log. Another short write must not be refused as if they were behind.
    long_write_is_no_sign_of_replicas_behind => long_write_case();
    /// A replica has died, and an instance of another group listens at its agent's address. It
    /// follows a term of the same number and has a long log. If it counted as the replica, it would
    /// complete a majority, and a write that only the primary holds would be acknowledged.
    agent_of_another_group_makes_no_majority => foreign_agent_case();
    /// As above, but the other group's instance is the primary of an earlier term. The leaseholder
    /// orders replicas of that term to follow its primary. If the other group's primary obeyed, it
    /// would discard its log and accept no more writes.
    agent_of_another_group_gets_no_orders => foreign_order_case();
}

/// Returns a reply's verdict, and whether a replica served it.
fn verdict_and_replica(reply: &StatementReply) -> (&RequestVerdict, bool) {
    let replica = reply
        .served_by
        .as_ref()
        .is_some_and(|served| served.replica);
    (&reply.verdict, replica)
}

/// Returns why a statement was refused; `None` if it was not.
fn refusal_cause(verdict: &RequestVerdict) -> Option<RefusalCause> {
    match verdict {
        RequestVerdict::NotRun(refusal) => Some(refusal.cause),
        _ => None,
    }
}

/// Waits until replicas serve reads of a session without writes.
async fn wait_for_replica_reads(bench: &GroupBench) {
    loop {
        let reply = bench
            .execute(RequestBuilder::new(STATUS, "get case-0"))
            .await;
        if verdict_and_replica(&reply).1 {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until a replica serves a read with a maximum age of 50 ms.
async fn wait_for_fresh_replicas(bench: &GroupBench) {
    while !verdict_and_replica(
        &bench
            .execute(RequestBuilder::new(STATUS, "get case-0").max_age(50))
            .await,
    )
    .1
    {
        sleep(Duration::from_millis(20)).await;
    }
}

async fn resend_running_case() {
    let bench = GroupBench::start().await;
    bench.set_fault(0, FaultRequest::Slow(200)).await;
    let grant = RequestBuilder::new(GRANT, "append case-7 grant").key(RequestKey::fresh());
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
    let grant = RequestBuilder::new(GRANT, "append case-7 grant").key(RequestKey::fresh());
    assert_eq!(bench.execute(grant.clone()).await.verdict, WRITTEN);
    assert_eq!(bench.execute(grant).await.verdict, WRITTEN);
    assert_eq!(bench.count_commits().await, 1);
    bench.stop().await;
}

async fn unreplicated_key_case() {
    let bench = GroupBench::start().await;
    bench.standbys[1].set_journaling(false);
    let grant = RequestBuilder::new(GRANT, "append case-7 grant").key(RequestKey::fresh());
    let reply = bench.execute(grant.clone().deadline(SHORT_MS)).await;
    let cause = refusal_cause(&reply.verdict);
    assert_eq!(cause, Some(RefusalCause::DeadlinePassed), "{reply:?}");
    assert_eq!(bench.count_commits().await, 0);
    bench.standbys[1].set_journaling(true);
    assert_eq!(bench.execute(grant).await.verdict, WRITTEN);
    assert_eq!(bench.count_commits().await, 1);
    bench.stop().await;
}

async fn misdirected_key_case() {
    let bench = GroupBench::start().await;
    bench.swap_standby_addresses();
    let grant = RequestBuilder::new(GRANT, "append case-7 grant").key(RequestKey::fresh());
    let reply = bench.execute(grant.clone().deadline(SHORT_MS)).await;
    let cause = refusal_cause(&reply.verdict);
    assert_eq!(cause, Some(RefusalCause::DeadlinePassed), "{reply:?}");
    assert_eq!(bench.count_commits().await, 0);
    bench.stop().await;
}

async fn cut_replication_case() {
    let bench = GroupBench::start().await;
    bench.cut_replication(true).await;
    let grant = RequestBuilder::new(GRANT, "append case-7 grant");
    let reply = bench.execute(grant.clone().deadline(SHORT_MS)).await;
    let doubt = RequestVerdict::MayHaveRun(DoubtCause::NotConfirmed);
    assert_eq!(reply.verdict, doubt);
    assert_eq!(bench.count_commits().await, 1);
    // Once replication is back, a majority confirms the next write.
    let later = bench.send(grant).await;
    bench.cut_replication(false).await;
    assert_eq!(later.await.unwrap().verdict, WRITTEN);
    bench.stop().await;
}

async fn refused_while_behind_case() {
    let bench = GroupBench::start().await;
    bench.cut_replication(true).await;
    let grant = RequestBuilder::new(GRANT, "append case-7 grant").deadline(SHORT_MS);
    let doubt = RequestVerdict::MayHaveRun(DoubtCause::NotConfirmed);
    assert_eq!(bench.execute(grant.clone()).await.verdict, doubt);
    let reply = bench.execute(grant.clone()).await;
    let RequestVerdict::NotRun(refusal) = reply.verdict else {
        panic!("{reply:?}");
    };
    assert_eq!(refusal.cause, RefusalCause::ReplicasBehind);
    assert!(refusal.come_back_after_ms > 0);
    assert_eq!(bench.count_commits().await, 1);
    bench.cut_replication(false).await;
    // The write is retried until the replicas have caught up.
    while bench.execute(grant.clone()).await.verdict != WRITTEN {
        sleep(Duration::from_millis(5)).await;
    }
    bench.stop().await;
}

async fn doubtful_resend_case() {
    let bench = GroupBench::start().await;
    bench.cut_replication(true).await;
    let grant = RequestBuilder::new(GRANT, "append case-7 grant").key(RequestKey::fresh());
    let reply = bench.execute(grant.clone().deadline(SHORT_MS)).await;
    let doubt = RequestVerdict::MayHaveRun(DoubtCause::NotConfirmed);
    assert_eq!(reply.verdict, doubt);
    bench.cut_replication(false).await;
    let reply = bench.execute(grant).await;
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
    let within = |text: &str| RequestBuilder::new(GRANT, text).step(TransactionStep::Within(id));
    let begin = RequestBuilder::new(GRANT, "begin").step(TransactionStep::Begin(id));
    let begun = bench.execute(begin).await;
    assert!(matches!(begun.verdict, RequestVerdict::Ran(_)), "{begun:?}");
    bench.execute(within("put case-7 granted")).await;
    let other = RequestBuilder::new(FRESH, "get case-7").session("other");
    let seen = bench.execute(other.clone()).await;
    let nothing = StatementAnswer::Rows(ragwort_types::RowSet {
        columns: vec!["value".to_owned()],
        rows: vec![vec![None]],
    });
    assert_eq!(seen.verdict, RequestVerdict::Ran(nothing));
    let write = RequestBuilder::new(GRANT, "put case-8 open").session("other");
    assert_eq!(bench.execute(write).await.verdict, WRITTEN);
    assert_eq!(bench.count_commits().await, 1);
    let own = bench.execute(within("get case-7")).await;
    let granted = RequestVerdict::Ran(one_value("value", "granted"));
    assert_eq!(own.verdict, granted);
    let commit = RequestBuilder::new(GRANT, "commit").step(TransactionStep::Commit(id));
    let ended = bench.execute(commit).await;
    assert!(matches!(ended.verdict, RequestVerdict::Ran(_)), "{ended:?}");
    assert_eq!(bench.execute(other).await.verdict, granted);
    bench.stop().await;
}

/// Begins a transaction, writes in it and returns its id.
async fn begin_with_write(bench: &GroupBench) -> TransactionId {
    let id = TransactionId::fresh();
    let begin = RequestBuilder::new(GRANT, "begin").step(TransactionStep::Begin(id));
    bench.execute(begin).await;
    let put = RequestBuilder::new(GRANT, "put case-7 granted").step(TransactionStep::Within(id));
    let reply = bench.execute(put).await;
    assert!(matches!(reply.verdict, RequestVerdict::Ran(_)), "{reply:?}");
    id
}

async fn lost_transaction_case() {
    let mut bench = GroupBench::start().await;
    let id = begin_with_write(&bench).await;
    bench.break_connections().await;
    let lost = Some(RefusalCause::TransactionLost);
    let put = RequestBuilder::new(GRANT, "put case-8 granted").step(TransactionStep::Within(id));
    assert_eq!(refusal_cause(&bench.execute(put).await.verdict), lost);
    let commit = RequestBuilder::new(GRANT, "commit").step(TransactionStep::Commit(id));
    assert_eq!(refusal_cause(&bench.execute(commit).await.verdict), lost);
    assert_eq!(bench.count_commits().await, 0);
    bench.stop().await;
}

async fn lost_commit_case() {
    let mut bench = GroupBench::start().await;
    let id = begin_with_write(&bench).await;
    bench.set_fault(0, FaultRequest::Slow(10_000)).await;
    let commit = RequestBuilder::new(GRANT, "commit").step(TransactionStep::Commit(id));
    let committing = bench.send(commit).await;
    bench.wait_running(1).await;
    bench.break_connections().await;
    let doubt = RequestVerdict::MayHaveRun(DoubtCause::EndpointLost);
    assert_eq!(committing.await.unwrap().verdict, doubt);
    bench.stop().await;
}

async fn long_statement_case() {
    let bench = GroupBench::start_with("announce_lost_ms: 60000, idle_transaction_ms: 1500").await;
    let id = begin_with_write(&bench).await;
    let sleep = RequestBuilder::new(GRANT, "sleep 3500").step(TransactionStep::Within(id));
    let reply = bench.execute(sleep).await;
    assert!(matches!(reply.verdict, RequestVerdict::Ran(_)), "{reply:?}");
    let commit = RequestBuilder::new(GRANT, "commit").step(TransactionStep::Commit(id));
    let reply = bench.execute(commit).await;
    assert!(matches!(reply.verdict, RequestVerdict::Ran(_)), "{reply:?}");
    assert_eq!(bench.count_commits().await, 1);
    bench.stop().await;
}

async fn idle_transaction_case() {
    let bench = GroupBench::start_with("announce_lost_ms: 60000, idle_transaction_ms: 200").await;
    let id = TransactionId::fresh();
    let begin = RequestBuilder::new(GRANT, "begin").step(TransactionStep::Begin(id));
    bench.execute(begin).await;
    while bench.dump().await["transactions"] != 0 {
        sleep(Duration::from_millis(10)).await;
    }
    let commit = RequestBuilder::new(GRANT, "commit").step(TransactionStep::Commit(id));
    let lost = Some(RefusalCause::TransactionLost);
    assert_eq!(refusal_cause(&bench.execute(commit).await.verdict), lost);
    bench.stop().await;
}

async fn cancelled_case() {
    let bench = GroupBench::start().await;
    for _ in 0..10 {
        let mut long = Vec::new();
        for _ in 0..2 {
            let request = RequestBuilder::new(FRESH, "sleep 40000").into_request();
            long.push((request.id, bench.send_request(request).await));
        }
        bench.wait_running(2).await;
        let mut waiting = Vec::new();
        for _ in 0..8 {
            waiting.push(
                bench
                    .send(RequestBuilder::new(GRANT, "append case-7 grant"))
                    .await,
            );
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
    // No statement was dispatched to a closing connection and retried.
    assert_eq!(bench.dump().await["scheduler"]["counts"]["retried"], 0);
    assert_eq!(bench.count_commits().await, 80);
    bench.stop().await;
}

/// Waits until the leaseholder has taken all endpoints out of use.
async fn wait_for_no_endpoints(bench: &GroupBench) {
    while bench.dump().await["scheduler"]["endpoints"] != serde_json::json!([]) {
        sleep(Duration::from_millis(10)).await;
    }
}

async fn flapping_case() {
    let bench = GroupBench::start_with("announce_lost_ms: 300").await;
    for _ in 0..4 {
        wait_for_no_endpoints(&bench).await;
        bench.wait_serving().await;
    }
    let connections = bench.dump().await["connections"]["cases-1"].as_u64();
    // One connection for each of the two slots, and a spare.
    assert!(connections <= Some(3), "{connections:?}");
    bench.stop().await;
}

async fn taken_out_case() {
    let bench = GroupBench::start_with("announce_lost_ms: 1500").await;
    let id = begin_with_write(&bench).await;
    wait_for_no_endpoints(&bench).await;
    bench.wait_serving().await;
    let commit = RequestBuilder::new(GRANT, "commit").step(TransactionStep::Commit(id));
    let lost = Some(RefusalCause::TransactionLost);
    assert_eq!(refusal_cause(&bench.execute(commit).await.verdict), lost);
    assert_eq!(bench.dump().await["transactions"], 0);
    assert_eq!(bench.count_commits().await, 0);
    bench.stop().await;
}

async fn own_write_case() {
    let bench = GroupBench::start().await;
    wait_for_replica_reads(&bench).await;
    bench.cut_replication(true).await;
    let put = RequestBuilder::new(GRANT, "put case-7 granted").deadline(SHORT_MS);
    bench.execute(put).await;
    let read = RequestBuilder::new(STATUS, "get case-7");
    let own = bench.execute(read.clone()).await;
    let granted = RequestVerdict::Ran(one_value("value", "granted"));
    assert_eq!(verdict_and_replica(&own), (&granted, false));
    let other = bench.execute(read.session("other")).await;
    assert!(verdict_and_replica(&other).1, "{other:?}");
    bench.stop().await;
}

async fn aged_read_case() {
    let bench = GroupBench::start().await;
    wait_for_replica_reads(&bench).await;
    bench.cut_replication(true).await;
    let put = RequestBuilder::new(GRANT, "put case-7 granted").deadline(SHORT_MS);
    let written = bench.execute(put).await;
    // The replicas now lack a write that is at least 100 ms old.
    sleep(Duration::from_millis(100)).await;
    let read = RequestBuilder::new(STATUS, "get case-7").session("other");
    let young = bench.execute(read.clone().max_age(50)).await;
    let granted = RequestVerdict::Ran(one_value("value", "granted"));
    assert_eq!(
        verdict_and_replica(&young),
        (&granted, false),
        "after {written:?}"
    );
    let old = bench.execute(read).await;
    assert!(verdict_and_replica(&old).1, "{old:?}");
    bench.stop().await;
}

/// Cuts replication and lets a write's deadline pass while the primary still runs it.
async fn leave_write_in_doubt() -> GroupBench {
    let bench = GroupBench::start().await;
    wait_for_fresh_replicas(&bench).await;
    bench.cut_replication(true).await;
    bench.set_fault(0, FaultRequest::Slow(1_500)).await;
    let put = RequestBuilder::new(GRANT, "put case-7 granted").deadline(SHORT_MS);
    let written = bench.execute(put).await;
    assert!(
        matches!(written.verdict, RequestVerdict::MayHaveRun(_)),
        "{written:?}"
    );
    bench
}

async fn doubtful_write_case() {
    let bench = leave_write_in_doubt().await;
    sleep(Duration::from_millis(100)).await;
    let read = RequestBuilder::new(STATUS, "get case-7")
        .session("other")
        .max_age(50);
    let young = bench.execute(read).await;
    assert!(!verdict_and_replica(&young).1, "{young:?}");
    bench.stop().await;
}

async fn doubt_after_takeover_case() {
    let mut bench = leave_write_in_doubt().await;
    bench.replace_leaseholder().await;
    // From here on the agents' first answers to the successor are older than the read's maximum
    // age.
    sleep(Duration::from_millis(600)).await;
    let read = RequestBuilder::new(STATUS, "get case-7")
        .session("other")
        .max_age(50);
    let young = bench.execute(read).await;
    assert!(!verdict_and_replica(&young).1, "{young:?}");
    bench.stop().await;
}

async fn old_status_case() {
    let bench = GroupBench::start().await;
    while bench.dump().await["instances"]["cases-1"].is_null() {
        sleep(Duration::from_millis(1)).await;
    }
    let put = RequestBuilder::new(GRANT, "put case-7 granted").deadline(SHORT_MS);
    assert_eq!(bench.execute(put).await.verdict, WRITTEN);
    bench.stop().await;
}

async fn long_write_case() {
    let bench = GroupBench::start().await;
    wait_for_replica_reads(&bench).await;
    bench.set_fault(0, FaultRequest::Slow(1_500)).await;
    let long = bench
        .send(RequestBuilder::new(GRANT, "append case-7 grant"))
        .await;
    bench.wait_running(1).await;
    bench.set_fault(0, FaultRequest::Slow(1)).await;
    sleep(Duration::from_millis(600)).await;
    let short = RequestBuilder::new(GRANT, "append case-8 grant").deadline(SHORT_MS);
    assert_eq!(bench.execute(short).await.verdict, WRITTEN);
    assert_eq!(long.await.unwrap().verdict, WRITTEN);
    bench.stop().await;
}

/// Starts the primary of another group in this term, with 40 entries in its log.
async fn start_foreign_primary(term: GroupTerm) -> LabEndpoint {
    let settings = EndpointSettings {
        group: "files".into(),
        ..EndpointSettings::quick("files-1", true)
    };
    let foreign_primary = LabEndpoint::start(&settings).await.unwrap();
    let instance = &foreign_primary.shared().instance;
    instance.fence(term).await;
    instance.promote(term, 0).await;
    let generation = instance.generation().await;
    for _ in 0..40 {
        instance.commit(generation, Vec::new()).await.unwrap();
    }
    foreign_primary
}

async fn foreign_agent_case() {
    let bench = GroupBench::start().await;
    let foreign_primary = start_foreign_primary(FIRST_TERM).await;
    bench.cut_replication(true).await;
    bench.announce_at(1, foreign_primary.agent_address()).await;
    let grant = RequestBuilder::new(GRANT, "append case-7 grant").deadline(SHORT_MS);
    let reply = bench.execute(grant).await;
    let doubt = RequestVerdict::MayHaveRun(DoubtCause::NotConfirmed);
    assert_eq!(reply.verdict, doubt);
    bench.stop().await;
    foreign_primary.stop().await;
}

async fn foreign_order_case() {
    let bench = GroupBench::start().await;
    let foreign_primary = start_foreign_primary(GroupTerm(0)).await;
    let before = foreign_primary.shared().instance.read_log().await;
    bench.announce_at(1, foreign_primary.agent_address()).await;
    sleep(Duration::from_millis(600)).await;
    assert_eq!(foreign_primary.shared().instance.read_log().await, before);
    let status = foreign_primary.shared().instance.status();
    assert_eq!(status.role, InstanceRole::Primary);
    bench.stop().await;
    foreign_primary.stop().await;
}

async fn idle_case() {
    let bench = GroupBench::start().await;
    bench.wait_serving().await;
    let start = count_work(&bench).await;
    let mut end = start;
    while end.1 < start.1 + 20 {
        sleep(Duration::from_millis(20)).await;
        end = count_work(&bench).await;
    }
    let (ticks, probes) = (end.0 - start.0, end.1 - start.1);
    assert!(ticks <= probes * 4, "{ticks} runs for {probes} probes");
    bench.stop().await;
}

/// Returns the numbers of runs of the periodic work and of probes on an open connection.
async fn count_work(bench: &GroupBench) -> (u64, u64) {
    let dump = bench.dump().await;
    let count = |name: &str| dump[name].as_u64().unwrap();
    (count("ticks"), count("probes"))
}
