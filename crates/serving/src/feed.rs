//! Replicates objects from the platform's store: lists them, watches for changes, and lists again
//! when the store no longer has the history to watch from.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::store::{EraChange, StoreEra, StorePosition};
use rand::RngExt;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use crate::platform::{FeedBatch, FeedItem, FeedKind, ObjectFeed, ReadMode};

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
pub(crate) const EVENT_CAPACITY: usize = 16;
/// Upper bound of the delay after the first failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the delay after repeated failures.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// An event of a followed kind of object.
#[derive(Debug, Clone, PartialEq)]
pub enum FeedEvent {
    /// All objects of the kind, after a list call.
    Snapshot(Vec<FeedItem>),
    /// All objects of the kind, from a store that was restored from a copy. What it lacks since then is
    /// written again, as after an outage.
    Restored(Vec<FeedItem>),
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

/// Sends the events of one kind of object until the receiver is dropped.
pub async fn follow(
    feed: Arc<dyn ObjectFeed>,
    options: FollowOptions,
    events: mpsc::Sender<FeedEvent>,
) {
    let mut follower = Follower::new(feed, options, events);
    while follower.step().await.is_ok() {}
}

/// The receiver of a follower's events was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReceiverGone;

/// The outcome of one call to the store.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum FollowStep {
    /// The objects that were passed on are all changes up to this time.
    Confirmed(Instant),
    /// The call failed.
    Failed,
}

/// Reads one kind of object from the store, one call at a time.
pub(crate) struct Follower {
    feed: Arc<dyn ObjectFeed>,
    options: FollowOptions,
    events: mpsc::Sender<FeedEvent>,
    /// The revision to watch from; `None` if all objects must be listed first.
    revision: Option<u64>,
    era: StoreEra,
    /// Whether the store was restored since the last list.
    restored: bool,
    /// Batches of changes since the last list.
    batch_count: u32,
    /// Pause before the next call, so that changes in series arrive in one answer.
    pause: Duration,
    backoff: Duration,
    failed: bool,
}

impl Follower {
    pub(crate) const fn new(
        feed: Arc<dyn ObjectFeed>,
        options: FollowOptions,
        events: mpsc::Sender<FeedEvent>,
    ) -> Self {
        Self {
            feed,
            options,
            events,
            revision: None,
            era: StoreEra::new(),
            restored: false,
            batch_count: 0,
            pause: Duration::ZERO,
            backoff: MIN_BACKOFF,
            failed: false,
        }
    }

    /// Pauses as the last call requires, makes one call to the store and sends what it brought.
    ///
    /// # Errors
    ///
    /// Returns an error when the receiver of the events was dropped.
    pub(crate) async fn step(&mut self) -> Result<FollowStep, ReceiverGone> {
        sleep(std::mem::take(&mut self.pause)).await;
        match self.revision {
            None => self.list_all().await,
            Some(revision) => self.watch_changes(revision).await,
        }
    }

    /// Continues with a watch after `position`, as the objects up to it came from elsewhere; revision 0
    /// means that none did.
    pub(crate) fn resume_after(&mut self, position: StorePosition) {
        self.revision = self.era.resume_after(position);
    }

    async fn list_all(&mut self) -> Result<FollowStep, ReceiverGone> {
        match self.feed.list(self.options.kind, self.options.mode).await {
            Ok(FeedBatch {
                items,
                revision,
                era,
            }) => {
                match self.era.observe(era) {
                    EraChange::Unchanged => {}
                    EraChange::Restored => self.record_restore(),
                    EraChange::Outdated => return self.record_outdated().await,
                }
                self.record_success(revision);
                let event = if std::mem::take(&mut self.restored) {
                    FeedEvent::Restored(items)
                } else {
                    FeedEvent::Snapshot(items)
                };
                self.send(event).await?;
                self.revision = Some(revision);
                self.batch_count = 0;
                Ok(FollowStep::Confirmed(Instant::now()))
            }
            Err(error) => self.record_failure(error).await,
        }
    }

    async fn watch_changes(&mut self, revision: u64) -> Result<FollowStep, ReceiverGone> {
        let FollowOptions { kind, mode, wait } = self.options;
        let sent = Instant::now();
        match self.feed.watch(kind, mode, revision, wait).await {
            Ok(batch) => {
                match self.era.observe(batch.era) {
                    EraChange::Unchanged => {}
                    EraChange::Restored => {
                        self.record_restore();
                        self.revision = None;
                        return Ok(FollowStep::Failed);
                    }
                    EraChange::Outdated => return self.record_outdated().await,
                }
                self.record_success(batch.revision);
                self.revision = Some(batch.revision.max(revision));
                if batch.items.is_empty() {
                    // The store answers without changes at the end of the wait.
                    let confirmed = (sent + wait).min(Instant::now());
                    return Ok(FollowStep::Confirmed(confirmed));
                }
                self.send(FeedEvent::Changes(batch.items)).await?;
                self.batch_count += 1;
                let delay = match kind {
                    _ if self.batch_count <= INITIAL_BATCHES => INITIAL_DELAY,
                    FeedKind::Config => CONFIG_CHANGE_DELAY,
                    FeedKind::Targets => TARGETS_CHANGE_DELAY,
                };
                self.pause = delay;
                Ok(FollowStep::Confirmed(Instant::now()))
            }
            Err(error) if error.history_gone => {
                log::info!(kind:%, revision; "revision expired; listing all objects");
                self.revision = None;
                Ok(FollowStep::Failed)
            }
            Err(error) => {
                // A watch returns each change since its revision; a list returns the newest
                // configuration only.
                if kind == FeedKind::Config {
                    self.revision = None;
                }
                self.record_failure(error).await
            }
        }
    }

    async fn send(&self, event: FeedEvent) -> Result<(), ReceiverGone> {
        self.events.send(event).await.map_err(|_| ReceiverGone)
    }

    fn record_restore(&mut self) {
        self.restored = true;
        let kind = self.options.kind;
        log::warn!(dependency = "store", kind:%, era = self.era.number(); "store restored from a copy");
    }

    /// Records an answer from before a restore, which came late.
    async fn record_outdated(&mut self) -> Result<FollowStep, ReceiverGone> {
        self.record_failure("the answer is from before a restore")
            .await
    }

    /// Resets the backoff after a successful call and logs the end of an outage.
    fn record_success(&mut self, revision: u64) {
        self.backoff = MIN_BACKOFF;
        if std::mem::take(&mut self.failed) {
            let kind = self.options.kind;
            log::info!(dependency = "store", kind:%, revision; "dependency recovered");
        }
    }

    /// Logs the start of an outage, sends [`FeedEvent::Failed`] and waits for the backoff, with
    /// jitter.
    async fn record_failure(&mut self, error: impl Display) -> Result<FollowStep, ReceiverGone> {
        let kind = self.options.kind;
        if !std::mem::replace(&mut self.failed, true) {
            log::warn!(dependency = "store", kind:%, error:%; "dependency unreachable");
        }
        self.send(FeedEvent::Failed(kind)).await?;
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(self.backoff.mul_f64(jitter)).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        Ok(FollowStep::Failed)
    }
}
