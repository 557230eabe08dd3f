//! The ledger of an account's limit: what of it each VM may use.
//!
//! # The load it answers
//!
//! An account's callers come by all gateways and work on all groups. Its limit holds for all of them
//! together, in every span of some seconds, also while VMs are cut off, frozen or replaced.
//!
//! # Without it
//!
//! Each VM that leads groups would allow the whole limit, or a fixed part of it: the one lets through
//! several times what was agreed, the other refuses callers whose work happens to lie in one group.
//!
//! # How it holds
//!
//! The leaseholder of one group keeps the ledger, so that the group's lease decides who does. It lends
//! shares of the rate, which end after [`SHARE_TIME`] unless they are renewed, and single operations
//! from what isn't lent. All shares together never exceed the rate. A VM counts a share's time from when
//! it asked, the ledger from when it was asked, so that the ledger's view of it ends last.
//!
//! A ledger that begins doesn't know what its predecessor lent. Until every VM that may hold something
//! has said what it holds, or all of it must have ended, it renews what is declared and lends no more
//! than a part of what is tolerated beyond a limit. Where all VMs have just started anew, nothing has begun
//! since the last of them did, and what the limit allows for that time is there already.

use crate::ClockTime;
use ragwort_types::AccountGrant;
use ragwort_types::AccountLimit;
use ragwort_types::AccountName;
use ragwort_types::AccountNeed;
use ragwort_types::GroupName;
use ragwort_types::PlacementEpoch;
use ragwort_types::RateShare;
use ragwort_types::VmName;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a share of a rate runs unless it is renewed: as long as it takes to replace the VM that lent
/// it, so that callers don't notice.
pub const SHARE_TIME: Duration = Duration::from_secs(2);

/// The longest span over which a limit is counted. Whoever has kept a ledger for so long knows all that
/// counts.
const LONGEST_SPAN: Duration = Duration::from_secs(5);

/// The part of a rate that is never lent as shares, so that a VM that begins to ask finds something.
const UNLENT_PART: f64 = 0.1;

/// What a VM's share allows beyond what was asked for there lately.
const DEMAND_HEADROOM: f64 = 1.3;

/// Below this rate, in operations a second, a VM gets single operations only: what a share allows is
/// kept for a moment, in which it must come to one operation at least.
const LEAST_SHARED_RATE: f64 = 8.0;

/// What a VM holds of an account's rate.
#[derive(Clone, Copy, Debug)]
struct LentShare {
    share: RateShare,
    until: ClockTime,
    /// What is asked for there, in operations a second.
    demand: f64,
}

/// One account's ledger.
#[derive(Clone, Debug, Default)]
struct AccountLedger {
    lent: BTreeMap<VmName, LentShare>,
    /// Single operations that can be lent now.
    operations: f64,
    /// Since when what the limit allows has not been added yet.
    refilled: ClockTime,
    /// Whether what is tolerated after a restart of all VMs was added.
    restarted: bool,
}

impl AccountLedger {
    fn refill(&mut self, now: ClockTime, limit: AccountLimit) {
        self.lent.retain(|_, lent| now < lent.until);
        let unlent = 1.0 - self.lent_fraction(None);
        let gained = limit.rate() * unlent.max(0.0) * now.since(self.refilled).as_secs_f64();
        self.operations = (self.operations + gained).min(limit.burst as f64);
        self.refilled = now;
    }

    fn lent_fraction(&self, but: Option<&VmName>) -> f64 {
        let others = self.lent.iter().filter(|(vm, _)| Some(*vm) != but);
        others.map(|(_, lent)| lent.share.fraction()).sum()
    }

    /// Returns the share that a VM's demand deserves among all demands.
    fn deserved_fraction(&self, vm: &VmName, demand: f64, limit: AccountLimit) -> f64 {
        let rate = limit.rate();
        if demand <= 0.0 || rate <= 0.0 {
            return 0.0;
        }
        let others = self.lent.iter().filter(|(other, _)| *other != vm);
        let whole = demand + others.map(|(_, lent)| lent.demand).sum::<f64>();
        let wanted = demand * DEMAND_HEADROOM / rate;
        let fraction = wanted.min(demand / whole * (1.0 - UNLENT_PART));
        match fraction * rate < LEAST_SHARED_RATE {
            true => 0.0,
            false => fraction,
        }
    }
}

/// A group whose leaseholder this VM is, and with it the keeper of some ledgers.
#[derive(Clone, Debug)]
struct LedgerHome {
    epoch: PlacementEpoch,
    since: ClockTime,
    /// The VMs that have said what they hold, and when their processes started.
    declared: BTreeMap<VmName, ClockTime>,
    /// Since when it is known what all VMs hold.
    known: Option<KnownHolders>,
}

/// How it is known what all VMs hold.
#[derive(Clone, Copy, Debug)]
struct KnownHolders {
    /// Since when nothing began but what is known here.
    since: ClockTime,
    /// Whether all VMs have started anew just before.
    restarted: bool,
}

impl LedgerHome {
    fn learn_holders(&mut self, now: ClockTime, question: &LedgerQuestion<'_>) {
        if self.known.is_some() {
            return;
        }
        let others = question
            .holders
            .iter()
            .filter(|one| *one != question.holder);
        let starts: Option<Vec<ClockTime>> = others
            .map(|one| self.declared.get(one).copied())
            .chain([Some(question.started)])
            .collect();
        let Some(starts) = starts else {
            let known = KnownHolders {
                since: now,
                restarted: false,
            };
            self.known = (now.since(self.since) >= SHARE_TIME).then_some(known);
            return;
        };
        let last = starts.iter().max().copied().unwrap_or(now);
        let restarted = starts.iter().all(|start| now.since(*start) < LONGEST_SPAN);
        self.known = Some(KnownHolders {
            since: match restarted {
                true => last.min(now),
                false => now,
            },
            restarted,
        });
    }
}

/// A VM that asks, and those that may hold something.
#[derive(Clone, Copy, Debug)]
pub struct LedgerQuestion<'a> {
    /// Who asks.
    pub holder: &'a VmName,
    /// When its process started.
    pub started: ClockTime,
    /// The group whose leaseholder keeps the account's ledger.
    pub home: &'a GroupName,
    /// The account's limit.
    pub limit: AccountLimit,
    /// The VMs that may hold something.
    pub holders: &'a [VmName],
}

/// The ledgers that one VM keeps.
#[derive(Clone, Debug, Default)]
pub struct LedgerBook {
    homes: BTreeMap<GroupName, LedgerHome>,
    ledgers: BTreeMap<(GroupName, AccountName), AccountLedger>,
    tolerance: LimitTolerance,
}

/// What is tolerated beyond a limit in a span, over all VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitTolerance {
    /// Operations.
    pub operations: u32,
    /// A part of what the limit allows in the span, in thousandths.
    pub per_mille: u32,
}

impl LimitTolerance {
    /// Returns how many operations beyond a limit are tolerated in a span.
    fn total(&self, limit: AccountLimit) -> f64 {
        let allowed = limit.rate() * LONGEST_SPAN.as_secs_f64() + limit.burst as f64;
        f64::from(self.operations) + allowed * f64::from(self.per_mille) / 1_000.0
    }

    /// Returns how many operations a ledger may lend when it begins: a quarter of what is tolerated.
    fn first_operations(&self, limit: AccountLimit) -> f64 {
        self.total(limit) / 4.0
    }

    /// Returns how many more a ledger may lend when all VMs have started anew: none of them keeps anything
    /// of before.
    fn restart_operations(&self, limit: AccountLimit) -> f64 {
        self.total(limit) / 8.0
    }

    /// Returns how many operations each of so many VMs may let begin while the ledger is out of reach: a
    /// half of what is tolerated for all of them. The rest is what VMs keep unused for a moment.
    pub(crate) fn allowance(&self, limit: AccountLimit, holders: usize) -> u32 {
        let holders = u32::try_from(holders.max(1)).unwrap_or(u32::MAX);
        (self.total(limit) / 2.0 / f64::from(holders)) as u32
    }
}

impl LedgerBook {
    /// Creates a book.
    pub fn new(tolerance: LimitTolerance) -> Self {
        Self {
            tolerance,
            ..Self::default()
        }
    }

    /// Follows which groups this VM leads, and so whose ledgers it keeps.
    ///
    /// An epoch that went on by one is still this VM's: somebody else's term would have taken one, and
    /// the way back another.
    pub fn follow_homes(&mut self, now: ClockTime, led: &BTreeMap<GroupName, PlacementEpoch>) {
        self.homes.retain(|group, home| {
            let epoch = led.get(group);
            epoch.is_some_and(|epoch| epoch.0 <= home.epoch.0 + 1)
        });
        let homes = &self.homes;
        self.ledgers
            .retain(|(group, _), _| homes.contains_key(group));
        for (group, epoch) in led {
            let home = self.homes.entry(group.clone());
            let home = home.or_insert_with(|| LedgerHome {
                epoch: *epoch,
                since: now,
                declared: BTreeMap::new(),
                known: None,
            });
            home.epoch = *epoch;
        }
    }

    /// Notes that a VM has said what it holds of all accounts whose ledger a group's leaseholder keeps.
    /// Returns false if they aren't kept here.
    pub fn note_declared(
        &mut self,
        group: &GroupName,
        holder: &VmName,
        started: ClockTime,
    ) -> bool {
        let Some(home) = self.homes.get_mut(group) else {
            return false;
        };
        home.declared.insert(holder.clone(), started);
        true
    }

    /// Answers what a VM asks of an account; `None` if the account's ledger isn't kept here.
    pub fn lend(
        &mut self,
        now: ClockTime,
        question: LedgerQuestion<'_>,
        need: &AccountNeed,
    ) -> Option<AccountGrant> {
        let LedgerQuestion {
            holder,
            home,
            limit,
            ..
        } = question;
        let place = self.homes.get_mut(home)?;
        place.learn_holders(now, &question);
        let known = place.known;
        let age = now.since(place.since);
        let ledger = self.ledgers.entry((home.clone(), need.account.clone()));
        let ledger = ledger.or_insert_with(|| AccountLedger {
            lent: BTreeMap::new(),
            operations: match age >= LONGEST_SPAN {
                true => limit.burst as f64,
                false => self
                    .tolerance
                    .first_operations(limit)
                    .min(limit.burst as f64),
            },
            refilled: ClockTime::default(),
            restarted: false,
        });
        if let Some(known) = known {
            ledger.refilled = ledger.refilled.max(known.since);
            ledger.refill(now, limit);
            if known.restarted && !ledger.restarted && age < LONGEST_SPAN {
                ledger.restarted = true;
                let more = self.tolerance.restart_operations(limit);
                ledger.operations = (ledger.operations + more).min(limit.burst as f64);
            }
        }
        let demand = need.demand as f64 / 1_000.0;
        let free = RateShare::of_fraction(1.0 - ledger.lent_fraction(Some(holder)));
        let held = need.holds.min(free);
        let deserved = ledger.deserved_fraction(holder, demand, limit);
        let deserved = RateShare::of_fraction(deserved);
        let share = match known {
            Some(_) => deserved.min(free),
            None => deserved.min(held),
        };
        // Until it asks again it may not have heard of a smaller share.
        let lent = LentShare {
            share: share.max(held),
            until: now + SHARE_TIME,
            demand,
        };
        ledger.lent.insert(holder.clone(), lent);
        let operations = f64::from(need.wants)
            .min(ledger.operations.floor())
            .max(0.0);
        ledger.operations -= operations;
        Some(AccountGrant {
            account: need.account.clone(),
            share,
            operations: operations as u32,
        })
    }
}
