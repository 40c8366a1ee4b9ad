use super::*;

#[test]
fn a_quantile_is_the_value_of_the_nearest_rank() {
    let sorted: Vec<f64> = (1..=200).map(f64::from).collect();
    assert_eq!(quantile(&sorted, 0.0), 1.0);
    assert_eq!(quantile(&sorted, 0.5), 100.0);
    assert_eq!(quantile(&sorted, 0.99), 198.0);
    assert_eq!(quantile(&sorted, 1.0), 200.0);
    assert_eq!(quantile(&[], 0.5), 0.0);
}

#[test]
fn the_median_of_an_even_number_of_values_is_the_mean_of_the_middle_two() {
    assert_eq!(median(&[1.0, 2.0, 9.0]), 2.0);
    assert_eq!(median(&[1.0, 4.0]), 2.5);
    assert_eq!(median(&[]), 0.0);
}
