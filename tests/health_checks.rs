//! Gateways that decide alone and receive the same list must not all come to know the same engines first: all would favour them.

#[allow(dead_code)]
mod helper;

use garnetwall::api::{EngineId, Idempotency, Settings};
use helper::{query_class, settings, Simulation};

const GATEWAYS: u64 = 60;
const ENGINES: usize = 60;
/// They pay for three probes.
const QUERIES: usize = 60;

/// The engines that a gateway probes first.
fn checked_first(seed: u64) -> Vec<EngineId> {
    let test_settings = Settings {
        health_checks_allowed: true,
        ..settings(vec![query_class(Idempotency::Idempotent)])
    };
    let mut sim = Simulation::seeded(test_settings, ENGINES, seed);
    for _ in 0..QUERIES {
        sim.admit(0, 0, None, 4.0);
        sim.advance(0.01);
    }
    sim.advance(0.2);
    sim.health_checks.truncate(2);
    sim.health_checks
}

#[test]
fn gateways_check_engines_in_different_orders() {
    let mut gateways_by_engine = [0; ENGINES];
    for seed in 0..GATEWAYS {
        let checked = checked_first(seed * 7919 + 11);
        assert_eq!(checked.len(), 2, "gateway {seed}");
        checked
            .into_iter()
            .for_each(|engine| gateways_by_engine[engine] += 1);
    }
    // Two in the mean; of one order for all, 60.
    let most = gateways_by_engine.iter().max();
    assert!(most < Some(&9), "{gateways_by_engine:?}");
}
