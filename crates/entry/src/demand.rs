//! The demand for each model, counted as requests start and end.

use std::sync::{Arc, Mutex};

use kumquatkeel_core::demand::{DemandKey, DemandMeter};
use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_types::ErrorCode;
use kumquatkeel_types::message::DemandReport;

use crate::state::lock;

/// The demand that one entry counts; clones share it.
#[derive(Debug, Clone)]
pub struct SharedDemand {
    clock: Clock,
    meter: Arc<Mutex<DemandMeter>>,
}

impl SharedDemand {
    /// Makes a meter without requests.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            meter: Arc::default(),
        }
    }

    /// Counts a request until the guard is dropped.
    pub fn start(&self, key: DemandKey) -> DemandGuard {
        lock(&self.meter).started(&key, self.clock.now());
        DemandGuard {
            demand: self.clone(),
            key,
            unmet: false,
        }
    }

    /// Returns the demand over the last window.
    pub fn report(&self) -> DemandReport {
        lock(&self.meter).report(self.clock.now())
    }
}

/// Counts one request as running; dropping it counts its end.
#[derive(Debug)]
pub struct DemandGuard {
    demand: SharedDemand,
    key: DemandKey,
    unmet: bool,
}

impl DemandGuard {
    /// Notes that the request failed; without a replica in time it counts as unmet.
    pub fn failed(&mut self, code: ErrorCode) {
        let wanted = [
            ErrorCode::Overloaded,
            ErrorCode::Unavailable,
            ErrorCode::Deadline,
        ];
        self.unmet = wanted.contains(&code);
    }
}

impl Drop for DemandGuard {
    fn drop(&mut self) {
        lock(&self.demand.meter).ended(&self.key, self.unmet, self.demand.clock.now());
    }
}
