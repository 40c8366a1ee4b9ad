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
fn growth_by_a_power_is_flagged_and_predicted_by_it() {
    let regression = Regression::new(&samples(|size| 2e-4 * size.powf(1.7)));
    assert!(
        regression.superlinear && (regression.exponent - 1.7).abs() < 1e-6,
        "{regression:?}"
    );
    let true_value = 2e-4 * 6500f64.powf(1.7);
    assert!((regression.predict(6500.0) / true_value - 1.0).abs() < 0.01);
}

/// Over all sizes the constant part hides it; the two largest show it.
#[test]
fn a_square_behind_a_large_intercept_is_flagged() {
    let regression = Regression::new(&samples(|size| 100.0 + 0.001 * size * size));
    assert!(
        regression.exponent < MAX_LINEAR_EXPONENT && regression.superlinear,
        "{regression:?}"
    );
}

#[test]
fn what_is_linear_or_flat_within_its_spread_is_not_flagged() {
    assert!(!Regression::new(&samples(|size| size * (1.0 + 0.02 * size.sin()))).superlinear);
    assert!(!Regression::new(&samples(|_| 18.0)).superlinear);
    assert!(!Regression::new(&samples(|_| 0.0)).superlinear);
}

/// A constant part that is shared out: holders of an engine, work for each.
#[test]
fn what_falls_is_predicted_by_its_power() {
    let regression = Regression::new(&samples(|size| 350_000.0 / size));
    assert!(
        !regression.superlinear && (regression.exponent + 1.0).abs() < 1e-6,
        "{regression:?}"
    );
    assert!((regression.predict(6500.0) / (350_000.0 / 6500.0) - 1.0).abs() < 0.01);
}

/// A last step of a tenth over a line, which is noise where nothing was measured twice.
#[test]
fn the_last_step_of_single_runs_flags_nothing() {
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

/// Zeros have no power law; the line stands.
#[test]
fn values_of_zero_flag_nothing() {
    let regression = Regression::new(&samples(|size| (size - 320.0).max(0.0)));
    assert!(
        regression.exponent.is_nan() && !regression.superlinear,
        "{regression:?}"
    );
    assert!(regression.predict(2048.0).is_finite());
}

#[test]
fn medians_and_spread_are_those_of_the_values() {
    let odd = Sample::new(1.0, vec![3.0, 1.0, 2.0]);
    assert_eq!((odd.least(), odd.median(), odd.most()), (1.0, 2.0, 3.0));
    assert_eq!(Sample::new(1.0, vec![4.0, 1.0]).median(), 2.5);
}
