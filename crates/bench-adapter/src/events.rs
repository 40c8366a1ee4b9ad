//! Events of the wire, decoded and handed to an instance's decision module. Those for an instance that is not attached
//! are read and passed over.

use crate::fields::{Address, FieldReader, ReadResult};
use crate::instance::{Instance, OwedAnswer};
use crate::protocol::{attempt_end, incoming, progress};
use garnetwall::api::{AttemptEnd, AttemptOutcome, FollowUp, LoadReport, Progress, Query};

/// Bytes of a stream's head that are passed over.
const STREAM_HEAD_BYTES: usize = 4 + 2 + 6 + 8;
/// Bit of a query's flags that says that its estimated work is of use.
const HAS_ESTIMATED_WORK: u8 = 1;
/// Measured work and memory share a field: divided by this it is work in milliseconds, the remainder is memory in units of
/// 4 MB.
const MEASURED_MEMORY_RANGE: u32 = 4096;
const MEASURED_MEMORY_UNIT_MB: f64 = 4.0;

impl Instance {
    /// Decodes one event and applies it.
    ///
    /// # Errors
    ///
    /// It is malformed, or repeats the id of an open query.
    pub fn process(
        instance: Option<&mut Instance>,
        code: u8,
        clock: f64,
        fields: &mut FieldReader,
    ) -> ReadResult<()> {
        match code {
            incoming::CLIENT_LEFT => client_left(instance, clock, fields),
            incoming::PEER_MESSAGE => {
                fields.u32("sender")?;
                let length = usize::from(fields.u16("message length")?);
                fields.bytes(length, "message")?;
                Ok(())
            }
            incoming::STREAM_HEAD => {
                fields.bytes(STREAM_HEAD_BYTES, "head of a stream")?;
                Ok(())
            }
            incoming::TIMER => {
                fields.u64("timer")?;
                if let Some(instance) = instance {
                    instance.timer_at = None;
                }
                Ok(())
            }
            incoming::OUTCOME => outcome(instance, clock, fields),
            incoming::HEALTH_CHECK => health_check_ended(instance, clock, fields),
            incoming::QUERY => query_arrived(instance, clock, fields),
            incoming::PROGRESS => attempt_progressed(instance, clock, fields),
            other => fields.malformed(format!("unknown record code {other}")),
        }
    }

    fn load_report(&self, values: &[f64]) -> Option<LoadReport> {
        let names = self.report_fields.iter().map(String::as_str);
        garnetwall_settings::decode_load_report(names.zip(values.iter().copied()))
    }
}

fn client_left(
    instance: Option<&mut Instance>,
    clock: f64,
    fields: &mut FieldReader,
) -> ReadResult<()> {
    let wire_id = fields.u32("batch id")?;
    let Some(instance) = instance else {
        return Ok(());
    };
    if let Some(&id) = instance.ids.get(&wire_id) {
        instance.controller.client_left(clock, id);
        instance.finish(id);
    }
    Ok(())
}

fn query_arrived(
    instance: Option<&mut Instance>,
    clock: f64,
    fields: &mut FieldReader,
) -> ReadResult<()> {
    let wire_id = fields.u32("batch id")?;
    let query = read_query(fields)?;
    let Some(instance) = instance else {
        return Ok(());
    };
    if query.class >= instance.class_count {
        return fields.malformed(format!("unknown service group {}", query.class));
    }
    if instance.ids.contains_key(&wire_id) {
        return fields.malformed(format!("batch id {wire_id} used again"));
    }
    let id = instance.open(wire_id);
    instance.controller.admit(clock, Query { id, ..query });
    Ok(())
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
    let estimated_work =
        positive(work_milliseconds / 1000.0).filter(|_| flags & HAS_ESTIMATED_WORK != 0);
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

/// The end of an attempt as the wire has it.
struct WireOutcome {
    wire_id: u32,
    attempt: u32,
    address: Address,
    end: AttemptEnd,
    latency: f64,
    query_finished: bool,
    work: Option<f64>,
    memory: Option<f64>,
    report_values: Vec<f64>,
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
        work: positive(work_milliseconds / 1000.0),
        memory: positive(memory_units * MEASURED_MEMORY_UNIT_MB),
        report_values: read_report_values(fields)?,
    })
}

fn outcome(
    instance: Option<&mut Instance>,
    clock: f64,
    fields: &mut FieldReader,
) -> ReadResult<()> {
    let read = read_outcome(fields)?;
    let Some(instance) = instance else {
        return Ok(());
    };
    let engine = instance.engine(read.address);
    if let Some(report) = instance.load_report(&read.report_values) {
        instance.controller.load_reported(clock, engine, report);
    }
    let Some(&id) = instance.ids.get(&read.wire_id) else {
        return Ok(());
    };
    let outcome = AttemptOutcome {
        engine,
        attempt: read.attempt,
        end: read.end,
        latency: read.latency,
        query_finished: read.query_finished,
        work: read.work,
        memory: read.memory,
    };
    let follow_up = instance.controller.attempt_ended(clock, id, outcome);
    instance.attempt_ended(id, read.query_finished);
    match follow_up {
        FollowUp::Nothing => instance.forget_if_over(id),
        FollowUp::Answer(answer) => instance.owed_answers.push(OwedAnswer { query: id, answer }),
    }
    Ok(())
}

fn health_check_ended(
    instance: Option<&mut Instance>,
    clock: f64,
    fields: &mut FieldReader,
) -> ReadResult<()> {
    let end = read_end(fields)?;
    fields.time("latency")?;
    let address = fields.address()?;
    let report_values = read_report_values(fields)?;
    let Some(instance) = instance else {
        return Ok(());
    };
    let engine = instance.engine(address);
    instance.controller.health_check_ended(clock, engine, end);
    if let Some(report) = instance.load_report(&report_values) {
        instance.controller.load_reported(clock, engine, report);
    }
    Ok(())
}

fn attempt_progressed(
    instance: Option<&mut Instance>,
    clock: f64,
    fields: &mut FieldReader,
) -> ReadResult<()> {
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
    let (Some(instance), Some(progress)) = (instance, progress) else {
        return Ok(());
    };
    if let Some(&id) = instance.ids.get(&wire_id) {
        instance
            .controller
            .attempt_progressed(clock, id, attempt, progress);
    }
    Ok(())
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
