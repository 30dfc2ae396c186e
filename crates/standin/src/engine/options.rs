//! Size and speed of an engine's stand-in.

use std::time::Duration;

use kumquatkeel_types::ModelId;
use kumquatkeel_types::document::{Adapter, Fencing, Model, RawDocument, Target};

use super::WeightStore;

/// Settings of an [`Engine`](super::Engine).
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// The number of accelerators.
    pub accelerators: u16,
    /// Memory of each accelerator, in megabytes.
    pub accelerator_mb: u32,
    /// Whether an order with an old fencing token is refused.
    pub fencing: Fencing,
    /// The models whose weights it can load.
    pub models: Vec<Model>,
    /// The adapters that it can load.
    pub adapters: Vec<Adapter>,
    /// Time to load a model without contention in the weight store.
    pub load_time: Duration,
    /// Time to load an adapter.
    pub adapter_time: Duration,
    /// Time to unload a model or an adapter.
    pub unload_time: Duration,
    /// The time between two tokens of a request that runs alone.
    pub token_gap: Duration,
    /// What each further request in the batch adds to the time between tokens.
    pub batch_gap: Duration,
    /// The time for each prefix block of a prompt that is not in the cache.
    pub block_time: Duration,
    /// Delay after which load reports and cache events are visible.
    pub report_lag: Duration,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// The store that models are loaded from.
    pub weights: WeightStore,
}

impl EngineOptions {
    /// Creates the settings of an engine target from its configuration document.
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

    /// Sets the time to load a model and the time to load an adapter.
    #[must_use]
    pub const fn with_load_times(mut self, model: Duration, adapter: Duration) -> Self {
        self.load_time = model;
        self.adapter_time = adapter;
        self
    }

    /// Sets the time between tokens of a request that runs alone, and what each further request in
    /// the batch adds.
    #[must_use]
    pub const fn with_token_gap(mut self, alone: Duration, batch: Duration) -> Self {
        self.token_gap = alone;
        self.batch_gap = batch;
        self
    }

    /// Sets the store that models are loaded from.
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
