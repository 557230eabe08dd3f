//! The parts of a catalog view: the record of a group, the terms, contract and members.

use crate::bench::AGED;
use crate::bench::FRESH;
use crate::bench::LONG_MS;
use crate::bench::WRITE;
use ragwort_control::CatalogCopy;
use ragwort_control::MemberLease;
use ragwort_types::AccessMode;
use ragwort_types::CallerRule;
use ragwort_types::CatalogDelta;
use ragwort_types::CatalogItem;
use ragwort_types::CatalogRevision;
use ragwort_types::ChangeId;
use ragwort_types::ContractVersion;
use ragwort_types::CustomerContract;
use ragwort_types::GroupPlacement;
use ragwort_types::GroupRecord;
use ragwort_types::GroupTerm;
use ragwort_types::GroupTerms;
use ragwort_types::KeyDigest;
use ragwort_types::KindTerms;
use ragwort_types::LeaseGrant;
use ragwort_types::LengthClass;
use ragwort_types::LogPosition;
use ragwort_types::MemberId;
use ragwort_types::MemberRecord;
use ragwort_types::MemberTraits;
use ragwort_types::PlacementEpoch;
use ragwort_types::RepeatRule;
use ragwort_types::UrgencyClass;
use ragwort_types::VersionedContract;
use ragwort_types::VmIncarnation;
use ragwortgated::member::MemberView;
use std::sync::Arc;

pub fn create_record() -> GroupRecord {
    GroupRecord {
        placement: GroupPlacement {
            group: "cases".into(),
            epoch: PlacementEpoch(1),
            leaseholder: "vm-1".into(),
            standbys: Default::default(),
        },
        term: GroupTerm(0),
        term_epoch: PlacementEpoch(0),
        primary: None,
        start: LogPosition::default(),
        instances: Default::default(),
        journal_epoch: PlacementEpoch(0),
        endpoints: Vec::new(),
        orders: Vec::new(),
    }
}

pub fn create_contract() -> CustomerContract {
    let fresh = KindTerms {
        access: AccessMode::Read,
        repeat: RepeatRule::Idempotent,
        urgency: UrgencyClass::Ordinary,
        length: LengthClass::Short,
        max_age_ms: 0,
        deadline_ms: LONG_MS,
        target_ms: None,
        priority: None,
    };
    let aged = KindTerms {
        max_age_ms: 2_500,
        ..fresh
    };
    let write = KindTerms {
        access: AccessMode::Write,
        repeat: RepeatRule::Never,
        ..fresh
    };
    let kinds = [(AGED, aged), (FRESH, fresh), (WRITE, write)];
    CustomerContract {
        customer: "omuti".into(),
        groups: vec!["cases".into()],
        kinds: kinds.map(|(name, terms)| (name.into(), terms)).into(),
        default_kind: WRITE.into(),
        slot_share: 1,
        connection_limit: 16,
        queue_limit: 64,
        session_limit: 64,
        callers: CallerRule::default(),
        share_group: None,
    }
}

/// The digest of a key, and the account that holds the key once keys are required.
pub const KNOWN_KEY: KeyDigest = KeyDigest([7; 16]);
pub const KNOWN_ACCOUNT: &str = "directorate";

pub fn create_terms() -> GroupTerms {
    GroupTerms {
        group: "cases".into(),
        connections: 16,
        synchronous_replicas: 0,
        idle_transaction_ms: 60_000,
    }
}

pub fn create_synchronous_terms() -> GroupTerms {
    GroupTerms {
        synchronous_replicas: 1,
        ..create_terms()
    }
}

pub fn create_view(terms: &GroupTerms, record: &GroupRecord) -> MemberView {
    create_view_at(terms, record, CatalogRevision(1), false)
}

/// Creates a view with a second member, to which the first one hands its groups over if it drains.
pub fn create_view_at(
    terms: &GroupTerms,
    record: &GroupRecord,
    revision: CatalogRevision,
    draining: bool,
) -> MemberView {
    let contract = VersionedContract {
        version: ContractVersion(1),
        change_id: ChangeId::fresh(),
        contract: create_contract(),
    };
    let member = MemberRecord {
        id: MemberId {
            vm: "vm-1".into(),
            incarnation: VmIncarnation(1),
        },
        domain: "north".into(),
        peer_address: "127.0.0.1:2".parse().unwrap(),
        statement_address: None,
        lease_ms: 0,
        draining,
        traits: MemberTraits::default(),
    };
    let other = MemberRecord {
        id: MemberId {
            vm: "vm-2".into(),
            incarnation: VmIncarnation(1),
        },
        draining: false,
        ..member.clone()
    };
    let items = vec![
        CatalogItem::Contract(Box::new(contract)),
        CatalogItem::Group(Box::new(record.clone())),
        CatalogItem::Member(member),
        CatalogItem::Member(other),
        CatalogItem::GroupTerms(terms.clone()),
    ];
    let mut copy = CatalogCopy::new();
    let delta = CatalogDelta {
        from: None,
        to: revision,
        items,
    };
    copy.apply_delta(&delta).unwrap();
    let mut lease = MemberLease::new();
    let grant = LeaseGrant {
        lease_ms: 3_600_000,
        revision,
        delta: None,
    };
    lease.renew(Default::default(), &grant, revision);
    MemberView {
        copy: Arc::new(copy),
        lease,
        draining: false,
        admission_changes: 0,
    }
}
