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
//!
//! A promotion may drop the end of the log. A position has the term of the primary that wrote its
//! entry, so it is held only if no later term began before it. A new primary's position is of an
//! earlier term until it commits a write. The starts of the terms are therefore kept with the terms
//! that the primaries lead, which their reports contain.

use crate::ClockTime;
use ragwort_types::GroupTerm;
use ragwort_types::LogPosition;
use smallvec::SmallVec;
use std::collections::VecDeque;
use std::time::Duration;

/// Interval within which acknowledged positions are joined to one mark.
const MARK_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of marks. At one mark every 5 ms they cover 20 s, beyond every maximum age in
/// use; a read with a higher one must cover the oldest mark.
const MAX_MARKS: usize = 4_096;

/// Maximum number of terms whose starts are kept. Positions of earlier terms are of unknown fate.
const MAX_TERM_STARTS: usize = 16;

/// Whether the present primary's log holds a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PositionFate {
    /// It does.
    Held,
    /// A promotion has dropped the position.
    Dropped,
    /// The start of a later term isn't known.
    Unknown,
}

/// The start of a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TermStart {
    /// The term that the primary leads.
    term: GroupTerm,
    /// The primary's position when it was found. If that is of its own term, the primary had
    /// committed writes already, and the term began before it.
    position: LogPosition,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PositionMark {
    /// When the first position of the mark was acknowledged.
    at: ClockTime,
    position: LogPosition,
}

/// The positions that one primary has acknowledged.
#[derive(Clone, Debug, Default)]
pub struct PositionHistory {
    /// The term that the primary leads.
    term: GroupTerm,
    /// The starts of this term and earlier ones, in ascending order.
    term_starts: SmallVec<[TermStart; 4]>,
    start: LogPosition,
    newest: LogPosition,
    marks: VecDeque<PositionMark>,
}

impl PositionHistory {
    /// Starts again with a primary that leads `term` and was found at the position `start`.
    ///
    /// Everything acknowledged before is in that log, but at unknown times, so all reads must cover
    /// all of it.
    pub fn begin(&mut self, term: GroupTerm, start: LogPosition) {
        self.term = term;
        if self.term_starts.iter().all(|known| known.term < term) {
            if self.term_starts.len() == MAX_TERM_STARTS {
                self.term_starts.remove(0);
            }
            let position = start;
            self.term_starts.push(TermStart { term, position });
        }
        self.start = start;
        self.newest = start;
        self.marks.clear();
    }

    /// Records that the primary has acknowledged a position.
    ///
    /// One of an earlier term comes from an instance that has led before, and may be dropped.
    pub fn note(&mut self, now: ClockTime, position: LogPosition) {
        if position <= self.newest || position.term != self.term {
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

    /// Limits the position of a session's last write to what the primary is known to hold.
    ///
    /// No instance holds a dropped position any more, and reads of its session would wait for it
    /// until the next write. If its fate is unknown, the position at which the primary was found
    /// covers what may be left of it.
    pub fn clamp(&self, position: LogPosition) -> LogPosition {
        match self.fate(position) {
            PositionFate::Held => position,
            PositionFate::Unknown if position.term > self.term => position,
            PositionFate::Dropped | PositionFate::Unknown => self.start,
        }
    }

    /// Returns whether the present primary's log holds an acknowledged position.
    pub fn fate(&self, position: LogPosition) -> PositionFate {
        if position.term > self.term {
            return PositionFate::Unknown;
        }
        let mut term = self.term;
        while position.term < term {
            let known = self.term_starts.iter().find(|start| start.term == term);
            let Some(start) = known.map(|start| start.position) else {
                return PositionFate::Unknown;
            };
            if position.index > start.index {
                return PositionFate::Dropped;
            }
            if start.term >= term {
                return PositionFate::Unknown;
            }
            term = start.term;
        }
        // The last entry before a later term is of an earlier term than the position.
        match position.term > term {
            true => PositionFate::Dropped,
            false => PositionFate::Held,
        }
    }
}
