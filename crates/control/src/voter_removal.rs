//! Decides whether a lost voter is worth removing from the replicated log.

/// Returns whether the removal of one of `lost` voters from a set of `voters` lets it survive more
/// losses, at once or together with a second removal.
///
/// `surplus` voters may be removed before the set is smaller than its minimum.
///
/// A lost voter enlarges the majority of a set of even size, which survives no more losses than one
/// that is smaller by one. In a set of odd size a single lost voter stays, as the set survives as
/// many losses with it and it may return; of two the first is removed for the sake of the second.
pub fn is_removal_worthwhile(voters: usize, lost: usize, surplus: usize) -> bool {
    let needed = match voters.is_multiple_of(2) {
        true => 1,
        false => 2,
    };
    lost.min(surplus) >= needed
}
