//! Checks that the slot format of the spool file is unchanged: a stored slot from an earlier version is read correctly,
//! and the same piece is written as the same bytes.
//!
//! No process reads the spool file of another one: the file is unlinked as soon as it is open. A file that a killed
//! process left before unlinking it is removed by its name at the next start, which src/spool/tests.rs checks. The slot
//! format is still checked here, because it is the means to tell a damaged piece from an intact one.
//!
//! fixtures/last-piece.garnetwall-spool is the last slot of the spool file of a `garnetwall serve` built from commit
//! 2d094ab, copied through the open descriptor. Its plan named a directory for bodies, and a fake engine on loopback
//! held a query with a body of 327,756 bytes.

use garnetwall_bodies::{RandomAccessFile, Spool};
use std::io;
use std::sync::{Arc, Mutex};

const STORED: &[u8] = include_bytes!("fixtures/last-piece.garnetwall-spool");

/// Header of the stored slot.
const HEADER: [u8; 32] = [
    0, 0, 0, 0, 0, 0, 0, 0, // id of the body: 0
    6, 0, 0, 0, // number of the piece: 6
    76, 0, 0, 0, // length in bytes: 76
    0x06, 0xf0, 0x4b, 0x56, // CRC-32 of the 16 bytes above and the piece
    0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0,
];
const PIECE: &[u8] =
    b"(2), (3);\nINSERT INTO s_17.t VALUES (1), (2), (3);\nINSERT INTO s_17.t VALUES";

/// Spool file in memory.
#[derive(Clone, Default)]
struct MemoryFile(Arc<Mutex<Vec<u8>>>);

impl RandomAccessFile for MemoryFile {
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()> {
        let (mut all, offset) = (self.0.lock().unwrap(), offset as usize);
        let end = offset + bytes.len();
        if all.len() < end {
            all.resize(end, 0);
        }
        all[offset..end].copy_from_slice(bytes);
        Ok(())
    }

    fn read_at(&self, bytes: &mut [u8], offset: u64) -> io::Result<()> {
        let (all, offset) = (self.0.lock().unwrap(), offset as usize);
        let stored = all.get(offset..offset + bytes.len());
        bytes.copy_from_slice(stored.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }
}

#[test]
fn a_piece_is_written_in_the_stored_format() {
    let memory = MemoryFile::default();
    let spool = Spool::new(memory.clone(), 1 << 20);
    let _slot = spool.write(0, 6, PIECE).unwrap();
    assert_eq!(*memory.0.lock().unwrap(), STORED);
    assert_eq!(STORED, [&HEADER[..], PIECE].concat());
}

#[test]
fn a_stored_piece_is_read_and_verified() {
    let memory = MemoryFile::default();
    let spool = Spool::new(memory.clone(), 1 << 20);
    let slot = spool.write(0, 6, &vec![0; PIECE.len()]).unwrap();
    *memory.0.lock().unwrap() = STORED.to_vec();
    assert_eq!(spool.read(&slot, 0, 6, PIECE.len()).unwrap(), PIECE);
    for (body, number) in [(1, 6), (0, 5)] {
        assert!(spool.read(&slot, body, number, PIECE.len()).is_err());
    }
    memory.0.lock().unwrap().pop();
    assert!(
        spool.read(&slot, 0, 6, PIECE.len()).is_err(),
        "a truncated slot is an error"
    );
}

/// Slots of a header and 64 KiB each follow one another without a gap.
#[test]
fn slots_follow_each_other() {
    let memory = MemoryFile::default();
    let spool = Spool::new(memory.clone(), 1 << 20);
    let _first = spool.write(0, 1, &[7; 65_536]).unwrap();
    let _second = spool.write(0, 6, PIECE).unwrap();
    let all = memory.0.lock().unwrap();
    assert_eq!(all.len(), 65_568 + STORED.len());
    assert_eq!(&all[65_568..], STORED);
}
