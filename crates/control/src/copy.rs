//! A member's copy of the catalog.
//!
//! If a copy went back to an earlier revision, for instance after a restart or a change of the
//! control VM, its member would serve under a contract that operators were told is replaced. A copy
//! therefore applies a delta only if it leads forward from the copy's revision.

use crate::accounts::AccountTable;
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

/// Records that clones share: a clone copies no record, and a change of a map that is shared copies
/// the map but no record of it.
type SharedRecords<Name, Record> = Arc<BTreeMap<Name, Arc<Record>>>;

/// A member's copy of the catalog.
///
/// Each change of the catalog is applied to a clone of the copy that is in use. Clones share the
/// records that haven't changed, so that a change doesn't cost a copy of the whole catalog.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CatalogCopy {
    revision: CatalogRevision,
    contracts: SharedRecords<CustomerName, VersionedContract>,
    members: SharedRecords<VmName, MemberRecord>,
    groups: SharedRecords<GroupName, GroupRecord>,
    terms: SharedRecords<GroupName, GroupTerms>,
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
        self.contracts.get(customer).map(Arc::as_ref)
    }

    /// Iterates over the contracts.
    pub fn contracts(&self) -> impl Iterator<Item = &VersionedContract> {
        self.contracts.values().map(Arc::as_ref)
    }

    /// Returns the client accounts.
    pub fn accounts(&self) -> &AccountTable {
        &self.accounts
    }

    /// Returns a group's terms.
    pub fn group_terms(&self, group: &GroupName) -> Option<&GroupTerms> {
        self.terms.get(group).map(Arc::as_ref)
    }

    /// Returns a member.
    pub fn member(&self, vm: &VmName) -> Option<&MemberRecord> {
        self.members.get(vm).map(Arc::as_ref)
    }

    /// Iterates over the members.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(Arc::as_ref)
    }

    /// Returns a group.
    pub fn group(&self, group: &GroupName) -> Option<&GroupRecord> {
        self.groups.get(group).map(Arc::as_ref)
    }

    /// Iterates over the groups.
    pub fn groups(&self) -> impl Iterator<Item = &GroupRecord> {
        self.groups.values().map(Arc::as_ref)
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
        Arc::make_mut(&mut self.accounts).retain_listed(&accounts.collect());
    }

    fn drop_unlisted_contracts(&mut self, items: &[CatalogItem], changes: &mut CopyChanges) {
        let listed: BTreeSet<&CustomerName> = items
            .iter()
            .filter_map(|item| match item {
                CatalogItem::Contract(held) => Some(&held.contract.customer),
                _ => None,
            })
            .collect();
        let held = self.contracts.keys();
        let gone: Vec<CustomerName> = held
            .filter(|customer| !listed.contains(customer))
            .cloned()
            .collect();
        for customer in gone {
            Arc::make_mut(&mut self.contracts).remove(&customer);
            changes.customers.push(customer);
        }
    }

    fn apply_item(&mut self, item: &CatalogItem, changes: &mut CopyChanges) {
        match item {
            CatalogItem::Contract(contract) => {
                let customer = &contract.contract.customer;
                if put_record(&mut self.contracts, customer, contract) {
                    changes.customers.push(customer.clone());
                }
            }
            CatalogItem::ContractGone(customer) => {
                if remove_record(&mut self.contracts, customer) {
                    changes.customers.push(customer.clone());
                }
            }
            CatalogItem::GroupTerms(terms) => {
                put_record(&mut self.terms, &terms.group, terms);
            }
            CatalogItem::Member(member) => {
                let vm = &member.id.vm;
                if put_record(&mut self.members, vm, member) {
                    changes.vms.push(vm.clone());
                }
            }
            CatalogItem::MemberGone(vm) => {
                if remove_record(&mut self.members, vm) {
                    changes.vms.push(vm.clone());
                }
            }
            CatalogItem::Group(record) => self.apply_group(record, changes),
            CatalogItem::Account(terms) => {
                Arc::make_mut(&mut self.accounts).put((**terms).clone());
            }
            CatalogItem::AccountGone(name) => Arc::make_mut(&mut self.accounts).remove(name),
        }
    }

    fn apply_group(&mut self, record: &GroupRecord, changes: &mut CopyChanges) {
        let group = &record.placement.group;
        if let Some(former) = self.groups.get(group) {
            invariant!(
                former.placement.epoch <= record.placement.epoch && former.term <= record.term,
                "the epoch or term of {group} fell"
            );
        }
        if put_record(&mut self.groups, group, record) {
            changes.groups.push(group.clone());
        }
    }
}

/// Sets a record and returns whether it differs from the one that was held.
fn put_record<Name: Clone + Ord, Record: Clone + PartialEq>(
    records: &mut SharedRecords<Name, Record>,
    name: &Name,
    record: &Record,
) -> bool {
    if records.get(name).is_some_and(|held| **held == *record) {
        return false;
    }
    Arc::make_mut(records).insert(name.clone(), Arc::new(record.clone()));
    true
}

/// Removes a record and returns whether it was held.
fn remove_record<Name: Clone + Ord, Record>(
    records: &mut SharedRecords<Name, Record>,
    name: &Name,
) -> bool {
    records.contains_key(name) && Arc::make_mut(records).remove(name).is_some()
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
