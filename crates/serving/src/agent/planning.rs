//! Planning rounds of the agent that has the lowest address of those heard.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{EngineReport, Planner, PlannerInput, PlannerSettings, TargetId};
use kumquatkeel_types::Timestamp;

use super::daemon::Agent;
use crate::gossip::Datagram;

/// Pause between two planning rounds.
const ROUND: Duration = Duration::from_millis(250);
/// How long an agent listens before it may plan.
const LISTEN: Duration = Duration::from_millis(900);
/// How long a new planner gathers the entries' demand before its first round.
const GATHER: Duration = Duration::from_millis(600);
/// Pause between two log lines on the plan.
const PLAN_LOG: Duration = Duration::from_secs(2);
/// Share of the weight store's rate that the planner uses.
const LOAD_RATE_SHARE: f64 = 0.9;
/// Loads from the weight store that may begin at once; the platform allows three beyond its rate.
const LOAD_BURST: f64 = 3.0;

impl Agent {
    /// Plans a round if this agent is the planner and a round is due.
    pub(super) fn plan(&mut self) {
        let now = self.clock.now();
        if now.since(self.listening) < LISTEN || now.since(self.round) < ROUND {
            return;
        }
        self.round = now;
        let planning = self.peers.is_lowest(self.settings.gossip) && self.report.is_some();
        if planning != self.planning {
            log::info!(planning; "planner role");
            self.planning = planning;
            self.planning_since = now;
            self.planner = Planner::default();
        }
        if planning && now.since(self.planning_since) >= GATHER {
            self.plan_round(now);
        }
    }

    fn plan_round(&mut self, now: Timestamp) {
        let (Some(target), Some(config)) = (self.target(), self.objects.config().cloned()) else {
            return;
        };
        let Some(spec) = config.engine(&target.service) else {
            return;
        };
        let mut engines: BTreeMap<TargetId, EngineReport> = self.peers.reports().collect();
        if let Some(report) = &self.report {
            let shown = self.orders.published_report(report, Some(spec), now);
            engines.insert(target.id.clone(), shown);
        }
        let ready = self.objects.table.ready(&target.service);
        engines.retain(|id, _| ready.iter().any(|t| t.id == *id));
        let rate = spec.load_rate * LOAD_RATE_SHARE;
        let settings = PlannerSettings {
            rate,
            concurrency: spec.max_concurrent_loads(rate),
            burst: LOAD_BURST,
        };
        let demand = self.peers.demand();
        let input = PlannerInput {
            now,
            demand: &demand,
            engines: &engines,
            spec,
        };
        self.log_hottest(&demand, &engines);
        for command in self.planner.plan_round(&input, settings) {
            let demand = demand.get(&command.model).copied().unwrap_or(0.0);
            let evict: Vec<String> = command.evict.iter().map(ToString::to_string).collect();
            log::info!(
                target_id:% = command.target, model:% = command.model, evict:serde, demand,
                engines = engines.len();
                "planned load"
            );
            if command.target == target.id {
                self.accept(command, now);
            } else if let Some(agent) = self.peers.agent_of(&command.target) {
                self.gossip.send(agent, &Datagram::Load(command));
            }
        }
    }

    /// Logs now and then which engines hold the model in most demand.
    fn log_hottest(
        &mut self,
        demand: &HashMap<Arc<str>, f64>,
        engines: &BTreeMap<TargetId, EngineReport>,
    ) {
        let now = self.clock.now();
        if now.since(self.logged) < PLAN_LOG {
            return;
        }
        self.logged = now;
        let Some((model, demand)) = demand.iter().max_by(|a, b| a.1.total_cmp(b.1)) else {
            return;
        };
        let holders = engines.iter().filter(|(_, r)| r.holds(model));
        let holders: Vec<&str> = holders.map(|(id, _)| id.as_str()).collect();
        log::info!(model:%, demand, holders:serde, engines = engines.len(); "hottest model");
    }
}
