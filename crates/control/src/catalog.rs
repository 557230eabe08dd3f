//! The catalog: the state that results from the commands of the replicated log.
//!
//! Every control VM applies the same commands in the same order and so holds the same catalog. A
//! command names the state on which it builds and is refused if that state has changed, because its
//! sender may act on an outdated view: a former leaseholder, a delayed message, a restarted daemon.

use crate::changes::ChangeIndex;
use crate::contracts::ChangeLedger;
use ragwort_types::AccountName;
use ragwort_types::AccountTerms;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogDelta;
use ragwort_types::CatalogItem;
use ragwort_types::CatalogKey;
use ragwort_types::CatalogOutcome;
use ragwort_types::CatalogRevision;
use ragwort_types::CustomerName;
use ragwort_types::DigestSecret;
use ragwort_types::DocumentCopy;
use ragwort_types::GroupName;
use ragwort_types::GroupRecord;
use ragwort_types::GroupTerms;
use ragwort_types::MemberRecord;
use ragwort_types::VersionedContract;
use ragwort_types::VmIncarnation;
use ragwort_types::VmName;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::io::Write;
use std::ops::Bound;

/// The state of the catalog on a control VM.
///
/// # Examples
///
/// ```
/// use ragwort_control::CatalogState;
///
/// let state = CatalogState::new();
/// let restored = CatalogState::from_snapshot(&state.to_snapshot()).unwrap();
/// assert_eq!(restored, state);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "CatalogImage")]
pub struct CatalogState {
    revision: CatalogRevision,
    /// Deltas from before this revision lack departures that were forgotten.
    pub(crate) delta_floor: CatalogRevision,
    pub(crate) ledger: ChangeLedger,
    pub(crate) contract_stamps: BTreeMap<CustomerName, CatalogRevision>,
    /// Contracts that a document removed, with the revision of their removal.
    pub(crate) retired: BTreeMap<CustomerName, CatalogRevision>,
    pub(crate) document: Option<DocumentCopy>,
    pub(crate) terms: BTreeMap<GroupName, StampedItem<GroupTerms>>,
    pub(crate) accounts: BTreeMap<AccountName, StampedItem<AccountTerms>>,
    /// Accounts that a document removed, with the revision of their removal.
    pub(crate) gone_accounts: BTreeMap<AccountName, CatalogRevision>,
    /// The secret under which keys are digested; set by the first document with accounts.
    pub(crate) seal: Option<DigestSecret>,
    pub(crate) members: BTreeMap<VmName, StampedItem<MemberRecord>>,
    pub(crate) departures: BTreeMap<VmName, StampedItem<VmIncarnation>>,
    pub(crate) groups: BTreeMap<GroupName, StampedItem<GroupRecord>>,
    /// The items by the revision of their last change; derived from the other fields.
    #[serde(skip)]
    pub(crate) changes: ChangeIndex<CatalogKey>,
}

/// The stored form of a [`CatalogState`], without derived fields.
#[derive(Deserialize)]
struct CatalogImage {
    revision: CatalogRevision,
    delta_floor: CatalogRevision,
    ledger: ChangeLedger,
    contract_stamps: BTreeMap<CustomerName, CatalogRevision>,
    #[serde(default)]
    retired: BTreeMap<CustomerName, CatalogRevision>,
    #[serde(default)]
    document: Option<DocumentCopy>,
    #[serde(default)]
    terms: BTreeMap<GroupName, StampedItem<GroupTerms>>,
    #[serde(default)]
    accounts: BTreeMap<AccountName, StampedItem<AccountTerms>>,
    #[serde(default)]
    gone_accounts: BTreeMap<AccountName, CatalogRevision>,
    #[serde(default)]
    seal: Option<DigestSecret>,
    members: BTreeMap<VmName, StampedItem<MemberRecord>>,
    departures: BTreeMap<VmName, StampedItem<VmIncarnation>>,
    groups: BTreeMap<GroupName, StampedItem<GroupRecord>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StampedItem<T> {
    pub(crate) stamp: CatalogRevision,
    pub(crate) item: T,
}

/// A snapshot that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotError {
    reason: String,
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "malformed catalog snapshot: {}", self.reason)
    }
}

impl std::error::Error for SnapshotError {}

impl CatalogState {
    /// Creates an empty catalog at revision zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision: the index of the log entry that last changed an item.
    pub fn revision(&self) -> CatalogRevision {
        self.revision
    }

    /// Returns a customer's present contract.
    pub fn contract(&self, customer: &CustomerName) -> Option<&VersionedContract> {
        self.ledger.contract(customer)
    }

    /// Iterates over the present contracts.
    pub fn contracts(&self) -> impl Iterator<Item = &VersionedContract> {
        self.ledger.contracts()
    }

    /// Returns the number of contract changes whose answers are kept.
    pub fn answered_changes(&self) -> usize {
        self.ledger.answered_changes()
    }

    /// Returns a member.
    pub fn member(&self, vm: &VmName) -> Option<&MemberRecord> {
        self.members.get(vm).map(|member| &member.item)
    }

    /// Iterates over the members.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|member| &member.item)
    }

    /// Returns a group.
    pub fn group(&self, group: &GroupName) -> Option<&GroupRecord> {
        self.groups.get(group).map(|record| &record.item)
    }

    /// Iterates over the groups.
    pub fn groups(&self) -> impl Iterator<Item = &GroupRecord> {
        self.groups.values().map(|record| &record.item)
    }

    /// Serializes the catalog for a snapshot of the log.
    pub fn to_snapshot(&self) -> String {
        serde_json::to_string(self).expect("a catalog has text keys only")
    }

    /// Serializes the catalog for a snapshot of the log into a writer, which may pause in between.
    ///
    /// # Errors
    ///
    /// Returns the writer's error.
    pub fn write_snapshot(&self, writer: impl Write) -> io::Result<()> {
        serde_json::to_writer(writer, self).map_err(io::Error::from)
    }

    /// Restores a catalog from a text written by [`to_snapshot`](Self::to_snapshot).
    ///
    /// # Errors
    ///
    /// Returns an error if the text isn't a catalog.
    pub fn from_snapshot(text: &str) -> Result<Self, SnapshotError> {
        serde_json::from_str(text).map_err(|error| SnapshotError {
            reason: error.to_string(),
        })
    }

    /// Applies one command of the log at its index.
    ///
    /// The revision changes only if an item changed.
    ///
    /// # Panics
    ///
    /// Panics in a debug build if `revision` isn't above the present one.
    pub fn apply(&mut self, revision: CatalogRevision, command: &CatalogCommand) -> CatalogOutcome {
        invariant!(
            revision > self.revision,
            "revision {revision} applied after {}",
            self.revision
        );
        match command {
            CatalogCommand::ApplyContract(change) => {
                let outcome = self.ledger.apply_change(revision, change);
                self.stamp_contract(revision, &change.contract.customer, &outcome);
                outcome
            }
            CatalogCommand::ApplyDocument(document) => self.apply_document(revision, document),
            CatalogCommand::UpdateDocument(update) => self.update_document(revision, update),
            CatalogCommand::IssueToken(request) => self.issue_token(revision, request),
            CatalogCommand::RecordEndpoints(recorded) => self.record_endpoints(revision, recorded),
            CatalogCommand::AdmitMember(member) => self.admit_member(revision, member),
            CatalogCommand::RemoveMember(id) => self.remove_member(revision, id),
            CatalogCommand::PlaceGroup(placement) => self.place_group(revision, placement),
            CatalogCommand::AddInstance(change) => self.add_instance(revision, change),
            CatalogCommand::RemoveInstance(change) => self.remove_instance(revision, change),
            CatalogCommand::BeginTerm(start) => self.begin_term(revision, start),
            CatalogCommand::RecordPrimary(record) => self.record_primary(revision, record),
            CatalogCommand::ConfirmJournal(confirmation) => {
                self.confirm_journal(revision, confirmation)
            }
        }
    }

    /// Returns what changed after `from`, or everything if `from` is zero or too old for a delta.
    ///
    /// If `from` is ahead of this catalog, the delta is empty and leads to `from`.
    pub fn delta_since(&self, from: CatalogRevision) -> CatalogDelta {
        if from == CatalogRevision(0) || from < self.delta_floor {
            return CatalogDelta {
                from: None,
                to: self.revision,
                items: self.all_items(),
            };
        }
        let changed = self.changes.range(Bound::Excluded(from));
        CatalogDelta {
            from: Some(from),
            to: self.revision.max(from),
            items: changed.filter_map(|(_, key)| self.item(key)).collect(),
        }
    }

    fn all_items(&self) -> Vec<CatalogItem> {
        let present = self.changes.iter().filter(|(_, key)| !key.is_gone());
        present.filter_map(|(_, key)| self.item(key)).collect()
    }

    pub(crate) fn item(&self, key: &CatalogKey) -> Option<CatalogItem> {
        match key {
            CatalogKey::Contract(customer) => {
                let contract = self.ledger.contract(customer)?;
                Some(CatalogItem::Contract(Box::new(contract.clone())))
            }
            CatalogKey::Retired(customer) => Some(CatalogItem::ContractGone(customer.clone())),
            CatalogKey::Terms(group) => {
                let terms = self.group_terms(group)?;
                Some(CatalogItem::GroupTerms(terms.clone()))
            }
            CatalogKey::Member(vm) => Some(CatalogItem::Member(self.member(vm)?.clone())),
            CatalogKey::Departure(vm) => Some(CatalogItem::MemberGone(vm.clone())),
            CatalogKey::Group(group) => {
                let record = self.group(group)?;
                Some(CatalogItem::Group(Box::new(record.clone())))
            }
            CatalogKey::Account(name) => {
                let terms = self.account(name)?;
                Some(CatalogItem::Account(Box::new(terms.clone())))
            }
            CatalogKey::AccountGone(name) => Some(CatalogItem::AccountGone(name.clone())),
        }
    }

    fn stamp_contract(
        &mut self,
        revision: CatalogRevision,
        customer: &CustomerName,
        outcome: &CatalogOutcome,
    ) {
        // The answer to a resend contains the earlier revision of its first acceptance.
        let CatalogOutcome::ContractAccepted(acceptance) = outcome else {
            return;
        };
        if acceptance.revision != revision {
            return;
        }
        self.forget_retired(customer);
        let former = self.contract_stamps.insert(customer.clone(), revision);
        self.note_change(revision, former, CatalogKey::Contract(customer.clone()));
    }

    pub(crate) fn change_group(
        &mut self,
        revision: CatalogRevision,
        group: &GroupName,
        change: impl FnOnce(&mut GroupRecord),
    ) {
        let Some(stamped) = self.groups.get_mut(group) else {
            return;
        };
        let (epoch, term) = (stamped.item.placement.epoch, stamped.item.term);
        change(&mut stamped.item);
        invariant!(
            stamped.item.placement.epoch >= epoch,
            "the epoch of {group} fell"
        );
        invariant!(stamped.item.term >= term, "the term of {group} fell");
        let former = stamped.stamp;
        stamped.stamp = revision;
        self.note_change(revision, Some(former), CatalogKey::Group(group.clone()));
    }

    pub(crate) fn note_change(
        &mut self,
        revision: CatalogRevision,
        former: Option<CatalogRevision>,
        key: CatalogKey,
    ) {
        if let Some(former) = former {
            self.forget_change(former, &key);
        }
        self.changes.insert(revision, key);
        self.revision = revision;
    }

    pub(crate) fn forget_change(&mut self, revision: CatalogRevision, key: &CatalogKey) {
        self.changes.remove(revision, key);
    }
}

impl From<CatalogImage> for CatalogState {
    fn from(image: CatalogImage) -> Self {
        let mut state = Self {
            revision: image.revision,
            delta_floor: image.delta_floor,
            ledger: image.ledger,
            contract_stamps: image.contract_stamps,
            retired: image.retired,
            document: image.document,
            terms: image.terms,
            accounts: image.accounts,
            gone_accounts: image.gone_accounts,
            seal: image.seal,
            members: image.members,
            departures: image.departures,
            groups: image.groups,
            changes: ChangeIndex::default(),
        };
        state.index_changes();
        state
    }
}

impl CatalogState {
    fn index_changes(&mut self) {
        let contracts = self.contract_stamps.iter();
        let contracts = contracts.map(|(name, stamp)| (*stamp, CatalogKey::Contract(name.clone())));
        let members = self.members.iter();
        let members = members.map(|(vm, member)| (member.stamp, CatalogKey::Member(vm.clone())));
        let departures = self.departures.iter();
        let departures =
            departures.map(|(vm, gone)| (gone.stamp, CatalogKey::Departure(vm.clone())));
        let groups = self.groups.iter();
        let groups = groups.map(|(name, group)| (group.stamp, CatalogKey::Group(name.clone())));
        let retired = self.retired.iter();
        let retired = retired.map(|(name, stamp)| (*stamp, CatalogKey::Retired(name.clone())));
        let terms = self.terms.iter();
        let terms = terms.map(|(name, terms)| (terms.stamp, CatalogKey::Terms(name.clone())));
        let accounts = self.accounts.iter();
        let accounts = accounts.map(|(name, held)| (held.stamp, CatalogKey::Account(name.clone())));
        let left_out = self.gone_accounts.iter();
        let left_out =
            left_out.map(|(name, stamp)| (*stamp, CatalogKey::AccountGone(name.clone())));
        let configured = contracts.chain(retired).chain(terms);
        let configured = configured.chain(accounts).chain(left_out);
        let items = configured.chain(members).chain(departures).chain(groups);
        let items: Vec<(CatalogRevision, CatalogKey)> = items.collect();
        for (stamp, key) in items {
            self.changes.insert(stamp, key);
        }
    }
}
