//! States, events and actions of the chart for the fence against orders that may still be carried
//! out.

use crate::chart::ChartVocabulary;
use crate::chart::StateChart;
use crate::chart::chart_names;
use std::sync::LazyLock;

chart_names! {
    /// State of a fence.
    FenceState {
        /// Nothing is under way.
        Idle,
        /// The replicated log is asked for a fencing token.
        Numbering,
        /// The order for the present primary is under way.
        Ordering,
    }
}

chart_names! {
    /// Event in the raising of a fence.
    FenceEvent {
        /// Orders may still be carried out.
        Wanted,
        /// The replicated log has issued a fencing token.
        NumberIssued,
        /// The replicated log refused a fencing token, or its reply was lost.
        NumberMissing,
        /// The promotion service accepted the order.
        OrderAccepted,
        /// The service has seen a later order, or the instance isn't running.
        OrderOvertaken,
        /// The service didn't accept the order, or its reply was lost.
        OrderMissing,
        /// Another instance is the primary, or the primary is being replaced.
        Abandoned,
        /// The retry time was reached.
        RetryDue,
    }
}

chart_names! {
    /// Condition of a transition. The chart has none.
    FenceGuard {}
}

chart_names! {
    /// Action of a transition.
    FenceStep {
        /// Requests a fencing token from the replicated log.
        ProposeNumber,
        /// Orders the promotion of the present primary.
        GiveOrder,
        /// Schedules a retry.
        ScheduleRetry,
    }
}

/// Vocabulary of the chart for the fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FenceVocabulary;

impl ChartVocabulary for FenceVocabulary {
    type State = FenceState;
    type Event = FenceEvent;
    type Guard = FenceGuard;
    type Action = FenceStep;
}

/// Returns the chart for the fence against orders that may still be carried out.
pub fn order_fence_chart() -> &'static StateChart<FenceVocabulary> {
    static CHART: LazyLock<StateChart<FenceVocabulary>> =
        LazyLock::new(|| StateChart::from_yaml(include_str!("../charts/order_fence.yaml")));
    &CHART
}
