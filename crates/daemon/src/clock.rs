//! The runtime's clock as [`Timestamp`]s, which the decision code works with.

use kumquatkeel_types::Timestamp;
use tokio::time::Instant;

/// A monotonic clock that counts from an origin; tests can pause and advance it.
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

    /// Returns the time since the origin.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.origin.elapsed().as_micros() as u64)
    }

    /// Converts an instant of the runtime to a timestamp of this clock; one before the origin is zero.
    pub fn timestamp(&self, at: Instant) -> Timestamp {
        let since = at.saturating_duration_since(self.origin);
        Timestamp::from_micros(since.as_micros() as u64)
    }

    /// Converts a timestamp of this clock to an instant of the runtime, for timers.
    pub fn instant(&self, at: Timestamp) -> Instant {
        self.origin + at.since(Timestamp::ZERO)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::start()
    }
}
