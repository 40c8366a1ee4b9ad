//! Fits straight lines to swept figures. The fit uses all steps but the largest, whose value it then predicts.

use super::figure::Figure;
use crate::least_squares::LeastSquares;
use std::collections::BTreeMap;

/// Returns, for each swept figure, the trend, its largest residual, and the predicted value of the largest step with
/// the ratio of the measured value to it.
pub fn figures(swept: &[Figure]) -> Vec<Figure> {
    let mut series: BTreeMap<(&str, &str), Vec<(f64, f64)>> = BTreeMap::new();
    for figure in swept {
        series
            .entry((&figure.subject, &figure.name))
            .or_default()
            .push((figure.position, figure.value));
    }
    series
        .into_iter()
        .flat_map(|((of, name), points)| trend_figures(of, name, points))
        .collect()
}

fn trend_figures(of: &str, name: &str, mut points: Vec<(f64, f64)>) -> Vec<Figure> {
    points.sort_by(|a, b| a.0.total_cmp(&b.0));
    let Some((largest, measured)) = points.pop() else {
        return Vec::new();
    };
    let Some(trend) = LeastSquares::through(&points) else {
        return Vec::new();
    };
    let figure =
        |what: &str, value: f64| Figure::new(of, largest, &format!("{name} {what}"), value);
    vec![
        figure("slope", trend.slope),
        figure("intercept", trend.intercept),
        figure("left over", trend.largest_residual),
        figure("predicted", trend.at(largest)),
        figure("measured over predicted", measured / trend.at(largest)),
    ]
}
