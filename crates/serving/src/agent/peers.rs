//! What an agent knows of entries and other agents.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{Backlog, EngineReport, ModelDemand, TargetId};
use kumquatkeel_types::Timestamp;

use crate::gossip::{AgentHeartbeat, BacklogUpdate, EntryHeartbeat, Stamp};

/// Shortest pause between two beats to an entry.
const ENTRY_BEAT: Duration = Duration::from_millis(200);
/// Pause that each entry adds, so that a large fleet is told less often.
const BEAT_PER_ENTRY: Duration = Duration::from_millis(15);
/// How much less often an entry in another region is told, as the link is thin and paid.
const REMOTE_FACTOR: u32 = 2;
/// How long an entry counts after its last beat.
const ENTRY_LIFE: Duration = Duration::from_millis(2_500);
/// How long an agent counts after its last beat.
const AGENT_LIFE: Duration = Duration::from_millis(1_800);

/// Agents that are sent the reports of all others: the planner and those that would follow it.
const PLANNER_CANDIDATES: usize = 3;

#[derive(Debug, Clone)]
struct EntryPeer {
    seen: Timestamp,
    stamp: Stamp,
    backlog: Backlog,
    remote: bool,
    demand: Vec<ModelDemand>,
    /// When the entry was last told.
    told: Option<Timestamp>,
}

#[derive(Debug, Clone)]
struct AgentPeer {
    seen: Timestamp,
    stamp: Stamp,
    /// Its last beat; only agents that may plan are sent any.
    beat: Option<AgentHeartbeat>,
}

/// An entry that is to be told now.
#[derive(Debug, Clone)]
pub(super) struct DueEntry {
    /// The entry's address.
    pub(super) address: SocketAddr,
    /// The pause until it is told again.
    pub(super) interval: Duration,
    /// The work of the other entries.
    pub(super) others: Backlog,
}

/// The peers heard from lately.
#[derive(Debug, Clone, Default)]
pub(super) struct Peers {
    entries: BTreeMap<SocketAddr, EntryPeer>,
    agents: HashMap<SocketAddr, AgentPeer>,
}

impl Peers {
    /// Takes in an entry's beat; returns whether it is newer than the last.
    pub(super) fn hear_entry(
        &mut self,
        from: SocketAddr,
        beat: &EntryHeartbeat,
        now: Timestamp,
    ) -> bool {
        let known = self.entries.get(&from);
        if known.is_some_and(|e| !beat.stamp.is_newer_than(e.stamp)) {
            return false;
        }
        let peer = EntryPeer {
            seen: now,
            stamp: beat.stamp,
            backlog: beat.backlog,
            remote: beat.remote,
            demand: beat.demand.clone(),
            told: known.and_then(|e| e.told),
        };
        self.entries.insert(from, peer);
        true
    }

    /// Takes in the present work of an entry that is known.
    pub(super) fn hear_work(&mut self, from: SocketAddr, note: &BacklogUpdate, now: Timestamp) {
        if let Some(entry) = self.entries.get_mut(&from)
            && note.stamp.is_newer_than(entry.stamp)
        {
            entry.seen = now;
            entry.stamp = note.stamp;
            entry.backlog = note.backlog;
        }
    }

    /// Counts the work of all entries but the one at `asker`.
    pub(super) fn count_work(&self, asker: SocketAddr) -> Backlog {
        let own = self.entries.get(&asker).map(|e| e.backlog);
        self.total_work().minus(own.unwrap_or_default())
    }

    fn total_work(&self) -> Backlog {
        let entries = self.entries.values();
        entries.fold(Backlog::default(), |sum, e| sum.plus(e.backlog))
    }

    /// Takes in another agent's beat.
    pub(super) fn hear_agent(&mut self, from: SocketAddr, beat: AgentHeartbeat, now: Timestamp) {
        let known = self.agents.get(&from);
        if known.is_none_or(|a| beat.stamp.is_newer_than(a.stamp)) {
            let mut beat = beat;
            if let Some(cached) = beat.cached.take() {
                beat.report.cached = cached;
            } else if let Some(known) = known.and_then(|a| a.beat.as_ref()) {
                beat.report.cached.clone_from(&known.report.cached);
            }
            let peer = AgentPeer {
                seen: now,
                stamp: beat.stamp,
                beat: Some(beat),
            };
            self.agents.insert(from, peer);
        }
    }

    /// Notes that another agent is there.
    pub(super) fn hear_alive(&mut self, from: SocketAddr, stamp: Stamp, now: Timestamp) {
        let peer = self.agents.entry(from).or_insert(AgentPeer {
            seen: now,
            stamp,
            beat: None,
        });
        if stamp.is_newer_than(peer.stamp) {
            peer.seen = now;
            peer.stamp = stamp;
        }
    }

    /// Says whether an agent may soon plan: few that are heard have a lower address.
    pub(super) fn may_plan(&self, agent: SocketAddr) -> bool {
        let lower = self.agents.keys().filter(|address| **address < agent);
        lower.count() < PLANNER_CANDIDATES
    }

    /// Forgets peers that have been silent.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.entries.retain(|_, e| now.since(e.seen) < ENTRY_LIFE);
        self.agents.retain(|_, a| now.since(a.seen) < AGENT_LIFE);
    }

    /// Forgets all agents, as after a pause of this process.
    pub(super) fn forget_agents(&mut self) {
        self.agents.clear();
    }

    /// Says whether the agent at `own` has the lowest address of those heard.
    pub(super) fn is_lowest(&self, own: SocketAddr) -> bool {
        self.agents.keys().all(|address| own < *address)
    }

    /// Returns the number of entries.
    pub(super) fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the entries that are due to be told, and notes that they are; with `news` all are.
    pub(super) fn due_entries(&mut self, now: Timestamp, news: bool) -> Vec<DueEntry> {
        let pause = ENTRY_BEAT.max(BEAT_PER_ENTRY * self.entries.len() as u32);
        let total = self.total_work();
        let mut due = Vec::new();
        for (address, entry) in &mut self.entries {
            let interval = if entry.remote {
                pause * REMOTE_FACTOR
            } else {
                pause
            };
            let waits = entry.told.is_some_and(|told| now.since(told) < interval);
            if waits && !news {
                continue;
            }
            entry.told = Some(now);
            due.push(DueEntry {
                address: *address,
                interval,
                others: total.minus(entry.backlog),
            });
        }
        due
    }

    /// Returns the demand of all entries for each model, in engines that it keeps busy.
    pub(super) fn demand(&self) -> HashMap<Arc<str>, f64> {
        let mut demand = HashMap::new();
        for row in self.entries.values().flat_map(|e| &e.demand) {
            *demand.entry(row.model.clone()).or_insert(0.0) += row.rate_us as f64 / 1e6;
        }
        demand
    }

    /// Returns the address of the agent beside a target.
    pub(super) fn agent_of(&self, target: &TargetId) -> Option<SocketAddr> {
        let mut agents = self.agents.iter();
        let is_beside = |a: &AgentPeer| a.beat.as_ref().is_some_and(|b| b.target == *target);
        let found = agents.find(|(_, a)| is_beside(a));
        found.map(|(address, _)| *address)
    }

    /// Returns the reports of the other agents' engines.
    pub(super) fn reports(&self) -> impl Iterator<Item = (TargetId, EngineReport)> {
        let beats = self.agents.values().filter_map(|a| a.beat.as_ref());
        beats.map(|beat| (beat.target.clone(), beat.report.clone()))
    }
}
