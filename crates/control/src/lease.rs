//! Members' leases.
//!
//! A member may serve only while its lease is valid, and control gives its groups to another member
//! only after the lease has certainly ended. Without leases, a leaseholder behind a network
//! partition would continue to acknowledge writes while its successor does too, and acknowledged
//! writes would be lost.
//!
//! Each side measures with its own monotonic clock. The member counts from the moment it *sent* the
//! heartbeat, control from the later moment it *received* it, so that the lease always ends last in
//! control's view. [`DRIFT_DIVISOR`] adds a margin for clocks of unequal speed.

use crate::CatalogState;
use crate::ClockTime;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogRevision;
use ragwort_types::ContractAcceptance;
use ragwort_types::HeartbeatRequest;
use ragwort_types::InForceStatus;
use ragwort_types::LeaseGrant;
use ragwort_types::MemberRecord;
use ragwort_types::VmIncarnation;
use ragwort_types::VmName;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// Control waits longer than the lease by the lease divided by this number, for clocks of unequal
/// speed.
///
/// Disciplined clocks differ by at most 500 parts per million; a hundredth is twenty times that.
pub const DRIFT_DIVISOR: u32 = 100;

/// A lease from the view of the member that holds it.
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

    /// Renews the lease from the moment at which the granted heartbeat was sent, and returns
    /// whether it did.
    ///
    /// A member whose copy of the catalog is older than the grant isn't renewed. It would continue
    /// under a replaced contract after operators were told that the new one is in force everywhere.
    pub fn renew(&mut self, sent: ClockTime, grant: &LeaseGrant, held: CatalogRevision) -> bool {
        if self.superseded || held < grant.revision {
            return false;
        }
        let end = sent + Duration::from_millis(grant.lease_ms);
        self.end = self.end.max(end);
        true
    }

    /// Ends the lease permanently: another process has joined under this VM's name.
    pub fn supersede(&mut self) {
        self.superseded = true;
    }

    /// Returns whether the member may accept, dispatch and acknowledge requests now.
    pub fn is_valid(&self, now: ClockTime) -> bool {
        !self.superseded && now < self.end
    }

    /// Returns the remaining time of the lease.
    pub fn remaining(&self, now: ClockTime) -> Duration {
        match self.superseded {
            true => Duration::ZERO,
            false => self.end.since(now),
        }
    }
}

/// The members that a control leader may plan with.
///
/// A new leader has heard nobody. If it took all members for lost, it would replace the standbys of
/// every group, and again when the members' heartbeats arrive.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberPresence {
    /// The members with a recent heartbeat, which can be given groups.
    pub live: BTreeSet<VmName>,
    /// The other members whose lease may be valid, which keep the groups that they have.
    pub expected: BTreeSet<VmName>,
}

impl From<BTreeSet<VmName>> for MemberPresence {
    /// Returns the presence of `live` members, with nobody else expected.
    fn from(live: BTreeSet<VmName>) -> Self {
        Self {
            live,
            expected: BTreeSet::new(),
        }
    }
}

/// The control leader's answer to a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseDecision {
    /// Grant a lease of this length, with the delta that the member lacks.
    ///
    /// The length is zero for a member that has failed to apply a delta for a whole lease: it gets
    /// the delta again, and a lease after it has confirmed the delta.
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
    /// When control last granted this process a lease; `None` before the first grant.
    granted_at: Option<ClockTime>,
    last_heartbeat: ClockTime,
    /// The revision that the member has yet to confirm, and since when.
    unconfirmed: Option<UnconfirmedRevision>,
    /// Whether its removal was proposed. A lease granted between the proposal and its commit would
    /// outlive the member's place in the catalog.
    removal_proposed: bool,
}

#[derive(Clone, Copy, Debug)]
struct UnconfirmedRevision {
    revision: CatalogRevision,
    since: ClockTime,
}

/// The control leader's table of all leases.
///
/// Each leader creates its own. The caller passes a heartbeat on only after a majority has
/// confirmed, following the heartbeat's arrival, that this VM leads, and after it has applied the
/// first entry of its own term.
#[derive(Clone, Debug)]
pub struct LeaseLedger {
    /// The maximum length of a lease.
    lease: Duration,
    /// Leases granted by the former leader end at most one lease after this time.
    elected_at: ClockTime,
    records: BTreeMap<VmName, HeartbeatRecord>,
    /// Later processes that wait for the end of their predecessor's lease.
    successors: BTreeMap<VmName, HeartbeatRecord>,
}

impl LeaseLedger {
    /// Creates the table of a newly elected leader.
    ///
    /// Leases granted by the former leader are unknown here, so no member is removed before they
    /// must have ended. A former leader may still send grants, but only for heartbeats after which
    /// a majority confirmed its leadership, and so for heartbeats sent before this election. A
    /// member counts its lease from the sending of the heartbeat, so each of these leases ends
    /// within one lease of the election.
    pub fn new(now: ClockTime, lease: Duration) -> Self {
        Self {
            lease,
            elected_at: now,
            records: BTreeMap::new(),
            successors: BTreeMap::new(),
        }
    }

    /// Records a heartbeat and decides whether the member gets a lease.
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
        if !self.is_current_process(&heartbeat.member, catalog) {
            self.note_heartbeat(now, heartbeat, ProcessRole::Successor);
            return LeaseDecision::NotYet;
        }
        self.note_heartbeat(now, heartbeat, ProcessRole::Current);
        let known = catalog.member(&id.vm).is_some_and(|known| known.id == *id);
        // A new leader knows only the length in the catalog, so nothing longer is granted.
        let recorded = catalog
            .member(&id.vm)
            .map(|recorded| self.lease_length(recorded));
        let asked = self.lease_length(&heartbeat.member);
        let lease = recorded.map_or(asked, |recorded| recorded.min(asked));
        let Some(record) = self.records.get_mut(&id.vm) else {
            return LeaseDecision::NotYet;
        };
        if !known || record.removal_proposed {
            return LeaseDecision::NotYet;
        }
        record.grant(now, lease, catalog.revision())
    }

    /// Returns the admissions and removals that the leader must propose.
    ///
    /// A command is returned until the catalog shows its effect.
    pub fn due_commands(&mut self, now: ClockTime, catalog: &CatalogState) -> Vec<CatalogCommand> {
        self.promote_successors(catalog);
        let mut commands = Vec::new();
        for member in catalog.members() {
            if self.is_removal_due(now, member) {
                self.mark_removal_proposed(member, now);
                commands.push(CatalogCommand::RemoveMember(member.id.clone()));
            }
        }
        for record in self.records.values() {
            let lease = self.lease_length(&record.member);
            if record.needs_admission(now, lease, catalog) {
                commands.push(CatalogCommand::AdmitMember(record.member.clone()));
            }
        }
        commands
    }

    /// Returns which members are live, and which may be although this leader hasn't heard them yet.
    pub fn presence(&self, now: ClockTime, catalog: &CatalogState) -> MemberPresence {
        let mut presence = MemberPresence::default();
        for member in catalog.members() {
            let vm = &member.id.vm;
            let record = self.records.get(vm);
            let own = record.filter(|record| record.member.id == member.id);
            if own.is_some_and(|record| record.is_live(now, self.lease_length(member))) {
                presence.live.insert(vm.clone());
            } else if !self.has_ended(now, member) {
                presence.expected.insert(vm.clone());
            }
        }
        presence
    }

    /// Returns the time since this leader's election.
    pub fn led_for(&self, now: ClockTime) -> Duration {
        now.since(self.elected_at)
    }

    /// Returns the revision that a member has confirmed.
    pub fn confirmed(&self, vm: &VmName) -> Option<CatalogRevision> {
        self.records.get(vm).map(|record| record.confirmed)
    }

    /// Returns whether every member whose lease may be valid has confirmed an accepted change.
    ///
    /// A silent member that hasn't confirmed it stops when its lease ends, and isn't waited for
    /// longer than that.
    pub fn in_force_status(
        &self,
        acceptance: ContractAcceptance,
        now: ClockTime,
        catalog: &CatalogState,
    ) -> InForceStatus {
        let waiting = catalog.members().filter(|member| {
            let may_run = !self.has_ended(now, member);
            may_run && !self.has_confirmed(member, acceptance.revision)
        });
        let waiting_for = u32::try_from(waiting.count()).unwrap_or(u32::MAX);
        let committed = catalog.revision() >= acceptance.revision;
        InForceStatus {
            acceptance,
            in_force: committed && waiting_for == 0,
            waiting_for,
        }
    }

    fn has_confirmed(&self, member: &MemberRecord, revision: CatalogRevision) -> bool {
        let record = self.records.get(&member.id.vm);
        record.is_some_and(|record| record.member.id == member.id && record.confirmed >= revision)
    }

    /// Returns whether a member's lease has certainly ended, by the member's clock too.
    fn has_ended(&self, now: ClockTime, member: &MemberRecord) -> bool {
        let lease = self.lease_length(member);
        let lease_with_margin = lease + lease / DRIFT_DIVISOR;
        if now < self.elected_at + lease_with_margin {
            return false;
        }
        let record = self.records.get(&member.id.vm);
        let own = record.filter(|record| record.member.id == member.id);
        match own.and_then(|record| record.granted_at) {
            Some(granted_at) => now >= granted_at + lease_with_margin,
            None => true,
        }
    }

    /// Returns the length of the leases that a member may hold.
    fn lease_length(&self, member: &MemberRecord) -> Duration {
        match member.lease_ms {
            0 => self.lease,
            asked => Duration::from_millis(asked).min(self.lease),
        }
    }

    /// Returns whether a member must be removed: its lease has ended and it sends no heartbeats.
    ///
    /// A member that sends heartbeats but hasn't been granted a lease yet, as right after its
    /// admission, stays.
    fn is_removal_due(&self, now: ClockTime, member: &MemberRecord) -> bool {
        let superseded = self.successors.contains_key(&member.id.vm);
        let record = self.records.get(&member.id.vm);
        let has_live_process = record.is_some_and(|record| {
            record.member.id == member.id
                && record.is_live(now, self.lease_length(member))
                && !record.removal_proposed
        });
        self.has_ended(now, member) && (superseded || !has_live_process)
    }

    fn mark_removal_proposed(&mut self, member: &MemberRecord, now: ClockTime) {
        let record = self.records.entry(member.id.vm.clone());
        let record = record.or_insert_with(|| HeartbeatRecord::new(member.clone(), now));
        if record.member.id == member.id {
            record.removal_proposed = true;
        }
    }

    /// Returns the latest known incarnation of a VM.
    pub fn latest_incarnation(&self, vm: &VmName, catalog: &CatalogState) -> VmIncarnation {
        let known = catalog.member(vm).map(|member| member.id.incarnation);
        let record = self.records.get(vm);
        let current = record.map(|record| record.member.id.incarnation);
        let successor = self.successors.get(vm);
        let next = successor.map(|record| record.member.id.incarnation);
        known.max(current).max(next).unwrap_or_default()
    }

    /// Returns whether this is the VM's current process: no earlier one must be removed from the
    /// catalog before it gets a lease.
    fn is_current_process(&self, member: &MemberRecord, catalog: &CatalogState) -> bool {
        match catalog.member(&member.id.vm) {
            Some(known) => known.id == member.id || member.can_replace_immediately(known),
            None => true,
        }
    }

    fn note_heartbeat(&mut self, now: ClockTime, heartbeat: &HeartbeatRequest, role: ProcessRole) {
        let records = match role {
            ProcessRole::Current => &mut self.records,
            ProcessRole::Successor => &mut self.successors,
        };
        let vm = heartbeat.member.id.vm.clone();
        let fresh = || HeartbeatRecord::new(heartbeat.member.clone(), now);
        let record = records.entry(vm).or_insert_with(fresh);
        if record.member.id != heartbeat.member.id {
            *record = fresh();
        }
        record.member = heartbeat.member.clone();
        record.last_heartbeat = record.last_heartbeat.max(now);
        record.confirm(heartbeat.revision);
    }

    /// Promotes later processes whose predecessor was removed, and discards the records of removed
    /// processes, so that they can join again.
    fn promote_successors(&mut self, catalog: &CatalogState) {
        let removed = |vm: &VmName| catalog.member(vm).is_none();
        self.records
            .retain(|vm, record| !(record.removal_proposed && removed(vm)));
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

enum ProcessRole {
    Current,
    Successor,
}

impl HeartbeatRecord {
    fn new(member: MemberRecord, now: ClockTime) -> Self {
        Self {
            member,
            confirmed: CatalogRevision(0),
            granted_at: None,
            last_heartbeat: now,
            unconfirmed: None,
            removal_proposed: false,
        }
    }

    fn confirm(&mut self, revision: CatalogRevision) {
        self.confirmed = self.confirmed.max(revision);
        self.unconfirmed = self
            .unconfirmed
            .filter(|unconfirmed| unconfirmed.revision > self.confirmed);
    }

    fn grant(
        &mut self,
        now: ClockTime,
        lease: Duration,
        present: CatalogRevision,
    ) -> LeaseDecision {
        if self.confirmed < present && self.unconfirmed.is_none() {
            self.unconfirmed = Some(UnconfirmedRevision {
                revision: present,
                since: now,
            });
        }
        // A member that sends heartbeats but can't apply deltas would keep a change from coming
        // into force indefinitely. Its lease ends instead.
        if self
            .unconfirmed
            .is_some_and(|unconfirmed| now.since(unconfirmed.since) > lease)
        {
            return LeaseDecision::Grant(Duration::ZERO);
        }
        self.granted_at = Some(now);
        LeaseDecision::Grant(lease)
    }

    fn is_live(&self, now: ClockTime, lease: Duration) -> bool {
        now < self.last_heartbeat + lease + lease / DRIFT_DIVISOR
    }

    fn needs_admission(&self, now: ClockTime, lease: Duration, catalog: &CatalogState) -> bool {
        let known = catalog.member(&self.member.id.vm);
        // A member that drained and left sends a few more heartbeats. It must not rejoin.
        if known.is_none() && self.member.draining {
            return false;
        }
        !self.removal_proposed && self.is_live(now, lease) && known != Some(&self.member)
    }
}
