//! Checks the ledger in a simulation in which the engine drains, crashes, is replaced and loses connections. The actual
//! state of each attempt is known and compared with the ledger's conclusions.

use super::*;
use proptest::collection::vec;
use proptest::prelude::*;

/// Generated input of one simulation: the events at the engine and on the connections. Times are in milliseconds.
#[derive(Clone, Debug)]
struct Scenario {
    /// Time from which the engine refuses new connections.
    drains_at: u64,
    /// Time at which the engine's process ends, which resets all its connections.
    process_ends_at: u64,
    /// Time from which another process listens at the engine's address.
    replaced_at: u64,
    /// Time at which the network resets the connection of each attempt.
    resets_at: Vec<u64>,
    /// Time for which each attempt runs.
    run_ms: Vec<u64>,
    /// Time at which the gateway stops waiting for each attempt and cancels it.
    cancelled_at: Vec<u64>,
    /// Whether a cancellation is lost, for successive cancellations of an attempt.
    lost_cancellations: Vec<bool>,
}

fn scenario() -> impl Strategy<Value = Scenario> {
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
            |(drains_at, ends_at, replaced_at, resets_at, run_ms, cancelled_at, lost)| Scenario {
                drains_at,
                process_ends_at: ends_at.max(drains_at),
                replaced_at: replaced_at.max(drains_at),
                resets_at,
                run_ms,
                cancelled_at,
                lost_cancellations: lost,
            },
        )
}

/// Open connection of a simulated attempt.
#[derive(Clone, Copy)]
struct OpenConnection {
    number: ConnectionId,
    /// Whether the connection leads to the process that has the attempt, not to its replacement.
    to_first_process: bool,
}

/// One attempt of a simulation: the gateway's view and the actual state.
struct SimulatedAttempt {
    id: AttemptId,
    connection: Option<OpenConnection>,
    next_connection: ConnectionId,
    polled_at: u64,
    /// Time at which the attempt actually ended.
    ended_at: Option<u64>,
    /// Whether the ledger has reported that the attempt finished.
    finished: bool,
    cancelling: bool,
    cancellations: usize,
}

const STEP_MS: usize = 10;
const POLL_MS: u64 = 250;

/// Runs a simulation in steps of 10 ms. Checks that an attempt has ended whenever the ledger reports it as finished,
/// and that all attempts finish within 12 s.
fn simulate(scenario: &Scenario) -> Result<(), TestCaseError> {
    let mut ledger = Ledger::new(PROTOCOL_LIMITS);
    let mut attempts: Vec<SimulatedAttempt> = (0..3)
        .map(|_| {
            let id = ledger.open(ms(0), ms(900));
            ledger.record(ms(0), id, Evidence::RequestSent);
            SimulatedAttempt::new(id)
        })
        .collect();
    for t in (0..12_000).step_by(STEP_MS) {
        for (n, attempt) in attempts.iter_mut().enumerate() {
            attempt.update_actual_state(t, n, scenario, &mut ledger);
            if attempt.finished {
                continue;
            }
            if attempt.cancelling {
                attempt.cancel(t, n, scenario, &mut ledger)?;
            } else {
                attempt.poll(t, n, scenario, &mut ledger);
            }
        }
    }
    let finished = attempts.iter().filter(|attempt| attempt.finished).count();
    prop_assert_eq!(
        finished,
        3,
        "every attempt finishes within the simulated time"
    );
    Ok(())
}

impl SimulatedAttempt {
    fn new(id: AttemptId) -> SimulatedAttempt {
        SimulatedAttempt {
            id,
            connection: Some(OpenConnection {
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

    /// Updates the actual state: the attempt ends when it completes, its process ends or it is not polled for 2250 ms.
    /// Its connection may be reset.
    fn update_actual_state(&mut self, t: u64, n: usize, scenario: &Scenario, ledger: &mut Ledger) {
        let ended = t >= scenario.process_ends_at;
        let unpolled = t.saturating_sub(self.polled_at) >= 2250;
        if self.ended_at.is_none() && (t >= scenario.run_ms[n] || ended || unpolled) {
            self.ended_at = Some(t);
        }
        let reset = t == scenario.resets_at[n] / 10 * 10;
        let broken = |open: &OpenConnection| reset || (ended && open.to_first_process);
        if let Some(open) = self.connection.filter(broken) {
            ledger.record(ms(t), self.id, Evidence::ConnectionLost(open.number));
            self.connection = None;
        }
    }

    /// Polls the attempt every 250 ms on a connection to its process, until the gateway stops waiting.
    fn poll(&mut self, t: u64, n: usize, scenario: &Scenario, ledger: &mut Ledger) {
        self.cancelling = t >= scenario.cancelled_at[n];
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
        scenario: &Scenario,
        ledger: &mut Ledger,
    ) -> Result<(), TestCaseError> {
        match ledger.next_cancel_step(ms(t), self.id) {
            CancelStep::IdentifyProcess => unreachable!("no progress events"),
            CancelStep::Finished(proof) => {
                prop_assert!(
                    self.ended_at.is_some_and(|at| at <= t),
                    "attempt {n} still runs at {t} ms, but the ledger has the proof {proof:?}: {scenario:?}"
                );
                self.finished = true;
            }
            CancelStep::Wait(time) => prop_assert!(!time.is_zero()),
            CancelStep::Cancel(remaining) => {
                prop_assert!(!remaining.is_zero());
                self.send_cancellation(t, scenario, ledger);
            }
        }
        Ok(())
    }

    fn send_cancellation(&mut self, t: u64, scenario: &Scenario, ledger: &mut Ledger) {
        self.cancellations += 1;
        let lost =
            scenario.lost_cancellations[self.cancellations % scenario.lost_cancellations.len()];
        let Some(open) = self.connection.or_else(|| self.connect(t, scenario)) else {
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

    /// Opens a new connection, if any process accepts it.
    fn connect(&mut self, t: u64, scenario: &Scenario) -> Option<OpenConnection> {
        let replaced = t >= scenario.replaced_at;
        let first_process_accepts = t < scenario.drains_at && t < scenario.process_ends_at;
        if !first_process_accepts && !replaced {
            return None;
        }
        let number = self.next_connection;
        self.next_connection = number.next();
        Some(OpenConnection {
            number,
            to_first_process: !replaced,
        })
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// The ledger never reports a running attempt as finished, even if the engine drains without notice, the network
    /// resets its connections, or another process takes over its address while the engine still runs.
    #[test]
    fn no_running_attempt_is_reported_as_finished(scenario in scenario()) {
        simulate(&scenario)?;
    }
}
