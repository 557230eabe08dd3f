//! The replicated catalog: its commands, their outcomes, and the records that members receive.
//!
//! The control VMs agree on a log of [`CatalogCommand`]s. Applying them in order yields the catalog
//! of contracts, members, groups and accounts, which every member copies through [`CatalogDelta`]s.

use crate::AccountName;
use crate::AccountTerms;
use crate::CatalogRevision;
use crate::ContractChange;
use crate::ContractDocument;
use crate::ContractVersion;
use crate::CustomerName;
use crate::DocumentAcceptance;
use crate::DocumentUpdate;
use crate::DomainName;
use crate::EndpointAnnouncement;
use crate::GroupName;
use crate::GroupTerm;
use crate::GroupTerms;
use crate::InstanceName;
use crate::LogPosition;
use crate::PlacementEpoch;
use crate::VersionedContract;
use crate::VmIncarnation;
use crate::VmName;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use std::net::SocketAddr;

/// The standbys of a group, usually two.
pub type StandbyList = SmallVec<[VmName; 2]>;

/// A change to the catalog, as an entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatalogCommand {
    /// Changes a contract, on behalf of an operator.
    ApplyContract(ContractChange),
    /// Replaces the whole configuration, on behalf of an operator.
    ApplyDocument(Box<ContractDocument>),
    /// Replaces the whole configuration by its difference from that of an earlier revision. Refused
    /// if the configuration has changed since.
    UpdateDocument(Box<DocumentUpdate>),
    /// Adds a VM as a member, or replaces its record after a restart.
    AdmitMember(MemberRecord),
    /// Removes a VM whose lease has expired or that has drained. Refused if a newer process of the
    /// same VM has joined in the meantime.
    RemoveMember(MemberId),
    /// Assigns a leaseholder and standbys to a group.
    PlaceGroup(GroupPlacement),
    /// Counts an instance in its group's majority.
    AddInstance(InstanceChange),
    /// Stops counting an instance in its group's majority.
    RemoveInstance(InstanceChange),
    /// Begins a new term; a leaseholder does this before it fences and promotes instances.
    BeginTerm(TermStart),
    /// Records the instance that a leaseholder has promoted.
    RecordPrimary(PrimaryRecord),
    /// Issues a fencing token for a promotion, where the database platform keeps its own terms.
    IssueToken(TokenRequest),
    /// Records the endpoints that a leaseholder knows, for its successor.
    RecordEndpoints(Box<RecordedEndpoints>),
    /// Records that a leaseholder's standbys hold its whole journal; it dispatches nothing before.
    ConfirmJournal(JournalConfirmation),
}

/// Identifies one process of a VM, so that a restarted daemon isn't mistaken for its predecessor.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The VM.
    pub vm: VmName,
    /// A number that increases with each start of the daemon: the start time in microseconds since
    /// the Unix epoch, or one above the last known incarnation if the clock was set back.
    pub incarnation: VmIncarnation,
}

/// The record of a member VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The VM and its current process.
    pub id: MemberId,
    /// Its failure domain.
    pub domain: DomainName,
    /// The address at which it serves other VMs and operators.
    pub peer_address: SocketAddr,
    /// The address at which it accepts statement frames. Without one, statements are sent to it as
    /// remote calls.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub statement_address: Option<SocketAddr>,
    /// The requested lease duration, in milliseconds; zero requests the longest. A process never
    /// requests a shorter one than before: a lease that it still holds could outlast the duration
    /// that a new control leader reads here.
    #[serde(default)]
    pub lease_ms: u64,
    /// Whether it is shutting down and takes no new groups.
    pub draining: bool,
    /// Its roles, and properties of its process.
    #[serde(default)]
    pub traits: MemberTraits,
}

/// A member's roles, and properties of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberTraits {
    /// Whether it holds a copy of the control VMs' replicated log.
    pub control: bool,
    /// Whether it may lead groups and hold their journals. A VM with a slow processor or a
    /// low-bandwidth link can't carry a group's traffic.
    pub leaseholder: bool,
    /// Whether no other process of the VM can be running, because each one binds the same
    /// address exclusively.
    pub exclusive: bool,
}

impl MemberRecord {
    /// Returns whether this process may replace `former` at once, because `former` has certainly
    /// ended.
    ///
    /// In all other cases the lease of `former` may still be valid, and two processes could serve
    /// one group. If both bind the same address exclusively, the later process proves that the
    /// former one has ended.
    pub fn can_replace_immediately(&self, former: &MemberRecord) -> bool {
        let exclusive = self.traits.exclusive && former.traits.exclusive;
        let same_place = self.id.vm == former.id.vm && self.peer_address == former.peer_address;
        exclusive && same_place && self.id.incarnation > former.id.incarnation
    }
}

impl Default for MemberTraits {
    fn default() -> Self {
        Self {
            control: false,
            leaseholder: true,
            exclusive: false,
        }
    }
}

/// The assignment of a group to a leaseholder and standbys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupPlacement {
    /// The group.
    pub group: GroupName,
    /// The epoch of this placement: one above that of the placement it replaces.
    pub epoch: PlacementEpoch,
    /// The leaseholder: the only VM that sends statements to the group's endpoints.
    pub leaseholder: VmName,
    /// The VMs that hold copies of the journal and can take over.
    pub standbys: StandbyList,
}

/// A change to a group's set of counted instances, requested by its leaseholder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceChange {
    /// The group.
    pub group: GroupName,
    /// The leaseholder's epoch; a former leaseholder's change is refused.
    pub epoch: PlacementEpoch,
    /// The group's term; a change that raced a promotion is refused.
    pub term: GroupTerm,
    /// The instance.
    pub instance: InstanceName,
}

/// The start of a term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermStart {
    /// The group.
    pub group: GroupName,
    /// The leaseholder's epoch.
    pub epoch: PlacementEpoch,
    /// The new term: one above the present one.
    pub term: GroupTerm,
}

/// The primary of a term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryRecord {
    /// The group.
    pub group: GroupName,
    /// The leaseholder's epoch.
    pub epoch: PlacementEpoch,
    /// The term, which was begun before.
    pub term: GroupTerm,
    /// The promoted instance.
    pub primary: InstanceName,
    /// The promoted instance's log position at the start of the term.
    pub start: LogPosition,
}

/// A request for a fencing token: a number that is unique to one promotion order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The group.
    pub group: GroupName,
    /// The leaseholder's epoch.
    pub epoch: PlacementEpoch,
    /// The instance to promote.
    pub instance: InstanceName,
}

/// The endpoints that a leaseholder knows for its group, where the database platform keeps its own
/// terms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedEndpoints {
    /// The group.
    pub group: GroupName,
    /// The leaseholder's epoch.
    pub epoch: PlacementEpoch,
    /// The term of the last primary that was found; zero if none was.
    pub term: GroupTerm,
    /// The last primary that was found.
    pub primary: Option<InstanceName>,
    /// The last announcement of each endpoint.
    pub endpoints: Vec<EndpointAnnouncement>,
    /// Orders to promote with a fencing token up to this one can't take effect any more.
    #[serde(default)]
    pub settled_token: u64,
}

/// An order to promote whose fencing token was issued and which may take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOrder {
    /// The instance to promote.
    pub instance: InstanceName,
    /// The fencing token.
    pub token: u64,
}

/// Identifies an epoch in which every standby holds the group's whole journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalConfirmation {
    /// The group.
    pub group: GroupName,
    /// The leaseholder's epoch.
    pub epoch: PlacementEpoch,
}

/// The outcome of a [`CatalogCommand`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatalogOutcome {
    /// The contract was accepted, with this version and revision.
    ContractAccepted(ContractAcceptance),
    /// A concurrent change was committed first; holds the current contract.
    ContractConflict(Box<VersionedContract>),
    /// The change has a base version, but the customer has no contract.
    ContractUnknown,
    /// The contract is invalid; holds a description of each fault.
    ContractFaulty(Vec<String>),
    /// The change id was already used for a change with different content.
    ChangeIdReused,
    /// The document, or one with an equal or higher version, is in force.
    DocumentAccepted(DocumentAcceptance),
    /// The document is invalid; holds a description of each fault.
    DocumentInvalid(Vec<String>),
    /// The command was applied at this revision.
    Done(CatalogRevision),
    /// The command was refused because the state that it was based on has changed.
    Stale,
}

/// An accepted contract change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractAcceptance {
    /// The new version.
    pub version: ContractVersion,
    /// The catalog revision that every member must reach before the change is in force.
    pub revision: CatalogRevision,
}

/// The catalog's record of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// The leaseholder and standbys.
    pub placement: GroupPlacement,
    /// The current term; zero before the first.
    pub term: GroupTerm,
    /// The placement epoch in which the term began.
    pub term_epoch: PlacementEpoch,
    /// The primary of the current term, once there is one.
    pub primary: Option<InstanceName>,
    /// The log position at which the current term began.
    pub start: LogPosition,
    /// The instances that count towards a majority.
    pub instances: SmallVec<[InstanceName; 4]>,
    /// The last epoch in which every standby held the whole journal; zero before the first. No
    /// request that the journal must record was dispatched in a later epoch.
    pub journal_epoch: PlacementEpoch,
    /// The endpoints that the last leaseholder recorded, where the database platform keeps its own
    /// terms.
    #[serde(default)]
    pub endpoints: Vec<EndpointAnnouncement>,
    /// The orders to promote that may still take effect, one for each instance, where the database
    /// platform keeps its own terms.
    #[serde(default)]
    pub orders: Vec<RecordedOrder>,
}

/// A changed item of the catalog, as it is sent to members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatalogItem {
    /// A contract was put in force.
    Contract(Box<VersionedContract>),
    /// A customer's contract was removed.
    ContractGone(CustomerName),
    /// A group's terms were set.
    GroupTerms(GroupTerms),
    /// A member joined or changed.
    Member(MemberRecord),
    /// A member left.
    MemberGone(VmName),
    /// A group changed.
    Group(Box<GroupRecord>),
    /// An account was added or changed.
    Account(Box<AccountTerms>),
    /// An account was removed.
    AccountGone(AccountName),
}

/// The changes that bring a member's copy of the catalog from one revision to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogDelta {
    /// The base revision; `None` means that the delta is a full snapshot.
    pub from: Option<CatalogRevision>,
    /// The resulting revision.
    pub to: CatalogRevision,
    /// The changed items.
    pub items: Vec<CatalogItem>,
}
