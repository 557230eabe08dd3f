//! A member's copy of the catalog.
//!
//! If a copy went back to an earlier revision, for instance after a restart or a change of the
//! control VM, its member would serve under a contract that operators were told is replaced. A copy
//! therefore applies a delta only if it leads forward from the copy's revision.
//!
//! The tables of a copy are shared: a clone of a copy shares them until one of both is changed, and
//! a delta replaces only the tables that it changes. Who has seen a table finds out by
//! [`Arc::ptr_eq`] whether a later copy still has the same.

use crate::accounts::AccountTable;
use crate::contract_table::ContractTable;
use ragwort_types::CatalogDelta;
use ragwort_types::CatalogItem;
use ragwort_types::CatalogRevision;
use ragwort_types::CustomerName;
use ragwort_types::GroupName;
use ragwort_types::GroupRecord;
use ragwort_types::GroupTerms;
use ragwort_types::MemberRecord;
use ragwort_types::VersionedContract;
use ragwort_types::VmName;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

/// The reason why a delta was not applied; the copy is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeltaError {
    /// The delta builds on a revision that the copy hasn't reached.
    Gap {
        /// The copy's revision.
        held: CatalogRevision,
        /// The revision that the delta builds on.
        from: CatalogRevision,
    },
    /// The delta leads to a revision before the copy's.
    Older {
        /// The copy's revision.
        held: CatalogRevision,
        /// The revision that the delta leads to.
        to: CatalogRevision,
    },
}

impl fmt::Display for DeltaError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { held, from } => {
                write!(
                    formatter,
                    "delta builds on revision {from}, but {held} is held"
                )
            }
            Self::Older { held, to } => {
                write!(
                    formatter,
                    "delta leads to revision {to}, but {held} is held"
                )
            }
        }
    }
}

impl std::error::Error for DeltaError {}

/// The changes that a delta made.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CopyChanges {
    /// Groups whose records differ from before.
    pub groups: Vec<GroupName>,
    /// Customers whose contracts differ from before.
    pub customers: Vec<CustomerName>,
    /// VMs that joined, changed or left.
    pub vms: Vec<VmName>,
    /// Whether the set of admitted callers may have changed.
    pub callers: bool,
}

/// The groups of a copy.
pub type GroupTable = BTreeMap<GroupName, Arc<GroupRecord>>;

/// The members of a copy.
pub type MemberTable = BTreeMap<VmName, Arc<MemberRecord>>;

/// A member's copy of the catalog.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CatalogCopy {
    revision: CatalogRevision,
    contracts: Arc<ContractTable>,
    members: Arc<MemberTable>,
    groups: Arc<GroupTable>,
    terms: Arc<BTreeMap<GroupName, GroupTerms>>,
    accounts: Arc<AccountTable>,
}

impl CatalogCopy {
    /// Creates an empty copy at revision zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision that the copy holds.
    pub fn revision(&self) -> CatalogRevision {
        self.revision
    }

    /// Returns a customer's contract.
    pub fn contract(&self, customer: &CustomerName) -> Option<&VersionedContract> {
        self.contracts.get(customer)
    }

    /// Iterates over the contracts.
    pub fn contracts(&self) -> impl Iterator<Item = &VersionedContract> {
        self.contracts.iter()
    }

    /// Returns the contracts as a table that is shared with other copies.
    pub fn contract_table(&self) -> &Arc<ContractTable> {
        &self.contracts
    }

    /// Returns the client accounts.
    pub fn accounts(&self) -> &AccountTable {
        &self.accounts
    }

    /// Returns the client accounts as a table that is shared with other copies.
    pub fn account_table(&self) -> &Arc<AccountTable> {
        &self.accounts
    }

    /// Returns a group's terms.
    pub fn group_terms(&self, group: &GroupName) -> Option<&GroupTerms> {
        self.terms.get(group)
    }

    /// Returns a member.
    pub fn member(&self, vm: &VmName) -> Option<&MemberRecord> {
        self.members.get(vm).map(Arc::as_ref)
    }

    /// Iterates over the members.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(Arc::as_ref)
    }

    /// Returns the members as a table that is shared with other copies.
    pub fn member_table(&self) -> &Arc<MemberTable> {
        &self.members
    }

    /// Returns a group.
    pub fn group(&self, group: &GroupName) -> Option<&GroupRecord> {
        self.groups.get(group).map(Arc::as_ref)
    }

    /// Iterates over the groups.
    pub fn groups(&self) -> impl Iterator<Item = &GroupRecord> {
        self.groups.values().map(Arc::as_ref)
    }

    /// Returns the groups as a table that is shared with other copies.
    pub fn group_table(&self) -> &Arc<GroupTable> {
        &self.groups
    }

    /// Returns whether a copy has the same groups and members as this one because neither has
    /// changed between them. Copies that were made apart may be equal without that.
    pub fn shares_groups(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.groups, &other.groups) && Arc::ptr_eq(&self.members, &other.members)
    }

    /// Applies a delta or a snapshot and returns the changes.
    ///
    /// A delta that builds on an earlier revision than the copy's is applied too: its items are
    /// complete records, so setting those that the copy already holds again does no harm.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, if the delta leads back or leaves a gap.
    pub fn apply_delta(&mut self, delta: &CatalogDelta) -> Result<CopyChanges, DeltaError> {
        let held = self.revision;
        if delta.to < held {
            return Err(DeltaError::Older { held, to: delta.to });
        }
        if let Some(from) = delta.from
            && from > held
        {
            return Err(DeltaError::Gap { held, from });
        }
        let mut changes = CopyChanges::default();
        if delta.from.is_none() {
            self.drop_unlisted(&delta.items, &mut changes);
        }
        for item in &delta.items {
            self.apply_item(item, &mut changes);
        }
        invariant!(
            delta.to >= self.revision,
            "the copy's revision fell from {held} to {}",
            delta.to
        );
        self.revision = delta.to;
        changes.callers = delta.items.iter().any(affects_callers);
        Ok(changes)
    }

    /// Sets the items of a piece, regardless of the revision.
    pub(crate) fn set_items(&mut self, items: &[CatalogItem]) {
        let mut changes = CopyChanges::default();
        for item in items {
            self.apply_item(item, &mut changes);
        }
    }

    /// Sets the revision to which the items set so far amount.
    pub(crate) fn set_revision(&mut self, revision: CatalogRevision) {
        self.revision = revision;
    }

    /// Removes what a complete snapshot doesn't list, because it was removed while this copy missed
    /// deltas.
    fn drop_unlisted(&mut self, items: &[CatalogItem], changes: &mut CopyChanges) {
        let listed: BTreeSet<&VmName> = items
            .iter()
            .filter_map(|item| match item {
                CatalogItem::Member(member) => Some(&member.id.vm),
                _ => None,
            })
            .collect();
        let unlisted = self.members.keys().filter(|vm| !listed.contains(vm));
        let gone: Vec<VmName> = unlisted.cloned().collect();
        for vm in gone {
            Arc::make_mut(&mut self.members).remove(&vm);
            changes.vms.push(vm);
        }
        self.drop_unlisted_contracts(items, changes);
        let accounts = items.iter().filter_map(|item| match item {
            CatalogItem::Account(terms) => Some(&terms.name),
            _ => None,
        });
        let accounts: BTreeSet<_> = accounts.collect();
        if self
            .accounts
            .iter()
            .any(|held| !accounts.contains(&held.name))
        {
            Arc::make_mut(&mut self.accounts).retain_listed(&accounts);
        }
    }

    fn drop_unlisted_contracts(&mut self, items: &[CatalogItem], changes: &mut CopyChanges) {
        let listed: BTreeSet<&CustomerName> = items
            .iter()
            .filter_map(|item| match item {
                CatalogItem::Contract(held) => Some(&held.contract.customer),
                _ => None,
            })
            .collect();
        for customer in self.contracts.list_others(&listed) {
            Arc::make_mut(&mut self.contracts).remove(&customer);
            changes.customers.push(customer);
        }
    }

    fn apply_item(&mut self, item: &CatalogItem, changes: &mut CopyChanges) {
        match item {
            CatalogItem::Contract(contract) => {
                let customer = &contract.contract.customer;
                if self.contracts.get(customer) != Some(&**contract) {
                    changes.customers.push(customer.clone());
                    Arc::make_mut(&mut self.contracts).put((**contract).clone());
                }
            }
            CatalogItem::ContractGone(customer) => {
                if self.contracts.get(customer).is_some() {
                    Arc::make_mut(&mut self.contracts).remove(customer);
                    changes.customers.push(customer.clone());
                }
            }
            CatalogItem::GroupTerms(terms) => {
                if self.terms.get(&terms.group) != Some(terms) {
                    Arc::make_mut(&mut self.terms).insert(terms.group.clone(), terms.clone());
                }
            }
            CatalogItem::Member(member) => {
                let vm = &member.id.vm;
                if self.member(vm) != Some(member) {
                    changes.vms.push(vm.clone());
                    let members = Arc::make_mut(&mut self.members);
                    members.insert(vm.clone(), Arc::new(member.clone()));
                }
            }
            CatalogItem::MemberGone(vm) => {
                if self.members.contains_key(vm) {
                    Arc::make_mut(&mut self.members).remove(vm);
                    changes.vms.push(vm.clone());
                }
            }
            CatalogItem::Group(record) => self.apply_group(record, changes),
            CatalogItem::Account(terms) => {
                if self.accounts.get(&terms.name) != Some(&**terms) {
                    Arc::make_mut(&mut self.accounts).put((**terms).clone());
                }
            }
            CatalogItem::AccountGone(name) => {
                if self.accounts.get(name).is_some() {
                    Arc::make_mut(&mut self.accounts).remove(name);
                }
            }
        }
    }

    fn apply_group(&mut self, record: &GroupRecord, changes: &mut CopyChanges) {
        let group = &record.placement.group;
        let former = self.group(group);
        if former == Some(record) {
            return;
        }
        if let Some(former) = former {
            invariant!(
                former.placement.epoch <= record.placement.epoch && former.term <= record.term,
                "the epoch or term of {group} fell"
            );
        }
        changes.groups.push(group.clone());
        let groups = Arc::make_mut(&mut self.groups);
        groups.insert(group.clone(), Arc::new(record.clone()));
    }
}

fn affects_callers(item: &CatalogItem) -> bool {
    matches!(
        item,
        CatalogItem::Account(_)
            | CatalogItem::AccountGone(_)
            | CatalogItem::Contract(_)
            | CatalogItem::ContractGone(_)
    )
}
