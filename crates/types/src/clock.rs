//! Monotonic timestamps that are passed to decision code as input.

use serde::Deserialize;
use serde::Serialize;
use std::fmt;
use std::ops::Add;
use std::time::Duration;

/// A timestamp of a process's monotonic clock, in microseconds since that process's own origin.
///
/// Decision code never reads a clock: each event carries the time at which it happened, so that a
/// test can replay an hour in milliseconds and is deterministic. Timestamps of different processes
/// are not comparable.
///
/// # Examples
///
/// ```
/// use ragwort_types::ClockTime;
/// use std::time::Duration;
///
/// let sent = ClockTime::from_millis(10);
/// let now = sent + Duration::from_millis(5);
/// assert_eq!(now.since(sent), Duration::from_millis(5));
/// assert_eq!(sent.since(now), Duration::ZERO);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClockTime(pub u64);

impl ClockTime {
    /// Creates a timestamp from microseconds since the origin.
    pub fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a timestamp from milliseconds since the origin.
    pub fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the duration since the origin.
    pub fn as_duration(self) -> Duration {
        Duration::from_micros(self.0)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: ClockTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the timestamp `span` before this one, clamped to the origin.
    pub fn before(self, span: Duration) -> ClockTime {
        Self(self.0.saturating_sub(saturating_micros(span)))
    }
}

impl From<Duration> for ClockTime {
    fn from(elapsed: Duration) -> Self {
        Self(saturating_micros(elapsed))
    }
}

impl Add<Duration> for ClockTime {
    type Output = ClockTime;

    fn add(self, span: Duration) -> ClockTime {
        Self(self.0.saturating_add(saturating_micros(span)))
    }
}

impl fmt::Display for ClockTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}us", self.0)
    }
}

fn saturating_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
