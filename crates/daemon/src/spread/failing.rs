//! Sources that do not answer this daemon.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use kumquatkeel_types::Timestamp;

/// Time without an answer after which a source is left out of the plan.
const EXCLUDE_AFTER: Duration = Duration::from_secs(4);

/// Time without an answer after which a source is taken for gone.
const GONE_AFTER: Duration = Duration::from_secs(8);

/// Time within which this daemon must have heard from others to take a source for gone.
const RECENT: Duration = Duration::from_secs(4);

/// The sources that do not answer, and when the daemon last heard from any other process.
///
/// The entries at the top of a data centre's tree have no parent that would miss them when all
/// fail together; those that poll them do.
#[derive(Debug, Default)]
pub(super) struct Failing {
    since: BTreeMap<SocketAddr, Timestamp>,
    excluded: BTreeSet<SocketAddr>,
    contact: Option<Timestamp>,
}

impl Failing {
    /// Notes that a source did not answer.
    pub(super) fn failed(&mut self, peer: SocketAddr, now: Timestamp) {
        self.since.entry(peer).or_insert(now);
    }

    /// Notes that a process was heard.
    pub(super) fn heard(&mut self, peer: SocketAddr, now: Timestamp) {
        self.since.remove(&peer);
        self.contact = Some(now);
    }

    /// Notes that the store answered.
    pub(super) const fn store_answered(&mut self, now: Timestamp) {
        self.contact = Some(now);
    }

    /// Returns the sources that do not answer.
    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.since.keys().copied()
    }

    /// Says whether a source is left out of the plan.
    pub(super) fn is_excluded(&self, peer: SocketAddr) -> bool {
        self.excluded.contains(&peer)
    }

    /// Works out anew which sources are left out; says whether any came or went.
    pub(super) fn tick(&mut self, now: Timestamp) -> bool {
        let excluded = self.silent_for(EXCLUDE_AFTER, now);
        let changed = excluded != self.excluded;
        self.excluded = excluded;
        changed
    }

    /// Forgets the sources that are not among `alive`.
    pub(super) fn keep_only(&mut self, alive: &BTreeSet<SocketAddr>) {
        self.since.retain(|peer, _| alive.contains(peer));
    }

    /// Returns the sources to be taken for gone. A daemon that hears nobody blames nobody.
    pub(super) fn gone(&self, now: Timestamp) -> BTreeSet<SocketAddr> {
        let heard = self.contact.is_some_and(|at| now.since(at) <= RECENT);
        if heard {
            self.silent_for(GONE_AFTER, now)
        } else {
            BTreeSet::new()
        }
    }

    fn silent_for(&self, limit: Duration, now: Timestamp) -> BTreeSet<SocketAddr> {
        let silent = self.since.iter();
        let silent = silent.filter(|(_, since)| now.since(**since) > limit);
        silent.map(|(peer, _)| *peer).collect()
    }
}
