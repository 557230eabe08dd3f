//! Builders and helpers shared by the tests of this crate.

use quickcheck::Arbitrary;
use quickcheck::Gen;
use ragwort_control::CatalogState;
use ragwort_types::AccessMode;
use ragwort_types::CallerRule;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogOutcome;
use ragwort_types::CatalogRevision;
use ragwort_types::ChangeId;
use ragwort_types::ContractChange;
use ragwort_types::ContractVersion;
use ragwort_types::CustomerContract;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::GroupPlacement;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceChange;
use ragwort_types::InstanceRole;
use ragwort_types::InstanceStatus;
use ragwort_types::KindName;
use ragwort_types::KindTerms;
use ragwort_types::LengthClass;
use ragwort_types::LogPosition;
use ragwort_types::MemberId;
use ragwort_types::MemberRecord;
use ragwort_types::MemberTraits;
use ragwort_types::PlacementEpoch;
use ragwort_types::PrimaryRecord;
use ragwort_types::RepeatRule;
use ragwort_types::RequestKey;
use ragwort_types::TermStart;
use ragwort_types::UrgencyClass;
use ragwort_types::VmIncarnation;
use ragwort_types::VmName;
use std::collections::BTreeMap;
use uuid::Uuid;

/// Declares one test case. Its doc comment says how the failure comes about and what users notice.
macro_rules! case {
    ($(#[$doc:meta])* $name:ident $body:block) => {
        $(#[$doc])*
        #[test]
        fn $name() $body
    };
}

/// A catalog with the index of the last command that was applied to it.
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

    /// Applies a command that must succeed.
    pub fn expect_done(&mut self, command: CatalogCommand) {
        let outcome = self.apply(command.clone());
        assert!(
            matches!(outcome, CatalogOutcome::Done(_)),
            "{command:?} gave {outcome:?}"
        );
    }

    /// Begins a term of the group `cases`.
    pub fn begin_term(&mut self, epoch: u64, term: u64) {
        self.expect_done(term_start(epoch, term));
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

/// Returns a change of the group `cases`.
pub fn instance_change(name: &str, epoch: u64, term: u64) -> InstanceChange {
    InstanceChange {
        group: "cases".into(),
        epoch: PlacementEpoch(epoch),
        term: GroupTerm(term),
        instance: name.into(),
    }
}

/// Returns the start of a term of the group `cases`.
pub fn term_start(epoch: u64, term: u64) -> CatalogCommand {
    CatalogCommand::BeginTerm(TermStart {
        group: "cases".into(),
        epoch: PlacementEpoch(epoch),
        term: GroupTerm(term),
    })
}

/// Returns the record of a primary of the group `cases`.
pub fn primary_record(name: &str, epoch: u64, term: u64) -> CatalogCommand {
    CatalogCommand::RecordPrimary(PrimaryRecord {
        group: "cases".into(),
        epoch: PlacementEpoch(epoch),
        term: GroupTerm(term),
        primary: name.into(),
        start: LogPosition::new(GroupTerm(term), 7),
    })
}

/// Returns a catalog with three members and the group `cases` in term 1 under its first instance.
pub fn formed_group(instances: &[&str]) -> CatalogScript {
    let mut script = CatalogScript::with_members(3);
    let place = placement("cases", 1, "vm-1", &["vm-2", "vm-3"]);
    script.expect_done(CatalogCommand::PlaceGroup(place));
    for name in instances {
        script.expect_done(CatalogCommand::AddInstance(instance_change(name, 1, 0)));
    }
    script.begin_term(1, 1);
    script.expect_done(primary_record(instances[0], 1, 1));
    script
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
        statement_address: None,
        lease_ms: 0,
        draining: false,
        traits: MemberTraits::default(),
    }
}

/// Returns the announcement of an empty replica.
pub fn announcement(group: &str, instance: &str, domain: &str) -> EndpointAnnouncement {
    EndpointAnnouncement {
        group: group.into(),
        instance: instance.into(),
        domain: domain.into(),
        data_address: "127.0.0.1:5432".parse().unwrap(),
        agent_address: "127.0.0.1:5432".parse().unwrap(),
        slots: 2,
        connections: 16,
        status: InstanceStatus {
            role: InstanceRole::Replica,
            fenced_term: GroupTerm(0),
            position: LogPosition::default(),
            leaving: false,
        },
        started_ms: 0,
        sequence: 0,
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

/// Returns a contract with one request kind.
pub fn contract(customer: &str, slot_share: u32) -> CustomerContract {
    let status = KindTerms {
        access: AccessMode::Read,
        repeat: RepeatRule::Idempotent,
        urgency: UrgencyClass::Ordinary,
        length: LengthClass::Short,
        max_age_ms: 500,
        deadline_ms: 1_000,
        target_ms: None,
        priority: None,
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
        callers: CallerRule::default(),
        share_group: None,
    }
}

/// Returns a request key with the given time, in milliseconds since the Unix epoch.
pub fn key_made_at(unix_ms: u64, number: u64) -> RequestKey {
    let seconds = unix_ms / 1_000;
    let nanos = u32::try_from(unix_ms % 1_000).unwrap() * 1_000_000;
    let context = uuid::NoContext;
    let time = uuid::Timestamp::from_unix(context, seconds, nanos);
    let mut bytes = *Uuid::new_v7(time).as_bytes();
    bytes[8..].copy_from_slice(&number.to_be_bytes());
    bytes[6] = 0x70;
    bytes[7] = 0;
    bytes[8] = 0x80;
    RequestKey(Uuid::from_bytes(bytes))
}

/// Runs a model on random steps, once for each of `runs` seeds from `base` on, and returns the sum
/// of its results.
///
/// A failing run prints its seed.
pub fn run_seeds<S: Arbitrary>(
    base: u64,
    runs: u64,
    size: usize,
    model: impl Fn(Vec<S>) -> usize,
) -> usize {
    let mut sum = 0;
    for seed in base..base + runs {
        let report = SeedReport(seed);
        let mut generator = Gen::from_size_and_seed(size, seed);
        let steps = (0..size).map(|_| S::arbitrary(&mut generator));
        sum += model(steps.collect());
        drop(report);
    }
    sum
}

struct SeedReport(u64);

impl Drop for SeedReport {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("seed={:#x}", self.0);
        }
    }
}
