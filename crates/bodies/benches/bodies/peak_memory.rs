//! Measures the peak memory of a process that stores one body and reads it once. Each measurement runs this program as
//! a child process.

use crate::{runtime, store, CHUNK_BYTES, MIB, SIZES};
use bytes::Bytes;
use divan::black_box;
use garnetwall_bodies::{ReadBy, Retention};
use std::io::Write;
use std::path::Path;
use std::process::Command;

/// Environment variable that tells a child process the measurement to take, as `KIND:BYTES`.
const MEASUREMENT_VARIABLE: &str = "GARNETWALL_PEAK";
const KINDS: [&str; 4] = ["memory", "spool", "plain_vec", "plain_file"];

/// Measures all kinds of storage and all sizes, and prints a table.
pub fn print_all() {
    println!(
        "peak memory MiB  {:>10} {:>10} {:>10} {:>10}",
        "1 KB", "100 KB", "10 MB", "200 MB"
    );
    let Ok(program) = std::env::current_exe() else {
        return;
    };
    for kind in KINDS {
        print!("{kind:<16}");
        for size in SIZES {
            print!(" {:>10}", measure_in_child(&program, kind, size));
        }
        println!();
    }
}

fn measure_in_child(program: &Path, kind: &str, size: u64) -> String {
    let output = Command::new(program)
        .env(MEASUREMENT_VARIABLE, format!("{kind}:{size}"))
        .output();
    output
        .map(|output| String::from_utf8_lossy(&output.stdout).trim().to_string())
        .unwrap_or_default()
}

/// Takes the measurement for which this process was started. Returns false if this process is not such a child process.
pub fn run_child() -> bool {
    let Ok(measurement) = std::env::var(MEASUREMENT_VARIABLE) else {
        return false;
    };
    let Some((kind, size)) = measurement.split_once(':') else {
        return true;
    };
    let Ok(size) = size.parse::<u64>() else {
        return true;
    };
    match kind {
        "plain_vec" => fill_vec(size),
        "plain_file" => write_file(size),
        "memory" => runtime().block_on(write_and_read_body(256 * MIB, size)),
        _ => runtime().block_on(write_and_read_body(0, size)),
    }
    println!("{:.1}", peak_mebibytes());
    true
}

/// Returns the chunks of a body, which share one allocation, so that the peak memory measures only the storage.
fn chunks(size: u64) -> impl Iterator<Item = Bytes> {
    let chunk = Bytes::from(vec![7u8; CHUNK_BYTES]);
    (0..size)
        .step_by(CHUNK_BYTES)
        .map(move |offset| chunk.slice(..CHUNK_BYTES.min((size - offset) as usize)))
}

fn fill_vec(size: u64) {
    let mut all = Vec::new();
    chunks(size).for_each(|chunk| all.extend_from_slice(&chunk));
    black_box(all.len());
}

fn write_file(size: u64) {
    let path = std::env::temp_dir().join(format!("garnetwall-peak-{}", std::process::id()));
    if let Ok(mut file) = std::fs::File::create(&path) {
        for chunk in chunks(size) {
            let _ = file.write_all(&chunk);
        }
    }
    let _ = std::fs::remove_file(path);
}

async fn write_and_read_body(memory: u64, size: u64) {
    let Ok(body) = store(memory).admit(0, 0, Some(size), Retention::UntilQueryEnds) else {
        return;
    };
    for chunk in chunks(size) {
        // Each chunk has its own allocation, like chunks from a socket.
        let _ = body.push(Bytes::copy_from_slice(&chunk)).await;
    }
    body.finish().await;
    let Ok(mut reader) = body.reader(ReadBy::FirstAttempt) else {
        return;
    };
    while let Ok(Some(bytes)) = reader.next().await {
        black_box(bytes.len());
    }
}

/// Returns the peak resident memory of this process in MiB; 0 if it cannot be read.
fn peak_mebibytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let kibibytes = status
        .lines()
        .find(|line| line.starts_with("VmHWM:"))
        .and_then(|line| line.split_whitespace().nth(1))
        .and_then(|number| number.parse::<f64>().ok());
    kibibytes.unwrap_or(0.0) / 1024.0
}
