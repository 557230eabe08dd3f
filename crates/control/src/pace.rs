//! How long a lease a member asks for.
//!
//! # The load it answers
//!
//! A leaseholder's VM freezes or is cut off, and its groups are served by nobody until its lease has
//! ended. On another day the same VM only has pauses: a busy processor, a share of one that is used
//! up for a tenth of a second.
//!
//! # Without it
//!
//! One length for all is too long for those whose silence stops a group, and too short for those that
//! have pauses, which then stop serving though nothing is wrong.
//!
//! # Grounds for its figures
//!
//! A lease lasts for [`LEASE_BEATS`] heartbeats, so that two of them in a row may be lost. A VM whose
//! own heartbeats took longer than that allows for asks for as much more. It never asks for less
//! again, because a new control leader goes by what the catalog says of it, and a lease from before
//! could outlast that. A leaseholder's shorter lease is gained by its groups' callers: it is how long
//! they wait for a successor.

use std::time::Duration;

/// Heartbeats in a lease.
pub const LEASE_BEATS: u32 = 4;

/// Heartbeats in a lease that must be left when the slowest round that was seen is over.
const SPARE_BEATS: u32 = 2;

/// The lease that a member asks for.
#[derive(Clone, Copy, Debug)]
pub struct LeasePace {
    beat: Duration,
    longest: Duration,
    asked: Duration,
}

impl LeasePace {
    /// Begins with what the time between heartbeats asks for; `longest` bounds it for good.
    pub fn new(beat: Duration, longest: Duration) -> Self {
        Self {
            beat,
            longest,
            asked: (beat * LEASE_BEATS).min(longest),
        }
    }

    /// Returns the lease to ask for.
    pub fn lease(&self) -> Duration {
        self.asked
    }

    /// Notes how long a heartbeat took from its sending until its grant was taken, and says whether the
    /// lease to ask for has grown.
    ///
    /// What takes longer than the longest lease is no pause that a lease could cover.
    pub fn note_round(&mut self, took: Duration) -> bool {
        if took >= self.longest {
            return false;
        }
        let beats = took.as_micros().div_ceil(self.beat.as_micros().max(1));
        let beats = u32::try_from(beats)
            .unwrap_or(u32::MAX)
            .saturating_add(SPARE_BEATS);
        let needed = self.beat.saturating_mul(beats).min(self.longest);
        let grows = needed > self.asked;
        self.asked = self.asked.max(needed);
        grows
    }
}
