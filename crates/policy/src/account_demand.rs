//! How often each account uses how many connections to an endpoint.
//!
//! # Problem
//!
//! Connections that are bound to accounts are worth keeping by the statements that would otherwise
//! open one. An account that calls often, one statement at a time, needs one connection; a second
//! one is of use to it only when two statements coincide. The time of the last use doesn't show
//! that difference.
//!
//! # Approach
//!
//! Each statement that needs a connection is recorded with the number of connections that its
//! account has in use at that moment. The n-th connection of an account is used by those that meet
//! n - 1 or more of them in use. Their rate, an exponentially decaying count, is the number of
//! openings that the n-th connection saves. It covers coinciding statements, transactions that hold
//! a connection for long, and bursts alike.
//!
//! The state belongs to the leaseholder. A successor learns it from the first statements; until
//! then connections replace each other by recency.

use crate::ClockTime;
use ragwort_types::AccountName;
use std::collections::HashMap;
use std::time::Duration;

/// The half-life of a past statement's weight.
///
/// The rarest of 74 accounts calls an endpoint every 8 to 11 s. With a half-life of a few seconds
/// its rate would look like zero most of the time.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(30);

/// Demand below this, in statements, is dropped.
const MIN_DEMAND: f32 = 0.05;

/// Maximum number of accounts whose demand is recorded for an endpoint, some 100 bytes each.
const MAX_ACCOUNTS: usize = 1_024;

/// Number of connections in use that are told apart; more count as this many.
const MAX_TRACKED_IN_USE: usize = 12;

/// The recent demand of each account for connections to one endpoint.
#[derive(Clone, Debug, Default)]
pub struct EndpointDemand {
    accounts: HashMap<AccountName, UseRecord>,
}

#[derive(Clone, Copy, Debug)]
struct UseRecord {
    /// The decaying count of statements, by the number of connections that they met in use.
    levels: [f32; MAX_TRACKED_IN_USE],
    noted: ClockTime,
}

impl UseRecord {
    fn decay_until(&self, now: ClockTime) -> f32 {
        let halvings = now.since(self.noted).as_secs_f32() / DEMAND_HALF_LIFE.as_secs_f32();
        (-halvings).exp2()
    }

    fn total(&self, now: ClockTime) -> f32 {
        self.levels.iter().sum::<f32>() * self.decay_until(now)
    }
}

impl EndpointDemand {
    /// Records a statement of an account that needs a connection while `in_use` other connections
    /// of the account are in use.
    pub fn note(&mut self, now: ClockTime, account: Option<&AccountName>, in_use: usize) {
        let Some(account) = account else {
            return;
        };
        let level = in_use.min(MAX_TRACKED_IN_USE - 1);
        if let Some(record) = self.accounts.get_mut(account) {
            let decay = record.decay_until(now);
            for weight in &mut record.levels {
                *weight *= decay;
            }
            record.levels[level] += 1.0;
            record.noted = now;
            return;
        }
        self.accounts
            .retain(|_, record| record.total(now) >= MIN_DEMAND);
        if self.accounts.len() >= MAX_ACCOUNTS {
            self.drop_rarest(now);
        }
        let mut levels = [0.0; MAX_TRACKED_IN_USE];
        levels[level] = 1.0;
        let record = UseRecord { levels, noted: now };
        self.accounts.insert(account.clone(), record);
    }

    /// Returns how many times a second the account is expected to use its `number`th connection,
    /// counted from one.
    pub fn rate_of_use(&self, now: ClockTime, account: Option<&AccountName>, number: usize) -> f64 {
        let Some(record) = account.and_then(|account| self.accounts.get(account)) else {
            return 0.0;
        };
        let first = number.saturating_sub(1).min(MAX_TRACKED_IN_USE - 1);
        let weight = record.levels[first..].iter().sum::<f32>() * record.decay_until(now);
        f64::from(weight) * std::f64::consts::LN_2 / DEMAND_HALF_LIFE.as_secs_f64()
    }

    /// Drops the account with the fewest recent statements.
    fn drop_rarest(&mut self, now: ClockTime) {
        let rarest = self
            .accounts
            .iter()
            .min_by(|(name, one), (other_name, other)| {
                let order = one.total(now).total_cmp(&other.total(now));
                order.then_with(|| name.cmp(other_name))
            });
        if let Some(name) = rarest.map(|(name, _)| name.clone()) {
            self.accounts.remove(&name);
        }
    }
}
