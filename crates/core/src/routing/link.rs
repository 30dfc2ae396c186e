//! The byte budget of the regional link.

use std::time::Duration;

use kumquatkeel_types::Timestamp;

/// The budget may be saved up for this long.
const BURST: Duration = Duration::from_secs(2);

/// What the budget says to a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkStep {
    /// The bytes are taken from the budget.
    Granted,
    /// The budget does not suffice.
    Refused {
        /// How long until it would.
        wait: Duration,
    },
}

/// A token bucket of bytes over the regional link.
#[derive(Debug, Clone)]
pub struct LinkBudget {
    rate: f64,
    level: f64,
    filled: Timestamp,
}

impl LinkBudget {
    /// Makes a full budget of `rate` bytes a second.
    pub fn new(rate: f64, now: Timestamp) -> Self {
        let rate = clean_rate(rate);
        Self {
            rate,
            level: rate * BURST.as_secs_f64(),
            filled: now,
        }
    }

    /// Returns one entry's share of the link: an equal part among the live entries.
    pub fn share(link_bytes: u32, live_entries: usize) -> f64 {
        f64::from(link_bytes) / live_entries.max(1) as f64
    }

    /// Sets the rate in bytes a second.
    pub fn set_rate(&mut self, rate: f64, now: Timestamp) {
        self.fill(now);
        self.rate = clean_rate(rate);
        self.level = self.level.min(self.most());
    }

    /// Takes `bytes` from the budget if it holds them.
    pub fn take(&mut self, bytes: u64, now: Timestamp) -> LinkStep {
        self.fill(now);
        let bytes = bytes as f64;
        if bytes <= self.level {
            self.level -= bytes;
            return LinkStep::Granted;
        }
        let wait = if self.rate > 0.0 && bytes <= self.most() {
            Duration::from_secs_f64((bytes - self.level) / self.rate)
        } else {
            Duration::MAX
        };
        LinkStep::Refused { wait }
    }

    fn most(&self) -> f64 {
        self.rate * BURST.as_secs_f64()
    }

    fn fill(&mut self, now: Timestamp) {
        let gain = now.since(self.filled).as_secs_f64() * self.rate;
        self.level = (self.level + gain).min(self.most());
        self.filled = self.filled.max(now);
    }
}

const fn clean_rate(rate: f64) -> f64 {
    if rate.is_finite() && rate > 0.0 {
        rate
    } else {
        0.0
    }
}
