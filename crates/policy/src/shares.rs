//! Shares of slots and connections between customers.
//!
//! # The load it answers
//!
//! Several customers want more slots than there are; or one of them sends ten times what its
//! contract gives it.
//!
//! # Without it
//!
//! The slots go to whoever sends most: an abusive customer's requests fill the queue, and the
//! others' requests wait behind them or are refused.
//!
//! # Grounds for its figures
//!
//! Each customer has an account of the slot time that it was given, divided by its contract's
//! share; the customer with the lowest account goes next. This is deficit round robin with the
//! rounds taken in one step: at two slots an endpoint, a round with a quantum of one long job would
//! serve fifty short requests of one customer in a row. A customer that returns from a pause starts
//! at the present level, so that an unused share is lent to the others and taken back at the very
//! next free slot, and nobody saves up credit for a flood. The account is charged with the expected
//! run at the dispatch and corrected by the actual one, so that work which runs longer than its
//! kind promised is paid for too.

use crate::time::to_micros;
use std::time::Duration;

/// Keeps accounts in whole numbers when slot time is divided by a share.
const ACCOUNT_SCALE: u64 = 1_024;

/// The accounts of all customers, by index.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShareLedger {
    accounts: Vec<u64>,
    weights: Vec<u32>,
    level: u64,
}

impl ShareLedger {
    /// Sets a customer's weight, opening an account if it has none.
    pub(crate) fn set_weight(&mut self, customer: usize, weight: u32) {
        while self.accounts.len() <= customer {
            self.accounts.push(self.level);
            self.weights.push(1);
        }
        self.weights[customer] = weight.max(1);
    }

    /// Returns a customer's account; the lowest goes next.
    pub(crate) fn account(&self, customer: usize) -> u64 {
        self.accounts[customer]
    }

    /// Brings the account of a customer that was idle up to the present level.
    pub(crate) fn resume(&mut self, customer: usize) {
        self.accounts[customer] = self.accounts[customer].max(self.level);
    }

    /// Charges a customer for a request that is expected to run for `expected`.
    pub(crate) fn charge(&mut self, customer: usize, expected: Duration) {
        self.level = self.level.max(self.accounts[customer]);
        self.accounts[customer] += self.cost(customer, expected);
    }

    /// Replaces an expected charge by the actual one.
    pub(crate) fn correct(&mut self, customer: usize, expected: Duration, actual: Duration) {
        let charged = self.cost(customer, expected);
        let owed = self.cost(customer, actual);
        let account = self.accounts[customer];
        self.accounts[customer] = account.saturating_add(owed).saturating_sub(charged);
    }

    fn cost(&self, customer: usize, run: Duration) -> u64 {
        to_micros(run).max(1) * ACCOUNT_SCALE / u64::from(self.weights[customer])
    }
}
