//! The inputs of the control task, and the requests that wait in it for an answer.

use ragwort_control::ClockTime;
use ragwort_control::EntryMark;
use ragwort_control::MemberPresence;
use ragwort_types::AgreementEnvelope;
use ragwort_types::CatalogRevision;
use ragwort_types::CommandReply;
use ragwort_types::CommandRequest;
use ragwort_types::ContractAcceptance;
use ragwort_types::ControlIdentity;
use ragwort_types::ControlPeer;
use ragwort_types::DocumentReadReply;
use ragwort_types::GroupName;
use ragwort_types::HeartbeatBatch;
use ragwort_types::HeartbeatReply;
use ragwort_types::HeartbeatRequest;
use ragwort_types::InForceStatus;
use ragwort_types::LeaseGrant;
use ragwort_types::MemberId;
use ragwort_types::PieceRequest;
use std::fmt;
use std::io;
use std::sync::Arc;
use tokio::sync::oneshot;

/// An input of the control task.
#[derive(Debug)]
pub enum ControlEvent {
    /// A peer's message of the replicated log.
    PeerMessage(AgreementEnvelope),
    /// Commits a command.
    Propose(CommandRequest, oneshot::Sender<CommandReply>),
    /// A member's heartbeat.
    Heartbeat(HeartbeatRequest, oneshot::Sender<HeartbeatReply>),
    /// Heartbeats that a follower has forwarded.
    ForwardedHeartbeats(HeartbeatBatch, oneshot::Sender<Vec<HeartbeatReply>>),
    /// Returns how far a contract change is in force; `None` if this VM doesn't lead.
    InForceQuery(ContractAcceptance, oneshot::Sender<Option<InForceStatus>>),
    /// Returns which voter this VM is.
    Identity(oneshot::Sender<ControlIdentity>),
    /// Returns the next piece of the catalog for a member, packed.
    ReadCatalog(PieceRequest, oneshot::Sender<Arc<str>>),
    /// Addresses of other control VMs.
    PeersLearned(Vec<ControlPeer>),
    /// Returns the newest document; a follower asks the leader unless the request was already
    /// forwarded.
    ReadDocument(DocumentRequest, oneshot::Sender<DocumentReadReply>),
    /// Forms the first voter set.
    Form(Vec<MemberId>, oneshot::Sender<bool>),
    /// Transfers the leadership, as this VM is about to stop. The reply is sent once another VM
    /// leads or the transfer has failed.
    TransferLeadership(oneshot::Sender<()>),
    /// Returns the role's state for an operator's dump.
    Dump(oneshot::Sender<serde_json::Value>),
    /// The leader's replies to heartbeats that this follower forwarded; `None` if it did not
    /// answer.
    ForwardedReplies(Vec<WaitingHeartbeat>, Option<Vec<HeartbeatReply>>),
}

/// Whether a request for the newest document was forwarded by another control VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentRequest {
    /// It comes from outside and may be forwarded to the leader.
    Direct,
    /// It was forwarded, and is answered here or refused.
    Forwarded,
}

/// A heartbeat that waits for its reply.
#[derive(Debug)]
pub struct WaitingHeartbeat {
    pub(super) request: HeartbeatRequest,
    pub(super) reply: oneshot::Sender<HeartbeatReply>,
    /// Until when it waits for a leader or for its member's admission.
    pub(super) wait_until: ClockTime,
}

/// Heartbeats that wait until the leadership is confirmed: received here, or forwarded by a
/// follower.
pub(super) enum UnconfirmedBatch {
    Own(Vec<WaitingHeartbeat>),
    Forwarded(HeartbeatBatch, oneshot::Sender<Vec<HeartbeatReply>>),
}

/// A granted heartbeat whose reply is held until a change of the catalog needs prompt delivery, or
/// until it is due.
pub(super) struct HeldReply {
    pub(super) waiting: WaitingHeartbeat,
    pub(super) grant: LeaseGrant,
    /// The time at which the reply is sent even if the catalog has not changed.
    pub(super) due: ClockTime,
}

/// A command that waits until its entry is committed.
pub(super) struct WaitingCommand {
    /// The term and index of the proposed entry.
    pub(super) mark: EntryMark,
    pub(super) reply: Option<oneshot::Sender<CommandReply>>,
}

/// A request that waits until the leadership is confirmed.
pub(super) enum UnconfirmedRead {
    Heartbeats(Vec<UnconfirmedBatch>),
    Document(oneshot::Sender<DocumentReadReply>),
}

/// The reason why the control role can't start or continue.
#[derive(Debug)]
pub enum ControlFault {
    /// The data folder can't be used.
    Disk(io::Error),
    /// The log file is damaged other than by a torn tail, or an entry can't be read.
    Damaged(String),
    /// The log belongs to another VM.
    OtherVm(String),
}

impl fmt::Display for ControlFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disk(error) => write!(formatter, "data folder unusable: {error}"),
            Self::Damaged(text) => write!(formatter, "agreed log damaged: {text}"),
            Self::OtherVm(text) => write!(formatter, "agreed log of another VM: {text}"),
        }
    }
}

/// The complete input of a placement plan; a revision identifies the catalog's content.
#[derive(PartialEq, Eq)]
pub(super) struct PlacementInput {
    pub(super) revision: CatalogRevision,
    pub(super) presence: MemberPresence,
    pub(super) unplaced: Vec<GroupName>,
}
