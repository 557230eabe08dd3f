//! Failover of a group's primary, run by the group's leaseholder.
//!
//! A primary may die or be partitioned, possibly together with its leaseholder or with the instance
//! that is being promoted, and no external service orders a promotion. The state machine is defined
//! by the chart `charts/promotion.yaml`; this module implements its guards and actions.
//!
//! No acknowledged write is lost: a majority of the group's instances is fenced at the new term
//! before one of them is promoted, and an acknowledged write is held by a majority, so at least one
//! fenced instance holds it. A term has at most one primary: the promotion is sent to only one
//! instance in a term, and if the reply is lost, the next attempt uses the next term.

use crate::ClockTime;
use crate::candidate::FencedInstances;
use crate::followers::FollowerTable;
use crate::groups::has_had_primary;
use crate::promotion_chart::PromotionEvent;
use crate::promotion_chart::PromotionGuard;
use crate::promotion_chart::PromotionState;
use crate::promotion_chart::PromotionStep;
use crate::promotion_chart::promotion_chart;
use crate::promotion_message::AgentOutcome;
use crate::promotion_message::FollowOrder;
use crate::promotion_message::PromotionAction;
use crate::promotion_message::PromotionActions;
use crate::promotion_message::PromotionInput;
use crate::promotion_message::read_record_reply;
use crate::promotion_message::read_term_reply;
use ragwort_types::CommandReply;
use ragwort_types::FenceReply;
use ragwort_types::GroupRecord;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::InstanceRole;
use ragwort_types::InstanceStatus;
use ragwort_types::LogPosition;
use ragwort_types::PlacementEpoch;
use ragwort_types::PrimaryRecord;
use ragwort_types::TermStart;
use std::time::Duration;

/// Delay before the first retry of an unanswered request.
///
/// A running agent answers within a few milliseconds, so 50 ms show that it didn't, and are short
/// compared with the second that a promotion may take.
pub const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum delay between retries. It bounds the wait of a group whose majority becomes reachable
/// again.
pub const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// The failover state machine of one group, at its leaseholder.
#[derive(Clone, Debug)]
pub struct GroupPromotion {
    state: PromotionState,
    record: GroupRecord,
    epoch: PlacementEpoch,
    /// The term that has begun or is being proposed.
    term: GroupTerm,
    fenced: FencedInstances,
    candidate: Option<InstanceName>,
    /// The previous primary, which was suspected.
    former_primary: Option<InstanceName>,
    /// The last term in which a promotion was sent, and its recipient.
    last_promote: Option<(GroupTerm, InstanceName)>,
    start: LogPosition,
    followers: FollowerTable,
    retry_at: Option<ClockTime>,
    retry_delay: Duration,
}

impl GroupPromotion {
    /// Resumes from the catalog after this process took over the group or renewed a lapsed lease.
    ///
    /// A term without a recorded primary isn't continued, even if this VM began it: which instance
    /// the former process promoted is unknown, and a second promotion would give the term two
    /// primaries. The next term is proposed instead.
    pub fn resume(record: &GroupRecord, now: ClockTime) -> (Self, PromotionActions) {
        let state = match (&record.primary, has_had_primary(record)) {
            (Some(_), _) => PromotionState::Serving,
            (None, false) if record.term == GroupTerm(0) => PromotionState::Forming,
            (None, _) => PromotionState::Beginning,
        };
        let mut promotion = Self {
            state,
            record: record.clone(),
            epoch: record.placement.epoch,
            term: record.term,
            fenced: FencedInstances::default(),
            candidate: None,
            former_primary: record.primary.clone(),
            last_promote: None,
            start: record.start,
            followers: FollowerTable::default(),
            retry_at: None,
            retry_delay: MIN_RETRY_DELAY,
        };
        let mut actions = PromotionActions::new();
        match state {
            PromotionState::Serving => promotion.serve(&mut actions),
            PromotionState::Beginning => promotion.propose_term(now, &mut actions),
            _ => {}
        }
        (promotion, actions)
    }

    /// Returns the state.
    pub fn state(&self) -> PromotionState {
        self.state
    }

    /// Returns the group's record as this machine knows it.
    ///
    /// It may be newer than the copy of the catalog, because a reply from control may arrive before
    /// the delta.
    pub fn record(&self) -> &GroupRecord {
        &self.record
    }

    /// Returns the term that is being proposed or served.
    pub fn term(&self) -> GroupTerm {
        self.term
    }

    /// Returns when [`PromotionInput::Tick`] is due.
    pub fn retry_at(&self) -> Option<ClockTime> {
        self.retry_at
    }

    /// Processes an input and returns the resulting actions.
    pub fn handle(&mut self, now: ClockTime, input: PromotionInput) -> PromotionActions {
        let mut actions = PromotionActions::new();
        match input {
            PromotionInput::Suspected(term) if term == self.term => {
                self.step(now, PromotionEvent::Suspected, None, &mut actions);
            }
            PromotionInput::Suspected(_) => {}
            PromotionInput::FormationReady => {
                self.step(now, PromotionEvent::FormationReady, None, &mut actions);
            }
            PromotionInput::TermAnswered(term, reply) if term == self.term => {
                self.handle_term_reply(now, &reply, &mut actions);
            }
            PromotionInput::RecordAnswered(term, reply) if term == self.term => {
                self.step(now, read_record_reply(&reply), None, &mut actions);
            }
            PromotionInput::FenceAnswered(instance, term, outcome) if term == self.term => {
                self.handle_fence_reply(now, &instance, outcome, &mut actions);
            }
            PromotionInput::PromoteAnswered(instance, term, outcome) if term == self.term => {
                self.handle_promote_reply(now, &instance, outcome, &mut actions);
            }
            PromotionInput::FollowAnswered(instance, term, outcome) if term == self.term => {
                self.handle_follow_reply(now, &instance, outcome, &mut actions);
            }
            PromotionInput::TermAnswered(..)
            | PromotionInput::RecordAnswered(..)
            | PromotionInput::FenceAnswered(..)
            | PromotionInput::PromoteAnswered(..)
            | PromotionInput::FollowAnswered(..) => {}
            PromotionInput::StatusReported(instance, status) => {
                self.handle_status(now, &instance, &status, &mut actions);
            }
            PromotionInput::RecordChanged(record) => self.handle_record(now, &record, &mut actions),
            PromotionInput::LeaseLost => {
                self.step(now, PromotionEvent::LeaseLost, None, &mut actions);
            }
            PromotionInput::Tick => self.handle_tick(now, &mut actions),
        }
        actions
    }

    fn step(
        &mut self,
        now: ClockTime,
        event: PromotionEvent,
        instance: Option<&InstanceName>,
        actions: &mut PromotionActions,
    ) {
        let holds = |guard| match guard {
            PromotionGuard::EnoughFenced => self.is_enough_fenced(),
            PromotionGuard::PrimaryRefuses => {
                instance.is_some() && self.record.primary.as_ref() == instance
            }
        };
        let step = promotion_chart().step(self.state, event, holds);
        if step.target != self.state {
            self.retry_at = None;
            self.retry_delay = MIN_RETRY_DELAY;
        }
        self.state = step.target;
        for action in step.actions {
            self.perform(now, action, instance, actions);
        }
    }

    fn perform(
        &mut self,
        now: ClockTime,
        step: PromotionStep,
        instance: Option<&InstanceName>,
        actions: &mut PromotionActions,
    ) {
        match step {
            PromotionStep::ProposeTerm => self.propose_term(now, actions),
            PromotionStep::FenceAll => {
                self.fenced.clear();
                self.fence_rest(now, actions);
            }
            PromotionStep::FenceRest => self.fence_rest(now, actions),
            PromotionStep::PromoteCandidate => self.promote_candidate(actions),
            PromotionStep::DropCandidate => self.drop_candidate(),
            PromotionStep::ProposePrimary => self.propose_primary(now, actions),
            PromotionStep::Serve => self.serve(actions),
            PromotionStep::Suspend => actions.push(PromotionAction::Suspend),
            PromotionStep::FollowOthers => self.follow_others(now, actions),
            PromotionStep::FollowInstance => {
                if let Some(instance) = instance {
                    self.follow(now, instance, actions);
                }
            }
            PromotionStep::ScheduleRetry => self.schedule_retry(now),
            PromotionStep::Stop => {
                self.retry_at = None;
                actions.push(PromotionAction::Stop);
            }
        }
    }

    fn handle_term_reply(
        &mut self,
        now: ClockTime,
        reply: &CommandReply,
        actions: &mut PromotionActions,
    ) {
        let event = read_term_reply(reply);
        let awaited = self.state == PromotionState::Beginning;
        // The reply may arrive before the delta that contains the term.
        if awaited && event == PromotionEvent::TermCommitted {
            self.record.term = self.term;
            self.record.term_epoch = self.epoch;
            self.record.primary = None;
        }
        self.step(now, event, None, actions);
    }

    fn propose_term(&mut self, now: ClockTime, actions: &mut PromotionActions) {
        self.term = self.record.term.next();
        self.former_primary = self.record.primary.clone().or(self.former_primary.take());
        self.candidate = None;
        self.fenced.clear();
        self.schedule_retry(now);
        actions.push(PromotionAction::ProposeTerm(TermStart {
            group: self.record.placement.group.clone(),
            epoch: self.epoch,
            term: self.term,
        }));
    }

    fn fence_rest(&mut self, now: ClockTime, actions: &mut PromotionActions) {
        self.schedule_retry(now);
        let rest = self.record.instances.iter();
        let rest = rest.filter(|name| !self.fenced.contains(name));
        actions.extend(rest.map(|name| PromotionAction::Fence(name.clone(), self.term)));
    }

    fn is_enough_fenced(&self) -> bool {
        // Before the first primary no write was acknowledged by a majority, and the instances may
        // hold data that is older than ragwortgate. The highest position of all instances is
        // needed.
        match has_had_primary(&self.record) {
            true => self.fenced.is_majority(&self.record.instances),
            false => self.fenced.is_all(&self.record.instances),
        }
    }

    fn promote_candidate(&mut self, actions: &mut PromotionActions) {
        let former_primary = self.former_primary.as_ref();
        let Some(candidate) = self.fenced.choose(&self.record.instances, former_primary) else {
            return;
        };
        let candidate = candidate.clone();
        // After two promotions in one term, two instances would assign the same positions, and a
        // majority could be counted from both.
        let sent_elsewhere = self
            .last_promote
            .as_ref()
            .is_some_and(|(term, name)| *term == self.term && *name != candidate);
        invariant!(!sent_elsewhere, "two promotions in term {}", self.term);
        self.last_promote = Some((self.term, candidate.clone()));
        actions.push(PromotionAction::Promote(candidate.clone(), self.term));
        self.candidate = Some(candidate);
    }

    fn drop_candidate(&mut self) {
        if let Some(candidate) = self.candidate.take() {
            self.fenced.remove(&candidate);
        }
        self.last_promote = None;
    }

    fn propose_primary(&mut self, now: ClockTime, actions: &mut PromotionActions) {
        let Some(primary) = self.candidate.clone() else {
            return;
        };
        self.schedule_retry(now);
        actions.push(PromotionAction::ProposePrimary(PrimaryRecord {
            group: self.record.placement.group.clone(),
            epoch: self.epoch,
            term: self.term,
            primary,
            start: self.start,
        }));
    }

    fn serve(&mut self, actions: &mut PromotionActions) {
        let candidate = self.candidate.take();
        let Some(primary) = self.record.primary.clone().or(candidate) else {
            return;
        };
        self.record.primary = Some(primary.clone());
        self.record.term = self.term;
        self.record.start = self.start;
        self.followers.clear();
        actions.push(PromotionAction::Serve(primary, self.term));
    }

    fn follow_others(&mut self, now: ClockTime, actions: &mut PromotionActions) {
        for name in self.record.instances.clone() {
            self.follow(now, &name, actions);
        }
    }

    fn follow(&mut self, now: ClockTime, instance: &InstanceName, actions: &mut PromotionActions) {
        let Some(primary) = self.record.primary.clone() else {
            return;
        };
        if primary == *instance || !self.followers.try_ask(now, instance) {
            return;
        }
        actions.push(PromotionAction::Follow(FollowOrder {
            instance: instance.clone(),
            term: self.term,
            start: self.start,
            primary,
        }));
    }

    fn schedule_retry(&mut self, now: ClockTime) {
        self.retry_at = Some(now + self.retry_delay);
        self.retry_delay = MAX_RETRY_DELAY.min(self.retry_delay * 2);
    }

    fn handle_fence_reply(
        &mut self,
        now: ClockTime,
        instance: &InstanceName,
        outcome: AgentOutcome,
        actions: &mut PromotionActions,
    ) {
        let event = match outcome {
            AgentOutcome::Answered(FenceReply::Fenced(position)) => {
                let in_set = self.record.instances.contains(instance);
                // A late reply after the promotion must not change the set of fenced instances.
                if in_set && self.state == PromotionState::Fencing {
                    self.fenced.insert(instance.clone(), position);
                }
                PromotionEvent::Fenced
            }
            AgentOutcome::Answered(FenceReply::Refused(term)) => {
                return self.handle_later_term(now, instance, term, actions);
            }
            // A retry is already scheduled; an earlier one would only load a dead agent.
            AgentOutcome::NotSent | AgentOutcome::Unknown if self.retry_at.is_some() => return,
            AgentOutcome::NotSent | AgentOutcome::Unknown => PromotionEvent::FenceFailed,
        };
        self.step(now, event, Some(instance), actions);
    }

    fn handle_promote_reply(
        &mut self,
        now: ClockTime,
        instance: &InstanceName,
        outcome: AgentOutcome,
        actions: &mut PromotionActions,
    ) {
        if self.candidate.as_ref() != Some(instance) {
            return;
        }
        let event = match outcome {
            AgentOutcome::Answered(FenceReply::Fenced(_)) => {
                // Up to its position at the fence, the instance's log belongs to earlier terms.
                let fenced = self.fenced.position(instance).unwrap_or_default();
                self.start = LogPosition::new(self.term, fenced.index);
                PromotionEvent::Promoted
            }
            AgentOutcome::Answered(FenceReply::Refused(term)) => {
                return self.handle_later_term(now, instance, term, actions);
            }
            AgentOutcome::NotSent => PromotionEvent::PromoteNotSent,
            AgentOutcome::Unknown => PromotionEvent::PromoteUnknown,
        };
        self.step(now, event, Some(instance), actions);
    }

    fn handle_follow_reply(
        &mut self,
        now: ClockTime,
        instance: &InstanceName,
        outcome: AgentOutcome,
        actions: &mut PromotionActions,
    ) {
        match outcome {
            AgentOutcome::Answered(FenceReply::Fenced(_)) => {
                self.followers.confirm(instance);
            }
            AgentOutcome::Answered(FenceReply::Refused(term)) => {
                self.handle_later_term(now, instance, term, actions);
            }
            AgentOutcome::NotSent | AgentOutcome::Unknown => {}
        }
    }

    fn handle_status(
        &mut self,
        now: ClockTime,
        instance: &InstanceName,
        status: &InstanceStatus,
        actions: &mut PromotionActions,
    ) {
        if status.fenced_term > self.term {
            return self.handle_later_term(now, instance, status.fenced_term, actions);
        }
        let is_primary = self.record.primary.as_ref() == Some(instance);
        if is_primary {
            return self.handle_primary_status(now, status, actions);
        }
        let followed = self.followers.is_confirmed(now, instance);
        let claims_primary = status.role == InstanceRole::Primary;
        if !followed || claims_primary || status.fenced_term < self.term {
            self.step(now, PromotionEvent::InstanceBehind, Some(instance), actions);
        }
    }

    /// Suspects a primary that answers but is no longer a primary: it has restarted.
    ///
    /// Its position must belong to the present term, because a delayed status from before its
    /// promotion shows a replica too.
    fn handle_primary_status(
        &mut self,
        now: ClockTime,
        status: &InstanceStatus,
        actions: &mut PromotionActions,
    ) {
        let demoted = status.role == InstanceRole::Replica;
        if demoted && status.position.term == self.term {
            self.step(now, PromotionEvent::Suspected, None, actions);
        }
    }

    fn handle_later_term(
        &mut self,
        now: ClockTime,
        instance: &InstanceName,
        term: GroupTerm,
        actions: &mut PromotionActions,
    ) {
        if term > self.term {
            self.step(now, PromotionEvent::LaterTermSeen, Some(instance), actions);
        }
    }

    fn handle_record(
        &mut self,
        now: ClockTime,
        record: &GroupRecord,
        actions: &mut PromotionActions,
    ) {
        let epoch_raised = record.placement.epoch > self.epoch;
        let own_term = record.term_epoch == self.epoch && record.term == self.term;
        self.epoch = self.epoch.max(record.placement.epoch);
        // The reply to a command may arrive before an older delta.
        let primary_known = self.record.primary.is_some() && record.primary.is_none();
        let is_stale =
            record.term < self.record.term || (record.term == self.record.term && primary_known);
        match is_stale {
            true => self.record.instances = record.instances.clone(),
            false => self.record = record.clone(),
        }
        let recorded = own_term && record.primary.is_some() && record.primary == self.candidate;
        if recorded {
            self.step(now, PromotionEvent::PrimaryRecorded, None, actions);
        } else if epoch_raised {
            self.step(now, PromotionEvent::EpochChanged, None, actions);
        } else if own_term && record.primary.is_none() {
            self.step(now, PromotionEvent::TermCommitted, None, actions);
        }
    }

    fn handle_tick(&mut self, now: ClockTime, actions: &mut PromotionActions) {
        if self.retry_at.is_some_and(|due| now >= due) {
            self.retry_at = None;
            self.step(now, PromotionEvent::RetryDue, None, actions);
        }
    }
}
