//! Tests the choice of an engine from a list of thousands, which examines a sample, or the whole list if the sample
//! contains too few usable engines.

#[allow(dead_code)]
mod helper;

use garnetwall::api::{AttemptEnd, EndpointState, Idempotency};
use helper::{query_class, settings, Simulation};
use std::collections::HashSet;

const ENGINES: usize = 3200;

#[test]
fn engines_of_a_rare_kind_are_found_in_a_long_list() {
    let mut restricted = query_class(Idempotency::Idempotent);
    restricted.kinds = Some(vec![1]);
    let mut sim = Simulation::new(settings(vec![restricted]), ENGINES);
    sim.run_actions();
    let remaining = [101, 1501, 3101];
    for engine in (1..ENGINES)
        .step_by(2)
        .filter(|engine| !remaining.contains(engine))
    {
        sim.update_endpoint(engine, EndpointState::Removed, None);
    }
    for _ in 0..6 {
        let id = sim.admit(0, 0, None, 4.0);
        sim.advance(0.3);
        let sent = sim.engines_tried(id);
        assert!(
            sent.len() == 1 && remaining.contains(&sent[0]),
            "engines tried: {sent:?}"
        );
        sim.end_attempt(id, AttemptEnd::Succeeded);
    }
}

#[test]
fn only_ready_engine_of_a_long_list_is_found() {
    let mut sim = Simulation::new(
        settings(vec![query_class(Idempotency::Idempotent)]),
        ENGINES,
    );
    sim.run_actions();
    for engine in (0..ENGINES).filter(|engine| *engine != 2718) {
        sim.update_endpoint(engine, EndpointState::Draining, None);
    }
    let id = sim.admit(0, 0, None, 4.0);
    sim.advance(0.1);
    assert_eq!(sim.engines_tried(id), [2718]);
}

/// The engines of both kinds, and all parts of the list, get their share of the queries.
#[test]
fn all_parts_of_a_long_list_are_used_evenly() {
    let mut sim = Simulation::new(
        settings(vec![query_class(Idempotency::Idempotent)]),
        ENGINES,
    );
    sim.run_actions();
    let mut used = Vec::new();
    for _ in 0..800 {
        let id = sim.admit(0, 0, None, 4.0);
        sim.advance(0.01);
        used.extend(sim.engines_tried(id));
        sim.end_attempt(id, AttemptEnd::Succeeded);
    }
    assert_eq!(used.len(), 800);
    // Engines with odd indices have one core, the others eight, so a ninth of the queries should go to the odd ones.
    let odd = used.iter().filter(|engine| *engine % 2 == 1).count();
    assert!(
        (60..=120).contains(&odd),
        "{odd} of 800 queries went to the kind with a ninth of the cores"
    );
    let mut eighths = [0; 8];
    used.iter()
        .for_each(|engine| eighths[engine * 8 / ENGINES] += 1);
    assert!(
        eighths.iter().all(|part| (50..=160).contains(part)),
        "queries by eighth of the list: {eighths:?}"
    );
    let distinct = used.iter().collect::<HashSet<_>>().len();
    assert!(distinct > 200, "only {distinct} distinct engines were used");
}
