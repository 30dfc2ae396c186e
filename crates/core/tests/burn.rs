//! Burn rates over windows, the alerts that follow from them and the bounds of the meter.
//!
//! Guards against alerts that are missed, come without need or do not end after the failures do.

use std::time::Duration;

use kumquatkeel_core::burn::{Alert, BurnMeter};
use kumquatkeel_types::Timestamp;
use rstest::rstest;

const MINUTE: Duration = Duration::from_mins(1);

/// Records 100 requests a minute for `minutes`, every `bad_every`-th one bad; returns the end.
fn record(meter: &mut BurnMeter, start: Timestamp, minutes: u32, bad_every: u32) -> Timestamp {
    for minute in 0..minutes {
        for n in 0..100 {
            meter.record(start.after(MINUTE * minute), n % bad_every != 0);
        }
    }
    start.after(MINUTE * minutes)
}

#[rstest]
#[case::all_bad_is_a_page(60, 1, Alert::Page)]
#[case::a_third_bad_for_six_hours_is_a_ticket(360, 3, Alert::Ticket)]
#[case::within_the_objective_raises_no_alert(360, 100, Alert::None)]
fn the_alert_follows_from_the_share_of_bad_requests(
    #[case] minutes: u32,
    #[case] bad_every: u32,
    #[case] alert: Alert,
) {
    let mut meter = BurnMeter::new();
    let end = record(&mut meter, Timestamp::ZERO, minutes, bad_every);
    assert_eq!(meter.report(0.95, end).alert, alert);
}

#[test]
fn a_page_ends_when_the_short_window_is_good_again() {
    let mut meter = BurnMeter::new();
    let after_bad = record(&mut meter, Timestamp::ZERO, 60, 1);
    assert_eq!(meter.report(0.95, after_bad).alert, Alert::Page);
    let after_good = record(&mut meter, after_bad, 6, 101);
    assert_ne!(meter.report(0.95, after_good).alert, Alert::Page);
}

#[test]
fn a_window_counts_only_its_own_minutes() {
    let mut meter = BurnMeter::new();
    let end = record(&mut meter, Timestamp::ZERO, 400, 1);
    let counts = meter.counts(end);
    assert_eq!(
        counts[0].bad, 400,
        "the window of five minutes includes the current one, which is empty"
    );
    assert_eq!(counts[3].bad, 359 * 100);
    assert_eq!(meter.counts(end.after(MINUTE * 1_000))[3].bad, 0);
}

#[test]
fn a_time_before_the_last_minute_counts_as_that_minute() {
    let mut meter = BurnMeter::new();
    meter.record(Timestamp::from_millis(600_000), true);
    meter.record(Timestamp::ZERO, true);
    assert_eq!(meter.counts(Timestamp::from_millis(600_000))[0].good, 2);
}

#[test]
fn an_idle_service_raises_no_alert() {
    assert_eq!(
        BurnMeter::new().report(0.95, Timestamp::ZERO).alert,
        Alert::None
    );
}
