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
use super::{Hub, Peer, Plan, SpreadTransport, boot, discover, relay, status};

/// How long a poll is held back: also the time between heartbeats.
const POLL_WAIT: Duration = Duration::from_millis(2_500);

/// Least time between two polls of one source.
const POLL_SPACING: Duration = Duration::from_millis(50);

/// Time for which the daemon's own news is gathered before it is sent up.
const PUSH_GATHER: Duration = Duration::from_millis(100);

/// Time for the last news to go out: that for which it is gathered, and a poll.
const LAST_NEWS: Duration = Duration::from_millis(300);

/// Pause before the next source when one fails.
const SWITCH_PAUSE: Duration = Duration::from_millis(100);

/// Time between checks for silent children.
const TICK: Duration = Duration::from_millis(500);

/// Time between reads of the platform's instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// What a daemon's spread works with.
#[derive(Clone)]
pub struct SpreadOptions {
    /// Addresses of entries from the settings, for a daemon that knows no process yet.
    pub seeds: Vec<SocketAddr>,
    /// The way to other daemons.
    pub transport: Arc<dyn SpreadTransport>,
    /// The store; an agent reads it only when no entry answers.
    pub store: Arc<dyn ObjectStore>,
    /// The platform's instance list, read by relays.
    pub instances: Option<Arc<dyn InstanceList>>,
    /// Ids of the daemon's writes.
    pub ids: Arc<WriteIdGenerator>,
}

/// The running tasks of a daemon's spread.
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

    /// Waits until the daemon's last report of itself has had time to go out.
    pub async fn linger(&self) {
        sleep(LAST_NEWS).await;
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
    let mut ticker = interval(TICK);
    ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        hub.tick();
    }
}

/// Follows the plan, and starts over when the plan changes.
async fn supervise(hub: &Hub, options: &SpreadOptions) {
    let mut changes = hub.view();
    loop {
        changes.mark_unchanged();
        let plan = hub.plan();
        info!(
            target: "spread",
            "spread: {} sources, the store {}",
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

async fn follow(hub: &Hub, options: &SpreadOptions, plan: &Plan) {
    let groups = plan.groups.iter().filter(|group| !group.is_empty());
    let polls = join_all(groups.map(|group| poll_group(hub, options, plan, group)));
    let store = async {
        if plan.store {
            let watch = relay::watch_store(hub, &*options.store);
            let report = status::report(hub, options);
            let list = read_list(hub, options);
            tokio::join!(watch, report, list);
        }
    };
    tokio::join!(polls, store);
    // A daemon without any source waits for a change of plan.
    pending::<()>().await;
}

/// Polls one entry of a group, and the next when it fails.
async fn poll_group(hub: &Hub, options: &SpreadOptions, plan: &Plan, group: &[Peer]) {
    for peer in group.iter().cycle() {
        let mut uplink = Uplink::default();
        while poll_once(hub, options, peer, &mut uplink).await {
            if !plan.store {
                hub.set_parent(Some(peer.address));
            }
            sleep(POLL_SPACING).await;
        }
        sleep(SWITCH_PAUSE).await;
    }
}

/// Polls a source; while it holds the answer back, news of this daemon is pushed to it.
async fn poll_once(hub: &Hub, options: &SpreadOptions, peer: &Peer, uplink: &mut Uplink) -> bool {
    let poll = hub.request(uplink, peer, POLL_WAIT);
    let mut sent = *uplink;
    sent.sent = poll.mark.sent;
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
        if hub.has_news_for(&sent, peer) {
            sleep(PUSH_GATHER).await;
            if let Some(mark) = push(hub, options, peer, uplink).await {
                sent.sent = mark;
            }
        }
    };
    match reply {
        Ok(reply) => {
            hub.take_reply(reply, uplink, &poll.mark);
            true
        }
        Err(error) => {
            debug!(target: "spread", "spread: {error}");
            hub.poll_failed(peer.address);
            false
        }
    }
}

/// Tells a source this daemon's news at once; returns the position that was told.
async fn push(hub: &Hub, options: &SpreadOptions, peer: &Peer, uplink: &mut Uplink) -> Option<u64> {
    let poll = hub.request(uplink, peer, Duration::ZERO);
    let told = poll.mark.sent;
    let reply = options.transport.poll(peer.address, poll.request).await;
    hub.take_reply(reply.ok()?, uplink, &poll.mark);
    Some(told)
}

/// Takes hints from the platform's instance list.
async fn read_list(hub: &Hub, options: &SpreadOptions) {
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
            Err(error) => debug!(target: "spread", "spread: instance list: {error}"),
        }
        sleep(LIST_INTERVAL).await;
    }
}
