//! One gateway on the wire: its indices, its batches in hand, and the module that decides for it.

use crate::frame::{Address, Read, Reader, Reply};
use crate::link::Entry;
use garnetwall::api::{
    AttemptEnd, AttemptOutcome, Endpoint, EndpointState, FinalAnswer, FollowUp, LoadReport,
    NextAction, Placement, Progress, Query,
};
use garnetwall::controller::AdmissionController;
use garnetwall_settings::{decode, Decoded, Flat};
use std::collections::BTreeMap;

/// The wire names a priority with every grant; the module sets none, and this is what holds where none is
/// set.
const USUAL_PRIORITY: u8 = 1;

/// Calls answered in one round before the rest waits for the next; the module never comes near it.
const CALLS: usize = 1_000_000;

/// A batch in hand, until it is closed and every dispatch has its outcome.
struct InHand {
    wire: u32,
    out: u32,
    closed: bool,
}

pub struct Instance {
    control: AdmissionController,
    fields: Vec<String>,
    groups: usize,
    engines: BTreeMap<Address, usize>,
    addresses: Vec<Address>,
    ids: BTreeMap<u32, u32>,
    in_hand: BTreeMap<u32, InHand>,
    next_id: u32,
    wake: Option<f64>,
    /// Answers owed on outcomes of this round, in their order.
    owed: Vec<(u32, FinalAnswer)>,
}

fn positive(v: f64) -> Option<f64> {
    Some(v).filter(|v| v.is_finite() && *v > 0.0)
}

fn share(v: f64) -> Option<f64> {
    Some(v).filter(|v| v.is_finite() && *v >= 0.0)
}

impl Instance {
    pub fn new(seed: u64, text: &str, clock: f64) -> Result<Self, String> {
        let decoded = Flat::from_text(text).and_then(|flat| decode(&flat));
        let Decoded {
            settings, fields, ..
        } = decoded.map_err(|fault| fault.to_string())?;
        Ok(Instance {
            groups: settings.classes.len(),
            control: AdmissionController::new(settings, seed, clock),
            fields,
            engines: BTreeMap::new(),
            addresses: Vec::new(),
            ids: BTreeMap::new(),
            in_hand: BTreeMap::new(),
            next_id: 0,
            wake: None,
            owed: Vec::new(),
        })
    }

    fn engine(&mut self, address: Address) -> usize {
        let next = self.addresses.len();
        let index = *self.engines.entry(address).or_insert(next);
        if index == next {
            self.addresses.push(address);
        }
        index
    }

    pub fn listed(&mut self, kind: u8, list: &[Entry]) {
        if kind == 3 {
            return self.control.endpoint_list_failed();
        }
        let mut lines = Vec::with_capacity(list.len());
        for e in list {
            let condition = match e.condition {
                1 => EndpointState::Ready,
                2 => EndpointState::Draining,
                _ => EndpointState::Removed,
            };
            let engine = self.engine(e.address);
            lines.push(Endpoint {
                engine,
                zone: e.zone,
                kind: e.kind,
                cell: e.cell,
                started_at: e.came_up,
                state: condition,
                gateways: None,
            });
        }
        self.control.update_endpoints(&lines, kind != 0);
    }

    /// Decodes one event; one for an instance that is not up is read and passed over.
    pub fn event(known: Option<&mut Instance>, code: u8, clock: f64, r: &mut Reader) -> Read<()> {
        match code {
            1 => {
                let req = r.u32("batch id")?;
                if let Some(i) = known {
                    i.client_gone(req, clock);
                }
            }
            3 => {
                r.u32("sender")?;
                let n = usize::from(r.u16("message length")?);
                r.take(n, "message")?;
            }
            4 => {
                r.take(4 + 2 + 6 + 8, "head of a stream")?;
            }
            5 => {
                r.u64("timer")?;
                if let Some(i) = known {
                    i.wake = None;
                }
            }
            6 => Self::outcome(known, clock, r)?,
            8 => Self::probed(known, clock, r)?,
            9 => Self::taken(known, clock, r)?,
            13 => Self::noted(known, clock, r)?,
            other => return r.fault(format!("unknown record code {other}")),
        }
        Ok(())
    }

    fn client_gone(&mut self, req: u32, clock: f64) {
        if let Some(&id) = self.ids.get(&req) {
            self.control.client_left(clock, id);
            self.close(id);
        }
    }

    fn close(&mut self, id: u32) {
        if let Some(b) = self.in_hand.get_mut(&id) {
            b.closed = true;
        }
        self.let_go(id);
    }

    fn let_go(&mut self, id: u32) {
        if let Some(b) = self.in_hand.get(&id).filter(|b| b.closed && b.out == 0) {
            self.ids.remove(&b.wire);
            self.in_hand.remove(&id);
        }
    }

    fn taken(known: Option<&mut Self>, clock: f64, r: &mut Reader) -> Read<()> {
        let wire = r.u32("batch id")?;
        let group = usize::from(r.u8("service group")?);
        let tenant = r.u32("tenant")? as usize;
        let key = Some(r.u64("key")?).filter(|k| *k != 0);
        let left = r.time("time left")?;
        let cost = r.f64("cost")?;
        let memory = positive(r.f32("memory")?);
        let data_set = r.f32("data set")? as u32;
        let marks = r.u8("marks")?;
        let cost = positive(cost / 1000.0).filter(|_| marks & 1 != 0);
        let Some(i) = known else { return Ok(()) };
        if group >= i.groups {
            return r.fault(format!("unknown service group {group}"));
        }
        if i.ids.contains_key(&wire) {
            return r.fault(format!("batch id {wire} used again"));
        }
        let id = i.next_id;
        i.next_id += 1;
        i.ids.insert(wire, id);
        i.in_hand.insert(
            id,
            InHand {
                wire,
                out: 0,
                closed: false,
            },
        );
        i.control.admit(
            clock,
            Query {
                id,
                class: group,
                tenant,
                ordering_key: key,
                remaining_time: left,
                estimated_work: cost,
                estimated_memory: memory,
                data_set,
                endpoint_subset: None,
            },
        );
        Ok(())
    }

    fn outcome(known: Option<&mut Self>, clock: f64, r: &mut Reader) -> Read<()> {
        let wire = r.u32("batch id")?;
        let dispatch = u32::from(r.u16("dispatch")?);
        let address = r.address()?;
        let end = end(r)?;
        let latency = r.time("latency")?.max(0.0);
        let closed = r.u8("closed")? != 0;
        let told = r.u32("told work")?;
        let values = report_values(r)?;
        let Some(i) = known else { return Ok(()) };
        let work = positive(f64::from(told / 4096) / 1000.0);
        let memory = positive(f64::from(told % 4096) * 4.0);
        let engine = i.engine(address);
        if let Some(report) = i.report(&values) {
            i.control.load_reported(clock, engine, report);
        }
        let Some(&id) = i.ids.get(&wire) else {
            return Ok(());
        };
        let outcome = AttemptOutcome {
            engine,
            attempt: dispatch,
            end,
            latency,
            query_finished: closed,
            work,
            memory,
        };
        let next = i.control.attempt_ended(clock, id, outcome);
        if let Some(b) = i.in_hand.get_mut(&id) {
            b.out = b.out.saturating_sub(1);
            b.closed |= closed;
        }
        match next {
            FollowUp::Nothing => i.let_go(id),
            FollowUp::Answer(answer) => i.owed.push((id, answer)),
        }
        Ok(())
    }

    fn probed(known: Option<&mut Self>, clock: f64, r: &mut Reader) -> Read<()> {
        let end = end(r)?;
        r.time("latency")?;
        let address = r.address()?;
        let values = report_values(r)?;
        let Some(i) = known else { return Ok(()) };
        let engine = i.engine(address);
        i.control.health_check_ended(clock, engine, end);
        if let Some(report) = i.report(&values) {
            i.control.load_reported(clock, engine, report);
        }
        Ok(())
    }

    fn noted(known: Option<&mut Self>, clock: f64, r: &mut Reader) -> Read<()> {
        let wire = r.u32("batch id")?;
        let amount = r.f32("amount")?;
        let dispatch = u32::from(r.u16("dispatch")?);
        r.address()?;
        let sort = r.u8("sort of note")?;
        let note = match sort {
            1 => share(amount).map(Progress::Completed),
            2 => share(amount).map(Progress::Spilling),
            3 if amount == 2.0 => Some(Progress::WaitingForLoad),
            3 => Some(Progress::WaitingForMemory),
            other => return r.fault(format!("unknown sort of note {other}")),
        };
        if let Some((i, note)) = known.zip(note) {
            if let Some(&id) = i.ids.get(&wire) {
                i.control.attempt_progressed(clock, id, dispatch, note);
            }
        }
        Ok(())
    }

    fn report(&self, values: &[f64]) -> Option<LoadReport> {
        garnetwall_settings::report(
            self.fields
                .iter()
                .map(String::as_str)
                .zip(values.iter().copied()),
        )
    }

    /// Asks the module until it wants to wait, then sets the one timer that wakes it.
    pub fn act(&mut self, who: u16, clock: f64, reply: &mut Reply) {
        for (id, answer) in std::mem::take(&mut self.owed) {
            self.answer(who, id, answer, reply);
        }
        for _ in 0..CALLS {
            match self.control.next_action(clock) {
                NextAction::Place(id) => self.ask(who, id, clock, reply),
                NextAction::HealthCheck(engine) => {
                    reply.record(who, 6).extend(self.addresses[engine]);
                }
                NextAction::Subscribe => reply.record(who, 11).push(1),
                NextAction::Cancel {
                    query: id,
                    attempt: dispatch,
                } => {
                    if let Some(b) = self.in_hand.get(&id) {
                        let body = reply.record(who, 4);
                        body.extend(b.wire.to_be_bytes());
                        body.extend((dispatch as u16).to_be_bytes());
                    }
                }
                NextAction::Wait(span) => return self.arm(who, clock, span, reply),
            }
        }
    }

    fn arm(&mut self, who: u16, clock: f64, span: f64, reply: &mut Reply) {
        let at = clock + span;
        if self.wake.is_some_and(|w| w <= at) {
            return;
        }
        self.wake = Some(at);
        let body = reply.record(who, 5);
        body.extend(0u64.to_be_bytes());
        body.extend((span * 1000.0).to_be_bytes());
    }

    fn ask(&mut self, who: u16, id: u32, clock: f64, reply: &mut Reply) {
        match self.control.place(clock, id) {
            Placement::Wait => {}
            Placement::Answer(answer) => self.answer(who, id, answer, reply),
            Placement::Attempt {
                engine,
                response_timeout: time_out,
                memory_grant: memory,
                ..
            } => {
                let Some(b) = self.in_hand.get_mut(&id) else {
                    return;
                };
                b.out += 1;
                if let Some(memory) = memory {
                    let body = reply.record(who, 13);
                    body.extend(b.wire.to_be_bytes());
                    body.extend((memory as f32).to_be_bytes());
                    body.push(USUAL_PRIORITY);
                }
                let body = reply.record(who, 1);
                body.extend(b.wire.to_be_bytes());
                body.extend(self.addresses[engine]);
                body.extend((time_out * 1000.0).to_be_bytes());
            }
        }
    }

    fn answer(&mut self, who: u16, id: u32, answer: FinalAnswer, reply: &mut Reply) {
        if let Some(b) = self.in_hand.get(&id) {
            match answer {
                FinalAnswer::Rejected {
                    retry_after: come_back,
                } => {
                    let body = reply.record(who, 2);
                    body.extend(b.wire.to_be_bytes());
                    body.extend((come_back.unwrap_or(0.0) * 1000.0).to_be_bytes());
                }
                FinalAnswer::Failed => reply.record(who, 3).extend(b.wire.to_be_bytes()),
            }
        }
        self.close(id);
    }
}

fn end(r: &mut Reader) -> Read<AttemptEnd> {
    Ok(match r.u8("outcome")? {
        0 => AttemptEnd::Succeeded,
        13 => AttemptEnd::Failed,
        8 => AttemptEnd::Rejected,
        4 => AttemptEnd::TimedOut,
        14 => AttemptEnd::ConnectFailed,
        10 => AttemptEnd::ConnectionLost,
        1 => AttemptEnd::Cancelled,
        9 => AttemptEnd::NotNeeded,
        other => return r.fault(format!("unknown outcome {other}")),
    })
}

fn report_values(r: &mut Reader) -> Read<Vec<f64>> {
    let n = usize::from(r.u8("report length")?);
    (0..n).map(|_| r.f32("report value")).collect()
}
