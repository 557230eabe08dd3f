//! A leader's view of the replication progress of one follower.

use super::entry::LogIndex;
use super::message::AppendRejection;
use super::message::HeartbeatRound;

/// The way in which entries are sent to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendMode {
    /// The follower's log is unknown; empty batches search for the last common entry.
    Probe,
    /// Batches are pipelined: sent before earlier ones are acknowledged.
    Stream,
    /// The follower needs entries that were compacted, and receives the snapshot.
    Snapshot(SnapshotTransfer),
}

/// The progress of a snapshot transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SnapshotTransfer {
    /// The index of the last entry that the snapshot includes.
    pub(crate) index: LogIndex,
    /// The number of bytes that the follower has acknowledged.
    pub(crate) received: usize,
    /// The tick at which the next part was sent; `None` if it is still to be sent.
    pub(crate) sent_at: Option<u64>,
}

/// A leader's view of the replication progress of one follower.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerProgress {
    /// The last index up to which the follower's disk is known to match the leader's log.
    pub(crate) matched: LogIndex,
    /// The index of the next entry to send.
    pub(crate) next: LogIndex,
    /// The way in which entries are sent.
    pub(crate) mode: SendMode,
    /// Whether a message must be sent even if there are no entries to send.
    pub(crate) message_due: bool,
    /// The latest round that the follower has answered.
    pub(crate) round: HeartbeatRound,
}

impl PeerProgress {
    /// Creates the progress of a follower that is assumed to have all entries before `next`.
    pub(crate) fn new(next: LogIndex, tick: u64) -> Self {
        Self {
            matched: LogIndex::default(),
            next,
            mode: SendMode::Stream,
            message_due: true,
            round: HeartbeatRound { number: 0, tick },
        }
    }

    /// Records a round that the follower has answered.
    pub(crate) fn record_round(&mut self, round: HeartbeatRound) {
        self.round = self.round.max(round);
    }

    /// Records that the follower has stored the log up to `index`.
    pub(crate) fn record_accepted(&mut self, index: LogIndex) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        match self.mode {
            SendMode::Probe => {
                self.mode = SendMode::Stream;
                self.next = self.matched.next();
            }
            SendMode::Snapshot(transfer) if self.matched >= transfer.index => {
                self.mode = SendMode::Stream;
                self.next = self.matched.next();
            }
            SendMode::Stream | SendMode::Snapshot(_) => {}
        }
    }

    /// Records that the follower doesn't have the entry before a batch, and probes further back.
    ///
    /// A rejection that later answers have overtaken is ignored.
    pub(crate) fn record_rejected(&mut self, rejection: AppendRejection) {
        let stale = rejection.previous <= self.matched || rejection.previous >= self.next;
        if stale || matches!(self.mode, SendMode::Snapshot(_)) {
            return;
        }
        let wanted = rejection.hint.next().min(rejection.previous);
        self.next = wanted.max(self.matched.next());
        self.mode = SendMode::Probe;
        self.message_due = true;
    }
}
