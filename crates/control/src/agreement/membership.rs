//! Lost disks and changes of voters.
//!
//! A VM whose disk was lost comes back empty and under a new incarnation. It asks to be taken in;
//! the leader makes it a learner, catches it up, removes the old incarnation and then makes the
//! new one a voter. Each step is one entry of the log, and the steps that remain follow from the
//! latest configuration alone, so that any later leader goes on with them.
//!
//! *Two steps.* Were the old incarnation replaced by the new one in one entry, a majority of the
//! voters before and one of those after needn't share a voter. If the old disk turns up again (it
//! was not mounted at start, say), the two could elect a leader each, and an accepted change would
//! be lost. A change of one voter at a time leaves no two majorities apart.
//!
//! *Removing before adding.* The old incarnation can't vote, so while both are voters a majority
//! needs more of the living than before: three of three instead of two of two in a log of three.
//! Removing it first never asks for more votes than the loss itself does.
//!
//! *Not before it has caught up.* A new voter without the log counts towards majorities but can't
//! help to elect a leader, so a second loss right after the repair would leave a log of three
//! without a leader, although two voters are up. So the repair is done when the change that adds
//! the new voter is committed and that voter holds it.

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

/// The incarnation of a VM that was admitted but hasn't asked to join yet.
const EXPECTED_INCARNATION: VmIncarnation = VmIncarnation(0);

/// The election times after which a silent learner is dropped, if its VM still has a voter.
///
/// Long enough for a restart, short enough that a VM whose old disk came back isn't shown as under
/// repair for good.
const LEARNER_PATIENCE: u64 = 10;

/// Why a change of members is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipError {
    /// Only the leader changes members.
    NotLeader(NotLeader),
    /// An earlier change isn't committed yet.
    ChangePending,
    /// The VM is a member already.
    AlreadyMember,
    /// The VM isn't a member.
    NotMember,
    /// The leader doesn't remove itself; another must lead first.
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

/// A VM that is on its way to become a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingRepair {
    /// The incarnation that is to be a voter; incarnation 0 of a VM that hasn't asked to join yet.
    pub joining: VoterId,
    /// The incarnation that it replaces, while that is still a voter.
    pub replaces: Option<VoterId>,
    /// How far the repair has come.
    pub stage: RepairStage,
}

/// How far a repair has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairStage {
    /// The VM is expected to ask to join.
    Expected,
    /// The learner is being caught up, or waits for its turn.
    CatchingUp,
    /// The old incarnation has been removed, and the learner isn't a voter yet.
    OldRemoved,
    /// The new voter isn't known to hold the change that made it one, or that isn't committed.
    Settling,
}

impl VoterId {
    /// Says whether this stands for a VM that was admitted but hasn't asked to join yet.
    pub(super) fn is_expected(&self) -> bool {
        self.incarnation == EXPECTED_INCARNATION
    }
}

impl AgreementNode {
    /// Lists the VMs that are on their way to become voters.
    ///
    /// While the list isn't empty, the log may not survive the loss of another VM. The leader's
    /// answer is the one to go by: followers don't know who holds what.
    pub fn repairs_pending(&self) -> Vec<PendingRepair> {
        let Some(configuration) = self.log.configuration() else {
            return Vec::new();
        };
        let learners = configuration.learners.iter().map(|learner| PendingRepair {
            joining: learner.clone(),
            replaces: configuration.find_voter(&learner.vm).cloned(),
            stage: judge_learner(configuration, learner),
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

    /// Returns the incarnation by which this node was replaced, if it was told so.
    ///
    /// Such a node can't take part any more. Its disk has to be emptied, after which it comes back
    /// as a new incarnation.
    pub fn outdated_by(&self) -> Option<VmIncarnation> {
        self.outdated_by
    }

    /// Lets a VM that isn't a member join; it becomes a voter once it has asked and caught up.
    ///
    /// # Errors
    ///
    /// Returns [`MembershipError`] when this node can't make the change now.
    pub fn admit_vm(&mut self, vm: VmName) -> Result<EntryMark, MembershipError> {
        let mut configuration = self.changeable_configuration()?;
        if configuration.members().any(|member| member.vm == vm) {
            return Err(MembershipError::AlreadyMember);
        }
        let learner = VoterId::new(vm, EXPECTED_INCARNATION);
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

    /// Asks the control VMs to take this node in.
    pub(super) fn ask_to_join(&mut self) {
        self.become_follower(None);
        for peer in self.settings.peers.clone() {
            if peer != self.id.vm {
                self.send(MessageRecipient::Vm(peer), MessageBody::Join);
            }
        }
    }

    /// Says whether a node that asks for votes is one that was removed and is to join again.
    ///
    /// It still holds the configuration in which it was a voter, so it doesn't ask to join: it would
    /// ask for votes for good, and nobody would answer.
    pub(super) fn is_expected_back(&self, from: &VoterId) -> bool {
        let learners = self.learners();
        let expected = |learner: &VoterId| learner.vm == from.vm && learner.is_expected();
        self.is_leader() && learners.iter().any(expected)
    }

    /// Sets which control VMs an empty node asks to be taken in.
    pub fn set_peers(&mut self, peers: Vec<VmName>) {
        self.settings.peers = peers;
    }

    /// Says whether a VM is among the voters or learners, whatever its incarnation.
    pub fn is_member(&self, vm: &VmName) -> bool {
        let mut members = self.voters().iter().chain(self.learners());
        members.any(|member| member.vm == *vm)
    }

    /// Takes an empty node's request to join.
    pub(super) fn take_join(&mut self, from: &VoterId) {
        if self.tell_if_outdated(from) {
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
        // While the old incarnation still answers, the VM can't have lost its disk: two VMs share
        // a name by mistake, and replacing one by the other would go on for ever.
        let old = configuration.find_voter(&from.vm);
        if old.is_some_and(|old| self.heard_within(old, self.election_time())) {
            return;
        }
        configuration
            .learners
            .retain(|learner| learner.vm != from.vm);
        configuration.learners.push(from.clone());
        if !self.holds(AgreementGuard::CatchUpFirst) {
            replace_voter(&mut configuration, from);
        }
        self.append_configuration(configuration);
    }

    /// Tells a node that the committed log knows a later incarnation of its VM.
    ///
    /// An old disk that turns up again would otherwise ask for votes for ever, and its operator
    /// would not learn why the VM never takes part.
    pub(super) fn tell_if_outdated(&mut self, from: &VoterId) -> bool {
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

    /// Learns that the log knows a later incarnation of this VM.
    pub(super) fn take_outdated_notice(&mut self, notice: OutdatedNotice) {
        if notice.latest < self.id.incarnation {
            return;
        }
        if !self.log.is_empty() {
            self.outdated_by = Some(notice.latest);
            return;
        }
        // The clock from which the incarnation was taken went back. This node holds nothing and
        // has promised nothing, so it may take a later one.
        self.id.incarnation = notice.latest.next();
        let write = DiskWrite::Identity(self.id.clone());
        self.output.writes.push(write);
    }

    /// Makes the next step of a repair, if one is due.
    pub(super) fn drive_membership(&mut self) {
        if self.learners().is_empty() {
            return;
        }
        let Ok(configuration) = self.changeable_configuration() else {
            return;
        };
        let mut learners = configuration.learners.iter();
        let next = learners.find_map(|learner| self.plan_step(&configuration, learner));
        if let Some(next) = next {
            self.append_configuration(next);
        }
    }

    /// Returns the configuration that brings a learner one step further, if it is due.
    fn plan_step(
        &self,
        configuration: &VoterConfiguration,
        learner: &VoterId,
    ) -> Option<VoterConfiguration> {
        if learner.is_expected() {
            return None;
        }
        let old = configuration.find_voter(&learner.vm);
        let mut next = configuration.clone();
        if !self.heard_within(learner, self.election_time()) {
            let patience = LEARNER_PATIENCE * self.election_time();
            let dropped = old.is_some() && !self.heard_within(learner, patience);
            next.learners.retain(|other| other != learner);
            return dropped.then_some(next);
        }
        if self.matched_by(learner) < self.commit {
            return None;
        }
        match old {
            Some(old) if self.heard_within(old, self.election_time()) => return None,
            Some(_) if !self.holds(AgreementGuard::SingleVoterChange) => {
                replace_voter(&mut next, learner);
            }
            Some(old) => next.voters.retain(|voter| voter != old),
            None => add_voter(&mut next, learner),
        }
        Some(next)
    }

    /// Returns the latest configuration, if this node may change it now.
    ///
    /// A change before the former is committed could leave two majorities apart. The same holds
    /// for a new leader's change before it has committed an entry of its term: an earlier leader's
    /// change that it doesn't know of may be committed meanwhile.
    fn changeable_configuration(&self) -> Result<VoterConfiguration, MembershipError> {
        if !self.is_leader() {
            return Err(MembershipError::NotLeader(self.not_leader()));
        }
        let settled = self.log.configuration_index() <= self.commit && self.has_own_commit();
        if !settled && self.holds(AgreementGuard::OneChangeAtATime) {
            return Err(MembershipError::ChangePending);
        }
        let configuration = self.log.configuration().cloned();
        configuration.ok_or(MembershipError::NotMember)
    }

    fn append_configuration(&mut self, configuration: VoterConfiguration) -> EntryMark {
        let payload = EntryPayload::Configuration(Box::new(configuration.clone()));
        let mark = self.append_own(payload);
        if let RoleState::Leader(state) = &mut self.role {
            state.follow_configuration(&self.id, &configuration, mark.index, self.tick);
        }
        mark
    }

    fn is_settled(&self, voter: &VoterId) -> bool {
        let change = self.log.configuration_index();
        let held = *voter == self.id || self.matched_by(voter) >= change;
        self.commit >= change && (held || !self.is_leader())
    }

    fn matched_by(&self, id: &VoterId) -> LogIndex {
        let state = self.view_leader_state();
        let progress = state.and_then(|state| state.peers.get(id));
        progress.map(|peer| peer.matched).unwrap_or_default()
    }

    fn heard_within(&self, id: &VoterId, ticks: u64) -> bool {
        let state = self.view_leader_state();
        let progress = state.and_then(|state| state.peers.get(id));
        progress.is_some_and(|peer| peer.round.tick + ticks >= self.tick)
    }

    fn election_time(&self) -> u64 {
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

fn judge_learner(configuration: &VoterConfiguration, learner: &VoterId) -> RepairStage {
    if learner.is_expected() {
        RepairStage::Expected
    } else if configuration.find_voter(&learner.vm).is_some() {
        RepairStage::CatchingUp
    } else {
        RepairStage::OldRemoved
    }
}
