//! Start of a daemon: obtaining the first configuration.
//!
//! The daemon polls several seeds and, if it is an entry, reads the store. It takes the newest
//! revision among them. An agent reads the store only when no seed replies.

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

/// Most seeds that are polled.
const MAX_SEEDS: usize = 3;

/// Seeds that must reply if the store does not answer, unless fewer are known.
const MIN_REPLIES: usize = 2;

/// Time after which the reply of one seed suffices.
const SINGLE_REPLY_AFTER: Duration = Duration::from_secs(5);

/// Longest time to wait for the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause before the seeds and the store are tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Returns when the hub holds the newest configuration available, or there is none yet.
pub(super) async fn run(hub: &Hub, options: &SpreadOptions) {
    let started = Instant::now();
    loop {
        let replies = poll_seeds(hub, options).await;
        let stored = if hub.own().role.is_agent() && !replies.is_empty() {
            None
        } else {
            read_store(options).await
        };
        let needed = options.seeds.len().min(MIN_REPLIES);
        let is_early = started.elapsed() < SINGLE_REPLY_AFTER;
        let enough = replies.len() >= needed || (!replies.is_empty() && !is_early);
        if stored.is_none() && !enough {
            sleep(RETRY_PAUSE).await;
            continue;
        }
        let updates = replies
            .into_iter()
            .map(|reply| reply.config)
            .chain(stored.flatten());
        apply_newest(hub, updates.collect());
        if hub.revision().is_some() {
            return;
        }
        info!(target: "spread", "spread: no configuration is available yet");
        return;
    }
}

/// Polls the first seeds for their full state; returns the replies that arrived.
async fn poll_seeds(hub: &Hub, options: &SpreadOptions) -> Vec<PollReply> {
    let own = hub.own();
    let seeds = options.seeds.iter().filter(|seed| **seed != own.address);
    let polls = seeds
        .take(MAX_SEEDS)
        .map(|seed| poll_seed(hub, options, *seed));
    join_all(polls).await.into_iter().flatten().collect()
}

/// Polls one seed and applies its member reports; the configuration is left to the caller.
async fn poll_seed(hub: &Hub, options: &SpreadOptions, seed: SocketAddr) -> Option<PollReply> {
    let peer = Peer {
        address: seed,
        data_centre: None,
    };
    let poll = hub.request(&Uplink::default(), &peer, Duration::ZERO);
    let reply = options.transport.poll(seed, poll.request).await.ok()?;
    let mut members = reply.clone();
    members.config = ConfigUpdate::Current;
    hub.apply_reply(members, &mut Uplink::default(), &poll.mark);
    Some(reply)
}

/// Reads the configuration from the store.
///
/// The outer `None` means that the store failed, the inner one that it holds no configuration.
async fn read_store(options: &SpreadOptions) -> Option<Option<ConfigUpdate>> {
    match timeout(STORE_TIMEOUT, read_config(&*options.store)).await {
        Ok(Ok(config)) => {
            let current = config.and_then(|c| c.log.current().cloned());
            Some(current.map(ConfigUpdate::Snapshot))
        }
        Ok(Err(error)) => {
            warn!(target: "spread", "spread: reading the configuration from the store failed: {error}");
            None
        }
        Err(_) => {
            warn!(target: "spread", "spread: reading the configuration from the store timed out");
            None
        }
    }
}

/// Applies the newest update first, so that no older one is ever in force.
fn apply_newest(hub: &Hub, mut updates: Vec<ConfigUpdate>) {
    updates.sort_by_key(|update| std::cmp::Reverse(revision_of(update)));
    for update in &updates {
        hub.advance(update);
    }
}

/// Returns the revision that an update leads to; zero if it carries none.
fn revision_of(update: &ConfigUpdate) -> Revision {
    match update {
        ConfigUpdate::Current => Revision::default(),
        ConfigUpdate::Deltas(deltas) => {
            deltas.last().map_or_else(Revision::default, |d| d.revision)
        }
        ConfigUpdate::Snapshot(snapshot) => snapshot.revision,
    }
}
