//! Samples of the primary's position over time, from which the age of replicas' data is bounded.

use crate::ClockTime;
use ragwort_types::LogPosition;
use std::collections::VecDeque;

/// Length of the interval that one sample represents, in microseconds.
///
/// It makes an age at most 10 ms too high, which is small compared with the maximum ages in
/// contracts (hundreds of milliseconds).
const SAMPLE_INTERVAL_MICROS: u64 = 10_000;

/// Maximum number of samples: 82 seconds of a primary that writes in every interval. The age of a
/// replica that is further behind is unknown, and it serves no reads.
const MAX_SAMPLES: usize = 8_192;

/// The primary's positions, with the times at which they were observed.
#[derive(Clone, Debug, Default)]
pub(crate) struct PositionSamples {
    samples: VecDeque<PositionSample>,
}

#[derive(Clone, Copy, Debug)]
struct PositionSample {
    /// When the latest request that returned this position was sent; at that time the primary was
    /// at most at this position.
    sent: ClockTime,
    /// When the first answer with this position arrived.
    received: ClockTime,
    position: LogPosition,
}

impl PositionSamples {
    /// Records that the primary returned a position, at `received`, to a request sent at `sent`.
    pub(crate) fn observe(&mut self, sent: ClockTime, received: ClockTime, position: LogPosition) {
        let sample = PositionSample {
            sent,
            received,
            position,
        };
        // The first sample is never merged: an instance at its position would have no known age.
        let may_merge = self.samples.len() > 1;
        match self.samples.back_mut() {
            // An answer that arrives out of order adds nothing to the recorded one.
            Some(last) if sent < last.sent || position < last.position => {}
            Some(last) if last.position == position => last.sent = sent,
            Some(last) if may_merge && last.interval() == sample.interval() => *last = sample,
            _ => self.samples.push_back(sample),
        }
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Returns the latest time at which a position still covered the primary's.
    pub(crate) fn last_covered_at(&self, position: LogPosition) -> Option<ClockTime> {
        let covered = self
            .samples
            .partition_point(|sample| position.covers(sample.position));
        let last = covered.checked_sub(1)?;
        self.samples.get(last).map(|sample| sample.sent)
    }

    /// Returns since when the primary has been observed beyond a position; `None` if it never was.
    pub(crate) fn overtaken_since(&self, position: LogPosition) -> Option<ClockTime> {
        let covered = self
            .samples
            .partition_point(|sample| position.covers(sample.position));
        self.samples.get(covered).map(|sample| sample.received)
    }
}

impl PositionSample {
    fn interval(&self) -> u64 {
        self.sent.0 / SAMPLE_INTERVAL_MICROS
    }
}
