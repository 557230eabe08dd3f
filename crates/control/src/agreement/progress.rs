//! How far a leader has brought one follower.

use super::entry::LogIndex;
use super::message::AppendRejection;
use super::message::HeartbeatRound;

/// How entries are sent to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendMode {
    /// The follower's log is unknown: empty batches look for the last common entry.
    Probe,
    /// Batches are sent ahead of their acknowledgement.
    Stream,
    /// The follower needs entries that were compacted away.
    Snapshot(SnapshotTransfer),
}

/// How far a snapshot has been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SnapshotTransfer {
    /// The snapshot.
    pub(crate) index: LogIndex,
    /// The bytes that the follower has acknowledged.
    pub(crate) received: usize,
    /// When the part after these was sent, if it was.
    pub(crate) sent_at: Option<u64>,
}

/// How far a leader has brought one follower.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerProgress {
    /// The last entry that the follower holds on its disk.
    pub(crate) matched: LogIndex,
    /// The next entry to send.
    pub(crate) next: LogIndex,
    /// How to send it.
    pub(crate) mode: SendMode,
    /// Whether a message is due even without entries.
    pub(crate) message_due: bool,
    /// The latest round that the follower has answered.
    pub(crate) round: HeartbeatRound,
}

impl PeerProgress {
    /// Creates the progress of a follower that is thought to hold all before `next`.
    pub(crate) fn new(next: LogIndex, tick: u64) -> Self {
        Self {
            matched: LogIndex::default(),
            next,
            mode: SendMode::Stream,
            message_due: true,
            round: HeartbeatRound { number: 0, tick },
        }
    }

    /// Notes the round that the follower has answered.
    pub(crate) fn note_round(&mut self, round: HeartbeatRound) {
        self.round = self.round.max(round);
    }

    /// Notes that the follower holds the log up to `index`.
    pub(crate) fn note_accepted(&mut self, index: LogIndex) {
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

    /// Notes that the follower lacks the entry before a batch.
    pub(crate) fn note_rejected(&mut self, rejection: AppendRejection) {
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
