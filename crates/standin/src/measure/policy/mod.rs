//! The measurement of placement and routing policies under load and faults.
//!
//! A deterministic discrete-event driver runs the decisions that serve in production
//! (`kumquatkeel_core`: placement, routing, admission, retries, the request's flow, the agent's
//! gate, order desk and memory account) against small fakes of engines, plain services, the weight
//! store and the network. The same seed gives the same lines, byte for byte.
//!
//! ```
//! use kumquatkeel_standin::measure::policy::{PolicyOptions, Workload, run};
//!
//! let options = PolicyOptions {
//!     workload: Some(Workload::Cooperative),
//!     policy: Some("demand+least-loaded".into()),
//!     seconds: 20,
//!     ..PolicyOptions::default()
//! };
//! let lines = run(&options);
//! assert_eq!(lines.len(), 1);
//! assert_eq!(lines[0].memory_violations, 0);
//! ```

mod agent;
mod agents;
mod control;
mod engine;
mod entry;
mod event;
mod fault;
mod line;
mod network;
mod plan;
mod requests;
mod schedule;
mod tally;
mod weights;
mod workload;
mod world;

pub use line::PolicyLine;
pub use workload::Workload;

use workload::Site;
use world::World;

/// Length of a measured evening, in seconds.
const EVENING_SECS: u64 = 1_200;

/// What to measure.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyOptions {
    /// The workload; all when there is none.
    pub workload: Option<Workload>,
    /// The seed of demand, faults and decisions.
    pub seed: u64,
    /// Whether faults are injected.
    pub faults: bool,
    /// The weight of moves against attainment, from 0 to 1; the document's default without one.
    pub moves_weight: Option<f64>,
    /// The policy by its name; the four that are compared when there is none.
    pub policy: Option<String>,
    /// The offered load, as a multiple of the workload's.
    pub load: f64,
    /// Length of the evening, in seconds.
    pub seconds: u64,
}

impl Default for PolicyOptions {
    fn default() -> Self {
        Self {
            workload: None,
            seed: 1,
            faults: false,
            moves_weight: None,
            policy: None,
            load: 1.0,
            seconds: EVENING_SECS,
        }
    }
}

/// A placement policy together with a routing policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Contender {
    name: &'static str,
    placement: &'static str,
    routing: &'static str,
    unlimited: bool,
    by_name: bool,
}

/// The pairs that are compared, and those that are only run by name: a placement or a routing policy
/// exchanged alone, and a bound.
const CONTENDERS: [Contender; 7] = [
    Contender::of("static+round-robin", "static", "round-robin"),
    Contender::of("static+least-in-flight", "static", "least-in-flight"),
    Contender::of("greedy+least-in-flight", "greedy", "least-in-flight"),
    Contender::of("demand+least-loaded", "demand", "least-loaded"),
    Contender::named("static+least-loaded", "static", "least-loaded"),
    Contender::named("demand+least-in-flight", "demand", "least-in-flight"),
    Contender {
        name: "unlimited-memory",
        placement: "static",
        routing: "least-loaded",
        unlimited: true,
        by_name: true,
    },
];

impl Contender {
    const fn of(name: &'static str, placement: &'static str, routing: &'static str) -> Self {
        Self {
            name,
            placement,
            routing,
            unlimited: false,
            by_name: false,
        }
    }

    /// Makes a pair that is only run when its name is asked for.
    const fn named(name: &'static str, placement: &'static str, routing: &'static str) -> Self {
        Self {
            by_name: true,
            ..Self::of(name, placement, routing)
        }
    }
}

/// Returns the names by which [`PolicyOptions::policy`] chooses.
pub fn policy_names() -> impl Iterator<Item = &'static str> {
    CONTENDERS.iter().map(|c| c.name)
}

/// Runs the measurement; a policy that isn't known gives no line.
pub fn run(options: &PolicyOptions) -> Vec<PolicyLine> {
    let workloads = match options.workload {
        Some(workload) => vec![workload],
        None => vec![Workload::Cooperative, Workload::Association],
    };
    let mut lines = Vec::new();
    for workload in workloads {
        for contender in chosen(options) {
            let site = Site::new(workload, contender, options);
            lines.extend(World::new(site, options).map(World::run));
        }
    }
    lines
}

fn chosen(options: &PolicyOptions) -> Vec<Contender> {
    let wanted = |c: &&Contender| match &options.policy {
        Some(name) => c.name == name,
        None => !c.by_name,
    };
    CONTENDERS.iter().filter(wanted).copied().collect()
}
