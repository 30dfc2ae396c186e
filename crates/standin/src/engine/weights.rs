//! Weight store that the engines share; it limits the rate of load starts and slows down
//! concurrent loads.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::time::Instant;

/// A store of model weights with a rate limit; clones share the limits and the loads in flight.
#[derive(Debug, Clone)]
pub struct WeightStore {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    start_interval: Duration,
    flight_limit: u32,
    in_flight: u32,
    peak: u32,
    next_start: Option<Instant>,
}

/// A load in flight, until it is dropped.
#[derive(Debug)]
pub(super) struct LoadTicket {
    state: Arc<Mutex<State>>,
    /// Time until the load ends, including the wait for the rate limit.
    pub(super) duration: Duration,
}

impl WeightStore {
    /// Creates a store without limits.
    pub fn unlimited() -> Self {
        Self::with_limits(Duration::ZERO, u32::MAX)
    }

    /// Creates a store that starts one load per `start_interval` and serves `flight_limit` loads at
    /// full speed; more loads share that speed.
    pub fn with_limits(start_interval: Duration, flight_limit: u32) -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                start_interval,
                flight_limit: flight_limit.max(1),
                in_flight: 0,
                peak: 0,
                next_start: None,
            })),
        }
    }

    /// Returns the highest number of loads that were in flight at the same time.
    pub fn peak(&self) -> u32 {
        lock(&self.state).peak
    }

    /// Starts a load that takes `uncontended` if the store runs at full speed.
    pub(super) fn start(&self, uncontended: Duration) -> LoadTicket {
        let mut state = lock(&self.state);
        let now = Instant::now();
        let start = state.next_start.map_or(now, |next| next.max(now));
        state.next_start = Some(start + state.start_interval);
        state.in_flight += 1;
        state.peak = state.peak.max(state.in_flight);
        let contention = f64::from(state.in_flight) / f64::from(state.flight_limit);
        LoadTicket {
            state: Arc::clone(&self.state),
            duration: start - now + uncontended.mul_f64(contention.max(1.0)),
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
