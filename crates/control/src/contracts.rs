//! Contracts and the answers to their changes.
//!
//! Operators may send concurrent changes of the same version, and resend a change after its answer
//! was lost. If no answers were kept, a resend that arrives after another change would be told of a
//! conflict with a change that was built on its own success, and the operator would apply it a
//! second time. Every answer is therefore kept permanently, in a compact form.

use crate::answers::AnswerTable;
use crate::answers::ChangeAnswer;
use crate::answers::FoundAnswer;
use ragwort_types::CatalogOutcome;
use ragwort_types::CatalogRevision;
use ragwort_types::ChangeId;
use ragwort_types::ContractAcceptance;
use ragwort_types::ContractChange;
use ragwort_types::ContractVersion;
use ragwort_types::CustomerContract;
use ragwort_types::CustomerName;
use ragwort_types::VersionedContract;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;

/// The contracts and the answer to each change id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChangeLedger {
    contracts: BTreeMap<CustomerName, VersionedContract>,
    answers: AnswerTable,
    /// Contracts that won a conflict, to repeat the answer to resends of the losing change.
    winners: BTreeMap<CustomerName, BTreeMap<ContractVersion, VersionedContract>>,
}

impl ChangeLedger {
    /// Returns a customer's present contract.
    pub(crate) fn contract(&self, customer: &CustomerName) -> Option<&VersionedContract> {
        self.contracts.get(customer)
    }

    /// Iterates over the present contracts.
    pub(crate) fn contracts(&self) -> impl Iterator<Item = &VersionedContract> {
        self.contracts.values()
    }

    /// Returns the number of change ids whose answers are kept.
    pub(crate) fn answered_changes(&self) -> usize {
        self.answers.len()
    }

    /// Applies a change, or repeats the first answer to a resend.
    pub(crate) fn apply_change(
        &mut self,
        revision: CatalogRevision,
        change: &ContractChange,
    ) -> CatalogOutcome {
        // Faults depend on the content alone, so a resend gets the same answer without a record.
        let faults = change.contract.find_faults();
        if !faults.is_empty() {
            let messages = faults.iter().map(ToString::to_string).collect();
            return CatalogOutcome::ContractFaulty(messages);
        }
        let content = content_text(change);
        let answer = match self.answers.find(change.change_id, &content) {
            Some(FoundAnswer::OtherContent) => return CatalogOutcome::ChangeIdReused,
            Some(FoundAnswer::Same(answer)) => answer,
            None => {
                let answer = self.decide_change(revision, change);
                self.answers.insert(change.change_id, &content, answer);
                answer
            }
        };
        self.outcome(&answer, &change.contract.customer)
    }

    fn decide_change(
        &mut self,
        revision: CatalogRevision,
        change: &ContractChange,
    ) -> ChangeAnswer {
        let customer = &change.contract.customer;
        let present = self.contracts.get(customer);
        let version = present.map_or(ContractVersion(0), |contract| contract.version);
        if change.base_version == version {
            return self.accept_change(revision, change);
        }
        match present {
            None => ChangeAnswer::Unknown,
            Some(winner) => {
                let shown = self.winners.entry(customer.clone()).or_default();
                shown.entry(version).or_insert_with(|| winner.clone());
                ChangeAnswer::Conflict(version)
            }
        }
    }

    /// Puts a document's contract in force and returns whether it differs from the present one.
    pub(crate) fn put_contract(&mut self, contract: &CustomerContract, source: ChangeId) -> bool {
        let held = self.contracts.get(&contract.customer);
        if held.is_some_and(|held| held.contract == *contract) {
            return false;
        }
        let version = held.map_or(ContractVersion(0), |held| held.version);
        let fresh = VersionedContract {
            version: version.next(),
            change_id: source,
            contract: contract.clone(),
        };
        self.contracts.insert(contract.customer.clone(), fresh);
        true
    }

    /// Removes a contract that a document no longer contains.
    pub(crate) fn drop_contract(&mut self, customer: &CustomerName) {
        self.contracts.remove(customer);
    }

    fn accept_change(
        &mut self,
        revision: CatalogRevision,
        change: &ContractChange,
    ) -> ChangeAnswer {
        let version = change.base_version.next();
        let contract = VersionedContract {
            version,
            change_id: change.change_id,
            contract: change.contract.clone(),
        };
        self.contracts
            .insert(change.contract.customer.clone(), contract);
        ChangeAnswer::Accepted(version, revision)
    }

    fn outcome(&self, answer: &ChangeAnswer, customer: &CustomerName) -> CatalogOutcome {
        match *answer {
            ChangeAnswer::Accepted(version, revision) => {
                CatalogOutcome::ContractAccepted(ContractAcceptance { version, revision })
            }
            ChangeAnswer::Conflict(version) => {
                let shown = self.winners.get(customer);
                match shown.and_then(|versions| versions.get(&version)) {
                    Some(winner) => CatalogOutcome::ContractConflict(Box::new(winner.clone())),
                    None => CatalogOutcome::ContractUnknown,
                }
            }
            ChangeAnswer::Unknown => CatalogOutcome::ContractUnknown,
        }
    }
}

/// Returns the text that must be the same in every resend of a change.
fn content_text(change: &ContractChange) -> String {
    let content = (&change.base_version, &change.contract);
    serde_json::to_string(&content).expect("a contract has text keys only")
}
