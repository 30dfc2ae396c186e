//! This entry's share of a service's retry budget.
//!
//! Load pattern: targets fail or reject in numbers and every entry wants to resend at once. The
//! budget is a ratio of the requests plus a slack, both over a sliding window and over all
//! entries; each entry keeps to the ratio of its own requests and to its part of the slack.

use std::collections::VecDeque;
use std::time::Duration;

use kumquatkeel_types::Timestamp;

/// The part of the budget that is used; the rest covers entries that boot, leave or miscount.
const USED_SHARE: f64 = 0.7;

/// Allows resends within a sliding window, as the platform counts them.
///
/// [`RetryBudget`](crate::retry::RetryBudget) is the token bucket of the product's own interface,
/// which knows no window and no sharing between entries.
#[derive(Debug, Clone)]
pub struct RetryQuota {
    ratio: f64,
    slack: f64,
    window: Duration,
    requests: VecDeque<Timestamp>,
    resends: VecDeque<Timestamp>,
}

impl RetryQuota {
    /// Makes a quota of `ratio` resends a request and `slack` besides, over `window`.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            window,
            requests: VecDeque::new(),
            resends: VecDeque::new(),
        }
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.prune(now);
        self.requests.push_back(now);
    }

    /// Takes a resend from the quota, which `entries` entries share; says whether it may be sent.
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
