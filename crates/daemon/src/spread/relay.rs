//! Watch of the configuration in the store, run by relays.

use std::time::Duration;

use kumquatkeel_platform::{ObjectStore, ObjectVersion, StoreFault};
use log::{debug, warn};
use tokio::time::sleep;

use super::Hub;
use crate::config::{CONFIG_PREFIX, ConfigError, decode_head, follow};

/// Time for which one watch call waits for a change. A watch may miss changes although its connection is
/// intact, as after a restore of the store, so it ends within the time for a change to be in force.
const WATCH_WAIT: Duration = Duration::from_secs(3);

/// Pause after the first failure of the store; it doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Longest pause after a failure of the store.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Applies each change of the configuration's head to the hub; never returns.
pub(super) async fn watch_store(hub: &Hub, store: &dyn ObjectStore) {
    let mut after = ObjectVersion::default();
    let mut backoff = MIN_BACKOFF;
    loop {
        let era = store.era();
        match watch_once(hub, store, after).await {
            // The version may be from before the restore, and stand for another state since.
            Ok(_) if store.era() != era => after = ObjectVersion::default(),
            Ok(version) => {
                after = version;
                backoff = MIN_BACKOFF;
            }
            Err(error) => {
                if needs_restart(&error) || store.era() != era {
                    after = ObjectVersion::default();
                }
                debug!(target: "spread", "spread: watching the store failed: {error}");
                sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Waits for one change and applies it; returns the version to watch from next.
///
/// A failure returns no version, so a change is watched again until it has been applied.
async fn watch_once(
    hub: &Hub,
    store: &dyn ObjectStore,
    after: ObjectVersion,
) -> Result<ObjectVersion, ConfigError> {
    let reply = store.watch(CONFIG_PREFIX, after, WATCH_WAIT).await?;
    hub.store_answered();
    for object in &reply.objects {
        let head = decode_head(object)?;
        let mut log = hub.config();
        let before = log.revision();
        follow(store, &head, &mut log).await?;
        if log.revision() > before {
            let update = log.update_for(before, hub.config().digest());
            hub.advance(&update);
        }
        if log.revision() > Some(head.revision) {
            warn!(target: "spread", "spread: the store holds an older revision than this daemon; ignored");
        }
    }
    Ok(reply.version)
}

/// Returns whether the watch must start again from the current state of the store.
fn needs_restart(error: &ConfigError) -> bool {
    match error {
        ConfigError::Store(error) => error.fault == StoreFault::WatchGap,
        ConfigError::Corrupt { .. } => true,
        ConfigError::Invalid(_) | ConfigError::Unresolved(_) => false,
    }
}
