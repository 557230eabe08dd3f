//! Orders to promote that may still be carried out while the group goes on with its primary.

use crate::bench::FRESH;
use crate::bench::LONG_TIMING;
use crate::bench::NativeBench;
use crate::bench::TestStatement;
use crate::bench::WRITE;
use crate::bench::is_served;
use crate::cases::wait_until;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::TransactionId;
use ragwort_types::TransactionStep;
use ragwortgated::edges::PromotionReply;

/// The fencing token of a former leaseholder's order. Tokens that are issued in a case are higher.
const FORMER_TOKEN: u64 = 7;

failure_cases! {
    /// A leaseholder was killed after it had ordered a promotion. Its successor went on with the
    /// primary, and the order was carried out later: acknowledged writes were lost.
    successor_fences_the_order_of_a_former_leaseholder => successor_case();
    /// As above, but without synchronous replicas. The primary was replaced needlessly seconds
    /// later. No write has to wait for the fence.
    successor_fences_without_a_guarantee => unguaranteed_case();
    /// Synchronous replicas are configured while a former leaseholder's order may still be carried
    /// out. Writes that are guaranteed from then on were lost.
    guarantee_that_begins_during_an_order_holds_writes => begun_guarantee_case();
    /// A leaseholder's order gets no reply, and the primary returns. Writes that the primary
    /// acknowledged after that were lost when the order was carried out.
    unanswered_order_is_fenced_when_the_primary_returns => returned_case();
    /// As above, with a transaction that is open meanwhile. Its commit was acknowledged.
    commit_before_the_fence_is_not_run => commit_case();
}

/// Gives all orders from now on this reply.
fn reply_with(bench: &NativeBench, reply: PromotionReply) {
    *bench.promotions.replies.lock().unwrap() = vec![reply; 1_000];
}

/// Checks that a write is refused since another instance may become the primary, and doesn't run.
async fn expect_held(bench: &NativeBench) {
    let reply = bench.ask(TestStatement::new(WRITE, "write held")).await;
    let RequestVerdict::NotRun(refusal) = reply.verdict else {
        panic!("{reply:?}");
    };
    assert_eq!(refusal.cause, RefusalCause::NoPrimary);
    assert!(refusal.come_back_after_ms > 0);
    assert_eq!(bench.count_runs("write held"), 0);
}

/// Waits until writes are no longer refused, and checks that the first primary serves one and that
/// the last order was given for it.
async fn expect_fenced(bench: &NativeBench) {
    bench.wait_for(|dump| dump["holds_writes"] == false).await;
    let reply = bench.ask(TestStatement::new(WRITE, "write after")).await;
    assert!(is_served(&reply), "{reply:?}");
    assert_eq!(reply.served_by.unwrap().instance.as_str(), "cases-1");
    let orders = bench.promotions.orders.lock().unwrap().clone();
    let last = orders.last().unwrap();
    assert_eq!(last.instance.as_str(), "cases-1");
    let highest = orders.iter().map(|order| order.token).max();
    assert_eq!(Some(last.token), highest);
    assert!(last.token > FORMER_TOKEN);
}

async fn successor_case() {
    let bench = NativeBench::start_after_an_order([5, 5, 5], 1, FORMER_TOKEN).await;
    bench.withhold_tokens(true);
    bench.wait_for(|dump| dump["fence"] == "Numbering").await;
    expect_held(&bench).await;
    let read = bench.ask(TestStatement::new(FRESH, "read shelf")).await;
    assert!(is_served(&read), "{read:?}");
    bench.withhold_tokens(false);
    expect_fenced(&bench).await;
    // The catalog may forget the order now.
    wait_until(|| bench.settled_token() >= FORMER_TOKEN).await;
}

async fn unguaranteed_case() {
    let bench = NativeBench::start_after_an_order([5, 5, 5], 0, FORMER_TOKEN).await;
    bench.withhold_tokens(true);
    bench.wait_for(|dump| dump["fence"] == "Numbering").await;
    let reply = bench.ask(TestStatement::new(WRITE, "write early")).await;
    assert!(is_served(&reply), "{reply:?}");
    bench.withhold_tokens(false);
    assert_eq!(bench.wait_for_order().await, 0);
    expect_fenced(&bench).await;
}

async fn begun_guarantee_case() {
    let bench = NativeBench::start_after_an_order([5, 5, 5], 0, FORMER_TOKEN).await;
    bench.withhold_tokens(true);
    bench.wait_for(|dump| dump["fence"] == "Numbering").await;
    bench.require_replicas(1);
    bench.wait_for(|dump| dump["holds_writes"] == true).await;
    expect_held(&bench).await;
    bench.withhold_tokens(false);
    expect_fenced(&bench).await;
}

/// Starts a group whose primary is silent for a moment, in which a promotion is ordered without a
/// reply. Orders get no reply until the case says otherwise.
async fn return_after_an_order(open: Option<TransactionId>) -> NativeBench {
    let mut bench = NativeBench::start_synchronous([5, 5, 5], LONG_TIMING).await;
    bench.settle().await;
    if let Some(open) = open {
        let begin = TestStatement::new(WRITE, "write one").step(TransactionStep::Begin(open));
        assert!(is_served(&bench.ask(begin).await));
    }
    reply_with(&bench, PromotionReply::Unknown);
    bench.endpoints[0].script().silent = true;
    let probe = bench.send(TestStatement::new(WRITE, "write slow")).await;
    assert_ne!(bench.wait_for_order().await, 0);
    bench.endpoints[0].script().silent = false;
    bench.wait_for(|dump| dump["replacement"] == "Steady").await;
    bench.wait_for(|dump| dump["holds_writes"] == true).await;
    drop(probe);
    bench
}

async fn returned_case() {
    let bench = return_after_an_order(None).await;
    expect_held(&bench).await;
    reply_with(&bench, PromotionReply::Accepted);
    expect_fenced(&bench).await;
}

async fn commit_case() {
    let open = TransactionId::fresh();
    let bench = return_after_an_order(Some(open)).await;
    let commit = TestStatement::new(WRITE, "commit").step(TransactionStep::Commit(open));
    let lost = RequestVerdict::refused(RefusalCause::TransactionLost, 0);
    assert_eq!(bench.ask(commit).await.verdict, lost);
    assert_eq!(bench.count_runs("commit"), 0);
    reply_with(&bench, PromotionReply::Accepted);
    expect_fenced(&bench).await;
}
