//! Hands the group over to another VM, when this VM drains, leads more than its share of groups, or
//! can't reach the primary while a standby can.
//!
//! The leaseholder stops taking statements in, waits until its requests and transactions have ended
//! or half the drain time has passed, and then proposes the new placement itself, since only it
//! knows when nothing is in flight.

use super::GroupTask;
use crate::log_event;
use log::Level;
use ragwort_control::ClockTime;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogOutcome;
use ragwort_types::CatalogRevision;
use ragwort_types::CommandReply;
use ragwort_types::GroupPlacement;
use ragwort_types::VmName;
use std::time::Duration;

/// The interval between checks whether the group should move.
const HANDOVER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The divisor of the drain time that gives the time limit of statements and transactions, after
/// which the handover cuts them off. The rest remains for the handover itself.
const DRAIN_TIME_DIVISOR: u32 = 2;

/// The progress of a handover.
#[derive(Debug, Default)]
pub(super) struct HandoverState {
    /// The placement to propose; `None` while no handover is in progress.
    plan: Option<GroupPlacement>,
    begun_at: ClockTime,
    checked_at: ClockTime,
    /// The catalog revision of the last check.
    checked_revision: Option<CatalogRevision>,
    /// Whether the placement has been proposed and its outcome is open.
    proposed: bool,
}

impl GroupTask {
    /// Returns when the group is next checked for a handover, if the catalog has changed since the
    /// last check.
    pub(super) fn next_handover_check(&self) -> Option<ClockTime> {
        let revision = self.view.borrow().copy.revision();
        let checked = self.handover.checked_revision == Some(revision);
        (!checked).then(|| self.handover.checked_at + HANDOVER_CHECK_INTERVAL)
    }

    /// Starts a handover that is due, and proposes the new placement when the group is idle or the
    /// wait is over.
    pub(super) fn tick_handover(&mut self) {
        let now = self.context.clock.now();
        if self.handover.plan.is_none() {
            self.check_for_handover(now);
        }
        let drain = Duration::from_millis(self.context.settings.timing.drain_ms);
        let waited = now.since(self.handover.begun_at) >= drain / DRAIN_TIME_DIVISOR;
        let idle = self.requests.is_empty() && self.transactions.is_empty();
        if self.handover.proposed || !(idle || waited) {
            return;
        }
        if let Some(plan) = self.handover.plan.clone() {
            self.handover.proposed = true;
            self.propose(CatalogCommand::PlaceGroup(plan), Duration::ZERO);
        }
    }

    /// Starts a handover if the planner has one for this group.
    fn check_for_handover(&mut self, now: ClockTime) {
        if now.since(self.handover.checked_at) < HANDOVER_CHECK_INTERVAL || !self.may_act() {
            return;
        }
        self.handover.checked_at = now;
        let copy = self.view.borrow().copy.clone();
        // A plan covers all groups and VMs, and the same revision would give the same plan.
        if self.handover.checked_revision == Some(copy.revision()) {
            return;
        }
        self.handover.checked_revision = Some(copy.revision());
        let plans = self
            .context
            .handovers
            .plan(&copy, &self.context.settings.vm);
        if let Some(plan) = plans.due(&self.group) {
            self.begin_handover(plan.clone());
        }
    }

    /// Starts a handover to a standby that reaches the primary, which this VM doesn't.
    pub(super) fn hand_over_to(&mut self, standby: &VmName) {
        if self.handover.plan.is_some() || !self.may_act() {
            return;
        }
        let present = &self.record.placement;
        let others = present.standbys.iter().filter(|vm| *vm != standby);
        let own = std::iter::once(&present.leaseholder);
        let plan = GroupPlacement {
            group: self.group.clone(),
            epoch: present.epoch.next(),
            leaseholder: standby.clone(),
            standbys: others.chain(own).cloned().collect(),
        };
        self.begin_handover(plan);
    }

    /// Stops taking statements in, until `plan` can be proposed.
    fn begin_handover(&mut self, plan: GroupPlacement) {
        log_event!(
            Level::Info,
            "handover_begun",
            group = self.group,
            successor = plan.leaseholder,
        );
        self.handover.plan = Some(plan);
        self.handover.begun_at = self.context.clock.now();
        self.handing_over = true;
    }

    /// Handles the outcome of the proposed placement; a rejected one ends the handover.
    pub(super) fn handle_handover_reply(&mut self, reply: &CommandReply) {
        match reply {
            // The next catalog view shows the new placement, which ends this task.
            CommandReply::Committed(CatalogOutcome::Done(_)) => {}
            CommandReply::Committed(_) => {
                self.handover = HandoverState::default();
                self.handing_over = false;
                self.refresh_all_endpoints();
            }
            CommandReply::NoLeader | CommandReply::Unknown => self.handover.proposed = false,
        }
    }
}
