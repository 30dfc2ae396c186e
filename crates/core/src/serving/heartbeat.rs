//! Intervals of the heartbeats between entries and agents, and how long their content holds.
//!
//! Each agent sends heartbeats to all entries and each entry to all agents, so the intervals grow with
//! the fleet to bound what a process sends. What a heartbeat states must outlive the interval at which it
//! is replaced, in a fleet of any size and with datagrams lost; both are therefore defined here together.

use std::time::Duration;

/// Shortest interval between two heartbeats to one peer.
const MIN_INTERVAL: Duration = Duration::from_millis(200);
/// Interval that each entry adds to an agent's heartbeats.
const INTERVAL_PER_ENTRY: Duration = Duration::from_millis(15);
/// Interval that each agent adds to an entry's heartbeats.
const INTERVAL_PER_AGENT: Duration = Duration::from_millis(8);
/// Interval that each entry adds to the heartbeats to the planner, which alone receives them from all.
const PLANNER_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(4);
/// Shortest interval between two notices of a relay of the list of targets to one entry.
const MIN_LIST_NOTICE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval that each entry adds to the notices of a relay.
const LIST_NOTICE_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(3);
/// Factor of an agent's interval to an entry in another region, whose link is narrow and charged by use.
const REMOTE_FACTOR: u32 = 2;
/// Shortest interval to an agent in another region while there is nothing to report.
const REMOTE_IDLE_INTERVAL: Duration = Duration::from_millis(1_200);
/// Intervals for which a statement holds: one datagram may be lost and the next one late.
const TTL_INTERVALS: f64 = 2.5;
/// Intervals for which a peer counts as alive: two datagrams in a row may be lost.
const PEER_INTERVALS: f64 = 3.5;
/// Shortest time for which a statement holds.
const MIN_TTL: Duration = Duration::from_millis(1_500);
/// Shortest time for which a peer counts as alive.
const MIN_PEER_TTL: Duration = Duration::from_millis(2_500);

/// Returns the interval between an agent's heartbeats to an entry, one of `entries`.
pub fn agent_interval(entries: usize, remote: bool) -> Duration {
    let base = MIN_INTERVAL.max(INTERVAL_PER_ENTRY * count(entries));
    if remote { base * REMOTE_FACTOR } else { base }
}

/// Returns the interval between an entry's heartbeats to an agent, one of `agents`.
///
/// `idle` states that the agent is in another region and that there is nothing to report.
pub fn entry_interval(agents: usize, idle: bool) -> Duration {
    let base = MIN_INTERVAL.max(INTERVAL_PER_AGENT * count(agents));
    if idle {
        base.max(REMOTE_IDLE_INTERVAL)
    } else {
        base
    }
}

/// Returns the interval between the heartbeats of an entry, one of `entries`, to the planner.
pub fn planner_interval(entries: usize) -> Duration {
    MIN_INTERVAL.max(PLANNER_INTERVAL_PER_ENTRY * count(entries))
}

/// Returns the interval between the notices of a relay of the list of targets to one of `entries`.
pub fn list_notice_interval(entries: usize) -> Duration {
    MIN_LIST_NOTICE_INTERVAL.max(LIST_NOTICE_INTERVAL_PER_ENTRY * count(entries))
}

/// Returns how long a statement holds that is replaced after each `interval`.
pub fn statement_ttl(interval: Duration) -> Duration {
    MIN_TTL.max(interval.mul_f64(TTL_INTERVALS))
}

/// Returns how long one of `entries` counts as alive for one of `agents` after a heartbeat.
pub fn entry_ttl(agents: usize, entries: usize) -> Duration {
    let interval = entry_interval(agents, true).max(planner_interval(entries));
    MIN_PEER_TTL.max(interval.mul_f64(PEER_INTERVALS))
}

fn count(peers: usize) -> u32 {
    u32::try_from(peers).unwrap_or(u32::MAX)
}
