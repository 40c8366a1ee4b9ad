//! Gateways that decide alone and receive the same list must not all come to know the same engines first: all would favour them.

#[allow(dead_code)]
mod helper;

use garnetwall::api::{EngineId, Idempotency, Settings};
use helper::{query_class, settings, World};

const GATEWAYS: u64 = 60;
const ENGINES: usize = 60;
/// They pay for three probes.
const QUERIES: usize = 60;

/// The engines that a gateway probes first.
fn probed_first(seed: u64) -> Vec<EngineId> {
    let notified = Settings {
        health_checks_allowed: true,
        ..settings(vec![query_class(Idempotency::Idempotent)])
    };
    let mut world = World::seeded(notified, ENGINES, seed);
    for _ in 0..QUERIES {
        world.admit(0, 0, None, 4.0);
        world.pass(0.01);
    }
    world.pass(0.2);
    world.health_checks.truncate(2);
    world.health_checks
}

#[test]
fn gateways_check_engines_in_different_orders() {
    let mut gateways_of = [0; ENGINES];
    for seed in 0..GATEWAYS {
        let probed = probed_first(seed * 7919 + 11);
        assert_eq!(probed.len(), 2, "gateway {seed}");
        probed
            .into_iter()
            .for_each(|engine| gateways_of[engine] += 1);
    }
    // Two in the mean; of one order for all, 60.
    let most = gateways_of.iter().max();
    assert!(most < Some(&9), "{gateways_of:?}");
}
