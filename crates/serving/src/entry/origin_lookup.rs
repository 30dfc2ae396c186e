//! Reads the origins of streams from the platform's store.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use kumquatkeel_core::serving::StoredSlice;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::platform::OriginStore;

/// Shortest interval between two calls.
const READ_INTERVAL: Duration = Duration::from_millis(250);

/// Reads all stored origins when a request needs one. Requests that wait at the same time share a call.
#[derive(Default)]
pub(super) struct OriginLookup {
    store: OnceLock<Arc<dyn OriginStore>>,
    /// When the last call that was answered was sent.
    last: Mutex<Option<Instant>>,
}

impl OriginLookup {
    /// Sets the store that holds origins.
    pub(super) fn set_store(&self, store: Arc<dyn OriginStore>) {
        // A store that was set before stays.
        let _ = self.store.set(store);
    }

    /// Returns the store that holds origins; `None` if there is none.
    pub(super) fn store(&self) -> Option<&Arc<dyn OriginStore>> {
        self.store.get()
    }

    /// Passes on what the store holds, unless that was done with a call sent after `arrival`. Waits until `end`
    /// at most.
    pub(super) async fn refresh(
        &self,
        arrival: Instant,
        end: Instant,
        found: impl FnOnce(Vec<StoredSlice>),
    ) {
        let Some(store) = self.store() else {
            return;
        };
        let read = async {
            let mut last = self.last.lock().await;
            if last.is_some_and(|sent| sent >= arrival) {
                return;
            }
            if let Some(sent) = *last {
                sleep_until(sent + READ_INTERVAL).await;
            }
            let sent = Instant::now();
            match store.read_origins().await {
                Ok(stored) => {
                    found(stored);
                    *last = Some(sent);
                }
                Err(error) => log::info!(dependency = "store", error:%; "origins not read"),
            }
        };
        if timeout_at(end, read).await.is_err() {
            log::info!(dependency = "store"; "origins not read in time");
        }
    }
}
