//! The weight store that all engines load from.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::time::Instant;

/// A rate-limited store of weights; clones share its limits.
#[derive(Debug, Clone)]
pub struct WeightStore {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    spacing: Duration,
    flight_limit: u32,
    in_flight: u32,
    peak: u32,
    next_start: Option<Instant>,
}

/// One load in progress; it ends when this is dropped.
#[derive(Debug)]
pub(super) struct LoadTicket {
    state: Arc<Mutex<State>>,
    /// How long the load takes, the wait for the rate limit included.
    pub(super) duration: Duration,
}

impl WeightStore {
    /// Makes a store without limits.
    pub fn unlimited() -> Self {
        Self::with_limits(Duration::ZERO, u32::MAX)
    }

    /// Makes a store that starts one load each `spacing` and runs `flight_limit` at full speed.
    pub fn with_limits(spacing: Duration, flight_limit: u32) -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                spacing,
                flight_limit: flight_limit.max(1),
                in_flight: 0,
                peak: 0,
                next_start: None,
            })),
        }
    }

    /// Returns the most loads that were ever in flight at once.
    pub fn peak(&self) -> u32 {
        lock(&self.state).peak
    }

    /// Starts a load that takes `alone` when no other is in flight.
    pub(super) fn start(&self, alone: Duration) -> LoadTicket {
        let mut state = lock(&self.state);
        let now = Instant::now();
        let start = state.next_start.map_or(now, |next| next.max(now));
        state.next_start = Some(start + state.spacing);
        state.in_flight += 1;
        state.peak = state.peak.max(state.in_flight);
        let crowding = f64::from(state.in_flight) / f64::from(state.flight_limit);
        LoadTicket {
            state: Arc::clone(&self.state),
            duration: start - now + alone.mul_f64(crowding.max(1.0)),
        }
    }
}

impl Drop for LoadTicket {
    fn drop(&mut self) {
        lock(&self.state).in_flight -= 1;
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
