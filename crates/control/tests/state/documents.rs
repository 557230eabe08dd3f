//! Tests of configuration documents: concurrent versions, resends, and the deltas that members
//! receive.

use crate::common::CatalogScript;
use crate::common::contract_change;
use ragwort_control::CatalogCopy;
use ragwort_control::CatalogState;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogOutcome;
use ragwort_types::CatalogRevision;
use ragwort_types::ContractDocument;
use ragwort_types::CustomerContract;
use ragwort_types::CustomerName;
use ragwort_types::DocumentVersion;
use ragwort_types::GroupTerms;

/// Returns a customer's contract with the given slot share.
fn contract(customer: &str, share: u32) -> CustomerContract {
    let mut contract = contract_change(1, 0, 10).contract;
    contract.customer = customer.into();
    contract.slot_share = share;
    contract
}

fn document(version: u64, contracts: &[(&str, u32)]) -> ContractDocument {
    let contracts: Vec<CustomerContract> = contracts
        .iter()
        .map(|(customer, share)| contract(customer, *share))
        .collect();
    let groups = contracts.iter().flat_map(|contract| &contract.groups);
    let mut groups: Vec<GroupTerms> = groups
        .map(|group| GroupTerms {
            group: group.clone(),
            connections: 16,
            synchronous_replicas: 0,
            idle_transaction_ms: 3_000,
        })
        .collect();
    groups.dedup();
    ContractDocument {
        version: DocumentVersion(version),
        source: format!("version {version}").into(),
        contracts,
        groups,
        accounts: Vec::new(),
        seal: None,
    }
}

fn apply(script: &mut CatalogScript, document: ContractDocument) -> CatalogOutcome {
    script.apply(CatalogCommand::ApplyDocument(Box::new(document)))
}

fn in_force(outcome: &CatalogOutcome) -> Option<u64> {
    match outcome {
        CatalogOutcome::DocumentAccepted(acceptance) => Some(acceptance.in_force.0),
        _ => None,
    }
}

fn share(state: &CatalogState, customer: &str) -> Option<u32> {
    let held = state.contract(&CustomerName::from(customer));
    held.map(|held| held.contract.slot_share)
}

case! {
    /// Two operators send documents concurrently, and the lower version arrives last. Both must be
    /// answered as accepted, and the higher version stays in force completely.
    lower_version_is_accepted_and_changes_nothing {
        let mut script = CatalogScript::with_members(1);
        let first = apply(&mut script, document(9, &[("omuti", 2)]));
        assert_eq!(in_force(&first), Some(9));
        let revision = script.state.revision();
        let late = apply(&mut script, document(7, &[("omuti", 5), ("other", 1)]));
        assert_eq!(in_force(&late), Some(9));
        assert_eq!(share(&script.state, "omuti"), Some(2));
        assert_eq!(share(&script.state, "other"), None);
        assert_eq!(script.state.revision(), revision);
        assert_eq!(&*script.state.document().unwrap().source, "version 9");
    }
}

case! {
    /// An operator resends a document after losing the answer, and another operator sends other
    /// content under the same version. Neither may change what is in force.
    same_version_changes_nothing {
        let mut script = CatalogScript::with_members(1);
        apply(&mut script, document(9, &[("omuti", 2)]));
        let again = apply(&mut script, document(9, &[("omuti", 2)]));
        assert_eq!(in_force(&again), Some(9));
        let other = apply(&mut script, document(9, &[("omuti", 8)]));
        assert_eq!(in_force(&other), Some(9));
        assert_eq!(share(&script.state, "omuti"), Some(2));
    }
}

case! {
    /// A contract of the document names a group that the document doesn't define. If the rest of
    /// the document were applied, callers would be served by an incomplete configuration.
    invalid_document_changes_nothing {
        let mut script = CatalogScript::with_members(1);
        apply(&mut script, document(3, &[("omuti", 2)]));
        let mut faulty = document(4, &[("omuti", 8)]);
        faulty.groups.clear();
        let outcome = apply(&mut script, faulty);
        assert!(matches!(outcome, CatalogOutcome::DocumentInvalid(_)), "{outcome:?}");
        assert_eq!(share(&script.state, "omuti"), Some(2));
        assert_eq!(script.state.document().unwrap().version, DocumentVersion(3));
    }
}

case! {
    /// One contract of a thousand changes and another is removed. A member must receive these two
    /// items only; otherwise frequent changes would saturate the links of small VMs.
    members_learn_only_what_changed {
        let mut script = CatalogScript::with_members(1);
        let names: Vec<String> = (0..1_000).map(|number| format!("customer-{number}")).collect();
        let mut contracts: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 1)).collect();
        apply(&mut script, document(1, &contracts));
        let mut copy = CatalogCopy::new();
        copy.apply_delta(&script.state.delta_since(copy.revision())).unwrap();
        contracts[7].1 = 5;
        contracts.remove(500);
        apply(&mut script, document(2, &contracts));
        let delta = script.state.delta_since(copy.revision());
        assert_eq!(delta.items.len(), 2, "{:?}", delta.items);
        copy.apply_delta(&delta).unwrap();
        let changed = copy.contract(&"customer-7".into()).unwrap();
        assert_eq!(changed.contract.slot_share, 5);
        assert!(copy.contract(&"customer-500".into()).is_none());
        assert_eq!(copy.contracts().count(), 999);
    }
}

case! {
    /// A member that missed the removal of a contract receives a complete snapshot. The contract
    /// must be removed from its copy too, or the VM would continue to serve the customer's callers.
    snapshot_drops_retired_contracts {
        let mut script = CatalogScript::with_members(1);
        apply(&mut script, document(1, &[("omuti", 1), ("gone", 1)]));
        let mut copy = CatalogCopy::new();
        copy.apply_delta(&script.state.delta_since(copy.revision())).unwrap();
        apply(&mut script, document(2, &[("omuti", 1)]));
        let whole = script.state.delta_since(Default::default());
        copy.apply_delta(&whole).unwrap();
        assert!(copy.contract(&"gone".into()).is_none());
        assert!(copy.contract(&"omuti".into()).is_some());
    }
}

case! {
    /// A retired contract returns. A member that receives both changes at once must hold it.
    returning_contract_is_no_departure {
        let mut script = CatalogScript::with_members(1);
        apply(&mut script, document(1, &[("omuti", 1), ("back", 1)]));
        let mut copy = CatalogCopy::new();
        copy.apply_delta(&script.state.delta_since(copy.revision())).unwrap();
        apply(&mut script, document(2, &[("omuti", 1)]));
        apply(&mut script, document(3, &[("omuti", 1), ("back", 4)]));
        copy.apply_delta(&script.state.delta_since(copy.revision())).unwrap();
        let back = copy.contract(&"back".into()).unwrap();
        assert_eq!(back.contract.slot_share, 4);
    }
}

case! {
    /// A control VM restores the catalog from a snapshot of the log. Its deltas must equal those of
    /// a control VM that applied every command.
    restored_catalog_sends_the_same_deltas {
        let mut script = CatalogScript::with_members(1);
        apply(&mut script, document(1, &[("omuti", 1), ("gone", 1)]));
        let from = script.state.revision();
        apply(&mut script, document(2, &[("omuti", 3)]));
        let restored = CatalogState::from_snapshot(&script.state.to_snapshot()).unwrap();
        assert_eq!(restored, script.state);
        assert_eq!(restored.delta_since(from), script.state.delta_since(from));
    }
}

/// Returns a catalog with a document of a thousand contracts, and its next version, which changes
/// one of them and removes another.
fn change_one_of_a_thousand() -> (CatalogScript, ContractDocument) {
    let mut script = CatalogScript::with_members(1);
    let names: Vec<String> = (0..1_000)
        .map(|number| format!("customer-{number}"))
        .collect();
    let mut contracts: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    apply(&mut script, document(1, &contracts));
    contracts[7].1 = 5;
    contracts.remove(500);
    (script, document(2, &contracts))
}

fn copy_of(state: &CatalogState) -> CatalogCopy {
    let mut copy = CatalogCopy::new();
    copy.apply_delta(&state.delta_since(copy.revision()))
        .unwrap();
    copy
}

case! {
    /// Every change of one contract was committed with all other contracts. While the leader
    /// encoded these for its disk and each follower, it answered no heartbeat.
    change_of_one_contract_is_committed_without_the_others {
        let (mut script, next) = change_one_of_a_thousand();
        let update = copy_of(&script.state).compare_document(&next).unwrap();
        assert_eq!(update.changed.contracts.len(), 1);
        assert_eq!(update.changed.groups.len(), 0);
        assert_eq!(update.removed, [CustomerName::from("customer-500")]);
        let mut whole = script.state.clone();
        let revision = CatalogRevision(script.state.revision().0 + 1);
        whole.apply(revision, &CatalogCommand::ApplyDocument(Box::new(next)));
        let outcome = script.apply(CatalogCommand::UpdateDocument(Box::new(update)));
        assert_eq!(in_force(&outcome), Some(2));
        assert_eq!(script.state, whole);
    }
}

case! {
    /// Another operator's document is committed after the comparison. The difference from the
    /// replaced configuration must not be applied: the result would be a mixture of both.
    update_of_a_replaced_configuration_is_refused {
        let (mut script, next) = change_one_of_a_thousand();
        let update = copy_of(&script.state).compare_document(&next).unwrap();
        let mut later = update.clone();
        later.changed.version = DocumentVersion(9);
        apply(&mut script, document(2, &[("customer-7", 3), ("customer-500", 1)]));
        let before = script.state.clone();
        let resent = script.apply(CatalogCommand::UpdateDocument(Box::new(update)));
        assert_eq!(in_force(&resent), Some(2));
        let outcome = script.apply(CatalogCommand::UpdateDocument(Box::new(later)));
        assert_eq!(outcome, CatalogOutcome::Stale);
        assert_eq!(script.state, before);
    }
}

case! {
    /// A contract of an update names a group that neither the update nor the catalog defines.
    invalid_update_changes_nothing {
        let (mut script, next) = change_one_of_a_thousand();
        let mut update = copy_of(&script.state).compare_document(&next).unwrap();
        update.changed.contracts[0].groups = vec!["unknown".into()];
        let before = script.state.clone();
        let outcome = script.apply(CatalogCommand::UpdateDocument(Box::new(update)));
        assert!(matches!(outcome, CatalogOutcome::DocumentInvalid(_)), "{outcome:?}");
        assert_eq!(script.state, before);
    }
}
