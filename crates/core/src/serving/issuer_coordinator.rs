//! An agent's part in account limits: whether it decides on a request, and which peers it probes for that.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::Timestamp;

use super::account::AccountLimit;
use super::account_issuer::{
    AccountAsk, AccountDecision, AccountIssuer, IssuerRole, OwnLimit, PeerStatus, PeerWatch,
};
use super::holders::{AccountHosts, account_hosts};

/// Silence after which a standby issuer replaces an issuer.
const ISSUER_SILENCE: Duration = Duration::from_millis(600);
/// Time without an answer to a probe, at least, until an issuer counts as silent.
const ISSUER_PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Silence after which an issuer takes a region for cut off.
const REGION_SILENCE: Duration = Duration::from_secs(1);
/// Time without an answer to a probe, at least, until a region counts as cut off.
const REGION_PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of agents of a region that are probed at a time.
const REGION_PROBES: usize = 2;
/// Longest time after which an entry asks again while it isn't clear whether the issuer is alive.
const MAX_ASK_AGAIN: Duration = Duration::from_millis(150);
/// Time after the last request for an account for which its issuer is probed by a standby issuer.
const STANDBY_TIME: Duration = Duration::from_secs(2);
/// Time after the last request for any account for which other regions are probed.
const ACTIVE_TIME: Duration = Duration::from_secs(10);
/// Most by which an issuer may have been silent before it was probed: an entry's time-out.
const MAX_EARLIER_SILENCE: Duration = Duration::from_millis(200);
/// Interval between two checks for accounts that are no longer used.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// An agent that may issue what accounts spend.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct AgentHost {
    /// The agent's host.
    pub host: IpAddr,
    /// Whether it is in the region of the process.
    pub near: bool,
    /// Its region, if known.
    pub region: Option<Arc<str>>,
}

/// Decides which agent answers a request for an account, and answers those for which this one is in charge.
#[derive(Debug, Clone)]
pub struct IssuerCoordinator {
    own: IpAddr,
    own_region: Option<Arc<str>>,
    /// The number of data centres of each region.
    centres: BTreeMap<Arc<str>, usize>,
    issuer: AccountIssuer,
    /// The limits of accounts by the agent's configuration, and its version.
    limits: HashMap<Arc<str>, AccountLimit>,
    version: Option<u64>,
    agents: Vec<AgentHost>,
    regions: HashMap<IpAddr, Arc<str>>,
    /// The agents of each other region.
    remote: BTreeMap<Arc<str>, Vec<IpAddr>>,
    /// The issuers of the accounts that were asked for.
    ranked: HashMap<Arc<str>, AccountHosts>,
    issuer_watch: PeerWatch<IpAddr>,
    region_watch: PeerWatch<Arc<str>>,
    /// The issuers that this agent may replace, and when it was last asked to.
    replaced: HashMap<IpAddr, Timestamp>,
    /// Since when issuers don't reply, as entries report it.
    reported: HashMap<IpAddr, Timestamp>,
    last_request: Option<Timestamp>,
    last_pruned: Timestamp,
    /// Selects the agents that are probed next.
    probe_round: usize,
}

impl IssuerCoordinator {
    /// Creates the coordinator of the agent on host `own`; `regions` has the region of each data centre.
    pub fn new(
        own: IpAddr,
        own_region: Option<Arc<str>>,
        regions: impl IntoIterator<Item = Arc<str>>,
        now: Timestamp,
    ) -> Self {
        let mut centres = BTreeMap::new();
        for region in regions {
            *centres.entry(region).or_default() += 1;
        }
        Self {
            own,
            own_region,
            centres,
            issuer: AccountIssuer::new(now),
            limits: HashMap::new(),
            version: None,
            agents: Vec::new(),
            regions: HashMap::new(),
            remote: BTreeMap::new(),
            ranked: HashMap::new(),
            issuer_watch: PeerWatch::new(ISSUER_SILENCE, ISSUER_PROBE_TIMEOUT),
            region_watch: PeerWatch::new(REGION_SILENCE, REGION_PROBE_TIMEOUT),
            replaced: HashMap::new(),
            reported: HashMap::new(),
            last_request: None,
            last_pruned: now,
            probe_round: 0,
        }
    }

    /// Returns whether this agent takes part: an account has a limit, or an entry has asked for one.
    pub fn is_active(&self) -> bool {
        !self.limits.is_empty() || self.last_request.is_some()
    }

    /// Returns whether any agents are listed; without them no request can be answered, so that a probe
    /// must not be either.
    pub const fn has_agents(&self) -> bool {
        !self.agents.is_empty()
    }

    /// Returns the version of the configuration whose limits are known.
    pub const fn version(&self) -> Option<u64> {
        self.version
    }

    /// Takes over the limits of a configuration.
    pub fn set_limits(
        &mut self,
        version: u64,
        limits: impl IntoIterator<Item = (Arc<str>, AccountLimit)>,
    ) {
        self.version = Some(version);
        self.limits = limits.into_iter().collect();
    }

    /// Takes over the agents that are listed; drops what was issued for accounts for which others now issue.
    pub fn set_agents(&mut self, mut agents: Vec<AgentHost>, now: Timestamp) {
        agents.sort_unstable();
        agents.dedup();
        if agents == self.agents {
            return;
        }
        self.agents = agents;
        self.ranked.clear();
        self.regions.clear();
        self.remote.clear();
        for agent in &self.agents {
            let Some(region) = &agent.region else {
                continue;
            };
            self.regions.insert(agent.host, region.clone());
            if Some(region) != self.own_region.as_ref() {
                let hosts = self.remote.entry(region.clone()).or_default();
                hosts.push(agent.host);
            }
        }
        let (own, agents) = (self.own, &self.agents);
        self.issuer_watch.retain(|host| {
            let listed = agents.binary_search_by_key(host, |agent| agent.host);
            listed.is_ok()
        });
        let remote = &self.remote;
        self.region_watch
            .retain(|region| remote.contains_key(region));
        let is_issuer = |account: &Arc<str>| rank(account, agents).is_some_and(|h| h.issuer == own);
        self.issuer.change_hosts(is_issuer, now);
    }

    /// Records that a datagram came from a host.
    pub fn record_heard(&mut self, host: IpAddr, now: Timestamp) {
        if let Some(region) = self.regions.get(&host) {
            self.issuer_watch.record_heard(&host, now);
            self.region_watch.record_heard(region, now);
        }
    }

    /// Decides on request `id`, the number of the entry's start and of the request, and adds the hosts that
    /// are to be probed to `probes`; `None` while the agents aren't known.
    pub fn answer(
        &mut self,
        id: (u64, u64),
        ask: &AccountAsk,
        now: Timestamp,
        probes: &mut Vec<IpAddr>,
    ) -> Option<AccountDecision> {
        self.last_request = Some(now);
        self.issuer.tick(now);
        let hosts = self.hosts_of(&ask.account)?;
        let role = if hosts.issuer == self.own {
            IssuerRole::Issuer {
                share: self.heard_share(now, probes),
            }
        } else {
            self.replaced.insert(hosts.issuer, now);
            match self.check_issuer(hosts.issuer, now, probes) {
                PeerStatus::Heard => {
                    let host = hosts.issuer;
                    return Some(AccountDecision::Redirect { host });
                }
                PeerStatus::Unclear { left } => {
                    let after_ms = left.min(MAX_ASK_AGAIN).as_millis().max(1) as u32;
                    return Some(AccountDecision::AskAgain { after_ms });
                }
                PeerStatus::Silent { since } => match hosts.standby {
                    Some(host) if host != self.own => {
                        return Some(AccountDecision::Redirect { host });
                    }
                    _ => IssuerRole::Standby {
                        since,
                        share: self.share_of(|_| false),
                    },
                },
            }
        };
        let own = self.version.map(|version| OwnLimit {
            version,
            limit: self.limits.get(&ask.account).copied(),
        });
        Some(self.issuer.answer(id, ask, role, own, now))
    }

    /// Notes that an account's issuer has not replied to an entry for this long, so that it is clear sooner
    /// whether this agent is to replace it; adds the hosts that are to be probed to `probes`.
    pub fn record_silence(
        &mut self,
        account: &Arc<str>,
        silent: Duration,
        now: Timestamp,
        probes: &mut Vec<IpAddr>,
    ) {
        let hosts = self.hosts_of(account);
        let Some(hosts) = hosts.filter(|hosts| hosts.issuer != self.own) else {
            return;
        };
        self.replaced.insert(hosts.issuer, now);
        let since = now.as_micros().saturating_sub(silent.as_micros() as u64);
        let reported = self.reported.entry(hosts.issuer);
        reported.or_insert(Timestamp::from_micros(since));
        self.check_issuer(hosts.issuer, now, probes);
    }

    /// Notes that time passes, at least every 100 ms; returns the hosts that are to be probed.
    pub fn tick(&mut self, now: Timestamp) -> Vec<IpAddr> {
        let mut probes = Vec::new();
        let Some(last_request) = self.last_request else {
            return probes;
        };
        self.issuer.tick(now);
        let replaced = &self.replaced;
        self.reported.retain(|host, _| replaced.contains_key(host));
        self.replaced
            .retain(|_, asked| now.since(*asked) < STANDBY_TIME);
        let replaced: Vec<IpAddr> = self.replaced.keys().copied().collect();
        for host in replaced {
            self.check_issuer(host, now, &mut probes);
        }
        if now.since(last_request) < ACTIVE_TIME {
            self.heard_share(now, &mut probes);
        }
        if now.since(self.last_pruned) >= PRUNE_INTERVAL {
            self.last_pruned = now;
            let limits = &self.limits;
            (self.issuer).retain(|account| limits.contains_key(account), now);
            // Ranking an account again that is only in entries' configuration takes one pass over the agents.
            self.ranked
                .retain(|account, _| limits.contains_key(account));
        }
        probes
    }

    /// Returns the accounts for which this agent issues, with the levels of their buckets.
    pub fn levels(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        self.issuer.levels()
    }

    fn hosts_of(&mut self, account: &Arc<str>) -> Option<AccountHosts> {
        if let Some(hosts) = self.ranked.get(account) {
            return Some(*hosts);
        }
        let hosts = rank(account, &self.agents)?;
        self.ranked.insert(account.clone(), hosts);
        Some(hosts)
    }

    fn check_issuer(
        &mut self,
        host: IpAddr,
        now: Timestamp,
        probes: &mut Vec<IpAddr>,
    ) -> PeerStatus {
        let (status, probe) = self.issuer_watch.check(&host, now);
        probes.extend(probe.then_some(host));
        match (status, self.reported.get(&host)) {
            (PeerStatus::Heard, _) => {
                self.reported.remove(&host);
                status
            }
            (PeerStatus::Silent { since }, Some(reported)) => {
                let earlier = MAX_EARLIER_SILENCE.as_micros() as u64;
                let earliest = since.as_micros().saturating_sub(earlier);
                let earliest = Timestamp::from_micros(earliest);
                PeerStatus::Silent {
                    since: since.min(earliest.max(*reported)),
                }
            }
            _ => status,
        }
    }

    /// Returns the share of all data centres that are in regions of which this agent hears.
    fn heard_share(&mut self, now: Timestamp, probes: &mut Vec<IpAddr>) -> f64 {
        let mut silent = Vec::new();
        for (region, hosts) in &self.remote {
            let (status, probe) = self.region_watch.check(region, now);
            if matches!(status, PeerStatus::Silent { .. }) {
                silent.push(region.clone());
            }
            if probe {
                self.probe_round += 1;
                let first = self.probe_round * REGION_PROBES;
                let chosen = hosts.iter().cycle().skip(first % hosts.len());
                probes.extend(chosen.take(REGION_PROBES.min(hosts.len())));
            }
        }
        // Nobody asks in a region without agents.
        self.share_of(|region| !silent.contains(region))
    }

    /// Returns the share of all data centres that are in the own region or one for which `counts` holds.
    fn share_of(&self, mut counts: impl FnMut(&Arc<str>) -> bool) -> f64 {
        let Some(own) = &self.own_region else {
            return 1.0;
        };
        let counted = self.centres.iter().filter(|(r, _)| *r == own || counts(r));
        let counted: usize = counted.map(|(_, centres)| centres).sum();
        let all: usize = self.centres.values().sum();
        counted as f64 / all.max(1) as f64
    }
}

fn rank(account: &str, agents: &[AgentHost]) -> Option<AccountHosts> {
    account_hosts(account, agents.iter().map(|agent| (agent.host, agent.near)))
}
