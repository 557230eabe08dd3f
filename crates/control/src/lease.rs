//! Members' leases: who may take work, and who is gone.
//!
//! A member may serve only while its lease runs, and control gives its groups to another only when
//! the lease has surely ended. Without the lease, a leaseholder behind a cut would go on
//! acknowledging while its successor does the same; users would see writes vanish.
//!
//! The two sides measure on their own monotonic clocks. The member counts from the moment it *sent*
//! the heartbeat, control from the later moment it *received* it, so control's view of the lease
//! always ends last, by [`DRIFT_DIVISOR`] more for clocks that don't run equally fast.

use crate::CatalogState;
use crate::ClockTime;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogRevision;
use ragwort_types::ContractAcceptance;
use ragwort_types::ForceStatus;
use ragwort_types::HeartbeatRequest;
use ragwort_types::LeaseGrant;
use ragwort_types::MemberRecord;
use ragwort_types::VmIncarnation;
use ragwort_types::VmName;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// Control waits this part of a lease longer than the lease, for clocks of unequal speed.
///
/// Disciplined clocks differ by at most 500 parts in a million; a hundredth is twenty times that.
pub const DRIFT_DIVISOR: u32 = 100;

/// A member's own view of its lease.
///
/// # Examples
///
/// ```
/// use ragwort_control::ClockTime;
/// use ragwort_control::MemberLease;
/// use ragwort_types::CatalogRevision;
/// use ragwort_types::LeaseGrant;
///
/// let grant = LeaseGrant {
///     lease_ms: 2_000,
///     revision: CatalogRevision(7),
///     delta: None,
/// };
/// let mut lease = MemberLease::new();
/// lease.renew(ClockTime::from_millis(100), &grant, CatalogRevision(7));
/// assert!(lease.is_valid(ClockTime::from_millis(2_099)));
/// assert!(!lease.is_valid(ClockTime::from_millis(2_100)));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberLease {
    end: ClockTime,
    superseded: bool,
}

impl MemberLease {
    /// Creates a lease that has ended.
    pub fn new() -> Self {
        Self::default()
    }

    /// Renews the lease from the moment the granted heartbeat was sent, and says whether it did.
    ///
    /// A member whose copy of the catalog is still behind the grant isn't renewed. It would go on
    /// under a replaced contract after operators were told that the new one is in force
    /// everywhere.
    pub fn renew(&mut self, sent: ClockTime, grant: &LeaseGrant, held: CatalogRevision) -> bool {
        if self.superseded || held < grant.revision {
            return false;
        }
        let end = sent + Duration::from_millis(grant.lease_ms);
        self.end = self.end.max(end);
        true
    }

    /// Ends the lease for good: another process has joined under this VM's name.
    pub fn supersede(&mut self) {
        self.superseded = true;
    }

    /// Says whether the member may take work, dispatch and acknowledge now.
    pub fn is_valid(&self, now: ClockTime) -> bool {
        !self.superseded && now < self.end
    }

    /// Returns the time for which the lease still runs.
    pub fn remaining(&self, now: ClockTime) -> Duration {
        match self.superseded {
            true => Duration::ZERO,
            false => self.end.since(now),
        }
    }
}

/// What the control leader answers to one heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseDecision {
    /// Grant a lease of this length, with the delta that the member lacks.
    ///
    /// The length is zero for a member that has failed to take a delta for a whole lease: it gets
    /// the delta again, and a lease once it has confirmed it.
    Grant(Duration),
    /// The member isn't in the catalog yet, or is being removed.
    NotYet,
    /// A later process has joined under this name.
    Superseded,
}

#[derive(Clone, Debug)]
struct HeartbeatRecord {
    member: MemberRecord,
    confirmed: CatalogRevision,
    /// When control last granted this process a lease; `None` before the first.
    granted: Option<ClockTime>,
    heard: ClockTime,
    /// Since when, and up to which revision, the member owes a confirmation.
    owed: Option<OwedRevision>,
    /// Whether its removal was proposed. A lease that is granted between the proposal and its
    /// commit would outlive the member's place in the catalog.
    condemned: bool,
}

#[derive(Clone, Copy, Debug)]
struct OwedRevision {
    revision: CatalogRevision,
    since: ClockTime,
}

/// The control leader's view of all leases.
///
/// It is made anew by each leader. The caller passes a heartbeat on only once a majority has confirmed,
/// after the heartbeat came, that it leads, and it has applied the first entry of its own term.
#[derive(Clone, Debug)]
pub struct LeaseLedger {
    /// The longest lease.
    lease: Duration,
    /// Leases that the former leader granted run for one lease from here on at most.
    elected: ClockTime,
    records: BTreeMap<VmName, HeartbeatRecord>,
    /// Later processes that wait for the end of their predecessor's lease.
    successors: BTreeMap<VmName, HeartbeatRecord>,
}

impl LeaseLedger {
    /// Creates the ledger of a leader that was just elected.
    ///
    /// Leases granted by the former leader are unknown here. Nobody is declared gone until they
    /// must have ended. A former leader may still send grants, but only for heartbeats that a majority
    /// confirmed its leadership after, and so before this election; a member counts its lease from the
    /// sending of the heartbeat. So each of them ends within one lease of the election.
    pub fn new(now: ClockTime, lease: Duration) -> Self {
        Self {
            lease,
            elected: now,
            records: BTreeMap::new(),
            successors: BTreeMap::new(),
        }
    }

    /// Takes a heartbeat and decides whether the member gets a lease.
    pub fn receive(
        &mut self,
        now: ClockTime,
        heartbeat: &HeartbeatRequest,
        catalog: &CatalogState,
    ) -> LeaseDecision {
        let id = &heartbeat.member.id;
        if self.latest_incarnation(&id.vm, catalog) > id.incarnation {
            return LeaseDecision::Superseded;
        }
        if !self.belongs_in_records(&heartbeat.member, catalog) {
            self.note_heartbeat(now, heartbeat, HeartbeatSide::Successor);
            return LeaseDecision::NotYet;
        }
        self.note_heartbeat(now, heartbeat, HeartbeatSide::Present);
        let known = catalog.member(&id.vm).is_some_and(|known| known.id == *id);
        // A new leader goes by the catalog, so nothing longer than what stands there is granted.
        let noted = catalog.member(&id.vm).map(|noted| self.lease_of(noted));
        let asked = self.lease_of(&heartbeat.member);
        let lease = noted.map_or(asked, |noted| noted.min(asked));
        let Some(record) = self.records.get_mut(&id.vm) else {
            return LeaseDecision::NotYet;
        };
        if !known || record.condemned {
            return LeaseDecision::NotYet;
        }
        record.grant(now, lease, catalog.revision())
    }

    /// Returns the admissions and removals that are due, for the leader to propose.
    ///
    /// The same commands are listed until the catalog shows them done.
    pub fn due_commands(&mut self, now: ClockTime, catalog: &CatalogState) -> Vec<CatalogCommand> {
        self.promote_successors(catalog);
        let mut commands = Vec::new();
        for member in catalog.members() {
            if self.is_gone(now, member) {
                self.condemn(member, now);
                commands.push(CatalogCommand::RemoveMember(member.id.clone()));
            }
        }
        for record in self.records.values() {
            let lease = self.lease_of(&record.member);
            if record.wants_admission(now, lease, catalog) {
                commands.push(CatalogCommand::AdmitMember(record.member.clone()));
            }
        }
        commands
    }

    /// Returns the members that were heard lately and so can be given groups.
    pub fn live_members(&self, now: ClockTime, catalog: &CatalogState) -> BTreeSet<VmName> {
        let members = catalog.members();
        let live = members.filter(|member| match self.records.get(&member.id.vm) {
            Some(record) => {
                record.is_live(now, self.lease_of(member)) && record.member.id == member.id
            }
            None => false,
        });
        live.map(|member| member.id.vm.clone()).collect()
    }

    /// Returns the revision that a member has confirmed.
    pub fn confirmed(&self, vm: &VmName) -> Option<CatalogRevision> {
        self.records.get(vm).map(|record| record.confirmed)
    }

    /// Says whether every member whose lease may run has confirmed an accepted change.
    ///
    /// A member that hasn't confirmed it and isn't heard stops by itself when its lease ends, and
    /// isn't waited for any longer than that.
    pub fn force_status(
        &self,
        acceptance: ContractAcceptance,
        now: ClockTime,
        catalog: &CatalogState,
    ) -> ForceStatus {
        let waiting = catalog.members().filter(|member| {
            let may_run = !self.has_ended(now, member);
            may_run && !self.has_confirmed(member, acceptance.revision)
        });
        let waiting_for = u32::try_from(waiting.count()).unwrap_or(u32::MAX);
        let committed = catalog.revision() >= acceptance.revision;
        ForceStatus {
            acceptance,
            in_force: committed && waiting_for == 0,
            waiting_for,
        }
    }

    fn has_confirmed(&self, member: &MemberRecord, revision: CatalogRevision) -> bool {
        let record = self.records.get(&member.id.vm);
        record.is_some_and(|record| record.member.id == member.id && record.confirmed >= revision)
    }

    /// Says whether a member's lease has surely ended, on the member's clock too.
    fn has_ended(&self, now: ClockTime, member: &MemberRecord) -> bool {
        let lease = self.lease_of(member);
        let whole = lease + lease / DRIFT_DIVISOR;
        if now < self.elected + whole {
            return false;
        }
        let record = self.records.get(&member.id.vm);
        let own = record.filter(|record| record.member.id == member.id);
        match own.and_then(|record| record.granted) {
            Some(granted) => now >= granted + whole,
            None => true,
        }
    }

    /// Returns the length of the leases that a member may hold.
    fn lease_of(&self, member: &MemberRecord) -> Duration {
        match member.lease_ms {
            0 => self.lease,
            asked => Duration::from_millis(asked).min(self.lease),
        }
    }

    /// Says whether a member is to be removed: its lease has ended and it isn't heard.
    ///
    /// A member that is heard but had no lease granted yet, as right after its admission, stays.
    fn is_gone(&self, now: ClockTime, member: &MemberRecord) -> bool {
        let superseded = self.successors.contains_key(&member.id.vm);
        let record = self.records.get(&member.id.vm);
        let heard = record.is_some_and(|record| {
            record.member.id == member.id
                && record.is_live(now, self.lease_of(member))
                && !record.condemned
        });
        self.has_ended(now, member) && (superseded || !heard)
    }

    fn condemn(&mut self, member: &MemberRecord, now: ClockTime) {
        let record = self.records.entry(member.id.vm.clone());
        let record = record.or_insert_with(|| HeartbeatRecord::new(member.clone(), now));
        if record.member.id == member.id {
            record.condemned = true;
        }
    }

    /// Returns the latest incarnation of a VM that is known.
    pub fn latest_incarnation(&self, vm: &VmName, catalog: &CatalogState) -> VmIncarnation {
        let known = catalog.member(vm).map(|member| member.id.incarnation);
        let record = self.records.get(vm);
        let heard = record.map(|record| record.member.id.incarnation);
        let successor = self.successors.get(vm);
        let next = successor.map(|record| record.member.id.incarnation);
        known.max(heard).max(next).unwrap_or_default()
    }

    /// Says whether no earlier process stands between this one and a lease.
    fn belongs_in_records(&self, member: &MemberRecord, catalog: &CatalogState) -> bool {
        match catalog.member(&member.id.vm) {
            Some(known) => known.id == member.id || member.succeeds_at_once(known),
            None => true,
        }
    }

    fn note_heartbeat(
        &mut self,
        now: ClockTime,
        heartbeat: &HeartbeatRequest,
        side: HeartbeatSide,
    ) {
        let records = match side {
            HeartbeatSide::Present => &mut self.records,
            HeartbeatSide::Successor => &mut self.successors,
        };
        let vm = heartbeat.member.id.vm.clone();
        let fresh = || HeartbeatRecord::new(heartbeat.member.clone(), now);
        let record = records.entry(vm).or_insert_with(fresh);
        if record.member.id != heartbeat.member.id {
            *record = fresh();
        }
        record.member = heartbeat.member.clone();
        record.heard = record.heard.max(now);
        record.confirm(heartbeat.revision);
    }

    /// Takes up later processes whose predecessor was removed, and forgets condemned processes that
    /// the catalog has dropped, so that they can join again.
    fn promote_successors(&mut self, catalog: &CatalogState) {
        let removed = |vm: &VmName| catalog.member(vm).is_none();
        self.records
            .retain(|vm, record| !(record.condemned && removed(vm)));
        let ready: Vec<VmName> = self
            .successors
            .keys()
            .filter(|vm| removed(vm))
            .cloned()
            .collect();
        for vm in ready {
            if let Some(successor) = self.successors.remove(&vm) {
                self.records.insert(vm, successor);
            }
        }
    }
}

enum HeartbeatSide {
    Present,
    Successor,
}

impl HeartbeatRecord {
    fn new(member: MemberRecord, now: ClockTime) -> Self {
        Self {
            member,
            confirmed: CatalogRevision(0),
            granted: None,
            heard: now,
            owed: None,
            condemned: false,
        }
    }

    fn confirm(&mut self, revision: CatalogRevision) {
        self.confirmed = self.confirmed.max(revision);
        self.owed = self.owed.filter(|owed| owed.revision > self.confirmed);
    }

    fn grant(
        &mut self,
        now: ClockTime,
        lease: Duration,
        present: CatalogRevision,
    ) -> LeaseDecision {
        if self.confirmed < present && self.owed.is_none() {
            self.owed = Some(OwedRevision {
                revision: present,
                since: now,
            });
        }
        // A member that is heard but can't take deltas would keep a change from coming in force for
        // good. Its lease ends instead.
        if self.owed.is_some_and(|owed| now.since(owed.since) > lease) {
            return LeaseDecision::Grant(Duration::ZERO);
        }
        self.granted = Some(now);
        LeaseDecision::Grant(lease)
    }

    fn is_live(&self, now: ClockTime, lease: Duration) -> bool {
        now < self.heard + lease + lease / DRIFT_DIVISOR
    }

    fn wants_admission(&self, now: ClockTime, lease: Duration, catalog: &CatalogState) -> bool {
        let known = catalog.member(&self.member.id.vm);
        // A member that drained and left by itself is heard a moment longer. It must not rejoin.
        if known.is_none() && self.member.draining {
            return false;
        }
        !self.condemned && self.is_live(now, lease) && known != Some(&self.member)
    }
}
