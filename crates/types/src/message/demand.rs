//! The demand that an entry has seen, for the holder of the placement lease.

use serde::{Deserialize, Serialize};

use crate::{AdapterName, ModelId};

/// The demand for one model at one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// The model.
    pub model: ModelId,
    /// The adapter; none for requests of the model itself.
    pub adapter: Option<AdapterName>,
    /// Requests a second over the last window.
    pub rate: f64,
    /// Requests a second that found no replica in time.
    pub unmet: f64,
    /// Requests in progress.
    pub running: u32,
}

/// The demand that one entry has seen; models without any are left out.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The demand by model and adapter.
    pub models: Vec<ModelDemand>,
}
