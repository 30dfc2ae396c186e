//! Counts of an entry's requests by model and adapter, over a sliding window.

use std::collections::{BTreeMap, VecDeque};

use kumquatkeel_types::message::{DemandReport, ModelDemand};
use kumquatkeel_types::{AdapterName, ModelId, Timestamp};

/// The length of the sliding window.
const WINDOW_S: u64 = 10;

/// The model and adapter that a request asks for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct DemandKey {
    /// The model.
    pub model: ModelId,
    /// The adapter; `None` for requests of the model itself.
    pub adapter: Option<AdapterName>,
}

/// The requests of one second.
#[derive(Debug, Clone, Copy, Default)]
struct Second {
    /// Seconds since the zero time.
    at: u64,
    started: u32,
    unmet: u32,
}

/// The requests for one key: the seconds of the window that had any, and those in progress.
#[derive(Debug, Clone, Default)]
struct Counts {
    seconds: VecDeque<Second>,
    running: u32,
}

impl Counts {
    /// Returns the count of the second at `now`; a clock that goes back counts as the last second.
    fn second(&mut self, now: Timestamp) -> &mut Second {
        let at = second_of(now);
        if self.seconds.back().is_none_or(|last| last.at < at) {
            self.seconds.push_back(Second {
                at,
                ..Second::default()
            });
        }
        let last = self.seconds.len() - 1;
        &mut self.seconds[last]
    }

    fn drop_before(&mut self, first: u64) {
        while self.seconds.front().is_some_and(|s| s.at < first) {
            self.seconds.pop_front();
        }
    }

    fn is_idle(&self) -> bool {
        self.seconds.is_empty() && self.running == 0
    }
}

/// Measures the demand that one entry sees for each model and adapter.
#[derive(Debug, Clone, Default)]
pub struct DemandMeter {
    counts: BTreeMap<DemandKey, Counts>,
}

impl DemandMeter {
    /// Creates a meter without requests.
    pub const fn new() -> Self {
        Self {
            counts: BTreeMap::new(),
        }
    }

    /// Counts the start of a request.
    pub fn started(&mut self, key: &DemandKey, now: Timestamp) {
        let counts = self.counts.entry(key.clone()).or_default();
        counts.running += 1;
        counts.second(now).started += 1;
    }

    /// Counts the end of a request; `unmet` says that it found no replica in time.
    pub fn ended(&mut self, key: &DemandKey, unmet: bool, now: Timestamp) {
        let counts = self.counts.entry(key.clone()).or_default();
        counts.running = counts.running.saturating_sub(1);
        if unmet {
            counts.second(now).unmet += 1;
        }
    }

    /// Returns the demand over the window that ends at `now`, and drops older counts.
    pub fn report(&mut self, now: Timestamp) -> DemandReport {
        let first = (second_of(now) + 1).saturating_sub(WINDOW_S);
        for counts in self.counts.values_mut() {
            counts.drop_before(first);
        }
        self.counts.retain(|_, counts| !counts.is_idle());
        let models = self
            .counts
            .iter()
            .map(|(key, counts)| demand_of(key, counts));
        DemandReport {
            models: models.collect(),
        }
    }
}

fn demand_of(key: &DemandKey, counts: &Counts) -> ModelDemand {
    let per_second = |count: fn(&Second) -> u32| {
        let total: u32 = counts.seconds.iter().map(count).sum();
        f64::from(total) / WINDOW_S as f64
    };
    ModelDemand {
        model: key.model.clone(),
        adapter: key.adapter.clone(),
        rate: per_second(|s| s.started),
        unmet: per_second(|s| s.unmet),
        running: counts.running,
    }
}

const fn second_of(now: Timestamp) -> u64 {
    now.since(Timestamp::ZERO).as_secs()
}
