//! Exponential back-off with full jitter.

use std::time::Duration;

use rand::{Rng, RngExt};

/// The bound of the wait before the first retry.
const BASE_DELAY: Duration = Duration::from_millis(20);
/// The bound of the wait before any retry.
const MAX_DELAY: Duration = Duration::from_secs(1);
/// The most doublings, so that the shift does not overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Draws waits between attempts: uniform from zero to a bound that doubles with each retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
}

impl Backoff {
    /// Creates a back-off whose bound starts at `base` and ends at `cap`.
    pub const fn new(base: Duration, cap: Duration) -> Self {
        Self { base, cap }
    }

    /// Returns the bound of the wait before retry number `retry`, counted from 1.
    pub fn bound(&self, retry: u32) -> Duration {
        let doublings = retry.saturating_sub(1).min(MAX_DOUBLINGS);
        self.base.saturating_mul(1 << doublings).min(self.cap)
    }

    /// Draws the wait before retry number `retry`, counted from 1.
    pub fn delay(&self, retry: u32, rng: &mut dyn Rng) -> Duration {
        let micros = self.bound(retry).as_micros() as u64;
        Duration::from_micros(rng.random_range(0..=micros))
    }
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new(BASE_DELAY, MAX_DELAY)
    }
}
