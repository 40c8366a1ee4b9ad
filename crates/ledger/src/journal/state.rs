//! Computes the state of a journal from its records, and decides when the journal is compacted.

use crate::records::{Boot, Record, StartedQuery, RECORD_BYTES};
use std::collections::HashMap;

/// Number of records below which a journal is never compacted.
const MIN_RECORDS_TO_COMPACT: usize = 1024;
/// Number of records per unexpired query above which a journal is compacted.
const MAX_RECORDS_PER_QUERY: usize = 4;
/// Factor by which the number of records grows between two checks for compaction.
const RECHECK_GROWTH_FACTOR: usize = 2;

/// Marks a time of an earlier boot, which is not comparable with the present clock.
const NOT_COMPARABLE_MS: u64 = u64::MAX;

/// A query in a journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveredQuery {
    /// The query as recorded before it was sent, with the latest time of all its started records.
    pub record: StartedQuery,
    /// Whether the journal says that no attempt of the query runs any more.
    pub finished: bool,
}

/// Result of reading a stored journal.
#[derive(Clone, Debug, Default)]
pub struct Replay {
    /// State after all valid records.
    pub state: JournalState,
    /// Length in bytes up to the end of the last valid record. Anything after it is an incomplete write that a crash
    /// interrupted.
    pub valid_bytes: usize,
    /// Number of damaged records before the last valid one.
    pub damaged_records: usize,
}

/// The queries of a journal, and the number of records that they take.
#[derive(Clone, Debug, Default)]
pub struct JournalState {
    queries: HashMap<u64, RecoveredQuery>,
    /// Boot to whose clock the times belong; `None` until a boot is recorded.
    boot: Option<Boot>,
    /// Number of records in the journal, including those that the last compaction wrote.
    record_count: usize,
    /// Number of records at which the next check for compaction is made.
    next_compaction_check: usize,
}

impl JournalState {
    /// Reads a stored journal up to its last valid record, which may be followed by an incomplete write. Damaged
    /// records before it are skipped and counted.
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

    /// Updates the state with the next record of the journal.
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

    /// Adds the query, or updates it if it is already known: the later of both times counts, and the query is no longer
    /// finished.
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

    /// Sets the present boot. The times of queries from another boot become not comparable.
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

    /// Continues the journal in `boot`, whose clock shows `now_ms`. A query that was, or may have been, recorded in
    /// another boot counts as possibly running for the longest query run of either boot from now on.
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

    /// Returns the queries that may still run at `now_ms`, finished or not, ordered by query key.
    pub fn unexpired(&self, now_ms: u64) -> Vec<RecoveredQuery> {
        let unexpired = self
            .queries
            .values()
            .filter(|query| query.record.may_run_until_ms > now_ms);
        let mut queries: Vec<_> = unexpired.copied().collect();
        queries.sort_unstable_by_key(|query| query.record.query_key);
        queries
    }

    /// Returns whether the journal should be compacted because most of its records are of no use any more. Expired
    /// queries are removed first.
    ///
    /// The interval between two checks grows with the number of records, so that the cost per record stays low.
    pub fn forget_expired_and_check_compaction(&mut self, now_ms: u64) -> bool {
        if self.record_count < self.next_compaction_check.max(MIN_RECORDS_TO_COMPACT) {
            return false;
        }
        self.remove_expired(now_ms);
        self.next_compaction_check = RECHECK_GROWTH_FACTOR * self.record_count;
        self.record_count > MAX_RECORDS_PER_QUERY * self.queries.len()
    }

    /// Removes the expired queries, and returns the bytes of a journal that holds only the others.
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
        self.next_compaction_check = RECHECK_GROWTH_FACTOR * records.len();
        records.iter().flat_map(Record::encode).collect()
    }

    fn remove_expired(&mut self, now_ms: u64) {
        self.queries
            .retain(|_, query| query.record.may_run_until_ms > now_ms);
    }
}
