//! Fence against orders to promote that may still be carried out.
//!
//! An order without a reply may be carried out seconds later, when the primary that it was to
//! replace serves again. The promotion service checks the fencing token at that time, so an order
//! for the present primary with a higher token keeps all earlier ones from taking effect.

use crate::ClockTime;
use crate::order_fence_chart::FenceEvent;
use crate::order_fence_chart::FenceState;
use crate::order_fence_chart::FenceStep;
use crate::order_fence_chart::order_fence_chart;
use crate::replacement::ReplacementAction;
use crate::replacement::ReplacementActions;
use ragwort_types::InstanceName;
use std::time::Duration;

/// Delay before a step is retried. The promotion service limits the number of calls.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// State machine that raises the fence of one group.
#[derive(Clone, Debug)]
pub struct OrderFence {
    state: FenceState,
    /// The present primary, for which the order is given.
    primary: Option<InstanceName>,
    token: Option<u64>,
    retry_at: Option<ClockTime>,
}

impl Default for OrderFence {
    fn default() -> Self {
        Self {
            state: FenceState::Idle,
            primary: None,
            token: None,
            retry_at: None,
        }
    }
}

impl OrderFence {
    /// Returns the state.
    pub fn state(&self) -> FenceState {
        self.state
    }

    /// Returns whether the fence is being raised for this primary.
    pub fn awaits_reply_for(&self, primary: &InstanceName) -> bool {
        self.state != FenceState::Idle && self.primary.as_ref() == Some(primary)
    }

    /// Returns whether a fencing token for the promotion of this instance is awaited.
    pub fn awaits_token(&self, instance: &InstanceName) -> bool {
        self.state == FenceState::Numbering && self.primary.as_ref() == Some(instance)
    }

    /// Returns whether the reply to the order with this fencing token is awaited.
    pub fn awaits_order(&self, token: u64) -> bool {
        self.state == FenceState::Ordering && self.token == Some(token)
    }

    /// Begins to raise the fence for the present primary, unless that is under way.
    pub fn begin(&mut self, now: ClockTime, primary: &InstanceName) -> ReplacementActions {
        if self.state != FenceState::Idle && self.primary.as_ref() != Some(primary) {
            self.handle(now, FenceEvent::Abandoned);
        }
        self.primary = Some(primary.clone());
        self.handle(now, FenceEvent::Wanted)
    }

    /// Processes the fencing token that the replicated log has issued.
    pub fn receive_token(&mut self, now: ClockTime, token: u64) -> ReplacementActions {
        self.token = Some(token);
        self.handle(now, FenceEvent::NumberIssued)
    }

    /// Processes the timeout that has expired, if any.
    pub fn tick(&mut self, now: ClockTime) -> ReplacementActions {
        match self.retry_at.is_some_and(|due| now >= due) {
            true => self.handle(now, FenceEvent::RetryDue),
            false => ReplacementActions::new(),
        }
    }

    /// Processes an event.
    pub fn handle(&mut self, now: ClockTime, event: FenceEvent) -> ReplacementActions {
        let step = order_fence_chart().step(self.state, event, |guard| match guard {});
        if step.target != self.state || !step.actions.is_empty() {
            self.retry_at = None;
        }
        self.state = step.target;
        let mut actions = ReplacementActions::new();
        for action in step.actions {
            actions.extend(self.perform(now, action));
        }
        actions
    }

    fn perform(&mut self, now: ClockTime, step: FenceStep) -> Option<ReplacementAction> {
        let primary = self.primary.clone();
        match step {
            FenceStep::ProposeNumber => primary.map(ReplacementAction::ProposeNumber),
            FenceStep::GiveOrder => {
                let order = primary.zip(self.token);
                order.map(|(instance, token)| ReplacementAction::GiveOrder(instance, token))
            }
            FenceStep::ScheduleRetry => {
                self.retry_at = Some(now + RETRY_DELAY);
                None
            }
        }
    }
}
