//! Defines the values that are passed to and returned by the controller.
//!
//! Times are seconds with fractions on the caller's monotonic clock, and durations are seconds with fractions. Work is
//! in seconds on one thread, memory in megabytes, and fractions range from 0 to 1. Queries, engines, classes, tenants,
//! zones and kinds are identified by small indices assigned by the caller. Unknown values are `None`.

/// Query number. Numbers increase in the order of admission.
pub type QueryId = u32;

/// Engine index. The caller may reuse an index for another engine once no open query refers to the previous one.
pub type EngineId = usize;

/// Engines that recognise a repeated idempotency key, relative to the engine of the first attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All engines.
    Everywhere,
    /// Engines in the zone of the first attempt.
    Zone,
    /// Engines in the cell of the first attempt.
    Cell,
}

/// Condition under which a query that may have run can be attempted again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Running the query twice has the same effect as running it once.
    Idempotent,
    /// Engines within `scope` discard a repeat that reaches them within `window` seconds.
    IdempotentByKey {
        /// Engines that discard a repeat.
        scope: DeduplicationScope,
        /// Length of the deduplication window, in seconds from the start of the first attempt that may have run.
        window: f64,
    },
    /// A second run would have a second effect.
    NonIdempotent,
}

/// Settings of one query class.
#[derive(Clone, Debug)]
pub struct QueryClass {
    /// Fixed part of the latency objective, in seconds.
    pub latency_objective: f64,
    /// Variable part of the latency objective, as a multiple of the query's work divided by its threads.
    pub latency_objective_stretch: f64,
    /// Longest time that a client of this class waits for its answer, in seconds from its request.
    pub deadline: f64,
    /// Value of an answer within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// Fraction of `priority_weight` that an answer after the latency objective is worth.
    pub late_value_share: f64,
    /// Condition under which a query that may have run can be attempted again.
    pub idempotency: Idempotency,
    /// Queries with the same ordering key run one at a time, in the order of admission.
    pub in_order: bool,
    /// Zones whose engines may run queries of the class; `None` allows all zones.
    pub zones: Option<Vec<u32>>,
    /// Kinds of engine that may run queries of the class; `None` allows all kinds.
    pub kinds: Option<Vec<u32>>,
    /// Number of threads that one query uses on its engine.
    pub threads: f64,
    /// Queries of the class load a data set, which is locked on the engine meanwhile.
    pub loads_data: bool,
    /// Queries of the class stall on an engine that is loading their data set.
    pub waits_for_data_loads: bool,
    /// Retry budget of the class, applied in addition to the gateway's.
    pub retry_budget: Option<RetryBudget>,
}

/// Limit on retries (attempts after a query's first) that start within a sliding window.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Number of retries that are allowed in a window however few queries are admitted.
    pub floor: f64,
    /// Additional retries for each query admitted in the window.
    pub per_query: f64,
    /// Length of the window, in seconds.
    pub window: f64,
}

/// Warm-up of a newly started engine, and the amount of work that overloads it during that time.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Fraction of its cores that an engine can use at its start; it rises linearly to 1 within `duration`.
    pub initial_fraction: f64,
    /// Seconds from the engine's start until it can use all its cores.
    pub duration: f64,
    /// Work within `window` above which the engine is overloaded, as a multiple of the work that its effective cores
    /// can do in that time.
    pub overload_multiple: f64,
    /// Length of the sliding window over which the engine's work is counted, in seconds.
    pub window: f64,
}

/// Messages with which engines report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReporting {
    /// With each answer to a query.
    WithAnswers,
    /// With each answer to a health check.
    WithHealthChecks,
    #[default]
    /// Engines do not report their load.
    Never,
}

/// Settings of a deployment that the controller uses.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Query classes; the number of a class is its index here.
    pub classes: Vec<QueryClass>,
    /// Number of tenants; each has its own queue.
    pub tenants: usize,
    /// Number of gateways that share the engines, including this one.
    pub gateways: f64,
    /// Number of cores of an engine, by kind.
    pub kind_cores: Vec<Option<f64>>,
    /// Memory of an engine in megabytes, by kind.
    pub kind_memory: Vec<Option<f64>>,
    /// Largest memory grant of one query, as a fraction of its engine's memory.
    pub max_grant_fraction: f64,
    /// Attempts carry a memory grant where the query has an estimate of its memory.
    pub memory_grants: bool,
    /// Messages with which engines report their load.
    pub load_reporting: LoadReporting,
    /// Number of queries that the gateway can hold at once; `None` for no limit.
    pub capacity: Option<f64>,
    /// The gateway may send health checks to engines.
    pub health_checks_allowed: bool,
    /// The gateway may cancel attempts in flight.
    pub cancellation_allowed: bool,
    /// Rejections carry a Retry-After time.
    pub retry_after_allowed: bool,
    /// Upper limit of the Retry-After time, in seconds.
    pub max_retry_after: f64,
    /// Maximum number of attempts of one query, including the first.
    pub max_attempts: u32,
    /// The endpoint list is sent to subscribers only.
    pub subscription_required: bool,
    /// Retry budget of the gateway, across all classes.
    pub retry_budget: Option<RetryBudget>,
    /// Warm-up of newly started engines; `None` if they run at full speed at once.
    pub slow_start: Option<SlowStart>,
    /// Pause of an ordering key, in seconds, after an attempt that timed out, was cancelled or lost its connection.
    pub key_pause: f64,
    /// Seconds between the progress events of an attempt; 0 if engines send none.
    pub progress_interval: f64,
}

/// Description of a query at its admission.
#[derive(Clone, Copy, Debug)]
pub struct Query {
    /// Query number; higher than that of every query admitted earlier.
    pub id: QueryId,
    /// Query class, as an index into [`Settings::classes`].
    pub class: usize,
    /// Tenant in whose queue the query waits, from 0. Numbers from [`Settings::tenants`] on count as the last tenant.
    pub tenant: usize,
    /// Queries of ordered classes with the same ordering key run one at a time; `None` for no order.
    pub ordering_key: Option<u64>,
    /// Seconds until the client stops waiting for the answer.
    pub remaining_time: f64,
    /// Estimated work, in seconds on one thread.
    pub estimated_work: Option<f64>,
    /// Estimated memory, in megabytes.
    pub estimated_memory: Option<f64>,
    /// Data set that the query reads or loads.
    pub data_set: u32,
    /// Endpoint subset that the query is restricted to; `None` allows every engine.
    pub endpoint_subset: Option<u32>,
}

/// Set of engines, as a bit set over engine indices in words of 64 bits, lowest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineSet(pub Vec<u64>);

impl EngineSet {
    /// Returns whether the engine is in the set.
    pub fn contains(&self, engine: EngineId) -> bool {
        self.0
            .get(engine / 64)
            .is_some_and(|word| word >> (engine % 64) & 1 == 1)
    }
}

/// Availability of an engine according to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The engine accepts queries.
    Ready,
    /// The engine finishes its running queries and accepts no new ones.
    Draining,
    /// The engine is no longer listed.
    Removed,
}

/// Whether a list names all endpoints or only changed ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All endpoints; engines that are not listed are removed.
    Full,
    /// New and changed endpoints only.
    Delta,
}

/// Entry of the endpoint list: one engine.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// Engine index.
    pub engine: EngineId,
    /// Zone in which the engine runs.
    pub zone: u32,
    /// Kind of engine, as an index into [`Settings::kind_cores`].
    pub kind: usize,
    /// Cell of the zone to which the engine belongs.
    pub cell: u32,
    /// Start time of the engine's process, on the caller's clock; `None` if the engine is not in slow start.
    pub started_at: Option<f64>,
    /// Whether the engine accepts queries.
    pub state: EndpointState,
    /// Number of gateways that use this engine, including this one; `None` stands for [`Settings::gateways`].
    pub gateways: Option<f64>,
}

/// Load that an engine reports about itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Fraction of the engine's cores that are busy.
    pub cpu_utilisation: Option<f64>,
    /// Number of queries waiting for memory on the engine.
    pub waiting_for_memory: Option<f64>,
    /// Number of queries in flight on the engine, from all gateways.
    pub in_flight: Option<f64>,
    /// Fraction of the engine's memory in use. The controller does not use it.
    pub memory_utilisation: Option<f64>,
    /// Fraction of time for which the engine's disks are busy.
    pub disk_utilisation: Option<f64>,
}

/// Manner in which an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The engine returned the complete result.
    Succeeded,
    /// The engine returned an error.
    Failed,
    /// The engine had no capacity and did not run the attempt. The query itself is not rejected.
    Rejected,
    /// The engine did not answer within the response timeout.
    TimedOut,
    /// No part of the attempt reached the engine: no connection could be made, the engine was no longer listed, or the
    /// attempt was stopped before it was sent. It never ran, and the query may be tried on another engine.
    ConnectFailed,
    /// Connections to the engine were lost, or the data received on them was unreadable, until polling could no longer
    /// determine the outcome. One broken connection does not end an attempt. The attempt may have run.
    ConnectionLost,
    /// The attempt was cancelled at the engine.
    Cancelled,
    /// The attempt was dropped before it reached the engine, because its query was over or could not be recorded in the
    /// journal. It never ran, and no further attempt follows.
    NotNeeded,
    /// The gateway's own machine could not send the attempt. It never ran, and the failure says nothing about the
    /// engine.
    NotSent,
}

impl AttemptEnd {
    /// Whether an attempt that ended like this provably never ran.
    pub fn never_ran(self) -> bool {
        match self {
            AttemptEnd::Rejected
            | AttemptEnd::ConnectFailed
            | AttemptEnd::NotNeeded
            | AttemptEnd::NotSent => true,
            AttemptEnd::Succeeded
            | AttemptEnd::Failed
            | AttemptEnd::TimedOut
            | AttemptEnd::ConnectionLost
            | AttemptEnd::Cancelled => false,
        }
    }
}

/// Outcome of an attempt, with its measurements.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOutcome {
    /// Engine to which the attempt was sent.
    pub engine: EngineId,
    /// The attempt's number within its query, from 0.
    pub attempt: u32,
    /// Manner in which the attempt ended.
    pub end: AttemptEnd,
    /// Seconds from the start of the attempt to its end.
    pub latency: f64,
    /// Whether the query is over for its client, by this outcome or earlier.
    pub query_finished: bool,
    /// Work measured by the engine, in seconds on one thread.
    pub work: Option<f64>,
    /// Memory measured by the engine, in megabytes.
    pub memory: Option<f64>,
}

/// Progress event of an attempt in flight. Every event shows the controller that the attempt is alive; only
/// [`Self::WaitingForDataLoad`] has a further effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// Fraction of the work that is done, from 0 to 1.
    Completed(f64),
    /// The attempt spills to disk; the value is the amount in megabytes.
    Spilling(f64),
    /// The attempt is blocked until its engine has memory for it.
    WaitingForMemory,
    /// The attempt is blocked until its data set is loaded.
    WaitingForDataLoad,
}

/// Decision about a query whose placement was requested.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Placement {
    /// Start an attempt.
    Attempt {
        /// Engine that receives the attempt.
        engine: EngineId,
        /// Seconds until the query's deadline; after that, no client waits for the answer.
        response_timeout: f64,
        /// Seconds within which the whole request must reach the engine; after that it must not be sent.
        send_timeout: f64,
        /// Memory granted to the attempt, in megabytes; `None` for no grant.
        memory_grant: Option<f64>,
    },
    /// Do nothing now. If the query is still waiting, [`NextAction::Place`] is returned for it again later.
    Wait,
    /// Send the final answer to the client.
    Answer(FinalAnswer),
}

/// Consequence of the end of an attempt for its query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FollowUp {
    /// No answer is due: the query is over, is queued for another attempt, or still has an attempt in flight.
    Nothing,
    /// Send the final answer to the client.
    Answer(FinalAnswer),
}

/// Final answer to a query that did not succeed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalAnswer {
    /// The query did not run, or can safely be sent again.
    Rejected {
        /// Seconds after which the client should retry; `None` if the settings disable Retry-After.
        retry_after: Option<f64>,
    },
    /// The query may have run and must not be sent again.
    Failed,
}

/// Next action for the caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextAction {
    /// Call [`place`](crate::controller::AdmissionController::place) for this query.
    Place(QueryId),
    /// Send a health check to this engine.
    HealthCheck(EngineId),
    /// Subscribe to the endpoint list.
    Subscribe,
    /// Cancel an attempt of a query.
    Cancel {
        /// Query to which the attempt belongs.
        query: QueryId,
        /// The attempt's number within the query, from 0.
        attempt: u32,
    },
    /// Wait for this many seconds or until the next event, whichever is first.
    Wait(f64),
}
