//! Replacement of the primary in a group whose databases manage roles and terms themselves.
//!
//! The leaseholder can't promote an instance itself. It orders a promotion from an external
//! service, which may carry the order out at once, seconds later, or never. Only the instances' own
//! reports therefore count: a replacement ends when an instance is the primary, and an order
//! without effect is followed by another with a higher fencing token.

use crate::ClockTime;
use crate::native_roles::RoleReport;
use crate::replacement_chart::ReplacementEvent;
use crate::replacement_chart::ReplacementGuard;
use crate::replacement_chart::ReplacementState;
use crate::replacement_chart::ReplacementStep;
use crate::replacement_chart::replacement_chart;
use ragwort_types::InstanceName;
use ragwort_types::LogPosition;
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// Maximum wait for the instances' reports. A running instance replies within a few milliseconds
/// unless all its slots are taken by long requests.
const REPORT_TIMEOUT: Duration = Duration::from_millis(150);

/// Delay before a step is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time after an accepted order until the instances are asked again. Promotions take 600 to 1,000
/// ms; a slower one is only ordered again, which doesn't disturb it.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(2_500);

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
    reports: BTreeMap<InstanceName, RoleReport>,
    candidate: Option<InstanceName>,
    token: Option<u64>,
    reports_requested_at: ClockTime,
    retry_at: Option<ClockTime>,
    /// The position that the candidate should have received.
    required_position: LogPosition,
    /// When a candidate that has received less is accepted nevertheless.
    catch_up_deadline: ClockTime,
}

impl Default for PrimaryReplacement {
    fn default() -> Self {
        Self {
            state: ReplacementState::Steady,
            replaced: None,
            pending_reports: BTreeSet::new(),
            reports: BTreeMap::new(),
            candidate: None,
            token: None,
            reports_requested_at: ClockTime::default(),
            retry_at: None,
            required_position: LogPosition::default(),
            catch_up_deadline: ClockTime::default(),
        }
    }
}

impl PrimaryReplacement {
    /// Returns the state.
    pub fn state(&self) -> ReplacementState {
        self.state
    }

    /// Returns the instance to promote.
    pub fn candidate(&self) -> Option<&InstanceName> {
        self.candidate.as_ref()
    }

    /// Returns the instance that is being replaced; `None` if the group had no primary.
    pub fn replaced(&self) -> Option<&InstanceName> {
        self.replaced.as_ref()
    }

    /// Begins to replace an instance, unless a replacement is in progress.
    ///
    /// If no instance has received all acknowledged writes, the replacement waits up to
    /// `catch_up_time` for one that has. The writes that the candidate then lacks are lost.
    pub fn begin(
        &mut self,
        now: ClockTime,
        replaced: Option<&InstanceName>,
        required_position: LogPosition,
        catch_up_time: Duration,
    ) -> ReplacementActions {
        if self.state == ReplacementState::Steady {
            self.replaced = replaced.cloned();
            self.required_position = required_position;
            self.catch_up_deadline = now + catch_up_time;
        }
        self.handle(now, ReplacementEvent::Wanted)
    }

    /// Records the instances that the caller has asked for a report.
    pub fn note_requested(
        &mut self,
        now: ClockTime,
        asked: impl IntoIterator<Item = InstanceName>,
    ) {
        self.pending_reports = asked.into_iter().collect();
        self.reports.clear();
        self.reports_requested_at = now;
    }

    /// Processes an instance's report; `None` if it failed to give one.
    pub fn take_report(
        &mut self,
        now: ClockTime,
        instance: &InstanceName,
        report: Option<RoleReport>,
    ) -> ReplacementActions {
        if !self.pending_reports.remove(instance) {
            return ReplacementActions::new();
        }
        self.reports
            .extend(report.map(|report| (instance.clone(), report)));
        match self.pending_reports.is_empty() {
            true => self.handle(now, ReplacementEvent::AskedEnough),
            false => ReplacementActions::new(),
        }
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
                self.retry_at = Some(now + PROMOTION_TIMEOUT);
                None
            }
        }
    }

    /// Chooses the instance that has received the most; the writes that it lacks are lost.
    fn choose_candidate(&self, now: ClockTime) -> Option<InstanceName> {
        let others = self
            .reports
            .iter()
            .filter(|(instance, _)| self.replaced.as_ref() != Some(instance));
        let best = others.max_by_key(|(_, report)| report.received);
        let may_wait = now < self.catch_up_deadline;
        let eligible =
            best.filter(|(_, report)| report.received >= self.required_position || !may_wait);
        eligible.map(|(instance, _)| instance.clone())
    }
}
