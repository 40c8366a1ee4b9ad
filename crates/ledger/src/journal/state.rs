//! What the records of a journal add up to.

use crate::records::{Boot, Record, StartedQuery, RECORD_BYTES};
use std::collections::HashMap;

/// A journal with fewer records is never compacted.
const MIN_RECORDS_TO_COMPACT: usize = 1024;
/// A journal with more records for each query that may run is compacted.
const MAX_RECORDS_PER_QUERY: usize = 4;
/// By how much a journal that is not compacted grows before it is looked through again.
const RECHECK_GROWTH: usize = 2;

/// In place of a time that can't be compared with the clock of this process.
const NOT_COMPARABLE_MS: u64 = u64::MAX;

/// A query that a journal holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveredQuery {
    /// As it was recorded before it was sent.
    pub record: StartedQuery,
    /// No attempt of it runs any more.
    pub finished: bool,
}

/// A journal as it was read.
#[derive(Clone, Debug, Default)]
pub struct Replay {
    /// What its records add up to.
    pub state: JournalState,
    /// The bytes up to the end of its last valid record: a crash has interrupted what follows.
    pub valid_bytes: usize,
    /// Records before that which are damaged.
    pub damaged_records: usize,
}

/// The queries of a journal.
#[derive(Clone, Debug, Default)]
pub struct JournalState {
    queries: HashMap<u64, RecoveredQuery>,
    /// The boot whose clock the times are of.
    boot: Option<Boot>,
    /// Records since the last compaction.
    record_count: usize,
    /// How many records there are when it is next checked whether they need compaction.
    next_compaction_check: usize,
}

impl JournalState {
    /// Reads a journal up to its last valid record, wherever a crash has interrupted it. Damaged records before that are
    /// passed over.
    pub fn replay(bytes: &[u8]) -> Replay {
        let mut replay = Replay::default();
        let mut damaged_since_valid = 0;
        for (index, chunk) in bytes.chunks(RECORD_BYTES).enumerate() {
            let Some(record) = Record::decode(chunk) else {
                damaged_since_valid += 1;
                continue;
            };
            replay.state.apply(&record);
            replay.damaged_records += damaged_since_valid;
            replay.valid_bytes = (index + 1) * RECORD_BYTES;
            damaged_since_valid = 0;
        }
        replay
    }

    /// Applies a record.
    pub fn apply(&mut self, record: &Record) {
        self.record_count += 1;
        match record {
            Record::Started(started) => self.apply_started(started),
            Record::Finished { query_key } => {
                if let Some(query) = self.queries.get_mut(query_key) {
                    query.finished = true;
                }
            }
            Record::Boot(boot) => self.apply_boot(*boot),
        }
    }

    /// A further attempt of a query keeps the later time.
    fn apply_started(&mut self, started: &StartedQuery) {
        let query = self
            .queries
            .entry(started.query_key)
            .or_insert(RecoveredQuery {
                record: *started,
                finished: false,
            });
        query.record.may_run_until_ms = query.record.may_run_until_ms.max(started.may_run_until_ms);
        query.finished = false;
    }

    fn apply_boot(&mut self, boot: Boot) {
        if self
            .boot
            .is_some_and(|before| before.boot_id != boot.boot_id)
        {
            for query in self.queries.values_mut() {
                query.record.may_run_until_ms = NOT_COMPARABLE_MS;
            }
        }
        self.boot = Some(boot);
    }

    /// Continues in a boot whose clock says `now_ms`. A query that was, or may have been, recorded in another boot may run for
    /// the longest time of both from now on.
    pub fn resume(&mut self, boot: Boot, now_ms: u64) {
        let same_boot = boot.boot_id != 0
            && self
                .boot
                .is_some_and(|before| before.boot_id == boot.boot_id);
        let longest_before_ms = self.boot.map_or(0, |before| before.longest_query_run_ms);
        let longest_query_run_ms = longest_before_ms.max(boot.longest_query_run_ms);
        for query in self.queries.values_mut() {
            if !same_boot || query.record.may_run_until_ms == NOT_COMPARABLE_MS {
                query.record.may_run_until_ms = now_ms.saturating_add(longest_query_run_ms);
            }
        }
        self.boot = Some(Boot {
            longest_query_run_ms,
            ..boot
        });
    }

    /// The queries whose time is not over, ordered by query key.
    pub fn unexpired(&self, now_ms: u64) -> Vec<RecoveredQuery> {
        let unexpired = self
            .queries
            .values()
            .filter(|query| query.record.may_run_until_ms > now_ms);
        let mut queries: Vec<_> = unexpired.copied().collect();
        queries.sort_unstable_by_key(|query| query.record.query_key);
        queries
    }

    /// Forgets the queries whose time is over, and returns whether most records are of no use any more. The more records there are
    /// the rarer it looks through them, so that each record costs little.
    pub fn forget_expired_and_check_compaction(&mut self, now_ms: u64) -> bool {
        if self.record_count < self.next_compaction_check.max(MIN_RECORDS_TO_COMPACT) {
            return false;
        }
        self.remove_expired(now_ms);
        self.next_compaction_check = RECHECK_GROWTH * self.record_count;
        self.record_count > MAX_RECORDS_PER_QUERY * self.queries.len()
    }

    /// Forgets the queries whose time is over, and returns the bytes of a journal that holds the others.
    pub fn compacted(&mut self, now_ms: u64) -> Vec<u8> {
        self.remove_expired(now_ms);
        let mut records: Vec<Record> = self.boot.map(Record::Boot).into_iter().collect();
        for query in self.unexpired(now_ms) {
            records.push(Record::Started(query.record));
            if query.finished {
                records.push(Record::Finished {
                    query_key: query.record.query_key,
                });
            }
        }
        self.record_count = records.len();
        self.next_compaction_check = RECHECK_GROWTH * records.len();
        records.iter().flat_map(Record::encode).collect()
    }

    fn remove_expired(&mut self, now_ms: u64) {
        self.queries
            .retain(|_, query| query.record.may_run_until_ms > now_ms);
    }
}
