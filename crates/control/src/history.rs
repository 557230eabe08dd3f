//! When the primary was seen at which position, to bound the age of replicas' data.

use crate::ClockTime;
use ragwort_types::LogPosition;
use std::collections::VecDeque;

/// The time that one kept sighting stands for, in microseconds.
///
/// It makes an age at most 10 ms too high, which is small beside the ages of contracts (hundreds of
/// milliseconds).
const SLOT_MICROS: u64 = 10_000;

/// The most sightings that are kept: 82 seconds of a primary that writes in every slot. The age of
/// a replica further behind isn't known, and it serves no reads.
const LONGEST_HISTORY: usize = 8_192;

/// When the primary was seen at which position.
#[derive(Clone, Debug, Default)]
pub(crate) struct PositionHistory {
    sightings: VecDeque<PrimarySighting>,
}

#[derive(Clone, Copy, Debug)]
struct PrimarySighting {
    /// When the status was last asked for: at that moment the primary was at most at the position.
    asked: ClockTime,
    /// When the first answer with this position came.
    seen: ClockTime,
    position: LogPosition,
}

impl PositionHistory {
    /// Notes that the primary answered with a position, at `seen`, to a request sent at `asked`.
    pub(crate) fn observe(&mut self, asked: ClockTime, seen: ClockTime, position: LogPosition) {
        let sighting = PrimarySighting {
            asked,
            seen,
            position,
        };
        // The first one stays: without it nothing were known of the age of an instance that stands there.
        let joins = self.sightings.len() > 1;
        match self.sightings.back_mut() {
            // An answer that was overtaken says less than the one that is noted.
            Some(last) if asked < last.asked || position < last.position => {}
            Some(last) if last.position == position => last.asked = asked,
            Some(last) if joins && last.slot() == sighting.slot() => *last = sighting,
            _ => self.sightings.push_back(sighting),
        }
        if self.sightings.len() > LONGEST_HISTORY {
            self.sightings.pop_front();
        }
    }

    /// Returns the latest moment at which a position still covered the primary's.
    pub(crate) fn last_covered(&self, position: LogPosition) -> Option<ClockTime> {
        let covered = self
            .sightings
            .partition_point(|sighting| position.covers(sighting.position));
        let last = covered.checked_sub(1)?;
        self.sightings.get(last).map(|sighting| sighting.asked)
    }

    /// Returns since when the primary has been seen beyond a position; `None` if it never was.
    pub(crate) fn passed_since(&self, position: LogPosition) -> Option<ClockTime> {
        let covered = self
            .sightings
            .partition_point(|sighting| position.covers(sighting.position));
        self.sightings.get(covered).map(|sighting| sighting.seen)
    }
}

impl PrimarySighting {
    fn slot(&self) -> u64 {
        self.asked.0 / SLOT_MICROS
    }
}
