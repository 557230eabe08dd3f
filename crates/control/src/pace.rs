//! The length of the lease that a member requests.
//!
//! If a leaseholder's VM freezes or is partitioned, its groups aren't served until its lease has
//! ended. At other times the same VM only pauses for a tenth of a second, because its processor is
//! busy or its CPU quota is exhausted. One length for all members would be too long for the former
//! case, or too short for the latter, in which members would stop serving without a fault.
//!
//! A lease lasts [`HEARTBEATS_PER_LEASE`] heartbeat intervals, so that two consecutive heartbeats
//! may be lost. A VM whose own heartbeats took longer than that allows requests a longer lease. It
//! never returns to a shorter one, because a new control leader relies on the length in the
//! catalog, and a lease granted before could outlast it. A short lease benefits the callers of a
//! leaseholder's groups, who wait that long for a successor.

use std::time::Duration;

/// Length of a lease, in heartbeat intervals.
pub const HEARTBEATS_PER_LEASE: u32 = 4;

/// Heartbeat intervals of a lease that must remain after the slowest round trip that was observed.
const SPARE_HEARTBEATS: u32 = 2;

/// The lease that a member requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestedLease {
    heartbeat_interval: Duration,
    max_lease: Duration,
    requested: Duration,
}

impl RequestedLease {
    /// Starts with the length for a heartbeat interval; `max_lease` is its permanent upper limit.
    pub fn new(heartbeat_interval: Duration, max_lease: Duration) -> Self {
        Self {
            heartbeat_interval,
            max_lease,
            requested: (heartbeat_interval * HEARTBEATS_PER_LEASE).min(max_lease),
        }
    }

    /// Returns the length to request.
    pub fn lease(&self) -> Duration {
        self.requested
    }

    /// Records the time from the sending of a heartbeat until its grant was processed, and returns
    /// whether the length to request has grown.
    ///
    /// A time at or above the upper limit is ignored, because no lease could cover it.
    pub fn note_heartbeat_time(&mut self, took: Duration) -> bool {
        if took >= self.max_lease {
            return false;
        }
        let heartbeats = took
            .as_micros()
            .div_ceil(self.heartbeat_interval.as_micros().max(1));
        let heartbeats = u32::try_from(heartbeats)
            .unwrap_or(u32::MAX)
            .saturating_add(SPARE_HEARTBEATS);
        let needed = self
            .heartbeat_interval
            .saturating_mul(heartbeats)
            .min(self.max_lease);
        let grows = needed > self.requested;
        self.requested = self.requested.max(needed);
        grows
    }
}
