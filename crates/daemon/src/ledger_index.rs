//! What the rounds and replies of account limits need of the catalog: the VM that keeps each
//! account's ledger, the groups that are led here, and the VMs that may hold shares.
//!
//! # Problem
//!
//! A VM asks for shares, and lends them, tens of times a second. The catalog has a thousand groups
//! and hardly changes in between. To derive the same answers from it each time took more time than
//! all the rest of the limits' work.
//!
//! # Approach
//!
//! The answers are kept, each until what it derives from changes: digests and home groups until a
//! group is added or removed, keepers and led groups until a placement changes. One pass over each
//! new catalog copy finds out which of them that are.

use ragwort_control::AccountTable;
use ragwort_control::CatalogCopy;
use ragwort_control::digest_text;
use ragwort_types::AccountName;
use ragwort_types::GroupName;
use ragwort_types::GroupPlacement;
use ragwort_types::PlacementEpoch;
use ragwort_types::VmName;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Weak;

/// Multiplier that mixes the hashes of an account and a group into the group's weight: an odd
/// number without a pattern in its bits. All VMs must use the same value.
const WEIGHT_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The leaseholder that keeps the ledgers of a group's accounts, with the epoch of its placement.
#[derive(Clone, Debug, PartialEq, Eq)]
struct LedgerKeeper {
    vm: VmName,
    epoch: PlacementEpoch,
}

impl LedgerKeeper {
    fn matches(&self, placement: &GroupPlacement) -> bool {
        self.epoch == placement.epoch && self.vm == placement.leaseholder
    }
}

impl From<&GroupPlacement> for LedgerKeeper {
    fn from(placement: &GroupPlacement) -> Self {
        Self {
            vm: placement.leaseholder.clone(),
            epoch: placement.epoch,
        }
    }
}

/// How much of a [`LedgerIndex`] has been derived anew since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IndexWork {
    /// The passes over a catalog copy.
    pub passes: u64,
    /// The times at which the digests of all groups were computed.
    pub digests: u64,
    /// The accounts whose home group was searched among all groups.
    pub searches: u64,
}

/// Finds the group whose leaseholder keeps an account's ledger, by rendezvous hashing. When a group
/// is added or removed, only the accounts that it takes or leaves change their keeper.
#[derive(Debug)]
pub struct LedgerIndex {
    own: VmName,
    /// The copy from which the index was derived. It isn't kept alive by this, only its address.
    copy: Weak<CatalogCopy>,
    accounts: Weak<AccountTable>,
    limited: bool,
    keepers: BTreeMap<GroupName, LedgerKeeper>,
    digests: Vec<(GroupName, u64)>,
    homes: HashMap<AccountName, GroupName>,
    holders: Vec<VmName>,
    /// The VMs that lead groups.
    leaders: Vec<VmName>,
    led: BTreeMap<GroupName, PlacementEpoch>,
    work: IndexWork,
}

impl LedgerIndex {
    /// Creates the index of an empty catalog on the VM `own`.
    pub fn new(own: VmName) -> Self {
        Self {
            own,
            copy: Weak::new(),
            accounts: Weak::new(),
            limited: false,
            keepers: BTreeMap::new(),
            digests: Vec::new(),
            homes: HashMap::new(),
            holders: Vec::new(),
            leaders: Vec::new(),
            led: BTreeMap::new(),
            work: IndexWork::default(),
        }
    }

    /// Follows the catalog to a copy. Returns the groups whose leaseholder or epoch has changed, or
    /// that were removed.
    pub fn refresh(&mut self, copy: &Arc<CatalogCopy>) -> Vec<GroupName> {
        if is_same(&self.copy, copy) {
            return Vec::new();
        }
        self.copy = Arc::downgrade(copy);
        self.work.passes += 1;
        self.refresh_accounts(copy.account_table());
        if !list_holders(copy).eq(&self.holders) {
            self.holders = list_holders(copy).cloned().collect();
        }
        self.refresh_keepers(copy)
    }

    fn refresh_accounts(&mut self, accounts: &Arc<AccountTable>) {
        if is_same(&self.accounts, accounts) {
            return;
        }
        self.accounts = Arc::downgrade(accounts);
        self.limited = accounts.iter().any(|terms| terms.limit.is_some());
        self.homes
            .retain(|account, _| accounts.get(account).is_some());
    }

    fn refresh_keepers(&mut self, copy: &CatalogCopy) -> Vec<GroupName> {
        let placements = copy.groups().map(|record| &record.placement);
        let groups = copy.groups().map(|record| &record.placement.group);
        let mut moved = Vec::new();
        if groups.eq(self.keepers.keys()) {
            for (placement, keeper) in placements.zip(self.keepers.values_mut()) {
                if !keeper.matches(placement) {
                    *keeper = placement.into();
                    moved.push(placement.group.clone());
                }
            }
        } else {
            let keepers = placements.map(|placement| (placement.group.clone(), placement.into()));
            let former = std::mem::replace(&mut self.keepers, keepers.collect());
            let changed = self.keepers.iter();
            let changed = changed.filter(|(group, keeper)| former.get(*group) != Some(*keeper));
            moved.extend(changed.map(|(group, _)| group.clone()));
            let removed = former.into_keys();
            moved.extend(removed.filter(|group| !self.keepers.contains_key(group)));
            self.compute_digests();
        }
        if !moved.is_empty() {
            let led = self.keepers.iter().filter(|(_, one)| one.vm == self.own);
            self.led = led.map(|(group, one)| (group.clone(), one.epoch)).collect();
            let leaders: BTreeSet<&VmName> = self.keepers.values().map(|one| &one.vm).collect();
            self.leaders = leaders.into_iter().cloned().collect();
        }
        moved
    }

    fn compute_digests(&mut self) {
        self.work.digests += 1;
        let groups = self.keepers.keys();
        let digests = groups.map(|group| (group.clone(), digest_text(group.as_str())));
        self.digests = digests.collect();
        self.homes.clear();
    }

    /// Returns whether any account has a limit.
    pub fn has_limits(&self) -> bool {
        self.limited
    }

    /// Returns the VMs that may hold shares of accounts' limits.
    pub fn holders(&self) -> &[VmName] {
        &self.holders
    }

    /// Returns the VMs that lead groups, and so may begin operations.
    pub fn leaders(&self) -> &[VmName] {
        &self.leaders
    }

    /// Returns the groups that this VM leads.
    pub fn led_groups(&self) -> &BTreeMap<GroupName, PlacementEpoch> {
        &self.led
    }

    /// Returns the leaseholder of a group.
    pub fn keeper(&self, group: &GroupName) -> Option<&VmName> {
        self.keepers.get(group).map(|keeper| &keeper.vm)
    }

    /// Returns the group whose leaseholder keeps an account's ledger.
    pub fn find_home(&mut self, account: &AccountName) -> Option<&GroupName> {
        if !self.homes.contains_key(account) {
            self.work.searches += 1;
            let home = self.search_home(account)?.clone();
            self.homes.insert(account.clone(), home);
        }
        self.homes.get(account)
    }

    /// Returns the group of [`find_home`](Self::find_home) if it was searched already.
    pub fn known_home(&self, account: &AccountName) -> Option<&GroupName> {
        self.homes.get(account)
    }

    fn search_home(&self, account: &AccountName) -> Option<&GroupName> {
        let own = digest_text(account.as_str());
        let weight = |digest: u64| (own ^ digest).wrapping_mul(WEIGHT_MULTIPLIER);
        let weighed = self.digests.iter();
        let weighed = weighed.map(|(group, digest)| (weight(*digest), group));
        weighed.max().map(|(_, group)| group)
    }

    /// Returns the VM that keeps an account's ledger.
    pub fn find_keeper(&mut self, account: &AccountName) -> Option<&VmName> {
        self.find_home(account)?;
        self.keeper(self.homes.get(account)?)
    }

    /// Returns how much was derived anew.
    pub fn work(&self) -> IndexWork {
        self.work
    }
}

/// Lists the VMs that may lead groups, and so may hold shares of accounts' limits.
fn list_holders(copy: &CatalogCopy) -> impl Iterator<Item = &VmName> {
    let members = copy.members().filter(|member| member.traits.leaseholder);
    members.map(|member| &member.id.vm)
}

/// Returns whether `held` still stands for `shared`. The address of a value that is gone isn't used
/// again while `held` points there.
fn is_same<T>(held: &Weak<T>, shared: &Arc<T>) -> bool {
    std::ptr::eq(held.as_ptr(), Arc::as_ptr(shared))
}
