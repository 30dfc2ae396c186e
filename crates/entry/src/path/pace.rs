//! The times of one answer against the service's limits.

use std::time::Duration;

use kumquatkeel_types::Timestamp;
use kumquatkeel_types::document::{Service, ServiceKind};

/// When a request arrived and its tokens came.
#[derive(Debug)]
pub(super) struct Pace {
    arrived: Timestamp,
    first: Option<Timestamp>,
    last: Timestamp,
    tokens: u32,
}

impl Pace {
    pub(super) const fn new(arrived: Timestamp) -> Self {
        Self {
            arrived,
            first: None,
            last: arrived,
            tokens: 0,
        }
    }

    /// Counts a token, and returns the time since arrival if it is the first.
    pub(super) fn token(&mut self, now: Timestamp) -> Option<Duration> {
        self.tokens += 1;
        self.last = now;
        if self.first.is_some() {
            return None;
        }
        self.first = Some(now);
        Some(now.since(self.arrived))
    }

    /// Returns the time since arrival.
    pub(super) const fn run_time(&self, now: Timestamp) -> Duration {
        now.since(self.arrived)
    }

    /// Says whether a whole answer kept the limits: the first token's, and between tokens the
    /// mean's; for a plain call the deadline's.
    pub(super) fn is_good(&self, service: &Service, now: Timestamp) -> bool {
        let limit = |ms: u32| Duration::from_millis(u64::from(ms));
        if service.kind == ServiceKind::Plain {
            return self.run_time(now) <= limit(service.deadline_ms);
        }
        let first = self.first.unwrap_or(now);
        let gaps = self.tokens.saturating_sub(1).max(1);
        let gap = self.last.since(first) / gaps;
        first.since(self.arrived) <= limit(service.first_token_ms)
            && gap <= limit(service.token_gap_ms)
    }
}
