//! The weight store's limits, kept by the one planner for all data centres.

use kumquatkeel_types::Timestamp;

/// Counts out model loads by rate and by number in flight.
#[derive(Debug, Default)]
pub(crate) struct LoadLimiter {
    tokens: f64,
    last: Option<Timestamp>,
}

impl LoadLimiter {
    /// Returns how many loads may start now.
    ///
    /// `loading` counts the loads in progress over all data centres, `flight` and `rate` bound them,
    /// and `burst` loads may start together after a quiet time. A new planner starts without
    /// credit, so that taking over the lease gives the weight store no second burst.
    pub(crate) fn grant(
        &mut self,
        now: Timestamp,
        loading: usize,
        flight: u16,
        rate: f64,
        burst: f64,
    ) -> usize {
        let elapsed = self.last.map_or(0.0, |last| now.since(last).as_secs_f64());
        self.last = Some(now);
        let flight = flight.max(1);
        let rate = if rate.is_finite() { rate.max(0.0) } else { 0.0 };
        self.tokens = (self.tokens + elapsed * rate).min(burst);
        let free = usize::from(flight).saturating_sub(loading);
        free.min(self.tokens as usize)
    }

    /// Notes that a load starts.
    pub(crate) fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}
