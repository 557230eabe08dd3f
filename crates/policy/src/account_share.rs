//! One VM's share of one account's limit: its token bucket, its demand and its waiting operations.

use crate::ClockTime;
use crate::account_ledger::holds_no_shares;
use crate::limit_queue::LimitQueue;
use crate::limit_queue::LoanForecast;
use crate::limit_queue::TokenForecast;
use crate::limit_queue::WaitersOutcome;
use ragwort_types::AccountLimit;
use ragwort_types::AccountName;
use ragwort_types::AccountShareRequest;
use ragwort_types::RateShare;
use std::time::Duration;

/// The depth of the token bucket, as the time in which the share fills it.
pub(crate) const SHARE_BUCKET_TIME: Duration = Duration::from_millis(150);

/// The interval at which a share is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// The interval at which a share that far exceeds the demand is reduced.
const RETURN_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// A share of more than this multiple of the demand is given back without waiting for its renewal.
const EXCESS_SHARE_FACTOR: f64 = 2.0;

/// The time constant of the moving average of demand.
pub(crate) const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Demand below this, in operations per second, counts as no use.
pub(crate) const MIN_DEMAND: f64 = 0.01;

/// An account that was unused for this long is dropped.
const IDLE_ACCOUNT_TIMEOUT: Duration = Duration::from_secs(10);

/// The window in which the allowance for operations without a ledger is granted once.
pub(crate) const OFFLINE_ALLOWANCE_WINDOW: Duration = Duration::from_secs(10);

/// The time after which a ledger counts as silent when an operation runs out of time. It answers
/// within a round trip, a few milliseconds.
const SILENCE_LIMIT: Duration = Duration::from_millis(20);

/// One VM's share of one account's limit.
#[derive(Clone, Debug)]
pub(crate) struct AccountShare {
    pub(crate) limit: AccountLimit,
    pub(crate) share: RateShare,
    pub(crate) until: ClockTime,
    /// The tokens in the bucket, in operations.
    pub(crate) tokens: f64,
    pub(crate) refilled: ClockTime,
    /// Single operations that were lent, and until when they may begin.
    pub(crate) operations: u32,
    pub(crate) operations_until: ClockTime,
    /// The demand, in operations per second.
    pub(crate) demand: f64,
    pub(crate) noted: ClockTime,
    /// When the demand has fallen below [`MIN_DEMAND`], without further use.
    pub(crate) unused_since: ClockTime,
    pub(crate) queue: LimitQueue,
    /// The operations that have begun since the process started.
    pub(crate) begun: u32,
    /// The operations that the pending request asks for.
    pub(crate) wanted: u32,
    /// When the ledger expects to lend what it couldn't lend at once.
    pub(crate) loans: Option<LoanForecast>,
    /// When the ledger may be asked again for operations that wait.
    pub(crate) ask_after: ClockTime,
    /// Whether a request to the ledger is pending.
    pub(crate) request_in_flight: bool,
    /// Whether the last request was left unanswered.
    pub(crate) unanswered: bool,
    /// The time that the last answer took.
    pub(crate) round_trip: Duration,
    /// When the ledger was last asked.
    pub(crate) last_asked: Option<ClockTime>,
    /// When the account is scheduled for attention.
    pub(crate) scheduled: Option<ClockTime>,
    /// When the queue next changes without an answer of the ledger.
    pub(crate) queue_due: Option<ClockTime>,
    /// Operations that were admitted without the ledger, and the start of the window in which they
    /// are counted.
    pub(crate) admitted_offline: u32,
    pub(crate) offline_window_start: ClockTime,
}

impl AccountShare {
    pub(crate) fn new(now: ClockTime, limit: AccountLimit) -> Self {
        Self {
            limit,
            share: RateShare::default(),
            until: now,
            tokens: 0.0,
            refilled: now,
            operations: 0,
            operations_until: now,
            demand: 0.0,
            noted: now,
            unused_since: now,
            queue: LimitQueue::default(),
            begun: 0,
            wanted: 0,
            loans: None,
            ask_after: now,
            request_in_flight: false,
            unanswered: false,
            round_trip: Duration::ZERO,
            last_asked: None,
            scheduled: None,
            queue_due: None,
            admitted_offline: 0,
            offline_window_start: now,
        }
    }

    pub(crate) fn refill(&mut self, now: ClockTime) {
        let rate = self.limit.rate() * self.share.fraction();
        let span = now.min(self.until).since(self.refilled);
        let most = rate * SHARE_BUCKET_TIME.as_secs_f64();
        self.tokens = (self.tokens + rate * span.as_secs_f64()).min(most);
        self.refilled = now;
        if now >= self.until {
            self.share = RateShare::default();
            self.tokens = 0.0;
        }
        if now >= self.operations_until {
            self.operations = 0;
        }
    }

    pub(crate) fn decay_demand(&mut self, now: ClockTime) {
        let passed = now.since(self.noted).as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.demand *= (-passed).exp();
        self.noted = now;
    }

    pub(crate) fn take(&mut self, now: ClockTime) -> bool {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
        } else if self.operations > 0 {
            self.operations -= 1;
        } else {
            return false;
        }
        self.begun = self.begun.saturating_add(1);
        true
    }

    /// Takes back an operation that hasn't reached an endpoint.
    ///
    /// No more are kept than the limit allows in [`SHARE_BUCKET_TIME`]: operations that are
    /// returned one after the other would otherwise be kept for as long as that goes on, and begin
    /// at once.
    pub(crate) fn take_back(&mut self, now: ClockTime) {
        self.begun = self.begun.saturating_sub(1);
        let most = (self.limit.rate() * SHARE_BUCKET_TIME.as_secs_f64()).ceil() as u32;
        self.operations = (self.operations + 1).min(most.max(self.operations).max(1));
        self.operations_until = self.operations_until.max(now + SHARE_BUCKET_TIME);
    }

    /// Returns when the ledger must be asked next, if nothing happens until then.
    pub(crate) fn request_time(&self, now: ClockTime) -> Option<ClockTime> {
        if self.request_in_flight {
            return None;
        }
        if !self.queue.is_empty() {
            return Some(self.ask_after);
        }
        if self.share == RateShare::default() || now >= self.until {
            return None;
        }
        let Some(asked) = self.last_asked else {
            return Some(now);
        };
        // A share that is no longer needed here may be needed where the callers have moved to.
        let rate = self.limit.rate() * self.share.fraction();
        let excess = self.demand_falls_below(rate / EXCESS_SHARE_FACTOR);
        let returned = excess.max(asked + RETURN_CHECK_INTERVAL);
        Some(returned.min(asked + RENEWAL_INTERVAL))
    }

    /// Returns when the demand has fallen below `demand`, without further use.
    pub(crate) fn demand_falls_below(&self, demand: f64) -> ClockTime {
        // The logarithm is not a number if both are zero, and infinite if one is; `max` and
        // `unwrap_or` cover these cases.
        let constants = (self.demand / demand).ln().max(0.0);
        let decay = constants * DEMAND_TIME_CONSTANT.as_secs_f64();
        self.noted + Duration::try_from_secs_f64(decay).unwrap_or(Duration::MAX)
    }

    /// Returns when the account is dropped, if it isn't used until then.
    pub(crate) fn drop_time(&self) -> ClockTime {
        self.unused_since + IDLE_ACCOUNT_TIMEOUT
    }

    /// Returns when the account next needs attention: to ask the ledger, or to be dropped.
    ///
    /// A request in flight ends with an answer or without, which schedules the account again.
    pub(crate) fn attention_time(&self, now: ClockTime) -> Option<ClockTime> {
        if self.request_in_flight {
            return None;
        }
        Some(self.request_time(now).unwrap_or_else(|| self.drop_time()))
    }

    pub(crate) fn describe(
        &self,
        now: ClockTime,
        account: &AccountName,
        young: bool,
    ) -> AccountShareRequest {
        // An operation that is lent too late for the one that waits is lost if no other arrives.
        let wants = self.queue.count_after(now + self.round_trip);
        AccountShareRequest {
            account: account.clone(),
            holds: self.share,
            demand: (self.demand * 1_000.0) as u64,
            wants: wants as u32,
            begun: if young { self.begun } else { 0 },
        }
    }

    pub(crate) fn forecast(&self) -> TokenForecast {
        TokenForecast {
            tokens: self.tokens,
            share_rate: self.limit.rate() * self.share.fraction(),
            share_until: self.until,
            loans: self.loans,
        }
    }

    /// Follows a change of the limit. If shares of the new one are too small to be lent, a ledger
    /// lends the whole rate as single operations, so no share may be used beside them.
    pub(crate) fn set_limit(&mut self, limit: AccountLimit) {
        self.limit = limit;
        if holds_no_shares(limit) {
            self.share = RateShare::default();
            self.tokens = 0.0;
        }
    }

    /// Admits waiting operations as far as tokens and lent operations allow.
    pub(crate) fn admit_waiting(&mut self, now: ClockTime, outcome: &mut WaitersOutcome) {
        while !self.queue.is_empty() && self.take(now) {
            outcome.admitted.extend(self.queue.pop());
        }
    }

    /// Settles the waiting operations after an answer of the ledger, or after its absence.
    pub(crate) fn settle_waiting(&mut self, now: ClockTime, outcome: &mut WaitersOutcome) {
        self.wanted = 0;
        self.request_in_flight = false;
        self.admit_waiting(now, outcome);
        let unreachable = self.queue.take_unreachable(now, &self.forecast());
        outcome.refused.extend(unreachable);
    }

    /// Returns whether the ledger has left the last request unanswered, or takes longer than usual.
    pub(crate) fn is_ledger_silent(&self, now: ClockTime) -> bool {
        let asked = self.last_asked.filter(|_| self.request_in_flight);
        self.unanswered || asked.is_some_and(|asked| now.since(asked) >= SILENCE_LIMIT)
    }

    /// Takes an operation from the allowance for those that begin without the ledger.
    pub(crate) fn take_offline(&mut self, now: ClockTime, allowance: u32) -> bool {
        if now.since(self.offline_window_start) >= OFFLINE_ALLOWANCE_WINDOW {
            self.admitted_offline = 0;
            self.offline_window_start = now;
        }
        let spare = self.admitted_offline < allowance;
        self.admitted_offline += u32::from(spare);
        self.begun = self.begun.saturating_add(u32::from(spare));
        spare
    }
}
