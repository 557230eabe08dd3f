//! Tests of the choice of the leaseholder for a group whose endpoints are recorded.

use crate::common::CatalogScript;
use crate::common::announcement;
use crate::common::member;
use crate::common::placement;
use ragwort_control::CatalogCopy;
use ragwort_control::plan_handovers;
use ragwort_control::plan_moves_to_endpoints;
use ragwort_control::plan_placements;
use ragwort_types::CatalogCommand;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::GroupTerm;
use ragwort_types::PlacementEpoch;
use ragwort_types::RecordedEndpoints;
use ragwort_types::VmName;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeSet;

fn endpoint(name: &str, domain: &str) -> EndpointAnnouncement {
    announcement("cases", name, domain)
}

/// Creates four VMs, each in its own domain, and a group led by one of them, with its primary in
/// domain 2 and its replica in domain 3.
fn distant_group(leaseholder: &str) -> CatalogScript {
    let mut script = CatalogScript::with_members(0);
    for number in 1..=4 {
        let mut member = member(number, 1);
        member.domain = format!("domain-{number}").into();
        script.expect_done(CatalogCommand::AdmitMember(member));
    }
    script.expect_done(CatalogCommand::PlaceGroup(placement(
        "cases",
        1,
        leaseholder,
        &[],
    )));
    script.expect_done(CatalogCommand::RecordEndpoints(Box::new(
        RecordedEndpoints {
            group: "cases".into(),
            epoch: PlacementEpoch(1),
            term: GroupTerm(1),
            primary: Some("a".into()),
            endpoints: vec![endpoint("a", "domain-2"), endpoint("b", "domain-3")],
            settled_token: 0,
        },
    )));
    script
}

fn planned_leaseholder(script: &CatalogScript, vm: &str, unused: bool) -> Option<VmName> {
    let mut copy = CatalogCopy::new();
    copy.apply_delta(&script.state.delta_since(copy.revision()))
        .unwrap();
    let plans = plan_moves_to_endpoints(&copy, &vm.into(), unused);
    plans.into_iter().next().map(|plan| plan.leaseholder)
}

case! {
    /// A leaseholder has no endpoint in its failure domain, so each statement crosses domains
    /// twice, which adds latency and traffic costs. It hands the group over.
    leaseholder_without_an_endpoint_nearby_hands_over {
        let script = distant_group("vm-1");
        assert_eq!(planned_leaseholder(&script, "vm-1", false), Some("vm-2".into()));
    }
}

case! {
    /// A leaseholder near a replica serves requests. Moving to the primary would save less than its
    /// pause costs callers. If it has served nothing yet, it does move there: otherwise each
    /// statement of an urgent transaction would cross to another domain and back.
    serving_leaseholder_near_an_endpoint_stays {
        let script = distant_group("vm-3");
        assert_eq!(planned_leaseholder(&script, "vm-3", false), None);
        assert_eq!(planned_leaseholder(&script, "vm-3", true), Some("vm-2".into()));
        let script = distant_group("vm-2");
        assert_eq!(planned_leaseholder(&script, "vm-2", true), None);
    }
}

case! {
    /// The VM near the primary already leads its share of groups. A group that moved there would be
    /// moved away again at once, and callers would be paused twice.
    group_does_not_move_to_a_full_vm {
        let mut script = distant_group("vm-1");
        script.expect_done(CatalogCommand::PlaceGroup(placement("other", 1, "vm-2", &[])));
        assert_eq!(planned_leaseholder(&script, "vm-1", false), Some("vm-3".into()));
    }
}

/// Places groups at random, some far from their endpoints, on VMs in four domains.
fn scattered_groups(seed: u64) -> CatalogScript {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut script = CatalogScript::with_members(0);
    let vms = rng.random_range(2..7_u64);
    for number in 1..=vms {
        let mut member = member(number, 1);
        member.domain = format!("domain-{}", rng.random_range(1..=4)).into();
        script.expect_done(CatalogCommand::AdmitMember(member));
    }
    for number in 0..rng.random_range(1..10_u64) {
        let group = format!("cases-{number}");
        let vm = format!("vm-{}", rng.random_range(1..=vms));
        script.expect_done(CatalogCommand::PlaceGroup(placement(&group, 1, &vm, &[])));
        let endpoints = (0..rng.random_range(1..4)).map(|instance| {
            let domain = format!("domain-{}", rng.random_range(1..=4));
            endpoint(&format!("{instance}"), &domain)
        });
        script.expect_done(CatalogCommand::RecordEndpoints(Box::new(
            RecordedEndpoints {
                group: group.as_str().into(),
                epoch: PlacementEpoch(1),
                term: GroupTerm(1),
                primary: Some("0".into()),
                endpoints: endpoints.collect(),
                settled_token: 0,
            },
        )));
    }
    script
}

/// Lets each VM hand over one group that it should, and returns whether there was any.
fn hand_over_all(script: &mut CatalogScript) -> bool {
    let vms: Vec<VmName> = script
        .state
        .members()
        .map(|one| one.id.vm.clone())
        .collect();
    let mut moved = false;
    for vm in vms {
        let mut copy = CatalogCopy::new();
        copy.apply_delta(&script.state.delta_since(copy.revision()))
            .unwrap();
        let due = plan_handovers(&copy, &vm).into_iter();
        // A VM hands over one group at a time and then plans again.
        let plan = due.chain(plan_moves_to_endpoints(&copy, &vm, false)).next();
        if let Some(plan) = plan {
            script.expect_done(CatalogCommand::PlaceGroup(plan));
            moved = true;
        }
    }
    moved
}

case! {
    /// After the loss of a VM, the others lead uneven numbers of groups, some far from their
    /// endpoints. If one rule moved a group to where another moves it away, the group would move
    /// between two VMs without end, and its callers would be refused meanwhile. The handovers must
    /// end.
    groups_come_to_rest {
        for seed in 0..2_000 {
            let mut script = scattered_groups(seed);
            let rested = (0..30).any(|_| !hand_over_all(&mut script));
            assert!(rested, "seed {seed}");
        }
    }
}

case! {
    /// A leaseholder's VM is lost. Its successor must be near the endpoints, so that the group
    /// needn't move a second time.
    successor_is_near_the_endpoints {
        let mut script = distant_group("vm-1");
        script.expect_done(CatalogCommand::RemoveMember(member(1, 1).id));
        let live: BTreeSet<VmName> = ["vm-2", "vm-3", "vm-4"].map(VmName::from).into();
        let plans = plan_placements(&script.state, &live.into(), &[]);
        assert_eq!(plans.len(), 1);
        assert_eq!(plans[0].leaseholder, VmName::from("vm-2"));
    }
}
