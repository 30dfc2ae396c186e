//! The division of a service's rate among the entries.
//!
//! The entry that comes first in the rendezvous order for the service grants the shares. Each
//! other entry asks it about once a second, with its demand as the weight, while it has requests
//! for the service. A grant ends by itself, so that the share of an entry that died comes back, and
//! a new granter waits as long before its first grant, so that the old one's have ended. A part of
//! the rate is reserved in equal shares for entries that hold no grant.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_types::{EntryName, Timestamp};
use serde::{Deserialize, Serialize};

/// How long a grant holds.
pub const GRANT_TTL: Duration = Duration::from_secs(3);
/// The part of the rate that all entries share equally, whatever is granted.
const RESERVED_PART: f64 = 0.1;

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
#[derive(Debug, Clone)]
pub struct ShareGranter {
    opens: Timestamp,
    asked: BTreeMap<EntryName, Asked>,
}

impl ShareGranter {
    /// Makes a granter that begins to grant when all earlier grants have ended.
    pub const fn new(now: Timestamp) -> Self {
        Self {
            opens: now.after(GRANT_TTL),
            asked: BTreeMap::new(),
        }
    }

    /// Grants a share of `rate` to an entry with `demand` requests a second.
    ///
    /// The grants that hold at any time never add up to more than `rate`. A first grant may so be
    /// small until the other entries have renewed theirs.
    pub fn grant(
        &mut self,
        entry: &EntryName,
        demand: f64,
        rate: f64,
        now: Timestamp,
    ) -> ShareGrant {
        self.asked.retain(|_, asked| now < asked.until);
        let demand = if demand.is_finite() {
            demand.max(0.0)
        } else {
            0.0
        };
        let others = self.asked.iter().filter(|(name, _)| *name != entry);
        let outstanding: f64 = others.clone().map(|(_, asked)| asked.granted).sum();
        let demands: Vec<f64> = others.map(|(_, a)| a.demand).chain([demand]).collect();
        let granted_part = rate * (1.0 - RESERVED_PART);
        let level = water_level(&demands, granted_part);
        let fair = spread(&demands, demand, level, granted_part);
        let granted = if now < self.opens {
            0.0
        } else {
            fair.min(granted_part - outstanding).max(0.0)
        };
        let until = now.after(GRANT_TTL);
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
            life_ms: GRANT_TTL.as_millis() as u64,
        }
    }

    /// Returns the share that an entry has without a grant: its part of what is reserved.
    pub fn reserved(rate: f64, live_entries: usize) -> f64 {
        rate * RESERVED_PART / live_entries.max(1) as f64
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
