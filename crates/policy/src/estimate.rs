//! Run time estimation for each kind of requests.
//!
//! # Problem
//!
//! Requests of very different length meet in one queue: lookups of milliseconds, reports of half a
//! second. Every other module needs to know how long a request will hold a slot. With the
//! contract's declaration alone, a kind that is declared as short and runs for half a second would
//! be let into every slot, and whether a request can meet its deadline would be known only after
//! the deadline.
//!
//! # Approach
//!
//! The contract gives the initial estimate; exponentially weighted moving averages of the run time
//! and of its mean deviation correct it. Their gains of one eighth and one quarter are those of
//! TCP's round-trip time estimator: they follow a lasting change within about ten requests and
//! ignore a single outlier. A kind counts as long from 100 ms on, ten times the longest ordinary
//! statement of the two users.

use crate::time::to_micros;
use ragwort_types::CustomerName;
use ragwort_types::KindName;
use ragwort_types::LengthClass;
use std::collections::BTreeMap;
use std::time::Duration;

/// A kind or run of this length or longer counts as long, whatever the contract says.
pub(crate) const LONG_THRESHOLD: Duration = Duration::from_millis(100);

/// A long kind counts as short again below this.
const SHORT_THRESHOLD: Duration = Duration::from_millis(50);

/// The initial estimate of a short kind, in microseconds.
const SHORT_PRIOR_MICROS: i64 = 8_000;

/// The initial estimate of a long kind, in microseconds.
const LONG_PRIOR_MICROS: i64 = 350_000;

/// The mean moves towards each sample by the error divided by this.
const MEAN_GAIN: i64 = 8;

/// The deviation moves towards each absolute error by the difference divided by this.
const DEVIATION_GAIN: i64 = 4;

/// The number of runs after which the initial estimate has negligible weight.
const MATURE_SAMPLES: u32 = 16;

/// The run time estimate of one customer's kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KindEstimate {
    mean_micros: i64,
    deviation_micros: i64,
    samples: u32,
    long: bool,
}

impl KindEstimate {
    fn from_length(length: LengthClass) -> Self {
        let mean_micros = match length {
            LengthClass::Short => SHORT_PRIOR_MICROS,
            LengthClass::Long => LONG_PRIOR_MICROS,
        };
        Self {
            mean_micros,
            deviation_micros: mean_micros / 4,
            samples: 0,
            long: length == LengthClass::Long,
        }
    }

    /// Returns the expected time in a slot.
    pub(crate) fn expected(&self) -> Duration {
        Duration::from_micros(self.mean_micros.max(1).unsigned_abs())
    }

    /// Returns the expected time in a slot of an endpoint that takes `percent` of the usual time.
    pub(crate) fn expected_scaled(&self, percent: u64) -> Duration {
        Duration::from_micros(self.mean_micros.max(1).unsigned_abs() * percent / 100)
    }

    /// Returns the mean absolute deviation of a run from the expected time.
    pub(crate) fn deviation(&self) -> Duration {
        Duration::from_micros(self.deviation_micros.unsigned_abs())
    }

    /// Returns whether the estimate is based on enough runs to compare endpoints by it.
    pub(crate) fn is_mature(&self) -> bool {
        self.samples >= MATURE_SAMPLES
    }

    /// Returns whether the kind counts as long.
    pub(crate) fn is_long(&self) -> bool {
        self.long
    }

    fn learn(&mut self, sample: Duration) {
        let sample_micros = i64::try_from(to_micros(sample)).unwrap_or(i64::MAX / 16);
        if self.samples == 0 {
            self.mean_micros = (self.mean_micros + sample_micros) / 2;
        }
        let error = sample_micros - self.mean_micros;
        self.mean_micros += error / MEAN_GAIN;
        self.deviation_micros += (error.abs() - self.deviation_micros) / DEVIATION_GAIN;
        self.samples = self.samples.saturating_add(1);
        if self.expected() >= LONG_THRESHOLD {
            self.long = true;
        }
        if self.expected() < SHORT_THRESHOLD {
            self.long = false;
        }
    }
}

/// The estimates of all kinds that a group has seen.
#[derive(Clone, Debug, Default)]
pub(crate) struct EstimateTable {
    by_name: BTreeMap<(CustomerName, KindName), usize>,
    estimates: Vec<KindEstimate>,
}

impl EstimateTable {
    /// Returns the index of a kind, adding it if it is new. An index never changes.
    pub(crate) fn index_of(
        &mut self,
        customer: &CustomerName,
        kind: &KindName,
        length: LengthClass,
    ) -> usize {
        let name = (customer.clone(), kind.clone());
        if let Some(index) = self.by_name.get(&name) {
            return *index;
        }
        let index = self.estimates.len();
        self.estimates.push(KindEstimate::from_length(length));
        self.by_name.insert(name, index);
        index
    }

    /// Returns the estimate of a kind.
    pub(crate) fn get(&self, index: usize) -> KindEstimate {
        self.estimates[index]
    }

    /// Returns the customer and kind of every estimate, with its index.
    pub(crate) fn names(&self) -> impl Iterator<Item = (&CustomerName, &KindName, usize)> {
        let names = self.by_name.iter();
        names.map(|((customer, kind), index)| (customer, kind, *index))
    }

    /// Updates the estimate of a kind with the time of one run.
    pub(crate) fn learn(&mut self, index: usize, sample: Duration) {
        self.estimates[index].learn(sample);
    }
}
