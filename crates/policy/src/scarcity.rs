//! Scarcity of slots in a group, and the order of operations by cost while it lasts.
//!
//! # Problem
//!
//! Replicas seconds behind leave a primary alone with twice the work that its slots can do. In the
//! order of slack, and with equal shares for each route of the same callers, an operation of 170 ms
//! of slot time is served as readily as one of 5 ms, and thirty callers are refused for it. Equal
//! shares for the routes also make the most frequent one pay alone.
//!
//! # Approach
//!
//! Contracts of one share group are one sharer, so that slot time isn't divided among them. While
//! slots are scarce, the cheapest operations of one level of a share group go first; each costlier
//! class keeps a minimum share of the sharer's slot time ([`MinimumShares`]). Without scarcity the
//! order is by slack, which serves all of them in time.
//!
//! Scarcity begins when a request can't meet its target or is refused for want of slots, and ends
//! when that hasn't happened for [`SCARCITY_HOLD`].

use crate::ClockTime;
use crate::ScarcitySnapshot;
use crate::minimum_shares::MinimumShares;
use crate::operation_cost::COST_CLASSES;
use crate::operation_cost::CostClass;
use crate::priority::LEVEL_COUNT;
use crate::time::to_micros;
use std::time::Duration;

/// Scarcity ends when no request has missed its target or been refused for this time.
///
/// Targets of a few hundred milliseconds show a shortage within less. A shorter time would change
/// the order back and forth while the load is just above capacity.
const SCARCITY_HOLD: Duration = Duration::from_secs(1);

/// The minimum share of slot time of each cost class but the cheapest, in percent of its sharer's.
///
/// At four slots an operation of 170 ms, the costliest usual one, then starts
/// every 1.4 s at least, which is within its callers' deadline of 5 s.
const COST_SHARE_PERCENT: u8 = 3;

/// Watches for scarcity.
#[derive(Clone, Debug, Default)]
pub(crate) struct ScarcityWatch {
    /// When the present or last period of scarcity began, and its latest sign.
    period: Option<ScarcityPeriod>,
    /// The number of periods so far.
    begun: u64,
    /// The total length of the periods that have ended.
    ended_time: Duration,
}

#[derive(Clone, Copy, Debug)]
struct ScarcityPeriod {
    since: ClockTime,
    last_sign: ClockTime,
}

impl ScarcityWatch {
    /// Records that a request couldn't meet its target, or was refused for want of slots.
    pub(crate) fn note_sign(&mut self, now: ClockTime) {
        self.end_if_over(now);
        match &mut self.period {
            Some(period) => period.last_sign = now,
            None => {
                self.begun += 1;
                self.period = Some(ScarcityPeriod {
                    since: now,
                    last_sign: now,
                });
            }
        }
    }

    /// Returns since when slots are scarce; `None` if they aren't.
    pub(crate) fn since(&self, now: ClockTime) -> Option<ClockTime> {
        let period = self.period.filter(|period| !period.is_over(now))?;
        Some(period.since)
    }

    /// Returns the state for dumps and metrics.
    pub(crate) fn snapshot(&self, now: ClockTime) -> ScarcitySnapshot {
        let present = self.period.map_or(Duration::ZERO, |period| {
            now.min(period.end()).since(period.since)
        });
        let lasts = self.since(now).map(|since| now.since(since));
        ScarcitySnapshot {
            lasts_micros: lasts.map(to_micros),
            periods: self.begun,
            total_micros: to_micros(self.ended_time + present),
        }
    }

    fn end_if_over(&mut self, now: ClockTime) {
        if let Some(period) = self.period.filter(|period| period.is_over(now)) {
            self.ended_time += period.end().since(period.since);
            self.period = None;
        }
    }
}

impl ScarcityPeriod {
    fn end(&self) -> ClockTime {
        self.last_sign + SCARCITY_HOLD
    }

    fn is_over(&self, now: ClockTime) -> bool {
        now >= self.end()
    }
}

/// The minimum shares of the cost classes, by sharer and level.
#[derive(Clone, Debug, Default)]
pub(crate) struct CostShares {
    /// By sharer; `None` for a contract without a share group, whose requests aren't ordered by
    /// cost.
    sharers: Vec<Option<Box<LevelCosts>>>,
}

type LevelCosts = [MinimumShares<COST_CLASSES>; LEVEL_COUNT];

impl CostShares {
    /// Orders the operations of a sharer by cost under scarcity.
    pub(crate) fn enable(&mut self, sharer: usize) {
        if self.sharers.len() <= sharer {
            self.sharers.resize(sharer + 1, None);
        }
        self.sharers[sharer].get_or_insert_with(|| {
            Box::new(std::array::from_fn(|_| {
                MinimumShares::new(COST_SHARE_PERCENT)
            }))
        });
    }

    /// Returns the place of a cost class in the order of service under scarcity: zero if the class
    /// is below its minimum share, and otherwise the later the costlier it is.
    pub(crate) fn place(&self, sharer: usize, level: usize, class: CostClass) -> u8 {
        match self.get(sharer) {
            Some(levels) if !levels[level].is_below(class.index()) => class.0 + 1,
            Some(_) | None => 0,
        }
    }

    /// Records that a request of a class that had no waiting request waits now.
    pub(crate) fn resume(&mut self, sharer: usize, level: usize, class: CostClass) {
        if let Some(levels) = self.get_mut(sharer) {
            levels[level].resume(class.index());
        }
    }

    /// Records the use of slot time by a class.
    pub(crate) fn charge(&mut self, sharer: usize, level: usize, class: CostClass, run: Duration) {
        if let Some(levels) = self.get_mut(sharer) {
            levels[level].charge(class.index(), run);
        }
    }

    /// Replaces the charge for an expected run by that for the actual run.
    pub(crate) fn correct(
        &mut self,
        sharer: usize,
        level: usize,
        class: CostClass,
        expected: Duration,
        actual: Duration,
    ) {
        if let Some(levels) = self.get_mut(sharer) {
            levels[level].correct(class.index(), expected, actual);
        }
    }

    fn get(&self, sharer: usize) -> Option<&LevelCosts> {
        self.sharers.get(sharer)?.as_deref()
    }

    fn get_mut(&mut self, sharer: usize) -> Option<&mut LevelCosts> {
        self.sharers.get_mut(sharer)?.as_deref_mut()
    }
}
