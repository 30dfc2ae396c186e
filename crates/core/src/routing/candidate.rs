//! What a routing policy knows of the targets that could run a request.

use std::time::Duration;

use kumquatkeel_types::message::LoadSummary;
use kumquatkeel_types::{AdapterName, Incarnation, ModelId, ServiceName, TargetName};
use serde::{Deserialize, Serialize};

/// How far a target is from the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Distance {
    /// In the entry's data centre.
    SameCentre,
    /// In the entry's region.
    SameRegion,
    /// Across the regional link.
    OtherRegion,
}

/// What is to be routed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRequest {
    /// The service.
    pub service: ServiceName,
    /// The model; none for a plain call.
    pub model: Option<ModelId>,
    /// The adapter.
    pub adapter: Option<AdapterName>,
    /// Hashes of the prompt's leading blocks, shortest prefix first.
    pub prefix: Vec<u64>,
    /// The priority, from 0 (first) to 9 (last).
    pub priority: u8,
    /// The time left until the first token is due.
    pub first_token: Duration,
    /// Bytes of the request and its expected answer, for the regional link's budget.
    pub bytes: u64,
}

/// A target that offers the request's model or plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The target.
    pub target: TargetName,
    /// How far it is.
    pub distance: Distance,
    /// The agent's life, as last heard.
    pub incarnation: Incarnation,
    /// Whether the adapter is ready, when the request names one.
    pub adapter_ready: bool,
    /// The load of the model's replicas there, as last heard.
    pub load: LoadSummary,
    /// How old that load is.
    pub load_age: Duration,
    /// Requests that this entry has there now.
    pub in_flight: u32,
    /// Leading prompt blocks that the target is believed to cache.
    pub prefix_hits: u32,
    /// The share of normal traffic that the target may take: 1 but after a load or an ejection.
    pub weight: f64,
}
