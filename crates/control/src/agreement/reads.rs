//! Linearizable reads, confirmed by a majority (Raft's read index).
//!
//! A leader that was replaced without its knowledge would answer from stale state: an operator
//! would see a contract that was changed before the read began. Therefore each read waits for a
//! heartbeat round that began after it. When a majority answers that round, no other leader can
//! have been elected before the read arrived.

use super::AgreementNode;
use super::entry::LogIndex;
use super::output::ReadTicket;
use super::role::NotLeader;
use super::role::RoleState;
use super::settings::AgreementGuard;

/// A read that waits for a majority to confirm the leader.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    pub(super) ticket: ReadTicket,
    /// The number of the round that a majority must answer; `None` until that round begins.
    round: Option<u64>,
}

impl AgreementNode {
    /// Begins the confirmation of a linearizable read.
    ///
    /// The ticket is returned in a later output: among its confirmed reads, when the committed
    /// entries delivered up to that output include everything that was committed on any node before
    /// this call; or among its lost reads, when this node lost the leadership before the
    /// confirmation.
    ///
    /// # Errors
    ///
    /// Returns [`NotLeader`], with the leader if one is known, when this node isn't the leader.
    pub fn confirm_read(&mut self) -> Result<ReadTicket, NotLeader> {
        let ticket = ReadTicket(self.next_ticket);
        let Some(state) = self.leader_state_mut() else {
            return Err(self.not_leader_error());
        };
        state.reads.push(PendingRead {
            ticket,
            round: None,
        });
        self.next_ticket += 1;
        Ok(ticket)
    }

    /// Begins a heartbeat round for the reads that arrived since the last one.
    pub(super) fn begin_read_round(&mut self) {
        let tick = self.tick;
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        if state.reads.iter().all(|read| read.round.is_some()) {
            return;
        }
        state.begin_round(tick);
        let number = state.round.number;
        for read in &mut state.reads {
            read.round.get_or_insert(number);
        }
    }

    /// Confirms the reads whose round a majority has answered.
    pub(super) fn confirm_answered_reads(&mut self) {
        if self.enforces(AgreementGuard::ReadAfterOwnEntry) && !self.has_committed_in_term() {
            // Until this leader's own first entry is committed, entries of earlier leaders may be
            // committed beyond its commit index.
            return;
        }
        let answered = self.majority_answered_round();
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let confirmed = &mut self.output.confirmed_reads;
        state.reads.retain(|read| {
            let done = read.round.is_some_and(|round| round <= answered);
            if done {
                confirmed.push(read.ticket);
            }
            !done
        });
    }

    /// Returns the number of the latest round that a majority has answered.
    fn majority_answered_round(&self) -> u64 {
        let Some(state) = self.leader_state() else {
            return 0;
        };
        let Some(configuration) = self.log.configuration() else {
            return 0;
        };
        if !self.enforces(AgreementGuard::ReadConfirmation) {
            return state.round.number;
        }
        let answered_by = |voter| match state.peers.get(voter) {
            Some(progress) => progress.round.number,
            None if *voter == self.id => state.round.number,
            None => 0,
        };
        let mut answered: Vec<u64> = configuration.voters.iter().map(answered_by).collect();
        answered.sort_unstable_by(|left, right| right.cmp(left));
        let place = configuration.majority() - 1;
        answered.get(place).copied().unwrap_or_default()
    }

    /// Returns whether this node leads and has committed an entry of its own term.
    pub(super) fn has_committed_in_term(&self) -> bool {
        let first = self.leader_state().map(|state| state.first_index);
        first.is_some_and(|first: LogIndex| self.commit >= first)
    }
}
