//! Log entries, their terms and indices, the identities of nodes and the voter configuration.

use ragwort_types::VmIncarnation;
use ragwort_types::VmName;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use std::fmt;

macro_rules! log_counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number after this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

log_counter! {
    /// The index of an entry in the replicated log, counted from 1; zero means before the first
    /// entry.
    LogIndex
}
log_counter! {
    /// An election term of the replicated log. A term has at most one leader.
    ElectionTerm
}

impl LogIndex {
    /// Returns the index before this one, or zero.
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// Identifies a voter or learner: a VM together with the incarnation of its disk.
///
/// A VM that starts with an empty disk gets a new identity, so that votes and acknowledgements of
/// the lost disk are never attributed to the empty one. The incarnation must be higher than all
/// earlier ones of the VM, such as the microseconds since the Unix epoch at the first start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(VmName, VmIncarnation)", into = "(VmName, VmIncarnation)")]
pub struct VoterId {
    /// The VM.
    pub vm: VmName,
    /// The incarnation of its disk.
    pub incarnation: VmIncarnation,
}

impl VoterId {
    /// Creates an identity from a VM's name and its disk's incarnation.
    pub fn new(vm: VmName, incarnation: VmIncarnation) -> Self {
        Self { vm, incarnation }
    }
}

impl From<(VmName, VmIncarnation)> for VoterId {
    fn from((vm, incarnation): (VmName, VmIncarnation)) -> Self {
        Self { vm, incarnation }
    }
}

impl From<VoterId> for (VmName, VmIncarnation) {
    fn from(id: VoterId) -> Self {
        (id.vm, id.incarnation)
    }
}

impl fmt::Display for VoterId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.vm, self.incarnation)
    }
}

/// The term and index of an entry, which identify it.
///
/// Two entries with the same mark are the same entry. Marks are ordered by term first, the order in
/// which voters compare how complete two logs are.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "(ElectionTerm, LogIndex)", into = "(ElectionTerm, LogIndex)")]
pub struct EntryMark {
    /// The term of the leader that appended the entry.
    pub term: ElectionTerm,
    /// The entry's index.
    pub index: LogIndex,
}

impl EntryMark {
    /// Creates a mark from a term and an index.
    pub fn new(term: ElectionTerm, index: LogIndex) -> Self {
        Self { term, index }
    }
}

impl From<(ElectionTerm, LogIndex)> for EntryMark {
    fn from((term, index): (ElectionTerm, LogIndex)) -> Self {
        Self { term, index }
    }
}

impl From<EntryMark> for (ElectionTerm, LogIndex) {
    fn from(mark: EntryMark) -> Self {
        (mark.term, mark.index)
    }
}

impl fmt::Display for EntryMark {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.term, self.index)
    }
}

/// Identifies the log that an operator formed: a checksum of its first voters.
///
/// Messages from another formation are dropped. Otherwise two sets of VMs that were formed
/// separately by mistake would mix their entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FormationId(pub u32);

/// A short list of voters.
pub type VoterList = SmallVec<[VoterId; 5]>;

/// The voters and the non-voting learners of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterConfiguration {
    /// The formation that the log belongs to.
    pub formation: FormationId,
    /// The nodes that count towards a majority.
    pub voters: VoterList,
    /// The nodes that receive the log without a vote, in order to become voters.
    pub learners: SmallVec<[VoterId; 1]>,
    /// The voter that was added last; `None` if none was added since the log was formed.
    pub admitted: Option<VoterId>,
}

impl VoterConfiguration {
    /// Creates the first configuration of a log; duplicates are dropped.
    pub fn form(voters: impl IntoIterator<Item = VoterId>) -> Self {
        let mut voters: VoterList = voters.into_iter().collect();
        voters.sort();
        voters.dedup();
        let names: Vec<String> = voters.iter().map(VoterId::to_string).collect();
        let formation = FormationId(crc32fast::hash(names.join(",").as_bytes()));
        Self {
            formation,
            voters,
            learners: SmallVec::new(),
            admitted: None,
        }
    }

    /// Returns whether `id` is a voter.
    pub fn is_voter(&self, id: &VoterId) -> bool {
        self.voters.contains(id)
    }

    /// Returns whether `id` is a learner.
    pub fn is_learner(&self, id: &VoterId) -> bool {
        self.learners.contains(id)
    }

    /// Iterates over voters and learners.
    pub fn members(&self) -> impl Iterator<Item = &VoterId> {
        self.voters.iter().chain(self.learners.iter())
    }

    /// Finds the voter of a VM, whatever its incarnation.
    pub fn find_voter(&self, vm: &VmName) -> Option<&VoterId> {
        self.voters.iter().find(|voter| voter.vm == *vm)
    }

    /// Returns the highest incarnation of a VM among voters and learners.
    pub fn latest_incarnation(&self, vm: &VmName) -> Option<VmIncarnation> {
        let own = self.members().filter(|member| member.vm == *vm);
        own.map(|member| member.incarnation).max()
    }

    /// Returns the number of voters that make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether the voters for which `counts` is true are a majority.
    pub fn has_majority(&self, counts: impl Fn(&VoterId) -> bool) -> bool {
        let count = self.voters.iter().filter(|voter| counts(voter)).count();
        count >= self.majority()
    }
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// No content: the first entry of a new leader.
    #[serde(rename = "e")]
    Empty,
    /// A command for the replicated state machine, as text.
    #[serde(rename = "d")]
    Data(String),
    /// A change of voters and learners.
    #[serde(rename = "c")]
    Configuration(Box<VoterConfiguration>),
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The entry's term and index.
    #[serde(rename = "m")]
    pub mark: EntryMark,
    /// The entry's content.
    #[serde(rename = "p")]
    pub payload: EntryPayload,
}

impl LogEntry {
    /// Returns the size of the command text in bytes; zero for an entry without a command.
    pub fn payload_size(&self) -> usize {
        match &self.payload {
            EntryPayload::Data(data) => data.len(),
            EntryPayload::Empty | EntryPayload::Configuration(_) => 0,
        }
    }
}

/// A snapshot: the state that results from all entries up to `mark`, which it replaces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotData {
    /// The last entry that the snapshot includes.
    pub mark: EntryMark,
    /// The configuration as of that entry.
    pub configuration: VoterConfiguration,
    /// The state of the replicated state machine, as text.
    pub data: String,
}
