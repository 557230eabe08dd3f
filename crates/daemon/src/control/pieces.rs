//! Serves pieces of the catalog to members that transfer it.

use super::ControlTask;
use crate::log_event;
use log::Level;
use ragwort_rpc::pack_piece;
use ragwort_types::PieceRequest;
use std::sync::Arc;

impl ControlTask {
    /// Returns a piece for a member's transfer of the catalog, from the cache or packed now; `None`
    /// if it can't be packed.
    pub(super) fn read_catalog(&mut self, request: PieceRequest) -> Option<Arc<str>> {
        if let Some(packed) = self.piece_cache.find(&request, &self.catalog) {
            return Some(packed);
        }
        let piece = self.catalog.next_piece(&request);
        let packed: Arc<str> = match pack_piece(&piece) {
            Ok(packed) => packed.into(),
            Err(error) => {
                log_event!(Level::Error, "piece_not_packed", cause = error);
                return None;
            }
        };
        self.piece_cache.keep(request, &piece, Arc::clone(&packed));
        Some(packed)
    }
}
