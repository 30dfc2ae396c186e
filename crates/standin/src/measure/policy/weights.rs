//! The weight store.

use std::time::Duration;

use kumquatkeel_types::document::Policy;
use kumquatkeel_types::message::OrderAction;

/// Time in which an adapter loads at full speed.
const ADAPTER_LOAD: Duration = Duration::from_millis(10);

/// A weight store that loads a few models and adapters at a time at full speed.
#[derive(Debug, Clone)]
pub(super) struct WeightStore {
    load: Duration,
    load_flight: f64,
    adapter_flight: f64,
    models: u32,
    adapters: u32,
}

impl WeightStore {
    /// Makes a store with the limits that the document states.
    ///
    /// At full speed the loads in flight together end at the stated rate.
    pub(super) fn new(policy: &Policy) -> Self {
        let flight = f64::from(policy.load_flight);
        Self {
            load: Duration::from_secs_f64(flight / policy.load_rate),
            load_flight: flight,
            adapter_flight: f64::from(policy.adapter_flight),
            models: 0,
            adapters: 0,
        }
    }

    /// Starts a load and returns its time: longer in proportion beyond the limit in flight.
    pub(super) fn start(&mut self, action: &OrderAction) -> Duration {
        let (time, flight, limit) = match action {
            OrderAction::Load { .. } => {
                self.models += 1;
                (self.load, self.models, self.load_flight)
            }
            OrderAction::LoadAdapter { .. } => {
                self.adapters += 1;
                (ADAPTER_LOAD, self.adapters, self.adapter_flight)
            }
            OrderAction::Unload { .. } | OrderAction::UnloadAdapter { .. } => {
                return Duration::ZERO;
            }
        };
        time.mul_f64((f64::from(flight) / limit).max(1.0))
    }

    /// Ends a load.
    pub(super) const fn end(&mut self, action: &OrderAction) {
        match action {
            OrderAction::Load { .. } => self.models = self.models.saturating_sub(1),
            OrderAction::LoadAdapter { .. } => self.adapters = self.adapters.saturating_sub(1),
            OrderAction::Unload { .. } | OrderAction::UnloadAdapter { .. } => {}
        }
    }
}
