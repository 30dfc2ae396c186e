//! Ejection of targets that fail or are far slower than the rest.

use std::collections::BTreeMap;

use kumquatkeel_types::{TargetName, Timestamp};

use super::AttemptResult;
use super::health::Health;

/// The largest share of the known targets that may be ejected at a time.
const MAX_EJECTED: f64 = 0.3;
/// Below this share of open targets the ejections are ignored.
const PANIC_SHARE: f64 = 0.5;
/// A target is an outlier when its latency is this many times the median.
const OUTLIER_FACTOR: f64 = 3.0;
/// A target faster than this is never an outlier, in seconds.
const OUTLIER_FLOOR: f64 = 0.2;
/// Targets with a latency that a comparison needs.
const MIN_PEERS: usize = 4;

/// Ejects targets, known by keys of type `K`, and brings them back slowly.
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
    /// Takes in the end of an attempt.
    pub fn record(&mut self, target: &K, result: AttemptResult, now: Timestamp) {
        let health = self.targets.entry(target.clone()).or_default();
        let failed = health.record(result);
        if failed && self.may_eject(now) {
            self.eject(target, now);
        }
    }

    /// Compares latencies and ejects outliers; to be called every few seconds.
    pub fn sweep(&mut self, now: Timestamp) {
        let Some(median) = self.median_latency() else {
            return;
        };
        let limit = (median * OUTLIER_FACTOR).max(OUTLIER_FLOOR);
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
            health.forgive();
        }
    }

    /// Starts a target's slow start, for instance after a load.
    pub fn start_slowly(&mut self, target: &K, now: Timestamp) {
        self.targets.entry(target.clone()).or_default().start(now);
    }

    /// Forgets targets that the document no longer names.
    pub fn retain(&mut self, mut keep: impl FnMut(&K) -> bool) {
        self.targets.retain(|target, _| keep(target));
    }

    /// Says whether a target is ejected.
    pub fn is_ejected(&self, target: &K, now: Timestamp) -> bool {
        self.targets.get(target).is_some_and(|h| h.is_ejected(now))
    }

    /// Says whether so many of these targets are ejected that ejections are to be ignored.
    pub fn panics<'a>(&self, targets: impl Iterator<Item = &'a K>, now: Timestamp) -> bool
    where
        K: 'a,
    {
        if self.targets.is_empty() {
            return false;
        }
        let mut all = 0_u32;
        let mut open = 0_u32;
        for target in targets {
            all += 1;
            open += u32::from(!self.is_ejected(target, now));
        }
        f64::from(open) < f64::from(all) * PANIC_SHARE
    }

    /// Returns the share of normal traffic that a target may take, from above 0 to 1.
    pub fn weight(&self, target: &K, now: Timestamp) -> f64 {
        self.targets.get(target).map_or(1.0, |h| h.weight(now))
    }

    fn eject(&mut self, target: &K, now: Timestamp) {
        if let Some(health) = self.targets.get_mut(target) {
            health.eject(now);
        }
    }

    /// Says whether one more ejection stays below the limit; one target alone is never ejected.
    fn may_eject(&self, now: Timestamp) -> bool {
        let ejected = self.targets.values().filter(|h| h.is_ejected(now)).count();
        let most = (self.targets.len() as f64 * MAX_EJECTED).max(1.0);
        self.targets.len() > 1 && (ejected + 1) as f64 <= most
    }

    fn median_latency(&self) -> Option<f64> {
        let mut all: Vec<_> = self.targets.values().filter_map(Health::latency).collect();
        if all.len() < MIN_PEERS {
            return None;
        }
        all.sort_by(f64::total_cmp);
        Some(all[all.len() / 2])
    }
}
