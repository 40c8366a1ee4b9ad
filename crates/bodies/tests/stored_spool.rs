//! A piece that the program spooled before its code was renamed is read, and is written the same to the byte.
//!
//! No process ever reads another's spool: the file is unlinked as soon as it is open, and what a killed process
//! left between making and unlinking it is removed at the next start by its name, which src/spool/tests.rs pins. The
//! form of a slot is still pinned here, as it is what tells a damaged piece from a good one.
//!
//! fixtures/last-piece.garnetwall-spool is the last slot of a spool that `garnetwall serve` built from commit 2d094ab
//! had open (copied through its descriptor), with a plan that names a directory for bodies, while a stand-in engine
//! on loopback held a query with a body of 327,756 bytes.

use garnetwall_bodies::{RandomAccessFile, Spool};
use std::io;
use std::sync::{Arc, Mutex};

const STORED: &[u8] = include_bytes!("fixtures/last-piece.garnetwall-spool");

/// Its header: body 0, piece 6, 76 bytes, checksum, zeros.
const HEADER: [u8; 32] = [
    0, 0, 0, 0, 0, 0, 0, 0, // body
    6, 0, 0, 0, // piece
    76, 0, 0, 0, // length
    0x06, 0xf0, 0x4b, 0x56, // CRC-32 of the 16 bytes before and the piece
    0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0,
];
const PIECE: &[u8] =
    b"(2), (3);\nINSERT INTO s_17.t VALUES (1), (2), (3);\nINSERT INTO s_17.t VALUES";

/// A spool's file in memory.
#[derive(Clone, Default)]
struct Memory(Arc<Mutex<Vec<u8>>>);

impl RandomAccessFile for Memory {
    fn write_at(&self, bytes: &[u8], at: u64) -> io::Result<()> {
        let (mut all, at) = (self.0.lock().unwrap(), at as usize);
        let end = at + bytes.len();
        if all.len() < end {
            all.resize(end, 0);
        }
        all[at..end].copy_from_slice(bytes);
        Ok(())
    }

    fn read_at(&self, bytes: &mut [u8], at: u64) -> io::Result<()> {
        let (all, at) = (self.0.lock().unwrap(), at as usize);
        let stored = all.get(at..at + bytes.len());
        bytes.copy_from_slice(stored.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }
}

#[test]
fn a_piece_is_written_as_it_was_stored() {
    let memory = Memory::default();
    let spool = Spool::new(memory.clone(), 1 << 20);
    let _slot = spool.write(0, 6, PIECE).unwrap();
    assert_eq!(*memory.0.lock().unwrap(), STORED);
    assert_eq!(STORED, [&HEADER[..], PIECE].concat());
}

#[test]
fn a_stored_piece_is_read_and_verified() {
    let memory = Memory::default();
    let spool = Spool::new(memory.clone(), 1 << 20);
    let slot = spool.write(0, 6, &vec![0; PIECE.len()]).unwrap();
    *memory.0.lock().unwrap() = STORED.to_vec();
    assert_eq!(spool.read(&slot, 0, 6, PIECE.len()).unwrap(), PIECE);
    for (body, number) in [(1, 6), (0, 5)] {
        assert!(spool.read(&slot, body, number, PIECE.len()).is_err());
    }
    memory.0.lock().unwrap().pop();
    assert!(spool.read(&slot, 0, 6, PIECE.len()).is_err(), "cut off");
}

/// A slot of 64 KiB and its head follow one another without a gap.
#[test]
fn slots_follow_each_other() {
    let memory = Memory::default();
    let spool = Spool::new(memory.clone(), 1 << 20);
    let _first = spool.write(0, 1, &[7; 65_536]).unwrap();
    let _second = spool.write(0, 6, PIECE).unwrap();
    let all = memory.0.lock().unwrap();
    assert_eq!(all.len(), 65_568 + STORED.len());
    assert_eq!(&all[65_568..], STORED);
}
