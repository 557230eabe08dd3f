//! Checks of what must always hold, inside the running program.
//!
//! A broken invariant stops a debug build, so that randomised runs find it. A release build counts
//! it and goes on: the daemon exports the count, and an operator sees that a promise may be broken
//! without losing the process that still serves.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

static BROKEN: AtomicU64 = AtomicU64::new(0);

/// Returns how many invariants were found broken since the process started.
pub fn broken_invariants() -> u64 {
    BROKEN.load(Ordering::Relaxed)
}

/// Counts one broken invariant; called by [`invariant!`](crate::invariant!).
#[doc(hidden)]
pub fn count_broken_invariant() {
    BROKEN.fetch_add(1, Ordering::Relaxed);
}

/// Checks that a condition holds.
///
/// # Panics
///
/// Panics in a debug build if it doesn't; a release build counts it, see
/// [`broken_invariants`](crate::broken_invariants).
#[macro_export]
macro_rules! invariant {
    ($condition:expr, $($message:tt)+) => {
        if !$condition {
            $crate::count_broken_invariant();
            if cfg!(debug_assertions) {
                panic!($($message)+);
            }
        }
    };
}
