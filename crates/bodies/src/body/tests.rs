//! Bodies that pass through, with media that fail as told: what is read is what came, or an error, never half.

use super::*;
use crate::spool::Media;
use std::io;
use std::sync::atomic::{AtomicI64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// A disk in memory that fails after so many writes, or damages what it keeps.
#[derive(Clone, Default)]
struct Fake {
    bytes: Arc<Mutex<Vec<u8>>>,
    /// Writes until the disk is full; never where negative.
    left: Arc<AtomicI64>,
    damaged: Arc<AtomicUsize>,
}

impl Media for Fake {
    fn write_at(&self, bytes: &[u8], at: u64) -> io::Result<()> {
        if self.left.fetch_sub(1, Ordering::Relaxed) == 0 {
            // Half of it came to the disk.
            lock(&self.bytes).extend_from_slice(&bytes[..bytes.len() / 2]);
            self.left.store(0, Ordering::Relaxed);
            return Err(io::ErrorKind::StorageFull.into());
        }
        let (at, mut disk) = (at as usize, lock(&self.bytes));
        let end = disk.len().max(at + bytes.len());
        disk.resize(end, 0);
        disk[at..at + bytes.len()].copy_from_slice(bytes);
        Ok(())
    }

    fn read_at(&self, out: &mut [u8], at: u64) -> io::Result<()> {
        let (at, disk) = (at as usize, lock(&self.bytes));
        let kept = disk
            .get(at..at + out.len())
            .ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(kept);
        if self.damaged.load(Ordering::Relaxed) > 0 {
            out[40] ^= 1;
        }
        Ok(())
    }
}

const MIB: u64 = 1 << 20;

fn limits() -> Limits {
    Limits {
        memory_bytes: 4 * MIB,
        file_bytes: 64 * MIB,
        max_body_memory_bytes: MIB,
        max_body_bytes: 32 * MIB,
        tenant_share: 1.0,
        unknown_length_allowed: true,
        storage_required: Vec::new(),
    }
}

fn store(left: i64) -> (Arc<Store>, Fake) {
    let fake = Fake::default();
    fake.left.store(left, Ordering::Relaxed);
    let spool = Spool::new(fake.clone(), 64 * MIB);
    (
        Store::new(limits(), EvictionPolicy::Largest, Some(spool)),
        fake,
    )
}

fn bytes(length: u64) -> Bytes {
    (0..length)
        .map(|n| (n * 31 % 251) as u8)
        .collect::<Vec<_>>()
        .into()
}

async fn fill(body: &Body, mut all: Bytes, step: usize) {
    while !all.is_empty() {
        let next = all.split_to(step.min(all.len()));
        body.push(next).await.expect("it is let in");
    }
    body.finish().await;
}

async fn read(body: &Arc<Body>, is_retry: bool) -> Result<Vec<u8>, ReadError> {
    let mut reader = body.reader(is_retry)?;
    let mut out = Vec::new();
    while let Some(bytes) = reader.next().await? {
        out.extend_from_slice(&bytes);
    }
    assert!(reader.is_at_end());
    Ok(out)
}

#[tokio::test]
async fn what_is_read_is_what_came_at_every_size_and_again() {
    for length in [
        0,
        1,
        1000,
        16 << 10,
        PIECE - 1,
        PIECE,
        PIECE + 1,
        MIB,
        MIB + 1,
        10 * MIB + 7,
    ] {
        for told in [Some(length), None] {
            for step in [700, 16 << 10, 1 << 20] {
                let (store, _) = store(-1);
                let body = store.admit(0, 0, told).expect("room");
                let all = bytes(length);
                fill(&body, all.clone(), step).await;
                for is_retry in [false, true, true] {
                    assert!(
                        read(&body, is_retry).await.expect("it is kept") == all,
                        "{length} {told:?} {step}"
                    );
                }
                let place = if length <= MIB {
                    Storage::Memory
                } else {
                    Storage::File
                };
                let counts = store.counts()[&(0, place)];
                assert_eq!(
                    counts,
                    Counts {
                        bodies: 1,
                        retry_reads: 2,
                        missing: 0
                    },
                    "{length} {told:?}"
                );
                drop(body);
                assert_eq!(store.used(), (0, 0));
                assert_eq!(
                    store.spool.as_ref().map(|s| s.used()),
                    Some(0),
                    "every slot is free"
                );
            }
        }
    }
}

/// It goes on while it still comes in: the reader has the first bytes before the last ones came.
#[tokio::test]
async fn a_reader_follows_the_writer() {
    let (store, _) = store(-1);
    let body = store.admit(0, 0, Some(8 * MIB)).expect("room");
    let all = bytes(8 * MIB);
    let writer = {
        let (body, all) = (body.clone(), all.clone());
        tokio::spawn(async move { fill(&body, all, 100_000).await })
    };
    let mut reader = body.reader(false).expect("its start");
    let first = reader.next().await.expect("bytes").expect("not the end");
    assert!(!first.is_empty() && !body.is_complete());
    let mut out = first.to_vec();
    while let Some(more) = reader.next().await.expect("bytes") {
        out.extend_from_slice(&more);
    }
    writer.await.expect("written");
    assert!(out == all);
}

/// The disk fills in the middle: the body goes on, whole, and is not kept from then on.
#[tokio::test]
async fn a_disk_that_fills_mid_write_never_gives_half_a_body() {
    for writes in [0, 1, 5, 63] {
        let (store, fake) = store(writes);
        let body = store.admit(0, 0, Some(4 * MIB)).expect("room");
        let all = bytes(4 * MIB);
        let writer = {
            let (body, all) = (body.clone(), all.clone());
            tokio::spawn(async move { fill(&body, all, 50_000).await })
        };
        assert!(
            read(&body, false).await.expect("it passes through") == all,
            "after {writes} writes"
        );
        writer.await.expect("written");
        assert!(!body.is_stored());
        assert!(
            matches!(body.reader(true), Err(ReadError::Discarded)),
            "not again"
        );
        assert_eq!(store.counts()[&(0, Storage::NotStored)].missing, 1);
        fake.left.store(-1, Ordering::Relaxed);
        drop(body);
        assert_eq!(
            (store.used(), store.spool.as_ref().map(|s| s.used())),
            ((0, 0), Some(0))
        );
    }
}

#[tokio::test]
async fn a_damaged_piece_is_an_error_at_its_place() {
    let (store, fake) = store(-1);
    let body = store.admit(0, 0, Some(2 * MIB)).expect("room");
    fill(&body, bytes(2 * MIB), 1 << 20).await;
    fake.damaged.store(1, Ordering::Relaxed);
    assert!(matches!(
        read(&body, false).await,
        Err(ReadError::Spool(SpoolError::Damaged))
    ));
}

/// What is not kept holds its writer back: no more than the window is in memory.
#[tokio::test]
async fn a_slow_reader_holds_the_writer_back() {
    let store = Store::new(
        Limits {
            memory_bytes: MIB,
            file_bytes: 0,
            max_body_memory_bytes: 0,
            ..limits()
        },
        EvictionPolicy::Largest,
        None,
    );
    let body = store.admit(0, 0, Some(8 * MIB)).expect("it passes through");
    let all = bytes(8 * MIB);
    let writer = {
        let (body, all) = (body.clone(), all.clone());
        tokio::spawn(async move { fill(&body, all, 16 << 10).await })
    };
    sleep(Duration::from_millis(50)).await;
    let came = body.inner().came;
    assert!(came <= WINDOW + PIECE, "{came} bytes are in memory");
    assert!(!writer.is_finished());
    assert!(read(&body, false).await.expect("it passes through") == all);
    writer.await.expect("written");
    assert!(!body.inner().whole_start && store.used().0 <= WINDOW);
}

#[tokio::test]
async fn a_writer_that_stops_halfway_is_told_and_frees_who_waits() {
    let (store, _) = store(-1);
    for cut in ["stops", "short"] {
        let body = store.admit(0, 0, Some(MIB)).expect("room");
        body.push(bytes(300_000)).await.expect("let in");
        let reading = {
            let body = body.clone();
            tokio::spawn(async move { read(&body, false).await })
        };
        sleep(Duration::from_millis(10)).await;
        match cut {
            "stops" => body.mark_truncated(),
            _ => body.finish().await,
        }
        let told = timeout(Duration::from_secs(1), reading)
            .await
            .expect("it ends")
            .expect("no panic");
        assert!(matches!(told, Err(ReadError::Truncated)), "{cut}");
    }
    let body = store.admit(0, 0, Some(10)).expect("room");
    assert_eq!(body.push(bytes(11)).await, Err(PushError::TooManyBytes));
}

/// Once-only bodies are let go as they are sent.
#[tokio::test]
async fn a_body_that_is_let_go_frees_what_was_read() {
    let (store, _) = store(-1);
    for length in [MIB, 4 * MIB] {
        let body = store.admit(0, 0, Some(length)).expect("room");
        let all = bytes(length);
        fill(&body, all.clone(), 1 << 20).await;
        let mut reader = body.reader(false).expect("its start");
        let mut out = reader
            .next()
            .await
            .expect("bytes")
            .expect("not the end")
            .to_vec();
        body.discard();
        assert!(!body.is_stored());
        while let Some(more) = reader.next().await.expect("bytes") {
            out.extend_from_slice(&more);
        }
        assert!(out == all, "its one reader has all of it");
        drop(reader);
        assert!(matches!(body.reader(true), Err(ReadError::Discarded)));
        assert!(
            store.used().0 <= WINDOW && store.used().1 == 0,
            "{:?}",
            store.used()
        );
        drop(body);
    }
}

/// Memory runs short: the largest moves to the spool and is read from there.
#[tokio::test]
async fn the_largest_moves_out_when_memory_is_short() {
    let (store, _) = store(-1);
    let sizes = [900, 200, 800, 300, 700, 400];
    let mut all = Vec::new();
    for size in sizes {
        let body = store.admit(0, 0, Some(size << 10)).expect("room");
        fill(&body, bytes(size << 10), 1 << 20).await;
        all.push((size << 10, body));
    }
    let moved: Vec<u64> = all
        .iter()
        .filter(|(_, b)| b.storage() == Storage::File)
        .map(|(s, _)| *s >> 10)
        .collect();
    assert_eq!(
        moved,
        [900, 800],
        "from three quarters of the memory down to a half"
    );
    for (size, body) in &all {
        assert!(read(body, false).await.expect("kept") == bytes(*size));
    }
    drop(all);
    assert_eq!(
        (store.used(), store.spool.as_ref().map(|s| s.used())),
        ((0, 0), Some(0))
    );
}
