//! The configuration that the agent works from, followed in the store.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::spread::ConfigLog;
use kumquatkeel_daemon::config::{CONFIG_PREFIX, ConfigError, decode_head, follow, head_key};
use kumquatkeel_platform::{ObjectStore, ObjectVersion};
use kumquatkeel_types::Revision;
use kumquatkeel_types::document::Document;
use log::{info, warn};
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Longest time that one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause after a failure of the store.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// A configuration in force.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// The revision.
    pub revision: Revision,
    /// The document.
    pub document: Arc<Document>,
}

/// Follows the configuration in the store until `stop`; it never goes back.
///
/// For sites of a few agents: each holds a watch on the store. Larger sites follow relays.
pub fn follow_store(
    store: Arc<dyn ObjectStore>,
    stop: CancellationToken,
) -> watch::Receiver<Option<Configuration>> {
    let (sender, receiver) = watch::channel(None);
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = follow_loop(&*store, &sender) => {}
        }
    });
    receiver
}

async fn follow_loop(store: &dyn ObjectStore, sender: &watch::Sender<Option<Configuration>>) {
    let mut log = ConfigLog::default();
    let mut version = ObjectVersion::default();
    while !sender.is_closed() {
        match step(store, &mut log, version).await {
            Ok(next) => {
                version = next;
                publish(&log, sender);
            }
            Err(error) => {
                warn!(target: "config", "config: following the store failed: {error}");
                version = ObjectVersion::default();
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Reads the head, the first time at once and then when it changes.
async fn step(
    store: &dyn ObjectStore,
    log: &mut ConfigLog,
    version: ObjectVersion,
) -> Result<ObjectVersion, ConfigError> {
    if version == ObjectVersion::default() {
        let Some(object) = store.get(&head_key()).await? else {
            sleep(RETRY_PAUSE).await;
            return Ok(version);
        };
        follow(store, &decode_head(&object)?, log).await?;
        return Ok(object.version);
    }
    let reply = store.watch(CONFIG_PREFIX, version, WATCH_WAIT).await?;
    for object in reply.objects.iter().filter(|o| o.key == head_key()) {
        follow(store, &decode_head(object)?, log).await?;
    }
    Ok(reply.version)
}

fn publish(log: &ConfigLog, sender: &watch::Sender<Option<Configuration>>) {
    let Some(snapshot) = log.current() else {
        return;
    };
    let known = sender.borrow().as_ref().map(|c| c.revision);
    if known >= Some(snapshot.revision) {
        return;
    }
    match Document::try_from((*snapshot.document).clone()) {
        Ok(document) => {
            info!(target: "config", "config: revision {} is in force", snapshot.revision);
            let configuration = Configuration {
                revision: snapshot.revision,
                document: Arc::new(document),
            };
            sender.send_replace(Some(configuration));
        }
        Err(faults) => {
            warn!(target: "config", "config: revision {} has faults:\n{faults}", snapshot.revision);
        }
    }
}
