//! The rate of writes that one process may make.

use std::time::Duration;

use kumquatkeel_types::Timestamp;

/// Writes to the ledger a second over all processes.
const WRITES_PER_SECOND: u32 = 200;

/// Writes that may follow each other at once after a quiet time.
const BURST: u32 = 8;

/// Keeps one process's writes within its share, over all partitions.
#[derive(Debug, Clone)]
pub struct WriteRateLimiter {
    spacing: Duration,
    /// When the share is used up to.
    used: Timestamp,
}

impl Default for WriteRateLimiter {
    fn default() -> Self {
        Self::new(1)
    }
}

impl WriteRateLimiter {
    /// Makes the pace of one of `writers` processes.
    pub fn new(writers: u32) -> Self {
        Self {
            spacing: spacing(writers),
            used: Timestamp::ZERO,
        }
    }

    /// Sets the number of processes that share the rate.
    pub fn set_writers(&mut self, writers: u32) {
        self.spacing = spacing(writers);
    }

    /// Reserves the next write and returns when it may be made.
    pub fn reserve(&mut self, now: Timestamp) -> Timestamp {
        let start = self.used.max(now);
        self.used = start.after(self.spacing);
        let credit = self.spacing * BURST;
        let ahead = start.since(now);
        now.after(ahead.saturating_sub(credit))
    }
}

fn spacing(writers: u32) -> Duration {
    Duration::from_secs(1) * writers.max(1) / WRITES_PER_SECOND
}
