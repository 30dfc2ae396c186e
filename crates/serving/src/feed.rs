//! Following the platform's store: list, watch, list again when the history is gone.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::platform::{FeedBatch, FeedItem, FeedKind, ObjectFeed, PlatformError, ReadMode};

/// Pause after a change of the configuration, so that changes in series come in one call.
const CONFIG_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a change of the targets, which change all the time in a large fleet. A target that
/// leaves must be out of use within the deployment's bound, which is several times this.
const TARGETS_PAUSE: Duration = Duration::from_millis(900);
/// Batches of changes after a list that are followed by a short pause: a process boots as many
/// targets do, and each of them changes its entry then.
const BOOT_BATCHES: u32 = 6;
/// Pause after each of them.
const BOOT_PAUSE: Duration = Duration::from_millis(150);
/// Events that may wait for the receiver; followers pause while it is behind.
const EVENTS_WAITING: usize = 16;
/// First pause after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// What a follower learns.
#[derive(Debug, Clone, PartialEq)]
pub enum FeedEvent {
    /// All objects of the kind.
    Snapshot(Vec<FeedItem>),
    /// Changes since the last event.
    Changes(Vec<FeedItem>),
    /// The store could not be read.
    Failed(FeedKind),
}

/// What a follower follows, and how.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowOptions {
    /// The kind of object.
    pub kind: FeedKind,
    /// Whether reads may be stale.
    pub mode: ReadMode,
    /// How long one watch call waits. A watch may hear nothing of changes although its connection
    /// is sound, so it must end well within the deployment's bounds for a configuration to be in
    /// force and for a leaving target to be out of use.
    pub wait: Duration,
}

/// Follows the objects of all kinds; returns what is learned.
pub fn follow_all(
    feed: &Arc<dyn ObjectFeed>,
    mode: ReadMode,
    wait: Duration,
) -> mpsc::Receiver<FeedEvent> {
    let (sender, events) = mpsc::channel(EVENTS_WAITING);
    for kind in [FeedKind::Config, FeedKind::Targets] {
        let terms = FollowOptions { kind, mode, wait };
        tokio::spawn(follow(feed.clone(), terms, sender.clone()));
    }
    events
}

/// Follows one kind of object until the receiver is dropped.
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
    while let Some(revision) = follower.snapshot().await {
        if !follower.changes(revision).await {
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
    /// Reads all objects; returns the revision to watch from, or `None` without a receiver.
    async fn snapshot(&mut self) -> Option<u64> {
        loop {
            match self.feed.list(self.kind, self.mode).await {
                Ok(FeedBatch { items, revision }) => {
                    self.regained(revision);
                    self.events.send(FeedEvent::Snapshot(items)).await.ok()?;
                    return Some(revision);
                }
                Err(error) => self.lost(&error).await.ok()?,
            }
        }
    }

    /// Watches for changes; returns whether all objects must be read again.
    async fn changes(&mut self, mut revision: u64) -> bool {
        let mut batches = 0;
        loop {
            let watch = self.feed.watch(self.kind, self.mode, revision, self.wait);
            match watch.await {
                Ok(batch) => {
                    self.regained(batch.revision);
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
                    batches += 1;
                    let pause = match self.kind {
                        _ if batches <= BOOT_BATCHES => BOOT_PAUSE,
                        FeedKind::Config => CONFIG_PAUSE,
                        FeedKind::Targets => TARGETS_PAUSE,
                    };
                    sleep(pause).await;
                }
                Err(error) if error.history_gone => {
                    log::info!(kind:% = self.kind, revision; "history is gone; reading all objects");
                    return true;
                }
                Err(error) => {
                    if self.lost(&error).await.is_err() {
                        return false;
                    }
                }
            }
        }
    }

    fn regained(&mut self, revision: u64) {
        self.backoff = MIN_BACKOFF;
        if std::mem::take(&mut self.failed) {
            log::info!(dependency = "store", kind:% = self.kind, revision; "dependency regained");
        }
    }

    async fn lost(
        &mut self,
        error: &PlatformError,
    ) -> Result<(), mpsc::error::SendError<FeedEvent>> {
        if !std::mem::replace(&mut self.failed, true) {
            log::warn!(dependency = "store", kind:% = self.kind, error:%; "dependency lost");
        }
        self.events.send(FeedEvent::Failed(self.kind)).await?;
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(self.backoff.mul_f64(jitter)).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        Ok(())
    }
}
