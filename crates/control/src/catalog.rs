//! The catalog: what the agreed log's commands add up to.
//!
//! Every control VM applies the same commands in the same order and so holds the same catalog.
//! Each command names the state it builds on and is refused if that state has changed, because
//! its sender may act on an old view: a former leaseholder, a delayed message, a restarted daemon.

use crate::contracts::ChangeLedger;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogDelta;
use ragwort_types::CatalogItem;
use ragwort_types::CatalogOutcome;
use ragwort_types::CatalogRevision;
use ragwort_types::CustomerName;
use ragwort_types::GroupName;
use ragwort_types::GroupPlacement;
use ragwort_types::GroupRecord;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceChange;
use ragwort_types::LogPosition;
use ragwort_types::MemberId;
use ragwort_types::MemberRecord;
use ragwort_types::PlacementEpoch;
use ragwort_types::PrimaryRecord;
use ragwort_types::TermStart;
use ragwort_types::VersionedContract;
use ragwort_types::VmIncarnation;
use ragwort_types::VmName;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Bound;

/// The most departed members that are remembered for deltas.
///
/// A member that missed more departures than this gets a whole snapshot. With 630 VMs it takes
/// more than one departure of each to get there.
const MOST_DEPARTURES: usize = 1_024;

/// The catalog, as every control VM holds it.
///
/// # Examples
///
/// ```
/// use ragwort_control::CatalogState;
///
/// let state = CatalogState::new();
/// let restored = CatalogState::from_snapshot(&state.to_snapshot()).unwrap();
/// assert_eq!(restored, state);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "CatalogImage")]
pub struct CatalogState {
    revision: CatalogRevision,
    /// Deltas from before this revision lack departures that were forgotten.
    delta_floor: CatalogRevision,
    ledger: ChangeLedger,
    contract_stamps: BTreeMap<CustomerName, CatalogRevision>,
    members: BTreeMap<VmName, StampedItem<MemberRecord>>,
    departures: BTreeMap<VmName, StampedItem<VmIncarnation>>,
    groups: BTreeMap<GroupName, StampedItem<GroupRecord>>,
    /// Which items last changed at which revision; derived from the above.
    #[serde(skip)]
    changes: BTreeMap<CatalogRevision, SmallVec<[ItemKey; 1]>>,
}

/// The stored form of a [`CatalogState`], without what is derived.
#[derive(Deserialize)]
struct CatalogImage {
    revision: CatalogRevision,
    delta_floor: CatalogRevision,
    ledger: ChangeLedger,
    contract_stamps: BTreeMap<CustomerName, CatalogRevision>,
    members: BTreeMap<VmName, StampedItem<MemberRecord>>,
    departures: BTreeMap<VmName, StampedItem<VmIncarnation>>,
    groups: BTreeMap<GroupName, StampedItem<GroupRecord>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StampedItem<T> {
    stamp: CatalogRevision,
    item: T,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum ItemKey {
    Contract(CustomerName),
    Member(VmName),
    Departure(VmName),
    Group(GroupName),
}

/// A snapshot that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotError {
    reason: String,
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "malformed catalog snapshot: {}", self.reason)
    }
}

impl std::error::Error for SnapshotError {}

impl CatalogState {
    /// Creates an empty catalog at revision zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision: the index of the log entry that last changed an item.
    pub fn revision(&self) -> CatalogRevision {
        self.revision
    }

    /// Returns a customer's present contract.
    pub fn contract(&self, customer: &CustomerName) -> Option<&VersionedContract> {
        self.ledger.contract(customer)
    }

    /// Iterates over the present contracts.
    pub fn contracts(&self) -> impl Iterator<Item = &VersionedContract> {
        self.ledger.contracts()
    }

    /// Returns the number of contract changes whose answers are kept.
    pub fn answered_changes(&self) -> usize {
        self.ledger.answered_changes()
    }

    /// Returns a member.
    pub fn member(&self, vm: &VmName) -> Option<&MemberRecord> {
        self.members.get(vm).map(|member| &member.item)
    }

    /// Iterates over the members.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|member| &member.item)
    }

    /// Returns a group.
    pub fn group(&self, group: &GroupName) -> Option<&GroupRecord> {
        self.groups.get(group).map(|record| &record.item)
    }

    /// Iterates over the groups.
    pub fn groups(&self) -> impl Iterator<Item = &GroupRecord> {
        self.groups.values().map(|record| &record.item)
    }

    /// Writes the catalog as text, for a snapshot of the log.
    pub fn to_snapshot(&self) -> String {
        serde_json::to_string(self).expect("a catalog has text keys only")
    }

    /// Reads a catalog that [`to_snapshot`](Self::to_snapshot) wrote.
    ///
    /// # Errors
    ///
    /// Returns an error if the text isn't a catalog.
    pub fn from_snapshot(text: &str) -> Result<Self, SnapshotError> {
        serde_json::from_str(text).map_err(|error| SnapshotError {
            reason: error.to_string(),
        })
    }

    /// Applies one command of the log at its index.
    ///
    /// The revision moves only if an item changed.
    ///
    /// # Panics
    ///
    /// Panics in a debug build if `revision` isn't above the present one.
    pub fn apply(&mut self, revision: CatalogRevision, command: &CatalogCommand) -> CatalogOutcome {
        invariant!(
            revision > self.revision,
            "revision {revision} applied after {}",
            self.revision
        );
        match command {
            CatalogCommand::ApplyContract(change) => {
                let outcome = self.ledger.apply_change(revision, change);
                self.stamp_contract(revision, &change.contract.customer, &outcome);
                outcome
            }
            CatalogCommand::AdmitMember(member) => self.admit_member(revision, member),
            CatalogCommand::RemoveMember(id) => self.remove_member(revision, id),
            CatalogCommand::PlaceGroup(placement) => self.place_group(revision, placement),
            CatalogCommand::AddInstance(change) => self.add_instance(revision, change),
            CatalogCommand::RemoveInstance(change) => self.remove_instance(revision, change),
            CatalogCommand::BeginTerm(start) => self.begin_term(revision, start),
            CatalogCommand::RecordPrimary(record) => self.record_primary(revision, record),
        }
    }

    /// Returns what changed after `from`, or everything if `from` is zero or too old for a delta.
    ///
    /// An asker that is ahead of this catalog gets an empty delta that leaves it where it is.
    pub fn delta_since(&self, from: CatalogRevision) -> CatalogDelta {
        if from == CatalogRevision(0) || from < self.delta_floor {
            return CatalogDelta {
                from: None,
                to: self.revision,
                items: self.all_items(),
            };
        }
        let later = (Bound::Excluded(from), Bound::Unbounded);
        let changed = self.changes.range(later);
        CatalogDelta {
            from: Some(from),
            to: self.revision.max(from),
            items: changed
                .flat_map(|(_, keys)| keys)
                .filter_map(|key| self.item(key))
                .collect(),
        }
    }

    fn all_items(&self) -> Vec<CatalogItem> {
        self.changes
            .values()
            .flatten()
            .filter(|key| !matches!(key, ItemKey::Departure(_)))
            .filter_map(|key| self.item(key))
            .collect()
    }

    fn item(&self, key: &ItemKey) -> Option<CatalogItem> {
        match key {
            ItemKey::Contract(customer) => {
                let contract = self.ledger.contract(customer)?;
                Some(CatalogItem::Contract(Box::new(contract.clone())))
            }
            ItemKey::Member(vm) => Some(CatalogItem::Member(self.member(vm)?.clone())),
            ItemKey::Departure(vm) => Some(CatalogItem::MemberGone(vm.clone())),
            ItemKey::Group(group) => {
                let record = self.group(group)?;
                Some(CatalogItem::Group(Box::new(record.clone())))
            }
        }
    }

    fn stamp_contract(
        &mut self,
        revision: CatalogRevision,
        customer: &CustomerName,
        outcome: &CatalogOutcome,
    ) {
        // A resend shows the revision of its first acceptance, which is an earlier one.
        let CatalogOutcome::ContractAccepted(acceptance) = outcome else {
            return;
        };
        if acceptance.revision != revision {
            return;
        }
        let former = self.contract_stamps.insert(customer.clone(), revision);
        self.note_change(revision, former, ItemKey::Contract(customer.clone()));
    }

    fn admit_member(&mut self, revision: CatalogRevision, member: &MemberRecord) -> CatalogOutcome {
        let vm = &member.id.vm;
        let former = self.members.get(vm);
        let departed = self.departures.get(vm);
        match (former, departed) {
            (Some(former), _) if former.item == *member => {
                return CatalogOutcome::Done(former.stamp);
            }
            // The former process may still hold a lease and lead groups. Admitting its successor
            // now would let two processes serve a group in one epoch, and both would acknowledge
            // writes. The former process must be removed first, which waits for its lease's end.
            (Some(former), _) if former.item.id.incarnation != member.id.incarnation => {
                return CatalogOutcome::Stale;
            }
            // A heartbeat from before the drain, delayed on its way, must not undo the drain.
            (Some(former), _) if former.item.draining => return CatalogOutcome::Stale,
            (None, Some(departed)) if departed.item > member.id.incarnation => {
                return CatalogOutcome::Stale;
            }
            _ => {}
        }
        if former.is_none() {
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
        self.note_change(revision, former, ItemKey::Member(vm.clone()));
        self.forget_departure(vm);
        CatalogOutcome::Done(revision)
    }

    /// Raises the epochs of the groups that still name a returning VM.
    ///
    /// The process that joins lacks the journal of the one before it. If it went on under the old
    /// epoch, a resent request would run a second time. A new epoch makes a leaseholder recover the
    /// journal from the standbys first, and makes a standby refuse appends that were meant for the
    /// former process.
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

    fn remove_member(&mut self, revision: CatalogRevision, id: &MemberId) -> CatalogOutcome {
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
        self.forget_change(former, &ItemKey::Member(id.vm.clone()));
        self.note_change(revision, None, ItemKey::Departure(id.vm.clone()));
        self.limit_departures();
        CatalogOutcome::Done(revision)
    }

    fn forget_departure(&mut self, vm: &VmName) {
        if let Some(departed) = self.departures.remove(vm) {
            self.forget_change(departed.stamp, &ItemKey::Departure(vm.clone()));
        }
    }

    fn limit_departures(&mut self) {
        while self.departures.len() > MOST_DEPARTURES {
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

    fn place_group(
        &mut self,
        revision: CatalogRevision,
        placement: &GroupPlacement,
    ) -> CatalogOutcome {
        let former = self.groups.get(&placement.group);
        if let Some(former) = former
            && former.item.placement == *placement
        {
            return CatalogOutcome::Done(former.stamp);
        }
        let epoch = former.map_or(PlacementEpoch(0), |former| former.item.placement.epoch);
        if placement.epoch != epoch.next() || !self.can_serve(placement) {
            return CatalogOutcome::Stale;
        }
        if former.is_none() {
            self.form_group(placement);
        }
        self.change_group(revision, &placement.group, |record| {
            record.placement = placement.clone();
        });
        CatalogOutcome::Done(revision)
    }

    /// Says whether the placement names distinct present members only.
    fn can_serve(&self, placement: &GroupPlacement) -> bool {
        let mut named = vec![&placement.leaseholder];
        named.extend(&placement.standbys);
        let present = named.iter().all(|vm| self.members.contains_key(*vm));
        let count = named.len();
        named.sort();
        named.dedup();
        present && named.len() == count
    }

    fn form_group(&mut self, placement: &GroupPlacement) {
        let record = GroupRecord {
            placement: placement.clone(),
            term: GroupTerm(0),
            term_epoch: PlacementEpoch(0),
            primary: None,
            start: LogPosition::default(),
            instances: SmallVec::new(),
        };
        self.groups.insert(
            placement.group.clone(),
            StampedItem {
                stamp: CatalogRevision(0),
                item: record,
            },
        );
    }

    fn add_instance(
        &mut self,
        revision: CatalogRevision,
        change: &InstanceChange,
    ) -> CatalogOutcome {
        let Some(former) = self.changeable_group(change) else {
            return CatalogOutcome::Stale;
        };
        if former.item.instances.contains(&change.instance) {
            return CatalogOutcome::Done(former.stamp);
        }
        self.change_group(revision, &change.group, |record| {
            record.instances.push(change.instance.clone());
        });
        CatalogOutcome::Done(revision)
    }

    fn remove_instance(
        &mut self,
        revision: CatalogRevision,
        change: &InstanceChange,
    ) -> CatalogOutcome {
        let Some(former) = self.changeable_group(change) else {
            return CatalogOutcome::Stale;
        };
        if !former.item.instances.contains(&change.instance) {
            return CatalogOutcome::Done(former.stamp);
        }
        // Without its primary or its last instance the set could promise nothing.
        let is_primary = former.item.primary.as_ref() == Some(&change.instance);
        if is_primary || former.item.instances.len() == 1 {
            return CatalogOutcome::Stale;
        }
        self.change_group(revision, &change.group, |record| {
            record.instances.retain(|name| *name != change.instance);
        });
        CatalogOutcome::Done(revision)
    }

    /// Returns the group if its instance set may change under the change's epoch and term.
    ///
    /// Between the start of a term and its primary the set stays as it is, so that the majority
    /// that is being fenced is the majority that acknowledged. A group that never had a primary has
    /// acknowledged nothing yet.
    fn changeable_group(&self, change: &InstanceChange) -> Option<&StampedItem<GroupRecord>> {
        let former = self.groups.get(&change.group)?;
        let record = &former.item;
        let current = record.placement.epoch == change.epoch && record.term == change.term;
        let settled = record.primary.is_some() || !has_had_primary(record);
        (current && settled).then_some(former)
    }

    fn begin_term(&mut self, revision: CatalogRevision, start: &TermStart) -> CatalogOutcome {
        let Some(former) = self.groups.get(&start.group) else {
            return CatalogOutcome::Stale;
        };
        let record = &former.item;
        if record.placement.epoch != start.epoch || record.instances.is_empty() {
            return CatalogOutcome::Stale;
        }
        // Only one leaseholder speaks for an epoch, so this is its own command, sent again.
        let resent = record.term == start.term && record.term_epoch == start.epoch;
        if resent && record.primary.is_none() {
            return CatalogOutcome::Done(former.stamp);
        }
        if start.term != record.term.next() {
            return CatalogOutcome::Stale;
        }
        self.change_group(revision, &start.group, |record| {
            record.term = start.term;
            record.term_epoch = start.epoch;
            record.primary = None;
        });
        CatalogOutcome::Done(revision)
    }

    fn record_primary(
        &mut self,
        revision: CatalogRevision,
        primary: &PrimaryRecord,
    ) -> CatalogOutcome {
        let Some(former) = self.groups.get(&primary.group) else {
            return CatalogOutcome::Stale;
        };
        let record = &former.item;
        // A leaseholder of a later epoch can't know which instance its predecessor promoted in
        // this term. If it recorded another one, the term would have two primaries. It has to
        // begin a term of its own.
        let own_term = record.term == primary.term
            && record.term_epoch == primary.epoch
            && record.placement.epoch == primary.epoch;
        let known = record.instances.contains(&primary.primary);
        let in_term = primary.start.term == primary.term;
        if !own_term || !known || !in_term {
            return CatalogOutcome::Stale;
        }
        if let Some(recorded) = &record.primary {
            let same = *recorded == primary.primary && record.start == primary.start;
            return match same {
                true => CatalogOutcome::Done(former.stamp),
                false => CatalogOutcome::Stale,
            };
        }
        self.change_group(revision, &primary.group, |record| {
            record.primary = Some(primary.primary.clone());
            record.start = primary.start;
        });
        CatalogOutcome::Done(revision)
    }

    fn change_group(
        &mut self,
        revision: CatalogRevision,
        group: &GroupName,
        change: impl FnOnce(&mut GroupRecord),
    ) {
        let Some(stamped) = self.groups.get_mut(group) else {
            return;
        };
        let (epoch, term) = (stamped.item.placement.epoch, stamped.item.term);
        change(&mut stamped.item);
        invariant!(
            stamped.item.placement.epoch >= epoch,
            "the epoch of {group} fell"
        );
        invariant!(stamped.item.term >= term, "the term of {group} fell");
        let former = stamped.stamp;
        stamped.stamp = revision;
        self.note_change(revision, Some(former), ItemKey::Group(group.clone()));
    }

    fn note_change(
        &mut self,
        revision: CatalogRevision,
        former: Option<CatalogRevision>,
        key: ItemKey,
    ) {
        if let Some(former) = former {
            self.forget_change(former, &key);
        }
        self.changes.entry(revision).or_default().push(key);
        self.revision = revision;
    }

    fn forget_change(&mut self, revision: CatalogRevision, key: &ItemKey) {
        let Some(keys) = self.changes.get_mut(&revision) else {
            return;
        };
        keys.retain(|changed| changed != key);
        if keys.is_empty() {
            self.changes.remove(&revision);
        }
    }
}

/// Says whether a primary was ever recorded for the group.
///
/// A term's start carries the term's number, so it is zero only before the first.
pub(crate) fn has_had_primary(record: &GroupRecord) -> bool {
    record.start.term > GroupTerm(0)
}

impl From<CatalogImage> for CatalogState {
    fn from(image: CatalogImage) -> Self {
        let mut state = Self {
            revision: image.revision,
            delta_floor: image.delta_floor,
            ledger: image.ledger,
            contract_stamps: image.contract_stamps,
            members: image.members,
            departures: image.departures,
            groups: image.groups,
            changes: BTreeMap::new(),
        };
        state.index_changes();
        state
    }
}

impl CatalogState {
    fn index_changes(&mut self) {
        let contracts = self.contract_stamps.iter();
        let contracts = contracts.map(|(name, stamp)| (*stamp, ItemKey::Contract(name.clone())));
        let members = self.members.iter();
        let members = members.map(|(vm, member)| (member.stamp, ItemKey::Member(vm.clone())));
        let departures = self.departures.iter();
        let departures = departures.map(|(vm, gone)| (gone.stamp, ItemKey::Departure(vm.clone())));
        let groups = self.groups.iter();
        let groups = groups.map(|(name, group)| (group.stamp, ItemKey::Group(name.clone())));
        let items = contracts.chain(members).chain(departures).chain(groups);
        for (stamp, key) in items {
            self.changes.entry(stamp).or_default().push(key);
        }
    }
}
