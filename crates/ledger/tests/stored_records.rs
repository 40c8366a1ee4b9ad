//! Checks that the journal format is unchanged: a stored file from an earlier version is read correctly, and the same
//! records are written as the same bytes.
//!
//! fixtures/interrupted.once-only was written by `garnetwall serve` built from commit 2d094ab, with a plan that names a
//! journal directory, a fake engine and a fake change log on loopback, and a made-up boot id. Clients sent four queries
//! of a `fragile` category with deadlines of at most 60 s. Two were answered, and two were in flight when the process
//! was killed. The file had 224 bytes. Its last 19 bytes were cut off, as by a crash in the middle of the last record.
//!
//! Other truncated, damaged and failing journals are tested in journal.rs. crates/gateway/tests/recovery.rs and wire.rs
//! test that a gateway refuses queries that its journal contains.

use garnetwall_ledger::journal::{
    FileStorage, Journal, JournalState, RecoveredQuery, StartedJournal,
};
use garnetwall_ledger::records::{Boot, Record, StartedQuery};
use std::path::PathBuf;
use std::sync::mpsc::channel;

const STORED: &[u8] = include_bytes!("fixtures/interrupted.once-only");

/// Boot record of the file, which holds the boot id and the longest time for which its queries may run.
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

/// Expected bytes of each record in the file, in hexadecimal, and the record that they encode.
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

/// Decodes hexadecimal digits; other characters are ignored.
fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u32> = hex.chars().filter_map(|c| c.to_digit(16)).collect();
    digits.chunks(2).map(|d| (d[0] * 16 + d[1]) as u8).collect()
}

#[test]
fn records_are_read_and_written_as_they_are_stored() {
    assert_eq!(STORED.len(), 205, "six records and 13 bytes of a seventh");
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
fn an_interrupted_journal_yields_the_started_and_finished_queries() {
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

/// A journal that is started on the stored file passes on its queries, and replaces the file by the same valid records
/// followed by the new one.
#[test]
fn a_journal_resumes_from_the_stored_file() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(format!("stored-{}.once-only", std::process::id()));
    std::fs::write(&path, STORED).unwrap();
    let (recovered, recovery) = channel();
    let storage = FileStorage::new(&path);
    let callback = Box::new(move |all| drop(recovered.send(all)));
    let StartedJournal {
        journal,
        restore_result,
    } = Journal::start(storage, BOOT, || 1_138_170, callback).unwrap();
    restore_result.unwrap();
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
