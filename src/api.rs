//! The interface of the decision module: plain values in, plain values out, no behaviour.
//!
//! Times are seconds with fractions on the caller's clock. Batches, engines, groups, tenants, zones and kinds
//! are small indices that the caller hands out. What is unknown is `None`.

pub type BatchId = u32;
pub type EngineId = usize;

/// Who drops repeats of a referenced batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    Everywhere,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Repeatable,
    Referenced { scope: Scope, window: f64 },
    OnceOnly,
}

#[derive(Clone, Debug)]
pub struct ServiceGroup {
    /// Response goal: fixed part, and the further part as a multiple of work over threads.
    pub goal: f64,
    pub goal_stretch: f64,
    pub limit: f64,
    pub utility: f64,
    pub late_share: f64,
    pub effect: Effect,
    pub in_order: bool,
    pub zones: Option<Vec<u32>>,
    pub kinds: Option<Vec<u32>>,
    pub threads: f64,
    pub is_load: bool,
    pub waits_for_loads: bool,
    /// Its own budget for further dispatches, beside the whole one.
    pub further: Option<FurtherBudget>,
}

#[derive(Clone, Copy, Debug)]
pub struct FurtherBudget {
    pub floor: f64,
    pub per_batch: f64,
    pub window: f64,
}

#[derive(Clone, Copy, Debug)]
pub struct ColdRule {
    pub starts_at: f64,
    pub warm_after: f64,
    pub multiple: f64,
    pub window: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reports {
    WithAnswers,
    WithProbes,
    #[default]
    Never,
}

#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub groups: Vec<ServiceGroup>,
    pub tenants: usize,
    pub gateways: f64,
    pub kind_cores: Vec<Option<f64>>,
    pub kind_memory: Vec<Option<f64>>,
    pub largest_grant: f64,
    pub grants: bool,
    pub reports: Reports,
    /// Batches that the gateway can hold at once.
    pub room: Option<f64>,
    pub may_probe: bool,
    pub may_cancel: bool,
    pub names_return: bool,
    pub longest_return: f64,
    pub max_dispatches: u32,
    pub list_on_request: bool,
    pub further: Option<FurtherBudget>,
    pub cold: Option<ColdRule>,
    pub key_rest: f64,
    /// Time between notes on a dispatch that is out; 0 where there are none.
    pub notes_every: f64,
}

#[derive(Clone, Copy, Debug)]
pub struct Batch {
    pub id: BatchId,
    pub group: usize,
    pub tenant: usize,
    pub key: Option<u64>,
    /// Time until the client gives up.
    pub left: f64,
    pub cost: Option<f64>,
    pub memory: Option<f64>,
    pub data_set: u32,
    /// The way it may go; every engine where it is none.
    pub lane: Option<u32>,
}

/// A set of engines by their index, in words of 64, lowest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineSet(pub Vec<u64>);

impl EngineSet {
    pub fn holds(&self, engine: EngineId) -> bool {
        self.0
            .get(engine / 64)
            .is_some_and(|word| word >> (engine % 64) & 1 == 1)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug)]
pub struct Listed {
    pub engine: EngineId,
    pub zone: u32,
    pub kind: usize,
    pub cell: u32,
    pub came_up: Option<f64>,
    pub condition: Condition,
    /// Gateways that work with this engine, this one included; all that the settings tell of where it is none.
    pub holders: Option<f64>,
}

/// What an engine said of itself; shares are 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    pub utilisation: Option<f64>,
    pub waiting: Option<f64>,
    pub held: Option<f64>,
    pub memory: Option<f64>,
    pub disks: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Returned,
    Errored,
    Full,
    TimedOut,
    Unconnected,
    Broken,
    Withdrawn,
    Moot,
    /// This gateway's own machine could not send it: it never ran, and says nothing of its engine.
    NotSent,
}

#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub engine: EngineId,
    pub dispatch: u32,
    pub end: End,
    pub latency: f64,
    /// The batch is over for its client, by this outcome or earlier.
    pub closed: bool,
    pub work: Option<f64>,
    pub memory: Option<f64>,
}

/// Word on a dispatch that is out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    Done(f64),
    Spills(f64),
    WaitsForMemory,
    WaitsForLoad,
}

/// Where to send a batch, or not yet, or never.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Place {
    /// Nobody waits for the dispatch after `time_out`; it has come whole to its engine `within` a time, or never does.
    To {
        engine: EngineId,
        time_out: f64,
        within: f64,
        memory: Option<f64>,
    },
    NotYet,
    Over(Answer),
}

/// What to do after an outcome.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    /// Nothing is owed, or the batch waits for another dispatch.
    Nothing,
    Over(Answer),
}

/// A final answer; a client that is pushed back may be told when to come back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    PushBack { come_back: Option<f64> },
    Error,
}

/// How long to wait, or what is due now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Wait {
    Ask(BatchId),
    Probe(EngineId),
    Subscribe,
    Cancel(BatchId, u32),
    For(f64),
}
