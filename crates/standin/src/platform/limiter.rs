//! A token bucket on the runtime's clock.

use tokio::time::Instant;

/// Allows a number of calls a second, with a burst of one second's worth.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    rate: f64,
    tokens: f64,
    filled: Instant,
}

impl TokenBucket {
    /// Makes a full bucket that allows `rate` calls a second.
    pub fn new(rate: u32) -> Self {
        Self {
            rate: f64::from(rate),
            tokens: f64::from(rate),
            filled: Instant::now(),
        }
    }

    /// Takes one token if there is one at `now`.
    pub fn take(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = passed.mul_add(self.rate, self.tokens).min(self.rate);
        self.filled = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
