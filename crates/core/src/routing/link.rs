//! The byte budget of the regional link, a token bucket.

use std::time::Duration;

use kumquatkeel_types::Timestamp;

/// The time over which unused budget accumulates.
const BURST_WINDOW: Duration = Duration::from_secs(2);

/// The answer of the budget to a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkStep {
    /// The bytes are taken from the budget.
    Granted,
    /// The budget does not hold the bytes; nothing is taken.
    Refused {
        /// The time until it does; [`Duration::MAX`] if the transfer exceeds the capacity.
        wait: Duration,
    },
}

/// One entry's budget of bytes over the regional link.
#[derive(Debug, Clone)]
pub struct LinkBudget {
    rate: f64,
    available: f64,
    refilled: Timestamp,
}

impl LinkBudget {
    /// Creates a full budget of `rate` bytes a second.
    pub fn new(rate: f64, now: Timestamp) -> Self {
        let rate = sanitize_rate(rate);
        Self {
            rate,
            available: rate * BURST_WINDOW.as_secs_f64(),
            refilled: now,
        }
    }

    /// Returns one entry's share of the link in bytes a second: an equal part for each live entry.
    pub fn share(link_bytes: u32, live_entries: usize) -> f64 {
        f64::from(link_bytes) / live_entries.max(1) as f64
    }

    /// Sets the rate in bytes a second; budget beyond the new capacity is lost.
    pub fn set_rate(&mut self, rate: f64, now: Timestamp) {
        self.refill(now);
        self.rate = sanitize_rate(rate);
        self.available = self.available.min(self.capacity());
    }

    /// Takes `bytes` from the budget if it holds that many.
    pub fn take(&mut self, bytes: u64, now: Timestamp) -> LinkStep {
        self.refill(now);
        let bytes = bytes as f64;
        if bytes <= self.available {
            self.available -= bytes;
            return LinkStep::Granted;
        }
        let wait = if self.rate > 0.0 && bytes <= self.capacity() {
            Duration::from_secs_f64((bytes - self.available) / self.rate)
        } else {
            Duration::MAX
        };
        LinkStep::Refused { wait }
    }

    fn capacity(&self) -> f64 {
        self.rate * BURST_WINDOW.as_secs_f64()
    }

    fn refill(&mut self, now: Timestamp) {
        let gain = now.since(self.refilled).as_secs_f64() * self.rate;
        self.available = (self.available + gain).min(self.capacity());
        self.refilled = self.refilled.max(now);
    }
}

/// Replaces a negative, infinite or undefined rate by 0.
const fn sanitize_rate(rate: f64) -> f64 {
    if rate.is_finite() && rate > 0.0 {
        rate
    } else {
        0.0
    }
}
