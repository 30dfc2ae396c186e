//! Questions to an agent about its load.

use serde::{Deserialize, Serialize};

use crate::{AdapterName, Incarnation, ModelId};

/// Asks how soon a request for a model could start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProbeRequest {
    /// The model; none for a plain call.
    pub model: Option<ModelId>,
    /// The adapter.
    pub adapter: Option<AdapterName>,
}

/// The load that an agent counts itself, without the engine's lag.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at a time.
    pub slots: u32,
}

/// The agent's answer to a probe.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeReply {
    /// The agent's life.
    pub incarnation: Incarnation,
    /// Whether the agent takes no new work.
    pub draining: bool,
    /// Whether the model and adapter are resident.
    pub resident: bool,
    /// The load of the model's replicas on the target.
    pub load: LoadSummary,
}
