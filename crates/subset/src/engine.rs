//! Defines listed engines and changes of the list.

/// The key of an engine in a catalog. Keys are not reused after an engine is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineKey(pub u64);

/// The state of an engine according to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// The engine takes new work.
    Ready,
    /// The engine takes no new work and finishes its attempts in flight.
    Draining,
    /// The engine is no longer in the list.
    Removed,
}

/// The properties of an engine that the choice of subsets depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineFacts {
    /// Index of the zone.
    pub zone: u32,
    /// Index of the kind of engine.
    pub kind: u32,
    /// Index of the cell within the zone.
    pub cell: u32,
    /// Number of processor cores, greater than 0. Gateways are assumed to be distributed over zones in proportion to
    /// cores.
    pub cores: f64,
    /// State of the engine according to the list.
    pub state: ListedState,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEngine {
    /// Id of the engine; unique within the list.
    pub engine_id: String,
    /// Properties of the engine that the choice depends on.
    pub facts: EngineFacts,
}

/// A change of one engine in the catalog.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The engine that changed.
    pub engine: EngineKey,
    /// Facts before the change; `None` if the engine was not in the catalog.
    pub before: Option<EngineFacts>,
    /// Facts after the change; `None` if the engine is no longer in the catalog.
    pub after: Option<EngineFacts>,
}
