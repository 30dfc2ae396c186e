//! Replicates objects from the platform's store: lists them, watches for changes, and lists again
//! when the store no longer has the history to watch from.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::platform::{FeedBatch, FeedItem, FeedKind, ObjectFeed, PlatformError, ReadMode};

/// Delay after a configuration change, so that changes in series arrive in one watch call.
const CONFIG_CHANGE_DELAY: Duration = Duration::from_millis(250);
/// Delay after a change of targets, which is frequent in a large fleet. A leaving target must be
/// out of use within the deployment's bound, which is several times this delay.
const TARGETS_CHANGE_DELAY: Duration = Duration::from_millis(900);
/// Number of batches after a list that are followed by [`INITIAL_DELAY`] instead: a process often
/// starts together with many targets, each of which then changes its object.
const INITIAL_BATCHES: u32 = 6;
/// Delay after each of the first [`INITIAL_BATCHES`].
const INITIAL_DELAY: Duration = Duration::from_millis(150);
/// Capacity of the event channel; followers wait while it is full.
const EVENT_CAPACITY: usize = 16;
/// Upper bound of the delay after the first failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the delay after repeated failures.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// An event of a followed kind of object.
#[derive(Debug, Clone, PartialEq)]
pub enum FeedEvent {
    /// All objects of the kind, after a list call.
    Snapshot(Vec<FeedItem>),
    /// Changes since the last event, in order.
    Changes(Vec<FeedItem>),
    /// A call to the store failed; sent for each failed call.
    Failed(FeedKind),
}

/// The kind of object that a follower reads, and how it reads it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowOptions {
    /// The kind of object.
    pub kind: FeedKind,
    /// Whether reads may be stale.
    pub mode: ReadMode,
    /// Longest wait of one watch call. A watch may miss changes although its connection is intact,
    /// so it must end well within the deployment's bounds for a configuration to be in force and
    /// for a leaving target to be out of use.
    pub wait: Duration,
}

/// Spawns a follower for each kind of object and returns the channel of their events.
pub fn follow_all(
    feed: &Arc<dyn ObjectFeed>,
    mode: ReadMode,
    wait: Duration,
) -> mpsc::Receiver<FeedEvent> {
    let (sender, events) = mpsc::channel(EVENT_CAPACITY);
    for kind in [FeedKind::Config, FeedKind::Targets] {
        let options = FollowOptions { kind, mode, wait };
        tokio::spawn(follow(feed.clone(), options, sender.clone()));
    }
    events
}

/// Sends the events of one kind of object until the receiver is dropped.
pub async fn follow(
    feed: Arc<dyn ObjectFeed>,
    FollowOptions { kind, mode, wait }: FollowOptions,
    events: mpsc::Sender<FeedEvent>,
) {
    let mut follower = Follower {
        feed,
        kind,
        mode,
        wait,
        events,
        backoff: MIN_BACKOFF,
        failed: false,
    };
    while let Some(revision) = follower.list_all().await {
        if !follower.watch_changes(revision).await {
            return;
        }
    }
}

struct Follower {
    feed: Arc<dyn ObjectFeed>,
    kind: FeedKind,
    mode: ReadMode,
    wait: Duration,
    events: mpsc::Sender<FeedEvent>,
    backoff: Duration,
    failed: bool,
}

impl Follower {
    /// Lists all objects, with retries; returns the revision to watch from, or `None` if the
    /// receiver was dropped.
    async fn list_all(&mut self) -> Option<u64> {
        loop {
            match self.feed.list(self.kind, self.mode).await {
                Ok(FeedBatch { items, revision }) => {
                    self.record_success(revision);
                    self.events.send(FeedEvent::Snapshot(items)).await.ok()?;
                    return Some(revision);
                }
                Err(error) => self.record_failure(&error).await.ok()?,
            }
        }
    }

    /// Watches for changes; returns true if all objects must be listed again, and false if the
    /// receiver was dropped.
    async fn watch_changes(&mut self, mut revision: u64) -> bool {
        let mut batch_count = 0;
        loop {
            let watch = self.feed.watch(self.kind, self.mode, revision, self.wait);
            match watch.await {
                Ok(batch) => {
                    self.record_success(batch.revision);
                    revision = batch.revision.max(revision);
                    if batch.items.is_empty() {
                        continue;
                    }
                    if self
                        .events
                        .send(FeedEvent::Changes(batch.items))
                        .await
                        .is_err()
                    {
                        return false;
                    }
                    batch_count += 1;
                    let delay = match self.kind {
                        _ if batch_count <= INITIAL_BATCHES => INITIAL_DELAY,
                        FeedKind::Config => CONFIG_CHANGE_DELAY,
                        FeedKind::Targets => TARGETS_CHANGE_DELAY,
                    };
                    sleep(delay).await;
                }
                Err(error) if error.history_gone => {
                    log::info!(
                        kind:% = self.kind, revision;
                        "revision expired; listing all objects"
                    );
                    return true;
                }
                Err(error) => {
                    if self.record_failure(&error).await.is_err() {
                        return false;
                    }
                }
            }
        }
    }

    /// Resets the backoff after a successful call and logs the end of an outage.
    fn record_success(&mut self, revision: u64) {
        self.backoff = MIN_BACKOFF;
        if std::mem::take(&mut self.failed) {
            log::info!(dependency = "store", kind:% = self.kind, revision; "dependency recovered");
        }
    }

    /// Logs the start of an outage, sends [`FeedEvent::Failed`] and waits for the backoff, with
    /// jitter.
    async fn record_failure(
        &mut self,
        error: &PlatformError,
    ) -> Result<(), mpsc::error::SendError<FeedEvent>> {
        if !std::mem::replace(&mut self.failed, true) {
            log::warn!(dependency = "store", kind:% = self.kind, error:%; "dependency unreachable");
        }
        self.events.send(FeedEvent::Failed(self.kind)).await?;
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(self.backoff.mul_f64(jitter)).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        Ok(())
    }
}
