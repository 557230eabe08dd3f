//! Which VM serves which group.
//!
//! Load: a VM is lost or drained, VMs join, and new groups announce themselves. Without a rule that
//! every control leader computes alike, groups would move more often than their VMs change, and
//! each move costs users a pause.
//!
//! Rendezvous hashing gives each group its own order of VMs, so that the loss of one VM moves only
//! that VM's groups, and spreads them over all others. A cap of [`LOAD_PERCENT`] of the mean keeps
//! one VM from getting many more groups than another; 125 % was taken because it leaves the hash
//! its first choice for most groups and still bounds the load.

use crate::CatalogCopy;
use crate::CatalogState;
use crate::digest::digest_bytes;
use crate::digest::mix_bits;
use crate::proximity::EndpointProximity;
use crate::proximity::judge_proximity;
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

/// The most groups that placement gives to one VM, in percent of the mean.
pub const LOAD_PERCENT: usize = 125;

/// The number of standbys of a group, if there are VMs for them.
pub const STANDBY_COUNT: usize = 2;

/// Plans the placements that are due: the control leader proposes them.
///
/// - A group whose leaseholder left the catalog goes to one of its live standbys, which hold its
///   journal, or else to another VM.
/// - A standby that isn't live, drains, or shares a failure domain without need is replaced.
/// - An unplaced group gets its first placement.
///
/// A leaseholder that is still in the catalog keeps its groups, live or not: its lease may run.
/// One that drains hands its groups over by itself, see [`plan_handovers`].
pub fn plan_placements(
    catalog: &CatalogState,
    live: &BTreeSet<VmName>,
    unplaced: &[GroupName],
) -> Vec<GroupPlacement> {
    let usable = |member: &&MemberRecord| can_lead(member) && live.contains(&member.id.vm);
    let members: Vec<&MemberRecord> = catalog.members().filter(usable).collect();
    let mut planner = PlacementPlanner::new(&members, catalog.groups(), unplaced.len());
    planner.learn_domains(catalog.members());
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

/// Plans the groups that a leaseholder should hand over: all if it drains, else those above the
/// cap.
///
/// The leaseholder proposes each placement itself, after it has stopped serving the group: until
/// its lease ends only it knows when nothing is in flight.
pub fn plan_handovers(copy: &CatalogCopy, vm: &VmName) -> Vec<GroupPlacement> {
    let usable = |member: &&MemberRecord| can_lead(member) && member.id.vm != *vm;
    let others: Vec<&MemberRecord> = copy.members().filter(usable).collect();
    let draining = copy.member(vm).is_none_or(|member| member.draining);
    let mut planner = PlacementPlanner::new(&others, copy.groups(), 0);
    planner.learn_domains(copy.members());
    let own = |record: &&GroupRecord| record.placement.leaseholder == *vm;
    let mut led: Vec<&GroupRecord> = copy.groups().filter(own).collect();
    if !draining {
        planner.count_keeper(copy.groups().count());
    }
    let kept = match draining {
        true => 0,
        false => planner.lead_cap,
    };
    led.sort_by_key(|record| std::cmp::Reverse(score(&record.placement.group, vm)));
    let excess = led.into_iter().skip(kept);
    excess
        .filter_map(|record| planner.hand_over_group(record))
        .collect()
}

/// Plans the groups that a leaseholder should hand over because their endpoints are far from it.
///
/// `unused` says that it has served nothing yet, so that a move costs nobody a pause.
pub fn plan_approaches(copy: &CatalogCopy, vm: &VmName, unused: bool) -> Vec<GroupPlacement> {
    let Some(own) = copy.member(vm) else {
        return Vec::new();
    };
    let usable = |member: &&MemberRecord| can_lead(member) && member.id.vm != *vm;
    let others: Vec<&MemberRecord> = copy.members().filter(usable).collect();
    let mut planner = PlacementPlanner::new(&others, copy.groups(), 0);
    planner.learn_domains(copy.members());
    planner.count_keeper(copy.groups().count());
    let led = copy
        .groups()
        .filter(|record| record.placement.leaseholder == *vm);
    let mut plans = Vec::new();
    for record in led {
        let present = judge_proximity(record, &own.domain);
        if present == EndpointProximity::Remote || unused {
            plans.extend(planner.approach_endpoints(record, present));
        }
    }
    plans
}

/// Returns the most groups that one of `vms` VMs should lead of `groups`.
pub fn load_cap(groups: usize, vms: usize) -> usize {
    (groups * LOAD_PERCENT).div_ceil(vms.max(1) * 100)
}

struct PlacementPlanner<'a> {
    usable: BTreeMap<&'a VmName, &'a MemberRecord>,
    /// The failure domains of all members, as a leaseholder that isn't usable keeps its groups.
    domains: BTreeMap<&'a VmName, &'a DomainName>,
    led: BTreeMap<VmName, usize>,
    backed: BTreeMap<VmName, usize>,
    lead_cap: usize,
    backing_cap: usize,
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
            domains: BTreeMap::new(),
            led: BTreeMap::new(),
            backed: BTreeMap::new(),
            lead_cap: 0,
            backing_cap: 0,
        };
        let mut count = unplaced;
        for record in groups {
            planner.count_placement(&record.placement);
            count += 1;
        }
        planner.lead_cap = load_cap(count, usable.len());
        planner.backing_cap = load_cap(count * STANDBY_COUNT, usable.len());
        planner
    }

    /// Counts the VM that hands groups over among those that share the load.
    ///
    /// Without it the others' cap would be higher than its own: each of two VMs would hand a group to
    /// the other, which sheds it as too much, and its callers would be refused without end.
    fn count_keeper(&mut self, groups: usize) {
        self.lead_cap = load_cap(groups, self.usable.len() + 1);
    }

    fn learn_domains(&mut self, members: impl Iterator<Item = &'a MemberRecord>) {
        let named = members.map(|member| (&member.id.vm, &member.domain));
        self.domains.extend(named);
    }

    fn count_placement(&mut self, placement: &GroupPlacement) {
        *self.led.entry(placement.leaseholder.clone()).or_default() += 1;
        for standby in &placement.standbys {
            *self.backed.entry(standby.clone()).or_default() += 1;
        }
    }

    fn uncount_placement(&mut self, placement: &GroupPlacement) {
        if let Some(count) = self.led.get_mut(&placement.leaseholder) {
            *count -= 1;
        }
        for standby in &placement.standbys {
            if let Some(count) = self.backed.get_mut(standby) {
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
            planned.leaseholder != present.leaseholder || !same_set(planned, present)
        });
        self.count_placement(changed.as_ref().unwrap_or(present));
        changed
    }

    /// Says without ranking any VM that a group needs no other standbys.
    ///
    /// Ranking 630 VMs for each of 710 groups takes long enough to be felt when it is done at each
    /// tick.
    fn is_settled(&self, present: &GroupPlacement) -> bool {
        let usable = |vm: &VmName| self.usable.contains_key(vm);
        if present.standbys.len() < STANDBY_COUNT || !present.standbys.iter().all(usable) {
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

    /// Hands a group to a VM that is nearer to its endpoints, if one has room for it.
    fn approach_endpoints(
        &mut self,
        record: &GroupRecord,
        present: EndpointProximity,
    ) -> Option<GroupPlacement> {
        let (vm, proximity) = self.choose_nearest(record)?;
        let room = self.led.get(&vm).copied().unwrap_or(0) < self.lead_cap;
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
            let load = self.led.get(*vm).copied().unwrap_or(0);
            let proximity = judge_proximity(record, &member.domain);
            let room = load < self.lead_cap;
            let rank = (room, proximity, std::cmp::Reverse(load), score(group, vm));
            (rank, *vm)
        });
        let ((_, proximity, _, _), vm) = ranked.max()?;
        Some((vm.clone(), proximity))
    }

    /// Chooses who leads next.
    ///
    /// Where a journal is kept it is a usable standby before any other VM, because it holds the
    /// journal. Where the endpoints are noted there is no journal, and the nearest VM leads.
    fn choose_successor(&self, record: &GroupRecord) -> Option<VmName> {
        if !record.endpoints.is_empty() {
            return self.choose_nearest(record).map(|(vm, _)| vm);
        }
        let present = &record.placement;
        let holders = present.standbys.iter();
        let usable = holders.filter(|vm| self.usable.contains_key(vm));
        let best = usable.min_by_key(|vm| {
            let load = self.led.get(*vm).copied().unwrap_or(0);
            (load, std::cmp::Reverse(score(&present.group, vm)))
        });
        match best {
            Some(vm) => Some(vm.clone()),
            None => self.choose_leaseholder(&present.group),
        }
    }

    fn choose_leaseholder(&self, group: &GroupName) -> Option<VmName> {
        let load = |vm: &VmName| self.led.get(vm).copied().unwrap_or(0);
        let ranked = |vm: &&VmName| (load(vm) < self.lead_cap, score(group, vm));
        let best = self.usable.keys().copied().max_by_key(ranked);
        best.cloned()
    }

    /// Returns the next placement of a group under a leaseholder, with its standbys filled up.
    fn fill_placement(&self, present: &GroupPlacement, leaseholder: VmName) -> GroupPlacement {
        let mut standbys = StandbyList::new();
        let mut domains: Vec<&DomainName> = Vec::new();
        domains.extend(self.domains.get(&leaseholder).copied());
        let kept = present.standbys.iter().filter(|vm| **vm != leaseholder);
        let kept: Vec<&VmName> = kept.filter(|vm| self.usable.contains_key(vm)).collect();
        while standbys.len() < STANDBY_COUNT {
            let chosen = |vm: &VmName| standbys.contains(vm) || *vm == leaseholder;
            let open = self.usable.values().filter(|member| !chosen(&member.id.vm));
            let best = open.max_by_key(|member| {
                let vm = &member.id.vm;
                let load = self.backed.get(vm).copied().unwrap_or(0);
                (
                    !domains.contains(&&member.domain),
                    kept.contains(&vm),
                    load < self.backing_cap,
                    score(&present.group, vm),
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

/// Says whether a member may be given groups.
fn can_lead(member: &MemberRecord) -> bool {
    member.traits.leaseholder && !member.draining
}

fn same_set(planned: &GroupPlacement, present: &GroupPlacement) -> bool {
    let holds = |vm: &VmName| present.standbys.contains(vm);
    planned.standbys.len() == present.standbys.len() && planned.standbys.iter().all(holds)
}

/// Returns a VM's rendezvous score for a group; the same on every VM and in every build.
fn score(group: &GroupName, vm: &VmName) -> u64 {
    let name = group.as_str().bytes().chain([0]).chain(vm.as_str().bytes());
    mix_bits(digest_bytes(name))
}
