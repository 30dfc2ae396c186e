//! The software versions of services, and how the record of them in the platform's store is kept.
//!
//! Whether a stream of unknown origin may go on depends on the versions that could have begun it. A process
//! that has just started, or all processes after a power loss, can't know them from the list of targets, which
//! shows only the present ones.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::Timestamp;
use serde::{Deserialize, Serialize};

/// How much longer than any caller may resume its stream a version stays in the record after a keeper of the
/// record last knew a target of it.
const RECORD_MARGIN: Duration = Duration::from_mins(1);
/// Shortest time for which a version stays in the record then.
const MIN_RECORD_TTL: Duration = Duration::from_mins(2);

/// The software versions of each service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VersionSet {
    services: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
}

impl VersionSet {
    /// Adds a version of a service.
    pub fn insert(&mut self, service: Arc<str>, version: Arc<str>) {
        self.services.entry(service).or_default().insert(version);
    }

    /// Returns the versions of a service; `None` if nothing is known of it.
    pub fn of_service(&self, service: &str) -> Option<&BTreeSet<Arc<str>>> {
        self.services.get(service)
    }

    /// Returns the services that have several versions.
    pub fn mixed_services(&self) -> impl Iterator<Item = &Arc<str>> {
        let mixed = self
            .services
            .iter()
            .filter(|(_, versions)| versions.len() > 1);
        mixed.map(|(service, _)| service)
    }

    /// Adds the versions of another set.
    pub fn merge(&mut self, other: Self) {
        for (service, versions) in other.services {
            self.services.entry(service).or_default().extend(versions);
        }
    }

    fn contains(&self, service: &str, version: &str) -> bool {
        self.of_service(service)
            .is_some_and(|versions| versions.contains(version))
    }

    fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<str>)> {
        let services = self.services.iter();
        services.flat_map(|(service, versions)| versions.iter().map(move |v| (service, v)))
    }
}

/// The software versions that the list of targets shows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListedVersions {
    /// The versions that targets have, or had until recently.
    pub versions: VersionSet,
    /// The longest time for which a caller may resume a stream.
    pub stream_life: Duration,
}

/// Decides what the record of versions in the store should hold.
///
/// Several processes keep the same record. The first that knows a target of a version adds it, and only one
/// that has known none for longer than any stream of it may be resumed removes it.
///
/// # Examples
///
/// ```
/// use kumquatkeel_core::serving::{ListedVersions, VersionRecorder, VersionSet};
/// use kumquatkeel_types::Timestamp;
///
/// let (mut listed, mut recorded) = (ListedVersions::default(), VersionSet::default());
/// listed.versions.insert("assist".into(), "v2".into());
/// recorded.insert("assist".into(), "v1".into());
/// let record = VersionRecorder::default().next_record(&listed, &recorded, Timestamp::ZERO);
/// assert_eq!(record.of_service("assist").map(|versions| versions.len()), Some(2));
/// ```
#[derive(Debug, Clone, Default)]
pub struct VersionRecorder {
    /// Since when a recorded version has not been listed, by service and version.
    unlisted: HashMap<(Arc<str>, Arc<str>), Timestamp>,
}

impl VersionRecorder {
    /// Returns what the record should hold, given the versions that are listed and what it holds.
    pub fn next_record(
        &mut self,
        listed: &ListedVersions,
        recorded: &VersionSet,
        now: Timestamp,
    ) -> VersionSet {
        let ttl = (listed.stream_life + RECORD_MARGIN).max(MIN_RECORD_TTL);
        let listed = &listed.versions;
        let mut record = listed.clone();
        let is_unlisted = |service: &str, version: &str| {
            recorded.contains(service, version) && !listed.contains(service, version)
        };
        self.unlisted
            .retain(|(service, version), _| is_unlisted(service, version));
        for (service, version) in recorded.iter() {
            if listed.contains(service, version) {
                continue;
            }
            let key = (service.clone(), version.clone());
            let since = *self.unlisted.entry(key).or_insert(now);
            if now.since(since) < ttl {
                record.insert(service.clone(), version.clone());
            }
        }
        record
    }
}
