//! Following the configuration in the platform's store.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_daemon::config::{CONFIG_PREFIX, ConfigError, read_config};
use kumquatkeel_platform::{ObjectStore, ObjectVersion};
use kumquatkeel_types::message::Snapshot;
use log::warn;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Longest wait of one watch.
const WATCH_TIME: Duration = Duration::from_secs(20);
/// Pause after the store failed.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Sends each configuration that is newer than the last one, until it is stopped.
pub async fn follow_store(
    store: Arc<dyn ObjectStore>,
    sender: watch::Sender<Option<Snapshot>>,
    stop: CancellationToken,
) {
    let mut version = ObjectVersion::default();
    loop {
        let read = stop.run_until_cancelled(read_once(&*store, &sender, version));
        match read.await {
            None => return,
            Some(Ok(next)) => version = next,
            Some(Err(error)) => {
                warn!(target: "fleet", "fleet: {error}");
                let pause = tokio::time::sleep(RETRY_PAUSE);
                if stop.run_until_cancelled(pause).await.is_none() {
                    return;
                }
            }
        }
    }
}

/// Reads the configuration, then waits until it may have changed.
async fn read_once(
    store: &dyn ObjectStore,
    sender: &watch::Sender<Option<Snapshot>>,
    seen: ObjectVersion,
) -> Result<ObjectVersion, ConfigError> {
    let stored = read_config(store).await?;
    let version = stored.as_ref().map_or(seen, |s| s.version);
    if let Some(snapshot) = stored.and_then(|s| s.log.current().cloned()) {
        sender.send_if_modified(|current| {
            let newer = current.as_ref().map(|c| c.revision) < Some(snapshot.revision);
            if newer {
                *current = Some(snapshot);
            }
            newer
        });
    }
    store.watch(CONFIG_PREFIX, version, WATCH_TIME).await?;
    Ok(version)
}
