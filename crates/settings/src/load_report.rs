//! Decodes the load reports of engines.

use garnetwall::api::LoadReport;

/// Decodes the named values of a load report, or returns `None` if `values` is empty. Unknown names are ignored, and
/// values that are negative or not finite count as absent, so that the report may hold no value.
///
/// | name | field |
/// |---|---|
/// | `load_share`, `util` | [`LoadReport::cpu_utilisation`] |
/// | `depth`, `queue` | [`LoadReport::waiting_for_memory`] |
/// | `concurrent`, `inflight` | [`LoadReport::in_flight`] |
/// | `x0` | [`LoadReport::memory_utilisation`] |
/// | `x1` | [`LoadReport::disk_utilisation`] |
pub fn decode_load_report<'a>(
    values: impl IntoIterator<Item = (&'a str, f64)>,
) -> Option<LoadReport> {
    let mut report = None;
    for (name, value) in values {
        let report = report.get_or_insert_with(LoadReport::default);
        let value = Some(value).filter(|value| value.is_finite() && *value >= 0.0);
        match name {
            "load_share" | "util" => report.cpu_utilisation = value,
            "depth" | "queue" => report.waiting_for_memory = value,
            "concurrent" | "inflight" => report.in_flight = value,
            "x0" => report.memory_utilisation = value,
            "x1" => report.disk_utilisation = value,
            _ => {}
        }
    }
    report
}
