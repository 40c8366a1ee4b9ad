//! What is measured of the gateways' processes and of a run as a whole.

use super::change_log;
use super::facts::{Facts, Outcome};
use super::judge::{quantile, Measured};
use super::report::Figure;
use super::script::Stage;
use std::time::Duration;
use tokio::time::sleep;

const SAMPLE_EVERY: Duration = Duration::from_millis(500);

/// The most that a gateway's process was seen to hold.
#[derive(Clone, Copy, Default)]
pub struct Peak {
    resident_bytes: u64,
    descriptors: usize,
    connections: usize,
}

/// Looks at all gateways now and then, without end.
pub async fn sample(stage: &Stage, peaks: &mut [Peak]) {
    loop {
        for (gateway, peak) in peaks.iter_mut().enumerate() {
            let usage = stage.gateways.usage(gateway).await.unwrap_or_default();
            peak.resident_bytes = peak.resident_bytes.max(usage.resident_bytes);
            peak.descriptors = peak.descriptors.max(usage.descriptors);
            peak.connections = peak.connections.max(stage.engines.connections(gateway));
        }
        sleep(SAMPLE_EVERY).await;
    }
}

/// What each gateway's process uses; processor time as a part of one core since queries began, or since its last start.
pub async fn gateway_figures(stage: &Stage, peaks: &[Peak], seconds: f64) -> Vec<Figure> {
    let predicted = stage.log.event_bytes() as f64 + change_log::COMMENT_BYTES_PER_SECOND * seconds;
    let mut figures = vec![Figure::new("run", 0.0, "predicted_watch_bytes", predicted)];
    for (gateway, peak) in peaks.iter().enumerate() {
        let Some(usage) = stage.gateways.usage(gateway).await else {
            continue;
        };
        let processor = stage
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
                stage.engines.connections_made(gateway) as f64,
            ),
            figure("watch_bytes", stage.log.bytes_to_gateway(gateway) as f64),
            figure(
                "watch_bytes_over_predicted",
                stage.log.bytes_to_gateway(gateway) as f64 / predicted,
            ),
            figure(
                "watch_bytes_per_second",
                stage.log.bytes_to_gateway(gateway) as f64 / seconds,
            ),
        ]);
    }
    figures
}

/// Figures of the whole run.
pub fn figures_of(facts: &Facts) -> Vec<Figure> {
    let measured = Measured::new(facts);
    let figure = |name: &str, value: f64| Figure::new("run", 0.0, name, value);
    let ended = |wanted: fn(&Outcome) -> bool| {
        facts
            .queries
            .iter()
            .filter(|query| wanted(&query.outcome))
            .count() as f64
    };
    let mut ready = facts.ready.clone();
    ready.sort_by(f64::total_cmp);
    vec![
        figure("queries", facts.queries.len() as f64),
        figure(
            "succeeded",
            ended(|outcome| matches!(outcome, Outcome::Succeeded { .. })),
        ),
        figure(
            "rejected",
            ended(|outcome| matches!(outcome, Outcome::Rejected)),
        ),
        figure(
            "failed",
            ended(|outcome| matches!(outcome, Outcome::Failed)),
        ),
        figure(
            "not_taken",
            ended(|outcome| matches!(outcome, Outcome::NotTaken)),
        ),
        figure("lost", ended(|outcome| matches!(outcome, Outcome::Lost(_)))),
        figure("attempts", facts.attempts.len() as f64),
        figure("changes", facts.changes.len() as f64),
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
