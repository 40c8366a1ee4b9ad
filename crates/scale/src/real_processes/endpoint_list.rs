//! The list of stub engines, and the JSON data of the change log's events about it.

use serde_json::{json, Value};
use std::net::{IpAddr, Ipv4Addr};

/// Placeholder in an event's data for the port at which the reader reaches the engines.
pub const PORT_PLACEHOLDER: &str = "@PORT@";
/// Address of slot 0, 127.32.0.1. Each further slot has the next address.
const FIRST_ADDRESS: u32 = 0x7f20_0001;

/// Number of cells over which the engines of all zones are spread.
const CELLS: usize = 8;

/// Identifies an engine by the slot of its address and by its generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EngineId {
    /// Index of the engine's address in the list.
    pub slot: usize,
    /// Number of engines that had this address before.
    pub generation: u32,
}

impl std::fmt::Display for EngineId {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "e{}-{}", self.slot, self.generation)
    }
}

/// Returns the address of a slot.
pub fn address(slot: usize) -> Ipv4Addr {
    Ipv4Addr::from(FIRST_ADDRESS + slot as u32)
}

/// Returns the slot of an address. The slot may lie beyond the end of the list; `None` for addresses below the range.
pub fn slot(address: IpAddr) -> Option<usize> {
    match address.to_canonical() {
        IpAddr::V4(address) => u32::from(address)
            .checked_sub(FIRST_ADDRESS)
            .map(|n| n as usize),
        IpAddr::V6(_) => None,
    }
}

/// State of an engine in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Serving,
    Draining,
    Deleted,
}

impl State {
    /// Value of `state` in the change log.
    pub fn name(self) -> &'static str {
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

/// The endpoint list that the change log publishes.
#[derive(Clone, Debug)]
pub struct EndpointList {
    slots: Vec<Slot>,
    zones: usize,
}

impl EndpointList {
    /// Creates a list of serving engines that are spread evenly over the zones.
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

    /// Returns the slots whose engine is in state [`State::Serving`].
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

    /// Replaces the slot's engine by a new one at the same address, serving since `started_ms` of the Unix epoch.
    pub fn replace(&mut self, slot: usize, started_ms: u64) {
        let slot = &mut self.slots[slot];
        slot.generation += 1;
        slot.state = State::Serving;
        slot.started_ms = started_ms;
    }

    /// Changes the engine's weight, which has no effect on placement.
    pub fn reweight(&mut self, slot: usize) {
        self.slots[slot].weight = self.slots[slot].weight % 8 + 1;
    }

    pub fn entry(&self, slot: usize) -> Value {
        let stored = self.slots[slot];
        json!({"id": self.engine(slot).to_string(), "addr": format!("{}:{PORT_PLACEHOLDER}", address(slot)),
            "zone": format!("z{}", self.zone(slot)), "kind": "std", "cell": self.cell(slot), "state": stored.state.name(),
            "weight": stored.weight, "started_ms": stored.started_ms})
    }

    /// Returns the entries of all engines that are not deleted.
    pub fn entries(&self) -> Vec<Value> {
        let known = (0..self.slots.len()).filter(|slot| self.slots[*slot].state != State::Deleted);
        known.map(|slot| self.entry(slot)).collect()
    }
}

/// Renders the data of the event `number`. `full` tells readers that the entries are the whole list.
pub fn event_data(number: u64, full: bool, entries: &[Value]) -> String {
    json!({"seq": number, "fleet": {"version": number, "full": full, "servers": entries}})
        .to_string()
}
