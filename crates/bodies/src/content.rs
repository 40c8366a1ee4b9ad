//! The pieces of one body, as its writer and its reader share them.

use crate::piece::{Piece, PieceData};
use bytes::BytesMut;
use std::collections::VecDeque;
use std::sync::Arc;

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
    pub(crate) has_start: bool,
    /// Bytes received that are too few for a piece.
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

    /// Removes the next piece that was read completely.
    pub(crate) fn pop_read_piece(&mut self) -> Option<Arc<PieceData>> {
        let first = self.pieces.front()?;
        if first.end() > self.read_bytes {
            return None;
        }
        self.has_start = false;
        self.pieces.pop_front().map(|piece| piece.data)
    }
}
