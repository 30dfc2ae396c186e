//! The runtime's clock, as timestamps for the decisions.

use kumquatkeel_types::Timestamp;
use tokio::time::Instant;

/// Reads the runtime's clock from an origin; tests pause and advance it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock whose origin is now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.origin.elapsed().as_micros() as u64)
    }

    /// Returns the runtime's instant of a timestamp.
    pub fn instant(&self, at: Timestamp) -> Instant {
        self.origin + at.since(Timestamp::ZERO)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::start()
    }
}
