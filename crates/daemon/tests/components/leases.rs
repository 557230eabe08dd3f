//! A leaseholder whose lease ends while statements run or wait.

use crate::bench::FRESH;
use crate::bench::GRANT;
use crate::bench::GroupBench;
use crate::bench::RequestBuilder;
use ragwort_lab::faults::FaultRequest;
use ragwort_types::DoubtCause;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;

failure_cases! {
    /// The VM is cut off from the control VMs while a write runs. Its successor may have promoted
    /// another instance before the endpoint answers, so the write must not be acknowledged.
    write_that_ends_after_the_lease_is_in_doubt => running_write_case();
    /// The lease ends while a read that accepts no staleness runs. Its answer may be older than a
    /// write that the successor has acknowledged meanwhile, so it is not returned.
    fresh_read_that_ends_after_the_lease_is_not_answered => running_read_case();
    /// Statements wait for a slot when the lease ends. None may reach the endpoint, where the
    /// successor's statements may already run; their callers are told that they were not run.
    nothing_is_dispatched_after_the_lease => waiting_case();
}

async fn running_write_case() {
    let bench = GroupBench::start().await;
    bench.set_fault(0, FaultRequest::Slow(200)).await;
    let running = bench
        .send(RequestBuilder::new(GRANT, "append case-7 grant"))
        .await;
    bench.wait_running(1).await;
    bench.end_lease();
    let doubt = RequestVerdict::MayHaveRun(DoubtCause::LeaseLost);
    assert_eq!(running.await.unwrap().verdict, doubt);
    bench.stop().await;
}

async fn running_read_case() {
    let bench = GroupBench::start().await;
    bench.set_fault(0, FaultRequest::Slow(200)).await;
    let running = bench.send(RequestBuilder::new(FRESH, "get case-7")).await;
    bench.wait_running(1).await;
    bench.end_lease();
    let reply = running.await.unwrap();
    assert!(
        !matches!(reply.verdict, RequestVerdict::Ran(_)),
        "{reply:?}"
    );
    bench.stop().await;
}

async fn waiting_case() {
    let bench = GroupBench::start().await;
    bench.set_fault(0, FaultRequest::Slow(300)).await;
    let grant = RequestBuilder::new(GRANT, "append case-7 grant");
    let mut running = Vec::new();
    for _ in 0..2 {
        running.push(bench.send(grant.clone()).await);
    }
    bench.wait_running(2).await;
    let waiting = bench.send(grant.clone()).await;
    // The dump is answered after everything that was sent before it.
    assert_eq!(bench.dump().await["requests"], 3);
    bench.end_lease();
    let late = bench.execute(grant).await;
    for reply in [waiting.await.unwrap(), late] {
        let RequestVerdict::NotRun(refusal) = reply.verdict else {
            panic!("{reply:?}");
        };
        assert_eq!(refusal.cause, RefusalCause::NoLease);
    }
    for reply in running {
        let verdict = reply.await.unwrap().verdict;
        assert!(
            matches!(verdict, RequestVerdict::MayHaveRun(_)),
            "{verdict:?}"
        );
    }
    assert_eq!(bench.count_commits().await, 2);
    bench.stop().await;
}
