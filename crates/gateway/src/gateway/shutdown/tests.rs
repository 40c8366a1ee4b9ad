use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The steps after the request, in order: accept until, answers due, exit.
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
fn the_steps_are_counted_back_from_the_earliest_kill() {
    assert_eq!(steps(2.0), [ms(700), ms(2500), ms(2600)]);
}

#[test]
fn of_a_long_deadline_only_three_seconds_count() {
    assert_eq!(steps(60.0), [ms(700), ms(3500), ms(3600)]);
}

#[test]
fn without_a_deadline_accepting_ends_before_the_earliest_kill() {
    assert_eq!(steps(0.0), [ms(550), ms(500), ms(600)]);
}
