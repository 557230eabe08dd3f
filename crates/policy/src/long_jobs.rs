//! Slot reservation for short requests among long jobs.
//!
//! # Problem
//!
//! Reports of half a second arrive among lookups of milliseconds. With two slots for each endpoint,
//! six reports that arrive together hold a whole group for half a second, and every lookup in that
//! time is late.
//!
//! # Approach
//!
//! An endpoint gives long jobs all of its slots but one, even while nothing short waits: a long job
//! can't be preempted when a short request arrives a millisecond later. An endpoint with a single
//! slot takes a long job only while another endpoint runs none. A run that has lasted longer than
//! [`LONG_THRESHOLD`](crate::estimate::LONG_THRESHOLD) counts as long from then on, whatever its
//! kind says.

/// Returns the maximum number of concurrent long jobs on an endpoint.
pub(crate) fn long_job_limit(slots: u32) -> u32 {
    slots.saturating_sub(1).max(1)
}

/// Returns whether one more long job may start on an endpoint.
///
/// `elsewhere_free` tells whether another endpoint runs no long job.
pub(crate) fn may_start_long(slots: u32, long_running: u32, elsewhere_free: bool) -> bool {
    if slots <= 1 {
        return long_running == 0 && elsewhere_free;
    }
    long_running < long_job_limit(slots)
}
