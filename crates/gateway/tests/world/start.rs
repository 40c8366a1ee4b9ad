//! How a world begins: its engines, cuts and resets, and the module with its settings, all drawn from one seed.

use super::engines::{Process, Slot};
use super::figures::{
    BOUNDS, CORES, DAY, ENGINES, IDEMPOTENCY_WINDOW, KEY_REST, RETRY_BUDGET, SLOW_START, STEP,
};
use super::random::Rng;
use super::{seconds, Slip, World};
use garnetwall::api::*;
use garnetwall::controller::AdmissionController;
use garnetwall_ledger::{Bounds, Ledger};

impl World {
    pub fn new(seed: u64, slip: Slip) -> World {
        let mut rng = Rng(seed ^ 0x9e37_79b9_7f4a_7c15);
        rng.draw(2);
        let mut processes = Vec::new();
        for slot in 0..ENGINES {
            let drains = rng.between(1000, 9000);
            let dies = drains + rng.between(0, 5000);
            let told = drains + rng.draw(3000);
            let next = drains + rng.between(20, 4000);
            let far = 10 * DAY;
            let lasts = slot == 0 || rng.one_in(3);
            let (drains, dies, told) = if lasts {
                (far, far, far)
            } else {
                (drains, dies, told)
            };
            let told_gone = dies.max(told) + rng.draw(2000);
            processes.push(Process {
                slot,
                up: 0,
                drains,
                dies,
                told_up: 0,
                told,
                told_gone,
            });
            if !lasts {
                // It takes the address, perhaps while the old one runs on.
                let told_up = next + rng.draw(1000);
                let heir = Process {
                    slot,
                    up: next,
                    drains: far,
                    dies: far,
                    told_up,
                    told: far,
                    told_gone: far,
                };
                processes.push(heir);
            }
        }
        let slots = (0..ENGINES).map(|_| {
            let from = rng.between(500, DAY);
            let cut = if rng.one_in(3) {
                (from, from + rng.between(500, 6000))
            } else {
                (0, 0)
            };
            Slot {
                cut,
                resets: (0..rng.draw(5))
                    .map(|_| rng.between(300, DAY) / STEP * STEP)
                    .collect(),
            }
        });
        let slots = slots.collect();
        let referenced = Idempotency::IdempotentByKey {
            scope: DeduplicationScope::Zone,
            window: IDEMPOTENCY_WINDOW,
        };
        let mut groups = vec![
            group(Idempotency::Idempotent, false),
            group(Idempotency::NonIdempotent, true),
            group(referenced, true),
        ];
        groups[0].zones = (slip != Slip::OverlooksZones).then(|| vec![0]);
        let settings = Settings {
            classes: groups,
            tenants: 1,
            gateways: 1.0,
            kind_cores: vec![Some(CORES)],
            cancellation_allowed: true,
            retry_after_allowed: true,
            max_retry_after: 1.0,
            max_attempts: 4,
            key_pause: if slip == Slip::RestsNoKeys {
                0.0
            } else {
                KEY_REST as f64 / 1000.0
            },
            retry_budget: (slip != Slip::OverlooksBudget).then_some(RETRY_BUDGET),
            slow_start: (slip != Slip::OverlooksColdness).then_some(SLOW_START),
            ..Settings::default()
        };
        let starved = rng.between(1000, DAY);
        let starved = if rng.one_in(2) {
            (starved, starved + rng.between(100, 2500))
        } else {
            (0, 0)
        };
        let notes = (seed >> 8) % 4 == 1;
        let bounds = Bounds {
            progress_events: notes && slip != Slip::OverlooksNotes,
            ..BOUNDS
        };
        let mut world = World {
            slip,
            notes,
            now: 0,
            starved,
            control: AdmissionController::new(settings, seed | 1, seconds(0)),
            ledger: Ledger::new(bounds),
            processes,
            slots,
            executions: Vec::new(),
            attempts: Vec::new(),
            queries: Vec::new(),
            retries: Vec::new(),
            broken: Vec::new(),
            rng,
        };
        let lines: Vec<Endpoint> = (0..world.processes.len())
            .filter_map(|e| world.line(e, 0))
            .collect();
        world.control.update_endpoints(&lines, true);
        world
    }
}

fn group(effect: Idempotency, in_order: bool) -> QueryClass {
    QueryClass {
        latency_objective: 2.0,
        latency_objective_stretch: 2.0,
        deadline: 5.0,
        priority_weight: 1.0,
        late_value_share: 0.5,
        idempotency: effect,
        in_order,
        zones: None,
        kinds: None,
        threads: 1.0,
        is_load: false,
        waits_for_loads: false,
        retry_budget: None,
    }
}
