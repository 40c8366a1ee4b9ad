//! The ledger beside a plain model that reads the whole history each time, and in a played world whose engines
//! drain, die, are replaced and lose connections, where the truth is known.

use super::*;
use proptest::collection::vec;
use proptest::prelude::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const BOUNDS: Bounds = Bounds {
    long_poll: ms(250),
    progress_events: false,
    poll_expiry: ms(2000),
    cancel_pause: ms(50),
};

#[derive(Clone, Debug)]
enum Event {
    Open,
    Tell(usize, Evidence),
    Close(usize),
    Next(usize),
}

fn fact() -> impl Strategy<Value = Evidence> {
    let on = 0u32..3;
    prop_oneof![
        3 => Just(Evidence::RequestSent),
        4 => on.clone().prop_map(Evidence::Running),
        1 => Just(Evidence::Ended),
        1 => Just(Evidence::NeverReached),
        2 => on.clone().prop_map(Evidence::Cancelled),
        1 => on.clone().prop_map(Evidence::ReportedFailed),
        3 => on.clone().prop_map(Evidence::ConnectionLost),
        2 => on.prop_map(Evidence::ConnectionUnusable),
        2 => Just(Evidence::ConnectionRefused),
        1 => Just(Evidence::CancelFailed),
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
    facts: Vec<(Duration, Evidence)>,
    over: Option<Proof>,
    closed: bool,
}

impl History {
    /// The connection known to reach the process, after all that was told; none by what was told last of it.
    fn known(&self) -> Option<Connection> {
        let shown = self
            .facts
            .iter()
            .rposition(|(_, f)| matches!(f, Evidence::Running(_)))?;
        let Evidence::Running(on) = self.facts[shown].1 else {
            return None;
        };
        let gone = |(_, f): &(Duration, Evidence)| {
            [
                Evidence::ConnectionLost(on),
                Evidence::ConnectionUnusable(on),
            ]
            .contains(f)
        };
        (!self.facts[shown..].iter().any(gone)).then_some(on)
    }

    /// Whether a call would only reach who may be another, since the dispatch showed itself last.
    fn spent(&self) -> bool {
        let shown = self
            .facts
            .iter()
            .rposition(|(_, f)| matches!(f, Evidence::Running(_)))
            .unwrap_or(0);
        self.facts[shown..]
            .iter()
            .any(|(_, f)| matches!(f, Evidence::ConnectionRefused | Evidence::Cancelled(_)))
    }

    fn first(&self, wanted: impl Fn(&Evidence) -> bool) -> Option<Duration> {
        self.facts
            .iter()
            .find(|(_, f)| wanted(f))
            .map(|(at, _)| *at)
    }

    fn until(&self) -> Duration {
        let heard = self.facts.iter().map(|(at, fact)| match fact {
            Evidence::RequestSent => *at + BOUNDS.long_poll,
            Evidence::Running(_) => *at,
            _ => Duration::ZERO,
        });
        heard.max().unwrap_or_default().max(self.opened) + BOUNDS.poll_expiry
    }
}

/// All dispatches ever opened; nothing is forgotten, everything is worked out anew.
#[derive(Default)]
struct Plain(Vec<History>);

impl Plain {
    fn tell(&mut self, now: Duration, n: usize, fact: Evidence) {
        let h = &mut self.0[n];
        if h.over.is_some() || h.closed {
            return;
        }
        h.over = match fact {
            Evidence::Ended => Some(Proof::Ended),
            Evidence::NeverReached => Some(Proof::NeverReached),
            Evidence::ReportedFailed(on) if h.known() == Some(on) => Some(Proof::Ended),
            Evidence::Cancelled(on) if h.known() == Some(on) => Some(Proof::Cancelled),
            _ => None,
        };
        h.facts.push((now, fact));
    }

    fn next(&mut self, now: Duration, n: usize) -> CancelStep {
        let h = &mut self.0[n];
        if let Some(proof) = h.over {
            return CancelStep::Finished(proof);
        }
        let until = h.until();
        h.over = match (h.first(|f| *f == Evidence::RequestSent), now >= until) {
            (None, _) => Some(Proof::NeverReached),
            (Some(_), true) => Some(Proof::Expired),
            (Some(_), false) => None,
        };
        if let Some(proof) = h.over {
            return CancelStep::Finished(proof);
        }
        let missed = h
            .facts
            .iter()
            .rev()
            .find(|(_, f)| *f == Evidence::CancelFailed)
            .map(|(at, _)| *at);
        let rests = missed.map_or(Duration::ZERO, |at| {
            (at + BOUNDS.cancel_pause).saturating_sub(now)
        });
        match h.known().is_none() && h.spent() {
            true => CancelStep::Wait(until - now),
            false if rests.is_zero() => CancelStep::Cancel(until - now),
            false => CancelStep::Wait(rests.min(until - now)),
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
                    ledger.record(now, ids[n], fact);
                    plain.tell(now, n, fact);
                }
                Event::Close(n) if n < ids.len() => {
                    ledger.close(ids[n]);
                    plain.0[n].closed = true;
                }
                Event::Next(n) if n < ids.len() && !plain.0[n].closed => {
                    let before = plain.0[n].over;
                    let said = ledger.next_cancel_step(now, ids[n]);
                    prop_assert_eq!(said, plain.next(now, n), "dispatch {} at {:?}", n, now);
                    if let Some(proof) = before {
                        prop_assert_eq!(said, CancelStep::Finished(proof));
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
    id: AttemptId,
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
            ledger.record(ms(0), id, Evidence::RequestSent);
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
                ledger.record(now, d.id, Evidence::ConnectionLost(on));
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
                        ledger.record(now, d.id, Evidence::Running(on));
                        ledger.record(now, d.id, Evidence::RequestSent);
                        d.asked_at = t;
                    }
                    Some((_, true)) if t % 250 == 0 => {
                        ledger.record(now, d.id, Evidence::Ended);
                        d.stopped = true;
                    }
                    Some(_) => {}
                    None => d.stopped = true,
                }
                continue;
            }
            match ledger.next_cancel_step(now, d.id) {
                CancelStep::IdentifyProcess => unreachable!("no notes here"),
                CancelStep::Finished(proof) => {
                    prop_assert!(
                        d.over_at.is_some_and(|at| at <= t),
                        "dispatch {n} runs at {t}, but {proof:?}: {w:?}"
                    );
                    d.over = true;
                    proofs += 1;
                }
                CancelStep::Wait(span) => prop_assert!(!span.is_zero()),
                CancelStep::Cancel(left) => {
                    prop_assert!(!left.is_zero());
                    d.calls += 1;
                    let lost = w.lost[d.calls % w.lost.len()];
                    if d.up.is_none() {
                        let listens = (!drains && !dead) || taken_over;
                        if !listens {
                            ledger.record(now, d.id, Evidence::ConnectionRefused);
                            continue;
                        }
                        d.up = Some((d.connections, !taken_over));
                        d.connections += 1;
                    }
                    match d.up {
                        Some((on, _)) if lost => {
                            ledger.record(now, d.id, Evidence::ConnectionUnusable(on));
                            ledger.record(now, d.id, Evidence::CancelFailed);
                            d.up = None;
                        }
                        Some((on, first)) => {
                            if first && d.over_at.is_none() {
                                d.over_at = Some(t);
                            }
                            ledger.record(now, d.id, Evidence::Cancelled(on));
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
        l.record(ms(0), id, Evidence::RequestSent);
        l.record(ms(250), id, Evidence::Running(0));
        l.record(ms(250), id, Evidence::RequestSent);
    }
    assert_eq!(
        l.next_cancel_step(ms(400), a),
        CancelStep::Cancel(ms(2100)),
        "on the connection that is up"
    );
    l.record(ms(410), a, Evidence::Cancelled(0));
    assert_eq!(
        l.next_cancel_step(ms(410), a),
        CancelStep::Finished(Proof::Cancelled)
    );
    l.record(ms(420), b, Evidence::ConnectionLost(0));
    l.record(ms(421), b, Evidence::ConnectionRefused);
    assert_eq!(
        l.next_cancel_step(ms(430), b),
        CancelStep::Wait(ms(2070)),
        "a reset and a refused connection are no end"
    );
    assert_eq!(
        l.next_cancel_step(ms(2500), b),
        CancelStep::Finished(Proof::Expired)
    );
    l.close(a);
    l.close(b);
    assert!(l.is_empty());
}

#[test]
fn who_answers_on_a_later_connection_proves_nothing_until_it_shows_the_dispatch() {
    let mut l = Ledger::new(BOUNDS);
    let (a, b) = (l.open(ms(0), ms(900)), l.open(ms(0), ms(900)));
    for id in [a, b] {
        l.record(ms(0), id, Evidence::RequestSent);
        l.record(ms(100), id, Evidence::ConnectionUnusable(0));
    }
    l.record(ms(200), a, Evidence::ReportedFailed(1));
    assert_eq!(
        l.next_cancel_step(ms(200), a),
        CancelStep::Cancel(ms(2050)),
        "it may still come there, and be given up"
    );
    l.record(ms(210), a, Evidence::Cancelled(1));
    assert_eq!(
        l.next_cancel_step(ms(210), a),
        CancelStep::Wait(ms(2040)),
        "asked once, not each 50 ms"
    );
    l.record(ms(200), b, Evidence::Running(1));
    l.record(ms(210), b, Evidence::ReportedFailed(1));
    assert_eq!(
        l.next_cancel_step(ms(210), b),
        CancelStep::Finished(Proof::Ended)
    );
}

/// Seen on pomurje-estimates, split+mass: engines that tell notes run on what nobody asks for.
#[test]
fn notes_keep_a_dispatch_running_for_as_long_as_told() {
    let mut l = Ledger::new(Bounds {
        progress_events: true,
        ..BOUNDS
    });
    let id = l.open(ms(0), ms(4000));
    l.record(ms(100), id, Evidence::RequestSent);
    l.record(ms(350), id, Evidence::Running(1));
    l.record(ms(350), id, Evidence::RequestSent);
    l.record(ms(400), id, Evidence::ConnectionLost(1));
    for at in [2700, 2800] {
        assert_eq!(
            l.next_cancel_step(ms(at), id),
            CancelStep::IdentifyProcess,
            "unasked for over 2 s, and running"
        );
    }
    l.record(ms(2900), id, Evidence::RequestSent);
    l.record(ms(2950), id, Evidence::ReportedFailed(2));
    assert_eq!(
        l.next_cancel_step(ms(2950), id),
        CancelStep::IdentifyProcess,
        "another process says nothing of it"
    );
    l.record(ms(3000), id, Evidence::RequestSent);
    l.record(ms(3050), id, Evidence::Running(3));
    assert_eq!(
        l.next_cancel_step(ms(3050), id),
        CancelStep::Cancel(ms(4200)),
        "shown again"
    );
    l.record(ms(3060), id, Evidence::ConnectionLost(3));
    assert_eq!(
        l.next_cancel_step(ms(3060), id),
        CancelStep::IdentifyProcess
    );
    l.record(ms(3100), id, Evidence::RequestSent);
    assert_eq!(
        l.next_cancel_step(ms(3150), id),
        CancelStep::Cancel(ms(4200)),
        "asked often enough"
    );
    assert_eq!(
        l.next_cancel_step(ms(7350), id),
        CancelStep::Finished(Proof::Expired)
    );
}
