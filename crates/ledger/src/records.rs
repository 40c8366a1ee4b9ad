//! Encodes the records of the journal: which non-idempotent queries were started, and which of them have finished.
//!
//! Times are milliseconds of a clock that runs evenly while the machine is up and is never set (on Linux `CLOCK_BOOTTIME`).
//! Two processes can compare theirs where both ran in one boot of the machine.
//!
//! A record has [`RECORD_BYTES`] bytes, numbers with the lowest byte first:
//!
//! | bytes | content |
//! |---|---|
//! | 0 | `G` |
//! | 1 | 1 for [`Record::Started`], 2 for [`Record::Finished`], 3 for [`Record::Boot`] |
//! | 2 | 1 where there is an ordering key, else 0 |
//! | 3 | 0 |
//! | 4 to 7 | CRC-32 of all other bytes |
//! | 8 to 15 | id of the query, or of the boot |
//! | 16 to 23 | ordering key, or 0 |
//! | 24 to 31 | [`StartedQuery::may_run_until_ms`], [`Boot::longest_query_run_ms`], or 0 |

use std::ops::Range;
use std::time::Duration;

/// How long after its deadline a non-idempotent query may run: more than the time after which engines drop what nobody
/// polls.
pub const RUN_MARGIN: Duration = Duration::from_secs(5);

/// The size of a record.
pub const RECORD_BYTES: usize = 32;

const MAGIC: u8 = b'G';
const KIND_STARTED: u8 = 1;
const KIND_FINISHED: u8 = 2;
const KIND_BOOT: u8 = 3;

const CHECKSUM: Range<usize> = 4..8;
const ID: Range<usize> = 8..16;
const ORDERING_KEY: Range<usize> = 16..24;
const TIME_MS: Range<usize> = 24..32;

/// The time from one start of the machine to its end, during which times can be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Boot {
    /// Tells it from other boots; 0 where that is not known.
    pub boot_id: u64,
    /// How long a query may run at most after it was sent, in milliseconds.
    pub longest_query_run_ms: u64,
}

/// A non-idempotent query that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartedQuery {
    /// The client's id of the query.
    pub query_key: u64,
    /// Queries of one key run one after the other.
    pub ordering_key: Option<u64>,
    /// The time after which nobody polls the query and nothing of it runs, in milliseconds.
    pub may_run_until_ms: u64,
}

/// A record of the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Record {
    /// The query is about to be sent.
    Started(StartedQuery),
    /// No attempt of the query runs any more, and its client has its answer. Its id counts until its time is over, as a
    /// client may send it again.
    Finished {
        /// The client's id of the query.
        query_key: u64,
    },
    /// The times of all records that follow are of this boot.
    Boot(Boot),
}

impl Record {
    /// The bytes of the record.
    pub fn encode(&self) -> [u8; RECORD_BYTES] {
        let (kind, id, ordering_key, time_ms) = match self {
            Record::Started(query) => (
                KIND_STARTED,
                query.query_key,
                query.ordering_key,
                query.may_run_until_ms,
            ),
            Record::Finished { query_key } => (KIND_FINISHED, *query_key, None, 0),
            Record::Boot(boot) => (KIND_BOOT, boot.boot_id, None, boot.longest_query_run_ms),
        };
        let mut bytes = [0; RECORD_BYTES];
        bytes[0] = MAGIC;
        bytes[1] = kind;
        bytes[2] = u8::from(ordering_key.is_some());
        bytes[ID].copy_from_slice(&id.to_le_bytes());
        bytes[ORDERING_KEY].copy_from_slice(&ordering_key.unwrap_or(0).to_le_bytes());
        bytes[TIME_MS].copy_from_slice(&time_ms.to_le_bytes());
        let checksum = checksum(&bytes);
        bytes[CHECKSUM].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Reads a record; `None` where the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Option<Record> {
        let bytes: [u8; RECORD_BYTES] = bytes.try_into().ok()?;
        let stored_checksum = u32::from_le_bytes(bytes[CHECKSUM].try_into().ok()?);
        if bytes[0] != MAGIC || stored_checksum != checksum(&bytes) {
            return None;
        }
        let id = number(&bytes, ID);
        let time_ms = number(&bytes, TIME_MS);
        match bytes[1] {
            KIND_STARTED => Some(Record::Started(StartedQuery {
                query_key: id,
                ordering_key: (bytes[2] == 1).then(|| number(&bytes, ORDERING_KEY)),
                may_run_until_ms: time_ms,
            })),
            KIND_FINISHED => Some(Record::Finished { query_key: id }),
            KIND_BOOT => Some(Record::Boot(Boot {
                boot_id: id,
                longest_query_run_ms: time_ms,
            })),
            _ => None,
        }
    }
}

fn number(bytes: &[u8; RECORD_BYTES], place: Range<usize>) -> u64 {
    let mut number = [0; 8];
    number.copy_from_slice(&bytes[place]);
    u64::from_le_bytes(number)
}

fn checksum(bytes: &[u8; RECORD_BYTES]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&bytes[..CHECKSUM.start]);
    hasher.update(&bytes[CHECKSUM.end..]);
    hasher.finalize()
}
