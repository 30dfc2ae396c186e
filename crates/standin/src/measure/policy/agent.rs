//! An agent with the target behind it.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_core::memory::{MemorySettings, MemoryTracker, OrderValidator};
use kumquatkeel_core::scheduler::{
    AttemptScheduler, PoolCapacity, PoolId, SchedulerLimits, SchedulerStep,
};
use kumquatkeel_types::document::{Document, Model, Target, TargetKind};
use kumquatkeel_types::engine::{EngineLoad, EngineReplica};
use kumquatkeel_types::message::{
    LoadSummary, Member, MemberState, MemberVersion, ProbeReply, ReplicaState, Role, TargetStatus,
};
use kumquatkeel_types::{AttemptId, Incarnation, ModelId, Revision, Timestamp};

use super::engine::Engine;

/// Attempts that an agent lets run on an accelerator: the most for which co-resident models that
/// fill the memory keep the limit between tokens.
pub(super) const ACCELERATOR_SLOTS: u32 = 24;

/// An agent and its target.
#[derive(Debug)]
pub(super) struct Agent {
    /// The target, as the document names it.
    pub(super) target: Target,
    /// The target's data centre, by its place in the document.
    pub(super) centre: usize,
    /// Whether the instance is alive.
    pub(super) alive: bool,
    /// The agent's life.
    pub(super) life: Incarnation,
    /// The gate.
    pub(super) scheduler: AttemptScheduler,
    /// The check of orders.
    pub(super) validator: OrderValidator,
    /// The account of memory.
    pub(super) memory: MemoryTracker,
    /// The engine; without replicas for a plain service.
    pub(super) engine: Engine,
    /// The requests of attempts that the agent has taken in.
    pub(super) open: BTreeMap<AttemptId, usize>,
    sequence: u64,
}

impl Agent {
    /// Starts the agent of a target in its first life.
    pub(super) fn new(target: &Target, centre: usize, now: Timestamp) -> Self {
        let mut agent = Self {
            target: target.clone(),
            centre,
            alive: true,
            life: Incarnation(0),
            scheduler: AttemptScheduler::new(SchedulerLimits::default(), Incarnation(0)),
            validator: OrderValidator::new(target.name.clone(), Incarnation(0)),
            memory: MemoryTracker::new(MemorySettings::default(), now),
            engine: Engine::default(),
            open: BTreeMap::new(),
            sequence: 0,
        };
        agent.restart(now);
        agent
    }

    /// Starts the next life on a new instance.
    pub(super) fn restart(&mut self, now: Timestamp) {
        let target = &self.target;
        self.life = self.life.next();
        self.alive = true;
        self.sequence = 0;
        self.engine.reset();
        self.open.clear();
        self.validator = OrderValidator::new(target.name.clone(), self.life);
        let slots = match target.kind {
            TargetKind::Engine => ACCELERATOR_SLOTS * u32::from(target.accelerators),
            TargetKind::Plain => u32::from(target.slots),
        };
        let limits = SchedulerLimits {
            slots,
            ..SchedulerLimits::default()
        };
        self.scheduler = AttemptScheduler::new(limits, self.life);
        if target.kind == TargetKind::Plain {
            let capacity = PoolCapacity {
                slots,
                ..PoolCapacity::default()
            };
            let _ = self.scheduler.open_pool(PoolId::Plain, capacity, now);
        }
        let settings = MemorySettings {
            incarnation: self.life,
            accelerators: target.accelerators,
            accelerator_mb: target.accelerator_mb,
            fencing: target.fencing,
            ..MemorySettings::default()
        };
        self.memory = MemoryTracker::new(settings, now);
    }

    /// Lets the account observe the engine.
    pub(super) fn observe(&mut self, document: &Document, now: Timestamp) {
        let load = EngineLoad {
            age_ms: 0,
            replicas: self.engine_replicas(),
            used_mb: vec![self.engine.used_mb(); usize::from(self.target.accelerators)],
            fence: self.life.0,
        };
        self.memory
            .observe(&load, now, |allocation| match &allocation.adapter {
                Some(name) => document.adapter(name).map(|a| a.memory_mb),
                None => document.model(&allocation.model).map(Model::replica_mb),
            });
    }

    fn engine_replicas(&self) -> Vec<EngineReplica> {
        let replicas = self.engine.replicas.iter();
        replicas
            .map(|(model, replica)| EngineReplica {
                model: model.clone(),
                accelerator: 0,
                ready: replica.ready,
                adapters: replica.adapters.keys().cloned().collect(),
                running: 0,
                waiting: 0,
            })
            .collect()
    }

    /// Opens or closes a model's lane as its replicas and adapters come and go.
    pub(super) fn adjust_pool(
        &mut self,
        model: &ModelId,
        document: &Document,
        now: Timestamp,
    ) -> Vec<SchedulerStep> {
        let pool = PoolId::Model(model.clone());
        let slots = document.model(model).map_or(0, |m| u32::from(m.slots));
        let ready: Vec<_> = self
            .memory
            .residency()
            .into_iter()
            .filter(|r| r.model == *model && r.state == ReplicaState::Ready)
            .collect();
        if ready.is_empty() {
            return self.scheduler.close_pool(&pool, now);
        }
        let capacity = PoolCapacity {
            slots: slots * ready.len() as u32,
            adapters: ready.into_iter().flat_map(|r| r.adapters).collect(),
        };
        self.scheduler.open_pool(pool, capacity, now)
    }

    /// Returns the answer to a probe.
    pub(super) fn probe(&self, model: Option<&ModelId>) -> ProbeReply {
        ProbeReply {
            incarnation: self.life,
            draining: false,
            resident: model.is_none_or(|m| self.memory.ready_replicas(m) > 0),
            load: self.load_of(model),
        }
    }

    /// Returns a lane's load; its slots are those that the whole target leaves it.
    fn load_of(&self, model: Option<&ModelId>) -> LoadSummary {
        let pool = model.map_or(PoolId::Plain, |m| PoolId::Model(m.clone()));
        let mut load = self.scheduler.pool_load(&pool);
        let whole = self.scheduler.load();
        let left = whole.slots.saturating_sub(whole.running);
        load.slots = load.slots.min(load.running + left);
        load
    }

    /// Returns the agent's report of itself.
    pub(super) fn report(&mut self) -> Member {
        self.sequence += 1;
        let mut replicas = self.memory.residency();
        for replica in &mut replicas {
            replica.load = self.load_of(Some(&replica.model));
        }
        Member {
            role: Role::Agent(self.target.name.clone()),
            version: MemberVersion {
                incarnation: self.life,
                sequence: self.sequence,
            },
            data_centre: self.target.data_centre.clone(),
            address: self.target.agent,
            state: MemberState::Serving,
            revision: Revision(1),
            target: Some(TargetStatus {
                replicas,
                committed_mb: self.memory.committed_mb(),
                load: self.scheduler.load(),
                epoch: self.validator.epoch(),
            }),
        }
    }

    /// Returns the time until the next attempt has waited too long.
    pub(super) fn next_wake(&self, now: Timestamp) -> Option<Duration> {
        self.scheduler.next_wake().map(|at| at.since(now))
    }
}
