//! Implements a body in flight: its pieces, their storage and their release. The `writer` and `reader` modules add the
//! methods to write and read it.

use crate::capacity::{BodyId, Capacity, Storage, Usage};
use crate::content::{Content, ReceiveState};
use crate::mutex::lock;
use crate::piece::PieceData;
use crate::registry::Registry;
use crate::resources::Resources;
use crate::spool::{Spool, SpoolError};
use bytes::Bytes;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use tokio::task::spawn_blocking;

/// Retention period of the bytes of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retention {
    /// Until the query ends, so that a retry can read the body again.
    UntilQueryEnds,
    /// Until a reader has read the first bytes, because the body of a non-idempotent query must not be sent twice.
    UntilRead,
}

/// Outcome of writing a piece to the spool file.
pub(crate) enum PieceWrite {
    /// The piece is in a slot of the file.
    Written(PieceData),
    /// The piece is not in the file: the file is full, an I/O error occurred, or the blocking task panicked or was
    /// cancelled.
    Failed,
}

/// A body in flight. Its reservation and its slots are released when it is dropped.
pub struct Body {
    pub(crate) resources: Arc<Resources>,
    /// Registry of all bodies in flight, in which eviction finds them. The body removes itself when it is dropped.
    pub(crate) registry: Arc<Registry<Body>>,
    pub(crate) body_id: BodyId,
    /// Index of the query class.
    pub(crate) class: usize,
    /// Announced length in bytes; `None` if it is unknown.
    pub(crate) length: Option<u64>,
    pub(crate) retention: Retention,
    content: Mutex<Content>,
    /// Notified when bytes arrive, bytes are read, or the receive state changes.
    pub(crate) changed: Notify,
}

impl Body {
    pub(crate) fn new(
        resources: Arc<Resources>,
        registry: Arc<Registry<Body>>,
        body_id: BodyId,
        class: usize,
        length: Option<u64>,
        retention: Retention,
    ) -> Self {
        Body {
            resources,
            registry,
            body_id,
            class,
            length,
            retention,
            content: Mutex::new(Content::new()),
            changed: Notify::new(),
        }
    }

    pub(crate) fn content(&self) -> MutexGuard<'_, Content> {
        lock(&self.content)
    }

    pub(crate) fn capacity(&self) -> MutexGuard<'_, Capacity> {
        lock(&self.resources.capacity)
    }

    fn spool(&self) -> Option<&Spool> {
        self.resources.spool.as_deref()
    }

    /// Returns the announced length in bytes; `None` if it is unknown.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns the index of the query class.
    pub fn class(&self) -> usize {
        self.class
    }

    /// Returns where the next bytes of the body go.
    pub fn storage(&self) -> Storage {
        self.capacity().storage(self.body_id)
    }

    /// Returns whether the body is stored from its start, so that a retry can read it now and later.
    pub fn is_stored(&self) -> bool {
        self.is_readable_from_start() && self.storage() != Storage::NotStored
    }

    /// Returns whether a reader can be opened at the start now, even if the body is not stored.
    pub fn is_readable_from_start(&self) -> bool {
        self.content().has_start
    }

    /// Returns whether the whole body has arrived.
    pub fn is_complete(&self) -> bool {
        self.content().state == ReceiveState::Complete
    }

    /// Stops storing the body, and discards the pieces that were read. Further pieces are discarded once they are read.
    pub fn discard(&self) {
        self.stop_storing();
        self.discard_read();
    }

    /// Marks the body as not stored. Pieces are discarded only once they are read.
    pub(crate) fn stop_storing(&self) {
        self.capacity().stop_storing(self.body_id);
    }

    /// Discards the pieces that were read completely, and releases their reservation.
    pub(crate) fn discard_read(&self) {
        let mut released = Usage::default();
        let mut content = self.content();
        while let Some(data) = content.pop_read_piece() {
            released += data.usage();
            PieceData::free(data, self.spool());
        }
        drop(content);
        if released != Usage::default() {
            self.capacity().release_read(self.body_id, released);
        }
    }

    /// Writes a piece to the spool file, on a thread of the runtime's pool for blocking tasks.
    pub(crate) async fn write_piece(&self, spool: &Arc<Spool>, piece: Bytes) -> PieceWrite {
        let number = self.next_piece_number();
        let length = piece.len();
        let body = self.body_id.0;
        let spool = spool.clone();
        let written = spawn_blocking(move || spool.write(body, number, &piece)).await;
        match written {
            Ok(Ok(slot)) => PieceWrite::Written(PieceData::File {
                slot,
                number,
                length,
            }),
            Ok(Err(SpoolError::Full | SpoolError::Io(_) | SpoolError::Damaged)) => {
                PieceWrite::Failed
            }
            // The task panicked, or the runtime is shutting down.
            Err(_) => PieceWrite::Failed,
        }
    }

    fn next_piece_number(&self) -> u32 {
        let mut content = self.content();
        content.last_piece_number += 1;
        content.last_piece_number
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        let content = self
            .content
            .get_mut()
            .unwrap_or_else(PoisonError::into_inner);
        for piece in content.pieces.drain(..) {
            PieceData::free(piece.data, self.resources.spool.as_deref());
        }
        self.registry.remove(self.body_id);
        lock(&self.resources.capacity).remove(self.body_id);
    }
}

#[cfg(test)]
mod tests;
