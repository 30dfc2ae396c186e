//! The end of an exchange by time: its deadline, or what a stop signal leaves of it.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{DrainPlan, RequestPhase};
use serde::Serialize;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::state::Shared;

/// Why an exchange ends before it has an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum TimeEnd {
    /// Its deadline has passed.
    Expired,
    /// The process stops.
    Stopping,
}

/// The time limit of an exchange.
#[derive(Debug, Clone)]
pub(super) struct TimeLimit {
    shared: Arc<Shared>,
    deadline: Instant,
}

impl TimeLimit {
    /// Creates the limit of a request with this deadline, of its caller or its route.
    pub(super) const fn new(shared: Arc<Shared>, deadline: Instant) -> Self {
        Self { shared, deadline }
    }

    pub(super) const fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Waits until a request in `phase` must end.
    pub(super) async fn reached(&self, phase: RequestPhase) -> TimeEnd {
        let mut draining = self.shared.draining.subscribe();
        // Fails at the deadline; the sender lives as long as the process.
        let _ = timeout_at(self.deadline, draining.wait_for(Option::is_some)).await;
        let (at, end) = self.end(phase);
        sleep_until(at).await;
        end
    }

    /// Returns why a request in `phase` must have ended by now; `None` if it goes on.
    pub(super) fn passed(&self, phase: RequestPhase) -> Option<TimeEnd> {
        let (at, end) = self.end(phase);
        (Instant::now() >= at).then_some(end)
    }

    /// Returns the time that is left for a request in `phase`.
    pub(super) fn left(&self, phase: RequestPhase) -> Duration {
        let (at, _) = self.end(phase);
        at.saturating_duration_since(Instant::now())
    }

    fn end(&self, phase: RequestPhase) -> (Instant, TimeEnd) {
        let Some(started) = *self.shared.draining.borrow() else {
            return (self.deadline, TimeEnd::Expired);
        };
        let deadline = self.deadline.saturating_duration_since(started);
        let end = DrainPlan::new(self.shared.settings.grace).request_end(phase, deadline);
        if end < deadline {
            (started + end, TimeEnd::Stopping)
        } else {
            (self.deadline, TimeEnd::Expired)
        }
    }
}
