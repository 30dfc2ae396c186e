//! The wall clock of the ledger, read once and advanced by the runtime's clock.

use std::time::{SystemTime, UNIX_EPOCH};

use kumquatkeel_core::ledger::WallTime;
use tokio::time::Instant;

/// A wall clock that follows the runtime's clock, so that tests can pause and advance it.
#[derive(Debug, Clone, Copy)]
pub struct WallClock {
    base: WallTime,
    origin: Instant,
}

impl WallClock {
    /// Starts a clock at the system's wall-clock time.
    pub fn start() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self::at(WallTime::from_millis(
            since.map_or(0, |d| d.as_millis() as u64),
        ))
    }

    /// Starts a clock at `base`.
    pub fn at(base: WallTime) -> Self {
        Self {
            base,
            origin: Instant::now(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> WallTime {
        let elapsed = self.origin.elapsed().as_millis() as u64;
        WallTime::from_millis(self.base.as_millis() + elapsed)
    }
}
