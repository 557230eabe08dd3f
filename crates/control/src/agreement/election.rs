//! Leader election by Raft: pre-vote, votes, and the leader's quorum check.
//!
//! A node whose election timeout passes first collects pre-votes, which change no term, and then
//! votes in the next term. Each node votes once per term and only for a candidate whose log is at
//! least as complete as its own, so a term has at most one leader and that leader has every
//! committed entry. Voters that had recent contact with a leader refuse other candidates, and a
//! leader that no majority answers steps down.

use super::AgreementNode;
use super::durable::HardState;
use super::entry::ElectionTerm;
use super::entry::EntryPayload;
use super::entry::VoterId;
use super::message::HeartbeatRound;
use super::message::MessageBody;
use super::message::MessageRecipient;
use super::message::VoteAnswer;
use super::message::VoteQuestion;
use super::role::LeaderState;
use super::role::RoleState;
use super::role::VoteTally;
use super::settings::AgreementGuard;
use smallvec::smallvec;
use std::collections::BTreeMap;
use std::mem;

impl AgreementNode {
    /// Returns whether a majority of the voters has answered heartbeat rounds that began within the
    /// last `ticks` ticks.
    ///
    /// The result is `false` on any node but the leader. Time counts from the start of the round
    /// and not from the arrival of its answer, because the answer may have been delayed.
    ///
    /// Ticks stop while the process is frozen, so the result can't be relied on right after the
    /// process resumes. A guarantee takes [`confirm_read`](Self::confirm_read) or a committed
    /// entry.
    pub fn majority_answered_within(&self, ticks: u64) -> bool {
        let Some(state) = self.leader_state() else {
            return false;
        };
        let Some(configuration) = self.log.configuration() else {
            return false;
        };
        configuration.has_majority(|voter| {
            let progress = state.peers.get(voter);
            *voter == self.id
                || progress.is_some_and(|peer| peer.round.tick.saturating_add(ticks) >= self.tick)
        })
    }

    /// Performs the leader's work of one tick: quorum check, heartbeat and membership changes.
    pub(super) fn tick_leader(&mut self) {
        let election_ticks = u64::from(self.settings.election_ticks);
        // A leader on the minority side of a partition would go on taking proposals that can't be
        // committed, and its callers would wait until their deadlines. It steps down instead, so
        // that they are refused at once.
        let quorum_lost = !self.majority_answered_within(election_ticks);
        if quorum_lost && self.enforces(AgreementGuard::QuorumCheck) {
            self.become_follower(None);
            return;
        }
        let heartbeat_ticks = u64::from(self.settings.heartbeat_ticks.max(1));
        let tick = self.tick;
        if tick.is_multiple_of(heartbeat_ticks)
            && let Some(state) = self.leader_state_mut()
        {
            state.begin_round(tick);
        }
        self.expire_transfer();
        self.advance_repair();
    }

    /// Handles an election timeout: a voter starts an election, any other node asks to join.
    pub(super) fn handle_election_timeout(&mut self) {
        self.reset_election_timer();
        self.leader = None;
        let may_lead = self
            .log
            .configuration()
            .is_some_and(|configuration| configuration.is_voter(&self.id));
        if !may_lead {
            self.ask_to_join();
        } else if self.outdated_by.is_some() {
            self.become_follower(None);
        } else if self.enforces(AgreementGuard::PreVote) {
            self.schedule_next_pre_vote();
            self.ask_for_pre_votes();
        } else {
            self.ask_for_votes();
        }
    }

    /// Becomes a follower of `leader`, or one that waits for a leader.
    pub(super) fn become_follower(&mut self, leader: Option<VoterId>) {
        self.leader = leader;
        self.replace_role(RoleState::Follower);
        self.reset_election_timer();
    }

    /// Enters a later term as a follower of `leader`, if that is known.
    pub(super) fn follow_term(&mut self, term: ElectionTerm, leader: Option<VoterId>) {
        self.enter_term(term);
        self.become_follower(leader);
    }

    /// Changes the role. Reads that are pending at a leader that steps down are reported as lost.
    fn replace_role(&mut self, role: RoleState) {
        let former = mem::replace(&mut self.role, role);
        if let RoleState::Leader(state) = former {
            let tickets = state.reads.iter().map(|read| read.ticket);
            self.output.lost_reads.extend(tickets);
        }
    }

    /// Sends pre-vote requests, which ask whether an election would succeed without raising the
    /// term.
    ///
    /// Without pre-vote, a VM that was partitioned for an hour would return with a term raised by
    /// every failed election, and its answer alone would depose a healthy leader: writes to the log
    /// would stop for an election timeout when the network heals.
    fn ask_for_pre_votes(&mut self) {
        self.replace_role(RoleState::PreCandidate(smallvec![self.id.clone()]));
        let question = VoteQuestion {
            term: self.hard_state.term.next(),
            last: self.log.last(),
            by_leader: false,
        };
        self.send_to_other_voters(&MessageBody::PreVoteRequest(question));
        self.check_tally();
    }

    /// Starts an election in the next term.
    pub(super) fn ask_for_votes(&mut self) {
        self.ask_for_votes_in(self.hard_state.term.next(), false);
    }

    /// Starts an election in the next term, for which the leader has asked.
    pub(super) fn ask_for_votes_as_successor(&mut self) {
        self.ask_for_votes_in(self.hard_state.term.next(), true);
    }

    /// Enters `term` as a candidate, votes for itself and sends vote requests.
    fn ask_for_votes_in(&mut self, term: ElectionTerm, by_leader: bool) {
        self.write_hard_state(HardState {
            term,
            vote: Some(self.id.clone()),
        });
        self.leader = None;
        self.replace_role(RoleState::Candidate(smallvec![self.id.clone()]));
        self.reset_election_timer();
        let question = VoteQuestion {
            term,
            last: self.log.last(),
            by_leader,
        };
        self.send_to_other_voters(&MessageBody::VoteRequest(question));
        self.check_tally();
    }

    fn send_to_other_voters(&mut self, body: &MessageBody) {
        let voters: VoteTally = self.voters().iter().cloned().collect();
        for voter in voters {
            if voter != self.id {
                self.send(MessageRecipient::Voter(voter), body.clone());
            }
        }
    }

    /// Answers a pre-vote request; the answer changes neither the term nor the vote of this node.
    pub(super) fn handle_pre_vote_request(&mut self, from: &VoterId, question: VoteQuestion) {
        if self.notify_if_outdated(from) {
            return;
        }
        if self.is_readmitted(from) {
            self.handle_join(from);
            return;
        }
        let granted = self.may_vote()
            && question.term > self.hard_state.term
            && question.last >= self.log.last()
            && !self.has_recent_leader_other_than(from);
        let answer = VoteAnswer {
            term: question.term,
            granted,
        };
        self.send_to(from, MessageBody::PreVoteReply(answer));
    }

    /// Answers a vote request and enters its term if that is later, unless this node had recent
    /// contact with another leader that has not asked for the election.
    pub(super) fn handle_vote_request(&mut self, from: &VoterId, question: VoteQuestion) {
        if !self.may_vote() {
            return;
        }
        if question.term > self.hard_state.term {
            // Otherwise a candidate that collected its pre-votes just before a partition healed
            // would depose the leader that the other voters have elected meanwhile.
            if !question.by_leader && self.has_recent_leader_other_than(from) {
                return;
            }
            self.follow_term(question.term, None);
        }
        let vote_available = match &self.hard_state.vote {
            Some(vote) => vote == from,
            None => true,
        };
        let granted = question.term == self.hard_state.term
            && vote_available
            && question.last >= self.log.last();
        if granted && self.hard_state.vote.is_none() {
            self.write_hard_state(HardState {
                term: question.term,
                vote: Some(from.clone()),
            });
            self.reset_election_timer();
        }
        let answer = VoteAnswer {
            term: question.term,
            granted,
        };
        self.send_to(from, MessageBody::VoteReply(answer));
    }

    /// Counts a granted pre-vote; otherwise enters the sender's term if that is later.
    pub(super) fn handle_pre_vote_answer(
        &mut self,
        from: &VoterId,
        term: ElectionTerm,
        answer: VoteAnswer,
    ) {
        let current = answer.term == self.hard_state.term.next();
        match &mut self.role {
            RoleState::PreCandidate(tally) if current && answer.granted => {
                add_vote(tally, from);
                self.check_tally();
            }
            RoleState::PreCandidate(_) if term > self.hard_state.term => {
                self.follow_term(term, None)
            }
            _ => {}
        }
    }

    /// Counts a granted vote; otherwise enters the sender's term if that is later.
    pub(super) fn handle_vote_answer(
        &mut self,
        from: &VoterId,
        term: ElectionTerm,
        answer: VoteAnswer,
    ) {
        let current = answer.term == self.hard_state.term;
        match &mut self.role {
            RoleState::Candidate(tally) if current && answer.granted => {
                add_vote(tally, from);
                self.check_tally();
            }
            RoleState::Candidate(_) if term > self.hard_state.term => self.follow_term(term, None),
            _ => {}
        }
    }

    /// Moves on to the election, or to leadership, once a majority has granted its votes.
    fn check_tally(&mut self) {
        let Some(configuration) = self.log.configuration() else {
            return;
        };
        let elected = |tally: &VoteTally| configuration.has_majority(|id| tally.contains(id));
        match &self.role {
            RoleState::PreCandidate(tally) if elected(tally) => self.ask_for_votes(),
            RoleState::Candidate(tally) if elected(tally) => self.become_leader(),
            _ => {}
        }
    }

    fn become_leader(&mut self) {
        let next = self.log.last().index.next();
        let mut state = LeaderState {
            first_index: next,
            peers: BTreeMap::new(),
            round: HeartbeatRound {
                number: 1,
                tick: self.tick,
            },
            reads: Vec::new(),
            transfer: None,
        };
        if let Some(configuration) = self.log.configuration() {
            state.update_peers(&self.id, configuration, next, self.tick);
        }
        self.leader = Some(self.id.clone());
        self.replace_role(RoleState::Leader(state));
        // Entries of earlier leaders may be committed beyond this node's commit index. Committing
        // an empty entry of its own term commits all entries before it; reads and changes of voters
        // wait for that.
        self.append_as_leader(EntryPayload::Empty);
    }

    /// Returns whether this node may vote at all.
    ///
    /// A node without a configuration has never stored any part of the log. Its vote could help to
    /// elect a leader that lacks committed entries, and an accepted change would be lost.
    fn may_vote(&self) -> bool {
        self.log.configuration().is_some() || !self.enforces(AgreementGuard::ConfiguredVote)
    }

    /// Returns whether this node leads, or had contact with a leader other than `candidate` within
    /// the minimum election timeout.
    fn has_recent_leader_other_than(&self, candidate: &VoterId) -> bool {
        if !self.enforces(AgreementGuard::VoteStickiness) {
            return false;
        }
        let election_ticks = u64::from(self.settings.election_ticks);
        let recent_contact = self
            .leader_contact_tick
            .is_some_and(|contact_tick| contact_tick + election_ticks > self.tick);
        let other = self
            .leader
            .as_ref()
            .is_some_and(|leader| leader != candidate);
        self.is_leader() || (recent_contact && other)
    }

    /// Records contact with the leader of the current term, and follows it.
    pub(super) fn record_leader_contact(&mut self, from: &VoterId) {
        invariant!(
            !self.is_leader(),
            "{from} and {} both lead term {}",
            self.id,
            self.hard_state.term
        );
        invariant!(
            self.leader.as_ref().is_none_or(|leader| leader == from),
            "{from} and {:?} both lead term {}",
            self.leader,
            self.hard_state.term
        );
        self.become_follower(Some(from.clone()));
        self.leader_contact_tick = Some(self.tick);
    }

    /// Starts an election in the term after `term`, the higher term of a follower, unless this
    /// leader is transferring its leadership.
    ///
    /// A follower with a higher term can't accept entries of this leader's term. It can't be
    /// elected either while the other voters have contact with their leader, so it would stay
    /// behind for good. Stepping down would resolve this but leave the log without a leader for an
    /// election timeout. Instead the leader requests votes in a higher term at once, and its
    /// followers grant them, because it is the leader that they had recent contact with.
    pub(super) fn campaign_above(&mut self, term: ElectionTerm) {
        if !self.is_leader() || term <= self.hard_state.term {
            return;
        }
        // The follower has voted for the successor, whose own request may still be on its way.
        if self.is_transferring_leadership() {
            self.follow_term(term, None);
        } else {
            self.ask_for_votes_in(term.next(), false);
        }
    }
}

fn add_vote(tally: &mut VoteTally, from: &VoterId) {
    if !tally.contains(from) {
        tally.push(from.clone());
    }
}
