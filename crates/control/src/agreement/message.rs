//! Messages between the nodes of the agreed log.
//!
//! Their texts travel within JSON strings, where each quote costs two bytes; so fields that are in
//! every message have short names or none.

use super::entry::ElectionTerm;
use super::entry::EntryMark;
use super::entry::FormationId;
use super::entry::LogEntry;
use super::entry::LogIndex;
use super::entry::VoterConfiguration;
use super::entry::VoterId;
use ragwort_types::VmIncarnation;
use ragwort_types::VmName;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;

/// A message between two nodes. Messages may be lost, repeated, delayed and reordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgreementMessage {
    /// The sender.
    #[serde(rename = "f")]
    pub from: VoterId,
    /// The receiver; a message to another incarnation of the VM is dropped.
    #[serde(rename = "o")]
    pub to: MessageRecipient,
    /// The formation that the sender belongs to; `None` for one that knows no configuration.
    #[serde(rename = "g")]
    pub formation: Option<FormationId>,
    /// The sender's term.
    #[serde(rename = "t")]
    pub term: ElectionTerm,
    /// What the sender says.
    #[serde(rename = "b")]
    pub body: MessageBody,
}

impl AgreementMessage {
    /// Encodes the message as JSON text.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes a message from JSON text.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError`] when the text isn't a message of this version.
    pub fn from_text(text: &str) -> Result<Self, MessageError> {
        serde_json::from_str(text).map_err(|error| MessageError {
            reason: error.to_string(),
        })
    }
}

/// A text that isn't an agreement message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageError {
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for MessageError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "malformed agreement message: {}", self.reason)
    }
}

impl std::error::Error for MessageError {}

/// Whom a message is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageRecipient {
    /// One incarnation of a VM.
    #[serde(rename = "i")]
    Voter(VoterId),
    /// A VM, whatever its incarnation: the sender doesn't know it.
    #[serde(rename = "v")]
    Vm(VmName),
}

impl MessageRecipient {
    /// Returns the VM that the message goes to.
    pub fn vm(&self) -> &VmName {
        match self {
            Self::Voter(id) => &id.vm,
            Self::Vm(vm) => vm,
        }
    }
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Would the receiver vote for the sender?
    PreVoteRequest(VoteQuestion),
    /// The answer to a pre-vote request.
    PreVoteReply(VoteAnswer),
    /// Does the receiver vote for the sender?
    VoteRequest(VoteQuestion),
    /// The answer to a vote request.
    VoteReply(VoteAnswer),
    /// The leader's entries, or its heartbeat when there are none.
    #[serde(rename = "a")]
    Append(EntryBatch),
    /// The answer to an append.
    #[serde(rename = "r")]
    AppendReply(AppendAnswer),
    /// A part of the leader's snapshot.
    Snapshot(Box<SnapshotChunk>),
    /// How much of a snapshot has arrived.
    SnapshotReply(SnapshotAnswer),
    /// An empty node asks to be taken in.
    Join,
    /// The receiver's incarnation is older than one that the log knows of its VM.
    Outdated(OutdatedNotice),
}

/// Asks for a vote, or for a pre-vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteQuestion {
    /// The term that the candidate would lead.
    pub term: ElectionTerm,
    /// The candidate's last entry.
    pub last: EntryMark,
}

/// Answers a [`VoteQuestion`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteAnswer {
    /// The term that was asked about.
    pub term: ElectionTerm,
    /// Whether the vote is given.
    pub granted: bool,
}

/// A leader's heartbeat round, by which it learns that a majority still follows it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct HeartbeatRound {
    /// Raised by each round.
    pub number: u64,
    /// The leader's tick when the round began.
    pub tick: u64,
}

impl From<(u64, u64)> for HeartbeatRound {
    fn from((number, tick): (u64, u64)) -> Self {
        Self { number, tick }
    }
}

impl From<HeartbeatRound> for (u64, u64) {
    fn from(round: HeartbeatRound) -> Self {
        (round.number, round.tick)
    }
}

/// Entries that follow on one that the receiver should hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryBatch {
    /// The entry before the first of the batch.
    #[serde(rename = "p")]
    pub previous: EntryMark,
    /// The entries, in order.
    #[serde(rename = "e")]
    pub entries: Vec<LogEntry>,
    /// The leader's commit index.
    #[serde(rename = "c")]
    pub commit: LogIndex,
    /// The leader's round.
    #[serde(rename = "r")]
    pub round: HeartbeatRound,
}

/// Answers an [`EntryBatch`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// The round that is answered.
    #[serde(rename = "r")]
    pub round: HeartbeatRound,
    /// What became of the batch.
    #[serde(rename = "o")]
    pub outcome: AppendOutcome,
}

/// What became of an [`EntryBatch`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The sender holds the leader's log up to this index, synced.
    #[serde(rename = "a")]
    Accepted(LogIndex),
    /// The sender lacks the entry before the batch.
    #[serde(rename = "r")]
    Rejected(AppendRejection),
}

/// Says from where a follower's log has to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRejection {
    /// The index before the rejected batch.
    #[serde(rename = "p")]
    pub previous: LogIndex,
    /// The last index that may match the leader's log.
    #[serde(rename = "h")]
    pub hint: LogIndex,
}

/// A part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The last entry that the snapshot includes.
    pub mark: EntryMark,
    /// The configuration as of that entry.
    pub configuration: VoterConfiguration,
    /// The whole snapshot's size, in bytes.
    pub total: usize,
    /// Where this part begins, in bytes.
    pub offset: usize,
    /// The part.
    pub data: String,
    /// The leader's round.
    pub round: HeartbeatRound,
}

/// Answers a [`SnapshotChunk`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotAnswer {
    /// The snapshot that is answered.
    pub mark: EntryMark,
    /// How much of it the sender has, in bytes.
    pub received: usize,
    /// The round that is answered.
    pub round: HeartbeatRound,
}

/// Tells a node that its identity is out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutdatedNotice {
    /// The latest incarnation of its VM that the log knows.
    pub latest: VmIncarnation,
}
