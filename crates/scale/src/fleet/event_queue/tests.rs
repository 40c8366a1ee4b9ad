use super::EventQueue;
use crate::fleet::time::SimTime;

#[test]
fn events_are_popped_in_time_order_and_then_in_push_order() {
    let mut queue = EventQueue::new();
    for (seconds, name) in [(2.0, 'c'), (1.0, 'a'), (2.0, 'd'), (1.0, 'b')] {
        queue.push(SimTime::from_seconds(seconds), name);
    }
    let popped: String = std::iter::from_fn(|| queue.pop())
        .map(|(_, name)| name)
        .collect();
    assert_eq!((popped.as_str(), queue.scheduled_total()), ("abcd", 4));
}
