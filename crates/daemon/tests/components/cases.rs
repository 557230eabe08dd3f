//! The macro that declares failure cases, and the time limit that applies to each.

use std::future::Future;
use std::time::Duration;
use tokio::time::timeout;

/// The time limit of a case. It only ends cases that hang; no case measures performance by it.
const CASE_TIMEOUT: Duration = Duration::from_secs(60);

/// Declares a test on a multi-threaded runtime for each `name => future`.
macro_rules! failure_cases {
    ($($(#[$doc:meta])* $name:ident => $case:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            crate::cases::run_case($case).await;
        }
    )*};
}

/// Runs a case to its end.
///
/// # Panics
///
/// Panics if the case takes longer than [`CASE_TIMEOUT`].
pub async fn run_case(case: impl Future<Output = ()>) {
    timeout(CASE_TIMEOUT, case)
        .await
        .expect("the case timed out");
}

/// Polls a condition every 2 ms until it holds. It has no time limit but that of the case.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
