//! The checks that a document must pass before it can be committed.

use std::collections::{BTreeMap, BTreeSet};

use super::{Deployment, Faults, RawDocument, ServiceKind, TargetKind};
use crate::{ModelId, ServiceName};

/// Upper bound on a service's time limits, in milliseconds.
const MAX_LIMIT_MS: u32 = 3_600_000;
/// Upper bound on a service's queue, in requests.
const MAX_QUEUE: u32 = 100_000;
/// The highest priority number of a deployment, which is served last.
const MAX_PRIORITY: u8 = 9;

/// Returns all faults of a document.
///
/// The minimum numbers of replicas are checked against memory only if there is no other fault.
pub(super) fn find_faults(raw: &RawDocument) -> Faults {
    let mut faults = Faults::default();
    check_unique(raw, &mut faults);
    check_models(raw, &mut faults);
    check_services(raw, &mut faults);
    check_targets(raw, &mut faults);
    check_deployments(raw, &mut faults);
    check_callers(raw, &mut faults);
    check_policy(raw, &mut faults);
    if faults.is_empty() {
        check_floor_memory(raw, &mut faults);
    }
    faults
}

fn check_distinct<T: Ord>(
    list: &str,
    field: &str,
    keys: impl Iterator<Item = T>,
    faults: &mut Faults,
) {
    let mut seen = BTreeSet::new();
    for (i, key) in keys.enumerate() {
        if !seen.insert(key) {
            faults.add(format!("{list}[{i}].{field}"), "is given twice");
        }
    }
}

fn check_unique(raw: &RawDocument, faults: &mut Faults) {
    check_distinct(
        "regions",
        "name",
        raw.regions.iter().map(|r| &r.name),
        faults,
    );
    check_distinct(
        "models",
        "version",
        raw.models.iter().map(super::Model::id),
        faults,
    );
    check_distinct(
        "services",
        "name",
        raw.services.iter().map(|s| &s.name),
        faults,
    );
    check_distinct(
        "deployments",
        "name",
        raw.deployments.iter().map(|d| &d.name),
        faults,
    );
    check_distinct(
        "targets",
        "name",
        raw.targets.iter().map(|t| &t.name),
        faults,
    );
    check_distinct(
        "targets",
        "agent",
        raw.targets.iter().map(|t| t.agent),
        faults,
    );
    check_distinct(
        "callers",
        "name",
        raw.callers.iter().map(|c| &c.name),
        faults,
    );
    check_distinct(
        "callers",
        "key_sha256",
        raw.callers.iter().map(|c| hex_digest(&c.key_sha256)),
        faults,
    );
    check_distinct(
        "operators",
        "name",
        raw.operators.iter().map(|o| &o.name),
        faults,
    );
    check_distinct(
        "adapters",
        "name",
        raw.adapters.iter().map(|a| &a.name),
        faults,
    );
    let mut centres = BTreeSet::new();
    for (i, region) in raw.regions.iter().enumerate() {
        for (j, centre) in region.data_centres.iter().enumerate() {
            if !centres.insert(centre) {
                faults.add(format!("regions[{i}].data_centres[{j}]"), "is given twice");
            }
        }
    }
    let models: BTreeSet<&str> = raw.models.iter().map(|m| m.name.as_str()).collect();
    for (i, adapter) in raw.adapters.iter().enumerate() {
        if models.contains(adapter.name.as_str()) {
            faults.add(format!("adapters[{i}].name"), "is also the name of a model");
        }
    }
}

fn hex_digest(key: &crate::secret::KeyDigest) -> String {
    key.clone().into()
}

fn check_models(raw: &RawDocument, faults: &mut Faults) {
    for (i, model) in raw.models.iter().enumerate() {
        if model.memory_mb == 0 {
            faults.add(format!("models[{i}].memory_mb"), "must be above 0");
        }
        if model.slots == 0 {
            faults.add(format!("models[{i}].slots"), "must be above 0");
        }
    }
    for (i, adapter) in raw.adapters.iter().enumerate() {
        if !raw.models.iter().any(|m| m.name == adapter.model) {
            faults.add(
                format!("adapters[{i}].model"),
                format!("model {} does not exist", adapter.model),
            );
        }
        if adapter.memory_mb == 0 {
            faults.add(format!("adapters[{i}].memory_mb"), "must be above 0");
        }
    }
}

fn check_services(raw: &RawDocument, faults: &mut Faults) {
    for (i, service) in raw.services.iter().enumerate() {
        let path = |field: &str| format!("services[{i}].{field}");
        let limits = [
            ("first_token_ms", service.first_token_ms, MAX_LIMIT_MS),
            ("token_gap_ms", service.token_gap_ms, MAX_LIMIT_MS),
            ("deadline_ms", service.deadline_ms, MAX_LIMIT_MS),
            ("queue", service.queue, MAX_QUEUE),
        ];
        for (field, value, max) in limits {
            if !(1..=max).contains(&value) {
                faults.add(path(field), format!("must be from 1 to {max}, not {value}"));
            }
        }
        if service.rate == Some(0) {
            faults.add(path("rate"), "must be above 0; leave it out for no limit");
        }
        if !(0.5..1.0).contains(&service.objective) {
            faults.add(
                path("objective"),
                format!("must be from 0.5 to below 1, not {}", service.objective),
            );
        }
        if !(0.0..=1.0).contains(&service.retry_share) {
            faults.add(
                path("retry_share"),
                format!("must be from 0 to 1, not {}", service.retry_share),
            );
        }
    }
}

fn check_targets(raw: &RawDocument, faults: &mut Faults) {
    let kinds: BTreeMap<&ServiceName, ServiceKind> =
        raw.services.iter().map(|s| (&s.name, s.kind)).collect();
    for (i, target) in raw.targets.iter().enumerate() {
        let path = |field: &str| format!("targets[{i}].{field}");
        if !raw
            .regions
            .iter()
            .any(|r| r.data_centres.contains(&target.data_centre))
        {
            faults.add(
                path("data_centre"),
                format!("{} does not exist", target.data_centre),
            );
        }
        if target.slots == 0 {
            faults.add(path("slots"), "must be above 0");
        }
        match target.kind {
            TargetKind::Engine if target.accelerators == 0 => {
                faults.add(path("accelerators"), "must be above 0 for an engine");
            }
            TargetKind::Engine if target.accelerator_mb == 0 => {
                faults.add(path("accelerator_mb"), "must be above 0 for an engine");
            }
            TargetKind::Engine if !target.services.is_empty() => {
                faults.add(path("services"), "are named by deployments for an engine");
            }
            TargetKind::Plain if target.services.is_empty() => {
                faults.add(path("services"), "must name a service for a plain target");
            }
            TargetKind::Plain if target.accelerators > 0 => {
                faults.add(path("accelerators"), "must be 0 for a plain target");
            }
            _ => {}
        }
        for (j, service) in target.services.iter().enumerate() {
            match kinds.get(service) {
                None => faults.add(
                    path(&format!("services[{j}]")),
                    format!("service {service} does not exist"),
                ),
                Some(ServiceKind::Completions) => faults.add(
                    path(&format!("services[{j}]")),
                    format!("service {service} is not plain"),
                ),
                Some(ServiceKind::Plain) => {}
            }
        }
    }
}

fn check_deployments(raw: &RawDocument, faults: &mut Faults) {
    for (i, deployment) in raw.deployments.iter().enumerate() {
        check_deployment(raw, deployment, &format!("deployments[{i}]"), faults);
    }
    let mut versions = BTreeMap::new();
    for (i, deployment) in raw.deployments.iter().enumerate() {
        for (j, served) in deployment.models.iter().enumerate() {
            let first = versions
                .entry((&deployment.service, &served.name))
                .or_insert(&served.version);
            if *first != &served.version {
                faults.add(
                    format!("deployments[{i}].models[{j}].version"),
                    format!(
                        "service {} already serves version {first}",
                        deployment.service
                    ),
                );
            }
        }
    }
}

fn check_deployment(raw: &RawDocument, deployment: &Deployment, path: &str, faults: &mut Faults) {
    match raw.services.iter().find(|s| s.name == deployment.service) {
        None => faults.add(
            format!("{path}.service"),
            format!("service {} does not exist", deployment.service),
        ),
        Some(service) if service.kind == ServiceKind::Plain => {
            faults.add(format!("{path}.service"), "is plain and takes no models");
        }
        Some(_) => {}
    }
    if deployment.priority > MAX_PRIORITY {
        faults.add(
            format!("{path}.priority"),
            format!("must be from 0 to {MAX_PRIORITY}"),
        );
    }
    if deployment.models.is_empty() {
        faults.add(format!("{path}.models"), "must name a model");
    }
    if deployment.data_centres.is_empty() {
        faults.add(format!("{path}.data_centres"), "must name a data centre");
    }
    for (j, centre) in deployment.data_centres.iter().enumerate() {
        if !raw.regions.iter().any(|r| r.data_centres.contains(centre)) {
            faults.add(
                format!("{path}.data_centres[{j}]"),
                format!("{centre} does not exist"),
            );
        }
    }
    for (j, served) in deployment.models.iter().enumerate() {
        if !raw.models.iter().any(|m| m.id() == served.id()) {
            faults.add(
                format!("{path}.models[{j}]"),
                format!("model {} does not exist", served.id()),
            );
        }
        if served.floor == 0 {
            faults.add(
                format!("{path}.models[{j}].floor"),
                "must be above 0: every model stays reachable",
            );
        }
    }
    for (j, name) in deployment.adapters.iter().enumerate() {
        let Some(adapter) = raw.adapters.iter().find(|a| a.name == *name) else {
            faults.add(
                format!("{path}.adapters[{j}]"),
                format!("adapter {name} does not exist"),
            );
            continue;
        };
        if !deployment.models.iter().any(|m| m.name == adapter.model) {
            faults.add(
                format!("{path}.adapters[{j}]"),
                format!(
                    "needs model {}, which the deployment does not serve",
                    adapter.model
                ),
            );
        }
    }
}

fn check_callers(raw: &RawDocument, faults: &mut Faults) {
    for (i, caller) in raw.callers.iter().enumerate() {
        for (j, service) in caller.services.iter().enumerate() {
            if !raw.services.iter().any(|s| s.name == *service) {
                faults.add(
                    format!("callers[{i}].services[{j}]"),
                    format!("service {service} does not exist"),
                );
            }
        }
        if raw
            .operators
            .iter()
            .any(|o| o.key_sha256 == caller.key_sha256)
        {
            faults.add(
                format!("callers[{i}].key_sha256"),
                "is also an operator's key",
            );
        }
    }
}

fn check_policy(raw: &RawDocument, faults: &mut Faults) {
    let policy = &raw.policy;
    if !(0.0..=1.0).contains(&policy.moves_weight) {
        faults.add(
            "policy.moves_weight",
            format!("must be from 0 to 1, not {}", policy.moves_weight),
        );
    }
    if !(policy.load_rate > 0.0 && policy.load_rate <= 1_000.0) {
        faults.add(
            "policy.load_rate",
            format!("must be above 0 and at most 1000, not {}", policy.load_rate),
        );
    }
    if policy.load_flight == 0 {
        faults.add("policy.load_flight", "must be above 0");
    }
    if policy.adapter_flight == 0 {
        faults.add("policy.adapter_flight", "must be above 0");
    }
}

/// Checks that the minimum replicas of all deployments fit into memory, by first-fit decreasing.
fn check_floor_memory(raw: &RawDocument, faults: &mut Faults) {
    let mut free: Vec<_> = raw
        .targets
        .iter()
        .filter(|t| t.kind == TargetKind::Engine)
        .flat_map(|t| {
            (0..t.accelerators).map(|_| (&t.data_centre, &t.name, u64::from(t.accelerator_mb)))
        })
        .collect();
    for (path, deployment, id, need_mb) in floor_replicas(raw) {
        let fits = free.iter_mut().find(|(centre, _, free_mb)| {
            deployment.data_centres.contains(centre) && *free_mb >= need_mb
        });
        match fits {
            Some((_, _, free_mb)) => *free_mb -= need_mb,
            None => faults.add(
                path,
                format!(
                    "no accelerator in its data centres has {need_mb} MB left for a replica of {id}"
                ),
            ),
        }
    }
}

/// Returns the minimum replicas of all deployments, the largest first.
///
/// Each comes with the path of its `floor` field, its deployment, its model and the memory for the
/// model and its adapters, in megabytes.
fn floor_replicas(raw: &RawDocument) -> Vec<(String, &Deployment, ModelId, u64)> {
    let mut floors = Vec::new();
    for (i, deployment) in raw.deployments.iter().enumerate() {
        for (j, served) in deployment.models.iter().enumerate() {
            let id = served.id();
            let Some(model) = raw.models.iter().find(|m| m.id() == id) else {
                continue;
            };
            let adapters_mb: u64 = raw
                .adapters
                .iter()
                .filter(|a| a.model == served.name && deployment.adapters.contains(&a.name))
                .map(|a| u64::from(a.memory_mb))
                .sum();
            let need_mb = u64::from(model.replica_mb()) + adapters_mb;
            for _ in 0..served.floor {
                let path = format!("deployments[{i}].models[{j}].floor");
                floors.push((path, deployment, id.clone(), need_mb));
            }
        }
    }
    floors.sort_by(|a, b| b.3.cmp(&a.3).then_with(|| a.0.cmp(&b.0)));
    floors
}
