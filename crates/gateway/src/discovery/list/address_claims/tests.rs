use super::*;

const READY: EndpointState = EndpointState::Ready;
const DRAINING: EndpointState = EndpointState::Draining;
const REMOVED: EndpointState = EndpointState::Removed;

fn entry(name: &str, port: u16, started: f64, state: EndpointState) -> EngineEntry {
    EngineEntry {
        name: name.into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: 0,
        kind: 0,
        cell: 0,
        started_at_unix: (started > 0.0).then_some(started),
        state,
    }
}

/// Resolves a change and returns the names and effective states, in order.
fn resolve(
    claims: &mut AddressClaims,
    scope: ListScope,
    entries: Vec<EngineEntry>,
) -> Vec<(String, EndpointState)> {
    let resolved = claims.resolve(entries, scope);
    let states = resolved.into_iter().map(|entry| (entry.name, entry.state));
    states.collect()
}

fn states(expected: &[(&str, EndpointState)]) -> Vec<(String, EndpointState)> {
    let expected = expected.iter();
    expected
        .map(|(name, state)| (name.to_string(), *state))
        .collect()
}

#[test]
fn engine_whose_address_is_claimed_by_a_new_one_counts_as_removed() {
    let mut claims = AddressClaims::default();
    let known = vec![entry("a", 1, 0.0, READY), entry("b", 2, 0.0, READY)];
    let first = resolve(&mut claims, ListScope::Full, known);
    assert_eq!(first, states(&[("a", READY), ("b", READY)]));
    let change = vec![entry("c", 1, 50.0, READY)];
    let taken = resolve(&mut claims, ListScope::Delta, change);
    assert_eq!(taken, states(&[("a", REMOVED), ("c", READY)]));
    // Later entries of the old engine do not give it the address back.
    for state in [READY, DRAINING] {
        let repeated = resolve(
            &mut claims,
            ListScope::Delta,
            vec![entry("a", 1, 0.0, state)],
        );
        assert_eq!(repeated, states(&[("a", REMOVED)]));
    }
    let full = vec![
        entry("a", 1, 0.0, READY),
        entry("c", 1, 50.0, DRAINING),
        entry("b", 2, 0.0, READY),
    ];
    let repeated = resolve(&mut claims, ListScope::Full, full);
    assert_eq!(
        repeated,
        states(&[("a", REMOVED), ("c", DRAINING), ("b", READY)])
    );
}

#[test]
fn address_of_a_removed_or_unlisted_engine_is_free() {
    let mut claims = AddressClaims::default();
    resolve(
        &mut claims,
        ListScope::Full,
        vec![entry("a", 1, 0.0, READY)],
    );
    resolve(
        &mut claims,
        ListScope::Delta,
        vec![entry("c", 1, 50.0, READY)],
    );
    resolve(
        &mut claims,
        ListScope::Delta,
        vec![entry("c", 1, 50.0, REMOVED)],
    );
    let back = resolve(
        &mut claims,
        ListScope::Delta,
        vec![entry("a", 1, 0.0, READY)],
    );
    assert_eq!(back, states(&[("a", READY)]));
    let full = resolve(
        &mut claims,
        ListScope::Full,
        vec![entry("d", 1, 0.0, READY)],
    );
    assert_eq!(full, states(&[("d", READY)]));
    assert_eq!((claims.claims.len(), claims.owners.len()), (1, 1));
}

#[test]
fn later_start_decides_within_one_change() {
    for order in [["old", "new"], ["new", "old"]] {
        let mut claims = AddressClaims::default();
        let start = |name: &str| if name == "new" { 50.0 } else { 0.0 };
        let entries = order.map(|name| entry(name, 1, start(name), READY));
        let resolved = resolve(&mut claims, ListScope::Full, entries.to_vec());
        assert_eq!(
            resolved.last().unwrap().1,
            if order[1] == "new" { READY } else { REMOVED }
        );
        let again = resolve(
            &mut claims,
            ListScope::Delta,
            vec![entry("old", 1, 0.0, READY)],
        );
        assert_eq!(again, states(&[("old", REMOVED)]), "{order:?}");
    }
}

/// An engine that restarts, or moves, claims its address anew.
#[test]
fn restarted_or_moved_engine_takes_its_address() {
    let mut claims = AddressClaims::default();
    resolve(
        &mut claims,
        ListScope::Full,
        vec![entry("a", 1, 10.0, READY)],
    );
    resolve(
        &mut claims,
        ListScope::Delta,
        vec![entry("b", 1, 20.0, READY)],
    );
    let restarted = resolve(
        &mut claims,
        ListScope::Delta,
        vec![entry("a", 1, 30.0, READY)],
    );
    assert_eq!(restarted, states(&[("b", REMOVED), ("a", READY)]));
    let moved = resolve(
        &mut claims,
        ListScope::Delta,
        vec![entry("b", 2, 20.0, READY)],
    );
    assert_eq!(moved, states(&[("b", READY)]));
    let followed = resolve(
        &mut claims,
        ListScope::Delta,
        vec![entry("a", 2, 30.0, READY)],
    );
    assert_eq!(followed, states(&[("b", REMOVED), ("a", READY)]));
    let free = resolve(
        &mut claims,
        ListScope::Delta,
        vec![entry("c", 1, 0.0, READY)],
    );
    assert_eq!(free, states(&[("c", READY)]));
}
