//! What a group's child tasks report to its leaseholder.

use ragwort_control::AgentOutcome;
use ragwort_control::ClockTime;
use ragwort_control::JournalSource;
use ragwort_control::ProbeOutcome;
use ragwort_control::ProbeView;
use ragwort_control::RoundId;
use ragwort_types::CatalogCommand;
use ragwort_types::CommandReply;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::InstanceStatus;
use ragwort_types::JournalReply;
use ragwort_types::PlacementEpoch;
use ragwort_types::VmName;

/// A report of a child task.
#[derive(Debug)]
pub enum GroupNotice {
    /// An agent answered, or did not.
    Agent(AgentReport),
    /// An instance was asked for its term after a round of reads began.
    ReadRound(RoundReport),
    /// A standby answered to journal entries, or did not.
    Journal(JournalReport),
    /// A VM handed over its copy of the journal, or did not.
    JournalCopy(VmName, Option<JournalSource>),
    /// A catalog command was answered.
    Command(Box<CatalogCommand>, CommandReply),
    /// An agent answered to a fence, a promotion or an order to follow, or did not.
    Order(OrderReport),
    /// A probe of the primary ended.
    Probe(ProbeReport),
    /// A standby says whether it reaches the primary.
    StandbyProbe(StandbyProbe),
}

/// An agent's answer to a request for its status.
#[derive(Debug)]
pub struct AgentReport {
    /// The instance.
    pub instance: InstanceName,
    /// When the request was sent.
    pub asked: ClockTime,
    /// The answer; `None` if there was none in time.
    pub status: Option<InstanceStatus>,
}

/// An instance's answer in a round of reads.
#[derive(Debug)]
pub struct RoundReport {
    /// The round.
    pub round: RoundId,
    /// The instance.
    pub instance: InstanceName,
    /// When the request was sent.
    pub asked: ClockTime,
    /// The answer; `None` if there was none in time.
    pub status: Option<InstanceStatus>,
}

/// A standby's answer to journal entries.
#[derive(Debug)]
pub struct JournalReport {
    /// The standby.
    pub vm: VmName,
    /// The epoch that the entries were sent under.
    pub epoch: PlacementEpoch,
    /// The answer; `None` if there was none in time.
    pub reply: Option<JournalReply>,
}

/// What an agent was ordered to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentOrder {
    /// To refuse earlier terms.
    Fence,
    /// To become the primary.
    Promote,
    /// To follow the primary.
    Follow,
}

/// An agent's answer to an order.
#[derive(Debug)]
pub struct OrderReport {
    /// The order.
    pub order: AgentOrder,
    /// The instance.
    pub instance: InstanceName,
    /// The term of the order.
    pub term: GroupTerm,
    /// What became of it.
    pub outcome: AgentOutcome,
}

/// What became of a probe of the primary.
#[derive(Debug)]
pub struct ProbeReport {
    /// The probed instance.
    pub instance: InstanceName,
    /// Which connection the probe went through.
    pub view: ProbeView,
    /// What became of it so far.
    pub outcome: ProbeOutcome,
}

/// A standby's view of the primary.
#[derive(Debug)]
pub struct StandbyProbe {
    /// The probed instance.
    pub instance: InstanceName,
    /// The standby.
    pub vm: VmName,
    /// When it was asked.
    pub asked: ClockTime,
    /// Whether it reaches the instance.
    pub reachable: bool,
}
