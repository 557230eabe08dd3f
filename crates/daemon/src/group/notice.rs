//! The reports that a group's child tasks send to its leaseholder.

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
    /// An agent's answer to a status request, or the lack of one.
    Agent(AgentReport),
    /// An instance's answer in a read round, or the lack of one.
    ReadRound(RoundReport),
    /// A standby's answer to journal entries, or the lack of one.
    Journal(JournalReport),
    /// A VM's copy of the journal; `None` if it did not answer.
    JournalCopy(VmName, Option<JournalSource>),
    /// A catalog command and its outcome.
    Command(Box<CatalogCommand>, CommandReply),
    /// An agent's answer to an order to fence, promote or follow, or the lack of one.
    Order(OrderReport),
    /// The outcome of a probe of the primary.
    Probe(ProbeReport),
    /// A standby's report whether it reaches the primary.
    StandbyProbe(StandbyProbe),
}

/// An agent's answer to a request for its status.
#[derive(Debug)]
pub struct AgentReport {
    /// The instance.
    pub instance: InstanceName,
    /// When the request was sent.
    pub sent_at: ClockTime,
    /// The answer; `None` if there was none in time.
    pub status: Option<InstanceStatus>,
}

/// An instance's answer in a read round.
#[derive(Debug)]
pub struct RoundReport {
    /// The round.
    pub round: RoundId,
    /// The instance.
    pub instance: InstanceName,
    /// When the request was sent.
    pub sent_at: ClockTime,
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

/// An order to an instance's agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentOrder {
    /// Refuse earlier terms.
    Fence,
    /// Become the primary.
    Promote,
    /// Replicate from the primary.
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
    /// The outcome.
    pub outcome: AgentOutcome,
}

/// The outcome of a probe of the primary.
#[derive(Debug)]
pub struct ProbeReport {
    /// The probed instance.
    pub instance: InstanceName,
    /// The kind of connection that the probe used.
    pub view: ProbeView,
    /// The outcome so far.
    pub outcome: ProbeOutcome,
}

/// A standby's report whether it reaches the primary.
#[derive(Debug)]
pub struct StandbyProbe {
    /// The probed instance.
    pub instance: InstanceName,
    /// The standby.
    pub vm: VmName,
    /// When the request was sent.
    pub sent_at: ClockTime,
    /// Whether it reaches the instance.
    pub reachable: bool,
}
