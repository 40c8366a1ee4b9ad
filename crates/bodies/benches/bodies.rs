//! Figures of docs/bodies.md: throughput beside a plain `Vec` and plain files, what the store adds to a body of 1 KB, and
//! what the policies of moving out cost on a played day.

use bytes::Bytes;
use divan::counter::BytesCount;
use divan::{black_box, Bencher};
use garnetwall_bodies::{BodyId, EvictionPolicy};
use garnetwall_bodies::{Capacity, Disk, Limits, Spool, Storage, Store};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use std::collections::BTreeMap;
use std::io::{Read, Seek, SeekFrom, Write};
use std::sync::Arc;
use tokio::runtime::Runtime;

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
const SIZES: [u64; 4] = [KIB, 100 * KIB, 10 * MIB, 200 * MIB];
/// What comes at once from a socket.
const CHUNK: usize = 16 << 10;

fn main() {
    if let Ok(what) = std::env::var(PEAK) {
        return peak_of(&what);
    }
    played_day();
    peaks();
    divan::main();
}

/// Names the one thing that a process of its own does before it says how much memory it had.
const PEAK: &str = "GARNETWALL_PEAK";
const KINDS: [&str; 4] = ["memory", "spool", "plain_vec", "plain_file"];

fn peaks() {
    println!(
        "peak memory MiB  {:>10} {:>10} {:>10} {:>10}",
        "1 KB", "100 KB", "10 MB", "200 MB"
    );
    for kind in KINDS {
        print!("{kind:<16}");
        for size in SIZES {
            let Ok(exe) = std::env::current_exe() else {
                return;
            };
            let out = std::process::Command::new(exe)
                .env(PEAK, format!("{kind}:{size}"))
                .output();
            let said = out
                .map(|o| String::from_utf8_lossy(&o.stdout).trim().to_string())
                .unwrap_or_default();
            print!(" {said:>10}");
        }
        println!();
    }
}

/// Takes one body through, made as it goes, so that only what keeps it counts.
fn peak_of(what: &str) {
    let Some((kind, size)) = what.split_once(':') else {
        return;
    };
    let Ok(size) = size.parse::<u64>() else {
        return;
    };
    let chunk = Bytes::from(vec![7u8; CHUNK]);
    let chunks = || {
        (0..size)
            .step_by(CHUNK)
            .map(|at| chunk.slice(..CHUNK.min((size - at) as usize)))
    };
    let memory = if kind == "memory" { 256 * MIB } else { 0 };
    match kind {
        "plain_vec" => {
            let mut all = Vec::new();
            chunks().for_each(|c| all.extend_from_slice(&c));
            black_box(all.len());
        }
        "plain_file" => {
            let path = std::env::temp_dir().join(format!("garnetwall-peak-{}", std::process::id()));
            if let Ok(mut file) = std::fs::File::create(&path) {
                chunks().for_each(|c| drop(file.write_all(&c)));
            }
            let _ = std::fs::remove_file(path);
        }
        _ => runtime().block_on(async {
            let Ok(body) = store(memory).admit(0, 0, Some(size)) else {
                return;
            };
            for c in chunks() {
                // As from a socket: each has its own memory.
                let _ = body.push(Bytes::copy_from_slice(&c)).await;
            }
            body.finish().await;
            if let Ok(mut reader) = body.reader(false) {
                while let Ok(Some(bytes)) = reader.next().await {
                    black_box(bytes.len());
                }
            }
        }),
    }
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status
        .lines()
        .find(|l| l.starts_with("VmHWM:"))
        .and_then(|l| l.split_whitespace().nth(1));
    println!(
        "{:.1}",
        line.and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
    );
}

fn limits(memory: u64) -> Limits {
    Limits {
        memory_bytes: 2 * memory + MIB,
        file_bytes: 512 * MIB,
        max_body_memory_bytes: memory,
        max_body_bytes: 256 * MIB,
        tenant_share: 1.0,
        unknown_length_allowed: true,
        storage_required: Vec::new(),
    }
}

fn store(memory: u64) -> Arc<Store> {
    let disk = Disk::open(&std::env::temp_dir(), "bench").unwrap_or_else(|e| panic!("{e}"));
    Store::new(
        limits(memory),
        EvictionPolicy::Largest,
        Some(Spool::new(disk, 512 * MIB)),
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
        .step_by(CHUNK)
        .map(|at| all.slice(at..(at + CHUNK).min(size as usize)))
        .collect()
}

/// In, whole, and read twice, as by an attempt and a retry.
async fn through(store: &Arc<Store>, chunks: &[Bytes], size: u64) -> usize {
    let Ok(body) = store.admit(0, 0, Some(size)) else {
        return 0;
    };
    for chunk in chunks {
        if body.push(chunk.clone()).await.is_err() {
            return 0;
        }
    }
    body.finish().await;
    let mut read = 0;
    for is_retry in [false, true] {
        let Ok(mut reader) = body.reader(is_retry) else {
            return 0;
        };
        while let Ok(Some(bytes)) = reader.next().await {
            read += black_box(bytes).len();
        }
    }
    read
}

#[divan::bench(args = SIZES, sample_count = 20)]
fn memory(bencher: Bencher, size: u64) {
    let (store, runtime, chunks) = (store(256 * MIB), runtime(), chunks(size));
    bencher.counter(BytesCount::new(size)).bench_local(|| {
        assert_eq!(
            runtime.block_on(through(&store, &chunks, size)) as u64,
            2 * size
        );
    });
}

#[divan::bench(args = SIZES, sample_count = 20)]
fn spool(bencher: Bencher, size: u64) {
    let (store, runtime, chunks) = (store(0), runtime(), chunks(size));
    bencher.counter(BytesCount::new(size)).bench_local(|| {
        assert_eq!(
            runtime.block_on(through(&store, &chunks, size)) as u64,
            2 * size
        );
    });
}

#[divan::bench(args = SIZES, sample_count = 20)]
fn plain_vec(bencher: Bencher, size: u64) {
    let chunks = chunks(size);
    bencher.counter(BytesCount::new(size)).bench_local(|| {
        let mut all = Vec::new();
        chunks.iter().for_each(|c| all.extend_from_slice(c));
        let read = |all: &[u8]| all.chunks(CHUNK).map(|c| black_box(c).len()).sum::<usize>();
        read(&all) + read(&all)
    });
}

#[divan::bench(args = SIZES, sample_count = 20)]
fn plain_file(bencher: Bencher, size: u64) {
    let chunks = chunks(size);
    let path = std::env::temp_dir().join(format!("garnetwall-plain-{}", std::process::id()));
    bencher.counter(BytesCount::new(size)).bench_local(|| {
        let read = || -> std::io::Result<usize> {
            let mut file = std::fs::OpenOptions::new()
                .read(true)
                .write(true)
                .create(true)
                .truncate(true)
                .open(&path)?;
            std::fs::remove_file(&path)?;
            chunks.iter().try_for_each(|c| file.write_all(c))?;
            let mut read = 0;
            for _ in 0..2 {
                file.seek(SeekFrom::Start(0))?;
                let mut out = vec![0; CHUNK];
                loop {
                    match file.read(&mut out)? {
                        0 => break,
                        n => read += black_box(n),
                    }
                }
            }
            Ok(read)
        };
        read().unwrap_or_else(|e| panic!("{e}"))
    });
}

/// A played day: 200 bodies a second for 10 minutes, of 20 KiB at the median with a heavy tail, each there for 2 s on
/// the mean, in 64 MiB of memory. What each policy writes to files, and whose bodies are there when they are wanted again.
fn played_day() {
    println!("policy    to files MiB   small bodies in files   not kept");
    for policy in [
        EvictionPolicy::Never,
        EvictionPolicy::Largest,
        EvictionPolicy::Oldest,
    ] {
        let mut rng = StdRng::seed_from_u64(18);
        let (sizes, stays) = (
            LogNormal::new((20.0 * KIB as f64).ln(), 2.2),
            Exp::new(1.0 / 2.0),
        );
        let (Ok(sizes), Ok(stays)) = (sizes, stays) else {
            return;
        };
        let limits = Limits {
            file_bytes: 4096 * MIB,
            max_body_memory_bytes: 8 * MIB,
            memory_bytes: 64 * MIB,
            ..limits(0)
        };
        let mut room = Capacity::new(limits, policy);
        // Ends by time in microseconds.
        let mut ends: BTreeMap<(u64, u64), (BodyId, u64, bool)> = BTreeMap::new();
        let (mut bodies, mut small, mut small_in_files, mut not_kept, mut written) =
            (0u64, 0u64, 0u64, 0u64, 0u64);
        for n in 0..120_000u64 {
            let now = n * 5000;
            while let Some((&at, &(id, _, _))) =
                ends.first_key_value().filter(|((at, _), _)| *at <= now)
            {
                if ends.remove(&at).is_some_and(|(_, size, _)| {
                    size < 64 * KIB && room.storage(id) == Storage::File
                }) {
                    small_in_files += 1;
                }
                room.remove(id);
            }
            let size = (sizes.sample(&mut rng) as u64).clamp(100, 200 * MIB);
            let tenant = rng.random_range(0..20);
            let Ok(id) = room.admit(tenant, 0, Some(size)) else {
                not_kept += 1;
                continue;
            };
            bodies += 1;
            small += u64::from(size < 64 * KIB);
            match room.storage(id) {
                Storage::File => written += size,
                Storage::NotStored => not_kept += 1,
                Storage::Memory => {}
            }
            ends.insert(
                (now + (stays.sample(&mut rng) * 1e6) as u64, n),
                (id, size, false),
            );
            // Moving takes a while; here it is done at once.
            while let Some(id) = room.start_eviction() {
                written += ends
                    .values()
                    .find(|(i, _, _)| *i == id)
                    .map_or(0, |(_, size, _)| *size);
                room.finish_eviction(id, true);
            }
        }
        let share = |part: u64, of: u64| 100.0 * part as f64 / of.max(1) as f64;
        println!(
            "{policy:<9?} {:>12}   {:>20.2}%   {:>7.3}%",
            written / MIB,
            share(small_in_files, small),
            share(not_kept, bodies)
        );
    }
}
