//! What a node asks its driver to do.

use super::durable::DiskWrite;
use super::entry::EntryMark;
use super::entry::SnapshotData;
use super::message::AgreementMessage;
use ragwort_types::VmName;

/// What a node asks its driver to do, in this order.
///
/// 1. Append `writes` to the disk and sync them.
/// 2. Send `messages`, put `install` in place, apply `committed`, then answer `confirmed_reads`
///    and refuse `lost_reads`.
///
/// Nothing of the second step may happen before the first is done, and the next output is taken
/// after both. A message vouches for what the disk holds; sent too early and followed by a crash,
/// it lets a vote be given twice or an acknowledged entry vanish. If the sync fails, the process
/// must end: the node can't take back what it has counted on.
#[derive(Clone, Debug, Default)]
pub struct AgreementOutput {
    /// To be appended to the disk and synced before anything else.
    pub writes: Vec<DiskWrite>,
    /// To be sent; each may be lost.
    pub messages: Vec<OutboundMessage>,
    /// Replaces the applied state.
    pub install: Option<SnapshotData>,
    /// To be applied in order, after `install`.
    pub committed: Vec<CommittedEntry>,
    /// May be answered from the state with all of `committed` applied.
    pub confirmed_reads: Vec<ReadTicket>,
    /// Can't be answered here any more, because the node is not the leader.
    pub lost_reads: Vec<ReadTicket>,
}

impl AgreementOutput {
    /// Says whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
            && self.messages.is_empty()
            && self.install.is_none()
            && self.committed.is_empty()
            && self.confirmed_reads.is_empty()
            && self.lost_reads.is_empty()
    }
}

/// A message and the VM that it goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutboundMessage {
    /// The receiving VM.
    pub to: VmName,
    /// The message.
    pub message: AgreementMessage,
}

/// An entry that will never change again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommittedEntry {
    /// The entry's place. A proposal is committed when its own mark appears; another mark at the
    /// same index means that the proposal was lost.
    pub mark: EntryMark,
    /// The proposed text; `None` for entries of the log's own.
    pub data: Option<String>,
}

/// A read that waits until a majority has confirmed the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadTicket(pub u64);
