//! Long jobs among short ones.
//!
//! # The load it answers
//!
//! Reports of half a second arrive among lookups of milliseconds.
//!
//! # Without it
//!
//! With two slots an endpoint, six reports that arrive together hold a whole group for half a
//! second, and every lookup in that time is late.
//!
//! # Grounds for its figures
//!
//! An endpoint gives long jobs all of its slots but one, even while nothing short waits: a long job
//! can't be stopped when a short request arrives a millisecond later. An endpoint with a single
//! slot takes a long job only while another endpoint is without one. A run that has lasted longer
//! than the limit of [`LONG_THRESHOLD`](crate::estimate::LONG_THRESHOLD) counts as long from then
//! on, whatever its kind promised.

/// Returns how many long jobs an endpoint takes at once.
pub(crate) fn long_job_limit(slots: u32) -> u32 {
    slots.saturating_sub(1).max(1)
}

/// Says whether one more long job may start on an endpoint.
///
/// `elsewhere_free` says whether another endpoint keeps a slot for short work.
pub(crate) fn may_start_long(slots: u32, long_running: u32, elsewhere_free: bool) -> bool {
    if slots <= 1 {
        return long_running == 0 && elsewhere_free;
    }
    long_running < long_job_limit(slots)
}
