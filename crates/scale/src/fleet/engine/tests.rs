use super::{AttemptKey, Engine, EngineState, ReceiveOutcome, Site};
use crate::fleet::experiment::SlowStartSettings;
use crate::fleet::time::SimTime;

const COLD: SlowStartSettings = SlowStartSettings {
    starts_at: 0.5,
    warm_after: 10.0,
    multiple: 3.0,
    window: 2.0,
};
const SITE: Site = Site {
    zone: 0,
    rack: 0,
    kind: 0,
    cores: 2.0,
};
const MEAN_WORK: f64 = 1.0;

fn key(query: u32) -> AttemptKey {
    AttemptKey {
        gateway: 0,
        incarnation: 1,
        query,
        attempt: 0,
    }
}

fn at(seconds: f64) -> SimTime {
    SimTime::from_seconds(seconds)
}

fn receive(engine: &mut Engine, now: f64, query: u32, work: f64) -> (u64, ReceiveOutcome) {
    engine.receive(&COLD, MEAN_WORK, at(now), key(query), work)
}

#[test]
fn attempts_share_the_cores_equally() {
    let mut engine = Engine::new(SITE, None);
    for query in 0..4 {
        receive(&mut engine, 0.0, query, 1.0);
    }
    assert_eq!(engine.next_due(&COLD, at(0.0)), Some(at(0.0).after(2.0)));
    assert!(engine.finished(&COLD, at(1.9)).is_empty());
    assert_eq!(engine.finished(&COLD, at(2.0)).len(), 4);
    assert_eq!(engine.next_due(&COLD, at(2.0)), None);
}

#[test]
fn one_attempt_uses_one_core_and_can_be_withdrawn() {
    let mut engine = Engine::new(SITE, None);
    let (first, _) = receive(&mut engine, 0.0, 0, 3.0);
    let (second, _) = receive(&mut engine, 1.0, 1, 5.0);
    assert!(engine.withdraw(&COLD, at(2.0), second, key(1)));
    assert!(!engine.withdraw(&COLD, at(2.0), second, key(1)));
    assert_eq!(engine.finished(&COLD, at(3.0)), vec![key(0)]);
    assert!(!engine.withdraw(&COLD, at(3.0), first, key(0)));
}

#[test]
fn a_cold_engine_crashes_when_a_window_exceeds_budget_and_tolerance() {
    // The budget is 3 x 2 s x half of two cores = 6 queries. The tolerance adds two standard deviations (the square
    // root of the budget each) and 2 queries.
    let most = 6.0 + 2.0 * 6.0_f64.sqrt() + 2.0;
    let mut engine = Engine::new(SITE, Some(at(0.0)));
    let mut sent = 0;
    while receive(&mut engine, 1.0, sent, 1.0).1 == ReceiveOutcome::Running {
        sent += 1;
    }
    assert_eq!(sent, most as u32);
    let mut warm = Engine::new(SITE, None);
    assert!((0..100).all(|query| receive(&mut warm, 1.0, query, 1.0).1 == ReceiveOutcome::Running));
}

#[test]
fn a_silent_engine_accepts_attempts_and_finishes_none() {
    let mut engine = Engine::new(SITE, None);
    engine.set_silent(&COLD, at(0.0), true);
    receive(&mut engine, 0.0, 0, 1.0);
    assert!(engine.reachable() && engine.finished(&COLD, at(50.0)).is_empty());
    engine.set_silent(&COLD, at(50.0), false);
    assert_eq!(engine.finished(&COLD, at(51.0)), vec![key(0)]);
}

#[test]
fn a_stopped_engine_ends_all_attempts_and_starts_cold() {
    let mut engine = Engine::new(SITE, None);
    receive(&mut engine, 0.0, 0, 9.0);
    assert_eq!(engine.stop(&COLD, at(1.0), EngineState::Down), vec![key(0)]);
    assert!(!engine.reachable());
    engine.start(at(4.0));
    assert_eq!(
        (
            engine.effective_cores(&COLD, at(4.0)),
            engine.effective_cores(&COLD, at(14.0))
        ),
        (1.0, 2.0)
    );
}
