//! The ledger beside a plain model that reads the whole history each time, and in a played world whose engines
//! drain, die, are replaced and lose connections, where the truth is known.

use super::*;
use proptest::collection::vec;
use proptest::prelude::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const BOUNDS: Bounds = Bounds {
    news: ms(250),
    notes: false,
    unasked: ms(2000),
    pause: ms(50),
};

#[derive(Clone, Debug)]
enum Event {
    Open,
    Tell(usize, Fact),
    Close(usize),
    Next(usize),
}

fn fact() -> impl Strategy<Value = Fact> {
    let on = 0u32..3;
    prop_oneof![
        3 => Just(Fact::Asked),
        4 => on.clone().prop_map(Fact::Runs),
        1 => Just(Fact::Ended),
        1 => Just(Fact::NeverCame),
        2 => on.clone().prop_map(Fact::GivenUp),
        1 => on.clone().prop_map(Fact::Failed),
        3 => on.clone().prop_map(Fact::Reset),
        2 => on.prop_map(Fact::Useless),
        2 => Just(Fact::Refused),
        1 => Just(Fact::Missed),
    ]
}

fn events() -> impl Strategy<Value = Vec<(u64, Event)>> {
    let event = prop_oneof![
        2 => Just(Event::Open),
        12 => (0usize..6, fact()).prop_map(|(n, f)| Event::Tell(n, f)),
        1 => (0usize..6).prop_map(Event::Close),
        6 => (0usize..6).prop_map(Event::Next),
    ];
    vec((prop_oneof![4 => 0u64..60, 1 => 0u64..1500], event), 0..120)
}

/// A history of one dispatch: all that was told of it, with the time and the place in the order of all events.
#[derive(Clone)]
struct History {
    opened: Duration,
    facts: Vec<(Duration, Fact)>,
    over: Option<Proof>,
    closed: bool,
}

impl History {
    /// The connection known to reach the process, after all that was told; none by what was told last of it.
    fn known(&self) -> Option<Connection> {
        let shown = self
            .facts
            .iter()
            .rposition(|(_, f)| matches!(f, Fact::Runs(_)))?;
        let Fact::Runs(on) = self.facts[shown].1 else {
            return None;
        };
        let gone = |(_, f): &(Duration, Fact)| [Fact::Reset(on), Fact::Useless(on)].contains(f);
        (!self.facts[shown..].iter().any(gone)).then_some(on)
    }

    /// Whether a call would only reach who may be another, since the dispatch showed itself last.
    fn spent(&self) -> bool {
        let shown = self
            .facts
            .iter()
            .rposition(|(_, f)| matches!(f, Fact::Runs(_)))
            .unwrap_or(0);
        self.facts[shown..]
            .iter()
            .any(|(_, f)| matches!(f, Fact::Refused | Fact::GivenUp(_)))
    }

    fn first(&self, wanted: impl Fn(&Fact) -> bool) -> Option<Duration> {
        self.facts
            .iter()
            .find(|(_, f)| wanted(f))
            .map(|(at, _)| *at)
    }

    fn until(&self) -> Duration {
        let heard = self.facts.iter().map(|(at, fact)| match fact {
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
    fn tell(&mut self, now: Duration, n: usize, fact: Fact) {
        let h = &mut self.0[n];
        if h.over.is_some() || h.closed {
            return;
        }
        h.over = match fact {
            Fact::Ended => Some(Proof::Ended),
            Fact::NeverCame => Some(Proof::NeverCame),
            Fact::Failed(on) if h.known() == Some(on) => Some(Proof::Ended),
            Fact::GivenUp(on) if h.known() == Some(on) => Some(Proof::GivenUp),
            _ => None,
        };
        h.facts.push((now, fact));
    }

    fn next(&mut self, now: Duration, n: usize) -> Next {
        let h = &mut self.0[n];
        if let Some(proof) = h.over {
            return Next::Over(proof);
        }
        let until = h.until();
        h.over = match (h.first(|f| *f == Fact::Asked), now >= until) {
            (None, _) => Some(Proof::NeverCame),
            (Some(_), true) => Some(Proof::Unasked),
            (Some(_), false) => None,
        };
        if let Some(proof) = h.over {
            return Next::Over(proof);
        }
        let missed = h
            .facts
            .iter()
            .rev()
            .find(|(_, f)| *f == Fact::Missed)
            .map(|(at, _)| *at);
        let rests = missed.map_or(Duration::ZERO, |at| (at + BOUNDS.pause).saturating_sub(now));
        match h.known().is_none() && h.spent() {
            true => Next::Wait(until - now),
            false if rests.is_zero() => Next::GiveUp(until - now),
            false => Next::Wait(rests.min(until - now)),
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
        for (later, event) in events {
            now += ms(later);
            match event {
                Event::Open => {
                    ids.push(ledger.open(now, ms(900)));
                    plain.0.push(History { opened: now, facts: vec![], over: None, closed: false });
                }
                Event::Tell(n, fact) if n < ids.len() => {
                    ledger.tell(now, ids[n], fact);
                    plain.tell(now, n, fact);
                }
                Event::Close(n) if n < ids.len() => {
                    ledger.close(ids[n]);
                    plain.0[n].closed = true;
                }
                Event::Next(n) if n < ids.len() && !plain.0[n].closed => {
                    let before = plain.0[n].over;
                    let said = ledger.next(now, ids[n]);
                    prop_assert_eq!(said, plain.next(now, n), "dispatch {} at {:?}", n, now);
                    if let Some(proof) = before {
                        prop_assert_eq!(said, Next::Over(proof));
                    }
                }
                _ => {}
            }
            prop_assert_eq!(ledger.len(), plain.0.iter().filter(|h| !h.closed).count());
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
    )
        .prop_map(|(drains, dies, replaced, resets, runs, waits, lost)| {
            let dies = dies.max(drains);
            World {
                drains,
                dies,
                replaced: replaced.max(drains),
                resets,
                runs,
                waits,
                lost,
            }
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
            let id = ledger.open(ms(0), ms(900));
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
        for (n, d) in all.iter_mut().enumerate() {
            // The truth: it ends by itself, with its process, or unasked.
            let unasked = t.saturating_sub(d.asked_at) >= 2250;
            if d.over_at.is_none() && (t >= w.runs[n] || dead || unasked) {
                d.over_at = Some(t);
            }
            let broken =
                (t == w.resets[n] / 10 * 10) || (dead && d.up.is_some_and(|(_, first)| first));
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
            match ledger.next(now, d.id) {
                Next::FindOut => unreachable!("no notes here"),
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
                            ledger.tell(now, d.id, Fact::GivenUp(on));
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

    /// The engine drains and the gateway is not told, the network resets its connections, another process takes its
    /// address while it runs on: no dispatch is ever held to be over while it runs.
    #[test]
    fn nothing_is_over_that_runs_whatever_the_list_says(w in world()) {
        play(&w)?;
    }
}

/// The recorded day rc98ea0: the limit passes while the engine drains and refuses.
#[test]
fn an_engine_that_refuses_proves_nothing_and_its_known_connection_does() {
    let mut l = Ledger::new(BOUNDS);
    let (a, b) = (l.open(ms(0), ms(900)), l.open(ms(0), ms(900)));
    for id in [a, b] {
        l.tell(ms(0), id, Fact::Asked);
        l.tell(ms(250), id, Fact::Runs(0));
        l.tell(ms(250), id, Fact::Asked);
    }
    assert_eq!(
        l.next(ms(400), a),
        Next::GiveUp(ms(2100)),
        "on the connection that is up"
    );
    l.tell(ms(410), a, Fact::GivenUp(0));
    assert_eq!(l.next(ms(410), a), Next::Over(Proof::GivenUp));
    l.tell(ms(420), b, Fact::Reset(0));
    l.tell(ms(421), b, Fact::Refused);
    assert_eq!(
        l.next(ms(430), b),
        Next::Wait(ms(2070)),
        "a reset and a refused connection are no end"
    );
    assert_eq!(l.next(ms(2500), b), Next::Over(Proof::Unasked));
    l.close(a);
    l.close(b);
    assert!(l.is_empty());
}

#[test]
fn who_answers_on_a_later_connection_proves_nothing_until_it_shows_the_dispatch() {
    let mut l = Ledger::new(BOUNDS);
    let (a, b) = (l.open(ms(0), ms(900)), l.open(ms(0), ms(900)));
    for id in [a, b] {
        l.tell(ms(0), id, Fact::Asked);
        l.tell(ms(100), id, Fact::Useless(0));
    }
    l.tell(ms(200), a, Fact::Failed(1));
    assert_eq!(
        l.next(ms(200), a),
        Next::GiveUp(ms(2050)),
        "it may still come there, and be given up"
    );
    l.tell(ms(210), a, Fact::GivenUp(1));
    assert_eq!(
        l.next(ms(210), a),
        Next::Wait(ms(2040)),
        "asked once, not each 50 ms"
    );
    l.tell(ms(200), b, Fact::Runs(1));
    l.tell(ms(210), b, Fact::Failed(1));
    assert_eq!(l.next(ms(210), b), Next::Over(Proof::Ended));
}

/// Seen on pomurje-estimates, split+mass: engines that tell notes run on what nobody asks for.
#[test]
fn notes_keep_a_dispatch_running_for_as_long_as_told() {
    let mut l = Ledger::new(Bounds {
        notes: true,
        ..BOUNDS
    });
    let id = l.open(ms(0), ms(4000));
    l.tell(ms(100), id, Fact::Asked);
    l.tell(ms(350), id, Fact::Runs(1));
    l.tell(ms(350), id, Fact::Asked);
    l.tell(ms(400), id, Fact::Reset(1));
    for at in [2700, 2800] {
        assert_eq!(
            l.next(ms(at), id),
            Next::FindOut,
            "unasked for over 2 s, and running"
        );
    }
    l.tell(ms(2900), id, Fact::Asked);
    l.tell(ms(2950), id, Fact::Failed(2));
    assert_eq!(
        l.next(ms(2950), id),
        Next::FindOut,
        "another process says nothing of it"
    );
    l.tell(ms(3000), id, Fact::Asked);
    l.tell(ms(3050), id, Fact::Runs(3));
    assert_eq!(l.next(ms(3050), id), Next::GiveUp(ms(4200)), "shown again");
    l.tell(ms(3060), id, Fact::Reset(3));
    assert_eq!(l.next(ms(3060), id), Next::FindOut);
    l.tell(ms(3100), id, Fact::Asked);
    assert_eq!(
        l.next(ms(3150), id),
        Next::GiveUp(ms(4200)),
        "asked often enough"
    );
    assert_eq!(l.next(ms(7350), id), Next::Over(Proof::Unasked));
}
