//! Changes of voters, and the replacement of voters whose disk was lost.
//!
//! Voters change by Raft's single-server changes: one voter at a time, and the next change only
//! after the previous one is committed.
//!
//! A VM whose disk was lost restarts empty, under a new incarnation, and asks to join. The leader
//! adds it as a learner, sends it the log, removes the old incarnation from the voters and then
//! makes the new one a voter. Each step is one entry of the log, and the remaining steps follow
//! from the latest configuration alone, so that any later leader can continue the repair.
//!
//! *Two steps.* If one entry replaced the old incarnation by the new one, a majority of the
//! previous voters and a majority of the new voters could be disjoint. If the old disk reappears
//! (for example because it was not mounted at start), each majority could elect a leader, and an
//! accepted change would be lost. When one voter changes at a time, any two majorities overlap.
//!
//! *Removal before addition.* The old incarnation can't vote, so while both incarnations are voters
//! a majority needs more of the running nodes than before: in a log of three, all three of them
//! instead of both remaining ones. Removing the old incarnation first never requires more votes
//! than the loss itself.
//!
//! *Catch-up before the vote.* A new voter without the log counts towards majorities but can't help
//! to elect a leader, so a second loss right after the repair would leave a log of three without a
//! leader although two voters are running. A repair is therefore complete only when the change that
//! adds the new voter is committed and that voter has stored it.

use super::AgreementNode;
use super::durable::DiskWrite;
use super::entry::EntryMark;
use super::entry::EntryPayload;
use super::entry::LogIndex;
use super::entry::VoterConfiguration;
use super::entry::VoterId;
use super::message::MessageBody;
use super::message::MessageRecipient;
use super::message::OutdatedNotice;
use super::role::NotLeader;
use super::role::RoleState;
use super::settings::AgreementGuard;
use ragwort_types::VmIncarnation;
use ragwort_types::VmName;
use std::fmt;

/// The placeholder incarnation of a VM that was admitted but hasn't asked to join yet.
const PLACEHOLDER_INCARNATION: VmIncarnation = VmIncarnation(0);

/// The number of election timeouts after which a learner that doesn't answer is dropped, if another
/// incarnation of its VM is still a voter, and after which a voter counts as silent.
///
/// That is long enough for a restart, and short enough that a VM whose old disk reappeared doesn't
/// stay reported as under repair.
const SILENCE_FACTOR: u64 = 10;

/// The reason why a change of members is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipError {
    /// This node isn't the leader, and only the leader changes members.
    NotLeader(NotLeader),
    /// An earlier change isn't committed yet, the leader hasn't committed an entry of its term, or
    /// it is transferring the leadership.
    ChangePending,
    /// The VM is already a member.
    AlreadyMember,
    /// The VM isn't a member.
    NotMember,
    /// The VM is the leader's own; another VM must become leader before this one can be removed.
    LeaderItself,
}

impl fmt::Display for MembershipError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader(error) => error.fmt(formatter),
            Self::ChangePending => formatter.write_str("an earlier change isn't committed yet"),
            Self::AlreadyMember => formatter.write_str("the VM is a member already"),
            Self::NotMember => formatter.write_str("the VM isn't a member"),
            Self::LeaderItself => formatter.write_str("the leader doesn't remove itself"),
        }
    }
}

impl std::error::Error for MembershipError {}

/// A VM that is to become a voter, or whose addition isn't complete yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingRepair {
    /// The incarnation that is to be a voter; incarnation 0 for a VM that hasn't asked to join yet.
    pub joining: VoterId,
    /// The incarnation that it replaces, while that is still a voter.
    pub replaces: Option<VoterId>,
    /// The stage of the repair.
    pub stage: RepairStage,
}

/// The stage of a repair.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairStage {
    /// The VM was admitted and hasn't asked to join yet.
    Expected,
    /// The learner receives the log, or waits for its next step; the old incarnation is a voter.
    CatchingUp,
    /// The old incarnation has been removed, and the learner isn't a voter yet.
    OldRemoved,
    /// The change that added the new voter isn't committed yet, or the leader doesn't know yet that
    /// the voter has stored it.
    Settling,
}

impl VoterId {
    /// Returns whether this is the placeholder of a VM that was admitted but hasn't asked to join
    /// yet.
    pub(super) fn is_placeholder(&self) -> bool {
        self.incarnation == PLACEHOLDER_INCARNATION
    }
}

impl AgreementNode {
    /// Returns the repairs and additions of voters that aren't complete.
    ///
    /// While the list isn't empty, the log may not survive the loss of another VM. Only the
    /// leader's answer is reliable: followers don't know which entries the other nodes have stored.
    pub fn repairs_pending(&self) -> Vec<PendingRepair> {
        let Some(configuration) = self.log.configuration() else {
            return Vec::new();
        };
        let learners = configuration.learners.iter().map(|learner| PendingRepair {
            joining: learner.clone(),
            replaces: configuration.find_voter(&learner.vm).cloned(),
            stage: learner_stage(configuration, learner),
        });
        let admitted = configuration.admitted.iter();
        let settling = admitted
            .filter(|voter| !self.is_settled(voter))
            .map(|voter| PendingRepair {
                joining: voter.clone(),
                replaces: None,
                stage: RepairStage::Settling,
            });
        learners.chain(settling).collect()
    }

    /// Returns the later incarnation that replaced this node, if another node has reported one.
    ///
    /// Such a node can no longer participate. An operator has to empty its disk, after which it
    /// restarts as a new incarnation.
    pub fn outdated_by(&self) -> Option<VmIncarnation> {
        self.outdated_by
    }

    /// Admits a VM that isn't a member; it becomes a voter once it has asked to join and has caught
    /// up with the log.
    ///
    /// # Errors
    ///
    /// Returns [`MembershipError`] when this node can't make the change now.
    pub fn admit_vm(&mut self, vm: VmName) -> Result<EntryMark, MembershipError> {
        let mut configuration = self.changeable_configuration()?;
        if configuration.members().any(|member| member.vm == vm) {
            return Err(MembershipError::AlreadyMember);
        }
        let learner = VoterId::new(vm, PLACEHOLDER_INCARNATION);
        configuration.learners.push(learner);
        Ok(self.append_configuration(configuration))
    }

    /// Removes a VM from the voters and learners.
    ///
    /// # Errors
    ///
    /// Returns [`MembershipError`] when this node can't make the change now.
    pub fn remove_vm(&mut self, vm: &VmName) -> Result<EntryMark, MembershipError> {
        let mut configuration = self.changeable_configuration()?;
        if *vm == self.id.vm {
            return Err(MembershipError::LeaderItself);
        }
        if !configuration.members().any(|member| member.vm == *vm) {
            return Err(MembershipError::NotMember);
        }
        configuration.voters.retain(|voter| voter.vm != *vm);
        configuration.learners.retain(|learner| learner.vm != *vm);
        Ok(self.append_configuration(configuration))
    }

    /// Removes a learner; an earlier incarnation of its VM stays a voter.
    ///
    /// # Errors
    ///
    /// Returns [`MembershipError`] when this node can't make the change now.
    pub fn remove_learner(&mut self, learner: &VoterId) -> Result<EntryMark, MembershipError> {
        let mut configuration = self.changeable_configuration()?;
        if !configuration.is_learner(learner) {
            return Err(MembershipError::NotMember);
        }
        configuration.learners.retain(|other| other != learner);
        Ok(self.append_configuration(configuration))
    }

    /// Sends a join request to all peers.
    pub(super) fn ask_to_join(&mut self) {
        self.become_follower(None);
        for peer in self.settings.peers.clone() {
            if peer != self.id.vm {
                self.send(MessageRecipient::Vm(peer), MessageBody::Join);
            }
        }
    }

    /// Returns whether a node that requests pre-votes was removed and has been admitted again.
    ///
    /// Such a node still has the configuration in which it was a voter, so it never asks to join.
    /// If the leader didn't treat the pre-vote request as a join request, the node would go on
    /// requesting votes without an answer.
    pub(super) fn is_readmitted(&self, from: &VoterId) -> bool {
        let learners = self.learners();
        let placeholder = |learner: &VoterId| learner.vm == from.vm && learner.is_placeholder();
        self.is_leader() && learners.iter().any(placeholder)
    }

    /// Sets the control VMs to which an empty node sends join requests.
    pub fn set_peers(&mut self, peers: Vec<VmName>) {
        self.settings.peers = peers;
    }

    /// Returns whether any incarnation of a VM is a voter or learner.
    pub fn is_member(&self, vm: &VmName) -> bool {
        let mut members = self.voters().iter().chain(self.learners());
        members.any(|member| member.vm == *vm)
    }

    /// Handles a join request: makes the sender a learner if its VM is a member under an earlier
    /// incarnation, unless that incarnation is a voter and still answers.
    pub(super) fn handle_join(&mut self, from: &VoterId) {
        if self.notify_if_outdated(from) {
            return;
        }
        let Ok(mut configuration) = self.changeable_configuration() else {
            return;
        };
        let known = configuration.latest_incarnation(&from.vm);
        let newer = known.is_some_and(|known| known < from.incarnation);
        if !newer || from.vm == self.id.vm {
            return;
        }
        // While the old incarnation still answers, the VM can't have lost its disk: two VMs have
        // the same name by mistake and would replace each other endlessly.
        let old = configuration.find_voter(&from.vm);
        if old.is_some_and(|old| self.answered_within(old, self.election_timeout_ticks())) {
            return;
        }
        configuration
            .learners
            .retain(|learner| learner.vm != from.vm);
        configuration.learners.push(from.clone());
        if !self.enforces(AgreementGuard::CatchUpFirst) {
            replace_voter(&mut configuration, from);
        }
        self.append_configuration(configuration);
    }

    /// Notifies a node whose VM has a later incarnation in the committed configuration; returns
    /// whether it did.
    ///
    /// Otherwise a node with an old disk that reappeared would request votes forever, and its
    /// operator would not learn why the VM never participates.
    pub(super) fn notify_if_outdated(&mut self, from: &VoterId) -> bool {
        let configuration = self.log.configuration_at(self.commit);
        let Some(configuration) = configuration else {
            return false;
        };
        if configuration.members().any(|member| member == from) {
            return false;
        }
        match configuration.latest_incarnation(&from.vm) {
            Some(latest) if latest >= from.incarnation => {
                self.send_to(from, MessageBody::Outdated(OutdatedNotice { latest }));
                true
            }
            Some(_) | None => false,
        }
    }

    /// Handles the notice that the log has a later incarnation of this VM.
    pub(super) fn handle_outdated_notice(&mut self, notice: OutdatedNotice) {
        if notice.latest < self.id.incarnation {
            return;
        }
        if !self.log.is_empty() {
            self.outdated_by = Some(notice.latest);
            return;
        }
        // The clock from which the incarnation was taken went back. This node has stored no entries
        // and cast no votes, so it may change to a later incarnation.
        self.id.incarnation = notice.latest.next();
        let write = DiskWrite::Identity(self.id.clone());
        self.output.writes.push(write);
    }

    /// Appends the next configuration change of a repair, if one is due.
    pub(super) fn advance_repair(&mut self) {
        if self.learners().is_empty() {
            return;
        }
        let Ok(configuration) = self.changeable_configuration() else {
            return;
        };
        let mut learners = configuration.learners.iter();
        let next = learners.find_map(|learner| self.plan_repair_step(&configuration, learner));
        if let Some(next) = next {
            self.append_configuration(next);
        }
    }

    /// Returns the next configuration of a learner's repair, if the step is due: the learner
    /// dropped, the old incarnation removed, or the learner made a voter.
    fn plan_repair_step(
        &self,
        configuration: &VoterConfiguration,
        learner: &VoterId,
    ) -> Option<VoterConfiguration> {
        if learner.is_placeholder() {
            return None;
        }
        let old = configuration.find_voter(&learner.vm);
        let mut next = configuration.clone();
        if !self.answered_within(learner, self.election_timeout_ticks()) {
            let dropped = old.is_some() && self.is_silent(learner);
            next.learners.retain(|other| other != learner);
            return dropped.then_some(next);
        }
        if self.matched_by(learner) < self.commit {
            return None;
        }
        match old {
            Some(old) if self.answered_within(old, self.election_timeout_ticks()) => return None,
            Some(_) if !self.enforces(AgreementGuard::SingleVoterChange) => {
                replace_voter(&mut next, learner);
            }
            Some(old) => next.voters.retain(|voter| voter != old),
            None => add_voter(&mut next, learner),
        }
        Some(next)
    }

    /// Returns the latest configuration, if this node may change it now.
    ///
    /// A change before the previous one is committed could lead to disjoint majorities. So could a
    /// new leader's change before it has committed an entry of its term: an earlier leader's change
    /// that it doesn't know of may be committed meanwhile.
    fn changeable_configuration(&self) -> Result<VoterConfiguration, MembershipError> {
        if !self.is_leader() {
            return Err(MembershipError::NotLeader(self.not_leader_error()));
        }
        if self.is_transferring_leadership() {
            return Err(MembershipError::ChangePending);
        }
        let settled = self.log.configuration_index() <= self.commit && self.has_committed_in_term();
        if !settled && self.enforces(AgreementGuard::OneChangeAtATime) {
            return Err(MembershipError::ChangePending);
        }
        let configuration = self.log.configuration().cloned();
        configuration.ok_or(MembershipError::NotMember)
    }

    fn append_configuration(&mut self, configuration: VoterConfiguration) -> EntryMark {
        let payload = EntryPayload::Configuration(Box::new(configuration.clone()));
        let mark = self.append_as_leader(payload);
        if let RoleState::Leader(state) = &mut self.role {
            state.update_peers(&self.id, &configuration, mark.index, self.tick);
        }
        mark
    }

    /// Returns whether the latest configuration is committed and, on the leader, whether `voter` is
    /// known to have stored it.
    fn is_settled(&self, voter: &VoterId) -> bool {
        let change = self.log.configuration_index();
        let stored = *voter == self.id || self.matched_by(voter) >= change;
        self.commit >= change && (stored || !self.is_leader())
    }

    /// Returns the last index that a member is known to have stored; zero if unknown.
    pub(super) fn matched_by(&self, id: &VoterId) -> LogIndex {
        let state = self.leader_state();
        let progress = state.and_then(|state| state.peers.get(id));
        progress.map(|peer| peer.matched).unwrap_or_default()
    }

    /// Returns whether a member has answered a heartbeat round that began within the last `ticks`
    /// ticks.
    pub(super) fn answered_within(&self, id: &VoterId, ticks: u64) -> bool {
        let state = self.leader_state();
        let progress = state.and_then(|state| state.peers.get(id));
        progress.is_some_and(|peer| peer.round.tick + ticks >= self.tick)
    }

    /// Returns whether a member has answered nothing for so long that a restart doesn't explain it.
    ///
    /// Only the leader's answer is reliable, and silence counts from its election. The leader itself
    /// is never silent.
    pub fn is_silent(&self, id: &VoterId) -> bool {
        let limit = SILENCE_FACTOR * self.election_timeout_ticks();
        *id != self.id && !self.answered_within(id, limit)
    }

    /// Returns the minimum election timeout, in ticks.
    pub(super) fn election_timeout_ticks(&self) -> u64 {
        u64::from(self.settings.election_ticks)
    }
}

fn add_voter(configuration: &mut VoterConfiguration, learner: &VoterId) {
    configuration.learners.retain(|other| other != learner);
    configuration.voters.push(learner.clone());
    configuration.voters.sort();
    configuration.admitted = Some(learner.clone());
}

fn replace_voter(configuration: &mut VoterConfiguration, learner: &VoterId) {
    configuration.voters.retain(|voter| voter.vm != learner.vm);
    add_voter(configuration, learner);
}

fn learner_stage(configuration: &VoterConfiguration, learner: &VoterId) -> RepairStage {
    if learner.is_placeholder() {
        RepairStage::Expected
    } else if configuration.find_voter(&learner.vm).is_some() {
        RepairStage::CatchingUp
    } else {
        RepairStage::OldRemoved
    }
}
