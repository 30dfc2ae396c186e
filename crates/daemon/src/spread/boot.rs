//! How a daemon comes to its first configuration.
//!
//! It asks several neighbours and, if it is an entry, the store; it takes the newest revision that
//! any of them has. Only when none answers does an agent read the store.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use kumquatkeel_types::Revision;
use kumquatkeel_types::message::{ConfigUpdate, PollReply};
use log::{info, warn};
use tokio::time::{Instant, sleep, timeout};

use super::uplink::Uplink;
use super::{Hub, Peer, SpreadOptions};
use crate::config::read_config;

/// Neighbours that are asked.
const MAX_SOURCES: usize = 3;

/// Neighbours that must answer when as many are known and the store does not.
const MIN_SOURCES: usize = 2;

/// Time after which one neighbour's word suffices.
const PATIENCE: Duration = Duration::from_secs(5);

/// Longest time for the store's answer.
const STORE_WAIT: Duration = Duration::from_secs(3);

/// Pause before the sources are asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Returns when the hub has the newest configuration that can be had, or there is none yet.
pub(super) async fn run(hub: &Hub, options: &SpreadOptions) {
    let begun = Instant::now();
    loop {
        let answers = ask_neighbours(hub, options).await;
        let stored = if hub.own().role.is_agent() && !answers.is_empty() {
            None
        } else {
            read_store(options).await
        };
        let known = options.seeds.len().min(MIN_SOURCES);
        let patient = begun.elapsed() < PATIENCE;
        let enough = answers.len() >= known || (!answers.is_empty() && !patient);
        if stored.is_none() && !enough {
            sleep(RETRY_PAUSE).await;
            continue;
        }
        let updates = answers
            .into_iter()
            .map(|reply| reply.config)
            .chain(stored.flatten());
        take_newest(hub, updates.collect());
        if hub.revision().is_some() {
            return;
        }
        info!(target: "spread", "spread: there is no configuration yet");
        return;
    }
}

/// Asks some neighbours for all that they know.
async fn ask_neighbours(hub: &Hub, options: &SpreadOptions) -> Vec<PollReply> {
    let own = hub.own();
    let seeds = options.seeds.iter().filter(|seed| **seed != own.address);
    let polls = seeds.take(MAX_SOURCES).map(|seed| ask(hub, options, *seed));
    join_all(polls).await.into_iter().flatten().collect()
}

async fn ask(hub: &Hub, options: &SpreadOptions, seed: SocketAddr) -> Option<PollReply> {
    let peer = Peer {
        address: seed,
        data_centre: None,
    };
    let poll = hub.request(&Uplink::default(), &peer, Duration::ZERO);
    let reply = options.transport.poll(seed, poll.request).await.ok()?;
    let mut members = reply.clone();
    members.config = ConfigUpdate::Current;
    hub.take_reply(members, &mut Uplink::default(), &poll.mark);
    Some(reply)
}

/// Reads the configuration from the store; `None` when the store does not answer.
async fn read_store(options: &SpreadOptions) -> Option<Option<ConfigUpdate>> {
    match timeout(STORE_WAIT, read_config(&*options.store)).await {
        Ok(Ok(config)) => {
            let current = config.and_then(|c| c.log.current().cloned());
            Some(current.map(ConfigUpdate::Snapshot))
        }
        Ok(Err(error)) => {
            warn!(target: "spread", "spread: the store has no configuration to give: {error}");
            None
        }
        Err(_) => {
            warn!(target: "spread", "spread: the store does not answer");
            None
        }
    }
}

/// Takes in the newest update first, so that no older one is ever in force.
fn take_newest(hub: &Hub, mut updates: Vec<ConfigUpdate>) {
    updates.sort_by_key(|update| std::cmp::Reverse(revision_of(update)));
    for update in &updates {
        hub.advance(update);
    }
}

fn revision_of(update: &ConfigUpdate) -> Revision {
    match update {
        ConfigUpdate::Current => Revision::default(),
        ConfigUpdate::Deltas(deltas) => {
            deltas.last().map_or_else(Revision::default, |d| d.revision)
        }
        ConfigUpdate::Snapshot(snapshot) => snapshot.revision,
    }
}
