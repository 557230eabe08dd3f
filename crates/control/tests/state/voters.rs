//! Tests of the removal of voters that are lost for good.

use ragwort_control::AbsentMember;
use ragwort_control::MemberStanding;
use ragwort_control::MemberSurvey;
use ragwort_control::VoterId;
use ragwort_control::is_removal_worthwhile;
use ragwort_control::majority;
use ragwort_types::VmIncarnation;

/// The largest set of voters that is looked at.
const MAX_VOTERS: usize = 9;

/// Returns how many further losses a set survives.
fn survived_losses(voters: usize, lost: usize) -> usize {
    (voters - lost).saturating_sub(majority(voters))
}

/// The number of election timeouts after which any member that is absent counts as lost.
const LONG_SILENCE: u64 = 100;

fn absent_member(vm: &str, standing: MemberStanding) -> AbsentMember {
    AbsentMember {
        id: VoterId::new(vm.into(), VmIncarnation(1)),
        standing,
        departed: false,
        silent_timeouts: LONG_SILENCE,
    }
}

/// Surveys a set of which at least five must vote.
fn survey_set(voters: usize, learners: usize, absent: Vec<AbsentMember>) -> MemberSurvey {
    MemberSurvey {
        voters,
        learners,
        least_voters: 5,
        absent,
    }
}

fn find_removable(survey: &MemberSurvey) -> Option<&str> {
    let member = survey.find_removable();
    member.map(|member| member.id.vm.as_str())
}

case! {
    /// A control VM was lost before it had joined. It stayed a learner for good, and no lost voter was
    /// removed any more.
    lost_learner_is_removed {
        let learner = absent_member("vm-6", MemberStanding::Learner);
        let voter = absent_member("vm-5", MemberStanding::Voter);
        let survey = survey_set(6, 1, vec![voter.clone(), learner.clone()]);
        assert_eq!(find_removable(&survey), Some("vm-6"));
        let survey = survey_set(5, 1, vec![voter, learner]);
        assert_eq!(find_removable(&survey), Some("vm-6"));
    }
}

case! {
    /// The leader changed every few seconds, and each one waited as long as for a restart. Voters
    /// that had left the catalog before stayed in the set.
    departed_voter_is_removed_soon_after_an_election {
        let departed = AbsentMember {
            departed: true,
            silent_timeouts: 2,
            ..absent_member("vm-5", MemberStanding::Voter)
        };
        let starting = AbsentMember { departed: false, ..departed.clone() };
        let answering = AbsentMember { silent_timeouts: 0, ..departed.clone() };
        for (absent, removable) in [
            (departed, Some("vm-5")),
            (starting, None),
            (answering, None),
        ] {
            let survey = survey_set(6, 0, vec![absent]);
            assert_eq!(find_removable(&survey), removable);
        }
    }
}

case! {
    /// A voter of a full set was lost, and none may be removed from a set of the smallest size. Its
    /// successor was never admitted.
    lost_member_leaves_its_place_to_a_successor {
        let lost = absent_member("vm-7", MemberStanding::Voter);
        let starting = AbsentMember { silent_timeouts: 0, ..lost.clone() };
        let is_full = |absent: &AbsentMember| {
            let survey = MemberSurvey { least_voters: 7, ..survey_set(7, 0, vec![absent.clone()]) };
            survey.is_full()
        };
        assert!(!is_full(&lost));
        assert!(is_full(&starting));
    }
}

case! {
    /// A control VM takes long to catch up. Lost voters stayed in the set meanwhile.
    lost_voter_does_not_wait_for_a_learner {
        let voter = absent_member("vm-5", MemberStanding::Voter);
        let survey = survey_set(6, 1, vec![voter]);
        assert_eq!(find_removable(&survey), Some("vm-5"));
    }
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
