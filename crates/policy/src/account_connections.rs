//! Pool management for connections that are bound to client accounts.
//!
//! # Problem
//!
//! More accounts call than an endpoint takes connections, a few of them most of the time. A new
//! connection holds a slot while it opens, for as long as a short statement runs. If a connection
//! were opened for each statement, a third of the slots' time would go to opening. If the
//! connections were shared out evenly, accounts that call once would hold those that the busy ones
//! need.
//!
//! # Approach
//!
//! A statement uses an idle connection of its account. Without one, another connection is opened as
//! long as half of the endpoint's connections aren't held; beyond that it replaces the least
//! recently used idle connection, whichever account that belongs to. The other half is left to
//! transactions, which may hold many at once, and to a successor while the endpoint still counts
//! the connections of a lost leaseholder.

use crate::ClockTime;
use crate::connections::connection_budget;
use ragwort_types::AccountName;
use std::collections::HashMap;
use std::time::Duration;

/// The fraction of an endpoint's connections, as numerator and denominator, that is kept for
/// accounts that may call again.
const KEPT_FRACTION: (u32, u32) = (1, 2);

/// The half-life of a past statement's weight.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(4);

/// Demand below this, in statements, is dropped.
const MIN_DEMAND: f64 = 0.05;

/// A connection that this leaseholder holds to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldConnection<'a> {
    /// Identifies the connection.
    pub id: u64,
    /// The account for which it was opened.
    pub account: Option<&'a AccountName>,
    /// Whether no statement runs on it and no transaction holds it.
    pub idle: bool,
    /// When a statement last ended on it.
    pub last_used: ClockTime,
}

/// The action for a statement whose account has no idle connection to the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolMissAction {
    /// Open another connection.
    Open,
    /// Close the idle connection with this id and open one in its place.
    Replace(u64),
}

/// Chooses the action for a statement whose account has no idle connection to an endpoint.
///
/// The endpoint takes `connections` connections in all, and at present, as far as is known, `room`
/// from this leaseholder. Returns `None` if no connection can be opened.
///
/// # Examples
///
/// ```
/// use ragwort_policy::PoolMissAction;
/// use ragwort_policy::choose_pool_miss_action;
///
/// assert_eq!(choose_pool_miss_action(&[], 60, 60), Some(PoolMissAction::Open));
/// ```
pub fn choose_pool_miss_action(
    held: &[HeldConnection<'_>],
    connections: u32,
    room: u32,
) -> Option<PoolMissAction> {
    let count = u32::try_from(held.len()).unwrap_or(u32::MAX);
    let (part, whole) = KEPT_FRACTION;
    if count < room.min(connections * part / whole) {
        return Some(PoolMissAction::Open);
    }
    let idle = held.iter().filter(|one| one.idle);
    match idle.min_by_key(|one| one.last_used) {
        Some(oldest) => Some(PoolMissAction::Replace(oldest.id)),
        None => (count < room.min(connection_budget(connections))).then_some(PoolMissAction::Open),
    }
}

/// The recent demand of each account: an exponentially decaying count of its statements.
#[derive(Clone, Debug, Default)]
pub struct AccountDemand {
    accounts: HashMap<AccountName, DemandRecord>,
}

#[derive(Clone, Copy, Debug)]
struct DemandRecord {
    weight: f64,
    noted: ClockTime,
}

impl DemandRecord {
    fn at(&self, now: ClockTime) -> f64 {
        let halvings = now.since(self.noted).as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64();
        self.weight * (-halvings).exp2()
    }
}

impl AccountDemand {
    /// Records a statement of an account.
    pub fn note(&mut self, now: ClockTime, account: Option<&AccountName>) {
        let Some(account) = account else {
            return;
        };
        if let Some(record) = self.accounts.get_mut(account) {
            record.weight = record.at(now) + 1.0;
            record.noted = now;
            return;
        }
        self.accounts
            .retain(|_, record| record.at(now) >= MIN_DEMAND);
        let record = DemandRecord {
            weight: 1.0,
            noted: now,
        };
        self.accounts.insert(account.clone(), record);
    }

    /// Chooses the account for which to open a connection ahead: the one with the most statements
    /// for each connection that it would then hold. Returns `None` if no account has called.
    pub fn choose(&self, now: ClockTime, held: &[HeldConnection<'_>]) -> Option<AccountName> {
        let mut counts: HashMap<&AccountName, u32> = HashMap::new();
        for account in held.iter().filter_map(|one| one.account) {
            *counts.entry(account).or_default() += 1;
        }
        let wanted = self.accounts.iter().map(|(account, record)| {
            let count = counts.get(account).copied().unwrap_or(0);
            (account, record.at(now) / f64::from(count + 1))
        });
        // Ties are broken by name, so that the same demand leads to the same choice.
        let most = wanted.max_by(|(name, weight), (other, other_weight)| {
            weight.total_cmp(other_weight).then_with(|| other.cmp(name))
        });
        most.map(|(account, _)| account.clone())
    }
}
