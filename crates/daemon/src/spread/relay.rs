//! A relay's watch of the configuration in the store.

use std::time::Duration;

use kumquatkeel_platform::{ObjectStore, ObjectVersion, StoreFault};
use log::{debug, warn};
use tokio::time::sleep;

use super::Hub;
use crate::config::{CONFIG_PREFIX, ConfigError, decode_head, follow};

/// How long a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// First pause after the store failed; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause after the store failed.
const LAST_PAUSE: Duration = Duration::from_secs(2);

/// Follows the configuration's head for as long as it is polled.
pub(super) async fn watch_store(hub: &Hub, store: &dyn ObjectStore) {
    let mut after = ObjectVersion::default();
    let mut pause = FIRST_PAUSE;
    loop {
        match watch_once(hub, store, after).await {
            Ok(version) => {
                after = version;
                pause = FIRST_PAUSE;
            }
            Err(error) => {
                if is_gap(&error) {
                    after = ObjectVersion::default();
                }
                debug!(target: "spread", "spread: watching the store failed: {error}");
                sleep(pause).await;
                pause = (pause * 2).min(LAST_PAUSE);
            }
        }
    }
}

/// Waits for one change and takes it in; returns the version to watch from next.
///
/// The version moves on only after the change was taken in.
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
            warn!(target: "spread", "spread: the store shows an older revision; it is not taken");
        }
    }
    Ok(reply.version)
}

fn is_gap(error: &ConfigError) -> bool {
    match error {
        ConfigError::Store(error) => error.fault == StoreFault::WatchGap,
        ConfigError::Corrupt { .. } => true,
        ConfigError::Invalid(_) | ConfigError::Open(_) => false,
    }
}
