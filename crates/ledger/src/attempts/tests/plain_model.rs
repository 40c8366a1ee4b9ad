//! Compares the ledger with a reference model that recomputes its state from the whole history at each step.

use super::*;
use proptest::collection::vec;
use proptest::prelude::*;

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

/// Complete history of one attempt: all recorded evidence with its times, in order.
#[derive(Clone)]
struct History {
    opened: Duration,
    recorded: Vec<(Duration, Evidence)>,
    proof: Option<Proof>,
    closed: bool,
}

impl History {
    /// Returns the evidence from the last [`Evidence::Running`] on, including it.
    fn since_last_running(&self) -> Option<&[(Duration, Evidence)]> {
        let last = self
            .recorded
            .iter()
            .rposition(|(_, evidence)| matches!(evidence, Evidence::Running(_)))?;
        Some(&self.recorded[last..])
    }

    /// Returns the connection on which the attempt was last seen running, unless that connection has failed since.
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

    /// Returns whether, without an identified connection, further cancellations are useless: since the attempt was last
    /// seen running, a connection was refused or a cancellation was answered.
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

/// Reference model of the ledger: keeps the history of all attempts ever opened.
#[derive(Default)]
struct ReferenceModel(Vec<History>);

impl ReferenceModel {
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

    /// For any sequence of events the ledger returns the same steps as the reference model, and a proof never changes.
    #[test]
    fn ledger_agrees_with_the_reference_model(events in events()) {
        let (mut ledger, mut model, mut ids) = (Ledger::new(PROTOCOL_LIMITS), ReferenceModel::default(), Vec::new());
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
