//! Settings of the replicated log, and its guards: the protocol rules that tests can disable.

use super::entry::VoterId;
use ragwort_types::VmName;
use smallvec::SmallVec;

/// Settings of an [`AgreementNode`](super::AgreementNode).
#[derive(Clone, Debug)]
pub struct AgreementSettings {
    /// The identity of this VM; the incarnation is used only if the disk is empty.
    pub id: VoterId,
    /// The control VMs to which an empty node sends join requests; this VM may be among them.
    pub peers: Vec<VmName>,
    /// The minimum election timeout, in ticks. Each timeout is drawn at random from this number up
    /// to twice as many. Ten times [`heartbeat_ticks`](Self::heartbeat_ticks) tolerates the loss of
    /// a few heartbeats.
    pub election_ticks: u32,
    /// The interval between a leader's heartbeats, in ticks.
    pub heartbeat_ticks: u32,
    /// The seed of the random election timeouts. It is combined with a hash of the node's identity,
    /// so all VMs may have the same seed.
    pub seed: u64,
    /// The maximum number of entries in one message.
    pub max_batch_entries: usize,
    /// The maximum payload of one message, in bytes; a larger entry is sent in a message of its
    /// own.
    pub max_batch_bytes: usize,
    /// The maximum number of unacknowledged entries sent to a follower.
    pub max_entries_in_flight: u64,
    /// The guards in force; all of them, except in tests that show what a guard prevents.
    pub guards: GuardSet,
}

impl AgreementSettings {
    /// Creates settings with the default values: an election timeout of 10 to 20 ticks, a heartbeat
    /// every tick, batches of up to 64 entries or 64 KiB, and four such batches in flight.
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

/// A guard: a rule of the protocol that tests can disable to show which failure it prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgreementGuard {
    /// A node collects pre-votes before it raises its term and requests votes.
    PreVote,
    /// A node that had contact with a leader within the minimum election timeout refuses votes and
    /// pre-votes to other candidates.
    VoteStickiness,
    /// A leader that no majority has answered for an election timeout steps down.
    QuorumCheck,
    /// Only entries of the current term are committed by counting the voters that stored them.
    OwnTermCommit,
    /// A read is answered after a majority has confirmed the leader.
    ReadConfirmation,
    /// A leader answers reads only after it has committed an entry of its own term.
    ReadAfterOwnEntry,
    /// A node without a configuration doesn't vote.
    ConfiguredVote,
    /// A learner becomes a voter only after it has caught up.
    CatchUpFirst,
    /// A voter is replaced by two changes of one voter each.
    SingleVoterChange,
    /// The next change of voters waits until the previous one is committed.
    OneChangeAtATime,
}

/// The set of guards in force.
///
/// Disabling a guard deliberately breaks the log's guarantees. That is only for the tests described
/// in `docs/design/agreement.md`, which show what each guard prevents.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GuardSet {
    disabled: SmallVec<[AgreementGuard; 2]>,
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

    /// Returns this set with one more guard disabled.
    pub fn and_without(mut self, guard: AgreementGuard) -> Self {
        self.disabled.push(guard);
        self
    }

    /// Returns whether a guard is in force.
    pub fn enforces(&self, guard: AgreementGuard) -> bool {
        !self.disabled.contains(&guard)
    }
}
