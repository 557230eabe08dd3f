//! The expected slot time of whole operations, by which they are ordered under scarcity.
//!
//! # Problem
//!
//! A request that opens a transaction looks as cheap as a single one of its kind, but the
//! statements that follow it take several times its own run, and they go before other work because
//! the transaction holds a connection. A primary that is asked for twice what it can do then fills
//! with transactions, at the expense of several single requests each.
//!
//! # Approach
//!
//! An opening request costs its own run plus the slot time that the rest of such transactions has
//! taken: a moving average for each kind. Costs are grouped into classes of a factor of two. Within
//! a class the order by slack stays in force, so that estimates that differ by a few percent don't
//! decide who is served.

use crate::time::to_micros;
use std::time::Duration;

/// The number of cost classes.
pub(crate) const COST_CLASSES: usize = 8;

/// Operations below this cost are in the first class; each further class is twice as wide.
///
/// The cheapest operations known take 5 ms, the costliest about 350 ms, which the eight
/// classes up to 256 ms and more tell apart.
const FIRST_CLASS_MICROS: u64 = 4_000;

/// The assumed slot time of the rest of a transaction, in runs of its first request, before one has
/// ended. With a lower value, transactions would take the place of single requests until then.
const PRIOR_REST_RUNS: u32 = 4;

/// The mean moves towards each sample by the error divided by this, as that of run times does.
const MEAN_GAIN: i64 = 8;

/// A class of operations whose expected slot times differ by less than a factor of two; the
/// cheapest class is zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CostClass(pub(crate) u8);

impl CostClass {
    /// Returns the class of an expected slot time.
    pub(crate) fn from_cost(cost: Duration) -> Self {
        let ratio = to_micros(cost) / FIRST_CLASS_MICROS;
        let class = u64::BITS - ratio.leading_zeros();
        Self(class.min(COST_CLASSES as u32 - 1) as u8)
    }

    /// Returns the index of the class, which is below [`COST_CLASSES`].
    pub(crate) fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// The learned slot time of the rest of transactions, by the index of the kind that opens them.
#[derive(Clone, Debug, Default)]
pub(crate) struct TransactionCosts {
    rests: Vec<Option<i64>>,
}

impl TransactionCosts {
    /// Returns the expected slot time of a transaction whose first request runs for `run`.
    pub(crate) fn expected(&self, kind: usize, run: Duration) -> Duration {
        match self.rests.get(kind).copied().flatten() {
            Some(micros) => run + Duration::from_micros(micros.unsigned_abs()),
            None => run * (1 + PRIOR_REST_RUNS),
        }
    }

    /// Updates the average with a transaction that has ended, whose statements after the first took
    /// `rest`. `run` is the expected run of its first request.
    pub(crate) fn learn(&mut self, kind: usize, run: Duration, rest: Duration) {
        if self.rests.len() <= kind {
            self.rests.resize(kind + 1, None);
        }
        let prior = to_signed_micros(run * PRIOR_REST_RUNS);
        let mean = self.rests[kind].get_or_insert(prior);
        *mean += (to_signed_micros(rest) - *mean) / MEAN_GAIN;
    }
}

fn to_signed_micros(time: Duration) -> i64 {
    i64::try_from(to_micros(time)).unwrap_or(i64::MAX / 16)
}
