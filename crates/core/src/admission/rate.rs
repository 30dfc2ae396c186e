//! The rate limit of a service at one entry.

use std::time::Duration;

use kumquatkeel_types::Timestamp;

/// The rate may be saved up for this long.
const BURST: Duration = Duration::from_secs(1);

/// What the rate limit says to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateStep {
    /// The request is within the rate.
    Within,
    /// The rate is used up.
    Over {
        /// How long until it allows one more.
        wait: Duration,
    },
}

/// A token bucket of requests.
#[derive(Debug, Clone)]
pub struct RateBucket {
    rate: f64,
    level: f64,
    filled: Timestamp,
}

impl RateBucket {
    /// Makes a full bucket of `rate` requests a second.
    pub fn new(rate: f64, now: Timestamp) -> Self {
        let rate = clean(rate);
        Self {
            rate,
            level: most(rate),
            filled: now,
        }
    }

    /// Sets the rate in requests a second; what has been saved up stays, up to the new bound.
    pub fn set_rate(&mut self, rate: f64, now: Timestamp) {
        self.fill(now);
        self.rate = clean(rate);
        self.level = self.level.min(most(self.rate));
    }

    /// Takes one request from the bucket.
    pub fn take(&mut self, now: Timestamp) -> RateStep {
        self.fill(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return RateStep::Within;
        }
        let wait = if self.rate > 0.0 {
            Duration::try_from_secs_f64((1.0 - self.level) / self.rate).unwrap_or(Duration::MAX)
        } else {
            Duration::MAX
        };
        RateStep::Over { wait }
    }

    fn fill(&mut self, now: Timestamp) {
        let gain = now.since(self.filled).as_secs_f64() * self.rate;
        self.level = (self.level + gain).min(most(self.rate));
        self.filled = self.filled.max(now);
    }
}

fn most(rate: f64) -> f64 {
    (rate * BURST.as_secs_f64()).max(1.0)
}

const fn clean(rate: f64) -> f64 {
    if rate.is_finite() && rate > 0.0 {
        rate
    } else {
        0.0
    }
}
