//! The process's clock for leases and ages.

use ragwort_control::ClockTime;
use rustix::time::ClockId;
use rustix::time::clock_gettime;
use std::time::Duration;

/// Reads the time since the process started from the system's boot-time clock. Clones share the
/// origin.
///
/// The clock keeps running while the process is stopped by a signal and while the whole VM is
/// suspended. The usual monotonic clock stands still in a suspended VM: a leaseholder that wakes up
/// would believe in a lease that ended long ago, and serve reads that lack its successor's writes.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    origin: Duration,
}

impl NodeClock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            origin: read_boot_time(),
        }
    }

    /// Returns the current time.
    pub fn now(self) -> ClockTime {
        ClockTime::from(read_boot_time().saturating_sub(self.origin))
    }

    /// Returns how long it is until `moment`; zero if it has passed.
    pub fn until(self, moment: ClockTime) -> Duration {
        moment.since(self.now())
    }
}

fn read_boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
