//! Decides where a process reads the configuration from.
//!
//! The agents of a region form a poll tree as the entries of a data centre do on the product's own
//! interface. The first agents watch the store; all other agents, and the entries, follow an agent.
//! Only a few processes of a region then read a configuration from the store, however many follow
//! it. A process that has heard of no confirmation by the store for too long reads the store itself.
//! One for which all agents fail for longer, as where no agent runs, watches the store until an agent
//! serves again; it tries them seldom, so that a lasting fault costs few calls and log lines.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::digest::hash_bytes;
use kumquatkeel_types::{DataCentreName, EntryName, Timestamp};

use crate::spread::{PollTree, Upstream};

/// Age of the last confirmation above which a process leaves its upstream for another.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1_500);
/// Agents that a process tries in a row.
const ROUND: usize = 3;
/// Pause after a round without success.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for the agents while no configuration is known.
const FIRST_PATIENCE: Duration = Duration::from_millis(600);
/// Rounds without success after which a process watches the store.
const MAX_FAILED_ROUNDS: usize = 2;
/// How long all agents must have failed before a process watches the store; one that restarts is back
/// sooner.
const MIN_FAILING_TIME: Duration = Duration::from_millis(1_500);
/// Time until a process that watches the store tries an agent again, doubled with each failure.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Upper bound of that time.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);
/// Name of the only group of the tree; the hosts that are passed in belong to one region.
const GROUP: &str = "region";

/// What a process does next to learn of configurations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UpstreamStep {
    /// Watch the store: the process is a relay, knows of no agent, or all agents fail.
    WatchStore,
    /// Call the store once, as no confirmation has come through the agents for too long.
    ReadStore,
    /// Follow the agent on this host.
    Follow(IpAddr),
    /// Try the agents again after this time.
    Pause(Duration),
}

/// The upstream of one process.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use kumquatkeel_core::serving::{ConfigUpstream, UpstreamStep};
/// use kumquatkeel_types::Timestamp;
///
/// let mut upstream = ConfigUpstream::new(Duration::from_secs(2), Timestamp::ZERO);
/// assert_eq!(upstream.next_step(Timestamp::ZERO), UpstreamStep::WatchStore);
/// let agents = [[10, 0, 0, 7].into()];
/// upstream.set_hosts([10, 0, 0, 1].into(), agents);
/// assert_eq!(upstream.next_step(Timestamp::ZERO), UpstreamStep::Follow(agents[0]));
/// ```
#[derive(Debug, Clone)]
pub struct ConfigUpstream {
    /// The agents to follow, the preferred one first; empty if the process watches the store.
    candidates: Vec<IpAddr>,
    /// Index of the candidate to try next.
    next: usize,
    /// How long after the last confirmation the process reads the store itself.
    patience: Duration,
    /// When the store last confirmed the known configuration; the start before that.
    confirmed: Timestamp,
    /// Whether a configuration is known.
    known: bool,
    /// Whether an agent has failed since the last call to the store.
    agent_failed: bool,
    /// Agents that have failed since the last one that served.
    failures: usize,
    /// When a step was first decided after a failure.
    failing_since: Option<Timestamp>,
    /// Set while all agents fail and the process watches the store.
    detached: Option<Detached>,
    /// The process's share of the random part of delays, from 0 to 1.
    jitter: f64,
}

/// When a process that watches the store for lack of a serving agent tries one again.
#[derive(Debug, Clone, Copy)]
struct Detached {
    retry_at: Timestamp,
    /// The time from the last try to the next one, without its random part.
    delay: Duration,
    /// The failures before the last try.
    failures: usize,
}

impl ConfigUpstream {
    /// Creates the upstream of a process that starts now and knows no agents.
    pub const fn new(patience: Duration, now: Timestamp) -> Self {
        Self {
            candidates: Vec::new(),
            next: 0,
            patience,
            confirmed: now,
            known: false,
            agent_failed: false,
            failures: 0,
            failing_since: None,
            detached: None,
            jitter: 0.0,
        }
    }

    /// Sets the hosts of the region's agents; returns whether the preferred upstream changed.
    pub fn set_hosts(&mut self, own: IpAddr, hosts: impl IntoIterator<Item = IpAddr>) -> bool {
        let candidates = candidates(own, hosts);
        let changed = self.candidates.first() != candidates.first();
        self.candidates = candidates;
        self.jitter = (hash_bytes(own.to_string()) % 1_000) as f64 / 1_000.0;
        if changed {
            self.next = 0;
        }
        changed
    }

    /// Returns the preferred agent to follow; `None` if the process watches the store.
    pub fn preferred(&self) -> Option<IpAddr> {
        self.candidates.first().copied()
    }

    /// Returns what the process does next.
    pub fn next_step(&mut self, now: Timestamp) -> UpstreamStep {
        if self.candidates.is_empty() {
            return UpstreamStep::WatchStore;
        }
        if self.failures > 0 {
            self.failing_since.get_or_insert(now);
        }
        self.update_detached(now);
        if let Some(detached) = self.detached {
            let index = self.failures % self.candidates.len();
            return if now < detached.retry_at {
                UpstreamStep::WatchStore
            } else {
                UpstreamStep::Follow(self.candidates[index])
            };
        }
        let patience = if self.known {
            self.patience
        } else {
            self.patience.min(FIRST_PATIENCE)
        };
        let read_store = now.since(self.confirmed) >= patience;
        if read_store && self.agent_failed {
            self.agent_failed = false;
            return UpstreamStep::ReadStore;
        }
        if let Some(host) = self.candidates.iter().take(ROUND).nth(self.next) {
            return UpstreamStep::Follow(*host);
        }
        self.next = 0;
        UpstreamStep::Pause(ROUND_PAUSE)
    }

    /// Detaches the process once all agents have failed for long enough, and delays the next try after
    /// each failed one.
    fn update_detached(&mut self, now: Timestamp) {
        let delay = match self.detached {
            Some(detached) if self.failures > detached.failures => {
                (detached.delay * 2).min(MAX_RETRY_DELAY)
            }
            None if self.must_detach(now) => MIN_RETRY_DELAY,
            Some(_) | None => return,
        };
        let random_part = delay.mul_f64(0.5 * self.jitter);
        self.detached = Some(Detached {
            retry_at: now.after(delay + random_part),
            delay,
            failures: self.failures,
        });
    }

    fn must_detach(&self, now: Timestamp) -> bool {
        let round = self.candidates.len().min(ROUND);
        let failed_long = self
            .failing_since
            .is_some_and(|since| now.since(since) >= MIN_FAILING_TIME);
        failed_long && self.failures >= MAX_FAILED_ROUNDS * round
    }

    /// Records that the store confirmed the known configuration this long ago.
    pub fn record_confirmation(&mut self, age: Duration, now: Timestamp) {
        let age = age.as_micros() as u64;
        let at = Timestamp::from_micros(now.as_micros().saturating_sub(age));
        self.confirmed = self.confirmed.max(at);
        self.known = true;
    }

    /// Records that the agent of the last step has sent an update with a recent confirmation.
    pub const fn record_success(&mut self) {
        self.next = 0;
        self.failures = 0;
        self.failing_since = None;
        self.detached = None;
    }

    /// Records that the agent of the last step can't be reached or has no recent confirmation.
    pub const fn record_failure(&mut self) {
        self.next += 1;
        self.agent_failed = true;
        self.failures += 1;
    }

    /// Returns whether all agents fail and the process watches the store.
    pub const fn is_detached(&self) -> bool {
        self.detached.is_some()
    }

    /// Returns how many agents have failed since the last one that served.
    pub const fn failures(&self) -> usize {
        self.failures
    }
}

/// Returns the hosts to follow; empty if the process is a relay or there is none.
fn candidates(own: IpAddr, hosts: impl IntoIterator<Item = IpAddr>) -> Vec<IpAddr> {
    let name = |host: IpAddr| EntryName::try_from(Arc::from(host.to_string()));
    let (Ok(group), Ok(own)) = (DataCentreName::try_from(Arc::from(GROUP)), name(own)) else {
        return Vec::new();
    };
    let names: Vec<EntryName> = hosts.into_iter().filter_map(|h| name(h).ok()).collect();
    let tree = PollTree::new(names.iter().map(|name| (&group, name)));
    match tree.upstream_of_entry(&group, &own) {
        Upstream::Entries(entries) => entries
            .iter()
            .filter_map(|e| e.as_str().parse().ok())
            .collect(),
        Upstream::Store { .. } | Upstream::Unavailable => Vec::new(),
    }
}
