//! Weighted fair queueing of slot time between customers.
//!
//! # Problem
//!
//! Several customers want more slots than there are, or one of them sends ten times what its
//! contract grants. Without shares the slots go to whoever sends most: an abusive customer's
//! requests fill the queue, and those of the others wait behind them or are refused.
//!
//! # Approach
//!
//! The customers of this module are sharers: a customer without a share group, or all contracts of
//! one. Each has a virtual time: the slot time that it has received, divided by its contract's
//! share. The customer with the lowest virtual time is served next. Deficit round robin would
//! approximate the same shares, but at two slots for each endpoint a round with a quantum of one
//! long job would serve fifty short requests of one customer in a row.
//!
//! A customer that returns from a pause starts at the group's present virtual time. An unused share
//! is therefore lent to the others and taken back at the next free slot, and nobody accumulates
//! credit for a flood. The virtual time is advanced by the expected run at the dispatch and
//! corrected by the actual run at the end, so work that runs longer than its kind predicts is
//! charged in full.

use crate::time::to_micros;
use std::time::Duration;

/// Scales virtual times so that dividing slot time by a share keeps enough precision in integers.
const VIRTUAL_TIME_SCALE: u64 = 1_024;

/// The virtual times of all customers, by index.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairClock {
    virtual_times: Vec<u64>,
    weights: Vec<u32>,
    system_time: u64,
}

impl FairClock {
    /// Sets a customer's weight; a new customer starts at the group's present virtual time.
    pub(crate) fn set_weight(&mut self, customer: usize, weight: u32) {
        while self.virtual_times.len() <= customer {
            self.virtual_times.push(self.system_time);
            self.weights.push(1);
        }
        self.weights[customer] = weight.max(1);
    }

    /// Returns a customer's virtual time; the customer with the lowest one is served next.
    pub(crate) fn virtual_time(&self, customer: usize) -> u64 {
        self.virtual_times[customer]
    }

    /// Advances the virtual time of a customer that was idle to the group's present one.
    pub(crate) fn resume(&mut self, customer: usize) {
        self.virtual_times[customer] = self.virtual_times[customer].max(self.system_time);
    }

    /// Charges a customer for a request that is expected to run for `expected`.
    pub(crate) fn charge(&mut self, customer: usize, expected: Duration) {
        self.system_time = self.system_time.max(self.virtual_times[customer]);
        self.virtual_times[customer] += self.cost(customer, expected);
    }

    /// Replaces the charge for an expected run by that for the actual run.
    pub(crate) fn correct(&mut self, customer: usize, expected: Duration, actual: Duration) {
        let expected_cost = self.cost(customer, expected);
        let actual_cost = self.cost(customer, actual);
        let virtual_time = self.virtual_times[customer];
        self.virtual_times[customer] = virtual_time
            .saturating_add(actual_cost)
            .saturating_sub(expected_cost);
    }

    fn cost(&self, customer: usize, run: Duration) -> u64 {
        to_micros(run).max(1) * VIRTUAL_TIME_SCALE / u64::from(self.weights[customer])
    }
}
