//! Paginated transfer of the catalog to a member that holds none of it or lacks many changes.
//!
//! Over a low-bandwidth link, a catalog of hundreds of groups takes longer to send than a lease
//! lasts, so it is sent in pieces, separately from heartbeats. Items are ordered by the revision of
//! their last change. A cursor in that order records a member's progress and is valid at every
//! control VM.

use crate::AccountName;
use crate::CatalogItem;
use crate::CatalogRevision;
use crate::CustomerName;
use crate::GroupName;
use crate::MemberTraits;
use crate::VmName;
use serde::Deserialize;
use serde::Serialize;

/// The part of the catalog that a member needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum CatalogScope {
    /// The whole catalog, for a member that may lead groups or holds the control VMs' log.
    Whole,
    /// The items that are needed to route a statement to its leaseholder.
    Routing,
}

impl CatalogScope {
    /// Returns the scope for a member with these traits.
    pub fn of(traits: MemberTraits) -> Self {
        match traits.control || traits.leaseholder {
            true => Self::Whole,
            false => Self::Routing,
        }
    }
}

/// The key of one item in the catalog.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum CatalogKey {
    /// A contract.
    Contract(CustomerName),
    /// The removal of a contract.
    Retired(CustomerName),
    /// A group's terms.
    Terms(GroupName),
    /// A member.
    Member(VmName),
    /// The removal of a member.
    Departure(VmName),
    /// A group.
    Group(GroupName),
    /// An account.
    Account(AccountName),
    /// The removal of an account.
    AccountGone(AccountName),
}

impl CatalogKey {
    /// Returns whether the key stands for a removal.
    pub fn is_gone(&self) -> bool {
        match self {
            Self::Retired(_) | Self::Departure(_) | Self::AccountGone(_) => true,
            Self::Contract(_)
            | Self::Terms(_)
            | Self::Member(_)
            | Self::Group(_)
            | Self::Account(_) => false,
        }
    }
}

/// The progress of a member's transfer: the member has all items up to this position in the order.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CatalogCursor {
    /// The revision of the items that were transferred last.
    pub revision: CatalogRevision,
    /// The last item of that revision that was transferred; `None` if all of them were.
    pub after: Option<CatalogKey>,
}

/// A request to a control VM for the next piece of the catalog.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PieceRequest {
    /// The part of the catalog that the member needs.
    pub scope: CatalogScope,
    /// The member's progress.
    pub cursor: CatalogCursor,
}

/// A piece of the catalog.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogPiece {
    /// Whether the transfer restarts from the beginning, because removals since the requester's
    /// cursor are no longer recorded.
    pub restarts: bool,
    /// The revision of the control VM that made the piece.
    pub made_at: CatalogRevision,
    /// The items, in their state at that revision.
    pub items: Vec<CatalogItem>,
    /// The cursor for the next piece.
    pub next: CatalogCursor,
}
