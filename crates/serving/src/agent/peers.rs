//! What an agent knows of entries and other agents.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use kumquatkeel_core::serving::{Backlog, EngineReport, TargetId};
use kumquatkeel_types::Timestamp;

use crate::gossip::{AgentBeat, EntryBeat, EntryWork, Stamp};

/// How long an entry counts after its last beat.
const ENTRY_LIFE: Duration = Duration::from_millis(2_500);
/// How long an agent counts after its last beat.
const AGENT_LIFE: Duration = Duration::from_millis(1_800);

#[derive(Debug, Clone)]
struct EntryPeer {
    seen: Timestamp,
    stamp: Stamp,
    backlog: Backlog,
}

#[derive(Debug, Clone)]
struct AgentPeer {
    seen: Timestamp,
    beat: AgentBeat,
}

/// The peers heard from lately.
#[derive(Debug, Clone, Default)]
pub(super) struct Peers {
    entries: BTreeMap<SocketAddr, EntryPeer>,
    agents: HashMap<SocketAddr, AgentPeer>,
}

impl Peers {
    /// Takes in an entry's beat; returns whether it is newer than the last.
    pub(super) fn hear_entry(&mut self, from: SocketAddr, beat: &EntryBeat, now: Timestamp) -> bool {
        let known = self.entries.get(&from);
        if known.is_some_and(|e| !beat.stamp.follows(e.stamp)) {
            return false;
        }
        let peer = EntryPeer {
            seen: now,
            stamp: beat.stamp,
            backlog: beat.backlog,
        };
        self.entries.insert(from, peer);
        true
    }

    /// Takes in another agent's beat.
    pub(super) fn hear_agent(&mut self, from: SocketAddr, beat: AgentBeat, now: Timestamp) {
        let known = self.agents.get(&from);
        if known.is_none_or(|a| beat.stamp.follows(a.beat.stamp)) {
            self.agents.insert(from, AgentPeer { seen: now, beat });
        }
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

    /// Returns the addresses of the entries.
    pub(super) fn entries(&self) -> impl Iterator<Item = SocketAddr> {
        self.entries.keys().copied()
    }

    /// Returns each entry's work at the target.
    pub(super) fn work(&self) -> Vec<EntryWork> {
        let work = |(entry, peer): (&SocketAddr, &EntryPeer)| EntryWork {
            entry: *entry,
            backlog: peer.backlog,
        };
        self.entries.iter().map(work).collect()
    }

    /// Returns the address of the agent beside a target.
    pub(super) fn agent_of(&self, target: &TargetId) -> Option<SocketAddr> {
        let mut agents = self.agents.iter();
        let found = agents.find(|(_, a)| a.beat.target == *target);
        found.map(|(address, _)| *address)
    }

    /// Returns the reports of the other agents' engines.
    pub(super) fn reports(&self) -> impl Iterator<Item = (TargetId, EngineReport)> {
        (self.agents.values()).map(|a| (a.beat.target.clone(), a.beat.report.clone()))
    }
}
