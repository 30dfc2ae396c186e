//! The set of known targets and when one of them stops being used.
//!
//! Load pattern: targets come, drain and vanish while the platform's list is itself down at times.
//! An entry that vanishes while the list was away may only have lapsed, so it is kept for a short
//! grace; any other removal counts at once.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::Timestamp;

use super::target::{Target, TargetId, TargetState};

/// How long a lapsed entry may take to return after an outage; the platform says about two
/// seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);
/// How long after an outage removals may still be lapses that happened within it.
const OUTAGE_TAIL: Duration = Duration::from_secs(2);

/// One change of the list.
#[derive(Debug, Clone, PartialEq)]
pub enum TableChange {
    /// A target was listed or changed.
    Listed(Target),
    /// A target's entry is gone.
    Removed(TargetId),
}

#[derive(Debug, Clone)]
struct Entry {
    target: Arc<Target>,
    lapsed: Option<Timestamp>,
}

/// The known targets, by service.
#[derive(Debug, Clone, Default)]
pub struct TargetTable {
    entries: BTreeMap<TargetId, Entry>,
    services: HashMap<Arc<str>, Vec<Arc<Target>>>,
    outage: Option<Timestamp>,
}

impl TargetTable {
    /// Notes that the list can't be read now.
    pub fn record_outage(&mut self, now: Timestamp) {
        self.outage = Some(now);
    }

    /// Takes in a change; returns whether the usable targets changed.
    pub fn apply(&mut self, change: TableChange, now: Timestamp) -> bool {
        let changed = match change {
            TableChange::Listed(target) => self.list(target),
            TableChange::Removed(id) => self.remove(&id, now),
        };
        if changed {
            self.index();
        }
        changed
    }

    /// Replaces the whole list, as after a lost history; returns whether anything changed.
    pub fn replace(&mut self, targets: Vec<Target>, now: Timestamp) -> bool {
        let mut changed = false;
        let known: Vec<TargetId> = self.entries.keys().cloned().collect();
        for id in known
            .into_iter()
            .filter(|id| !targets.iter().any(|t| t.id == *id))
        {
            changed |= self.remove(&id, now);
        }
        for target in targets {
            changed |= self.list(target);
        }
        if changed {
            self.index();
        }
        changed
    }

    /// Drops lapsed entries whose grace is over; returns their ids.
    pub fn expire(&mut self, now: Timestamp) -> Vec<TargetId> {
        let over = |e: &Entry| e.lapsed.is_some_and(|at| now.since(at) >= LAPSE_GRACE);
        let gone: Vec<TargetId> = (self.entries.iter())
            .filter(|(_, e)| over(e))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.entries.remove(id);
        }
        if !gone.is_empty() {
            self.index();
        }
        gone
    }

    /// Returns the targets of a service that take new work.
    pub fn ready(&self, service: &str) -> &[Arc<Target>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the newest incarnation at each address, leaving ones included.
    pub fn newest(&self) -> impl Iterator<Item = &Arc<Target>> {
        let newest = self.newest_starts();
        self.all()
            .filter(move |t| newest.get(&t.address) == Some(&t.born))
    }

    /// Returns all listed targets, leaving ones included.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.entries.values().map(|e| &e.target)
    }

    /// Returns what earlier incarnations at an address held by their last entries, the models with
    /// the most copies anywhere first.
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

    /// Finds a target by its id.
    pub fn get(&self, id: &TargetId) -> Option<&Arc<Target>> {
        self.entries.get(id).map(|e| &e.target)
    }

    fn list(&mut self, target: Target) -> bool {
        let id = target.id.clone();
        let target = Arc::new(target);
        match self.entries.get_mut(&id) {
            Some(entry) if entry.target == target => entry.lapsed.take().is_some(),
            Some(entry) => {
                *entry = Entry {
                    target,
                    lapsed: None,
                };
                true
            }
            None => {
                self.entries.insert(
                    id,
                    Entry {
                        target,
                        lapsed: None,
                    },
                );
                true
            }
        }
    }

    fn remove(&mut self, id: &TargetId, now: Timestamp) -> bool {
        let after_outage = (self.outage).is_some_and(|at| now.since(at) < OUTAGE_TAIL);
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        if after_outage && entry.target.state == TargetState::Ready {
            entry.lapsed.get_or_insert(now);
            return false;
        }
        if entry.lapsed.is_some() {
            return false;
        }
        self.entries.remove(id);
        true
    }

    fn newest_starts(&self) -> HashMap<SocketAddr, u64> {
        let mut newest = HashMap::new();
        for target in self.all() {
            let born: &mut u64 = newest.entry(target.address).or_default();
            *born = target.born.max(*born);
        }
        newest
    }

    /// Lists the usable targets. An address serves one incarnation at a time, so the newest one
    /// hides an older whose entry has not lapsed yet.
    fn index(&mut self) {
        let newest = self.newest_starts();
        self.services.clear();
        for entry in self.entries.values() {
            let current = newest.get(&entry.target.address) == Some(&entry.target.born);
            if current && entry.target.state == TargetState::Ready {
                let service = self.services.entry(entry.target.service.clone());
                service.or_default().push(entry.target.clone());
            }
        }
    }
}
