//! Racing connection attempts to VMs that restart. The clock is virtual.

use ragwortgated::connecting::race_attempts;
use std::cell::Cell;
use std::future::pending;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// The time limit of all attempts together.
const LIMIT: Duration = Duration::from_millis(400);

/// A VM starts 120 ms after another one began to connect to it. The attempts before that are never
/// answered; the first one after it is answered at once. If the caller waited for the lost
/// attempts, it would connect a quarter of a second later.
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

/// A VM that answers within a round trip between regions, 40 ms, gets one attempt only.
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

/// No attempt is answered. The race ends with the limit.
#[tokio::test(start_paused = true)]
async fn silence_ends_with_the_limit() {
    let began = Instant::now();
    assert_eq!(race_attempts(LIMIT, pending::<()>).await, None);
    assert_eq!(began.elapsed(), LIMIT);
}
