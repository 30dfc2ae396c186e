//! Demand for each model at one entry, as a smoothed rate of prefill work.
//!
//! Entries send rates rather than increments, so a planner that takes over the role or misses a
//! datagram knows the demand as soon as the next datagram arrives.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::Timestamp;
use serde::{Deserialize, Serialize};

/// Half-life of the smoothed rate. Long enough to average over bursts of requests with prompts of
/// very different length, and short enough to follow demand that moves between models within four
/// to six seconds.
const HALF_LIFE: Duration = Duration::from_millis(2_500);
/// Rates below this are dropped, in microseconds of work per second.
const MIN_RATE_US: u64 = 200;

/// The demand for one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ModelDemand {
    /// The model's name.
    pub model: Arc<str>,
    /// Prefill work requested per second, in microseconds on an idle engine.
    pub rate_us: u64,
}

/// Measures the smoothed rate of requested work for each model.
#[derive(Debug, Clone, Default)]
pub struct DemandMeter {
    /// Smoothed rates, in microseconds of work per second.
    rates: BTreeMap<Arc<str>, f64>,
    /// Work recorded since the last update, in microseconds.
    pending: BTreeMap<Arc<str>, u64>,
    updated: Option<Timestamp>,
}

impl DemandMeter {
    /// Records the prefill work of a request.
    pub fn record(&mut self, model: &Arc<str>, work: Duration) {
        *self.pending.entry(model.clone()).or_default() += work.as_micros() as u64;
    }

    /// Updates the smoothed rates to `now` and returns the highest `limit` of them, sorted by model.
    ///
    /// One message carries them, whose size is limited; the rest of a longer list is of little weight.
    pub fn highest_rates(&mut self, limit: usize, now: Timestamp) -> Vec<ModelDemand> {
        let mut rates = self.rates(now);
        if rates.len() > limit {
            rates.select_nth_unstable_by_key(limit, |demand| Reverse(demand.rate_us));
            rates.truncate(limit);
            rates.sort_unstable_by(|a, b| a.model.cmp(&b.model));
        }
        rates
    }

    /// Updates the smoothed rates to `now` and returns them, sorted by model.
    pub fn rates(&mut self, now: Timestamp) -> Vec<ModelDemand> {
        let last = *self.updated.get_or_insert(now);
        let elapsed = now.since(last).as_secs_f64();
        if elapsed > 0.0 {
            self.updated = Some(now);
            let keep = 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64());
            self.rates.values_mut().for_each(|rate| *rate *= keep);
            for (model, work) in std::mem::take(&mut self.pending) {
                let rate = work as f64 / elapsed;
                *self.rates.entry(model).or_default() += rate * (1.0 - keep);
            }
            self.rates.retain(|_, rate| *rate >= MIN_RATE_US as f64);
        }
        let row = |(model, rate): (&Arc<str>, &f64)| ModelDemand {
            model: model.clone(),
            rate_us: *rate as u64,
        };
        self.rates.iter().map(row).collect()
    }
}
