//! Reading the list of targets in a fleet whose list changes all the time.
//!
//! Guards against a target that gets requests for too long after it must not be used, when cheap answers
//! of the store are old, notices of relays are lost, or the relays end; and against a store that every
//! process asks consistently for each change.

use std::time::Duration;

use kumquatkeel_core::serving::{
    ListCall, ListNotice, ListReader, ListRole, list_notice_interval, list_relays,
};
use kumquatkeel_core::store::StorePosition;
use kumquatkeel_types::Timestamp;
use proptest::prelude::*;

/// Share of the deployment's bound within which a process must know an urgent change.
const BOUND_SHARE: f64 = 0.65;
const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 20_000;
/// Longest time of a call beyond its wait.
const CALL_MS: u64 = 40;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn position(revision: u64) -> StorePosition {
    StorePosition { era: 0, revision }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// The days that the store, the relay and the network have.
#[derive(Debug, Clone)]
struct Load {
    /// When targets begin to leave.
    urgent: Vec<u64>,
    /// Time between two other changes.
    change_ms: u64,
    /// How old cheap answers are.
    lag_ms: u64,
    /// When the relay ends.
    relay_ends: u64,
    /// Which notices are lost, in turn.
    lost: Vec<bool>,
    /// The era of a change that a faulty process states although it doesn't exist.
    false_notice: Option<u64>,
}

/// One reader of the store: between two calls, or waiting for the answer to one.
#[derive(Debug, Clone, Copy)]
struct Reader {
    known: u64,
    resume_at: u64,
    call: Option<(ListCall, u64)>,
}

impl Reader {
    const fn new() -> Self {
        Self {
            known: 1,
            resume_at: 0,
            call: None,
        }
    }

    /// Makes the due calls; returns whether a consistent answer came.
    fn step(&mut self, reader: &ListReader, load: &Load, now: u64) -> bool {
        if let Some((call, sent)) = self.call {
            let state = if call.consistent {
                load.revision(now)
            } else {
                load.revision(now.saturating_sub(load.lag_ms))
            };
            let superseded = !call.consistent
                && reader
                    .consistent_at(position(self.known))
                    .is_some_and(|due| due <= at(now));
            if superseded {
                self.call = None;
                return false;
            }
            let ends = now >= sent + CALL_MS && state > self.known;
            if !ends && now < sent + millis(call.wait) {
                return false;
            }
            self.call = None;
            let delay = if ends { millis(call.delay) } else { 0 };
            self.known = self.known.max(state);
            self.resume_at = now + delay;
            return call.consistent;
        }
        let urgent = reader.urgent_at(position(self.known));
        if now >= self.resume_at || urgent.is_some_and(|due| due <= at(now)) {
            self.call = Some((reader.next_call(position(self.known), at(now)), now));
        }
        false
    }
}

impl Load {
    /// Returns the store's revision at a time.
    fn revision(&self, now: u64) -> u64 {
        let urgent = self.urgent.iter().filter(|time| **time <= now).count() as u64;
        1 + now / self.change_ms + urgent
    }

    /// Returns the revision of the last urgent change up to a revision.
    fn last_urgent(&self, known: u64) -> u64 {
        let revisions = self.urgent.iter().map(|time| self.revision(*time));
        revisions.filter(|r| *r <= known).max().unwrap_or(1)
    }

    /// Plays the load; returns the consistent calls of the entry, and how long it took to know each urgent
    /// change, in milliseconds.
    fn play(&self, bound: Duration) -> (usize, Vec<u64>) {
        let (mut entry, mut relay) = (Reader::new(), Reader::new());
        let mut deciding = ListReader::new(ListRole::User, bound);
        let relaying = ListReader::new(ListRole::Relay, bound);
        let (mut confirmed, mut consistent, mut sent, mut notices) = (None, 0, 0, 0);
        let mut late = vec![None; self.urgent.len()];
        for now in (0..LENGTH_MS).step_by(STEP_MS as usize) {
            if now < self.relay_ends {
                if relay.step(&relaying, self, now) {
                    confirmed = Some(now);
                }
                if now >= sent + millis(list_notice_interval(34)) {
                    sent = now;
                    notices += 1;
                    let lost = self.lost[notices % self.lost.len()];
                    if let Some(confirmed) = confirmed.filter(|_| !lost) {
                        let notice = ListNotice {
                            urgent: (0, self.last_urgent(relay.known)),
                            age_ms: (now - confirmed) as u32,
                        };
                        deciding.record_notice(notice, at(now));
                    }
                }
            }
            if let Some(urgent) = self.false_notice.filter(|_| now == LENGTH_MS / 4) {
                let notice = ListNotice {
                    urgent: (urgent, u64::MAX),
                    age_ms: 0,
                };
                deciding.record_notice(notice, at(now));
            }
            let was_idle = entry.call.is_none();
            let sent = entry.call.map_or(now, |(_, sent)| sent);
            if entry.step(&deciding, self, now) {
                deciding.record_read(position(entry.known), at(sent));
            }
            let call = entry.call.filter(|_| was_idle);
            consistent += usize::from(call.is_some_and(|(call, _)| call.consistent));
            for (late, time) in late.iter_mut().zip(&self.urgent) {
                if late.is_none() && *time <= now && entry.known >= self.revision(*time) {
                    *late = Some(now - time);
                }
            }
        }
        let known = late.into_iter().map(|late| late.unwrap_or(LENGTH_MS));
        (consistent, known.collect())
    }
}

prop_compose! {
    fn loads()(
        urgent in prop::collection::btree_set(1_000_u64..14_000, 0..12),
        change_ms in 50_u64..2_000,
        lag_ms in 0_u64..30_000,
        relay_ends in 0_u64..LENGTH_MS * 2,
        lost in prop::collection::vec(prop::bool::weighted(0.3), 1..40),
        false_notice in prop::option::of(prop::sample::select(vec![0, u64::MAX])),
    ) -> Load {
        let urgent = urgent.into_iter().collect();
        Load { urgent, change_ms, lag_ms, relay_ends, lost, false_notice }
    }
}

/// Targets leave in quick succession, so that each urgent change is stated before the one before it is known.
#[test]
fn an_urgent_change_is_put_off_by_later_ones() {
    let lost = [1, 5, 11];
    let load = Load {
        urgent: vec![2_501, 3_251, 3_301, 3_991, 4_281, 5_001],
        change_ms: 1_321,
        lag_ms: 3_000,
        relay_ends: 5_001,
        lost: (0..14).map(|notice| lost.contains(&notice)).collect(),
        false_notice: None,
    };
    let deployment = Duration::from_secs(3);
    let (_, late) = load.play(deployment.mul_f64(BOUND_SHARE));
    for late in late {
        assert!(late < millis(deployment), "known after {late} ms");
    }
}

/// Without a reader that knows them, the changes that are stated are not kept without bound, and the first counts.
#[test]
fn stated_changes_accumulate() {
    let bound = Duration::from_secs(2);
    let mut reader = ListReader::new(ListRole::User, bound);
    for revision in 10..10_000 {
        let notice = ListNotice {
            urgent: (0, revision),
            age_ms: 0,
        };
        reader.record_notice(notice, at(revision));
    }
    let due = |known| reader.urgent_at(position(known));
    let grace = bound / 4;
    assert_eq!(due(9), Some(at(10).after(grace)));
    assert!(due(5_000).is_some_and(|at_5000| at_5000 <= at(5_001).after(grace)));
    assert_eq!(due(9_999), None);
    assert!(std::mem::size_of_val(&reader) < 4_096);
}

proptest! {
    /// However old cheap answers are, and whatever becomes of relays and notices.
    #[test]
    fn an_urgent_change_is_known_within_the_bound(load in loads(), bound_s in 3_u64..=5) {
        let deployment = Duration::from_secs(bound_s);
        let (_, late) = load.play(deployment.mul_f64(BOUND_SHARE));
        for late in late {
            prop_assert!(late < millis(deployment), "known after {late} ms: {load:?}");
        }
    }

    /// A fleet has the same few relays however its list is sorted, and others if one of them leaves.
    #[test]
    fn few_agents_are_relays(count in 1_u8..=200, gone in any::<prop::sample::Index>()) {
        let hosts: Vec<std::net::IpAddr> = (1..=count).map(|i| [10, 0, 0, i].into()).collect();
        let relays = list_relays(hosts.iter().copied());
        prop_assert_eq!(relays.len(), usize::from(count).min(2));
        prop_assert_eq!(&list_relays(hosts.iter().rev().copied()), &relays);
        let gone = relays[gone.index(relays.len())];
        let left = list_relays(hosts.into_iter().filter(|host| *host != gone));
        prop_assert!(!left.contains(&gone));
        prop_assert!(count < 3 || left.len() == 2);
    }
}

/// A fleet of hundreds of targets, whose list changes several times a second.
#[test]
fn an_entry_with_a_relay_rarely_reads_consistently() {
    let load = Load {
        urgent: vec![5_000, 5_900, 12_000],
        change_ms: 100,
        lag_ms: 300,
        relay_ends: LENGTH_MS,
        lost: vec![false, false, false, true],
        false_notice: None,
    };
    let (consistent, _) = load.play(Duration::from_millis(3_250));
    assert!(consistent <= 4, "{consistent} consistent calls in 20 s");
    let misled = Load {
        false_notice: Some(u64::MAX),
        ..load.clone()
    };
    let (consistent, _) = misled.play(Duration::from_millis(3_250));
    assert!(consistent <= 5, "{consistent} with a false notice");
    let alone = Load {
        relay_ends: 0,
        ..load
    };
    let (consistent, _) = alone.play(Duration::from_millis(3_250));
    assert!(consistent > 15, "{consistent} without a relay");
}

#[test]
fn an_older_notice_changes_nothing() {
    let mut reader = ListReader::new(ListRole::User, Duration::from_secs(2));
    let notice = |urgent, age_ms| ListNotice { urgent, age_ms };
    reader.record_notice(notice((1, 9), 0), at(1_000));
    let after = reader.clone();
    reader.record_notice(notice((0, 70), 5_000), at(1_100));
    reader.record_notice(notice((1, 8), 400), at(1_200));
    assert_eq!(reader, after);
}
