//! The pool of engines that all roles use, with zones, kinds and cells as at the target size.

use garnetwall_subset::{
    EngineFacts, ListedEngine, ListedState, PlacementClass, RetryScope, SubsetSettings,
};
use serde_json::{json, Value};

/// Number of zones at the target size.
pub const ZONES: u64 = 21;
/// Cores of an engine, by its kind.
pub const KIND_CORES: [f64; 2] = [8.0, 16.0];
/// Number of engines that share a cell.
const CELL_ENGINES: u64 = 20;

/// An engine of the pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolEngine {
    pub number: u64,
    pub zone: u32,
    pub kind: usize,
    pub cell: u32,
}

/// Returns the engine with a number.
pub fn engine(number: u64) -> PoolEngine {
    let kind = (number / ZONES) as usize % KIND_CORES.len();
    PoolEngine {
        number,
        zone: (number % ZONES) as u32,
        kind,
        cell: (number / CELL_ENGINES) as u32,
    }
}

impl PoolEngine {
    pub fn id(&self) -> String {
        format!("engine-{:05}", self.number)
    }

    /// Returns the engine's entry for a catalog.
    pub fn listed_engine(&self, state: ListedState) -> ListedEngine {
        let cores = KIND_CORES[self.kind];
        let kind = self.kind as u32;
        let facts = EngineFacts {
            zone: self.zone,
            kind,
            cell: self.cell,
            cores,
            state,
        };
        ListedEngine {
            engine_id: self.id(),
            facts,
        }
    }

    /// Returns the engine's entry in the change log.
    pub fn log_entry(&self, state: &str) -> Value {
        let [high, low] = (self.number as u16).to_be_bytes();
        json!({
            "id": self.id(),
            "addr": format!("10.1.{high}.{low}:4100"),
            "zone": zone_name(self.zone.into()),
            "kind": kind_name(self.kind),
            "cell": self.cell,
            "state": state,
            "weight": 1,
            "started_ms": 0,
        })
    }
}

/// Returns the name of a zone in settings and list entries.
pub fn zone_name(zone: u64) -> String {
    format!("zone-{zone:02}")
}

/// Returns the name of a kind in settings and list entries.
pub fn kind_name(kind: usize) -> String {
    format!("kind-{kind}")
}

/// Renders an event of the change log. Each entry is rendered and dropped in turn: memory freed in larger amounts would
/// be reused by the measured work and so hide its growth.
pub fn log_event(number: u64, whole: bool, servers: impl Iterator<Item = Value>) -> String {
    let mut text = format!(
        "{{\"seq\":{number},\"fleet\":{{\"version\":{number},\"full\":{whole},\"servers\":["
    );
    for (index, server) in servers.enumerate() {
        let separator = if index == 0 { "" } else { "," };
        text += &format!("{separator}{server}");
    }
    text + "]}}"
}

/// Renders the whole list as an event of the change log.
pub fn whole_list(engines: u64) -> String {
    log_event(
        1,
        true,
        (0..engines).map(|number| engine(number).log_entry("SERVING")),
    )
}

/// Returns the settings of a subset for the query classes of the role `module`.
pub fn subset_settings(size: u64, gateways: u64) -> SubsetSettings {
    SubsetSettings {
        size: size as usize,
        class_floor: 4,
        reserve: 16,
        joins_per_second: 4.0,
        zone: None,
        near_weight: 1.0,
        gateways: gateways as f64,
        classes: vec![PlacementClass::default()],
        retry_scope: RetryScope::Everywhere,
    }
}
