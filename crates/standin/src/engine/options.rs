//! How large and how fast an engine is.

use std::time::Duration;

use kumquatkeel_types::ModelId;
use kumquatkeel_types::document::{Adapter, Fencing, Model, RawDocument, Target};

use super::WeightStore;

/// Settings of an engine's stand-in.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// The number of accelerators.
    pub accelerators: u16,
    /// Memory of each accelerator, in megabytes.
    pub accelerator_mb: u32,
    /// Whether an order with an old fencing number is refused.
    pub fencing: Fencing,
    /// The models whose weights it can load.
    pub models: Vec<Model>,
    /// The adapters that it can load.
    pub adapters: Vec<Adapter>,
    /// How long a model loads.
    pub load_time: Duration,
    /// How long an adapter loads.
    pub adapter_time: Duration,
    /// How long a model or an adapter unloads.
    pub unload_time: Duration,
    /// The time between two tokens of a request that runs alone.
    pub token_gap: Duration,
    /// What each further request in the batch adds to the time between tokens.
    pub batch_gap: Duration,
    /// The time for each prefix block of a prompt that is not in the cache.
    pub block_time: Duration,
    /// How far load reports and cache events lag.
    pub report_lag: Duration,
    /// Prefix blocks that the cache holds.
    pub cache_blocks: usize,
    /// Where weights come from.
    pub weights: WeightStore,
}

impl EngineOptions {
    /// Makes the settings of a document's engine target.
    pub fn of_target(document: &RawDocument, target: &Target) -> Self {
        Self {
            accelerators: target.accelerators,
            accelerator_mb: target.accelerator_mb,
            fencing: target.fencing,
            models: document.models.clone(),
            adapters: document.adapters.clone(),
            ..Self::default()
        }
    }

    /// Returns the model with this identity.
    pub fn model(&self, id: &ModelId) -> Option<&Model> {
        self.models.iter().find(|model| model.id() == *id)
    }

    /// Sets how long a model and an adapter load and unload.
    #[must_use]
    pub const fn with_load_times(mut self, model: Duration, adapter: Duration) -> Self {
        self.load_time = model;
        self.adapter_time = adapter;
        self
    }

    /// Sets the time between tokens, alone and for each further request in the batch.
    #[must_use]
    pub const fn with_token_gap(mut self, alone: Duration, batch: Duration) -> Self {
        self.token_gap = alone;
        self.batch_gap = batch;
        self
    }

    /// Sets where weights come from.
    #[must_use]
    pub fn with_weights(mut self, weights: WeightStore) -> Self {
        self.weights = weights;
        self
    }
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            accelerators: 1,
            accelerator_mb: 80_000,
            fencing: Fencing::Ignored,
            models: Vec::new(),
            adapters: Vec::new(),
            load_time: Duration::from_secs(4),
            adapter_time: Duration::from_millis(12),
            unload_time: Duration::from_millis(200),
            token_gap: Duration::from_millis(15),
            batch_gap: Duration::from_micros(500),
            block_time: Duration::from_millis(1),
            report_lag: Duration::from_millis(500),
            cache_blocks: 4_096,
            weights: WeightStore::unlimited(),
        }
    }
}
