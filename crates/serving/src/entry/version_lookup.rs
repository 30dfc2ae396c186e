//! Looks up the software versions of services in the platform's store.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use kumquatkeel_core::serving::VersionSet;
use tokio::sync::Mutex;
use tokio::time::{Instant, timeout};

use crate::platform::{PlatformError, VersionStore};

/// Longest wait for the store.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads the record of versions when a request needs it. Requests that wait at the same time share a call.
#[derive(Default)]
pub(super) struct VersionLookup {
    store: OnceLock<Arc<dyn VersionStore>>,
    /// The last answer, with the time at which its call was sent.
    last: Mutex<Option<(Instant, VersionSet)>>,
}

impl VersionLookup {
    /// Sets the store that holds the record.
    pub(super) fn set_store(&self, store: Arc<dyn VersionStore>) {
        // A store that was set before stays.
        let _ = self.store.set(store);
    }

    /// Returns the store that holds the record; `None` if there is no record.
    pub(super) fn store(&self) -> Option<&Arc<dyn VersionStore>> {
        self.store.get()
    }

    /// Returns the versions of a service that were recorded before `arrival`, and perhaps later ones; `None` if
    /// they can't be found out.
    pub(super) async fn versions(&self, service: &str, arrival: Instant) -> Option<Vec<Arc<str>>> {
        let store = self.store()?;
        match timeout(LOOKUP_TIMEOUT, self.read(&**store, arrival)).await {
            Ok(Ok(set)) => Some(set.of_service(service)?.iter().cloned().collect()),
            Ok(Err(error)) => {
                log::info!(dependency = "store", error:%; "software versions not read");
                None
            }
            Err(_) => {
                log::info!(dependency = "store"; "software versions not read in time");
                None
            }
        }
    }

    async fn read(
        &self,
        store: &dyn VersionStore,
        arrival: Instant,
    ) -> Result<VersionSet, PlatformError> {
        let mut last = self.last.lock().await;
        if let Some((_, versions)) = last.as_ref().filter(|(sent, _)| *sent >= arrival) {
            return Ok(versions.clone());
        }
        let sent = Instant::now();
        let record = store.read_versions().await?;
        let versions = record.map(|record| record.versions).unwrap_or_default();
        *last = Some((sent, versions.clone()));
        Ok(versions)
    }
}
