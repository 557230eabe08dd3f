//! Cache of packed pieces of the catalog, for members that transfer it at the same time.
//!
//! # Problem
//!
//! A change of the configuration reaches hundreds of members as pieces, each of which takes
//! milliseconds to pack. While members come and go and groups are placed, the members hold slightly
//! different revisions. If each got a piece that begins just where it stands, a control VM would
//! pack the same items once for each member.
//!
//! # Approach
//!
//! A member also gets a piece that begins a few items before its cursor: items are complete records,
//! so repeating some does no harm. The piece ends where it ends for all others, so that all members
//! ask for the same next one. A piece that was made some revisions ago is still correct, because a
//! later piece brings the changes since.

use crate::catalog::CatalogState;
use ragwort_types::CatalogCursor;
use ragwort_types::CatalogKey;
use ragwort_types::CatalogPiece;
use ragwort_types::CatalogRevision;
use ragwort_types::CatalogScope;
use ragwort_types::PieceRequest;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of cached pieces. A catalog of 1,000 groups has about ten for each scope.
const MAX_CACHED_PIECES: usize = 64;

/// The number of revisions after which a piece is made again. All changes since are sent twice.
const MAX_PIECE_AGE_REVISIONS: u64 = 64;

/// Maximum number of items that a member gets although it has them.
const MAX_REPEATED_ITEMS: usize = 32;

/// A cursor in the order of the transfer: the items of a revision come before its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CursorPlace {
    revision: CatalogRevision,
    at_end: bool,
    after: Option<CatalogKey>,
}

impl From<&CatalogCursor> for CursorPlace {
    fn from(cursor: &CatalogCursor) -> Self {
        Self {
            revision: cursor.revision,
            at_end: cursor.after.is_none(),
            after: cursor.after.clone(),
        }
    }
}

#[derive(Debug)]
struct CachedPiece {
    start: CatalogCursor,
    restarts: bool,
    made_at: CatalogRevision,
    next: CursorPlace,
    packed: Arc<str>,
}

impl CachedPiece {
    fn is_fresh(&self, catalog: &CatalogState) -> bool {
        let age = catalog.revision().0.saturating_sub(self.made_at.0);
        age < MAX_PIECE_AGE_REVISIONS
    }
}

/// Packed pieces, by scope and start.
#[derive(Debug, Default)]
pub struct PieceCache {
    pieces: BTreeMap<(CatalogScope, CursorPlace), CachedPiece>,
}

impl PieceCache {
    /// Returns a packed piece that brings the requester forward, if there is one.
    pub fn find(&self, request: &PieceRequest, catalog: &CatalogState) -> Option<Arc<str>> {
        let cursor = &request.cursor;
        let place = CursorPlace::from(cursor);
        let key = (request.scope, place);
        let restarts = catalog.lacks_removals_since(cursor.revision);
        let (found, held) = self.pieces.range(..=&key).next_back()?;
        let exact = *found == key;
        // A piece from the beginning brings no removals.
        let overlaps = found.0 == key.0 && !restarts && held.start != CatalogCursor::default();
        let usable = held.restarts == restarts && (exact || (overlaps && held.next > key.1));
        let near = || exact || catalog.has_at_most(MAX_REPEATED_ITEMS, &held.start, cursor);
        let found = usable && held.is_fresh(catalog) && near();
        found.then(|| Arc::clone(&held.packed))
    }

    /// Keeps a packed piece for later requests, unless it doesn't bring its requester forward.
    pub fn keep(&mut self, request: PieceRequest, piece: &CatalogPiece, packed: Arc<str>) {
        let place = CursorPlace::from(&request.cursor);
        let next = CursorPlace::from(&piece.next);
        if next <= place && !piece.restarts {
            return;
        }
        if self.pieces.len() >= MAX_CACHED_PIECES {
            self.drop_oldest();
        }
        let cached = CachedPiece {
            start: request.cursor,
            restarts: piece.restarts,
            made_at: piece.made_at,
            next,
            packed,
        };
        self.pieces.insert((request.scope, place), cached);
    }

    fn drop_oldest(&mut self) {
        let oldest = self.pieces.iter().min_by_key(|(_, held)| held.made_at);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.pieces.remove(&key);
        }
    }
}
