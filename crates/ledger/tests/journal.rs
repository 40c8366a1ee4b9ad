//! The journal beside a plain model, torn at every byte, failing in the middle, and killed in truth: a process that is
//! ended at random while it writes, over and over.

use garnetwall_ledger::book::{Book, Record, Sent, RECORD};
use garnetwall_ledger::journal::{FileLog, Journal, Log};
use proptest::collection::vec;
use proptest::prelude::*;
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

fn sent(id: u64) -> Sent {
    Sent { id, key: (!id.is_multiple_of(3)).then_some(id % 5), until: 1000 + id }
}

fn record() -> impl Strategy<Value = Record> {
    let id = 0u64..20;
    prop_oneof![
        2 => (id.clone(), 0u64..3000).prop_map(|(id, until)| Record::Sent(Sent { until, ..sent(id) })),
        1 => id.prop_map(|id| Record::Over { id }),
    ]
}

/// What is open after these records, worked out by looking back for each id.
fn plain(records: &[Record], now: u64) -> Vec<(Sent, bool)> {
    let mut known = Vec::new();
    for id in 0..20 {
        let of = |r: &&Record| matches!(r, Record::Sent(s) if s.id == id) || **r == Record::Over { id };
        let all: Vec<&Record> = records.iter().filter(of).collect();
        let sent = all.iter().filter_map(|r| match r {
            Record::Sent(s) => Some(*s),
            Record::Over { .. } => None,
        });
        let sent: Vec<Sent> = sent.collect();
        if let Some(first) = sent.first() {
            let until = sent.iter().map(|s| s.until).max().unwrap_or_default();
            known.push((Sent { until, ..*first }, all.last() == Some(&&Record::Over { id })));
        }
    }
    known.retain(|(s, _)| s.until > now);
    known
}

proptest! {
    #[test]
    fn a_book_tells_what_the_plain_model_tells(records in vec(record(), 0..200), now in 0u64..3000) {
        let bytes: Vec<u8> = records.iter().flat_map(|r| r.bytes()).collect();
        let (mut book, reading) = Book::read(&bytes);
        prop_assert_eq!((reading.good, reading.damaged), (bytes.len(), 0));
        prop_assert_eq!(book.known(now), plain(&records, now));
        let copy = book.copy(now);
        prop_assert_eq!(Book::read(&copy).0.known(now), plain(&records, now), "a copy says the same");
    }

    /// Cut at every byte of its tail: all whole records before it count, nothing else.
    #[test]
    fn a_torn_tail_is_cut(records in vec(record(), 1..8)) {
        let bytes: Vec<u8> = records.iter().flat_map(|r| r.bytes()).collect();
        for cut in 0..=bytes.len() {
            let (book, reading) = Book::read(&bytes[..cut]);
            let whole = cut / RECORD;
            prop_assert_eq!(reading.good, whole * RECORD);
            prop_assert_eq!(book.known(0), plain(&records[..whole], 0));
        }
    }

    #[test]
    fn a_damaged_record_is_told_and_the_others_count(records in vec(record(), 2..20), at in any::<prop::sample::Index>(), bit in 0u8..8) {
        let mut bytes: Vec<u8> = records.iter().flat_map(|r| r.bytes()).collect();
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        let bad = at / RECORD;
        let left: Vec<Record> = records.iter().enumerate().filter(|(n, _)| *n != bad).map(|(_, r)| *r).collect();
        let (book, reading) = Book::read(&bytes);
        // A damaged key flag or byte is caught by the checksum, wherever it is.
        prop_assert_eq!(book.known(0), plain(&left, 0));
        let last = bad == records.len() - 1;
        prop_assert_eq!(reading.damaged, usize::from(!last));
    }
}

/// A log that fails at a step.
#[derive(Clone, Default)]
struct Failing {
    bytes: Arc<Mutex<Vec<u8>>>,
    steps: Arc<Mutex<(usize, usize)>>,
}

impl Failing {
    fn step(&self) -> io::Result<()> {
        let mut steps = self.steps.lock().unwrap();
        steps.0 += 1;
        match steps.0 == steps.1 {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }
}

impl Log for Failing {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let written = self.step();
        let half = if written.is_ok() { bytes.len() } else { bytes.len() / 2 };
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
    journal.sent(sent(id), Box::new(move |written| drop(done.send(written))));
    ended.recv().unwrap()
}

/// Each step fails once: what was promised is in the log, and after a failure nothing is promised.
#[test]
fn after_a_failed_write_or_sync_nothing_is_promised() {
    for fails in 1..=12 {
        let log = Failing::default();
        log.steps.lock().unwrap().1 = fails;
        let (journal, open) = Journal::start(log.clone(), &[], || 0);
        assert!(open.is_empty());
        let promised: Vec<u64> = (0..6).filter(|id| commit(&journal, *id).is_ok()).collect();
        drop(journal);
        let first_bad = (fails as u64 - 1) / 2;
        assert_eq!(promised, (0..6.min(first_bad)).collect::<Vec<_>>(), "step {fails}");
        let open = Book::read(&log.bytes.lock().unwrap()).0.known(0);
        for id in promised {
            assert!(open.contains(&(sent(id), false)), "step {fails}: {id} was promised");
        }
    }
}

#[test]
fn what_is_over_is_forgotten_and_the_file_stays_small() {
    let path = std::env::temp_dir().join(format!("garnetwall-compact-{}", std::process::id()));
    let (log, held) = FileLog::open(&path).unwrap();
    // All but the last are past their end.
    let (journal, _) = Journal::start(log, &held, || 1_000_000);
    for id in 0..20_000u64 {
        let until = if id < 19_990 { 1 } else { u64::MAX };
        let waits = id.is_multiple_of(100);
        if waits {
            commit(&journal, id).unwrap();
        } else {
            journal.sent(Sent { until, ..sent(id) }, Box::new(|_| ()));
        }
        journal.over(id);
    }
    drop(journal);
    let length = std::fs::metadata(&path).unwrap().len() as usize;
    assert!(length < 12_000 * RECORD, "{length}");
    let (_, held) = FileLog::open(&path).unwrap();
    let known = Book::read(&held).0.known(1_000_000);
    assert!(known.iter().all(|(_, over)| *over));
    let known: Vec<u64> = known.iter().map(|(s, _)| s.id).collect();
    assert_eq!(known, (19_990..20_000).collect::<Vec<_>>());
    std::fs::remove_file(path).unwrap();
}

/// The process that is killed: it commits ids without end and says each one that is promised.
fn writes_until_killed(path: &Path, from: u64) {
    let (log, held) = FileLog::open(path).unwrap();
    let (journal, _) = Journal::start(log, &held, || 0);
    for id in from.. {
        commit(&journal, id).unwrap();
        println!("sent {id}");
        if id.is_multiple_of(3) {
            journal.over(id);
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
            .args(["--exact", "killed_in_a_loop_nothing_that_was_promised_is_lost", "--nocapture"])
            .env(PATH, format!("{}={from}", path.display()))
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        // Not before it writes; then somewhere in the middle.
        let is_word = |line: &String| line.contains("sent ") || line.contains("over ");
        let first = lines.by_ref().map(|l| l.unwrap()).find(is_word).expect("it writes");
        std::thread::sleep(Duration::from_micros(200 + round * 731 % 5000));
        child.kill().unwrap();
        child.wait().unwrap();
        // The last line may be torn, too: it counts only with its end.
        for line in std::iter::once(first).chain(lines.map_while(Result::ok)) {
            let words = line.split_once("sent ").map(|(_, id)| ("sent", id));
            let Some((word, id)) = words.or(line.split_once("over ").map(|(_, id)| ("over", id))) else {
                continue;
            };
            let Ok(id) = id.parse::<u64>() else { continue };
            said.insert(id, word);
        }
        let (log, held) = FileLog::open(&path).unwrap();
        drop(log);
        let open: Vec<u64> = Book::read(&held).0.known(0).iter().map(|(s, _)| s.id).collect();
        for (id, word) in said.iter().filter(|(_, word)| **word == "sent") {
            assert!(open.contains(id), "round {round}: {id} was {word} and is lost");
        }
        let most = said.keys().max().copied().unwrap_or(0);
        assert!(open.iter().all(|id| *id <= most + 1), "round {round}: never written");
        from = most + 2;
    }
    assert!(said.len() > 60, "{} ids in all", said.len());
    std::fs::remove_file(path).unwrap();
}
