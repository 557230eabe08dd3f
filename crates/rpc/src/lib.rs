//! Remote procedure calls between processes, and the wire formats for statements and the catalog.
//!
//! `jsonrpsee` generates a server and a client from each trait. A call that fails to connect has
//! not run; a call that fails later may have run. Statements, which are nearly all of the traffic,
//! are sent over separate connections, whose frames [`FrameCodec`] encodes and decodes.

mod compact;
mod frames;
mod pieces;

pub use compact::CompactJson;
pub use compact::ExpandError;
pub use compact::compact_text;
pub use compact::expand_text;
pub use frames::FrameCodec;
pub use frames::FrameError;
pub use frames::StatementFrame;
pub use pieces::PieceError;
pub use pieces::pack_piece;
pub use pieces::unpack_piece;

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use ragwort_types::AgreementEnvelope;
use ragwort_types::AnnouncementReply;
use ragwort_types::CommandReply;
use ragwort_types::CommandRequest;
use ragwort_types::ContractAcceptance;
use ragwort_types::ContractChange;
use ragwort_types::ContractDocument;
use ragwort_types::ControlIdentity;
use ragwort_types::CustomerName;
use ragwort_types::DocumentReadReply;
use ragwort_types::DocumentReply;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::FenceReply;
use ragwort_types::FormReply;
use ragwort_types::GroupName;
use ragwort_types::GroupTerm;
use ragwort_types::HeartbeatBatch;
use ragwort_types::HeartbeatReply;
use ragwort_types::HeartbeatRequest;
use ragwort_types::InForceStatus;
use ragwort_types::InstanceIdentity;
use ragwort_types::InstanceStatus;
use ragwort_types::JournalAppend;
use ragwort_types::JournalCopy;
use ragwort_types::JournalReply;
use ragwort_types::JournalRequest;
use ragwort_types::LimitReply;
use ragwort_types::LimitRequest;
use ragwort_types::LogPosition;
use ragwort_types::MemberId;
use ragwort_types::NodeStatus;
use ragwort_types::PieceRequest;
use ragwort_types::ShapeReply;
use ragwort_types::ShapeRequest;
use ragwort_types::StatementId;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use ragwort_types::VersionedContract;
use std::net::SocketAddr;
use std::sync::Arc;

/// The calls between VMs.
#[rpc(server, client, namespace = "peer")]
pub trait PeerApi {
    /// Runs a statement at the group's leaseholder.
    #[method(name = "execute")]
    async fn execute(&self, request: StatementRequest) -> RpcResult<StatementReply>;

    /// Runs a statement at the group's leaseholder on behalf of a gateway that can't reach it.
    #[method(name = "relay")]
    async fn relay(&self, request: StatementRequest) -> RpcResult<StatementReply>;

    /// Describes a statement at the group's leaseholder without running it.
    #[method(name = "describe")]
    async fn describe(&self, request: ShapeRequest) -> RpcResult<ShapeReply>;

    /// Cancels a statement that waits or runs at the group's leaseholder.
    #[method(name = "cancel")]
    async fn cancel(&self, group: GroupName, id: StatementId) -> RpcResult<()>;

    /// Stores journal entries on a standby.
    #[method(name = "appendJournal")]
    async fn append_journal(&self, append: JournalAppend) -> RpcResult<JournalReply>;

    /// Returns the VM's copy of a journal to a new leaseholder.
    #[method(name = "readJournal")]
    async fn read_journal(&self, request: JournalRequest) -> RpcResult<JournalCopy>;

    /// Renews a member's lease.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, request: HeartbeatRequest) -> RpcResult<CompactJson<HeartbeatReply>>;

    /// Returns the next piece of the catalog in its packed form, which [`unpack_piece`] decodes.
    #[method(name = "readCatalog")]
    async fn read_catalog(&self, request: PieceRequest) -> RpcResult<Arc<str>>;

    /// Forwards heartbeats to the control leader.
    #[method(name = "heartbeatBatch")]
    async fn heartbeat_batch(&self, batch: HeartbeatBatch) -> RpcResult<Vec<HeartbeatReply>>;

    /// Proposes a catalog command, forwarding it to the control leader if necessary.
    #[method(name = "propose")]
    async fn propose(&self, request: CommandRequest) -> RpcResult<CommandReply>;

    /// Receives a consensus message.
    #[method(name = "agree")]
    async fn agree(&self, envelope: AgreementEnvelope) -> RpcResult<()>;

    /// Receives consensus messages in their order.
    #[method(name = "agreeAll")]
    async fn agree_all(&self, envelopes: Vec<AgreementEnvelope>) -> RpcResult<()>;

    /// Returns the propagation state of an accepted change, if this VM is the control leader.
    #[method(name = "leaderForce")]
    async fn leader_in_force_status(
        &self,
        acceptance: ContractAcceptance,
    ) -> RpcResult<Option<InForceStatus>>;

    /// Returns the identity of this VM's control state, if it is a control VM. It is used to form
    /// the first voter set.
    #[method(name = "controlIdentity")]
    async fn control_identity(&self) -> RpcResult<Option<ControlIdentity>>;

    /// Returns the newest document, if this VM is the control leader.
    #[method(name = "leaderDocument")]
    async fn leader_document(&self) -> RpcResult<DocumentReadReply>;

    /// Writes the first voter set to the log; returns false if the log is not empty.
    #[method(name = "formVoters")]
    async fn form_voters(&self, voters: Vec<MemberId>) -> RpcResult<bool>;

    /// Returns whether this VM can reach an endpoint's agent, as a second opinion from another
    /// failure domain.
    #[method(name = "probeInstance")]
    async fn probe_instance(
        &self,
        agent_address: SocketAddr,
        expected: InstanceIdentity,
    ) -> RpcResult<bool>;

    /// Processes an announcement that another VM forwards, and returns whether this VM leads the
    /// group.
    #[method(name = "passAnnouncement")]
    async fn pass_announcement(&self, announcement: Arc<EndpointAnnouncement>) -> RpcResult<bool>;

    /// Processes announcements that another VM forwards, and returns for each whether this VM leads
    /// the group.
    #[method(name = "passAnnouncements")]
    async fn pass_announcements(
        &self,
        announcements: Vec<Arc<EndpointAnnouncement>>,
    ) -> RpcResult<Vec<bool>>;

    /// Grants shares of the limits of accounts whose ledgers this VM keeps.
    #[method(name = "lendLimits")]
    async fn lend_limits(&self, request: LimitRequest) -> RpcResult<LimitReply>;

    /// Replies at once, so that the caller can detect a dead connection.
    #[method(name = "ping")]
    async fn ping(&self) -> RpcResult<()>;
}

/// The calls by operators, which every daemon serves.
#[rpc(server, client, namespace = "operator")]
pub trait OperatorApi {
    /// Applies a contract change.
    #[method(name = "applyContract")]
    async fn apply_contract(&self, change: ContractChange) -> RpcResult<CommandReply>;

    /// Replaces the whole configuration; the highest version wins.
    #[method(name = "applyDocument")]
    async fn apply_document(&self, document: ContractDocument) -> RpcResult<DocumentReply>;

    /// Returns the newest configuration document, as confirmed by a majority of the control VMs.
    #[method(name = "readDocument")]
    async fn read_document(&self) -> RpcResult<DocumentReadReply>;

    /// Returns the propagation state of an accepted change.
    #[method(name = "forceStatus")]
    async fn in_force_status(&self, acceptance: ContractAcceptance) -> RpcResult<InForceStatus>;

    /// Returns a customer's contract as it is in force on this VM.
    #[method(name = "getContract")]
    async fn get_contract(&self, customer: CustomerName) -> RpcResult<Option<VersionedContract>>;

    /// Lists the contracts in force on this VM.
    #[method(name = "listContracts")]
    async fn list_contracts(&self) -> RpcResult<Vec<VersionedContract>>;

    /// Returns this VM's status and its view of the groups and members.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<NodeStatus>;

    /// Returns the full state of this process as JSON text.
    #[method(name = "dump")]
    async fn dump(&self) -> RpcResult<String>;

    /// Starts draining this VM.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<()>;

    /// Forms the first voter set from the control VMs in this VM's settings.
    #[method(name = "form")]
    async fn form(&self) -> RpcResult<FormReply>;
}

/// The calls by endpoints' agents, which every daemon serves.
#[rpc(server, client, namespace = "endpoint")]
pub trait AnnounceApi {
    /// Processes an endpoint's announcement and returns the addresses for further announcements.
    #[method(name = "announce")]
    async fn announce(&self, announcement: EndpointAnnouncement) -> RpcResult<AnnouncementReply>;
}

/// The calls that an endpoint's agent serves. The agent is part of the platform, not of
/// ragwortgate.
#[rpc(server, client, namespace = "agent")]
pub trait AgentApi {
    /// Returns the identity of the agent's instance.
    #[method(name = "identity")]
    async fn identity(&self) -> RpcResult<InstanceIdentity>;

    /// Returns the instance's state.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<InstanceStatus>;

    /// Waits until the instance's position or term differs from `known`, at most `timeout_ms`.
    #[method(name = "waitChange")]
    async fn wait_change(
        &self,
        known: InstanceStatus,
        timeout_ms: u64,
    ) -> RpcResult<InstanceStatus>;

    /// Makes the instance refuse every term before `term`.
    #[method(name = "fence")]
    async fn fence(&self, term: GroupTerm) -> RpcResult<FenceReply>;

    /// Makes the instance the primary of `term`; it must have been fenced at `term` before.
    #[method(name = "promote")]
    async fn promote(&self, term: GroupTerm) -> RpcResult<FenceReply>;

    /// Makes the instance replicate from the primary of `term`, discarding entries that the primary
    /// does not have.
    #[method(name = "follow")]
    async fn follow(
        &self,
        term: GroupTerm,
        start: LogPosition,
        primary_agent: SocketAddr,
    ) -> RpcResult<FenceReply>;
}
