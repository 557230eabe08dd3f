//! What is known of the logs of a group's instances while its primary is replaced.
//!
//! An instance whose slots are all taken doesn't report its position, but each of its answers
//! contains the position that it has applied, which is a lower bound.

use ragwort_types::InstanceName;
use ragwort_types::LogPosition;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Which acknowledged writes the new primary must hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WriteGuarantee {
    /// Those that any instance is known to hold. Replication is asynchronous, so the last ones may
    /// be lost together with the primary.
    #[default]
    BestEffort,
    /// All. Before a write is acknowledged, this many replicas have received it.
    SynchronousReplicas(usize),
}

/// What is known of the logs of a group's instances.
#[derive(Clone, Debug, Default)]
pub(crate) struct PromotionEvidence {
    /// The positions that instances reported since the last write was acknowledged.
    received: BTreeMap<InstanceName, LogPosition>,
    /// Lower bounds of the instances' positions.
    bounds: BTreeMap<InstanceName, LogPosition>,
    /// The instances that have answered since the reports were last requested. Others may be gone.
    answered: BTreeSet<InstanceName>,
    /// The instances that are leaving.
    leaving: BTreeSet<InstanceName>,
    /// The number of instances that may have received acknowledged writes, with the primary.
    holder_count: usize,
}

impl PromotionEvidence {
    /// Records that reports were requested of the group's instances.
    pub(crate) fn note_requested(&mut self, holder_count: usize, leaving: BTreeSet<InstanceName>) {
        self.answered.clear();
        self.holder_count = holder_count;
        self.leaving = leaving;
    }

    /// Records the position that an instance has received.
    pub(crate) fn note_report(&mut self, instance: &InstanceName, received: LogPosition) {
        self.received.insert(instance.clone(), received);
        self.note_answer(instance, Some(received));
    }

    /// Records an instance's answer, and the position that it has applied if the answer contained
    /// one.
    pub(crate) fn note_answer(&mut self, instance: &InstanceName, applied: Option<LogPosition>) {
        self.answered.insert(instance.clone());
        if let Some(applied) = applied {
            let bound = self.bounds.entry(instance.clone()).or_default();
            *bound = applied.max(*bound);
        }
    }

    /// Records that a write was acknowledged. Instances may have received it after their reports.
    pub(crate) fn note_acknowledged(&mut self) {
        self.received.clear();
    }

    /// Removes an instance. A process that has started again may have lost a part of its log.
    pub(crate) fn forget(&mut self, instance: &InstanceName) {
        self.received.remove(instance);
        self.bounds.remove(instance);
        self.answered.remove(instance);
    }

    /// Returns the lower bounds of the instances' positions.
    pub(crate) fn bounds(&self) -> impl Iterator<Item = (&InstanceName, LogPosition)> {
        self.bounds
            .iter()
            .map(|(instance, bound)| (instance, *bound))
    }

    /// Returns whether an instance is known to hold a position.
    pub(crate) fn is_held(&self, instance: &InstanceName, position: LogPosition) -> bool {
        let bound = self.bounds.get(instance);
        bound.is_some_and(|bound| bound.covers_in_term(position))
    }

    /// Returns the instance with the highest known position, except the replaced one and those that
    /// are leaving.
    pub(crate) fn choose_any(
        &self,
        replaced: Option<&InstanceName>,
    ) -> Option<(&InstanceName, LogPosition)> {
        let others = self.list_candidates(replaced);
        let staying = others.filter(|(instance, _)| !self.leaving.contains(*instance));
        staying.max_by_key(|(_, bound)| *bound)
    }

    /// Returns an instance that holds all acknowledged writes, except the replaced one.
    ///
    /// An instance qualifies if it has reached `required`, the newest acknowledged position, if that
    /// is known.
    ///
    /// Otherwise the reports are compared: each acknowledged write is on the primary and on
    /// `synchronous` replicas, so of any `holder_count - synchronous` instances one holds it. If as
    /// many have reported, the one that has received the most holds all. That also covers a
    /// `required` position that no instance will reach, because the primary counted a write in it
    /// that it hadn't acknowledged yet.
    ///
    /// An instance that is leaving is returned if no other one qualifies, unless the replaced one
    /// is leaving as well.
    pub(crate) fn choose_complete(
        &self,
        replaced: Option<&InstanceName>,
        required: Option<LogPosition>,
        synchronous: usize,
    ) -> Option<&InstanceName> {
        let enough_reports = self.received.len() + synchronous >= self.holder_count;
        let most = self.received.values().max().filter(|_| enough_reports);
        let replaced_leaves = replaced.is_some_and(|name| self.leaving.contains(name));
        let others = self.list_candidates(replaced);
        let complete = others.filter(|(_, bound)| {
            let reached = required.is_some_and(|required| bound.covers_in_term(required));
            reached || most.is_some_and(|most| bound >= most)
        });
        let usable = complete.filter(|(instance, _)| {
            let leaves = self.leaving.contains(*instance);
            !(leaves && replaced_leaves)
        });
        let best = usable.max_by_key(|(instance, bound)| {
            let stays = !self.leaving.contains(*instance);
            (stays, *bound)
        });
        best.map(|(instance, _)| instance)
    }

    fn list_candidates(
        &self,
        replaced: Option<&InstanceName>,
    ) -> impl Iterator<Item = (&InstanceName, LogPosition)> {
        self.bounds().filter(move |(instance, _)| {
            self.answered.contains(*instance) && replaced != Some(*instance)
        })
    }
}
