//! Connections to VMs that return while somebody tries to reach them. Time is virtual.

use ragwortgated::connecting::race_attempts;
use std::cell::Cell;
use std::future::pending;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_millis(400);

/// A VM gets its power back 120 ms after another one began to look for it. The first attempts are
/// lost for good; the first one after the start is answered at once. Waiting for the lost ones, both
/// VMs would stand still for another quarter of a second, and their callers with them.
#[tokio::test(start_paused = true)]
async fn vm_that_returns_is_reached_by_the_next_attempt() {
    let began = Instant::now();
    let attempts = Cell::new(0);
    let reached = race_attempts(LIMIT, || {
        attempts.set(attempts.get() + 1);
        let is_up = began.elapsed() >= Duration::from_millis(120);
        async move {
            if !is_up {
                pending::<()>().await;
            }
            sleep(Duration::from_millis(2)).await;
        }
    });
    assert_eq!(reached.await, Some(()));
    assert!(
        began.elapsed() < Duration::from_millis(160),
        "{:?}",
        began.elapsed()
    );
    assert_eq!(attempts.get(), 4);
}

/// A VM that answers within a round trip between regions is bothered by one attempt only.
#[tokio::test(start_paused = true)]
async fn vm_that_answers_sees_one_attempt() {
    let attempts = Cell::new(0);
    let reached = race_attempts(LIMIT, || {
        attempts.set(attempts.get() + 1);
        sleep(Duration::from_millis(40))
    });
    assert_eq!(reached.await, Some(()));
    assert_eq!(attempts.get(), 1);
}

/// Nobody answers. The caller is told when its time is up.
#[tokio::test(start_paused = true)]
async fn silence_ends_with_the_limit() {
    let began = Instant::now();
    assert_eq!(race_attempts(LIMIT, pending::<()>).await, None);
    assert_eq!(began.elapsed(), LIMIT);
}
