//! The end of a request by time, whatever it waits for.

use std::sync::Arc;

use kumquatkeel_types::{ErrorCode, Timestamp};
use tokio::time::{sleep_until, timeout_at};

use crate::EntryState;

/// The time limit of a request: its deadline, or the end of its entry's stop if that is earlier.
#[derive(Debug, Clone)]
pub(crate) struct TimeLimit {
    state: Arc<EntryState>,
    deadline: Timestamp,
}

impl TimeLimit {
    pub(crate) const fn new(state: Arc<EntryState>, deadline: Timestamp) -> Self {
        Self { state, deadline }
    }

    /// Waits until the request must end, and returns why.
    pub(crate) async fn reached(&self) -> ErrorCode {
        let mut stop = self.state.stop_end.subscribe();
        let deadline = self.state.clock.instant(self.deadline);
        // Fails at the deadline; the sender lives as long as the state.
        let _ = timeout_at(deadline, stop.wait_for(Option::is_some)).await;
        let stop = *self.state.stop_end.borrow();
        let stop = stop.filter(|end| *end < deadline);
        sleep_until(stop.unwrap_or(deadline)).await;
        stop.map_or(ErrorCode::Deadline, |_| ErrorCode::Draining)
    }

    /// Returns the result of `work`, or why the request must end first; after that, no work begins.
    pub(crate) async fn bound<T>(&self, work: impl Future<Output = T>) -> Result<T, ErrorCode> {
        tokio::select! {
            biased;
            reason = self.reached() => Err(reason),
            result = work => Ok(result),
        }
    }
}
