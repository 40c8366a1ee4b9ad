use super::*;

const SIZES: [f64; 5] = [80.0, 160.0, 320.0, 640.0, 1024.0];

fn samples(value: impl Fn(f64) -> f64) -> Vec<Sample> {
    let around = |value: f64| vec![value * 1.01, value, value * 0.99];
    SIZES
        .iter()
        .map(|size| Sample::new(*size, around(value(*size))))
        .collect()
}

#[test]
fn a_linear_fit_recovers_the_line_and_predicts_outside_its_range() {
    let regression = Regression::new(&samples(|size| 6.0 + 0.15 * size));
    assert!(
        (regression.slope - 0.15).abs() < 1e-9 && (regression.intercept - 6.0).abs() < 1e-6,
        "{regression:?}"
    );
    assert!(
        regression.residual < 1e-9 && !regression.superlinear,
        "{regression:?}"
    );
    assert!((regression.predict(6500.0) - 981.0).abs() < 1e-6);
}

#[test]
fn power_law_growth_is_superlinear_and_predicted_by_its_exponent() {
    let regression = Regression::new(&samples(|size| 2e-4 * size.powf(1.7)));
    assert!(
        regression.superlinear && (regression.exponent - 1.7).abs() < 1e-6,
        "{regression:?}"
    );
    let true_value = 2e-4 * 6500f64.powf(1.7);
    assert!((regression.predict(6500.0) / true_value - 1.0).abs() < 0.01);
}

/// The constant part hides the growth in the exponent over all sizes; the exponent of the two largest sizes shows it.
#[test]
fn quadratic_growth_with_a_large_intercept_is_superlinear() {
    let regression = Regression::new(&samples(|size| 100.0 + 0.001 * size * size));
    assert!(
        regression.exponent < MAX_LINEAR_EXPONENT && regression.superlinear,
        "{regression:?}"
    );
}

#[test]
fn linear_or_constant_values_are_not_superlinear() {
    assert!(!Regression::new(&samples(|size| size * (1.0 + 0.02 * size.sin()))).superlinear);
    assert!(!Regression::new(&samples(|_| 18.0)).superlinear);
    assert!(!Regression::new(&samples(|_| 0.0)).superlinear);
}

/// A constant total divided by the size, such as the holders of an engine or the work per engine.
#[test]
fn falling_values_are_predicted_by_their_exponent() {
    let regression = Regression::new(&samples(|size| 350_000.0 / size));
    assert!(
        !regression.superlinear && (regression.exponent + 1.0).abs() < 1e-6,
        "{regression:?}"
    );
    assert!((regression.predict(6500.0) / (350_000.0 / 6500.0) - 1.0).abs() < 0.01);
}

/// The last value lies a tenth above the line, which counts as noise if each size was measured once.
#[test]
fn a_high_last_value_of_single_runs_is_not_superlinear() {
    let value = |size: f64| if size == 1024.0 { size * 1.1 } else { size };
    let single: Vec<Sample> = SIZES
        .iter()
        .map(|size| Sample::new(*size, vec![value(*size)]))
        .collect();
    let regression = Regression::new(&single);
    assert!(
        regression.last_exponent > MAX_LINEAR_EXPONENT && !regression.superlinear,
        "{regression:?}"
    );
}

/// Zeros have no logarithm, so there is no power law and the line is used.
#[test]
fn values_of_zero_are_not_superlinear() {
    let regression = Regression::new(&samples(|size| (size - 320.0).max(0.0)));
    assert!(
        regression.exponent.is_nan() && !regression.superlinear,
        "{regression:?}"
    );
    assert!(regression.predict(2048.0).is_finite());
}

#[test]
fn a_sample_reports_its_least_median_and_largest_value() {
    let odd = Sample::new(1.0, vec![3.0, 1.0, 2.0]);
    assert_eq!((odd.least(), odd.median(), odd.most()), (1.0, 2.0, 3.0));
    assert_eq!(Sample::new(1.0, vec![4.0, 1.0]).median(), 2.5);
}
