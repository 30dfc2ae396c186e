//! The token bucket that limits a service's rate at one entry.

use std::time::Duration;

use kumquatkeel_types::Timestamp;

/// The time for which unused rate accumulates, which bounds a burst.
const BURST_WINDOW: Duration = Duration::from_secs(1);

/// The decision of the rate limit on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateStep {
    /// The request is within the rate.
    Within,
    /// The request exceeds the rate.
    Over {
        /// The time until the bucket allows one more request.
        wait: Duration,
    },
}

/// A token bucket with one token for each request.
#[derive(Debug, Clone)]
pub struct RateBucket {
    rate: f64,
    tokens: f64,
    refilled: Timestamp,
}

impl RateBucket {
    /// Creates a full bucket that refills with `rate` requests per second.
    ///
    /// A rate that is negative or not finite counts as zero.
    pub fn new(rate: f64, now: Timestamp) -> Self {
        let rate = sanitize(rate);
        Self {
            rate,
            tokens: capacity(rate),
            refilled: now,
        }
    }

    /// Sets the rate in requests per second and keeps the tokens, up to the new capacity.
    pub fn set_rate(&mut self, rate: f64, now: Timestamp) {
        self.refill(now);
        self.rate = sanitize(rate);
        self.tokens = self.tokens.min(capacity(self.rate));
    }

    /// Takes a token for one request, if there is one.
    pub fn take(&mut self, now: Timestamp) -> RateStep {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return RateStep::Within;
        }
        let wait = if self.rate > 0.0 {
            Duration::try_from_secs_f64((1.0 - self.tokens) / self.rate).unwrap_or(Duration::MAX)
        } else {
            Duration::MAX
        };
        RateStep::Over { wait }
    }

    fn refill(&mut self, now: Timestamp) {
        let gain = now.since(self.refilled).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gain).min(capacity(self.rate));
        self.refilled = self.refilled.max(now);
    }
}

fn capacity(rate: f64) -> f64 {
    (rate * BURST_WINDOW.as_secs_f64()).max(1.0)
}

const fn sanitize(rate: f64) -> f64 {
    if rate.is_finite() && rate > 0.0 {
        rate
    } else {
        0.0
    }
}
