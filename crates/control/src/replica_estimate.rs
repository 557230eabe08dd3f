//! Estimate of a replica's position between its answers.
//!
//! Replicas may lag by seconds while hundreds of reads a second accept data of limited age, and a
//! replica's position can't be queried without taking one of its slots. A read sent to a replica
//! that lags too much is refused and loses a round trip. A read kept from a replica that is recent
//! enough takes one of the primary's slots, which are only a third of all slots.
//!
//! Every answer contains the replica's log position, including a refusal. After a refusal the lag
//! is therefore known, and the replica is assumed to hold no more than the reported position during
//! a backoff that doubles while the replica makes no progress. Further refusals of reads that were
//! sent before the first refusal arrived show the same lag and are ignored. If a replica hasn't
//! answered for [`DECAY_DELAY`], its assumed lag halves every [`LAG_HALF_LIFE`], so that a read is
//! tried within a few tenths of a second after it has caught up. Doubling the lag at each refusal
//! instead would keep reads away for seconds after that.

use crate::ClockTime;
use crate::PositionHistory;
use ragwort_types::LogPosition;
use std::time::Duration;

/// Assumed lag before the first answer.
const INITIAL_LAG: Duration = Duration::from_millis(60);

/// Margin added to an observed lag, because the next one may be longer.
const LAG_MARGIN: Duration = Duration::from_millis(15);

/// Time without an answer after which the assumed lag decays.
const DECAY_DELAY: Duration = Duration::from_millis(100);

/// Half-life of the decay. Each trial that it causes costs at most one refused read, which is
/// retried elsewhere within a round trip.
const LAG_HALF_LIFE: Duration = Duration::from_millis(100);

/// Upper limit of the lag; a replica that receives nothing reaches it.
const MAX_LAG: Duration = Duration::from_secs(30);

/// First backoff: the time after a refusal during which a replica is assumed to hold only the
/// position that it reported.
const MIN_BACKOFF: Duration = Duration::from_millis(20);

/// Maximum backoff, for a replica that makes no progress.
const MAX_BACKOFF: Duration = Duration::from_millis(160);

/// Divisor of the difference by which one answer with a shorter lag lowers the assumed lag.
const LAG_DECREASE_DIVISOR: u32 = 4;

/// The estimated position of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaEstimate {
    lag: Duration,
    /// When the replica last answered or refused a read.
    last_answer_at: ClockTime,
    /// The position in its last answer.
    reported_position: LogPosition,
    /// A position that it was found to lack.
    missing: Option<MissingPosition>,
    /// The backoff after the last refusal, and the replica's position at that time.
    backoff: Duration,
    position_at_refusal: LogPosition,
}

/// A position that a replica lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct MissingPosition {
    position: LogPosition,
    /// The time until which the replica is assumed to lack it.
    until: ClockTime,
    /// Whether the refusal contained the replica's position; if so, nothing beyond that position is
    /// assumed.
    is_reported: bool,
}

impl Default for ReplicaEstimate {
    fn default() -> Self {
        Self {
            lag: INITIAL_LAG,
            last_answer_at: ClockTime::default(),
            reported_position: LogPosition::default(),
            missing: None,
            backoff: MIN_BACKOFF,
            position_at_refusal: LogPosition::default(),
        }
    }
}

impl ReplicaEstimate {
    /// Returns the assumed lag.
    pub fn lag(&self, now: ClockTime) -> Duration {
        let silence = now.since(self.last_answer_at).saturating_sub(DECAY_DELAY);
        let halvings = silence.as_secs_f64() / LAG_HALF_LIFE.as_secs_f64();
        self.lag.div_f64(2_f64.powf(halvings)).max(LAG_MARGIN)
    }

    /// Returns whether the replica's last answer showed that it holds a position.
    pub fn is_known_to_hold(&self, position: LogPosition) -> bool {
        self.reported_position.covers_in_term(position)
    }

    /// Returns the position that the replica is assumed to hold.
    pub fn assumed_position(&self, now: ClockTime, history: &PositionHistory) -> LogPosition {
        let assumed = history.required(now, self.lag(now));
        let missing = self.missing.filter(|missing| now < missing.until);
        match missing {
            Some(missing) if missing.is_reported || assumed >= missing.position => {
                self.reported_position
            }
            _ => assumed.max(self.reported_position),
        }
    }

    /// Records an answer that contained the replica's position.
    pub fn record_answer(
        &mut self,
        now: ClockTime,
        position: LogPosition,
        history: &PositionHistory,
    ) {
        self.last_answer_at = now;
        self.reported_position = position;
        if position < history.start() {
            // The lag is unknown, but the replica lacks the position at which this primary began.
            self.missing = Some(MissingPosition {
                position: history.start(),
                until: now + self.lag,
                is_reported: false,
            });
            return;
        }
        self.missing = self.missing.filter(|missing| position < missing.position);
        let observed_lag = (history.lag_of(now, position) + LAG_MARGIN).min(MAX_LAG);
        self.lag = match self.lag.checked_sub(observed_lag) {
            Some(excess) => self.lag - excess / LAG_DECREASE_DIVISOR,
            None => observed_lag,
        };
    }

    /// Records that the replica refused a read because it lacked the position `required`.
    ///
    /// `reported` is the replica's position according to the refusal, which the caller passes to
    /// [`record_answer`](Self::record_answer) first. A refusal without a position doubles the lag.
    pub fn record_refusal(
        &mut self,
        now: ClockTime,
        required: LogPosition,
        reported: Option<LogPosition>,
    ) {
        if reported.is_none() {
            // Without a position, the refusal only shows that the replica lags more than assumed.
            self.lag = (self.lag(now) * 2).min(MAX_LAG);
            self.last_answer_at = now;
            self.missing = Some(MissingPosition {
                position: required,
                until: now + self.lag,
                is_reported: false,
            });
            return;
        }
        if self.missing.is_some_and(|missing| now < missing.until) {
            return;
        }
        self.backoff = match self.reported_position > self.position_at_refusal {
            true => MIN_BACKOFF,
            false => (self.backoff * 2).min(MAX_BACKOFF),
        };
        self.position_at_refusal = self.reported_position;
        self.missing = Some(MissingPosition {
            position: required,
            until: now + self.backoff,
            is_reported: true,
        });
    }
}
