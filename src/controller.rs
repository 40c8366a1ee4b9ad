//! The decision module: whether, when and where each query runs. One [`AdmissionController`] serves one gateway.
//!
//! It has no I/O and no clock. The caller hands in events with the time, then asks [`AdmissionController::next_action`]
//! until that says to wait; [`crate::api`] has the values that go in and out.
//!
//! The rules, and where each is decided:
//!
//! | rule | where |
//! |---|---|
//! | one whole answer in time | `final_answer`; `load_shedding` and the deadline timers of `next_action` bring queries there |
//! | no second effect | `eligibility` (idempotency, window, scope), by what `attempt` knows to have run; `final_answer` for the client's own retry |
//! | no attempt at a draining or removed engine | `eligibility`, by `endpoint_list` |
//! | slow start | `slow_start` |
//! | order by key | `key_order` |
//! | placement | `eligibility` |
//! | retry budget | `retry_budget` |
//!
//! The other decisions:
//!
//! | decision | where |
//! |---|---|
//! | which query is next | `fair_queue` |
//! | which engine | `engine_choice`, in long lists by `sampling`, with `data_set_locks` |
//! | whether it begins past the load limit | `start_probability` |
//! | how loaded engines and kinds are | `load` |
//! | which engines are avoided | `outlier_ejection` |
//! | which attempts are cancelled as lost | `stalled_attempts` |
//! | which engines get a health check | `health_checks` |
//! | expected work, memory, grants | `class_statistics`, learned by `attempt_outcome` |

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

/// Seconds kept clear of deadlines, windows and pauses, for travel and the caller's timer.
const TIME_MARGIN_SECONDS: f64 = 0.02;
/// Least seconds, cores or work that is divided by, against odd settings.
const MIN_DIVISOR: f64 = 1e-3;
/// Time constant, in seconds, with which work sent to a kind and the usual work of a query decay.
const WORK_DECAY_SECONDS: f64 = 20.0;
/// Fraction of cores that a pool keeps busy under load.
const SUSTAINABLE_UTILISATION: f64 = 0.85;
/// Time constant, in seconds, with which the observed load and the failure rate of an engine decay; answers from one engine are
/// rare.
const HEALTH_DECAY_SECONDS: f64 = 8.0;
/// Seconds until a query is placed again whose random start was not granted, or for which no engine may be used; evenly distributed
/// between these.
const MIN_PLACEMENT_RETRY_DELAY_SECONDS: f64 = 0.02;
const MAX_PLACEMENT_RETRY_DELAY_SECONDS: f64 = 0.06;
/// Seconds between two calls from which this process counts as having been stalled; ticks come far sooner.
const STALL_THRESHOLD_SECONDS: f64 = 0.3;

/// An attempt of a query, by its number from 0.
#[derive(Clone, Copy)]
struct AttemptRef {
    query: QueryId,
    attempt: u32,
}

/// The decisions of one gateway, with all that they remember. Nothing of it outlives the process.
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
///     panic!("an idle engine takes it at once");
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
    /// When the last event came that moves the virtual clock, in seconds.
    last_event_at: f64,
    /// When this process was last found to go on after a stall, in seconds.
    resumed_at: f64,
    timers: TimerQueue,

    queries: BTreeMap<QueryId, QueryState>,
    /// By ordering key.
    key_queues: BTreeMap<u64, KeyQueue>,
    tenant_queues: Vec<TenantQueue>,
    fair_clock: FairClock,
    /// Seconds that an attempt is charged with until its end is known: the longest deadline of a class.
    assumed_service_seconds: f64,

    engines: Vec<EngineState>,
    /// The engines that are ready, by index.
    ready: Vec<EngineId>,
    pool_capacity: PoolCapacity,
    kinds: BTreeMap<usize, KindState>,
    /// By number, each as engines by priority level.
    endpoint_subsets: BTreeMap<u32, Vec<EngineSet>>,

    class_statistics: Vec<ClassStatistics>,
    /// Work of the queries admitted lately.
    usual_work: DecayingAverage,
    last_admitted: Option<Query>,
    in_flight_time: InFlightTime,
    retry_window: RetryWindow,
    /// The last load report told the utilisation of cores.
    cpu_reported: bool,
    /// Health checks that admitted queries have paid for.
    health_check_budget: f64,

    subscription_due: bool,
    /// What waits is looked over for shedding once nothing more can begin.
    shedding_due: bool,
    pending_cancellations: VecDeque<AttemptRef>,
    pending_health_checks: VecDeque<EngineId>,
    /// Queries that were given up and wait for their answer.
    abandoned: VecDeque<QueryId>,
}

impl AdmissionController {
    /// A gateway's decisions from `now` on, in seconds. Gateways need seeds of their own, or they
    /// choose alike; the lowest bit of a seed does not count.
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
            // One attempt of each class, until there are others.
            in_flight_time: InFlightTime {
                thread_seconds: classes.iter().map(|c| c.threads).sum(),
                seconds: classes.len() as f64,
            },
            subscription_due: settings.subscription_required,
            settings,
            ..AdmissionController::default()
        }
    }

    /// Takes note of the time of an event: detects a stall of this process and advances the virtual clock.
    fn observe_time(&mut self, now: f64) {
        let elapsed = now - self.last_event_at;
        if elapsed > STALL_THRESHOLD_SECONDS {
            self.resumed_at = now;
        }
        self.advance_fair_clock(elapsed);
        self.last_event_at = self.last_event_at.max(now);
    }
}
