//! Entries of the agreed log, the identities that hold it and the places in it.

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
    /// The index of an entry in the agreed log, counted from 1; zero lies before the first entry.
    LogIndex
}
log_counter! {
    /// The term of a leader of the agreed log: at most one leader in each.
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
/// A VM whose disk was empty at start is another identity than before, so that whatever the lost
/// disk had promised is never taken for a promise of the empty one. The incarnation is any number
/// above those before, such as the microseconds since the Unix epoch at the first start.
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

/// The place of one entry: the term that wrote it and its index.
///
/// Two entries with the same mark are the same entry. Marks order by term first, which is how
/// voters tell the more complete of two logs.
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

/// Identifies the operator's act that formed the log.
///
/// Messages of another formation are dropped: otherwise two sets of VMs that were formed by
/// mistake would take each other's first entries for their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FormationId(pub u32);

/// A short list of voters.
pub type VoterList = SmallVec<[VoterId; 5]>;

/// Who votes on the log and who follows it without a vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterConfiguration {
    /// The formation that the log belongs to.
    pub formation: FormationId,
    /// Those that count towards a majority.
    pub voters: VoterList,
    /// Those that are being caught up to replace or join the voters.
    pub learners: SmallVec<[VoterId; 1]>,
    /// The voter that the latest change of voters added.
    pub admitted: Option<VoterId>,
}

impl VoterConfiguration {
    /// Creates the first configuration of a log.
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

    /// Says whether `id` counts towards a majority.
    pub fn is_voter(&self, id: &VoterId) -> bool {
        self.voters.contains(id)
    }

    /// Says whether `id` follows the log without a vote.
    pub fn is_learner(&self, id: &VoterId) -> bool {
        self.learners.contains(id)
    }

    /// Lists voters and learners.
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

    /// Says whether the voters that `holds` accepts are a majority.
    pub fn has_majority(&self, holds: impl Fn(&VoterId) -> bool) -> bool {
        let count = self.voters.iter().filter(|voter| holds(voter)).count();
        count >= self.majority()
    }
}

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Nothing: a new leader's first entry.
    #[serde(rename = "e")]
    Empty,
    /// A command of the state that the log keeps, as text.
    #[serde(rename = "d")]
    Data(String),
    /// A change of voters and learners.
    #[serde(rename = "c")]
    Configuration(Box<VoterConfiguration>),
}

/// One entry of the agreed log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The entry's place.
    #[serde(rename = "m")]
    pub mark: EntryMark,
    /// What it holds.
    #[serde(rename = "p")]
    pub payload: EntryPayload,
}

impl LogEntry {
    /// Returns the entry's text size in bytes, without marks and punctuation.
    pub fn payload_size(&self) -> usize {
        match &self.payload {
            EntryPayload::Data(data) => data.len(),
            EntryPayload::Empty | EntryPayload::Configuration(_) => 0,
        }
    }
}

/// The state at one place of the log, which replaces all entries up to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotData {
    /// The last entry that the state includes.
    pub mark: EntryMark,
    /// The configuration as of that entry.
    pub configuration: VoterConfiguration,
    /// The state, as text.
    pub data: String,
}
