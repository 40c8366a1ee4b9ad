//! Figures of the gateway processes: memory, descriptors, processor time, connections and bytes received from the
//! change log.

use super::change_log;
use super::figure::Figure;
use super::test_bed::TestBed;
use std::time::Duration;
use tokio::time::sleep;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Largest values sampled from a gateway process.
#[derive(Clone, Copy, Default)]
pub struct Peak {
    resident_bytes: u64,
    descriptors: usize,
    connections: usize,
}

/// Samples all gateways every [`SAMPLE_INTERVAL`]; never returns.
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

/// Returns the figures of each running gateway process. Its processor time counts since queries began, or since its
/// last start. `seconds` is the time since queries began.
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
