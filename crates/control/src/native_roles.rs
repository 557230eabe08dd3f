//! Roles of a group's instances where the databases manage roles and terms themselves.
//!
//! The leaseholder learns roles from three sources that arrive in any order: announcements, replies
//! to status requests, and refused writes. A former primary behind a network partition still
//! considers itself the primary. The term therefore decides: the primary is the instance that
//! claims to be it in the highest known term, and a claim with an unknown term is ignored.

use crate::ClockTime;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::InstanceRole;
use ragwort_types::LogPosition;
use std::collections::BTreeMap;

/// An instance's report on itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleReport {
    /// Its role.
    pub role: InstanceRole,
    /// The term to which it belongs.
    pub term: GroupTerm,
    /// The position up to which it has received the log.
    pub received: LogPosition,
}

#[derive(Clone, Debug)]
struct InstanceClaim {
    role: InstanceRole,
    /// When the role was last announced or reported.
    updated_at: ClockTime,
    report: Option<RoleReport>,
    leaving: bool,
}

/// The roles of a group's instances.
#[derive(Clone, Debug, Default)]
pub struct InstanceRoles {
    instances: BTreeMap<InstanceName, InstanceClaim>,
    /// The highest term in which a primary was found.
    highest_term: GroupTerm,
}

impl InstanceRoles {
    /// Creates the roles with the highest term in which a former leaseholder found a primary.
    ///
    /// A replaced primary that doesn't know of its replacement may be the first to answer a new
    /// leaseholder. Writes sent to it would be lost, so a primary of a lower term is ignored.
    pub fn new(highest_term: GroupTerm) -> Self {
        Self {
            instances: BTreeMap::new(),
            highest_term,
        }
    }

    /// Adds an instance that a former leaseholder knew, so that it is asked for its role.
    pub fn add_expected(&mut self, now: ClockTime, instance: &InstanceName, leaving: bool) {
        self.note_announcement(now, instance, InstanceRole::Primary, leaving);
    }

    /// Returns whether an announcement with this role would change nothing but its time.
    pub fn is_known_as(&self, instance: &InstanceName, role: InstanceRole, leaving: bool) -> bool {
        let claim = self.instances.get(instance);
        claim.is_some_and(|claim| claim.role == role && claim.leaving == leaving)
    }

    /// Records an instance's announcement.
    pub fn note_announcement(
        &mut self,
        now: ClockTime,
        instance: &InstanceName,
        role: InstanceRole,
        leaving: bool,
    ) {
        let claim = self.instances.entry(instance.clone());
        let claim = claim.or_insert(InstanceClaim {
            role,
            updated_at: now,
            report: None,
            leaving,
        });
        // A report from its former role is obsolete.
        if claim.role != role {
            claim.report = None;
        }
        claim.role = role;
        claim.updated_at = now;
        claim.leaving = leaving;
    }

    /// Records an instance's reply to a request for its role.
    pub fn take_report(&mut self, now: ClockTime, instance: &InstanceName, report: RoleReport) {
        if let Some(claim) = self.instances.get_mut(instance) {
            claim.role = report.role;
            claim.updated_at = now;
            claim.report = Some(report);
        }
        self.raise_highest_term();
    }

    /// Records that an instance refused a write, and so is not the primary whatever it said before.
    pub fn note_refused_write(&mut self, now: ClockTime, instance: &InstanceName) {
        if let Some(claim) = self.instances.get_mut(instance) {
            claim.role = InstanceRole::Replica;
            claim.updated_at = now;
            claim.report = None;
        }
    }

    /// Removes an instance that no longer announces itself.
    pub fn forget(&mut self, instance: &InstanceName) {
        self.instances.remove(instance);
    }

    /// Returns an instance's last report in its present role.
    pub fn report(&self, instance: &InstanceName) -> Option<RoleReport> {
        self.instances.get(instance)?.report
    }

    /// Returns the primary and its term.
    pub fn primary(&self) -> Option<(&InstanceName, GroupTerm)> {
        let claims = self.instances.iter().filter_map(|(instance, claim)| {
            let report = claim
                .report
                .filter(|_| claim.role == InstanceRole::Primary)?;
            Some((instance, report.term))
        });
        let best = claims.max_by_key(|(_, term)| *term)?;
        (best.1 >= self.highest_term).then_some(best)
    }

    /// Returns whether an instance claims to be the primary in a term that is still unknown.
    pub fn needs_report(&self, instance: &InstanceName) -> bool {
        let claim = self.instances.get(instance);
        claim.is_some_and(|claim| claim.role == InstanceRole::Primary && claim.report.is_none())
    }

    /// Returns whether any instance claims to be the primary in a term that is still unknown.
    pub fn needs_any_report(&self) -> bool {
        self.instances
            .keys()
            .any(|instance| self.needs_report(instance))
    }

    /// Returns whether an instance has announced that it is leaving and takes no new work.
    pub fn is_leaving(&self, instance: &InstanceName) -> bool {
        self.instances
            .get(instance)
            .is_some_and(|claim| claim.leaving)
    }

    /// Returns the highest term in which a primary was found.
    pub fn highest_primary_term(&self) -> GroupTerm {
        self.highest_term
    }

    fn raise_highest_term(&mut self) {
        let claims = self.instances.values();
        let claims = claims.filter(|claim| claim.role == InstanceRole::Primary);
        let terms = claims.filter_map(|claim| Some(claim.report?.term));
        self.highest_term = terms.chain([self.highest_term]).max().unwrap_or_default();
    }
}
