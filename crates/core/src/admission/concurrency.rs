//! How many requests of a service an entry lets run.

use std::time::Duration;

use kumquatkeel_types::Timestamp;

/// The limit never falls below this.
const LEAST: f64 = 4.0;
/// The limit before the fleet's slots are known.
const FIRST_CEILING: u32 = 256;
/// The factor by which the limit falls when agents are busy.
const DECREASE: f64 = 0.9;
/// The limit falls at most once in this time, for one shortage gives many refusals.
const DECREASE_PAUSE: Duration = Duration::from_millis(200);

/// A limit that grows by one for each round of accepted requests and falls when agents are busy.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    limit: f64,
    ceiling: f64,
    fell: Option<Timestamp>,
}

impl ConcurrencyLimit {
    /// Returns the requests that may run.
    pub const fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Sets the slots that the fleet has for the service; the limit never exceeds them.
    pub const fn set_ceiling(&mut self, slots: u32) {
        let ceiling = (slots as f64).max(LEAST);
        if self.limit >= self.ceiling {
            self.limit = ceiling;
        }
        self.ceiling = ceiling;
        self.limit = self.limit.min(ceiling);
    }

    /// Counts a request that an agent accepted.
    pub const fn accepted(&mut self) {
        self.limit = (self.limit + 1.0 / self.limit).min(self.ceiling);
    }

    /// Counts a request that an agent refused as busy, with `running` in progress.
    pub fn busy(&mut self, running: u32, now: Timestamp) {
        let paused = |fell| now.since(fell) < DECREASE_PAUSE;
        if self.fell.is_some_and(paused) {
            return;
        }
        self.fell = Some(now);
        let from = self.limit.min(f64::from(running));
        self.limit = (from * DECREASE).max(LEAST);
    }
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        let ceiling = f64::from(FIRST_CEILING);
        Self {
            limit: ceiling,
            ceiling,
            fell: None,
        }
    }
}
