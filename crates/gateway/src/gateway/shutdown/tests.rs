use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Times from the shutdown request to `accept_until`, `answers_due` and `exit_at`, in this order.
fn steps(longest_deadline_seconds: f64) -> [Duration; 3] {
    let requested_at = Instant::now();
    let schedule = ShutdownSchedule::new(requested_at, longest_deadline_seconds);
    [
        schedule.accept_until,
        schedule.answers_due,
        schedule.exit_at,
    ]
    .map(|instant| instant - requested_at)
}

#[test]
fn steps_are_counted_back_from_the_earliest_kill() {
    assert_eq!(steps(2.0), [ms(700), ms(2500), ms(2600)]);
}

#[test]
fn longest_deadline_counts_for_at_most_three_seconds() {
    assert_eq!(steps(60.0), [ms(700), ms(3500), ms(3600)]);
}

#[test]
fn accepting_ends_before_the_earliest_kill_without_deadlines() {
    assert_eq!(steps(0.0), [ms(550), ms(500), ms(600)]);
}
