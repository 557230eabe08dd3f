//! Client accounts: their API keys and rate limits, and the messages by which VMs divide an
//! account's rate limit among themselves.

use crate::AccountName;
use crate::GroupName;
use crate::MemberId;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::Error;
use smallvec::SmallVec;
use std::fmt;

/// A secret that authenticates a caller as belonging to an account. It is never logged or dumped.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct AccountKey(String);

impl AccountKey {
    /// Creates a key from its text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the secret text.
    pub fn as_secret(&self) -> &str {
        &self.0
    }

    /// Returns whether the key is the empty text.
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
        // The original error is dropped, because it would quote the input.
        let text = String::deserialize(deserializer);
        text.map(Self)
            .map_err(|_| D::Error::custom("a key is a text"))
    }
}

/// Deserializes a list of keys.
///
/// # Errors
///
/// Returns an error that does not quote the invalid input, which may contain a key.
pub fn deserialize_keys<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<AccountKey>, D::Error> {
    let keys = Vec::deserialize(deserializer);
    keys.map_err(|_| D::Error::custom("keys are a list of texts"))
}

/// A client account, as configured by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// The account's name, which is passed to endpoints.
    pub name: AccountName,
    /// The keys that authenticate its callers; with an empty list, no caller can use the account.
    #[serde(deserialize_with = "deserialize_keys")]
    pub keys: Vec<AccountKey>,
    /// Its rate limit; `None` means unlimited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<AccountLimit>,
}

/// A token-bucket limit on the operations that an account may begin, for all gateways together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountLimit {
    /// The sustained rate in operations per 1,000 seconds, which allows fractions of an operation
    /// per second.
    pub per_thousand_seconds: u64,
    /// The number of operations beyond the rate that may begin at once.
    pub burst: u64,
}

impl AccountLimit {
    /// Returns the rate in operations per second.
    pub fn rate(&self) -> f64 {
        self.per_thousand_seconds as f64 / 1_000.0
    }
}

/// The callers that a contract admits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerRule {
    /// All callers; one that presents an account's key uses that account.
    #[default]
    Anyone,
    /// Only callers that present an account's key.
    KeyHolders,
}

impl CallerRule {
    /// Returns whether all callers are admitted.
    pub fn is_open(&self) -> bool {
        *self == Self::Anyone
    }
}

/// A share of an account's rate, in millionths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RateShare(pub u32);

impl RateShare {
    /// The whole rate.
    pub const WHOLE: Self = Self(1_000_000);

    /// Returns the share as a fraction between 0 and 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Self::WHOLE.0)
    }

    /// Creates a share from a fraction, clamped to the range from 0 to 1 and rounded down.
    pub fn from_fraction(fraction: f64) -> Self {
        Self((fraction.clamp(0.0, 1.0) * f64::from(Self::WHOLE.0)) as u32)
    }
}

/// A VM's request for shares of rate limits, sent to the VM that keeps the accounts' ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRequest {
    /// The requesting process.
    pub holder: MemberId,
    /// The requesting process's uptime, in milliseconds.
    pub age_ms: u64,
    /// The groups to whose leaseholder this request declares all shares that the process holds.
    pub declared: Vec<GroupName>,
    /// One entry for each account.
    pub accounts: Vec<AccountShareRequest>,
}

/// A VM's current share of one account's limit, and its demand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountShareRequest {
    /// The account.
    pub account: AccountName,
    /// The share of the rate that the VM holds at present.
    pub holds: RateShare,
    /// The rate at which callers request operations at this VM, in operations per 1,000 seconds.
    pub demand: u64,
    /// The number of operations beyond the share that are waiting or soon will be.
    pub wants: u32,
    /// The number of operations that the process has begun since it started, while that is less
    /// than the span of the limit ago; a ledger that is kept anew doesn't lend them again.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub begun: u32,
}

/// The reply to a [`LimitRequest`], with a grant for each account whose ledger the VM keeps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReply {
    /// The granted shares and operations, by account.
    pub grants: Vec<AccountGrant>,
    /// The groups for which the declaration was accepted. A VM that does not yet know that it leads
    /// a group omits it, and the sender must declare its shares again.
    pub declared: Vec<GroupName>,
    /// The groups whose ledgers wait for a declaration of the sender, as far as the request
    /// concerns them. A declaration that was accepted before this VM led the group anew is gone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub undeclared: Vec<GroupName>,
}

/// A ledger's grant of a part of one account's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountGrant {
    /// The account.
    pub account: AccountName,
    /// The share of the rate that replaces the VM's previous one.
    pub share: RateShare,
    /// The number of additional operations that the VM may begin immediately.
    pub operations: u32,
    /// If these are fewer than were wanted, the expected time until the rest can be lent, in
    /// milliseconds; `None` if that isn't known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rest_after_ms: Option<u64>,
}

/// The secret for the keyed hash of account keys, which prevents looking up digests in a
/// precomputed table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DigestSecret(pub [u8; 16]);

/// The keyed hash of an account key; VMs store it instead of the key.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct KeyDigest(pub [u8; 16]);

/// An account as it is distributed to VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountTerms {
    /// The account's name.
    pub name: AccountName,
    /// The secret under which its keys are hashed; all accounts have the same one.
    pub seal: DigestSecret,
    /// The digests of its keys.
    pub keys: SmallVec<[KeyDigest; 2]>,
    /// Its rate limit; `None` means unlimited.
    pub limit: Option<AccountLimit>,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}
