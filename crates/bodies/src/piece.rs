//! Defines a piece of a body, which is held in memory or in a slot of the spool file.

use crate::capacity::{Usage, PIECE_BYTES};
use crate::spool::{Slot, Spool};
use bytes::Bytes;
use std::sync::Arc;

/// Bytes of a piece, or the slot that holds them.
pub(crate) enum PieceData {
    Memory(Bytes),
    File {
        slot: Slot,
        /// Number of the piece, which is also stored in the slot's header and checked when the slot is read.
        number: u32,
        /// Length of the piece in bytes.
        length: usize,
    },
}

impl PieceData {
    /// Returns the length in bytes.
    pub(crate) fn len(&self) -> u64 {
        match self {
            PieceData::Memory(bytes) => bytes.len() as u64,
            PieceData::File { length, .. } => *length as u64,
        }
    }

    /// Returns the bytes that the piece takes of each budget. A slot counts as [`PIECE_BYTES`], even if the piece is
    /// shorter.
    pub(crate) fn usage(&self) -> Usage {
        let mut usage = Usage::default();
        match self {
            PieceData::Memory(bytes) => usage.memory_bytes = bytes.len() as u64,
            PieceData::File { .. } => usage.file_bytes = PIECE_BYTES,
        }
        usage
    }

    /// Drops a reference to a piece, and frees its slot if it was the last one. While a reader still uses the piece,
    /// the reader frees the slot.
    pub(crate) fn free(data: Arc<PieceData>, spool: Option<&Spool>) {
        if let (Some(PieceData::File { slot, .. }), Some(spool)) = (Arc::into_inner(data), spool) {
            spool.free(slot);
        }
    }
}

/// A piece and its position in the body.
#[derive(Clone)]
pub(crate) struct Piece {
    /// Offset of the piece's first byte in the body.
    pub(crate) offset: u64,
    pub(crate) data: Arc<PieceData>,
}

impl Piece {
    /// Returns the offset of the first byte after the piece.
    pub(crate) fn end(&self) -> u64 {
        self.offset + self.data.len()
    }
}
