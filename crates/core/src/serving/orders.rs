//! Orders to an engine by the agent beside it.
//!
//! Every order names the number of orders that the engine has accepted, as read just before. An
//! order that is carried out late, after a newer one, is therefore refused by the engine, and what
//! an order asks for is checked against exactly the state in which it takes effect.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::Timestamp;

use super::config::EngineSpec;
use super::engine::{EngineReport, LoadProgress};
use super::eviction::{AdapterKey, AdapterStep, AdapterUse};
use super::planner::LoadCommand;

/// How long a command may take before it is given up.
const COMMAND_LIFE: Duration = Duration::from_secs(20);
/// How long an adapter is wanted after the last request for it.
const WANT_LIFE: Duration = Duration::from_secs(1);
/// How long an accepted order may take to show in the engine's count of orders.
const ACCEPTED_LIFE: Duration = Duration::from_secs(2);

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// Whether to load or to unload.
    pub load: bool,
    /// The model.
    pub model: Arc<str>,
    /// The adapter of the model, or the model itself.
    pub adapter: Option<Arc<str>>,
    /// The number of orders that the engine must have accepted before.
    pub expected: u64,
}

#[derive(Debug, Clone)]
struct Pending {
    command: LoadCommand,
    since: Timestamp,
    started: Option<Timestamp>,
    from_store: bool,
}

/// What the agent still has to order.
#[derive(Debug, Default)]
pub struct Orders {
    pending: Option<Pending>,
    wants: HashMap<AdapterKey, Timestamp>,
    used: AdapterUse,
    /// The last accepted order's expected count, and when it was accepted.
    accepted: Option<(u64, Timestamp)>,
}

impl Orders {
    /// Takes in a command; an older one in progress goes first.
    pub fn command(&mut self, command: LoadCommand, now: Timestamp) -> bool {
        if self.pending.is_some() {
            return false;
        }
        self.pending = Some(Pending {
            command,
            since: now,
            started: None,
            from_store: true,
        });
        true
    }

    /// Notes that an adapter is wanted.
    pub fn want(&mut self, adapter: AdapterKey, now: Timestamp) {
        self.used.note(adapter.clone(), now);
        self.wants.insert(adapter, now);
    }

    /// Notes that entries use adapters.
    pub fn note_use(&mut self, adapters: &[AdapterKey], now: Timestamp) {
        for adapter in adapters {
            self.used.note(adapter.clone(), now);
        }
    }

    /// Notes that the engine has accepted an order.
    pub fn accepted(&mut self, order: &EngineOrder, now: Timestamp) {
        self.accepted = Some((order.expected, now));
    }

    /// Forgets everything, as when another incarnation of the engine has started.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Says whether anything is left to order.
    pub fn is_idle(&self) -> bool {
        self.pending.is_none() && self.wants.is_empty()
    }

    /// Returns the next order, given the engine's state.
    pub fn next(
        &mut self,
        report: &EngineReport,
        spec: &EngineSpec,
        now: Timestamp,
    ) -> Option<EngineOrder> {
        self.wants.retain(|_, at| now.since(*at) < WANT_LIFE);
        if let Some((expected, at)) = self.accepted {
            if report.order_seq <= expected && now.since(at) < ACCEPTED_LIFE {
                return None;
            }
            self.accepted = None;
        }
        if report.busy {
            return None;
        }
        self.next_adapter(report, spec, now)
            .or_else(|| self.next_model(report, spec, now))
    }

    /// Describes the engine to others: models on their way out are not held any more.
    pub fn publish(
        &self,
        report: &EngineReport,
        spec: Option<&EngineSpec>,
        now: Timestamp,
    ) -> EngineReport {
        let mut shown = report.clone();
        let slots = spec.map_or(0, |s| s.adapter_slots);
        // An engine that loads or unloads a model refuses orders for adapters meanwhile.
        shown.adapter_room = !report.busy && self.used.has_room(report, slots, now);
        let Some(pending) = &self.pending else {
            return shown;
        };
        let command = &pending.command;
        shown.models.retain(|m| !command.evict.contains(&m.name));
        if !report.holds(&command.model) {
            let model = spec.and_then(|s| s.models.get(&command.model));
            let load = model.map_or(Duration::from_secs(8), |m| {
                if pending.from_store {
                    m.load
                } else {
                    m.disk_load
                }
            });
            let since = pending.started.unwrap_or(now);
            let left = load.saturating_sub(now.since(since)).as_millis() as u32;
            shown.loading = Some(LoadProgress {
                model: command.model.clone(),
                left_ms: left.max(50),
            });
        }
        shown
    }

    fn next_adapter(
        &mut self,
        report: &EngineReport,
        spec: &EngineSpec,
        now: Timestamp,
    ) -> Option<EngineOrder> {
        let wanted: Vec<AdapterKey> = self.wants.keys().cloned().collect();
        for key in wanted {
            let evicted = (self.pending.as_ref()).is_some_and(|p| p.command.evict.contains(&key.0));
            let step = if evicted {
                AdapterStep::ModelAbsent
            } else {
                self.used.next_step(report, &key, spec.adapter_slots, now)
            };
            let order = |load: bool, (model, adapter): AdapterKey| EngineOrder {
                load,
                model,
                adapter: Some(adapter),
                expected: report.order_seq,
            };
            match step {
                AdapterStep::Load if fits_adapter(report, spec, &key.0) => {
                    return Some(order(true, key));
                }
                AdapterStep::Load => {
                    log::warn!(model:% = key.0, adapter:% = key.1; "no memory for the adapter");
                    self.wants.remove(&key);
                }
                AdapterStep::Unload(old) => return Some(order(false, old)),
                AdapterStep::Full => {}
                AdapterStep::Done if report.pending.contains(&key) => {}
                AdapterStep::Done | AdapterStep::ModelAbsent => {
                    self.wants.remove(&key);
                }
            }
        }
        None
    }

    fn next_model(
        &mut self,
        report: &EngineReport,
        spec: &EngineSpec,
        now: Timestamp,
    ) -> Option<EngineOrder> {
        let pending = self.pending.as_mut()?;
        let command = &pending.command;
        let held = report.holds(&command.model);
        if held || now.since(pending.since) > COMMAND_LIFE {
            log::info!(model:% = command.model, held; "load command ended");
            self.pending = None;
            return None;
        }
        let order = |load: bool, model: &Arc<str>| EngineOrder {
            load,
            model: model.clone(),
            adapter: None,
            expected: report.order_seq,
        };
        if let Some(model) = command.evict.iter().find(|m| report.holds(m)) {
            return Some(order(false, model));
        }
        if !fits(report, spec, &command.model) {
            log::warn!(model:% = command.model; "load command dropped: no memory for the weights");
            self.pending = None;
            return None;
        }
        pending.from_store = !report.cached.contains(&command.model);
        pending.started = Some(now);
        Some(order(true, &command.model))
    }
}

/// Says whether the engine's memory holds one more model beside what it has.
fn fits(report: &EngineReport, spec: &EngineSpec, model: &str) -> bool {
    let size = spec.models.get(model).map(|m| m.weights_mb);
    size.zip(used_mb(report, spec))
        .is_some_and(|(new, used)| used + new <= spec.weights_mb)
}

/// Says whether the engine's memory holds one more adapter of a model beside what it has.
fn fits_adapter(report: &EngineReport, spec: &EngineSpec, model: &str) -> bool {
    let size = spec.models.get(model).map(|m| m.adapter_mb);
    size.zip(used_mb(report, spec))
        .is_some_and(|(new, used)| used + new <= spec.weights_mb)
}

/// Returns the memory that models and adapters take, or `None` if one of them is not known.
fn used_mb(report: &EngineReport, spec: &EngineSpec) -> Option<f64> {
    let held: Option<f64> = (report.models.iter())
        .map(|held| {
            let model = spec.models.get(&held.name)?;
            Some(model.weights_mb + model.adapter_mb * held.adapters.len() as f64)
        })
        .sum();
    // Adapters on their way may be of any model.
    let sizes = spec.models.values().map(|m| m.adapter_mb);
    let pending = sizes.fold(0.0, f64::max) * report.pending.len() as f64;
    held.map(|held| held + pending)
}
