//! Messages between gateways, leaseholders, standbys and control VMs.

use crate::AccountName;
use crate::CatalogCommand;
use crate::CatalogDelta;
use crate::CatalogOutcome;
use crate::CatalogRevision;
use crate::ContractAcceptance;
use crate::CustomerName;
use crate::DomainName;
use crate::GroupName;
use crate::InstanceName;
use crate::KeyDigest;
use crate::KindName;
use crate::LogPosition;
use crate::MemberRecord;
use crate::PlacementEpoch;
use crate::RequestKey;
use crate::RequestVerdict;
use crate::ServedBy;
use crate::SessionContext;
use crate::SessionName;
use crate::StatementId;
use crate::TransactionId;
use crate::VmIncarnation;
use crate::VmName;
use serde::Deserialize;
use serde::Serialize;
use std::net::SocketAddr;

/// A statement that a gateway sends to a group's leaseholder.
///
/// This message and its reply are sent for each statement, usually between failure domains, so
/// their fields are serialized under one-letter names and empty fields are omitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementRequest {
    /// The identifier of the statement; its reply carries the same one.
    #[serde(rename = "i")]
    pub id: StatementId,
    /// The customer.
    #[serde(rename = "c")]
    pub customer: CustomerName,
    /// The caller's session.
    #[serde(rename = "s")]
    pub session: SessionName,
    /// The database group.
    #[serde(rename = "g")]
    pub group: GroupName,
    /// The caller's options for the statement.
    #[serde(rename = "m", default, skip_serializing_if = "RequestMarks::is_empty")]
    pub marks: RequestMarks,
    /// The statement's text.
    #[serde(rename = "t")]
    pub text: String,
    /// The parameters in text form; `None` outside the extended query protocol.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub parameters: Option<Vec<Option<String>>>,
    /// The statement's role in a transaction.
    #[serde(
        rename = "q",
        default,
        skip_serializing_if = "TransactionStep::is_single"
    )]
    pub step: TransactionStep,
    /// The time that the gateway has already spent on the statement, in milliseconds.
    #[serde(rename = "z", default, skip_serializing_if = "is_zero")]
    pub spent_ms: u64,
    /// The time that the caller waited for its session to open before it sent the statement, in
    /// milliseconds. It counts against the caller's latency target, but not against the statement's
    /// deadline.
    #[serde(rename = "y", default, skip_serializing_if = "is_zero")]
    pub waited_ms: u64,
    /// The caller's account.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountName>,
    /// The digest of the caller's key, sent by a gateway that may not know the newest accounts.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub proof: Option<KeyDigest>,
    /// The session state that the statement depends on, where sessions share endpoint connections.
    /// `None` for callers of the PostgreSQL protocol, whose endpoints are reached through a driver.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub context: Option<Box<SessionContext>>,
}

/// A caller's options for one statement.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestMarks {
    /// The kind; `None` means the contract's default kind.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<KindName>,
    /// The request key, without which a request that must not be repeated can't be resent safely.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub key: Option<RequestKey>,
    /// A deadline shorter than the contract's, in milliseconds.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Whether the request is urgent; it takes effect only if the contract allows urgent requests.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub urgent: Option<bool>,
    /// A maximum staleness lower than the contract's, in milliseconds.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub max_age_ms: Option<u64>,
}

impl RequestMarks {
    /// Returns whether no option is set.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// A statement's role in a transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionStep {
    /// The statement is not part of a transaction.
    #[default]
    #[serde(rename = "s")]
    Single,
    /// The statement opens the transaction.
    #[serde(rename = "b")]
    Begin(TransactionId),
    /// The statement runs within the transaction.
    #[serde(rename = "w")]
    Within(TransactionId),
    /// The statement commits the transaction.
    #[serde(rename = "c")]
    Commit(TransactionId),
    /// The statement rolls the transaction back.
    #[serde(rename = "r")]
    Rollback(TransactionId),
}

impl TransactionStep {
    /// Returns whether the statement is outside any transaction.
    pub fn is_single(&self) -> bool {
        *self == Self::Single
    }

    /// Returns the statement's transaction, if it has one.
    pub fn transaction(self) -> Option<TransactionId> {
        match self {
            Self::Single => None,
            Self::Begin(id) | Self::Within(id) | Self::Commit(id) | Self::Rollback(id) => Some(id),
        }
    }
}

/// A leaseholder's reply to one statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementReply {
    /// The identifier of the statement.
    #[serde(rename = "i")]
    pub id: StatementId,
    /// The statement's outcome.
    #[serde(rename = "v")]
    pub verdict: RequestVerdict,
    /// The instance that served the statement, if one did.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub served_by: Option<ServedBy>,
}

/// A member's heartbeat to a control VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatRequest {
    /// The record under which the member is to be listed.
    pub member: MemberRecord,
    /// The catalog revision that the member has in force.
    pub revision: CatalogRevision,
    /// Groups without a placement whose endpoints announce themselves to this member.
    pub unplaced_groups: Vec<GroupName>,
}

/// The reply to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeartbeatReply {
    /// The lease is granted; its duration counts from the time at which the heartbeat was sent.
    Granted(LeaseGrant),
    /// The member is not in the catalog yet, or the control VMs have no leader; retry.
    NotYet,
    /// A process of the same VM with this later incarnation is known. A process that has held a
    /// lease must stop; for one that has just started, it means that the VM's clock went back.
    Superseded(VmIncarnation),
}

/// A granted lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The lease duration, in milliseconds.
    pub lease_ms: u64,
    /// The newest catalog revision.
    pub revision: CatalogRevision,
    /// The changes that the member lacks, if any.
    pub delta: Option<CatalogDelta>,
}

/// The heartbeats that a control follower received within a short interval and forwards to the
/// leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatBatch {
    /// The heartbeats.
    pub heartbeats: Vec<HeartbeatRequest>,
}

/// A catalog command that is sent to the control leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandRequest {
    /// Whether a control VM has already forwarded it; it is not forwarded twice.
    #[serde(default)]
    pub forwarded: bool,
    /// The command.
    pub command: CatalogCommand,
}

/// The reply to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandReply {
    /// The command was committed, with this outcome.
    Committed(CatalogOutcome),
    /// The receiver knows no leader; the command was not proposed.
    NoLeader,
    /// The command may or may not be committed; resend it with the same change id.
    Unknown,
}

/// The propagation state of a contract change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceStatus {
    /// The acceptance that the status is for.
    pub acceptance: ContractAcceptance,
    /// Whether every member with a live lease has confirmed the revision.
    pub in_force: bool,
    /// The number of members that have not confirmed it yet.
    pub waiting_for: u32,
}

/// An entry of a group's journal, which the leaseholder replicates to its standbys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JournalEntry {
    /// A request that must run at most once is about to be dispatched.
    KeyDispatched(KeyRecord),
    /// A request that must run at most once has its final verdict.
    KeyDecided(KeyDecision),
    /// The position of a session's last write.
    SessionPosition(SessionRecord),
    /// All replicas have passed this position; it stands for each session without an entry.
    SessionFloor(LogPosition),
    /// Keys created before this time, in milliseconds since the Unix epoch, may have been
    /// dispatched without being recorded, because all copies of the journal were lost.
    KeysLost(u64),
}

/// A dispatched request key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// The customer; equal keys of different customers are independent.
    pub customer: CustomerName,
    /// The key.
    pub key: RequestKey,
}

/// The final verdict of a request key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyDecision {
    /// The customer.
    pub customer: CustomerName,
    /// The key.
    pub key: RequestKey,
    /// The verdict of the first run.
    pub verdict: RequestVerdict,
}

/// A session's last write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// The customer.
    pub customer: CustomerName,
    /// The session.
    pub session: SessionName,
    /// The position that the session's reads must cover.
    pub position: LogPosition,
}

/// A batch of journal entries that is sent to a standby.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalAppend {
    /// The intended recipient.
    pub to: VmName,
    /// The group.
    pub group: GroupName,
    /// The leaseholder's epoch; a standby that knows a later one refuses.
    pub epoch: PlacementEpoch,
    /// The sequence number of the first entry. With `reset`, the entries have no numbers and
    /// replace all entries with a lower number.
    pub sequence: u64,
    /// Whether the entries replace all entries that the standby holds, as at the start of an epoch.
    pub reset: bool,
    /// The entries.
    pub entries: Vec<JournalEntry>,
}

/// A standby's reply to a [`JournalAppend`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JournalReply {
    /// The standby holds all entries below this sequence number.
    Held(u64),
    /// The standby knows a later epoch.
    StaleEpoch(PlacementEpoch),
    /// The standby lacks earlier entries; resend all of them with `reset`.
    Gap,
}

/// A VM's copy of a group's journal, which the next leaseholder reads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalCopy {
    /// The epoch in which the entries were written; zero if the VM holds none.
    pub epoch: PlacementEpoch,
    /// Whether the VM received the whole journal of that epoch.
    pub complete: bool,
    /// The entries.
    pub entries: Vec<JournalEntry>,
}

/// An endpoint's announcement of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointAnnouncement {
    /// The group.
    pub group: GroupName,
    /// The instance.
    pub instance: InstanceName,
    /// The instance's failure domain.
    pub domain: DomainName,
    /// The address at which the instance accepts statements.
    pub data_address: SocketAddr,
    /// The address of the instance's agent.
    pub agent_address: SocketAddr,
    /// The number of statements that the instance runs concurrently.
    pub slots: u32,
    /// The number of connections that the instance accepts.
    pub connections: u32,
    /// The instance's state.
    pub status: InstanceStatus,
    /// The start time of the instance's process, in milliseconds since the Unix epoch; zero if the
    /// endpoint does not report it.
    #[serde(default)]
    pub started_ms: u64,
    /// The sequence number, incremented with each announcement of one process, by which delayed
    /// announcements are detected; zero if the endpoint does not number them.
    #[serde(default)]
    pub sequence: u64,
}

impl EndpointAnnouncement {
    /// Returns whether the announcement was made before `other`, which is from the same instance.
    ///
    /// The start time is compared first, because an instance that restarts numbers its
    /// announcements from the start again: by sequence number alone, they would be taken for
    /// delayed ones until the number exceeds its previous value.
    pub fn is_before(&self, other: &Self) -> bool {
        (self.started_ms, self.sequence) < (other.started_ms, other.sequence)
    }

    /// Returns whether the announcement says the same as `other` apart from the log position and the
    /// sequence number, which change with each one.
    pub fn repeats(&self, other: &Self) -> bool {
        let Self {
            group,
            instance,
            domain,
            data_address,
            agent_address,
            slots,
            connections,
            status,
            started_ms,
            sequence: _,
        } = self;
        let InstanceStatus {
            role,
            fenced_term,
            position: _,
            leaving,
        } = status;
        *group == other.group
            && *instance == other.instance
            && *domain == other.domain
            && (*data_address, *agent_address) == (other.data_address, other.agent_address)
            && (*slots, *connections) == (other.slots, other.connections)
            && *role == other.status.role
            && *fenced_term == other.status.fenced_term
            && *leaving == other.status.leaving
            && *started_ms == other.started_ms
    }

    /// Returns whether the instance has restarted since the announcement `earlier`.
    ///
    /// A restarted instance has lost its connections, prepared statements and open transactions.
    pub fn is_restart_since(&self, earlier: &Self) -> bool {
        earlier.started_ms != 0 && self.started_ms > earlier.started_ms
    }
}

/// The group and the instance that answer at an address.
///
/// Addresses are reused. A client of an instance checks its identity first; otherwise a statement
/// could run in another group's database, or another group's instance could be counted, fenced or
/// promoted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InstanceIdentity {
    /// The group.
    pub group: GroupName,
    /// The instance.
    pub instance: InstanceName,
}

/// The state of an instance, as reported by its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// The instance's role.
    pub role: InstanceRole,
    /// The highest term that the instance was fenced at or has learned of; it refuses earlier ones.
    pub fenced_term: crate::GroupTerm,
    /// The instance's log position.
    pub position: LogPosition,
    /// Whether the instance is shutting down and should get no new work.
    pub leaving: bool,
}

/// The role of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstanceRole {
    /// The instance accepts writes.
    Primary,
    /// The instance replicates from a primary.
    Replica,
}

/// The reply to an announcement.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementReply {
    /// The addresses for further announcements: the group's leaseholder and standbys. Empty while
    /// the group has no placement.
    pub announce_to: Vec<SocketAddr>,
    /// Whether the group's leaseholder has processed the announcement. Until then it has no effect:
    /// an endpoint that is shutting down may still be sent work.
    #[serde(default)]
    pub leaseholder_told: bool,
}

/// The reply of an endpoint's agent to a fence, promotion or follow call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FenceReply {
    /// The instance now refuses earlier terms; the position is its last one in them.
    Fenced(LogPosition),
    /// The instance knows a later term.
    Refused(crate::GroupTerm),
}

/// A request for a VM's copy of a group's journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalRequest {
    /// The intended recipient.
    pub to: VmName,
    /// The group.
    pub group: GroupName,
    /// The requester's epoch; the recipient refuses appends of earlier epochs from then on.
    pub epoch: PlacementEpoch,
}

/// A consensus message between control VMs; the control crate defines its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgreementEnvelope {
    /// The sender.
    pub from: VmName,
    /// The address at which the sender serves other VMs; the receiver may know only its name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from_address: Option<SocketAddr>,
    /// The receiver.
    pub to: VmName,
    /// The message, encoded by the control crate.
    pub payload: String,
}

/// The status of a VM's daemon, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The VM.
    pub vm: VmName,
    /// The catalog revision in force on the VM.
    pub revision: CatalogRevision,
    /// Whether the VM accepts work.
    pub ready: bool,
    /// Whether the VM is shutting down.
    pub draining: bool,
    /// The control leader, if the VM knows it.
    pub control_leader: Option<VmName>,
    /// The groups, with their terms and primaries.
    pub groups: Vec<crate::GroupRecord>,
    /// The members.
    pub members: Vec<MemberRecord>,
}

/// The identity of a control VM's durable state, and what it knows of the voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlIdentity {
    /// The VM and the incarnation of its durable state.
    pub id: crate::MemberId,
    /// Whether its replicated log is empty.
    pub empty: bool,
    /// The other control VMs that it knows and their addresses.
    #[serde(default)]
    pub known: Vec<ControlPeer>,
    /// The voters in its log's configuration.
    #[serde(default)]
    pub voters: Vec<crate::MemberId>,
    /// Whether it knows a leader.
    #[serde(default)]
    pub led: bool,
}

/// A control VM and its address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlPeer {
    /// The VM.
    pub vm: VmName,
    /// The address at which it serves other VMs.
    pub address: SocketAddr,
}

/// The reply to an operator's request to form the first voter set from the control VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FormReply {
    /// All control VMs were reachable and had empty logs, and are now the voters.
    Formed,
    /// The control VMs already hold a log; nothing was changed.
    AlreadyFormed,
    /// The voter set was not formed and nothing was changed; holds the reason.
    Refused(String),
}
