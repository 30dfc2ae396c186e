//! The limits on model loads that protect the weight store.
//!
//! Only the lease holder plans loads, so one limiter bounds the loads of all data centres.

use kumquatkeel_types::Timestamp;

/// A token bucket for model loads that also bounds the number of loads in flight.
#[derive(Debug, Default)]
pub(crate) struct LoadLimiter {
    tokens: f64,
    last: Option<Timestamp>,
}

impl LoadLimiter {
    /// Refills the bucket and returns how many loads may start now.
    ///
    /// `loading` is the number of loads in progress over all data centres, `max_in_flight` its
    /// limit, `rate` the loads per second and `burst` the size of the bucket, which is the number
    /// of loads that may start together after an idle period. The bucket starts empty, so that a
    /// new lease holder does not send the weight store a second burst.
    pub(crate) fn grant(
        &mut self,
        now: Timestamp,
        loading: usize,
        max_in_flight: u16,
        rate: f64,
        burst: f64,
    ) -> usize {
        let elapsed = self.last.map_or(0.0, |last| now.since(last).as_secs_f64());
        self.last = Some(now);
        let max_in_flight = max_in_flight.max(1);
        let rate = if rate.is_finite() { rate.max(0.0) } else { 0.0 };
        self.tokens = (self.tokens + elapsed * rate).min(burst);
        let available = usize::from(max_in_flight).saturating_sub(loading);
        available.min(self.tokens as usize)
    }

    /// Consumes the token of a load that starts.
    pub(crate) fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}
