//! The cost of each role at several sizes, and the slope that follows.
//!
//! Each probe drives the product's own structures at growing sizes. Bytes are those of the
//! serialised messages and of HTTP heads; processor time is that of the measuring thread; memory is
//! what the structures hold of the allocator. Rates that a probe assumes are those
//! of the design size and are named beside it.

mod agent;
mod entry;
mod fit;
mod fleet;
mod ledger;
mod planner;
mod process;
mod relay;
mod store;

use serde::{Deserialize, Serialize};

pub use fit::Slope;

/// Bytes of the HTTP heads of one request and its answer.
const HEAD_BYTES: f64 = 400.0;

/// What a role costs at one size.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The size, in units of the line's axis.
    pub size: f64,
    /// Control bytes a second, both ways.
    pub bytes: f64,
    /// Milliseconds of processor time a second.
    pub cpu_ms: f64,
    /// Memory, in bytes.
    pub memory: f64,
    /// Calls of the platform's store a second.
    pub calls: f64,
}

/// The costs of one role over one axis.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlopeLine {
    /// The role.
    pub role: String,
    /// What the size counts.
    pub axis: String,
    /// The costs at each size.
    pub samples: Vec<Sample>,
    /// The fitted cost of one more unit, and of none.
    pub slope: Slope,
}

impl SlopeLine {
    fn of(role: &str, axis: &str, samples: Vec<Sample>) -> Self {
        let slope = Slope::fit(&samples);
        Self {
            role: role.into(),
            axis: axis.into(),
            samples,
            slope,
        }
    }
}

/// Measures all roles, one line each; blocks, and starts a runtime of its own.
pub fn run() -> Vec<SlopeLine> {
    vec![
        entry::probe(),
        relay::probe(),
        agent::probe(),
        planner::probe(),
        ledger::probe(),
        store::probe(),
    ]
}
