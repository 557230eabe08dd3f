//! Log compaction, and the transfer of snapshots to followers that need compacted entries.
//!
//! A snapshot is sent in parts of bounded size, one at a time: each part is sent after the previous
//! one was acknowledged, and again if its acknowledgement doesn't arrive within the minimum
//! election timeout.

use super::AgreementNode;
use super::durable::DiskWrite;
use super::durable::HardState;
use super::entry::ElectionTerm;
use super::entry::EntryMark;
use super::entry::LogEntry;
use super::entry::LogIndex;
use super::entry::SnapshotData;
use super::entry::VoterConfiguration;
use super::entry::VoterId;
use super::message::MessageBody;
use super::message::SnapshotAnswer;
use super::message::SnapshotChunk;
use super::progress::PeerProgress;
use super::progress::SendMode;
use super::progress::SnapshotTransfer;
use super::replication::BatchSender;
use crate::record::encode_record;
use std::fmt;

/// The minimum number of bytes beside the snapshot at which a log file is compacted.
const MIN_COMPACTED_BYTES: u64 = 512 * 1024;

/// The number of entries in a member's turn to compact. A driver that handles this many entries at
/// once skips no turn.
const COMPACTION_TURN_ENTRIES: u64 = 256;

/// Multiplies the bytes at which a log file is compacted in the member's turn; at the product it is
/// compacted in any case.
const MISSED_TURN_FACTOR: u64 = 4;

/// The reason why a log can't be compacted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompactError {
    /// The index is after the last delivered entry.
    NotDelivered,
    /// The log is already compacted up to the index.
    AlreadyCompacted,
}

impl fmt::Display for CompactError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotDelivered => "the entry hasn't been delivered yet",
            Self::AlreadyCompacted => "the log is already compacted up to this entry",
        })
    }
}

impl std::error::Error for CompactError {}

/// A compaction whose snapshot is still to be written.
#[derive(Clone, Debug)]
pub struct CompactionPlan {
    id: VoterId,
    hard_state: HardState,
    mark: EntryMark,
    configuration: VoterConfiguration,
    /// The entries after the snapshot.
    later: Vec<LogEntry>,
}

impl CompactionPlan {
    /// Returns the record with which the new log file begins, and the snapshot in it.
    ///
    /// `data` must be the state after exactly the entries up to the planned index were applied.
    pub fn into_record(self, data: String) -> (Vec<u8>, SnapshotData) {
        let snapshot = self.to_snapshot(data);
        let mut writes = vec![
            DiskWrite::Identity(self.id),
            DiskWrite::HardState(self.hard_state),
            DiskWrite::Snapshot(Box::new(snapshot)),
        ];
        writes.extend(self.later.into_iter().map(DiskWrite::Entry));
        let record = encode_record(&writes);
        let snapshot = writes.into_iter().find_map(|write| match write {
            DiskWrite::Snapshot(snapshot) => Some(*snapshot),
            DiskWrite::Identity(_) | DiskWrite::HardState(_) | DiskWrite::Entry(_) => None,
        });
        (record, snapshot.expect("the writes have a snapshot"))
    }

    fn to_snapshot(&self, data: String) -> SnapshotData {
        SnapshotData {
            mark: self.mark,
            configuration: self.configuration.clone(),
            data,
        }
    }
}

/// The received part of an incomplete snapshot.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    mark: EntryMark,
    data: String,
}

impl AgreementNode {
    /// Returns whether the driver should compact its log file of `log_bytes`.
    ///
    /// A compaction costs as much as its snapshot is long, so it is due once the file holds as much
    /// beside the snapshot. Members take turns by the commit index: if all of them wrote their
    /// snapshots at the same entry, none would have processor time left for the others' messages.
    pub fn compaction_due(&self, log_bytes: u64) -> bool {
        if self.commit <= self.log.base().index {
            return false;
        }
        let snapshot = self.log.snapshot();
        let snapshot_bytes = snapshot.map_or(0, |snapshot| snapshot.data.len() as u64);
        let later_bytes = log_bytes.saturating_sub(snapshot_bytes);
        let due_bytes = snapshot_bytes.max(MIN_COMPACTED_BYTES);
        later_bytes >= due_bytes
            && (self.has_compaction_turn() || later_bytes >= MISSED_TURN_FACTOR * due_bytes)
    }

    fn has_compaction_turn(&self) -> bool {
        let members = self.voters().iter().chain(self.learners());
        let count = members.clone().count() as u64;
        let place = members.zip(0..).find(|(member, _)| **member == self.id);
        let turn = self.commit.0 / COMPACTION_TURN_ENTRIES;
        place.is_none_or(|(_, place)| turn % count == place)
    }

    /// Compacts the log: replaces the entries up to `up_to` by a snapshot of the state.
    ///
    /// `data` must be the state after exactly the entries up to `up_to` were applied.
    ///
    /// # Errors
    ///
    /// Returns [`CompactError`] when `up_to` isn't between the last snapshot and the last delivered
    /// entry.
    pub fn compact(&mut self, up_to: LogIndex, data: String) -> Result<(), CompactError> {
        let plan = self.plan_compaction(up_to)?;
        self.write_snapshot(plan.to_snapshot(data));
        Ok(())
    }

    /// Plans to replace the entries up to `up_to` by a snapshot that is still to be written.
    ///
    /// The driver writes the plan's record to a new file while the node goes on, appends to it
    /// every record that it has synced since, replaces the old file, and then calls
    /// [`finish_compaction`](Self::finish_compaction). The plan holds what the file contains at
    /// present, so the output must have been synced before.
    ///
    /// # Errors
    ///
    /// Returns [`CompactError`] when `up_to` isn't between the last snapshot and the last delivered
    /// entry.
    pub fn plan_compaction(&self, up_to: LogIndex) -> Result<CompactionPlan, CompactError> {
        if up_to > self.delivered {
            return Err(CompactError::NotDelivered);
        }
        if up_to <= self.log.base().index {
            return Err(CompactError::AlreadyCompacted);
        }
        let term = self.log.term_at(up_to);
        let configuration = self.log.configuration_at(up_to);
        let (Some(term), Some(configuration)) = (term, configuration) else {
            return Err(CompactError::AlreadyCompacted);
        };
        let later = self.log.range(up_to.next(), self.log.last().index);
        Ok(CompactionPlan {
            id: self.id.clone(),
            hard_state: self.hard_state.clone(),
            mark: EntryMark::new(term, up_to),
            configuration: configuration.clone(),
            later: later.to_vec(),
        })
    }

    /// Drops the entries that a snapshot covers, after the log file with it has replaced the old
    /// one.
    ///
    /// # Errors
    ///
    /// Returns [`CompactError`] when a later snapshot was installed in the meantime.
    pub fn finish_compaction(&mut self, snapshot: SnapshotData) -> Result<(), CompactError> {
        if snapshot.mark.index <= self.log.base().index {
            return Err(CompactError::AlreadyCompacted);
        }
        self.log.install(snapshot);
        Ok(())
    }

    fn write_snapshot(&mut self, snapshot: SnapshotData) {
        let write = DiskWrite::Snapshot(Box::new(snapshot.clone()));
        self.output.writes.push(write);
        self.log.install(snapshot);
    }

    /// Handles a part of the leader's snapshot, and acknowledges it.
    pub(super) fn handle_snapshot_chunk(
        &mut self,
        from: &VoterId,
        term: ElectionTerm,
        chunk: SnapshotChunk,
    ) {
        let mark = chunk.mark;
        let round = chunk.round;
        let received = if !self.accept_leader(from, term) {
            0
        } else if mark.index <= self.commit {
            chunk.total
        } else {
            self.add_chunk(chunk)
        };
        let answer = SnapshotAnswer {
            mark,
            received,
            round,
        };
        self.send_to(from, MessageBody::SnapshotReply(answer));
    }

    /// Adds a part, and installs the snapshot once it is complete.
    ///
    /// Returns the number of bytes received so far.
    fn add_chunk(&mut self, chunk: SnapshotChunk) -> usize {
        let known = self.incoming.take();
        let mut incoming = match known {
            Some(incoming) if incoming.mark == chunk.mark => incoming,
            Some(_) | None => IncomingSnapshot {
                mark: chunk.mark,
                data: String::new(),
            },
        };
        if chunk.offset == incoming.data.len() {
            incoming.data.push_str(&chunk.data);
        }
        let received = incoming.data.len();
        if received < chunk.total {
            self.incoming = Some(incoming);
            return received;
        }
        let snapshot = SnapshotData {
            mark: chunk.mark,
            configuration: chunk.configuration,
            data: incoming.data,
        };
        invariant!(
            snapshot.mark.index > self.commit,
            "{} would install snapshot {}, which isn't past its commit index",
            self.id,
            snapshot.mark
        );
        self.set_commit(snapshot.mark.index);
        self.delivered = snapshot.mark.index;
        // The snapshot includes the committed entries that weren't applied yet.
        self.output.committed.clear();
        self.output.install = Some(snapshot.clone());
        self.write_snapshot(snapshot);
        received
    }

    /// Handles a follower's acknowledgement of a part of a snapshot.
    pub(super) fn handle_snapshot_answer(
        &mut self,
        from: &VoterId,
        term: ElectionTerm,
        answer: SnapshotAnswer,
    ) {
        if !self.accept_answer(from, term, answer.round) {
            return;
        }
        let total = self
            .log
            .snapshot()
            .map_or(0, |snapshot| snapshot.data.len());
        let mark = self.log.base();
        let Some(progress) = self.find_progress(from) else {
            return;
        };
        let SendMode::Snapshot(transfer) = &mut progress.mode else {
            return;
        };
        if answer.mark != mark || transfer.index != mark.index {
            return;
        }
        if answer.received >= total {
            progress.record_accepted(mark.index);
        } else if answer.received != transfer.received {
            transfer.received = answer.received;
            transfer.sent_at = None;
        }
        self.advance_repair();
    }
}

impl BatchSender<'_> {
    /// Starts a snapshot transfer if the follower needs a compacted entry, and restarts one whose
    /// snapshot was replaced by a later one.
    pub(super) fn switch_to_snapshot(&self, progress: &mut PeerProgress) {
        let base = self.log.base().index;
        let current = match progress.mode {
            SendMode::Snapshot(transfer) => transfer.index == base,
            SendMode::Probe | SendMode::Stream => progress.next > base,
        };
        if !current {
            progress.mode = SendMode::Snapshot(SnapshotTransfer {
                index: base,
                received: 0,
                sent_at: None,
            });
        }
    }

    /// Adds the next part of the snapshot, unless it was sent and its acknowledgement may still
    /// arrive.
    pub(super) fn push_chunk(
        &self,
        transfer: SnapshotTransfer,
        progress: &mut PeerProgress,
        bodies: &mut Vec<MessageBody>,
    ) {
        let answer_timeout = u64::from(self.settings.election_ticks);
        let answer_pending = transfer
            .sent_at
            .is_some_and(|sent_at| sent_at + answer_timeout > self.tick);
        let Some(snapshot) = self.log.snapshot() else {
            return;
        };
        if answer_pending {
            return;
        }
        progress.mode = SendMode::Snapshot(SnapshotTransfer {
            sent_at: Some(self.tick),
            ..transfer
        });
        progress.message_due = false;
        bodies.push(MessageBody::Snapshot(Box::new(SnapshotChunk {
            mark: snapshot.mark,
            configuration: snapshot.configuration.clone(),
            total: snapshot.data.len(),
            offset: transfer.received,
            data: self.chunk_at(&snapshot.data, transfer.received).to_owned(),
            round: self.round,
        })));
    }

    /// Returns the part of `data` from the byte `offset` on that fits into one message.
    ///
    /// A part ends at a character boundary.
    fn chunk_at<'data>(&self, data: &'data str, offset: usize) -> &'data str {
        let rest = data.get(offset..).unwrap_or_default();
        let mut end = rest.len().min(self.settings.max_batch_bytes.max(4));
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        &rest[..end]
    }
}
