//! Limits that targets name.

use kumquatkeel_core::serving::RequestRate;
use rstest::rstest;

#[rstest]
#[case::named(2.5, Some(2.5))]
#[case::zero(0.0, Some(0.1))]
#[case::far_too_high(1e300, Some(1e6))]
#[case::negative(-1.0, None)]
#[case::not_a_number(f64::NAN, None)]
#[case::infinite(f64::INFINITY, None)]
fn a_number_that_is_no_rate_does_not_become_one(
    #[case] per_second: f64,
    #[case] expected: Option<f64>,
) {
    let rate = RequestRate::try_from(per_second).ok();
    assert_eq!(rate.map(RequestRate::per_second), expected);
}
