//! Tests bodies on a fake file that fails on request: a reader gets exactly the written bytes or an error.

use crate::capacity::{EvictionPolicy, Limits, Storage, Usage, PIECE_BYTES, WINDOW_BYTES};
use crate::mutex::lock;
use crate::spool::{RandomAccessFile, Spool, SpoolError};
use crate::{Body, Counts, PushError, ReadBy, ReadError, Retention, Store};
use bytes::Bytes;
use std::io;
use std::sync::atomic::{AtomicI64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// File in memory that fails after a number of writes, or returns damaged bytes.
#[derive(Clone, Default)]
struct FakeFile {
    bytes: Arc<Mutex<Vec<u8>>>,
    /// Number of further writes that succeed; unlimited if negative.
    writes_left: Arc<AtomicI64>,
    /// Each read flips one bit if this is not 0.
    damaged: Arc<AtomicUsize>,
}

impl RandomAccessFile for FakeFile {
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()> {
        if self.writes_left.fetch_sub(1, Ordering::Relaxed) == 0 {
            // Half of the bytes are written before the error.
            lock(&self.bytes).extend_from_slice(&bytes[..bytes.len() / 2]);
            self.writes_left.store(0, Ordering::Relaxed);
            return Err(io::ErrorKind::StorageFull.into());
        }
        let (offset, mut disk) = (offset as usize, lock(&self.bytes));
        let end = disk.len().max(offset + bytes.len());
        disk.resize(end, 0);
        disk[offset..offset + bytes.len()].copy_from_slice(bytes);
        Ok(())
    }

    fn read_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<()> {
        let (offset, disk) = (offset as usize, lock(&self.bytes));
        let stored = disk
            .get(offset..offset + buffer.len())
            .ok_or(io::ErrorKind::UnexpectedEof)?;
        buffer.copy_from_slice(stored);
        if self.damaged.load(Ordering::Relaxed) > 0 {
            buffer[40] ^= 1;
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

fn store(writes_left: i64) -> (Arc<Store>, FakeFile) {
    let fake = FakeFile::default();
    fake.writes_left.store(writes_left, Ordering::Relaxed);
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
        body.push(next).await.expect("the bytes are accepted");
    }
    body.finish().await;
}

async fn read(body: &Arc<Body>, read_by: ReadBy) -> Result<Vec<u8>, ReadError> {
    let mut reader = body.reader(read_by)?;
    let mut out = Vec::new();
    while let Some(bytes) = reader.next().await? {
        out.extend_from_slice(&bytes);
    }
    assert!(reader.is_at_end());
    Ok(out)
}

#[tokio::test]
async fn bodies_of_every_size_are_read_as_written_also_by_retries() {
    for length in [
        0,
        1,
        1000,
        16 << 10,
        PIECE_BYTES - 1,
        PIECE_BYTES,
        PIECE_BYTES + 1,
        MIB,
        MIB + 1,
        10 * MIB + 7,
    ] {
        for announced in [Some(length), None] {
            for step in [700, 16 << 10, 1 << 20] {
                let (store, _) = store(-1);
                let body = store
                    .admit(0, 0, announced, Retention::UntilQueryEnds)
                    .expect("the body is admitted");
                let all = bytes(length);
                fill(&body, all.clone(), step).await;
                for read_by in [ReadBy::FirstAttempt, ReadBy::Retry, ReadBy::Retry] {
                    assert!(
                        read(&body, read_by).await.expect("the body is stored") == all,
                        "{length} {announced:?} {step}"
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
                        discarded: 0
                    },
                    "{length} {announced:?}"
                );
                drop(body);
                assert_eq!(store.usage(), Usage::default());
                assert_eq!(
                    store.resources.spool.as_ref().map(|s| s.used_slots()),
                    Some(0),
                    "every slot is free"
                );
            }
        }
    }
}

/// The reader receives the first bytes before the last ones have arrived.
#[tokio::test]
async fn a_reader_follows_the_writer() {
    let (store, _) = store(-1);
    let body = store
        .admit(0, 0, Some(8 * MIB), Retention::UntilQueryEnds)
        .expect("the body is admitted");
    let all = bytes(8 * MIB);
    let writer = {
        let (body, all) = (body.clone(), all.clone());
        tokio::spawn(async move { fill(&body, all, 100_000).await })
    };
    let mut reader = body
        .reader(ReadBy::FirstAttempt)
        .expect("the body is readable from its start");
    let first = reader
        .next()
        .await
        .expect("the body is readable")
        .expect("the body has more bytes");
    assert!(!first.is_empty() && !body.is_complete());
    let mut out = first.to_vec();
    while let Some(more) = reader.next().await.expect("the body is readable") {
        out.extend_from_slice(&more);
    }
    writer.await.expect("the writing task does not panic");
    assert!(out == all);
}

/// If the disk becomes full while a body arrives, the reader still receives the whole body, but the body is no longer
/// stored for a retry.
#[tokio::test]
async fn a_disk_that_fills_never_yields_a_partial_body() {
    for writes in [0, 1, 5, 63] {
        let (store, fake) = store(writes);
        let body = store
            .admit(0, 0, Some(4 * MIB), Retention::UntilQueryEnds)
            .expect("the body is admitted");
        let all = bytes(4 * MIB);
        let writer = {
            let (body, all) = (body.clone(), all.clone());
            tokio::spawn(async move { fill(&body, all, 50_000).await })
        };
        assert!(
            read(&body, ReadBy::FirstAttempt)
                .await
                .expect("the body is passed through")
                == all,
            "after {writes} writes"
        );
        writer.await.expect("the writing task does not panic");
        assert!(!body.is_stored());
        assert!(
            matches!(body.reader(ReadBy::Retry), Err(ReadError::Discarded)),
            "a retry cannot read the body"
        );
        assert_eq!(store.counts()[&(0, Storage::NotStored)].discarded, 1);
        fake.writes_left.store(-1, Ordering::Relaxed);
        drop(body);
        assert_eq!(
            (
                store.usage(),
                store.resources.spool.as_ref().map(|s| s.used_slots())
            ),
            (Usage::default(), Some(0))
        );
    }
}

#[tokio::test]
async fn a_damaged_piece_is_a_read_error() {
    let (store, fake) = store(-1);
    let body = store
        .admit(0, 0, Some(2 * MIB), Retention::UntilQueryEnds)
        .expect("the body is admitted");
    fill(&body, bytes(2 * MIB), 1 << 20).await;
    fake.damaged.store(1, Ordering::Relaxed);
    assert!(matches!(
        read(&body, ReadBy::FirstAttempt).await,
        Err(ReadError::Spool(SpoolError::Damaged))
    ));
}

/// The writer of a body that is not stored waits for the reader, so that no more than the window and one piece are in
/// memory.
#[tokio::test]
async fn the_writer_of_an_unstored_body_waits_for_a_slow_reader() {
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
    let body = store
        .admit(0, 0, Some(8 * MIB), Retention::UntilQueryEnds)
        .expect("the body is passed through");
    let all = bytes(8 * MIB);
    let writer = {
        let (body, all) = (body.clone(), all.clone());
        tokio::spawn(async move { fill(&body, all, 16 << 10).await })
    };
    sleep(Duration::from_millis(50)).await;
    let readable_bytes = body.content().readable_bytes;
    assert!(
        readable_bytes <= WINDOW_BYTES + PIECE_BYTES,
        "{readable_bytes} bytes are in memory"
    );
    assert!(!writer.is_finished());
    assert!(
        read(&body, ReadBy::FirstAttempt)
            .await
            .expect("the body is passed through")
            == all
    );
    writer.await.expect("the writing task does not panic");
    assert!(!body.is_readable_from_start() && store.usage().memory_bytes <= WINDOW_BYTES);
}

#[tokio::test]
async fn a_truncated_body_is_an_error_for_the_waiting_reader() {
    let (store, _) = store(-1);
    for cut in ["stops", "short"] {
        let body = store
            .admit(0, 0, Some(MIB), Retention::UntilQueryEnds)
            .expect("the body is admitted");
        body.push(bytes(300_000))
            .await
            .expect("the bytes are accepted");
        let reading = {
            let body = body.clone();
            tokio::spawn(async move { read(&body, ReadBy::FirstAttempt).await })
        };
        sleep(Duration::from_millis(10)).await;
        match cut {
            "stops" => body.abort(),
            _ => body.finish().await,
        }
        let result = timeout(Duration::from_secs(1), reading)
            .await
            .expect("the reader ends within 1 s")
            .expect("the reading task does not panic");
        assert!(matches!(result, Err(ReadError::Truncated)), "{cut}");
    }
    let body = store
        .admit(0, 0, Some(10), Retention::UntilQueryEnds)
        .expect("the body is admitted");
    assert_eq!(body.push(bytes(11)).await, Err(PushError::TooManyBytes));
}

/// A body can be discarded while its one reader sends it, as for non-idempotent queries: the reader receives the rest,
/// and the reservation of the read bytes is released.
#[tokio::test]
async fn a_discarded_body_releases_what_was_read() {
    let (store, _) = store(-1);
    for length in [MIB, 4 * MIB] {
        let body = store
            .admit(0, 0, Some(length), Retention::UntilQueryEnds)
            .expect("the body is admitted");
        let all = bytes(length);
        fill(&body, all.clone(), 1 << 20).await;
        let mut reader = body
            .reader(ReadBy::FirstAttempt)
            .expect("the body is readable from its start");
        let mut out = reader
            .next()
            .await
            .expect("the body is readable")
            .expect("the body has more bytes")
            .to_vec();
        body.discard();
        assert!(!body.is_stored());
        while let Some(more) = reader.next().await.expect("the body is readable") {
            out.extend_from_slice(&more);
        }
        assert!(out == all, "the reader receives the whole body");
        drop(reader);
        assert!(matches!(
            body.reader(ReadBy::Retry),
            Err(ReadError::Discarded)
        ));
        assert!(
            store.usage().memory_bytes <= WINDOW_BYTES && store.usage().file_bytes == 0,
            "{:?}",
            store.usage()
        );
        drop(body);
    }
}

/// When memory is short, the largest bodies are moved to the spool file, and are read from there.
#[tokio::test]
async fn the_largest_bodies_are_evicted_when_memory_is_short() {
    let (store, _) = store(-1);
    let sizes = [900, 200, 800, 300, 700, 400];
    let mut all = Vec::new();
    for size in sizes {
        let body = store
            .admit(0, 0, Some(size << 10), Retention::UntilQueryEnds)
            .expect("the body is admitted");
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
        "eviction starts at three quarters of the memory and stops at half"
    );
    for (size, body) in &all {
        assert!(
            read(body, ReadBy::FirstAttempt)
                .await
                .expect("the body is stored")
                == bytes(*size)
        );
    }
    drop(all);
    assert_eq!(
        (
            store.usage(),
            store.resources.spool.as_ref().map(|s| s.used_slots())
        ),
        (Usage::default(), Some(0))
    );
}
