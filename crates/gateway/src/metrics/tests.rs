use super::*;

#[test]
fn page_has_each_counter_with_its_labels() {
    let metrics = Metrics::default();
    metrics.task_panicked(Task::ArrivalOrder);
    metrics.task_panicked(Task::ArrivalOrder);
    metrics.connection_accepted();
    metrics.accept_failed();
    metrics.connection_ended(ConnectionEnd::Shutdown);
    metrics.response_ready(503);
    metrics.answered_after_panic(PanicAnswer::Busy);
    metrics.attempt_started(false);
    metrics.attempt_started(true);
    metrics.attempt_ended(AttemptEnd::NotSent);
    metrics.query_answered("rejected");
    let page = metrics.render(true).unwrap();
    for line in [
        r#"garnetwall_task_panics_total{task="ArrivalOrder"} 2"#,
        "garnetwall_client_connections_accepted_total 1",
        "garnetwall_client_accept_failures_total 1",
        r#"garnetwall_client_connections_ended_total{reason="Shutdown"} 1"#,
        r#"garnetwall_responses_total{status="503"} 1"#,
        r#"garnetwall_panic_answers_total{answer="Busy"} 1"#,
        "garnetwall_attempts_started_total 2",
        "garnetwall_retries_started_total 1",
        r#"garnetwall_attempts_ended_total{end="NotSent"} 1"#,
        r#"garnetwall_query_answers_total{answer="rejected"} 1"#,
        "garnetwall_panics_total 0",
        "garnetwall_ready 1",
    ] {
        assert!(page.lines().any(|found| found == line), "{line}: {page}");
    }
}
