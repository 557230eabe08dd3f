//! Leaseholders that end: takeover with the standbys' journals, and the statements still queued.

use crate::bench::GRANT;
use crate::bench::GroupBench;
use crate::bench::RequestBuilder;
use crate::bench::STATUS;
use crate::bench::one_value;
use ragwort_lab::faults::FaultRequest;
use ragwort_types::DoubtCause;
use ragwort_types::RequestKey;
use ragwort_types::RequestVerdict;
use ragwort_types::StatementAnswer;
use ragwortgated::edges::NodeEdges;
use ragwortgated::leaseholders::LeaseholderEvent;
use ragwortgated::leaseholders::LeaseholderManager;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::sleep;

failure_cases! {
    /// The leaseholder is killed while a keyed write runs, and the caller resends it. The successor
    /// can't know whether the write ran, and must not run it again to find out.
    resend_after_a_takeover_does_not_run => running_case();
    /// The leaseholder is killed after it has acknowledged a keyed write, and the acknowledgement
    /// is lost on its way. The resend gets the acknowledged verdict from the successor.
    decided_write_keeps_its_verdict_over_a_takeover => decided_case();
    /// A session writes, and reads the key through the successor while one replica gets no
    /// replication. It must see its write, whichever instance answers.
    session_reads_its_write_after_a_takeover => session_case();
    /// A leaseholder hands its group over, and statements still arrive in its task's queue while
    /// the task ends, because gateways learn of the change a heartbeat later. Each must be
    /// answered. A statement that is dropped with the queue was not run, but its gateway reports
    /// doubt, as in this log line 5 ms after `group_left`: `request_failed outcome=in_doubt
    /// cause="leaseholder lost" took_ms=3 epoch=1`.
    statement_meeting_an_ending_leaseholder_is_answered => ending_case();
    /// A VM shuts down while statements wait in the queue of its leaseholder manager. The manager
    /// ends, and each statement must be answered as not run.
    statement_that_meets_an_ending_manager_is_answered => ending_manager_case();
}

async fn running_case() {
    let mut bench = GroupBench::start().await;
    bench.set_fault(0, FaultRequest::Slow(300)).await;
    let grant = RequestBuilder::new(GRANT, "append case-7 grant").key(RequestKey::fresh());
    let first = bench.send(grant.clone()).await;
    bench.wait_running(1).await;
    bench.replace_leaseholder().await;
    let ended = first.await;
    assert!(ended.is_err(), "{ended:?}");
    let reply = bench.execute(grant).await;
    let doubt = RequestVerdict::MayHaveRun(DoubtCause::EarlierAttempt);
    assert_eq!(reply.verdict, doubt);
    bench.wait_running(0).await;
    assert!(bench.count_commits().await <= 1);
    bench.stop().await;
}

async fn decided_case() {
    let mut bench = GroupBench::start().await;
    let grant = RequestBuilder::new(GRANT, "append case-7 grant").key(RequestKey::fresh());
    let written = RequestVerdict::Ran(StatementAnswer::Done(1));
    assert_eq!(bench.execute(grant.clone()).await.verdict, written);
    bench.replace_leaseholder().await;
    assert_eq!(bench.execute(grant).await.verdict, written);
    assert_eq!(bench.count_commits().await, 1);
    bench.stop().await;
}

async fn session_case() {
    let mut bench = GroupBench::start().await;
    bench.set_fault(2, FaultRequest::CutReplication(true)).await;
    let put = RequestBuilder::new(GRANT, "put case-7 granted");
    let written = RequestVerdict::Ran(StatementAnswer::Done(1));
    assert_eq!(bench.execute(put).await.verdict, written);
    bench.replace_leaseholder().await;
    let granted = RequestVerdict::Ran(one_value("value", "granted"));
    let mut by_replica = 0;
    // Replicas serve again some time after the takeover; ten of their answers are checked.
    while by_replica < 10 {
        let reply = bench
            .execute(RequestBuilder::new(STATUS, "get case-7"))
            .await;
        assert_eq!(reply.verdict, granted, "{reply:?}");
        by_replica += u32::from(reply.served_by.is_some_and(|served| served.replica));
        sleep(Duration::from_millis(5)).await;
    }
    bench.stop().await;
}

async fn ending_case() {
    let bench = GroupBench::start().await;
    bench.place_elsewhere();
    let mut replies = Vec::new();
    for _ in 0..64 {
        let request = RequestBuilder::new(GRANT, "append case-7 grant").into_request();
        replies.extend(bench.try_send(request));
    }
    let mut doubts = 0;
    for reply in replies {
        let verdict = reply
            .await
            .expect("a statement was dropped unanswered")
            .verdict;
        match verdict {
            RequestVerdict::NotRun(_) => {}
            // The statement was dispatched before the leaseholder saw the change.
            RequestVerdict::MayHaveRun(DoubtCause::LeaseLost) => doubts += 1,
            verdict => panic!("{verdict:?}"),
        }
    }
    assert!(bench.count_commits().await <= doubts);
    bench.stop().await;
}

async fn ending_manager_case() {
    let bench = GroupBench::start().await;
    let (unplaced, _) = watch::channel(Vec::new());
    let view = bench.view.subscribe();
    let manager = LeaseholderManager::new(bench.context(), NodeEdges::Postgres, view, unplaced);
    let (inbox, events) = mpsc::channel(64);
    let mut replies = Vec::new();
    for _ in 0..64 {
        let request = Box::new(RequestBuilder::new(GRANT, "append case-7 grant").into_request());
        let (reply, answer) = oneshot::channel();
        let event = LeaseholderEvent::Statement(request, reply);
        inbox.try_send(event).expect("the queue is full");
        replies.push(answer);
    }
    let (stop, stopping) = watch::channel(false);
    stop.send_replace(true);
    manager.run(events, stopping).await;
    for reply in replies {
        let verdict = reply
            .await
            .expect("a statement was dropped unanswered")
            .verdict;
        assert!(matches!(verdict, RequestVerdict::NotRun(_)), "{verdict:?}");
    }
    bench.stop().await;
}
