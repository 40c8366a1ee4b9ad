//! One gateway on the wire: its indices, its batches in hand, and the module that decides for it.

use crate::frame::{Address, Read, Reader, Reply};
use crate::link::Entry;
use garnetwall::api::{
    Answer, Batch, Condition, End, Listed, Next, Note, Outcome, Place, Report, Wait,
};
use garnetwall::control::Control;
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
    control: Control,
    fields: Vec<String>,
    groups: usize,
    engines: BTreeMap<Address, usize>,
    addresses: Vec<Address>,
    ids: BTreeMap<u32, u32>,
    in_hand: BTreeMap<u32, InHand>,
    next_id: u32,
    wake: Option<f64>,
    /// Answers owed on outcomes of this round, in their order.
    owed: Vec<(u32, Answer)>,
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
            groups: settings.groups.len(),
            control: Control::new(settings, seed, clock),
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
            return self.control.list_failed();
        }
        let mut lines = Vec::with_capacity(list.len());
        for e in list {
            let condition = match e.condition {
                1 => Condition::Ready,
                2 => Condition::Draining,
                _ => Condition::Gone,
            };
            let engine = self.engine(e.address);
            lines.push(Listed {
                engine,
                zone: e.zone,
                kind: e.kind,
                cell: e.cell,
                came_up: e.came_up,
                condition,
                holders: None,
            });
        }
        self.control.listed(&lines, kind != 0);
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
            self.control.client_gone(clock, id);
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
        i.control.take(
            clock,
            Batch {
                id,
                group,
                tenant,
                key,
                left,
                cost,
                memory,
                data_set,
                lane: None,
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
            i.control.report(clock, engine, report);
        }
        let Some(&id) = i.ids.get(&wire) else {
            return Ok(());
        };
        let outcome = Outcome {
            engine,
            dispatch,
            end,
            latency,
            closed,
            work,
            memory,
        };
        let next = i.control.after(clock, id, outcome);
        if let Some(b) = i.in_hand.get_mut(&id) {
            b.out = b.out.saturating_sub(1);
            b.closed |= closed;
        }
        match next {
            Next::Nothing => i.let_go(id),
            Next::Over(answer) => i.owed.push((id, answer)),
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
        i.control.probed(clock, engine, end);
        if let Some(report) = i.report(&values) {
            i.control.report(clock, engine, report);
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
            1 => share(amount).map(Note::Done),
            2 => share(amount).map(Note::Spills),
            3 if amount == 2.0 => Some(Note::WaitsForLoad),
            3 => Some(Note::WaitsForMemory),
            other => return r.fault(format!("unknown sort of note {other}")),
        };
        if let Some((i, note)) = known.zip(note) {
            if let Some(&id) = i.ids.get(&wire) {
                i.control.noted(clock, id, dispatch, note);
            }
        }
        Ok(())
    }

    fn report(&self, values: &[f64]) -> Option<Report> {
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
            match self.control.wait(clock) {
                Wait::Ask(id) => self.ask(who, id, clock, reply),
                Wait::Probe(engine) => {
                    reply.record(who, 6).extend(self.addresses[engine]);
                }
                Wait::Subscribe => reply.record(who, 11).push(1),
                Wait::Cancel(id, dispatch) => {
                    if let Some(b) = self.in_hand.get(&id) {
                        let body = reply.record(who, 4);
                        body.extend(b.wire.to_be_bytes());
                        body.extend((dispatch as u16).to_be_bytes());
                    }
                }
                Wait::For(span) => return self.arm(who, clock, span, reply),
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
            Place::NotYet => {}
            Place::Over(answer) => self.answer(who, id, answer, reply),
            Place::To {
                engine,
                time_out,
                memory,
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

    fn answer(&mut self, who: u16, id: u32, answer: Answer, reply: &mut Reply) {
        if let Some(b) = self.in_hand.get(&id) {
            match answer {
                Answer::PushBack { come_back } => {
                    let body = reply.record(who, 2);
                    body.extend(b.wire.to_be_bytes());
                    body.extend((come_back.unwrap_or(0.0) * 1000.0).to_be_bytes());
                }
                Answer::Error => reply.record(who, 3).extend(b.wire.to_be_bytes()),
            }
        }
        self.close(id);
    }
}

fn end(r: &mut Reader) -> Read<End> {
    Ok(match r.u8("outcome")? {
        0 => End::Returned,
        13 => End::Errored,
        8 => End::Full,
        4 => End::TimedOut,
        14 => End::Unconnected,
        10 => End::Broken,
        1 => End::Withdrawn,
        9 => End::Moot,
        other => return r.fault(format!("unknown outcome {other}")),
    })
}

fn report_values(r: &mut Reader) -> Read<Vec<f64>> {
    let n = usize::from(r.u8("report length")?);
    (0..n).map(|_| r.f32("report value")).collect()
}
