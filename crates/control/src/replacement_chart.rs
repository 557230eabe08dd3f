//! The names in the chart of a primary's replacement.

use crate::chart::ChartVocabulary;
use crate::chart::StateChart;
use crate::chart::chart_names;
use std::sync::LazyLock;

chart_names! {
    /// Where a replacement stands.
    ReplacementState {
        /// The group has its primary, or nothing was found to be wrong yet.
        Steady,
        /// The other instances are asked how far they are.
        Asking,
        /// The agreed log is asked for a number.
        Numbering,
        /// The promotion is ordered.
        Ordering,
        /// The order may be carried out.
        Watching,
    }
}

chart_names! {
    /// What happens to a replacement.
    ReplacementEvent {
        /// The primary is taken for dead, or leaves.
        Wanted,
        /// All have answered, or there was time enough.
        AskedEnough,
        /// The agreed log has issued a number.
        NumberIssued,
        /// The agreed log refuses one, as another VM leads the group.
        NumberRefused,
        /// Whether a number was issued isn't known.
        NumberUnknown,
        /// The order is being carried out.
        OrderAccepted,
        /// A later order was seen, or the instance doesn't run.
        OrderOvertaken,
        /// The order was not taken.
        OrderUntaken,
        /// Whether the order was taken isn't known.
        OrderUnknown,
        /// An instance leads that may be used.
        PrimaryFound,
        /// The time for a retry has come.
        RetryDue,
    }
}

chart_names! {
    /// What a replacement's course depends on.
    ReplacementGuard {
        /// An instance has answered that may be promoted.
        HasCandidate,
    }
}

chart_names! {
    /// What a replacement does.
    ReplacementStep {
        /// Asks the other instances how far they are.
        AskInstances,
        /// Chooses the instance that is furthest, and asks the agreed log for a number.
        ProposeNumber,
        /// Orders the promotion.
        GiveOrder,
        /// Waits for the next retry.
        ScheduleRetry,
        /// Waits for the promotion to show.
        ScheduleLook,
    }
}

/// The names in the chart of a primary's replacement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplacementVocabulary;

impl ChartVocabulary for ReplacementVocabulary {
    type State = ReplacementState;
    type Event = ReplacementEvent;
    type Guard = ReplacementGuard;
    type Action = ReplacementStep;
}

/// Returns the chart of a primary's replacement.
pub fn replacement_chart() -> &'static StateChart<ReplacementVocabulary> {
    static CHART: LazyLock<StateChart<ReplacementVocabulary>> =
        LazyLock::new(|| StateChart::from_yaml(include_str!("../charts/replacement.yaml")));
    &CHART
}
