//! Encodes and decodes the records of the journal, which list the non-idempotent queries that were started and
//! finished.
//!
//! Times are milliseconds of a monotonic clock that starts with the machine and cannot be set (`CLOCK_BOOTTIME` on
//! Linux). Times of two processes are comparable only if both processes ran in the same boot of the machine.
//!
//! A record has [`RECORD_BYTES`] bytes; numbers are little-endian:
//!
//! | bytes | content |
//! |---|---|
//! | 0 | `G` |
//! | 1 | 1 for [`Record::Started`], 2 for [`Record::Finished`], 3 for [`Record::Boot`] |
//! | 2 | 1 if the query has an ordering key, else 0 |
//! | 3 | 0 |
//! | 4 to 7 | CRC-32 of all other bytes of the record |
//! | 8 to 15 | query key, or boot id in [`Record::Boot`] |
//! | 16 to 23 | ordering key; 0 if there is none |
//! | 24 to 31 | [`StartedQuery::may_run_until_ms`], [`Boot::longest_query_run_ms`], or 0 in [`Record::Finished`] |

use std::ops::Range;
use std::time::Duration;

/// Time after its deadline for which a non-idempotent query counts as possibly running. Longer than the time after
/// which engines drop an attempt that is not polled.
pub const RUN_TIME_MARGIN: Duration = Duration::from_secs(5);

/// Size of an encoded record, in bytes.
pub const RECORD_BYTES: usize = 32;

const MAGIC: u8 = b'G';
const KIND_STARTED: u8 = 1;
const KIND_FINISHED: u8 = 2;
const KIND_BOOT: u8 = 3;

const CHECKSUM: Range<usize> = 4..8;
const ID: Range<usize> = 8..16;
const ORDERING_KEY: Range<usize> = 16..24;
const TIME_MS: Range<usize> = 24..32;

/// One boot of the machine. Times are comparable only within the same boot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Boot {
    /// Identifies the boot; 0 if the id could not be read.
    pub boot_id: u64,
    /// Longest time for which a query may run after it was sent, in milliseconds.
    pub longest_query_run_ms: u64,
}

/// A non-idempotent query that was recorded before it was sent, and so may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartedQuery {
    /// Id that the client gave the query.
    pub query_key: u64,
    /// Key whose queries run one after the other; `None` if the query may run beside any other.
    pub ordering_key: Option<u64>,
    /// Time from which no attempt of the query is polled or runs, in milliseconds of the boot's clock.
    pub may_run_until_ms: u64,
}

/// A record of the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Record {
    /// The query is about to be sent to an engine.
    Started(StartedQuery),
    /// No attempt of the query runs any more, and the client has its answer. The journal keeps the query until
    /// [`StartedQuery::may_run_until_ms`], because the client may send the same id again.
    Finished {
        /// Id that the client gave the query.
        query_key: u64,
    },
    /// The times of all following records, up to the next record of this kind, belong to this boot.
    Boot(Boot),
}

impl Record {
    /// Encodes the record in the layout given in the module documentation.
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

    /// Decodes a record. Returns `None` if `bytes` has another length than [`RECORD_BYTES`] or does not begin with `G`,
    /// the checksum does not match, or the kind is unknown.
    pub fn decode(bytes: &[u8]) -> Option<Record> {
        let bytes: [u8; RECORD_BYTES] = bytes.try_into().ok()?;
        let stored_checksum = u32::from_le_bytes(bytes[CHECKSUM].try_into().ok()?);
        if bytes[0] != MAGIC || stored_checksum != checksum(&bytes) {
            return None;
        }
        let id = read_u64(&bytes, ID);
        let time_ms = read_u64(&bytes, TIME_MS);
        match bytes[1] {
            KIND_STARTED => Some(Record::Started(StartedQuery {
                query_key: id,
                ordering_key: (bytes[2] == 1).then(|| read_u64(&bytes, ORDERING_KEY)),
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

fn read_u64(bytes: &[u8; RECORD_BYTES], range: Range<usize>) -> u64 {
    let mut number = [0; 8];
    number.copy_from_slice(&bytes[range]);
    u64::from_le_bytes(number)
}

fn checksum(bytes: &[u8; RECORD_BYTES]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&bytes[..CHECKSUM.start]);
    hasher.update(&bytes[CHECKSUM.end..]);
    hasher.finalize()
}
