//! The share of a service's rate that one entry holds.

use kumquatkeel_types::Timestamp;

use super::{GRANT_TTL, ShareGrant, ShareGranter};

/// The weight of the last second in the smoothed demand.
const SMOOTHING: f64 = 0.5;
/// A demand below this, in requests a second, counts as none.
const LEAST_DEMAND: f64 = 0.01;

/// What to do about a share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ShareStep {
    /// Ask the granter for a share.
    Ask {
        /// The demand, in requests a second.
        demand: f64,
    },
    /// The entry has no requests for the service.
    Idle,
}

/// One entry's share of one service's rate.
#[derive(Debug, Clone, Default)]
pub struct ShareHolder {
    demand: f64,
    counted: Timestamp,
    granted: f64,
    until: Timestamp,
}

impl ShareHolder {
    /// Takes in how many requests have come since the last call.
    pub fn record_arrivals(&mut self, arrivals: u64, now: Timestamp) -> ShareStep {
        let seconds = now.since(self.counted).as_secs_f64();
        if seconds > 0.0 {
            let rate = arrivals as f64 / seconds;
            self.demand += (rate - self.demand) * SMOOTHING;
            self.counted = now;
        }
        if self.demand < LEAST_DEMAND {
            return ShareStep::Idle;
        }
        ShareStep::Ask {
            demand: self.demand,
        }
    }

    /// Takes over a grant that was asked for at `sent`, from which its life counts.
    pub fn set_grant(&mut self, grant: ShareGrant, sent: Timestamp) {
        let life = std::time::Duration::from_millis(grant.life_ms).min(GRANT_TTL);
        self.granted = grant.rate.max(0.0);
        self.until = sent.after(life);
    }

    /// Returns the entry's share of `rate`, in requests a second.
    pub fn rate(&self, rate: f64, live_entries: usize, now: Timestamp) -> f64 {
        let granted = if now < self.until { self.granted } else { 0.0 };
        granted + ShareGranter::reserved(rate, live_entries)
    }
}
