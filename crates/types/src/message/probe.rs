//! Load probes that an entry sends to an agent before it chooses a target.

use serde::{Deserialize, Serialize};

use crate::{AdapterName, Incarnation, ModelId};

/// Asks an agent whether a model is resident and how loaded its replicas are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProbeRequest {
    /// The model; `None` for a plain call.
    pub model: Option<ModelId>,
    /// The adapter; `None` for the model itself or a plain call.
    pub adapter: Option<AdapterName>,
}

/// The load as the agent counts it, without the delay of the engine's own load reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that can run concurrently.
    pub slots: u32,
}

/// The agent's reply to a probe.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeReply {
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// Whether the agent is draining and accepts no new work.
    pub draining: bool,
    /// Whether the model and adapter are resident.
    pub resident: bool,
    /// The load of the model's replicas on the target.
    pub load: LoadSummary,
}
