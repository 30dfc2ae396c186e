//! The planner: one round a second over the whole fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use kumquatkeel_core::placement::{Demand, PlacedReplica, PlacementPlugin, PlanInput};
use kumquatkeel_core::plugin::find_plugin;
use kumquatkeel_types::document::Document;
use kumquatkeel_types::message::{DemandReport, Member, ModelDemand};
use kumquatkeel_types::{ModelId, TargetName, Timestamp};

use super::fleet::FleetSize;
use super::process::{memory_of, millis_of};
use super::{HEAD_BYTES, Sample, SlopeLine};

/// Entries for each hundred targets, as at the design size.
const ENTRIES_PER_HUNDRED: f64 = 39.3;
/// Models that one entry sees within its window of ten seconds.
const MODELS_SEEN: usize = 70;
/// Rounds over which time is measured.
const ROUNDS: u32 = 50;

/// What a round looks at.
struct Inputs {
    document: Arc<Document>,
    serving: BTreeSet<TargetName>,
    replicas: Vec<PlacedReplica>,
    demand: BTreeMap<ModelId, Demand>,
    committed_mb: BTreeMap<TargetName, Vec<u32>>,
}

/// Measures a planning round at several numbers of targets.
pub(super) fn probe() -> SlopeLine {
    let samples = [105, 210, 420, 840].map(|targets| sample(&FleetSize::of_targets(targets)));
    SlopeLine::of("planner", "targets", samples.into())
}

fn sample(size: &FleetSize) -> Sample {
    let inputs = Inputs::of(size);
    let plugin = find_plugin::<PlacementPlugin>("demand").expect("the policy is registered");
    let mut policy = (plugin.make)();
    let mut second = 0;
    let millis = millis_of(ROUNDS, || {
        second += 1;
        let _ = policy.plan(&inputs.at(second));
    });
    let entries = size.targets as f64 * ENTRIES_PER_HUNDRED / 100.0;
    Sample {
        size: size.targets as f64,
        bytes: entries * (HEAD_BYTES + report_bytes()),
        cpu_ms: millis,
        memory: memory_of(|| Inputs::of(size)),
        calls: 0.0,
    }
}

impl Inputs {
    fn of(size: &FleetSize) -> Self {
        let members: Vec<_> = (0..size.targets)
            .map(|target| size.agent(target, 1))
            .collect();
        let demand = |number: usize| {
            let rate = 1.0 + (number % 7) as f64;
            Demand {
                rate,
                unmet: 0.0,
                running: rate * 25.0,
            }
        };
        Self {
            document: size.document(),
            serving: members.iter().map(target_of).collect(),
            replicas: members.iter().flat_map(replicas_of).collect(),
            demand: (0..size.models)
                .map(|n| (FleetSize::model(n), demand(n)))
                .collect(),
            committed_mb: members.iter().filter_map(committed_of).collect(),
        }
    }

    fn at(&self, second: u64) -> PlanInput<'_> {
        static NOBODY: BTreeSet<TargetName> = BTreeSet::new();
        static NO_ADAPTERS: BTreeMap<kumquatkeel_types::AdapterName, Demand> = BTreeMap::new();
        PlanInput {
            now: Timestamp::from_millis(second * 1_000),
            document: &self.document,
            serving: &self.serving,
            leaving: &NOBODY,
            replicas: &self.replicas,
            demand: &self.demand,
            adapter_demand: &NO_ADAPTERS,
            committed_mb: &self.committed_mb,
            fenced: &self.serving,
            loading: 0,
            additive_only: false,
        }
    }
}

fn target_of(member: &Member) -> TargetName {
    TargetName::try_from(member.role.as_ref()).expect("a valid name")
}

fn replicas_of(member: &Member) -> Vec<PlacedReplica> {
    let replicas = member.target.iter().flat_map(|status| &status.replicas);
    let placed = replicas.map(|replica| PlacedReplica {
        target: target_of(member),
        accelerator: replica.accelerator,
        model: replica.model.clone(),
        state: replica.state,
        adapters: Vec::new(),
        load: replica.load,
    });
    placed.collect()
}

fn committed_of(member: &Member) -> Option<(TargetName, Vec<u32>)> {
    let status = member.target.as_ref()?;
    Some((target_of(member), status.committed_mb.clone()))
}

/// Returns the bytes of one entry's demand report.
fn report_bytes() -> f64 {
    let model = |number: usize| ModelDemand {
        model: FleetSize::model(number),
        adapter: None,
        rate: 0.1,
        unmet: 0.0,
        running: 2,
    };
    let report = DemandReport {
        models: (0..MODELS_SEEN).map(model).collect(),
    };
    serde_json::to_vec(&report).map_or(0.0, |text| text.len() as f64)
}
