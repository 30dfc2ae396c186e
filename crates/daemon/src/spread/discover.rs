//! Discovery of entries that the daemon does not know yet.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use kumquatkeel_types::message::MemberState;
use tokio::time::sleep;

use super::uplink::Uplink;
use super::{CentreStatus, Hub, Peer, STATUS_PREFIX, SpreadOptions};

/// Time between rounds of polls to unknown entries.
const INTERVAL: Duration = Duration::from_secs(3);

/// Rounds between two reads of the status objects, which list further addresses.
const STATUS_ROUNDS: u32 = 10;

/// Most unknown entries polled in one round.
const MAX_POLLED: usize = 4;

/// Polls the addresses from the settings and the store that belong to no known entry.
pub(super) async fn run(hub: &Hub, options: &SpreadOptions) {
    let mut addresses: BTreeSet<_> = options.seeds.iter().copied().collect();
    let mut round = 0;
    loop {
        let plan = hub.plan();
        let has_no_source = !plan.store && plan.groups.is_empty();
        if has_no_source || (plan.store && round % STATUS_ROUNDS == 0) {
            addresses.extend(stored_addresses(options).await);
        }
        let unknown = unknown(hub, &addresses);
        let count = unknown.len().max(1);
        let start = round as usize * MAX_POLLED % count;
        let polled = unknown.iter().cycle().skip(start);
        let polled = polled.take(MAX_POLLED.min(unknown.len()));
        join_all(polled.map(|address| poll_unknown(hub, options, *address))).await;
        round = round.wrapping_add(1);
        sleep(INTERVAL).await;
    }
}

/// Returns the addresses that belong to no known serving entry, and those of failing sources.
fn unknown(hub: &Hub, addresses: &BTreeSet<SocketAddr>) -> Vec<SocketAddr> {
    let view = hub.view().borrow().clone();
    let own = hub.own();
    let serving = view
        .members
        .values()
        .filter(|m| m.state == MemberState::Serving);
    let known: BTreeSet<_> = serving.map(|m| m.address).chain([own.address]).collect();
    // An agent needs only one entry.
    if own.role.is_agent() && view.serving_entries().next().is_some() {
        return hub.failing();
    }
    let unknown = addresses.difference(&known).copied();
    unknown.chain(hub.failing()).collect()
}

/// Exchanges reports with an unknown entry by one poll that is answered at once.
async fn poll_unknown(hub: &Hub, options: &SpreadOptions, address: SocketAddr) {
    let peer = Peer {
        address,
        data_centre: None,
    };
    let mut uplink = Uplink::default();
    let poll = hub.request(&uplink, &peer, Duration::ZERO);
    if let Ok(reply) = options.transport.poll(address, poll.request).await {
        hub.apply_reply(reply, &mut uplink, &poll.mark);
    }
}

/// Returns the addresses of entries in the status objects; none when the store fails.
async fn stored_addresses(options: &SpreadOptions) -> Vec<SocketAddr> {
    let Ok(objects) = options.store.list(STATUS_PREFIX).await else {
        return Vec::new();
    };
    let statuses = objects
        .iter()
        .filter_map(|o| serde_json::from_slice::<CentreStatus>(&o.value).ok());
    statuses.flat_map(|s| s.entries).collect()
}
