//! Leadership transfer: a leader that is about to stop has another voter elected at once.
//!
//! Otherwise the other voters elect a leader only when the former one has been silent for an
//! election timeout. No lease is renewed meanwhile, so that members stop serving and statements
//! under way end in doubt, although the restart was planned.
//!
//! As in Raft's leadership transfer, the leader accepts no further proposals, brings a voter's log
//! up to date and tells it to start an election. The request for votes says that the leader has
//! asked for the election, so the voters grant it although they had recent contact with that
//! leader. If no election follows within the minimum election timeout, the leader continues as
//! before.

use super::AgreementNode;
use super::entry::ElectionTerm;
use super::entry::VoterId;
use super::message::MessageBody;
use super::role::LeaderState;
use ragwort_types::VmName;

/// A transfer of the leadership that is under way.
#[derive(Clone, Debug)]
pub(super) struct LeadershipTransfer {
    successor: VoterId,
    /// The tick at which the leader continues as before.
    expires_at: u64,
    /// The tick at which the successor was last told to start an election.
    requested_at: Option<u64>,
}

impl AgreementNode {
    /// Begins to transfer the leadership to the eligible voter with the most complete log, and
    /// returns that voter.
    ///
    /// Returns `None`, and changes nothing, if this node doesn't lead or no eligible voter has
    /// answered within the minimum election timeout.
    pub fn transfer_leadership(&mut self, eligible: impl Fn(&VmName) -> bool) -> Option<VoterId> {
        let timeout = self.election_timeout_ticks();
        let mut others: Vec<&VoterId> = self.voters().iter().collect();
        others.retain(|voter| {
            **voter != self.id && eligible(&voter.vm) && self.answered_within(voter, timeout)
        });
        let successor = others
            .into_iter()
            .max_by_key(|voter| self.matched_by(voter))?
            .clone();
        let expires_at = self.tick + timeout;
        let state = self.leader_state_mut()?;
        state.transfer = Some(LeadershipTransfer {
            successor: successor.clone(),
            expires_at,
            requested_at: None,
        });
        Some(successor)
    }

    /// Returns whether this node leads and is transferring the leadership.
    pub fn is_transferring_leadership(&self) -> bool {
        let state = self.leader_state();
        state.is_some_and(|state| state.transfer.is_some())
    }

    /// Ends a transfer that has not led to an election in time.
    pub(super) fn expire_transfer(&mut self) {
        let tick = self.tick;
        if let Some(state) = self.leader_state_mut() {
            state
                .transfer
                .take_if(|transfer| tick >= transfer.expires_at);
        }
    }

    /// Tells the successor to start an election once its log is complete, and again at the interval
    /// of heartbeats in case the message is lost.
    pub(super) fn send_due_election_request(&mut self) {
        let tick = self.tick;
        let interval = u64::from(self.settings.heartbeat_ticks.max(1));
        let last = self.log.last().index;
        let Some(LeaderState {
            transfer: Some(transfer),
            peers,
            ..
        }) = self.leader_state_mut()
        else {
            return;
        };
        let complete = peers
            .get(&transfer.successor)
            .is_some_and(|progress| progress.matched == last);
        let due = transfer
            .requested_at
            .is_none_or(|requested_at| tick >= requested_at + interval);
        if complete && due {
            transfer.requested_at = Some(tick);
            let successor = transfer.successor.clone();
            self.send_to(&successor, MessageBody::StartElection);
        }
    }

    /// Starts an election at the request of the leader of the current term.
    pub(super) fn handle_start_election(&mut self, from: &VoterId, term: ElectionTerm) {
        let own_leader = term == self.hard_state.term && self.leader.as_ref() == Some(from);
        let may_lead = self.voters().contains(&self.id) && self.outdated_by.is_none();
        if own_leader && may_lead {
            self.ask_for_votes_as_successor();
        }
    }
}
