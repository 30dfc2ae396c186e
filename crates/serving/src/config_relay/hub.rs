//! The configuration that a process passes on to its followers.

use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::Instant;

/// A configuration, encoded for followers.
#[derive(Debug, Clone)]
pub(super) struct HeldConfig {
    pub(super) revision: u64,
    /// The encoded [`kumquatkeel_core::serving::ServingConfig`].
    pub(super) encoded: Bytes,
    /// When the store last confirmed that there is no newer one.
    pub(super) confirmed: Instant,
}

/// Holds the newest configuration and notifies followers of each change and confirmation.
#[derive(Debug, Clone)]
pub(crate) struct ConfigHub {
    held: watch::Sender<Option<HeldConfig>>,
}

impl ConfigHub {
    pub(crate) fn new() -> Self {
        Self {
            held: watch::Sender::new(None),
        }
    }

    /// Returns the revision of the configuration; 0 if there is none.
    pub(super) fn revision(&self) -> u64 {
        self.held.borrow().as_ref().map_or(0, |held| held.revision)
    }

    /// Replaces the configuration unless the known one is as new.
    pub(super) fn update(&self, config: HeldConfig) {
        self.held.send_if_modified(|held| {
            let newer = held.as_ref().is_none_or(|h| h.revision < config.revision);
            if newer {
                *held = Some(config);
            }
            newer
        });
    }

    /// Records that the store had no newer configuration at this time.
    pub(super) fn confirm(&self, at: Instant) {
        self.held.send_if_modified(|held| {
            let Some(held) = held.as_mut().filter(|held| held.confirmed < at) else {
                return false;
            };
            held.confirmed = at;
            true
        });
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<Option<HeldConfig>> {
        self.held.subscribe()
    }
}
