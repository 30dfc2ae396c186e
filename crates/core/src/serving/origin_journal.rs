//! Which origins of streams stand in the platform's store, and for how long.
//!
//! The memory of entries and agents ends with their processes. While targets of several software versions
//! serve, a few processes therefore write the origins that they know to the store, many to an object.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::Timestamp;
use serde::{Deserialize, Serialize};

use super::origin_table::OriginTable;
use super::stream_origin::StreamOrigin;

/// Size of a slice's content from which on another slice is begun, in bytes.
const MAX_SLICE_BYTES: usize = 16 * 1024;
/// Time after which another slice is begun, so that a slice ends not long after most of its streams.
const MAX_SLICE_AGE: Duration = Duration::from_secs(8);
/// Most slices of a journal; those that end first are removed first.
const MAX_SLICES: usize = 64;

/// The attempts that began streams, by software version.
type AttemptsByVersion = BTreeMap<Arc<str>, Vec<Arc<str>>>;

/// The origins in one object of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct OriginSlice {
    /// How much longer one of the streams may be resumed, counted from the write, in milliseconds.
    pub life_ms: u64,
    /// The attempts that began the streams, by service and software version.
    pub services: BTreeMap<Arc<str>, AttemptsByVersion>,
}

impl OriginSlice {
    /// Returns the origins with the attempts that began their streams.
    pub fn origins(&self) -> impl Iterator<Item = (&Arc<str>, StreamOrigin)> {
        let services = self.services.iter();
        services.flat_map(|(service, versions)| {
            versions.iter().flat_map(move |(version, attempts)| {
                attempts.iter().map(move |attempt| {
                    let (service, version) = (service.clone(), version.clone());
                    (attempt, StreamOrigin { service, version })
                })
            })
        })
    }

    /// Returns how much longer one of the streams may be resumed.
    pub const fn life(&self) -> Duration {
        Duration::from_millis(self.life_ms)
    }

    fn insert(&mut self, attempt: Arc<str>, origin: &StreamOrigin) {
        let versions = self.services.entry(origin.service.clone()).or_default();
        let attempts = versions.entry(origin.version.clone()).or_default();
        attempts.push(attempt);
    }
}

/// An object with origins, as the store lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredSlice {
    /// The object's name.
    pub name: Arc<str>,
    /// The revision of its last change.
    pub revision: u64,
    /// Its content.
    pub slice: OriginSlice,
}

/// What is to be done in the store next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JournalStep {
    /// Write a slice; the object has this revision, or doesn't exist yet.
    Write {
        /// The object's name.
        name: Arc<str>,
        /// Its content.
        slice: OriginSlice,
        /// The revision of its last change.
        revision: Option<u64>,
    },
    /// Remove an object, unless it has changed.
    Remove {
        /// The object's name.
        name: Arc<str>,
        /// The revision of its last known change.
        revision: Option<u64>,
    },
    /// Nothing.
    Idle,
}

#[derive(Debug, Default)]
struct Slice {
    content: OriginSlice,
    bytes: usize,
    opened: Timestamp,
    /// When the last of its streams can no longer be resumed.
    until: Timestamp,
    revision: Option<u64>,
    /// Whether the store's object lacks an origin.
    dirty: bool,
}

/// The object of another journal, perhaps of a process that has ended.
#[derive(Debug)]
struct ForeignSlice {
    revision: u64,
    until: Timestamp,
}

/// The origins that a process keeps in the store.
///
/// Each journal writes objects of its own, so that no two processes write the same one. An object that has not
/// changed for as long as one of its streams may be resumed is removed by whichever journal notices first, under
/// the condition that it is still unchanged.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use kumquatkeel_core::serving::{JournalStep, OriginJournal, StreamOrigin};
/// use kumquatkeel_types::Timestamp;
///
/// let origin = StreamOrigin { service: "assist".into(), version: "v1".into() };
/// let (now, until) = (Timestamp::ZERO, Timestamp::ZERO.after(Duration::from_secs(15)));
/// let mut journal = OriginJournal::new("agent-1");
/// journal.record("a1".into(), origin, until, now);
/// assert_eq!(journal.next_step(now), JournalStep::Idle);
/// journal.set_services(["assist".into()], now);
/// assert!(matches!(journal.next_step(now), JournalStep::Write { .. }));
/// ```
#[derive(Debug)]
pub struct OriginJournal {
    prefix: String,
    /// The number of slices so far.
    count: u64,
    /// The origins that this process has received.
    known: OriginTable,
    /// The services whose origins are written.
    services: BTreeSet<Arc<str>>,
    /// Until when the origins that are in a slice are kept there.
    written: HashMap<Arc<str>, Timestamp>,
    slices: BTreeMap<Arc<str>, Slice>,
    /// The slice to which origins are added.
    open: Option<Arc<str>>,
    foreign: HashMap<Arc<str>, ForeignSlice>,
}

impl OriginJournal {
    /// Creates a journal whose objects' names begin with `prefix`, which no other process uses.
    pub fn new(prefix: impl Into<String>) -> Self {
        Self {
            prefix: prefix.into(),
            count: 0,
            known: OriginTable::default(),
            services: BTreeSet::new(),
            written: HashMap::new(),
            slices: BTreeMap::new(),
            open: None,
            foreign: HashMap::new(),
        }
    }

    /// Sets the services whose origins are written. Known origins of services that were not among them are
    /// written too.
    pub fn set_services(&mut self, services: impl IntoIterator<Item = Arc<str>>, now: Timestamp) {
        let services: BTreeSet<Arc<str>> = services.into_iter().collect();
        let added: BTreeSet<Arc<str>> = services.difference(&self.services).cloned().collect();
        self.services = services;
        if added.is_empty() {
            return;
        }
        let known = self.known.iter(now);
        let known = known.filter(|(_, origin, _)| added.contains(&origin.service));
        let known: Vec<_> = known
            .map(|(a, o, until)| (a.clone(), o.clone(), until))
            .collect();
        for (attempt, origin, until) in known {
            self.write(attempt, &origin, until, now);
        }
    }

    /// Records the origin of a stream that may be resumed until `until`.
    pub fn record(
        &mut self,
        attempt: Arc<str>,
        origin: StreamOrigin,
        until: Timestamp,
        now: Timestamp,
    ) {
        self.known.record(attempt.clone(), origin, until, now);
        let known = self.known.get_until(&attempt, now);
        let Some((origin, until)) = known.map(|(origin, until)| (origin.clone(), until)) else {
            return;
        };
        if self.services.contains(&origin.service) {
            self.write(attempt, &origin, until, now);
        }
    }

    /// Compares the journal with the objects that the store lists. Those that the store has lost are written again.
    pub fn compare(&mut self, stored: &[StoredSlice], now: Timestamp) {
        let revisions: HashMap<&Arc<str>, u64> =
            stored.iter().map(|s| (&s.name, s.revision)).collect();
        for (name, slice) in &mut self.slices {
            let revision = revisions.get(name).copied();
            slice.dirty |= revision != slice.revision;
            slice.revision = revision;
        }
        self.foreign.retain(|name, _| revisions.contains_key(name));
        for StoredSlice {
            name,
            revision,
            slice,
        } in stored
        {
            let known = self.foreign.get(name).map(|f| f.revision);
            if self.slices.contains_key(name) || known == Some(*revision) {
                continue;
            }
            let (revision, until) = (*revision, now.after(slice.life()));
            (self.foreign).insert(name.clone(), ForeignSlice { revision, until });
        }
    }

    /// Returns whether there is something to be done.
    pub fn is_due(&self, now: Timestamp) -> bool {
        let removal = self.next_removal();
        removal.is_some_and(|at| at <= now) || self.slices.values().any(|slice| slice.dirty)
    }

    /// Returns what is to be done next.
    pub fn next_step(&mut self, now: Timestamp) -> JournalStep {
        self.written.retain(|_, until| *until > now);
        // Should such a write have reached the store all the same, a comparison finds the object.
        (self.slices).retain(|_, slice| slice.until > now || slice.revision.is_some());
        let ended = |until: Timestamp| until <= now;
        let own = self.slices.iter().find(|(_, s)| ended(s.until));
        let own = own.map(|(name, slice)| (name, slice.revision));
        let foreign = self.foreign.iter().find(|(_, f)| ended(f.until));
        let foreign = foreign.map(|(name, slice)| (name, Some(slice.revision)));
        if let Some((name, revision)) = own.or(foreign) {
            let name = name.clone();
            return JournalStep::Remove { name, revision };
        }
        match self.slices.iter().find(|(_, slice)| slice.dirty) {
            None => JournalStep::Idle,
            Some((name, slice)) => JournalStep::Write {
                name: name.clone(),
                slice: OriginSlice {
                    life_ms: slice.until.since(now).as_millis() as u64,
                    ..slice.content.clone()
                },
                revision: slice.revision,
            },
        }
    }

    /// Records that a slice has been written; `revision` is that of the object, if the store stated it.
    pub fn record_written(&mut self, name: &str, revision: Option<u64>) {
        if let Some(slice) = self.slices.get_mut(name) {
            slice.revision = revision;
            slice.dirty = false;
        }
    }

    /// Records that an object has been removed, or that its last change is not known here. In that case the next
    /// comparison finds it again.
    pub fn record_removed(&mut self, name: &str) {
        self.slices.remove(name);
        self.foreign.remove(name);
        if self.open.as_deref() == Some(name) {
            self.open = None;
        }
    }

    /// Returns whether the journal has objects in the store, or knows some of others, or may get some.
    pub fn is_in_use(&self) -> bool {
        !(self.services.is_empty() && self.slices.is_empty() && self.foreign.is_empty())
    }

    /// Returns when the next object is to be removed.
    pub fn next_removal(&self) -> Option<Timestamp> {
        let own = self.slices.values().map(|slice| slice.until);
        own.chain(self.foreign.values().map(|f| f.until)).min()
    }

    fn write(
        &mut self,
        attempt: Arc<str>,
        origin: &StreamOrigin,
        until: Timestamp,
        now: Timestamp,
    ) {
        if self.written.get(&attempt).is_some_and(|at| *at >= until) {
            return;
        }
        self.written.insert(attempt.clone(), until);
        let name = self.open_slice(now);
        let slice = self.slices.entry(name).or_default();
        // The quotes and the comma.
        slice.bytes += attempt.len() + 3;
        slice.until = slice.until.max(until);
        slice.dirty = true;
        slice.content.insert(attempt, origin);
    }

    /// Returns the name of the slice to which origins are added.
    fn open_slice(&mut self, now: Timestamp) -> Arc<str> {
        let open = self.open.as_ref().and_then(|name| {
            let slice = self.slices.get(name)?;
            let fits = slice.bytes < MAX_SLICE_BYTES && now.since(slice.opened) < MAX_SLICE_AGE;
            fits.then(|| name.clone())
        });
        if let Some(name) = open {
            return name;
        }
        let live = self
            .slices
            .iter_mut()
            .filter(|(_, slice)| slice.until > now);
        let mut live: Vec<&mut Slice> = live.map(|(_, slice)| slice).collect();
        if live.len() >= MAX_SLICES
            && let Some(first) = live.iter_mut().min_by_key(|slice| slice.until)
        {
            first.until = now;
        }
        self.count += 1;
        let name = Arc::from(format!("{}-{}", self.prefix, self.count));
        let slice = Slice {
            opened: now,
            ..Slice::default()
        };
        self.slices.insert(Arc::clone(&name), slice);
        self.open = Some(Arc::clone(&name));
        name
    }
}
