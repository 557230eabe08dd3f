//! A macro that defines the test functions, their time limit, and a polling helper.

use std::future::Future;
use std::time::Duration;
use tokio::time::timeout;

/// Time limit of a test case. It is no performance threshold: a case that reaches it hangs.
const CASE_TIMEOUT: Duration = Duration::from_secs(60);

macro_rules! failure_cases {
    ($($(#[$doc:meta])* $name:ident => $case:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            crate::cases::run_case($case).await;
        }
    )*};
}

pub async fn run_case(case: impl Future<Output = ()>) {
    timeout(CASE_TIMEOUT, case)
        .await
        .expect("the test case hangs");
}

/// Polls until a condition holds, bounded by the time limit of the test case.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
