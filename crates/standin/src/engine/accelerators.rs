//! Models and adapters in the memory of the accelerators, and the orders that load and unload them.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_types::document::{Fencing, Model};
use kumquatkeel_types::engine::{EngineOrder, EngineOrderReply};
use kumquatkeel_types::message::OrderAction;
use kumquatkeel_types::{AdapterName, ModelId};

use super::{EngineOptions, MemoryViolation};

/// How the engine handles an order on its arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderStart {
    /// The order is answered at once, without work.
    Reply(EngineOrderReply),
    /// The order loads weights from the weight store, which takes this long without contention.
    Load(Duration),
    /// The order takes this long and doesn't use the weight store.
    Work(Duration),
}

/// Lifecycle phase of a model or an adapter in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Loading,
    Ready,
    Unloading,
}

/// A model on an accelerator, with its adapters.
#[derive(Debug, Clone)]
pub(super) struct Replica {
    phase: Phase,
    memory_mb: u32,
    adapters: BTreeMap<AdapterName, AdapterCopy>,
}

#[derive(Debug, Clone)]
struct AdapterCopy {
    phase: Phase,
    memory_mb: u32,
}

impl Replica {
    /// Returns true if the replica can run requests.
    pub(super) fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// Returns the names of the adapters that requests can use.
    pub(super) fn ready_adapters(&self) -> impl Iterator<Item = &AdapterName> {
        self.adapters
            .iter()
            .filter(|(_, copy)| copy.phase == Phase::Ready)
            .map(|(name, _)| name)
    }

    fn used_mb(&self) -> u32 {
        let adapters: u32 = self.adapters.values().map(|copy| copy.memory_mb).sum();
        self.memory_mb + adapters
    }
}

/// Identifies a replica by its accelerator's index and its model.
pub(super) type ReplicaKey = (u16, ModelId);

/// All accelerators of an engine.
///
/// Memory is in use from the moment a load starts until the unload has ended.
#[derive(Debug, Clone)]
pub struct Accelerators {
    options: EngineOptions,
    replicas: BTreeMap<ReplicaKey, Replica>,
    fence: u64,
    violations: Vec<MemoryViolation>,
}

impl Accelerators {
    /// Creates accelerators with nothing loaded.
    pub const fn new(options: EngineOptions) -> Self {
        Self {
            options,
            replicas: BTreeMap::new(),
            fence: 0,
            violations: Vec::new(),
        }
    }

    /// Returns the highest fencing token of the orders so far.
    pub const fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns the orders that were refused for lack of memory.
    pub fn violations(&self) -> &[MemoryViolation] {
        &self.violations
    }

    /// Returns the memory in use on each accelerator, in megabytes, by index.
    pub fn used_mb(&self) -> Vec<u32> {
        (0..self.options.accelerators)
            .map(|accelerator| self.used_on(accelerator))
            .collect()
    }

    /// Returns the indices of the accelerators on which the model is ready, and the adapter if given.
    pub fn find(&self, model: &ModelId, adapter: Option<&AdapterName>) -> Vec<u16> {
        let serves = |replica: &Replica| {
            replica.is_ready()
                && adapter.is_none_or(|name| replica.ready_adapters().any(|ready| ready == name))
        };
        self.replicas
            .iter()
            .filter(|((_, id), replica)| id == model && serves(replica))
            .map(|((accelerator, _), _)| *accelerator)
            .collect()
    }

    /// Checks an order and starts its execution.
    ///
    /// `in_use` returns the number of requests that use a replica, or one adapter on it; a model or
    /// an adapter in use is not unloaded.
    pub fn start(
        &mut self,
        order: &EngineOrder,
        in_use: impl Fn(u16, &ModelId, Option<&AdapterName>) -> u32,
    ) -> OrderStart {
        if order.fence < self.fence && self.options.fencing == Fencing::Enforced {
            return OrderStart::Reply(EngineOrderReply::OldFence);
        }
        self.fence = self.fence.max(order.fence);
        match &order.action {
            OrderAction::Load { model, accelerator } => self.start_load(order, model, *accelerator),
            OrderAction::Unload { model, accelerator } => {
                self.start_unload(model, *accelerator, in_use(*accelerator, model, None))
            }
            OrderAction::LoadAdapter {
                adapter,
                model,
                accelerator,
            } => self.start_adapter_load(order, adapter, model, *accelerator),
            OrderAction::UnloadAdapter {
                adapter,
                model,
                accelerator,
            } => {
                let running = in_use(*accelerator, model, Some(adapter));
                self.start_adapter_unload(adapter, model, *accelerator, running)
            }
        }
    }

    /// Completes an order that [`Accelerators::start`] started, after its time has passed.
    pub fn finish(&mut self, action: &OrderAction) -> EngineOrderReply {
        let done = match action {
            OrderAction::Load { model, accelerator } => self
                .replicas
                .get_mut(&(*accelerator, model.clone()))
                .map(|replica| replica.phase = Phase::Ready),
            OrderAction::Unload { model, accelerator } => self
                .replicas
                .remove(&(*accelerator, model.clone()))
                .map(drop),
            OrderAction::LoadAdapter {
                adapter,
                model,
                accelerator,
            } => self
                .replicas
                .get_mut(&(*accelerator, model.clone()))
                .and_then(|replica| replica.adapters.get_mut(adapter))
                .map(|copy| copy.phase = Phase::Ready),
            OrderAction::UnloadAdapter {
                adapter,
                model,
                accelerator,
            } => self
                .replicas
                .get_mut(&(*accelerator, model.clone()))
                .and_then(|replica| replica.adapters.remove(adapter))
                .map(drop),
        };
        done.map_or(EngineOrderReply::Refused, |()| EngineOrderReply::Done)
    }

    pub(super) const fn replicas(&self) -> &BTreeMap<ReplicaKey, Replica> {
        &self.replicas
    }

    fn start_load(&mut self, order: &EngineOrder, model: &ModelId, accelerator: u16) -> OrderStart {
        let key = (accelerator, model.clone());
        if let Some(replica) = self.replicas.get(&key) {
            return OrderStart::Reply(match replica.phase {
                Phase::Ready => EngineOrderReply::Done,
                Phase::Loading | Phase::Unloading => EngineOrderReply::Refused,
            });
        }
        let Some(memory_mb) = self.options.model(model).map(Model::replica_mb) else {
            return OrderStart::Reply(EngineOrderReply::Refused);
        };
        if !self.fits(order, accelerator, memory_mb) {
            return OrderStart::Reply(EngineOrderReply::NoMemory);
        }
        let replica = Replica {
            phase: Phase::Loading,
            memory_mb,
            adapters: BTreeMap::new(),
        };
        self.replicas.insert(key, replica);
        OrderStart::Load(self.options.load_time)
    }

    fn start_unload(&mut self, model: &ModelId, accelerator: u16, running: u32) -> OrderStart {
        let Some(replica) = self.replicas.get_mut(&(accelerator, model.clone())) else {
            return OrderStart::Reply(EngineOrderReply::Done);
        };
        if replica.phase != Phase::Ready || running > 0 {
            return OrderStart::Reply(EngineOrderReply::Refused);
        }
        replica.phase = Phase::Unloading;
        OrderStart::Work(self.options.unload_time)
    }

    fn start_adapter_load(
        &mut self,
        order: &EngineOrder,
        adapter: &AdapterName,
        model: &ModelId,
        accelerator: u16,
    ) -> OrderStart {
        let key = (accelerator, model.clone());
        let spec = self.options.adapters.iter().find(|a| a.name == *adapter);
        let (Some(spec), Some(replica)) = (spec, self.replicas.get(&key)) else {
            return OrderStart::Reply(EngineOrderReply::Refused);
        };
        if let Some(copy) = replica.adapters.get(adapter) {
            return OrderStart::Reply(match copy.phase {
                Phase::Ready => EngineOrderReply::Done,
                Phase::Loading | Phase::Unloading => EngineOrderReply::Refused,
            });
        }
        let memory_mb = spec.memory_mb;
        if !replica.is_ready() {
            return OrderStart::Reply(EngineOrderReply::Refused);
        }
        if !self.fits(order, accelerator, memory_mb) {
            return OrderStart::Reply(EngineOrderReply::NoMemory);
        }
        let copy = AdapterCopy {
            phase: Phase::Loading,
            memory_mb,
        };
        if let Some(replica) = self.replicas.get_mut(&key) {
            replica.adapters.insert(adapter.clone(), copy);
        }
        OrderStart::Work(self.options.adapter_time)
    }

    fn start_adapter_unload(
        &mut self,
        adapter: &AdapterName,
        model: &ModelId,
        accelerator: u16,
        running: u32,
    ) -> OrderStart {
        let copy = self
            .replicas
            .get_mut(&(accelerator, model.clone()))
            .and_then(|replica| replica.adapters.get_mut(adapter));
        let Some(copy) = copy else {
            return OrderStart::Reply(EngineOrderReply::Done);
        };
        if copy.phase != Phase::Ready || running > 0 {
            return OrderStart::Reply(EngineOrderReply::Refused);
        }
        copy.phase = Phase::Unloading;
        OrderStart::Work(self.options.unload_time)
    }

    /// Returns true if the accelerator has `requested_mb` free; otherwise records a violation.
    fn fits(&mut self, order: &EngineOrder, accelerator: u16, requested_mb: u32) -> bool {
        if accelerator >= self.options.accelerators {
            return false;
        }
        let used_mb = self.used_on(accelerator);
        let fits = used_mb.saturating_add(requested_mb) <= self.options.accelerator_mb;
        if !fits {
            self.violations.push(MemoryViolation {
                order: order.clone(),
                used_mb,
                requested_mb,
            });
        }
        fits
    }

    fn used_on(&self, accelerator: u16) -> u32 {
        self.replicas
            .iter()
            .filter(|((index, _), _)| *index == accelerator)
            .map(|(_, replica)| replica.used_mb())
            .sum()
    }
}
