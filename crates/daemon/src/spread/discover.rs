//! Finding processes that the daemon does not know.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use kumquatkeel_types::message::MemberState;
use tokio::time::sleep;

use super::uplink::Uplink;
use super::{CentreStatus, Hub, Peer, STATUS_PREFIX, SpreadOptions};

/// Time between tries to reach unknown entries.
const INTERVAL: Duration = Duration::from_secs(3);

/// Rounds between reads of the status objects for further addresses.
const STATUS_ROUNDS: u32 = 10;

/// Unknown entries tried in one round.
const MAX_TRIED: usize = 4;

/// Polls addresses from the settings and the store that no known entry has.
pub(super) async fn run(hub: &Hub, options: &SpreadOptions) {
    let mut addresses: BTreeSet<_> = options.seeds.iter().copied().collect();
    let mut round = 0;
    loop {
        let plan = hub.plan();
        let is_lost = !plan.store && plan.groups.is_empty();
        if is_lost || (plan.store && round % STATUS_ROUNDS == 0) {
            addresses.extend(stored_addresses(options).await);
        }
        let unknown = unknown(hub, &addresses);
        let count = unknown.len().max(1);
        let start = round as usize * MAX_TRIED % count;
        let tried = unknown.iter().cycle().skip(start);
        let tried = tried.take(MAX_TRIED.min(unknown.len()));
        join_all(tried.map(|address| introduce(hub, options, *address))).await;
        round = round.wrapping_add(1);
        sleep(INTERVAL).await;
    }
}

/// Returns the addresses that no serving entry is known to have.
fn unknown(hub: &Hub, addresses: &BTreeSet<SocketAddr>) -> Vec<SocketAddr> {
    let view = hub.view().borrow().clone();
    let own = hub.own();
    let alive = view
        .members
        .values()
        .filter(|m| m.state == MemberState::Serving);
    let known: BTreeSet<_> = alive.map(|m| m.address).chain([own.address]).collect();
    // An agent needs only one entry.
    if own.role.is_agent() && view.serving_entries().next().is_some() {
        return hub.failing();
    }
    let unknown = addresses.difference(&known).copied();
    unknown.chain(hub.failing()).collect()
}

async fn introduce(hub: &Hub, options: &SpreadOptions, address: SocketAddr) {
    let peer = Peer {
        address,
        data_centre: None,
    };
    let mut uplink = Uplink::default();
    let poll = hub.request(&uplink, &peer, Duration::ZERO);
    if let Ok(reply) = options.transport.poll(address, poll.request).await {
        hub.take_reply(reply, &mut uplink, &poll.mark);
    }
}

async fn stored_addresses(options: &SpreadOptions) -> Vec<SocketAddr> {
    let Ok(objects) = options.store.list(STATUS_PREFIX).await else {
        return Vec::new();
    };
    let statuses = objects
        .iter()
        .filter_map(|o| serde_json::from_slice::<CentreStatus>(&o.value).ok());
    statuses.flat_map(|s| s.entries).collect()
}
