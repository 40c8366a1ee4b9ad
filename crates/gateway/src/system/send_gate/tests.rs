use super::*;
use std::sync::Arc;

/// A gate together with the two flags that its conditions read.
struct TestGate {
    gate: SendGate,
    may_start: Arc<AtomicBool>,
    is_wanted: Arc<AtomicBool>,
}

impl TestGate {
    fn new() -> Self {
        let may_start = Arc::new(AtomicBool::new(true));
        let is_wanted = Arc::new(AtomicBool::new(true));
        let gate = SendGate::new(flag_reader(&may_start), flag_reader(&is_wanted));
        TestGate {
            gate,
            may_start,
            is_wanted,
        }
    }
}

fn flag_reader(flag: &Arc<AtomicBool>) -> impl Fn() -> bool + Send + Sync + 'static {
    let flag = flag.clone();
    move || flag.load(Ordering::Relaxed)
}

#[test]
fn request_is_stopped_at_its_first_write_if_the_engine_takes_no_new_attempts() {
    let test = TestGate::new();
    test.may_start.store(false, Ordering::Relaxed);
    test.gate.record_sending_started();
    assert_eq!(test.gate.allow_write_or_stop(), WriteDecision::Stopped);
    assert!(test.gate.is_stopped());
}

#[test]
fn started_request_may_be_completed_while_its_engine_drains() {
    let test = TestGate::new();
    test.gate.record_sending_started();
    assert_eq!(test.gate.allow_write_or_stop(), WriteDecision::Allowed);
    test.may_start.store(false, Ordering::Relaxed);
    assert_eq!(test.gate.allow_write_or_stop(), WriteDecision::Allowed);
}

#[test]
fn unwanted_request_is_stopped_for_good() {
    let test = TestGate::new();
    test.gate.record_sending_started();
    assert_eq!(test.gate.allow_write_or_stop(), WriteDecision::Allowed);
    test.is_wanted.store(false, Ordering::Relaxed);
    assert_eq!(test.gate.allow_write_or_stop(), WriteDecision::Stopped);
    test.is_wanted.store(true, Ordering::Relaxed);
    test.gate.record_body_consumed();
    test.gate.record_flush();
    test.gate.record_later_call();
    assert_eq!(test.gate.allow_write_or_stop(), WriteDecision::Stopped);
}

#[test]
fn flush_before_the_last_byte_does_not_count_as_sent() {
    let test = TestGate::new();
    test.gate.record_sending_started();
    test.gate.record_flush();
    assert_eq!(test.gate.stop_unless_complete(), StopOutcome::Stopped);
}

#[test]
fn completely_sent_request_cannot_be_stopped() {
    let test = TestGate::new();
    test.gate.record_sending_started();
    test.gate.record_body_consumed();
    test.gate.record_flush();
    test.is_wanted.store(false, Ordering::Relaxed);
    assert_eq!(test.gate.stop_unless_complete(), StopOutcome::AlreadySent);
    assert_eq!(test.gate.allow_write_or_stop(), WriteDecision::Allowed);
}
