//! States, events, guards and actions of the promotion chart.

use crate::chart::ChartVocabulary;
use crate::chart::StateChart;
use crate::chart::chart_names;
use std::sync::LazyLock;

chart_names! {
    /// State of a promotion.
    PromotionState {
        /// The group never had a primary; its first instances are being collected.
        Forming,
        /// The present term has a primary.
        Serving,
        /// A new term has been proposed.
        Beginning,
        /// Instances are being fenced at the new term.
        Fencing,
        /// The candidate is being promoted.
        Promoting,
        /// The primary is being recorded in the catalog.
        Recording,
        /// This process no longer leads the group.
        Stopped,
    }
}

chart_names! {
    /// Event in a promotion.
    PromotionEvent {
        /// The primary is suspected.
        Suspected,
        /// The group's first instances are in its instance set.
        FormationReady,
        /// The term was committed.
        TermCommitted,
        /// The term was refused because the catalog had changed.
        TermRefused,
        /// The reply to the proposed term was lost.
        TermUnknown,
        /// An instance was fenced.
        Fenced,
        /// An instance didn't answer the fence request.
        FenceFailed,
        /// An instance was fenced at a later term.
        LaterTermSeen,
        /// The candidate was promoted.
        Promoted,
        /// The promotion request can't have reached the candidate.
        PromoteNotSent,
        /// The candidate's reply to the promotion was lost.
        PromoteUnknown,
        /// The primary was recorded in the catalog.
        PrimaryRecorded,
        /// The record was refused because the catalog had changed.
        RecordRefused,
        /// The reply to the proposed record was lost.
        RecordUnknown,
        /// The group's placement has a new epoch under the same leaseholder.
        EpochChanged,
        /// An instance doesn't follow the present term.
        InstanceBehind,
        /// The retry time was reached.
        RetryDue,
        /// This process no longer leads the group.
        LeaseLost,
    }
}

chart_names! {
    /// Condition of a transition.
    PromotionGuard {
        /// A majority is fenced or, for a group's first primary, every instance.
        EnoughFenced,
        /// The instance that was fenced at a later term is the primary.
        PrimaryRefuses,
    }
}

chart_names! {
    /// Action of a transition; most result in a [`PromotionAction`](crate::PromotionAction).
    PromotionStep {
        /// Proposes the next term.
        ProposeTerm,
        /// Fences all instances.
        FenceAll,
        /// Fences the instances that haven't replied.
        FenceRest,
        /// Chooses a fenced instance and promotes it.
        PromoteCandidate,
        /// Removes the candidate from the fenced instances.
        DropCandidate,
        /// Proposes the record of the primary.
        ProposePrimary,
        /// Starts serving the group.
        Serve,
        /// Stops dispatching until there is a primary.
        Suspend,
        /// Orders all other instances to follow the primary.
        FollowOthers,
        /// Orders one instance to follow the primary.
        FollowInstance,
        /// Schedules a retry.
        ScheduleRetry,
        /// Stops the state machine.
        Stop,
    }
}

/// Vocabulary of the promotion chart.
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
