//! Ledger of an account's rate limit, which grants each VM a share of it for a limited time.
//!
//! # Problem
//!
//! An account's callers use all gateways and work on all groups. Its limit holds for all of them
//! together, in every span of some seconds, also while VMs are cut off, frozen or replaced. If each
//! VM that leads groups allowed the whole limit, several times the agreed rate would get through;
//! with a fixed part for each, callers whose work happens to lie in one group would be refused.
//!
//! # Approach
//!
//! Distributed rate limiting with expiring grants. The leaseholder of one group, the account's home
//! group, keeps the ledger, so the group's lease decides which VM does. It lends shares of the
//! rate, which expire after [`SHARE_LIFETIME`] unless they are renewed, and single operations from
//! what isn't lent. All shares together never exceed the rate. A VM counts a share's lifetime from
//! when it sent the request, the ledger from when it received it, so a share expires at its holder
//! first.
//!
//! A new ledger doesn't know what its predecessor lent. Until every VM that leads a group has
//! declared its shares, or all shares must have expired, it renews declared shares and lends no
//! more than a part of the tolerance beyond the limit. VMs that lead no group can't begin
//! operations, so a lost VM isn't waited for once its groups are placed elsewhere. An account whose
//! shares would be too small to be lent has none, so its whole rate is available from the start.
//!
//! If all VMs have just been restarted, no operation can have begun between the start of the last
//! of them and what their processes report to have begun. What the limit allows for that time is
//! available at once, less what they report.
//!
//! While VMs wait for operations that can't be lent, more of the rate is lent as single operations,
//! because tokens of a share that its VM doesn't need at once are lost.

use crate::ClockTime;
use ragwort_types::AccountGrant;
use ragwort_types::AccountLimit;
use ragwort_types::AccountName;
use ragwort_types::AccountShareRequest;
use ragwort_types::GroupName;
use ragwort_types::PlacementEpoch;
use ragwort_types::RateShare;
use ragwort_types::VmName;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// The lifetime of a share unless it is renewed. It is as long as it takes to replace the VM that
/// lent the share, so that callers don't notice.
pub const SHARE_LIFETIME: Duration = Duration::from_secs(2);

/// The longest span over which a limit is enforced. A ledger that has been kept for that long knows
/// every operation that counts.
pub(crate) const LIMIT_WINDOW: Duration = Duration::from_secs(5);

/// The fraction of a rate that is never lent as shares, so that a VM that starts to ask can get
/// some.
const UNLENT_FRACTION: f64 = 0.1;

/// The same while VMs wait for operations that can't be lent. The tokens of a share that its VM
/// doesn't use at once are lost, where single operations go to those who wait.
const SCARCE_UNLENT_FRACTION: f64 = 0.5;

/// The part of its burst that an account's ledger must have again before it lends shares as usual.
const SCARCITY_END_FRACTION: f64 = 0.1;

/// The ratio of a VM's share to its recent demand.
const DEMAND_HEADROOM_FACTOR: f64 = 1.3;

/// Below this rate, in operations per second, a VM gets single operations only: what a share allows
/// is kept for a moment, in which it must amount to at least one operation.
const MIN_SHARED_RATE_PER_SECOND: f64 = 8.0;

/// How long operations that a VM wanted and didn't get count as demand for the next ones. A VM asks
/// again within this time while they wait.
const MISSING_TTL: Duration = Duration::from_millis(150);

/// Returns whether all of an account's shares would be too small to be lent, so that its whole rate
/// is lent as single operations.
pub(crate) fn holds_no_shares(limit: AccountLimit) -> bool {
    limit.rate() * (1.0 - UNLENT_FRACTION) < MIN_SHARED_RATE_PER_SECOND
}

/// A VM's share of an account's rate.
#[derive(Clone, Copy, Debug)]
struct LentShare {
    share: RateShare,
    until: ClockTime,
    /// The VM's demand, in operations per second.
    demand: f64,
    /// When the VM last asked, and how many operations it wanted and didn't get.
    asked: ClockTime,
    missing: f64,
}

/// The ledger of one account.
#[derive(Clone, Debug, Default)]
struct AccountLedger {
    lent: BTreeMap<VmName, LentShare>,
    /// Single operations that can be lent now.
    operations: f64,
    /// When the operations that the limit allows were last added.
    refilled: ClockTime,
    /// Whether VMs wait for operations that can't be lent.
    scarce: bool,
    /// What is available after a restart of all VMs, less what was begun since.
    restart_operations_left: Option<f64>,
    /// The operations that the VMs had begun before they first asked this ledger.
    begun_before: f64,
    /// The VMs that have asked it while it was new.
    reported: BTreeSet<VmName>,
}

impl AccountLedger {
    fn note_scarcity(&mut self, wants: u32, limit: AccountLimit) {
        self.scarce = match self.operations.floor() < f64::from(wants) {
            true => true,
            false => self.scarce && self.operations < limit.burst as f64 * SCARCITY_END_FRACTION,
        };
    }

    /// Takes note of the operations that a VM's process has begun before it first asked here.
    fn note_begun(&mut self, holder: &VmName, begun: u32) {
        if !self.reported.insert(holder.clone()) {
            return;
        }
        let begun = f64::from(begun);
        self.begun_before += begun;
        if let Some(left) = &mut self.restart_operations_left {
            let taken = begun.min(*left);
            *left -= taken;
            self.operations -= taken;
        }
    }

    /// Adds what the limit allows since the last VM has started, less what was lent since by
    /// another ledger.
    fn add_restart(&mut self, allowed: f64, burst: f64) {
        if self.restart_operations_left.is_some() {
            return;
        }
        let left = (allowed - self.begun_before).max(0.0);
        self.restart_operations_left = Some(left);
        self.operations = (self.operations + left).min(burst);
    }

    fn refill(&mut self, now: ClockTime, limit: AccountLimit) {
        self.lent.retain(|_, lent| now < lent.until);
        let unlent = 1.0 - self.lent_fraction(None);
        let gained = limit.rate() * unlent.max(0.0) * now.since(self.refilled).as_secs_f64();
        self.operations = (self.operations + gained).min(limit.burst as f64);
        self.refilled = now;
    }

    /// Returns how long it takes until `missing` operations can be lent to a VM, after those that
    /// other VMs wait for.
    fn time_to_lend(
        &self,
        now: ClockTime,
        vm: &VmName,
        missing: f64,
        limit: AccountLimit,
    ) -> Duration {
        let others = self.lent.iter();
        let others =
            others.filter(|(other, lent)| *other != vm && now.since(lent.asked) < MISSING_TTL);
        let ahead = others.map(|(_, lent)| lent.missing).sum::<f64>();
        let unlent = (1.0 - self.lent_fraction(None)).max(0.0);
        let seconds = (missing + ahead - self.operations).max(0.0) / (limit.rate() * unlent);
        Duration::try_from_secs_f64(seconds).unwrap_or(LIMIT_WINDOW)
    }

    fn lent_fraction(&self, but: Option<&VmName>) -> f64 {
        let others = self.lent.iter().filter(|(vm, _)| Some(*vm) != but);
        others.map(|(_, lent)| lent.share.fraction()).sum()
    }

    /// Returns the fraction of the rate that a VM's demand entitles it to among all demands.
    fn deserved_fraction(&self, vm: &VmName, demand: f64, limit: AccountLimit) -> f64 {
        let rate = limit.rate();
        if demand <= 0.0 || rate <= 0.0 {
            return 0.0;
        }
        let others = self.lent.iter().filter(|(other, _)| *other != vm);
        let whole = demand + others.map(|(_, lent)| lent.demand).sum::<f64>();
        let wanted = demand * DEMAND_HEADROOM_FACTOR / rate;
        let unlent = match self.scarce {
            true => SCARCE_UNLENT_FRACTION,
            false => UNLENT_FRACTION,
        };
        let fraction = wanted.min(demand / whole * (1.0 - unlent));
        match fraction * rate < MIN_SHARED_RATE_PER_SECOND {
            true => 0.0,
            false => fraction,
        }
    }
}

/// A group whose leaseholder is this VM, which therefore keeps the ledgers of the group's accounts.
#[derive(Clone, Debug)]
struct LedgerHome {
    epoch: PlacementEpoch,
    since: ClockTime,
    /// The VMs that have declared their shares, and when their processes started.
    declared: BTreeMap<VmName, ClockTime>,
    /// Set once the shares of all VMs are known.
    known: Option<KnownHolders>,
}

/// How the shares of all VMs became known.
#[derive(Clone, Copy, Debug)]
struct KnownHolders {
    /// The time since which every begun operation is known here.
    since: ClockTime,
    /// When the last VM has started, if all of them have just been restarted.
    restarted: Option<ClockTime>,
}

impl LedgerHome {
    fn learn_holders(&mut self, now: ClockTime, request: &LedgerRequest<'_>) {
        if self.known.is_some() {
            return;
        }
        let start_of = |vm: &VmName| match vm == request.holder {
            true => Some(request.started),
            false => self.declared.get(vm).copied(),
        };
        let starts: Option<Vec<ClockTime>> = request.holders.iter().map(start_of).collect();
        let led = request.leaders.iter().all(|vm| start_of(vm).is_some());
        if starts.is_none() && !led && now.since(self.since) < SHARE_LIFETIME {
            return;
        }
        let fresh = |start: &ClockTime| now.since(*start) < LIMIT_WINDOW;
        let restarted = starts.filter(|starts| starts.iter().all(fresh));
        let restarted = restarted.and_then(|starts| starts.iter().max().copied());
        self.known = Some(KnownHolders {
            since: restarted.map_or(now, |last| last.max(self.since)),
            restarted,
        });
    }
}

/// The context of a VM's request to a ledger: the VM, the account's home group and limit, and the
/// VMs that may hold shares.
#[derive(Clone, Copy, Debug)]
pub struct LedgerRequest<'a> {
    /// The requesting VM.
    pub holder: &'a VmName,
    /// When the process of the requesting VM started.
    pub started: ClockTime,
    /// The account's home group, whose leaseholder keeps the ledger.
    pub home: &'a GroupName,
    /// The account's limit.
    pub limit: AccountLimit,
    /// The VMs that may hold shares.
    pub holders: &'a [VmName],
    /// Those of them that lead a group, and so can begin operations. The others have handed their
    /// groups over or lost their lease: what they still hold can't be used.
    pub leaders: &'a [VmName],
}

/// The ledgers that one VM keeps.
#[derive(Clone, Debug, Default)]
pub struct LedgerTable {
    homes: BTreeMap<GroupName, LedgerHome>,
    ledgers: BTreeMap<(GroupName, AccountName), AccountLedger>,
    tolerance: LimitTolerance,
}

/// The tolerated excess over a limit within a span, over all VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitTolerance {
    /// The number of operations.
    pub operations: u32,
    /// An additional part of what the limit allows in the span, in thousandths.
    pub per_mille: u32,
}

impl LimitTolerance {
    /// Returns how many operations beyond a limit are tolerated in a span.
    fn total(&self, limit: AccountLimit) -> f64 {
        let allowed = limit.rate() * LIMIT_WINDOW.as_secs_f64() + limit.burst as f64;
        f64::from(self.operations) + allowed * f64::from(self.per_mille) / 1_000.0
    }

    /// Returns how many operations a new ledger may lend at once: a quarter of the tolerance.
    fn initial_operations(&self, limit: AccountLimit) -> f64 {
        self.total(limit) / 4.0
    }

    /// Returns how many more operations a new ledger may lend after a restart of all VMs, when none
    /// of them holds a share from before: an eighth of the tolerance.
    fn restart_operations(&self, limit: AccountLimit) -> f64 {
        self.total(limit) / 8.0
    }

    /// Returns how many operations each of `holders` VMs may admit while the ledger is unreachable:
    /// half of the tolerance for all of them together. The rest covers what VMs keep unused for a
    /// moment.
    pub(crate) fn offline_allowance(&self, limit: AccountLimit, holders: usize) -> u32 {
        let holders = u32::try_from(holders.max(1)).unwrap_or(u32::MAX);
        (self.total(limit) / 2.0 / f64::from(holders)) as u32
    }
}

impl LedgerTable {
    /// Creates an empty table.
    pub fn new(tolerance: LimitTolerance) -> Self {
        Self {
            tolerance,
            ..Self::default()
        }
    }

    /// Sets the groups that this VM leads, and thereby the ledgers that it keeps.
    ///
    /// A group whose epoch has advanced by one still belongs to this VM: another VM's term would
    /// have taken one step, and the way back another.
    pub fn set_led_groups(&mut self, now: ClockTime, led: &BTreeMap<GroupName, PlacementEpoch>) {
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

    /// Records that a VM has declared its shares of all accounts with this home group. Returns
    /// false if their ledgers aren't kept here.
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

    /// Returns whether the ledgers of a group's accounts wait for a VM's declaration.
    pub fn awaits_declaration(&self, group: &GroupName, holder: &VmName) -> bool {
        let home = self.homes.get(group);
        home.is_some_and(|home| home.known.is_none() && !home.declared.contains_key(holder))
    }

    /// Answers a VM's request for an account; returns `None` if the account's ledger isn't kept
    /// here.
    pub fn lend(
        &mut self,
        now: ClockTime,
        request: LedgerRequest<'_>,
        share_request: &AccountShareRequest,
    ) -> Option<AccountGrant> {
        let LedgerRequest {
            holder,
            home,
            limit,
            ..
        } = request;
        let place = self.homes.get_mut(home)?;
        place.learn_holders(now, &request);
        let known = place.known;
        let age = now.since(place.since);
        let ledger = self
            .ledgers
            .entry((home.clone(), share_request.account.clone()));
        let ledger = ledger.or_insert_with(|| AccountLedger {
            lent: BTreeMap::new(),
            operations: match age >= LIMIT_WINDOW {
                true => limit.burst as f64,
                false => self
                    .tolerance
                    .initial_operations(limit)
                    .min(limit.burst as f64),
            },
            refilled: ClockTime::default(),
            scarce: false,
            restart_operations_left: None,
            begun_before: 0.0,
            reported: BTreeSet::new(),
        });
        // No VM can hold a share of a small limit. Its callers would be refused for as long as one
        // VM is silent.
        let refills_since = match known {
            Some(known) => Some(known.since),
            None => holds_no_shares(limit).then_some(place.since),
        };
        if let Some(since) = refills_since {
            ledger.refilled = ledger.refilled.max(since);
            ledger.refill(now, limit);
        }
        if age < LIMIT_WINDOW {
            ledger.note_begun(holder, share_request.begun);
        }
        if let Some(last) = known.and_then(|known| known.restarted)
            && age < LIMIT_WINDOW
        {
            let idle_time = place.since.since(last).as_secs_f64();
            let allowed = limit.rate() * idle_time + self.tolerance.restart_operations(limit);
            ledger.add_restart(allowed, limit.burst as f64);
        }
        ledger.note_scarcity(share_request.wants, limit);
        let demand = share_request.demand as f64 / 1_000.0;
        let free = RateShare::from_fraction(1.0 - ledger.lent_fraction(Some(holder)));
        let held = share_request.holds.min(free);
        let deserved = ledger.deserved_fraction(holder, demand, limit);
        let deserved = RateShare::from_fraction(deserved);
        let share = match known {
            Some(_) => deserved.min(free),
            None => deserved.min(held),
        };
        let wanted = f64::from(share_request.wants);
        let operations = wanted.min(ledger.operations.floor()).max(0.0);
        ledger.operations -= operations;
        let missing = wanted - operations;
        // Until the VM asks again, it may not have received this answer and still use its old
        // share, so the larger of the two is counted.
        let lent = LentShare {
            share: share.max(held),
            until: now + SHARE_LIFETIME,
            demand,
            asked: now,
            missing,
        };
        ledger.lent.insert(holder.clone(), lent);
        // Before all shares are known, the rest may be lent as soon as they are.
        let rest_after = (missing > 0.0 && refills_since.is_some())
            .then(|| ledger.time_to_lend(now, holder, missing, limit));
        Some(AccountGrant {
            account: share_request.account.clone(),
            share,
            operations: operations as u32,
            rest_after_ms: rest_after.map(|rest| rest.as_millis() as u64),
        })
    }
}
