//! Newtypes for the names, counters and UUIDs that identify things across processes.
//!
//! Each has its own type, so that the compiler rejects a group name where an instance name is
//! expected.

use serde::Deserialize;
use serde::Serialize;
use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;
use uuid::Uuid;

macro_rules! text_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

text_name! {
    /// The name of a customer, whose contract sets its limits.
    CustomerName
}
text_name! {
    /// The name of a share group: contracts that have one slot share together.
    ShareGroupName
}
text_name! {
    /// The name of a client account, on whose behalf callers send requests.
    AccountName
}
text_name! {
    /// The name of a database group: one primary and its replicas.
    GroupName
}
text_name! {
    /// The name of one instance of a database group.
    InstanceName
}
text_name! {
    /// The name of a VM that runs a ragwortgate daemon.
    VmName
}
text_name! {
    /// The name of a failure domain: a set of VMs and endpoints that can fail together.
    DomainName
}
text_name! {
    /// The name of a caller's session; it stays the same when the session moves to another gateway.
    SessionName
}
text_name! {
    /// The name of a kind of request that a contract describes, such as `grant` or `status`.
    KindName
}

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

counter! {
    /// The term of a database group, incremented with each change of its primary.
    GroupTerm
}
counter! {
    /// The epoch of a group's placement, incremented with each change of its leaseholder or
    /// standbys.
    PlacementEpoch
}
counter! {
    /// The version of one customer's contract, starting at 1.
    ContractVersion
}
counter! {
    /// The revision of the catalog: the index of the log entry that last changed it.
    CatalogRevision
}
counter! {
    /// The incarnation of a VM's daemon process, or of a control VM's durable state, which gets a
    /// new one when its disk was empty at start. A later incarnation has a higher number.
    VmIncarnation
}

macro_rules! uuid_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub Uuid);

        impl $name {
            /// Creates a new UUIDv7, which contains the current time.
            pub fn fresh() -> Self {
                Self(Uuid::now_v7())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

uuid_name! {
    /// The idempotency key of a request that must run at most once: a UUIDv7, which contains its
    /// creation time.
    RequestKey
}
uuid_name! {
    /// The identifier of a contract change; a resend carries the same one.
    ChangeId
}
uuid_name! {
    /// The identifier of one statement on the wire; its reply carries the same one.
    StatementId
}
uuid_name! {
    /// The identifier of an open transaction, chosen by the gateway.
    TransactionId
}

impl RequestKey {
    /// Returns the time of the key's creation, in milliseconds since the Unix epoch, or `None` if
    /// the key is not a UUIDv7.
    pub fn to_unix_millis(self) -> Option<u64> {
        if self.0.get_version_num() != 7 {
            return None;
        }
        let (seconds, nanos) = self.0.get_timestamp()?.to_unix();
        Some(seconds * 1_000 + u64::from(nanos) / 1_000_000)
    }
}
