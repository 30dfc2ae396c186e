//! Follows a scripted store on a paused clock.
//!
//! Guards against changes missed after an outage or a lost history, against a storm of calls while
//! the store is down, and against delays that are too long after a list or too short afterwards.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use kumquatkeel_core::serving::TargetId;
use kumquatkeel_serving::feed::{FeedEvent, FollowOptions, follow};
use kumquatkeel_serving::platform::{
    FeedBatch, FeedItem, FeedKind, ObjectFeed, PlatformError, ReadMode,
};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

const WAIT: Duration = Duration::from_secs(2);

/// The store's answer to one call.
#[derive(Debug, Clone)]
enum Answer {
    Batch(Vec<FeedItem>, u64),
    /// A batch of an era.
    InEra(u64, Vec<FeedItem>, u64),
    HistoryGone,
    Down,
}

/// A store that gives scripted answers; afterwards lists fail and watches bring no change.
#[derive(Debug, Default)]
struct ScriptedFeed {
    lists: Mutex<VecDeque<Answer>>,
    watches: Mutex<VecDeque<Answer>>,
    /// The revisions that watch calls started from.
    watched_from: Mutex<Vec<u64>>,
    calls: Mutex<usize>,
}

impl ScriptedFeed {
    fn new(lists: Vec<Answer>, watches: Vec<Answer>) -> Arc<Self> {
        Arc::new(Self {
            lists: Mutex::new(lists.into()),
            watches: Mutex::new(watches.into()),
            ..Self::default()
        })
    }
}

fn reply(answer: Answer) -> Result<FeedBatch, PlatformError> {
    let peer = ([127, 0, 0, 1], 1).into();
    match answer {
        Answer::Batch(items, revision) => Ok(FeedBatch {
            items,
            revision,
            era: None,
        }),
        Answer::InEra(era, items, revision) => Ok(FeedBatch {
            items,
            revision,
            era: Some(era),
        }),
        Answer::HistoryGone => Err(PlatformError {
            history_gone: true,
            ..PlatformError::new("watch", peer, "gone")
        }),
        Answer::Down => Err(PlatformError::new("call", peer, "down")),
    }
}

#[async_trait]
impl ObjectFeed for ScriptedFeed {
    async fn list(&self, _: FeedKind, _: ReadMode) -> Result<FeedBatch, PlatformError> {
        *self.calls.lock().unwrap() += 1;
        let next = self.lists.lock().unwrap().pop_front();
        reply(next.unwrap_or(Answer::Down))
    }

    async fn watch(
        &self,
        _: FeedKind,
        _: ReadMode,
        revision: u64,
        wait: Duration,
    ) -> Result<FeedBatch, PlatformError> {
        *self.calls.lock().unwrap() += 1;
        self.watched_from.lock().unwrap().push(revision);
        let next = self.watches.lock().unwrap().pop_front();
        if let Some(answer) = next {
            return reply(answer);
        }
        sleep(wait).await;
        reply(Answer::Batch(Vec::new(), revision))
    }
}

fn removed(name: &str) -> FeedItem {
    FeedItem::TargetRemoved(TargetId::from(name))
}

fn start(feed: &Arc<ScriptedFeed>) -> mpsc::Receiver<FeedEvent> {
    let (sender, events) = mpsc::channel(64);
    let options = FollowOptions {
        kind: FeedKind::Targets,
        mode: ReadMode::Linearizable,
        wait: WAIT,
    };
    tokio::spawn(follow(feed.clone(), options, sender));
    events
}

async fn next(events: &mut mpsc::Receiver<FeedEvent>) -> FeedEvent {
    let event = timeout(Duration::from_secs(30), events.recv()).await;
    event
        .expect("an event arrives within 30 s")
        .expect("the follower still runs")
}

#[tokio::test(start_paused = true)]
async fn watches_start_from_the_revision_of_the_list() {
    let feed = ScriptedFeed::new(
        vec![Answer::Batch(vec![removed("a")], 7)],
        vec![Answer::Batch(vec![removed("b")], 9)],
    );
    let mut events = start(&feed);
    assert_eq!(
        next(&mut events).await,
        FeedEvent::Snapshot(vec![removed("a")])
    );
    assert_eq!(
        next(&mut events).await,
        FeedEvent::Changes(vec![removed("b")])
    );
    sleep(Duration::from_secs(5)).await;
    let watched_from = feed.watched_from.lock().unwrap().clone();
    assert_eq!(watched_from[..2], [7, 9]);
}

/// The restored store has passed the watched revision again, with other changes below it.
#[tokio::test(start_paused = true)]
async fn changes_of_a_restored_store_are_not_taken_for_those_after_an_earlier_revision() {
    let feed = ScriptedFeed::new(
        vec![
            Answer::InEra(1, vec![removed("a")], 7),
            Answer::InEra(2, vec![removed("c")], 9),
        ],
        vec![
            Answer::InEra(2, vec![removed("b")], 8),
            Answer::InEra(1, vec![removed("late")], 12),
            Answer::InEra(2, vec![removed("d")], 10),
        ],
    );
    let mut events = start(&feed);
    let expected = [
        FeedEvent::Snapshot(vec![removed("a")]),
        FeedEvent::Restored(vec![removed("c")]),
        // The answer from before the restore.
        FeedEvent::Failed(FeedKind::Targets),
        FeedEvent::Changes(vec![removed("d")]),
    ];
    for expected in expected {
        assert_eq!(next(&mut events).await, expected);
    }
    let watched_from = feed.watched_from.lock().unwrap().clone();
    assert_eq!(watched_from[..3], [7, 9, 9]);
}

#[tokio::test(start_paused = true)]
async fn objects_are_listed_again_when_the_history_is_gone() {
    let feed = ScriptedFeed::new(
        vec![
            Answer::Batch(Vec::new(), 7),
            Answer::Batch(vec![removed("c")], 20),
        ],
        vec![Answer::HistoryGone],
    );
    let mut events = start(&feed);
    assert_eq!(next(&mut events).await, FeedEvent::Snapshot(Vec::new()));
    assert_eq!(
        next(&mut events).await,
        FeedEvent::Snapshot(vec![removed("c")])
    );
    sleep(Duration::from_secs(1)).await;
    assert_eq!(feed.watched_from.lock().unwrap().last(), Some(&20));
}

#[tokio::test(start_paused = true)]
async fn an_outage_is_reported_and_the_watch_resumes_from_the_same_revision() {
    let feed = ScriptedFeed::new(
        vec![Answer::Batch(Vec::new(), 7)],
        vec![
            Answer::Down,
            Answer::Down,
            Answer::Batch(vec![removed("d")], 8),
        ],
    );
    let mut events = start(&feed);
    assert_eq!(next(&mut events).await, FeedEvent::Snapshot(Vec::new()));
    for _ in 0..2 {
        assert_eq!(
            next(&mut events).await,
            FeedEvent::Failed(FeedKind::Targets)
        );
    }
    assert_eq!(
        next(&mut events).await,
        FeedEvent::Changes(vec![removed("d")])
    );
    assert_eq!(feed.watched_from.lock().unwrap()[..3], [7, 7, 7]);
}

/// All processes may start while the store is down.
#[tokio::test(start_paused = true)]
async fn an_outage_causes_no_storm_of_calls() {
    let feed = ScriptedFeed::new(Vec::new(), Vec::new());
    let mut events = start(&feed);
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        assert_eq!(
            next(&mut events).await,
            FeedEvent::Failed(FeedKind::Targets)
        );
    }
    let calls = *feed.calls.lock().unwrap();
    assert!((20..=60).contains(&calls), "{calls} calls in 20 s");
}

/// After a power loss all targets restart together, and each changes its object within a second.
#[tokio::test(start_paused = true)]
async fn the_first_changes_after_a_list_arrive_without_a_long_delay() {
    let batch = |revision| Answer::Batch(vec![removed("t")], revision);
    let feed = ScriptedFeed::new(vec![batch(1)], (2..8).map(batch).collect());
    let start_time = Instant::now();
    let mut events = start(&feed);
    for _ in 0..5 {
        next(&mut events).await;
    }
    assert!(start_time.elapsed() <= Duration::from_millis(750));
}

/// The targets of a large fleet change all the time, and each call loads the store.
#[tokio::test(start_paused = true)]
async fn continuous_changes_arrive_in_batches() {
    let batch = |revision| Answer::Batch(vec![removed("t")], revision);
    let feed = ScriptedFeed::new(vec![batch(1)], (2..60).map(batch).collect());
    let _events = start(&feed);
    sleep(Duration::from_secs(20)).await;
    let calls = *feed.calls.lock().unwrap();
    assert!(calls <= 32, "{calls} calls in 20 s");
}
