//! Planned handover of the group to another VM: when this VM drains, leads more groups than its
//! share, or is farther from the endpoints than another one.
//!
//! A handover first lets open transactions end, for at most a part of the drain time, while single
//! statements are still served. Then it proposes the placement that moves the group. From the
//! proposal on the successor may serve, so commits are neither run nor acknowledged here any more.

use super::CATALOG_INTERVAL;
use super::NativeTask;
use super::TICK;
use crate::log_event;
use log::Level;
use ragwort_control::ClockTime;
use ragwort_policy::GroupCheck;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogOutcome;
use ragwort_types::CatalogRevision;
use ragwort_types::CommandReply;
use ragwort_types::GroupPlacement;
use ragwort_types::TransactionStep;
use std::time::Duration;

/// Divisor of the drain time that gives the time limit for open transactions in a handover. The
/// rest of the drain time is left for the handover itself.
const TRANSACTION_DRAIN_DIVISOR: u32 = 2;

/// Minimum time for which a VM leads a group before it hands it over, unless it drains. Each move
/// pauses callers, and groups that moved many times a second were not served at all.
const MIN_LEAD_TIME: Duration = Duration::from_secs(2);

/// Progress of a handover.
#[derive(Debug, Default)]
pub(super) struct HandoverProgress {
    /// The placement to be proposed, once a handover has begun.
    plan: Option<GroupPlacement>,
    /// Time at which the handover began.
    begun_at: ClockTime,
    /// Whether single statements are refused as well as new transactions.
    refuses_single_statements: bool,
    /// The catalog revision of the last planning, which isn't repeated for the same revision.
    planned_revision: Option<CatalogRevision>,
    /// Whether a proposal of the placement is under way or was committed.
    proposed: bool,
    /// Whether the placement was ever proposed, and so may be in force.
    successor_may_serve: bool,
}

impl HandoverProgress {
    /// Returns whether a handover has begun. From then on no transaction may be opened.
    pub(super) fn is_begun(&self) -> bool {
        self.plan.is_some()
    }

    /// Returns whether the successor may already serve, even if this VM's view doesn't show it yet.
    pub(super) fn successor_may_serve(&self) -> bool {
        self.successor_may_serve
    }

    /// Returns whether a statement of this step is refused because of the handover.
    ///
    /// Open transactions may take a second to end, and refusing the other callers for as long would
    /// serve no purpose. So single statements are served until the last transaction has ended, or
    /// its time is over, and are refused only from then until the successor answers.
    pub(super) fn refuses(&self, step: TransactionStep) -> bool {
        match step {
            TransactionStep::Single => self.refuses_single_statements,
            TransactionStep::Begin(_) => self.is_begun(),
            TransactionStep::Within(_)
            | TransactionStep::Commit(_)
            | TransactionStep::Rollback(_) => false,
        }
    }
}

impl NativeTask {
    /// Begins a handover that is due. Without a lease, or shortly after the group was taken over,
    /// the check is repeated.
    pub(super) fn check_handover(&mut self) {
        if self.handover.is_begun() {
            return;
        }
        let now = self.now();
        if !self.may_serve() {
            self.checks
                .request(GroupCheck::Handover, now + CATALOG_INTERVAL);
            return;
        }
        self.plan_handover(now);
        let lead_time_over = self.taken_over_at + MIN_LEAD_TIME;
        if now < lead_time_over {
            self.checks.request(GroupCheck::Handover, lead_time_over);
        }
        if self.handover.is_begun() {
            self.advance_handover();
        }
    }

    /// Advances the handover under way.
    pub(super) fn advance_handover(&mut self) {
        let now = self.now();
        let drain = Duration::from_millis(self.context.settings.timing.drain_ms);
        let waited = now.since(self.handover.begun_at) >= drain / TRANSACTION_DRAIN_DIVISOR;
        let transactions_ended = self.transactions.is_empty();
        self.handover.refuses_single_statements = transactions_ended || waited;
        let idle = self.requests.is_empty() && transactions_ended;
        if self.handover.proposed || !(idle || waited) {
            return;
        }
        if let Some(plan) = self.handover.plan.clone() {
            self.handover.proposed = true;
            self.handover.successor_may_serve = true;
            self.propose(CatalogCommand::PlaceGroup(plan));
        }
    }

    fn plan_handover(&mut self, now: ClockTime) {
        let copy = self.view.borrow().copy.clone();
        let vm = &self.context.settings.vm;
        let drains = copy.member(vm).is_none_or(|member| member.draining);
        let led_long_enough = now.since(self.taken_over_at) >= MIN_LEAD_TIME;
        if self.handover.planned_revision == Some(copy.revision()) || !(led_long_enough || drains) {
            return;
        }
        self.handover.planned_revision = Some(copy.revision());
        let plans = self.context.handovers.plan(&copy, vm);
        let unused = self.last_ticket == 0;
        let due = plans.due(&self.group);
        let Some(plan) = due.or_else(|| plans.closer_placement(&self.group, unused)) else {
            return;
        };
        log_event!(
            Level::Info,
            "handover_begun",
            group = self.group,
            successor = plan.leaseholder,
        );
        self.handover.plan = Some(plan.clone());
        self.handover.begun_at = now;
    }

    /// Handles the reply to the proposed placement.
    pub(super) fn handle_handover_reply(&mut self, reply: &CommandReply) {
        match reply {
            // The task ends when this VM's view shows the new placement.
            CommandReply::Committed(CatalogOutcome::Done(_)) => {}
            CommandReply::Committed(_) => {
                self.handover = HandoverProgress::default();
                self.checks.request_after(GroupCheck::Handover, TICK);
                self.checks.request_after(GroupCheck::Records, TICK);
            }
            // The placement may have been committed, so `successor_may_serve` stays set while it is
            // proposed again.
            CommandReply::NoLeader | CommandReply::Unknown => self.handover.proposed = false,
        }
    }
}
