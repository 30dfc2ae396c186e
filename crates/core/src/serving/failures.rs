//! How often a target fails lately, as a penalty for routing.
//!
//! Load pattern: some targets fail part of their requests while their health checks are good. A
//! row of failures is rare there, so ejection does not see them; the share of failures does.

use std::collections::HashMap;
use std::time::Duration;

use super::target::TargetId;

/// The weight of a new sample; low enough that requests which fail anywhere, up to one in seven on
/// some routes, don't move work to another region.
const SMOOTHING: f64 = 0.06;
/// Share of failures that any target may show.
const TOLERATED: f64 = 0.22;
/// Time that a target that always fails is worse than one that never does.
const FULL_PENALTY: Duration = Duration::from_secs(3);

/// Follows each target's share of failures.
#[derive(Debug, Clone, Default)]
pub struct FailureMeter {
    shares: HashMap<TargetId, f64>,
}

impl FailureMeter {
    /// Takes in the end of an attempt.
    pub fn record(&mut self, target: &TargetId, failed: bool) {
        let share = self.shares.entry(target.clone()).or_default();
        *share += SMOOTHING * (f64::from(u8::from(failed)) - *share);
    }

    /// Returns the penalty of a target.
    pub fn penalty(&self, target: &TargetId) -> Duration {
        let share = self.shares.get(target).copied().unwrap_or(0.0);
        FULL_PENALTY.mul_f64((share - TOLERATED).max(0.0))
    }

    /// Forgets targets.
    pub fn retain(&mut self, mut keep: impl FnMut(&TargetId) -> bool) {
        self.shares.retain(|id, _| keep(id));
    }
}
