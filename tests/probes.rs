//! Gateways that decide alone and are told the same list must not all come to know the same engines first: all would favour them.

#[allow(dead_code)]
mod helper;

use garnetwall::api::{EngineId, Idempotency, Settings};
use helper::{group, settings, World};

const GATEWAYS: u64 = 60;
const ENGINES: usize = 60;
/// They pay for three probes.
const QUERIES: usize = 60;

/// The engines that a gateway probes first.
fn probed_first(seed: u64) -> Vec<EngineId> {
    let told = Settings {
        health_checks_allowed: true,
        ..settings(vec![group(Idempotency::Idempotent)])
    };
    let mut world = World::seeded(told, ENGINES, seed);
    for _ in 0..QUERIES {
        world.take(0, 0, None, 4.0);
        world.pass(0.01);
    }
    world.pass(0.2);
    world.probes.truncate(2);
    world.probes
}

#[test]
fn gateways_probe_engines_in_different_orders() {
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
