//! The durable state of a node: identity, term, vote, snapshot and log entries, and the writes that
//! change it.

use super::entry::ElectionTerm;
use super::entry::LogEntry;
use super::entry::SnapshotData;
use super::entry::VoterId;
use super::log::ReplicaLog;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;

/// One change of a node's durable state. Writes must be replayed in the order in which the node
/// issued them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiskWrite {
    /// Sets the node's identity; occurs only while the log is empty.
    Identity(VoterId),
    /// Enters a term or records the vote in it.
    HardState(HardState),
    /// Appends an entry, which replaces all entries at its index and after it.
    Entry(LogEntry),
    /// Installs a snapshot, which replaces all entries that it includes.
    Snapshot(Box<SnapshotData>),
}

/// The term that a node has entered and its vote in that term.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The term.
    pub term: ElectionTerm,
    /// The candidate that the node voted for in that term, if any.
    pub vote: Option<VoterId>,
}

/// The durable state of a node, as it is read from the disk at start.
#[derive(Clone, Debug, Default)]
pub struct DurableState {
    pub(crate) id: Option<VoterId>,
    pub(crate) hard_state: HardState,
    pub(crate) log: ReplicaLog,
}

impl DurableState {
    /// Returns the identity stored on the disk; `None` for an empty disk.
    pub fn id(&self) -> Option<&VoterId> {
        self.id.as_ref()
    }

    /// Returns the current term and the vote in it.
    pub fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    /// Returns the snapshot, if there is one.
    pub fn snapshot(&self) -> Option<&SnapshotData> {
        self.log.snapshot()
    }

    /// Returns all entries after the snapshot.
    pub fn entries(&self) -> &[LogEntry] {
        self.log.entries()
    }

    /// Applies one write.
    ///
    /// # Errors
    ///
    /// Returns [`WriteMismatch`] when the write doesn't fit the writes before it. The state is then
    /// unchanged.
    pub fn apply(&mut self, write: DiskWrite) -> Result<(), WriteMismatch> {
        match write {
            DiskWrite::Identity(id) => {
                if !self.log.is_empty() {
                    return Err(WriteMismatch::LateIdentity);
                }
                self.id = Some(id);
            }
            DiskWrite::HardState(hard_state) => {
                if hard_state.term < self.hard_state.term {
                    return Err(WriteMismatch::TermDecreased);
                }
                self.hard_state = hard_state;
            }
            DiskWrite::Entry(entry) => {
                let index = entry.mark.index;
                if index <= self.log.base().index || index > self.log.last().index.next() {
                    return Err(WriteMismatch::EntryGap);
                }
                self.log.append(entry);
            }
            DiskWrite::Snapshot(snapshot) => {
                if snapshot.mark.index < self.log.base().index {
                    return Err(WriteMismatch::SnapshotOlder);
                }
                self.log.install(*snapshot);
            }
        }
        Ok(())
    }

    /// Returns the writes that rebuild this state from an empty disk.
    ///
    /// A new file with these writes can replace a longer one that led to the same state.
    pub fn to_writes(&self) -> Vec<DiskWrite> {
        let mut writes = Vec::new();
        writes.extend(self.id.clone().map(DiskWrite::Identity));
        if self.hard_state != HardState::default() {
            writes.push(DiskWrite::HardState(self.hard_state.clone()));
        }
        let snapshot = self.log.snapshot().cloned();
        writes.extend(snapshot.map(|snapshot| DiskWrite::Snapshot(Box::new(snapshot))));
        writes.extend(self.log.entries().iter().cloned().map(DiskWrite::Entry));
        writes
    }
}

/// The reason why a write doesn't fit the writes before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteMismatch {
    /// An identity was written after the first entry or snapshot.
    LateIdentity,
    /// The term is lower than the previous one.
    TermDecreased,
    /// The entry is included in the snapshot, or leaves a gap after the last entry.
    EntryGap,
    /// The snapshot is older than the previous one.
    SnapshotOlder,
}

impl fmt::Display for WriteMismatch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::LateIdentity => "identity written after log entries",
            Self::TermDecreased => "term lower than the previous one",
            Self::EntryGap => "log entry out of sequence",
            Self::SnapshotOlder => "snapshot older than the previous one",
        })
    }
}
