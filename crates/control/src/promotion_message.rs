//! What a promotion is told, and what it asks its caller to do.

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

/// What became of a request to an endpoint's agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentOutcome {
    /// The agent answered.
    Answered(FenceReply),
    /// No connection could be opened: the request can't have reached the agent.
    NotSent,
    /// The request was sent and its answer is lost.
    Unknown,
}

/// What a promotion is told. Answers carry the term that they were asked for, so that a late one
/// isn't taken for another's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromotionInput {
    /// The primary of this term is taken for dead.
    Suspected(GroupTerm),
    /// The group's first instances are in its set; the first term may begin.
    FormationReady,
    /// The answer to [`PromotionAction::ProposeTerm`].
    TermAnswered(GroupTerm, CommandReply),
    /// The answer to [`PromotionAction::Fence`].
    FenceAnswered(InstanceName, GroupTerm, AgentOutcome),
    /// The answer to [`PromotionAction::Promote`].
    PromoteAnswered(InstanceName, GroupTerm, AgentOutcome),
    /// The answer to [`PromotionAction::ProposePrimary`].
    RecordAnswered(GroupTerm, CommandReply),
    /// The answer to [`PromotionAction::Follow`].
    FollowAnswered(InstanceName, GroupTerm, AgentOutcome),
    /// An instance of the group, in its set or not, reported its status.
    StatusReported(InstanceName, InstanceStatus),
    /// The group's record changed in this process's copy of the catalog.
    RecordChanged(Box<GroupRecord>),
    /// This process's lease ended, or the group was placed elsewhere.
    LeaseLost,
    /// Time has passed; see [`retry_at`](crate::GroupPromotion::retry_at).
    Tick,
}

/// What the caller does for a promotion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromotionAction {
    /// Propose this command to control.
    ProposeTerm(TermStart),
    /// Fence an instance at a term.
    Fence(InstanceName, GroupTerm),
    /// Promote an instance in a term.
    Promote(InstanceName, GroupTerm),
    /// Propose this command to control.
    ProposePrimary(PrimaryRecord),
    /// Tell an instance to follow the primary.
    Follow(FollowOrder),
    /// Serve the group: this instance is its primary in this term.
    Serve(InstanceName, GroupTerm),
    /// Dispatch nothing to the group until it is served again.
    Suspend,
    /// Drop the group: this process doesn't lead it any more.
    Stop,
}

/// Whom an instance is to follow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowOrder {
    /// The instance.
    pub instance: InstanceName,
    /// The primary's term.
    pub term: GroupTerm,
    /// Where the term began: the instance drops what it has past it from earlier terms.
    pub start: LogPosition,
    /// The primary.
    pub primary: InstanceName,
}

/// The actions of one input.
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
