//! Which positions were acknowledged when, and what a read must therefore see.
//!
//! # The load it answers
//!
//! Many reads accept data of some age, replicas lag by a time that changes, and nobody says how far
//! a replica is without taking one of its slots.
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

/// What is assumed of a replica's lag before one was seen.
const FIRST_LAG: Duration = Duration::from_millis(60);

/// What is added to a lag that was seen, since the next one may be longer.
const LAG_MARGIN: Duration = Duration::from_millis(15);

/// The time in which an assumed lag halves while nothing is seen of the replica. Each trial that it
/// brings costs one refused read, tried elsewhere within a round trip.
const RELAX_TIME: Duration = Duration::from_millis(500);

/// The longest lag that is told apart; a replica that receives nothing gets there.
const LONGEST_LAG: Duration = Duration::from_secs(30);

/// How far a replica is assumed to be.
///
/// A refusal for a missing position costs a round trip, and a read that is kept from a replica costs
/// the primary a slot. So the assumed lag doubles with each refusal, and shrinks by an eighth with
/// each answer that shows less. What a replica has refused it is not asked for again before that
/// lag is over, unless it shows that it holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaEstimate {
    lag: Duration,
    /// When the replica last showed or refused something.
    seen: ClockTime,
    /// What its last answers showed it to hold.
    shown: LogPosition,
    /// A position that it lacked, and until when it is taken to lack it still.
    lacked: Option<(LogPosition, ClockTime)>,
}

impl Default for ReplicaEstimate {
    fn default() -> Self {
        Self {
            lag: FIRST_LAG,
            seen: ClockTime::default(),
            shown: LogPosition::default(),
            lacked: None,
        }
    }
}

impl ReplicaEstimate {
    /// Returns the lag that is assumed.
    ///
    /// It halves with each [`RELAX_TIME`] in which nothing was seen. A replica that is taken for far
    /// behind gets no reads, and without reads nobody would notice that it has caught up.
    pub fn lag(&self, now: ClockTime) -> Duration {
        let quiet = now.since(self.seen).as_secs_f64() / RELAX_TIME.as_secs_f64();
        self.lag.div_f64(2_f64.powf(quiet)).max(LAG_MARGIN)
    }

    /// Returns what the replica is assumed to hold.
    pub fn assume(&self, now: ClockTime, history: &PositionHistory) -> LogPosition {
        let assumed = history.required(now, self.lag(now));
        match self.lacked {
            Some((lacked, until)) if now < until && assumed >= lacked => self.shown,
            _ => assumed.max(self.shown),
        }
    }

    /// Learns from an answer that showed where the replica stood.
    pub fn learn(&mut self, now: ClockTime, position: LogPosition, history: &PositionHistory) {
        let assumed = self.lag(now);
        self.shown = position;
        self.seen = now;
        if position < history.start() {
            // How long it is behind isn't known, but it lacks what this primary began with.
            self.lacked = Some((history.start(), now + assumed));
            return;
        }
        if self.lacked.is_some_and(|(lacked, _)| position >= lacked) {
            self.lacked = None;
        }
        let seen = history.lag_of(now, position);
        let shrunk = assumed - assumed / 8;
        self.lag = (seen + LAG_MARGIN).max(shrunk).min(LONGEST_LAG);
    }

    /// Learns that the replica lacked a position that it was assumed to hold.
    pub fn refuse(&mut self, now: ClockTime, wanted: LogPosition) {
        self.lag = (self.lag(now) * 2).min(LONGEST_LAG);
        self.seen = now;
        self.lacked = Some((wanted, now + self.lag));
    }
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
