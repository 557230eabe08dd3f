//! The names in the promotion chart.

use crate::chart::ChartVocabulary;
use crate::chart::StateChart;
use crate::chart::chart_names;
use std::sync::LazyLock;

chart_names! {
    /// Where a promotion stands.
    PromotionState {
        /// The group never had a primary; its instances are being gathered.
        Forming,
        /// The present term has its primary.
        Serving,
        /// A new term is proposed.
        Beginning,
        /// A majority is being fenced.
        Fencing,
        /// The candidate is being promoted.
        Promoting,
        /// The primary is being recorded.
        Recording,
        /// This process doesn't lead the group any more.
        Stopped,
    }
}

chart_names! {
    /// What happens to a promotion.
    PromotionEvent {
        /// The primary is taken for dead.
        Suspected,
        /// The group's first instances are gathered.
        FormationReady,
        /// The term was committed.
        TermCommitted,
        /// The term was refused, as the catalog had changed.
        TermRefused,
        /// Whether the term was committed isn't known.
        TermUnknown,
        /// An instance was fenced.
        Fenced,
        /// An instance didn't answer the fence.
        FenceFailed,
        /// An instance knows a later term.
        LaterTermSeen,
        /// The candidate was promoted.
        Promoted,
        /// The promotion can't have reached the candidate.
        PromoteNotSent,
        /// Whether the candidate was promoted isn't known.
        PromoteUnknown,
        /// The primary was recorded.
        PrimaryRecorded,
        /// The record was refused, as the catalog had changed.
        RecordRefused,
        /// Whether the primary was recorded isn't known.
        RecordUnknown,
        /// The group's placement has a new epoch, under the same leaseholder.
        EpochChanged,
        /// An instance doesn't follow the present term.
        InstanceBehind,
        /// The time for a retry has come.
        RetryDue,
        /// This process doesn't lead the group any more.
        LeaseLost,
    }
}

chart_names! {
    /// What a promotion's course depends on.
    PromotionGuard {
        /// A majority is fenced; for a group's first primary, all instances.
        EnoughFenced,
        /// The instance that knows a later term is the primary.
        PrimaryRefuses,
    }
}

chart_names! {
    /// What a promotion does; most become a [`PromotionAction`](crate::PromotionAction).
    PromotionStep {
        /// Proposes the next term.
        ProposeTerm,
        /// Fences every instance.
        FenceAll,
        /// Fences the instances that haven't answered.
        FenceRest,
        /// Chooses a fenced instance and promotes it.
        PromoteCandidate,
        /// Counts the candidate as not fenced.
        DropCandidate,
        /// Proposes the record of the primary.
        ProposePrimary,
        /// Lets the group be served.
        Serve,
        /// Stops dispatching, as there is no primary.
        Suspend,
        /// Tells all other instances to follow.
        FollowOthers,
        /// Tells one instance to follow.
        FollowInstance,
        /// Waits for the next retry.
        ScheduleRetry,
        /// Ends the machine.
        Stop,
    }
}

/// The names in the promotion chart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionVocabulary;

impl ChartVocabulary for PromotionVocabulary {
    type State = PromotionState;
    type Event = PromotionEvent;
    type Guard = PromotionGuard;
    type Action = PromotionStep;
}

/// Returns the promotion chart.
pub fn promotion_chart() -> &'static StateChart<PromotionVocabulary> {
    static CHART: LazyLock<StateChart<PromotionVocabulary>> =
        LazyLock::new(|| StateChart::from_yaml(include_str!("../charts/promotion.yaml")));
    &CHART
}
