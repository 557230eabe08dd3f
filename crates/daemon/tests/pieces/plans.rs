//! Plans of handovers that many groups share.

use ragwort_control::CatalogCopy;
use ragwort_types::CatalogDelta;
use ragwort_types::CatalogItem;
use ragwort_types::CatalogRevision;
use ragwort_types::GroupPlacement;
use ragwort_types::GroupRecord;
use ragwort_types::GroupTerm;
use ragwort_types::LogPosition;
use ragwort_types::MemberId;
use ragwort_types::MemberRecord;
use ragwort_types::MemberTraits;
use ragwort_types::PlacementEpoch;
use ragwort_types::VmIncarnation;
use ragwortgated::handover_plans::HandoverPlanner;
use std::sync::Arc;

failure_cases! {
    /// Each of a VM's groups made the plan of all groups, at each change of the catalog: hundreds of groups
    /// took its processor, and leases ended.
    groups_of_a_vm_share_a_plan => shared_case();
}

fn describe_member(vm: &str, draining: bool) -> CatalogItem {
    CatalogItem::Member(MemberRecord {
        id: MemberId {
            vm: vm.into(),
            incarnation: VmIncarnation(1),
        },
        domain: "north".into(),
        peer_address: "127.0.0.1:2".parse().unwrap(),
        statement_address: None,
        lease_ms: 0,
        draining,
        traits: MemberTraits {
            leaseholder: true,
            ..MemberTraits::default()
        },
    })
}

fn describe_group(name: &str) -> CatalogItem {
    CatalogItem::Group(Box::new(GroupRecord {
        placement: GroupPlacement {
            group: name.into(),
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
    }))
}

/// Creates a copy in which the first of two VMs leads two groups.
fn create_copy(revision: u64, draining: bool) -> CatalogCopy {
    let items = vec![
        describe_member("vm-1", draining),
        describe_member("vm-2", false),
        describe_group("cases"),
        describe_group("rulings"),
    ];
    let mut copy = CatalogCopy::new();
    let delta = CatalogDelta {
        from: None,
        to: CatalogRevision(revision),
        items,
    };
    copy.apply_delta(&delta).unwrap();
    copy
}

async fn shared_case() {
    let planner = HandoverPlanner::default();
    let serving = create_copy(1, false);
    let plans = planner.plan(&serving, &"vm-1".into());
    let again = planner.clone().plan(&serving, &"vm-1".into());
    assert!(Arc::ptr_eq(&plans, &again), "the plan was made twice");
    let draining = create_copy(2, true);
    let plans = planner.plan(&draining, &"vm-1".into());
    for group in ["cases", "rulings"] {
        let plan = plans.due(&group.into()).expect("the VM drains");
        assert_eq!(plan.leaseholder.as_str(), "vm-2");
    }
}
