//! The leader's batches, the followers' answers and the commit rule.

use super::AgreementNode;
use super::entry::ElectionTerm;
use super::entry::EntryMark;
use super::entry::EntryPayload;
use super::entry::LogEntry;
use super::entry::LogIndex;
use super::entry::VoterId;
use super::log::ReplicaLog;
use super::message::AppendAnswer;
use super::message::AppendOutcome;
use super::message::AppendRejection;
use super::message::EntryBatch;
use super::message::HeartbeatRound;
use super::message::MessageBody;
use super::progress::PeerProgress;
use super::progress::SendMode;
use super::role::RoleState;
use super::settings::AgreementGuard;
use super::settings::AgreementSettings;

impl AgreementNode {
    /// Appends an entry of the leader's own term.
    pub(super) fn append_own(&mut self, payload: EntryPayload) -> EntryMark {
        let mark = EntryMark::new(self.hard.term, self.log.last().index.next());
        self.append_entry(LogEntry { mark, payload });
        mark
    }

    /// Commits what a majority holds.
    pub(super) fn advance_commit(&mut self) {
        let Some(state) = self.view_leader_state() else {
            return;
        };
        let Some(configuration) = self.log.configuration() else {
            return;
        };
        let last = self.log.last().index;
        let held_by = |voter: &VoterId| match state.peers.get(voter) {
            Some(progress) => progress.matched,
            None if *voter == self.id => last,
            None => LogIndex::default(),
        };
        let mut held: Vec<LogIndex> = configuration.voters.iter().map(held_by).collect();
        held.sort_unstable_by(|left, right| right.cmp(left));
        let Some(agreed) = held.get(configuration.majority() - 1).copied() else {
            return;
        };
        // A majority may hold an entry of an earlier term and still lose it to a leader whose last
        // entry is of a later term. Only an entry of this term shuts such leaders out, and with it
        // all entries before.
        let own_term = self.log.term_at(agreed) == Some(self.hard.term);
        if agreed > self.commit && (own_term || !self.holds(AgreementGuard::OwnTermCommit)) {
            self.set_commit(agreed);
            if let Some(state) = self.leader_state() {
                state.make_messages_due();
            }
            self.drive_membership();
        }
    }

    /// Sends every follower what it lacks, within the bounds of the settings.
    pub(super) fn send_due_messages(&mut self) {
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let sender = BatchSender {
            log: &self.log,
            settings: &self.settings,
            commit: self.commit,
            round: state.round,
            tick: self.tick,
        };
        let mut due = Vec::new();
        // A VM that is only expected to join has no incarnation yet.
        let peers = state.peers.iter_mut().filter(|(id, _)| !id.is_expected());
        for (id, progress) in peers {
            let bodies = sender.take_due(progress);
            due.extend(bodies.into_iter().map(|body| (id.clone(), body)));
        }
        for (id, body) in due {
            self.send_to(&id, body);
        }
    }

    /// Takes a leader's entries or heartbeat.
    pub(super) fn take_batch(&mut self, from: &VoterId, term: ElectionTerm, batch: EntryBatch) {
        let round = batch.round;
        let outcome = if self.heed_leader(from, term) {
            self.append_batch(batch)
        } else {
            // The answer carries this node's higher term, from which the sender learns of it.
            AppendOutcome::Rejected(AppendRejection {
                previous: batch.previous.index,
                hint: LogIndex::default(),
            })
        };
        let answer = AppendAnswer { round, outcome };
        self.send_to(from, MessageBody::AppendReply(answer));
    }

    /// Follows the leader of `term`, unless this node's term is higher.
    pub(super) fn heed_leader(&mut self, from: &VoterId, term: ElectionTerm) -> bool {
        if term < self.hard.term {
            return false;
        }
        if term > self.hard.term {
            self.follow_term(term, Some(from.clone()));
        }
        self.hear_leader(from);
        true
    }

    fn append_batch(&mut self, batch: EntryBatch) -> AppendOutcome {
        let previous = batch.previous;
        let base = self.log.base().index;
        if previous.index > base && self.log.term_at(previous.index) != Some(previous.term) {
            return AppendOutcome::Rejected(AppendRejection {
                previous: previous.index,
                hint: self.find_hint(previous.index),
            });
        }
        let last = LogIndex(previous.index.0 + batch.entries.len() as u64);
        for entry in batch.entries {
            let index = entry.mark.index;
            // Entries up to the snapshot are committed, and so are the same as the leader's. An
            // entry that is held already must stay: a batch that was overtaken by a later one
            // would otherwise cut off entries that this node has acknowledged.
            if index > base && self.log.term_at(index) != Some(entry.mark.term) {
                self.append_entry(entry);
            }
        }
        let matched = last.max(base);
        let commit = batch.commit.min(matched);
        if commit > self.commit {
            self.set_commit(commit);
        }
        AppendOutcome::Accepted(matched)
    }

    /// Returns the last index before a mismatch that may be common with the leader.
    fn find_hint(&self, mismatch: LogIndex) -> LogIndex {
        let last = self.log.last().index;
        if last < mismatch {
            return last;
        }
        let before = self.log.first_of_term(mismatch).previous();
        before.max(self.commit)
    }

    /// Takes a follower's answer to a batch.
    pub(super) fn take_append_answer(
        &mut self,
        from: &VoterId,
        term: ElectionTerm,
        answer: AppendAnswer,
    ) {
        if !self.heed_follower(from, term, answer.round) {
            return;
        }
        let Some(progress) = self.find_progress(from) else {
            return;
        };
        match answer.outcome {
            AppendOutcome::Accepted(index) => progress.note_accepted(index),
            AppendOutcome::Rejected(rejection) => progress.note_rejected(rejection),
        }
        self.drive_membership();
    }

    /// Notes a follower's answer; says whether it belongs to the term that this node leads.
    pub(super) fn heed_follower(
        &mut self,
        from: &VoterId,
        term: ElectionTerm,
        round: HeartbeatRound,
    ) -> bool {
        let own_term = self.hard.term;
        let Some(progress) = self.find_progress(from) else {
            return false;
        };
        if term > own_term {
            self.outbid_term(term);
            return false;
        }
        if term < own_term {
            return false;
        }
        progress.note_round(round);
        true
    }

    pub(super) fn find_progress(&mut self, id: &VoterId) -> Option<&mut PeerProgress> {
        self.leader_state()?.peers.get_mut(id)
    }
}

/// What is needed to make batches for followers.
pub(super) struct BatchSender<'a> {
    pub(super) log: &'a ReplicaLog,
    pub(super) settings: &'a AgreementSettings,
    pub(super) commit: LogIndex,
    pub(super) round: HeartbeatRound,
    pub(super) tick: u64,
}

impl BatchSender<'_> {
    /// Returns the messages that a follower is due.
    fn take_due(&self, progress: &mut PeerProgress) -> Vec<MessageBody> {
        let mut bodies = Vec::new();
        self.choose_snapshot(progress);
        match progress.mode {
            SendMode::Probe => {}
            SendMode::Stream => self.push_batches(progress, &mut bodies),
            SendMode::Snapshot(transfer) => self.push_chunk(transfer, progress, &mut bodies),
        }
        if progress.message_due {
            progress.message_due = false;
            bodies.push(self.make_heartbeat(progress));
        }
        bodies
    }

    fn push_batches(&self, progress: &mut PeerProgress, bodies: &mut Vec<MessageBody>) {
        let last = self.log.last().index;
        let window = progress.matched.0 + self.settings.max_entries_in_flight;
        while progress.next <= last && progress.next.0 <= window {
            let Some(previous) = self.mark_before(progress.next) else {
                return;
            };
            let entries = self.cut_batch(progress.next, LogIndex(window));
            progress.next = LogIndex(progress.next.0 + entries.len() as u64);
            progress.message_due = false;
            bodies.push(self.make_batch(previous, entries));
        }
    }

    /// Returns the entries from `from` that fit into one message: at least one.
    fn cut_batch(&self, from: LogIndex, to: LogIndex) -> Vec<LogEntry> {
        let mut bytes = 0;
        let fits = |entry: &&LogEntry| {
            let first = bytes == 0;
            bytes += entry.payload_size().max(1);
            first || bytes <= self.settings.max_batch_bytes
        };
        let entries = self.log.range(from, to).iter();
        let entries = entries.take(self.settings.max_batch_entries.max(1));
        entries.take_while(fits).cloned().collect()
    }

    fn make_heartbeat(&self, progress: &PeerProgress) -> MessageBody {
        // While a snapshot is under way there is no entry to build on; a batch that builds on the
        // start of the log says no more than that the leader is there.
        let previous = match progress.mode {
            SendMode::Snapshot(_) => EntryMark::default(),
            SendMode::Probe | SendMode::Stream => {
                self.mark_before(progress.next).unwrap_or_default()
            }
        };
        self.make_batch(previous, Vec::new())
    }

    fn make_batch(&self, previous: EntryMark, entries: Vec<LogEntry>) -> MessageBody {
        MessageBody::Append(EntryBatch {
            previous,
            entries,
            commit: self.commit,
            round: self.round,
        })
    }

    pub(super) fn mark_before(&self, index: LogIndex) -> Option<EntryMark> {
        let previous = index.previous();
        let term = self.log.term_at(previous)?;
        Some(EntryMark::new(term, previous))
    }
}
