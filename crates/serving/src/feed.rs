//! Replicates objects from the platform's store: lists them, watches for changes, and lists again
//! when the store no longer has the history to watch from.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{ListCall, TargetState};
use kumquatkeel_core::store::{EraChange, StoreEra, StorePosition};
use rand::RngExt;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};

use crate::list_feed::ListFeed;
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
pub(crate) const EVENT_CAPACITY: usize = 16;
/// Upper bound of the delay after the first failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the delay after repeated failures, unless a caller sets another.
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

/// Sends the events of the list of targets, read as `list` decides, until the receiver is dropped.
pub(crate) async fn follow_list(
    feed: Arc<dyn ObjectFeed>,
    list: ListFeed,
    events: mpsc::Sender<FeedEvent>,
) {
    let options = FollowOptions {
        kind: FeedKind::Targets,
        mode: ReadMode::Linearizable,
        wait: Duration::ZERO,
    };
    let mut follower = Follower::new(feed, options, events);
    follower.list = Some(list);
    while follower.step().await.is_ok() {}
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
    /// The call was given up for a consistent one.
    Superseded,
}

/// Reads one kind of object from the store, one call at a time.
pub(crate) struct Follower {
    feed: Arc<dyn ObjectFeed>,
    options: FollowOptions,
    events: mpsc::Sender<FeedEvent>,
    /// How to read the list of targets; `None` reads as `options` state.
    list: Option<ListFeed>,
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
    max_backoff: Duration,
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
            list: None,
            revision: None,
            era: StoreEra::new(),
            restored: false,
            batch_count: 0,
            pause: Duration::ZERO,
            backoff: MIN_BACKOFF,
            max_backoff: MAX_BACKOFF,
            failed: false,
        }
    }

    /// Sets the upper bound of the delay after repeated failures.
    pub(crate) const fn with_max_backoff(mut self, limit: Duration) -> Self {
        self.max_backoff = limit;
        self
    }

    /// Pauses as the last call requires, makes one call to the store and sends what it brought.
    ///
    /// # Errors
    ///
    /// Returns an error when the receiver of the events was dropped.
    pub(crate) async fn step(&mut self) -> Result<FollowStep, ReceiverGone> {
        self.wait_for_pause().await;
        match self.revision {
            None => self.list_all().await,
            Some(revision) => self.watch_changes(revision).await,
        }
    }

    /// Waits for the pause that the last call requires, less if an urgent change must be read.
    async fn wait_for_pause(&mut self) {
        let end = Instant::now() + std::mem::take(&mut self.pause);
        let known = self.position();
        match &self.list {
            Some(list) if known.revision > 0 => tokio::select! {
                () = sleep_until(end) => {}
                () = list.wait_for_urgent(known) => {}
            },
            Some(_) | None => sleep_until(end).await,
        }
    }

    /// Returns the state of the store up to which the objects are known.
    fn position(&self) -> StorePosition {
        StorePosition {
            era: self.era.number(),
            revision: self.revision.unwrap_or_default(),
        }
    }

    /// Returns how to make the next watch call.
    fn next_call(&self) -> ListCall {
        let FollowOptions { kind, mode, wait } = self.options;
        let call = ListCall {
            consistent: mode == ReadMode::Linearizable,
            wait,
            delay: match kind {
                FeedKind::Config => CONFIG_CHANGE_DELAY,
                FeedKind::Targets => TARGETS_CHANGE_DELAY,
            },
            backoff: self.max_backoff,
        };
        let list = self.list.as_ref();
        list.map_or(call, |list| list.next_call(self.position()))
    }

    /// Makes a watch call; `None` if it was given up for a consistent one.
    async fn watch(
        &mut self,
        revision: u64,
        call: ListCall,
    ) -> Option<Result<FeedBatch, PlatformError>> {
        let known = self.position();
        let mode = if call.consistent {
            ReadMode::Linearizable
        } else {
            ReadMode::Stale
        };
        let watch = self
            .feed
            .watch(self.options.kind, mode, revision, call.wait);
        match &self.list {
            Some(list) if !call.consistent => tokio::select! {
                result = watch => Some(result),
                () = list.wait_for_consistent(known) => None,
            },
            Some(_) | None => Some(watch.await),
        }
    }

    /// Records what a consistent answer with these items confirms, by the times of the call and of the
    /// confirmation.
    fn record_confirmation(&self, times: (Instant, Instant), items: &[FeedItem], is_list: bool) {
        let is_urgent = |item: &FeedItem| match item {
            FeedItem::TargetRemoved(_) => true,
            FeedItem::Target(target) => target.state == TargetState::Leaving,
            FeedItem::Config { .. } | FeedItem::Unusable { .. } => false,
        };
        if let Some(list) = &self.list {
            let urgent = is_list || items.iter().any(is_urgent);
            list.record_confirmation(times, self.position(), urgent);
        }
    }

    /// Continues with a watch after `position`, as the objects up to it came from elsewhere; revision 0
    /// means that none did.
    pub(crate) fn resume_after(&mut self, position: StorePosition) {
        self.revision = self.era.resume_after(position);
    }

    async fn list_all(&mut self) -> Result<FollowStep, ReceiverGone> {
        let sent = Instant::now();
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
                self.record_success(revision).await?;
                self.revision = Some(revision);
                self.record_confirmation((sent, Instant::now()), &items, true);
                let event = if std::mem::take(&mut self.restored) {
                    FeedEvent::Restored(items)
                } else {
                    FeedEvent::Snapshot(items)
                };
                self.send(event).await?;
                self.batch_count = 0;
                Ok(FollowStep::Confirmed(Instant::now()))
            }
            Err(error) => self.record_failure(error).await,
        }
    }

    async fn watch_changes(&mut self, revision: u64) -> Result<FollowStep, ReceiverGone> {
        let kind = self.options.kind;
        let sent = Instant::now();
        let call = self.next_call();
        let Some(result) = self.watch(revision, call).await else {
            return Ok(FollowStep::Superseded);
        };
        match result {
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
                self.record_success(batch.revision).await?;
                self.revision = Some(batch.revision.max(revision));
                // The store answers without changes at the end of the wait.
                let confirmed = if batch.items.is_empty() {
                    (sent + call.wait).min(Instant::now())
                } else {
                    Instant::now()
                };
                if call.consistent {
                    self.record_confirmation((sent, confirmed), &batch.items, false);
                }
                if batch.items.is_empty() {
                    return Ok(FollowStep::Confirmed(confirmed));
                }
                self.send(FeedEvent::Changes(batch.items)).await?;
                self.batch_count += 1;
                self.pause = if self.batch_count <= INITIAL_BATCHES {
                    INITIAL_DELAY
                } else {
                    call.delay
                };
                Ok(FollowStep::Confirmed(confirmed))
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

    /// Resets the backoff after a successful call and logs the end of an outage. Where the pauses between
    /// calls are long, sends [`FeedEvent::Failed`] once more, as the outage may have lasted until now.
    async fn record_success(&mut self, revision: u64) -> Result<(), ReceiverGone> {
        self.backoff = MIN_BACKOFF;
        if std::mem::take(&mut self.failed) {
            let kind = self.options.kind;
            log::info!(dependency = "store", kind:%, revision; "dependency recovered");
            if self.list.is_some() {
                self.send(FeedEvent::Failed(kind)).await?;
            }
        }
        Ok(())
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
        let pause = sleep(self.backoff.mul_f64(jitter));
        match &self.list {
            Some(list) => tokio::select! {
                () = pause => {}
                () = list.wait_for_recovery() => {}
            },
            None => pause.await,
        }
        let limit = self.next_call().backoff;
        self.backoff = (self.backoff * 2).min(limit);
        Ok(FollowStep::Failed)
    }
}
