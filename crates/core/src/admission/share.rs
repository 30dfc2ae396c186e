//! The division of a service's rate among the entries.
//!
//! The entry that comes first in the rendezvous order for the service grants the shares. Each
//! other entry asks it about once a second, with its demand as the weight, while it has requests
//! for the service. A grant ends by itself, so that the share of an entry that died comes back.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_types::{EntryName, Timestamp};
use serde::{Deserialize, Serialize};

/// How long a grant holds.
pub const SHARE_LIFE: Duration = Duration::from_secs(3);
/// The part of the rate that is spread evenly, so that an entry's first requests find a share.
const EVEN_PART: f64 = 0.1;

/// A share of a service's rate.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// Requests a second.
    pub rate: f64,
    /// How long the grant holds, in milliseconds from the sending of the question.
    pub life_ms: u64,
}

/// One entry's last question.
#[derive(Debug, Clone, Copy)]
struct Asked {
    demand: f64,
    granted: f64,
    until: Timestamp,
}

/// The shares that one entry has granted of one service's rate.
#[derive(Debug, Clone, Default)]
pub struct RateShares {
    asked: BTreeMap<EntryName, Asked>,
}

impl RateShares {
    /// Grants a share of `rate` to an entry with `demand` requests a second.
    ///
    /// The grants that hold at any time never add up to more than `rate`. A first grant may so be
    /// small until the other entries have renewed theirs.
    pub fn ask(&mut self, entry: &EntryName, demand: f64, rate: f64, now: Timestamp) -> ShareGrant {
        self.asked.retain(|_, asked| now < asked.until);
        let demand = if demand.is_finite() {
            demand.max(0.0)
        } else {
            0.0
        };
        let others = self.asked.iter().filter(|(name, _)| *name != entry);
        let outstanding: f64 = others.clone().map(|(_, asked)| asked.granted).sum();
        let demands: Vec<f64> = others.map(|(_, a)| a.demand).chain([demand]).collect();
        let even = rate * EVEN_PART / demands.len() as f64;
        let level = water_level(&demands, rate * (1.0 - EVEN_PART));
        let fair = even + spread(&demands, demand, level, rate * (1.0 - EVEN_PART));
        let granted = fair.min(rate - outstanding).max(0.0);
        let until = now.after(SHARE_LIFE);
        self.asked.insert(
            entry.clone(),
            Asked {
                demand,
                granted,
                until,
            },
        );
        ShareGrant {
            rate: granted,
            life_ms: SHARE_LIFE.as_millis() as u64,
        }
    }

    /// Returns the share that an entry takes while nobody grants one: an equal part.
    pub fn fallback(rate: f64, live_entries: usize) -> f64 {
        rate / live_entries.max(1) as f64
    }

    /// Returns the sum of the grants that hold.
    pub fn outstanding(&self, now: Timestamp) -> f64 {
        let holding = self.asked.values().filter(|asked| now < asked.until);
        holding.map(|asked| asked.granted).sum()
    }
}

/// Returns the part of `rate` for `demand`: met up to the level, and what is left over in equal
/// parts.
fn spread(demands: &[f64], demand: f64, level: f64, rate: f64) -> f64 {
    let met: f64 = demands.iter().map(|d| d.min(level)).sum();
    let left = (rate - met).max(0.0);
    demand.min(level) + left / demands.len() as f64
}

/// Returns the level up to which every demand can be met within `rate` (max-min fairness).
fn water_level(demands: &[f64], rate: f64) -> f64 {
    let mut sorted = demands.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut left = rate;
    for (i, demand) in sorted.iter().enumerate() {
        let part = left / (sorted.len() - i) as f64;
        if *demand > part {
            return part;
        }
        left -= demand;
    }
    f64::INFINITY
}
