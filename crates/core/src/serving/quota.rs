//! An entry's share of a service's retry budget.
//!
//! When many targets fail or refuse requests at once, every entry wants to resend. The budget is a
//! ratio of the requests plus a fixed slack, over a sliding window and over all entries. Each entry
//! keeps to the ratio of its own requests and to its share of the slack.

use std::collections::VecDeque;
use std::time::Duration;

use kumquatkeel_types::Timestamp;

/// The share of the budget that is used; the rest covers entries that start, leave or miscount.
const USED_SHARE: f64 = 0.7;

/// Limits resends within a sliding window, as the platform counts them.
///
/// [`RetryBudget`](crate::retry::RetryBudget) is the token bucket of the product's own API, which
/// has no window and is not shared between entries.
#[derive(Debug, Clone)]
pub struct RetryQuota {
    ratio: f64,
    slack: f64,
    window: Duration,
    requests: VecDeque<Timestamp>,
    resends: VecDeque<Timestamp>,
}

impl RetryQuota {
    /// Creates a quota of `ratio` resends per request, plus `slack` resends, over `window`.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            window,
            requests: VecDeque::new(),
            resends: VecDeque::new(),
        }
    }

    /// Records a caller's request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.prune(now);
        self.requests.push_back(now);
    }

    /// Takes one resend from the quota and returns whether it may be sent; `entries` is the number
    /// of entries that share the slack.
    pub fn try_resend(&mut self, now: Timestamp, entries: usize) -> bool {
        self.prune(now);
        let slack = self.slack / entries.max(1) as f64;
        let limit = USED_SHARE * (self.ratio * self.requests.len() as f64 + slack);
        if (self.resends.len() + 1) as f64 > limit {
            return false;
        }
        self.resends.push_back(now);
        true
    }

    fn prune(&mut self, now: Timestamp) {
        for list in [&mut self.requests, &mut self.resends] {
            while list.front().is_some_and(|at| now.since(*at) > self.window) {
                list.pop_front();
            }
        }
    }
}
