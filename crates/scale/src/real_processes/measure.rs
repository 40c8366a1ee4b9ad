//! What is measured of the gateways' processes and of a run as a whole.

use super::change_log;
use super::measured::{quantile, Measured};
use super::observations::{Observations, Outcome};
use super::report::Figure;
use super::test_bed::TestBed;
use std::time::Duration;
use tokio::time::sleep;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// The largest sampled values of a gateway's process.
#[derive(Clone, Copy, Default)]
pub struct Peak {
    resident_bytes: u64,
    descriptors: usize,
    connections: usize,
}

/// Samples all gateways at an interval, without end.
pub async fn sample(test_bed: &TestBed, peaks: &mut [Peak]) {
    loop {
        for (gateway, peak) in peaks.iter_mut().enumerate() {
            let usage = test_bed.gateways.usage(gateway).await.unwrap_or_default();
            peak.resident_bytes = peak.resident_bytes.max(usage.resident_bytes);
            peak.descriptors = peak.descriptors.max(usage.descriptors);
            peak.connections = peak.connections.max(test_bed.engines.connections(gateway));
        }
        sleep(SAMPLE_INTERVAL).await;
    }
}

/// What each gateway's process uses; processor time as a part of one core since queries began, or since its last start.
pub async fn gateway_figures(test_bed: &TestBed, peaks: &[Peak], seconds: f64) -> Vec<Figure> {
    let predicted =
        test_bed.log.event_bytes() as f64 + change_log::COMMENT_BYTES_PER_SECOND * seconds;
    let mut figures = vec![Figure::new("run", 0.0, "predicted_watch_bytes", predicted)];
    for (gateway, peak) in peaks.iter().enumerate() {
        let Some(usage) = test_bed.gateways.usage(gateway).await else {
            continue;
        };
        let processor = test_bed
            .gateways
            .processor_seconds(gateway)
            .await
            .unwrap_or(f64::NAN);
        let figure = |name: &str, value: f64| Figure::new("gateway", gateway as f64, name, value);
        figures.extend([
            figure("resident_bytes", usage.resident_bytes as f64),
            figure("processor_seconds", processor),
            figure("processor_share", processor / seconds),
            figure("descriptors", usage.descriptors as f64),
            figure("most_resident_bytes", peak.resident_bytes as f64),
            figure("most_descriptors", peak.descriptors as f64),
            figure("most_connections_to_engines", peak.connections as f64),
            figure(
                "connections_made",
                test_bed.engines.connections_made(gateway) as f64,
            ),
            figure("watch_bytes", test_bed.log.bytes_to_gateway(gateway) as f64),
            figure(
                "watch_bytes_over_predicted",
                test_bed.log.bytes_to_gateway(gateway) as f64 / predicted,
            ),
            figure(
                "watch_bytes_per_second",
                test_bed.log.bytes_to_gateway(gateway) as f64 / seconds,
            ),
        ]);
    }
    figures
}

/// Figures of the whole run.
pub fn figures_of(observations: &Observations) -> Vec<Figure> {
    let measured = Measured::new(observations);
    let figure = |name: &str, value: f64| Figure::new("run", 0.0, name, value);
    let ended = |wanted: fn(&Outcome) -> bool| {
        let outcomes = observations.queries.iter().map(|query| &query.outcome);
        outcomes.filter(|outcome| wanted(outcome)).count() as f64
    };
    let succeeded = ended(|outcome| matches!(outcome, Outcome::Succeeded { .. }));
    let rejected = ended(|outcome| matches!(outcome, Outcome::Rejected));
    let failed = ended(|outcome| matches!(outcome, Outcome::Failed));
    let refused = ended(|outcome| matches!(outcome, Outcome::ConnectionRefused));
    let lost = ended(|outcome| matches!(outcome, Outcome::Lost(_)));
    let mut ready = observations.ready.clone();
    ready.sort_by(f64::total_cmp);
    vec![
        figure("queries", observations.queries.len() as f64),
        figure("succeeded", succeeded),
        figure("rejected", rejected),
        figure("failed", failed),
        figure("not_taken", refused),
        figure("lost", lost),
        figure("attempts", observations.attempts.len() as f64),
        figure("changes", observations.changes.len() as f64),
        figure("busiest_engine_over_mean", measured.max_over_mean),
        figure("busiest_engine", measured.busiest as f64),
        figure("engines_that_ran_something", measured.engines_used as f64),
        figure("engine_p99_over_mean", measured.p99_over_mean),
        figure("most_engines_a_gateway", measured.engines_a_gateway),
        figure("most_gateways_an_engine", measured.gateways_an_engine),
        figure("worst_change_seen_by_99_in_100_ms", measured.change_seen_ms),
        figure(
            "ready_ms_median",
            1000.0 * quantile(&ready, 0.5).unwrap_or(0.0),
        ),
        figure("ready_ms_most", measured.ready_ms),
    ]
}
