//! How much longer work waits because work of earlier bands arrives meanwhile.
//!
//! Load pattern: a flash crowd fills the urgent band up to its objective, and requests of the first
//! rank that arrive later are admitted before it. The work sent in the earlier bands, against the
//! engines that read it, tells which share of their time later arrivals take.

use std::time::Duration;

use kumquatkeel_types::Timestamp;

use super::engine::Band;

/// Half-life of the rates; a crowd arrives within a second.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// Largest share of the engines' time that arrivals of earlier bands are taken to need.
const MAX_SHARE: f64 = 0.6;
/// The same for deferred work, which is sent where little urgent work waits.
const MAX_DEFERRED_SHARE: f64 = 0.35;

/// The work that is sent in each band.
#[derive(Debug, Clone, Default)]
pub struct BandRates {
    first: f64,
    urgent: f64,
    updated: Option<Timestamp>,
    /// Engine time sent from here that stands for one engine's second: the entries, which share
    /// the load, over the engines.
    scale: f64,
}

impl BandRates {
    /// Sets the numbers of entries and of engines.
    pub fn set_fleet_size(&mut self, entries: usize, engines: usize) {
        self.scale = entries as f64 / engines.max(1) as f64;
    }

    /// Counts work that is sent.
    pub fn record(&mut self, work: Duration, band: Band, now: Timestamp) {
        let last = self.updated.replace(now).unwrap_or(now);
        let elapsed = now.since(last).as_secs_f64();
        let keep = 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64());
        self.first *= keep;
        self.urgent *= keep;
        // A sum that decays by half in each half-life is a rate times half-life / ln 2.
        let rate = work.as_secs_f64() * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        match band {
            Band::First => self.first += rate,
            Band::Urgent => self.urgent += rate,
            Band::Deferred => {}
        }
    }

    /// Returns the factor on the wait of a band.
    pub fn wait_factor(&self, band: Band) -> f64 {
        let (before, most) = match band {
            Band::First => (0.0, MAX_SHARE),
            Band::Urgent => (self.first, MAX_SHARE),
            Band::Deferred => (self.first + self.urgent, MAX_DEFERRED_SHARE),
        };
        1.0 / (1.0 - (before * self.scale).min(most))
    }
}
