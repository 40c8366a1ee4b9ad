//! The ledger against a plain model that reads the whole history each time, and in a simulation whose engine drains, dies, is
//! replaced and loses connections, where the truth is known.

use super::*;
use proptest::collection::vec;
use proptest::prelude::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const PROTOCOL_LIMITS: ProtocolLimits = ProtocolLimits {
    long_poll: ms(250),
    progress_events: ProgressEvents::NotSent,
    poll_expiry: ms(2000),
    cancel_pause: ms(50),
};

#[derive(Clone, Debug)]
enum Event {
    Open,
    Record(usize, Evidence),
    Close(usize),
    NextStep(usize),
}

fn evidence() -> impl Strategy<Value = Evidence> {
    let connection = (0u32..3).prop_map(ConnectionId);
    prop_oneof![
        3 => Just(Evidence::RequestSent),
        4 => connection.clone().prop_map(Evidence::Running),
        1 => Just(Evidence::Ended),
        1 => Just(Evidence::NeverReached),
        2 => connection.clone().prop_map(Evidence::Cancelled),
        1 => connection.clone().prop_map(Evidence::ReportedFailed),
        3 => connection.clone().prop_map(Evidence::ConnectionLost),
        2 => connection.prop_map(Evidence::ConnectionUnusable),
        2 => Just(Evidence::ConnectionRefused),
        1 => Just(Evidence::CancelFailed),
    ]
}

fn events() -> impl Strategy<Value = Vec<(u64, Event)>> {
    let event = prop_oneof![
        2 => Just(Event::Open),
        12 => (0usize..6, evidence()).prop_map(|(n, e)| Event::Record(n, e)),
        1 => (0usize..6).prop_map(Event::Close),
        6 => (0usize..6).prop_map(Event::NextStep),
    ];
    vec((prop_oneof![4 => 0u64..60, 1 => 0u64..1500], event), 0..120)
}

/// Everything that was recorded of one attempt, with the times, in order.
#[derive(Clone)]
struct History {
    opened: Duration,
    recorded: Vec<(Duration, Evidence)>,
    proof: Option<Proof>,
    closed: bool,
}

impl History {
    /// What was recorded since the attempt was last seen running, that included.
    fn since_last_running(&self) -> Option<&[(Duration, Evidence)]> {
        let last = self
            .recorded
            .iter()
            .rposition(|(_, evidence)| matches!(evidence, Evidence::Running(_)))?;
        Some(&self.recorded[last..])
    }

    /// The connection on which the attempt was last seen running, if nothing happened to that since.
    fn identified_connection(&self) -> Option<ConnectionId> {
        let since = self.since_last_running()?;
        let Evidence::Running(connection) = since[0].1 else {
            return None;
        };
        let lost = [
            Evidence::ConnectionLost(connection),
            Evidence::ConnectionUnusable(connection),
        ];
        let is_lost = since.iter().any(|(_, evidence)| lost.contains(evidence));
        (!is_lost).then_some(connection)
    }

    /// Whether a cancellation could only reach a process that may be another.
    fn cancellation_exhausted(&self) -> bool {
        let since = self.since_last_running().unwrap_or(&self.recorded);
        since.iter().any(|(_, evidence)| {
            matches!(
                evidence,
                Evidence::ConnectionRefused | Evidence::Cancelled(_)
            )
        })
    }

    fn request_sent(&self) -> bool {
        self.recorded
            .iter()
            .any(|(_, evidence)| *evidence == Evidence::RequestSent)
    }

    fn may_run_until(&self) -> Duration {
        let contacts = self.recorded.iter().map(|(at, evidence)| match evidence {
            Evidence::RequestSent => *at + PROTOCOL_LIMITS.long_poll,
            Evidence::Running(_) => *at,
            _ => Duration::ZERO,
        });
        contacts.max().unwrap_or_default().max(self.opened) + PROTOCOL_LIMITS.poll_expiry
    }

    fn cancel_failed_at(&self) -> Option<Duration> {
        self.recorded
            .iter()
            .rev()
            .find(|(_, evidence)| *evidence == Evidence::CancelFailed)
            .map(|(at, _)| *at)
    }
}

/// All attempts ever opened; nothing is forgotten, everything is worked out anew.
#[derive(Default)]
struct PlainModel(Vec<History>);

impl PlainModel {
    fn record(&mut self, now: Duration, n: usize, evidence: Evidence) {
        let history = &mut self.0[n];
        if history.proof.is_some() || history.closed {
            return;
        }
        let identified = history.identified_connection();
        history.proof = match evidence {
            Evidence::Ended => Some(Proof::Ended),
            Evidence::NeverReached => Some(Proof::NeverReached),
            Evidence::ReportedFailed(on) if identified == Some(on) => Some(Proof::Ended),
            Evidence::Cancelled(on) if identified == Some(on) => Some(Proof::Cancelled),
            _ => None,
        };
        history.recorded.push((now, evidence));
    }

    fn next_cancel_step(&mut self, now: Duration, n: usize) -> CancelStep {
        let history = &mut self.0[n];
        if let Some(proof) = history.proof {
            return CancelStep::Finished(proof);
        }
        let until = history.may_run_until();
        history.proof = match (history.request_sent(), now >= until) {
            (false, _) => Some(Proof::NeverReached),
            (true, true) => Some(Proof::Expired),
            (true, false) => None,
        };
        if let Some(proof) = history.proof {
            return CancelStep::Finished(proof);
        }
        let pause = history
            .cancel_failed_at()
            .map_or(Duration::ZERO, |failed_at| {
                (failed_at + PROTOCOL_LIMITS.cancel_pause).saturating_sub(now)
            });
        let has_connection = history.identified_connection().is_some();
        match !has_connection && history.cancellation_exhausted() {
            true => CancelStep::Wait(until - now),
            false if pause.is_zero() => CancelStep::Cancel(until - now),
            false => CancelStep::Wait(pause.min(until - now)),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    /// Any order of events: the ledger says what the plain model says, and a proof stands.
    #[test]
    fn ledger_agrees_with_the_plain_model(events in events()) {
        let (mut ledger, mut model, mut ids) = (Ledger::new(PROTOCOL_LIMITS), PlainModel::default(), Vec::new());
        let mut now = Duration::ZERO;
        for (later, event) in events {
            now += ms(later);
            match event {
                Event::Open => {
                    ids.push(ledger.open(now, ms(900)));
                    model.0.push(History { opened: now, recorded: vec![], proof: None, closed: false });
                }
                Event::Record(n, evidence) if n < ids.len() => {
                    ledger.record(now, ids[n], evidence);
                    model.record(now, n, evidence);
                }
                Event::Close(n) if n < ids.len() => {
                    ledger.close(ids[n]);
                    model.0[n].closed = true;
                }
                Event::NextStep(n) if n < ids.len() && !model.0[n].closed => {
                    let before = model.0[n].proof;
                    let step = ledger.next_cancel_step(now, ids[n]);
                    prop_assert_eq!(step, model.next_cancel_step(now, n), "attempt {} at {:?}", n, now);
                    if let Some(proof) = before {
                        prop_assert_eq!(step, CancelStep::Finished(proof));
                    }
                }
                _ => {}
            }
            prop_assert_eq!(ledger.len(), model.0.iter().filter(|h| !h.closed).count());
        }
    }
}

/// What happens to the engine and the connections of a simulation, and when (milliseconds).
#[derive(Clone, Debug)]
struct World {
    /// From then on the engine refuses new connections.
    drains_at: u64,
    /// Then its process ends, and resets all its connections.
    dies_at: u64,
    /// Then another process listens at its address.
    replaced_at: u64,
    /// When the network resets the connection of each attempt.
    resets_at: Vec<u64>,
    /// How long each attempt runs.
    run_ms: Vec<u64>,
    /// When the gateway stops to wait for each.
    cancelled_at: Vec<u64>,
    /// Whether cancellations are lost, in turn.
    lost_cancellations: Vec<bool>,
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
        .prop_map(
            |(drains_at, dies_at, replaced_at, resets_at, run_ms, cancelled_at, lost)| World {
                drains_at,
                dies_at: dies_at.max(drains_at),
                replaced_at: replaced_at.max(drains_at),
                resets_at,
                run_ms,
                cancelled_at,
                lost_cancellations: lost,
            },
        )
}

/// The connection of a simulated attempt.
#[derive(Clone, Copy)]
struct Open {
    number: ConnectionId,
    /// It reaches the process that has the attempt.
    to_first_process: bool,
}

/// One attempt of a simulation: the gateway's side and the truth.
struct Simulated {
    id: AttemptId,
    connection: Option<Open>,
    next_connection: ConnectionId,
    polled_at: u64,
    /// The truth.
    ended_at: Option<u64>,
    /// What the ledger says.
    finished: bool,
    cancelling: bool,
    cancellations: usize,
}

const STEP_MS: usize = 10;
const POLL_MS: u64 = 250;

/// Runs a simulation by steps of 10 ms; each time the ledger says that an attempt has finished, it has.
fn simulate(world: &World) -> Result<(), TestCaseError> {
    let mut ledger = Ledger::new(PROTOCOL_LIMITS);
    let mut attempts: Vec<Simulated> = (0..3)
        .map(|_| {
            let id = ledger.open(ms(0), ms(900));
            ledger.record(ms(0), id, Evidence::RequestSent);
            Simulated::new(id)
        })
        .collect();
    for t in (0..12_000).step_by(STEP_MS) {
        for (n, attempt) in attempts.iter_mut().enumerate() {
            attempt.advance_truth(t, n, world, &mut ledger);
            if attempt.finished {
                continue;
            }
            if attempt.cancelling {
                attempt.cancel(t, n, world, &mut ledger)?;
            } else {
                attempt.poll(t, n, world, &mut ledger);
            }
        }
    }
    let finished = attempts.iter().filter(|attempt| attempt.finished).count();
    prop_assert_eq!(finished, 3, "every attempt has finished by the bound");
    Ok(())
}

impl Simulated {
    fn new(id: AttemptId) -> Simulated {
        Simulated {
            id,
            connection: Some(Open {
                number: ConnectionId(0),
                to_first_process: true,
            }),
            next_connection: ConnectionId(1),
            polled_at: 0,
            ended_at: None,
            finished: false,
            cancelling: false,
            cancellations: 0,
        }
    }

    /// The attempt ends by itself, with its process, or as nobody polls it; its connection may break.
    fn advance_truth(&mut self, t: u64, n: usize, world: &World, ledger: &mut Ledger) {
        let dead = t >= world.dies_at;
        let unpolled = t.saturating_sub(self.polled_at) >= 2250;
        if self.ended_at.is_none() && (t >= world.run_ms[n] || dead || unpolled) {
            self.ended_at = Some(t);
        }
        let reset = t == world.resets_at[n] / 10 * 10;
        let broken = |open: &Open| reset || (dead && open.to_first_process);
        if let Some(open) = self.connection.filter(broken) {
            ledger.record(ms(t), self.id, Evidence::ConnectionLost(open.number));
            self.connection = None;
        }
    }

    /// Polls every 250 ms on a connection that reaches the process, until the gateway stops to wait.
    fn poll(&mut self, t: u64, n: usize, world: &World, ledger: &mut Ledger) {
        self.cancelling = t >= world.cancelled_at[n];
        let Some(open) = self.connection else {
            self.cancelling = true;
            return;
        };
        if !open.to_first_process || !t.is_multiple_of(POLL_MS) {
            return;
        }
        if self.ended_at.is_some() {
            ledger.record(ms(t), self.id, Evidence::Ended);
            self.cancelling = true;
            return;
        }
        ledger.record(ms(t), self.id, Evidence::Running(open.number));
        ledger.record(ms(t), self.id, Evidence::RequestSent);
        self.polled_at = t;
    }

    fn cancel(
        &mut self,
        t: u64,
        n: usize,
        world: &World,
        ledger: &mut Ledger,
    ) -> Result<(), TestCaseError> {
        match ledger.next_cancel_step(ms(t), self.id) {
            CancelStep::IdentifyProcess => unreachable!("no progress events here"),
            CancelStep::Finished(proof) => {
                prop_assert!(
                    self.ended_at.is_some_and(|at| at <= t),
                    "attempt {n} runs at {t}, but {proof:?}: {world:?}"
                );
                self.finished = true;
            }
            CancelStep::Wait(time) => prop_assert!(!time.is_zero()),
            CancelStep::Cancel(remaining) => {
                prop_assert!(!remaining.is_zero());
                self.send_cancellation(t, world, ledger);
            }
        }
        Ok(())
    }

    fn send_cancellation(&mut self, t: u64, world: &World, ledger: &mut Ledger) {
        self.cancellations += 1;
        let lost = world.lost_cancellations[self.cancellations % world.lost_cancellations.len()];
        let Some(open) = self.connection.or_else(|| self.connect(t, world)) else {
            ledger.record(ms(t), self.id, Evidence::ConnectionRefused);
            return;
        };
        self.connection = Some(open);
        if lost {
            ledger.record(ms(t), self.id, Evidence::ConnectionUnusable(open.number));
            ledger.record(ms(t), self.id, Evidence::CancelFailed);
            self.connection = None;
            return;
        }
        if open.to_first_process && self.ended_at.is_none() {
            self.ended_at = Some(t);
        }
        ledger.record(ms(t), self.id, Evidence::Cancelled(open.number));
    }

    /// A new connection, if any process accepts it.
    fn connect(&mut self, t: u64, world: &World) -> Option<Open> {
        let replaced = t >= world.replaced_at;
        let first_accepts = t < world.drains_at && t < world.dies_at;
        if !first_accepts && !replaced {
            return None;
        }
        let number = self.next_connection;
        self.next_connection = number.next();
        Some(Open {
            number,
            to_first_process: !replaced,
        })
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// The engine drains without notice, the network resets its connections, another process takes its address while it runs
    /// on: no attempt ever counts as finished while it runs.
    #[test]
    fn no_running_attempt_counts_as_finished_whatever_the_endpoint_list_says(world in world()) {
        simulate(&world)?;
    }
}

/// Incident rc98ea0: the deadline passes while the engine drains and refuses new connections.
#[test]
fn a_refused_connection_proves_nothing_and_the_identified_one_does() {
    let mut ledger = Ledger::new(PROTOCOL_LIMITS);
    let (a, b) = (ledger.open(ms(0), ms(900)), ledger.open(ms(0), ms(900)));
    for id in [a, b] {
        ledger.record(ms(0), id, Evidence::RequestSent);
        ledger.record(ms(250), id, Evidence::Running(ConnectionId(0)));
        ledger.record(ms(250), id, Evidence::RequestSent);
    }
    assert_eq!(
        ledger.next_cancel_step(ms(400), a),
        CancelStep::Cancel(ms(2100)),
        "on the identified connection"
    );
    ledger.record(ms(410), a, Evidence::Cancelled(ConnectionId(0)));
    assert_eq!(
        ledger.next_cancel_step(ms(410), a),
        CancelStep::Finished(Proof::Cancelled)
    );
    ledger.record(ms(420), b, Evidence::ConnectionLost(ConnectionId(0)));
    ledger.record(ms(421), b, Evidence::ConnectionRefused);
    assert_eq!(
        ledger.next_cancel_step(ms(430), b),
        CancelStep::Wait(ms(2070)),
        "a lost and a refused connection prove nothing"
    );
    assert_eq!(
        ledger.next_cancel_step(ms(2500), b),
        CancelStep::Finished(Proof::Expired)
    );
    ledger.close(a);
    ledger.close(b);
    assert!(ledger.is_empty());
}

#[test]
fn an_answer_on_another_connection_proves_nothing_until_the_attempt_is_seen_there() {
    let mut ledger = Ledger::new(PROTOCOL_LIMITS);
    let (a, b) = (ledger.open(ms(0), ms(900)), ledger.open(ms(0), ms(900)));
    for id in [a, b] {
        ledger.record(ms(0), id, Evidence::RequestSent);
        ledger.record(ms(100), id, Evidence::ConnectionUnusable(ConnectionId(0)));
    }
    ledger.record(ms(200), a, Evidence::ReportedFailed(ConnectionId(1)));
    assert_eq!(
        ledger.next_cancel_step(ms(200), a),
        CancelStep::Cancel(ms(2050)),
        "it may still arrive there, and be cancelled"
    );
    ledger.record(ms(210), a, Evidence::Cancelled(ConnectionId(1)));
    assert_eq!(
        ledger.next_cancel_step(ms(210), a),
        CancelStep::Wait(ms(2040)),
        "sent once, not every 50 ms"
    );
    ledger.record(ms(200), b, Evidence::Running(ConnectionId(1)));
    ledger.record(ms(210), b, Evidence::ReportedFailed(ConnectionId(1)));
    assert_eq!(
        ledger.next_cancel_step(ms(210), b),
        CancelStep::Finished(Proof::Ended)
    );
}

/// Incident fleet-notes: engines that send progress events run on what nobody polls.
#[test]
fn progress_events_keep_an_attempt_running_for_the_given_time() {
    let mut ledger = Ledger::new(ProtocolLimits {
        progress_events: ProgressEvents::KeepRunning,
        ..PROTOCOL_LIMITS
    });
    let id = ledger.open(ms(0), ms(4000));
    ledger.record(ms(100), id, Evidence::RequestSent);
    ledger.record(ms(350), id, Evidence::Running(ConnectionId(1)));
    ledger.record(ms(350), id, Evidence::RequestSent);
    ledger.record(ms(400), id, Evidence::ConnectionLost(ConnectionId(1)));
    for at in [2700, 2800] {
        assert_eq!(
            ledger.next_cancel_step(ms(at), id),
            CancelStep::IdentifyProcess,
            "not polled for over 2 s, and running"
        );
    }
    ledger.record(ms(2900), id, Evidence::RequestSent);
    ledger.record(ms(2950), id, Evidence::ReportedFailed(ConnectionId(2)));
    assert_eq!(
        ledger.next_cancel_step(ms(2950), id),
        CancelStep::IdentifyProcess,
        "another process proves nothing"
    );
    ledger.record(ms(3000), id, Evidence::RequestSent);
    ledger.record(ms(3050), id, Evidence::Running(ConnectionId(3)));
    assert_eq!(
        ledger.next_cancel_step(ms(3050), id),
        CancelStep::Cancel(ms(4200)),
        "identified again"
    );
    ledger.record(ms(3060), id, Evidence::ConnectionLost(ConnectionId(3)));
    assert_eq!(
        ledger.next_cancel_step(ms(3060), id),
        CancelStep::IdentifyProcess
    );
    ledger.record(ms(3100), id, Evidence::RequestSent);
    assert_eq!(
        ledger.next_cancel_step(ms(3150), id),
        CancelStep::Cancel(ms(4200)),
        "polled often enough"
    );
    assert_eq!(
        ledger.next_cancel_step(ms(7350), id),
        CancelStep::Finished(Proof::Expired)
    );
}
