//! Tests that gateways with the same endpoint list do not all check the same engines first. Otherwise all gateways
//! would prefer these engines, because an idle engine that has been contacted can rank ahead of one that has not.

#[allow(dead_code)]
mod helper;

use garnetwall::api::{EngineId, Idempotency, Settings};
use helper::{query_class, settings, Simulation};

const GATEWAYS: u64 = 60;
const ENGINES: usize = 60;
/// Number of queries. At 0.05 health checks per query, they allow three.
const QUERIES: usize = 60;

/// Returns the first two engines that a gateway checks.
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
        assert_eq!(checked.len(), 2, "health checks of gateway {seed}");
        checked
            .into_iter()
            .for_each(|engine| gateways_by_engine[engine] += 1);
    }
    // The mean is two gateways per engine. With the same order on all gateways, two engines would have 60 each.
    let most = gateways_by_engine.iter().max();
    assert!(
        most < Some(&9),
        "gateways by engine: {gateways_by_engine:?}"
    );
}
