//! Stores pieces of bodies in the spool file, which is divided into slots of one piece each.
//!
//! All bodies share one file, so that the number of open descriptors does not grow with the number of bodies. The file
//! is unlinked as soon as it is open, so that a killed process leaves no file on the disk. Each slot contains the id
//! of its body, the number of its piece and a checksum, so that a damaged or mixed-up slot is reported as an error and
//! never yields wrong data.
//!
//! A slot begins with a header of 32 bytes; numbers are little-endian:
//!
//! | bytes | content |
//! |---|---|
//! | 0..8 | id of the body |
//! | 8..12 | number of the piece, from 1 for each body in the order of writing |
//! | 12..16 | length of the piece in bytes |
//! | 16..20 | CRC-32 of bytes 0..16 and of the piece |
//! | 20..32 | zero |

mod file;

pub use file::{remove_leftover_files, RandomAccessFile, SpoolFile};

use crate::capacity::PIECE_BYTES;
use crate::mutex::lock;
use std::fmt;
use std::io;
use std::sync::Mutex;

/// Size of a slot's header.
const HEADER_BYTES: usize = 32;
/// Number of bytes at the start of the header that the checksum covers.
const CHECKED_HEADER_BYTES: usize = 16;
const SLOT_BYTES: u64 = HEADER_BYTES as u64 + PIECE_BYTES;

/// Reason why a piece could not be written or read.
#[derive(Debug)]
pub enum SpoolError {
    /// All slots are in use, or the piece is longer than a slot.
    Full,
    /// The file system reported an error.
    Io(io::Error),
    /// The slot does not hold the expected piece: it is damaged, truncated, or belongs to another piece.
    Damaged,
}

impl fmt::Display for SpoolError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            SpoolError::Full => f.write_str("the spool file has no free slot for the piece"),
            SpoolError::Io(error) => write!(f, "I/O error on the spool file: {error}"),
            SpoolError::Damaged => f.write_str("a slot of the spool file holds unexpected data"),
        }
    }
}

impl std::error::Error for SpoolError {}

/// Index of an allocated slot of the spool file. The slot stays allocated until it is passed to [`Spool::free`].
#[derive(Debug, PartialEq, Eq)]
pub struct Slot(u32);

impl Slot {
    fn offset(&self) -> u64 {
        u64::from(self.0) * SLOT_BYTES
    }
}

/// Tracks the slots that are in use.
struct SlotAllocator {
    /// Slots that were used before and are free again.
    free: Vec<u32>,
    /// First slot that was never used; all slots from here on are free.
    next_unused: u32,
    /// Total number of slots.
    capacity: u32,
}

impl SlotAllocator {
    /// Returns a free slot, preferably one that was used before; `None` if all slots are in use.
    fn allocate(&mut self) -> Option<Slot> {
        if let Some(index) = self.free.pop() {
            return Some(Slot(index));
        }
        if self.next_unused == self.capacity {
            return None;
        }
        let index = self.next_unused;
        self.next_unused += 1;
        Some(Slot(index))
    }
}

/// A spool file and the allocation of its slots.
pub struct Spool {
    file: Box<dyn RandomAccessFile>,
    slots: Mutex<SlotAllocator>,
}

impl Spool {
    /// Creates a spool on an empty file, with as many slots as whole pieces fit into `bytes`. The header of each slot
    /// comes on top, so the file can grow 32 bytes per slot beyond that.
    pub fn new(file: impl RandomAccessFile + 'static, bytes: u64) -> Self {
        let capacity = u32::try_from(bytes / PIECE_BYTES).unwrap_or(u32::MAX);
        Spool {
            file: Box::new(file),
            slots: Mutex::new(SlotAllocator {
                free: Vec::new(),
                next_unused: 0,
                capacity,
            }),
        }
    }

    /// Writes a piece of at most [`PIECE_BYTES`] to a free slot. Blocks the calling thread.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Full`] if no slot is free or the piece is too long; [`SpoolError::Io`] if the write failed, in
    /// which case the slot is free again.
    pub fn write(&self, body: u64, number: u32, bytes: &[u8]) -> Result<Slot, SpoolError> {
        if bytes.len() as u64 > PIECE_BYTES {
            return Err(SpoolError::Full);
        }
        let slot = lock(&self.slots).allocate().ok_or(SpoolError::Full)?;
        let mut record = header(body, number, bytes).to_vec();
        record.extend_from_slice(bytes);
        if let Err(error) = self.file.write_at(&record, slot.offset()) {
            self.free(slot);
            return Err(SpoolError::Io(error));
        }
        Ok(slot)
    }

    /// Reads a piece of `length` bytes from a slot, and checks that it is piece `number` of `body`. Blocks the calling
    /// thread.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Io`] if the read failed; [`SpoolError::Damaged`] if the slot does not hold this piece.
    pub fn read(
        &self,
        slot: &Slot,
        body: u64,
        number: u32,
        length: usize,
    ) -> Result<Vec<u8>, SpoolError> {
        let mut record = vec![0; HEADER_BYTES + length];
        self.file
            .read_at(&mut record, slot.offset())
            .map_err(|error| match error.kind() {
                io::ErrorKind::UnexpectedEof => SpoolError::Damaged,
                _ => SpoolError::Io(error),
            })?;
        let bytes = record.split_off(HEADER_BYTES);
        if record != header(body, number, &bytes) {
            return Err(SpoolError::Damaged);
        }
        Ok(bytes)
    }

    /// Releases a slot, so that it can be allocated for another piece.
    pub fn free(&self, slot: Slot) {
        lock(&self.slots).free.push(slot.0);
    }

    /// Returns the number of slots in use.
    pub fn used_slots(&self) -> usize {
        let slots = lock(&self.slots);
        slots.next_unused as usize - slots.free.len()
    }
}

/// Returns the header of a slot that holds the piece `bytes`.
fn header(body: u64, number: u32, bytes: &[u8]) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..8].copy_from_slice(&body.to_le_bytes());
    header[8..12].copy_from_slice(&number.to_le_bytes());
    header[12..16].copy_from_slice(&(bytes.len() as u32).to_le_bytes());
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&header[..CHECKED_HEADER_BYTES]);
    checksum.update(bytes);
    header[16..20].copy_from_slice(&checksum.finalize().to_le_bytes());
    header
}

#[cfg(test)]
mod tests;
