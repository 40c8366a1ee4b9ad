//! Checks the properties of shares, and simulates an outage in which one of three zones is lost and returns in slow
//! start.

use super::shares::SPILL_FROM_FRACTION;
use super::sharing::PANIC_FRACTION;
use super::tolerance::MIN_DIVISOR;
use super::zone::{MAX_HOLD_DOWN_SECONDS, OUTCOME_DECAY_SECONDS, SUCCESSES_TO_RECOVER};
use super::*;
use proptest::collection::vec;
use proptest::prelude::*;

#[derive(Clone, Debug)]
struct Case {
    priority_levels: Vec<usize>,
    capacity: Vec<f64>,
    load_of_others: Vec<f64>,
    eligible: Vec<bool>,
    /// Zones that count as lost because their attempts failed.
    lost: Vec<bool>,
    load: f64,
}

fn cases() -> impl Strategy<Value = Case> {
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
                |(priority_levels, capacity, load_of_others, eligible, lost, load)| Case {
                    priority_levels,
                    capacity,
                    load_of_others,
                    eligible,
                    lost,
                    load,
                },
            )
    })
}

fn zones_of(case: &Case) -> Zones {
    let mut zones = Zones::new(&case.priority_levels);
    for n in 0..case.priority_levels.len() {
        zones.update_capacity(0.0, n, case.capacity[n], case.load_of_others[n]);
        for _ in 0..if case.lost[n] { 20 } else { 0 } {
            zones.attempt_ended(0.0, n, 0.0, ZoneOutcome::Failed);
        }
    }
    zones
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    #[test]
    fn shares_carry_all_load_that_eligible_zones_can_carry(case in cases()) {
        let zones = zones_of(&case);
        let shares = zones.shares(case.load, &case.eligible);
        let all: f64 = shares.zones.iter().sum();
        prop_assert!(all <= 1.0 + 1e-9 && shares.zones.iter().all(|s| *s >= 0.0));
        let by_level: f64 = shares.priority_levels.iter().sum();
        prop_assert!((by_level - all).abs() < 1e-9);
        let open = |n: &usize| case.eligible[*n];
        let n = || (0..case.priority_levels.len()).filter(open);
        let listed: f64 = n().map(|n| case.capacity[n]).sum();
        let free_cores = |n: usize| (zones.allowed_cores(n) - case.load_of_others[n]).max(0.0);
        for (n, share) in shares.zones.iter().enumerate() {
            prop_assert!(case.eligible[n] || *share == 0.0, "an ineligible zone gets load");
            if shares.panic {
                prop_assert!(share * case.load <= case.capacity[n] + 1e-6);
            } else if case.load > MIN_DIVISOR {
                prop_assert!(share * case.load <= free_cores(n) + 1e-6, "a zone gets more load than its free cores");
                prop_assert!(zones.allowed_cores(n) > 0.0 || *share == 0.0);
            }
        }
        let carried = case.load * all;
        let carriable: f64 = if shares.panic { listed } else { n().map(free_cores).sum() };
        if case.load > MIN_DIVISOR {
            prop_assert!((carried - case.load.min(carriable)).abs() < 1e-6, "carried {carried} of {} cores, could carry {carriable}", case.load);
        }
        // The nearest priority level carries the whole load up to SPILL_FROM_FRACTION of its free cores.
        let first = n().filter(|n| free_cores(*n) > 0.0).map(|n| case.priority_levels[n]).min();
        let near: f64 = n().filter(|n| Some(case.priority_levels[*n]) == first).map(free_cores).sum();
        if let Some(first) = first.filter(|_| !shares.panic && case.load > MIN_DIVISOR && case.load <= SPILL_FROM_FRACTION * near) {
            prop_assert!((shares.priority_levels[first] - 1.0).abs() < 1e-9, "{shares:?}");
        }
    }

    /// Shares ignore health only if the healthy capacity is under half of the listed capacity and cannot carry the
    /// load. No zone then gets more load per core than the healthy zones would have got.
    #[test]
    fn panic_mode_gives_no_zone_more_load_per_core_than_the_healthy_zones_would_get(case in cases()) {
        let zones = zones_of(&case);
        let shares = zones.shares(case.load, &case.eligible);
        let open = || (0..case.priority_levels.len()).filter(|n| case.eligible[*n]);
        let listed: f64 = open().map(|n| case.capacity[n]).sum();
        let healthy: f64 = open().map(|n| zones.allowed_cores(n)).sum();
        prop_assert_eq!(shares.panic, healthy < PANIC_FRACTION * listed && healthy < case.load);
        if shares.panic && healthy > 0.0 {
            for n in open().filter(|n| case.capacity[*n] > 0.0) {
                let density = shares.zones[n] * case.load / case.capacity[n];
                prop_assert!(density <= case.load / healthy + 1e-9);
            }
        }
    }

    /// A small increase of the load changes the carried load by at most as much, and never reduces it.
    #[test]
    fn carried_load_changes_gradually_with_the_offered_load(capacity in 1.0..500.0f64, load in 0.0..2000.0f64) {
        let step = capacity / 100.0;
        let (a, b) = (carried_before_spilling(load, capacity), carried_before_spilling(load + step, capacity));
        prop_assert!(a <= load.min(capacity) && b >= a - 1e-9 && b - a <= step + 1e-9);
    }

    #[test]
    fn picked_zones_have_a_share(case in cases(), draws in vec(0.0..1.0f64, 10)) {
        let shares = zones_of(&case).shares(case.load, &case.eligible);
        for draw in draws {
            match shares.pick(draw) {
                Some(zone) => prop_assert!(shares.zones[zone] > 0.0),
                None => prop_assert!(draw >= 1.0 - shares.rejected_share() - 1e-9),
            }
        }
    }

    #[test]
    fn groups_with_the_highest_value_per_work_are_admitted_first(groups in vec((0.1..9.0f64, 0.0..50.0f64), 1..6), capacity in 0.0..120.0f64) {
        let groups: Vec<LoadGroup> = groups
            .into_iter()
            .map(|(value_per_work, load)| LoadGroup { value_per_work, load })
            .collect();
        let fractions = admit_by_value(&groups, capacity);
        let admitted: f64 = groups.iter().zip(&fractions).map(|(group, fraction)| group.load * fraction).sum();
        let all: f64 = groups.iter().map(|group| group.load).sum();
        prop_assert!((admitted - all.min(capacity)).abs() < 1e-6);
        for (a, fraction_a) in groups.iter().zip(&fractions) {
            for (b, fraction_b) in groups.iter().zip(&fractions) {
                prop_assert!(a.value_per_work <= b.value_per_work || b.load <= MIN_DIVISOR || *fraction_b <= 0.0 || *fraction_a >= 1.0 - 1e-9, "admitted a group of lower value per work first");
            }
        }
    }
}

/// The rule by which a returning zone gets its load back.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Recovery {
    /// By the work that the zone has completed, as [`Zones`] does.
    Evidence,
    /// In proportion to the time since the zone was listed again, up to this number of seconds.
    Clock(f64),
}

/// The result of a simulated outage.
#[derive(Debug)]
struct Outcome {
    /// Number of times that overload made the returning zone fail.
    overloads: usize,
    /// Maximum ratio of the returning zone's queued work to a quarter second of its capacity.
    max_queue_ratio: f64,
    /// Seconds from being listed again until the zone gets nine tenths of the load.
    back_after: f64,
    /// Fraction of the work during the outage that went to other zones.
    spilled: f64,
    /// Fraction of the work during the outage that was rejected.
    rejected_share: f64,
}

/// Simulates 200 s of a load of 65 cores on three zones of 100 cores; other gateways use 40 cores in each zone but the
/// nearest. The nearest zone is lost at 20 s and listed again at 40 s; with `flaps` it is also lost from 45 s to 50 s.
/// Its slow start takes `slow_start_seconds` and begins at 0.3 of its cores. Work comes in units of 0.2 core seconds.
/// The returning zone fails for 2 s if, for more than 0.5 s, its queued work exceeds three times a quarter second of
/// its present capacity.
fn simulate_outage(recovery: Recovery, slow_start_seconds: f64, flaps: bool) -> Outcome {
    let mut zones = Zones::new(&[0, 1, 2]);
    (0..3).for_each(|n| zones.update_capacity(0.0, n, 100.0, if n == 0 { 0.0 } else { 40.0 }));
    let (load, unit, step) = (65.0, 0.2, 0.01);
    let mut queue = [0.0f64; 3];
    let mut done = [0.0f64; 3];
    let mut up_at = 0.0f64;
    let (mut overloaded_seconds, mut failed_until, mut overloads, mut max_queue_ratio) =
        (0.0, -1.0f64, 0, 0.0f64);
    let (mut spilled, mut rejected, mut outage) = (0.0, 0.0, 0.0);
    let mut back_after = f64::NAN;
    let mut pending_units = 0.0;
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
            (up_at, failed_until) = (now, -1.0);
            zones.update_capacity(now, 0, 100.0, 0.0);
        }
        let capable_cores = |n: usize, failed_until: f64| match n {
            0 if down || now < failed_until => 0.0,
            0 if up_at > 0.0 => 100.0 * (0.3 + 0.7 * ((now - up_at) / slow_start_seconds).min(1.0)),
            0 => 100.0,
            _ => 60.0,
        };
        // Sends the work that arrives in this step, unit by unit, to the zone that is drawn for it.
        pending_units += load * step / unit;
        while pending_units >= 1.0 {
            pending_units -= 1.0;
            draw = (draw + 0.618_033_988_75).fract();
            let shares = zones.shares(load, &[true; 3]);
            let by_clock = match recovery {
                Recovery::Clock(over) if up_at > 0.0 && !down => {
                    // The nearest zone gets its part by the clock; the other zones share the rest.
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
            let trial = recovery == Recovery::Evidence && !down && zones.start_trial(now, 0);
            let zone = if trial {
                Some(0)
            } else {
                by_clock.unwrap_or_else(|| shares.pick(draw))
            };
            if down || (up_at > 0.0 && now < 41.0) {
                outage += 1.0;
                spilled += f64::from(u8::from(zone.is_some_and(|z| z > 0)));
                rejected += f64::from(u8::from(zone.is_none()));
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
            let available_cores = capable_cores(n, failed_until);
            // Queued work up to a quarter second of the zone's capacity is normal; beyond that, latency grows in
            // proportion.
            let slowdown = (queue[n] / (available_cores * 0.25).max(MIN_DIVISOR)).max(1.0);
            if n == 0 && up_at > 0.0 && !down {
                if available_cores > 0.0 {
                    max_queue_ratio = max_queue_ratio.max(queue[0] / (available_cores * 0.25));
                }
                overloaded_seconds = if available_cores > 0.0 && slowdown > 3.0 {
                    overloaded_seconds + step
                } else {
                    0.0
                };
                if overloaded_seconds > 0.5 {
                    overloads += 1;
                    (failed_until, overloaded_seconds) = (now + 2.0, 0.0);
                    while queue[0] > 0.0 {
                        queue[0] -= unit;
                        zones.attempt_ended(now, 0, unit, ZoneOutcome::Failed);
                    }
                    queue[0] = 0.0;
                }
            }
            done[n] += (available_cores * step).min(queue[n]);
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
        overloads,
        max_queue_ratio,
        back_after,
        spilled: spilled / outage,
        rejected_share: rejected / outage,
    }
}

/// A zone that recovers by completed work is not overloaded, whatever the duration of its slow start. A fixed ramp
/// suits only one duration: a short ramp overloads a zone with a long slow start, and a long ramp delays the recovery
/// of a zone with a short one.
#[test]
fn recovery_by_completed_work_does_not_overload_a_zone() {
    for slow_start_seconds in [2.0, 10.0, 60.0] {
        for flaps in [false, true] {
            let by = |recovery| simulate_outage(recovery, slow_start_seconds, flaps);
            let evidence = by(Recovery::Evidence);
            println!(
                "slow start of {slow_start_seconds} s, flaps {flaps}: evidence {evidence:.2?}"
            );
            for over in [2.0, 10.0, 60.0] {
                println!("    clock of {over} s: {:.2?}", by(Recovery::Clock(over)));
            }
            assert_eq!(evidence.overloads, 0, "{evidence:?}");
            assert!(
                evidence.max_queue_ratio < 3.0 && evidence.back_after < 60.0,
                "{evidence:?}"
            );
            assert!(
                evidence.spilled > 0.99 && evidence.rejected_share < 0.01,
                "all load must spill while the other zones have capacity: {evidence:?}"
            );
        }
    }
    assert!(
        simulate_outage(Recovery::Clock(2.0), 60.0, false).overloads > 0,
        "a 2 s ramp must overload a zone with a slow start of 60 s"
    );
}

#[test]
fn flapping_zone_is_held_down_longer_each_time() {
    let mut zones = Zones::new(&[0, 1]);
    (0..2).for_each(|n| zones.update_capacity(0.0, n, 100.0, 0.0));
    let (mut now, mut waits) = (0.0, Vec::new());
    for _ in 0..5 {
        (0..30).for_each(|_| zones.attempt_ended(now, 0, 0.0, ZoneOutcome::Failed));
        let Health::Lost { until } = zones.health(0) else {
            panic!("zone 0 is not lost after 30 failures")
        };
        waits.push(until - now);
        // All trials succeed from the end of the hold-down time on.
        now = until;
        assert!(
            zones.start_trial(now, 0) && !zones.start_trial(now, 0),
            "one trial per interval"
        );
        now += 6.0 * OUTCOME_DECAY_SECONDS;
        for _ in 0..SUCCESSES_TO_RECOVER {
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
    assert_eq!(waits[0], 0.0, "the first loss sets no hold-down time");
    assert!(
        waits.windows(2).skip(1).all(|w| w[1] > w[0])
            && waits.iter().all(|w| *w <= MAX_HOLD_DOWN_SECONDS),
        "{waits:?}"
    );
}
