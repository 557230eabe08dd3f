//! The time that every decision takes as an input.

use serde::Deserialize;
use serde::Serialize;
use std::ops::Add;
use std::time::Duration;

/// A moment, in microseconds since the start of the process.
///
/// The policy never reads a clock: each event carries the moment at which it happened, so that a
/// test can replay an hour in milliseconds and get the same decisions every time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClockTime(pub u64);

impl ClockTime {
    /// Creates a moment from milliseconds since the start.
    pub fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the moment as microseconds since the start.
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time that passed since `earlier`, or zero if `earlier` lies later.
    pub fn since(self, earlier: ClockTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the moment `span` before this one, or the start if there is none.
    pub fn before(self, span: Duration) -> ClockTime {
        ClockTime(self.0.saturating_sub(to_micros(span)))
    }
}

impl Add<Duration> for ClockTime {
    type Output = ClockTime;

    fn add(self, span: Duration) -> ClockTime {
        ClockTime(self.0.saturating_add(to_micros(span)))
    }
}

/// Returns a span as whole microseconds.
pub(crate) fn to_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
