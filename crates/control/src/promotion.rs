//! The replacement of a group's primary, by its leaseholder.
//!
//! Load: a primary dies or is cut off, possibly together with the leaseholder or with the instance
//! that is being promoted. Nobody outside orders a promotion. The chart `charts/promotion.yaml`
//! holds the course of it; this module gives its names their meaning.
//!
//! What keeps acknowledged writes: a majority of the group's instances is fenced at the new term
//! before one of them is promoted, and an acknowledged write is held by a majority, so one of the
//! fenced instances holds it. What keeps one primary per term: the promotion is sent to one
//! instance in a term only. If its answer is lost, the next attempt is made in the next term.

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

/// The first wait before an unanswered request is sent again.
///
/// An agent that is up answers within a few milliseconds, so fifty are enough to tell that it
/// didn't, and small beside the second that a promotion may take.
pub const FIRST_RETRY: Duration = Duration::from_millis(50);

/// The longest wait between retries, so that a group whose majority returns is served soon after.
pub const LONGEST_RETRY: Duration = Duration::from_millis(400);

/// The promotion machine of one group, at its leaseholder.
#[derive(Clone, Debug)]
pub struct GroupPromotion {
    state: PromotionState,
    record: GroupRecord,
    epoch: PlacementEpoch,
    /// The term that is being begun, or that has begun.
    term: GroupTerm,
    fenced: FencedInstances,
    candidate: Option<InstanceName>,
    /// The last primary, which was suspected.
    former: Option<InstanceName>,
    /// The last term in which a promotion was sent, and to whom.
    sent_promotion: Option<(GroupTerm, InstanceName)>,
    start: LogPosition,
    followers: FollowerTable,
    retry_at: Option<ClockTime>,
    retry_wait: Duration,
}

impl GroupPromotion {
    /// Resumes from the catalog, when this process takes over the group or renews a lost lease.
    ///
    /// A term that was begun without a primary isn't continued, even if this VM began it: whom the
    /// former process promoted in it isn't known, and a second promotion would give the term two
    /// primaries. The next term is begun.
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
            former: record.primary.clone(),
            sent_promotion: None,
            start: record.start,
            followers: FollowerTable::default(),
            retry_at: None,
            retry_wait: FIRST_RETRY,
        };
        let mut actions = PromotionActions::new();
        match state {
            PromotionState::Serving => promotion.serve(&mut actions),
            PromotionState::Beginning => promotion.propose_term(now, &mut actions),
            _ => {}
        }
        (promotion, actions)
    }

    /// Returns where the promotion stands.
    pub fn state(&self) -> PromotionState {
        self.state
    }

    /// Returns the group's record as this machine knows it, which may be newer than the copy of the
    /// catalog: an answer from control may arrive before the delta.
    pub fn record(&self) -> &GroupRecord {
        &self.record
    }

    /// Returns the term that is being begun or served.
    pub fn term(&self) -> GroupTerm {
        self.term
    }

    /// Returns when the caller should pass [`PromotionInput::Tick`] next.
    pub fn retry_at(&self) -> Option<ClockTime> {
        self.retry_at
    }

    /// Takes an input and returns what to do.
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
                self.take_term(now, &reply, &mut actions);
            }
            PromotionInput::RecordAnswered(term, reply) if term == self.term => {
                self.step(now, read_record_reply(&reply), None, &mut actions);
            }
            PromotionInput::FenceAnswered(instance, term, outcome) if term == self.term => {
                self.take_fence(now, &instance, outcome, &mut actions);
            }
            PromotionInput::PromoteAnswered(instance, term, outcome) if term == self.term => {
                self.take_promotion(now, &instance, outcome, &mut actions);
            }
            PromotionInput::FollowAnswered(instance, term, outcome) if term == self.term => {
                self.take_follow(now, &instance, outcome, &mut actions);
            }
            PromotionInput::TermAnswered(..)
            | PromotionInput::RecordAnswered(..)
            | PromotionInput::FenceAnswered(..)
            | PromotionInput::PromoteAnswered(..)
            | PromotionInput::FollowAnswered(..) => {}
            PromotionInput::StatusReported(instance, status) => {
                self.take_status(now, &instance, &status, &mut actions);
            }
            PromotionInput::RecordChanged(record) => self.take_record(now, &record, &mut actions),
            PromotionInput::LeaseLost => {
                self.step(now, PromotionEvent::LeaseLost, None, &mut actions);
            }
            PromotionInput::Tick => self.take_tick(now, &mut actions),
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
            self.retry_wait = FIRST_RETRY;
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

    fn take_term(&mut self, now: ClockTime, reply: &CommandReply, actions: &mut PromotionActions) {
        let event = read_term_reply(reply);
        let awaited = self.state == PromotionState::Beginning;
        // The answer may be here before the delta that shows the term.
        if awaited && event == PromotionEvent::TermCommitted {
            self.record.term = self.term;
            self.record.term_epoch = self.epoch;
            self.record.primary = None;
        }
        self.step(now, event, None, actions);
    }

    fn propose_term(&mut self, now: ClockTime, actions: &mut PromotionActions) {
        self.term = self.record.term.next();
        self.former = self.record.primary.clone().or(self.former.take());
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
        // Before the first primary nothing was acknowledged by a majority, and what the instances
        // hold may come from before ragwortgate: the highest of all must be found.
        match has_had_primary(&self.record) {
            true => self.fenced.is_majority(&self.record.instances),
            false => self.fenced.is_all(&self.record.instances),
        }
    }

    fn promote_candidate(&mut self, actions: &mut PromotionActions) {
        let former = self.former.as_ref();
        let Some(candidate) = self.fenced.choose(&self.record.instances, former) else {
            return;
        };
        let candidate = candidate.clone();
        // A second promotion in one term would let two instances take the same positions, and a
        // majority be counted from both.
        let elsewhere = self
            .sent_promotion
            .as_ref()
            .is_some_and(|(term, name)| *term == self.term && *name != candidate);
        invariant!(!elsewhere, "two promotions in term {}", self.term);
        self.sent_promotion = Some((self.term, candidate.clone()));
        actions.push(PromotionAction::Promote(candidate.clone(), self.term));
        self.candidate = Some(candidate);
    }

    fn drop_candidate(&mut self) {
        if let Some(candidate) = self.candidate.take() {
            self.fenced.remove(&candidate);
        }
        self.sent_promotion = None;
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
        if primary == *instance || !self.followers.ask(now, instance) {
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
        self.retry_at = Some(now + self.retry_wait);
        self.retry_wait = LONGEST_RETRY.min(self.retry_wait * 2);
    }

    fn take_fence(
        &mut self,
        now: ClockTime,
        instance: &InstanceName,
        outcome: AgentOutcome,
        actions: &mut PromotionActions,
    ) {
        let event = match outcome {
            AgentOutcome::Answered(FenceReply::Fenced(position)) => {
                let in_set = self.record.instances.contains(instance);
                // After the promotion the answer of a slow instance changes nothing any more.
                if in_set && self.state == PromotionState::Fencing {
                    self.fenced.insert(instance.clone(), position);
                }
                PromotionEvent::Fenced
            }
            AgentOutcome::Answered(FenceReply::Refused(term)) => {
                return self.take_later_term(now, instance, term, actions);
            }
            // The retry is scheduled already; a sooner one would only hammer a dead agent.
            AgentOutcome::NotSent | AgentOutcome::Unknown if self.retry_at.is_some() => return,
            AgentOutcome::NotSent | AgentOutcome::Unknown => PromotionEvent::FenceFailed,
        };
        self.step(now, event, Some(instance), actions);
    }

    fn take_promotion(
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
                // The position at the fence: up to it the log is that of earlier terms.
                let fenced = self.fenced.position(instance).unwrap_or_default();
                self.start = LogPosition::new(self.term, fenced.index);
                PromotionEvent::Promoted
            }
            AgentOutcome::Answered(FenceReply::Refused(term)) => {
                return self.take_later_term(now, instance, term, actions);
            }
            AgentOutcome::NotSent => PromotionEvent::PromoteNotSent,
            AgentOutcome::Unknown => PromotionEvent::PromoteUnknown,
        };
        self.step(now, event, Some(instance), actions);
    }

    fn take_follow(
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
                self.take_later_term(now, instance, term, actions);
            }
            AgentOutcome::NotSent | AgentOutcome::Unknown => {}
        }
    }

    fn take_status(
        &mut self,
        now: ClockTime,
        instance: &InstanceName,
        status: &InstanceStatus,
        actions: &mut PromotionActions,
    ) {
        if status.fenced_term > self.term {
            return self.take_later_term(now, instance, status.fenced_term, actions);
        }
        let is_primary = self.record.primary.as_ref() == Some(instance);
        if is_primary {
            return self.take_primary_status(now, status, actions);
        }
        let followed = self.followers.is_confirmed(now, instance);
        let rival = status.role == InstanceRole::Primary;
        if !followed || rival || status.fenced_term < self.term {
            self.step(now, PromotionEvent::InstanceBehind, Some(instance), actions);
        }
    }

    /// Suspects a primary that answers, but isn't a primary any more: it has restarted.
    ///
    /// Its position must be of the present term. A status from before its promotion, which arrives
    /// late, shows a replica too.
    fn take_primary_status(
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

    fn take_later_term(
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

    fn take_record(
        &mut self,
        now: ClockTime,
        record: &GroupRecord,
        actions: &mut PromotionActions,
    ) {
        let moved = record.placement.epoch > self.epoch;
        let own = record.term_epoch == self.epoch && record.term == self.term;
        self.epoch = self.epoch.max(record.placement.epoch);
        // A delta may be overtaken by the answer that told of the same change.
        let primary_known = self.record.primary.is_some() && record.primary.is_none();
        let overtaken =
            record.term < self.record.term || (record.term == self.record.term && primary_known);
        match overtaken {
            true => self.record.instances = record.instances.clone(),
            false => self.record = record.clone(),
        }
        let recorded = own && record.primary.is_some() && record.primary == self.candidate;
        if recorded {
            self.step(now, PromotionEvent::PrimaryRecorded, None, actions);
        } else if moved {
            self.step(now, PromotionEvent::EpochChanged, None, actions);
        } else if own && record.primary.is_none() {
            self.step(now, PromotionEvent::TermCommitted, None, actions);
        }
    }

    fn take_tick(&mut self, now: ClockTime, actions: &mut PromotionActions) {
        if self.retry_at.is_some_and(|due| now >= due) {
            self.retry_at = None;
            self.step(now, PromotionEvent::RetryDue, None, actions);
        }
    }
}
