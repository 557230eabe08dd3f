//! Failure tests of leases and placement: network partitions, restarts, new leaders and lost VMs.

use ragwort_control::CatalogCopy;
use ragwort_control::ClockTime;
use ragwort_control::LeaseDecision;
use ragwort_control::LeaseLedger;
use ragwort_control::MemberLease;
use ragwort_control::MemberPresence;
use ragwort_control::RequestedLease;
use ragwort_control::load_cap;
use ragwort_control::plan_handovers;
use ragwort_control::plan_placements;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogRevision;
use ragwort_types::ContractAcceptance;
use ragwort_types::ContractVersion;
use ragwort_types::GroupName;
use ragwort_types::GroupPlacement;
use ragwort_types::HeartbeatRequest;
use ragwort_types::LeaseGrant;
use ragwort_types::VmName;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::common::CatalogScript;
use crate::common::contract_change;
use crate::common::member;

const LEASE: Duration = Duration::from_millis(2_000);

fn heartbeat(number: u64, incarnation: u64, revision: u64) -> HeartbeatRequest {
    HeartbeatRequest {
        member: member(number, incarnation),
        revision: CatalogRevision(revision),
        unplaced_groups: Vec::new(),
    }
}

fn ledger() -> LeaseLedger {
    LeaseLedger::new(ClockTime::from_millis(0), LEASE)
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// Places `groups` groups on `vms` VMs and applies the plan.
fn placed_catalog(vms: u64, groups: u64) -> CatalogScript {
    let mut script = CatalogScript::with_members(vms);
    let names: Vec<GroupName> = (0..groups)
        .map(|number| GroupName::from(format!("group-{number}")))
        .collect();
    let live = live_members(&script);
    for plan in plan_placements(&script.state, &live, &names) {
        script.expect_done(CatalogCommand::PlaceGroup(plan));
    }
    script
}

fn live_members(script: &CatalogScript) -> MemberPresence {
    let members = script.state.members();
    let live: BTreeSet<VmName> = members.map(|member| member.id.vm.clone()).collect();
    live.into()
}

fn leaseholders(script: &CatalogScript) -> BTreeMap<GroupName, GroupPlacement> {
    let groups = script.state.groups();
    groups
        .map(|record| (record.placement.group.clone(), record.placement.clone()))
        .collect()
}

fn max_groups_led(script: &CatalogScript) -> usize {
    let mut counts: BTreeMap<VmName, usize> = BTreeMap::new();
    for placement in leaseholders(script).into_values() {
        *counts.entry(placement.leaseholder).or_default() += 1;
    }
    counts.into_values().max().unwrap_or(0)
}

fn lose_vm_and_replan(vms: u64, groups: u64) {
    let mut script = placed_catalog(vms, groups);
    assert!(max_groups_led(&script) <= load_cap(groups as usize, vms as usize));
    let before = leaseholders(&script);
    script.expect_done(CatalogCommand::RemoveMember(member(1, 1).id));
    let live = live_members(&script);
    for plan in plan_placements(&script.state, &live, &[]) {
        script.expect_done(CatalogCommand::PlaceGroup(plan));
    }
    let lost = VmName::from("vm-1");
    for (group, after) in leaseholders(&script) {
        let former = &before[&group];
        let held_by_lost = former.leaseholder == lost || former.standbys.contains(&lost);
        assert_eq!(held_by_lost, *former != after, "{group}");
        if former.leaseholder == lost {
            assert!(former.standbys.contains(&after.leaseholder), "{group}");
        } else {
            assert_eq!(former.leaseholder, after.leaseholder, "{group}");
        }
    }
    assert!(plan_placements(&script.state, &live, &[]).is_empty());
}

case! {
    /// The reply to a heartbeat is delayed. If the lease counted from its arrival, the member would
    /// still serve after control has given its groups to another.
    lease_counts_from_the_moment_of_sending {
        let grant = LeaseGrant { lease_ms: 2_000, revision: CatalogRevision(3), delta: None };
        let mut lease = MemberLease::new();
        assert!(lease.renew(at(100), &grant, CatalogRevision(3)));
        assert!(lease.is_valid(at(2_099)));
        assert!(!lease.is_valid(at(2_100)));
        assert!(lease.renew(at(50), &grant, CatalogRevision(3)));
        assert_eq!(lease.remaining(at(2_000)), Duration::from_millis(100));
    }
}

case! {
    /// A member can't apply a delta but continues to send heartbeats. If its lease were renewed, a
    /// customer would be served under the replaced contract while operators are told that the new
    /// one is in force.
    member_behind_the_grant_is_not_renewed {
        let grant = LeaseGrant { lease_ms: 2_000, revision: CatalogRevision(3), delta: None };
        let mut lease = MemberLease::new();
        assert!(!lease.renew(at(100), &grant, CatalogRevision(2)));
        assert!(!lease.is_valid(at(101)));
    }
}

case! {
    /// The control leader changes while a partitioned member's lease is still valid. The new leader
    /// doesn't know that lease and must not give the member's groups to another yet.
    new_leader_waits_for_unknown_leases {
        let script = CatalogScript::with_members(1);
        let mut ledger = ledger();
        assert!(ledger.due_commands(at(2_019), &script.state).is_empty());
        let due = ledger.due_commands(at(2_020), &script.state);
        assert_eq!(due, vec![CatalogCommand::RemoveMember(member(1, 1).id)]);
    }
}

case! {
    /// The removal of a member is proposed, and its heartbeat arrives before the commit. A lease
    /// granted then would overlap with that of its successor.
    member_due_for_removal_gets_no_lease_until_it_rejoins {
        let mut script = CatalogScript::with_members(1);
        let mut ledger = ledger();
        let due = ledger.due_commands(at(3_000), &script.state);
        let late = ledger.receive(at(3_001), &heartbeat(1, 1, 1), &script.state);
        assert_eq!(late, LeaseDecision::NotYet);
        assert_eq!(ledger.due_commands(at(3_002), &script.state), due);
        script.expect_done(due[0].clone());
        assert!(ledger.due_commands(at(3_003), &script.state).is_empty());
        ledger.receive(at(3_004), &heartbeat(1, 1, 1), &script.state);
        let due = ledger.due_commands(at(3_005), &script.state);
        assert_eq!(due, vec![CatalogCommand::AdmitMember(member(1, 1))]);
        script.expect_done(due[0].clone());
        let granted = ledger.receive(at(3_006), &heartbeat(1, 1, 3), &script.state);
        assert_eq!(granted, LeaseDecision::Grant(LEASE));
    }
}

case! {
    /// A daemon crashes and is restarted at once. The new process must wait until the old one's
    /// lease has ended, and the old one must be told to stop if it is still running.
    restarted_daemon_waits_for_its_former_lease {
        let mut script = CatalogScript::with_members(1);
        let mut ledger = ledger();
        ledger.receive(at(2_600), &heartbeat(1, 1, 1), &script.state);
        let successor = ledger.receive(at(2_700), &heartbeat(1, 2, 0), &script.state);
        assert_eq!(successor, LeaseDecision::NotYet);
        let former = ledger.receive(at(2_800), &heartbeat(1, 1, 1), &script.state);
        assert_eq!(former, LeaseDecision::Superseded);
        assert!(ledger.due_commands(at(4_619), &script.state).is_empty());
        ledger.receive(at(4_620), &heartbeat(1, 2, 0), &script.state);
        let due = ledger.due_commands(at(4_620), &script.state);
        assert_eq!(due, vec![CatalogCommand::RemoveMember(member(1, 1).id)]);
        script.expect_done(due[0].clone());
        let due = ledger.due_commands(at(4_621), &script.state);
        assert_eq!(due, vec![CatalogCommand::AdmitMember(member(1, 2))]);
    }
}

/// Returns a heartbeat of a process that listens on an address of its VM that no other process can
/// use.
fn exclusive_heartbeat(number: u64, incarnation: u64, revision: u64) -> HeartbeatRequest {
    let mut request = heartbeat(number, incarnation, revision);
    request.member.traits.exclusive = true;
    request
}

case! {
    /// All control VMs lose power and return. Their processes listen on the addresses of the former
    /// ones, which have therefore ended. If they waited for the former leases nevertheless, callers
    /// would be refused for seconds after everything is running again.
    process_at_its_predecessors_address_takes_its_place_at_once {
        let mut script = CatalogScript::with_members(0);
        let mut ledger = ledger();
        let first = exclusive_heartbeat(1, 1, 0);
        ledger.receive(at(10), &first, &script.state);
        for command in ledger.due_commands(at(11), &script.state) {
            script.expect_done(command);
        }
        script.expect_done(CatalogCommand::AdmitMember(member(2, 1)));
        let names = [GroupName::from("cases")];
        let live = live_members(&script);
        let plan = plan_placements(&script.state, &live, &names).remove(0);
        let epoch = plan.epoch;
        script.expect_done(CatalogCommand::PlaceGroup(plan));
        let mut successor = LeaseLedger::new(at(100), LEASE);
        let back = exclusive_heartbeat(1, 2, 0);
        assert_eq!(successor.receive(at(101), &back, &script.state), LeaseDecision::NotYet);
        let due = successor.due_commands(at(102), &script.state);
        assert_eq!(due, vec![CatalogCommand::AdmitMember(back.member.clone())]);
        script.expect_done(due[0].clone());
        // The former process's journal of the group is lost.
        let record = script.state.group(&names[0]).unwrap();
        assert!(record.placement.epoch > epoch);
        let revision = script.state.revision().0;
        let granted = successor.receive(at(103), &exclusive_heartbeat(1, 2, revision), &script.state);
        assert_eq!(granted, LeaseDecision::Grant(LEASE));
        let former = successor.receive(at(104), &first, &script.state);
        assert_eq!(former, LeaseDecision::Superseded);
    }
}

case! {
    /// A VM's name appears at another address while the former process may be running. The new
    /// process must wait for the former lease like any other.
    process_at_another_address_waits {
        let mut script = CatalogScript::with_members(0);
        let mut ledger = ledger();
        ledger.receive(at(10), &exclusive_heartbeat(1, 1, 0), &script.state);
        for command in ledger.due_commands(at(11), &script.state) {
            script.expect_done(command);
        }
        let mut moved = exclusive_heartbeat(1, 2, 0);
        moved.member.peer_address = "127.0.0.2:7000".parse().unwrap();
        assert_eq!(ledger.receive(at(12), &moved, &script.state), LeaseDecision::NotYet);
        assert!(ledger.due_commands(at(13), &script.state).is_empty());
    }
}

case! {
    /// A change is accepted while one member is silent and another can't apply deltas. The operator
    /// must see it in force after both leases have ended, and not before.
    change_is_in_force_when_silent_leases_have_ended {
        let mut script = CatalogScript::with_members(3);
        let mut ledger = ledger();
        for number in 1..=3 {
            ledger.receive(at(2_600), &heartbeat(number, 1, 3), &script.state);
        }
        script.apply(CatalogCommand::ApplyContract(contract_change(1, 0, 10)));
        let acceptance = ContractAcceptance {
            version: ContractVersion(1),
            revision: CatalogRevision(4),
        };
        ledger.receive(at(2_700), &heartbeat(1, 1, 4), &script.state);
        ledger.receive(at(2_700), &heartbeat(2, 1, 3), &script.state);
        let early = ledger.in_force_status(acceptance, at(4_619), &script.state);
        assert_eq!((early.in_force, early.waiting_for), (false, 2));
        let behind = ledger.receive(at(4_701), &heartbeat(2, 1, 3), &script.state);
        assert_eq!(behind, LeaseDecision::Grant(Duration::ZERO));
        ledger.receive(at(4_701), &heartbeat(1, 1, 4), &script.state);
        let late = ledger.in_force_status(acceptance, at(4_720), &script.state);
        assert!(late.in_force, "{late:?}");
    }
}

case! {
    /// One of 8 VMs is lost. Only its groups may move, each to a standby that holds the journal;
    /// any other move would pause callers needlessly.
    loss_of_one_of_8_vms_moves_only_its_groups {
        lose_vm_and_replan(8, 6);
    }
}

case! {
    /// One of 630 VMs is lost, with the number of VMs and groups expected in two years.
    loss_of_one_of_630_vms_moves_only_its_groups {
        lose_vm_and_replan(630, 710);
    }
}

/// Returns the groups that a leader elected at 100 ms would place anew at `now`, after a heartbeat
/// from the first `heard` of 5 VMs at 110 ms.
fn replanned_after_election(heard: u64, now: ClockTime) -> usize {
    let script = placed_catalog(5, 100);
    let mut ledger = LeaseLedger::new(at(100), LEASE);
    for number in 1..=heard {
        ledger.receive(at(110), &heartbeat(number, 1, 0), &script.state);
    }
    let presence = ledger.presence(now, &script.state);
    plan_placements(&script.state, &presence, &[]).len()
}

case! {
    /// A new control leader hasn't heard any member yet. If it replaced the standbys of every group,
    /// and again when the members are heard, this work would cost it the leadership in turn.
    new_leader_keeps_standbys_that_it_has_not_heard {
        for heard in 0..=5 {
            let replanned = replanned_after_election(heard, at(111));
            assert_eq!(replanned, 0, "{heard} VMs are heard");
        }
    }
}

case! {
    /// A member that was lost with the former leader sends no heartbeat. Its groups must get another
    /// standby once its lease has ended.
    standbys_that_stay_silent_are_replaced {
        let last = at(100) + LEASE;
        assert_eq!(replanned_after_election(4, last), 0);
        assert!(replanned_after_election(4, last + LEASE / 50) > 0);
    }
}

case! {
    /// A VM that is only expected may be lost. A group whose leaseholder has left must go to a live
    /// VM, or its callers would wait for another lease.
    expected_members_get_no_groups {
        let mut script = placed_catalog(5, 100);
        script.expect_done(CatalogCommand::RemoveMember(member(1, 1).id));
        let mut ledger = LeaseLedger::new(at(100), LEASE);
        ledger.receive(at(110), &heartbeat(2, 1, 0), &script.state);
        let presence = ledger.presence(at(111), &script.state);
        let placed = plan_placements(&script.state, &presence, &["late".into()]);
        let before = leaseholders(&script);
        for plan in placed {
            let former = before.get(&plan.group);
            let moved = former.is_none_or(|former| former.leaseholder != plan.leaseholder);
            assert!(!moved || plan.leaseholder == VmName::from("vm-2"), "{plan:?}");
        }
    }
}

case! {
    /// The first VM to join gets every group because there is no other yet. After others have
    /// joined, it must hand over all but its share, or it would carry the whole load.
    overloaded_and_draining_leaseholders_hand_over {
        let mut script = placed_catalog(1, 6);
        for number in 2..=8 {
            script.expect_done(CatalogCommand::AdmitMember(member(number, 1)));
        }
        let live = live_members(&script);
        for plan in plan_placements(&script.state, &live, &[]) {
            script.expect_done(CatalogCommand::PlaceGroup(plan));
        }
        let mut copy = CatalogCopy::new();
        copy.apply_delta(&script.state.delta_since(copy.revision())).unwrap();
        for plan in plan_handovers(&copy, &"vm-1".into()) {
            script.expect_done(CatalogCommand::PlaceGroup(plan));
        }
        assert_eq!(max_groups_led(&script), 1);

        let leader = script.state.groups().next().unwrap().placement.leaseholder.clone();
        let mut draining = script.state.member(&leader).unwrap().clone();
        draining.draining = true;
        script.expect_done(CatalogCommand::AdmitMember(draining));
        copy.apply_delta(&script.state.delta_since(copy.revision())).unwrap();
        let plans = plan_handovers(&copy, &leader);
        assert_eq!(plans.len(), 1);
        assert!(plans.iter().all(|plan| plan.leaseholder != leader));
    }
}

case! {
    /// If the leaseholder and its standbys were in one failure domain, they and the journal could
    /// be lost together, and outcomes would be in doubt that a standby elsewhere could settle.
    group_is_spread_over_failure_domains {
        let script = placed_catalog(8, 6);
        for placement in leaseholders(&script).into_values() {
            let mut domains = BTreeSet::new();
            let vms = placement.standbys.iter().chain([&placement.leaseholder]);
            domains.extend(vms.map(|vm| &script.state.member(vm).unwrap().domain));
            assert_eq!(domains.len(), 3, "{placement:?}");
        }
    }
}

fn short_lease_heartbeat(lease_ms: u64, revision: u64) -> HeartbeatRequest {
    let mut heartbeat = heartbeat(1, 1, revision);
    heartbeat.member.lease_ms = lease_ms;
    heartbeat
}

/// Admits member 1 with the lease that it requests, and returns the control leader's table of
/// leases.
fn admit_with_lease(script: &mut CatalogScript, lease_ms: u64) -> LeaseLedger {
    let mut ledger = ledger();
    ledger.receive(at(0), &short_lease_heartbeat(lease_ms, 0), &script.state);
    for command in ledger.due_commands(at(1), &script.state) {
        script.expect_done(command);
    }
    ledger
}

case! {
    /// A leaseholder's VM freezes. It requested a short lease, so its groups move when that lease
    /// has ended, and callers needn't wait for the longest lease. A new control leader knows the
    /// length from the catalog.
    short_lease_ends_early_for_every_leader {
        let mut script = CatalogScript::with_members(0);
        let mut ledger = admit_with_lease(&mut script, 600);
        let revision = script.state.revision().0;
        let granted = ledger.receive(at(10), &short_lease_heartbeat(600, revision), &script.state);
        assert_eq!(granted, LeaseDecision::Grant(Duration::from_millis(600)));
        assert!(ledger.due_commands(at(615), &script.state).is_empty());
        let gone = vec![CatalogCommand::RemoveMember(member(1, 1).id)];
        assert_eq!(ledger.due_commands(at(616), &script.state), gone);
        let mut successor = LeaseLedger::new(at(1_000), LEASE);
        assert!(successor.due_commands(at(1_605), &script.state).is_empty());
        assert_eq!(successor.due_commands(at(1_606), &script.state), gone);
    }
}

case! {
    /// A member has pauses and requests a longer lease than before. If it were granted at once, it
    /// would outlast the length that a new leader reads in the catalog, and two VMs would serve one
    /// group.
    longer_lease_waits_for_the_catalog {
        let mut script = CatalogScript::with_members(0);
        let mut ledger = admit_with_lease(&mut script, 600);
        let revision = script.state.revision().0;
        let asks = short_lease_heartbeat(900, revision);
        let granted = ledger.receive(at(10), &asks, &script.state);
        assert_eq!(granted, LeaseDecision::Grant(Duration::from_millis(600)));
        let due = ledger.due_commands(at(11), &script.state);
        assert_eq!(due, vec![CatalogCommand::AdmitMember(asks.member.clone())]);
        script.expect_done(due[0].clone());
        let asks = short_lease_heartbeat(900, script.state.revision().0);
        let granted = ledger.receive(at(12), &asks, &script.state);
        assert_eq!(granted, LeaseDecision::Grant(Duration::from_millis(900)));
    }
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

case! {
    /// A VM's processor pauses for a few tenths of a second now and then. With the shortest lease,
    /// the VM would stop serving each time without a fault; it requests a lease that covers its
    /// pauses.
    pauses_lengthen_the_lease {
        let mut requested_lease = RequestedLease::new(millis(150), millis(1_200));
        assert_eq!(requested_lease.lease(), millis(600));
        assert!(!requested_lease.note_heartbeat_time(millis(80)));
        assert!(!requested_lease.note_heartbeat_time(millis(300)));
        assert!(requested_lease.note_heartbeat_time(millis(400)));
        assert_eq!(requested_lease.lease(), millis(750));
        assert!(!requested_lease.note_heartbeat_time(millis(10)));
        assert_eq!(requested_lease.lease(), millis(750), "the requested length never falls");
        assert!(requested_lease.note_heartbeat_time(millis(1_100)));
        assert_eq!(requested_lease.lease(), millis(1_200));
    }
}

case! {
    /// A VM was frozen for seconds. No lease could cover that, and a longer one would only delay
    /// its groups' next takeover.
    long_freeze_does_not_lengthen_the_lease {
        let mut requested_lease = RequestedLease::new(millis(150), millis(1_200));
        assert!(!requested_lease.note_heartbeat_time(millis(7_000)));
        assert_eq!(requested_lease.lease(), millis(600));
    }
}
