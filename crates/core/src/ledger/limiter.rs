//! Rate limit on the ledger writes of one process.

use std::time::Duration;

use kumquatkeel_types::Timestamp;

/// Ledger writes per second, over all processes.
const WRITES_PER_SECOND: u32 = 200;

/// Writes that may be made at once after an idle period.
const BURST: u32 = 8;

/// Limits the writes of one process, over all partitions, to an equal share of the total rate.
#[derive(Debug, Clone)]
pub struct WriteRateLimiter {
    spacing: Duration,
    /// Time up to which the share is reserved.
    reserved_until: Timestamp,
}

impl Default for WriteRateLimiter {
    fn default() -> Self {
        Self::new(1)
    }
}

impl WriteRateLimiter {
    /// Creates the limiter of one of `writers` processes.
    pub fn new(writers: u32) -> Self {
        Self {
            spacing: spacing(writers),
            reserved_until: Timestamp::ZERO,
        }
    }

    /// Sets the number of processes that share the total rate.
    pub fn set_writers(&mut self, writers: u32) {
        self.spacing = spacing(writers);
    }

    /// Reserves the next write and returns the time at which it may be made.
    pub fn reserve(&mut self, now: Timestamp) -> Timestamp {
        let start = self.reserved_until.max(now);
        self.reserved_until = start.after(self.spacing);
        let burst = self.spacing * BURST;
        let ahead = start.since(now);
        now.after(ahead.saturating_sub(burst))
    }
}

/// Returns the time between two writes of one of `writers` processes.
fn spacing(writers: u32) -> Duration {
    Duration::from_secs(1) * writers.max(1) / WRITES_PER_SECOND
}
