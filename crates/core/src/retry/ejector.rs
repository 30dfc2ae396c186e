//! Outlier ejection: targets that fail or are far slower than the rest get no traffic for a while.

use std::collections::BTreeMap;

use kumquatkeel_types::{TargetName, Timestamp};

use super::AttemptResult;
use super::health::Health;

/// The largest share of the known targets that may be ejected at a time.
const MAX_EJECTED_SHARE: f64 = 0.3;
/// The share of targets not ejected below which ejections are ignored.
const PANIC_THRESHOLD: f64 = 0.5;
/// A target is an outlier when its latency is more than this many times the median.
const OUTLIER_FACTOR: f64 = 3.0;
/// The latency up to which a target is never an outlier, in seconds.
const OUTLIER_FLOOR_S: f64 = 0.2;
/// The fewest targets with a known latency for a comparison.
const MIN_PEERS: usize = 4;

/// Tracks the health of targets, identified by keys of type `K`, and ejects the unhealthy ones.
///
/// A target comes back with a slow start.
#[derive(Debug, Clone)]
pub struct Ejector<K = TargetName> {
    targets: BTreeMap<K, Health>,
}

impl<K> Default for Ejector<K> {
    fn default() -> Self {
        Self {
            targets: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> Ejector<K> {
    /// Records the result of an attempt, and ejects the target after too many failures in a row.
    pub fn record(&mut self, target: &K, result: AttemptResult, now: Timestamp) {
        let health = self.targets.entry(target.clone()).or_default();
        let failed = health.record(result);
        if failed && self.may_eject(now) {
            self.eject(target, now);
        }
    }

    /// Ejects latency outliers and shortens the next ejection of the other targets.
    ///
    /// To be called every few seconds.
    pub fn sweep(&mut self, now: Timestamp) {
        let Some(median) = self.median_latency() else {
            return;
        };
        let limit = (median * OUTLIER_FACTOR).max(OUTLIER_FLOOR_S);
        let slow = |health: &Health| health.latency().is_some_and(|l| l > limit);
        let outliers: Vec<_> = (self.targets.iter())
            .filter(|(_, health)| slow(health) && !health.is_ejected(now))
            .map(|(target, _)| target.clone())
            .collect();
        for target in outliers {
            if self.may_eject(now) {
                self.eject(&target, now);
            }
        }
        for health in self.targets.values_mut().filter(|h| !h.is_ejected(now)) {
            health.decay_ejections();
        }
    }

    /// Begins a slow start of a target, for instance after a load.
    pub fn begin_slow_start(&mut self, target: &K, now: Timestamp) {
        self.targets
            .entry(target.clone())
            .or_default()
            .begin_slow_start(now);
    }

    /// Drops the targets for which `keep` returns false, such as those removed from the
    /// configuration.
    pub fn retain(&mut self, mut keep: impl FnMut(&K) -> bool) {
        self.targets.retain(|target, _| keep(target));
    }

    /// Returns true if a target is ejected.
    pub fn is_ejected(&self, target: &K, now: Timestamp) -> bool {
        self.targets.get(target).is_some_and(|h| h.is_ejected(now))
    }

    /// Returns true if so many of these targets are ejected that ejections are to be ignored.
    pub fn in_panic<'a>(&self, targets: impl Iterator<Item = &'a K>, now: Timestamp) -> bool
    where
        K: 'a,
    {
        if self.targets.is_empty() {
            return false;
        }
        let mut all = 0_u32;
        let mut in_service = 0_u32;
        for target in targets {
            all += 1;
            in_service += u32::from(!self.is_ejected(target, now));
        }
        f64::from(in_service) < f64::from(all) * PANIC_THRESHOLD
    }

    /// Returns the fraction of its normal traffic that a target may take, from above 0 to 1.
    pub fn weight(&self, target: &K, now: Timestamp) -> f64 {
        self.targets.get(target).map_or(1.0, |h| h.weight(now))
    }

    fn eject(&mut self, target: &K, now: Timestamp) {
        if let Some(health) = self.targets.get_mut(target) {
            health.eject(now);
        }
    }

    /// Returns true if one more ejection keeps to the limit; a lone target is never ejected.
    fn may_eject(&self, now: Timestamp) -> bool {
        let ejected = self.targets.values().filter(|h| h.is_ejected(now)).count();
        let limit = (self.targets.len() as f64 * MAX_EJECTED_SHARE).max(1.0);
        self.targets.len() > 1 && (ejected + 1) as f64 <= limit
    }

    /// Returns the median of the known latencies in seconds, if enough targets have one.
    fn median_latency(&self) -> Option<f64> {
        let mut all: Vec<_> = self.targets.values().filter_map(Health::latency).collect();
        if all.len() < MIN_PEERS {
            return None;
        }
        all.sort_by(f64::total_cmp);
        Some(all[all.len() / 2])
    }
}
