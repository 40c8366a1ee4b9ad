//! The pool of engines that all roles measure: zones, kinds and cells as at the target size.

use garnetwall_subset::{
    EngineFacts, ListedEngine, ListedState, PlacementClass, RetryScope, SubsetSettings,
};
use serde_json::{json, Value};

/// At the target size.
pub const ZONES: u64 = 21;
/// Cores of an engine by its kind.
pub const KIND_CORES: [f64; 2] = [8.0, 16.0];
/// Engines that share a cell.
const CELL_ENGINES: u64 = 20;

/// One engine of the pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolEngine {
    pub number: u64,
    pub zone: u32,
    pub kind: usize,
    pub cell: u32,
}

/// The engine of this number.
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

    /// The entry of a catalog.
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

    /// The entry in the change log.
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

/// The name of a zone in settings and list entries.
pub fn zone_name(zone: u64) -> String {
    format!("zone-{zone:02}")
}

/// The name of a kind in settings and list entries.
pub fn kind_name(kind: usize) -> String {
    format!("kind-{kind}")
}

/// An event of the change log, as text. Written entry by entry, so that no free memory is left that would hide a measurement.
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

/// The whole list as an event of the change log, as text.
pub fn whole_list(engines: u64) -> String {
    log_event(
        1,
        true,
        (0..engines).map(|number| engine(number).log_entry("SERVING")),
    )
}

/// Settings of a subset for the query classes of the module's role.
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
