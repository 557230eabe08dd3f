//! What a node keeps on disk.

use super::entry::ElectionTerm;
use super::entry::LogEntry;
use super::entry::SnapshotData;
use super::entry::VoterId;
use super::log::ReplicaLog;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;

/// A change of a node's durable state, in the order in which the node made it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiskWrite {
    /// The node takes an identity; only ever on an empty disk.
    Identity(VoterId),
    /// The node enters a term or votes in it.
    HardState(HardState),
    /// An entry replaces whatever the log held at its index and after it.
    Entry(LogEntry),
    /// A snapshot replaces all entries that it includes.
    Snapshot(Box<SnapshotData>),
}

/// The term that a node has entered, and its vote in it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The term.
    pub term: ElectionTerm,
    /// Whom the node voted for in that term.
    pub vote: Option<VoterId>,
}

/// What the disk held at start.
#[derive(Clone, Debug, Default)]
pub struct DurableState {
    pub(crate) id: Option<VoterId>,
    pub(crate) hard: HardState,
    pub(crate) log: ReplicaLog,
}

impl DurableState {
    /// Returns the identity that the disk belongs to; `None` for an empty disk.
    pub fn id(&self) -> Option<&VoterId> {
        self.id.as_ref()
    }

    /// Returns the term and the vote in it.
    pub fn hard_state(&self) -> &HardState {
        &self.hard
    }

    /// Returns the snapshot, if there is one.
    pub fn snapshot(&self) -> Option<&SnapshotData> {
        self.log.snapshot()
    }

    /// Returns the entries after the snapshot.
    pub fn entries(&self) -> &[LogEntry] {
        self.log.entries()
    }

    /// Applies one write.
    ///
    /// # Errors
    ///
    /// Returns [`WriteMismatch`] when the write can't follow on those before it.
    pub fn apply(&mut self, write: DiskWrite) -> Result<(), WriteMismatch> {
        match write {
            DiskWrite::Identity(id) => {
                if !self.log.is_empty() {
                    return Err(WriteMismatch::LateIdentity);
                }
                self.id = Some(id);
            }
            DiskWrite::HardState(hard) => {
                if hard.term < self.hard.term {
                    return Err(WriteMismatch::TermFell);
                }
                self.hard = hard;
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
                    return Err(WriteMismatch::SnapshotFell);
                }
                self.log.install(*snapshot);
            }
        }
        Ok(())
    }

    /// Returns the writes that lead from an empty disk to this state.
    ///
    /// A new file with these can replace one that has grown long.
    pub fn to_writes(&self) -> Vec<DiskWrite> {
        let mut writes = Vec::new();
        writes.extend(self.id.clone().map(DiskWrite::Identity));
        if self.hard != HardState::default() {
            writes.push(DiskWrite::HardState(self.hard.clone()));
        }
        let snapshot = self.log.snapshot().cloned();
        writes.extend(snapshot.map(|snapshot| DiskWrite::Snapshot(Box::new(snapshot))));
        writes.extend(self.log.entries().iter().cloned().map(DiskWrite::Entry));
        writes
    }
}

/// Why a write can't follow on those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteMismatch {
    /// An identity after entries.
    LateIdentity,
    /// A term below the one before.
    TermFell,
    /// An entry that doesn't follow on the log.
    EntryGap,
    /// A snapshot older than the one before.
    SnapshotFell,
}

impl fmt::Display for WriteMismatch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::LateIdentity => "an identity after entries",
            Self::TermFell => "a term below the one before",
            Self::EntryGap => "an entry that doesn't follow on the log",
            Self::SnapshotFell => "a snapshot older than the one before",
        })
    }
}
