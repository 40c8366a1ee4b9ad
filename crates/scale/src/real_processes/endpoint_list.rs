//! The list of stub engines, and its changes as the log's events.

use serde_json::{json, Value};
use std::net::{IpAddr, Ipv4Addr};

/// Stands in an event's text for the port at which the reader reaches the engines.
pub const PORT_PLACEHOLDER: &str = "@PORT@";
/// Engines' addresses are 127.32.0.1 and up.
const FIRST_ADDRESS: u32 = 0x7f20_0001;

/// Cells that the engines of all zones are spread over.
const CELLS: usize = 8;

/// One engine: the place of its address in the list, and which engine at that address it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EngineId {
    pub slot: usize,
    pub generation: u32,
}

impl std::fmt::Display for EngineId {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "e{}-{}", self.slot, self.generation)
    }
}

/// The address of a slot.
pub fn address(slot: usize) -> Ipv4Addr {
    Ipv4Addr::from(FIRST_ADDRESS + slot as u32)
}

/// The slot of an address.
pub fn slot(address: IpAddr) -> Option<usize> {
    match address.to_canonical() {
        IpAddr::V4(address) => u32::from(address)
            .checked_sub(FIRST_ADDRESS)
            .map(|n| n as usize),
        IpAddr::V6(_) => None,
    }
}

/// An engine's state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Serving,
    Draining,
    Deleted,
}

impl State {
    pub fn word(self) -> &'static str {
        match self {
            State::Serving => "SERVING",
            State::Draining => "DRAINING",
            State::Deleted => "DELETED",
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    generation: u32,
    state: State,
    weight: u32,
    started_ms: u64,
}

/// The whole list as it is published.
#[derive(Clone, Debug)]
pub struct EndpointList {
    slots: Vec<Slot>,
    zones: usize,
}

impl EndpointList {
    pub fn new(engines: usize, zones: usize) -> EndpointList {
        let slot = Slot {
            generation: 0,
            state: State::Serving,
            weight: 1,
            started_ms: 0,
        };
        EndpointList {
            slots: vec![slot; engines],
            zones,
        }
    }

    pub fn len(&self) -> usize {
        self.slots.len()
    }

    pub fn zone(&self, slot: usize) -> usize {
        slot % self.zones
    }

    pub fn cell(&self, slot: usize) -> usize {
        slot % CELLS
    }

    pub fn engine(&self, slot: usize) -> EngineId {
        EngineId {
            slot,
            generation: self.slots[slot].generation,
        }
    }

    pub fn state(&self, slot: usize) -> State {
        self.slots[slot].state
    }

    /// Slots whose engine serves.
    pub fn serving(&self) -> Vec<usize> {
        (0..self.slots.len())
            .filter(|slot| self.slots[*slot].state == State::Serving)
            .collect()
    }

    pub fn in_zone(&self, zone: usize) -> Vec<usize> {
        (0..self.slots.len())
            .filter(|slot| self.zone(*slot) == zone)
            .collect()
    }

    pub fn set_state(&mut self, slot: usize, state: State) {
        self.slots[slot].state = state;
    }

    /// Another engine at the same address.
    pub fn replace(&mut self, slot: usize, started_ms: u64) {
        let slot = &mut self.slots[slot];
        slot.generation += 1;
        slot.state = State::Serving;
        slot.started_ms = started_ms;
    }

    /// A change without effect on placement.
    pub fn touch(&mut self, slot: usize) {
        self.slots[slot].weight = self.slots[slot].weight % 8 + 1;
    }

    pub fn entry(&self, slot: usize) -> Value {
        let stored = self.slots[slot];
        json!({"id": self.engine(slot).to_string(), "addr": format!("{}:{PORT_PLACEHOLDER}", address(slot)),
            "zone": format!("z{}", self.zone(slot)), "kind": "std", "cell": self.cell(slot), "state": stored.state.word(),
            "weight": stored.weight, "started_ms": stored.started_ms})
    }

    /// Entries of all engines that are not deleted.
    pub fn entries(&self) -> Vec<Value> {
        let known = (0..self.slots.len()).filter(|slot| self.slots[*slot].state != State::Deleted);
        known.map(|slot| self.entry(slot)).collect()
    }
}

/// An event's data.
pub fn event_data(number: u64, full: bool, entries: &[Value]) -> String {
    json!({"seq": number, "fleet": {"version": number, "full": full, "servers": entries}})
        .to_string()
}
