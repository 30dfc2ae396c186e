//! Following the configuration in the store as it changes.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_platform::{ObjectStore, ObjectVersion, StoreFault};
use kumquatkeel_types::message::Snapshot;
use log::{info, warn};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::{CONFIG_PREFIX, ConfigError, read_config};

/// Longest time that one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// First pause after a fault of the store; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after faults of the store.
const LAST_PAUSE: Duration = Duration::from_secs(2);

/// Publishes each new revision of the stored configuration until it is stopped.
///
/// A revision below the published one, as from a stale read, is passed over.
pub async fn follow_store(
    store: Arc<dyn ObjectStore>,
    snapshots: watch::Sender<Option<Snapshot>>,
    stop: CancellationToken,
) {
    let mut pause = FIRST_PAUSE;
    let mut seen = ObjectVersion::default();
    while !stop.is_cancelled() {
        let next = tokio::select! {
            () = stop.cancelled() => return,
            next = next_version(&*store, seen, &snapshots) => next,
        };
        match next {
            Ok(version) => {
                seen = version;
                pause = FIRST_PAUSE;
            }
            Err(error) => {
                warn!(target: "config", "config: following the store failed: {error}");
                let _ = stop.run_until_cancelled(tokio::time::sleep(pause)).await;
                pause = (pause * 2).min(LAST_PAUSE);
            }
        }
    }
}

/// Reads the configuration, publishes it if it is newer, and waits for the next change.
async fn next_version(
    store: &dyn ObjectStore,
    seen: ObjectVersion,
    snapshots: &watch::Sender<Option<Snapshot>>,
) -> Result<ObjectVersion, ConfigError> {
    if let Some(stored) = read_config(store).await?
        && let Some(snapshot) = stored.log.current()
    {
        publish(snapshots, snapshot);
    }
    match store.watch(CONFIG_PREFIX, seen, WATCH_WAIT).await {
        Ok(reply) => Ok(reply.version),
        Err(error) if error.fault == StoreFault::WatchGap => Ok(ObjectVersion::default()),
        Err(error) => Err(error.into()),
    }
}

fn publish(snapshots: &watch::Sender<Option<Snapshot>>, snapshot: &Snapshot) {
    snapshots.send_if_modified(|published| {
        let is_newer = published.as_ref().is_none_or(|old| old.revision < snapshot.revision);
        if is_newer {
            info!(target: "config", "config: revision {} is read from the store", snapshot.revision);
            *published = Some(snapshot.clone());
        }
        is_newer
    });
}
