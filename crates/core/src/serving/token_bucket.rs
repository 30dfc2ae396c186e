//! A token bucket whose level may go below zero.

use std::time::Duration;

use kumquatkeel_types::Timestamp;

/// Limits what is spent to a rate and a burst.
///
/// What is taken ahead of time brings the level below zero, and is to be used after the wait that
/// [`TokenBucket::wait_for`] returns.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct TokenBucket {
    /// Tokens per second; positive.
    rate: f64,
    capacity: f64,
    level: f64,
    refilled: Timestamp,
}

impl TokenBucket {
    pub(super) const fn new(rate: f64, capacity: f64, level: f64, now: Timestamp) -> Self {
        Self {
            rate,
            capacity,
            level: level.min(capacity),
            refilled: now,
        }
    }

    pub(super) const fn rate(&self) -> f64 {
        self.rate
    }

    pub(super) const fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Returns the level as of the last refill.
    pub(super) const fn level(&self) -> f64 {
        self.level
    }

    /// Adds what has accumulated since the last refill.
    pub(super) fn refill(&mut self, now: Timestamp) {
        let gain = now.since(self.refilled).as_secs_f64() * self.rate;
        self.give(gain);
        self.refilled = self.refilled.max(now);
    }

    /// Returns the time since the last refill.
    pub(super) const fn elapsed(&self, now: Timestamp) -> Duration {
        now.since(self.refilled)
    }

    /// Takes a time out of the next refill.
    pub(super) const fn skip(&mut self, span: Duration) {
        self.refilled = self.refilled.after(span);
    }

    /// Refills at the old rate and changes the limit; a level above the new capacity is lowered to it.
    pub(super) fn set_limit(&mut self, rate: f64, capacity: f64, now: Timestamp) {
        self.refill(now);
        (self.rate, self.capacity) = (rate, capacity);
        self.level = self.level.min(capacity);
    }

    /// Returns the time until the level reaches `amount`; zero if it has.
    pub(super) fn wait_for(&self, amount: f64) -> Duration {
        let seconds = (amount - self.level).max(0.0) / self.rate;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    pub(super) fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Gives tokens back, as far as the capacity allows.
    pub(super) fn give(&mut self, amount: f64) {
        self.level = (self.level + amount).min(self.capacity);
    }
}

/// Returns a duration in whole milliseconds, rounded up.
pub(super) fn whole_millis(duration: Duration) -> u32 {
    let millis = duration.as_micros().div_ceil(1_000);
    millis.min(u128::from(u32::MAX)) as u32
}
