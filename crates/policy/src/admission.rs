//! Admission and early refusal.
//!
//! # The load it answers
//!
//! More work arrives than the group can do, for a moment or for hours.
//!
//! # Without it
//!
//! The queue grows until every request in it is answered after its deadline: all slots are busy and
//! no caller is served. A caller whose request has no chance learns so only when its time is up,
//! too late to do anything else.
//!
//! # Grounds for its figures
//!
//! The plan of the whole queue says when each request will start. One whose expected end lies
//! beyond its deadline is refused at that moment, with the whole rest of its time left to the
//! caller. Others that arrive later will overtake it, so a new request is let in only if there is
//! time for a longer wait than the planned one: twice as long at least, a tenth longer if it is
//! urgent, and for each customer and sort of request as much longer as experience says. The
//! expected end includes one mean deviation of its kind's run, because an answer that comes a
//! little late has cost a slot and helps nobody. Refused callers are told to come back when the
//! work that is waiting now will have been done, spread over the time that the group needs to serve
//! all that were refused within the last second: if all came back together, they would be refused
//! together again.

use crate::ClockTime;
use crate::RequestTicket;
use crate::queue::LaneKind;
use crate::time::to_micros;
use ragwort_types::Refusal;
use ragwort_types::RefusalCause;
use std::time::Duration;

/// The most requests that may wait in a group, over all customers; it bounds the memory.
pub(crate) const GROUP_QUEUE_LIMIT: usize = 4_096;

/// The part of a customer's queue limit that urgent requests have besides it.
const URGENT_QUEUE_PART: u32 = 4;

/// The wait for which a new ordinary request must have time at least, in percent of the planned
/// wait.
const ORDINARY_STRETCH_PERCENT: f64 = 200.0;

/// The same for an urgent request, which few can overtake.
const URGENT_STRETCH_PERCENT: f64 = 110.0;

/// The same for a request that can't meet its target any more, which all new ones can overtake.
const OVERDUE_STRETCH_PERCENT: f64 = 800.0;

/// The most for which a new request must have time, in percent of the planned wait.
const MOST_STRETCH_PERCENT: f64 = 6_400.0;

/// The factor by which the stretch grows when a request waited longer.
const STRETCH_GROWTH: f64 = 1.15;

/// The factor by which the stretch shrinks when a request waited no longer.
///
/// It takes a hundred such steps to undo one growth, so about one request in a hundred waits longer
/// than was foreseen.
const STRETCH_DECAY: f64 = 0.998_6;

/// The factor by which the stretch shrinks with each request that it refuses.
const REFUSAL_DECAY: f64 = 0.999_86;

/// Shorter waits teach nothing of how far waits are stretched.
const LEAST_TEACHING_WAIT: Duration = Duration::from_millis(5);

/// How much longer requests wait than their first plan says, because others overtake them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitStretch {
    percent: f64,
    least: f64,
}

impl WaitStretch {
    /// Creates the stretch of requests of which nothing is known yet.
    pub(crate) fn new(lane: LaneKind) -> Self {
        let least = match lane {
            LaneKind { overdue: true, .. } => OVERDUE_STRETCH_PERCENT,
            LaneKind { urgent: true, .. } => URGENT_STRETCH_PERCENT,
            LaneKind { .. } => ORDINARY_STRETCH_PERCENT,
        };
        Self {
            percent: least,
            least,
        }
    }

    /// Returns the wait for which a new request must have time, in percent of the planned wait.
    pub(crate) fn percent(&self) -> u64 {
        self.percent as u64
    }

    /// Learns from a request that waited for `actual` and was planned to wait for `planned`.
    pub(crate) fn learn(&mut self, planned: Duration, actual: Duration) {
        if planned < LEAST_TEACHING_WAIT {
            return;
        }
        let percent = actual.as_secs_f64() / planned.as_secs_f64() * 100.0;
        if percent > self.percent {
            self.percent = (self.percent * STRETCH_GROWTH).min(MOST_STRETCH_PERCENT);
        } else {
            self.shrink(STRETCH_DECAY);
        }
    }

    /// Shrinks the stretch a little because it refused a request.
    ///
    /// Without this a stretch that refuses every new request would never learn that it is too long.
    pub(crate) fn relax(&mut self) {
        self.shrink(REFUSAL_DECAY);
    }

    fn shrink(&mut self, factor: f64) {
        self.percent = (self.percent * factor).max(self.least);
    }
}

/// The shortest time after which a refused caller is told to come back.
const SHORTEST_RETURN: Duration = Duration::from_millis(20);

/// The longest time after which a refused caller is told to come back.
const LONGEST_RETURN: Duration = Duration::from_secs(5);

/// The window over which refusals are counted.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);

/// How long a group without a primary is expected to be so.
///
/// The target for a promotion is a median under one second.
pub(crate) const PROMOTION_TIME: Duration = Duration::from_secs(1);

/// A promotion that has outlasted its target is expected to last this much longer.
pub(crate) const PROMOTION_REST: Duration = Duration::from_millis(250);

/// Returns how many requests of one urgency a customer may have waiting.
///
/// Urgent requests have room of their own: a queue full of ordinary ones must not keep an urgent
/// request out.
pub(crate) fn queue_limit(limit: u32, urgent: bool) -> usize {
    let room = if urgent { urgent_room(limit) } else { limit };
    usize::try_from(room).unwrap_or(usize::MAX)
}

/// Returns how many urgent requests a customer may have waiting besides its ordinary ones.
pub(crate) fn urgent_room(limit: u32) -> u32 {
    limit.div_ceil(URGENT_QUEUE_PART)
}

/// Says whether a request that starts at `start` is expected to miss its deadline.
pub(crate) fn misses_deadline(
    start: ClockTime,
    expected: Duration,
    margin: Duration,
    deadline: ClockTime,
) -> bool {
    start + expected + margin > deadline
}

/// Returns when a request is to be expected to start that is planned to wait for `wait`.
pub(crate) fn stretch_start(now: ClockTime, wait: Duration, percent: u64) -> ClockTime {
    now + Duration::from_micros(to_micros(wait).saturating_mul(percent) / 100)
}

/// Says when refused callers are to come back.
#[derive(Clone, Debug)]
pub(crate) struct ReturnPlanner {
    seed: u64,
    window_start: ClockTime,
    refused_now: u64,
    refused_before: u64,
}

impl ReturnPlanner {
    /// Creates a planner whose spread depends on `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            seed,
            window_start: ClockTime::default(),
            refused_now: 0,
            refused_before: 0,
        }
    }

    /// Creates a refusal whose caller is to come back after `backlog` at the earliest.
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
        let refused = self.refused_now + self.refused_before;
        let spread = to_micros(run).saturating_mul(refused);
        let spread = spread.clamp(to_micros(SHORTEST_RETURN), to_micros(LONGEST_RETURN));
        let offset = mix(self.seed ^ ticket.0) % spread;
        let wait = backlog.max(SHORTEST_RETURN) + Duration::from_micros(offset);
        let wait = wait.min(LONGEST_RETURN + Duration::from_micros(offset));
        Refusal {
            cause,
            come_back_after_ms: to_micros(wait).div_ceil(1_000),
        }
    }

    fn count(&mut self, now: ClockTime) {
        let passed = now.since(self.window_start);
        if passed >= REFUSAL_WINDOW * 2 {
            self.refused_now = 0;
        }
        if passed >= REFUSAL_WINDOW {
            self.refused_before = self.refused_now;
            self.refused_now = 0;
            self.window_start = now;
        }
        self.refused_now += 1;
    }
}

/// Mixes the bits of a number, so that neighbouring tickets get unrelated results.
fn mix(input: u64) -> u64 {
    let mut state = input.wrapping_add(0x9e37_79b9_7f4a_7c15);
    state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}
