//! An entry and its links to the store and to the agents.

use std::net::SocketAddr;

use kumquatkeel_entry::daemon::EntryDaemon;
use kumquatkeel_entry::{EntryHandle, EntrySettings, RawEntrySettings};
use kumquatkeel_types::{DataCentreName, EntryName};
use serde_json::json;

use super::{FleetError, Link, LinkMode, PEER_KEY, checked_settings, loopback};

/// A running entry.
pub struct EntrySlot {
    daemon: EntryDaemon,
    store: Link,
    internal: Link,
}

impl EntrySlot {
    /// Starts the entry with this number, which the others find through `fronts`.
    pub(super) async fn start(
        number: usize,
        name: &EntryName,
        data_centre: &DataCentreName,
        platform: SocketAddr,
        fronts: &[Link],
    ) -> Result<Self, FleetError> {
        let store = Link::to(platform).await?;
        let settings: EntrySettings = checked_settings::<RawEntrySettings, _>(json!({
            "name": name,
            "data_centre": data_centre,
            "listen": loopback(),
            "internal": loopback(),
            "advertise": fronts[number].address(),
            "platform": store.address(),
            "entries": fronts.iter().map(Link::address).collect::<Vec<_>>(),
            "peer_key": PEER_KEY,
            "drain_ms": 0,
        }))?;
        let daemon = EntryDaemon::start(settings)
            .await
            .map_err(|error| FleetError::step("start an entry", error.to_string()))?;
        let internal = fronts[number].clone();
        internal.lead_to(daemon.entry().internal());
        Ok(Self {
            daemon,
            store,
            internal,
        })
    }

    /// Returns the running entry.
    pub const fn handle(&self) -> &EntryHandle {
        self.daemon.entry()
    }

    /// Returns the address of the callers' API.
    pub fn address(&self) -> SocketAddr {
        self.handle().address()
    }

    /// Returns the link by which other processes reach the entry.
    pub const fn internal_link(&self) -> &Link {
        &self.internal
    }

    /// Returns the entry's link to the store.
    pub const fn store_link(&self) -> &Link {
        &self.store
    }

    /// Sets the mode of the entry's links to the store and from the other processes.
    pub fn set_links(&self, mode: LinkMode) {
        self.store.set_mode(mode);
        self.internal.set_mode(mode);
    }

    /// Drains and stops the entry.
    pub async fn shutdown(self) {
        self.daemon.shutdown().await;
    }
}
