//! Decides whether, when and on which engine each query runs. Each gateway has one [`AdmissionController`].
//!
//! The controller does no I/O and reads no clock. The caller reports each event together with the current time, then
//! calls [`AdmissionController::next_action`] and carries out each returned action until the action is to wait.
//! [`crate::api`] defines the values that are passed in and returned.
//!
//! The rules, and the modules that enforce them:
//!
//! | rule | module |
//! |---|---|
//! | exactly one answer, before the deadline | `final_answer`; `load_shedding` and `next_action` abandon queries |
//! | no repeated effect by retries of this gateway | `eligibility`, from the attempts that may have run (`attempt`) |
//! | no repeated effect by retries of the client | `final_answer` |
//! | no attempt at a draining or removed engine | `eligibility`, from the state kept by `endpoint_list` |
//! | slow start | `slow_start` |
//! | order within an ordering key | `key_order` |
//! | placement | `eligibility` |
//! | retry budget | `retry_budget` |
//!
//! The other decisions:
//!
//! | decision | module |
//! |---|---|
//! | which query is next | `fair_queue` |
//! | which waiting queries are abandoned under load | `load_shedding` |
//! | which engine | `engine_choice`, with `data_set_locks`, and `sampling` for long lists |
//! | whether a query starts above the load limit | `start_probability` |
//! | load of engines and kinds | `load` |
//! | which engines are avoided | `outlier_ejection` |
//! | which lost attempts are cancelled | `stalled_attempts` |
//! | which engines get a health check | `health_checks` |
//! | expected work, expected memory, memory grants | `class_statistics`, updated by `attempt_outcome` |

mod admission;
mod attempt;
mod attempt_outcome;
mod attempt_state;
mod averages;
mod candidate;
mod class_statistics;
mod data_set_locks;
mod eligibility;
mod endpoint_list;
mod engine_choice;
mod engine_state;
mod fair_queue;
mod final_answer;
mod health_checks;
mod key_order;
mod kind_state;
mod load;
mod load_shedding;
mod next_action;
mod outlier_ejection;
mod query_state;
mod retry_budget;
mod rng;
mod sampling;
mod slow_start;
mod stalled_attempts;
mod start_probability;
mod timers;

use crate::api::{EngineId, EngineSet, Query, QueryId, Settings};
use averages::DecayingAverage;
use class_statistics::ClassStatistics;
use endpoint_list::PoolCapacity;
use engine_state::EngineState;
use fair_queue::{FairClock, TenantQueue};
use key_order::KeyQueue;
use kind_state::KindState;
use load::InFlightTime;
use query_state::QueryState;
use retry_budget::RetryWindow;
use rng::Rng;
use std::collections::{BTreeMap, VecDeque};
use timers::{Timer, TimerQueue};

/// Safety margin in seconds for deadlines, windows and pauses; covers network delay and the caller's timer resolution.
const TIME_MARGIN_SECONDS: f64 = 0.02;
/// Lower bound for divisors (seconds, cores, megabytes or work), so that zero or tiny values in settings, estimates and
/// measurements do not give infinite or extreme quotients.
const MIN_DIVISOR: f64 = 1e-3;
/// Decay time constant, in seconds, of the work sent to a kind and of the mean work of admitted queries.
const WORK_DECAY_SECONDS: f64 = 20.0;
/// Fraction of its cores that a pool can keep busy under sustained load.
const SUSTAINABLE_UTILISATION: f64 = 0.85;
/// Decay time constant, in seconds, of an engine's observed load and failure rate. Longer than that of a kind, because
/// a gateway gets few answers from a single engine.
const HEALTH_DECAY_SECONDS: f64 = 8.0;
/// Range, in seconds, of the uniformly distributed delay before placement is retried for a query that was refused a
/// start above the load limit or had no usable engine.
const MIN_PLACEMENT_RETRY_DELAY_SECONDS: f64 = 0.02;
const MAX_PLACEMENT_RETRY_DELAY_SECONDS: f64 = 0.06;
/// Gap between two calls, in seconds, above which this process counts as stalled. Ticks are far more frequent.
const STALL_THRESHOLD_SECONDS: f64 = 0.3;

/// Identifies an attempt by its query and its number within the query, from 0.
#[derive(Clone, Copy)]
struct AttemptRef {
    query: QueryId,
    attempt: u32,
}

/// Admission control of one gateway, with all its state. The state is in memory only and is lost with the process.
///
/// ```
/// use garnetwall::api::*;
/// use garnetwall::controller::AdmissionController;
///
/// let class = QueryClass {
///     latency_objective: 1.0,
///     latency_objective_stretch: 0.0,
///     deadline: 5.0,
///     priority_weight: 1.0,
///     late_value_share: 0.0,
///     idempotency: Idempotency::Idempotent,
///     in_order: false,
///     zones: None,
///     kinds: None,
///     threads: 1.0,
///     loads_data: false,
///     waits_for_data_loads: false,
///     retry_budget: None,
/// };
/// let settings = Settings {
///     classes: vec![class],
///     tenants: 1,
///     gateways: 1.0,
///     max_attempts: 2,
///     ..Settings::default()
/// };
/// let mut controller = AdmissionController::new(settings, 42, 0.0);
/// let endpoint = Endpoint {
///     engine: 0,
///     zone: 0,
///     kind: 0,
///     cell: 0,
///     started_at: None,
///     state: EndpointState::Ready,
///     gateways: None,
/// };
/// controller.update_endpoints(&[endpoint], ListScope::Full);
/// let query = Query {
///     id: 0,
///     class: 0,
///     tenant: 0,
///     ordering_key: None,
///     remaining_time: 5.0,
///     estimated_work: None,
///     estimated_memory: None,
///     data_set: 0,
///     endpoint_subset: None,
/// };
/// controller.admit(0.0, query);
/// assert_eq!(controller.next_action(0.0), NextAction::Place(0));
/// let Placement::Attempt { engine, .. } = controller.place(0.0, 0) else {
///     panic!("an idle engine accepts the query at once");
/// };
/// let outcome = AttemptOutcome {
///     engine,
///     attempt: 0,
///     end: AttemptEnd::Succeeded,
///     latency: 0.2,
///     query_finished: true,
///     work: None,
///     memory: None,
/// };
/// assert_eq!(controller.attempt_ended(0.2, 0, outcome), FollowUp::Nothing);
/// assert!(matches!(controller.next_action(0.2), NextAction::Wait(_)));
/// ```
#[derive(Default)]
pub struct AdmissionController {
    settings: Settings,
    rng: Rng,
    /// Latest time passed to a call that advances the virtual clock, in seconds.
    last_event_at: f64,
    /// Time at which the end of the last stall of this process was detected, in seconds.
    resumed_at: f64,
    timers: TimerQueue,

    queries: BTreeMap<QueryId, QueryState>,
    /// By ordering key.
    key_queues: BTreeMap<u64, KeyQueue>,
    tenant_queues: Vec<TenantQueue>,
    fair_clock: FairClock,
    /// Service time charged for an attempt until it ends, in seconds: the longest deadline of all classes.
    assumed_service_seconds: f64,

    engines: Vec<EngineState>,
    /// Indices of the engines in state `Ready`, ascending.
    ready: Vec<EngineId>,
    pool_capacity: PoolCapacity,
    kinds: BTreeMap<usize, KindState>,
    /// Engine sets of each endpoint subset in priority order, by subset number.
    endpoint_subsets: BTreeMap<u32, Vec<EngineSet>>,

    class_statistics: Vec<ClassStatistics>,
    /// Decaying mean of the expected work of admitted queries, in seconds on one thread.
    mean_query_work: DecayingAverage,
    last_admitted: Option<Query>,
    in_flight_time: InFlightTime,
    retry_window: RetryWindow,
    /// Whether the most recent load report, of whichever engine, included the CPU utilisation.
    cpu_reported: bool,
    /// Number of health checks that may be sent; grows with each admitted query.
    health_check_budget: f64,

    subscription_due: bool,
    /// Whether to run load shedding as soon as no waiting query can be placed.
    shedding_due: bool,
    pending_cancellations: VecDeque<AttemptRef>,
    pending_health_checks: VecDeque<EngineId>,
    /// Queries to be answered without another attempt, in the order in which they were abandoned.
    abandoned: VecDeque<QueryId>,
}

impl AdmissionController {
    /// Creates a controller whose clock starts at `now`, in seconds. Each gateway needs its own seed, or all gateways
    /// choose the same engines; the lowest bit of the seed is ignored.
    pub fn new(settings: Settings, seed: u64, now: f64) -> Self {
        let classes = &settings.classes;
        let mut timers = TimerQueue::default();
        timers.schedule(now, Timer::Tick);
        AdmissionController {
            rng: Rng::new(seed),
            assumed_service_seconds: classes.iter().map(|c| c.deadline).fold(0.0, f64::max),
            last_event_at: now,
            tenant_queues: (0..settings.tenants.max(1))
                .map(|_| TenantQueue::new(classes.len()))
                .collect(),
            class_statistics: classes.iter().map(ClassStatistics::new).collect(),
            timers,
            // Initial value: one attempt of each class, each in flight for one second.
            in_flight_time: InFlightTime {
                thread_seconds: classes.iter().map(|c| c.threads).sum(),
                seconds: classes.len() as f64,
            },
            subscription_due: settings.subscription_required,
            settings,
            ..AdmissionController::default()
        }
    }

    /// Processes the time of an event: detects a stall of this process and advances the virtual clock.
    fn observe_time(&mut self, now: f64) {
        let elapsed = now - self.last_event_at;
        if elapsed > STALL_THRESHOLD_SECONDS {
            self.resumed_at = now;
        }
        self.advance_fair_clock(elapsed);
        self.last_event_at = self.last_event_at.max(now);
    }
}
