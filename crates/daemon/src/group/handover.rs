//! Hands the group over to another VM: when this one drains, or leads more than its share.
//!
//! The leaseholder first takes nothing in, lets what runs end, and then proposes the new placement
//! itself. Nobody else could know when nothing is in flight.

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

/// How often the leaseholder looks whether the group should move.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// How long statements and transactions may go on before they are cut by the handover. It leaves
/// the rest of the drain time for the handover itself.
const DRAIN_PART: u32 = 2;

/// The course of a handover.
#[derive(Debug, Default)]
pub(super) struct HandoverState {
    plan: Option<GroupPlacement>,
    begun: ClockTime,
    looked: ClockTime,
    /// The revision that was looked at last.
    seen: Option<CatalogRevision>,
    proposed: bool,
}

impl GroupTask {
    /// Begins, continues or proposes a handover.
    pub(super) fn tick_handover(&mut self) {
        let now = self.context.clock.now();
        if self.handover.plan.is_none() {
            self.look_for_handover(now);
        }
        let drain = Duration::from_millis(self.context.settings.timing.drain_ms);
        let waited = now.since(self.handover.begun) >= drain / DRAIN_PART;
        let idle = self.requests.is_empty() && self.transactions.is_empty();
        if self.handover.proposed || !(idle || waited) {
            return;
        }
        if let Some(plan) = self.handover.plan.clone() {
            self.handover.proposed = true;
            self.propose(CatalogCommand::PlaceGroup(plan), Duration::ZERO);
        }
    }

    fn look_for_handover(&mut self, now: ClockTime) {
        if now.since(self.handover.looked) < LOOK_EVERY || !self.may_act() {
            return;
        }
        self.handover.looked = now;
        let copy = self.view.borrow().copy.clone();
        // The plan looks at every group and VM; while nothing changed it would be the same again.
        if self.handover.seen == Some(copy.revision()) {
            return;
        }
        self.handover.seen = Some(copy.revision());
        let plans = self
            .context
            .handovers
            .plan(&copy, &self.context.settings.vm);
        if let Some(plan) = plans.due(&self.group) {
            self.begin_handover(plan.clone());
        }
    }

    /// Hands the group over to a standby that reaches the primary, which this VM doesn't.
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

    fn begin_handover(&mut self, plan: GroupPlacement) {
        log_event!(
            Level::Info,
            "handover_begun",
            group = self.group,
            successor = plan.leaseholder,
        );
        self.handover.plan = Some(plan);
        self.handover.begun = self.context.clock.now();
        self.handing_over = true;
    }

    /// Takes the answer to the proposed placement.
    pub(super) fn take_handover_reply(&mut self, reply: &CommandReply) {
        match reply {
            // The view shows the new placement soon, which ends this task.
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
