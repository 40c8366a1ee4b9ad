use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn entry(name: &str, state: EndpointState) -> EngineEntry {
    let address = SocketAddr::from(([127, 0, 0, 1], 4100));
    EngineEntry {
        name: name.into(),
        address,
        zone: 0,
        kind: 0,
        cell: 0,
        started_at_unix: None,
        state,
    }
}

/// The table does not grow without bound when engines keep appearing under new names.
#[test]
fn index_is_reused_only_after_the_retention_time() {
    let mut table = EngineTable::new(Duration::from_secs(20));
    let mut now = Instant::now();
    let mut apply_entry = |name: &str, state, wait: u64| {
        now += Duration::from_secs(wait);
        let engine = table
            .update(entry(name, state), None, now)
            .map(|update| update.endpoint.engine);
        (engine, table.engines.len(), table.indices.len())
    };
    assert_eq!(apply_entry("a", EndpointState::Ready, 0), (Some(0), 1, 1));
    assert_eq!(apply_entry("a", EndpointState::Removed, 1), (Some(0), 1, 1));
    assert_eq!(
        apply_entry("never known", EndpointState::Removed, 1),
        (None, 1, 1)
    );
    assert_eq!(
        apply_entry("b", EndpointState::Ready, 10),
        (Some(1), 2, 2),
        "queries may still refer to a"
    );
    assert_eq!(
        apply_entry("a", EndpointState::Removed, 5),
        (Some(0), 2, 2),
        "a is removed twice"
    );
    assert_eq!(apply_entry("c", EndpointState::Ready, 10), (Some(0), 2, 2));
    for n in 0..100 {
        apply_entry(&format!("d{n}"), EndpointState::Ready, 1);
        assert!(apply_entry(&format!("d{n}"), EndpointState::Removed, 30).1 <= 4);
    }
}

/// Reference model of the table. It searches all engines instead of keeping counts and free indices.
#[derive(Default)]
struct ReferenceTable {
    known: Vec<(EngineEntry, Option<Instant>)>,
    retention: Duration,
}

impl ReferenceTable {
    fn apply(
        &mut self,
        entries: &[EngineEntry],
        scope: ListScope,
        now: Instant,
    ) -> Vec<(EngineId, EndpointState)> {
        if scope == ListScope::Full {
            for (entry, removed_at) in &mut self.known {
                entry.state = EndpointState::Removed;
                removed_at.get_or_insert(now);
            }
        }
        entries
            .iter()
            .filter_map(|entry| self.apply_entry(entry, now))
            .collect()
    }

    fn apply_entry(
        &mut self,
        entry: &EngineEntry,
        now: Instant,
    ) -> Option<(EngineId, EndpointState)> {
        let engine = match self
            .known
            .iter()
            .position(|(known, _)| known.name == entry.name)
        {
            Some(engine) => engine,
            None if entry.state == EndpointState::Removed => return None,
            None => {
                let expired = |removed_at: &Option<Instant>| {
                    removed_at.is_some_and(|at| now - at > self.retention)
                };
                let engine = self
                    .known
                    .iter()
                    .position(|(_, removed_at)| expired(removed_at));
                let engine = engine.unwrap_or(self.known.len());
                match self.known.get_mut(engine) {
                    Some(known) => *known = (entry.clone(), None),
                    None => self.known.push((entry.clone(), None)),
                }
                engine
            }
        };
        let (known, removed_at) = &mut self.known[engine];
        *removed_at = (entry.state == EndpointState::Removed).then(|| removed_at.unwrap_or(now));
        *known = entry.clone();
        Some((engine, entry.state))
    }

    fn counts(&self) -> StateCounts {
        let mut counts = StateCounts::default();
        self.known
            .iter()
            .for_each(|(entry, _)| counts.add(entry.state));
        counts
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(37), ..ProptestConfig::default() })]

    /// For any events, the updates, their order, the counts and the known engines equal those of the reference model.
    #[test]
    fn table_equals_the_reference_model(
        events in proptest::collection::vec(
            (any::<bool>(), proptest::collection::vec((0_u8..12, 0_u8..3), 0..8), 0_u64..9), 1..40)
    ) {
        let retention = Duration::from_secs(10);
        let (mut table, mut reference) = (EngineTable::new(retention), ReferenceTable { retention, ..ReferenceTable::default() });
        let mut now = Instant::now();
        for (is_full, entries, wait) in events {
            let scope = if is_full { ListScope::Full } else { ListScope::Delta };
            now += Duration::from_secs(wait);
            let states = [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed];
            let entries: Vec<EngineEntry> =
                entries.iter().map(|(name, state)| entry(&name.to_string(), states[*state as usize])).collect();
            let expected = reference.apply(&entries, scope, now);
            let updates = table.apply(entries, scope, now);
            let updates: Vec<_> = updates.iter().map(|update| (update.endpoint.engine, update.endpoint.state)).collect();
            prop_assert_eq!(updates, expected);
            prop_assert_eq!(table.counts, reference.counts());
            prop_assert_eq!(table.engines.len(), reference.known.len());
            for (known, (entry, removed_at)) in table.engines.iter().zip(&reference.known) {
                prop_assert_eq!((&known.entry, &known.removed_at), (entry, removed_at));
            }
            prop_assert!(table.removed.len() + table.free_indices.len() <= table.engines.len());
        }
    }
}
