//! The agents that keep what entries must not lose with a process.

use std::cmp::Reverse;
use std::net::IpAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of agents that keep the origin of a stream.
const ORIGIN_HOLDERS: usize = 3;
/// Number of agents that judge crashes.
const CRASH_HOLDERS: usize = 5;
/// Number of agents of a region that read the list of targets for its entries.
const LIST_RELAYS: usize = 2;
/// Key by which the agents that read the list are chosen.
const LIST_KEY: &str = "target list";
/// Key by which the agents that judge crashes are chosen.
const CRASH_KEY: &str = "crashes";

/// Returns the hosts whose agents keep the origin of the stream that an attempt began.
pub fn origin_holders(attempt: &str, hosts: impl IntoIterator<Item = IpAddr>) -> Vec<IpAddr> {
    holders(attempt, hosts, ORIGIN_HOLDERS)
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

/// Returns the first hosts in the order of a key.
///
/// Each host ranks by a hash of its own with the key, so that few keys change their hosts when a host
/// comes or goes.
fn holders(key: &str, hosts: impl IntoIterator<Item = IpAddr>, count: usize) -> Vec<IpAddr> {
    let rank = |host: &IpAddr| {
        let seed = xxh3_64_with_seed(host.to_string().as_bytes(), 0);
        Reverse(xxh3_64_with_seed(key.as_bytes(), seed))
    };
    let mut hosts: Vec<IpAddr> = hosts.into_iter().collect();
    hosts.sort_unstable();
    hosts.dedup();
    hosts.sort_by_cached_key(rank);
    hosts.truncate(count);
    hosts
}
