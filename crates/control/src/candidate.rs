//! Choice of the instance to promote among those that are fenced.

use crate::quorum::majority;
use ragwort_types::InstanceName;
use ragwort_types::LogPosition;
use smallvec::SmallVec;
use std::collections::BTreeMap;

/// The instances that were fenced at a term, with their final positions in earlier terms.
#[derive(Clone, Debug, Default)]
pub(crate) struct FencedInstances {
    positions: BTreeMap<InstanceName, LogPosition>,
}

impl FencedInstances {
    pub(crate) fn clear(&mut self) {
        self.positions.clear();
    }

    pub(crate) fn insert(&mut self, name: InstanceName, position: LogPosition) {
        self.positions.insert(name, position);
    }

    pub(crate) fn remove(&mut self, name: &InstanceName) {
        self.positions.remove(name);
    }

    pub(crate) fn contains(&self, name: &InstanceName) -> bool {
        self.positions.contains_key(name)
    }

    pub(crate) fn position(&self, name: &InstanceName) -> Option<LogPosition> {
        self.positions.get(name).copied()
    }

    pub(crate) fn is_majority(&self, set: &[InstanceName]) -> bool {
        self.count(set) >= majority(set.len())
    }

    pub(crate) fn is_all(&self, set: &[InstanceName]) -> bool {
        !set.is_empty() && self.count(set) == set.len()
    }

    /// Chooses the fenced instance to promote: the one with the highest position, but preferably
    /// not the former primary, whose agent may answer although its database is dead.
    ///
    /// The former primary may be passed over only if another instance holds all acknowledged
    /// writes. A write may have been acknowledged if the fenced instances that hold it and all
    /// instances that aren't fenced would form a majority together.
    pub(crate) fn choose(
        &self,
        set: &[InstanceName],
        former: Option<&InstanceName>,
    ) -> Option<&InstanceName> {
        let unknown = set.len() - self.count(set);
        let mut positions: SmallVec<[LogPosition; 4]> = self.positions.values().copied().collect();
        positions.sort_unstable_by(|one, other| other.cmp(one));
        let needed = majority(set.len()).saturating_sub(unknown).max(1);
        let acknowledged = *positions.get(needed - 1)?;
        let holders = self.positions.iter();
        let holders = holders.filter(|(_, position)| position.covers(acknowledged));
        let best = holders.max_by_key(|(name, position)| (Some(*name) != former, **position));
        best.map(|(name, _)| name)
    }

    fn count(&self, set: &[InstanceName]) -> usize {
        set.iter().filter(|name| self.contains(name)).count()
    }
}
