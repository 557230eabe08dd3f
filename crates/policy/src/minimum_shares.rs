//! Minimum shares of slot time for classes of requests that others go before.
//!
//! # Problem
//!
//! Where requests of one class always go before those of another, a load of the first class that
//! fills all slots keeps the second one waiting until its deadlines pass: a lower priority level,
//! or a costlier kind of operation, is then never served at all.
//!
//! # Approach
//!
//! Each class earns credit with all slot time that is used, at the rate of its minimum share, and
//! pays with the slot time of its own requests. A class with credit left is below its share of the
//! recent slot time, and its requests go first. Slot time that a class receives beyond its share
//! is held against it only up to [`RECENT_SLOT_TIME`], so that its share is back soon after the
//! classes before it take all other slots. A class of which nothing waits gathers no credit.

use crate::time::to_micros;
use std::time::Duration;

/// The slot time over which use beyond a minimum share is remembered.
///
/// A primary with four slots uses it within a quarter of a second, which is less than the time
/// that a caller has left after its latency target (usually 0.5 s or more).
const RECENT_SLOT_TIME: Duration = Duration::from_secs(1);

/// The unit of credit is the hundredth part of a microsecond of slot time, so that a share in
/// percent is a whole number.
const CREDIT_PER_MICRO: i64 = 100;

/// The credits of `N` classes, of which the first goes before all others.
#[derive(Clone, Debug)]
pub(crate) struct MinimumShares<const N: usize> {
    percent: i64,
    credits: [i64; N],
}

impl<const N: usize> MinimumShares<N> {
    /// Creates shares of `percent` of the slot time for each class but the first.
    pub(crate) fn new(percent: u8) -> Self {
        Self {
            percent: i64::from(percent),
            credits: [0; N],
        }
    }

    /// Returns whether a class is below its minimum share.
    pub(crate) fn is_below(&self, class: usize) -> bool {
        self.credits[class] > 0
    }

    /// Records that a request of a class that had no waiting request waits now.
    pub(crate) fn resume(&mut self, class: usize) {
        self.credits[class] = self.credits[class].min(0);
    }

    /// Records the use of slot time by a class.
    pub(crate) fn charge(&mut self, class: usize, run: Duration) {
        let micros = credit_micros(run);
        for (index, credit) in self.credits.iter_mut().enumerate().skip(1) {
            if index == class {
                continue;
            }
            let limit = self.percent * credit_micros(RECENT_SLOT_TIME);
            *credit = (*credit + self.percent * micros).min(limit);
        }
        self.pay(class, micros * (CREDIT_PER_MICRO - self.percent));
    }

    /// Replaces the charge for an expected run by that for the actual run.
    ///
    /// What is returned for a shorter run never lifts a class above its share: a part of the charge
    /// may not have counted.
    pub(crate) fn correct(&mut self, class: usize, expected: Duration, actual: Duration) {
        let missing = credit_micros(actual) - credit_micros(expected);
        let amount = missing * CREDIT_PER_MICRO;
        if amount >= 0 {
            return self.pay(class, amount);
        }
        let limit = self.percent * credit_micros(RECENT_SLOT_TIME);
        let credit = self.credits[class];
        let most = if credit > 0 { limit } else { 0 };
        self.credits[class] = (credit - amount).min(most.max(credit));
    }

    /// Takes an amount from the credit of a class.
    ///
    /// A class that was below its share pays in full, whatever its run costs; what a class receives
    /// beyond its share counts up to a limit.
    fn pay(&mut self, class: usize, amount: i64) {
        if class == 0 {
            return;
        }
        let credit = self.credits[class];
        let paid = credit - amount;
        let floor = -self.percent * credit_micros(RECENT_SLOT_TIME);
        self.credits[class] = match credit > 0 {
            true => paid,
            false => paid.max(floor.min(credit)),
        };
    }
}

fn credit_micros(run: Duration) -> i64 {
    i64::try_from(to_micros(run)).unwrap_or(i64::MAX / 1_000_000)
}
