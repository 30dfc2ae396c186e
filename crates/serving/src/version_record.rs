//! Keeps the record of software versions in the platform's store up to date.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{ListedVersions, VersionRecorder, VersionSet};
use kumquatkeel_daemon::clock::Clock;
use rand::RngExt;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::platform::{PlatformError, VersionRecord, VersionStore};

/// Interval between two comparisons with the record: others may have removed a version, or the store may have
/// been restored from a copy.
const SYNC_INTERVAL: Duration = Duration::from_secs(20);
/// Longest delay of a comparison after a change. Several processes see it at once; the spread lets most of
/// them find it recorded.
const MAX_JITTER: Duration = Duration::from_millis(100);
/// Pause after a failed comparison.
const RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Attempts to replace a record that others write at the same time.
const WRITE_ATTEMPTS: usize = 3;

/// Records the versions that are `listed`, for as long as their sender exists; `None` while other processes
/// keep the record. What the record holds is published.
pub(crate) async fn record_versions(
    store: Arc<dyn VersionStore>,
    mut listed: watch::Receiver<Option<ListedVersions>>,
    published: watch::Sender<VersionSet>,
    clock: Clock,
) {
    let mut recorder = VersionRecorder::default();
    loop {
        let versions = listed.borrow_and_update().clone();
        if let Some(versions) = versions {
            match sync_once(&*store, &versions, &mut recorder, clock).await {
                Ok(Some(record)) => {
                    published.send_replace(record);
                }
                // The next comparison finds out what the others have written.
                Ok(None) => {}
                Err(error) => {
                    log::info!(dependency = "store", error:%; "software versions not recorded");
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
            }
        }
        if let Ok(Err(_)) = timeout(SYNC_INTERVAL, listed.changed()).await {
            return;
        }
        let jitter = rand::rng().random_range(0.0..1.0);
        sleep(MAX_JITTER.mul_f64(jitter)).await;
    }
}

/// Writes the record anew if it differs from what it should hold; returns it, or `None` if others have written it
/// meanwhile.
async fn sync_once(
    store: &dyn VersionStore,
    listed: &ListedVersions,
    recorder: &mut VersionRecorder,
    clock: Clock,
) -> Result<Option<VersionSet>, PlatformError> {
    for _ in 0..WRITE_ATTEMPTS {
        let (stored, revision) = match store.read_versions().await? {
            Some(VersionRecord { versions, revision }) => (versions, Some(revision)),
            None => (VersionSet::default(), None),
        };
        let record = recorder.next_record(listed, &stored, clock.now());
        if record == stored && revision.is_some() {
            return Ok(Some(record));
        }
        if store.write_versions(&record, revision).await? {
            log::info!(versions:serde = record, former:serde = stored; "software versions recorded");
            return Ok(Some(record));
        }
    }
    Ok(None)
}
