//! Application of configuration documents to the catalog.
//!
//! Operators may send documents concurrently, and resend one after its answer was lost. The highest
//! version wins, whichever arrives last: a document that isn't newer changes nothing and is
//! answered as accepted, because its operator needn't act.
//!
//! A configuration of thousands of contracts is megabytes, while most changes concern a few of them.
//! The VM that receives a document therefore proposes the difference from its copy of the catalog.

use crate::catalog::CatalogState;
use crate::catalog::StampedItem;
use crate::copy::CatalogCopy;
use ragwort_types::CatalogKey;
use ragwort_types::CatalogOutcome;
use ragwort_types::CatalogRevision;
use ragwort_types::ContractDocument;
use ragwort_types::CustomerContract;
use ragwort_types::CustomerName;
use ragwort_types::DocumentAcceptance;
use ragwort_types::DocumentCopy;
use ragwort_types::DocumentFault;
use ragwort_types::DocumentUpdate;
use ragwort_types::DocumentVersion;
use ragwort_types::GroupName;
use ragwort_types::GroupTerms;
use std::collections::BTreeSet;

/// Maximum number of retired contracts that are kept for deltas; a member that missed more gets a
/// complete snapshot. A member that missed a thousand of them was disconnected for hours.
const MAX_RETIRED_CONTRACTS: usize = 1_024;

impl CatalogState {
    /// Returns the document in force.
    pub fn document(&self) -> Option<&DocumentCopy> {
        self.document.as_ref()
    }

    /// Returns a group's terms.
    pub fn group_terms(&self, group: &GroupName) -> Option<&GroupTerms> {
        self.terms.get(group).map(|terms| &terms.item)
    }

    /// Applies a document, unless one with at least the same version is in force.
    pub(crate) fn apply_document(
        &mut self,
        revision: CatalogRevision,
        document: &ContractDocument,
    ) -> CatalogOutcome {
        let faults = document.find_faults();
        if !faults.is_empty() {
            return refuse_document(&faults);
        }
        if let Some(accepted) = self.find_later_document(document.version) {
            return accepted;
        }
        self.retire_unlisted(revision, document);
        self.put_document(revision, document)
    }

    /// Applies a document by its difference from the configuration at an earlier revision, unless
    /// the configuration has changed since or a document with at least the same version is in
    /// force.
    ///
    /// The catalog is then the same as if the whole document had been applied.
    pub(crate) fn update_document(
        &mut self,
        revision: CatalogRevision,
        update: &DocumentUpdate,
    ) -> CatalogOutcome {
        let document = &update.changed;
        if let Some(accepted) = self.find_later_document(document.version) {
            return accepted;
        }
        if self.last_configured() > update.base {
            return CatalogOutcome::Stale;
        }
        let mut faults = document.find_faults();
        faults.retain(|fault| match fault {
            DocumentFault::UnknownGroup(_, group) => self.group_terms(group).is_none(),
            _ => true,
        });
        if !faults.is_empty() {
            return refuse_document(&faults);
        }
        for customer in &update.removed {
            if self.contract(customer).is_some() {
                self.retire_contract(revision, customer.clone());
            }
        }
        self.put_document(revision, document)
    }

    /// Returns the answer to a document if one with at least the same version is in force.
    fn find_later_document(&self, version: DocumentVersion) -> Option<CatalogOutcome> {
        let held = self.document.as_ref()?;
        let in_force = held.version;
        (in_force >= version).then_some(CatalogOutcome::DocumentAccepted(DocumentAcceptance {
            in_force,
        }))
    }

    /// Returns the revision of the last change of a contract, a group's terms or an account.
    fn last_configured(&self) -> CatalogRevision {
        let terms = self.terms.values().map(|terms| terms.stamp);
        let accounts = self.accounts.values().map(|account| account.stamp);
        let contracts = self.contract_stamps.values().chain(self.retired.values());
        let stamps = contracts.chain(self.gone_accounts.values()).copied();
        stamps
            .chain(terms)
            .chain(accounts)
            .max()
            .unwrap_or_default()
    }

    fn put_document(
        &mut self,
        revision: CatalogRevision,
        document: &ContractDocument,
    ) -> CatalogOutcome {
        self.document = Some(DocumentCopy {
            version: document.version,
            source: document.source.clone(),
        });
        self.put_contracts(revision, document);
        self.replace_terms(revision, &document.groups);
        self.replace_accounts(revision, document);
        let in_force = document.version;
        CatalogOutcome::DocumentAccepted(DocumentAcceptance { in_force })
    }

    /// Retires the contracts that a document doesn't list.
    fn retire_unlisted(&mut self, revision: CatalogRevision, document: &ContractDocument) {
        let listed: BTreeSet<&CustomerName> = document
            .contracts
            .iter()
            .map(|contract| &contract.customer)
            .collect();
        let unlisted = self.contracts().map(|held| &held.contract.customer);
        let gone: Vec<CustomerName> = unlisted
            .filter(|customer| !listed.contains(customer))
            .cloned()
            .collect();
        for customer in gone {
            self.retire_contract(revision, customer);
        }
    }

    /// Puts the document's contracts in force.
    ///
    /// Unchanged contracts aren't touched, so that a change of one contract among 1,400 reaches the
    /// members as one item.
    fn put_contracts(&mut self, revision: CatalogRevision, document: &ContractDocument) {
        let change_id = document.version.to_change_id();
        for contract in &document.contracts {
            if self.ledger.put_contract(contract, change_id) {
                let customer = contract.customer.clone();
                self.forget_retired(&customer);
                let former = self.contract_stamps.insert(customer.clone(), revision);
                self.note_change(revision, former, CatalogKey::Contract(customer));
            }
        }
    }

    fn retire_contract(&mut self, revision: CatalogRevision, customer: CustomerName) {
        self.ledger.drop_contract(&customer);
        if let Some(stamp) = self.contract_stamps.remove(&customer) {
            self.forget_change(stamp, &CatalogKey::Contract(customer.clone()));
        }
        self.retired.insert(customer.clone(), revision);
        self.note_change(revision, None, CatalogKey::Retired(customer));
        while self.retired.len() > MAX_RETIRED_CONTRACTS {
            let oldest = self.retired.iter().min_by_key(|(_, stamp)| **stamp);
            let Some((customer, stamp)) = oldest else {
                return;
            };
            self.delta_floor = self.delta_floor.max(*stamp);
            let customer = customer.clone();
            self.forget_retired(&customer);
        }
    }

    pub(crate) fn forget_retired(&mut self, customer: &CustomerName) {
        if let Some(stamp) = self.retired.remove(customer) {
            self.forget_change(stamp, &CatalogKey::Retired(customer.clone()));
        }
    }

    /// Sets the terms of the document's groups.
    ///
    /// The terms of a group that the document omits stay: no contract names the group any more, but
    /// its open transactions still end according to them.
    fn replace_terms(&mut self, revision: CatalogRevision, groups: &[GroupTerms]) {
        for terms in groups {
            if self.group_terms(&terms.group) == Some(terms) {
                continue;
            }
            let stamped = StampedItem {
                stamp: revision,
                item: terms.clone(),
            };
            let former = self.terms.insert(terms.group.clone(), stamped);
            let former = former.map(|former| former.stamp);
            self.note_change(revision, former, CatalogKey::Terms(terms.group.clone()));
        }
    }
}

impl CatalogCopy {
    /// Returns a document's difference from the configuration of this copy; `None` if the copy is
    /// empty.
    ///
    /// A gateway's copy has no terms of groups, so that all of them are part of its difference.
    pub fn compare_document(&self, document: &ContractDocument) -> Option<DocumentUpdate> {
        if self.revision() == CatalogRevision(0) {
            return None;
        }
        let is_new = |contract: &&CustomerContract| {
            let held = self.contract(&contract.customer);
            held.is_none_or(|held| held.contract != **contract)
        };
        let listed: BTreeSet<&CustomerName> = document
            .contracts
            .iter()
            .map(|contract| &contract.customer)
            .collect();
        let held = self.contracts().map(|held| &held.contract.customer);
        let removed = held.filter(|customer| !listed.contains(customer));
        let contracts = document.contracts.iter().filter(is_new);
        let groups = document.groups.iter();
        let groups = groups.filter(|terms| self.group_terms(&terms.group) != Some(*terms));
        Some(DocumentUpdate {
            base: self.revision(),
            changed: ContractDocument {
                version: document.version,
                source: document.source.clone(),
                contracts: contracts.cloned().collect(),
                groups: groups.cloned().collect(),
                accounts: document.accounts.clone(),
                seal: document.seal,
            },
            removed: removed.cloned().collect(),
        })
    }
}

fn refuse_document(faults: &[DocumentFault]) -> CatalogOutcome {
    CatalogOutcome::DocumentInvalid(faults.iter().map(ToString::to_string).collect())
}
