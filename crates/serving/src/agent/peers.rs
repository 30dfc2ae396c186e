//! The entries and other agents that an agent has heard from, and when to send to each.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{
    Backlog, EngineReport, ModelDemand, TargetId, agent_interval, entry_ttl,
};
use kumquatkeel_types::Timestamp;

use crate::gossip::{AgentHeartbeat, BacklogUpdate, EntryHeartbeat, Stamp};

/// Shortest interval between two notices of what a target states.
const MIN_NOTICE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between notices that each entry adds, so that an agent's send rate stays bounded in a large
/// fleet.
const NOTICE_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(15);
/// How long an agent is known after its last datagram.
const AGENT_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Number of agents that are sent the reports of all others: the planner and its successors.
const PLANNER_CANDIDATES: usize = 3;

#[derive(Debug, Clone)]
struct EntryPeer {
    last_seen: Timestamp,
    stamp: Stamp,
    backlog: Backlog,
    remote: bool,
    demand: Vec<ModelDemand>,
    /// When a heartbeat was last sent to the entry.
    last_sent: Option<Timestamp>,
}

#[derive(Debug, Clone)]
struct AgentPeer {
    last_seen: Timestamp,
    stamp: Stamp,
    /// Its last heartbeat; `None` while it sends only `Alive` datagrams, which go to agents that
    /// are no candidates for planner.
    heartbeat: Option<AgentHeartbeat>,
}

/// An entry to which a heartbeat is due.
#[derive(Debug, Clone)]
pub(super) struct DueEntry {
    /// The entry's address.
    pub(super) address: SocketAddr,
    /// The interval until its next heartbeat.
    pub(super) interval: Duration,
    /// The backlog of all other entries.
    pub(super) others: Backlog,
}

/// The peers that have sent a datagram recently.
#[derive(Debug, Clone, Default)]
pub(super) struct Peers {
    entries: BTreeMap<SocketAddr, EntryPeer>,
    agents: HashMap<SocketAddr, AgentPeer>,
}

impl Peers {
    /// Records an entry's heartbeat; returns false, without effect, if it is not newer than the
    /// last.
    pub(super) fn record_entry(
        &mut self,
        from: SocketAddr,
        heartbeat: &EntryHeartbeat,
        now: Timestamp,
    ) -> bool {
        let known = self.entries.get(&from);
        if known.is_some_and(|e| !heartbeat.stamp.is_newer_than(e.stamp)) {
            return false;
        }
        let peer = EntryPeer {
            last_seen: now,
            stamp: heartbeat.stamp,
            backlog: heartbeat.backlog,
            remote: heartbeat.remote,
            demand: heartbeat.demand.clone(),
            last_sent: known.and_then(|e| e.last_sent),
        };
        self.entries.insert(from, peer);
        true
    }

    /// Returns whether an entry has been heard from recently.
    pub(super) fn knows_entry(&self, entry: SocketAddr) -> bool {
        self.entries.contains_key(&entry)
    }

    /// Records the current backlog of an entry that is known.
    pub(super) fn record_backlog(
        &mut self,
        from: SocketAddr,
        update: &BacklogUpdate,
        now: Timestamp,
    ) {
        if let Some(entry) = self.entries.get_mut(&from)
            && update.stamp.is_newer_than(entry.stamp)
        {
            entry.last_seen = now;
            entry.stamp = update.stamp;
            entry.backlog = update.backlog;
        }
    }

    /// Returns the backlog of all entries but the one at `entry`.
    pub(super) fn backlog_of_others(&self, entry: SocketAddr) -> Backlog {
        let own = self.entries.get(&entry).map(|e| e.backlog);
        self.total_backlog().minus(own.unwrap_or_default())
    }

    fn total_backlog(&self) -> Backlog {
        let entries = self.entries.values();
        entries.fold(Backlog::default(), |sum, e| sum.plus(e.backlog))
    }

    /// Records another agent's heartbeat if it is newer than the last; one without the list of
    /// cached models keeps the list already known.
    pub(super) fn record_agent(
        &mut self,
        from: SocketAddr,
        heartbeat: AgentHeartbeat,
        now: Timestamp,
    ) {
        let known = self.agents.get(&from);
        if known.is_none_or(|a| heartbeat.stamp.is_newer_than(a.stamp)) {
            let mut heartbeat = heartbeat;
            if let Some(cached) = heartbeat.cached.take() {
                heartbeat.report.cached = cached;
            } else if let Some(known) = known.and_then(|a| a.heartbeat.as_ref()) {
                heartbeat.report.cached.clone_from(&known.report.cached);
            }
            let peer = AgentPeer {
                last_seen: now,
                stamp: heartbeat.stamp,
                heartbeat: Some(heartbeat),
            };
            self.agents.insert(from, peer);
        }
    }

    /// Records that another agent is alive.
    pub(super) fn record_alive(&mut self, from: SocketAddr, stamp: Stamp, now: Timestamp) {
        let peer = self.agents.entry(from).or_insert(AgentPeer {
            last_seen: now,
            stamp,
            heartbeat: None,
        });
        if stamp.is_newer_than(peer.stamp) {
            peer.last_seen = now;
            peer.stamp = stamp;
        }
    }

    /// Returns whether an agent is the planner or one of its next successors: fewer than
    /// [`PLANNER_CANDIDATES`] known agents have a lower address.
    pub(super) fn is_planner_candidate(&self, agent: SocketAddr) -> bool {
        let lower = self.agents.keys().filter(|address| **address < agent);
        lower.count() < PLANNER_CANDIDATES
    }

    /// Drops peers whose last datagram is too old, in a fleet with this number of engines.
    pub(super) fn expire(&mut self, engines: usize, now: Timestamp) {
        let ttl = entry_ttl(engines, self.entries.len());
        self.entries.retain(|_, e| now.since(e.last_seen) < ttl);
        self.agents
            .retain(|_, a| now.since(a.last_seen) < AGENT_TIMEOUT);
    }

    /// Drops all agents, as after a pause of this process.
    pub(super) fn clear_agents(&mut self) {
        self.agents.clear();
    }

    /// Returns whether `own` is lower than the address of every known agent.
    pub(super) fn has_lowest_address(&self, own: SocketAddr) -> bool {
        self.agents.keys().all(|address| own < *address)
    }

    /// Returns the addresses of the known entries.
    pub(super) fn entries(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.entries.keys().copied()
    }

    /// Returns the addresses of the known entries of the agent's region.
    pub(super) fn local_entries(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let local = self.entries.iter().filter(|(_, entry)| !entry.remote);
        local.map(|(address, _)| *address)
    }

    /// Returns the addresses of the known agents that are the planner or its next successors.
    pub(super) fn planner_candidates(&self) -> Vec<SocketAddr> {
        let mut agents: Vec<SocketAddr> = self.agents.keys().copied().collect();
        agents.sort_unstable();
        agents.truncate(PLANNER_CANDIDATES);
        agents
    }

    /// Returns the interval between two notices of what a target states, for processes that start or
    /// have missed one.
    pub(super) fn notice_interval(&self) -> Duration {
        MIN_NOTICE_INTERVAL.max(NOTICE_INTERVAL_PER_ENTRY * self.entries.len() as u32)
    }

    /// Returns the number of known entries.
    pub(super) fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the entries to which a heartbeat is due and marks it as sent; if the report
    /// `changed`, it is due to all.
    pub(super) fn due_entries(&mut self, now: Timestamp, changed: bool) -> Vec<DueEntry> {
        let entries = self.entries.len();
        let total = self.total_backlog();
        let mut due = Vec::new();
        for (address, entry) in &mut self.entries {
            let interval = agent_interval(entries, entry.remote);
            let recently_sent = entry
                .last_sent
                .is_some_and(|last_sent| now.since(last_sent) < interval);
            if recently_sent && !changed {
                continue;
            }
            entry.last_sent = Some(now);
            due.push(DueEntry {
                address: *address,
                interval,
                others: total.minus(entry.backlog),
            });
        }
        due
    }

    /// Returns the demand of all entries for each model, in engines kept busy.
    pub(super) fn demand(&self) -> HashMap<Arc<str>, f64> {
        let mut demand = HashMap::new();
        for model_demand in self.entries.values().flat_map(|e| &e.demand) {
            *demand.entry(model_demand.model.clone()).or_insert(0.0) +=
                model_demand.rate_us as f64 / 1e6;
        }
        demand
    }

    /// Returns the address of the agent beside a target; `None` if it has sent no heartbeat.
    pub(super) fn agent_beside(&self, target: &TargetId) -> Option<SocketAddr> {
        let mut agents = self.agents.iter();
        let is_beside = |a: &AgentPeer| a.heartbeat.as_ref().is_some_and(|b| b.target == *target);
        let found = agents.find(|(_, a)| is_beside(a));
        found.map(|(address, _)| *address)
    }

    /// Returns the engine reports from the other agents' heartbeats.
    pub(super) fn reports(&self) -> impl Iterator<Item = (TargetId, EngineReport)> {
        let beats = self.agents.values().filter_map(|a| a.heartbeat.as_ref());
        beats.map(|heartbeat| (heartbeat.target.clone(), heartbeat.report.clone()))
    }
}
