//! Following the store on a paused clock: lost history, outages, calls during an outage.

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

/// What the store says to one call.
#[derive(Debug, Clone)]
enum Say {
    Batch(Vec<FeedItem>, u64),
    HistoryGone,
    Down,
}

/// A store that answers by a script and is quiet afterwards.
#[derive(Debug, Default)]
struct Scripted {
    lists: Mutex<VecDeque<Say>>,
    watches: Mutex<VecDeque<Say>>,
    /// The revisions that were watched from.
    asked: Mutex<Vec<u64>>,
    calls: Mutex<usize>,
}

impl Scripted {
    fn new(lists: Vec<Say>, watches: Vec<Say>) -> Arc<Self> {
        Arc::new(Self {
            lists: Mutex::new(lists.into()),
            watches: Mutex::new(watches.into()),
            ..Self::default()
        })
    }
}

fn reply(say: Say) -> Result<FeedBatch, PlatformError> {
    let peer = ([127, 0, 0, 1], 1).into();
    match say {
        Say::Batch(items, revision) => Ok(FeedBatch { items, revision }),
        Say::HistoryGone => Err(PlatformError {
            history_gone: true,
            ..PlatformError::new("watch", peer, "gone")
        }),
        Say::Down => Err(PlatformError::new("call", peer, "down")),
    }
}

#[async_trait]
impl ObjectFeed for Scripted {
    async fn list(&self, _: FeedKind, _: ReadMode) -> Result<FeedBatch, PlatformError> {
        *self.calls.lock().unwrap() += 1;
        let next = self.lists.lock().unwrap().pop_front();
        reply(next.unwrap_or(Say::Down))
    }

    async fn watch(
        &self,
        _: FeedKind,
        _: ReadMode,
        revision: u64,
        wait: Duration,
    ) -> Result<FeedBatch, PlatformError> {
        *self.calls.lock().unwrap() += 1;
        self.asked.lock().unwrap().push(revision);
        let next = self.watches.lock().unwrap().pop_front();
        if let Some(say) = next {
            return reply(say);
        }
        sleep(wait).await;
        reply(Say::Batch(Vec::new(), revision))
    }
}

fn gone(name: &str) -> FeedItem {
    FeedItem::TargetRemoved(TargetId::from(name))
}

fn start(feed: &Arc<Scripted>) -> mpsc::Receiver<FeedEvent> {
    let (sender, events) = mpsc::channel(64);
    let terms = FollowOptions {
        kind: FeedKind::Targets,
        mode: ReadMode::Linearizable,
        wait: WAIT,
    };
    tokio::spawn(follow(feed.clone(), terms, sender));
    events
}

async fn next(events: &mut mpsc::Receiver<FeedEvent>) -> FeedEvent {
    let event = timeout(Duration::from_secs(30), events.recv()).await;
    event.expect("an event comes").expect("the follower lives")
}

#[tokio::test(start_paused = true)]
async fn changes_follow_the_list_from_its_revision() {
    let feed = Scripted::new(
        vec![Say::Batch(vec![gone("a")], 7)],
        vec![Say::Batch(vec![gone("b")], 9)],
    );
    let mut events = start(&feed);
    assert_eq!(
        next(&mut events).await,
        FeedEvent::Snapshot(vec![gone("a")])
    );
    assert_eq!(next(&mut events).await, FeedEvent::Changes(vec![gone("b")]));
    sleep(Duration::from_secs(5)).await;
    let asked = feed.asked.lock().unwrap().clone();
    assert_eq!(asked[..2], [7, 9]);
}

#[tokio::test(start_paused = true)]
async fn a_lost_history_leads_to_a_new_list() {
    let feed = Scripted::new(
        vec![Say::Batch(Vec::new(), 7), Say::Batch(vec![gone("c")], 20)],
        vec![Say::HistoryGone],
    );
    let mut events = start(&feed);
    assert_eq!(next(&mut events).await, FeedEvent::Snapshot(Vec::new()));
    assert_eq!(
        next(&mut events).await,
        FeedEvent::Snapshot(vec![gone("c")])
    );
    sleep(Duration::from_secs(1)).await;
    assert_eq!(feed.asked.lock().unwrap().last(), Some(&20));
}

#[tokio::test(start_paused = true)]
async fn an_outage_is_reported_and_the_watch_goes_on_where_it_was() {
    let feed = Scripted::new(
        vec![Say::Batch(Vec::new(), 7)],
        vec![Say::Down, Say::Down, Say::Batch(vec![gone("d")], 8)],
    );
    let mut events = start(&feed);
    assert_eq!(next(&mut events).await, FeedEvent::Snapshot(Vec::new()));
    for _ in 0..2 {
        assert_eq!(
            next(&mut events).await,
            FeedEvent::Failed(FeedKind::Targets)
        );
    }
    assert_eq!(next(&mut events).await, FeedEvent::Changes(vec![gone("d")]));
    assert_eq!(feed.asked.lock().unwrap()[..3], [7, 7, 7]);
}

/// All processes boot while the store is down.
#[tokio::test(start_paused = true)]
async fn an_outage_causes_no_storm_of_calls() {
    let feed = Scripted::new(Vec::new(), Vec::new());
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

/// All targets restart together after a power loss, and each changes its entry within a second.
#[tokio::test(start_paused = true)]
async fn changes_just_after_a_list_come_without_a_long_pause() {
    let batch = |revision| Say::Batch(vec![gone("t")], revision);
    let feed = Scripted::new(vec![batch(1)], (2..8).map(batch).collect());
    let start_time = Instant::now();
    let mut events = start(&feed);
    for _ in 0..5 {
        next(&mut events).await;
    }
    assert!(start_time.elapsed() <= Duration::from_millis(750));
}

/// Targets of a large fleet change all the time; each call to the store has its price.
#[tokio::test(start_paused = true)]
async fn lasting_changes_come_in_batches() {
    let batch = |revision| Say::Batch(vec![gone("t")], revision);
    let feed = Scripted::new(vec![batch(1)], (2..60).map(batch).collect());
    let _events = start(&feed);
    sleep(Duration::from_secs(20)).await;
    let calls = *feed.calls.lock().unwrap();
    assert!(calls <= 32, "{calls} calls in 20 s");
}
