//! Replacement of the primary in a group whose databases manage roles and terms themselves.
//!
//! The leaseholder can't promote an instance itself. It orders a promotion from an external
//! service, which may carry the order out at once, seconds later, or never. Only the instances' own
//! reports therefore count: a replacement ends when an instance is the primary, and an order
//! without effect is followed by another with a higher fencing token.

use crate::ClockTime;
use crate::native_roles::RoleReport;
use crate::outstanding_orders::PROMOTION_LIMIT;
use crate::promotion_evidence::PromotionEvidence;
use crate::promotion_evidence::WriteGuarantee;
use crate::replacement_chart::ReplacementEvent;
use crate::replacement_chart::ReplacementGuard;
use crate::replacement_chart::ReplacementState;
use crate::replacement_chart::ReplacementStep;
use crate::replacement_chart::replacement_chart;
use ragwort_types::InstanceName;
use ragwort_types::LogPosition;
use smallvec::SmallVec;
use std::collections::BTreeSet;
use std::time::Duration;

/// Maximum wait for the instances' reports. A running instance replies within a few milliseconds
/// unless all its slots are taken by long requests.
const REPORT_TIMEOUT: Duration = Duration::from_millis(150);

/// Delay before a step is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplacementAction {
    /// Request a report from every instance except the one that is replaced.
    AskInstances,
    /// Request a fencing token for the promotion of this instance from the replicated log.
    ProposeNumber(InstanceName),
    /// Order the promotion of this instance with this fencing token.
    GiveOrder(InstanceName, u64),
}

/// Actions in the order in which they must be carried out.
pub type ReplacementActions = SmallVec<[ReplacementAction; 2]>;

/// State machine that replaces one group's primary.
#[derive(Clone, Debug)]
pub struct PrimaryReplacement {
    state: ReplacementState,
    replaced: Option<InstanceName>,
    pending_reports: BTreeSet<InstanceName>,
    evidence: PromotionEvidence,
    candidate: Option<InstanceName>,
    token: Option<u64>,
    begun_at: ClockTime,
    reports_requested_at: ClockTime,
    retry_at: Option<ClockTime>,
    guarantee: WriteGuarantee,
    /// The newest acknowledged position, which the candidate should have received; `None` if it
    /// isn't known.
    required_position: Option<LogPosition>,
    /// When a candidate that has received less is accepted nevertheless, unless all acknowledged
    /// writes are guaranteed to be kept.
    catch_up_deadline: ClockTime,
}

impl Default for PrimaryReplacement {
    fn default() -> Self {
        Self {
            state: ReplacementState::Steady,
            replaced: None,
            pending_reports: BTreeSet::new(),
            evidence: PromotionEvidence::default(),
            candidate: None,
            token: None,
            begun_at: ClockTime::default(),
            reports_requested_at: ClockTime::default(),
            retry_at: None,
            guarantee: WriteGuarantee::default(),
            required_position: None,
            catch_up_deadline: ClockTime::default(),
        }
    }
}

impl PrimaryReplacement {
    /// Returns the state.
    pub fn state(&self) -> ReplacementState {
        self.state
    }

    /// Returns the instance that was chosen for promotion.
    pub fn candidate(&self) -> Option<&InstanceName> {
        self.candidate.as_ref()
    }

    /// Returns whether a fencing token for the promotion of this instance is awaited.
    pub fn awaits_token(&self, instance: &InstanceName) -> bool {
        self.state == ReplacementState::Numbering && self.candidate.as_ref() == Some(instance)
    }

    /// Returns whether the reply to the order with this fencing token is awaited.
    pub fn awaits_order(&self, token: u64) -> bool {
        self.state == ReplacementState::Ordering && self.token == Some(token)
    }

    /// Returns the instance that is being replaced; `None` if the group had no primary.
    pub fn replaced(&self) -> Option<&InstanceName> {
        self.replaced.as_ref()
    }

    /// Returns when the replacement began.
    pub fn begun_at(&self) -> ClockTime {
        self.begun_at
    }

    /// Returns the newest acknowledged position; `None` if it isn't known.
    pub fn required_position(&self) -> Option<LogPosition> {
        self.required_position
    }

    /// Returns the positions that the instances are known to have reached.
    pub fn known_positions(&self) -> impl Iterator<Item = (&InstanceName, LogPosition)> {
        self.evidence.bounds()
    }

    /// Begins to replace an instance, unless a replacement is in progress.
    ///
    /// `required_position` is the newest acknowledged position; `None` if it isn't known. While no
    /// instance is known to hold all acknowledged writes, a replacement with a guarantee waits.
    /// Without one it waits up to `catch_up_time`, and the writes that the candidate then lacks are
    /// lost.
    pub fn begin(
        &mut self,
        now: ClockTime,
        replaced: Option<&InstanceName>,
        required_position: Option<LogPosition>,
        guarantee: WriteGuarantee,
        catch_up_time: Duration,
    ) -> ReplacementActions {
        if self.state == ReplacementState::Steady {
            self.replaced = replaced.cloned();
            self.begun_at = now;
            self.candidate = None;
            self.evidence = PromotionEvidence::default();
            self.guarantee = guarantee;
            self.required_position = required_position;
            self.catch_up_deadline = now + catch_up_time;
        }
        self.handle(now, ReplacementEvent::Wanted)
    }

    /// Records the instances that the caller has asked for a report, those that are leaving, and
    /// the number of instances that may have received acknowledged writes.
    pub fn note_requested(
        &mut self,
        now: ClockTime,
        asked: impl IntoIterator<Item = InstanceName>,
        leaving: impl IntoIterator<Item = InstanceName>,
        holder_count: usize,
    ) {
        self.pending_reports = asked.into_iter().collect();
        self.evidence
            .note_requested(holder_count, leaving.into_iter().collect());
        self.reports_requested_at = now;
    }

    /// Processes an instance's report; `None` if it failed to give one.
    ///
    /// A report that comes after the time for it counts from the next request on.
    pub fn take_report(
        &mut self,
        now: ClockTime,
        instance: &InstanceName,
        report: Option<RoleReport>,
    ) -> ReplacementActions {
        let pending = self.pending_reports.remove(instance);
        if let Some(report) = report.filter(|_| pending || self.state == ReplacementState::Asking) {
            self.evidence.note_report(instance, report.received);
        }
        if !pending {
            return ReplacementActions::new();
        }
        match self.pending_reports.is_empty() {
            true => self.handle(now, ReplacementEvent::AskedEnough),
            false => ReplacementActions::new(),
        }
    }

    /// Records that an instance has answered, and the position that it has applied if the answer
    /// contained one.
    pub fn note_answer(&mut self, instance: &InstanceName, applied: Option<LogPosition>) {
        if self.state != ReplacementState::Steady {
            self.evidence.note_answer(instance, applied);
        }
    }

    /// Records that a caller is told that the replaced primary has acknowledged a position.
    pub fn note_acknowledged(&mut self, position: LogPosition) {
        if self.state != ReplacementState::Steady {
            self.required_position = self.required_position.max(Some(position));
            self.evidence.note_acknowledged();
        }
    }

    /// Returns whether a caller may be told that the replaced primary has acknowledged a position.
    ///
    /// Once a candidate was chosen, that is so only if the candidate holds the position or no
    /// guarantee was given.
    pub fn may_confirm(&self, position: LogPosition) -> bool {
        let is_held = |name| self.evidence.is_held(name, position);
        match self.state {
            ReplacementState::Steady | ReplacementState::Asking => true,
            ReplacementState::Numbering
            | ReplacementState::Ordering
            | ReplacementState::Watching => {
                self.guarantee == WriteGuarantee::BestEffort
                    || self.candidate.as_ref().is_some_and(is_held)
            }
        }
    }

    /// Removes an instance that is gone or has started again.
    pub fn forget(&mut self, instance: &InstanceName) {
        self.evidence.forget(instance);
    }

    /// Processes the fencing token that the replicated log has issued.
    pub fn receive_token(&mut self, now: ClockTime, token: u64) -> ReplacementActions {
        self.token = Some(token);
        self.handle(now, ReplacementEvent::NumberIssued)
    }

    /// Records that an instance is the primary.
    ///
    /// The instance that is being replaced counts only if it may stay and nothing has been ordered
    /// yet.
    pub fn note_primary(&mut self, now: ClockTime, primary: &InstanceName, may_stay: bool) {
        let is_replaced = self.replaced.as_ref() == Some(primary);
        let not_ordered = matches!(
            self.state,
            ReplacementState::Asking | ReplacementState::Numbering
        );
        if !is_replaced || (not_ordered && may_stay) {
            self.handle(now, ReplacementEvent::PrimaryFound);
        }
    }

    /// Processes the timeouts that have expired.
    pub fn tick(&mut self, now: ClockTime) -> ReplacementActions {
        let asking = self.state == ReplacementState::Asking && self.retry_at.is_none();
        if asking && now.since(self.reports_requested_at) >= REPORT_TIMEOUT {
            self.pending_reports.clear();
            return self.handle(now, ReplacementEvent::AskedEnough);
        }
        if self.retry_at.is_some_and(|due| now >= due) {
            return self.handle(now, ReplacementEvent::RetryDue);
        }
        ReplacementActions::new()
    }

    /// Processes an event.
    pub fn handle(&mut self, now: ClockTime, event: ReplacementEvent) -> ReplacementActions {
        let candidate = self.choose_candidate(now);
        let step = replacement_chart().step(self.state, event, |guard| match guard {
            ReplacementGuard::HasCandidate => candidate.is_some(),
        });
        if step.target != self.state || !step.actions.is_empty() {
            self.retry_at = None;
        }
        self.state = step.target;
        let mut actions = ReplacementActions::new();
        for action in step.actions {
            actions.extend(self.perform(now, action, candidate.as_ref()));
        }
        actions
    }

    fn perform(
        &mut self,
        now: ClockTime,
        step: ReplacementStep,
        candidate: Option<&InstanceName>,
    ) -> Option<ReplacementAction> {
        match step {
            ReplacementStep::AskInstances => {
                self.reports_requested_at = now;
                Some(ReplacementAction::AskInstances)
            }
            ReplacementStep::ProposeNumber => {
                self.candidate = candidate.cloned();
                self.token = None;
                self.candidate.clone().map(ReplacementAction::ProposeNumber)
            }
            ReplacementStep::GiveOrder => {
                let order = self.candidate.clone().zip(self.token);
                order.map(|(instance, token)| ReplacementAction::GiveOrder(instance, token))
            }
            ReplacementStep::ScheduleRetry => {
                self.retry_at = Some(now + RETRY_DELAY);
                None
            }
            ReplacementStep::ScheduleLook => {
                // A slower promotion is only ordered again, which doesn't disturb it.
                self.retry_at = Some(now + PROMOTION_LIMIT);
                None
            }
        }
    }

    /// Chooses the instance to promote.
    fn choose_candidate(&self, now: ClockTime) -> Option<InstanceName> {
        let replaced = self.replaced.as_ref();
        let chosen = match self.guarantee {
            WriteGuarantee::SynchronousReplicas(count) => {
                let required = self.required_position;
                self.evidence.choose_complete(replaced, required, count)
            }
            WriteGuarantee::BestEffort => {
                let best = self.evidence.choose_any(replaced);
                let required = self.required_position.unwrap_or_default();
                let may_wait = now < self.catch_up_deadline;
                let eligible = best.filter(|(_, bound)| *bound >= required || !may_wait);
                eligible.map(|(instance, _)| instance)
            }
        };
        chosen.cloned()
    }
}
