use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn line(id: &str, condition: EndpointState) -> EngineLine {
    let address = SocketAddr::from(([127, 0, 0, 1], 4100));
    EngineLine {
        id: id.into(),
        address,
        zone: 0,
        kind: 0,
        cell: 0,
        came_up: None,
        condition,
    }
}

/// Days on which engines come under new ids without end: what is kept does not grow with them.
#[test]
fn an_index_is_another_engines_only_once_its_own_is_long_gone() {
    let mut list = List::new(Duration::from_secs(20));
    let mut now = Instant::now();
    let mut take = |id: &str, condition, wait: u64| {
        now += Duration::from_secs(wait);
        let engine = list
            .take(line(id, condition), None, now)
            .map(|l| l.listed.engine);
        (engine, list.known.len(), list.ids.len())
    };
    assert_eq!(take("a", EndpointState::Ready, 0), (Some(0), 1, 1));
    assert_eq!(take("a", EndpointState::Removed, 1), (Some(0), 1, 1));
    assert_eq!(take("never known", EndpointState::Removed, 1), (None, 1, 1));
    assert_eq!(
        take("b", EndpointState::Ready, 10),
        (Some(1), 2, 2),
        "batches may still know a"
    );
    assert_eq!(
        take("a", EndpointState::Removed, 5),
        (Some(0), 2, 2),
        "told twice"
    );
    assert_eq!(take("c", EndpointState::Ready, 10), (Some(0), 2, 2));
    for n in 0..100 {
        take(&format!("d{n}"), EndpointState::Ready, 1);
        assert!(take(&format!("d{n}"), EndpointState::Removed, 30).1 <= 4);
    }
}

/// The list as it was before counts and free indices were kept: it looks through all that is known.
#[derive(Default)]
struct PlainList {
    known: Vec<(EngineLine, Option<Instant>)>,
    kept: Duration,
}

impl PlainList {
    fn apply(
        &mut self,
        lines: &[EngineLine],
        whole: bool,
        now: Instant,
    ) -> Vec<(EngineId, EndpointState)> {
        if whole {
            for (line, gone) in &mut self.known {
                line.condition = EndpointState::Removed;
                gone.get_or_insert(now);
            }
        }
        lines
            .iter()
            .filter_map(|line| self.take(line, now))
            .collect()
    }

    fn take(&mut self, line: &EngineLine, now: Instant) -> Option<(EngineId, EndpointState)> {
        let engine = match self.known.iter().position(|(known, _)| known.id == line.id) {
            Some(engine) => engine,
            None if line.condition == EndpointState::Removed => return None,
            None => {
                let long_gone =
                    |gone: &Option<Instant>| gone.is_some_and(|at| now - at > self.kept);
                let engine = self.known.iter().position(|(_, gone)| long_gone(gone));
                let engine = engine.unwrap_or(self.known.len());
                match self.known.get_mut(engine) {
                    Some(known) => *known = (line.clone(), None),
                    None => self.known.push((line.clone(), None)),
                }
                engine
            }
        };
        let (known, gone) = &mut self.known[engine];
        *gone = (line.condition == EndpointState::Removed).then(|| gone.unwrap_or(now));
        *known = line.clone();
        Some((engine, line.condition))
    }

    fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        self.known
            .iter()
            .for_each(|(line, _)| counts.add(line.condition));
        counts
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(37), ..ProptestConfig::default() })]

    /// Whatever the log tells, indices, their order and the counts are those of the plain list.
    #[test]
    fn the_list_is_the_plain_one(
        events in proptest::collection::vec(
            (any::<bool>(), proptest::collection::vec((0_u8..12, 0_u8..3), 0..8), 0_u64..9), 1..40)
    ) {
        let kept = Duration::from_secs(10);
        let (mut list, mut plain) = (List::new(kept), PlainList { kept, ..PlainList::default() });
        let mut now = Instant::now();
        for (whole, lines, wait) in events {
            now += Duration::from_secs(wait);
            let conditions = [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed];
            let lines: Vec<EngineLine> =
                lines.iter().map(|(id, c)| line(&id.to_string(), conditions[*c as usize])).collect();
            let told = plain.apply(&lines, whole, now);
            let updates = list.apply(lines, whole, now);
            let updates: Vec<_> = updates.iter().map(|u| (u.listed.engine, u.listed.state)).collect();
            prop_assert_eq!(updates, told);
            prop_assert_eq!(list.counts, plain.counts());
            prop_assert_eq!(list.known.len(), plain.known.len());
            for (known, (line, gone)) in list.known.iter().zip(&plain.known) {
                prop_assert_eq!((&known.line, &known.gone), (line, gone));
            }
            prop_assert!(list.gone.len() + list.free.len() <= list.known.len());
        }
    }
}

/// Without a subset the module is told what the log told: the same lines in the same order, and whether they are whole.
#[test]
fn without_a_subset_the_module_is_told_what_the_log_told() {
    let list = EngineList::new(Duration::from_secs(20), Clock::start(), None);
    let ready = |id: &str| line(id, EndpointState::Ready);
    let gone = |id: &str| line(id, EndpointState::Removed);
    for (whole, lines, engines) in [
        (
            true,
            vec![ready("b"), ready("a"), ready("c")],
            vec![0, 1, 2],
        ),
        (
            false,
            vec![ready("c"), ready("c"), gone("a"), gone("x")],
            vec![2, 2, 1],
        ),
        (false, vec![], vec![]),
        (
            true,
            vec![ready("d"), line("b", EndpointState::Draining)],
            vec![3, 0],
        ),
        (true, vec![], vec![]),
    ] {
        let change = list.apply(Event {
            number: 1,
            whole,
            lines: lines.clone(),
        });
        assert_eq!(change.whole, whole);
        assert_eq!(
            change
                .updates
                .iter()
                .map(|u| u.listed.engine)
                .collect::<Vec<_>>(),
            engines
        );
        let told = lines.iter().filter(|line| line.id != "x");
        for (update, line) in change.updates.iter().zip(told) {
            let Endpoint {
                zone,
                kind,
                cell,
                started_at: came_up,
                state: condition,
                gateways: holders,
                ..
            } = update.listed;
            assert_eq!((&update.id, update.address), (&line.id, line.address));
            assert_eq!((zone, kind, cell), (line.zone, line.kind, line.cell));
            assert_eq!(
                (came_up, condition, holders),
                (line.came_up, line.condition, None)
            );
        }
    }
}

/// Starts are told on another machine's clock, which may differ from ours by seconds or an hour: an engine that may just have
/// started counts as cold from when it was heard of, none as one of the future, and what was told of ages holds.
#[test]
fn a_start_told_on_another_clock_counts_as_late_as_it_can_be() {
    for off in [-3600.0, -7.0, 0.0, 7.0, 3600.0] {
        let clock = Clock::start();
        let list = EngineList::new(Duration::from_secs(20), clock, None);
        let now = clock.now();
        let started = |id: &str, ago: f64| EngineLine {
            came_up: Some(now + off - ago),
            ..line(id, EndpointState::Ready)
        };
        let lines = vec![
            started("new", 0.0),
            started("old", 600.0),
            line("long ago", EndpointState::Ready),
        ];
        let first = list.apply(Event {
            number: 1,
            whole: true,
            lines: lines.clone(),
        });
        let age = |update: &EngineUpdate| update.listed.started_at.map(|at| now - at);
        let told: Vec<_> = first.updates.iter().map(age).collect();
        assert!(
            told[0].is_some_and(|age| (-0.5..0.5).contains(&age)),
            "{off}: {told:?}"
        );
        assert!(
            told[1].is_some_and(|age| (-0.5..600.5).contains(&age)),
            "{off}: {told:?}"
        );
        assert_eq!(told[2], None);
        // Told again, also when more is known by then, it is the same start.
        let later = list.apply(Event {
            number: 2,
            whole: false,
            lines: vec![started("newer", -30.0), lines[0].clone()],
        });
        assert_eq!(
            later.updates[1].listed.started_at,
            first.updates[0].listed.started_at
        );
    }
}
