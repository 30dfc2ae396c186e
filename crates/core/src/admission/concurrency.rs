//! The limit on the requests of a service that run at a time at one entry.

use std::time::Duration;

use kumquatkeel_types::Timestamp;

/// The lower bound of the limit.
const MIN_LIMIT: f64 = 4.0;
/// The limit until the fleet's slots are known.
const INITIAL_CEILING: u32 = 256;
/// The factor by which the limit decreases when an agent is busy.
const DECREASE_FACTOR: f64 = 0.9;
/// The shortest time between two decreases, because one shortage of slots causes many refusals.
const DECREASE_INTERVAL: Duration = Duration::from_millis(200);

/// A concurrency limit with additive increase and multiplicative decrease (AIMD).
///
/// It grows by one for each round of accepted requests, that is, as many as the limit allows at a
/// time. It decreases when an agent refuses a request because it is busy.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    limit: f64,
    ceiling: f64,
    decreased: Option<Timestamp>,
}

impl ConcurrencyLimit {
    /// Returns the number of requests that may run at a time.
    pub const fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Sets the upper bound: the slots that the fleet has for the service, but at least the lower
    /// bound.
    ///
    /// A limit that has reached the old upper bound moves to the new one.
    pub const fn set_ceiling(&mut self, slots: u32) {
        let ceiling = (slots as f64).max(MIN_LIMIT);
        if self.limit >= self.ceiling {
            self.limit = ceiling;
        }
        self.ceiling = ceiling;
        self.limit = self.limit.min(ceiling);
    }

    /// Increases the limit after an agent has accepted a request.
    pub const fn accepted(&mut self) {
        self.limit = (self.limit + 1.0 / self.limit).min(self.ceiling);
    }

    /// Decreases the limit after a busy agent has refused a request, with `running` in progress.
    pub fn busy(&mut self, running: u32, now: Timestamp) {
        let too_soon = |decreased| now.since(decreased) < DECREASE_INTERVAL;
        if self.decreased.is_some_and(too_soon) {
            return;
        }
        self.decreased = Some(now);
        let base = self.limit.min(f64::from(running));
        self.limit = (base * DECREASE_FACTOR).max(MIN_LIMIT);
    }
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        let ceiling = f64::from(INITIAL_CEILING);
        Self {
            limit: ceiling,
            ceiling,
            decreased: None,
        }
    }
}
