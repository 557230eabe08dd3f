//! Which positions were acknowledged when, and what a read must therefore see.
//!
//! # The load it answers
//!
//! Many reads accept data of some age, and replicas lag by a time that changes.
//!
//! # Without it
//!
//! A read that accepts data of some age would have to see everything: replicas that are 20 ms
//! behind would refuse it, and the primary's slots would serve what two replicas could.
//!
//! # Grounds for its figures
//!
//! The leaseholder is the only one that writes, so it knows when each position was acknowledged.
//! A read of an allowed age must see the newest position that was acknowledged longer ago than
//! that. Marks closer than [`MARK_GAP`] are joined to the earlier moment, which only asks for more
//! than is needed.

use crate::ClockTime;
use ragwort_types::LogPosition;
use std::collections::VecDeque;
use std::time::Duration;

/// Positions acknowledged within this time of a mark are counted to it.
const MARK_GAP: Duration = Duration::from_millis(5);

/// The most marks that are kept. At one mark each 5 ms that is 20 s, beyond any allowed age that
/// users have; an older read asks for the oldest mark.
const MOST_MARKS: usize = 4_096;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PositionMark {
    /// When the first commit of the mark was acknowledged.
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
    /// Begins anew with a primary whose log stands at `start`.
    ///
    /// What was acknowledged before lies in that log, but nobody here knows when; so all reads must
    /// see all of it.
    pub fn begin(&mut self, start: LogPosition) {
        self.start = start;
        self.newest = start;
        self.marks.clear();
    }

    /// Notes that the primary has acknowledged a position.
    pub fn note(&mut self, now: ClockTime, position: LogPosition) {
        if position <= self.newest {
            return;
        }
        self.newest = position;
        match self.marks.back_mut() {
            Some(last) if now.since(last.at) < MARK_GAP => last.position = position,
            _ => self.marks.push_back(PositionMark { at: now, position }),
        }
        if self.marks.len() > MOST_MARKS
            && let Some(oldest) = self.marks.pop_front()
        {
            self.start = oldest.position;
        }
    }

    /// Returns the newest acknowledged position.
    pub fn newest(&self) -> LogPosition {
        self.newest
    }

    /// Returns where the present primary's log stood when it was found.
    pub fn start(&self) -> LogPosition {
        self.start
    }

    /// Returns what a read must see that accepts data of this age.
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
    /// It is the lag of an instance that stands there.
    pub fn lag_of(&self, now: ClockTime, position: LogPosition) -> Duration {
        let passed = self.marks.partition_point(|mark| mark.position <= position);
        match self.marks.get(passed) {
            Some(mark) => now.since(mark.at),
            None => Duration::ZERO,
        }
    }

    /// Returns what a session's last write asks for today.
    ///
    /// A promotion drops what the promoted instance lacked. Nobody holds such a position any more,
    /// and a session that went on asking for it would never read again.
    pub fn clamp(&self, position: LogPosition) -> LogPosition {
        let dropped = position.term < self.start.term && position.index > self.start.index;
        if dropped { self.start } else { position }
    }
}
