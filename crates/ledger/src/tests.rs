//! The ledger beside a plain model that reads the whole history each time, and in a played world whose engines
//! drain, die, are replaced and lose connections, where the truth is known.

use super::*;
use proptest::collection::vec;
use proptest::prelude::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const BOUNDS: Bounds = Bounds { news: ms(250), unasked: ms(2000), pause: ms(50) };

#[derive(Clone, Debug)]
enum Event {
    Open(EngineId),
    Tell(usize, Fact),
    Close(usize),
    Next(usize, Listed),
}

fn listed() -> impl Strategy<Value = Listed> {
    prop_oneof![Just(Listed::Ready), Just(Listed::Draining), Just(Listed::Gone), Just(Listed::TakenOver)]
}

fn fact() -> impl Strategy<Value = Fact> {
    let on = 0u32..3;
    prop_oneof![
        3 => Just(Fact::Asked),
        4 => on.clone().prop_map(Fact::Runs),
        1 => Just(Fact::Ended),
        1 => Just(Fact::NeverCame),
        2 => (on.clone(), listed()).prop_map(|(on, l)| Fact::GivenUp(on, l)),
        1 => (on.clone(), listed()).prop_map(|(on, l)| Fact::Failed(on, l)),
        3 => on.clone().prop_map(Fact::Reset),
        2 => on.prop_map(Fact::Useless),
        2 => Just(Fact::Refused),
        1 => Just(Fact::Missed),
    ]
}

fn events() -> impl Strategy<Value = Vec<(u64, Event)>> {
    let event = prop_oneof![
        2 => (0usize..2).prop_map(Event::Open),
        12 => (0usize..6, fact()).prop_map(|(n, f)| Event::Tell(n, f)),
        1 => (0usize..6).prop_map(Event::Close),
        6 => (0usize..6, listed()).prop_map(|(n, l)| Event::Next(n, l)),
    ];
    vec((prop_oneof![4 => 0u64..60, 1 => 0u64..1500], event), 0..120)
}

/// A history of one dispatch: all that was told of it, with the time and the place in the order of all events.
#[derive(Clone)]
struct History {
    engine: EngineId,
    opened: Duration,
    facts: Vec<(usize, Duration, Fact)>,
    over: Option<Proof>,
    closed: Option<usize>,
}

impl History {
    /// The connection known to reach the process after the events up to a place, and the last reset of such a one.
    fn known(&self, before: usize) -> (Option<Connection>, Option<Duration>) {
        let (mut known, mut reset) = (None, None);
        for (_, at, fact) in self.facts.iter().filter(|(n, _, _)| *n < before) {
            match fact {
                Fact::Runs(on) => (known, reset) = (Some(*on), None),
                Fact::Reset(on) if known == Some(*on) => (known, reset) = (None, Some(*at)),
                Fact::Useless(on) if known == Some(*on) => known = None,
                _ => {}
            }
        }
        (known, reset)
    }

    fn first(&self, wanted: impl Fn(&Fact) -> bool) -> Option<Duration> {
        self.facts.iter().find(|(_, _, f)| wanted(f)).map(|(_, at, _)| *at)
    }

    fn until(&self) -> Duration {
        let heard = self.facts.iter().map(|(_, at, fact)| match fact {
            Fact::Asked => *at + BOUNDS.news,
            Fact::Runs(_) => *at,
            _ => Duration::ZERO,
        });
        heard.max().unwrap_or_default().max(self.opened) + BOUNDS.unasked
    }
}

/// All dispatches ever opened; nothing is forgotten, everything is worked out anew.
#[derive(Default)]
struct Plain(Vec<History>);

impl Plain {
    /// The dispatches that shared a process record with this one: the record ends whenever none is open.
    fn peers(&self, n: usize) -> Vec<&History> {
        self.0.iter().filter(|h| h.engine == self.0[n].engine).collect()
    }

    fn died(&self, n: usize, place: usize, listed: Listed) -> bool {
        let (_, reset) = self.0[n].known(place);
        let refused = self.0[n].first(|f| *f == Fact::Refused);
        let (Some(reset), Some(refused)) = (reset, refused) else { return false };
        let shown = self.peers(n).into_iter().flat_map(|h| &h.facts);
        let shown = shown.filter(|f| matches!(f.2, Fact::Runs(_))).map(|f| f.1).max().unwrap_or_default();
        let alive = |h: &&History| h.closed.is_none() && h.over.is_none() && h.known(place).0.is_some();
        let listens = matches!(listed, Listed::Ready | Listed::Gone);
        listens && !self.peers(n).iter().any(alive) && shown < reset && refused >= reset
    }

    fn tell(&mut self, now: Duration, n: usize, place: usize, fact: Fact) {
        if self.0[n].over.is_some() || self.0[n].closed.is_some() {
            return;
        }
        let h = &self.0[n];
        let refused = h.first(|f| *f == Fact::Refused).is_some();
        let proof = match fact {
            Fact::Ended => Some(Proof::Ended),
            Fact::NeverCame => Some(Proof::NeverCame),
            Fact::Failed(on, _) if h.known(place).0 == Some(on) => Some(Proof::Ended),
            Fact::Failed(_, Listed::Ready | Listed::Draining) if !refused => Some(Proof::Ended),
            Fact::GivenUp(on, _) if h.known(place).0 == Some(on) => Some(Proof::GivenUp),
            Fact::GivenUp(_, Listed::Ready | Listed::Draining) if !refused => Some(Proof::GivenUp),
            _ => None,
        };
        self.0[n].facts.push((place, now, fact));
        self.0[n].over = proof;
    }

    fn next(&mut self, now: Duration, n: usize, place: usize, listed: Listed) -> Next {
        if let Some(proof) = self.0[n].over {
            return Next::Over(proof);
        }
        let until = self.0[n].until();
        let proof = match (self.0[n].first(|f| *f == Fact::Asked), now >= until) {
            (None, _) => Some(Proof::NeverCame),
            (Some(_), true) => Some(Proof::Unasked),
            (Some(_), false) => self.died(n, place, listed).then_some(Proof::Died),
        };
        if let Some(proof) = proof {
            self.0[n].over = Some(proof);
            return Next::Over(proof);
        }
        let h = &self.0[n];
        let missed =
            h.facts.iter().rev().find(|(_, _, f)| matches!(f, Fact::Missed | Fact::GivenUp(..))).map(|f| f.1);
        let rests = missed.map_or(Duration::ZERO, |at| (at + BOUNDS.pause).saturating_sub(now));
        if h.known(place).0.is_none() && h.first(|f| *f == Fact::Refused).is_some() {
            Next::Wait(BOUNDS.pause.min(until - now))
        } else if rests.is_zero() {
            Next::GiveUp(until - now)
        } else {
            Next::Wait(rests.min(until - now))
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    /// Any order of events: the ledger says what the plain model says, and a proof stands.
    #[test]
    fn the_ledger_and_the_plain_model_agree(events in events()) {
        let (mut ledger, mut plain, mut ids) = (Ledger::new(BOUNDS), Plain::default(), Vec::new());
        let mut now = Duration::ZERO;
        // A record that ended with the last open dispatch starts anew: the histories before it count no more.
        for (place, (later, event)) in events.into_iter().enumerate() {
            now += ms(later);
            match event {
                Event::Open(engine) => {
                    if !plain.0.iter().any(|h| h.engine == engine && h.closed.is_none()) {
                        plain.0.iter_mut().filter(|h| h.engine == engine).for_each(|h| h.engine = usize::MAX);
                    }
                    ids.push(ledger.open(now, engine));
                    plain.0.push(History { engine, opened: now, facts: vec![], over: None, closed: None });
                }
                Event::Tell(n, fact) if n < ids.len() => {
                    ledger.tell(now, ids[n], fact);
                    plain.tell(now, n, place, fact);
                }
                Event::Close(n) if n < ids.len() => {
                    ledger.close(ids[n]);
                    plain.0[n].closed.get_or_insert(place);
                }
                Event::Next(n, listed) if n < ids.len() && plain.0[n].closed.is_none() => {
                    let before = plain.0[n].over;
                    let said = ledger.next(now, ids[n], listed);
                    prop_assert_eq!(said, plain.next(now, n, place, listed), "dispatch {} at {:?}", n, now);
                    if let Some(proof) = before {
                        prop_assert_eq!(said, Next::Over(proof));
                    }
                }
                _ => {}
            }
            let open = plain.0.iter().filter(|h| h.closed.is_none()).count();
            prop_assert_eq!(ledger.len(), open);
            prop_assert!(ledger.processes.len() <= open);
        }
    }
}

/// What happens to the engine of a played world, and when.
#[derive(Clone, Debug)]
struct World {
    /// From then on it refuses new connections.
    drains: u64,
    /// Then its process ends, and resets all it has.
    dies: u64,
    /// Then another process listens at its address.
    replaced: u64,
    /// The network resets this connection then.
    resets: Vec<u64>,
    /// How long each dispatch runs.
    runs: Vec<u64>,
    /// When the gateway stops to wait for each.
    waits: Vec<u64>,
    /// Whether calls to give it up are lost, in turn.
    lost: Vec<bool>,
    /// How late the list tells that it drains.
    late: u64,
}

fn world() -> impl Strategy<Value = World> {
    let at = 200u64..6000;
    (
        at.clone(),
        at.clone(),
        at.clone(),
        vec(at.clone(), 3),
        vec(at.clone(), 3),
        vec(at, 3),
        vec(any::<bool>(), 8),
        0u64..100,
    )
        .prop_map(|(drains, dies, replaced, resets, runs, waits, lost, late)| {
            let dies = dies.max(drains);
            World { drains, dies, replaced: replaced.max(drains), resets, runs, waits, lost, late }
        })
}

/// One dispatch of a played world: the gateway's side and the truth.
struct Played {
    id: DispatchId,
    /// The connection that is up, and whether it reaches the first process.
    up: Option<(Connection, bool)>,
    connections: Connection,
    asked_at: u64,
    over_at: Option<u64>,
    over: bool,
    stopped: bool,
    calls: usize,
}

/// Plays a world by steps of 10 ms; each time the ledger holds a dispatch to be over, it is.
fn play(w: &World) -> Result<(), TestCaseError> {
    let mut ledger = Ledger::new(BOUNDS);
    let mut all: Vec<Played> = (0..3)
        .map(|_| {
            let id = ledger.open(ms(0), 0);
            ledger.tell(ms(0), id, Fact::Asked);
            Played {
                id,
                up: Some((0, true)),
                connections: 1,
                asked_at: 0,
                over_at: None,
                over: false,
                stopped: false,
                calls: 0,
            }
        })
        .collect();
    let mut proofs = 0;
    for t in (0..12_000).step_by(10) {
        let (now, dead, drains) = (ms(t), t >= w.dies, t >= w.drains);
        let taken_over = t >= w.replaced;
        let listed = match t >= w.drains + w.late {
            true if t >= w.replaced + w.late => Listed::TakenOver,
            true => Listed::Draining,
            false => Listed::Ready,
        };
        for (n, d) in all.iter_mut().enumerate() {
            // The truth: it ends by itself, with its process, or unasked.
            let unasked = t.saturating_sub(d.asked_at) >= 2250;
            if d.over_at.is_none() && (t >= w.runs[n] || dead || unasked) {
                d.over_at = Some(t);
            }
            let broken = (t == w.resets[n] / 10 * 10) || (dead && d.up.is_some_and(|(_, first)| first));
            if let Some((on, _)) = d.up.filter(|_| broken) {
                ledger.tell(now, d.id, Fact::Reset(on));
                d.up = None;
            }
            if d.over {
                continue;
            }
            if !d.stopped {
                d.stopped = t >= w.waits[n];
                // News every 250 ms on a connection that reaches the process.
                match d.up {
                    Some((on, true)) if t % 250 == 0 && d.over_at.is_none() => {
                        ledger.tell(now, d.id, Fact::Runs(on));
                        ledger.tell(now, d.id, Fact::Asked);
                        d.asked_at = t;
                    }
                    Some((_, true)) if t % 250 == 0 => {
                        ledger.tell(now, d.id, Fact::Ended);
                        d.stopped = true;
                    }
                    Some(_) => {}
                    None => d.stopped = true,
                }
                continue;
            }
            match ledger.next(now, d.id, listed) {
                Next::Over(proof) => {
                    prop_assert!(
                        d.over_at.is_some_and(|at| at <= t),
                        "dispatch {n} runs at {t}, but {proof:?}: {w:?}"
                    );
                    d.over = true;
                    proofs += 1;
                }
                Next::Wait(span) => prop_assert!(!span.is_zero()),
                Next::GiveUp(left) => {
                    prop_assert!(!left.is_zero());
                    d.calls += 1;
                    let lost = w.lost[d.calls % w.lost.len()];
                    if d.up.is_none() {
                        let listens = (!drains && !dead) || taken_over;
                        if !listens {
                            ledger.tell(now, d.id, Fact::Refused);
                            continue;
                        }
                        d.up = Some((d.connections, !taken_over));
                        d.connections += 1;
                    }
                    match d.up {
                        Some((on, _)) if lost => {
                            ledger.tell(now, d.id, Fact::Useless(on));
                            ledger.tell(now, d.id, Fact::Missed);
                            d.up = None;
                        }
                        Some((on, first)) => {
                            if first && d.over_at.is_none() {
                                d.over_at = Some(t);
                            }
                            ledger.tell(now, d.id, Fact::GivenUp(on, listed));
                        }
                        None => {}
                    }
                }
            }
        }
    }
    prop_assert_eq!(proofs, 3, "every dispatch is over by the bound");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// The list tells at once that an engine drains or is replaced: no dispatch is ever held to be over while it runs.
    #[test]
    fn nothing_is_over_that_runs_in_a_world_whose_list_is_fresh(w in world()) {
        play(&World { late: 0, ..w })?;
    }
}

/// The recorded day rc98ea0: the limit passes while the engine drains and refuses.
#[test]
fn a_draining_engine_that_refuses_proves_nothing_and_its_known_connection_does() {
    let mut l = Ledger::new(BOUNDS);
    let (a, b) = (l.open(ms(0), 4), l.open(ms(0), 4));
    for id in [a, b] {
        l.tell(ms(0), id, Fact::Asked);
        l.tell(ms(250), id, Fact::Runs(0));
        l.tell(ms(250), id, Fact::Asked);
    }
    assert_eq!(l.next(ms(400), a, Listed::Draining), Next::GiveUp(ms(2100)), "on the connection that is up");
    l.tell(ms(410), a, Fact::GivenUp(0, Listed::Draining));
    assert_eq!(l.next(ms(410), a, Listed::Draining), Next::Over(Proof::GivenUp));
    l.tell(ms(420), b, Fact::Reset(0));
    l.tell(ms(421), b, Fact::Refused);
    assert_eq!(l.next(ms(430), b, Listed::Draining), Next::Wait(ms(50)));
    assert_eq!(l.next(ms(2499), b, Listed::Draining), Next::Wait(ms(1)));
    assert_eq!(l.next(ms(2500), b, Listed::Draining), Next::Over(Proof::Unasked));
    l.close(a);
    l.close(b);
    assert!(l.is_empty() && l.processes.is_empty());
}

#[test]
fn a_process_has_ended_only_when_nothing_of_it_shows_after_a_reset() {
    let mut l = Ledger::new(BOUNDS);
    let all = [l.open(ms(0), 1), l.open(ms(0), 1)];
    for id in all {
        l.tell(ms(0), id, Fact::Asked);
        l.tell(ms(250), id, Fact::Runs(0));
    }
    l.tell(ms(300), all[0], Fact::Reset(0));
    l.tell(ms(301), all[0], Fact::Refused);
    assert!(matches!(l.next(ms(302), all[0], Listed::Ready), Next::Wait(_)), "the other's connection lives");
    l.tell(ms(303), all[1], Fact::Reset(0));
    assert!(matches!(l.next(ms(304), all[0], Listed::Draining), Next::Wait(_)), "it may just not listen");
    assert_eq!(l.next(ms(304), all[0], Listed::Ready), Next::Over(Proof::Died));
    // The other has not looked whether anybody listens.
    assert!(matches!(l.next(ms(305), all[1], Listed::Ready), Next::GiveUp(_)));
    l.tell(ms(306), all[1], Fact::Refused);
    assert_eq!(l.next(ms(306), all[1], Listed::Ready), Next::Over(Proof::Died));
}

#[test]
fn who_answers_at_an_address_that_changed_hands_proves_nothing() {
    for (refused, listed) in [(true, Listed::Ready), (false, Listed::TakenOver), (false, Listed::Gone)] {
        let mut l = Ledger::new(BOUNDS);
        let id = l.open(ms(0), 1);
        l.tell(ms(0), id, Fact::Asked);
        l.tell(ms(100), id, Fact::Useless(0));
        if refused {
            l.tell(ms(101), id, Fact::Refused);
        }
        l.tell(ms(200), id, Fact::GivenUp(1, listed));
        assert!(matches!(l.next(ms(200), id, listed), Next::Wait(_)), "{refused} {listed:?}");
    }
}
