//! The share of an engine's time that each account takes.
//!
//! When accounts compete for an engine, one that sends many times its usual must not push the others
//! aside. The engine's time is shared by the rates of the accounts' limits.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use kumquatkeel_types::Timestamp;
use serde::{Deserialize, Serialize};

/// Half-life of the recorded work.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Work above its share from which an account is over it: two or three prompts, as single requests are
/// too large for an exact share.
const MIN_EXCESS: Duration = Duration::from_millis(300);
/// Time after its last request for which an account competes.
const COMPETITOR_TTL: Duration = Duration::from_secs(4);

/// An account that competes for an engine's time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Competitor {
    /// Hash of the account's name.
    pub account: u64,
    /// The account's weight relative to others: the rate of its limit.
    pub weight: f64,
}

#[derive(Debug, Clone, Copy)]
struct Usage {
    /// Recent work in seconds.
    work: f64,
    weight: f64,
    /// When the account last had a request.
    seen: Timestamp,
}

/// Compares the recent work of the accounts at one engine with their shares.
#[derive(Debug, Clone, Default)]
pub struct AccountShares {
    accounts: HashMap<u64, Usage>,
    updated: Timestamp,
}

impl AccountShares {
    /// Records a request of an account, which competes from now on, and the work that is done for it.
    pub fn record(&mut self, competitor: Competitor, work: Duration, now: Timestamp) {
        self.decay(now);
        let usage = self.accounts.entry(competitor.account).or_insert(Usage {
            work: 0.0,
            weight: 0.0,
            seen: now,
        });
        usage.work += work.as_secs_f64();
        usage.weight = competitor.weight.max(0.0);
        usage.seen = now;
    }

    /// Returns the accounts that have taken more than their shares among those that compete.
    pub fn over(&mut self, now: Timestamp) -> HashSet<u64> {
        self.decay(now);
        let all = self.accounts.values();
        let (work, weight) = all.fold((0.0, 0.0), |(work, weight), usage| {
            (work + usage.work, weight + usage.weight)
        });
        let is_over = |usage: &Usage| {
            let share = if weight > 0.0 {
                usage.weight / weight
            } else {
                1.0
            };
            usage.work - share * work > MIN_EXCESS.as_secs_f64()
        };
        let over = self.accounts.iter().filter(|(_, usage)| is_over(usage));
        over.map(|(account, _)| *account).collect()
    }

    fn decay(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        self.updated = now;
        let keep = 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64());
        self.accounts.retain(|_, usage| {
            usage.work *= keep;
            now.since(usage.seen) < COMPETITOR_TTL
        });
    }
}
