//! Straight lines through swept figures: fitted on all steps but the largest, which the fit then predicts.

use super::report::Figure;
use std::collections::BTreeMap;

/// A linear least-squares fit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeastSquares {
    pub slope: f64,
    pub intercept: f64,
    /// The largest distance of a point from the fitted line.
    pub worst: f64,
}

impl LeastSquares {
    /// The fit through points; `None` for fewer than two different `x`.
    pub fn through(points: &[(f64, f64)]) -> Option<LeastSquares> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread = points
            .iter()
            .map(|(x, _)| (x - mean_x).powi(2))
            .sum::<f64>();
        if points.len() < 2 || spread <= 0.0 {
            return None;
        }
        let slope = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum::<f64>()
            / spread;
        let intercept = mean_y - slope * mean_x;
        let trend = LeastSquares {
            slope,
            intercept,
            worst: 0.0,
        };
        let worst = points
            .iter()
            .map(|(x, y)| (y - trend.at(*x)).abs())
            .fold(0.0, f64::max);
        Some(LeastSquares { worst, ..trend })
    }

    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// For each swept figure: its slope, the largest distance left over, and the largest step as predicted and as measured.
pub fn slopes(swept: &[Figure]) -> Vec<Figure> {
    let mut series: BTreeMap<(&str, &str), Vec<(f64, f64)>> = BTreeMap::new();
    for figure in swept {
        series
            .entry((&figure.subject, &figure.name))
            .or_default()
            .push((figure.position, figure.value));
    }
    series
        .into_iter()
        .flat_map(|((of, name), points)| slope(of, name, points))
        .collect()
}

fn slope(of: &str, name: &str, mut points: Vec<(f64, f64)>) -> Vec<Figure> {
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
        figure("left over", trend.worst),
        figure("predicted", trend.at(largest)),
        figure("measured over predicted", measured / trend.at(largest)),
    ]
}
