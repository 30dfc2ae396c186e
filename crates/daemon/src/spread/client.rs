//! The tasks that keep a daemon's hub up to date.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::{join_all, pending};
use kumquatkeel_platform::{InstanceList, InstanceState, ObjectStore, WriteIdGenerator};
use log::{debug, info};
use tokio::time::{MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::uplink::Uplink;
use super::{Hub, Peer, Plan, SpreadTransport, boot, discover, relay, restore, status};

/// Time that a source may hold a poll open, which is also the time between heartbeats.
const POLL_WAIT: Duration = Duration::from_millis(2_500);

/// Shortest time between two polls of one source.
const POLL_SPACING: Duration = Duration::from_millis(50);

/// Time for which the daemon's own updates are collected before they are pushed to a source.
const PUSH_COALESCE: Duration = Duration::from_millis(100);

/// Time for the last own report to go out: [`PUSH_COALESCE`] and one poll.
const LINGER_TIME: Duration = Duration::from_millis(300);

/// Pause before the next source of a group is polled after one failed.
const FAILOVER_PAUSE: Duration = Duration::from_millis(100);

/// Time between checks for silent processes.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Time between reads of the platform's instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// The peers and services that a [`SpreadClient`] works with.
#[derive(Clone)]
pub struct SpreadOptions {
    /// Addresses of entries from the settings, polled while the daemon knows no other process.
    pub seeds: Vec<SocketAddr>,
    /// Sends polls to other daemons.
    pub transport: Arc<dyn SpreadTransport>,
    /// The store; an agent reads it only when no entry answers.
    pub store: Arc<dyn ObjectStore>,
    /// The platform's instance list, read by relays only; `None` if the platform has none.
    pub instances: Option<Arc<dyn InstanceList>>,
    /// Generates the ids of the daemon's writes to the store.
    pub ids: Arc<WriteIdGenerator>,
}

/// The running tasks that keep a daemon's [`Hub`] up to date.
#[derive(Debug)]
pub struct SpreadClient {
    tasks: TaskTracker,
    stop: CancellationToken,
}

impl SpreadClient {
    /// Starts the tasks; they end when `stop` is cancelled.
    pub fn start(hub: Arc<Hub>, options: SpreadOptions, stop: CancellationToken) -> Self {
        let tasks = TaskTracker::new();
        let running = run(hub, options);
        let stopped = stop.clone();
        tasks.spawn(async move {
            tokio::select! {
                () = running => {}
                () = stopped.cancelled() => {}
            }
        });
        tasks.close();
        Self { tasks, stop }
    }

    /// Waits long enough for the daemon's last own report to reach a source.
    pub async fn linger(&self) {
        sleep(LINGER_TIME).await;
    }

    /// Stops the tasks and returns when they have ended.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.tasks.wait().await;
    }
}

async fn run(hub: Arc<Hub>, options: SpreadOptions) {
    boot::run(&hub, &options).await;
    let ticks = ticks(&hub);
    let discovery = discover::run(&hub, &options);
    tokio::join!(supervise(&hub, &options), ticks, discovery);
}

async fn ticks(hub: &Hub) {
    let mut ticker = interval(TICK_INTERVAL);
    ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        hub.tick();
    }
}

/// Polls the sources of the current plan, and starts over whenever the plan changes.
async fn supervise(hub: &Hub, options: &SpreadOptions) {
    let mut changes = hub.view();
    loop {
        changes.mark_unchanged();
        let plan = hub.plan();
        info!(
            target: "spread",
            "spread: polling {} sources, store {}",
            plan.groups.len(),
            if plan.store { "watched" } else { "not watched" }
        );
        hub.set_relay(&plan);
        tokio::select! {
            () = follow(hub, options, &plan) => {}
            () = changed(hub, &mut changes, &plan) => {}
        }
    }
}

/// Returns when the hub's plan is no longer `plan`.
async fn changed(
    hub: &Hub,
    changes: &mut tokio::sync::watch::Receiver<super::SharedView>,
    plan: &Plan,
) {
    loop {
        if changes.changed().await.is_err() {
            return pending().await;
        }
        if hub.plan() != *plan {
            return;
        }
    }
}

/// Polls the sources of a plan and, on a relay, watches the store; never returns.
async fn follow(hub: &Hub, options: &SpreadOptions, plan: &Plan) {
    let groups = plan.groups.iter().filter(|group| !group.is_empty());
    let polls = join_all(groups.map(|group| poll_group(hub, options, plan, group)));
    let store = async {
        if plan.store {
            let watch = relay::watch_store(hub, &*options.store);
            let status = status::write_status(hub, options);
            let list = watch_instances(hub, options);
            let restore = restore::restore_config(hub, options);
            tokio::join!(watch, status, list, restore);
        }
    };
    tokio::join!(polls, store);
    // Even without sources, this never returns: the caller ends it when the plan changes.
    pending::<()>().await;
}

/// Polls one entry of a group until a poll fails, then the next, in turn without end.
async fn poll_group(hub: &Hub, options: &SpreadOptions, plan: &Plan, group: &[Peer]) {
    for peer in group.iter().cycle() {
        let mut uplink = Uplink::default();
        while poll_once(hub, options, peer, &mut uplink).await {
            if !plan.store || hub.is_local(peer) {
                hub.set_parent(Some(peer.address));
            }
            sleep(POLL_SPACING).await;
        }
        sleep(FAILOVER_PAUSE).await;
    }
}

/// Polls a source and returns whether it replied.
///
/// While the source holds the poll open, updates of this daemon are pushed to it by further polls.
async fn poll_once(hub: &Hub, options: &SpreadOptions, peer: &Peer, uplink: &mut Uplink) -> bool {
    let poll = hub.request(uplink, peer, POLL_WAIT);
    let mut progress = *uplink;
    progress.sent = poll.mark.sent;
    let answer = options.transport.poll(peer.address, poll.request);
    tokio::pin!(answer);
    let mut changes = hub.view();
    let reply = loop {
        tokio::select! {
            reply = answer.as_mut() => break reply,
            alive = changes.changed() => {
                if alive.is_err() {
                    return false;
                }
            }
        }
        if hub.has_updates_for(&progress, peer) {
            sleep(PUSH_COALESCE).await;
            if let Some(mark) = push(hub, options, peer, uplink).await {
                progress.sent = mark;
            }
        }
    };
    match reply {
        Ok(reply) => {
            hub.apply_reply(reply, uplink, &poll.mark);
            true
        }
        Err(error) => {
            debug!(target: "spread", "spread: {error}");
            hub.poll_failed(peer.address);
            false
        }
    }
}

/// Sends this daemon's updates to a source at once; returns the position up to which they were
/// sent.
async fn push(hub: &Hub, options: &SpreadOptions, peer: &Peer, uplink: &mut Uplink) -> Option<u64> {
    let poll = hub.request(uplink, peer, Duration::ZERO);
    let position = poll.mark.sent;
    let reply = options.transport.poll(peer.address, poll.request).await;
    hub.apply_reply(reply.ok()?, uplink, &poll.mark);
    Some(position)
}

/// Keeps the hub's set of leaving processes up to date from the platform's instance list.
async fn watch_instances(hub: &Hub, options: &SpreadOptions) {
    let Some(list) = &options.instances else {
        return;
    };
    loop {
        match list.instances().await {
            Ok(records) => {
                let leaving = records.iter().filter(|r| r.state == InstanceState::Leaving);
                let names: BTreeSet<_> = leaving.map(|r| r.name.to_string()).collect();
                hub.set_leaving(&names);
            }
            Err(error) => debug!(target: "spread", "spread: instance list failed: {error}"),
        }
        sleep(LIST_INTERVAL).await;
    }
}
