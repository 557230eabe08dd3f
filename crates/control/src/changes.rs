//! The index of the catalog's items by the revision of their last change.

use ragwort_types::CatalogRevision;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;

/// The keys of a catalog's items, ordered by the revision of their last change and then by key.
///
/// One document changes thousands of items at one revision, so that neither adding nor removing a
/// key may pass over the others of its revision. The order within a revision depends on the keys
/// alone: control VMs that restored the catalog from a snapshot send the same deltas as those that
/// applied every command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeIndex<Key> {
    revisions: BTreeMap<CatalogRevision, BTreeSet<Key>>,
}

impl<Key> Default for ChangeIndex<Key> {
    fn default() -> Self {
        Self {
            revisions: BTreeMap::new(),
        }
    }
}

impl<Key: Ord> ChangeIndex<Key> {
    /// Adds the key of an item that changed at a revision.
    pub fn insert(&mut self, revision: CatalogRevision, key: Key) {
        self.revisions.entry(revision).or_default().insert(key);
    }

    /// Removes the key of an item whose last change isn't that of this revision any more.
    pub fn remove(&mut self, revision: CatalogRevision, key: &Key) {
        let Some(keys) = self.revisions.get_mut(&revision) else {
            return;
        };
        keys.remove(key);
        if keys.is_empty() {
            self.revisions.remove(&revision);
        }
    }

    /// Iterates over all keys.
    pub fn iter(&self) -> impl Iterator<Item = (CatalogRevision, &Key)> {
        self.range(Bound::Unbounded)
    }

    /// Iterates over the keys of the items that changed from a revision on.
    pub fn range(
        &self,
        from: Bound<CatalogRevision>,
    ) -> impl Iterator<Item = (CatalogRevision, &Key)> {
        let revisions = self.revisions.range((from, Bound::Unbounded));
        revisions.flat_map(|(revision, keys)| keys.iter().map(move |key| (*revision, key)))
    }
}
