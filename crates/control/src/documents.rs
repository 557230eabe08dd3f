//! Application of configuration documents to the catalog.
//!
//! Operators may send documents concurrently, and resend one after its answer was lost. The highest
//! version wins, whichever arrives last: a document that isn't newer changes nothing and is
//! answered as accepted, because its operator needn't act.

use crate::catalog::CatalogState;
use crate::catalog::StampedItem;
use ragwort_types::CatalogKey;
use ragwort_types::CatalogOutcome;
use ragwort_types::CatalogRevision;
use ragwort_types::ContractDocument;
use ragwort_types::CustomerName;
use ragwort_types::DocumentAcceptance;
use ragwort_types::DocumentCopy;
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
            let messages = faults.iter().map(ToString::to_string).collect();
            return CatalogOutcome::DocumentInvalid(messages);
        }
        if let Some(held) = &self.document
            && held.version >= document.version
        {
            let in_force = held.version;
            return CatalogOutcome::DocumentAccepted(DocumentAcceptance { in_force });
        }
        self.document = Some(DocumentCopy {
            version: document.version,
            source: document.source.clone(),
        });
        self.replace_contracts(revision, document);
        self.replace_terms(revision, &document.groups);
        self.replace_accounts(revision, document);
        let in_force = document.version;
        CatalogOutcome::DocumentAccepted(DocumentAcceptance { in_force })
    }

    /// Puts the document's contracts in force and retires all others.
    ///
    /// Unchanged contracts aren't touched, so that a change of one contract among 1,400 reaches the
    /// members as one item.
    fn replace_contracts(&mut self, revision: CatalogRevision, document: &ContractDocument) {
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
