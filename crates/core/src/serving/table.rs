//! The set of known targets.
//!
//! Targets start, drain and disappear, and the platform's target list is itself unavailable at
//! times. A record that disappears during an outage of the list may only have expired because it
//! could not be renewed, so it is kept for a short grace period. Any other removal takes effect at
//! once.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::Timestamp;

use super::incarnation::Incarnation;
use super::statement_table::{Acceptance, StatementTable, UNLISTED_TTL};
use super::target::{Target, TargetId, TargetState};
use super::version_set::VersionSet;

/// How long a record that expired during an outage may take to return; the platform states about
/// two seconds.
const RETURN_GRACE: Duration = Duration::from_millis(2_200);
/// How long after an outage a removal may still be due to it.
const OUTAGE_TAIL: Duration = Duration::from_secs(2);
/// Shortest time for which a software version counts as recent after its last target was removed.
const MIN_VERSION_TTL: Duration = Duration::from_mins(1);

/// A change to the target list.
#[derive(Debug, Clone, PartialEq)]
pub enum TableChange {
    /// A target was added or changed.
    Listed(Target),
    /// A target's record was removed.
    Removed(TargetId),
}

#[derive(Debug, Clone)]
struct Record {
    target: Arc<Target>,
    /// When the record expired, if it did so during an outage and has not returned.
    expired: Option<Timestamp>,
}

/// The known targets, by id and by service.
#[derive(Debug, Clone, Default)]
pub struct TargetTable {
    records: BTreeMap<TargetId, Record>,
    /// The targets of each service that accept new work.
    services: HashMap<Arc<str>, Vec<Arc<Target>>>,
    statements: StatementTable,
    /// The incarnations whose records were removed lately: their start, and when that was.
    removed: HashMap<TargetId, (u64, Timestamp)>,
    /// When the list was last found unavailable.
    outage: Option<Timestamp>,
    /// Service and software version of removed targets, and the time of the removal.
    former_versions: Vec<(Arc<str>, Arc<str>, Timestamp)>,
    /// The longest time for which a caller may resume a stream, over all configurations so far.
    stream_life: Duration,
}

impl TargetTable {
    /// Records that the target list is unavailable.
    pub fn record_outage(&mut self, now: Timestamp) {
        self.outage = Some(now);
    }

    /// Records that an incarnation has stated that it leaves, also one that is not listed; returns whether
    /// that is new.
    pub fn record_leaving(&mut self, incarnation: &Incarnation, now: Timestamp) -> bool {
        let is_new = self.statements.record_leaving(incarnation, now);
        if is_new {
            self.index();
        }
        is_new
    }

    /// Records that an incarnation wants no request for a time, also one that is not listed.
    pub fn record_pause(&mut self, incarnation: &Incarnation, pause: Duration, now: Timestamp) {
        self.statements.record_pause(incarnation, pause, now);
    }

    /// Records an answer of an incarnation that asks for no pause.
    pub fn record_answer(&mut self, incarnation: &Incarnation, now: Timestamp) {
        self.statements.record_answer(incarnation, now);
    }

    /// Returns whether an incarnation accepts a request, which is sent if so; see
    /// [`StatementTable::begin_request`].
    pub fn begin_request(&mut self, incarnation: &Incarnation, now: Timestamp) -> Acceptance {
        self.statements.begin_request(incarnation, now)
    }

    /// Returns whether an incarnation has stated that it leaves.
    pub fn has_stated_leaving(&self, incarnation: &Incarnation) -> bool {
        self.statements.is_leaving(incarnation)
    }

    /// Returns whether an incarnation accepts a request, by what it has stated.
    pub fn acceptance(&self, incarnation: &Incarnation, now: Timestamp) -> Acceptance {
        self.statements.acceptance(incarnation, now)
    }

    /// Applies a change; returns whether the usable targets changed.
    pub fn apply(&mut self, change: TableChange, now: Timestamp) -> bool {
        let changed = match change {
            TableChange::Listed(target) => self.list(target, now),
            TableChange::Removed(id) => self.remove(&id, now),
        };
        if changed {
            self.index();
        }
        changed
    }

    /// Replaces the whole list, for use when changes may have been missed; returns whether
    /// anything changed.
    pub fn replace(&mut self, targets: Vec<Target>, now: Timestamp) -> bool {
        let mut changed = false;
        let known: Vec<TargetId> = self.records.keys().cloned().collect();
        for id in known
            .into_iter()
            .filter(|id| !targets.iter().any(|t| t.id == *id))
        {
            changed |= self.remove(&id, now);
        }
        for target in targets {
            changed |= self.list(target, now);
        }
        if changed {
            self.index();
        }
        changed
    }

    /// Replaces the whole list by that of a store which was restored from a copy; returns whether anything
    /// changed.
    ///
    /// The copy may show incarnations whose removal is known. They may still run and must get no work;
    /// one that is to be used writes its record again.
    pub fn restore(&mut self, targets: Vec<Target>, now: Timestamp) -> bool {
        let is_removed = |target: &Target| {
            let removed = self.removed.get(&target.id);
            removed.is_some_and(|(born, _)| target.born <= *born)
        };
        let targets = targets.into_iter().filter(|target| !is_removed(target));
        let targets = targets.collect();
        self.replace(targets, now)
    }

    /// Drops the expired records whose grace period is over, and what former targets have stated; returns
    /// the ids of the records.
    pub fn expire(&mut self, now: Timestamp) -> Vec<TargetId> {
        let over = |r: &Record| r.expired.is_some_and(|at| now.since(at) >= RETURN_GRACE);
        let gone: Vec<TargetId> = (self.records.iter())
            .filter(|(_, r)| over(r))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.drop_record(id, now);
        }
        if !gone.is_empty() {
            self.index();
        }
        let records = &self.records;
        self.statements.expire(|id| records.contains_key(id), now);
        let is_recent = |at: Timestamp| now.since(at) < UNLISTED_TTL;
        self.removed.retain(|_, (_, at)| is_recent(*at));
        gone
    }

    /// Returns the targets of a service that accept new work.
    pub fn ready(&self, service: &str) -> &[Arc<Target>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the newest incarnation at each address, including those that drain.
    pub fn newest(&self) -> impl Iterator<Item = &Arc<Target>> {
        let newest = self.newest_starts();
        self.all()
            .filter(move |t| newest.get(&t.address) == Some(&t.born))
    }

    /// Returns all listed targets, including those that drain.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.records.values().map(|r| &r.target)
    }

    /// Returns the models that earlier incarnations at an address held according to their last
    /// records, the models with the most copies in the table first.
    pub fn former_models(&self, address: SocketAddr, born: u64) -> Vec<Arc<str>> {
        let former = self
            .all()
            .filter(|t| t.address == address && t.born < born)
            .flat_map(|t| &t.models);
        let mut models: Vec<Arc<str>> = former.cloned().collect();
        models.sort();
        models.dedup();
        let copies = |model: &Arc<str>| self.all().filter(|t| t.models.contains(model)).count();
        models.sort_by_cached_key(|model| Reverse(copies(model)));
        models
    }

    /// Returns the target with this id.
    pub fn get(&self, id: &TargetId) -> Option<&Arc<Target>> {
        self.records.get(id).map(|r| &r.target)
    }

    fn list(&mut self, target: Target, now: Timestamp) -> bool {
        let id = target.id.clone();
        self.removed.remove(&id);
        if target.state == TargetState::Leaving {
            // A list that goes back to an earlier state may show the incarnation as ready again.
            self.statements.record_leaving(&target.incarnation(), now);
        }
        let target = Arc::new(target);
        let known = self.records.get(&id).map(|r| r.target.clone());
        if let Some(known) = known.filter(|known| known.version != target.version) {
            self.record_former_version(&known, now);
        }
        match self.records.get_mut(&id) {
            Some(record) if record.target == target => record.expired.take().is_some(),
            Some(record) => {
                *record = Record {
                    target,
                    expired: None,
                };
                true
            }
            None => {
                self.records.insert(
                    id,
                    Record {
                        target,
                        expired: None,
                    },
                );
                true
            }
        }
    }

    fn remove(&mut self, id: &TargetId, now: Timestamp) -> bool {
        let after_outage = (self.outage).is_some_and(|at| now.since(at) < OUTAGE_TAIL);
        let Some(record) = self.records.get_mut(id) else {
            return false;
        };
        if after_outage && record.target.state == TargetState::Ready {
            record.expired.get_or_insert(now);
            return false;
        }
        if record.expired.is_some() {
            return false;
        }
        self.drop_record(id, now);
        true
    }

    fn drop_record(&mut self, id: &TargetId, now: Timestamp) {
        if let Some(record) = self.records.remove(id) {
            let removed = (record.target.born, now);
            self.removed.insert(id.clone(), removed);
            self.record_former_version(&record.target, now);
        }
    }

    /// Sets the longest time for which a caller may resume a stream. Streams that began under an earlier
    /// configuration keep a longer one.
    pub fn extend_stream_life(&mut self, life: Duration) {
        self.stream_life = self.stream_life.max(life);
    }

    /// Returns the longest time for which a caller may resume a stream.
    pub const fn stream_life(&self) -> Duration {
        self.stream_life
    }

    fn version_ttl(&self) -> Duration {
        self.stream_life.max(MIN_VERSION_TTL)
    }

    fn record_former_version(&mut self, target: &Target, now: Timestamp) {
        let ttl = self.version_ttl();
        self.former_versions.retain(|(service, version, at)| {
            now.since(*at) < ttl && (*service != target.service || *version != target.version)
        });
        let (service, version) = (target.service.clone(), target.version.clone());
        self.former_versions.push((service, version, now));
    }

    /// Returns the software versions that targets of a service have, or had until recently.
    pub fn recent_versions(&self, service: &str, now: Timestamp) -> Vec<Arc<str>> {
        let listed = self.all().filter(|t| *t.service == *service);
        let listed = listed.map(|t| t.version.clone());
        let former = self.former_versions.iter();
        let ttl = self.version_ttl();
        let former = former.filter(|(s, _, at)| **s == *service && now.since(*at) < ttl);
        let mut versions: Vec<_> = listed.chain(former.map(|(_, v, _)| v.clone())).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Returns the software versions that targets of these services have, or had until recently.
    pub fn version_set<'a>(
        &self,
        services: impl IntoIterator<Item = &'a Arc<str>>,
        now: Timestamp,
    ) -> VersionSet {
        let mut set = VersionSet::default();
        for service in services {
            for version in self.recent_versions(service, now) {
                set.insert(service.clone(), version);
            }
        }
        set
    }

    /// Returns the latest start of an incarnation at each address.
    fn newest_starts(&self) -> HashMap<SocketAddr, u64> {
        let mut newest = HashMap::new();
        for target in self.all() {
            let born: &mut u64 = newest.entry(target.address).or_default();
            *born = target.born.max(*born);
        }
        newest
    }

    /// Rebuilds the index of usable targets. An address serves one incarnation at a time, so the
    /// newest one replaces older ones whose records have not expired yet.
    fn index(&mut self) {
        let newest = self.newest_starts();
        self.services.clear();
        for record in self.records.values() {
            let current = newest.get(&record.target.address) == Some(&record.target.born);
            let leaves = self.statements.is_leaving(&record.target.incarnation());
            if current && !leaves && record.target.state == TargetState::Ready {
                let service = self.services.entry(record.target.service.clone());
                service.or_default().push(record.target.clone());
            }
        }
    }
}
