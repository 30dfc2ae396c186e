//! What an entry's callers ask for, as a rate for each model.
//!
//! Rates are states, not increments: a planner that takes over, or misses a datagram, knows the
//! demand with the next one.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::Timestamp;
use serde::{Deserialize, Serialize};

/// Half-life of the smoothed rate: long against clumps of requests with prompts of very different
/// length, short against the four to six seconds within which demand moves between models.
const HALF_LIFE: Duration = Duration::from_millis(2_500);
/// Rates below this are forgotten, in microseconds of work a second.
const MIN_RATE_US: u64 = 200;

/// The demand for one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ModelDemand {
    /// The model.
    pub model: Arc<str>,
    /// Prefill work asked for, in microseconds on an idle engine for each second.
    pub rate_us: u64,
}

/// Smooths the work asked for of each model.
#[derive(Debug, Clone, Default)]
pub struct DemandMeter {
    rates: BTreeMap<Arc<str>, f64>,
    gathered: BTreeMap<Arc<str>, u64>,
    updated: Option<Timestamp>,
}

impl DemandMeter {
    /// Counts a request's prefill work.
    pub fn record(&mut self, model: &Arc<str>, work: Duration) {
        *self.gathered.entry(model.clone()).or_default() += work.as_micros() as u64;
    }

    /// Returns the smoothed demand as of now.
    pub fn rates(&mut self, now: Timestamp) -> Vec<ModelDemand> {
        let last = *self.updated.get_or_insert(now);
        let elapsed = now.since(last).as_secs_f64();
        if elapsed > 0.0 {
            self.updated = Some(now);
            let keep = 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64());
            self.rates.values_mut().for_each(|rate| *rate *= keep);
            for (model, work) in std::mem::take(&mut self.gathered) {
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
