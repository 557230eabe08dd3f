//! The macro that names the cases, and the bound on their time.

use std::future::Future;
use std::time::Duration;
use tokio::time::timeout;

/// How long a case may take. It is no threshold: a case that gets there never ends.
const CASE_PATIENCE: Duration = Duration::from_secs(60);

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
    timeout(CASE_PATIENCE, case)
        .await
        .expect("the case never ends");
}

/// Waits until something holds; the case's patience bounds it.
pub async fn wait_until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
