//! Commits a second of the journal of once-only batches, and their latency, with one that waits at a time and with many
//! (group commit), on the disk of the temporary directory.

use garnetwall_ledger::journal::{FileStorage, Journal};
use garnetwall_ledger::records::{BootRun, SentQuery};
use std::sync::mpsc::channel;
use std::time::Instant;

const COMMITS: u64 = 4000;

fn main() {
    println!("waiting at once   commits/s   latency us: median   99%");
    for at_once in [1, 4, 16, 64, 256] {
        let path = std::env::temp_dir().join(format!(
            "garnetwall-journal-{}-{at_once}",
            std::process::id()
        ));
        let run = BootRun { id: 1, span: 1000 };
        let (journal, begun) = Journal::start(FileStorage::new(&path), run, || 0, Box::new(drop));
        begun.unwrap_or_else(|e| panic!("{e}"));
        let (done, ended) = channel();
        let began = Instant::now();
        let send = |id: u64| {
            let (done, sent_at) = (done.clone(), Instant::now());
            let told = move |written: std::io::Result<()>| {
                assert!(written.is_ok());
                let _ = done.send(sent_at.elapsed());
            };
            journal.record_sent(
                SentQuery {
                    id,
                    key: Some(id % 7),
                    until: u64::MAX,
                },
                Box::new(told),
            );
        };
        (0..at_once).for_each(send);
        let mut latencies = Vec::new();
        for id in at_once..COMMITS + at_once {
            latencies.extend(ended.recv());
            journal.record_finished(id - at_once);
            if id < COMMITS {
                send(id);
            }
        }
        let rate = COMMITS as f64 / began.elapsed().as_secs_f64();
        latencies.sort_unstable();
        let at = |part: f64| latencies[(latencies.len() as f64 * part) as usize].as_micros();
        println!("{at_once:>15} {rate:>11.0} {:>20} {:>5}", at(0.5), at(0.99));
        drop(journal);
        let _ = std::fs::remove_file(&path);
    }
}
