//! The interface of the decision module: plain values in, plain values out, no behaviour.
//!
//! Times and spans are seconds with fractions on the caller's monotonic clock; work is seconds on one thread;
//! memory is in megabytes; fractions are from 0 to 1. Queries, engines, classes, tenants, zones and kinds are
//! small indices that the caller hands out. What is unknown is `None`.

/// A query's number. Numbers rise with admission: the lower of two was admitted first.
pub type QueryId = u32;

/// An engine's index. The caller may give it to another engine once no open query can know the first.
pub type EngineId = usize;

/// Which engines recognise a repeated idempotency key, counted from the engine of the first attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All engines.
    Everywhere,
    /// The engines of the same zone.
    Zone,
    /// The engines of the same cell.
    Cell,
}

/// Whether a query that may have run may be attempted again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Running it twice has the effect of running it once.
    Idempotent,
    /// Engines drop a repeat that reaches them in `scope` within `window` seconds.
    IdempotentByKey {
        /// Which engines drop a repeat.
        scope: DeduplicationScope,
        /// Seconds from the beginning of the first attempt that may have run.
        window: f64,
    },
    /// A second run would have a second effect.
    NonIdempotent,
}

/// What the settings say of one class of queries.
#[derive(Clone, Debug)]
pub struct QueryClass {
    /// Fixed part of the latency objective, in seconds.
    pub latency_objective: f64,
    /// Further part of the latency objective, as a multiple of a query's work over its threads.
    pub latency_objective_stretch: f64,
    /// Longest time that a client of this class waits, in seconds from its call.
    pub deadline: f64,
    /// Value of an answer within the objective.
    pub priority_weight: f64,
    /// Share of the priority weight that an answer after the objective is still worth.
    pub late_value_share: f64,
    /// Whether a query that may have run may be attempted again.
    pub idempotency: Idempotency,
    /// Queries of one ordering key run one at a time, in the order admitted.
    pub in_order: bool,
    /// Zones whose engines may run it; all where it is `None`.
    pub zones: Option<Vec<u32>>,
    /// Kinds of engine that may run it; all where it is `None`.
    pub kinds: Option<Vec<u32>>,
    /// Threads that one query uses on its engine.
    pub threads: f64,
    /// Its queries load a data set, which is locked meanwhile.
    pub loads_data: bool,
    /// Its queries stand still on an engine that loads their data set.
    pub waits_for_data_loads: bool,
    /// A retry budget of the class, beside the gateway's.
    pub retry_budget: Option<RetryBudget>,
}

/// How many attempts beyond a query's first may begin within a sliding window.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries that are always allowed.
    pub floor: f64,
    /// Retries for each query admitted in the window.
    pub per_query: f64,
    /// Length of the window, in seconds.
    pub window: f64,
}

/// How an engine that has just started warms up, and what overloads it meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Fraction of its cores that it can use at its start; the fraction rises evenly to 1.
    pub initial_fraction: f64,
    /// Seconds from its start until it can use all its cores.
    pub duration: f64,
    /// It is overloaded by more than this multiple of the work that its effective cores do in the window.
    pub overload_multiple: f64,
    /// The span over which its work is counted, in seconds.
    pub window: f64,
}

/// When engines report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReporting {
    /// With each answer to a query.
    WithAnswers,
    /// With each answer to a health check.
    WithHealthChecks,
    #[default]
    /// Engines tell nothing of their load.
    Never,
}

/// The settings of a deployment, as far as decisions need them.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The query classes; a class's number is its place here.
    pub classes: Vec<QueryClass>,
    /// Number of tenants, each with a queue of its own.
    pub tenants: usize,
    /// Number of gateways before the same engines, this one included.
    pub gateways: f64,
    /// Cores of an engine, by its kind.
    pub kind_cores: Vec<Option<f64>>,
    /// Memory of an engine in megabytes, by its kind.
    pub kind_memory: Vec<Option<f64>>,
    /// Largest memory grant of one query, as a fraction of its engine's memory.
    pub max_grant_fraction: f64,
    /// Attempts carry a memory grant.
    pub memory_grants: bool,
    /// When engines report their load.
    pub load_reporting: LoadReporting,
    /// Queries that the gateway can hold at once; unbounded where it is `None`.
    pub capacity: Option<f64>,
    /// Engines may be sent health checks.
    pub health_checks_allowed: bool,
    /// Attempts in flight may be cancelled at their engine.
    pub cancellation_allowed: bool,
    /// A rejection may carry a Retry-After.
    pub retry_after_allowed: bool,
    /// Longest Retry-After, in seconds.
    pub max_retry_after: f64,
    /// Attempts of one query at most, the first included.
    pub max_attempts: u32,
    /// The endpoint list comes only to subscribers.
    pub subscription_required: bool,
    /// The retry budget of the gateway.
    pub retry_budget: Option<RetryBudget>,
    /// How started engines warm up; `None` where they are at full speed at once.
    pub slow_start: Option<SlowStart>,
    /// Seconds that an ordering key pauses after an attempt that timed out, was cut off or was cancelled.
    pub key_pause: f64,
    /// Seconds between an engine's progress events for an attempt; 0 where it sends none.
    pub progress_interval: f64,
}

/// A query as it is admitted.
#[derive(Clone, Copy, Debug)]
pub struct Query {
    /// The query's number, higher than that of all admitted before.
    pub id: QueryId,
    /// Its class, as an index into [`Settings::classes`].
    pub class: usize,
    /// The tenant in whose queue it waits, below [`Settings::tenants`].
    pub tenant: usize,
    /// The key within which queries of an ordered class run one at a time.
    pub ordering_key: Option<u64>,
    /// Seconds until its client gives up.
    pub remaining_time: f64,
    /// Estimated work, in seconds on one thread.
    pub estimated_work: Option<f64>,
    /// Estimated memory, in megabytes.
    pub estimated_memory: Option<f64>,
    /// The data set that it reads or loads.
    pub data_set: u32,
    /// The endpoint subset that it is confined to; every engine where it is `None`.
    pub endpoint_subset: Option<u32>,
}

/// A set of engines by their index, in words of 64, lowest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineSet(pub Vec<u64>);

impl EngineSet {
    /// Whether the engine is in the set.
    pub fn contains(&self, engine: EngineId) -> bool {
        self.0
            .get(engine / 64)
            .is_some_and(|word| word >> (engine % 64) & 1 == 1)
    }
}

/// What the endpoint list says of an engine's availability.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes queries.
    Ready,
    /// It finishes what it runs and takes nothing new.
    Draining,
    /// It is not in the list any more.
    Removed,
}

/// Which endpoints a list names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All there are: an engine that it does not name is removed.
    Full,
    /// Those that are new or have changed.
    Delta,
}

/// An engine as the endpoint list describes it.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The engine's index.
    pub engine: EngineId,
    /// The zone that it stands in.
    pub zone: u32,
    /// Its kind, as an index into [`Settings::kind_cores`].
    pub kind: usize,
    /// The cell of its zone that it belongs to.
    pub cell: u32,
    /// When its process started, on the caller's clock; `None` for one that is not in slow start.
    pub started_at: Option<f64>,
    /// Whether it takes queries.
    pub state: EndpointState,
    /// Gateways that work with this engine, this one included; [`Settings::gateways`] where it is `None`.
    pub gateways: Option<f64>,
}

/// What an engine reports of its own load.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Fraction of its cores that are busy.
    pub cpu_utilisation: Option<f64>,
    /// Queries that wait for memory.
    pub waiting_for_memory: Option<f64>,
    /// Queries that it has in flight, from all gateways.
    pub in_flight: Option<f64>,
    /// Fraction of its memory in use.
    pub memory_utilisation: Option<f64>,
    /// Fraction of its disks' time in use.
    pub disk_utilisation: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The engine has answered with the whole result.
    Succeeded,
    /// The engine answered with an error.
    Failed,
    /// The engine had no capacity and did not run it; its query is not rejected by that.
    Rejected,
    /// No answer came within the response timeout.
    TimedOut,
    /// Nothing of it reached the engine: no connection came up, the engine had left the list, or it was stopped before it
    /// was sent. It never ran, and the query may be tried elsewhere.
    ConnectFailed,
    /// Connections to its engine were lost, or what came over them can't be read, until polls could not tell its outcome
    /// any more. One broken connection does not end an attempt. It may have run.
    ConnectionLost,
    /// It was cancelled at the engine.
    Cancelled,
    /// It was dropped before it reached the engine, because its query was over or could not be recorded in the journal. It
    /// never ran, and there is no further attempt.
    NotNeeded,
    /// This gateway's own machine could not send it: it never ran, and says nothing of its engine.
    NotSent,
}

/// The end of an attempt with what is known of it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOutcome {
    /// Where the attempt was.
    pub engine: EngineId,
    /// The attempt's number within its query, from 0.
    pub attempt: u32,
    /// How it ended.
    pub end: AttemptEnd,
    /// Seconds from the attempt's beginning to its end.
    pub latency: f64,
    /// The query is over for its client, by this outcome or earlier.
    pub query_finished: bool,
    /// Work that the engine measured, in seconds on one thread.
    pub work: Option<f64>,
    /// Memory that the engine measured, in megabytes.
    pub memory: Option<f64>,
}

/// A progress event of an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// Fraction of the work that is done.
    Completed(f64),
    /// It spills to disk, so many megabytes.
    Spilling(f64),
    /// It stands still until its engine has memory for it.
    WaitingForMemory,
    /// It stands still until its data set is loaded.
    WaitingForDataLoad,
}

/// What happens to a query now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Placement {
    /// Begin an attempt.
    Attempt {
        /// Where it goes.
        engine: EngineId,
        /// Seconds after which nobody waits for the attempt.
        response_timeout: f64,
        /// Seconds within which the whole request has to have reached the engine; later it must not be sent.
        send_timeout: f64,
        /// Memory granted to it, in megabytes.
        memory_grant: Option<f64>,
    },
    /// Nothing now; the module asks for its placement again.
    Wait,
    /// Answer its client.
    Answer(FinalAnswer),
}

/// What follows the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FollowUp {
    /// Nothing is owed, or the query waits for another attempt.
    Nothing,
    /// Answer its client.
    Answer(FinalAnswer),
}

/// A final answer other than a success.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalAnswer {
    /// It did not run, or may safely be sent again, after `retry_after` seconds where that is told.
    Rejected {
        /// Seconds; `None` where the settings allow none.
        retry_after: Option<f64>,
    },
    /// It may have run and must not be sent again.
    Failed,
}

/// What the caller has to do next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextAction {
    /// Ask for this query's placement.
    Place(QueryId),
    /// Send this engine a health check.
    HealthCheck(EngineId),
    /// Subscribe to the endpoint list.
    Subscribe,
    /// Cancel an attempt of a query, by its number from 0.
    Cancel {
        /// The query whose attempt it is.
        query: QueryId,
        /// The attempt's number within the query, from 0.
        attempt: u32,
    },
    /// Nothing for so many seconds, unless an event comes first.
    Wait(f64),
}
