//! A journal that the program wrote before its code was renamed is read, and what is written is the same to the byte.
//!
//! fixtures/interrupted.once-only was written by `garnetwall serve` built from commit 2d094ab, with a plan that names
//! a journal directory, between a stand-in engine and a stand-in change log on loopback. Its clients sent four
//! queries of a `fragile` category, of at most 60 s: two got their answers, two were out when the process was
//! killed. The boot identity that it read was a made-up one. The file had 224 bytes; its last 19 were cut off, as a crash in the middle of the last record leaves it.
//! How a journal is torn, damaged or fails in other places is tested in journal.rs; that a gateway refuses what its
//! journal holds, in crates/gateway/tests/recovery.rs and wire.rs.

use garnetwall_ledger::journal::{
    FileStorage, Journal, JournalState, RecoveredQuery, StartedJournal,
};
use garnetwall_ledger::records::{Boot, Record, StartedQuery};
use std::path::PathBuf;
use std::sync::mpsc::channel;

const STORED: &[u8] = include_bytes!("fixtures/interrupted.once-only");

/// The boot in which it was written, and the time that its queries may run at most.
const BOOT: Boot = Boot {
    boot_id: 0x2b7e_1516_28ae_4d2a,
    longest_query_run_ms: 65_000,
};
const FIRST: StartedQuery = StartedQuery {
    query_key: 0x9b1f_03aa_5c7e_2d01,
    ordering_key: None,
    may_run_until_ms: 1_138_390,
};
const SECOND: StartedQuery = StartedQuery {
    query_key: 0x9b1f_03aa_5c7e_2d02,
    ordering_key: Some(0x7f3a_9c21_e0b4_d655),
    may_run_until_ms: 1_138_171,
};
const THIRD: StartedQuery = StartedQuery {
    query_key: 0x9b1f_03aa_5c7e_2d03,
    ordering_key: Some(0x7f3a_9c21_e0b4_d655),
    may_run_until_ms: 1_138_171,
};

/// Each record as it stands in the file.
const RECORDS: [(&str, Record); 6] = [
    (
        "47030000 2d3709d8 2a4dae2816157e2b 0000000000000000 e8fd000000000000",
        Record::Boot(BOOT),
    ),
    (
        "47010000 70d89109 012d7e5caa031f9b 0000000000000000 d65e110000000000",
        Record::Started(FIRST),
    ),
    (
        "47020000 fcc917c1 012d7e5caa031f9b 0000000000000000 0000000000000000",
        Record::Finished {
            query_key: FIRST.query_key,
        },
    ),
    (
        "47010100 295e2f2a 022d7e5caa031f9b 55d6b4e0219c3a7f fb5d110000000000",
        Record::Started(SECOND),
    ),
    (
        "47020000 d4600999 022d7e5caa031f9b 0000000000000000 0000000000000000",
        Record::Finished {
            query_key: SECOND.query_key,
        },
    ),
    (
        "47010100 0e3b0aab 032d7e5caa031f9b 55d6b4e0219c3a7f fb5d110000000000",
        Record::Started(THIRD),
    ),
];

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u32> = hex.chars().filter_map(|c| c.to_digit(16)).collect();
    digits.chunks(2).map(|d| (d[0] * 16 + d[1]) as u8).collect()
}

#[test]
fn records_are_read_and_written_as_they_are_stored() {
    assert_eq!(STORED.len(), 205, "six records, and 13 bytes of a seventh");
    for ((hex, record), stored) in RECORDS.iter().zip(STORED.chunks(32)) {
        assert_eq!(bytes(hex), stored);
        assert_eq!(Record::decode(stored), Some(*record));
        assert_eq!(record.encode(), stored);
    }
    assert_eq!(Record::decode(&STORED[192..]), None);
}

fn recovered(record: StartedQuery, finished: bool) -> RecoveredQuery {
    RecoveredQuery { record, finished }
}

fn all_recovered() -> [RecoveredQuery; 3] {
    [(FIRST, true), (SECOND, true), (THIRD, false)]
        .map(|(record, finished)| recovered(record, finished))
}

#[test]
fn an_interrupted_journal_says_what_was_sent_and_what_is_finished() {
    let replay = JournalState::replay(STORED);
    assert_eq!((replay.valid_bytes, replay.damaged_records), (192, 0));
    assert_eq!(replay.state.unexpired(0), all_recovered());
    assert_eq!(replay.state.unexpired(1_138_171), [recovered(FIRST, true)]);
}

#[test]
fn in_another_boot_each_query_may_run_for_the_longest_time() {
    let mut state = JournalState::replay(STORED).state;
    let boot = Boot {
        boot_id: 7,
        longest_query_run_ms: 1_000,
    };
    state.resume(boot, 5_000);
    let mut all = all_recovered();
    for query in &mut all {
        query.record.may_run_until_ms = 5_000 + BOOT.longest_query_run_ms;
    }
    assert_eq!(state.unexpired(5_000), all);
}

/// A journal that goes on from the stored file: what is recovered, and the bytes that then stand in its place.
#[test]
fn a_journal_resumes_from_the_stored_file() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(format!("stored-{}.once-only", std::process::id()));
    std::fs::write(&path, STORED).unwrap();
    let (recovered, recovery) = channel();
    let storage = FileStorage::new(&path);
    let callback = Box::new(move |all| drop(recovered.send(all)));
    let StartedJournal { journal, restored } =
        Journal::start(storage, BOOT, || 1_138_170, callback);
    restored.unwrap();
    assert_eq!(recovery.recv().unwrap(), all_recovered());
    journal.record_finished(THIRD.query_key);
    drop(journal);
    let mut expected = STORED[..192].to_vec();
    let finished = "47020000 f3052c18 032d7e5caa031f9b 0000000000000000 0000000000000000";
    expected.extend(bytes(finished));
    let stored = std::fs::read(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(stored, expected, "{stored:02x?}");
}
