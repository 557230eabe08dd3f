//! Distinguishes a shortage of this VM's own resources from a fault of the other side.
//!
//! Once a process or VM has as many descriptors, sockets or ports in use as it may, every further
//! connection fails at once, whatever its target. If these failures counted against the endpoints
//! and VMs that were to be reached, the VM that can't open a connection would declare live
//! primaries dead and replace them one after the other.

use crate::log_event;
use log::Level;
use rustix::io::Errno;
use std::io;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Failures for each line in the log; a process without free descriptors has hundreds a second.
const FAILURES_PER_LINE: u64 = 256;

/// The number of such failures in this process so far.
static FAILURES: AtomicU64 = AtomicU64::new(0);

/// Says whether an operation on a socket failed because this process or VM has no descriptor,
/// memory or port left.
pub fn is_local_shortage(error: &io::Error) -> bool {
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

/// Says whether an error comes from a shortage of this process or VM; if so it is counted, and one
/// in [`FAILURES_PER_LINE`] is logged.
pub fn record_shortage(error: &io::Error) -> bool {
    if !is_local_shortage(error) {
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

/// Returns the number of connections that failed for a shortage of this process or VM.
pub fn count_shortages() -> u64 {
    FAILURES.load(Ordering::Relaxed)
}
