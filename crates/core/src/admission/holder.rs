//! The holder of an entry's share of a service's rate.

use kumquatkeel_types::Timestamp;

use super::{GRANT_TTL, ShareGrant, ShareGranter};

/// The weight of the last interval, about one second, in the moving average of the demand.
const DEMAND_WEIGHT: f64 = 0.5;
/// The smallest demand for which a share is requested, in requests per second.
const MIN_DEMAND: f64 = 0.01;

/// What to do about the share of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ShareStep {
    /// Request a share from the granter.
    Ask {
        /// The demand, in requests per second.
        demand: f64,
    },
    /// Request nothing, because the entry has no requests for the service.
    Idle,
}

/// One entry's share of one service's rate.
#[derive(Debug, Clone, Default)]
pub struct ShareHolder {
    demand: f64,
    updated: Timestamp,
    granted: f64,
    expires: Timestamp,
}

impl ShareHolder {
    /// Updates the demand with the requests that have arrived since the last call.
    pub fn record_arrivals(&mut self, arrivals: u64, now: Timestamp) -> ShareStep {
        let seconds = now.since(self.updated).as_secs_f64();
        if seconds > 0.0 {
            let rate = arrivals as f64 / seconds;
            self.demand += (rate - self.demand) * DEMAND_WEIGHT;
            self.updated = now;
        }
        if self.demand < MIN_DEMAND {
            return ShareStep::Idle;
        }
        ShareStep::Ask {
            demand: self.demand,
        }
    }

    /// Replaces the grant with the reply to a request sent at `sent`.
    ///
    /// The lifetime counts from `sent`, so that the grant expires here no later than at the
    /// granter.
    pub fn set_grant(&mut self, grant: ShareGrant, sent: Timestamp) {
        let ttl = std::time::Duration::from_millis(grant.life_ms).min(GRANT_TTL);
        self.granted = grant.rate.max(0.0);
        self.expires = sent.after(ttl);
    }

    /// Returns the entry's share of `rate`, in requests per second: its grant until that expires,
    /// and its part of the reserved rate.
    pub fn rate(&self, rate: f64, live_entries: usize, now: Timestamp) -> f64 {
        let granted = if now < self.expires {
            self.granted
        } else {
            0.0
        };
        granted + ShareGranter::reserved(rate, live_entries)
    }
}
