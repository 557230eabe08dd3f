//! A whole configuration under one version: every contract and every group's terms.
//!
//! An operator who changes many contracts in one step sends a document. The one with the highest
//! version wins, so operators that race each other end with one whole configuration and never with
//! a mixture of two.

use crate::AccountKey;
use crate::AccountName;
use crate::ChangeId;
use crate::ClientAccount;
use crate::CustomerContract;
use crate::CustomerName;
use crate::DigestSeal;
use crate::GroupName;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;
use uuid::Uuid;

/// The version of a whole configuration, chosen by its operator.
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
    /// Contracts of one version share it, so that whoever looks at a contract sees where it came
    /// from.
    pub fn to_change_id(self) -> ChangeId {
        ChangeId(Uuid::from_u64_pair(0, self.0))
    }
}

/// A configuration as its operator wrote it, with the keys of its accounts. It is never logged or dumped.
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

/// A whole configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractDocument {
    /// Its version; the highest one is in force.
    pub version: DocumentVersion,
    /// The text as its operator wrote it, which is shown to whoever reads the configuration back.
    pub source: DocumentText,
    /// The contracts; a customer that a document leaves out has none any more.
    pub contracts: Vec<CustomerContract>,
    /// The terms of the groups that contracts may name.
    pub groups: Vec<GroupTerms>,
    /// The client accounts; one that a document leaves out has no callers any more.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub accounts: Vec<ClientAccount>,
    /// The secret under which keys are digested from the first document with accounts on. The VM that
    /// takes a document draws one; all later ones are left unused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seal: Option<DigestSeal>,
}

/// What is said of one database group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupTerms {
    /// The group.
    pub group: GroupName,
    /// How many connections each of its instances takes, from all VMs together.
    pub connections: u32,
    /// How many replicas hold a write before the database itself acknowledges it.
    pub synchronous_replicas: u32,
    /// How long a transaction may run no statement before it may be ended, in milliseconds.
    pub idle_transaction_ms: u64,
}

/// A fault in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentFault {
    /// Two contracts have the same customer.
    CustomerTwice(CustomerName),
    /// Two terms are of the same group.
    GroupTwice(GroupName),
    /// A contract names a group of which the document says nothing.
    UnknownGroup(CustomerName, GroupName),
    /// A contract is faulty; the fault in words.
    Contract(CustomerName, String),
    /// Two accounts have the same name.
    AccountTwice(AccountName),
    /// Two accounts share a key.
    KeyShared(AccountName, AccountName),
    /// An account has an empty key, which a caller without any would show.
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
    /// Lists every fault of the document; an empty list means that it can be applied.
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
        self.find_account_faults(&mut faults);
        faults
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

/// What became of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentAcceptance {
    /// The version in force now: the document's own, or a higher one that was there before.
    pub in_force: DocumentVersion,
}

/// The answer to a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DocumentReply {
    /// It is committed, or a version at least as high is.
    Accepted(DocumentAcceptance),
    /// It is invalid and changes nothing; each fault in words.
    Invalid(Vec<String>),
    /// It may or may not be committed; the same document may be sent again.
    Unknown,
}

/// The answer to a wish to read the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DocumentReading {
    /// The document that a majority confirmed to be the newest one.
    Newest(DocumentCopy),
    /// No document was ever accepted.
    Empty,
    /// Nobody who can be sure was reached.
    Unsure,
}

/// A document as it is read back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentCopy {
    /// Its version.
    pub version: DocumentVersion,
    /// The text as its operator wrote it.
    pub source: DocumentText,
}
