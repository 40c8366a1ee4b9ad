//! Lists of thousands of engines: a choice looks at a sample, and at the whole list where the sample holds few that may be used.

#[allow(dead_code)]
mod helper;

use garnetwall::api::{AttemptEnd, EndpointState, Idempotency};
use helper::{query_class, settings, World};
use std::collections::HashSet;

const ENGINES: usize = 3200;

#[test]
fn a_rare_kind_is_found() {
    let mut bound = query_class(Idempotency::Idempotent);
    bound.kinds = Some(vec![1]);
    let mut world = World::new(settings(vec![bound]), ENGINES);
    world.pump();
    let kept = [101, 1501, 3101];
    for engine in (1..ENGINES)
        .step_by(2)
        .filter(|engine| !kept.contains(engine))
    {
        world.update_endpoint(engine, EndpointState::Removed, None);
    }
    for _ in 0..6 {
        let id = world.admit(0, 0, None, 4.0);
        world.pass(0.3);
        let sent = world.engines_tried(id);
        assert!(sent.len() == 1 && kept.contains(&sent[0]), "{sent:?}");
        world.end_attempt(id, AttemptEnd::Succeeded);
    }
}

#[test]
fn the_last_engine_that_serves_is_found() {
    let mut world = World::new(
        settings(vec![query_class(Idempotency::Idempotent)]),
        ENGINES,
    );
    world.pump();
    for engine in (0..ENGINES).filter(|engine| *engine != 2718) {
        world.update_endpoint(engine, EndpointState::Draining, None);
    }
    let id = world.admit(0, 0, None, 4.0);
    world.pass(0.1);
    assert_eq!(world.engines_tried(id), [2718]);
}

/// Both zones and kinds, and no part of the list more than its share.
#[test]
fn all_parts_of_the_list_are_used_evenly() {
    let mut world = World::new(
        settings(vec![query_class(Idempotency::Idempotent)]),
        ENGINES,
    );
    world.pump();
    let mut used = Vec::new();
    for _ in 0..800 {
        let id = world.admit(0, 0, None, 4.0);
        world.pass(0.01);
        used.extend(world.engines_tried(id));
        world.end_attempt(id, AttemptEnd::Succeeded);
    }
    assert_eq!(used.len(), 800);
    // Engines of the odd kind have one core, the others eight: a ninth of the queries is theirs.
    let odd = used.iter().filter(|engine| *engine % 2 == 1).count();
    assert!(
        (60..=120).contains(&odd),
        "{odd} of 800 to the kind with a ninth of the cores"
    );
    let mut eighths = [0; 8];
    used.iter()
        .for_each(|engine| eighths[engine * 8 / ENGINES] += 1);
    assert!(
        eighths.iter().all(|part| (50..=160).contains(part)),
        "{eighths:?}"
    );
    let different = used.iter().collect::<HashSet<_>>().len();
    assert!(different > 200, "{different} different engines");
}
