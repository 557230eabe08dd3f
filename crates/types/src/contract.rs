//! A customer's contract: the kinds of request it may send, and its limits.

use crate::CallerRule;
use crate::ContractVersion;
use crate::CustomerName;
use crate::GroupName;
use crate::KindName;
use crate::ShareGroupName;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// The maximum deadline that a contract may set, in milliseconds.
///
/// Request keys are remembered for ten minutes; a request with a longer deadline could outlive its
/// key and run twice.
pub const MAX_DEADLINE_MS: u64 = 600_000;

/// The contract of one customer: its groups, kinds of request and limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerContract {
    /// The customer.
    pub customer: CustomerName,
    /// The database groups that the customer may use.
    pub groups: Vec<GroupName>,
    /// The terms of each kind of request, by the kind's name.
    pub kinds: BTreeMap<KindName, KindTerms>,
    /// The kind of a statement that does not name one.
    pub default_kind: KindName,
    /// The customer's weight, relative to other customers, in the scheduling of endpoint slots.
    pub slot_share: u32,
    /// The maximum number of endpoint connections that the customer's transactions may pin at once,
    /// per group.
    pub connection_limit: u32,
    /// The maximum number of requests that may wait at once, per group.
    pub queue_limit: u32,
    /// The maximum number of sessions that may be open at once, per gateway.
    pub session_limit: u32,
    /// The callers that are admitted.
    #[serde(default, skip_serializing_if = "CallerRule::is_open")]
    pub callers: CallerRule,
    /// The share group whose contracts have one slot share together and aren't weighed against each
    /// other. `None` if the customer has a slot share of its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share_group: Option<ShareGroupName>,
}

/// The contract's terms for one kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindTerms {
    /// Whether requests of this kind read or write.
    pub access: AccessMode,
    /// Whether a request of this kind may run more than once.
    #[serde(default)]
    pub repeat: RepeatRule,
    /// Whether the request is scheduled before ordinary requests.
    #[serde(default)]
    pub urgency: UrgencyClass,
    /// Whether the request usually runs for a short or a long time.
    #[serde(default)]
    pub length: LengthClass,
    /// The maximum staleness of the data that is read, in milliseconds; zero allows none.
    #[serde(default)]
    pub max_age_ms: u64,
    /// The time within which the caller needs its answer, in milliseconds.
    pub deadline_ms: u64,
    /// The latency target, in milliseconds: an answer within it is worth more to the caller than a
    /// later one. `None` if all answers before the deadline are worth the same.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_ms: Option<u64>,
    /// The priority level. `None` if only the urgency decides which requests go first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<PriorityLevel>,
}

/// A level of priority under scarcity; level zero is served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PriorityLevel(pub u8);

/// The number of priority levels; the lowest level is one less.
pub const PRIORITY_LEVELS: u8 = 4;

/// Whether a request reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AccessMode {
    /// The request changes nothing.
    Read,
    /// The request may change data.
    Write,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatRule {
    /// Running the request again has the same effect.
    Idempotent,
    /// The request runs at most once. This is the default because it is always safe.
    #[default]
    Never,
}

/// The scheduling class of a request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum UrgencyClass {
    /// The request is scheduled in the normal order.
    #[default]
    Ordinary,
    /// The request is scheduled before ordinary ones, within limits.
    Urgent,
}

/// The usual running time of a kind's requests.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum LengthClass {
    /// Milliseconds to tens of milliseconds.
    #[default]
    Short,
    /// Hundreds of milliseconds or more, as for a report.
    Long,
}

/// A fault in a contract.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ContractFault {
    /// The customer's name is empty or has characters other than ASCII letters, digits, `-` and
    /// `_`.
    CustomerName,
    /// The contract names no group.
    NoGroups,
    /// The contract's default kind is not one of its kinds.
    DefaultKind,
    /// The limit of this name is zero.
    ZeroLimit(&'static str),
    /// A kind's deadline is zero or longer than [`MAX_DEADLINE_MS`].
    Deadline(KindName),
    /// A kind that writes allows stale data.
    AgedWrite(KindName),
    /// A kind's latency target is zero, which no answer can meet.
    Target(KindName),
    /// A kind's priority level is not one of the [`PRIORITY_LEVELS`].
    Priority(KindName),
    /// The kind has no priority level although another kind of the contract has one.
    PriorityMissing(KindName),
    /// The share group's name is empty or has characters other than ASCII letters, digits, `-` and
    /// `_`.
    ShareGroupName,
}

impl fmt::Display for ContractFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CustomerName => {
                formatter.write_str("customer: expected one or more letters, digits, `-` or `_`")
            }
            Self::NoGroups => formatter.write_str("groups: expected at least one group"),
            Self::DefaultKind => {
                formatter.write_str("default_kind: expected a name listed under kinds")
            }
            Self::ZeroLimit(name) => write!(formatter, "{name}: expected a number above zero"),
            Self::Deadline(kind) => write!(
                formatter,
                "kinds.{kind}.deadline_ms: expected a number from 1 to {MAX_DEADLINE_MS}",
            ),
            Self::AgedWrite(kind) => write!(
                formatter,
                "kinds.{kind}.max_age_ms: expected zero for a kind that writes",
            ),
            Self::Target(kind) => write!(
                formatter,
                "kinds.{kind}.target_ms: expected a number above zero, or none",
            ),
            Self::Priority(kind) => write!(
                formatter,
                "kinds.{kind}.priority: expected a level below {PRIORITY_LEVELS}",
            ),
            Self::PriorityMissing(kind) => write!(
                formatter,
                "kinds.{kind}.priority: expected a level, as other kinds have one",
            ),
            Self::ShareGroupName => {
                formatter.write_str("share_group: expected one or more letters, digits, `-` or `_`")
            }
        }
    }
}

impl CustomerContract {
    /// Returns the terms of a kind, if the contract has it.
    pub fn kind(&self, name: &KindName) -> Option<&KindTerms> {
        self.kinds.get(name)
    }

    /// Returns all faults of the contract; an empty list means that it is valid.
    pub fn find_faults(&self) -> Vec<ContractFault> {
        let mut faults = Vec::new();
        if !is_plain_name(self.customer.as_str()) {
            faults.push(ContractFault::CustomerName);
        }
        if self.groups.is_empty() {
            faults.push(ContractFault::NoGroups);
        }
        if !self.kinds.contains_key(&self.default_kind) {
            faults.push(ContractFault::DefaultKind);
        }
        let limits = [
            ("slot_share", self.slot_share),
            ("connection_limit", self.connection_limit),
            ("queue_limit", self.queue_limit),
            ("session_limit", self.session_limit),
        ];
        for (name, limit) in limits {
            if limit == 0 {
                faults.push(ContractFault::ZeroLimit(name));
            }
        }
        let group = self.share_group.as_ref();
        if group.is_some_and(|name| !is_plain_name(name.as_str())) {
            faults.push(ContractFault::ShareGroupName);
        }
        let has_priorities = self.kinds.values().any(|terms| terms.priority.is_some());
        for (kind, terms) in &self.kinds {
            match terms.priority {
                Some(level) if level.0 >= PRIORITY_LEVELS => {
                    faults.push(ContractFault::Priority(kind.clone()));
                }
                None if has_priorities => {
                    faults.push(ContractFault::PriorityMissing(kind.clone()));
                }
                Some(_) | None => {}
            }
            if terms.deadline_ms == 0 || terms.deadline_ms > MAX_DEADLINE_MS {
                faults.push(ContractFault::Deadline(kind.clone()));
            }
            if terms.access == AccessMode::Write && terms.max_age_ms > 0 {
                faults.push(ContractFault::AgedWrite(kind.clone()));
            }
            if terms.target_ms == Some(0) {
                faults.push(ContractFault::Target(kind.clone()));
            }
        }
        faults
    }
}

fn is_plain_name(text: &str) -> bool {
    let plain = |letter: char| letter.is_ascii_alphanumeric() || matches!(letter, '-' | '_');
    !text.is_empty() && text.chars().all(plain)
}

/// An operator's change to one customer's contract.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractChange {
    /// The identifier of the change. A resend carries the same one and gets the first reply.
    pub change_id: crate::ChangeId,
    /// The version that the change replaces; zero for a new customer.
    pub base_version: ContractVersion,
    /// The contract to put in force.
    pub contract: CustomerContract,
}

/// A contract in the catalog, with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedContract {
    /// The version: one above that of the replaced contract.
    pub version: ContractVersion,
    /// The change that created this version.
    pub change_id: crate::ChangeId,
    /// The contract.
    pub contract: CustomerContract,
}
