//! Receives the bytes of a body, collects them into pieces and stores the pieces.

use crate::body::{Body, PieceWrite};
use crate::capacity::{AdmissionError, Storage, PIECE_BYTES, WINDOW_BYTES};
use crate::content::ReceiveState;
use crate::eviction::evict;
use crate::piece::{Piece, PieceData};
use bytes::Bytes;
use std::fmt;
use std::sync::Arc;

/// Minimum size of a piece outside the spool file, in bytes, except for the last piece of a body. Smaller chunks are
/// joined, so that a client that sends single bytes does not cause the overhead of one piece per byte.
const MIN_PIECE_BYTES: usize = 16 << 10;

/// Reason why a body accepts no more bytes.
#[derive(Debug, PartialEq, Eq)]
pub enum PushError {
    /// The body is longer than the limit, or can no longer be stored though its query class requires it.
    Rejected(AdmissionError),
    /// More bytes arrived than the announced length.
    TooManyBytes,
}

impl fmt::Display for PushError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            PushError::Rejected(error) => write!(f, "{error}"),
            PushError::TooManyBytes => f.write_str("the body is longer than its announced length"),
        }
    }
}

impl std::error::Error for PushError {}

impl Body {
    /// Adds bytes to the body. Waits for the spool file or, if the body is not stored, for the reader.
    ///
    /// # Errors
    ///
    /// The body is longer than announced or than the limit, or can no longer be stored though its query class
    /// requires it.
    pub async fn push(&self, bytes: Bytes) -> Result<(), PushError> {
        if self.exceeds_length(bytes.len()) {
            return Err(PushError::TooManyBytes);
        }
        let received = self.capacity().receive(self.body_id, bytes.len() as u64);
        let storage = received.map_err(PushError::Rejected)?;
        let min_bytes = match storage {
            Storage::File => PIECE_BYTES as usize,
            Storage::Memory | Storage::NotStored => MIN_PIECE_BYTES,
        };
        let Some(mut remaining) = self.join_pending(bytes, min_bytes) else {
            return Ok(());
        };
        while remaining.len() >= min_bytes {
            let piece = remaining.split_to(remaining.len().min(PIECE_BYTES as usize));
            self.store_piece(piece).await;
        }
        self.content().pending.extend_from_slice(&remaining);
        Ok(())
    }

    /// Ends the body, and wakes the reader. If the body is shorter than its announced length, it is marked as
    /// truncated; otherwise it is marked as complete and counted, and bodies are evicted from memory to the spool file
    /// if memory is short.
    pub async fn finish(&self) {
        let remaining = self.content().pending.split().freeze();
        if !remaining.is_empty() {
            self.store_piece(remaining).await;
        }
        let state = self.end();
        self.changed.notify_waiters();
        if state == ReceiveState::Complete {
            self.resources.count(self.class, self.storage(), |counts| {
                counts.bodies += 1;
            });
            evict(&self.resources, &self.registry).await;
        }
    }

    /// Marks the body as truncated if it is still arriving, and wakes the reader. Called when the writer stops early.
    pub fn abort(&self) {
        let mut content = self.content();
        if content.state == ReceiveState::Receiving {
            content.state = ReceiveState::Truncated;
        }
        drop(content);
        self.changed.notify_waiters();
    }

    /// Returns whether `more` further bytes would exceed the announced length.
    fn exceeds_length(&self, more: usize) -> bool {
        let content = self.content();
        let received = content.readable_bytes + (content.pending.len() + more) as u64;
        self.length.is_some_and(|length| received > length)
    }

    /// Appends `bytes` to the pending bytes. Removes and returns all pending bytes if there are at least `min_bytes`,
    /// else returns `None`.
    fn join_pending(&self, bytes: Bytes, min_bytes: usize) -> Option<Bytes> {
        let mut content = self.content();
        if content.pending.is_empty() && bytes.len() >= min_bytes {
            return Some(bytes);
        }
        content.pending.extend_from_slice(&bytes);
        if content.pending.len() < min_bytes {
            return None;
        }
        Some(content.pending.split().freeze())
    }

    /// Sets and returns the final state: complete if the length is unknown or matches the received bytes, else
    /// truncated.
    fn end(&self) -> ReceiveState {
        let mut content = self.content();
        let is_complete = self
            .length
            .is_none_or(|length| length == content.readable_bytes);
        content.state = if is_complete {
            ReceiveState::Complete
        } else {
            ReceiveState::Truncated
        };
        content.state
    }

    /// Stores a piece in the body's current storage, or passes it through to the reader.
    async fn store_piece(&self, piece: Bytes) {
        match (self.storage(), &self.resources.spool) {
            (Storage::Memory, _) => self.append(PieceData::Memory(piece)),
            (Storage::File, Some(spool)) => match self.write_piece(spool, piece.clone()).await {
                PieceWrite::Written(data) => self.append(data),
                // Continue without storing the body: the attempt in flight can still send it, and only a retry would
                // need the stored copy. An I/O error is treated like a full file.
                PieceWrite::Failed => {
                    self.stop_storing();
                    self.pass_through(piece).await;
                }
            },
            (Storage::File | Storage::NotStored, _) => self.pass_through(piece).await,
        }
    }

    /// Adds a piece at the end of the body, and wakes the reader.
    fn append(&self, data: PieceData) {
        let mut content = self.content();
        let offset = content.readable_bytes;
        content.readable_bytes += data.len();
        content.pieces.push_back(Piece {
            offset,
            data: Arc::new(data),
        });
        drop(content);
        self.changed.notify_waiters();
    }

    /// Waits until the unread bytes are fewer than the window or the body is truncated, then appends a piece in memory.
    async fn pass_through(&self, bytes: Bytes) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.is_window_open() {
                break;
            }
            changed.await;
        }
        self.append(PieceData::Memory(bytes));
    }

    /// Returns whether the writer may append a piece without waiting for the reader.
    fn is_window_open(&self) -> bool {
        let content = self.content();
        let unread_bytes = content.readable_bytes - content.read_bytes;
        unread_bytes < WINDOW_BYTES || content.state == ReceiveState::Truncated
    }
}
