//! Admission control and early refusal.
//!
//! # Problem
//!
//! More work arrives than the group can do, for a moment or for hours. Without admission control
//! the queue grows until every request in it is answered after its deadline: all slots are busy and
//! no caller is served. A caller whose request can't be served learns so only when its time is up,
//! too late to do anything else.
//!
//! # Approach
//!
//! The plan of the whole queue shows when each request will start. A request whose expected end
//! lies beyond its deadline is refused at that moment, which leaves the rest of its time to the
//! caller. The expected end includes one mean deviation of its kind's run, because an answer that
//! is slightly late has used a slot and helps nobody.
//!
//! Requests that arrive later overtake a waiting one, so a new request is admitted only if a longer
//! wait than the planned one fits before its deadline: at least twice the planned wait, or 1.1
//! times if the request is urgent. Above that minimum the factor is learned for each customer and
//! class of requests.
//!
//! Refused callers are told to retry after the time in which the present backlog will have been
//! served, plus a random part of the time that the group needs to serve all requests that were
//! refused within the last second. If all of them came back together, they would be refused
//! together again.

use crate::ClockTime;
use crate::RequestTicket;
use crate::queue::LaneKind;
use crate::time::to_micros;
use ragwort_types::Refusal;
use ragwort_types::RefusalCause;
use std::time::Duration;

/// Maximum number of waiting requests in a group, over all customers, which bounds its memory.
pub(crate) const GROUP_QUEUE_LIMIT: usize = 4_096;

/// Urgent requests have an additional queue of the customer's queue limit divided by this.
const URGENT_QUEUE_DIVISOR: u32 = 4;

/// The wait that must fit before the deadline of a new ordinary request, in percent of the planned
/// wait.
const ORDINARY_WAIT_PERCENT: f64 = 200.0;

/// The same minimum for an urgent request, which few others can overtake.
const URGENT_WAIT_PERCENT: f64 = 110.0;

/// The same minimum for a request that can no longer meet its target, which all new ones can
/// overtake.
const MISSED_TARGET_WAIT_PERCENT: f64 = 800.0;

/// The maximum of the learned factor, in percent of the planned wait.
const MAX_WAIT_PERCENT: f64 = 6_400.0;

/// The ratio by which the factor grows when a request waited longer than the factor foresaw.
const WAIT_FACTOR_GROWTH: f64 = 1.15;

/// The ratio by which the factor shrinks when a request waited no longer than the factor foresaw.
///
/// It takes a hundred such steps to undo one growth, so about one request in a hundred waits longer
/// than foreseen.
const WAIT_FACTOR_DECAY: f64 = 0.998_6;

/// The ratio by which the factor shrinks with each request that is refused because of it.
const REFUSAL_DECAY: f64 = 0.999_86;

/// Planned waits shorter than this don't change the factor.
const MIN_LEARNED_WAIT: Duration = Duration::from_millis(5);

/// The learned ratio of the actual wait to the wait that a request's first plan foresaw. It exceeds
/// one because other requests overtake a waiting one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitFactor {
    percent: f64,
    min_percent: f64,
}

impl WaitFactor {
    /// Creates the factor of a class of requests that hasn't been observed yet.
    pub(crate) fn new(lane: LaneKind) -> Self {
        let min_percent = match lane {
            LaneKind {
                target_missed: true,
                ..
            } => MISSED_TARGET_WAIT_PERCENT,
            LaneKind { urgent: true, .. } => URGENT_WAIT_PERCENT,
            LaneKind { .. } => ORDINARY_WAIT_PERCENT,
        };
        Self {
            percent: min_percent,
            min_percent,
        }
    }

    /// Returns the wait that must fit before a new request's deadline, in percent of the planned
    /// wait.
    pub(crate) fn percent(&self) -> u64 {
        self.percent as u64
    }

    /// Updates the factor from a request that was planned to wait for `planned` and waited for
    /// `actual`.
    pub(crate) fn learn(&mut self, planned: Duration, actual: Duration) {
        if planned < MIN_LEARNED_WAIT {
            return;
        }
        let percent = actual.as_secs_f64() / planned.as_secs_f64() * 100.0;
        if percent > self.percent {
            self.percent = (self.percent * WAIT_FACTOR_GROWTH).min(MAX_WAIT_PERCENT);
        } else {
            self.shrink(WAIT_FACTOR_DECAY);
        }
    }

    /// Shrinks the factor slightly after it caused a refusal.
    ///
    /// Otherwise a factor that refuses every new request would never be corrected.
    pub(crate) fn decay_after_refusal(&mut self) {
        self.shrink(REFUSAL_DECAY);
    }

    fn shrink(&mut self, factor: f64) {
        self.percent = (self.percent * factor).max(self.min_percent);
    }
}

/// The minimum time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// The maximum time after which a refused caller is told to retry, without the random part.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The window over which refusals are counted.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);

/// The expected duration of a promotion, during which a group has no primary.
///
/// The target for a promotion is a median under one second.
pub(crate) const EXPECTED_PROMOTION_TIME: Duration = Duration::from_secs(1);

/// A group without a primary is never expected to have one sooner than this, even if its promotion
/// has outlasted the expected duration.
pub(crate) const MIN_REMAINING_PROMOTION: Duration = Duration::from_millis(250);

/// Returns how many waiting requests of one urgency a customer may have.
///
/// Urgent requests have a limit of their own: a queue full of ordinary requests must not keep an
/// urgent one out.
pub(crate) fn queue_limit(limit: u32, urgent: bool) -> usize {
    let room = if urgent {
        urgent_queue_limit(limit)
    } else {
        limit
    };
    usize::try_from(room).unwrap_or(usize::MAX)
}

/// Returns how many urgent requests a customer may have waiting besides its ordinary ones.
pub(crate) fn urgent_queue_limit(limit: u32) -> u32 {
    limit.div_ceil(URGENT_QUEUE_DIVISOR)
}

/// Returns whether a request that starts at `start` is expected to miss its deadline.
pub(crate) fn misses_deadline(
    start: ClockTime,
    expected: Duration,
    margin: Duration,
    deadline: ClockTime,
) -> bool {
    start + expected + margin > deadline
}

/// Returns when a request with a planned wait of `wait` is to be expected to start, if waits last
/// for `percent` of the planned time.
pub(crate) fn scaled_start(now: ClockTime, wait: Duration, percent: u64) -> ClockTime {
    now + Duration::from_micros(to_micros(wait).saturating_mul(percent) / 100)
}

/// Chooses the time after which each refused caller is told to retry.
#[derive(Clone, Debug)]
pub(crate) struct RetryAfterPlanner {
    seed: u64,
    window_start: ClockTime,
    refused_this_window: u64,
    refused_last_window: u64,
}

impl RetryAfterPlanner {
    /// Creates a planner whose random spread depends on `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            seed,
            window_start: ClockTime::default(),
            refused_this_window: 0,
            refused_last_window: 0,
        }
    }

    /// Creates a refusal whose caller may retry after `backlog` at the earliest.
    ///
    /// `run` is the time in which the group serves one request.
    pub(crate) fn refuse(
        &mut self,
        now: ClockTime,
        ticket: RequestTicket,
        cause: RefusalCause,
        backlog: Duration,
        run: Duration,
    ) -> Refusal {
        self.count(now);
        let refused = self.refused_this_window + self.refused_last_window;
        let spread = to_micros(run).saturating_mul(refused);
        let spread = spread.clamp(to_micros(MIN_RETRY_AFTER), to_micros(MAX_RETRY_AFTER));
        let offset = mix(self.seed ^ ticket.0) % spread;
        let wait = backlog.max(MIN_RETRY_AFTER) + Duration::from_micros(offset);
        let wait = wait.min(MAX_RETRY_AFTER + Duration::from_micros(offset));
        Refusal {
            cause,
            come_back_after_ms: to_micros(wait).div_ceil(1_000),
        }
    }

    fn count(&mut self, now: ClockTime) {
        let passed = now.since(self.window_start);
        if passed >= REFUSAL_WINDOW * 2 {
            self.refused_this_window = 0;
        }
        if passed >= REFUSAL_WINDOW {
            self.refused_last_window = self.refused_this_window;
            self.refused_this_window = 0;
            self.window_start = now;
        }
        self.refused_this_window += 1;
    }
}

/// Mixes the bits of a number (SplitMix64), so that neighbouring tickets get unrelated results.
fn mix(input: u64) -> u64 {
    let mut state = input.wrapping_add(0x9e37_79b9_7f4a_7c15);
    state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}
