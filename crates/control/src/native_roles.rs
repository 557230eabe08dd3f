//! Which instance is the primary, where the databases themselves decide that.
//!
//! Roles reach the leaseholder by three ways that overtake each other: what instances announce of
//! themselves, what they report when asked, and writes that they refuse. A former primary behind a
//! cut goes on believing in itself. So the term decides: the claimant of the highest term that is
//! known is the primary, and a claim whose term isn't known yet counts for nothing.

use crate::ClockTime;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::InstanceRole;
use ragwort_types::LogPosition;
use std::collections::BTreeMap;

/// What an instance reported of itself when it was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleReport {
    /// Its role.
    pub role: InstanceRole,
    /// The term that it belongs to.
    pub term: GroupTerm,
    /// How far it has received the log.
    pub received: LogPosition,
}

#[derive(Clone, Debug)]
struct InstanceView {
    role: InstanceRole,
    /// When the role was last heard or reported.
    heard: ClockTime,
    report: Option<RoleReport>,
    leaving: bool,
}

/// The roles of a group's instances.
#[derive(Clone, Debug, Default)]
pub struct RoleBoard {
    instances: BTreeMap<InstanceName, InstanceView>,
    /// The highest term in which a primary was found.
    reached: GroupTerm,
}

impl RoleBoard {
    /// Begins with the highest term that a former leaseholder has found a primary in.
    ///
    /// A primary that was replaced and doesn't know it may be the first to answer a new
    /// leaseholder. Writes sent to it would be lost with it; below this term it is not followed.
    pub fn new(reached: GroupTerm) -> Self {
        Self {
            instances: BTreeMap::new(),
            reached,
        }
    }

    /// Takes in an instance that a former leaseholder knew: it is to be asked for its role.
    pub fn expect(&mut self, now: ClockTime, instance: &InstanceName, leaving: bool) {
        self.hear(now, instance, InstanceRole::Primary, leaving);
    }

    /// Takes what an instance announces of itself.
    pub fn hear(
        &mut self,
        now: ClockTime,
        instance: &InstanceName,
        role: InstanceRole,
        leaving: bool,
    ) {
        let view = self.instances.entry(instance.clone());
        let view = view.or_insert(InstanceView {
            role,
            heard: now,
            report: None,
            leaving,
        });
        // What it reported in its former role says nothing of the new one.
        if view.role != role {
            view.report = None;
        }
        view.role = role;
        view.heard = now;
        view.leaving = leaving;
    }

    /// Takes what an instance reported when it was asked.
    pub fn take_report(&mut self, now: ClockTime, instance: &InstanceName, report: RoleReport) {
        if let Some(view) = self.instances.get_mut(instance) {
            view.role = report.role;
            view.heard = now;
            view.report = Some(report);
        }
        self.note_reached();
    }

    /// Notes that an instance refused a write: it isn't the primary, whatever it said before.
    pub fn see_refused_write(&mut self, now: ClockTime, instance: &InstanceName) {
        if let Some(view) = self.instances.get_mut(instance) {
            view.role = InstanceRole::Replica;
            view.heard = now;
            view.report = None;
        }
    }

    /// Forgets an instance that isn't heard any more.
    pub fn forget(&mut self, instance: &InstanceName) {
        self.instances.remove(instance);
    }

    /// Returns what an instance last reported of itself, in its present role.
    pub fn report(&self, instance: &InstanceName) -> Option<RoleReport> {
        self.instances.get(instance)?.report
    }

    /// Returns the primary and its term.
    pub fn primary(&self) -> Option<(&InstanceName, GroupTerm)> {
        let claims = self.instances.iter().filter_map(|(instance, view)| {
            let report = view.report.filter(|_| view.role == InstanceRole::Primary)?;
            Some((instance, report.term))
        });
        let best = claims.max_by_key(|(_, term)| *term)?;
        (best.1 >= self.reached).then_some(best)
    }

    /// Says whether an instance claims to be the primary and hasn't been asked for its term.
    pub fn needs_report(&self, instance: &InstanceName) -> bool {
        let view = self.instances.get(instance);
        view.is_some_and(|view| view.role == InstanceRole::Primary && view.report.is_none())
    }

    /// Says whether an instance wants no new work.
    pub fn is_leaving(&self, instance: &InstanceName) -> bool {
        self.instances
            .get(instance)
            .is_some_and(|view| view.leaving)
    }

    /// Returns the highest term in which a primary was found.
    pub fn reached_term(&self) -> GroupTerm {
        self.reached
    }

    fn note_reached(&mut self) {
        let claims = self.instances.values();
        let claims = claims.filter(|view| view.role == InstanceRole::Primary);
        let terms = claims.filter_map(|view| Some(view.report?.term));
        self.reached = terms.chain([self.reached]).max().unwrap_or_default();
    }
}
