//! Hands the group over when this VM drains, leads more than its share, or is far from endpoints.

use super::NativeTask;
use crate::log_event;
use log::Level;
use ragwort_control::ClockTime;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogOutcome;
use ragwort_types::CatalogRevision;
use ragwort_types::CommandReply;
use ragwort_types::GroupPlacement;
use ragwort_types::TransactionStep;
use std::time::Duration;

/// How long open transactions may go on before they are cut by the handover, as a part of the drain
/// time: the rest is left for the handover itself.
const DRAIN_PART: u32 = 2;

/// How long a leaseholder keeps a group that it has just taken over, unless it drains. Each move
/// costs callers a pause; groups that moved many times a second were served by nobody.
const SETTLED_TIME: Duration = Duration::from_secs(2);

/// The course of a handover.
#[derive(Debug, Default)]
pub(super) struct HandoverCourse {
    plan: Option<GroupPlacement>,
    begun: ClockTime,
    /// Whether single statements aren't taken in any more either.
    closed: bool,
    /// The revision that was looked at last; the same again plans the same.
    seen: Option<CatalogRevision>,
    proposed: bool,
    /// Whether the next placement was proposed and may be in force.
    out_of_hand: bool,
}

impl HandoverCourse {
    /// Says whether no transaction is opened any more.
    pub(super) fn is_begun(&self) -> bool {
        self.plan.is_some()
    }

    /// Says whether the next leaseholder may serve already, though this VM hasn't heard of it.
    pub(super) fn is_out_of_hand(&self) -> bool {
        self.out_of_hand
    }

    /// Says whether a statement of this step comes too late.
    ///
    /// Open transactions take a second to end, in which callers of all other statements would be
    /// refused, though nothing is wrong. So single ones are served until the last
    /// transaction has ended, and only for the moment of the handover itself nothing is taken in.
    pub(super) fn turns_away(&self, step: TransactionStep) -> bool {
        match step {
            TransactionStep::Single => self.closed,
            TransactionStep::Begin(_) => self.is_begun(),
            TransactionStep::Within(_)
            | TransactionStep::Commit(_)
            | TransactionStep::Rollback(_) => false,
        }
    }
}

impl NativeTask {
    /// Begins, continues or proposes a handover.
    pub(super) fn tick_handover(&mut self) {
        let now = self.now();
        if self.handover.plan.is_none() && self.may_serve() {
            self.look_for_handover(now);
        }
        let drain = Duration::from_millis(self.context.settings.timing.drain_ms);
        let waited = now.since(self.handover.begun) >= drain / DRAIN_PART;
        let settled = self.transactions.is_empty();
        self.handover.closed = self.handover.is_begun() && (settled || waited);
        let idle = self.requests.is_empty() && settled;
        if self.handover.proposed || !(idle || waited) {
            return;
        }
        if let Some(plan) = self.handover.plan.clone() {
            self.handover.proposed = true;
            self.handover.out_of_hand = true;
            self.propose(CatalogCommand::PlaceGroup(plan));
        }
    }

    fn look_for_handover(&mut self, now: ClockTime) {
        let copy = self.view.borrow().copy.clone();
        let vm = &self.context.settings.vm;
        let drains = copy.member(vm).is_none_or(|member| member.draining);
        let settled = now.since(self.taken) >= SETTLED_TIME;
        if self.handover.seen == Some(copy.revision()) || !(settled || drains) {
            return;
        }
        self.handover.seen = Some(copy.revision());
        let plans = self.context.handovers.plan(&copy, vm);
        let unused = self.last_ticket == 0;
        let due = plans.due(&self.group);
        let Some(plan) = due.or_else(|| plans.nearer(&self.group, unused)) else {
            return;
        };
        log_event!(
            Level::Info,
            "handover_begun",
            group = self.group,
            successor = plan.leaseholder,
        );
        self.handover.plan = Some(plan.clone());
        self.handover.begun = now;
    }

    /// Takes the answer to the proposed placement.
    pub(super) fn take_handover_reply(&mut self, reply: &CommandReply) {
        match reply {
            // The view shows the new placement soon, which ends this task.
            CommandReply::Committed(CatalogOutcome::Done(_)) => {}
            CommandReply::Committed(_) => self.handover = HandoverCourse::default(),
            // It is proposed again, and may have been committed: the group stays out of hand.
            CommandReply::NoLeader | CommandReply::Unknown => self.handover.proposed = false,
        }
    }
}
