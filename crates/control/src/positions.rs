//! Acknowledged positions over time, from which the position is derived that a read must cover.
//!
//! Many reads accept data up to a maximum age, and the replicas' lag varies. If such a read had to
//! cover everything, replicas that are 20 ms behind would refuse it, and the primary's slots would
//! serve what two replicas could.
//!
//! All writes go through the leaseholder, so it knows when each position was acknowledged. A read
//! with a maximum age must cover the newest position that was acknowledged longer ago than that.
//! Positions acknowledged within [`MARK_INTERVAL`] are joined to the earlier time, which only
//! demands more than necessary.

use crate::ClockTime;
use ragwort_types::LogPosition;
use std::collections::VecDeque;
use std::time::Duration;

/// Interval within which acknowledged positions are joined to one mark.
const MARK_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of marks. At one mark every 5 ms they cover 20 s, beyond every maximum age in
/// use; a read with a higher one must cover the oldest mark.
const MAX_MARKS: usize = 4_096;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PositionMark {
    /// When the first position of the mark was acknowledged.
    at: ClockTime,
    position: LogPosition,
}

/// The positions that one primary has acknowledged.
#[derive(Clone, Debug, Default)]
pub struct PositionHistory {
    start: LogPosition,
    newest: LogPosition,
    marks: VecDeque<PositionMark>,
}

impl PositionHistory {
    /// Starts again with a primary whose log begins at `start`.
    ///
    /// Everything acknowledged before is in that log, but at unknown times, so all reads must cover
    /// all of it.
    pub fn begin(&mut self, start: LogPosition) {
        self.start = start;
        self.newest = start;
        self.marks.clear();
    }

    /// Records that the primary has acknowledged a position.
    pub fn note(&mut self, now: ClockTime, position: LogPosition) {
        if position <= self.newest {
            return;
        }
        self.newest = position;
        match self.marks.back_mut() {
            Some(last) if now.since(last.at) < MARK_INTERVAL => last.position = position,
            _ => self.marks.push_back(PositionMark { at: now, position }),
        }
        if self.marks.len() > MAX_MARKS
            && let Some(oldest) = self.marks.pop_front()
        {
            self.start = oldest.position;
        }
    }

    /// Returns the newest acknowledged position.
    pub fn newest(&self) -> LogPosition {
        self.newest
    }

    /// Returns the position of the present primary's log when the primary was found.
    pub fn start(&self) -> LogPosition {
        self.start
    }

    /// Returns the position that a read must cover if it accepts data of this age.
    pub fn required(&self, now: ClockTime, age: Duration) -> LogPosition {
        let limit = now.before(age);
        let later = self.marks.partition_point(|mark| mark.at <= limit);
        match later.checked_sub(1).and_then(|index| self.marks.get(index)) {
            Some(mark) => mark.position,
            None => self.start,
        }
    }

    /// Returns how long ago a position was overtaken; zero if it is the newest.
    ///
    /// This is the lag of an instance at that position.
    pub fn lag_of(&self, now: ClockTime, position: LogPosition) -> Duration {
        let covered = self.marks.partition_point(|mark| mark.position <= position);
        match self.marks.get(covered) {
            Some(mark) => now.since(mark.at),
            None => Duration::ZERO,
        }
    }

    /// Limits the position of a session's last write to what is still held.
    ///
    /// No instance holds a dropped position any more, and reads of its session would wait for it
    /// forever.
    pub fn clamp(&self, position: LogPosition) -> LogPosition {
        match self.is_dropped(position) {
            true => self.start,
            false => position,
        }
    }

    /// Returns whether a promotion has dropped a position that the promoted instance lacked.
    pub fn is_dropped(&self, position: LogPosition) -> bool {
        position.term < self.start.term && position.index > self.start.index
    }
}
