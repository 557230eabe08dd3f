//! Settings of the agreed log.

use super::entry::VoterId;
use ragwort_types::VmName;
use smallvec::SmallVec;

/// Settings of an [`AgreementNode`](super::AgreementNode).
#[derive(Clone, Debug)]
pub struct AgreementSettings {
    /// This VM, with the incarnation to take if its disk turns out to be empty.
    pub id: VoterId,
    /// The control VMs that an empty node asks to be taken in; this VM may be among them.
    pub peers: Vec<VmName>,
    /// The least ticks without a leader before an election; each wait is drawn from this number up
    /// to twice as many. Ten times [`heartbeat_ticks`](Self::heartbeat_ticks) rides out the loss
    /// of a few heartbeats.
    pub election_ticks: u32,
    /// The ticks between a leader's heartbeats.
    pub heartbeat_ticks: u32,
    /// The seed of the election waits; mixed with the VM's name, so that all VMs may have the same.
    pub seed: u64,
    /// The most entries in one message.
    pub max_batch_entries: usize,
    /// The most bytes of payload in one message; a larger single entry goes alone.
    pub max_batch_bytes: usize,
    /// The most entries sent to a follower ahead of its acknowledgement.
    pub max_entries_in_flight: u64,
    /// Which guards are in force; all of them but in runs that show what a guard prevents.
    pub guards: GuardSet,
}

impl AgreementSettings {
    /// Creates settings with the usual figures: an election after 10 to 20 ticks of silence, a
    /// heartbeat every tick, batches of 64 entries or 64 KiB and four batches in flight.
    pub fn new(id: VoterId, peers: Vec<VmName>, seed: u64) -> Self {
        Self {
            id,
            peers,
            election_ticks: 10,
            heartbeat_ticks: 1,
            seed,
            max_batch_entries: 64,
            max_batch_bytes: 64 * 1024,
            max_entries_in_flight: 256,
            guards: GuardSet::all(),
        }
    }
}

/// A rule of the agreed log that can be left out to show what it prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgreementGuard {
    /// A candidate first asks whether it would be elected, without raising its term.
    PreVote,
    /// No vote while a leader was heard within the least election time.
    VoteStickiness,
    /// A leader that hears no majority for an election time steps down.
    QuorumCheck,
    /// Only entries of the present term are committed by counting.
    OwnTermCommit,
    /// A read is answered after a majority has confirmed the leader.
    ReadConfirmation,
    /// A leader answers reads after it has committed an entry of its own term.
    ReadAfterOwnEntry,
    /// A node that knows no configuration has no vote.
    ConfiguredVote,
    /// A learner becomes a voter after it has caught up.
    CatchUpFirst,
    /// A voter is replaced by two changes of one voter each.
    SingleVoterChange,
    /// The next change of voters waits until the former is committed.
    OneChangeAtATime,
}

/// The guards in force.
///
/// Leaving one out breaks the log by design. It is only for the runs in `docs/design/agreement.md`
/// that show what each guard prevents.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GuardSet {
    left_out: SmallVec<[AgreementGuard; 2]>,
}

impl GuardSet {
    /// Returns the set of all guards.
    pub fn all() -> Self {
        Self::default()
    }

    /// Returns the set of all guards but one.
    pub fn without(guard: AgreementGuard) -> Self {
        Self::all().and_without(guard)
    }

    /// Returns this set without one more guard.
    pub fn and_without(mut self, guard: AgreementGuard) -> Self {
        self.left_out.push(guard);
        self
    }

    /// Says whether a guard is in force.
    pub fn holds(&self, guard: AgreementGuard) -> bool {
        !self.left_out.contains(&guard)
    }
}
