//! The division of a service's rate among the entries.
//!
//! The entry that ranks first for the service by rendezvous hashing grants the shares. While it has
//! requests for the service, each other entry asks the granter about once a second for a share,
//! weighted by its demand. A grant expires by itself, so that the share of a failed entry becomes
//! free again. A new granter waits for the lifetime of a grant before its first one, until all
//! grants of its predecessor have expired. A part of the rate is reserved in equal shares, so that
//! an entry without a grant can still admit requests.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_types::{EntryName, Timestamp};
use serde::{Deserialize, Serialize};

/// The lifetime of a grant.
pub const GRANT_TTL: Duration = Duration::from_secs(3);
/// The fraction of the rate that is not granted but shared equally by all entries.
const RESERVED_FRACTION: f64 = 0.1;

/// A granted share of a service's rate, as sent to the entry.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The share, in requests per second.
    pub rate: f64,
    /// The lifetime of the grant in milliseconds, counted from when the entry sent its request.
    pub life_ms: u64,
}

/// The last demand and grant of one entry.
#[derive(Debug, Clone, Copy)]
struct HeldGrant {
    demand: f64,
    granted: f64,
    expires: Timestamp,
}

/// Grants the shares of one service's rate.
#[derive(Debug, Clone)]
pub struct ShareGranter {
    grants_from: Timestamp,
    grants: BTreeMap<EntryName, HeldGrant>,
}

impl ShareGranter {
    /// Creates a granter that starts to grant once all grants of its predecessor have expired.
    pub const fn new(now: Timestamp) -> Self {
        Self {
            grants_from: now.after(GRANT_TTL),
            grants: BTreeMap::new(),
        }
    }

    /// Grants a share of `rate` to an entry with a demand of `demand` requests per second.
    ///
    /// The sum of the valid grants never exceeds `rate`. A first grant may therefore be small until
    /// the other entries have renewed theirs.
    pub fn grant(
        &mut self,
        entry: &EntryName,
        demand: f64,
        rate: f64,
        now: Timestamp,
    ) -> ShareGrant {
        self.grants.retain(|_, held| now < held.expires);
        let demand = if demand.is_finite() {
            demand.max(0.0)
        } else {
            0.0
        };
        let others = self.grants.iter().filter(|(name, _)| *name != entry);
        let outstanding: f64 = others.clone().map(|(_, held)| held.granted).sum();
        let demands: Vec<f64> = others
            .map(|(_, held)| held.demand)
            .chain([demand])
            .collect();
        let grantable = rate * (1.0 - RESERVED_FRACTION);
        let level = fair_level(&demands, grantable);
        let fair = fair_share(&demands, demand, level, grantable);
        let granted = if now < self.grants_from {
            0.0
        } else {
            fair.min(grantable - outstanding).max(0.0)
        };
        let expires = now.after(GRANT_TTL);
        self.grants.insert(
            entry.clone(),
            HeldGrant {
                demand,
                granted,
                expires,
            },
        );
        ShareGrant {
            rate: granted,
            life_ms: GRANT_TTL.as_millis() as u64,
        }
    }

    /// Returns the share of the reserved rate that each live entry has without a grant.
    pub fn reserved(rate: f64, live_entries: usize) -> f64 {
        rate * RESERVED_FRACTION / live_entries.max(1) as f64
    }

    /// Returns the sum of the valid grants, in requests per second.
    pub fn outstanding(&self, now: Timestamp) -> f64 {
        let holding = self.grants.values().filter(|held| now < held.expires);
        holding.map(|held| held.granted).sum()
    }
}

/// Returns the share of `rate` for `demand`: the demand up to `level`, and an equal part of the
/// rate that no entry demands.
fn fair_share(demands: &[f64], demand: f64, level: f64, rate: f64) -> f64 {
    let met: f64 = demands.iter().map(|d| d.min(level)).sum();
    let remaining = (rate - met).max(0.0);
    demand.min(level) + remaining / demands.len() as f64
}

/// Returns the level up to which each demand is met within `rate` (max-min fairness); infinite if
/// all demands are met in full.
fn fair_level(demands: &[f64], rate: f64) -> f64 {
    let mut sorted = demands.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut remaining = rate;
    for (i, demand) in sorted.iter().enumerate() {
        let share = remaining / (sorted.len() - i) as f64;
        if *demand > share {
            return share;
        }
        remaining -= demand;
    }
    f64::INFINITY
}
