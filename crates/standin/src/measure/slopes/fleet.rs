//! A fleet of a given size, with eight accelerators a target.

use std::sync::Arc;

use kumquatkeel_types::document::{
    Deployment, Document, Model, RawDocument, Region, ServedModel, Target,
};
use kumquatkeel_types::message::{
    LoadSummary, Member, MemberState, MemberVersion, ReplicaState, Residency, Role, TargetStatus,
};
use kumquatkeel_types::{DataCentreName, Incarnation, ModelId, Revision};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

/// Accelerators of one target.
pub(super) const ACCELERATORS: usize = 8;
/// Memory of each accelerator, in megabytes.
const ACCELERATOR_MB: u32 = 80_000;
/// Memory of a model's weights, in megabytes.
const MODEL_MB: u32 = 30_000;
/// Memory of a replica's KV cache, in megabytes.
const KV_MB: u32 = 10_000;
/// The data centres.
const CENTRES: usize = 4;
/// Models for each hundred targets, as at the design size.
const MODELS_PER_HUNDRED: usize = 86;

/// A fleet of some targets.
#[derive(Debug, Clone)]
pub(super) struct FleetSize {
    pub(super) targets: usize,
    pub(super) models: usize,
}

impl FleetSize {
    /// Makes the size with as many models for each target as the design size has.
    pub(super) const fn of_targets(targets: usize) -> Self {
        Self {
            targets,
            models: targets * MODELS_PER_HUNDRED / 100,
        }
    }

    /// Returns the checked document; empty if it had faults.
    pub(super) fn document(&self) -> Arc<Document> {
        let raw = RawDocument {
            regions: (0..2).map(region).collect(),
            models: (0..self.models).map(model).collect(),
            services: item(json!({ "name": "s", "kind": "completions" }))
                .into_iter()
                .collect(),
            deployments: self.deployment().into_iter().collect(),
            targets: (0..self.targets).filter_map(target).collect(),
            ..RawDocument::default()
        };
        let empty = || Document::try_from(RawDocument::default());
        let document = Document::try_from(raw).or_else(|_| empty());
        Arc::new(document.expect("the empty document has no faults"))
    }

    /// Returns the report of a target's agent.
    pub(super) fn agent(&self, target: usize, sequence: u64) -> Member {
        let load = LoadSummary {
            running: (target % 70) as u32,
            waiting: 0,
            slots: 96,
        };
        let replica = |accelerator: usize| Residency {
            model: model((target * ACCELERATORS + accelerator) % self.models.max(1)).id(),
            accelerator: accelerator as u16,
            state: ReplicaState::Ready,
            adapters: Vec::new(),
            load,
        };
        Member {
            role: Role::Agent(name(format!("target-{target}"))),
            version: MemberVersion {
                incarnation: Incarnation(1),
                sequence,
            },
            data_centre: centre(target),
            address: ([10, 0, (target >> 8) as u8, target as u8], 7000).into(),
            state: MemberState::Serving,
            revision: Revision(1),
            target: Some(TargetStatus {
                replicas: (0..ACCELERATORS).map(replica).collect(),
                committed_mb: vec![MODEL_MB + KV_MB; ACCELERATORS],
                load,
                ..TargetStatus::default()
            }),
        }
    }

    /// Returns the report of an entry.
    pub(super) fn entry(number: usize) -> Member {
        Member {
            role: Role::Entry(name(format!("entry-{number}"))),
            version: MemberVersion {
                incarnation: Incarnation(1),
                sequence: 1,
            },
            data_centre: centre(number),
            address: ([10, 1, (number >> 8) as u8, number as u8], 7000).into(),
            state: MemberState::Serving,
            revision: Revision(1),
            target: None,
        }
    }

    /// Returns the model of this number.
    pub(super) fn model(number: usize) -> ModelId {
        model(number).id()
    }

    fn deployment(&self) -> Option<Deployment> {
        let centres: Vec<_> = (0..CENTRES).map(centre).collect();
        let served = (0..self.models).map(|number| {
            let id = model(number).id();
            ServedModel {
                name: id.name,
                version: id.version,
                floor: 2,
            }
        });
        let mut deployment: Deployment =
            item(json!({ "name": "d", "service": "s", "data_centres": centres }))?;
        deployment.models = served.collect();
        Some(deployment)
    }
}

fn item<T: DeserializeOwned>(value: Value) -> Option<T> {
    serde_json::from_value(value).ok()
}

fn name<T: TryFrom<String>>(text: String) -> T {
    T::try_from(text).ok().expect("generated names are valid")
}

fn centre(number: usize) -> DataCentreName {
    name(format!("dc-{}", number % CENTRES))
}

fn region(number: usize) -> Region {
    let centres = [2 * number, 2 * number + 1].map(centre);
    Region {
        name: name(format!("region-{number}")),
        data_centres: centres.into(),
    }
}

fn model(number: usize) -> Model {
    Model {
        name: name(format!("model-{number}")),
        version: name("1".into()),
        memory_mb: MODEL_MB,
        kv_mb: KV_MB,
        slots: 12,
    }
}

fn target(number: usize) -> Option<Target> {
    item(json!({
        "name": format!("target-{number}"), "data_centre": centre(number), "kind": "engine",
        "agent": format!("10.0.{}.{}:7000", number >> 8, number & 255),
        "accelerators": ACCELERATORS, "accelerator_mb": ACCELERATOR_MB,
    }))
}
