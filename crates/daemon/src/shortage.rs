//! Tells a shortage of this VM's own resources from a fault of the other side.
//!
//! # The load it answers
//!
//! A VM holds as many connections as it may. Each further one fails at once, whoever it is meant for.
//!
//! # Without it
//!
//! The failures count against the endpoints and VMs that were to be reached: live primaries are taken for
//! dead and replaced, one after the other, by the VM that can't open a connection.

use crate::log_event;
use log::Level;
use rustix::io::Errno;
use std::io;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Failures between two lines in the log; a process that lacks descriptors meets hundreds a second.
const FAILURES_PER_LINE: u64 = 256;

/// The failures of this process so far.
static FAILURES: AtomicU64 = AtomicU64::new(0);

/// Says whether an operation on a socket failed because this process or VM has no descriptor, memory or port
/// left.
pub fn is_own_shortage(error: &io::Error) -> bool {
    let shortages = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOMEM,
        Errno::NOBUFS,
        Errno::ADDRNOTAVAIL,
        Errno::AGAIN,
    ];
    Errno::from_io_error(error).is_some_and(|errno| shortages.contains(&errno))
}

/// Says whether an error comes from a shortage of this process or VM; if so it is counted, and one in
/// [`FAILURES_PER_LINE`] is logged.
pub fn note_shortage(error: &io::Error) -> bool {
    if !is_own_shortage(error) {
        return false;
    }
    let failures = FAILURES.fetch_add(1, Ordering::Relaxed);
    if failures.is_multiple_of(FAILURES_PER_LINE) {
        log_event!(
            Level::Error,
            "resource_shortage",
            cause = error,
            failures = failures + 1,
        );
    }
    true
}

/// Returns how often a connection failed for a shortage of this process or VM.
pub fn count_shortages() -> u64 {
    FAILURES.load(Ordering::Relaxed)
}
