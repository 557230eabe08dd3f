//! How a group gets a new primary, and what callers are told meanwhile.

use crate::bench::AGED;
use crate::bench::Ask;
use crate::bench::NativeBench;
use crate::bench::WRITE;
use crate::bench::is_served;
use crate::bench::position;
use ragwort_control::HEADLESS_TIME;
use ragwort_types::FaultSort;
use ragwort_types::RequestVerdict;
use ragwortgated::edges::PromotionReply;
use tokio::time::sleep;

failure_cases! {
    /// The primary's process dies. Of two replicas one holds all that was acknowledged. A clerk
    /// whose record was saved before must find it after, so that one has to follow.
    dead_primary_is_followed_by_the_replica_that_holds_all => dead_primary_case();
    /// The platform takes the order to promote the second time only. Callers see one promotion, not
    /// a group without a primary.
    untaken_order_is_given_again => untaken_order_case();
    /// The primary's VM is to be shut down. A replica takes over before it goes, and no write is
    /// sent to the old one after the change began.
    leaving_primary_is_replaced_before_it_goes => leaving_primary_case();
    /// The primary dies with a write on its way to it. Nobody knows whether it ran: it must not run
    /// once more, and the caller must hear just that.
    write_without_answer_is_in_doubt_and_not_repeated => lost_write_case();
    /// A replica dies with a read on its way to it. Reading twice does no harm, so the caller gets
    /// its answer from another instance.
    read_without_answer_is_repeated_elsewhere => lost_read_case();
    /// The primary was changed by other hands, and the old one refuses a write as a replica. The
    /// caller's write has not run, and is saved once, without the caller's help.
    write_that_a_former_primary_refused_runs_once => refused_write_case();
    /// Announcements reach a busy leaseholder seconds late, the primary's last. A living primary was
    /// replaced before it was heard.
    primary_that_is_heard_late_is_not_replaced => late_primary_case();
    /// Another VM takes the group over while a write is at the endpoint. The caller gets a final
    /// answer at once, and is never told that the write had not run.
    write_under_way_at_a_takeover_is_answered => takeover_case();
}

async fn dead_primary_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    // One replica got the write, the other didn't.
    bench.endpoints[2].script().position = position(6);
    bench.endpoints[0].kill().await;
    assert_eq!(bench.wait_for_order().await, 2);
    bench.promote(2).await;
    let reply = bench.ask(Ask::new(WRITE, "write after")).await;
    assert!(is_served(&reply), "{reply:?}");
    assert_eq!(reply.served_by.unwrap().instance.as_str(), "cases-3");
    assert_eq!(bench.count_runs("write after"), 1);
}

async fn untaken_order_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    let replies = [PromotionReply::Accepted, PromotionReply::Unavailable];
    bench.promotions.replies.lock().unwrap().extend(replies);
    bench.endpoints[0].kill().await;
    let index = bench.wait_for_order().await;
    crate::cases::wait_until(|| bench.promotions.orders.lock().unwrap().len() >= 2).await;
    bench.promote(index).await;
    let reply = bench.ask(Ask::new(WRITE, "write after")).await;
    assert!(is_served(&reply), "{reply:?}");
}

async fn leaving_primary_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    for index in 1..3 {
        bench.endpoints[index].script().position = position(6);
    }
    bench.announce(0, true).await;
    let index = bench.wait_for_order().await;
    assert_ne!(index, 0);
    let write = bench.send(Ask::new(WRITE, "write meanwhile")).await;
    bench.promote(index).await;
    let reply = write.await.unwrap();
    assert!(is_served(&reply), "{reply:?}");
    let old = bench.endpoints[0].script().ran.clone();
    assert!(old.iter().all(|ran| ran.text != "write meanwhile"));
}

async fn lost_write_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    bench.endpoints[0].script().silent = true;
    let write = bench.send(Ask::new(WRITE, "write lost")).await;
    bench.wait_for(|dump| dump["requests"] == 1).await;
    bench.wait_for_held(0, "run - write lost").await;
    bench.endpoints[0].kill().await;
    let reply = write.await.unwrap();
    assert!(
        matches!(reply.verdict, RequestVerdict::MayHaveRun(_)),
        "{reply:?}"
    );
    let index = bench.wait_for_order().await;
    bench.promote(index).await;
    let reply = bench.ask(Ask::new(WRITE, "write after")).await;
    assert!(is_served(&reply), "{reply:?}");
    assert_eq!(bench.count_runs("write lost"), 0);
}

async fn lost_read_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    for index in 0..3 {
        bench.endpoints[index].script().silent = true;
    }
    let read = bench.send(Ask::new(AGED, "read shelf")).await;
    let index = bench.wait_for_any_held("read shelf").await;
    bench.endpoints[index].kill().await;
    for index in 0..3 {
        bench.endpoints[index].script().silent = false;
    }
    let reply = read.await.unwrap();
    assert!(is_served(&reply), "{reply:?}");
    assert_eq!(bench.count_runs("read shelf"), 1);
}

async fn refused_write_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    let fault = ("write record".to_owned(), FaultSort::ReadOnly);
    bench.endpoints[0].script().faults.push(fault);
    let reply = bench.ask(Ask::new(WRITE, "write record")).await;
    assert!(is_served(&reply), "{reply:?}");
    assert_eq!(bench.count_runs("write record"), 1);
}

async fn late_primary_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.announce(1, false).await;
    bench.announce(2, false).await;
    sleep(HEADLESS_TIME * 2).await;
    bench.settle_around(1).await;
    assert!(bench.promotions.orders.lock().unwrap().is_empty());
}

async fn takeover_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    bench.endpoints[0].script().silent = true;
    let write = bench.send(Ask::new(WRITE, "write lost")).await;
    bench.wait_for_held(0, "run - write lost").await;
    bench.place_elsewhere();
    let reply = write.await.unwrap();
    assert!(
        matches!(reply.verdict, RequestVerdict::MayHaveRun(_)),
        "{reply:?}"
    );
}
