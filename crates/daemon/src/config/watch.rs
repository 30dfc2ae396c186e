//! Following the configuration in the store as it changes.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::spread::ConfigLog;
use kumquatkeel_platform::{ObjectStore, ObjectVersion, StoreFault};
use kumquatkeel_types::message::Snapshot;
use log::{info, warn};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::{CONFIG_PREFIX, ConfigError, decode_head, follow, head_key};

/// Longest time that one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause before an empty store is read again.
const EMPTY_PAUSE: Duration = Duration::from_millis(200);
/// First pause after a fault of the store; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after faults of the store.
const LAST_PAUSE: Duration = Duration::from_secs(2);

/// Publishes each new revision of the stored configuration until it is stopped.
///
/// After the first read only the head is watched; its changes lead from one revision to the next.
/// A revision below the published one, as from a stale read, is passed over.
pub async fn follow_store(
    store: Arc<dyn ObjectStore>,
    snapshots: watch::Sender<Option<Snapshot>>,
    stop: CancellationToken,
) {
    let mut log = ConfigLog::default();
    let mut seen = None;
    let mut pause = FIRST_PAUSE;
    while !stop.is_cancelled() {
        let followed = tokio::select! {
            () = stop.cancelled() => return,
            followed = follow_once(&*store, &mut log, seen) => followed,
        };
        match followed {
            Ok(version) => {
                seen = version;
                pause = FIRST_PAUSE;
                publish(&snapshots, &log);
            }
            Err(error) => {
                warn!(target: "config", "config: following the store failed: {error}");
                seen = None;
                let _ = stop.run_until_cancelled(tokio::time::sleep(pause)).await;
                pause = (pause * 2).min(LAST_PAUSE);
            }
        }
    }
}

/// Reads the head, the first time at once and then when it changes; returns the version seen.
async fn follow_once(
    store: &dyn ObjectStore,
    log: &mut ConfigLog,
    seen: Option<ObjectVersion>,
) -> Result<Option<ObjectVersion>, ConfigError> {
    let Some(seen) = seen else {
        return read_head(store, log).await;
    };
    let reply = match store.watch(CONFIG_PREFIX, seen, WATCH_WAIT).await {
        Ok(reply) => reply,
        Err(error) if error.fault == StoreFault::WatchGap => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    for object in reply.objects.iter().filter(|o| o.key == head_key()) {
        follow(store, &decode_head(object)?, log).await?;
    }
    Ok(Some(reply.version))
}

async fn read_head(
    store: &dyn ObjectStore,
    log: &mut ConfigLog,
) -> Result<Option<ObjectVersion>, ConfigError> {
    let Some(object) = store.get(&head_key()).await? else {
        tokio::time::sleep(EMPTY_PAUSE).await;
        return Ok(None);
    };
    follow(store, &decode_head(&object)?, log).await?;
    Ok(Some(object.version))
}

fn publish(snapshots: &watch::Sender<Option<Snapshot>>, log: &ConfigLog) {
    let Some(snapshot) = log.current() else {
        return;
    };
    snapshots.send_if_modified(|published| {
        let is_newer = published.as_ref().is_none_or(|old| old.revision < snapshot.revision);
        if is_newer {
            info!(target: "config", "config: revision {} is read from the store", snapshot.revision);
            *published = Some(snapshot.clone());
        }
        is_newer
    });
}
