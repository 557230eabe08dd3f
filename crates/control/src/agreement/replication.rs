//! Log replication by Raft: the leader's batches, the followers' answers and the commit rule.
//!
//! A follower appends a batch only if it has the entry before it, so two logs with the same entry
//! are equal up to that entry. The leader commits an entry of its own term, and with it all entries
//! before it, once a majority of the voters has synced it to disk. Batches to each follower are
//! pipelined within the limits of the settings, so that no other follower waits for one that is far
//! behind.

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
    /// Appends a new entry in the leader's term.
    pub(super) fn append_as_leader(&mut self, payload: EntryPayload) -> EntryMark {
        let mark = EntryMark::new(self.hard_state.term, self.log.last().index.next());
        self.append_entry(LogEntry { mark, payload });
        mark
    }

    /// Commits the entries that a majority of the voters has stored.
    pub(super) fn advance_commit(&mut self) {
        let Some(state) = self.leader_state() else {
            return;
        };
        let Some(configuration) = self.log.configuration() else {
            return;
        };
        let last = self.log.last().index;
        let stored_by = |voter: &VoterId| match state.peers.get(voter) {
            Some(progress) => progress.matched,
            None if *voter == self.id => last,
            None => LogIndex::default(),
        };
        let mut stored_indices: Vec<LogIndex> =
            configuration.voters.iter().map(stored_by).collect();
        stored_indices.sort_unstable_by(|left, right| right.cmp(left));
        let Some(majority_index) = stored_indices.get(configuration.majority() - 1).copied() else {
            return;
        };
        // An entry of an earlier term may be stored by a majority and still be replaced by a leader
        // whose last entry is of a later term. An entry of this term that is stored by a majority
        // rules out such leaders, and so commits all entries before it too.
        let own_term = self.log.term_at(majority_index) == Some(self.hard_state.term);
        if majority_index > self.commit
            && (own_term || !self.enforces(AgreementGuard::OwnTermCommit))
        {
            self.set_commit(majority_index);
            if let Some(state) = self.leader_state_mut() {
                state.make_messages_due();
            }
            self.advance_repair();
        }
    }

    /// Sends the entries, snapshot parts and heartbeats that are due to each follower, within the
    /// limits of the settings.
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
        // A VM that hasn't asked to join yet has no incarnation to send to.
        let peers = state
            .peers
            .iter_mut()
            .filter(|(id, _)| !id.is_placeholder());
        for (id, progress) in peers {
            let bodies = sender.collect_messages(progress);
            due.extend(bodies.into_iter().map(|body| (id.clone(), body)));
        }
        for (id, body) in due {
            self.send_to(&id, body);
        }
    }

    /// Handles a leader's entries or heartbeat, and answers it.
    pub(super) fn handle_append(&mut self, from: &VoterId, term: ElectionTerm, batch: EntryBatch) {
        let round = batch.round;
        let outcome = if self.accept_leader(from, term) {
            self.append_batch(batch)
        } else {
            // The answer carries this node's later term, by which the sender learns of it.
            AppendOutcome::Rejected(AppendRejection {
                previous: batch.previous.index,
                hint: LogIndex::default(),
            })
        };
        let answer = AppendAnswer { round, outcome };
        self.send_to(from, MessageBody::AppendReply(answer));
    }

    /// Follows `from` as the leader of `term`; returns `false` if this node's term is later.
    pub(super) fn accept_leader(&mut self, from: &VoterId, term: ElectionTerm) -> bool {
        if term < self.hard_state.term {
            return false;
        }
        if term > self.hard_state.term {
            self.follow_term(term, Some(from.clone()));
        }
        self.record_leader_contact(from);
        true
    }

    /// Appends the entries of a batch that this node doesn't have, if it has the entry before them.
    fn append_batch(&mut self, batch: EntryBatch) -> AppendOutcome {
        let previous = batch.previous;
        let base = self.log.base().index;
        if previous.index > base && self.log.term_at(previous.index) != Some(previous.term) {
            return AppendOutcome::Rejected(AppendRejection {
                previous: previous.index,
                hint: self.conflict_hint(previous.index),
            });
        }
        let last = LogIndex(previous.index.0 + batch.entries.len() as u64);
        for entry in batch.entries {
            let index = entry.mark.index;
            // Entries included in the snapshot are committed and therefore equal to the leader's.
            // An entry that is already stored must not be appended again: a batch that arrives
            // after a later one would truncate entries that this node has acknowledged.
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

    /// Returns the last index before a mismatch that may match the leader's log.
    ///
    /// The hint skips all entries of the conflicting term, so that the leader needs one probe per
    /// term and not one per entry.
    fn conflict_hint(&self, mismatch: LogIndex) -> LogIndex {
        let last = self.log.last().index;
        if last < mismatch {
            return last;
        }
        let before = self.log.first_of_term(mismatch).previous();
        before.max(self.commit)
    }

    /// Handles a follower's answer to a batch.
    pub(super) fn handle_append_answer(
        &mut self,
        from: &VoterId,
        term: ElectionTerm,
        answer: AppendAnswer,
    ) {
        if !self.accept_answer(from, term, answer.round) {
            return;
        }
        let Some(progress) = self.find_progress(from) else {
            return;
        };
        match answer.outcome {
            AppendOutcome::Accepted(index) => progress.record_accepted(index),
            AppendOutcome::Rejected(rejection) => progress.record_rejected(rejection),
        }
        self.advance_repair();
    }

    /// Records the round of a follower's answer; returns whether the answer belongs to the term
    /// that this node leads.
    pub(super) fn accept_answer(
        &mut self,
        from: &VoterId,
        term: ElectionTerm,
        round: HeartbeatRound,
    ) -> bool {
        let own_term = self.hard_state.term;
        let Some(progress) = self.find_progress(from) else {
            return false;
        };
        if term > own_term {
            self.campaign_above(term);
            return false;
        }
        if term < own_term {
            return false;
        }
        progress.record_round(round);
        true
    }

    pub(super) fn find_progress(&mut self, id: &VoterId) -> Option<&mut PeerProgress> {
        self.leader_state_mut()?.peers.get_mut(id)
    }
}

/// Creates the messages for followers from the leader's log and state.
pub(super) struct BatchSender<'a> {
    pub(super) log: &'a ReplicaLog,
    pub(super) settings: &'a AgreementSettings,
    pub(super) commit: LogIndex,
    pub(super) round: HeartbeatRound,
    pub(super) tick: u64,
}

impl BatchSender<'_> {
    /// Returns the messages that are due to a follower.
    fn collect_messages(&self, progress: &mut PeerProgress) -> Vec<MessageBody> {
        let mut bodies = Vec::new();
        self.switch_to_snapshot(progress);
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

    /// Adds batches up to the limit of unacknowledged entries.
    fn push_batches(&self, progress: &mut PeerProgress, bodies: &mut Vec<MessageBody>) {
        let last = self.log.last().index;
        let window = progress.matched.0 + self.settings.max_entries_in_flight;
        while progress.next <= last && progress.next.0 <= window {
            let Some(previous) = self.mark_before(progress.next) else {
                return;
            };
            let entries = self.next_batch_entries(progress.next, LogIndex(window));
            progress.next = LogIndex(progress.next.0 + entries.len() as u64);
            progress.message_due = false;
            bodies.push(self.make_batch(previous, entries));
        }
    }

    /// Returns the entries from `from` up to `to` that fit into one message, but at least one.
    fn next_batch_entries(&self, from: LogIndex, to: LogIndex) -> Vec<LogEntry> {
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
        // During a snapshot transfer the follower doesn't have the entry before `next`. An empty
        // batch at the start of the log is always accepted, and serves as a heartbeat only.
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

    /// Returns the mark of the entry before `index`; `None` if that entry was compacted.
    pub(super) fn mark_before(&self, index: LogIndex) -> Option<EntryMark> {
        let previous = index.previous();
        let term = self.log.term_at(previous)?;
        Some(EntryMark::new(term, previous))
    }
}
