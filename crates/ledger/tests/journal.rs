//! Tests the journal: compares it with a reference model, cuts it off at every byte, runs it on storage that fails, and
//! kills a process repeatedly at random times while it writes.

use garnetwall_ledger::journal::{
    FileStorage, Journal, JournalError, JournalState, JournalStorage, RecoveredQuery,
    RecoveryCallback, StartedJournal,
};
use garnetwall_ledger::records::{Boot, Record, StartedQuery, RECORD_BYTES};
use proptest::collection::vec;
use proptest::prelude::*;
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

fn query(id: u64) -> StartedQuery {
    StartedQuery {
        query_key: id,
        ordering_key: (!id.is_multiple_of(3)).then_some(id % 5),
        may_run_until_ms: 1000 + id,
    }
}

fn record() -> impl Strategy<Value = Record> {
    let id = 0u64..20;
    prop_oneof![
        2 => (id.clone(), 0u64..3000)
            .prop_map(|(id, may_run_until_ms)| Record::Started(StartedQuery { may_run_until_ms, ..query(id) })),
        1 => id.prop_map(|id| Record::Finished { query_key: id }),
    ]
}

/// Reference model: returns the unexpired queries after `records`, found by a search through all records for each id.
fn reference_model(records: &[Record], now_ms: u64) -> Vec<RecoveredQuery> {
    let mut queries = Vec::new();
    for id in 0..20 {
        let is_of_query = |record: &&Record| {
            matches!(record, Record::Started(query) if query.query_key == id)
                || **record == Record::Finished { query_key: id }
        };
        let of_query: Vec<&Record> = records.iter().filter(is_of_query).collect();
        let started = of_query.iter().filter_map(|record| match record {
            Record::Started(query) => Some(*query),
            Record::Finished { .. } | Record::Boot(_) => None,
        });
        let started: Vec<StartedQuery> = started.collect();
        if let Some(first) = started.first() {
            let times = started.iter().map(|query| query.may_run_until_ms);
            let may_run_until_ms = times.max().unwrap_or_default();
            queries.push(RecoveredQuery {
                record: StartedQuery {
                    may_run_until_ms,
                    ..*first
                },
                finished: of_query.last() == Some(&&Record::Finished { query_key: id }),
            });
        }
    }
    queries.retain(|query| query.record.may_run_until_ms > now_ms);
    queries
}

proptest! {
    #[test]
    fn state_agrees_with_the_reference_model(records in vec(record(), 0..200), now in 0u64..3000) {
        let bytes: Vec<u8> = records.iter().flat_map(|r| r.encode()).collect();
        let mut replay = JournalState::replay(&bytes);
        prop_assert_eq!((replay.valid_bytes, replay.damaged_records), (bytes.len(), 0));
        prop_assert_eq!(replay.state.unexpired(now), reference_model(&records, now));
        let compacted = JournalState::replay(&replay.state.compacted(now));
        prop_assert_eq!(compacted.state.unexpired(now), reference_model(&records, now), "after compaction");
    }

    /// A journal that ends at any byte yields exactly the complete records before that byte.
    #[test]
    fn an_interrupted_tail_is_ignored(records in vec(record(), 1..8)) {
        let bytes: Vec<u8> = records.iter().flat_map(|r| r.encode()).collect();
        for end in 0..=bytes.len() {
            let replay = JournalState::replay(&bytes[..end]);
            let complete = end / RECORD_BYTES;
            prop_assert_eq!(replay.valid_bytes, complete * RECORD_BYTES);
            prop_assert_eq!(replay.state.unexpired(0), reference_model(&records[..complete], 0));
        }
    }

    #[test]
    fn a_damaged_record_is_counted_and_the_others_are_read(records in vec(record(), 2..20), at in any::<prop::sample::Index>(), bit in 0u8..8) {
        let mut bytes: Vec<u8> = records.iter().flat_map(|r| r.encode()).collect();
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        let damaged = at / RECORD_BYTES;
        let others: Vec<Record> =
            records.iter().enumerate().filter(|(n, _)| *n != damaged).map(|(_, r)| *r).collect();
        let replay = JournalState::replay(&bytes);
        // The checksum also covers the byte that says whether there is an ordering key.
        prop_assert_eq!(replay.state.unexpired(0), reference_model(&others, 0));
        let is_last = damaged == records.len() - 1;
        prop_assert_eq!(replay.damaged_records, usize::from(!is_last));
    }
}

const BOOT: Boot = Boot {
    boot_id: 7,
    longest_query_run_ms: 5000,
};

/// Recovery callback for tests that do not check the recovered queries.
fn ignore_recovery() -> RecoveryCallback {
    Box::new(drop)
}

/// In-memory storage in which a given range of operations fails. A failing append stores half of its bytes.
#[derive(Clone, Default)]
struct FailingStorage {
    bytes: Arc<Mutex<Vec<u8>>>,
    operations: Arc<Mutex<Operations>>,
}

/// Count of storage operations, and the range of those that fail. Operations are numbered from 1.
#[derive(Default)]
struct Operations {
    done: usize,
    /// Number of the first operation that fails.
    first_failure: usize,
    /// Number of operations in a row that fail.
    failures: usize,
    /// Whether a failing operation panics instead of returning an error.
    panics: bool,
}

impl FailingStorage {
    fn next_result(&self) -> io::Result<()> {
        let mut operations = self.operations.lock().unwrap();
        operations.done += 1;
        let failing = operations.first_failure..operations.first_failure + operations.failures;
        let (fails, panics) = (failing.contains(&operations.done), operations.panics);
        drop(operations);
        assert!(!(fails && panics), "the storage panics");
        match fails {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }
}

impl JournalStorage for FailingStorage {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        self.next_result()?;
        Ok(self.bytes.lock().unwrap().clone())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let written = self.next_result();
        let half = if written.is_ok() {
            bytes.len()
        } else {
            bytes.len() / 2
        };
        self.bytes.lock().unwrap().extend_from_slice(&bytes[..half]);
        written
    }

    fn sync(&mut self) -> io::Result<()> {
        self.next_result()
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.next_result()?;
        *self.bytes.lock().unwrap() = bytes.to_vec();
        Ok(())
    }
}

fn commit(journal: &Journal, id: u64) -> Result<(), JournalError> {
    let (on_written, written) = channel();
    journal.record_started(
        query(id),
        Box::new(move |result| drop(on_written.send(result))),
    );
    written.recv().unwrap()
}

/// Whichever storage operations fail, every confirmed query is stored at all times, so none is confirmed while they
/// fail. Queries are confirmed again within two seconds of the start.
#[test]
fn after_a_storage_failure_no_query_is_confirmed_until_a_complete_journal_is_stored() {
    let cases = (1..=12).flat_map(|first| [1, 3].map(|count| (first, count)));
    let threads: Vec<_> = cases
        .map(|(first, count)| std::thread::spawn(move || check_storage_failures(first, count)))
        .collect();
    threads.into_iter().for_each(|case| case.join().unwrap());
}

fn check_storage_failures(first_failure: usize, failures: usize) {
    let case = format!("{failures} failures from operation {first_failure} on");
    let storage = FailingStorage::default();
    *storage.operations.lock().unwrap() = Operations {
        done: 0,
        first_failure,
        failures,
        panics: false,
    };
    let StartedJournal {
        journal,
        restore_result,
    } = Journal::start(storage.clone(), BOOT, || 0, ignore_recovery()).unwrap();
    assert_eq!(
        restore_result.is_ok(),
        first_failure > 2,
        "operations 1 and 2 are the first read and the first replacement"
    );
    let mut confirmed = Vec::new();
    let started_at = std::time::Instant::now();
    let mut rejected = 0;
    for id in 0.. {
        match commit(&journal, id) {
            Ok(()) => confirmed.push(id),
            Err(_) => rejected += 1,
        }
        let stored = JournalState::replay(&storage.bytes.lock().unwrap());
        let stored = stored.state.unexpired(0);
        for id in &confirmed {
            let query = RecoveredQuery {
                record: query(*id),
                finished: false,
            };
            assert!(
                stored.contains(&query),
                "{case}: query {id} was confirmed but is not stored"
            );
        }
        let failures_are_over = storage.operations.lock().unwrap().done >= first_failure + failures;
        if failures_are_over && confirmed.last() == Some(&id) && confirmed.len() > 6 {
            break;
        }
        assert!(
            started_at.elapsed() < Duration::from_secs(2),
            "{case}: no query was confirmed within 2 s"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(rejected > 0, "{case}: no query was rejected");
}

/// Operations 3 and 4 are the first append and its sync.
#[test]
fn journal_is_restored_after_a_panic_of_its_thread() {
    for first_failure in [3, 4] {
        let storage = FailingStorage::default();
        *storage.operations.lock().unwrap() = Operations {
            done: 0,
            first_failure,
            failures: 1,
            panics: true,
        };
        let StartedJournal { journal, .. } =
            Journal::start(storage.clone(), BOOT, || 0, ignore_recovery()).unwrap();
        let (on_written, written) = channel();
        let on_written = Box::new(move |result| drop(on_written.send(result)));
        journal.record_started(query(0), on_written);
        assert!(
            written.recv().is_err(),
            "the record should not be confirmed"
        );
        let started_at = std::time::Instant::now();
        let confirmed = (1..).find(|id| {
            assert!(
                started_at.elapsed() < Duration::from_secs(2),
                "no query was confirmed within 2 s"
            );
            std::thread::sleep(Duration::from_millis(5));
            commit(&journal, *id).is_ok()
        });
        let stored = JournalState::replay(&storage.bytes.lock().unwrap());
        let ids = stored.state.unexpired(0);
        assert!(ids
            .iter()
            .any(|query| Some(query.record.query_key) == confirmed));
    }
}

/// In the same boot a query may run for the rest of its time. In another or an unknown boot it may run for the longest
/// query run from then on, because times of different boots are not comparable.
#[test]
fn times_count_only_in_the_boot_they_were_recorded_in() {
    let mut state = JournalState::default();
    state.resume(BOOT, 1_000_000);
    state.apply(&Record::Started(StartedQuery {
        may_run_until_ms: 1_004_000,
        ..query(1)
    }));
    let file = state.compacted(1_000_000);
    let remaining_ms = |boot: Boot, now: u64| {
        let mut state = JournalState::replay(&file).state;
        state.resume(boot, now);
        state
            .unexpired(now)
            .first()
            .map(|query| query.record.may_run_until_ms - now)
    };
    let unknown = Boot {
        boot_id: 0,
        longest_query_run_ms: 9000,
    };
    assert_eq!(remaining_ms(BOOT, 1_003_000), Some(1000));
    assert_eq!(remaining_ms(BOOT, 1_005_000), None);
    assert_eq!(remaining_ms(Boot { boot_id: 8, ..BOOT }, 40), Some(5000));
    assert_eq!(
        remaining_ms(Boot { boot_id: 8, ..BOOT }, 9_000_000),
        Some(5000)
    );
    assert_eq!(remaining_ms(unknown, 1_003_000), Some(9000));
    // Journals written before boots were recorded hold Unix times in milliseconds.
    let old: Vec<u8> = Record::Started(StartedQuery {
        may_run_until_ms: 1_700_000_000_000,
        ..query(2)
    })
    .encode()
    .to_vec();
    let mut state = JournalState::replay(&old).state;
    state.resume(BOOT, 500);
    assert_eq!(state.unexpired(500)[0].record.may_run_until_ms, 5500);
}

#[test]
fn expired_queries_are_removed_and_the_file_stays_small() {
    let path = std::env::temp_dir().join(format!("garnetwall-compact-{}", std::process::id()));
    // All queries but the last ten have expired by this time.
    let StartedJournal {
        journal,
        restore_result,
    } = Journal::start(
        FileStorage::new(&path),
        BOOT,
        || 1_000_000,
        ignore_recovery(),
    )
    .unwrap();
    restore_result.unwrap();
    for id in 0..20_000u64 {
        let may_run_until_ms = if id < 19_990 { 1 } else { u64::MAX };
        let waits_for_commit = id.is_multiple_of(100);
        if waits_for_commit {
            commit(&journal, id).unwrap();
        } else {
            let query = StartedQuery {
                may_run_until_ms,
                ..query(id)
            };
            journal.record_started(query, Box::new(|_| ()));
        }
        journal.record_finished(id);
    }
    drop(journal);
    let length = std::fs::metadata(&path).unwrap().len() as usize;
    assert!(length < 12_000 * RECORD_BYTES, "{length}");
    let stored = JournalState::replay(&std::fs::read(&path).unwrap());
    let stored = stored.state.unexpired(1_000_000);
    assert!(stored.iter().all(|query| query.finished));
    let stored: Vec<u64> = stored.iter().map(|query| query.record.query_key).collect();
    assert_eq!(stored, (19_990..20_000).collect::<Vec<_>>());
    std::fs::remove_file(path).unwrap();
}

/// Runs in the child process until it is killed: records queries, and prints the id of each that is confirmed or
/// finished.
fn write_until_killed(path: &Path, first_id: u64) {
    let StartedJournal {
        journal,
        restore_result,
    } = Journal::start(FileStorage::new(path), BOOT, || 0, ignore_recovery()).unwrap();
    restore_result.unwrap();
    for id in first_id.. {
        commit(&journal, id).unwrap();
        println!("started {id}");
        if id.is_multiple_of(3) {
            journal.record_finished(id);
            println!("finished {id}");
        }
        io::stdout().flush().unwrap();
    }
}

/// Parses a line that the child process printed, and returns its word and its id. The test runner may have printed text
/// before the word on the same line.
fn parse_printed_line(line: &str) -> Option<(&'static str, u64)> {
    ["started", "finished"].into_iter().find_map(|word| {
        let (_, id) = line.split_once(&format!("{word} "))?;
        Some((word, id.parse().ok()?))
    })
}

/// Kills a writing process 30 times at random moments, each time on the same file. Every query that was confirmed and
/// not printed as finished must be stored. A query that was never written must not be stored.
#[test]
fn no_confirmed_record_is_lost_when_the_process_is_killed_repeatedly() {
    const PATH: &str = "GARNETWALL_JOURNAL_TEST";
    if let Ok(path) = std::env::var(PATH) {
        let (path, first_id) = path.rsplit_once('=').unwrap();
        return write_until_killed(Path::new(path), first_id.parse().unwrap());
    }
    let path = std::env::temp_dir().join(format!("garnetwall-killed-{}", std::process::id()));
    let mut last_printed: HashMap<u64, &str> = HashMap::new();
    let mut first_id = 0;
    for round in 0..30u64 {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args([
                "--exact",
                "no_confirmed_record_is_lost_when_the_process_is_killed_repeatedly",
                "--nocapture",
            ])
            .env(PATH, format!("{}={first_id}", path.display()))
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        // Wait until the process writes, so that it is killed in the middle of writing.
        let first = lines
            .by_ref()
            .map(|line| line.unwrap())
            .find(|line| parse_printed_line(line).is_some())
            .expect("the child process confirms a query");
        std::thread::sleep(Duration::from_micros(200 + round * 731 % 5000));
        child.kill().unwrap();
        child.wait().unwrap();
        // The last line may be cut off too. An id that is cut short equals one that was printed before.
        for line in std::iter::once(first).chain(lines.map_while(Result::ok)) {
            if let Some((word, id)) = parse_printed_line(&line) {
                last_printed.insert(id, word);
            }
        }
        let stored = JournalState::replay(&std::fs::read(&path).unwrap());
        let stored = stored.state.unexpired(0);
        let stored: Vec<u64> = stored.iter().map(|query| query.record.query_key).collect();
        for (id, word) in last_printed.iter().filter(|(_, word)| **word == "started") {
            assert!(
                stored.contains(id),
                "round {round}: query {id} was {word} but is not stored"
            );
        }
        let highest = last_printed.keys().max().copied().unwrap_or(0);
        assert!(
            stored.iter().all(|id| *id <= highest + 1),
            "round {round}: a query is stored that was never written"
        );
        first_id = highest + 2;
    }
    assert!(
        last_printed.len() > 60,
        "only {} ids were printed in all rounds",
        last_printed.len()
    );
    std::fs::remove_file(path).unwrap();
}
