//! Reads that a majority confirms.
//!
//! A leader that was replaced without noticing it would answer from a state that has moved on
//! elsewhere: an operator would see a contract that was changed before the question was asked. So
//! each read waits for a round of heartbeats that began after it; a majority that answers it
//! can't have elected another leader before the read came in.

use super::AgreementNode;
use super::entry::LogIndex;
use super::output::ReadTicket;
use super::role::NotLeader;
use super::role::RoleState;
use super::settings::AgreementGuard;

/// A read that waits for a majority.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    pub(super) ticket: ReadTicket,
    /// The round that must be answered, once it has begun.
    round: Option<u64>,
}

impl AgreementNode {
    /// Asks for a read's confirmation.
    ///
    /// The ticket comes back among the output's confirmed reads, when the committed entries
    /// delivered up to that output cover all that was committed anywhere before this call; or
    /// among its lost reads, when this node can't say.
    ///
    /// # Errors
    ///
    /// Returns [`NotLeader`], with the leader if one is known.
    pub fn confirm_read(&mut self) -> Result<ReadTicket, NotLeader> {
        let ticket = ReadTicket(self.next_ticket);
        let Some(state) = self.leader_state() else {
            return Err(self.not_leader());
        };
        state.reads.push(PendingRead {
            ticket,
            round: None,
        });
        self.next_ticket += 1;
        Ok(ticket)
    }

    /// Begins a round for reads that came in since the last one.
    pub(super) fn begin_read_round(&mut self) {
        let tick = self.tick;
        let Some(state) = self.leader_state() else {
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
    pub(super) fn settle_reads(&mut self) {
        if self.holds(AgreementGuard::ReadAfterOwnEntry) && !self.has_own_commit() {
            // Entries of earlier leaders may be committed beyond this node's commit index until
            // its own first entry is.
            return;
        }
        let answered = self.find_answered_round();
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

    /// Returns the latest round that a majority has answered.
    fn find_answered_round(&self) -> u64 {
        let Some(state) = self.view_leader_state() else {
            return 0;
        };
        let Some(configuration) = self.log.configuration() else {
            return 0;
        };
        if !self.holds(AgreementGuard::ReadConfirmation) {
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

    /// Says whether this leader has committed an entry of its own term.
    pub(super) fn has_own_commit(&self) -> bool {
        let first = self.view_leader_state().map(|state| state.first_index);
        first.is_some_and(|first: LogIndex| self.commit >= first)
    }
}
