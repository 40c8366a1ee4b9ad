use super::*;

#[test]
fn a_fit_reports_the_largest_residual() {
    let fit = LeastSquares::through(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]);
    assert_eq!(
        fit,
        Some(LeastSquares {
            slope: 2.0,
            intercept: 1.0,
            largest_residual: 0.0
        })
    );
    assert_eq!(LeastSquares::through(&[(1.0, 1.0), (1.0, 2.0)]), None);
}
