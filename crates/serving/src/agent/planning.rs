//! Election of the planner and its planning rounds.
//!
//! The planner is the agent with the lowest address among those that an agent has heard from. It
//! decides from all engines' reports and the entries' demand which engine loads which model, and
//! sends the load commands to the agents concerned.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{EngineReport, Planner, PlannerInput, PlannerSettings, TargetId};
use kumquatkeel_types::Timestamp;

use super::daemon::Agent;
use crate::gossip::Datagram;

/// Interval between two planning rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// How long an agent listens for agents with a lower address before it may become the planner.
const LISTEN_PERIOD: Duration = Duration::from_millis(900);
/// How long a new planner collects the entries' demand before its first round.
const DEMAND_PERIOD: Duration = Duration::from_millis(600);
/// Interval between two log lines on the model in most demand.
const LOG_INTERVAL: Duration = Duration::from_secs(2);

impl Agent {
    /// Updates the planner role and runs a planning round if this agent is the planner, each when
    /// due.
    pub(super) fn plan(&mut self) {
        let now = self.clock.now();
        if now.since(self.listening_since) < LISTEN_PERIOD
            || now.since(self.last_round) < ROUND_INTERVAL
        {
            return;
        }
        self.last_round = now;
        let planning = self.peers.has_lowest_address(self.settings.gossip) && self.report.is_some();
        if planning != self.planning {
            log::info!(planning; "planner role changed");
            self.planning = planning;
            self.planning_since = now;
            self.planner = Planner::default();
            // The next heartbeat goes to all entries at once, which then send their demand here.
            self.last_published = None;
        }
        if planning && now.since(self.planning_since) >= DEMAND_PERIOD {
            self.plan_round(now);
        }
    }

    /// Plans one round and sends each load command to the agent beside its target.
    fn plan_round(&mut self, now: Timestamp) {
        let (Some(target), Some(config)) = (self.target(), self.objects.config().cloned()) else {
            return;
        };
        let Some(spec) = config.engine(&target.service) else {
            return;
        };
        let mut engines: BTreeMap<TargetId, EngineReport> = self.peers.reports().collect();
        if let Some(report) = &self.report {
            let published = self.orders.published_report(report, Some(spec), now);
            engines.insert(target.id.clone(), published);
        }
        let ready = self.objects.table.ready(&target.service);
        engines.retain(|id, _| ready.iter().any(|t| t.id == *id));
        let settings = PlannerSettings::for_rate(spec.load_rate, spec);
        let demand = self.peers.demand();
        let input = PlannerInput {
            now,
            demand: &demand,
            engines: &engines,
            limited: &self.permits.limited_among(engines.keys()),
            spec,
        };
        self.log_top_model(&demand, &engines);
        for command in self.planner.plan_round(&input, settings) {
            let demand = demand.get(&command.model).copied().unwrap_or(0.0);
            let evict: Vec<String> = command.evict.iter().map(ToString::to_string).collect();
            log::info!(
                target_id:% = command.target, model:% = command.model, evict:serde, demand,
                engines = engines.len();
                "planned load"
            );
            if command.target == target.id {
                self.accept_load(command, now);
            } else if let Some(agent) = self.peers.agent_beside(&command.target) {
                self.gossip.send(agent, &Datagram::Load(command));
            }
        }
    }

    /// Logs, at most once per [`LOG_INTERVAL`], which engines hold the model in most demand.
    fn log_top_model(
        &mut self,
        demand: &HashMap<Arc<str>, f64>,
        engines: &BTreeMap<TargetId, EngineReport>,
    ) {
        let now = self.clock.now();
        if now.since(self.last_logged) < LOG_INTERVAL {
            return;
        }
        self.last_logged = now;
        let Some((model, demand)) = demand.iter().max_by(|a, b| a.1.total_cmp(b.1)) else {
            return;
        };
        let holders = engines.iter().filter(|(_, r)| r.holds(model));
        let holders: Vec<&str> = holders.map(|(id, _)| id.as_str()).collect();
        log::info!(model:%, demand, holders:serde, engines = engines.len(); "model in most demand");
    }
}
