//! Serves pieces of the catalog to members that transfer it, and caches the packed pieces, since
//! many members request the same ones.

use super::ControlTask;
use crate::log_event;
use log::Level;
use ragwort_control::CatalogState;
use ragwort_rpc::pack_piece;
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

/// The cached pieces, by request.
#[derive(Default)]
pub(super) struct PieceCache {
    pieces: BTreeMap<PieceRequest, CachedPiece>,
}

struct CachedPiece {
    made_at: CatalogRevision,
    packed: Arc<str>,
}

impl PieceCache {
    /// Returns a packed piece, from the cache or packed now; `None` if it can't be packed.
    pub(super) fn get_or_pack(
        &mut self,
        request: PieceRequest,
        catalog: &CatalogState,
    ) -> Option<Arc<str>> {
        let present = catalog.revision();
        if let Some(cached) = self.pieces.get(&request)
            && present.0.saturating_sub(cached.made_at.0) < MAX_PIECE_AGE_REVISIONS
        {
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
        // The last piece is not cached: its end is a revision that is soon outdated, and it is
        // quickly packed.
        if piece.next.after.is_some() {
            if self.pieces.len() >= MAX_CACHED_PIECES {
                self.pieces.clear();
            }
            let cached = CachedPiece {
                made_at: present,
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
