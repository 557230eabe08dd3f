//! Tests of the faults that are found in contracts and configuration documents.

use ragwort_types::AccessMode;
use ragwort_types::CallerRule;
use ragwort_types::ContractDocument;
use ragwort_types::CustomerContract;
use ragwort_types::DocumentVersion;
use ragwort_types::GroupTerms;
use ragwort_types::KindTerms;
use ragwort_types::LengthClass;
use ragwort_types::PriorityLevel;
use ragwort_types::RepeatRule;
use ragwort_types::UrgencyClass;

fn kind(priority: Option<u8>) -> KindTerms {
    KindTerms {
        access: AccessMode::Read,
        repeat: RepeatRule::Idempotent,
        urgency: UrgencyClass::Ordinary,
        length: LengthClass::Short,
        max_age_ms: 0,
        deadline_ms: 1_000,
        target_ms: None,
        priority: priority.map(PriorityLevel),
    }
}

fn contract(customer: &str, slot_share: u32, share_group: Option<&str>) -> CustomerContract {
    CustomerContract {
        customer: customer.into(),
        groups: vec!["cases".into()],
        kinds: [("read".into(), kind(None))].into(),
        default_kind: "read".into(),
        slot_share,
        connection_limit: 8,
        queue_limit: 100,
        session_limit: 100,
        callers: CallerRule::Anyone,
        share_group: share_group.map(Into::into),
    }
}

fn with_priorities(first: Option<u8>, second: Option<u8>) -> CustomerContract {
    let mut contract = contract("clinics", 1, None);
    let kinds = [("read".into(), kind(first)), ("write".into(), kind(second))];
    contract.kinds = kinds.into();
    contract
}

fn document(contracts: Vec<CustomerContract>) -> ContractDocument {
    ContractDocument {
        version: DocumentVersion(1),
        source: "version 1".into(),
        contracts,
        groups: vec![GroupTerms {
            group: "cases".into(),
            connections: 16,
            synchronous_replicas: 0,
            idle_transaction_ms: 3_000,
        }],
        accounts: Vec::new(),
        seal: None,
    }
}

/// Returns the faults of a contract as they are shown to its operator.
fn faults_of(contract: &CustomerContract) -> Vec<String> {
    let faults = contract.find_faults();
    faults.iter().map(ToString::to_string).collect()
}

macro_rules! contract_cases {
    ($($(#[$doc:meta])* $name:ident: $contract:expr => $faults:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let expected: &[&str] = &$faults;
            assert_eq!(faults_of(&$contract), expected);
        }
    )*};
}

contract_cases! {
    contract_without_levels_is_valid: with_priorities(None, None) => [];
    contract_with_levels_is_valid: with_priorities(Some(0), Some(3)) => [];
    /// A level that the scheduler doesn't know would be served in an arbitrary order.
    unknown_level_is_refused: with_priorities(Some(0), Some(4))
        => ["kinds.write.priority: expected a level below 4"];
    /// A kind without a level would have no place in the order of the others.
    missing_level_is_refused: with_priorities(Some(1), None)
        => ["kinds.write.priority: expected a level, as other kinds have one"];
    /// An empty name would put unrelated customers into one share group.
    empty_share_group_is_refused: contract("clinics", 1, Some(""))
        => ["share_group: expected one or more letters, digits, `-` or `_`"];
}

#[test]
fn equal_shares_of_a_share_group_are_valid() {
    let contracts = vec![
        contract("clinics", 2, Some("health")),
        contract("wards", 2, Some("health")),
        contract("courts", 5, None),
    ];
    assert_eq!(document(contracts).find_faults(), []);
}

/// Two different shares for one share group: the scheduler would use whichever contract it read
/// last.
#[test]
fn contradicting_shares_of_a_share_group_are_refused() {
    let contracts = vec![
        contract("clinics", 2, Some("health")),
        contract("wards", 3, Some("health")),
    ];
    let faults = document(contracts).find_faults();
    let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
    let expected =
        "contract of wards: slot_share: differs from that of other contracts of share group health";
    assert_eq!(faults, [expected]);
}

/// A contract that was stored before the new fields existed must still be read, and must not
/// contain them when it is written again.
#[test]
fn contract_without_the_new_fields_is_read_and_written_unchanged() {
    let stored = serde_json::to_value(contract("clinics", 2, None)).unwrap();
    assert!(stored.get("share_group").is_none());
    assert!(stored["kinds"]["read"].get("priority").is_none());
    let read: CustomerContract = serde_json::from_value(stored).unwrap();
    assert_eq!(read, contract("clinics", 2, None));
}
