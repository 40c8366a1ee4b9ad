//! Decodes the event records of the protocol into typed values.

use crate::fields::{Address, FieldReader, ReadResult, MILLISECONDS_PER_SECOND};
use crate::protocol::{attempt_end, incoming, progress};
use garnetwall::api::{AttemptEnd, Progress, Query};

/// The length of a stream head, in bytes. Its fields are not used.
const STREAM_HEAD_BYTES: usize = 4 + 2 + 6 + 8;
/// The bit of a query's flags that is set if the query's estimated work is valid.
const HAS_ESTIMATED_WORK: u8 = 1;
/// Measured work and memory share one field. The quotient of the field by this number is the work in milliseconds, the
/// remainder is the memory in units of 4 MB.
const MEASURED_MEMORY_RANGE: u32 = 4096;
const MEASURED_MEMORY_UNIT_MB: f64 = 4.0;

/// An event for an instance, as decoded from one record. `wire_id` is the id of a query on the wire.
pub enum Event {
    QueryArrived {
        wire_id: u32,
        /// The query, whose `id` is 0 until the instance assigns one.
        query: Query,
    },
    ClientLeft {
        wire_id: u32,
    },
    AttemptEnded(WireOutcome),
    AttemptProgressed {
        wire_id: u32,
        attempt: u32,
        progress: Progress,
    },
    HealthCheckEnded {
        address: Address,
        end: AttemptEnd,
        report_values: Vec<f64>,
    },
    TimerExpired,
    /// A record that does not affect any decision.
    Ignored,
}

/// The end of an attempt, with its query and engine as named on the wire.
pub struct WireOutcome {
    pub wire_id: u32,
    pub attempt: u32,
    pub address: Address,
    pub end: AttemptEnd,
    /// Seconds from the start of the attempt to its end; negative values are read as 0.
    pub latency: f64,
    /// True if the query is over for its client, by this end of an attempt or earlier.
    pub query_finished: bool,
    /// The measured work of the attempt, in seconds on one thread; `None` if it was not measured.
    pub work: Option<f64>,
    /// The measured memory of the attempt, in megabytes; `None` if it was not measured.
    pub memory: Option<f64>,
    /// The values of the engine's load report, in the order of the settings; empty if there was none.
    pub report_values: Vec<f64>,
}

/// Decodes the event of a record with this code. `fields` is positioned after the code.
///
/// # Errors
///
/// The code is unknown, a field is missing or a value is invalid.
pub fn read_event(code: u8, fields: &mut FieldReader) -> ReadResult<Event> {
    match code {
        incoming::CLIENT_LEFT => {
            let wire_id = fields.u32("query id")?;
            Ok(Event::ClientLeft { wire_id })
        }
        incoming::PEER_MESSAGE => {
            fields.u32("sender")?;
            let length = usize::from(fields.u16("message length")?);
            fields.bytes(length, "message")?;
            Ok(Event::Ignored)
        }
        incoming::STREAM_HEAD => {
            fields.bytes(STREAM_HEAD_BYTES, "stream head")?;
            Ok(Event::Ignored)
        }
        incoming::TIMER => {
            fields.u64("timer id")?;
            Ok(Event::TimerExpired)
        }
        incoming::OUTCOME => read_outcome(fields).map(Event::AttemptEnded),
        incoming::HEALTH_CHECK => read_health_check(fields),
        incoming::QUERY => {
            let wire_id = fields.u32("query id")?;
            let query = read_query(fields)?;
            Ok(Event::QueryArrived { wire_id, query })
        }
        incoming::PROGRESS => read_progress(fields),
        other => fields.malformed(format!("unknown record code {other}")),
    }
}

/// Reads the fields of a query record after its wire id. The `id` of the returned query is 0.
fn read_query(fields: &mut FieldReader) -> ReadResult<Query> {
    let class = usize::from(fields.u8("query class")?);
    let tenant = fields.u32("tenant")? as usize;
    let ordering_key = Some(fields.u64("ordering key")?).filter(|key| *key != 0);
    let remaining_time = fields.time("remaining time")?;
    let work_milliseconds = fields.f64("estimated work")?;
    let estimated_memory = positive(fields.f32("estimated memory")?);
    let data_set = fields.f32("data set")? as u32;
    let flags = fields.u8("query flags")?;
    let estimated_work = positive(work_milliseconds / MILLISECONDS_PER_SECOND)
        .filter(|_| flags & HAS_ESTIMATED_WORK != 0);
    Ok(Query {
        id: 0,
        class,
        tenant,
        ordering_key,
        remaining_time,
        estimated_work,
        estimated_memory,
        data_set,
        endpoint_subset: None,
    })
}

fn read_outcome(fields: &mut FieldReader) -> ReadResult<WireOutcome> {
    let wire_id = fields.u32("query id")?;
    let attempt = u32::from(fields.u16("attempt number")?);
    let address = fields.address()?;
    let end = read_end(fields)?;
    let latency = fields.time("latency")?.max(0.0);
    let query_finished = fields.u8("query finished")? != 0;
    let measured = fields.u32("measured work and memory")?;
    let work_milliseconds = f64::from(measured / MEASURED_MEMORY_RANGE);
    let memory_units = f64::from(measured % MEASURED_MEMORY_RANGE);
    Ok(WireOutcome {
        wire_id,
        attempt,
        address,
        end,
        latency,
        query_finished,
        work: positive(work_milliseconds / MILLISECONDS_PER_SECOND),
        memory: positive(memory_units * MEASURED_MEMORY_UNIT_MB),
        report_values: read_report_values(fields)?,
    })
}

fn read_health_check(fields: &mut FieldReader) -> ReadResult<Event> {
    let end = read_end(fields)?;
    fields.time("latency")?;
    Ok(Event::HealthCheckEnded {
        address: fields.address()?,
        end,
        report_values: read_report_values(fields)?,
    })
}

/// Reads a progress event of an attempt. Returns [`Event::Ignored`] if the amount is negative or not finite.
fn read_progress(fields: &mut FieldReader) -> ReadResult<Event> {
    let wire_id = fields.u32("query id")?;
    let amount = fields.f32("progress amount")?;
    let attempt = u32::from(fields.u16("attempt number")?);
    fields.address()?;
    let progress = match fields.u8("progress kind")? {
        progress::COMPLETED => not_negative(amount).map(Progress::Completed),
        progress::SPILLING => not_negative(amount).map(Progress::Spilling),
        progress::WAITING if amount == progress::WAITING_FOR_LOAD_AMOUNT => {
            Some(Progress::WaitingForDataLoad)
        }
        progress::WAITING => Some(Progress::WaitingForMemory),
        other => return fields.malformed(format!("unknown progress kind {other}")),
    };
    let Some(progress) = progress else {
        return Ok(Event::Ignored);
    };
    Ok(Event::AttemptProgressed {
        wire_id,
        attempt,
        progress,
    })
}

fn read_end(fields: &mut FieldReader) -> ReadResult<AttemptEnd> {
    let code = fields.u8("end of attempt")?;
    match attempt_end(code) {
        Some(end) => Ok(end),
        None => fields.malformed(format!("unknown code {code} for the end of an attempt")),
    }
}

fn read_report_values(fields: &mut FieldReader) -> ReadResult<Vec<f64>> {
    let count = usize::from(fields.u8("report length")?);
    (0..count).map(|_| fields.f32("report value")).collect()
}

fn positive(value: f64) -> Option<f64> {
    Some(value).filter(|value| value.is_finite() && *value > 0.0)
}

fn not_negative(value: f64) -> Option<f64> {
    Some(value).filter(|value| value.is_finite() && *value >= 0.0)
}
