//! Client accounts: who may call, by which keys, and how much.

use crate::AccountName;
use crate::GroupName;
use crate::MemberId;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::Error;
use smallvec::SmallVec;
use std::fmt;

/// A secret by which a caller shows whose account it works for. It is never logged or dumped.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct AccountKey(String);

impl AccountKey {
    /// Takes a key as its holder writes it.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the secret itself.
    pub fn as_secret(&self) -> &str {
        &self.0
    }

    /// Says whether there is no key at all.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Debug for AccountKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("AccountKey(..)")
    }
}

impl<'de> Deserialize<'de> for AccountKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // The fault itself would quote what was found.
        let text = String::deserialize(deserializer);
        text.map(Self)
            .map_err(|_| D::Error::custom("a key is a text"))
    }
}

/// Reads a list of keys.
///
/// # Errors
///
/// Returns a fault that doesn't quote what was found in place of the list: it may be a key.
pub fn deserialize_keys<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<AccountKey>, D::Error> {
    let keys = Vec::deserialize(deserializer);
    keys.map_err(|_| D::Error::custom("keys are a list of texts"))
}

/// A client account, as an operator writes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// The account's name, which endpoints are told.
    pub name: AccountName,
    /// The keys of its callers; without any, nobody works for it.
    #[serde(deserialize_with = "deserialize_keys")]
    pub keys: Vec<AccountKey>,
    /// How much it may ask for; no limit if none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<AccountLimit>,
}

/// How many operations an account may begin, over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountLimit {
    /// Operations in a thousand seconds, so that a rate needn't be whole.
    pub per_thousand_seconds: u64,
    /// Operations beyond the rate that may begin at once.
    pub burst: u64,
}

impl AccountLimit {
    /// Returns the rate, in operations a second.
    pub fn rate(&self) -> f64 {
        self.per_thousand_seconds as f64 / 1_000.0
    }
}

/// Which callers a contract takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerRule {
    /// Everybody; one that shows an account's key works for that account.
    #[default]
    Anyone,
    /// Only those that show an account's key.
    KeyHolders,
}

impl CallerRule {
    /// Says whether everybody is taken.
    pub fn is_open(&self) -> bool {
        *self == Self::Anyone
    }
}

/// A part of an account's rate, in millionths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RateShare(pub u32);

impl RateShare {
    /// The whole rate.
    pub const WHOLE: Self = Self(1_000_000);

    /// Returns it as a fraction.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Self::WHOLE.0)
    }

    /// Returns the share that a fraction of the rate is, rounded down; never more than the whole.
    pub fn of_fraction(fraction: f64) -> Self {
        Self((fraction.clamp(0.0, 1.0) * f64::from(Self::WHOLE.0)) as u32)
    }
}

/// What a VM asks of the VM that keeps the ledger of some accounts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRequest {
    /// The process that asks.
    pub holder: MemberId,
    /// For how long it has run, in milliseconds.
    pub age_ms: u64,
    /// Groups at whose leaseholder it has declared with this request all shares that it holds.
    pub declared: Vec<GroupName>,
    /// The accounts.
    pub accounts: Vec<AccountNeed>,
}

/// What a VM needs of one account's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountNeed {
    /// The account.
    pub account: AccountName,
    /// The share of the rate that the VM holds now.
    pub holds: RateShare,
    /// The operations that are asked for there in a thousand seconds.
    pub demand: u64,
    /// Operations that wait, or will soon, beyond what the share allows.
    pub wants: u32,
}

/// The answer to a [`LimitRequest`]: a grant for each account whose ledger is kept here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReply {
    /// The grants.
    pub grants: Vec<AccountGrant>,
    /// The groups of which a declaration was taken. A VM that doesn't know yet that it leads a group
    /// takes none, and it must be declared again.
    pub declared: Vec<GroupName>,
}

/// What a ledger lends of one account's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountGrant {
    /// The account.
    pub account: AccountName,
    /// The share of the rate that the VM holds from now on, in place of what it held.
    pub share: RateShare,
    /// Single operations, to be begun at once.
    pub operations: u32,
}

/// The secret under which keys are digested, so that digests can't be looked up in a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DigestSeal(pub [u8; 16]);

/// What VMs hold in place of a key.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct KeyDigest(pub [u8; 16]);

/// An account as VMs know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountTerms {
    /// Its name.
    pub name: AccountName,
    /// The secret under which its keys are digested; the same for all accounts.
    pub seal: DigestSeal,
    /// Its keys' digests.
    pub keys: SmallVec<[KeyDigest; 2]>,
    /// How much it may ask for.
    pub limit: Option<AccountLimit>,
}
