//! Measures the commits per second of the journal and their latency, with one waiting writer and with many (group
//! commit). The journal file is in the temporary directory.

use garnetwall_ledger::journal::{FileStorage, Journal, JournalError, StartedJournal};
use garnetwall_ledger::records::{Boot, StartedQuery};
use std::sync::mpsc::channel;
use std::time::Instant;

const COMMITS: u64 = 4000;

fn main() {
    println!("writers waiting   commits/s   latency us: median   99%");
    for writers in [1, 4, 16, 64, 256] {
        let path = std::env::temp_dir().join(format!(
            "garnetwall-journal-{}-{writers}",
            std::process::id()
        ));
        let boot = Boot {
            boot_id: 1,
            longest_query_run_ms: 1000,
        };
        let StartedJournal {
            journal,
            restore_result,
        } = Journal::start(FileStorage::new(&path), boot, || 0, Box::new(drop)).unwrap();
        restore_result.unwrap_or_else(|e| panic!("{e}"));
        let (on_written, written) = channel();
        let started_at = Instant::now();
        let send = |id: u64| {
            let on_written = on_written.clone();
            let sent_at = Instant::now();
            let callback = move |result: Result<(), JournalError>| {
                assert!(result.is_ok());
                let _ = on_written.send(sent_at.elapsed());
            };
            journal.record_started(
                StartedQuery {
                    query_key: id,
                    ordering_key: Some(id % 7),
                    may_run_until_ms: u64::MAX,
                },
                Box::new(callback),
            );
        };
        (0..writers).for_each(send);
        let mut latencies = Vec::new();
        for id in writers..COMMITS + writers {
            latencies.extend(written.recv());
            journal.record_finished(id - writers);
            if id < COMMITS {
                send(id);
            }
        }
        let rate = COMMITS as f64 / started_at.elapsed().as_secs_f64();
        latencies.sort_unstable();
        let quantile =
            |fraction: f64| latencies[(latencies.len() as f64 * fraction) as usize].as_micros();
        println!(
            "{writers:>15} {rate:>11.0} {:>20} {:>5}",
            quantile(0.5),
            quantile(0.99)
        );
        drop(journal);
        let _ = std::fs::remove_file(&path);
    }
}
