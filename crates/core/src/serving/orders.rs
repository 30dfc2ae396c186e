//! Orders to an engine by the agent beside it.
//!
//! Every order names the number of orders that the engine has accepted, as read just before. An
//! order that is carried out late, after a newer one, is therefore refused by the engine, and what
//! an order asks for is checked against exactly the state in which it takes effect.

use std::collections::{HashMap, VecDeque};
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
/// Load time of a model that the configuration does not name; the largest one's of the deployments.
const UNKNOWN_LOAD: Duration = Duration::from_secs(8);
/// The shortest time that is told of a load that is not over, in milliseconds.
const MIN_LOAD_LEFT_MS: u32 = 50;
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
    model: Arc<str>,
    evict: Vec<Arc<str>>,
    since: Timestamp,
    started: Option<Timestamp>,
    from_store: bool,
}

impl Pending {
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

/// What the agent still has to order.
#[derive(Debug, Default)]
pub struct OrderQueue {
    pending: Option<Pending>,
    /// Models that an earlier incarnation held, still to be loaded from the machine's own copies.
    restores: VecDeque<Arc<str>>,
    wants: HashMap<AdapterKey, Timestamp>,
    used: AdapterUse,
    /// The last accepted order's expected count, and when it was accepted.
    accepted: Option<(u64, Timestamp)>,
}

impl OrderQueue {
    /// Takes in a command; an older one in progress goes first.
    pub fn submit(&mut self, command: LoadCommand, now: Timestamp) -> bool {
        if self.pending.is_some() {
            return false;
        }
        self.pending = Some(Pending::new(command.model, command.evict, now));
        true
    }

    /// Loads again, in this order, what an earlier incarnation of the engine held.
    ///
    /// Only models with a copy on the machine are loaded, so that a restart of many engines does
    /// not draw on the weight store.
    pub fn restore(&mut self, models: Vec<Arc<str>>, report: &EngineReport) {
        let local = models.into_iter().filter(|m| report.is_cached(m));
        self.restores = local.collect();
    }

    /// Notes that an adapter is wanted.
    pub fn request_adapter(&mut self, adapter: AdapterKey, now: Timestamp) {
        self.used.note(adapter.clone(), now);
        self.wants.insert(adapter, now);
    }

    /// Notes that entries use adapters.
    pub fn record_use(&mut self, adapters: &[AdapterKey], now: Timestamp) {
        for adapter in adapters {
            self.used.note(adapter.clone(), now);
        }
    }

    /// Notes that the engine has accepted an order.
    pub fn record_accepted(&mut self, order: &EngineOrder, now: Timestamp) {
        self.accepted = Some((order.expected, now));
    }

    /// Forgets everything, as when another incarnation of the engine has started.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Says whether anything is left to order.
    pub fn is_idle(&self) -> bool {
        self.pending.is_none() && self.restores.is_empty() && self.wants.is_empty()
    }

    /// Returns the next order, given the engine's state.
    pub fn next_order(
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
        self.next_restore(report, now);
        self.next_adapter(report, spec, now)
            .or_else(|| self.next_model(report, spec, now))
    }

    /// Describes the engine to others: models on their way out are not held any more.
    pub fn published_report(
        &self,
        report: &EngineReport,
        spec: Option<&EngineSpec>,
        now: Timestamp,
    ) -> EngineReport {
        let mut shown = report.clone();
        let slots = spec.map_or(0, |s| s.adapter_slots);
        // An engine that loads or unloads a model refuses orders for adapters meanwhile.
        shown.adapter_room = !report.busy && self.used.has_room(report, slots, now);
        if let Some(pending) = &self.pending {
            shown.models.retain(|m| !pending.evict.contains(&m.name));
        }
        shown.loading = self.loads(report, spec, now);
        shown
    }

    /// Lists the loads to come, each with the time until it is over.
    fn loads(
        &self,
        report: &EngineReport,
        spec: Option<&EngineSpec>,
        now: Timestamp,
    ) -> Vec<LoadProgress> {
        let time = |model: &Arc<str>, from_store: bool| {
            let model = spec.and_then(|s| s.models.get(model));
            model.map_or(
                UNKNOWN_LOAD,
                |m| if from_store { m.load } else { m.disk_load },
            )
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
            left += time(model, from_store).saturating_sub(now.since(since));
            loads.push(LoadProgress {
                model: model.clone(),
                left_ms: (left.as_millis() as u32).max(MIN_LOAD_LEFT_MS),
            });
        }
        loads
    }

    /// Takes the next model to restore that the machine still keeps, unless a command is in progress.
    fn next_restore(&mut self, report: &EngineReport, now: Timestamp) {
        if self.pending.is_some() {
            return;
        }
        self.restores.retain(|model| report.is_cached(model));
        if let Some(model) = self.restores.pop_front() {
            let mut pending = Pending::new(model, Vec::new(), now);
            pending.from_store = false;
            self.pending = Some(pending);
        }
    }

    fn next_adapter(
        &mut self,
        report: &EngineReport,
        spec: &EngineSpec,
        now: Timestamp,
    ) -> Option<EngineOrder> {
        let wanted: Vec<AdapterKey> = self.wants.keys().cloned().collect();
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
        let held = report.holds(&pending.model);
        if held || now.since(pending.since) > COMMAND_LIFE {
            log::info!(model:% = pending.model, held; "load command ended");
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
        if !fits(report, spec, &pending.model) {
            log::warn!(model:% = pending.model; "load command dropped: no memory for the weights");
            self.pending = None;
            return None;
        }
        pending.from_store = !report.cached.contains(&pending.model);
        pending.started = Some(now);
        Some(order(true, &pending.model))
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
