//! Pool management for connections that are bound to client accounts.
//!
//! # Problem
//!
//! More accounts call than an endpoint takes connections, a few of them most of the time. A new
//! connection holds a slot while it opens, for as long as a short statement runs. If a connection
//! were opened for each statement, a third of the slots' time would go to opening. If the
//! connections were shared out evenly, accounts that call once would hold those that the busy ones
//! need. If the least recently used one made way for the next, a burst of rare accounts would evict
//! accounts that call every few seconds.
//!
//! # Approach
//!
//! - **Placement.** A statement goes to an endpoint with an idle connection of its account. Where
//!   no endpoint has one, or several have, the account's preferred endpoint is used
//!   ([`preference_of`]) unless at most one of its slots is free. A rare account thus needs one
//!   connection for its reads; a busy one fills its preferred endpoint and gets connections at the
//!   others.
//! - **Replacement.** Without an idle connection of the account, another one is opened as long as
//!   half of the endpoint's connections aren't held, and up to its [`kept_limit`] as long as all
//!   idle ones are worth keeping. Beyond that it replaces the idle connection that is expected to
//!   be used least often ([`EndpointDemand`]).
//! - **Retention.** A connection that the load doesn't need is closed once validating it costs
//!   more than opening it again would ([`is_worth_keeping`]).
//!
//! The kept limit leaves connections to a successor, which the endpoint needs while it still counts
//! those of a lost leaseholder. Transactions replace idle connections as other statements do, and
//! may go beyond the kept limit if none is idle.

use crate::ClockTime;
use crate::account_demand::EndpointDemand;
use crate::connections::ConnectionAllowance;
use crate::connections::connection_budget;
use ragwort_types::AccountName;
use ragwort_types::InstanceName;
use std::collections::HashMap;
use std::time::Duration;

/// The fraction of an endpoint's connections, as numerator and denominator, that are opened
/// whatever their account's demand. Beyond it, a connection that doesn't pay for its validations is
/// replaced, so that accounts that call once leave room to transactions.
const UNCONDITIONAL_FRACTION: (u32, u32) = (1, 2);

/// How long an account's unused connection is kept in any case, if the VM's connections aren't
/// scarce.
const MIN_KEEP_TIME: Duration = Duration::from_secs(6);

/// The time in which a connection must be expected to be used for its validations to pay off.
///
/// A validation once a second takes 0.2 ms of a control VM's processor, so after 57 s a kept
/// connection has cost as much as the 12 ms of a slot that opening one takes. It is shorter than
/// that, so that the single call of an account doesn't keep a connection.
const BREAK_EVEN_TIME: Duration = Duration::from_secs(40);

/// Number of connections of a VM from which on unused ones are kept for [`MIN_KEEP_TIME`] only.
///
/// Validating as many takes about a fifth of a control VM's processor.
const MAX_HELD_FOR_KEEPING: u32 = 1_024;

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

/// The limits of an endpoint's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolLimits {
    /// The number of connections that the endpoint takes in all.
    pub connections: u32,
    /// The number of statements that it runs at the same time.
    pub slots: u32,
    /// The number of connections that it takes from this leaseholder at present, as far as is
    /// known.
    pub room: u32,
}

/// Returns the number of an endpoint's connections up to which they are opened without closing
/// another one that is worth keeping.
///
/// Beyond those for a successor's probe and first statements, one for each slot is left: while the
/// endpoint counts the connections of a lost leaseholder, its successor can use all slots.
pub fn kept_limit(connections: u32, slots: u32) -> u32 {
    let budget = connection_budget(connections);
    budget.saturating_sub(slots).max(budget / 2)
}

/// Chooses the action for a statement whose account has no idle connection to an endpoint.
///
/// Returns `None` if no connection can be opened.
///
/// # Examples
///
/// ```
/// use ragwort_policy::ClockTime;
/// use ragwort_policy::EndpointDemand;
/// use ragwort_policy::PoolLimits;
/// use ragwort_policy::PoolMissAction;
/// use ragwort_policy::choose_pool_miss_action;
///
/// let limits = PoolLimits { connections: 60, slots: 6, room: 60 };
/// let action = choose_pool_miss_action(ClockTime(0), &[], &EndpointDemand::default(), limits);
/// assert_eq!(action, Some(PoolMissAction::Open));
/// ```
pub fn choose_pool_miss_action(
    now: ClockTime,
    held: &[HeldConnection<'_>],
    demand: &EndpointDemand,
    limits: PoolLimits,
) -> Option<PoolMissAction> {
    let count = u32::try_from(held.len()).unwrap_or(u32::MAX);
    let (part, whole) = UNCONDITIONAL_FRACTION;
    if count < limits.room.min(limits.connections * part / whole) {
        return Some(PoolMissAction::Open);
    }
    let Some((rate, least)) = find_least_needed(now, held, demand) else {
        let budget = connection_budget(limits.connections);
        return (count < limits.room.min(budget)).then_some(PoolMissAction::Open);
    };
    let kept = limits
        .room
        .min(kept_limit(limits.connections, limits.slots));
    match count < kept && pays_for_keeping(rate) {
        true => Some(PoolMissAction::Open),
        false => Some(PoolMissAction::Replace(least.id)),
    }
}

/// Returns whether a connection with this rate of use saves more than its validations cost.
fn pays_for_keeping(rate: f64) -> bool {
    rate * BREAK_EVEN_TIME.as_secs_f64() >= 1.0
}

/// Finds the idle connection that is expected to be used least often, and that rate.
fn find_least_needed<'a>(
    now: ClockTime,
    held: &'a [HeldConnection<'a>],
    demand: &EndpointDemand,
) -> Option<(f64, &'a HeldConnection<'a>)> {
    let mut accounts: HashMap<Option<&AccountName>, AccountShare<'_>> = HashMap::new();
    for one in held {
        let share = accounts.entry(one.account).or_default();
        share.held += 1;
        let older = share
            .oldest
            .is_none_or(|other| one.last_used < other.last_used);
        if one.idle && older {
            share.oldest = Some(one);
        }
    }
    let oldest = accounts.iter().filter_map(|(account, share)| {
        let rate = demand.rate_of_use(now, *account, share.held);
        share.oldest.map(|one| (rate, one))
    });
    oldest.min_by(|(rate, one), (other_rate, other)| {
        let order = rate.total_cmp(other_rate);
        order.then_with(|| (one.last_used, one.id).cmp(&(other.last_used, other.id)))
    })
}

/// An account's connections to an endpoint: their number, and the least recently used idle one.
#[derive(Default)]
struct AccountShare<'a> {
    held: usize,
    oldest: Option<&'a HeldConnection<'a>>,
}

/// Returns whether an idle connection that the load doesn't need is kept for its account.
///
/// It is kept for some seconds after each use, and for as long as it is expected to be used within
/// the time in which its validations cost as much as opening it again. A VM that holds many
/// connections, as after the loss of others, doesn't wait for the latter.
pub fn is_worth_keeping(
    now: ClockTime,
    held: &[HeldConnection<'_>],
    id: u64,
    demand: &EndpointDemand,
    allowance: &ConnectionAllowance,
) -> bool {
    let Some(own) = held.iter().find(|one| one.id == id) else {
        return false;
    };
    if allowance.scarce {
        return false;
    }
    if now.since(own.last_used) < MIN_KEEP_TIME {
        return true;
    }
    if own.account.is_none() || allowance.held >= MAX_HELD_FOR_KEEPING {
        return false;
    }
    let preferred = held.iter().filter(|one| {
        let later = (one.last_used, one.id) > (own.last_used, own.id);
        one.account == own.account && one.id != id && (!one.idle || later)
    });
    let rate = demand.rate_of_use(now, own.account, preferred.count() + 1);
    pays_for_keeping(rate)
}

/// Returns the digest of an instance's name for [`preference_of`] (FNV-1a).
pub(crate) fn digest_instance(instance: &InstanceName) -> u64 {
    let bytes = instance.as_str().bytes();
    bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Returns an account's preference for an endpoint; the endpoint with the highest one is preferred.
///
/// Rendezvous hashing: if an endpoint is lost, only the accounts that preferred it move, and they
/// spread over the others.
pub(crate) fn preference_of(account: u64, instance_digest: u64) -> u64 {
    // The finalizer of SplitMix64: names that differ in one digit would otherwise give similar
    // values for all accounts.
    let mut mixed = account ^ instance_digest;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
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
