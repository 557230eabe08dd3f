//! Checks that the program makes of itself while it runs.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Returns how many invariants were found broken since the process started.
///
/// Anything but zero is a fault of the program. It is meant for the metrics page, because a release
/// build goes on where a test or debug build panics.
pub fn violation_count() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// Counts a broken invariant, and panics in test and debug builds.
///
/// # Panics
///
/// Panics with `message` when the program was built with debug assertions.
pub fn report_violation(message: &str) {
    VIOLATIONS.fetch_add(1, Ordering::Relaxed);
    if cfg!(debug_assertions) {
        panic!("invariant broken: {message}");
    }
}

/// Checks a condition that must hold whatever messages, losses and restarts came before.
///
/// A broken one panics in test and debug builds and is counted in release builds, where going on
/// does less harm than losing every session of the process.
#[macro_export]
macro_rules! invariant {
    ($condition:expr, $($message:tt)+) => {
        if !$condition {
            $crate::invariant::report_violation(&format!($($message)+));
        }
    };
}
