//! Defines the reservation of one body.

use super::limits::{PIECE_BYTES, WINDOW_BYTES};
use std::ops::{AddAssign, SubAssign};

/// Identifies a body within a store. Ids ascend in the order of admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BodyId(pub u64);

/// Kind of storage to which the next bytes of a body go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Storage {
    /// Stored in memory.
    Memory,
    /// Stored in the spool file.
    File,
    /// Not stored, but passed through to the reader within a window.
    NotStored,
}

/// Bytes used or reserved in each budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes in memory.
    pub memory_bytes: u64,
    /// Bytes in the spool file, a multiple of [`PIECE_BYTES`].
    pub file_bytes: u64,
}

impl Usage {
    /// Returns the usage of `bytes` bytes of a body in `storage`.
    pub(super) fn stored(storage: Storage, bytes: u64) -> Self {
        let mut usage = Usage::default();
        match storage {
            Storage::Memory => usage.memory_bytes = bytes,
            Storage::File => usage.file_bytes = round_up_to_pieces(bytes),
            Storage::NotStored => {}
        }
        usage
    }
}

impl AddAssign for Usage {
    fn add_assign(&mut self, more: Usage) {
        self.memory_bytes += more.memory_bytes;
        self.file_bytes += more.file_bytes;
    }
}

impl SubAssign for Usage {
    fn sub_assign(&mut self, less: Usage) {
        self.memory_bytes -= less.memory_bytes;
        self.file_bytes -= less.file_bytes;
    }
}

/// Rounds `bytes` up to whole pieces, because a slot of the spool file holds one piece.
pub(super) fn round_up_to_pieces(bytes: u64) -> u64 {
    bytes.div_ceil(PIECE_BYTES) * PIECE_BYTES
}

/// Reservation of one body.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Reservation {
    /// Index of the tenant.
    pub(super) tenant: usize,
    /// Index of the query class.
    pub(super) class: usize,
    /// Reserved bytes, including the window.
    pub(super) usage: Usage,
    /// Number of bytes that have arrived so far.
    pub(super) received_bytes: u64,
    /// Whether the length was announced when the body was admitted.
    pub(super) length_known: bool,
    /// Storage for the next bytes of the body.
    pub(super) storage: Storage,
    /// Whether the body is being written from memory to the spool file, in which space is reserved for it.
    pub(super) evicting: bool,
}

impl Reservation {
    /// Returns the bytes of the window that stay reserved until the body is removed. This is zero for a body of known
    /// length, whose window may be released as the body is read.
    pub(super) fn window_bytes(&self) -> u64 {
        if self.length_known {
            0
        } else {
            WINDOW_BYTES
        }
    }

    /// Returns the bytes reserved for the stored part of a body of unknown length, without the window.
    pub(super) fn stored_bytes(&self) -> u64 {
        self.usage.memory_bytes - self.window_bytes() + self.usage.file_bytes
    }
}
