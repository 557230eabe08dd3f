//! Runtime checks of invariants.
//!
//! A violated invariant stops a debug build, so that randomised runs find it. A release build
//! counts it and continues: the daemon exports the count, which tells an operator that a guarantee
//! may be broken without losing a process that still serves.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

static BROKEN: AtomicU64 = AtomicU64::new(0);

/// Returns the number of invariant violations since the process started.
pub fn broken_invariants() -> u64 {
    BROKEN.load(Ordering::Relaxed)
}

/// Counts an invariant violation; called by [`invariant!`](crate::invariant!).
#[doc(hidden)]
pub fn count_broken_invariant() {
    BROKEN.fetch_add(1, Ordering::Relaxed);
}

/// Checks that a condition holds.
///
/// # Panics
///
/// Panics in a debug build if it doesn't. A release build counts the violation instead, see
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
