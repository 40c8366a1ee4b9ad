//! The journal beside a plain model, torn at every byte, failing in the middle, and killed in truth: a process that is
//! ended at random while it writes, over and over.

use garnetwall_ledger::journal::{FileStorage, Journal, JournalStorage, RecoveryCallback};
use garnetwall_ledger::records::{BootRun, JournalState, Record, SentQuery, RECORD_BYTES};
use proptest::collection::vec;
use proptest::prelude::*;
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

fn sent(id: u64) -> SentQuery {
    SentQuery {
        id,
        key: (!id.is_multiple_of(3)).then_some(id % 5),
        until: 1000 + id,
    }
}

fn record() -> impl Strategy<Value = Record> {
    let id = 0u64..20;
    prop_oneof![
        2 => (id.clone(), 0u64..3000).prop_map(|(id, until)| Record::Sent(SentQuery { until, ..sent(id) })),
        1 => id.prop_map(|id| Record::Finished { id }),
    ]
}

/// What is open after these records, worked out by looking back for each id.
fn plain(records: &[Record], now: u64) -> Vec<(SentQuery, bool)> {
    let mut known = Vec::new();
    for id in 0..20 {
        let of = |r: &&Record| {
            matches!(r, Record::Sent(s) if s.id == id) || **r == Record::Finished { id }
        };
        let all: Vec<&Record> = records.iter().filter(of).collect();
        let sent = all.iter().filter_map(|r| match r {
            Record::Sent(s) => Some(*s),
            Record::Finished { .. } | Record::Boot(_) => None,
        });
        let sent: Vec<SentQuery> = sent.collect();
        if let Some(first) = sent.first() {
            let until = sent.iter().map(|s| s.until).max().unwrap_or_default();
            known.push((
                SentQuery { until, ..*first },
                all.last() == Some(&&Record::Finished { id }),
            ));
        }
    }
    known.retain(|(s, _)| s.until > now);
    known
}

proptest! {
    #[test]
    fn a_book_tells_what_the_plain_model_tells(records in vec(record(), 0..200), now in 0u64..3000) {
        let bytes: Vec<u8> = records.iter().flat_map(|r| r.bytes()).collect();
        let (mut book, reading) = JournalState::read(&bytes);
        prop_assert_eq!((reading.good, reading.damaged), (bytes.len(), 0));
        prop_assert_eq!(book.unexpired(now), plain(&records, now));
        let copy = book.compacted(now);
        prop_assert_eq!(JournalState::read(&copy).0.unexpired(now), plain(&records, now), "a copy says the same");
    }

    /// Cut at every byte of its tail: all whole records before it count, nothing else.
    #[test]
    fn a_torn_tail_is_cut(records in vec(record(), 1..8)) {
        let bytes: Vec<u8> = records.iter().flat_map(|r| r.bytes()).collect();
        for cut in 0..=bytes.len() {
            let (book, reading) = JournalState::read(&bytes[..cut]);
            let whole = cut / RECORD_BYTES;
            prop_assert_eq!(reading.good, whole * RECORD_BYTES);
            prop_assert_eq!(book.unexpired(0), plain(&records[..whole], 0));
        }
    }

    #[test]
    fn a_damaged_record_is_told_and_the_others_count(records in vec(record(), 2..20), at in any::<prop::sample::Index>(), bit in 0u8..8) {
        let mut bytes: Vec<u8> = records.iter().flat_map(|r| r.bytes()).collect();
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        let bad = at / RECORD_BYTES;
        let left: Vec<Record> = records.iter().enumerate().filter(|(n, _)| *n != bad).map(|(_, r)| *r).collect();
        let (book, reading) = JournalState::read(&bytes);
        // A damaged key flag or byte is caught by the checksum, wherever it is.
        prop_assert_eq!(book.unexpired(0), plain(&left, 0));
        let last = bad == records.len() - 1;
        prop_assert_eq!(reading.damaged, usize::from(!last));
    }
}

const RUN: BootRun = BootRun { id: 7, span: 5000 };

/// Nobody needs to hear what an earlier process sent.
fn unheard() -> RecoveryCallback {
    Box::new(drop)
}

/// A log that fails at a step, and for as many after it as are told.
#[derive(Clone, Default)]
struct Failing {
    bytes: Arc<Mutex<Vec<u8>>>,
    /// Steps taken, the first that fails, and how many do.
    steps: Arc<Mutex<(usize, usize, usize)>>,
}

impl Failing {
    fn step(&self) -> io::Result<()> {
        let mut steps = self.steps.lock().unwrap();
        steps.0 += 1;
        match (steps.1..steps.1 + steps.2).contains(&steps.0) {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }
}

impl JournalStorage for Failing {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        self.step()?;
        Ok(self.bytes.lock().unwrap().clone())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let written = self.step();
        let half = if written.is_ok() {
            bytes.len()
        } else {
            bytes.len() / 2
        };
        self.bytes.lock().unwrap().extend_from_slice(&bytes[..half]);
        written
    }

    fn sync(&mut self) -> io::Result<()> {
        self.step()
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.step()?;
        *self.bytes.lock().unwrap() = bytes.to_vec();
        Ok(())
    }
}

fn commit(journal: &Journal, id: u64) -> io::Result<()> {
    let (done, ended) = channel();
    journal.record_sent(sent(id), Box::new(move |written| drop(done.send(written))));
    ended.recv().unwrap()
}

/// A run of steps fails, whichever: what was promised is in the log at all times, nothing is promised while it fails, and all is
/// again within two seconds of its return.
#[test]
fn after_a_failed_step_nothing_is_promised_until_a_whole_copy_stands() {
    let cases = (1..=12).flat_map(|first| [1, 3].map(|count| (first, count)));
    let threads: Vec<_> = cases
        .map(|(first, count)| std::thread::spawn(move || fails_at(first, count)))
        .collect();
    threads.into_iter().for_each(|case| case.join().unwrap());
}

fn fails_at(first: usize, count: usize) {
    let log = Failing::default();
    *log.steps.lock().unwrap() = (0, first, count);
    let (journal, begun) = Journal::start(log.clone(), RUN, || 0, unheard());
    assert_eq!(
        begun.is_ok(),
        first > 2,
        "reading and the first copy are steps 1 and 2"
    );
    let mut promised = Vec::new();
    let began = std::time::Instant::now();
    let mut refused = 0;
    for id in 0.. {
        match commit(&journal, id) {
            Ok(()) => promised.push(id),
            Err(_) => refused += 1,
        }
        let open = JournalState::read(&log.bytes.lock().unwrap())
            .0
            .unexpired(0);
        for id in &promised {
            assert!(
                open.contains(&(sent(*id), false)),
                "{first}, {count}: {id} was promised"
            );
        }
        let passed = log.steps.lock().unwrap().0 >= first + count;
        if passed && promised.last() == Some(&id) && promised.len() > 6 {
            break;
        }
        assert!(
            began.elapsed() < Duration::from_secs(2),
            "{first}, {count}: nothing is promised again"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(refused > 0, "{first}, {count}: nothing failed");
}

/// A process in another run of the machine, or in one that is not known, takes each id for its whole span; one in the same run
/// for what is left of it.
#[test]
fn an_end_counts_only_in_the_run_that_it_was_written_in() {
    let mut book = JournalState::default();
    book.resume(RUN, 1_000_000);
    book.add(&Record::Sent(SentQuery {
        until: 1_004_000,
        ..sent(1)
    }));
    let file = book.compacted(1_000_000);
    let left = |run: BootRun, now: u64| {
        let mut book = JournalState::read(&file).0;
        book.resume(run, now);
        book.unexpired(now)
            .first()
            .map(|(sent, _)| sent.until - now)
    };
    assert_eq!(left(RUN, 1_003_000), Some(1000));
    assert_eq!(left(RUN, 1_005_000), None);
    assert_eq!(left(BootRun { id: 8, ..RUN }, 40), Some(5000));
    assert_eq!(left(BootRun { id: 8, ..RUN }, 9_000_000), Some(5000));
    assert_eq!(left(BootRun { id: 0, span: 9000 }, 1_003_000), Some(9000));
    // Written before runs were told: an end in Unix milliseconds.
    let old: Vec<u8> = Record::Sent(SentQuery {
        until: 1_700_000_000_000,
        ..sent(2)
    })
    .bytes()
    .to_vec();
    let mut book = JournalState::read(&old).0;
    book.resume(RUN, 500);
    assert_eq!(book.unexpired(500)[0].0.until, 5500);
}

#[test]
fn what_is_over_is_forgotten_and_the_file_stays_small() {
    let path = std::env::temp_dir().join(format!("garnetwall-compact-{}", std::process::id()));
    // All but the last are past their end.
    let (journal, begun) = Journal::start(FileStorage::new(&path), RUN, || 1_000_000, unheard());
    begun.unwrap();
    for id in 0..20_000u64 {
        let until = if id < 19_990 { 1 } else { u64::MAX };
        let waits = id.is_multiple_of(100);
        if waits {
            commit(&journal, id).unwrap();
        } else {
            journal.record_sent(SentQuery { until, ..sent(id) }, Box::new(|_| ()));
        }
        journal.record_finished(id);
    }
    drop(journal);
    let length = std::fs::metadata(&path).unwrap().len() as usize;
    assert!(length < 12_000 * RECORD_BYTES, "{length}");
    let known = JournalState::read(&std::fs::read(&path).unwrap())
        .0
        .unexpired(1_000_000);
    assert!(known.iter().all(|(_, over)| *over));
    let known: Vec<u64> = known.iter().map(|(s, _)| s.id).collect();
    assert_eq!(known, (19_990..20_000).collect::<Vec<_>>());
    std::fs::remove_file(path).unwrap();
}

/// The process that is killed: it commits ids without end and says each one that is promised.
fn writes_until_killed(path: &Path, from: u64) {
    let (journal, begun) = Journal::start(FileStorage::new(path), RUN, || 0, unheard());
    begun.unwrap();
    for id in from.. {
        commit(&journal, id).unwrap();
        println!("sent {id}");
        if id.is_multiple_of(3) {
            journal.record_finished(id);
            println!("over {id}");
        }
        io::stdout().flush().unwrap();
    }
}

/// Killed at random, 30 times over one file: every id that was promised and not said to be over is there, and an id that
/// was never written is not.
#[test]
fn killed_in_a_loop_nothing_that_was_promised_is_lost() {
    const PATH: &str = "GARNETWALL_JOURNAL_TEST";
    if let Ok(path) = std::env::var(PATH) {
        let (path, from) = path.rsplit_once('=').unwrap();
        return writes_until_killed(Path::new(path), from.parse().unwrap());
    }
    let path = std::env::temp_dir().join(format!("garnetwall-killed-{}", std::process::id()));
    let mut said: HashMap<u64, &str> = HashMap::new();
    let mut from = 0;
    for round in 0..30u64 {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args([
                "--exact",
                "killed_in_a_loop_nothing_that_was_promised_is_lost",
                "--nocapture",
            ])
            .env(PATH, format!("{}={from}", path.display()))
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        // Not before it writes; then somewhere in the middle.
        let is_word = |line: &String| line.contains("sent ") || line.contains("over ");
        let first = lines
            .by_ref()
            .map(|l| l.unwrap())
            .find(is_word)
            .expect("it writes");
        std::thread::sleep(Duration::from_micros(200 + round * 731 % 5000));
        child.kill().unwrap();
        child.wait().unwrap();
        // The last line may be torn, too: it counts only with its end.
        for line in std::iter::once(first).chain(lines.map_while(Result::ok)) {
            let words = line.split_once("sent ").map(|(_, id)| ("sent", id));
            let Some((word, id)) = words.or(line.split_once("over ").map(|(_, id)| ("over", id)))
            else {
                continue;
            };
            let Ok(id) = id.parse::<u64>() else { continue };
            said.insert(id, word);
        }
        let open: Vec<u64> = JournalState::read(&std::fs::read(&path).unwrap())
            .0
            .unexpired(0)
            .iter()
            .map(|(s, _)| s.id)
            .collect();
        for (id, word) in said.iter().filter(|(_, word)| **word == "sent") {
            assert!(
                open.contains(id),
                "round {round}: {id} was {word} and is lost"
            );
        }
        let most = said.keys().max().copied().unwrap_or(0);
        assert!(
            open.iter().all(|id| *id <= most + 1),
            "round {round}: never written"
        );
        from = most + 2;
    }
    assert!(said.len() > 60, "{} ids in all", said.len());
    std::fs::remove_file(path).unwrap();
}
