//! Failure tests of the index of changes.

use ragwort_control::ChangeIndex;
use ragwort_types::CatalogRevision;
use std::cell::Cell;
use std::cmp::Ordering;
use std::ops::Bound;

thread_local! {
    static COMPARISONS: Cell<u64> = const { Cell::new(0) };
}

/// A key that counts its comparisons.
#[derive(Clone, Copy, Debug)]
struct CountedKey(u64);

impl Ord for CountedKey {
    fn cmp(&self, other: &Self) -> Ordering {
        COMPARISONS.set(COMPARISONS.get() + 1);
        self.0.cmp(&other.0)
    }
}

impl PartialOrd for CountedKey {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for CountedKey {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for CountedKey {}

const KEYS: u64 = 4_096;

/// The comparisons that one change may cost, several times those of a search in a tree.
const MAX_COMPARISONS: u64 = 100;

/// Returns all keys in an order unlike their own.
fn scattered_keys() -> impl Iterator<Item = CountedKey> {
    (0..KEYS).map(|number| CountedKey(number * 2_731 % KEYS))
}

case! {
    /// A configuration changes thousands of contracts at one revision. When each change sorted and
    /// searched the revision's other keys, every control VM stood still for a third of a second,
    /// and leases were lost.
    change_costs_no_pass_over_its_revision {
        let mut index = ChangeIndex::default();
        let (first, second) = (CatalogRevision(1), CatalogRevision(2));
        scattered_keys().for_each(|key| index.insert(first, key));
        for key in scattered_keys() {
            index.remove(first, &key);
            index.insert(second, key);
        }
        let changes = 3 * KEYS;
        let comparisons = COMPARISONS.get();
        assert!(comparisons < changes * MAX_COMPARISONS, "{comparisons} comparisons");
        let numbers = index.range(Bound::Excluded(first)).map(|(_, key)| key.0);
        assert!(numbers.eq(0..KEYS));
    }
}
