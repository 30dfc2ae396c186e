//! Counts of one service's good and bad requests, by minute.

use std::collections::VecDeque;
use std::time::Duration;

use kumquatkeel_types::Timestamp;
use kumquatkeel_types::operator::WindowCount;

use super::report::{Burn, WINDOWS};

/// The span of one bucket.
const BUCKET: Duration = Duration::from_mins(1);
/// The most buckets kept: six hours, the longest window.
const MAX_BUCKETS: usize = 360;

/// The requests of one minute.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    minute: u64,
    good: u64,
    bad: u64,
}

/// Counts one service's requests over the last six hours.
#[derive(Debug, Clone, Default)]
pub struct BurnMeter {
    buckets: VecDeque<Bucket>,
}

impl BurnMeter {
    /// Creates a meter without requests.
    pub const fn new() -> Self {
        Self {
            buckets: VecDeque::new(),
        }
    }

    /// Counts a request that ended at `now`.
    ///
    /// A time before the last minute counted, as from a clock that was set back, counts as that
    /// minute.
    pub fn record(&mut self, now: Timestamp, good: bool) {
        let bucket = self.bucket_for(minute_of(now));
        if good {
            bucket.good += 1;
        } else {
            bucket.bad += 1;
        }
    }

    /// Returns the counts over each window that ends at `now`.
    pub fn counts(&self, now: Timestamp) -> Vec<WindowCount> {
        WINDOWS
            .iter()
            .map(|&window| self.count(now, window))
            .collect()
    }

    /// Returns the burn rates and the alert for `objective`, the share of requests to be good.
    pub fn report(&self, objective: f64, now: Timestamp) -> Burn {
        Burn::from_counts(objective, self.counts(now))
    }

    fn bucket_for(&mut self, minute: u64) -> &mut Bucket {
        let is_new = self.buckets.back().is_none_or(|last| last.minute < minute);
        if is_new {
            if self.buckets.len() == MAX_BUCKETS {
                self.buckets.pop_front();
            }
            self.buckets.push_back(Bucket {
                minute,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn count(&self, now: Timestamp, window: Duration) -> WindowCount {
        let minutes = window.as_secs() / BUCKET.as_secs();
        let first = (minute_of(now) + 1).saturating_sub(minutes);
        let inside = self.buckets.iter().rev().take_while(|b| b.minute >= first);
        let empty = WindowCount {
            window_s: window.as_secs(),
            good: 0,
            bad: 0,
        };
        inside.fold(empty, |count, bucket| WindowCount {
            good: count.good + bucket.good,
            bad: count.bad + bucket.bad,
            ..count
        })
    }
}

const fn minute_of(now: Timestamp) -> u64 {
    now.as_micros() / (BUCKET.as_micros() as u64)
}
