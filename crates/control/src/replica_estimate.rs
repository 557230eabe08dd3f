//! How far a replica is taken to be, between the moments at which it shows it.
//!
//! # The load it answers
//!
//! Replicas fall behind by seconds while hundreds of reads a second allow data of some age. Nobody
//! says how far a replica is without taking one of its slots.
//!
//! # Without it
//!
//! A read that is sent to a replica that lacks too much is refused and loses a round trip. One that is
//! kept from a replica that has enough takes one of the primary's few slots, which are a third of all.
//!
//! # Grounds for its figures
//!
//! Each answer tells where the replica's log stands, also a refusal. So a refusal needs no guess: the
//! lag is what the position shows, and the replica is trusted with that position only until a pause
//! is over, which doubles while it makes no progress. Refusals of reads that were sent before the first
//! one came tell the same thing and change nothing. When nothing was heard of a replica for
//! [`TRIAL_AFTER`] its assumed lag halves each [`RELAX_TIME`], so that a read is tried there within a
//! few tenths of a second of its recovery. A lag that each refusal doubled would keep reads away from
//! a replica for seconds after it has caught up.

use crate::ClockTime;
use crate::PositionHistory;
use ragwort_types::LogPosition;
use std::time::Duration;

/// What is assumed of a replica's lag before one was seen.
const FIRST_LAG: Duration = Duration::from_millis(60);

/// What is added to a lag that was seen, since the next one may be longer.
const LAG_MARGIN: Duration = Duration::from_millis(15);

/// The time without any answer after which the assumed lag shrinks.
const TRIAL_AFTER: Duration = Duration::from_millis(100);

/// The time in which it halves then. Each trial that it brings costs one refused read, tried elsewhere
/// within a round trip.
const RELAX_TIME: Duration = Duration::from_millis(100);

/// The longest lag that is told apart; a replica that receives nothing gets there.
const LONGEST_LAG: Duration = Duration::from_secs(30);

/// How long a replica that lacked a position is trusted with what it has shown only.
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// The longest such pause, for a replica that makes no progress.
const LONGEST_PAUSE: Duration = Duration::from_millis(160);

/// The part of the difference to a shorter lag that one answer makes good.
const SHRINK_PART: u32 = 4;

/// How far a replica is assumed to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaEstimate {
    lag: Duration,
    /// When the replica last showed or refused something.
    seen: ClockTime,
    /// What its last answer showed it to hold.
    shown: LogPosition,
    /// A position that it lacked.
    lacked: Option<LackedPosition>,
    /// The pause after the last refusal, and what the replica held then.
    pause: Duration,
    stood: LogPosition,
}

/// A position that a replica lacked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LackedPosition {
    position: LogPosition,
    /// Until when it is taken to lack it still.
    until: ClockTime,
    /// Whether the replica said where it stands; nothing beyond that is assumed then.
    stands: bool,
}

impl Default for ReplicaEstimate {
    fn default() -> Self {
        Self {
            lag: FIRST_LAG,
            seen: ClockTime::default(),
            shown: LogPosition::default(),
            lacked: None,
            pause: FIRST_PAUSE,
            stood: LogPosition::default(),
        }
    }
}

impl ReplicaEstimate {
    /// Returns the lag that is assumed.
    pub fn lag(&self, now: ClockTime) -> Duration {
        let quiet = now.since(self.seen).saturating_sub(TRIAL_AFTER);
        let halvings = quiet.as_secs_f64() / RELAX_TIME.as_secs_f64();
        self.lag.div_f64(2_f64.powf(halvings)).max(LAG_MARGIN)
    }

    /// Returns what the replica is assumed to hold.
    pub fn assume(&self, now: ClockTime, history: &PositionHistory) -> LogPosition {
        let assumed = history.required(now, self.lag(now));
        let lacked = self.lacked.filter(|lacked| now < lacked.until);
        match lacked {
            Some(lacked) if lacked.stands || assumed >= lacked.position => self.shown,
            _ => assumed.max(self.shown),
        }
    }

    /// Learns from an answer that showed where the replica stood.
    pub fn learn(&mut self, now: ClockTime, position: LogPosition, history: &PositionHistory) {
        self.seen = now;
        self.shown = position;
        if position < history.start() {
            // How long it is behind isn't known, but it lacks what this primary began with.
            self.lacked = Some(LackedPosition {
                position: history.start(),
                until: now + self.lag,
                stands: false,
            });
            return;
        }
        self.lacked = self.lacked.filter(|lacked| position < lacked.position);
        let shown = (history.lag_of(now, position) + LAG_MARGIN).min(LONGEST_LAG);
        self.lag = match self.lag.checked_sub(shown) {
            Some(excess) => self.lag - excess / SHRINK_PART,
            None => shown,
        };
    }

    /// Learns that the replica lacked a position that it was assumed to hold.
    ///
    /// `stands` is where the refusal said that the replica stands, which is passed to
    /// [`learn`](Self::learn) first. One that said nothing doubles the lag.
    pub fn refuse(&mut self, now: ClockTime, wanted: LogPosition, stands: Option<LogPosition>) {
        if stands.is_none() {
            // It didn't say where it stands: all that is known is that it's further behind.
            self.lag = (self.lag(now) * 2).min(LONGEST_LAG);
            self.seen = now;
            self.lacked = Some(LackedPosition {
                position: wanted,
                until: now + self.lag,
                stands: false,
            });
            return;
        }
        if self.lacked.is_some_and(|lacked| now < lacked.until) {
            return;
        }
        self.pause = match self.shown > self.stood {
            true => FIRST_PAUSE,
            false => (self.pause * 2).min(LONGEST_PAUSE),
        };
        self.stood = self.shown;
        self.lacked = Some(LackedPosition {
            position: wanted,
            until: now + self.pause,
            stands: true,
        });
    }
}
