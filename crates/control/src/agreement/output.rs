//! The work that a node hands to its driver: disk writes, messages, committed entries and reads.

use super::durable::DiskWrite;
use super::entry::EntryMark;
use super::entry::SnapshotData;
use super::message::AgreementMessage;
use ragwort_types::VmName;

/// The work that a node hands to its driver, to be carried out in this order.
///
/// 1. Append `writes` to the disk and sync them.
/// 2. Send `messages`, install `install`, apply `committed`, then answer `confirmed_reads` and
///    refuse `lost_reads`.
///
/// No part of the second step may start before the first is complete, and the next output may be
/// taken only after both. A message asserts the content of the disk: if it is sent before the sync
/// and the process crashes in between, a vote may be given twice or an acknowledged entry may be
/// lost. If the sync fails, the process must exit: the node's state already includes the writes and
/// can't be rolled back.
#[derive(Clone, Debug, Default)]
pub struct AgreementOutput {
    /// Writes to append to the disk and sync before anything else.
    pub writes: Vec<DiskWrite>,
    /// Messages to send; each may be lost.
    pub messages: Vec<OutboundMessage>,
    /// A snapshot that replaces the applied state.
    pub install: Option<SnapshotData>,
    /// Entries to apply in order, after `install`.
    pub committed: Vec<CommittedEntry>,
    /// Reads to answer from the state after all of `committed` is applied.
    pub confirmed_reads: Vec<ReadTicket>,
    /// Reads that can't be answered here, because the node is no longer the leader.
    pub lost_reads: Vec<ReadTicket>,
}

impl AgreementOutput {
    /// Returns whether there is no work.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
            && self.messages.is_empty()
            && self.install.is_none()
            && self.committed.is_empty()
            && self.confirmed_reads.is_empty()
            && self.lost_reads.is_empty()
    }
}

/// A message and its receiving VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutboundMessage {
    /// The receiving VM.
    pub to: VmName,
    /// The message.
    pub message: AgreementMessage,
}

/// An entry that is committed, and so will never change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommittedEntry {
    /// The entry's term and index. A proposal is committed when an entry with its mark appears; an
    /// entry with the same index and another term means that the proposal was lost.
    pub mark: EntryMark,
    /// The proposed command; `None` for an entry that the log itself appended.
    pub data: Option<String>,
}

/// Identifies a read that waits until a majority has confirmed the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadTicket(pub u64);
