//! The agents that keep what entries must not lose with a process.

use std::cmp::Reverse;
use std::net::IpAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of agents that keep the origin of a stream.
const ORIGIN_HOLDERS: usize = 3;
/// Number of agents that are asked for an origin which its holders don't know: the list of hosts may have
/// changed since it was recorded.
const ORIGIN_CANDIDATES: usize = 9;
/// Number of agents that judge crashes.
const CRASH_HOLDERS: usize = 5;
/// Number of agents of a region that read the list of targets for its entries.
const LIST_RELAYS: usize = 2;
/// Key by which the agents that read the list are chosen.
const LIST_KEY: &str = "target list";
/// Key by which the agents that judge crashes are chosen.
const CRASH_KEY: &str = "crashes";

/// The hosts of all agents, among which those are chosen that keep the origin of a stream.
///
/// # Examples
///
/// ```
/// use std::net::{IpAddr, Ipv4Addr};
///
/// use kumquatkeel_core::serving::OriginHosts;
///
/// let host = |number| IpAddr::from(Ipv4Addr::new(10, 0, 0, number));
/// let before = OriginHosts::new((1..=4).map(host));
/// let after = OriginHosts::new((2..=4).map(host));
/// assert_eq!(before.holders("a1").len(), 3);
/// assert!(after.added_holders("a1", &before).len() <= 1);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OriginHosts {
    /// The hosts in order, each with its hash.
    hosts: Vec<(IpAddr, u64)>,
}

impl OriginHosts {
    /// Creates the choice among these hosts, which may come in any order.
    pub fn new(hosts: impl IntoIterator<Item = IpAddr>) -> Self {
        Self {
            hosts: hashed(hosts),
        }
    }

    /// Returns the hosts whose agents keep the origin of the stream that an attempt began.
    pub fn holders(&self, attempt: &str) -> Vec<IpAddr> {
        first_by_key(attempt, &self.hosts, ORIGIN_HOLDERS)
    }

    /// Returns the hosts whose agents may know the origin, the holders first.
    pub fn candidates(&self, attempt: &str) -> Vec<IpAddr> {
        first_by_key(attempt, &self.hosts, ORIGIN_CANDIDATES)
    }

    /// Returns the holders that were none among the hosts `before`.
    pub fn added_holders(&self, attempt: &str, before: &Self) -> Vec<IpAddr> {
        let former = before.holders(attempt);
        let mut added = self.holders(attempt);
        added.retain(|host| !former.contains(host));
        added
    }
}

/// Returns the hosts whose agents judge crashes: all entries report them to the same few, so that each
/// of those sees all crashes.
pub fn crash_holders(hosts: impl IntoIterator<Item = IpAddr>) -> Vec<IpAddr> {
    holders(CRASH_KEY, hosts, CRASH_HOLDERS)
}

/// Returns the hosts, of those of a region, whose agents read the list of targets for its entries.
pub fn list_relays(hosts: impl IntoIterator<Item = IpAddr>) -> Vec<IpAddr> {
    holders(LIST_KEY, hosts, LIST_RELAYS)
}

/// Returns the host whose agent issues the permits for requests to a target that has no agent.
pub fn permit_host(target: &str, hosts: impl IntoIterator<Item = IpAddr>) -> Option<IpAddr> {
    holders(target, hosts, 1).first().copied()
}

/// The hosts whose agents issue what an account spends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountHosts {
    /// The host that issues for all entries.
    pub issuer: IpAddr,
    /// The host of the region that replaces the issuer if that is silent; `None` if the region has no other.
    pub standby: Option<IpAddr>,
}

/// Returns the hosts that issue what an account spends, of all agents' hosts and whether each is in the
/// caller's region.
pub fn account_hosts(
    account: &str,
    hosts: impl IntoIterator<Item = (IpAddr, bool)>,
) -> Option<AccountHosts> {
    let hosts: Vec<(IpAddr, bool)> = hosts.into_iter().collect();
    let issuer = *holders(account, hosts.iter().map(|(host, _)| *host), 1).first()?;
    let near = hosts.iter().filter(|(host, near)| *near && *host != issuer);
    let standby = holders(account, near.map(|(host, _)| *host), 1);
    Some(AccountHosts {
        issuer,
        standby: standby.first().copied(),
    })
}

/// Returns the first hosts in the order of a key.
///
/// Each host ranks by a hash of its own with the key, so that few keys change their hosts when a host
/// comes or goes.
fn holders(key: &str, hosts: impl IntoIterator<Item = IpAddr>, count: usize) -> Vec<IpAddr> {
    first_by_key(key, &hashed(hosts), count)
}

/// Returns the hosts in order and without duplicates, each with its hash.
fn hashed(hosts: impl IntoIterator<Item = IpAddr>) -> Vec<(IpAddr, u64)> {
    let mut hosts: Vec<IpAddr> = hosts.into_iter().collect();
    hosts.sort_unstable();
    hosts.dedup();
    let hash = |host: IpAddr| (host, xxh3_64_with_seed(host.to_string().as_bytes(), 0));
    hosts.into_iter().map(hash).collect()
}

fn first_by_key(key: &str, hosts: &[(IpAddr, u64)], count: usize) -> Vec<IpAddr> {
    let rank = |(host, hash): &(IpAddr, u64)| {
        let rank = xxh3_64_with_seed(key.as_bytes(), *hash);
        (Reverse(rank), *host)
    };
    let mut ranked: Vec<_> = hosts.iter().map(rank).collect();
    if ranked.len() > count {
        ranked.select_nth_unstable(count);
        ranked.truncate(count);
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, host)| host).collect()
}
