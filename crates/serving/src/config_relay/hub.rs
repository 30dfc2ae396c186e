//! The configuration that a process passes on to its followers.

use bytes::Bytes;
use kumquatkeel_core::store::StorePosition;
use tokio::sync::watch;
use tokio::time::Instant;

/// A configuration, encoded for followers.
#[derive(Debug, Clone)]
pub(super) struct HeldConfig {
    pub(super) version: u64,
    /// Where the store has it, or is known to have been since.
    pub(super) position: StorePosition,
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

    /// Returns the version of the configuration; 0 if there is none.
    pub(super) fn version(&self) -> u64 {
        self.held.borrow().as_ref().map_or(0, |held| held.version)
    }

    /// Returns the position in the store after which a newer configuration may follow.
    pub(super) fn position(&self) -> StorePosition {
        let held = self.held.borrow();
        held.as_ref().map(|held| held.position).unwrap_or_default()
    }

    /// Records a position at which the store has a configuration of this version or an older one.
    pub(super) fn advance(&self, version: u64, position: StorePosition) {
        self.held.send_if_modified(|held| {
            if let Some(held) = held.as_mut().filter(|held| version <= held.version) {
                held.position = held.position.max(position);
            }
            // Followers learn the position with the next confirmation.
            false
        });
    }

    /// Replaces the configuration unless the known one is as new. Versions decide, as revisions are given
    /// out again by a store that is restored from a copy.
    pub(super) fn update(&self, config: HeldConfig) {
        self.held.send_if_modified(|held| {
            let newer = held.as_ref().is_none_or(|h| h.version < config.version);
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
