//! One process on the wire: the numbered engine lists, and the records of a frame handed to their instances.

use crate::frame::{Address, Malformed, Read, Reader, Reply};
use crate::instance::Instance;
use std::collections::BTreeMap;

/// Bytes of one entry of an engine list.
const ENTRY: usize = 25;

#[derive(Clone)]
pub struct Entry {
    pub address: Address,
    pub zone: u32,
    pub came_up: Option<f64>,
    pub kind: usize,
    pub cell: u32,
    pub condition: u8,
}

#[derive(Default)]
pub struct Link {
    instances: BTreeMap<u16, Instance>,
    lists: BTreeMap<u32, Vec<Entry>>,
}

impl Link {
    pub fn round(&mut self, count: u32, clock: f64, body: &[u8]) -> Read<Vec<u8>> {
        let mut r = Reader::new(body);
        let mut heard: Vec<u16> = Vec::new();
        let mut to = None;
        for n in 0..count {
            if r.is_empty() {
                return r.fault(format!("{count} records announced, {n} found"));
            }
            match r.u8("record code")? {
                10 => {
                    let who = r.u16("instance")?;
                    to = Some(who);
                    if !heard.contains(&who) {
                        heard.push(who);
                    }
                }
                11 => {
                    let id = r.u32("list number")?;
                    let list = entries(&mut r)?;
                    self.lists.insert(id, list);
                }
                code => match to {
                    Some(who) => self.event(who, code, clock, &mut r)?,
                    None => return r.fault(format!("record {code} before any instance was named")),
                },
            }
        }
        if !r.is_empty() {
            return r.fault("bytes after the last record");
        }
        let mut reply = Reply::default();
        for who in heard {
            if let Some(instance) = self.instances.get_mut(&who) {
                instance.act(who, clock, &mut reply);
            }
        }
        Ok(reply.frame())
    }

    fn event(&mut self, who: u16, code: u8, clock: f64, r: &mut Reader) -> Read<()> {
        match code {
            12 => {
                let seed = r.u64("seed")?;
                let n = r.u32("settings length")? as usize;
                let text = std::str::from_utf8(r.take(n, "settings")?);
                let text = text.or_else(|_| r.fault("settings: not UTF-8"))?;
                let instance = Instance::new(seed, text, clock).or_else(|what| r.fault(what))?;
                self.instances.insert(who, instance);
                Ok(())
            }
            2 => {
                self.instances.remove(&who);
                Ok(())
            }
            7 => {
                let kind = r.u8("list kind")?;
                r.u32("list version")?;
                let set = r.u32("list number")?;
                if kind > 3 {
                    return r.fault(format!("unknown list kind {kind}"));
                }
                let none = Vec::new();
                let list = match kind {
                    3 => &none,
                    _ => match self.lists.get(&set) {
                        Some(list) => list,
                        None => return r.fault(format!("list number {set} was never declared")),
                    },
                };
                if let Some(i) = self.instances.get_mut(&who) {
                    i.listed(kind, list);
                }
                Ok(())
            }
            _ => {
                let known = self.instances.get_mut(&who);
                Instance::event(known, code, clock, r)
            }
        }
    }
}

fn entries(r: &mut Reader) -> Read<Vec<Entry>> {
    let n = r.u32("list length")? as usize;
    let whole = n.checked_mul(ENTRY).ok_or(Malformed {
        what: "list length: impossible".into(),
        at: 0,
    })?;
    let mut r = Reader::new(r.take(whole, "list entries")?);
    (0..n).map(|_| entry(&mut r)).collect()
}

fn entry(r: &mut Reader) -> Read<Entry> {
    r.f32("size")?;
    let address = r.address()?;
    let zone = u32::from(r.u16("zone")?);
    let came_up = Some(r.time("start time")?).filter(|t| *t != 0.0);
    let kind = usize::from(r.u16("kind")?);
    let cell = u32::from(r.u16("cell")?);
    let condition = r.u8("condition")?;
    if condition > 2 {
        return r.fault(format!("unknown condition {condition}"));
    }
    Ok(Entry {
        address,
        zone,
        came_up,
        kind,
        cell,
        condition,
    })
}
