//! The recent failure rate of each target, as a penalty for routing.
//!
//! Some targets fail part of their requests while their health checks pass. Consecutive failures
//! are rare there, so outlier ejection does not detect them; the failure rate does.

use std::collections::HashMap;
use std::time::Duration;

use super::target::TargetId;

/// The weight of a new sample in the moving average. Low enough that failures that occur on any
/// target, up to one request in seven on some routes, don't move work to another region.
const SMOOTHING: f64 = 0.06;
/// Failure rate up to which a target has no penalty.
const TOLERATED_RATE: f64 = 0.22;
/// Penalty for each unit of failure rate above [`TOLERATED_RATE`].
const PENALTY_PER_RATE: Duration = Duration::from_secs(3);

/// Measures the failure rate of each target as an exponential moving average.
#[derive(Debug, Clone, Default)]
pub struct FailureMeter {
    /// Failure rates from 0 to 1.
    rates: HashMap<TargetId, f64>,
}

impl FailureMeter {
    /// Records the end of an attempt.
    pub fn record(&mut self, target: &TargetId, failed: bool) {
        let rate = self.rates.entry(target.clone()).or_default();
        *rate += SMOOTHING * (f64::from(u8::from(failed)) - *rate);
    }

    /// Returns the time to add to the predicted latency of a target.
    pub fn penalty(&self, target: &TargetId) -> Duration {
        let rate = self.rates.get(target).copied().unwrap_or(0.0);
        PENALTY_PER_RATE.mul_f64((rate - TOLERATED_RATE).max(0.0))
    }

    /// Drops the targets for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&TargetId) -> bool) {
        self.rates.retain(|id, _| keep(id));
    }
}
