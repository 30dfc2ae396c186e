//! Reports, planning rounds, orders and faults.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kumquatkeel_core::memory::{BeginStep, OrderCheck, action_memory_mb};
use kumquatkeel_core::placement::{PlacedReplica, PlacementPlugin, PlanInput};
use kumquatkeel_core::plugin::find_plugin;
use kumquatkeel_core::request::FlowEvent;
use kumquatkeel_types::document::ServiceKind;
use kumquatkeel_types::engine::EngineOrderReply;
use kumquatkeel_types::message::{
    LoadSummary, Member, Order, OrderAction, OrderResult, ReplicaState, Role,
};
use kumquatkeel_types::{Incarnation, ModelId, Timestamp};

use super::agent::Agent;
use super::engine::Replica;
use super::event::{Event, Execution};
use super::fault::{Condition, Fault, Passage};
use super::plan::Traffic;
use super::schedule::service_of;
use super::world::World;

/// Time between two rounds.
const ROUND: Duration = Duration::from_secs(1);
/// Time that a report takes to the entries.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// Time that a report takes while reports lag.
const LATE_REPORT: Duration = Duration::from_secs(6);
/// Time that an engine takes to unload a replica.
const UNLOAD: Duration = Duration::from_millis(50);
/// Bytes of an agent's report.
const REPORT_BYTES: u64 = 600;
/// Bytes of an order and its answer.
const ORDER_BYTES: u64 = 500;
/// Rounds in which the first placement is set up.
const PRIME_ROUNDS: u64 = 200;

impl World {
    /// Sets up the even placement from which every policy starts; its loads are not counted.
    pub(super) fn prime(&mut self) {
        let document = self.site.document.clone();
        let Ok(plugin) = find_plugin::<PlacementPlugin>("static") else {
            return;
        };
        let mut policy = (plugin.make)();
        let serving: BTreeSet<_> = document.targets.iter().map(|t| t.name.clone()).collect();
        for round in 0..PRIME_ROUNDS {
            let replicas = self.agents.iter().flat_map(placed).collect::<Vec<_>>();
            let used = |a: &Agent| (a.target.name.clone(), vec![a.engine.used_mb()]);
            let input = PlanInput {
                now: Timestamp::from_millis(round * 1_000),
                document: &document,
                serving: &serving,
                leaving: &BTreeSet::new(),
                replicas: &replicas,
                demand: &BTreeMap::new(),
                adapter_demand: &BTreeMap::new(),
                committed_mb: &self.agents.iter().map(used).collect(),
                fenced: &serving,
                loading: 0,
                additive_only: false,
            };
            for order in policy.plan(&input) {
                if let Some(agent) = self.agent_of(&order.target) {
                    self.put(agent, &order.action, true);
                }
            }
        }
        self.now = Timestamp::from_micros(1);
        for agent in 0..self.agents.len() {
            self.refresh_agent(agent);
            let member = self.agents[agent].report();
            self.on_report(member);
        }
    }

    /// Puts a model or adapter into an engine.
    fn put(&mut self, agent: usize, action: &OrderAction, ready: bool) {
        let document = self.site.document.clone();
        let engine = &mut self.agents[agent].engine;
        match action {
            OrderAction::Load { model, .. } => {
                if let Some(known) = document.model(model) {
                    let replica = Replica {
                        weights_mb: known.memory_mb,
                        memory_mb: known.replica_mb(),
                        ready,
                        adapters: BTreeMap::new(),
                    };
                    engine.replicas.insert(model.clone(), replica);
                }
            }
            OrderAction::LoadAdapter { adapter, model, .. } => {
                let size_mb = document.adapter(adapter).map_or(0, |a| a.memory_mb);
                if let Some(replica) = engine.replicas.get_mut(model) {
                    replica.adapters.insert(adapter.clone(), size_mb);
                }
            }
            OrderAction::Unload { model, .. } => {
                engine.replicas.remove(model);
            }
            OrderAction::UnloadAdapter { adapter, model, .. } => {
                if let Some(replica) = engine.replicas.get_mut(model) {
                    replica.adapters.remove(adapter);
                }
            }
        }
    }

    /// Lets an agent look at its engine and adjust its lanes.
    fn refresh_agent(&mut self, agent: usize) {
        let document = self.site.document.clone();
        self.agents[agent].observe(&document, self.now);
        for model in &document.models {
            self.adjust_pool(agent, &model.id());
        }
    }

    fn adjust_pool(&mut self, agent: usize, model: &ModelId) {
        let document = self.site.document.clone();
        let steps = self.agents[agent].adjust_pool(model, &document, self.now);
        self.follow(agent, steps);
    }

    pub(super) fn on_second(&mut self) {
        for agent in 0..self.agents.len() {
            if self.agents[agent].alive {
                self.refresh_agent(agent);
                self.send_report(agent);
            }
        }
        self.count_unreachable();
        self.set_slots();
        self.plan_round();
        self.after(ROUND, Event::Second);
    }

    fn send_report(&mut self, agent: usize) {
        let lag = if self.faults.holds(Condition::Reports) {
            LATE_REPORT
        } else {
            REPORT_LAG
        };
        let member = self.agents[agent].report();
        let centre = self.agents[agent].centre;
        let planner = self.planner_centre();
        self.network.count(centre, planner, REPORT_BYTES);
        self.after(lag, Event::Report(Box::new(member)));
    }

    /// Returns the data centre of the entry that holds the placement lease.
    fn planner_centre(&self) -> usize {
        let mut centres = self.entries.iter().map(|e| e.centre);
        centres.find(|&c| self.network.is_reachable(c)).unwrap_or(0)
    }

    pub(super) fn on_report(&mut self, member: Member) {
        let Role::Agent(target) = &member.role else {
            return;
        };
        let Some(agent) = self.agent_of(target) else {
            return;
        };
        let from = self.agents[agent].centre;
        for entry in &mut self.entries {
            if self.network.latency(from, entry.centre).is_some() {
                let view = entry.router.view_mut();
                view.apply_member(member.clone(), self.now);
            }
        }
        if self.network.latency(from, self.planner_centre()).is_some() {
            self.planner.hear(member, self.now);
        }
    }

    /// Counts the models that no entry reaches.
    fn count_unreachable(&mut self) {
        if self.now > self.end {
            return;
        }
        let reached = |model: &ModelId| {
            let entries = self.entries.iter().map(|e| e.centre);
            let mut open = entries.filter(|&centre| self.network.is_reachable(centre));
            open.any(|centre| {
                self.agents.iter().any(|agent| {
                    let replica = agent.engine.replicas.get(model);
                    agent.alive
                        && replica.is_some_and(|r| r.ready)
                        && self.network.latency(centre, agent.centre).is_some()
                })
            })
        };
        let models = self.site.document.models.iter();
        let missing = models.filter(|m| !reached(&m.id())).count();
        self.unreachable_seconds += missing as u64;
    }

    /// Tells each entry's gates the slots of the fleet.
    fn set_slots(&mut self) {
        let document = self.site.document.clone();
        for kind in [ServiceKind::Completions, ServiceKind::Plain] {
            let service = &service_of(&document, kind).name;
            let serves = |a: &&Agent| {
                a.alive && (a.target.services.contains(service) == (kind == ServiceKind::Plain))
            };
            let slots = self.agents.iter().filter(serves);
            let slots = slots.map(|a| a.scheduler.load().slots).sum();
            for entry in &mut self.entries {
                if let Some(controller) = entry.controllers.get_mut(service) {
                    controller.set_slots(slots);
                }
                entry.router.ejector_mut().sweep(self.now);
            }
        }
    }

    fn plan_round(&mut self) {
        let planner = self.planner_centre();
        let mut traffic: BTreeMap<ModelId, Traffic> = BTreeMap::new();
        for entry in &mut self.entries {
            let heard = self.network.latency(entry.centre, planner).is_some();
            for (model, count) in &mut entry.counts {
                if heard {
                    let sum = traffic.entry(model.clone()).or_default();
                    sum.arrived += count.arrived;
                    sum.unmet += count.unmet;
                    sum.running += count.running;
                }
                count.arrived = 0;
                count.unmet = 0;
            }
        }
        self.planner.count(traffic);
        let document = self.site.document.clone();
        let additive_only = self.faults.holds(Condition::Store);
        for planned in self.planner.plan(&document, additive_only, self.now) {
            if let Some(order) = self.planner.order(planned) {
                self.send_order(planner, order);
            }
        }
    }

    fn send_order(&mut self, planner: usize, order: Order) {
        let Some(agent) = self.agent_of(&order.target) else {
            return;
        };
        let centre = self.agents[agent].centre;
        let Some(way) = self.network.latency(planner, centre) else {
            return;
        };
        self.network.count(planner, centre, ORDER_BYTES);
        if let Passage::Arrives(late_ms) = self.faults.order(&mut self.rng) {
            let time = way + Duration::from_millis(late_ms);
            self.after(time, Event::Order(agent, Box::new(order)));
        }
    }

    pub(super) fn on_order(&mut self, agent: usize, order: &Order) {
        if !self.agents[agent].alive {
            return;
        }
        let document = self.site.document.clone();
        let host = &mut self.agents[agent];
        if host.validator.check(order) != OrderCheck::Accept {
            return;
        }
        let size_mb = action_memory_mb(&document, &order.action);
        let begun = host.memory.begin(&order.action, size_mb, self.now);
        let BeginStep::Send { number } = begun else {
            return;
        };
        let _ = host.validator.reply(order, OrderResult::Started);
        let execution = Execution {
            number,
            action: order.action.clone(),
            reply: EngineOrderReply::Done,
        };
        self.execute(agent, execution);
    }

    /// Lets an engine execute an order.
    fn execute(&mut self, agent: usize, execution: Execution) {
        if let OrderAction::Unload { model, .. } = &execution.action {
            let model = model.clone();
            self.unloads[agent].push(execution);
            self.adjust_pool(agent, &model);
            return self.run_unloads(agent);
        }
        let size_mb = action_memory_mb(&self.site.document, &execution.action).unwrap_or(0);
        let loads = matches!(
            execution.action,
            OrderAction::Load { .. } | OrderAction::LoadAdapter { .. }
        );
        let host = &self.agents[agent];
        if loads && host.engine.used_mb() + size_mb > host.target.accelerator_mb {
            self.memory_violations += 1;
        }
        let time = self.store.start(&execution.action);
        self.put(agent, &execution.action, false);
        let life = self.agents[agent].life;
        self.after(time, Event::Executed(agent, life, execution));
    }

    /// Unloads the replicas that have become idle.
    pub(super) fn run_unloads(&mut self, agent: usize) {
        let waiting = std::mem::take(&mut self.unloads[agent]);
        for execution in waiting {
            let OrderAction::Unload { model, .. } = &execution.action else {
                continue;
            };
            if self.agents[agent].engine.is_busy(model) {
                self.unloads[agent].push(execution);
                continue;
            }
            self.put(agent, &execution.action, false);
            let life = self.agents[agent].life;
            self.after(UNLOAD, Event::Executed(agent, life, execution));
        }
    }

    pub(super) fn on_executed(&mut self, agent: usize, life: Incarnation, execution: &Execution) {
        self.store.end(&execution.action);
        if !self.agents[agent].alive || self.agents[agent].life != life {
            return;
        }
        let answer_lost = self.faults.order(&mut self.rng) == Passage::Lost;
        let reply = (!answer_lost).then_some(execution.reply);
        let host = &mut self.agents[agent];
        host.memory.settle(execution.number, reply, self.now);
        match &execution.action {
            OrderAction::Load { model, .. } => {
                self.moves += 1;
                if let Some(replica) = host.engine.replicas.get_mut(model) {
                    replica.ready = true;
                }
                self.adjust_pool(agent, &model.clone());
            }
            OrderAction::Unload { .. } => self.moves += 1,
            OrderAction::LoadAdapter { model, .. } | OrderAction::UnloadAdapter { model, .. } => {
                self.adjust_pool(agent, &model.clone());
            }
        }
    }

    pub(super) fn on_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Die(agent) => self.die(agent),
            Fault::Replace(agent) => self.agents[agent].restart(self.now),
            Fault::Centre(centre, cut) => self.network.cut_centre(centre, cut),
            Fault::Link(cut) => self.network.cut_link(cut),
            Fault::Condition(condition, holds) => self.faults.set(condition, holds),
        }
    }

    fn die(&mut self, agent: usize) {
        let host = &mut self.agents[agent];
        host.alive = false;
        host.engine.reset();
        let running = std::mem::take(&mut host.open);
        self.unloads[agent].clear();
        let name = self.agents[agent].target.name.clone();
        let here = |request: &usize| {
            let open = self.open.get(request);
            open.is_some_and(|o| o.attempt.is_some_and(|(at, _)| at == agent))
        };
        let waiting: Vec<_> = self
            .queued
            .iter()
            .filter(|(_, (request, _))| here(request))
            .map(|(attempt, (request, _))| (attempt.clone(), *request))
            .collect();
        log::debug!(target: "measure", "measure: the instance of {name} dies");
        for (attempt, request) in running.into_iter().chain(waiting) {
            self.queued.remove(&attempt);
            self.tell(agent, request, FlowEvent::Interrupted(attempt));
        }
    }
}

/// Returns an engine's replicas as reported.
fn placed(agent: &Agent) -> Vec<PlacedReplica> {
    let replicas = agent.engine.replicas.iter();
    replicas
        .map(|(model, replica)| PlacedReplica {
            target: agent.target.name.clone(),
            accelerator: 0,
            model: model.clone(),
            state: ReplicaState::Ready,
            adapters: replica.adapters.keys().cloned().collect(),
            load: LoadSummary::default(),
        })
        .collect()
}
