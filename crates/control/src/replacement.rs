//! Replaces the primary of a group whose databases keep terms of their own.
//!
//! The leaseholder can't make an instance the primary; it orders that, and the order may be carried
//! out at once, seconds later, or never. So it believes the instances: a replacement is over when an
//! instance leads, and an order without effect is followed by a new one with a higher number.

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

/// How long the instances are given to say how far they are. One that is up answers in a few
/// milliseconds unless all its slots are taken by long runs.
const ASK_TIME: Duration = Duration::from_millis(150);

/// The pause before a step is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// How long an order is given to show before everything is looked at again. Promotions take 600 to
/// 1,000 ms; one that takes longer is only ordered again, which changes nothing for it.
const LOOK_TIME: Duration = Duration::from_millis(2_500);

/// What a replacement asks its driver to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplacementAction {
    /// Ask every instance but the one to be replaced for its report.
    AskInstances,
    /// Ask the agreed log for a number for the promotion of this instance.
    ProposeNumber(InstanceName),
    /// Order the promotion of this instance under this number.
    GiveOrder(InstanceName, u64),
}

/// Actions in the order in which they are to be done.
pub type ReplacementActions = SmallVec<[ReplacementAction; 2]>;

/// The course of one group's replacements.
#[derive(Clone, Debug)]
pub struct PrimaryReplacement {
    state: ReplacementState,
    replaced: Option<InstanceName>,
    awaited: BTreeSet<InstanceName>,
    reports: BTreeMap<InstanceName, RoleReport>,
    candidate: Option<InstanceName>,
    number: Option<u64>,
    asked_at: ClockTime,
    retry_at: Option<ClockTime>,
    /// What the candidate should have received.
    wanted: LogPosition,
    /// When a candidate that has received less is taken all the same.
    patience_end: ClockTime,
}

impl Default for PrimaryReplacement {
    fn default() -> Self {
        Self {
            state: ReplacementState::Steady,
            replaced: None,
            awaited: BTreeSet::new(),
            reports: BTreeMap::new(),
            candidate: None,
            number: None,
            asked_at: ClockTime::default(),
            retry_at: None,
            wanted: LogPosition::default(),
            patience_end: ClockTime::default(),
        }
    }
}

impl PrimaryReplacement {
    /// Returns where the replacement stands.
    pub fn state(&self) -> ReplacementState {
        self.state
    }

    /// Returns the instance that is to be promoted.
    pub fn candidate(&self) -> Option<&InstanceName> {
        self.candidate.as_ref()
    }

    /// Returns the instance that is to be replaced; none if the group had no primary.
    pub fn replaced(&self) -> Option<&InstanceName> {
        self.replaced.as_ref()
    }

    /// Begins to replace an instance, unless a replacement runs already.
    ///
    /// A candidate that lacks what was acknowledged is waited for, for `patience` at most: what it
    /// lacks is lost to its callers.
    pub fn begin(
        &mut self,
        now: ClockTime,
        replaced: Option<&InstanceName>,
        wanted: LogPosition,
        patience: Duration,
    ) -> ReplacementActions {
        if self.state == ReplacementState::Steady {
            self.replaced = replaced.cloned();
            self.wanted = wanted;
            self.patience_end = now + patience;
        }
        self.handle(now, ReplacementEvent::Wanted)
    }

    /// Notes whom the driver has asked.
    pub fn note_asked(&mut self, now: ClockTime, asked: impl IntoIterator<Item = InstanceName>) {
        self.awaited = asked.into_iter().collect();
        self.reports.clear();
        self.asked_at = now;
    }

    /// Takes an instance's answer; `None` if it gave none.
    pub fn take_report(
        &mut self,
        now: ClockTime,
        instance: &InstanceName,
        report: Option<RoleReport>,
    ) -> ReplacementActions {
        if !self.awaited.remove(instance) {
            return ReplacementActions::new();
        }
        self.reports
            .extend(report.map(|report| (instance.clone(), report)));
        match self.awaited.is_empty() {
            true => self.handle(now, ReplacementEvent::AskedEnough),
            false => ReplacementActions::new(),
        }
    }

    /// Takes the number that the agreed log has issued.
    pub fn take_number(&mut self, now: ClockTime, number: u64) -> ReplacementActions {
        self.number = Some(number);
        self.handle(now, ReplacementEvent::NumberIssued)
    }

    /// Notes that an instance leads.
    ///
    /// The one that is being replaced counts only while nothing was ordered yet and it may stay.
    pub fn note_primary(&mut self, now: ClockTime, primary: &InstanceName, may_stay: bool) {
        let same = self.replaced.as_ref() == Some(primary);
        let undone = matches!(
            self.state,
            ReplacementState::Asking | ReplacementState::Numbering
        );
        if !same || (undone && may_stay) {
            self.handle(now, ReplacementEvent::PrimaryFound);
        }
    }

    /// Does what is due by time.
    pub fn tick(&mut self, now: ClockTime) -> ReplacementActions {
        let asking = self.state == ReplacementState::Asking && self.retry_at.is_none();
        if asking && now.since(self.asked_at) >= ASK_TIME {
            self.awaited.clear();
            return self.handle(now, ReplacementEvent::AskedEnough);
        }
        if self.retry_at.is_some_and(|due| now >= due) {
            return self.handle(now, ReplacementEvent::RetryDue);
        }
        ReplacementActions::new()
    }

    /// Takes an event.
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
                self.asked_at = now;
                Some(ReplacementAction::AskInstances)
            }
            ReplacementStep::ProposeNumber => {
                self.candidate = candidate.cloned();
                self.number = None;
                self.candidate.clone().map(ReplacementAction::ProposeNumber)
            }
            ReplacementStep::GiveOrder => {
                let order = self.candidate.clone().zip(self.number);
                order.map(|(instance, number)| ReplacementAction::GiveOrder(instance, number))
            }
            ReplacementStep::ScheduleRetry => {
                self.retry_at = Some(now + RETRY_PAUSE);
                None
            }
            ReplacementStep::ScheduleLook => {
                self.retry_at = Some(now + LOOK_TIME);
                None
            }
        }
    }

    /// Chooses the instance that has received most: what it lacks is lost.
    fn choose_candidate(&self, now: ClockTime) -> Option<InstanceName> {
        let others = self
            .reports
            .iter()
            .filter(|(instance, _)| self.replaced.as_ref() != Some(instance));
        let best = others.max_by_key(|(_, report)| report.received);
        let patient = now < self.patience_end;
        let whole = best.filter(|(_, report)| report.received >= self.wanted || !patient);
        whole.map(|(instance, _)| instance.clone())
    }
}
