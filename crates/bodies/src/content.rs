//! Holds the state of one body that its writer and its reader share: the pieces, the positions and the end.

use crate::piece::{Piece, PieceData};
use bytes::BytesMut;
use std::collections::VecDeque;
use std::sync::Arc;

/// Whether a body is still arriving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReceiveState {
    /// More bytes may arrive.
    Receiving,
    /// The whole body has arrived.
    Complete,
    /// The writer stopped before the end of the body.
    Truncated,
}

/// State that the writer and the reader of a body share.
pub(crate) struct Content {
    /// Pieces that are not discarded, in order and without gaps.
    pub(crate) pieces: VecDeque<Piece>,
    /// Number of bytes added as pieces so far, including discarded ones. Pending bytes are not included.
    pub(crate) readable_bytes: u64,
    /// Number of bytes that the current reader has read.
    pub(crate) read_bytes: u64,
    /// Number of the last piece that was to be written to the spool file, even if the write failed; 0 before the first.
    pub(crate) last_piece_number: u32,
    pub(crate) state: ReceiveState,
    /// Whether the body can still be read from its start because no piece was discarded yet.
    pub(crate) has_start: bool,
    /// Received bytes that are too few for a piece so far.
    pub(crate) pending: BytesMut,
}

impl Content {
    pub(crate) fn new() -> Self {
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

    /// Removes and returns the first piece if it was read completely; `None` otherwise.
    pub(crate) fn pop_read_piece(&mut self) -> Option<Arc<PieceData>> {
        let first = self.pieces.front()?;
        if first.end() > self.read_bytes {
            return None;
        }
        self.has_start = false;
        self.pieces.pop_front().map(|piece| piece.data)
    }
}
