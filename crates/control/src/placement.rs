//! Placement of groups on VMs.
//!
//! VMs are lost, drained and added, and new groups announce themselves. Every control leader must
//! compute the same placements; otherwise groups would move more often than VMs change, and each
//! move pauses the group's callers.
//!
//! Rendezvous hashing gives each group its own order of VMs, so that the loss of a VM moves only
//! its groups and spreads them over all others. No VM gets more than [`LOAD_CAP_PERCENT`] of the
//! mean load. With 125 %, most groups are on the first VM of their order, and the load is still
//! bounded.

use crate::CatalogCopy;
use crate::CatalogState;
use crate::MemberPresence;
use crate::digest::digest_bytes;
use crate::digest::mix_bits;
use crate::proximity::EndpointProximity;
use crate::proximity::proximity_in;
use ragwort_types::DomainName;
use ragwort_types::GroupName;
use ragwort_types::GroupPlacement;
use ragwort_types::GroupRecord;
use ragwort_types::MemberRecord;
use ragwort_types::PlacementEpoch;
use ragwort_types::StandbyList;
use ragwort_types::VmName;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Upper limit of the groups on one VM, in percent of the mean.
pub const LOAD_CAP_PERCENT: usize = 125;

/// Number of standbys of a group, if there are enough VMs.
pub const STANDBY_COUNT: usize = 2;

/// Returns the placements that the control leader must propose.
///
/// - A group whose leaseholder left the catalog moves to one of its live standbys, which hold its
///   journal, or else to another VM.
/// - A standby that is neither live nor expected, is draining, or needlessly shares a failure domain
///   is replaced.
/// - An unplaced group gets its first placement.
///
/// A leaseholder that is still in the catalog keeps its groups, live or not, because its lease may
/// be valid. Only live members get further groups. A draining leaseholder hands its groups over
/// itself, see [`plan_handovers`].
pub fn plan_placements(
    catalog: &CatalogState,
    presence: &MemberPresence,
    unplaced: &[GroupName],
) -> Vec<GroupPlacement> {
    let able = || catalog.members().filter(|member| can_lead(member));
    let live = able().filter(|member| presence.live.contains(&member.id.vm));
    let live: Vec<&MemberRecord> = live.collect();
    let mut planner = PlacementPlanner::new(&live, catalog.groups(), unplaced.len());
    planner.add_domains(catalog.members());
    planner.expect_members(able().filter(|member| presence.expected.contains(&member.id.vm)));
    let mut plans = Vec::new();
    for record in catalog.groups() {
        let kept = catalog.member(&record.placement.leaseholder).is_some();
        plans.extend(planner.replan_group(record, kept));
    }
    for group in unplaced {
        if catalog.group(group).is_none() {
            plans.extend(planner.place_new_group(group));
        }
    }
    plans
}

/// Plans the handovers of a leaseholder: all groups if it is draining, otherwise those above the
/// cap.
///
/// The leaseholder proposes each placement itself after it has stopped serving the group: until its
/// lease ends, only it knows when no request is in flight.
pub fn plan_handovers(copy: &CatalogCopy, vm: &VmName) -> Vec<GroupPlacement> {
    let usable = |member: &&MemberRecord| can_lead(member) && member.id.vm != *vm;
    let others: Vec<&MemberRecord> = copy.members().filter(usable).collect();
    let draining = copy.member(vm).is_none_or(|member| member.draining);
    let mut planner = PlacementPlanner::new(&others, copy.groups(), 0);
    planner.add_domains(copy.members());
    let own = |record: &&GroupRecord| record.placement.leaseholder == *vm;
    let mut led_groups: Vec<&GroupRecord> = copy.groups().filter(own).collect();
    if !draining {
        planner.count_planning_vm(copy.groups().count());
    }
    let kept = match draining {
        true => 0,
        false => planner.leader_cap,
    };
    led_groups
        .sort_by_key(|record| std::cmp::Reverse(rendezvous_score(&record.placement.group, vm)));
    let excess = led_groups.into_iter().skip(kept);
    excess
        .filter_map(|record| planner.hand_over_group(record))
        .collect()
}

/// Plans handovers of groups whose endpoints are far from their leaseholder.
///
/// `unused` means that the leaseholder has served nothing yet, so that a move pauses no caller.
pub fn plan_moves_to_endpoints(
    copy: &CatalogCopy,
    vm: &VmName,
    unused: bool,
) -> Vec<GroupPlacement> {
    let Some(own) = copy.member(vm) else {
        return Vec::new();
    };
    let usable = |member: &&MemberRecord| can_lead(member) && member.id.vm != *vm;
    let others: Vec<&MemberRecord> = copy.members().filter(usable).collect();
    let mut planner = PlacementPlanner::new(&others, copy.groups(), 0);
    planner.add_domains(copy.members());
    planner.count_planning_vm(copy.groups().count());
    let led_groups = copy
        .groups()
        .filter(|record| record.placement.leaseholder == *vm);
    let mut plans = Vec::new();
    for record in led_groups {
        let present = proximity_in(record, &own.domain);
        if present == EndpointProximity::Remote || unused {
            plans.extend(planner.move_near_endpoints(record, present));
        }
    }
    plans
}

/// Returns the maximum number of groups that one of `vms` VMs should lead out of `groups`.
pub fn load_cap(groups: usize, vms: usize) -> usize {
    (groups * LOAD_CAP_PERCENT).div_ceil(vms.max(1) * 100)
}

struct PlacementPlanner<'a> {
    usable: BTreeMap<&'a VmName, &'a MemberRecord>,
    /// The members that may keep what they have, but get nothing more.
    expected: BTreeMap<&'a VmName, &'a MemberRecord>,
    /// The failure domains of all members, because an unusable leaseholder may keep its groups.
    domains: BTreeMap<&'a VmName, &'a DomainName>,
    led_counts: BTreeMap<VmName, usize>,
    standby_counts: BTreeMap<VmName, usize>,
    leader_cap: usize,
    standby_cap: usize,
}

impl<'a> PlacementPlanner<'a> {
    fn new<'g>(
        usable: &[&'a MemberRecord],
        groups: impl Iterator<Item = &'g GroupRecord>,
        unplaced: usize,
    ) -> Self {
        let mut planner = Self {
            usable: usable
                .iter()
                .map(|member| (&member.id.vm, *member))
                .collect(),
            expected: BTreeMap::new(),
            domains: BTreeMap::new(),
            led_counts: BTreeMap::new(),
            standby_counts: BTreeMap::new(),
            leader_cap: 0,
            standby_cap: 0,
        };
        let mut count = unplaced;
        for record in groups {
            planner.count_placement(&record.placement);
            count += 1;
        }
        planner.leader_cap = load_cap(count, usable.len());
        planner.standby_cap = load_cap(count * STANDBY_COUNT, usable.len());
        planner
    }

    /// Includes the VM that hands groups over in the number of VMs that share the load.
    ///
    /// Otherwise the others' cap would be higher than its own: two VMs would hand a group back and
    /// forth without end, and its callers would be refused meanwhile.
    fn count_planning_vm(&mut self, groups: usize) {
        self.leader_cap = load_cap(groups, self.usable.len() + 1);
    }

    fn add_domains(&mut self, members: impl Iterator<Item = &'a MemberRecord>) {
        let named = members.map(|member| (&member.id.vm, &member.domain));
        self.domains.extend(named);
    }

    fn expect_members(&mut self, members: impl Iterator<Item = &'a MemberRecord>) {
        let named = members.map(|member| (&member.id.vm, member));
        self.expected.extend(named);
    }

    /// Returns whether a VM that is a group's standby may stay so.
    fn may_keep(&self, vm: &VmName) -> bool {
        self.usable.contains_key(vm) || self.expected.contains_key(vm)
    }

    fn count_placement(&mut self, placement: &GroupPlacement) {
        *self
            .led_counts
            .entry(placement.leaseholder.clone())
            .or_default() += 1;
        for standby in &placement.standbys {
            *self.standby_counts.entry(standby.clone()).or_default() += 1;
        }
    }

    fn uncount_placement(&mut self, placement: &GroupPlacement) {
        if let Some(count) = self.led_counts.get_mut(&placement.leaseholder) {
            *count -= 1;
        }
        for standby in &placement.standbys {
            if let Some(count) = self.standby_counts.get_mut(standby) {
                *count -= 1;
            }
        }
    }

    fn replan_group(&mut self, record: &GroupRecord, kept: bool) -> Option<GroupPlacement> {
        let present = &record.placement;
        if kept && self.is_settled(present) {
            return None;
        }
        self.uncount_placement(present);
        let leaseholder = match kept {
            true => Some(present.leaseholder.clone()),
            false => self.choose_successor(record),
        };
        let planned = leaseholder.map(|vm| self.fill_placement(present, vm));
        let changed = planned.filter(|planned| {
            planned.leaseholder != present.leaseholder || !has_same_standbys(planned, present)
        });
        self.count_placement(changed.as_ref().unwrap_or(present));
        changed
    }

    /// Returns whether a group's standbys may stay, without ranking any VM.
    ///
    /// Ranking 630 VMs for each of 710 groups at every tick would take noticeable time.
    fn is_settled(&self, present: &GroupPlacement) -> bool {
        let may_stay = present.standbys.iter().all(|vm| self.may_keep(vm));
        if present.standbys.len() < STANDBY_COUNT || !may_stay {
            return false;
        }
        let vms = present.standbys.iter().chain([&present.leaseholder]);
        let spread: BTreeSet<&DomainName> =
            vms.filter_map(|vm| self.domains.get(vm).copied()).collect();
        spread.len() > STANDBY_COUNT
    }

    fn place_new_group(&mut self, group: &GroupName) -> Option<GroupPlacement> {
        let leaseholder = self.choose_leaseholder(group)?;
        let absent = GroupPlacement {
            group: group.clone(),
            epoch: PlacementEpoch(0),
            leaseholder: leaseholder.clone(),
            standbys: StandbyList::new(),
        };
        let planned = self.fill_placement(&absent, leaseholder);
        self.count_placement(&planned);
        Some(planned)
    }

    fn hand_over_group(&mut self, record: &GroupRecord) -> Option<GroupPlacement> {
        let present = &record.placement;
        self.uncount_placement(present);
        let planned = self
            .choose_successor(record)
            .map(|vm| self.fill_placement(present, vm));
        self.count_placement(planned.as_ref().unwrap_or(present));
        planned
    }

    /// Plans the move of a group to a VM that is nearer to its endpoints and has room for it.
    fn move_near_endpoints(
        &mut self,
        record: &GroupRecord,
        present: EndpointProximity,
    ) -> Option<GroupPlacement> {
        let (vm, proximity) = self.choose_nearest(record)?;
        let room = self.led_counts.get(&vm).copied().unwrap_or(0) < self.leader_cap;
        if proximity <= present || !room {
            return None;
        }
        self.uncount_placement(&record.placement);
        let planned = self.fill_placement(&record.placement, vm);
        self.count_placement(&planned);
        Some(planned)
    }

    /// Returns the VM that is nearest to a group's endpoints among those with room for it.
    fn choose_nearest(&self, record: &GroupRecord) -> Option<(VmName, EndpointProximity)> {
        let group = &record.placement.group;
        let ranked = self.usable.iter().map(|(vm, member)| {
            let load = self.led_counts.get(*vm).copied().unwrap_or(0);
            let proximity = proximity_in(record, &member.domain);
            let room = load < self.leader_cap;
            let rank = (
                room,
                proximity,
                std::cmp::Reverse(load),
                rendezvous_score(group, vm),
            );
            (rank, *vm)
        });
        let ((_, proximity, _, _), vm) = ranked.max()?;
        Some((vm.clone(), proximity))
    }

    /// Chooses the next leaseholder.
    ///
    /// If the group has a journal, a usable standby is preferred because it holds the journal. If
    /// endpoints are recorded, the group has no journal, and the nearest VM is chosen.
    fn choose_successor(&self, record: &GroupRecord) -> Option<VmName> {
        if !record.endpoints.is_empty() {
            return self.choose_nearest(record).map(|(vm, _)| vm);
        }
        let present = &record.placement;
        let holders = present.standbys.iter();
        let usable = holders.filter(|vm| self.usable.contains_key(vm));
        let best = usable.min_by_key(|vm| {
            let load = self.led_counts.get(*vm).copied().unwrap_or(0);
            (
                load,
                std::cmp::Reverse(rendezvous_score(&present.group, vm)),
            )
        });
        match best {
            Some(vm) => Some(vm.clone()),
            None => self.choose_leaseholder(&present.group),
        }
    }

    fn choose_leaseholder(&self, group: &GroupName) -> Option<VmName> {
        let load = |vm: &VmName| self.led_counts.get(vm).copied().unwrap_or(0);
        let ranked = |vm: &&VmName| (load(vm) < self.leader_cap, rendezvous_score(group, vm));
        let best = self.usable.keys().copied().max_by_key(ranked);
        best.cloned()
    }

    /// Returns the next placement of a group under a leaseholder, with its standbys completed.
    fn fill_placement(&self, present: &GroupPlacement, leaseholder: VmName) -> GroupPlacement {
        let mut standbys = StandbyList::new();
        let mut domains: Vec<&DomainName> = Vec::new();
        domains.extend(self.domains.get(&leaseholder).copied());
        let kept = present.standbys.iter().filter(|vm| **vm != leaseholder);
        let kept: Vec<&VmName> = kept.filter(|vm| self.may_keep(vm)).collect();
        let expected = kept.iter().filter_map(|vm| self.expected.get(vm));
        let candidates: Vec<_> = self.usable.values().chain(expected).collect();
        while standbys.len() < STANDBY_COUNT {
            let chosen = |vm: &VmName| standbys.contains(vm) || *vm == leaseholder;
            let open = candidates.iter().filter(|member| !chosen(&member.id.vm));
            let best = open.max_by_key(|member| {
                let vm = &member.id.vm;
                let load = self.standby_counts.get(vm).copied().unwrap_or(0);
                (
                    !domains.contains(&&member.domain),
                    kept.contains(&vm),
                    load < self.standby_cap,
                    rendezvous_score(&present.group, vm),
                )
            });
            let Some(member) = best else {
                break;
            };
            domains.push(&member.domain);
            standbys.push(member.id.vm.clone());
        }
        GroupPlacement {
            group: present.group.clone(),
            epoch: present.epoch.next(),
            leaseholder,
            standbys,
        }
    }
}

/// Returns whether a member may be given groups.
fn can_lead(member: &MemberRecord) -> bool {
    member.traits.leaseholder && !member.draining
}

fn has_same_standbys(planned: &GroupPlacement, present: &GroupPlacement) -> bool {
    let holds = |vm: &VmName| present.standbys.contains(vm);
    planned.standbys.len() == present.standbys.len() && planned.standbys.iter().all(holds)
}

/// Returns a VM's rendezvous score for a group, which is the same on every VM and in every build.
fn rendezvous_score(group: &GroupName, vm: &VmName) -> u64 {
    let name = group.as_str().bytes().chain([0]).chain(vm.as_str().bytes());
    mix_bits(digest_bytes(name))
}
