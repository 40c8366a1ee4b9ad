//! Measures the figures of docs/bodies.md: the throughput of the body store compared with a plain `Vec` and a plain
//! file, its peak memory, and the eviction policies.

mod eviction;
mod peak_memory;

use bytes::Bytes;
use divan::counter::BytesCount;
use divan::{black_box, Bencher};
use garnetwall_bodies::{EvictionPolicy, Limits, ReadBy, Retention, Spool, SpoolFile, Store};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;
use std::sync::Arc;
use tokio::runtime::Runtime;

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
const SIZES: [u64; 4] = [KIB, 100 * KIB, 10 * MIB, 200 * MIB];
/// Size of one chunk, as a read from a socket returns it, in bytes.
const CHUNK_BYTES: usize = 16 << 10;
const SPOOL_BYTES: u64 = 512 * MIB;

fn main() {
    if peak_memory::run_child() {
        return;
    }
    eviction::print_policies();
    peak_memory::print_all();
    divan::main();
}

/// Returns limits that store a body of up to `memory` bytes in memory. With 0 every body goes to the spool file.
fn limits(memory: u64) -> Limits {
    Limits {
        memory_bytes: 2 * memory + MIB,
        file_bytes: SPOOL_BYTES,
        max_body_memory_bytes: memory,
        max_body_bytes: 256 * MIB,
        tenant_share: 1.0,
        unknown_length_allowed: true,
        storage_required: Vec::new(),
    }
}

fn store(memory: u64) -> Arc<Store> {
    let file = SpoolFile::create(&std::env::temp_dir(), "bench").unwrap_or_else(|e| panic!("{e}"));
    Store::new(
        limits(memory),
        EvictionPolicy::Largest,
        Some(Spool::new(file, SPOOL_BYTES)),
    )
}

fn runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap_or_else(|e| panic!("{e}"))
}

fn chunks(size: u64) -> Vec<Bytes> {
    let all = Bytes::from(vec![7u8; size as usize]);
    (0..size as usize)
        .step_by(CHUNK_BYTES)
        .map(|at| all.slice(at..(at + CHUNK_BYTES).min(size as usize)))
        .collect()
}

/// Writes a body and reads it twice, as by a first attempt and a retry. Returns the total number of bytes read, or 0
/// after an error.
async fn write_and_read_twice(store: &Arc<Store>, chunks: &[Bytes], size: u64) -> usize {
    let Ok(body) = store.admit(0, 0, Some(size), Retention::UntilQueryEnds) else {
        return 0;
    };
    for chunk in chunks {
        if body.push(chunk.clone()).await.is_err() {
            return 0;
        }
    }
    body.finish().await;
    let mut read = 0;
    for read_by in [ReadBy::FirstAttempt, ReadBy::Retry] {
        let Ok(mut reader) = body.reader(read_by) else {
            return 0;
        };
        while let Ok(Some(bytes)) = reader.next().await {
            read += black_box(bytes).len();
        }
    }
    read
}

fn bench_store(bencher: Bencher, memory: u64, size: u64) {
    let store = store(memory);
    let runtime = runtime();
    let chunks = chunks(size);
    bencher.counter(BytesCount::new(size)).bench_local(|| {
        let read = runtime.block_on(write_and_read_twice(&store, &chunks, size));
        assert_eq!(read as u64, 2 * size);
    });
}

#[divan::bench(args = SIZES, sample_count = 20)]
fn memory(bencher: Bencher, size: u64) {
    bench_store(bencher, 256 * MIB, size);
}

#[divan::bench(args = SIZES, sample_count = 20)]
fn spool(bencher: Bencher, size: u64) {
    bench_store(bencher, 0, size);
}

#[divan::bench(args = SIZES, sample_count = 20)]
fn plain_vec(bencher: Bencher, size: u64) {
    let chunks = chunks(size);
    bencher.counter(BytesCount::new(size)).bench_local(|| {
        let mut all = Vec::new();
        chunks.iter().for_each(|chunk| all.extend_from_slice(chunk));
        read_in_chunks(&all) + read_in_chunks(&all)
    });
}

fn read_in_chunks(bytes: &[u8]) -> usize {
    bytes
        .chunks(CHUNK_BYTES)
        .map(|chunk| black_box(chunk).len())
        .sum()
}

#[divan::bench(args = SIZES, sample_count = 20)]
fn plain_file(bencher: Bencher, size: u64) {
    let chunks = chunks(size);
    let path = std::env::temp_dir().join(format!("garnetwall-plain-{}", std::process::id()));
    bencher.counter(BytesCount::new(size)).bench_local(|| {
        write_file_and_read_twice(&path, &chunks).unwrap_or_else(|e| panic!("{e}"))
    });
}

fn write_file_and_read_twice(path: &Path, chunks: &[Bytes]) -> io::Result<usize> {
    let mut file = OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(true)
        .open(path)?;
    std::fs::remove_file(path)?;
    chunks.iter().try_for_each(|chunk| file.write_all(chunk))?;
    Ok(read_file(&mut file)? + read_file(&mut file)?)
}

fn read_file(file: &mut File) -> io::Result<usize> {
    file.seek(SeekFrom::Start(0))?;
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut total = 0;
    loop {
        let read = file.read(&mut buffer)?;
        if read == 0 {
            return Ok(total);
        }
        total += black_box(read);
    }
}
