//! Events of the wire, decoded into typed values.

use crate::fields::{Address, FieldReader, ReadResult, MILLISECONDS_PER_SECOND};
use crate::protocol::{attempt_end, incoming, progress};
use garnetwall::api::{AttemptEnd, Progress, Query};

/// Bytes of a stream's head that are passed over.
const STREAM_HEAD_BYTES: usize = 4 + 2 + 6 + 8;
/// Bit of a query's flags that says that its estimated work is of use.
const HAS_ESTIMATED_WORK: u8 = 1;
/// Measured work and memory share a field: divided by this it is work in milliseconds, the remainder is memory in units of
/// 4 MB.
const MEASURED_MEMORY_RANGE: u32 = 4096;
const MEASURED_MEMORY_UNIT_MB: f64 = 4.0;

/// What a record tells an instance. Queries are named by their id on the wire.
pub enum Event {
    QueryArrived {
        wire_id: u32,
        /// Its `id` is not given yet.
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
    /// Nothing that a decision depends on.
    Ignored,
}

/// The end of an attempt as the wire has it.
pub struct WireOutcome {
    pub wire_id: u32,
    pub attempt: u32,
    pub address: Address,
    pub end: AttemptEnd,
    /// In seconds.
    pub latency: f64,
    pub query_finished: bool,
    /// In seconds on one thread.
    pub work: Option<f64>,
    /// In megabytes.
    pub memory: Option<f64>,
    pub report_values: Vec<f64>,
}

/// Decodes the event of a record.
///
/// # Errors
///
/// The code is unknown, or a field is malformed.
pub fn read_event(code: u8, fields: &mut FieldReader) -> ReadResult<Event> {
    match code {
        incoming::CLIENT_LEFT => {
            let wire_id = fields.u32("batch id")?;
            Ok(Event::ClientLeft { wire_id })
        }
        incoming::PEER_MESSAGE => {
            fields.u32("sender")?;
            let length = usize::from(fields.u16("message length")?);
            fields.bytes(length, "message")?;
            Ok(Event::Ignored)
        }
        incoming::STREAM_HEAD => {
            fields.bytes(STREAM_HEAD_BYTES, "head of a stream")?;
            Ok(Event::Ignored)
        }
        incoming::TIMER => {
            fields.u64("timer")?;
            Ok(Event::TimerExpired)
        }
        incoming::OUTCOME => read_outcome(fields).map(Event::AttemptEnded),
        incoming::HEALTH_CHECK => read_health_check(fields),
        incoming::QUERY => {
            let wire_id = fields.u32("batch id")?;
            let query = read_query(fields)?;
            Ok(Event::QueryArrived { wire_id, query })
        }
        incoming::PROGRESS => read_progress(fields),
        other => fields.malformed(format!("unknown record code {other}")),
    }
}

/// A query's fields after its id; its number is not given yet.
fn read_query(fields: &mut FieldReader) -> ReadResult<Query> {
    let class = usize::from(fields.u8("service group")?);
    let tenant = fields.u32("tenant")? as usize;
    let ordering_key = Some(fields.u64("key")?).filter(|key| *key != 0);
    let remaining_time = fields.time("time left")?;
    let work_milliseconds = fields.f64("cost")?;
    let estimated_memory = positive(fields.f32("memory")?);
    let data_set = fields.f32("data set")? as u32;
    let flags = fields.u8("marks")?;
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
    let wire_id = fields.u32("batch id")?;
    let attempt = u32::from(fields.u16("dispatch")?);
    let address = fields.address()?;
    let end = read_end(fields)?;
    let latency = fields.time("latency")?.max(0.0);
    let query_finished = fields.u8("closed")? != 0;
    let measured = fields.u32("told work")?;
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

/// A note on the progress of an attempt; one with an impossible amount is ignored.
fn read_progress(fields: &mut FieldReader) -> ReadResult<Event> {
    let wire_id = fields.u32("batch id")?;
    let amount = fields.f32("amount")?;
    let attempt = u32::from(fields.u16("dispatch")?);
    fields.address()?;
    let progress = match fields.u8("sort of note")? {
        progress::COMPLETED => not_negative(amount).map(Progress::Completed),
        progress::SPILLING => not_negative(amount).map(Progress::Spilling),
        progress::WAITING if amount == progress::WAITING_FOR_LOAD_AMOUNT => {
            Some(Progress::WaitingForDataLoad)
        }
        progress::WAITING => Some(Progress::WaitingForMemory),
        other => return fields.malformed(format!("unknown sort of note {other}")),
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
    let code = fields.u8("outcome")?;
    match attempt_end(code) {
        Some(end) => Ok(end),
        None => fields.malformed(format!("unknown outcome {code}")),
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
