//! What stands on the accelerators, and the orders that change it.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_types::document::{Fencing, Model};
use kumquatkeel_types::engine::{EngineOrder, EngineOrderReply};
use kumquatkeel_types::message::OrderAction;
use kumquatkeel_types::{AdapterName, ModelId};

use super::{EngineOptions, MemoryViolation};

/// What an engine does with an order when it arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// The order is answered at once.
    Reply(EngineOrderReply),
    /// The order takes this long from when the weights start to flow.
    Load(Duration),
    /// The order takes this long and needs no weights.
    Work(Duration),
}

/// How far an item of memory is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Loading,
    Ready,
    Unloading,
}

/// A model on an accelerator.
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
    /// Says whether the replica serves.
    pub(super) fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// Returns the adapters that are ready.
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

/// Where a replica stands.
pub(super) type Place = (u16, ModelId);

/// All accelerators of an engine.
///
/// Memory is in use from the moment a load starts until the unload has ended.
#[derive(Debug, Clone)]
pub struct Accelerators {
    options: EngineOptions,
    replicas: BTreeMap<Place, Replica>,
    fence: u64,
    violations: Vec<MemoryViolation>,
}

impl Accelerators {
    /// Makes empty accelerators.
    pub const fn new(options: EngineOptions) -> Self {
        Self {
            options,
            replicas: BTreeMap::new(),
            fence: 0,
            violations: Vec::new(),
        }
    }

    /// Returns the highest fencing number seen.
    pub const fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns the orders that would have used more memory than there is.
    pub fn violations(&self) -> &[MemoryViolation] {
        &self.violations
    }

    /// Returns the memory in use on each accelerator, in megabytes.
    pub fn used_mb(&self) -> Vec<u32> {
        (0..self.options.accelerators)
            .map(|accelerator| self.used_on(accelerator))
            .collect()
    }

    /// Returns the accelerators on which a request can run.
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

    /// Takes an order up; `in_use` says how many requests run on a replica.
    pub fn start(
        &mut self,
        order: &EngineOrder,
        in_use: impl Fn(u16, &ModelId, Option<&AdapterName>) -> u32,
    ) -> Start {
        if order.fence < self.fence && self.options.fencing == Fencing::Enforced {
            return Start::Reply(EngineOrderReply::OldFence);
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

    /// Ends an order that [`Accelerators::start`] took up.
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

    pub(super) const fn replicas(&self) -> &BTreeMap<Place, Replica> {
        &self.replicas
    }

    fn start_load(&mut self, order: &EngineOrder, model: &ModelId, accelerator: u16) -> Start {
        let place = (accelerator, model.clone());
        if let Some(replica) = self.replicas.get(&place) {
            return Start::Reply(match replica.phase {
                Phase::Ready => EngineOrderReply::Done,
                Phase::Loading | Phase::Unloading => EngineOrderReply::Refused,
            });
        }
        let Some(memory_mb) = self.options.model(model).map(Model::replica_mb) else {
            return Start::Reply(EngineOrderReply::Refused);
        };
        if !self.fits(order, accelerator, memory_mb) {
            return Start::Reply(EngineOrderReply::NoMemory);
        }
        let replica = Replica {
            phase: Phase::Loading,
            memory_mb,
            adapters: BTreeMap::new(),
        };
        self.replicas.insert(place, replica);
        Start::Load(self.options.load_time)
    }

    fn start_unload(&mut self, model: &ModelId, accelerator: u16, running: u32) -> Start {
        let Some(replica) = self.replicas.get_mut(&(accelerator, model.clone())) else {
            return Start::Reply(EngineOrderReply::Done);
        };
        if replica.phase != Phase::Ready || running > 0 {
            return Start::Reply(EngineOrderReply::Refused);
        }
        replica.phase = Phase::Unloading;
        Start::Work(self.options.unload_time)
    }

    fn start_adapter_load(
        &mut self,
        order: &EngineOrder,
        adapter: &AdapterName,
        model: &ModelId,
        accelerator: u16,
    ) -> Start {
        let place = (accelerator, model.clone());
        let known = self.options.adapters.iter().find(|a| a.name == *adapter);
        let (Some(known), Some(replica)) = (known, self.replicas.get(&place)) else {
            return Start::Reply(EngineOrderReply::Refused);
        };
        if let Some(copy) = replica.adapters.get(adapter) {
            return Start::Reply(match copy.phase {
                Phase::Ready => EngineOrderReply::Done,
                Phase::Loading | Phase::Unloading => EngineOrderReply::Refused,
            });
        }
        let memory_mb = known.memory_mb;
        if !replica.is_ready() {
            return Start::Reply(EngineOrderReply::Refused);
        }
        if !self.fits(order, accelerator, memory_mb) {
            return Start::Reply(EngineOrderReply::NoMemory);
        }
        let copy = AdapterCopy {
            phase: Phase::Loading,
            memory_mb,
        };
        if let Some(replica) = self.replicas.get_mut(&place) {
            replica.adapters.insert(adapter.clone(), copy);
        }
        Start::Work(self.options.adapter_time)
    }

    fn start_adapter_unload(
        &mut self,
        adapter: &AdapterName,
        model: &ModelId,
        accelerator: u16,
        running: u32,
    ) -> Start {
        let copy = self
            .replicas
            .get_mut(&(accelerator, model.clone()))
            .and_then(|replica| replica.adapters.get_mut(adapter));
        let Some(copy) = copy else {
            return Start::Reply(EngineOrderReply::Done);
        };
        if copy.phase != Phase::Ready || running > 0 {
            return Start::Reply(EngineOrderReply::Refused);
        }
        copy.phase = Phase::Unloading;
        Start::Work(self.options.unload_time)
    }

    /// Says whether more memory fits, and records a violation when it does not.
    fn fits(&mut self, order: &EngineOrder, accelerator: u16, more_mb: u32) -> bool {
        if accelerator >= self.options.accelerators {
            return false;
        }
        let used_mb = self.used_on(accelerator);
        let fits = used_mb.saturating_add(more_mb) <= self.options.accelerator_mb;
        if !fits {
            self.violations.push(MemoryViolation {
                order: order.clone(),
                used_mb,
                more_mb,
            });
        }
        fits
    }

    fn used_on(&self, accelerator: u16) -> u32 {
        self.replicas
            .iter()
            .filter(|((place, _), _)| *place == accelerator)
            .map(|(_, replica)| replica.used_mb())
            .sum()
    }
}
