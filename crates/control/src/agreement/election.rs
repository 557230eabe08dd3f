//! Elections: pre-vote, votes, and the leader's own doubt.

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
    /// Says whether a majority of the voters has answered rounds begun within the last `ticks`.
    ///
    /// It is false on any node but the leader. Time counts from the sending of the round and not
    /// from its answer, because an answer may have lain about in between.
    ///
    /// Ticks stand still while the process is frozen, so this says nothing to rely on right after
    /// a thaw. What must hold needs [`confirm_read`](Self::confirm_read) or a committed entry.
    pub fn majority_heard_within(&self, ticks: u64) -> bool {
        let Some(state) = self.view_leader_state() else {
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

    pub(super) fn tick_leader(&mut self) {
        let election_ticks = u64::from(self.settings.election_ticks);
        // A leader on the small side of a cut would go on taking proposals that can't be
        // committed, and its callers would wait until their deadlines. It steps down instead, so
        // that they are refused at once.
        let doubtful = !self.majority_heard_within(election_ticks);
        if doubtful && self.holds(AgreementGuard::QuorumCheck) {
            self.become_follower(None);
            return;
        }
        let heartbeat_ticks = u64::from(self.settings.heartbeat_ticks.max(1));
        let tick = self.tick;
        if tick.is_multiple_of(heartbeat_ticks)
            && let Some(state) = self.leader_state()
        {
            state.begin_round(tick);
        }
        self.drive_membership();
    }

    /// Acts on an election time without a leader.
    pub(super) fn end_leader_wait(&mut self) {
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
        } else if self.holds(AgreementGuard::PreVote) {
            self.await_next_turn();
            self.ask_for_pre_votes();
        } else {
            self.ask_for_votes();
        }
    }

    /// Follows a leader, or waits for one.
    pub(super) fn become_follower(&mut self, leader: Option<VoterId>) {
        self.leader = leader;
        self.replace_role(RoleState::Follower);
        self.reset_election_timer();
    }

    /// Enters a later term, with or without its leader.
    pub(super) fn follow_term(&mut self, term: ElectionTerm, leader: Option<VoterId>) {
        self.enter_term(term);
        self.become_follower(leader);
    }

    fn replace_role(&mut self, role: RoleState) {
        let former = mem::replace(&mut self.role, role);
        if let RoleState::Leader(state) = former {
            let tickets = state.reads.iter().map(|read| read.ticket);
            self.output.lost_reads.extend(tickets);
        }
    }

    /// Asks whether an election would succeed, without raising the term.
    ///
    /// A VM that sat behind a cut for an hour would otherwise come back with a term raised by every
    /// vain election, and its mere answer would unseat a healthy leader: writes to the log would
    /// stop for an election time at the moment the network heals.
    fn ask_for_pre_votes(&mut self) {
        self.replace_role(RoleState::PreCandidate(smallvec![self.id.clone()]));
        let question = VoteQuestion {
            term: self.hard.term.next(),
            last: self.log.last(),
        };
        self.send_to_other_voters(&MessageBody::PreVoteRequest(question));
        self.count_tally();
    }

    /// Enters the next term as a candidate.
    pub(super) fn ask_for_votes(&mut self) {
        self.ask_for_votes_in(self.hard.term.next());
    }

    /// Enters `term` as a candidate.
    pub(super) fn ask_for_votes_in(&mut self, term: ElectionTerm) {
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
        };
        self.send_to_other_voters(&MessageBody::VoteRequest(question));
        self.count_tally();
    }

    fn send_to_other_voters(&mut self, body: &MessageBody) {
        let voters: VoteTally = self.voters().iter().cloned().collect();
        for voter in voters {
            if voter != self.id {
                self.send(MessageRecipient::Voter(voter), body.clone());
            }
        }
    }

    pub(super) fn answer_pre_vote(&mut self, from: &VoterId, question: VoteQuestion) {
        if self.tell_if_outdated(from) {
            return;
        }
        if self.is_expected_back(from) {
            self.take_join(from);
            return;
        }
        let granted = self.may_vote()
            && question.term > self.hard.term
            && question.last >= self.log.last()
            && !self.trusts_leader_against(from);
        let answer = VoteAnswer {
            term: question.term,
            granted,
        };
        self.send_to(from, MessageBody::PreVoteReply(answer));
    }

    pub(super) fn answer_vote(&mut self, from: &VoterId, question: VoteQuestion) {
        if !self.may_vote() {
            return;
        }
        if question.term > self.hard.term {
            // A candidate whose pre-votes were collected just before a cut healed would otherwise
            // unseat the leader that everyone else has found meanwhile.
            if self.trusts_leader_against(from) {
                return;
            }
            self.follow_term(question.term, None);
        }
        let free = match &self.hard.vote {
            Some(vote) => vote == from,
            None => true,
        };
        let granted = question.term == self.hard.term && free && question.last >= self.log.last();
        if granted && self.hard.vote.is_none() {
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

    pub(super) fn count_pre_vote(
        &mut self,
        from: &VoterId,
        term: ElectionTerm,
        answer: VoteAnswer,
    ) {
        let current = answer.term == self.hard.term.next();
        match &mut self.role {
            RoleState::PreCandidate(tally) if current && answer.granted => {
                add_vote(tally, from);
                self.count_tally();
            }
            RoleState::PreCandidate(_) if term > self.hard.term => self.follow_term(term, None),
            _ => {}
        }
    }

    pub(super) fn count_vote(&mut self, from: &VoterId, term: ElectionTerm, answer: VoteAnswer) {
        let current = answer.term == self.hard.term;
        match &mut self.role {
            RoleState::Candidate(tally) if current && answer.granted => {
                add_vote(tally, from);
                self.count_tally();
            }
            RoleState::Candidate(_) if term > self.hard.term => self.follow_term(term, None),
            _ => {}
        }
    }

    fn count_tally(&mut self) {
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
        };
        if let Some(configuration) = self.log.configuration() {
            state.follow_configuration(&self.id, configuration, next, self.tick);
        }
        self.leader = Some(self.id.clone());
        self.replace_role(RoleState::Leader(state));
        // What earlier leaders appended may be committed without this node's knowing it. Its own
        // first entry, once committed, settles all of them; reads and changes of voters wait for it.
        self.append_own(EntryPayload::Empty);
    }

    /// Says whether this node may vote at all.
    ///
    /// A node without a configuration has never held any of the log. Its vote could help to elect a
    /// leader that lacks committed entries, and an accepted change would be gone.
    fn may_vote(&self) -> bool {
        self.log.configuration().is_some() || !self.holds(AgreementGuard::ConfiguredVote)
    }

    /// Says whether this node has reason to believe in a leader other than `candidate`.
    fn trusts_leader_against(&self, candidate: &VoterId) -> bool {
        if !self.holds(AgreementGuard::VoteStickiness) {
            return false;
        }
        let election_ticks = u64::from(self.settings.election_ticks);
        let heard = self
            .leader_heard_at
            .is_some_and(|heard| heard + election_ticks > self.tick);
        let other = self
            .leader
            .as_ref()
            .is_some_and(|leader| leader != candidate);
        self.is_leader() || (heard && other)
    }

    /// Notes that the leader of the present term was heard.
    pub(super) fn hear_leader(&mut self, from: &VoterId) {
        invariant!(
            !self.is_leader(),
            "{from} and {} both lead term {}",
            self.id,
            self.hard.term
        );
        invariant!(
            self.leader.as_ref().is_none_or(|leader| leader == from),
            "{from} and {:?} both lead term {}",
            self.leader,
            self.hard.term
        );
        self.become_follower(Some(from.clone()));
        self.leader_heard_at = Some(self.tick);
    }

    /// Keeps the leadership in a term above that of a follower.
    ///
    /// A follower whose term is higher can't accept entries of this term, and it can't be elected
    /// either while the others hear their leader: it would hang for good. Stepping down would help
    /// it at the price of an election. Instead the leader asks for votes in a term above at once;
    /// its followers give them, because it is the leader they trust.
    pub(super) fn outbid_term(&mut self, term: ElectionTerm) {
        if self.is_leader() && term > self.hard.term {
            self.ask_for_votes_in(term.next());
        }
    }
}

fn add_vote(tally: &mut VoteTally, from: &VoterId) {
    if !tally.contains(from) {
        tally.push(from.clone());
    }
}
