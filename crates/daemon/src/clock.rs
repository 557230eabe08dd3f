//! The process's monotonic clock.

use ragwort_control::ClockTime;
use std::time::Duration;
use std::time::Instant;

/// Reads the time since the process started. Clones share the origin.
///
/// The clock goes on while the process is stopped by a signal, so that a thawed process sees that
/// its lease has ended.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    origin: Instant,
}

impl NodeClock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the present moment.
    pub fn now(self) -> ClockTime {
        ClockTime::from(self.origin.elapsed())
    }

    /// Returns how long it is until `moment`; zero if it has passed.
    pub fn until(self, moment: ClockTime) -> Duration {
        moment.since(self.now())
    }
}
