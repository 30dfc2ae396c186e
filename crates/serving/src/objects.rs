//! The local copy of the platform's objects: the configuration in force and the targets.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;

use kumquatkeel_core::serving::{
    AgentHost, ListedVersions, OriginHosts, ServingConfig, TableChange, Target, TargetTable,
};
use kumquatkeel_types::Timestamp;
use tokio::sync::watch;

use crate::feed::FeedEvent;
use crate::locality::Locality;
use crate::platform::FeedItem;

/// Most objects whose last fault is remembered.
const MAX_FAULTS: usize = 256;

/// The newest objects received from the feed.
#[derive(Debug, Clone, Default)]
pub struct KnownObjects {
    /// The listed targets.
    pub table: TargetTable,
    config: Option<Arc<ServingConfig>>,
    /// Why objects were last unusable; a fault that is written again and again is logged once.
    faults: HashMap<Arc<str>, String>,
}

impl KnownObjects {
    /// Applies an event of the feed; returns the configuration if the event put a newer one in
    /// force.
    ///
    /// A configuration is never replaced by one with a lower version, whatever its revision: a store that
    /// is restored from a copy gives revisions out again.
    pub fn apply(&mut self, event: FeedEvent, now: Timestamp) -> Option<Arc<ServingConfig>> {
        let version = self.version();
        match event {
            FeedEvent::Failed(_) => self.table.record_outage(now),
            FeedEvent::Snapshot(items) => {
                let targets = self.apply_list(items, now);
                // A list without a usable target doesn't replace the targets in use.
                if !targets.is_empty() {
                    log::info!(targets = targets.len(); "target list received");
                    self.table.replace(targets, now);
                }
            }
            FeedEvent::Restored(items) => {
                let targets = self.apply_list(items, now);
                self.table.record_outage(now);
                if !targets.is_empty() {
                    log::info!(targets = targets.len(); "target list received from a restored store");
                    self.table.restore(targets, now);
                }
            }
            FeedEvent::Changes(items) => {
                for item in items {
                    if let Some(target) = self.apply_item(item, now) {
                        self.apply_listed(target, now);
                    }
                }
            }
        }
        (self.version() > version).then(|| self.config.clone())?
    }

    /// Returns the version of the configuration in force; `None` before the first.
    fn version(&self) -> Option<u64> {
        self.config.as_ref().map(|config| config.version)
    }

    /// Returns the configuration in force; `None` before the first has arrived.
    pub const fn config(&self) -> Option<&Arc<ServingConfig>> {
        self.config.as_ref()
    }

    /// Publishes the hosts of the agents in the process's region.
    pub fn publish_agent_hosts(&self, locality: &Locality, hosts: &watch::Sender<Vec<IpAddr>>) {
        publish(hosts, self.agent_hosts(locality));
    }

    /// Returns the hosts of all agents, which keep the origins of streams.
    pub fn origin_hosts(&self) -> OriginHosts {
        let engines = self.table.all().filter(|t| self.is_engine(t));
        OriginHosts::new(engines.map(|t| t.address.ip()))
    }

    /// Returns the software versions that targets of services with streams have, or had until recently; `None`
    /// before the first configuration.
    pub fn listed_versions(&self, now: Timestamp) -> Option<ListedVersions> {
        let services = self.config.as_ref()?.stream_services();
        Some(ListedVersions {
            versions: self.table.version_set(services, now),
            stream_life: self.table.stream_life(),
        })
    }

    /// Returns whether a target is an engine, beside which an agent runs. Before the first configuration names
    /// the services with engines, those that hold models are taken for engines.
    fn is_engine(&self, target: &Target) -> bool {
        match &self.config {
            Some(config) => config.engine(&target.service).is_some(),
            None => !target.models.is_empty(),
        }
    }

    /// Returns all agents, of which some issue what accounts spend.
    pub(crate) fn account_agents(&self, locality: &Locality) -> impl Iterator<Item = AgentHost> {
        let engines = self.table.all().filter(|t| self.is_engine(t));
        engines.map(|t| AgentHost {
            host: t.address.ip(),
            near: !locality.is_remote(&t.data_centre),
            region: locality.regions.get(&t.data_centre).cloned(),
        })
    }

    /// Returns the hosts of the agents in the process's region.
    pub(crate) fn agent_hosts(&self, locality: &Locality) -> Vec<IpAddr> {
        let near = self
            .table
            .all()
            .filter(|t| !locality.is_remote(&t.data_centre));
        let engines = near.filter(|t| self.is_engine(t));
        let mut hosts: Vec<IpAddr> = engines.map(|t| t.address.ip()).collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }

    /// Applies all objects but the listed targets, which are returned for the caller to apply.
    fn apply_list(&mut self, items: Vec<FeedItem>, now: Timestamp) -> Vec<Target> {
        let items = items.into_iter();
        items
            .filter_map(|item| self.apply_item(item, now))
            .collect()
    }

    /// Applies one object, except a listed target, which is returned for the caller to apply.
    fn apply_item(&mut self, item: FeedItem, now: Timestamp) -> Option<Target> {
        match item {
            FeedItem::Target(target) => return Some(target),
            FeedItem::Config { config, position } if Some(config.version) > self.version() => {
                let (version, routes) = (config.version, config.routes.len());
                log::info!(version, position:%, routes; "configuration in force");
                self.table.extend_stream_life(config.stream_life());
                self.config = Some(Arc::from(config));
            }
            FeedItem::Config { config, position } => {
                let (version, known) = (config.version, self.version());
                log::debug!(version, position:%, known; "older configuration ignored");
            }
            FeedItem::TargetRemoved(id) => {
                let removed = self.table.apply(TableChange::Removed(id.clone()), now);
                log::info!(target_id:% = id, removed; "target removed from the list");
            }
            FeedItem::Unusable { name, reason } => {
                self.record_fault(name, reason);
            }
        }
        None
    }

    fn record_fault(&mut self, name: Arc<str>, reason: String) {
        if self.faults.get(&name) == Some(&reason) {
            log::debug!(object:% = name, reason; "skipped an invalid object again");
            return;
        }
        log::warn!(object:% = name, reason; "skipped an invalid object");
        if self.faults.len() >= MAX_FAULTS {
            self.faults.clear();
        }
        self.faults.insert(name, reason);
    }

    fn apply_listed(&mut self, target: Target, now: Timestamp) {
        let (id, state, version) = (target.id.clone(), target.state, target.version.clone());
        let incarnation = target.incarnation();
        if self.table.apply(TableChange::Listed(target), now) {
            let stated_leaving = self.table.has_stated_leaving(&incarnation);
            let born = incarnation.born;
            log::info!(target_id:% = id, state:serde, version:%, born, stated_leaving; "target listed");
        }
    }
}

/// Publishes a value if it has changed.
pub(crate) fn publish<T: PartialEq>(sender: &watch::Sender<T>, value: T) {
    sender.send_if_modified(|published| {
        let changed = *published != value;
        *published = value;
        changed
    });
}
