//! Moves bodies from memory to the spool file while memory is short. Runs whenever a body is complete.

use crate::body::{Body, PieceWrite};
use crate::capacity::EvictionOutcome;
use crate::mutex::lock;
use crate::piece::{Piece, PieceData};
use crate::registry::Registry;
use crate::resources::Resources;
use crate::spool::Spool;
use std::sync::Arc;

/// Evicts bodies from memory to the spool file until memory is no longer short, no body can be evicted, or an eviction
/// fails.
pub(crate) async fn evict(resources: &Resources, registry: &Registry<Body>) {
    let Some(spool) = &resources.spool else {
        return;
    };
    let start_eviction = || lock(&resources.capacity).start_eviction();
    while let Some(id) = start_eviction() {
        let outcome = match registry.get(id) {
            Some(body) => body.write_to_spool(spool).await,
            None => EvictionOutcome::Failed,
        };
        lock(&resources.capacity).finish_eviction(id, outcome);
        if outcome == EvictionOutcome::Failed {
            return;
        }
    }
}

impl Body {
    /// Writes all pieces in memory to the spool file. If one cannot be written, all of them stay in memory.
    async fn write_to_spool(&self, spool: &Arc<Spool>) -> EvictionOutcome {
        let pieces: Vec<Piece> = self.content().pieces.iter().cloned().collect();
        let mut written = Vec::new();
        for piece in pieces {
            let PieceData::Memory(bytes) = &*piece.data else {
                continue;
            };
            let data = match self.write_piece(spool, bytes.clone()).await {
                PieceWrite::Written(data) => data,
                PieceWrite::Failed => {
                    free_all(written, spool);
                    return EvictionOutcome::Failed;
                }
            };
            written.push(Piece {
                offset: piece.offset,
                data: Arc::new(data),
            });
        }
        self.replace_pieces(written, spool);
        EvictionOutcome::Written
    }

    /// Replaces the pieces in memory by the written ones. Frees the slot of a piece that was discarded in the meantime.
    fn replace_pieces(&self, written: Vec<Piece>, spool: &Spool) {
        let mut content = self.content();
        for replacement in written {
            let offset = replacement.offset;
            match content
                .pieces
                .iter_mut()
                .find(|piece| piece.offset == offset)
            {
                Some(piece) => piece.data = replacement.data,
                None => PieceData::free(replacement.data, Some(spool)),
            }
        }
    }
}

fn free_all(pieces: Vec<Piece>, spool: &Spool) {
    for piece in pieces {
        PieceData::free(piece.data, Some(spool));
    }
}
