//! One file for all bodies, in slots of one piece each. It is unlinked as soon as it is open, so that a killed process
//! leaves nothing that holds a place on the disk, and it costs one descriptor however many bodies it holds. Each slot
//! says whose it is and has a checksum: a damaged or mistaken one is an error, never a wrong statement.

use crate::capacity::PIECE;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Before a slot's bytes: body (8), number of the piece (4), length (4), checksum of both and the bytes (4), and 12 that
/// are 0.
const HEAD: usize = 32;
const SLOT: u64 = HEAD as u64 + PIECE;
/// How files are named between being made and unlinked.
const SUFFIX: &str = ".garnetwall-spool";

/// Where slots are kept.
pub trait Media: Send + Sync {
    fn write_at(&self, bytes: &[u8], at: u64) -> io::Result<()>;
    fn read_at(&self, bytes: &mut [u8], at: u64) -> io::Result<()>;
}

/// A file on a disk, unlinked.
#[derive(Debug)]
pub struct Disk(File);

impl Disk {
    /// Makes a file in a directory, after removing what a killed gateway of this name has left there.
    ///
    /// # Errors
    ///
    /// With the path in the text.
    pub fn open(directory: &Path, gateway: &str) -> io::Result<Disk> {
        let named = |path: &Path, e: io::Error| {
            io::Error::new(e.kind(), format!("{}: {e}", path.display()))
        };
        remove_leftover_files(directory, gateway).map_err(|e| named(directory, e))?;
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_nanos();
        let path = directory.join(format!("{gateway}-{}-{nanos}{SUFFIX}", std::process::id()));
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create_new(true)
            .open(&path);
        let file = file.map_err(|e| named(&path, e))?;
        std::fs::remove_file(&path).map_err(|e| named(&path, e))?;
        Ok(Disk(file))
    }
}

/// Removes files that a killed gateway of this name has left between making and unlinking them; no others. How many.
pub fn remove_leftover_files(directory: &Path, gateway: &str) -> io::Result<usize> {
    let mut removed = 0;
    for entry in std::fs::read_dir(directory)? {
        let path: PathBuf = entry?.path();
        let name = path
            .file_name()
            .and_then(|n| n.to_str())
            .unwrap_or_default();
        let middle = name
            .strip_prefix(gateway)
            .and_then(|n| n.strip_prefix('-'))
            .and_then(|n| n.strip_suffix(SUFFIX));
        let numbers = |text: &str| {
            text.split('-')
                .all(|n| !n.is_empty() && n.bytes().all(|b| b.is_ascii_digit()))
        };
        if middle.is_some_and(|m| m.split('-').count() == 2 && numbers(m)) {
            std::fs::remove_file(&path)?;
            removed += 1;
        }
    }
    Ok(removed)
}

impl Media for Disk {
    fn write_at(&self, bytes: &[u8], at: u64) -> io::Result<()> {
        self.0.write_all_at(bytes, at)
    }

    fn read_at(&self, bytes: &mut [u8], at: u64) -> io::Result<()> {
        self.0.read_exact_at(bytes, at)
    }
}

/// Why a piece can't be had.
#[derive(Debug)]
pub enum SpoolError {
    /// All slots are taken.
    Full,
    /// The disk said so.
    Disk(io::Error),
    /// What is there is not what was written.
    Damaged,
}

impl std::fmt::Display for SpoolError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            SpoolError::Full => f.write_str("the spool is full"),
            SpoolError::Disk(e) => write!(f, "{e}"),
            SpoolError::Damaged => f.write_str("a piece of the spool is damaged"),
        }
    }
}

impl std::error::Error for SpoolError {}

/// A slot that holds a piece.
#[derive(Debug, PartialEq, Eq)]
pub struct Slot(u32);

struct Slots {
    free: Vec<u32>,
    /// Slots from here on were never used.
    fresh: u32,
    most: u32,
}

/// The slots of a file.
pub struct Spool {
    media: Box<dyn Media>,
    slots: Mutex<Slots>,
}

impl Spool {
    /// A spool that keeps so many bytes of bodies.
    pub fn new(media: impl Media + 'static, bytes: u64) -> Self {
        let most = u32::try_from(bytes / PIECE).unwrap_or(u32::MAX);
        Spool {
            media: Box::new(media),
            slots: Mutex::new(Slots {
                free: Vec::new(),
                fresh: 0,
                most,
            }),
        }
    }

    fn slots(&self) -> MutexGuard<'_, Slots> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps a piece, of [`PIECE`] bytes at most. It blocks.
    ///
    /// # Errors
    ///
    /// The slot is free again then.
    pub fn write(&self, body: u64, number: u32, bytes: &[u8]) -> Result<Slot, SpoolError> {
        if bytes.len() as u64 > PIECE {
            return Err(SpoolError::Full);
        }
        let slot = {
            let mut slots = self.slots();
            match slots.free.pop() {
                Some(slot) => slot,
                None if slots.fresh < slots.most => {
                    slots.fresh += 1;
                    slots.fresh - 1
                }
                None => return Err(SpoolError::Full),
            }
        };
        let mut out = head(body, number, bytes).to_vec();
        out.extend_from_slice(bytes);
        match self.media.write_at(&out, u64::from(slot) * SLOT) {
            Ok(()) => Ok(Slot(slot)),
            Err(e) => {
                self.slots().free.push(slot);
                Err(SpoolError::Disk(e))
            }
        }
    }

    /// The piece of a slot. It blocks.
    pub fn read(
        &self,
        slot: &Slot,
        body: u64,
        number: u32,
        length: usize,
    ) -> Result<Vec<u8>, SpoolError> {
        let mut out = vec![0; HEAD + length];
        self.media
            .read_at(&mut out, u64::from(slot.0) * SLOT)
            .map_err(|e| match e.kind() {
                io::ErrorKind::UnexpectedEof => SpoolError::Damaged,
                _ => SpoolError::Disk(e),
            })?;
        let bytes = out.split_off(HEAD);
        match out == head(body, number, &bytes) {
            true => Ok(bytes),
            false => Err(SpoolError::Damaged),
        }
    }

    pub fn free(&self, slot: Slot) {
        self.slots().free.push(slot.0);
    }

    /// Slots in use.
    pub fn used(&self) -> usize {
        let slots = self.slots();
        slots.fresh as usize - slots.free.len()
    }
}

fn head(body: u64, number: u32, bytes: &[u8]) -> [u8; HEAD] {
    let mut head = [0; HEAD];
    head[..8].copy_from_slice(&body.to_le_bytes());
    head[8..12].copy_from_slice(&number.to_le_bytes());
    head[12..16].copy_from_slice(&(bytes.len() as u32).to_le_bytes());
    let mut sum = crc32fast::Hasher::new();
    sum.update(&head[..16]);
    sum.update(bytes);
    head[16..20].copy_from_slice(&sum.finalize().to_le_bytes());
    head
}

#[cfg(test)]
mod tests;
