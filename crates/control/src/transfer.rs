//! Transfer of the catalog to members: small deltas with a heartbeat, everything else in pieces.
//!
//! After a power loss, hundreds of members request a catalog of hundreds of groups at the same
//! time, each through a link that carries a few hundred kilobytes a second and its callers'
//! traffic. If the whole catalog were part of the reply to a heartbeat, it would not arrive before
//! the heartbeat times out; the next heartbeat would request it again, and no member would get a
//! lease.
//!
//! Pieces from different control VMs can be combined, because control VMs apply the same changes in
//! the same order. A piece contains the items that last changed between two points of that order.
//! An item that changed since the piece was made is now beyond the transfer's cursor and comes with
//! a later piece. A transfer is complete when its cursor has reached the newest revision at which
//! any of its pieces was made.

use crate::catalog::CatalogState;
use crate::copy::CatalogCopy;
use crate::digest::digest_text;
use ragwort_types::CatalogCursor;
use ragwort_types::CatalogDelta;
use ragwort_types::CatalogItem;
use ragwort_types::CatalogKey;
use ragwort_types::CatalogPiece;
use ragwort_types::CatalogRevision;
use ragwort_types::CatalogScope;
use ragwort_types::GroupRecord;
use ragwort_types::MemberRecord;
use ragwort_types::PieceRequest;
use smallvec::SmallVec;
use std::ops::Bound;

/// Size at which a piece is full, in estimated bytes before compression.
pub const PIECE_BYTES: usize = 96 * 1_024;

/// Maximum size of a delta that is sent with a heartbeat, in estimated bytes before compression.
/// Compressed, it passes the narrowest link many times within a lease.
const MAX_DELTA_BYTES: usize = 12 * 1_024;

/// Up to this number of members, each gateway knows all others.
const FULL_MESH_MEMBERS: usize = 96;

/// With more members, one in so many gateways is known to all others: a few dozen suffice as relays
/// around a network partition.
const RELAY_DIVISOR: u64 = 4;

impl CatalogState {
    /// Returns the next piece for a transfer.
    pub fn next_piece(&self, request: &PieceRequest) -> CatalogPiece {
        let asked = &request.cursor;
        let restarts = self.lacks_removals_since(asked.revision);
        let start = match restarts {
            true => CatalogCursor::default(),
            false => asked.clone(),
        };
        let begins = start == CatalogCursor::default();
        let mut piece = CatalogPiece {
            restarts,
            made_at: self.revision(),
            items: Vec::new(),
            next: start.clone(),
        };
        let mut bytes = 0;
        for (revision, key) in self.keys_after(&start) {
            // A member that holds nothing yet needs no removals.
            let item = match key.is_gone() && begins {
                true => None,
                false => self.scoped_item(key, request.scope),
            };
            if let Some(item) = item {
                bytes += estimate_bytes(&item);
                piece.items.push(item);
            }
            if bytes >= PIECE_BYTES {
                piece.next = CatalogCursor {
                    revision,
                    after: Some(key.clone()),
                };
                return piece;
            }
        }
        piece.next = CatalogCursor {
            revision: self.revision().max(start.revision),
            after: start.after.filter(|_| start.revision > self.revision()),
        };
        piece
    }

    /// Returns what a member lacks, if it is small enough to be sent with a heartbeat.
    pub fn short_delta(&self, from: CatalogRevision, scope: CatalogScope) -> Option<CatalogDelta> {
        if from > CatalogRevision(0) && self.lacks_removals_since(from) {
            return None;
        }
        let whole = from == CatalogRevision(0);
        let mut delta = CatalogDelta {
            from: (!whole).then_some(from),
            to: self.revision().max(from),
            items: Vec::new(),
        };
        let mut bytes = 0;
        let start = CatalogCursor {
            revision: from,
            after: None,
        };
        for (_, key) in self.keys_after(&start) {
            let item = match key.is_gone() && whole {
                true => None,
                false => self.scoped_item(key, scope),
            };
            if let Some(item) = item {
                bytes += estimate_bytes(&item);
                delta.items.push(item);
            }
            if bytes > MAX_DELTA_BYTES {
                return None;
            }
        }
        Some(delta)
    }

    /// Returns whether a member lacks an item that must be sent at once.
    ///
    /// In the routing scope, departures, members that serve no groups, and the terms of groups can
    /// wait for the member's next heartbeat.
    pub fn needs_prompt_delivery(&self, from: CatalogRevision, scope: CatalogScope) -> bool {
        let start = CatalogCursor {
            revision: from,
            after: None,
        };
        let mut later = self.keys_after(&start);
        later.any(|(_, key)| match (scope, key) {
            (CatalogScope::Whole, _) => true,
            (CatalogScope::Routing, CatalogKey::Departure(_) | CatalogKey::Terms(_)) => false,
            (CatalogScope::Routing, CatalogKey::Member(vm)) => {
                self.member(vm).is_some_and(serves_groups)
            }
            (CatalogScope::Routing, _) => true,
        })
    }

    /// Returns whether at most `limit` items lie after one cursor and up to another one.
    pub(crate) fn has_at_most(
        &self,
        limit: usize,
        start: &CatalogCursor,
        end: &CatalogCursor,
    ) -> bool {
        let before_end = |(revision, key): &(CatalogRevision, &CatalogKey)| {
            let at_end = end.after.as_ref().is_none_or(|after| *key <= after);
            *revision < end.revision || (*revision == end.revision && at_end)
        };
        let between = self.keys_after(start).take_while(before_end);
        between.take(limit + 1).count() <= limit
    }

    /// Returns whether removals after a revision have been forgotten.
    pub(crate) fn lacks_removals_since(&self, from: CatalogRevision) -> bool {
        from > CatalogRevision(0) && from < self.delta_floor
    }

    fn keys_after<'c>(
        &'c self,
        cursor: &'c CatalogCursor,
    ) -> impl Iterator<Item = (CatalogRevision, &'c CatalogKey)> {
        let begun = cursor.after.as_ref();
        let first = match begun {
            Some(_) => Bound::Included(cursor.revision),
            None => Bound::Excluded(cursor.revision),
        };
        let keys = self.changes.range(first);
        keys.filter(move |(revision, key)| *revision != cursor.revision || Some(*key) > begun)
    }

    fn scoped_item(&self, key: &CatalogKey, scope: CatalogScope) -> Option<CatalogItem> {
        if scope == CatalogScope::Whole {
            return self.item(key);
        }
        match key {
            CatalogKey::Terms(_) => None,
            CatalogKey::Member(vm) => {
                let member = self
                    .member(vm)
                    .filter(|member| self.is_visible_to_gateways(member));
                member.cloned().map(CatalogItem::Member)
            }
            CatalogKey::Group(group) => {
                let record = self.group(group)?;
                // Only the group's leaseholder uses its endpoints and orders.
                Some(CatalogItem::Group(Box::new(GroupRecord {
                    placement: record.placement.clone(),
                    primary: record.primary.clone(),
                    instances: SmallVec::new(),
                    endpoints: Vec::new(),
                    orders: Vec::new(),
                    ..*record
                })))
            }
            CatalogKey::Contract(_)
            | CatalogKey::Retired(_)
            | CatalogKey::Departure(_)
            | CatalogKey::Account(_)
            | CatalogKey::AccountGone(_) => self.item(key),
        }
    }

    /// Returns whether gateways are told of a member: it serves groups, or it is one of the relays
    /// around a network partition.
    fn is_visible_to_gateways(&self, member: &MemberRecord) -> bool {
        serves_groups(member)
            || self.members.len() <= FULL_MESH_MEMBERS
            || digest_text(member.id.vm.as_str()).is_multiple_of(RELAY_DIVISOR)
    }
}

fn serves_groups(member: &MemberRecord) -> bool {
    member.traits.control || member.traits.leaseholder
}

/// Returns the approximate size of an item on the wire, in bytes before compression.
fn estimate_bytes(item: &CatalogItem) -> usize {
    const NAME: usize = 48;
    match item {
        CatalogItem::Contract(held) => 256 + 160 * held.contract.kinds.len(),
        CatalogItem::Group(record) => {
            let named = record.instances.len() + record.orders.len();
            256 + 256 * record.endpoints.len() + NAME * named
        }
        CatalogItem::Member(_) => 256,
        CatalogItem::GroupTerms(_) => 96,
        CatalogItem::Account(terms) => 2 * NAME + NAME * terms.keys.len(),
        CatalogItem::ContractGone(_) | CatalogItem::MemberGone(_) | CatalogItem::AccountGone(_) => {
            NAME
        }
    }
}

/// The state of a transfer after a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransferStep {
    /// The next piece must be requested.
    Ongoing,
    /// The control VM that replied is behind another one; it, or another, must be asked again.
    Behind,
    /// The copy is complete.
    Done(CatalogCopy),
}

/// A member's transfer of the catalog. Items that have arrived are kept when another control VM is
/// asked for the rest.
#[derive(Clone, Debug)]
pub struct CatalogTransfer {
    scope: CatalogScope,
    copy: CatalogCopy,
    cursor: CatalogCursor,
    /// The newest revision at which a piece was made, or that was requested.
    needed: CatalogRevision,
}

impl CatalogTransfer {
    /// Begins to update a copy to a revision.
    pub fn begin(held: &CatalogCopy, scope: CatalogScope, needed: CatalogRevision) -> Self {
        Self {
            scope,
            copy: held.clone(),
            cursor: CatalogCursor {
                revision: held.revision(),
                after: None,
            },
            needed,
        }
    }

    /// Returns the request for the next piece.
    pub fn to_request(&self) -> PieceRequest {
        PieceRequest {
            scope: self.scope,
            cursor: self.cursor.clone(),
        }
    }

    /// Returns the cursor that the transfer has reached.
    pub fn cursor(&self) -> &CatalogCursor {
        &self.cursor
    }

    /// Processes the reply to the last request.
    pub fn take(&mut self, piece: &CatalogPiece) -> TransferStep {
        if piece.restarts {
            self.copy = CatalogCopy::new();
        }
        self.needed = self.needed.max(piece.made_at);
        let moved = piece.restarts || piece.next != self.cursor;
        self.copy.set_items(&piece.items);
        self.cursor = piece.next.clone();
        if self.cursor.after.is_some() || self.cursor.revision < self.needed {
            return match moved {
                true => TransferStep::Ongoing,
                false => TransferStep::Behind,
            };
        }
        let mut copy = std::mem::take(&mut self.copy);
        copy.set_revision(self.cursor.revision);
        TransferStep::Done(copy)
    }
}
