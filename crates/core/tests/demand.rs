//! Demand counts of one entry, and their total over entries.
//!
//! A wrong window, count or total makes the placement of models follow a demand that is not there.

use kumquatkeel_core::demand::{DemandKey, DemandMeter, DemandTotal};
use kumquatkeel_types::{AdapterName, ModelId, Timestamp};

fn key(adapter: Option<&str>) -> DemandKey {
    let model = ModelId {
        name: "m".try_into().unwrap(),
        version: "1".try_into().unwrap(),
    };
    let adapter = adapter.map(|name| AdapterName::try_from(name).unwrap());
    DemandKey { model, adapter }
}

fn tenths(value: f64) -> u32 {
    (value * 10.0).round() as u32
}

fn seconds(s: u64) -> Timestamp {
    Timestamp::from_millis(s * 1_000)
}

#[test]
fn rates_cover_ten_seconds_and_running_counts_last_until_the_end() {
    let mut meter = DemandMeter::new();
    for _ in 0..20 {
        meter.started(&key(None), seconds(0));
    }
    meter.ended(&key(None), true, seconds(1));
    let demand = &meter.report(seconds(9)).models[0];
    assert_eq!(
        (tenths(demand.rate), tenths(demand.unmet), demand.running),
        (20, 1, 19)
    );
    assert_eq!(tenths(meter.report(seconds(10)).models[0].rate), 0);
}

#[test]
fn an_idle_model_is_left_out_of_the_report() {
    let mut meter = DemandMeter::new();
    meter.started(&key(None), seconds(0));
    meter.ended(&key(None), false, seconds(0));
    assert_eq!(meter.report(seconds(60)).models, []);
}

#[test]
fn an_end_without_a_start_does_not_underflow() {
    let mut meter = DemandMeter::new();
    meter.ended(&key(None), true, seconds(0));
    assert_eq!(meter.report(seconds(0)).models[0].running, 0);
}

#[test]
fn the_total_counts_adapter_demand_for_the_model_too() {
    let mut meter = DemandMeter::new();
    meter.started(&key(None), seconds(0));
    meter.started(&key(Some("a")), seconds(0));
    let report = meter.report(seconds(0));
    let mut total = DemandTotal::default();
    total.add(&report);
    total.add(&report);
    assert_eq!(tenths(total.models[&key(None).model].running), 40);
    assert_eq!(tenths(total.adapters.values().map(|d| d.running).sum()), 20);
}
