//! What must outlive a process: once-only batches that were sent, and which of them are proved over. Records and what
//! they add up to, without I/O; `journal` writes them.
//!
//! Times are milliseconds of a clock that goes evenly while the machine runs and is never set (on Linux `CLOCK_BOOTTIME`).
//! Those of two processes can be compared where both ran in one run of the machine. Where that is not known, each id counts
//! for its whole span after the new start, whatever any wall clock says.

use std::collections::HashMap;
use std::time::Duration;

/// For so long past its limit a once-only batch counts as one that may run: more than the bound of what nobody asks for.
pub const RUN_MARGIN: Duration = Duration::from_secs(5);

/// Bytes of a record: a mark (1), its kind (1), whether it has a key (1), 0 (1), a checksum of the rest (4), id (8), key
/// (8), until (8); numbers with the lowest byte first.
pub const RECORD_BYTES: usize = 32;
const MARK: u8 = b'G';
const SENT: u8 = 1;
const OVER: u8 = 2;
const RUN: u8 = 3;

/// In place of an end on a clock that can't be compared with that of the process that reads it.
const NOT_COMPARABLE: u64 = u64::MAX;

/// A run of the machine, from its start to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BootRun {
    /// What tells it from other runs; 0 where that is not known.
    pub id: u64,
    /// Milliseconds that an id counts at most from when it is sent.
    pub span: u64,
}

/// A once-only batch that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentQuery {
    pub id: u64,
    pub key: Option<u64>,
    /// Milliseconds of the clock: after that nobody asks for it, and nothing of it runs.
    pub until: u64,
}

/// A line of the book.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Record {
    /// It is about to go out.
    Sent(SentQuery),
    /// No dispatch of it runs any more, and its client has its answer. Its id still counts until its end, as a client
    /// may come with it again.
    Finished { id: u64 },
    /// Ends that follow are on the clock of this run of the machine.
    Boot(BootRun),
}

impl Record {
    pub fn bytes(&self) -> [u8; RECORD_BYTES] {
        let (kind, id, key, until) = match self {
            Record::Sent(s) => (SENT, s.id, s.key, s.until),
            Record::Finished { id } => (OVER, *id, None, 0),
            Record::Boot(run) => (RUN, run.id, None, run.span),
        };
        let mut out = [0; RECORD_BYTES];
        (out[0], out[1], out[2]) = (MARK, kind, u8::from(key.is_some()));
        out[8..16].copy_from_slice(&id.to_le_bytes());
        out[16..24].copy_from_slice(&key.unwrap_or(0).to_le_bytes());
        out[24..32].copy_from_slice(&until.to_le_bytes());
        let sum = sum(&out);
        out[4..8].copy_from_slice(&sum.to_le_bytes());
        out
    }

    /// A record from its bytes; none where they are not one.
    pub fn read(bytes: &[u8]) -> Option<Record> {
        let bytes: [u8; RECORD_BYTES] = bytes.try_into().ok()?;
        let number = |at: usize| u64::from_le_bytes(std::array::from_fn(|n| bytes[at + n]));
        let told = u32::from_le_bytes(std::array::from_fn(|n| bytes[4 + n]));
        if bytes[0] != MARK || told != sum(&bytes) {
            return None;
        }
        let key = (bytes[2] == 1).then(|| number(16));
        match bytes[1] {
            SENT => Some(Record::Sent(SentQuery {
                id: number(8),
                key,
                until: number(24),
            })),
            OVER => Some(Record::Finished { id: number(8) }),
            RUN => Some(Record::Boot(BootRun {
                id: number(8),
                span: number(24),
            })),
            _ => None,
        }
    }
}

fn sum(bytes: &[u8; RECORD_BYTES]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&bytes[..4]);
    sum.update(&bytes[8..]);
    sum.finalize()
}

/// What was read of a journal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// Bytes up to which it is good: what follows was cut off by a crash.
    pub good: usize,
    /// Records in between that are damaged.
    pub damaged: usize,
}

/// What the records add up to.
#[derive(Clone, Debug, Default)]
pub struct JournalState {
    /// Each with whether it is over.
    known: HashMap<u64, (SentQuery, bool)>,
    /// The run of the machine on whose clock their ends are.
    run: Option<BootRun>,
    /// Records since the last copy.
    records: usize,
    /// How many there are when it is next looked whether they are of use.
    look_at: usize,
}

/// Records beyond which a book that is mostly over is written anew.
const COPY_FROM: usize = 1024;

impl JournalState {
    /// Reads a journal. Its tail is cut off after the last record that is whole, wherever a crash has torn it.
    pub fn read(bytes: &[u8]) -> (JournalState, Reading) {
        let (mut book, mut reading, mut bad) = (JournalState::default(), Reading::default(), 0);
        for (n, chunk) in bytes.chunks(RECORD_BYTES).enumerate() {
            match Record::read(chunk) {
                Some(record) => {
                    book.add(&record);
                    reading.damaged += std::mem::take(&mut bad);
                    reading.good = (n + 1) * RECORD_BYTES;
                }
                None => bad += 1,
            }
        }
        (book, reading)
    }

    pub fn add(&mut self, record: &Record) {
        self.records += 1;
        match record {
            // A further dispatch of a batch keeps the later end.
            Record::Sent(s) => {
                let (old, over) = self.known.entry(s.id).or_insert((*s, false));
                old.until = old.until.max(s.until);
                *over = false;
            }
            Record::Finished { id } => {
                if let Some((_, over)) = self.known.get_mut(id) {
                    *over = true;
                }
            }
            Record::Boot(run) => {
                if self.run.is_some_and(|old| old.id != run.id) {
                    self.known
                        .values_mut()
                        .for_each(|(s, _)| s.until = NOT_COMPARABLE);
                }
                self.run = Some(*run);
            }
        }
    }

    /// Goes on in a run of the machine, whose clock says `now`: what was written in another one, or may have been, counts for
    /// its whole span from now on.
    pub fn resume(&mut self, run: BootRun, now: u64) {
        let same = self.run.is_some_and(|old| old.id == run.id && run.id != 0);
        let span = self.run.map_or(0, |old| old.span).max(run.span);
        for (sent, _) in self.known.values_mut() {
            if !same || sent.until == NOT_COMPARABLE {
                sent.until = now.saturating_add(span);
            }
        }
        self.run = Some(BootRun { span, ..run });
    }

    /// Batches that were sent and whose end is not past, each with whether it is proved over.
    pub fn unexpired(&self, now: u64) -> Vec<(SentQuery, bool)> {
        let mut known: Vec<_> = self
            .known
            .values()
            .filter(|(s, _)| s.until > now)
            .copied()
            .collect();
        known.sort_unstable_by_key(|(s, _)| s.id);
        known
    }

    /// Whether most of its records are of no use any more. It looks the closer the more there are, so that looking
    /// costs little for each record.
    pub fn is_stale(&mut self, now: u64) -> bool {
        if self.records < self.look_at.max(COPY_FROM) {
            return false;
        }
        self.known.retain(|_, (s, _)| s.until > now);
        self.look_at = 2 * self.records;
        self.records > 4 * self.known.len()
    }

    /// The book with what is past its end forgotten.
    pub fn compacted(&mut self, now: u64) -> Vec<u8> {
        self.known.retain(|_, (s, _)| s.until > now);
        let records = self.unexpired(now).into_iter().flat_map(|(s, over)| {
            let ended = over.then_some(Record::Finished { id: s.id });
            std::iter::once(Record::Sent(s)).chain(ended)
        });
        let records: Vec<Record> = self
            .run
            .map(Record::Boot)
            .into_iter()
            .chain(records)
            .collect();
        (self.records, self.look_at) = (records.len(), 2 * records.len());
        records.iter().flat_map(Record::bytes).collect()
    }
}
