//! The extra wait that later arrivals in higher bands cause.
//!
//! During a flash crowd the urgent band fills up to its objective, and requests of the first band
//! that arrive later are admitted before it. The rate of work sent in the higher bands, relative to
//! the engines that process it, shows which share of their time later arrivals take.

use std::time::Duration;

use kumquatkeel_types::Timestamp;

use super::engine::Band;

/// Half-life of the rates; a flash crowd arrives within a second.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// Largest share of the engines' time that arrivals in higher bands are assumed to take.
const MAX_SHARE: f64 = 0.6;
/// The same limit for deferred work, which is sent where little urgent work waits.
const MAX_DEFERRED_SHARE: f64 = 0.35;

/// The rate of work that an entry sends in each band.
#[derive(Debug, Clone, Default)]
pub struct BandRates {
    first: f64,
    urgent: f64,
    updated: Option<Timestamp>,
    /// Converts a rate of this entry into the utilisation of one engine: the number of entries,
    /// which share the load, divided by the number of engines.
    scale: f64,
}

impl BandRates {
    /// Sets the number of entries that share the load and the number of engines that serve it.
    pub fn set_fleet_size(&mut self, entries: usize, engines: usize) {
        self.scale = entries as f64 / engines.max(1) as f64;
    }

    /// Records work that is sent to an engine.
    pub fn record(&mut self, work: Duration, band: Band, now: Timestamp) {
        let last = self.updated.replace(now).unwrap_or(now);
        let elapsed = now.since(last).as_secs_f64();
        let keep = 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64());
        self.first *= keep;
        self.urgent *= keep;
        // A sum that decays by half in each half-life equals the rate times half-life / ln 2.
        let rate = work.as_secs_f64() * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        match band {
            Band::First => self.first += rate,
            Band::Urgent => self.urgent += rate,
            Band::Deferred => {}
        }
    }

    /// Returns the factor by which later arrivals in higher bands lengthen the wait of a band.
    pub fn wait_factor(&self, band: Band) -> f64 {
        let (higher, limit) = match band {
            Band::First => (0.0, MAX_SHARE),
            Band::Urgent => (self.first, MAX_SHARE),
            Band::Deferred => (self.first + self.urgent, MAX_DEFERRED_SHARE),
        };
        1.0 / (1.0 - (higher * self.scale).min(limit))
    }
}
