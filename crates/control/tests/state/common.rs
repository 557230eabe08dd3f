//! Builders that the tests of this crate share.

use ragwort_control::CatalogState;
use ragwort_types::AccessMode;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogOutcome;
use ragwort_types::CatalogRevision;
use ragwort_types::ChangeId;
use ragwort_types::ContractChange;
use ragwort_types::ContractVersion;
use ragwort_types::CustomerContract;
use ragwort_types::GroupPlacement;
use ragwort_types::KindName;
use ragwort_types::KindTerms;
use ragwort_types::LengthClass;
use ragwort_types::MemberId;
use ragwort_types::MemberRecord;
use ragwort_types::PlacementEpoch;
use ragwort_types::RepeatRule;
use ragwort_types::UrgencyClass;
use ragwort_types::VmIncarnation;
use ragwort_types::VmName;
use std::collections::BTreeMap;
use uuid::Uuid;

/// Names one test case and tells, in its comment, how the failure comes about and what users notice.
macro_rules! case {
    ($(#[$doc:meta])* $name:ident $body:block) => {
        $(#[$doc])*
        #[test]
        fn $name() $body
    };
}

/// A catalog with the index of the last command that it was given.
pub struct CatalogScript {
    pub state: CatalogState,
    index: u64,
}

impl CatalogScript {
    /// Creates a catalog with the members `vm-1` and so on, in three failure domains.
    pub fn with_members(count: u64) -> Self {
        let state = CatalogState::new();
        let mut script = Self { state, index: 0 };
        for number in 1..=count {
            script.expect_done(CatalogCommand::AdmitMember(member(number, 1)));
        }
        script
    }

    /// Applies a command at the next index.
    pub fn apply(&mut self, command: CatalogCommand) -> CatalogOutcome {
        self.index += 1;
        self.state.apply(CatalogRevision(self.index), &command)
    }

    /// Applies a command that must be done.
    pub fn expect_done(&mut self, command: CatalogCommand) {
        let outcome = self.apply(command.clone());
        assert!(
            matches!(outcome, CatalogOutcome::Done(_)),
            "{command:?} gave {outcome:?}"
        );
    }

    /// Applies a command that must be refused as stale.
    pub fn expect_stale(&mut self, command: CatalogCommand) {
        assert_eq!(
            self.apply(command.clone()),
            CatalogOutcome::Stale,
            "{command:?}"
        );
    }
}

/// Returns the member `vm-<number>`, in one of three failure domains.
pub fn member(number: u64, incarnation: u64) -> MemberRecord {
    MemberRecord {
        id: MemberId {
            vm: VmName::from(format!("vm-{number}")),
            incarnation: VmIncarnation(incarnation),
        },
        domain: format!("domain-{}", number % 3).into(),
        peer_address: "127.0.0.1:7000".parse().unwrap(),
        draining: false,
    }
}

/// Returns a placement.
pub fn placement(group: &str, epoch: u64, leaseholder: &str, standbys: &[&str]) -> GroupPlacement {
    GroupPlacement {
        group: group.into(),
        epoch: PlacementEpoch(epoch),
        leaseholder: leaseholder.into(),
        standbys: standbys.iter().map(|vm| VmName::from(*vm)).collect(),
    }
}

/// Returns a change of the customer `omuti`.
pub fn contract_change(id: u64, base: u64, slot_share: u32) -> ContractChange {
    customer_change("omuti", id, base, slot_share)
}

/// Returns a change of a customer.
pub fn customer_change(customer: &str, id: u64, base: u64, slot_share: u32) -> ContractChange {
    ContractChange {
        change_id: ChangeId(Uuid::from_u128(u128::from(id))),
        base_version: ContractVersion(base),
        contract: contract(customer, slot_share),
    }
}

/// Returns a contract with one kind.
pub fn contract(customer: &str, slot_share: u32) -> CustomerContract {
    let status = KindTerms {
        access: AccessMode::Read,
        repeat: RepeatRule::Idempotent,
        urgency: UrgencyClass::Ordinary,
        length: LengthClass::Short,
        max_age_ms: 500,
        deadline_ms: 1_000,
    };
    CustomerContract {
        customer: customer.into(),
        groups: vec!["cases".into()],
        kinds: BTreeMap::from([(KindName::from("status"), status)]),
        default_kind: "status".into(),
        slot_share,
        connection_limit: 4,
        queue_limit: 100,
        session_limit: 100,
    }
}
