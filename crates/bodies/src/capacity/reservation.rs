//! What is reserved for one body.

use super::limits::{PIECE_BYTES, WINDOW_BYTES};
use std::ops::{AddAssign, SubAssign};

/// Identifies a body; ids ascend in the order of admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BodyId(pub u64);

/// Where the next bytes of a body go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Storage {
    /// Stored in memory.
    Memory,
    /// Stored in the spool file.
    File,
    /// Passed to the reader through a window, and not stored.
    NotStored,
}

/// Reserved bytes of each budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes in memory.
    pub memory_bytes: u64,
    /// Bytes in the spool file, in whole pieces.
    pub file_bytes: u64,
}

impl Usage {
    /// What `bytes` of a body take where they are stored.
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

/// Bytes rounded up to whole pieces, as the spool file stores them.
pub(super) fn round_up_to_pieces(bytes: u64) -> u64 {
    bytes.div_ceil(PIECE_BYTES) * PIECE_BYTES
}

/// The reservation of one body.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Reservation {
    pub(super) tenant: usize,
    pub(super) class: usize,
    pub(super) usage: Usage,
    pub(super) received_bytes: u64,
    pub(super) length_known: bool,
    pub(super) storage: Storage,
    /// It is being written from memory to the spool file, where space is reserved for it.
    pub(super) evicting: bool,
}

impl Reservation {
    /// The reserved window of a body of unknown length. With a known length the window is part of what is released as
    /// the body is read.
    pub(super) fn window_bytes(&self) -> u64 {
        if self.length_known {
            0
        } else {
            WINDOW_BYTES
        }
    }

    /// Bytes reserved for what is stored, without the window.
    pub(super) fn stored_bytes(&self) -> u64 {
        self.usage.memory_bytes - self.window_bytes() + self.usage.file_bytes
    }
}
