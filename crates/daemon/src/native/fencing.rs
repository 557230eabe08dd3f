//! Protection against orders to promote that may still take effect.
//!
//! An order of this leaseholder or of a former one may be carried out seconds after it was sent,
//! when the group has gone on with its primary. The fence, an order for that primary with a higher
//! fencing token, keeps it from taking effect.
//!
//! Until then, and while a promotion that was under way may still end, writes are refused if
//! acknowledged writes are guaranteed: the instance that is promoted may lack them.

use super::NativeTask;
use super::TICK;
use crate::log_event;
use log::Level;
use ragwort_control::ClockTime;
use ragwort_control::FenceEvent;
use ragwort_control::FenceState;
use ragwort_control::PROMOTION_LIMIT;
use ragwort_control::ReplacementState;
use ragwort_control::WriteGuarantee;
use ragwort_policy::GroupCheck;
use ragwort_types::InstanceName;
use ragwort_types::LogPosition;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;

impl NativeTask {
    /// Logs the orders of former leaseholders that may still take effect.
    pub(super) fn log_recorded_orders(&self) {
        for (instance, token) in self.orders.list() {
            log_event!(
                Level::Warn,
                "order_outstanding",
                group = self.group,
                instance = instance,
                token = token,
            );
        }
    }

    /// Raises the fence for the present primary if an order may still be carried out.
    pub(super) fn raise_fence(&mut self, now: ClockTime, primary: &InstanceName) {
        let actions = self.fence.tick(now);
        self.perform_replacement(actions);
        if !self.orders.needs_fence() || self.fence.awaits_reply_for(primary) {
            return;
        }
        log_event!(
            Level::Warn,
            "order_fence_begun",
            group = self.group,
            instance = primary,
            holds_writes = self.holds_writes(),
        );
        let actions = self.fence.begin(now, primary);
        self.perform_replacement(actions);
    }

    /// Stops raising the fence: another instance is the primary, or the primary is being replaced.
    pub(super) fn abandon_fence(&mut self, now: ClockTime) {
        self.fence.handle(now, FenceEvent::Abandoned);
    }

    /// Removes the orders that can't take effect any more, and has the catalog forget them.
    pub(super) fn remove_ended_orders(&mut self, now: ClockTime) {
        if self.orders.remove_ended(now) && self.orders.is_empty() {
            log_event!(Level::Info, "orders_settled", group = self.group);
            self.checks.request_after(GroupCheck::Records, TICK);
        }
    }

    /// Returns the fencing token up to which the catalog may forget orders.
    pub(super) fn settled_token(&mut self) -> u64 {
        let idle = self.replacement.state() == ReplacementState::Steady
            && self.fence.state() == FenceState::Idle;
        match idle {
            true => self.orders.settle(&self.record.orders),
            false => self.orders.settle(&[]),
        }
    }

    /// Returns whether writes are refused because another instance than the present primary may
    /// become the primary, and acknowledged writes are guaranteed.
    ///
    /// During a replacement the primary takes no writes, and they wait for the next one.
    pub(super) fn holds_writes(&self) -> bool {
        let Some((primary, _)) = &self.leading else {
            return false;
        };
        let threatened = self.orders.others(primary).next().is_some();
        threatened
            && self.replacement.state() == ReplacementState::Steady
            && self.write_guarantee() != WriteGuarantee::BestEffort
    }

    /// Returns whether every instance that may become the primary by an outstanding order is known
    /// to hold a position, or no guarantee was given.
    pub(super) fn is_held_by_ordered(&self, position: LogPosition) -> bool {
        let Some((primary, _)) = &self.leading else {
            return true;
        };
        let mut others = self.orders.others(primary);
        let is_held = |instance| {
            let replica = self.replicas.get(instance);
            replica.is_some_and(|replica| replica.is_known_to_hold(position))
        };
        self.write_guarantee() == WriteGuarantee::BestEffort || others.all(is_held)
    }

    /// Returns the refusal of a write while [`holds_writes`](Self::holds_writes).
    pub(super) fn refuse_held_write(&self) -> RequestVerdict {
        let now = self.now();
        let end = self.orders.settled_at().unwrap_or(now + PROMOTION_LIMIT);
        let wait = end.since(now).as_millis();
        RequestVerdict::refused(RefusalCause::NoPrimary, u64::try_from(wait).unwrap_or(0))
    }
}
