//! Admission and removal of members in the catalog.

use crate::catalog::CatalogState;
use crate::catalog::StampedItem;
use ragwort_types::CatalogKey;
use ragwort_types::CatalogOutcome;
use ragwort_types::CatalogRevision;
use ragwort_types::GroupName;
use ragwort_types::GroupPlacement;
use ragwort_types::MemberId;
use ragwort_types::MemberRecord;
use ragwort_types::VmName;

/// Maximum number of departed members that are kept for deltas.
///
/// A member that missed more departures gets a complete snapshot. With 630 VMs, that takes more
/// than one departure of each.
const MAX_DEPARTURES: usize = 1_024;

impl CatalogState {
    /// Returns whether a VM was a member, was removed and hasn't been admitted again.
    pub fn has_departed(&self, vm: &VmName) -> bool {
        self.departures.contains_key(vm)
    }

    pub(crate) fn admit_member(
        &mut self,
        revision: CatalogRevision,
        member: &MemberRecord,
    ) -> CatalogOutcome {
        let vm = &member.id.vm;
        let former = self.members.get(vm);
        let departed = self.departures.get(vm);
        let succeeds = former.is_some_and(|former| member.can_replace_immediately(&former.item));
        match (former, departed) {
            _ if succeeds => {}
            (Some(former), _) if former.item == *member => {
                return CatalogOutcome::Done(former.stamp);
            }
            // The former process may still hold a lease and lead groups. If its successor were
            // admitted now, two processes could serve a group in one epoch and both acknowledge
            // writes. The former process must be removed first, which waits for its lease to end.
            (Some(former), _) if former.item.id.incarnation != member.id.incarnation => {
                return CatalogOutcome::Stale;
            }
            // A delayed heartbeat from before the drain must not undo the drain.
            (Some(former), _) if former.item.draining => return CatalogOutcome::Stale,
            (None, Some(departed)) if departed.item > member.id.incarnation => {
                return CatalogOutcome::Stale;
            }
            _ => {}
        }
        if former.is_none() || succeeds {
            self.raise_held_epochs(revision, vm);
        }
        let former = self.members.get(vm).map(|former| former.stamp);
        self.members.insert(
            vm.clone(),
            StampedItem {
                stamp: revision,
                item: member.clone(),
            },
        );
        self.note_change(revision, former, CatalogKey::Member(vm.clone()));
        self.forget_departure(vm);
        CatalogOutcome::Done(revision)
    }

    /// Raises the epochs of the groups that still name a returning VM.
    ///
    /// The process that joins lacks its predecessor's journal. If it continued under the old epoch,
    /// a resent request would run a second time. Under a new epoch, a leaseholder recovers the
    /// journal from the standbys first, and a standby refuses appends that were sent to the former
    /// process.
    fn raise_held_epochs(&mut self, revision: CatalogRevision, vm: &VmName) {
        let names = |placement: &GroupPlacement| {
            placement.leaseholder == *vm || placement.standbys.contains(vm)
        };
        let held: Vec<GroupName> = self
            .groups()
            .filter(|record| names(&record.placement))
            .map(|record| record.placement.group.clone())
            .collect();
        for group in held {
            self.change_group(revision, &group, |record| {
                record.placement.epoch = record.placement.epoch.next();
            });
        }
    }

    pub(crate) fn remove_member(
        &mut self,
        revision: CatalogRevision,
        id: &MemberId,
    ) -> CatalogOutcome {
        let Some(member) = self.members.get(&id.vm) else {
            return match self.departures.get(&id.vm) {
                Some(departed) if departed.item == id.incarnation => {
                    CatalogOutcome::Done(departed.stamp)
                }
                _ => CatalogOutcome::Stale,
            };
        };
        if member.item.id != *id {
            return CatalogOutcome::Stale;
        }
        let former = member.stamp;
        self.members.remove(&id.vm);
        self.departures.insert(
            id.vm.clone(),
            StampedItem {
                stamp: revision,
                item: id.incarnation,
            },
        );
        self.forget_change(former, &CatalogKey::Member(id.vm.clone()));
        self.note_change(revision, None, CatalogKey::Departure(id.vm.clone()));
        self.limit_departures();
        CatalogOutcome::Done(revision)
    }

    fn forget_departure(&mut self, vm: &VmName) {
        if let Some(departed) = self.departures.remove(vm) {
            self.forget_change(departed.stamp, &CatalogKey::Departure(vm.clone()));
        }
    }

    fn limit_departures(&mut self) {
        while self.departures.len() > MAX_DEPARTURES {
            let oldest = self
                .departures
                .iter()
                .min_by_key(|(_, departed)| departed.stamp);
            let Some((vm, departed)) = oldest else {
                return;
            };
            self.delta_floor = departed.stamp;
            let vm = vm.clone();
            self.forget_departure(&vm);
        }
    }
}
