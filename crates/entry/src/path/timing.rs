//! The latency of one response, compared with the service's limits.

use std::time::Duration;

use kumquatkeel_types::Timestamp;
use kumquatkeel_types::document::{Service, ServiceKind};

/// The times of a request's arrival and of the tokens of its response.
#[derive(Debug)]
pub(super) struct ResponseTiming {
    arrived: Timestamp,
    first_token: Option<Timestamp>,
    last_token: Timestamp,
    tokens: u32,
}

impl ResponseTiming {
    pub(super) const fn new(arrived: Timestamp) -> Self {
        Self {
            arrived,
            first_token: None,
            last_token: arrived,
            tokens: 0,
        }
    }

    /// Records a token; returns the time since arrival if it is the first.
    pub(super) fn record_token(&mut self, now: Timestamp) -> Option<Duration> {
        self.tokens += 1;
        self.last_token = now;
        if self.first_token.is_some() {
            return None;
        }
        self.first_token = Some(now);
        Some(now.since(self.arrived))
    }

    /// Returns the time since arrival.
    pub(super) const fn run_time(&self, now: Timestamp) -> Duration {
        now.since(self.arrived)
    }

    /// Returns whether a complete response met the service's limits.
    ///
    /// For completions these are the time to the first token and the mean gap between tokens; for
    /// plain calls it is the deadline.
    pub(super) fn is_within_limits(&self, service: &Service, now: Timestamp) -> bool {
        let limit = |ms: u32| Duration::from_millis(u64::from(ms));
        if service.kind == ServiceKind::Plain {
            return self.run_time(now) <= limit(service.deadline_ms);
        }
        let first_token = self.first_token.unwrap_or(now);
        let gaps = self.tokens.saturating_sub(1).max(1);
        let gap = self.last_token.since(first_token) / gaps;
        first_token.since(self.arrived) <= limit(service.first_token_ms)
            && gap <= limit(service.token_gap_ms)
    }
}
