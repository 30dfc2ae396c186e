//! The demand for each model and adapter, measured from requests as they start and end.
//!
//! The placement planner collects the reports of all entries.

use std::sync::{Arc, Mutex};

use kumquatkeel_core::demand::{DemandKey, DemandMeter};
use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_types::ErrorCode;
use kumquatkeel_types::message::DemandReport;

use crate::state::lock;

/// The demand meter of one entry; clones share it.
#[derive(Debug, Clone)]
pub struct SharedDemand {
    clock: Clock,
    meter: Arc<Mutex<DemandMeter>>,
}

impl SharedDemand {
    /// Creates a meter that has counted no requests.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            meter: Arc::default(),
        }
    }

    /// Counts a request as running until the guard is dropped.
    pub fn start(&self, key: DemandKey) -> DemandGuard {
        lock(&self.meter).started(&key, self.clock.now());
        DemandGuard {
            demand: self.clone(),
            key,
            unmet: false,
        }
    }

    /// Returns the demand over the meter's last window.
    pub fn report(&self) -> DemandReport {
        lock(&self.meter).report(self.clock.now())
    }
}

/// A request counted as running; dropping the guard records its end.
#[derive(Debug)]
pub struct DemandGuard {
    demand: SharedDemand,
    key: DemandKey,
    unmet: bool,
}

impl DemandGuard {
    /// Records a failure of the request; it counts as unmet demand when the code says that it found
    /// no replica in time.
    pub fn failed(&mut self, code: ErrorCode) {
        let unmet_codes = [
            ErrorCode::Overloaded,
            ErrorCode::Unavailable,
            ErrorCode::Deadline,
        ];
        self.unmet = unmet_codes.contains(&code);
    }
}

impl Drop for DemandGuard {
    fn drop(&mut self) {
        lock(&self.demand.meter).ended(&self.key, self.unmet, self.demand.clock.now());
    }
}
