//! Messages between the nodes of the replicated log.
//!
//! A message is encoded as JSON and sent within a JSON string, where each quote takes two bytes.
//! Therefore the fields of frequent messages are encoded with one-letter names, or as arrays.

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

/// A message between two nodes. Messages may be lost, duplicated, delayed and reordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgreementMessage {
    /// The sender.
    #[serde(rename = "f")]
    pub from: VoterId,
    /// The receiver; a message to another incarnation of the VM is dropped.
    #[serde(rename = "o")]
    pub to: MessageRecipient,
    /// The sender's formation; `None` if it has no configuration.
    #[serde(rename = "g")]
    pub formation: Option<FormationId>,
    /// The sender's term.
    #[serde(rename = "t")]
    pub term: ElectionTerm,
    /// The content.
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
    /// Returns [`MessageError`] when the text isn't an agreement message of this version.
    pub fn from_text(text: &str) -> Result<Self, MessageError> {
        serde_json::from_str(text).map_err(|error| MessageError {
            reason: error.to_string(),
        })
    }
}

/// The error of a text that can't be decoded as an agreement message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageError {
    /// The decoder's message.
    pub reason: String,
}

impl fmt::Display for MessageError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "malformed agreement message: {}", self.reason)
    }
}

impl std::error::Error for MessageError {}

/// The addressee of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageRecipient {
    /// One incarnation of a VM.
    #[serde(rename = "i")]
    Voter(VoterId),
    /// A VM whose incarnation the sender doesn't know.
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

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether the receiver would vote for the sender in the given term.
    PreVoteRequest(VoteQuestion),
    /// Answers a pre-vote request.
    PreVoteReply(VoteAnswer),
    /// Requests the receiver's vote in the given term.
    VoteRequest(VoteQuestion),
    /// Answers a vote request.
    VoteReply(VoteAnswer),
    /// Carries entries of the leader; a heartbeat when there are none.
    #[serde(rename = "a")]
    Append(EntryBatch),
    /// Answers an append.
    #[serde(rename = "r")]
    AppendReply(AppendAnswer),
    /// Carries a part of the leader's snapshot.
    Snapshot(Box<SnapshotChunk>),
    /// Acknowledges the received part of a snapshot.
    SnapshotReply(SnapshotAnswer),
    /// Requests to join the log; sent by a node that isn't a voter in its own configuration.
    Join,
    /// Notifies the receiver that the log has a later incarnation of its VM.
    Outdated(OutdatedNotice),
    /// Tells a voter to start an election, because the leader is about to stop.
    StartElection,
}

/// The content of a vote or pre-vote request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteQuestion {
    /// The term in which the candidate would lead.
    pub term: ElectionTerm,
    /// The candidate's last entry.
    pub last: EntryMark,
    /// Whether the leader has asked for this election, so that its followers grant their votes.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub by_leader: bool,
}

/// Answers a [`VoteQuestion`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteAnswer {
    /// The term of the request.
    pub term: ElectionTerm,
    /// Whether the vote or pre-vote is granted.
    pub granted: bool,
}

/// Identifies a leader's heartbeat round. Answers to it show that a majority still follows the
/// leader.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct HeartbeatRound {
    /// The round's number, which increases by one with each round of a term.
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

/// Consecutive entries, and the entry before them that the receiver must already have.
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
    /// The leader's current round.
    #[serde(rename = "r")]
    pub round: HeartbeatRound,
}

/// Answers an [`EntryBatch`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// The round of the batch.
    #[serde(rename = "r")]
    pub round: HeartbeatRound,
    /// Whether the batch was accepted.
    #[serde(rename = "o")]
    pub outcome: AppendOutcome,
}

/// The result of an [`EntryBatch`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The follower has synced the leader's log up to this index to its disk.
    #[serde(rename = "a")]
    Accepted(LogIndex),
    /// The follower doesn't have the entry before the batch, or is in a later term.
    #[serde(rename = "r")]
    Rejected(AppendRejection),
}

/// Tells the leader where a follower's log may diverge from its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRejection {
    /// The index of the entry before the rejected batch.
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
    /// The size of the whole snapshot, in bytes.
    pub total: usize,
    /// The offset of this part, in bytes.
    pub offset: usize,
    /// The text of this part.
    pub data: String,
    /// The leader's current round.
    pub round: HeartbeatRound,
}

/// Answers a [`SnapshotChunk`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotAnswer {
    /// The last entry that the snapshot includes.
    pub mark: EntryMark,
    /// The number of bytes that have been received.
    pub received: usize,
    /// The round of the chunk.
    pub round: HeartbeatRound,
}

/// Notifies a node that its incarnation is outdated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutdatedNotice {
    /// The latest incarnation of its VM in the log.
    pub latest: VmIncarnation,
}
