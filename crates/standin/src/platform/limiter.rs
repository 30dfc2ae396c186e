//! Rate limiting of calls by a token bucket on the clock of the Tokio runtime.

use tokio::time::Instant;

/// A token bucket whose capacity is the number of calls allowed per second.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    rate: f64,
    tokens: f64,
    refilled: Instant,
}

impl TokenBucket {
    /// Creates a full bucket that is refilled with `rate` tokens per second.
    pub fn new(rate: u32) -> Self {
        Self {
            rate: f64::from(rate),
            tokens: f64::from(rate),
            refilled: Instant::now(),
        }
    }

    /// Refills the bucket up to `now` and takes one token; returns false if there is none.
    pub fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.tokens = elapsed.mul_add(self.rate, self.tokens).min(self.rate);
        self.refilled = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
