//! The roles of a node: leader, candidate, follower, learner or joining; and the leader's state.

use super::AgreementNode;
use super::entry::LogIndex;
use super::entry::VoterConfiguration;
use super::entry::VoterId;
use super::leadership::LeadershipTransfer;
use super::message::HeartbeatRound;
use super::progress::PeerProgress;
use super::reads::PendingRead;
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::fmt;

/// The current role of a node, as reported to operators and the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgreementRole {
    /// It has no log, or isn't a member, and sends join requests.
    Joining,
    /// It receives the log without a vote.
    Learner,
    /// It follows a leader, or waits for one.
    Follower,
    /// It collects pre-votes.
    PreCandidate,
    /// It collects votes.
    Candidate,
    /// It leads the current term.
    Leader,
}

/// The replication progress of a member, as its leader knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberProgress {
    /// The member.
    pub id: VoterId,
    /// The last index up to which it is known to have stored the leader's log.
    pub matched: LogIndex,
    /// The number of ticks since the start of the latest round that it has answered.
    pub silent_ticks: u64,
}

/// The error of a request that only the leader can serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotLeader {
    /// The leader, if one is known.
    pub leader: Option<VoterId>,
}

impl fmt::Display for NotLeader {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.leader {
            Some(leader) => write!(formatter, "not the leader; {leader} is"),
            None => formatter.write_str("not the leader, and none is known"),
        }
    }
}

impl std::error::Error for NotLeader {}

/// The voters that have granted their vote or pre-vote.
pub(super) type VoteTally = SmallVec<[VoterId; 5]>;

/// The current role of a node with its state.
#[derive(Debug)]
pub(super) enum RoleState {
    Follower,
    PreCandidate(VoteTally),
    Candidate(VoteTally),
    Leader(LeaderState),
}

/// The volatile state of a leader, discarded when it steps down.
#[derive(Debug)]
pub(super) struct LeaderState {
    /// The index of the first entry of the leader's term.
    pub(super) first_index: LogIndex,
    /// The replication progress of each other member.
    pub(super) peers: BTreeMap<VoterId, PeerProgress>,
    /// The current heartbeat round.
    pub(super) round: HeartbeatRound,
    /// Reads that wait for a majority to confirm the leader.
    pub(super) reads: Vec<PendingRead>,
    /// The transfer of the leadership that is under way, if any.
    pub(super) transfer: Option<LeadershipTransfer>,
}

impl LeaderState {
    /// Adds and removes peers according to a changed configuration.
    pub(super) fn update_peers(
        &mut self,
        own: &VoterId,
        configuration: &VoterConfiguration,
        next: LogIndex,
        tick: u64,
    ) {
        self.peers
            .retain(|id, _| configuration.members().any(|member| member == id));
        for member in configuration.members() {
            if member != own && !self.peers.contains_key(member) {
                let progress = PeerProgress::new(next, tick);
                self.peers.insert(member.clone(), progress);
            }
        }
    }

    /// Begins a heartbeat round, which every follower has to answer.
    pub(super) fn begin_round(&mut self, tick: u64) {
        self.round = HeartbeatRound {
            number: self.round.number + 1,
            tick,
        };
        self.make_messages_due();
    }

    /// Marks a message as due to every follower, with or without entries.
    pub(super) fn make_messages_due(&mut self) {
        for progress in self.peers.values_mut() {
            progress.message_due = true;
        }
    }
}

impl AgreementNode {
    /// Returns the node's current role.
    pub fn role(&self) -> AgreementRole {
        match &self.role {
            RoleState::Leader(_) => AgreementRole::Leader,
            RoleState::Candidate(_) => AgreementRole::Candidate,
            RoleState::PreCandidate(_) => AgreementRole::PreCandidate,
            RoleState::Follower => self.follower_role(),
        }
    }

    /// Returns whether the node leads the current term, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, RoleState::Leader(_))
    }

    /// Returns the replication progress of the other members; empty on any node but the leader.
    pub fn member_progress(&self) -> Vec<MemberProgress> {
        let Some(state) = self.leader_state() else {
            return Vec::new();
        };
        let peers = state.peers.iter().map(|(id, progress)| MemberProgress {
            id: id.clone(),
            matched: progress.matched,
            silent_ticks: self.tick.saturating_sub(progress.round.tick),
        });
        peers.collect()
    }

    fn follower_role(&self) -> AgreementRole {
        match self.log.configuration() {
            Some(configuration) if configuration.is_voter(&self.id) => AgreementRole::Follower,
            Some(configuration) if configuration.is_learner(&self.id) => AgreementRole::Learner,
            Some(_) | None => AgreementRole::Joining,
        }
    }

    pub(super) fn not_leader_error(&self) -> NotLeader {
        NotLeader {
            leader: self.leader.clone(),
        }
    }

    pub(super) fn leader_state_mut(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            RoleState::Leader(state) => Some(state),
            RoleState::Follower | RoleState::PreCandidate(_) | RoleState::Candidate(_) => None,
        }
    }

    pub(super) fn leader_state(&self) -> Option<&LeaderState> {
        match &self.role {
            RoleState::Leader(state) => Some(state),
            RoleState::Follower | RoleState::PreCandidate(_) | RoleState::Candidate(_) => None,
        }
    }
}
