//! A piece of a body, where it is stored.

use crate::capacity::{Usage, PIECE_BYTES};
use crate::spool::{Slot, Spool};
use bytes::Bytes;
use std::sync::Arc;

/// The bytes of a piece, or the slot that holds them.
pub(crate) enum PieceData {
    Memory(Bytes),
    File {
        slot: Slot,
        /// The number of the piece within its body, which the slot repeats.
        number: u32,
        /// Bytes of the piece.
        length: usize,
    },
}

impl PieceData {
    /// The length in bytes.
    pub(crate) fn len(&self) -> u64 {
        match self {
            PieceData::Memory(bytes) => bytes.len() as u64,
            PieceData::File { length, .. } => *length as u64,
        }
    }

    /// What it takes of the budgets.
    pub(crate) fn usage(&self) -> Usage {
        let mut usage = Usage::default();
        match self {
            PieceData::Memory(bytes) => usage.memory_bytes = bytes.len() as u64,
            PieceData::File { .. } => usage.file_bytes = PIECE_BYTES,
        }
        usage
    }

    /// Frees the slot of a piece that nothing else uses. While a reader still uses it, the reader frees it.
    pub(crate) fn free(data: Arc<PieceData>, spool: Option<&Spool>) {
        if let (Some(PieceData::File { slot, .. }), Some(spool)) = (Arc::into_inner(data), spool) {
            spool.free(slot);
        }
    }
}

/// A piece at its place in a body.
#[derive(Clone)]
pub(crate) struct Piece {
    /// The offset of its first byte in the body.
    pub(crate) offset: u64,
    pub(crate) data: Arc<PieceData>,
}

impl Piece {
    /// The offset of the first byte after it.
    pub(crate) fn end(&self) -> u64 {
        self.offset + self.data.len()
    }
}
