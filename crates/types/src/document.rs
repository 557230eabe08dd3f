//! Configuration documents: all contracts, groups and accounts under one version.
//!
//! An operator who changes many contracts in one step sends a document. The document with the
//! highest version wins, so concurrent operators end up with one complete configuration and never
//! with a mixture of two.

use crate::AccountKey;
use crate::AccountName;
use crate::CatalogRevision;
use crate::ChangeId;
use crate::ClientAccount;
use crate::CustomerContract;
use crate::CustomerName;
use crate::DigestSecret;
use crate::GroupName;
use crate::ShareGroupName;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;
use uuid::Uuid;

/// The version of a configuration document, chosen by its operator.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DocumentVersion(pub u64);

impl fmt::Display for DocumentVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl DocumentVersion {
    /// Returns the change id of the contracts that this version puts in force.
    ///
    /// All contracts of a document share it, so that a contract shows the document it came from.
    pub fn to_change_id(self) -> ChangeId {
        ChangeId(Uuid::from_u64_pair(0, self.0))
    }
}

/// The text of a configuration document, which contains account keys. It is never logged or dumped.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DocumentText(Arc<str>);

impl<T: Into<Arc<str>>> From<T> for DocumentText {
    fn from(text: T) -> Self {
        Self(text.into())
    }
}

impl Deref for DocumentText {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for DocumentText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "DocumentText({} bytes)", self.0.len())
    }
}

/// A configuration document: a complete configuration, which replaces the previous one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractDocument {
    /// The document's version; the highest version is in force.
    pub version: DocumentVersion,
    /// The text as the operator wrote it, which is returned when the configuration is read back.
    pub source: DocumentText,
    /// The contracts; the contract of a customer that is not listed is removed.
    pub contracts: Vec<CustomerContract>,
    /// The terms of each group that contracts may name.
    pub groups: Vec<GroupTerms>,
    /// The client accounts; an account that is not listed is removed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub accounts: Vec<ClientAccount>,
    /// The secret under which account keys are hashed. The VM that receives a document generates
    /// one; only that of the first document with accounts is used.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seal: Option<DigestSecret>,
}

/// The configuration of one database group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupTerms {
    /// The group.
    pub group: GroupName,
    /// The number of connections that each instance accepts, from all VMs together.
    pub connections: u32,
    /// The number of replicas that must hold a write before the database acknowledges it.
    pub synchronous_replicas: u32,
    /// The time for which a transaction may be idle before it may be aborted, in milliseconds.
    pub idle_transaction_ms: u64,
}

/// A fault in a configuration document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentFault {
    /// Two contracts have the same customer.
    CustomerTwice(CustomerName),
    /// A group is listed twice.
    GroupTwice(GroupName),
    /// A contract names a group that the document does not list.
    UnknownGroup(CustomerName, GroupName),
    /// A contract is invalid; holds a description of the fault.
    Contract(CustomerName, String),
    /// A contract's slot share differs from that of another contract of its share group.
    ShareGroup(CustomerName, ShareGroupName),
    /// Two accounts have the same name.
    AccountTwice(AccountName),
    /// Two accounts share a key.
    KeyShared(AccountName, AccountName),
    /// An account has an empty key, which a caller without a key would match.
    EmptyKey(AccountName),
}

impl fmt::Display for DocumentFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CustomerTwice(customer) => {
                write!(formatter, "contract of {customer}: given twice")
            }
            Self::GroupTwice(group) => write!(formatter, "group {group}: given twice"),
            Self::UnknownGroup(customer, group) => {
                write!(formatter, "contract of {customer}: unknown group {group}")
            }
            Self::Contract(customer, fault) => write!(formatter, "contract of {customer}: {fault}"),
            Self::ShareGroup(customer, group) => write!(
                formatter,
                "contract of {customer}: slot_share: differs from that of other contracts of share group {group}"
            ),
            Self::AccountTwice(account) => write!(formatter, "account {account}: given twice"),
            Self::KeyShared(account, other) => {
                write!(
                    formatter,
                    "account {account}: shares a key with account {other}"
                )
            }
            Self::EmptyKey(account) => write!(formatter, "account {account}: has an empty key"),
        }
    }
}

impl ContractDocument {
    /// Returns all faults of the document; an empty list means that it is valid.
    pub fn find_faults(&self) -> Vec<DocumentFault> {
        let mut faults = Vec::new();
        let mut groups = BTreeSet::new();
        for terms in &self.groups {
            if !groups.insert(&terms.group) {
                faults.push(DocumentFault::GroupTwice(terms.group.clone()));
            }
        }
        let mut customers = BTreeSet::new();
        for contract in &self.contracts {
            let customer = &contract.customer;
            if !customers.insert(customer) {
                faults.push(DocumentFault::CustomerTwice(customer.clone()));
            }
            let unknown = contract
                .groups
                .iter()
                .filter(|group| !groups.contains(group));
            faults.extend(
                unknown.map(|group| DocumentFault::UnknownGroup(customer.clone(), group.clone())),
            );
            let own = contract.find_faults().into_iter();
            faults.extend(
                own.map(|fault| DocumentFault::Contract(customer.clone(), fault.to_string())),
            );
        }
        self.find_share_faults(&mut faults);
        self.find_account_faults(&mut faults);
        faults
    }

    fn find_share_faults(&self, faults: &mut Vec<DocumentFault>) {
        let mut shares: BTreeMap<&ShareGroupName, u32> = BTreeMap::new();
        for contract in &self.contracts {
            let Some(group) = &contract.share_group else {
                continue;
            };
            let share = *shares.entry(group).or_insert(contract.slot_share);
            if share != contract.slot_share {
                let customer = contract.customer.clone();
                faults.push(DocumentFault::ShareGroup(customer, group.clone()));
            }
        }
    }

    fn find_account_faults(&self, faults: &mut Vec<DocumentFault>) {
        let mut names = BTreeSet::new();
        let mut holders: BTreeMap<&AccountKey, &AccountName> = BTreeMap::new();
        for account in &self.accounts {
            let name = &account.name;
            if !names.insert(name) {
                faults.push(DocumentFault::AccountTwice(name.clone()));
            }
            for key in &account.keys {
                if key.is_empty() {
                    faults.push(DocumentFault::EmptyKey(name.clone()));
                }
                let holder = holders.insert(key, name).filter(|holder| *holder != name);
                if let Some(holder) = holder {
                    faults.push(DocumentFault::KeyShared(name.clone(), holder.clone()));
                }
            }
        }
    }
}

/// A document as its difference from the configuration in force at a catalog revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentUpdate {
    /// The revision of the catalog with which the document was compared.
    pub base: CatalogRevision,
    /// The document, with those of its contracts and groups that may differ. Its accounts are
    /// complete, because the catalog holds only digests of their keys.
    pub changed: ContractDocument,
    /// The customers whose contracts the document no longer lists.
    pub removed: Vec<CustomerName>,
}

/// The acceptance of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentAcceptance {
    /// The version in force: the document's own, or a higher one that was in force before.
    pub in_force: DocumentVersion,
}

/// The reply to a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DocumentReply {
    /// The document, or one with an equal or higher version, is committed.
    Accepted(DocumentAcceptance),
    /// The document is invalid and changes nothing; holds a description of each fault.
    Invalid(Vec<String>),
    /// The document may or may not be committed; resending it is safe.
    Unknown,
}

/// The reply to a request to read the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DocumentReadReply {
    /// The newest document, as confirmed by a majority of the control VMs.
    Newest(DocumentCopy),
    /// No document was ever accepted.
    Empty,
    /// No control leader that can confirm the newest document was reached.
    Unsure,
}

/// A configuration document that is read back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentCopy {
    /// The document's version.
    pub version: DocumentVersion,
    /// The text as the operator wrote it.
    pub source: DocumentText,
}
