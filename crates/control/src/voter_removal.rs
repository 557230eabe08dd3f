//! Decides which member of the replicated log is lost for good and worth removing.

use crate::VoterId;
use std::fmt;

/// The number of election timeouts without an answer after which a member is lost. That is longer
/// than a restart takes.
const LOST_AFTER_TIMEOUTS: u64 = 10;

/// The number of election timeouts without an answer after which a member is lost whose VM has left
/// the catalog. Voters that run answer a new leader within a fraction of that.
const DEPARTED_AFTER_TIMEOUTS: u64 = 2;

/// The maximum number of members of the replicated log, lost ones aside. Each further voter makes
/// every change wait for one more disk, and in practice nine voters survive no loss that seven don't
/// survive.
const MAX_MEMBERS: usize = 7;

/// Whether a member of the replicated log votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStanding {
    /// It votes.
    Voter,
    /// It receives the log without a vote.
    Learner,
}

/// A member of the replicated log whose VM isn't in the catalog and sends no heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AbsentMember {
    /// The member.
    pub id: VoterId,
    /// Whether it votes.
    pub standing: MemberStanding,
    /// Whether its VM was in the catalog and has been removed from it.
    pub departed: bool,
    /// The number of whole election timeouts for which it hasn't answered this leader.
    pub silent_timeouts: u64,
}

impl AbsentMember {
    /// Returns whether the member is lost for good.
    ///
    /// Silence counts from the leader's election, so each change of the leader starts it anew. That
    /// a VM has left the catalog was established by an earlier leader and is not forgotten.
    fn is_lost(&self) -> bool {
        let limit = match self.departed {
            true => DEPARTED_AFTER_TIMEOUTS,
            false => LOST_AFTER_TIMEOUTS,
        };
        self.silent_timeouts >= limit
    }
}

impl fmt::Display for AbsentMember {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let standing = match self.standing {
            MemberStanding::Voter => "voter",
            MemberStanding::Learner => "learner",
        };
        let presence = match self.departed {
            true => "departed",
            false => "unlisted",
        };
        write!(formatter, "{}/{standing}/{presence}", self.id)
    }
}

/// The members of the replicated log as its leader sees them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSurvey {
    /// The number of voters.
    pub voters: usize,
    /// The number of learners, lost ones included.
    pub learners: usize,
    /// The smallest number of voters allowed.
    pub least_voters: usize,
    /// The members whose VM isn't in the catalog.
    pub absent: Vec<AbsentMember>,
}

impl MemberSurvey {
    /// Returns whether the set has no place for another member.
    ///
    /// Lost members don't count: the successor of a voter that can't be removed without falling
    /// below the minimum would never be admitted.
    pub fn is_full(&self) -> bool {
        let lost = self.absent.iter().filter(|member| member.is_lost()).count();
        (self.voters + self.learners).saturating_sub(lost) >= MAX_MEMBERS
    }

    /// Finds a lost learner, or a lost voter whose removal lets the set survive more losses.
    ///
    /// A lost learner never becomes a voter and takes the place of its successor. Lost voters don't
    /// wait for other learners, which may need long to catch up.
    pub fn find_removable(&self) -> Option<&AbsentMember> {
        let lost = |standing| {
            let members = self.absent.iter();
            members.filter(move |member| member.standing == standing && member.is_lost())
        };
        let surplus = self.voters.saturating_sub(self.least_voters);
        let lost_voters = lost(MemberStanding::Voter).count();
        let voter_removable = is_removal_worthwhile(self.voters, lost_voters, surplus);
        let voter = || lost(MemberStanding::Voter).next();
        let learner = lost(MemberStanding::Learner).next();
        learner.or_else(|| voter().filter(|_| voter_removable))
    }
}

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
