//! Requests and endpoints as described to the scheduler, and the decisions that it returns.

use crate::ClockTime;
use ragwort_types::AccessMode;
use ragwort_types::CustomerContract;
use ragwort_types::CustomerName;
use ragwort_types::DomainName;
use ragwort_types::InstanceName;
use ragwort_types::KindName;
use ragwort_types::LengthClass;
use ragwort_types::LogPosition;
use ragwort_types::PriorityLevel;
use ragwort_types::Refusal;
use ragwort_types::RepeatRule;
use ragwort_types::ShareGroupName;
use ragwort_types::UrgencyClass;
use serde::Deserialize;
use serde::Serialize;
use std::time::Duration;

/// Identifies one request within one scheduler; chosen by the caller of the scheduler and never
/// reused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestTicket(pub u64);

/// The properties of a request that the scheduler decides by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestProfile {
    /// The identifier of the request.
    pub ticket: RequestTicket,
    /// The customer that is charged for it.
    pub customer: CustomerName,
    /// Its kind, by which its run time is estimated.
    pub kind: KindName,
    /// A hash of the caller's session.
    pub session: u64,
    /// A digest of the account whose callers must have a connection of their own; `None` where
    /// connections aren't bound to accounts.
    pub account: Option<u64>,
    /// A hash of the record that the request concerns, if the caller names one.
    pub key: Option<u64>,
    /// Whether it reads or writes.
    pub access: AccessMode,
    /// Whether it may run again.
    pub repeat: RepeatRule,
    /// Whether it is served before ordinary requests.
    pub urgency: UrgencyClass,
    /// Its priority level; `None` if only the urgency counts.
    pub priority: Option<PriorityLevel>,
    /// The length class that the contract declares.
    pub length: LengthClass,
    /// Whether only the primary may serve it, whatever its maximum age.
    pub needs_primary: bool,
    /// The log position that an instance must have applied to serve it: the session's last write.
    pub min_position: LogPosition,
    /// The maximum age of the data that it reads; zero means that only the primary may serve it.
    pub max_age: Duration,
    /// The time by which the caller needs the answer.
    pub deadline: ClockTime,
    /// An earlier time by which the answer is most useful to the caller.
    pub target: Option<ClockTime>,
    /// Its relation to a transaction.
    pub step: RequestStep,
}

impl RequestProfile {
    /// Returns whether the contract lets a replica serve the request.
    pub fn allows_replica(&self) -> bool {
        self.access == AccessMode::Read
            && !self.needs_primary
            && !self.max_age.is_zero()
            && matches!(self.step, RequestStep::Single | RequestStep::Opens)
    }
}

/// The relation of a request to a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStep {
    /// The request is outside of a transaction; its connection is free when it ends.
    Single,
    /// The request opens a transaction, which holds the connection until
    /// [`GroupScheduler::unpin`](crate::GroupScheduler::unpin) is called with this request's
    /// ticket.
    Opens,
    /// The request belongs to the transaction that the request with this ticket opened, and runs on
    /// its connection.
    Within(RequestTicket),
}

/// The terms of a customer's contract that the scheduler needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerTerms {
    /// The customer.
    pub customer: CustomerName,
    /// The customer's weight, relative to other customers, when slots are scarce.
    pub slot_share: u32,
    /// Maximum number of its requests that wait at the same time.
    pub queue_limit: u32,
    /// Maximum number of connections that its transactions hold at the same time.
    pub connection_limit: u32,
    /// The share group whose contracts have one slot share together.
    pub share_group: Option<ShareGroupName>,
}

impl From<&CustomerContract> for CustomerTerms {
    fn from(contract: &CustomerContract) -> Self {
        Self {
            customer: contract.customer.clone(),
            slot_share: contract.slot_share,
            queue_limit: contract.queue_limit,
            connection_limit: contract.connection_limit,
            share_group: contract.share_group.clone(),
        }
    }
}

/// The work that an endpoint accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointRole {
    /// Writes, and reads of any maximum age.
    Primary,
    /// Reads that its position and data age allow.
    Replica,
    /// None: the endpoint is unreachable, fenced or not yet known.
    Unusable,
}

/// The state of an endpoint as seen by the leaseholder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointState {
    /// The instance.
    pub instance: InstanceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The number of statements that it runs concurrently.
    pub slots: u32,
    /// The number of connections that it accepts.
    pub connections: u32,
    /// The work that it accepts.
    pub role: EndpointRole,
    /// Whether it wants no new work; open transactions may end on it.
    pub leaving: bool,
}

/// The decision about a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalDecision {
    /// The request waits; a later [`SchedulerDecision`] settles it.
    Queued,
    /// The request was not admitted. This answer is final.
    Refused(Refusal),
}

/// A decision for the leaseholder to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchedulerDecision {
    /// Send the request to the instance now, on an idle connection, or on its pinned one.
    Dispatch(DispatchOrder),
    /// Answer the caller that the request did not run. This answer is final.
    Refuse(RefusalOrder),
    /// Open one more connection to the instance and report
    /// [`connection_opened`](crate::GroupScheduler::connection_opened) or
    /// [`connection_failed`](crate::GroupScheduler::connection_failed).
    OpenConnection(InstanceName),
}

/// A request on its way to an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchOrder {
    /// The request.
    pub ticket: RequestTicket,
    /// The instance that it is sent to.
    pub instance: InstanceName,
}

/// A waiting request that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalOrder {
    /// The request.
    pub ticket: RequestTicket,
    /// The cause, and when to retry.
    pub refusal: Refusal,
}

/// How a dispatched request ended at its instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishOutcome {
    /// The instance answered with a result or with an error of its own.
    Answered,
    /// The instance reported that the request did not run, for a reason that concerns this request
    /// or connection.
    NotRun,
    /// The instance did not run the request because it takes no more at present. That says
    /// something about the instance, so it counts in its share of rejected statements. A statement
    /// of an open transaction may end like this only if the transaction is still open, since it
    /// is sent again on the same connection.
    Rejected,
    /// The instance ran the request, which failed, and running it again does no harm.
    Failed,
    /// The instance hadn't applied the position that the request must see, and did not run it. The
    /// scheduler sent it there on an estimate: that counts as an attempt, but not against the retry
    /// budget, which is for failures.
    Behind,
    /// Its connection was found dead before a byte was sent, and is closed. The instance did no
    /// work for it, so this counts neither as an attempt nor against the retry budget.
    NotSent,
    /// The request was sent and its outcome is unknown.
    Lost,
}

/// The decision about a request that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishDecision {
    /// The request is settled: return the instance's answer to the caller, or that the request may
    /// have run.
    Settled,
    /// The request waits again under the same ticket; a later decision settles it.
    Requeued,
    /// The request did not run and isn't retried. This answer is final.
    Refused(Refusal),
    /// No request with this ticket is running.
    Unknown,
}

/// The effect of dropping a request whose caller has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonEffect {
    /// The request was waiting and is dropped; no decision about it follows.
    Removed,
    /// The request is running; its slot stays held until its end is reported.
    Running,
    /// No request with this ticket is known.
    Unknown,
}
