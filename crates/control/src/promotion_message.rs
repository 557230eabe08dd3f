//! Inputs and actions of the failover state machine.

use crate::promotion_chart::PromotionEvent;
use ragwort_types::CatalogOutcome;
use ragwort_types::CommandReply;
use ragwort_types::FenceReply;
use ragwort_types::GroupRecord;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::InstanceStatus;
use ragwort_types::LogPosition;
use ragwort_types::PrimaryRecord;
use ragwort_types::TermStart;
use smallvec::SmallVec;

/// The outcome of a request to an endpoint's agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentOutcome {
    /// The agent answered.
    Answered(FenceReply),
    /// No connection could be opened, so the request can't have reached the agent.
    NotSent,
    /// The request was sent, but its reply was lost.
    Unknown,
}

/// An input to the state machine.
///
/// Replies carry the term of their request, so that a late one isn't taken for the reply to another
/// request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromotionInput {
    /// The primary of this term is suspected.
    Suspected(GroupTerm),
    /// The group's first instances are in its instance set, so the first term may begin.
    FormationReady,
    /// The reply to [`PromotionAction::ProposeTerm`].
    TermAnswered(GroupTerm, CommandReply),
    /// The reply to [`PromotionAction::Fence`].
    FenceAnswered(InstanceName, GroupTerm, AgentOutcome),
    /// The reply to [`PromotionAction::Promote`].
    PromoteAnswered(InstanceName, GroupTerm, AgentOutcome),
    /// The reply to [`PromotionAction::ProposePrimary`].
    RecordAnswered(GroupTerm, CommandReply),
    /// The reply to [`PromotionAction::Follow`].
    FollowAnswered(InstanceName, GroupTerm, AgentOutcome),
    /// The status of an instance of the group, whether or not it is in the instance set.
    StatusReported(InstanceName, InstanceStatus),
    /// The group's record changed in the local copy of the catalog.
    RecordChanged(Box<GroupRecord>),
    /// This process's lease ended, or the group was placed on another VM.
    LeaseLost,
    /// The retry time was reached; see [`retry_at`](crate::GroupPromotion::retry_at).
    Tick,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromotionAction {
    /// Propose the start of a term to control.
    ProposeTerm(TermStart),
    /// Fence an instance at a term.
    Fence(InstanceName, GroupTerm),
    /// Promote an instance in a term.
    Promote(InstanceName, GroupTerm),
    /// Propose the record of the primary to control.
    ProposePrimary(PrimaryRecord),
    /// Order an instance to follow the primary.
    Follow(FollowOrder),
    /// Serve the group with this instance as primary in this term.
    Serve(InstanceName, GroupTerm),
    /// Dispatch no requests to the group until the next [`Serve`](Self::Serve).
    Suspend,
    /// Drop the group: this process no longer leads it.
    Stop,
}

/// An order to follow a primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowOrder {
    /// The instance that must follow.
    pub instance: InstanceName,
    /// The primary's term.
    pub term: GroupTerm,
    /// The first position of the term. The instance discards what it holds beyond it from earlier
    /// terms.
    pub start: LogPosition,
    /// The primary.
    pub primary: InstanceName,
}

/// The actions that result from one input.
pub type PromotionActions = SmallVec<[PromotionAction; 4]>;

pub(crate) fn read_term_reply(reply: &CommandReply) -> PromotionEvent {
    match reply {
        CommandReply::Committed(CatalogOutcome::Done(_)) => PromotionEvent::TermCommitted,
        CommandReply::Committed(_) => PromotionEvent::TermRefused,
        CommandReply::NoLeader | CommandReply::Unknown => PromotionEvent::TermUnknown,
    }
}

pub(crate) fn read_record_reply(reply: &CommandReply) -> PromotionEvent {
    match reply {
        CommandReply::Committed(CatalogOutcome::Done(_)) => PromotionEvent::PrimaryRecorded,
        CommandReply::Committed(_) => PromotionEvent::RecordRefused,
        CommandReply::NoLeader | CommandReply::Unknown => PromotionEvent::RecordUnknown,
    }
}
