//! The roles of a node.

use super::AgreementNode;
use super::entry::LogIndex;
use super::entry::VoterConfiguration;
use super::entry::VoterId;
use super::message::HeartbeatRound;
use super::progress::PeerProgress;
use super::reads::PendingRead;
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::fmt;

/// What a node is at present, for operators and the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgreementRole {
    /// It holds no log, or isn't a member of it, and asks to be taken in.
    Joining,
    /// It follows the log without a vote.
    Learner,
    /// It follows a leader or waits for one.
    Follower,
    /// It asks whether it would be elected.
    PreCandidate,
    /// It asks for votes.
    Candidate,
    /// It leads the present term.
    Leader,
}

/// How far a member has come, as its leader knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberProgress {
    /// The member.
    pub id: VoterId,
    /// The last entry that it is known to hold.
    pub matched: LogIndex,
    /// The ticks since the latest round that it has answered began.
    pub silent_ticks: u64,
}

/// An answer that only the leader can give.
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

/// The voters that have said yes.
pub(super) type VoteTally = SmallVec<[VoterId; 5]>;

/// What a node is at present, with what it remembers for it.
#[derive(Debug)]
pub(super) enum RoleState {
    Follower,
    PreCandidate(VoteTally),
    Candidate(VoteTally),
    Leader(LeaderState),
}

/// What a leader remembers; all of it is lost with the term.
#[derive(Debug)]
pub(super) struct LeaderState {
    /// The leader's own first entry.
    pub(super) first_index: LogIndex,
    /// How far each other member has come.
    pub(super) peers: BTreeMap<VoterId, PeerProgress>,
    /// The present round.
    pub(super) round: HeartbeatRound,
    /// Reads that wait for a majority.
    pub(super) reads: Vec<PendingRead>,
}

impl LeaderState {
    /// Follows a change of the configuration.
    pub(super) fn follow_configuration(
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

    /// Begins a round: every follower is asked to answer it.
    pub(super) fn begin_round(&mut self, tick: u64) {
        self.round = HeartbeatRound {
            number: self.round.number + 1,
            tick,
        };
        self.make_messages_due();
    }

    /// Lets every follower get a message, with entries or without.
    pub(super) fn make_messages_due(&mut self) {
        for progress in self.peers.values_mut() {
            progress.message_due = true;
        }
    }
}

impl AgreementNode {
    /// Returns what the node is at present.
    pub fn role(&self) -> AgreementRole {
        match &self.role {
            RoleState::Leader(_) => AgreementRole::Leader,
            RoleState::Candidate(_) => AgreementRole::Candidate,
            RoleState::PreCandidate(_) => AgreementRole::PreCandidate,
            RoleState::Follower => self.passive_role(),
        }
    }

    /// Says whether the node leads the present term, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, RoleState::Leader(_))
    }

    /// Lists how far the other members have come; empty on any node but the leader.
    pub fn member_progress(&self) -> Vec<MemberProgress> {
        let Some(state) = self.view_leader_state() else {
            return Vec::new();
        };
        let peers = state.peers.iter().map(|(id, progress)| MemberProgress {
            id: id.clone(),
            matched: progress.matched,
            silent_ticks: self.tick.saturating_sub(progress.round.tick),
        });
        peers.collect()
    }

    fn passive_role(&self) -> AgreementRole {
        match self.log.configuration() {
            Some(configuration) if configuration.is_voter(&self.id) => AgreementRole::Follower,
            Some(configuration) if configuration.is_learner(&self.id) => AgreementRole::Learner,
            Some(_) | None => AgreementRole::Joining,
        }
    }

    pub(super) fn not_leader(&self) -> NotLeader {
        NotLeader {
            leader: self.leader.clone(),
        }
    }

    pub(super) fn leader_state(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            RoleState::Leader(state) => Some(state),
            RoleState::Follower | RoleState::PreCandidate(_) | RoleState::Candidate(_) => None,
        }
    }

    pub(super) fn view_leader_state(&self) -> Option<&LeaderState> {
        match &self.role {
            RoleState::Leader(state) => Some(state),
            RoleState::Follower | RoleState::PreCandidate(_) | RoleState::Candidate(_) => None,
        }
    }
}
