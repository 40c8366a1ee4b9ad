//! The initial state of the simulation: engines, partitions, resets, and the controller with its settings, all drawn
//! from one seed.

use super::engines::{Process, Slot};
use super::figures::{
    ARRIVAL_PERIOD, CORES_PER_ENGINE, ENGINE_COUNT, IDEMPOTENCY_WINDOW, KEY_PAUSE, PROTOCOL_LIMITS,
    RETRY_BUDGET, SLOW_START, TIME_STEP,
};
use super::random::Rng;
use super::{seconds, InjectedBug, Simulation};
use garnetwall::api::*;
use garnetwall::controller::AdmissionController;
use garnetwall_ledger::{Ledger, ProgressEvents, ProtocolLimits};

impl Simulation {
    /// Returns a simulation at time 0 whose gateway has the given bug.
    pub fn new(seed: u64, bug: InjectedBug) -> Simulation {
        let mut rng = Rng(seed ^ 0x9e37_79b9_7f4a_7c15);
        rng.draw(2);
        let mut processes = Vec::new();
        for slot in 0..ENGINE_COUNT {
            let refuses_from = rng.between(1000, 9000);
            let killed_at = refuses_from + rng.between(0, 5000);
            let draining_listed_at = refuses_from + rng.draw(3000);
            let successor_start = refuses_from + rng.between(20, 4000);
            let never = 10 * ARRIVAL_PERIOD;
            let runs_on = slot == 0 || rng.one_in(3);
            let (refuses_from, killed_at, draining_listed_at) = if runs_on {
                (never, never, never)
            } else {
                (refuses_from, killed_at, draining_listed_at)
            };
            let removal_listed_at = killed_at.max(draining_listed_at) + rng.draw(2000);
            processes.push(Process {
                slot,
                started_at: 0,
                refuses_from,
                killed_at,
                listed_at: 0,
                draining_listed_at,
                removal_listed_at,
            });
            if !runs_on {
                // The successor takes over the address, possibly while the old process runs on.
                let listed_at = successor_start + rng.draw(1000);
                let successor = Process {
                    slot,
                    started_at: successor_start,
                    refuses_from: never,
                    killed_at: never,
                    listed_at,
                    draining_listed_at: never,
                    removal_listed_at: never,
                };
                processes.push(successor);
            }
        }
        let slots = (0..ENGINE_COUNT).map(|_| {
            let from = rng.between(500, ARRIVAL_PERIOD);
            let partition = if rng.one_in(3) {
                (from, from + rng.between(500, 6000))
            } else {
                (0, 0)
            };
            Slot {
                partition,
                resets: (0..rng.draw(5))
                    .map(|_| rng.between(300, ARRIVAL_PERIOD) / TIME_STEP * TIME_STEP)
                    .collect(),
            }
        });
        let slots = slots.collect();
        let referenced = Idempotency::IdempotentByKey {
            scope: DeduplicationScope::Zone,
            window: IDEMPOTENCY_WINDOW,
        };
        let mut classes = vec![
            class(Idempotency::Idempotent, false),
            class(Idempotency::NonIdempotent, true),
            class(referenced, true),
        ];
        classes[0].zones = (bug != InjectedBug::IgnoresZones).then(|| vec![0]);
        let settings = Settings {
            classes,
            tenants: 1,
            gateways: 1.0,
            kind_cores: vec![Some(CORES_PER_ENGINE)],
            cancellation_allowed: true,
            retry_after_allowed: true,
            max_retry_after: 1.0,
            max_attempts: 4,
            key_pause: if bug == InjectedBug::PausesNoKeys {
                0.0
            } else {
                KEY_PAUSE as f64 / 1000.0
            },
            retry_budget: (bug != InjectedBug::IgnoresRetryBudget).then_some(RETRY_BUDGET),
            slow_start: (bug != InjectedBug::IgnoresSlowStart).then_some(SLOW_START),
            ..Settings::default()
        };
        let pause = rng.between(1000, ARRIVAL_PERIOD);
        let pause = if rng.one_in(2) {
            (pause, pause + rng.between(100, 2500))
        } else {
            (0, 0)
        };
        let reports_progress = (seed >> 8) % 4 == 1;
        let progress_events = if reports_progress && bug != InjectedBug::IgnoresProgress {
            ProgressEvents::KeepRunning
        } else {
            ProgressEvents::NotSent
        };
        let limits = ProtocolLimits {
            progress_events,
            ..PROTOCOL_LIMITS
        };
        let mut simulation = Simulation {
            bug,
            reports_progress,
            now: 0,
            pause,
            controller: AdmissionController::new(settings, seed | 1, seconds(0)),
            ledger: Ledger::new(limits),
            processes,
            slots,
            executions: Vec::new(),
            attempts: Vec::new(),
            queries: Vec::new(),
            retries: Vec::new(),
            violations: Vec::new(),
            rng,
        };
        let endpoints: Vec<Endpoint> = (0..simulation.processes.len())
            .filter_map(|e| simulation.endpoint_at(e, 0))
            .collect();
        simulation
            .controller
            .update_endpoints(&endpoints, ListScope::Full);
        simulation
    }
}

/// Returns a query class with the idempotency `semantics`.
fn class(semantics: Idempotency, in_order: bool) -> QueryClass {
    QueryClass {
        latency_objective: 2.0,
        latency_objective_stretch: 2.0,
        deadline: 5.0,
        priority_weight: 1.0,
        late_value_share: 0.5,
        idempotency: semantics,
        in_order,
        zones: None,
        kinds: None,
        threads: 1.0,
        loads_data: false,
        waits_for_data_loads: false,
        retry_budget: None,
    }
}
