//! Tests of the removal of voters that are lost for good.

use ragwort_control::is_removal_worthwhile;
use ragwort_control::majority;

/// The largest set of voters that is looked at.
const MAX_VOTERS: usize = 9;

/// Returns how many further losses a set survives.
fn survived_losses(voters: usize, lost: usize) -> usize {
    (voters - lost).saturating_sub(majority(voters))
}

case! {
    /// Lost voters that were replaced enlarged the majority for good, or were removed where the set
    /// survived fewer losses without them.
    lost_voters_are_removed_as_long_as_that_helps {
        for least in 1..=MAX_VOTERS {
            for voters in least..=MAX_VOTERS {
                for lost in 0..=voters - majority(voters) {
                    let (mut size, mut left) = (voters, lost);
                    while is_removal_worthwhile(size, left, size - least) {
                        assert!(survived_losses(size - 1, left - 1) >= survived_losses(size, left));
                        (size, left) = (size - 1, left - 1);
                    }
                    let removable = left.min(size - least);
                    let best = (0..=removable)
                        .map(|count| survived_losses(size - count, left - count))
                        .max();
                    let course = (least, voters, lost);
                    assert_eq!(Some(survived_losses(size, left)), best, "{course:?}");
                }
            }
        }
    }
}

case! {
    /// A set of odd size survives as many losses with a lost voter as without it, and more once the
    /// voter returns.
    single_lost_voter_of_an_odd_set_stays {
        assert!(!is_removal_worthwhile(7, 1, 2));
        assert!(is_removal_worthwhile(7, 2, 2));
        assert!(!is_removal_worthwhile(7, 2, 1));
        assert!(is_removal_worthwhile(6, 1, 1));
        assert!(!is_removal_worthwhile(6, 1, 0));
    }
}
