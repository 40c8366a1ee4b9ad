//! Shares against what must hold of any, and a played outage: three zones, one lost and back cold.

use super::shares::{PANIC_FRACTION, SPILL_FROM_FRACTION};
use super::zone::{MAX_HOLD_DOWN_SECONDS, OUTCOME_DECAY_SECONDS, TRIALS_TO_RECOVER};
use super::*;
use proptest::collection::vec;
use proptest::prelude::*;

#[derive(Clone, Debug)]
struct Drawn {
    priority_levels: Vec<usize>,
    capacity: Vec<f64>,
    others: Vec<f64>,
    may: Vec<bool>,
    /// Zones that are lost, by failures.
    lost: Vec<bool>,
    load: f64,
}

fn drawn() -> impl Strategy<Value = Drawn> {
    (1usize..6).prop_flat_map(|n| {
        (
            vec(0usize..3, n),
            vec(prop_oneof![1 => Just(0.0), 5 => 1.0..200.0f64], n),
            vec(prop_oneof![2 => Just(0.0), 1 => 0.0..100.0f64], n),
            vec(prop_oneof![1 => Just(false), 4 => Just(true)], n),
            vec(prop_oneof![3 => Just(false), 1 => Just(true)], n),
            0.0..600.0f64,
        )
            .prop_map(
                |(priority_levels, capacity, others, may, lost, load)| Drawn {
                    priority_levels,
                    capacity,
                    others,
                    may,
                    lost,
                    load,
                },
            )
    })
}

fn made(d: &Drawn) -> Zones {
    let mut zones = Zones::new(&d.priority_levels);
    for n in 0..d.priority_levels.len() {
        zones.update_capacity(0.0, n, d.capacity[n], d.others[n]);
        for _ in 0..if d.lost[n] { 20 } else { 0 } {
            zones.attempt_ended(0.0, n, 0.0, ZoneOutcome::Failed);
        }
    }
    zones
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    #[test]
    fn shares_hold_what_fits_and_nothing_goes_where_it_may_not(d in drawn()) {
        let zones = made(&d);
        let shares = zones.shares(d.load, &d.may);
        let all: f64 = shares.zones.iter().sum();
        prop_assert!(all <= 1.0 + 1e-9 && shares.zones.iter().all(|s| *s >= 0.0));
        let by_tier: f64 = shares.priority_levels.iter().sum();
        prop_assert!((by_tier - all).abs() < 1e-9);
        let open = |n: &usize| d.may[*n];
        let n = || (0..d.priority_levels.len()).filter(open);
        let told: f64 = n().map(|n| d.capacity[n]).sum();
        let room = |n: usize| (zones.allowed_cores(n) - d.others[n]).max(0.0);
        for (n, share) in shares.zones.iter().enumerate() {
            prop_assert!(d.may[n] || *share == 0.0, "placement");
            if shares.panic {
                prop_assert!(share * d.load <= d.capacity[n] + 1e-6);
            } else if d.load > MIN_DIVISOR {
                prop_assert!(share * d.load <= room(n) + 1e-6, "a neighbour is not overrun");
                prop_assert!(zones.allowed_cores(n) > 0.0 || *share == 0.0);
            }
        }
        let held = d.load * all;
        let holds: f64 = if shares.panic { told } else { n().map(room).sum() };
        if d.load > MIN_DIVISOR {
            prop_assert!((held - d.load.min(holds)).abs() < 1e-6, "{held} held of {}, room for {holds}", d.load);
        }
        // The nearest priority_level has it all while that is well within its room.
        let first = n().filter(|n| room(*n) > 0.0).map(|n| d.priority_levels[n]).min();
        let near: f64 = n().filter(|n| Some(d.priority_levels[*n]) == first).map(room).sum();
        if let Some(first) = first.filter(|_| !shares.panic && d.load > MIN_DIVISOR && d.load <= SPILL_FROM_FRACTION * near) {
            prop_assert!((shares.priority_levels[first] - 1.0).abs() < 1e-9, "{shares:?}");
        }
    }

    /// The panic floor: health is doubted only where the healthy part is under half of what is told and would not hold
    /// the load; then no zone gets more for its capacity than the healthy few would have got.
    #[test]
    fn doubting_health_never_gives_the_healthy_few_more(d in drawn()) {
        let zones = made(&d);
        let shares = zones.shares(d.load, &d.may);
        let open = || (0..d.priority_levels.len()).filter(|n| d.may[*n]);
        let told: f64 = open().map(|n| d.capacity[n]).sum();
        let healthy: f64 = open().map(|n| zones.allowed_cores(n)).sum();
        prop_assert_eq!(shares.panic, healthy < PANIC_FRACTION * told && healthy < d.load);
        if shares.panic && healthy > 0.0 {
            for n in open().filter(|n| d.capacity[*n] > 0.0) {
                let density = shares.zones[n] * d.load / d.capacity[n];
                prop_assert!(density <= d.load / healthy + 1e-9);
            }
        }
    }

    /// By degrees: a little more load moves little, and a priority_level never keeps less of more.
    #[test]
    fn a_tier_spills_without_an_edge(capacity in 1.0..500.0f64, load in 0.0..2000.0f64) {
        let step = capacity / 100.0;
        let (a, b) = (carried_before_spilling(load, capacity), carried_before_spilling(load + step, capacity));
        prop_assert!(a <= load.min(capacity) && b >= a - 1e-9 && b - a <= step + 1e-9);
    }

    #[test]
    fn a_pick_follows_the_shares(d in drawn(), draws in vec(0.0..1.0f64, 10)) {
        let shares = made(&d).shares(d.load, &d.may);
        for draw in draws {
            match shares.pick(draw) {
                Some(zone) => prop_assert!(shares.zones[zone] > 0.0),
                None => prop_assert!(draw >= 1.0 - shares.rejected_share() - 1e-9),
            }
        }
    }

    #[test]
    fn the_dense_groups_are_held_first(groups in vec((0.1..9.0f64, 0.0..50.0f64), 1..6), capacity in 0.0..120.0f64) {
        let groups: Vec<LoadGroup> = groups
            .into_iter()
            .map(|(utility_per_work, load)| LoadGroup { utility_per_work, load })
            .collect();
        let fractions = admit_by_value(&groups, capacity);
        let admitted: f64 = groups.iter().zip(&fractions).map(|(group, fraction)| group.load * fraction).sum();
        let all: f64 = groups.iter().map(|group| group.load).sum();
        prop_assert!((admitted - all.min(capacity)).abs() < 1e-6);
        for (a, pa) in groups.iter().zip(&fractions) {
            for (b, pb) in groups.iter().zip(&fractions) {
                prop_assert!(a.utility_per_work <= b.utility_per_work || b.load <= MIN_DIVISOR || *pb <= 0.0 || *pa >= 1.0 - 1e-9, "less dense before denser");
            }
        }
    }
}

/// How a zone that is back gets its load.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ramp {
    Evidence,
    /// Evenly over so many seconds since it was told back.
    Clock(f64),
}

/// What came of a played outage.
#[derive(Debug)]
struct Outcome {
    /// Times the returning zone was pushed over.
    overruns: usize,
    /// Most of its load over what it could do then.
    worst: f64,
    /// Seconds from being told back until it has nine tenths of its share.
    back_after: f64,
    /// Parts of all work by priority_level while it was lost, and rejected.
    spilled: f64,
    rejected_share: f64,
}

/// Three zones of 100 cores, the nearest with 65 cores of load, lost at 20 s, back cold at 40 s; it warms up in `warm`
/// seconds of running, from 0.3 of its cores. `told` is what the settings say it takes. Work is in units of 0.2 core
/// seconds; a zone whose work in flight is three times what it can do for half a second falls over for 2 s.
fn played(ramp: Ramp, warm: f64, flaps: bool) -> Outcome {
    let mut zones = Zones::new(&[0, 1, 2]);
    (0..3).for_each(|n| zones.update_capacity(0.0, n, 100.0, if n == 0 { 0.0 } else { 40.0 }));
    let (load, unit, step) = (65.0, 0.2, 0.01);
    let mut queue = [0.0f64; 3];
    let mut done = [0.0f64; 3];
    let mut up_at = 0.0f64;
    let (mut pressed, mut fallen, mut overruns, mut worst) = (0.0, -1.0f64, 0, 0.0f64);
    let (mut spilled, mut turned, mut outage) = (0.0, 0.0, 0.0);
    let mut back_after = f64::NAN;
    let mut debt = 0.0;
    let mut draw = 0.5f64;
    for tick in 0..20_000 {
        let now = f64::from(tick) * step;
        let down = (20.0..40.0).contains(&now) || (flaps && (45.0..50.0).contains(&now));
        let was_down =
            (20.0..40.0 + step).contains(&now) || (flaps && (45.0..50.0 + step).contains(&now));
        if down {
            if queue[0] > 0.0 {
                zones.attempt_ended(now, 0, queue[0], ZoneOutcome::Failed);
            }
            queue[0] = 0.0;
            zones.update_capacity(now, 0, 0.0, 0.0);
        } else if was_down {
            (up_at, fallen) = (now, -1.0);
            zones.update_capacity(now, 0, 100.0, 0.0);
        }
        let able = |n: usize, fallen: f64| match n {
            0 if down || now < fallen => 0.0,
            0 if up_at > 0.0 => 100.0 * (0.3 + 0.7 * ((now - up_at) / warm).min(1.0)),
            0 => 100.0,
            _ => 60.0,
        };
        // What comes in this step, unit by unit, each drawn its zone.
        debt += load * step / unit;
        while debt >= 1.0 {
            debt -= 1.0;
            draw = (draw + 0.618_033_988_75).fract();
            let shares = zones.shares(load, &[true; 3]);
            let by_clock = match ramp {
                Ramp::Clock(over) if up_at > 0.0 && !down => {
                    // By the clock: the first priority_level has its part, the rest goes on.
                    let fraction = ((now - up_at) / over).clamp(0.05, 1.0);
                    let first = (fraction * 100.0 / load).min(1.0);
                    Some(if draw < first {
                        Some(0)
                    } else {
                        Some(1 + usize::from(draw > (1.0 + first) / 2.0))
                    })
                }
                _ => None,
            };
            let trial = ramp == Ramp::Evidence && !down && zones.start_trial(now, 0);
            let zone = if trial {
                Some(0)
            } else {
                by_clock.unwrap_or_else(|| shares.pick(draw))
            };
            if down || (up_at > 0.0 && now < 41.0) {
                outage += 1.0;
                spilled += f64::from(u8::from(zone.is_some_and(|z| z > 0)));
                turned += f64::from(u8::from(zone.is_none()));
            }
            if let Some(zone) = zone {
                queue[zone] += unit;
                zones.attempt_begun(zone, unit);
            }
            if up_at > 0.0
                && back_after.is_nan()
                && now > if flaps { 50.0 } else { 40.0 }
                && shares.zones[0] > 0.9
            {
                back_after = now - up_at;
            }
        }
        for n in 0..3 {
            let can = able(n, fallen);
            // Work in flight for a second of what it can do is its usual; beyond that all get slower.
            let slowdown = (queue[n] / (can * 0.25).max(MIN_DIVISOR)).max(1.0);
            if n == 0 && up_at > 0.0 && !down {
                if can > 0.0 {
                    worst = worst.max(queue[0] / (can * 0.25));
                }
                pressed = if can > 0.0 && slowdown > 3.0 {
                    pressed + step
                } else {
                    0.0
                };
                if pressed > 0.5 {
                    overruns += 1;
                    (fallen, pressed) = (now + 2.0, 0.0);
                    while queue[0] > 0.0 {
                        queue[0] -= unit;
                        zones.attempt_ended(now, 0, unit, ZoneOutcome::Failed);
                    }
                    queue[0] = 0.0;
                }
            }
            done[n] += (can * step).min(queue[n]);
            while done[n] >= unit {
                done[n] -= unit;
                queue[n] = (queue[n] - unit).max(0.0);
                zones.attempt_ended(
                    now,
                    n,
                    unit,
                    ZoneOutcome::Succeeded {
                        work: unit,
                        slowdown,
                    },
                );
            }
        }
    }
    Outcome {
        overruns,
        worst,
        back_after,
        spilled: spilled / outage,
        rejected_share: turned / outage,
    }
}

/// By evidence a returning zone is never pushed over, however long it takes to warm up, and one that is quick is back
/// sooner than by a careful clock; a clock that is right for one is wrong for the other.
#[test]
fn a_zone_returns_by_what_it_has_shown() {
    for warm in [2.0, 10.0, 60.0] {
        for flaps in [false, true] {
            let by = |ramp| played(ramp, warm, flaps);
            let evidence = by(Ramp::Evidence);
            println!("warm in {warm} s, flaps {flaps}: evidence {evidence:.2?}");
            for over in [2.0, 10.0, 60.0] {
                println!("    clock of {over} s: {:.2?}", by(Ramp::Clock(over)));
            }
            assert_eq!(evidence.overruns, 0, "{evidence:?}");
            assert!(
                evidence.worst < 3.0 && evidence.back_after < 60.0,
                "{evidence:?}"
            );
            assert!(
                evidence.spilled > 0.99 && evidence.rejected_share < 0.01,
                "all that fits goes on: {evidence:?}"
            );
        }
    }
    assert!(
        played(Ramp::Clock(2.0), 60.0, false).overruns > 0,
        "the clock that is right for a quick one"
    );
}

#[test]
fn a_zone_that_flutters_is_held_back_longer_each_time() {
    let mut zones = Zones::new(&[0, 1]);
    (0..2).for_each(|n| zones.update_capacity(0.0, n, 100.0, 0.0));
    let (mut now, mut waits) = (0.0, Vec::new());
    for _ in 0..5 {
        (0..30).for_each(|_| zones.attempt_ended(now, 0, 0.0, ZoneOutcome::Failed));
        let Health::Lost { until } = zones.health(0) else {
            panic!("lost")
        };
        waits.push(until - now);
        // It does well as soon as it may be tried.
        now = until;
        assert!(
            zones.start_trial(now, 0) && !zones.start_trial(now, 0),
            "one trial at a time"
        );
        now += 6.0 * OUTCOME_DECAY_SECONDS;
        for _ in 0..TRIALS_TO_RECOVER {
            zones.attempt_ended(
                now,
                0,
                0.0,
                ZoneOutcome::Succeeded {
                    work: 0.2,
                    slowdown: 1.0,
                },
            );
        }
        assert!(matches!(zones.health(0), Health::Recovering { .. }));
    }
    assert_eq!(waits[0], 0.0, "the first costs nothing");
    assert!(
        waits.windows(2).skip(1).all(|w| w[1] > w[0])
            && waits.iter().all(|w| *w <= MAX_HOLD_DOWN_SECONDS),
        "{waits:?}"
    );
}
