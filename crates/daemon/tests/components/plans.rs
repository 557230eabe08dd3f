//! The handover planner, whose plans all leaseholders of a VM share.

use ragwort_control::CatalogCopy;
use ragwort_types::CatalogDelta;
use ragwort_types::CatalogItem;
use ragwort_types::CatalogRevision;
use ragwort_types::GroupPlacement;
use ragwort_types::GroupRecord;
use ragwort_types::GroupTerm;
use ragwort_types::GroupTerms;
use ragwort_types::LogPosition;
use ragwort_types::MemberId;
use ragwort_types::MemberRecord;
use ragwort_types::MemberTraits;
use ragwort_types::PlacementEpoch;
use ragwort_types::VmIncarnation;
use ragwortgated::handover_plans::HandoverPlanner;
use std::sync::Arc;

failure_cases! {
    /// Each leaseholder of a VM once computed the plan of all groups at every change of the
    /// catalog. With hundreds of groups that used up the CPU until leases expired. Now a revision
    /// is planned once.
    groups_of_a_vm_share_a_plan => shared_case();
    /// A configuration changes terms and contracts, and no placement. Each VM planned the handovers
    /// of all its groups anew, while their callers waited.
    change_of_the_configuration_plans_nothing => configuration_case();
}

fn create_member(vm: &str, draining: bool) -> CatalogItem {
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

/// Creates the record of a group that `vm-1` leads.
fn create_group(name: &str) -> CatalogItem {
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
        orders: Vec::new(),
    }))
}

/// Creates a catalog copy with two VMs, the first of which leads both groups.
fn create_copy(revision: u64, draining: bool) -> CatalogCopy {
    let items = vec![
        create_member("vm-1", draining),
        create_member("vm-2", false),
        create_group("cases"),
        create_group("rulings"),
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
    assert!(
        Arc::ptr_eq(&plans, &again),
        "the same revision was planned twice"
    );
    let draining = create_copy(2, true);
    let plans = planner.plan(&draining, &"vm-1".into());
    for group in ["cases", "rulings"] {
        let plan = plans
            .due(&group.into())
            .expect("a draining VM's group has a plan");
        assert_eq!(plan.leaseholder.as_str(), "vm-2");
    }
}

async fn configuration_case() {
    let planner = HandoverPlanner::default();
    let mut copy = create_copy(1, false);
    let plans = planner.plan(&copy, &"vm-1".into());
    let mut change = |revision: u64, item: CatalogItem| {
        let delta = CatalogDelta {
            from: Some(copy.revision()),
            to: CatalogRevision(revision),
            items: vec![item],
        };
        copy.apply_delta(&delta).unwrap();
        planner.plan(&copy, &"vm-1".into())
    };
    let terms = CatalogItem::GroupTerms(GroupTerms {
        group: "cases".into(),
        connections: 16,
        synchronous_replicas: 0,
        idle_transaction_ms: 3_000,
    });
    assert!(Arc::ptr_eq(&plans, &change(2, terms)));
    let drained = change(3, create_member("vm-1", true));
    assert!(drained.due(&"cases".into()).is_some());
}
