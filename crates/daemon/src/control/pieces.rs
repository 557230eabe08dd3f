//! Serves pieces of the catalog to members that transfer it, and caches the packed pieces, since
//! many members request the same ones, or overlapping ones: while many groups are placed, each
//! member has reached another revision.

use super::ControlTask;
use crate::log_event;
use log::Level;
use ragwort_control::CatalogState;
use ragwort_rpc::pack_piece;
use ragwort_types::CatalogCursor;
use ragwort_types::CatalogKey;
use ragwort_types::CatalogRevision;
use ragwort_types::PieceRequest;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The maximum number of cached pieces. A catalog of 710 groups has about ten, and members that
/// started at different revisions request different ones.
const MAX_CACHED_PIECES: usize = 64;

/// The number of catalog revisions after which a cached piece is packed again. An older piece is
/// still correct, because later pieces bring the changes since, but these items are then sent
/// twice.
const MAX_PIECE_AGE_REVISIONS: u64 = 64;

/// The number of items from which the last piece of a transfer is cached.
const MIN_CACHED_ITEMS: usize = 32;

/// The cached pieces, by request.
#[derive(Default)]
pub(super) struct PieceCache {
    pieces: BTreeMap<PieceRequest, CachedPiece>,
}

struct CachedPiece {
    made_at: CatalogRevision,
    /// The cursor that a member has reached with the piece.
    next: CatalogCursor,
    /// Whether the piece begins a transfer anew, and so answers no other request than its own.
    restarts: bool,
    packed: Arc<str>,
}

impl CachedPiece {
    /// Returns whether the piece answers a request: it is recent, and contains all items from the
    /// request's cursor up to its own end.
    ///
    /// It may begin at an earlier cursor, since items that the member already holds do no harm. The
    /// first piece of a transfer from nothing is an exception, because it contains no removals.
    fn answers(
        &self,
        own: &PieceRequest,
        request: &PieceRequest,
        present: CatalogRevision,
    ) -> bool {
        if present.0.saturating_sub(self.made_at.0) >= MAX_PIECE_AGE_REVISIONS {
            return false;
        }
        let covers = || {
            let start = order_of(&own.cursor);
            let asked = order_of(&request.cursor);
            let begins = own.cursor == CatalogCursor::default();
            own.scope == request.scope
                && !self.restarts
                && !begins
                && start < asked
                && asked < order_of(&self.next)
        };
        own == request || covers()
    }
}

/// Returns what orders cursors by progress: a cursor after some items of a revision comes before
/// the one after all of them.
fn order_of(cursor: &CatalogCursor) -> (CatalogRevision, bool, Option<&CatalogKey>) {
    (
        cursor.revision,
        cursor.after.is_none(),
        cursor.after.as_ref(),
    )
}

impl PieceCache {
    /// Returns a packed piece, from the cache or packed now; `None` if it can't be packed.
    pub(super) fn get_or_pack(
        &mut self,
        request: PieceRequest,
        catalog: &CatalogState,
    ) -> Option<Arc<str>> {
        let present = catalog.revision();
        let cached = self.pieces.iter();
        let mut answering = cached.filter(|(own, cached)| cached.answers(own, &request, present));
        if let Some((_, cached)) = answering.next_back() {
            return Some(Arc::clone(&cached.packed));
        }
        let piece = catalog.next_piece(&request);
        let packed: Arc<str> = match pack_piece(&piece) {
            Ok(packed) => packed.into(),
            Err(error) => {
                log_event!(Level::Error, "piece_not_packed", cause = error);
                return None;
            }
        };
        // A short last piece is not cached: its end is a revision that is soon outdated, and it is
        // quickly packed.
        if piece.next.after.is_some() || piece.items.len() >= MIN_CACHED_ITEMS {
            if self.pieces.len() >= MAX_CACHED_PIECES {
                self.pieces.clear();
            }
            let cached = CachedPiece {
                made_at: present,
                next: piece.next,
                restarts: piece.restarts,
                packed: Arc::clone(&packed),
            };
            self.pieces.insert(request, cached);
        }
        Some(packed)
    }
}

impl ControlTask {
    /// Returns the next piece for a member's transfer of the catalog.
    pub(super) fn read_catalog(&mut self, request: PieceRequest) -> Option<Arc<str>> {
        self.piece_cache.get_or_pack(request, &self.catalog)
    }
}
