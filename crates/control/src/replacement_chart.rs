//! States, events, guards and actions of the chart for the replacement of a primary.

use crate::chart::ChartVocabulary;
use crate::chart::StateChart;
use crate::chart::chart_names;
use std::sync::LazyLock;

chart_names! {
    /// State of a replacement.
    ReplacementState {
        /// The group has its primary, or no fault was detected yet.
        Steady,
        /// The other instances are asked for their positions.
        Asking,
        /// The replicated log is asked for a fencing token.
        Numbering,
        /// The promotion is being ordered.
        Ordering,
        /// The order was accepted, and its effect is awaited.
        Watching,
    }
}

chart_names! {
    /// Event in a replacement.
    ReplacementEvent {
        /// The primary is suspected, or it is leaving.
        Wanted,
        /// All instances have replied, or the time for it is over.
        AskedEnough,
        /// The replicated log has issued a fencing token.
        NumberIssued,
        /// The replicated log refused a fencing token because another VM leads the group.
        NumberRefused,
        /// The reply to the request for a fencing token was lost.
        NumberUnknown,
        /// The promotion service accepted the order.
        OrderAccepted,
        /// The service has seen a later order, or the instance isn't running.
        OrderOvertaken,
        /// The service didn't accept the order.
        OrderUntaken,
        /// The reply to the order was lost.
        OrderUnknown,
        /// A usable instance is the primary.
        PrimaryFound,
        /// The retry time was reached.
        RetryDue,
    }
}

chart_names! {
    /// Condition of a transition.
    ReplacementGuard {
        /// An instance that may be promoted has replied.
        HasCandidate,
    }
}

chart_names! {
    /// Action of a transition.
    ReplacementStep {
        /// Asks the other instances for their positions.
        AskInstances,
        /// Chooses the instance with the highest position and requests a fencing token from the
        /// replicated log.
        ProposeNumber,
        /// Orders the promotion.
        GiveOrder,
        /// Schedules a retry.
        ScheduleRetry,
        /// Schedules a check whether the promotion took effect.
        ScheduleLook,
    }
}

/// Vocabulary of the chart for the replacement of a primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplacementVocabulary;

impl ChartVocabulary for ReplacementVocabulary {
    type State = ReplacementState;
    type Event = ReplacementEvent;
    type Guard = ReplacementGuard;
    type Action = ReplacementStep;
}

/// Returns the chart for the replacement of a primary.
pub fn replacement_chart() -> &'static StateChart<ReplacementVocabulary> {
    static CHART: LazyLock<StateChart<ReplacementVocabulary>> =
        LazyLock::new(|| StateChart::from_yaml(include_str!("../charts/replacement.yaml")));
    &CHART
}
