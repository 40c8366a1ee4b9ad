//! One body in flight: its writer pushes bytes, which are stored as the capacity decides, while a reader follows.
//! Bytes that are not stored pass through a window, so that a slow reader holds the writer back.

use crate::capacity::{BodyId, Capacity, Storage, Usage};
use crate::lock;
use crate::piece::{Piece, PieceData};
use crate::reader::{ReadError, Reader};
use crate::spool::Spool;
use crate::store::Store;
use bytes::BytesMut;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Whether a body is still arriving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReceiveState {
    /// More bytes may arrive.
    Receiving,
    /// All of it has arrived.
    Complete,
    /// Its writer stopped before its end.
    Truncated,
}

/// What the writer and the reader of a body share.
pub(crate) struct Content {
    /// The pieces in order, without a gap between them.
    pub(crate) pieces: VecDeque<Piece>,
    /// Bytes that can be read or have been.
    pub(crate) readable_bytes: u64,
    /// Bytes that the present reader has read.
    pub(crate) read_bytes: u64,
    /// The number of the last piece written to the spool file.
    pub(crate) last_piece_number: u32,
    pub(crate) state: ReceiveState,
    /// No piece was discarded yet, so it can be read from its start.
    has_start: bool,
    /// Bytes received that are too few for a piece.
    pub(crate) pending: BytesMut,
}

impl Content {
    fn new() -> Self {
        Content {
            pieces: VecDeque::new(),
            readable_bytes: 0,
            read_bytes: 0,
            last_piece_number: 0,
            state: ReceiveState::Receiving,
            has_start: true,
            pending: BytesMut::new(),
        }
    }

    /// Removes the next piece that was read completely.
    fn pop_read_piece(&mut self) -> Option<Arc<PieceData>> {
        let first = self.pieces.front()?;
        if first.end() > self.read_bytes {
            return None;
        }
        self.has_start = false;
        self.pieces.pop_front().map(|piece| piece.data)
    }
}

/// One body in flight. Its reservation is released when it is dropped.
pub struct Body {
    pub(crate) store: Arc<Store>,
    pub(crate) id: BodyId,
    pub(crate) class: usize,
    pub(crate) length: Option<u64>,
    pub(crate) non_idempotent: bool,
    content: Mutex<Content>,
    /// Notified when bytes arrive, are read, or the state changes.
    pub(crate) changed: Notify,
}

impl Body {
    pub(crate) fn new(
        store: Arc<Store>,
        id: BodyId,
        class: usize,
        length: Option<u64>,
        non_idempotent: bool,
    ) -> Self {
        Body {
            store,
            id,
            class,
            length,
            non_idempotent,
            content: Mutex::new(Content::new()),
            changed: Notify::new(),
        }
    }

    pub(crate) fn content(&self) -> MutexGuard<'_, Content> {
        lock(&self.content)
    }

    pub(crate) fn capacity(&self) -> MutexGuard<'_, Capacity> {
        lock(&self.store.capacity)
    }

    fn spool(&self) -> Option<&Spool> {
        self.store.spool.as_deref()
    }

    /// The length that was announced, in bytes; none where it is unknown.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// The index of its query class.
    pub fn class(&self) -> usize {
        self.class
    }

    /// Where its next bytes go.
    pub fn storage(&self) -> Storage {
        self.capacity().storage(self.id)
    }

    /// Whether it can be read from its start, now and later.
    pub fn is_stored(&self) -> bool {
        self.is_readable_from_start() && self.storage() != Storage::NotStored
    }

    /// Whether it can be read from its start now, stored or not.
    pub fn is_readable_from_start(&self) -> bool {
        self.content().has_start
    }

    /// Whether all of it has arrived.
    pub fn is_complete(&self) -> bool {
        self.content().state == ReceiveState::Complete
    }

    /// Opens a reader at its start. `is_retry` is set for attempts after the first, which are counted.
    ///
    /// # Errors
    ///
    /// [`ReadError::Discarded`] where its start is not stored any more.
    pub fn reader(self: &Arc<Self>, is_retry: bool) -> Result<Reader, ReadError> {
        if !self.rewind() {
            self.store.count(self.class, Storage::NotStored, |counts| {
                counts.missing += 1;
            });
            return Err(ReadError::Discarded);
        }
        if is_retry {
            self.store.count(self.class, self.storage(), |counts| {
                counts.retry_reads += 1;
            });
        }
        Ok(Reader::new(self.clone()))
    }

    /// Lets the next reader begin at the start; false where that was discarded.
    fn rewind(&self) -> bool {
        let mut content = self.content();
        if content.has_start {
            content.read_bytes = 0;
        }
        content.has_start
    }

    /// Stops storing it, and discards what was read and what will be.
    pub fn discard(&self) {
        self.stop_storing();
        self.discard_read();
    }

    pub(crate) fn stop_storing(&self) {
        self.capacity().stop_storing(self.id);
    }

    /// Discards the pieces that were read.
    pub(crate) fn discard_read(&self) {
        let mut released = Usage::default();
        let mut content = self.content();
        while let Some(data) = content.pop_read_piece() {
            released += data.usage();
            PieceData::free(data, self.spool());
        }
        drop(content);
        if released != Usage::default() {
            self.capacity().release_read(self.id, released);
        }
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        let content = self
            .content
            .get_mut()
            .unwrap_or_else(PoisonError::into_inner);
        for piece in content.pieces.drain(..) {
            PieceData::free(piece.data, self.store.spool.as_deref());
        }
        self.store.remove(self.id);
    }
}

#[cfg(test)]
mod tests;
