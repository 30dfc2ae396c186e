//! The orders that an agent gives to its engine.
//!
//! Each order carries the number of orders that the engine has accepted, as read just before. The
//! engine refuses an order whose number differs from its own, so an order that arrives late, after
//! a newer one, has no effect, and memory is checked against exactly the state in which the order
//! takes effect.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::Timestamp;

use super::config::EngineSpec;
use super::engine::{EngineReport, LoadProgress};
use super::eviction::{AdapterKey, AdapterStep, AdapterUse};
use super::planner::LoadCommand;

/// How long a load command may take before it is abandoned.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);
/// How long an adapter stays wanted after the last request for it.
const WANT_TTL: Duration = Duration::from_secs(1);
/// Load time assumed for a model that the configuration does not name: that of the largest model
/// of the deployments.
const DEFAULT_LOAD_TIME: Duration = Duration::from_secs(8);
/// Shortest remaining time that is reported for an unfinished load, in milliseconds.
const MIN_LOAD_LEFT_MS: u32 = 50;
/// How long the engine's order count may take to include an accepted order.
const ACCEPTED_TTL: Duration = Duration::from_secs(2);

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// Whether to load (`true`) or to unload (`false`).
    pub load: bool,
    /// The model's name.
    pub model: Arc<str>,
    /// The adapter of the model to load or unload; `None` for the model itself.
    pub adapter: Option<Arc<str>>,
    /// The number of orders that the engine must have accepted before this one.
    pub expected: u64,
}

#[derive(Debug, Clone)]
struct PendingLoad {
    model: Arc<str>,
    evict: Vec<Arc<str>>,
    /// When the command was submitted.
    since: Timestamp,
    /// When the order to load the model was last given.
    started: Option<Timestamp>,
    from_store: bool,
}

impl PendingLoad {
    const fn new(model: Arc<str>, evict: Vec<Arc<str>>, since: Timestamp) -> Self {
        Self {
            model,
            evict,
            since,
            started: None,
            from_store: true,
        }
    }
}

/// The orders that an agent has yet to give to its engine.
#[derive(Debug, Default)]
pub struct OrderQueue {
    pending: Option<PendingLoad>,
    /// Models that an earlier incarnation held, still to be loaded from copies on the instance.
    restores: VecDeque<Arc<str>>,
    /// When each wanted adapter was last requested.
    wanted: HashMap<AdapterKey, Timestamp>,
    used: AdapterUse,
    /// The expected count of the last accepted order, and when it was accepted.
    accepted: Option<(u64, Timestamp)>,
}

impl OrderQueue {
    /// Submits a load command; returns `false`, without effect, while another one is in progress.
    pub fn submit(&mut self, command: LoadCommand, now: Timestamp) -> bool {
        if self.pending.is_some() {
            return false;
        }
        self.pending = Some(PendingLoad::new(command.model, command.evict, now));
        true
    }

    /// Queues the models that an earlier incarnation of the engine held, to be loaded in this
    /// order.
    ///
    /// Models without a copy on the instance are left out, so that a restart of many engines does
    /// not draw on the weight store.
    pub fn restore(&mut self, models: Vec<Arc<str>>, report: &EngineReport) {
        let local = models.into_iter().filter(|m| report.is_cached(m));
        self.restores = local.collect();
    }

    /// Requests an adapter; the request expires after a second without another one.
    pub fn request_adapter(&mut self, adapter: AdapterKey, now: Timestamp) {
        self.used.record(adapter.clone(), now);
        self.wanted.insert(adapter, now);
    }

    /// Records that entries use adapters, which protects them from eviction.
    pub fn record_use(&mut self, adapters: &[AdapterKey], now: Timestamp) {
        for adapter in adapters {
            self.used.record(adapter.clone(), now);
        }
    }

    /// Records that the engine has accepted an order.
    pub fn record_accepted(&mut self, order: &EngineOrder, now: Timestamp) {
        self.accepted = Some((order.expected, now));
    }

    /// Drops all state, for use when another incarnation of the engine has started.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns whether nothing is left to order.
    pub fn is_idle(&self) -> bool {
        self.pending.is_none() && self.restores.is_empty() && self.wanted.is_empty()
    }

    /// Returns the next order for an engine in the reported state, or `None` if the engine must
    /// finish another order first or nothing can be ordered.
    pub fn next_order(
        &mut self,
        report: &EngineReport,
        spec: &EngineSpec,
        now: Timestamp,
    ) -> Option<EngineOrder> {
        self.wanted.retain(|_, at| now.since(*at) < WANT_TTL);
        if let Some((expected, at)) = self.accepted {
            if report.order_seq <= expected && now.since(at) < ACCEPTED_TTL {
                return None;
            }
            self.accepted = None;
        }
        if report.busy {
            return None;
        }
        self.start_restore(report, now);
        self.adapter_order(report, spec, now)
            .or_else(|| self.model_order(report, spec, now))
    }

    /// Returns the report to send to entries and other agents: models about to be evicted are left
    /// out, and the loads to come are added.
    pub fn published_report(
        &self,
        report: &EngineReport,
        spec: Option<&EngineSpec>,
        now: Timestamp,
    ) -> EngineReport {
        let mut published = report.clone();
        let slots = spec.map_or(0, |s| s.adapter_slots);
        // An engine refuses orders for adapters while it loads or unloads a model.
        published.adapter_room = !report.busy && self.used.has_room(report, slots, now);
        if let Some(pending) = &self.pending {
            published
                .models
                .retain(|m| !pending.evict.contains(&m.name));
        }
        published.loading = self.loads(report, spec, now);
        published
    }

    /// Returns the loads to come, each with the expected time until it ends.
    fn loads(
        &self,
        report: &EngineReport,
        spec: Option<&EngineSpec>,
        now: Timestamp,
    ) -> Vec<LoadProgress> {
        let load_time = |model: &Arc<str>, from_store: bool| {
            let model = spec.and_then(|s| s.models.get(model));
            model.map_or(DEFAULT_LOAD_TIME, |m| {
                if from_store { m.load } else { m.disk_load }
            })
        };
        let mut left = Duration::ZERO;
        let mut loads = Vec::new();
        let pending = self.pending.as_ref();
        let restores = self.restores.iter().map(|model| (model, false, now));
        let first = pending.map(|p| (&p.model, p.from_store, p.started.unwrap_or(now)));
        for (model, from_store, since) in first.into_iter().chain(restores) {
            if report.holds(model) {
                continue;
            }
            left += load_time(model, from_store).saturating_sub(now.since(since));
            loads.push(LoadProgress {
                model: model.clone(),
                left_ms: (left.as_millis() as u32).max(MIN_LOAD_LEFT_MS),
            });
        }
        loads
    }

    /// Starts the next restore whose copy is still on the instance, unless a load is in progress.
    fn start_restore(&mut self, report: &EngineReport, now: Timestamp) {
        if self.pending.is_some() {
            return;
        }
        self.restores.retain(|model| report.is_cached(model));
        if let Some(model) = self.restores.pop_front() {
            let mut pending = PendingLoad::new(model, Vec::new(), now);
            pending.from_store = false;
            self.pending = Some(pending);
        }
    }

    fn adapter_order(
        &mut self,
        report: &EngineReport,
        spec: &EngineSpec,
        now: Timestamp,
    ) -> Option<EngineOrder> {
        let wanted: Vec<AdapterKey> = self.wanted.keys().cloned().collect();
        for key in wanted {
            let evicted = (self.pending.as_ref()).is_some_and(|p| p.evict.contains(&key.0));
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
                    log::warn!(
                        model:% = key.0, adapter:% = key.1;
                        "adapter not loaded: engine memory is full"
                    );
                    self.wanted.remove(&key);
                }
                AdapterStep::Unload(old) => return Some(order(false, old)),
                AdapterStep::Full => {}
                AdapterStep::Done if report.pending.contains(&key) => {}
                AdapterStep::Done | AdapterStep::ModelAbsent => {
                    self.wanted.remove(&key);
                }
            }
        }
        None
    }

    fn model_order(
        &mut self,
        report: &EngineReport,
        spec: &EngineSpec,
        now: Timestamp,
    ) -> Option<EngineOrder> {
        let pending = self.pending.as_mut()?;
        let held = report.holds(&pending.model);
        if held || now.since(pending.since) > COMMAND_TIMEOUT {
            log::info!(model:% = pending.model, held; "load command completed or timed out");
            self.pending = None;
            return None;
        }
        let order = |load: bool, model: &Arc<str>| EngineOrder {
            load,
            model: model.clone(),
            adapter: None,
            expected: report.order_seq,
        };
        if let Some(model) = pending.evict.iter().find(|m| report.holds(m)) {
            return Some(order(false, model));
        }
        if !fits_model(report, spec, &pending.model) {
            log::warn!(
                model:% = pending.model;
                "load command dropped: weights exceed the engine's free memory"
            );
            self.pending = None;
            return None;
        }
        pending.from_store = !report.cached.contains(&pending.model);
        pending.started = Some(now);
        Some(order(true, &pending.model))
    }
}

/// Returns whether a model fits into the engine's memory in addition to what it holds.
fn fits_model(report: &EngineReport, spec: &EngineSpec, model: &str) -> bool {
    let size = spec.models.get(model).map(|m| m.weights_mb);
    size.zip(used_mb(report, spec))
        .is_some_and(|(new, used)| used + new <= spec.weights_mb)
}

/// Returns whether an adapter of a model fits into the engine's memory in addition to what it
/// holds.
fn fits_adapter(report: &EngineReport, spec: &EngineSpec, model: &str) -> bool {
    let size = spec.models.get(model).map(|m| m.adapter_mb);
    size.zip(used_mb(report, spec))
        .is_some_and(|(new, used)| used + new <= spec.weights_mb)
}

/// Returns the memory that models and adapters take, or `None` if a model's size is unknown.
fn used_mb(report: &EngineReport, spec: &EngineSpec) -> Option<f64> {
    let held: Option<f64> = (report.models.iter())
        .map(|held| {
            let model = spec.models.get(&held.name)?;
            Some(model.weights_mb + model.adapter_mb * held.adapters.len() as f64)
        })
        .sum();
    // Adapters that are being loaded may belong to any model, so the largest size is assumed.
    let sizes = spec.models.values().map(|m| m.adapter_mb);
    let pending = sizes.fold(0.0, f64::max) * report.pending.len() as f64;
    held.map(|held| held + pending)
}
