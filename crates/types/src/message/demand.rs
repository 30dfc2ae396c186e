//! Demand measured by an entry, reported to the holder of the placement lease.

use serde::{Deserialize, Serialize};

use crate::{AdapterName, ModelId};

/// The demand for a model, or for one of its adapters, at one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// The model.
    pub model: ModelId,
    /// The adapter; `None` for requests that name the model itself.
    pub adapter: Option<AdapterName>,
    /// Requests per second over the last window.
    pub rate: f64,
    /// Requests per second over the same window for which no replica was available in time.
    pub unmet: f64,
    /// Number of requests in progress.
    pub running: u32,
}

/// The demand at one entry; models without demand are left out.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// One item per model and adapter.
    pub models: Vec<ModelDemand>,
}
