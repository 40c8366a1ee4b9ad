//! Checks the ledger's conclusions for fixed sequences of evidence, some of which are taken from incidents.

use super::*;

/// Incident rc98ea0: the deadline passed while the engine was draining and refused new connections. A refused
/// connection must not count as proof that the attempt ended.
#[test]
fn a_lost_or_refused_connection_does_not_prove_that_an_attempt_ended() {
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
        "the cancellation is sent on the identified connection"
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
        "the request may still arrive, so a cancellation is sent"
    );
    ledger.record(ms(210), a, Evidence::Cancelled(ConnectionId(1)));
    assert_eq!(
        ledger.next_cancel_step(ms(210), a),
        CancelStep::Wait(ms(2040)),
        "the cancellation is sent once, not every 50 ms"
    );
    ledger.record(ms(200), b, Evidence::Running(ConnectionId(1)));
    ledger.record(ms(210), b, Evidence::ReportedFailed(ConnectionId(1)));
    assert_eq!(
        ledger.next_cancel_step(ms(210), b),
        CancelStep::Finished(Proof::Ended)
    );
}

/// Incident fleet-notes: engines that send progress events continued to run attempts that were no longer polled.
/// The ledger must count such an attempt as running for the given time after the last contact.
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
            "the attempt was not polled for over 2 s and may still run"
        );
    }
    ledger.record(ms(2900), id, Evidence::RequestSent);
    ledger.record(ms(2950), id, Evidence::ReportedFailed(ConnectionId(2)));
    assert_eq!(
        ledger.next_cancel_step(ms(2950), id),
        CancelStep::IdentifyProcess,
        "an answer of another process proves nothing"
    );
    ledger.record(ms(3000), id, Evidence::RequestSent);
    ledger.record(ms(3050), id, Evidence::Running(ConnectionId(3)));
    assert_eq!(
        ledger.next_cancel_step(ms(3050), id),
        CancelStep::Cancel(ms(4200)),
        "the process is identified again"
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
        "the polls that identify the process are used up"
    );
    assert_eq!(
        ledger.next_cancel_step(ms(7350), id),
        CancelStep::Finished(Proof::Expired)
    );
}
