//! The two workloads at the users' present sizes.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use kumquatkeel_types::document::{Document, RawDocument};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::{Contender, PolicyOptions};

/// Memory of an accelerator, in megabytes.
const ACCELERATOR_MB: u64 = 80_000;
/// Memory of the models' weights in turn, in megabytes.
const WEIGHTS_MB: [u64; 7] = [14_000, 16_000, 20_000, 24_000, 30_000, 36_000, 40_000];
/// Memory of a replica's KV cache, in megabytes.
const KV_MB: u64 = 8_000;
/// Memory of an adapter, in megabytes.
const ADAPTER_MB: u64 = 200;
/// Requests that a replica runs at a time.
const SLOTS: u64 = 32;
/// Engines, each with one accelerator.
const ENGINES: usize = 9;
/// Targets of the plain service.
const PLAIN_TARGETS: usize = 3;

/// A user's workload.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Workload {
    /// The Co-operative's: 14 models, 40 adapters, drafts of about 200 tokens.
    #[display("cooperative")]
    Cooperative,
    /// The Association's: 13 models, 55 adapters, reports of about 300 tokens.
    #[display("association")]
    Association,
}

/// The sizes in which the workloads differ.
#[derive(Debug, Clone, Copy)]
struct Sizes {
    regions: [&'static str; 2],
    centres: [&'static str; 3],
    services: [&'static str; 2],
    models: usize,
    adapters: usize,
    load_flight: u64,
    adapter_flight: u64,
    client: Duration,
    tokens: (u32, u32),
}

impl Workload {
    const fn sizes(self) -> Sizes {
        match self {
            Self::Cooperative => Sizes {
                regions: ["amman", "irbid"],
                centres: ["amman-a", "amman-b", "irbid-a"],
                services: ["puzzle-assist", "swap-desk"],
                models: 14,
                adapters: 40,
                load_flight: 6,
                adapter_flight: 50,
                client: Duration::from_millis(1),
                tokens: (60, 340),
            },
            Self::Association => Sizes {
                regions: ["kolkata", "siliguri"],
                centres: ["kol-salt", "kol-how", "sil-mat"],
                services: ["survey-assist", "dispatch-desk"],
                models: 13,
                adapters: 55,
                load_flight: 5,
                adapter_flight: 40,
                client: Duration::from_millis(3),
                tokens: (100, 500),
            },
        }
    }
}

/// A workload with the policies that serve it.
#[derive(Debug, Clone)]
pub(super) struct Site {
    /// The workload.
    pub(super) workload: Workload,
    /// The name of the policies.
    pub(super) policy: &'static str,
    /// The configuration.
    pub(super) document: Arc<Document>,
    /// One way from a caller to an entry.
    pub(super) client: Duration,
    /// Fewest and most tokens of an answer.
    pub(super) tokens: (u32, u32),
}

impl Site {
    /// Makes the site of a workload under the policies of a contender.
    pub(super) fn new(workload: Workload, contender: Contender, options: &PolicyOptions) -> Self {
        let sizes = workload.sizes();
        let mut value = document(&sizes, contender);
        if let Some(weight) = options.moves_weight {
            value["policy"]["moves_weight"] = weight.into();
        }
        let raw: RawDocument = serde_json::from_value(value).expect("the workload's document");
        Self {
            workload,
            policy: contender.name,
            document: Arc::new(Document::try_from(raw).expect("a document without faults")),
            client: sizes.client,
            tokens: sizes.tokens,
        }
    }
}

fn document(sizes: &Sizes, contender: Contender) -> Value {
    let [completions, plain] = sizes.services;
    json!({
        "regions": [
            { "name": sizes.regions[0], "data_centres": &sizes.centres[..2] },
            { "name": sizes.regions[1], "data_centres": &sizes.centres[2..] },
        ],
        "models": models(sizes),
        "adapters": adapters(sizes),
        "services": [
            { "name": completions, "kind": "completions", "first_token_ms": 680, "token_gap_ms": 49 },
            { "name": plain, "kind": "plain", "idempotent": false, "deadline_ms": 2_000 },
        ],
        "deployments": [{
            "name": "assist",
            "service": completions,
            "models": (0..sizes.models)
                .map(|i| json!({ "name": model_name(i), "version": "1", "floor": 1 }))
                .collect::<Vec<_>>(),
            "adapters": (0..sizes.adapters).map(adapter_name).collect::<Vec<_>>(),
            "data_centres": sizes.centres,
        }],
        "targets": targets(sizes, contender),
        "policy": {
            "routing": contender.routing,
            "placement": contender.placement,
            "load_flight": sizes.load_flight,
            "adapter_flight": sizes.adapter_flight,
        },
    })
}

/// Returns the name of a model by its number.
pub(super) fn model_name(index: usize) -> String {
    format!("model-{index:02}")
}

/// Returns the name of an adapter by its number.
pub(super) fn adapter_name(index: usize) -> String {
    format!("adapter-{index:02}")
}

fn models(sizes: &Sizes) -> Vec<Value> {
    let model = |i: usize| {
        json!({
            "name": model_name(i),
            "version": "1",
            "memory_mb": WEIGHTS_MB[i % WEIGHTS_MB.len()],
            "kv_mb": KV_MB,
            "slots": SLOTS,
        })
    };
    (0..sizes.models).map(model).collect()
}

fn adapters(sizes: &Sizes) -> Vec<Value> {
    let adapter = |i: usize| {
        json!({
            "name": adapter_name(i),
            "model": model_name(i % sizes.models),
            "memory_mb": ADAPTER_MB,
        })
    };
    (0..sizes.adapters).map(adapter).collect()
}

fn targets(sizes: &Sizes, contender: Contender) -> Vec<Value> {
    let needed_mb: u64 = (0..sizes.models)
        .map(|i| WEIGHTS_MB[i % WEIGHTS_MB.len()] + KV_MB)
        .sum();
    let adapters_mb = sizes.adapters as u64 * ADAPTER_MB;
    let accelerator_mb = if contender.unlimited {
        needed_mb + adapters_mb
    } else {
        ACCELERATOR_MB
    };
    let engine = |i: usize| {
        json!({
            "name": format!("engine-{i}"),
            "data_centre": sizes.centres[i % 3],
            "kind": "engine",
            "agent": format!("127.0.0.1:{}", 9_000 + i),
            "accelerators": 1,
            "accelerator_mb": accelerator_mb,
            "fencing": if i.is_multiple_of(2) { "enforced" } else { "ignored" },
        })
    };
    let plain = |i: usize| {
        json!({
            "name": format!("plain-{i}"),
            "data_centre": sizes.centres[i % 3],
            "kind": "plain",
            "agent": format!("127.0.0.1:{}", 9_100 + i),
            "services": [sizes.services[1]],
            "slots": SLOTS,
        })
    };
    let engines = (0..ENGINES).map(engine);
    engines.chain((0..PLAIN_TARGETS).map(plain)).collect()
}
