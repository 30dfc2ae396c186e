//! The inputs of a routing decision: a request and the targets that could run it.

use std::time::Duration;

use kumquatkeel_types::message::LoadSummary;
use kumquatkeel_types::{AdapterName, Incarnation, ModelId, ServiceName, TargetName};
use serde::{Deserialize, Serialize};

/// The network distance of a target from the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Distance {
    /// In the entry's data centre.
    SameCentre,
    /// In another data centre of the entry's region.
    SameRegion,
    /// In another region, across the regional link.
    OtherRegion,
}

/// The properties of a request that routing depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRequest {
    /// The service that is called.
    pub service: ServiceName,
    /// The model to run; `None` for a call of a plain service.
    pub model: Option<ModelId>,
    /// The adapter to apply to the model; `None` for the model itself.
    pub adapter: Option<AdapterName>,
    /// Hashes of the prompt's leading blocks, shortest prefix first.
    pub prefix: Vec<u64>,
    /// The priority, from 0 (first) to 9 (last).
    pub priority: u8,
    /// The time left until the first token is due.
    pub first_token: Duration,
    /// The size of the request and its expected answer in bytes, charged to the regional link's
    /// budget when the target is in another region.
    pub bytes: u64,
}

/// A target that offers the request's model or plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The target's name.
    pub target: TargetName,
    /// The distance from the entry.
    pub distance: Distance,
    /// The last known incarnation of the target's agent.
    pub incarnation: Incarnation,
    /// Whether the request's adapter is ready on the target; true if the request names none.
    pub adapter_ready: bool,
    /// The total load of the model's replicas on the target, as last reported or probed,
    /// with this entry's own attempts since then counted in.
    pub load: LoadSummary,
    /// The time since that report or probe.
    pub load_age: Duration,
    /// This entry's attempts in progress on the target.
    pub in_flight: u32,
    /// The number of leading prompt blocks that the target probably caches.
    pub prefix_hits: u32,
    /// The fraction of its normal traffic that the target may take: below 1 only during the slow
    /// start after a load or an ejection.
    pub weight: f64,
}
