//! An engine as the list has it, and how it changes.

/// An engine of a catalog. A key is never used again for another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineKey(pub u64);

/// Whether an engine takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It takes new work.
    Ready,
    /// It takes no new work, and finishes what it has.
    Draining,
    /// It is not in the list any more.
    Removed,
}

/// What the choice of subsets depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineFacts {
    /// The number of its zone.
    pub zone: u32,
    /// The number of its kind.
    pub kind: u32,
    /// The number of its cell in its zone.
    pub cell: u32,
    /// Processor cores, more than 0. Gateways are taken to be spread over zones as cores are.
    pub cores: f64,
    /// Whether it takes new work.
    pub state: ListedState,
}

/// An engine as the list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEngine {
    /// Its id in the list.
    pub engine_id: String,
    /// What the choice depends on.
    pub facts: EngineFacts,
}

/// A change of the catalog.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The engine that changed.
    pub engine: EngineKey,
    /// None for an engine that was not in the catalog.
    pub before: Option<EngineFacts>,
    /// None for an engine that is not in the catalog any more.
    pub after: Option<EngineFacts>,
}
