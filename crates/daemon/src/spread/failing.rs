//! Health of the sources that this daemon polls.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use kumquatkeel_types::Timestamp;

/// Time since the first failed poll after which a source is left out of the plan.
const EXCLUDE_AFTER: Duration = Duration::from_secs(4);

/// Time since the first failed poll after which a source is taken for gone.
const GONE_AFTER: Duration = Duration::from_secs(8);

/// A source is taken for gone only if this daemon has had contact to another process or the store
/// within this time.
const CONTACT_WITHIN: Duration = Duration::from_secs(4);

/// The sources that do not answer, and when the daemon last had contact to any other process
/// or the store.
///
/// A parent detects a failed child by missing heartbeats. The relays of a data centre have no
/// parent that would detect them when all fail together, so the daemons that poll them do.
#[derive(Debug, Default)]
pub(super) struct Failing {
    /// Time of the first failed poll since the last answer.
    since: BTreeMap<SocketAddr, Timestamp>,
    excluded: BTreeSet<SocketAddr>,
    /// Time of the last contact to any process or the store.
    contact: Option<Timestamp>,
}

impl Failing {
    /// Records that a source did not answer.
    pub(super) fn failed(&mut self, peer: SocketAddr, now: Timestamp) {
        self.since.entry(peer).or_insert(now);
    }

    /// Records a poll or a reply from a process.
    pub(super) fn heard(&mut self, peer: SocketAddr, now: Timestamp) {
        self.since.remove(&peer);
        self.contact = Some(now);
    }

    /// Records that the store answered.
    pub(super) const fn store_answered(&mut self, now: Timestamp) {
        self.contact = Some(now);
    }

    /// Returns the addresses of the sources that do not answer.
    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.since.keys().copied()
    }

    /// Returns whether a source is left out of the plan.
    pub(super) fn is_excluded(&self, peer: SocketAddr) -> bool {
        self.excluded.contains(&peer)
    }

    /// Updates the set of sources that are left out of the plan; returns whether it changed.
    pub(super) fn tick(&mut self, now: Timestamp) -> bool {
        let excluded = self.silent_for(EXCLUDE_AFTER, now);
        let changed = excluded != self.excluded;
        self.excluded = excluded;
        changed
    }

    /// Removes the sources that are not among `alive`.
    pub(super) fn keep_only(&mut self, alive: &BTreeSet<SocketAddr>) {
        self.since.retain(|peer, _| alive.contains(peer));
    }

    /// Returns the sources to be marked as gone.
    ///
    /// There are none if this daemon has had no recent contact itself: it may be the one cut off.
    pub(super) fn gone(&self, now: Timestamp) -> BTreeSet<SocketAddr> {
        let heard = self
            .contact
            .is_some_and(|at| now.since(at) <= CONTACT_WITHIN);
        if heard {
            self.silent_for(GONE_AFTER, now)
        } else {
            BTreeSet::new()
        }
    }

    /// Returns the sources whose polls have failed for longer than `limit`.
    fn silent_for(&self, limit: Duration, now: Timestamp) -> BTreeSet<SocketAddr> {
        let silent = self.since.iter();
        let silent = silent.filter(|(_, since)| now.since(**since) > limit);
        silent.map(|(peer, _)| *peer).collect()
    }
}
