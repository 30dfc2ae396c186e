//! Guards against two processes that hold a lease at once, and against unsafe actions under a lease
//! in doubt, with paused processes, late writes, lost replies, an unavailable store and one that is
//! restored from a copy.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_core::lease::{
    ActionKind, Lease, LeaseOptions, LeaseRead, LeaseRecord, LeaseStatus, LeaseStep, LeaseWrite,
};
use kumquatkeel_core::store::StoreEra;
use kumquatkeel_types::{EntryName, Epoch, Incarnation, Timestamp};
use proptest::prelude::*;
use rstest::rstest;

fn entry(name: &str) -> EntryName {
    EntryName::try_from(name).unwrap()
}

fn lease(name: &str) -> Lease<u64> {
    Lease::new(entry(name), Incarnation(1), LeaseOptions::default())
}

const fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[derive(Default)]
struct Store {
    era: StoreEra,
    object: Option<(u64, LeaseRecord)>,
    /// What a restore brings back.
    copy: Option<(u64, LeaseRecord)>,
    /// A delayed write, which takes effect before the next step of any process.
    late: Option<(Option<u64>, LeaseRecord)>,
}

impl Store {
    fn put(&mut self, version: Option<u64>, record: LeaseRecord) -> Option<u64> {
        if self.object.as_ref().map(|o| o.0) != version {
            return None;
        }
        let next = version.unwrap_or(0) + 1;
        self.object = Some((next, record));
        Some(next)
    }

    fn restore(&mut self) {
        self.object = self.copy.clone();
        self.era.observe(Some(self.era.number() + 1));
    }
}

/// The fault that a store call meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The call takes effect, but its reply is lost.
    Lost,
    /// The store is unavailable.
    Down,
    /// The reply is lost, and a write takes effect just before the next step.
    Late,
    /// The store is restored after the call, and the process learns of that before it has the reply.
    Restored,
}

/// Performs one step of the lease; the store replies `delay` milliseconds later.
fn step(lease: &mut Lease<u64>, store: &mut Store, now: Timestamp, delay: u64, fault: Fault) {
    let then = now.after(Duration::from_millis(delay));
    if let Some((version, record)) = store.late.take() {
        store.put(version, record);
    }
    match lease.step(now) {
        LeaseStep::Read if matches!(fault, Fault::None | Fault::Late) => {
            lease.observe_era(store.era);
            lease.on_read(LeaseRead::Found(store.object.clone()), then);
        }
        LeaseStep::Read if fault == Fault::Restored => {
            let found = store.object.clone();
            store.restore();
            lease.observe_era(store.era);
            lease.on_read(LeaseRead::Found(found), then);
        }
        LeaseStep::Read => lease.on_read(LeaseRead::Failed, then),
        LeaseStep::Write { version, record } => {
            let end = match fault {
                Fault::None | Fault::Restored => store
                    .put(version, record)
                    .map_or(LeaseWrite::Replaced, LeaseWrite::Written),
                Fault::Lost => {
                    store.put(version, record);
                    LeaseWrite::Failed
                }
                Fault::Late => {
                    store.late = Some((version, record));
                    LeaseWrite::Failed
                }
                Fault::Down => LeaseWrite::Failed,
            };
            if fault == Fault::Restored {
                store.restore();
            }
            if matches!(fault, Fault::None | Fault::Restored) {
                lease.observe_era(store.era);
            }
            lease.on_write(end, then);
        }
        LeaseStep::Wait(_) => {}
    }
}

fn acquire(lease: &mut Lease<u64>, store: &mut Store, now: u64) {
    step(lease, store, at(now), 0, Fault::None);
    step(lease, store, at(now), 0, Fault::None);
    assert!(matches!(lease.status(at(now)), LeaseStatus::Held(_)));
}

#[test]
fn the_duration_counts_from_before_the_renewal_is_sent() {
    let (mut lease, mut store) = (lease("a"), Store::default());
    step(&mut lease, &mut store, at(0), 0, Fault::None);
    step(&mut lease, &mut store, at(0), 8_000, Fault::None);
    assert_eq!(lease.status(at(9_999)), LeaseStatus::Held(Epoch(1)));
    assert_eq!(lease.status(at(10_000)), LeaseStatus::InDoubt(Epoch(1)));
}

#[rstest]
#[case(LeaseStatus::Held(Epoch(3)), Some(Epoch(3)), Some(Epoch(3)))]
#[case(LeaseStatus::InDoubt(Epoch(3)), Some(Epoch(3)), None)]
#[case(LeaseStatus::NotHeld, None, None)]
fn a_lease_in_doubt_permits_only_additive_actions(
    #[case] status: LeaseStatus,
    #[case] additive: Option<Epoch>,
    #[case] destructive: Option<Epoch>,
) {
    assert_eq!(status.permit(ActionKind::Additive), additive);
    assert_eq!(status.permit(ActionKind::Destructive), destructive);
}

#[test]
fn a_takeover_waits_for_the_duration_and_raises_the_epoch() {
    let mut store = Store::default();
    let (mut a, mut b) = (lease("a"), lease("b"));
    acquire(&mut a, &mut store, 0);
    let mut now = 0;
    while b.status(at(now)) == LeaseStatus::NotHeld {
        now += 100;
        step(&mut b, &mut store, at(now), 0, Fault::None);
    }
    assert!((10_000..15_000).contains(&now), "takeover after {now} ms");
    assert_eq!(b.status(at(now)), LeaseStatus::Held(Epoch(2)));
    step(&mut a, &mut store, at(now), 0, Fault::None);
    step(&mut a, &mut store, at(now), 0, Fault::None);
    assert_eq!(a.status(at(now)), LeaseStatus::NotHeld);
}

#[test]
fn a_released_lease_is_taken_at_once() {
    let mut store = Store::default();
    let (mut a, mut b) = (lease("a"), lease("b"));
    acquire(&mut a, &mut store, 0);
    a.release();
    step(&mut a, &mut store, at(10), 0, Fault::None);
    assert!(a.is_released());
    acquire(&mut b, &mut store, 20);
    assert_eq!(b.status(at(20)), LeaseStatus::Held(Epoch(2)));
}

#[rstest]
#[case(Fault::Lost)]
#[case(Fault::Late)]
#[case(Fault::Down)]
fn a_holder_that_releases_no_longer_holds_the_lease(#[case] fault: Fault) {
    let mut store = Store::default();
    let mut a = lease("a");
    acquire(&mut a, &mut store, 0);
    a.release();
    step(&mut a, &mut store, at(10), 0, fault);
    assert_eq!(a.status(at(10)), LeaseStatus::NotHeld);
    assert!(!a.is_released());
    for now in [4_000, 4_000, 8_000] {
        step(&mut a, &mut store, at(now), 0, Fault::None);
    }
    assert!(a.is_released());
    assert!(store.object.as_ref().is_some_and(|(_, r)| r.released));
}

/// Returns a store that states its era.
fn store_of_era(era: u64) -> Store {
    let mut store = Store::default();
    store.era.observe(Some(era));
    store
}

/// Steps a process that does not hold the lease until it does; returns the time.
fn wait_for_lease(lease: &mut Lease<u64>, store: &mut Store, start: u64) -> u64 {
    let held = |lease: &Lease<u64>, now: u64| matches!(lease.status(at(now)), LeaseStatus::Held(_));
    let mut now = start;
    while !held(lease, now) {
        now += 100;
        assert!(now < start + 60_000, "the lease is taken within a minute");
        step(lease, store, at(now), 0, Fault::None);
    }
    now
}

#[test]
fn a_lease_from_before_a_restore_permits_actions() {
    let mut store = store_of_era(0);
    let mut a = lease("a");
    let now = wait_for_lease(&mut a, &mut store, 0);
    store.copy = store.object.clone();
    store.restore();
    assert!(a.observe_era(store.era));
    assert_eq!(a.status(at(now)), LeaseStatus::NotHeld);
    // The copy shows the lease as its own.
    step(&mut a, &mut store, at(now), 0, Fault::None);
    assert_eq!(a.status(at(now)), LeaseStatus::NotHeld);
}

/// The copy is older than the takeovers up to epoch 3, the last of which the store has forgotten.
#[test]
fn a_fencing_token_is_given_out_again_after_a_restore() {
    let mut store = store_of_era(4);
    let (mut a, mut b) = (lease("a"), lease("b"));
    let mut now = wait_for_lease(&mut a, &mut store, 0);
    store.copy = store.object.clone();
    for _ in 0..2 {
        now = wait_for_lease(&mut b, &mut store, now);
        now = wait_for_lease(&mut a, &mut store, now);
    }
    let LeaseStatus::Held(last) = a.status(at(now)) else {
        panic!("{:?}", a.status(at(now)));
    };
    store.restore();
    let now = wait_for_lease(&mut b, &mut store, now);
    let LeaseStatus::Held(next) = b.status(at(now)) else {
        panic!("{:?}", b.status(at(now)));
    };
    assert!(next > last, "{next} after {last}");
}

/// The copy has the version that the renewal replaces.
#[test]
fn a_renewal_that_a_restored_store_accepts_counts() {
    let mut store = store_of_era(1);
    let mut a = lease("a");
    let now = wait_for_lease(&mut a, &mut store, 0) + 3_000;
    store.copy = store.object.clone();
    store.restore();
    step(&mut a, &mut store, at(now), 0, Fault::None);
    let renewal = store.object.as_ref().map(|(_, record)| record.renewal);
    assert_eq!(renewal, Some(1), "the renewal is stored");
    assert_eq!(a.status(at(now)), LeaseStatus::NotHeld);
}

/// Its version also stands for the record of a takeover in the restored store.
#[test]
fn a_record_that_was_read_before_a_restore_counts() {
    let mut store = store_of_era(1);
    let (mut a, mut b, mut c) = (lease("a"), lease("b"), lease("c"));
    let now = wait_for_lease(&mut b, &mut store, 0);
    step(&mut c, &mut store, at(now), 0, Fault::Restored);
    let now = wait_for_lease(&mut a, &mut store, now);
    step(&mut c, &mut store, at(now), 0, Fault::None);
    assert_eq!(c.status(at(now)), LeaseStatus::NotHeld);
    let holder = store.object.as_ref().map(|(_, record)| &record.holder);
    assert_eq!(holder, Some(&entry("a")));
}

/// A process that was paused replaces the record of a takeover at a version that it knows from before the
/// restore.
#[test]
fn a_fencing_token_is_given_out_again_after_a_late_write_into_a_restored_store() {
    let mut store = store_of_era(0);
    let (mut a, mut b, mut c) = (lease("a"), lease("b"), lease("c"));
    let mut now = wait_for_lease(&mut a, &mut store, 0);
    for _ in 0..4 {
        step(&mut c, &mut store, at(now), 0, Fault::None);
        step(&mut c, &mut store, at(now), 0, Fault::None);
        now += 3_000;
    }
    store.restore();
    now = wait_for_lease(&mut b, &mut store, now);
    let LeaseStatus::Held(hidden) = b.status(at(now)) else {
        panic!("{:?}", b.status(at(now)));
    };
    step(&mut c, &mut store, at(now), 0, Fault::None);
    let holder = store.object.as_ref().map(|(_, record)| &record.holder);
    assert_eq!(holder, Some(&entry("c")), "the late write takes effect");
    let now = wait_for_lease(&mut a, &mut store, now);
    let LeaseStatus::Held(next) = a.status(at(now)) else {
        panic!("{:?}", a.status(at(now)));
    };
    assert!(next > hidden, "{next} after {hidden}");
}

/// The holder has not learnt of the restore yet; the copy shows the lease as released, or lacks it.
#[rstest]
#[case::released(true)]
#[case::absent(false)]
fn a_lease_that_a_copy_shows_as_free_is_taken_from_its_holder(#[case] released: bool) {
    let mut store = store_of_era(1);
    let (mut a, mut b) = (lease("a"), lease("b"));
    let mut now = wait_for_lease(&mut a, &mut store, 0);
    if released {
        a.release();
        step(&mut a, &mut store, at(now), 0, Fault::None);
        assert!(a.is_released());
        store.copy = store.object.clone();
        a = Lease::new(entry("a"), Incarnation(2), LeaseOptions::default());
        now = wait_for_lease(&mut a, &mut store, now);
    }
    store.restore();
    let taken = wait_for_lease(&mut b, &mut store, now);
    let status = a.status(at(taken));
    assert!(!matches!(status, LeaseStatus::Held(_)), "{status:?}");
}

fn faults() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::Lost),
        1 => Just(Fault::Down),
        1 => Just(Fault::Late),
    ]
}

fn faults_and_restores() -> impl Strategy<Value = Fault> {
    prop_oneof![20 => faults(), 1 => Just(Fault::Restored)]
}

proptest! {
    #[test]
    fn two_processes_never_hold_the_lease_at_once(
        steps in proptest::collection::vec(
            (0..3usize, 0..4_000u64, 0..6_000u64, faults(), 0..20u8),
            1..200,
        )
    ) {
        let mut store = Store::default();
        let mut leases = [lease("a"), lease("b"), lease("c")];
        // A process takes no step until the reply to its last store call has arrived.
        let mut busy = [0; 3];
        let mut holders: BTreeMap<Epoch, usize> = BTreeMap::new();
        let mut now = 0;
        for (process, advance, delay, fault, event) in steps {
            now += advance;
            if now < busy[process] {
                continue;
            }
            if event == 0 {
                leases[process].release();
            }
            step(&mut leases[process], &mut store, at(now), delay, fault);
            busy[process] = now + delay;
            let held: Vec<_> = (0..3)
                .filter_map(|i| match leases[i].status(at(now)) {
                    LeaseStatus::Held(epoch) => Some((i, epoch)),
                    _ => None,
                })
                .collect();
            prop_assert!(held.len() <= 1, "{held:?} at {now}");
            for (holder, epoch) in held {
                prop_assert!(!leases[holder].is_released());
                prop_assert_eq!(*holders.entry(epoch).or_insert(holder), holder);
            }
        }
    }

    /// Processes learn of a restore by their own calls only, and start again in between.
    #[test]
    fn no_restore_lets_two_processes_hold_the_lease_or_gives_an_epoch_out_again(
        steps in proptest::collection::vec(
            (0..3usize, 0..4_000u64, 0..6_000u64, faults_and_restores(), 0..30u8),
            1..300,
        )
    ) {
        let mut store = store_of_era(0);
        let mut leases = [lease("a"), lease("b"), lease("c")];
        let mut busy = [0; 3];
        let mut holders: BTreeMap<Epoch, usize> = BTreeMap::new();
        let (mut now, mut starts) = (0, 1);
        for (process, advance, delay, fault, event) in steps {
            now += advance;
            match event {
                0 => store.copy = store.object.clone(),
                1 | 2 => store.restore(),
                _ if now < busy[process] => continue,
                3 => leases[process].release(),
                4 => {
                    starts += 1;
                    let name = entry(["a", "b", "c"][process]);
                    let incarnation = Incarnation(starts);
                    leases[process] = Lease::new(name, incarnation, LeaseOptions::default());
                }
                _ => {}
            }
            if now < busy[process] {
                continue;
            }
            step(&mut leases[process], &mut store, at(now), delay, fault);
            busy[process] = now + delay;
            let held: Vec<_> = (0..3)
                .filter_map(|i| match leases[i].status(at(now)) {
                    LeaseStatus::Held(epoch) => Some((i, epoch)),
                    _ => None,
                })
                .collect();
            prop_assert!(held.len() <= 1, "{held:?} at {now}");
            for (holder, epoch) in held {
                let newest = holders.last_key_value().map(|(epoch, _)| *epoch);
                prop_assert!(Some(epoch) >= newest, "{epoch} after {newest:?}");
                prop_assert_eq!(*holders.entry(epoch).or_insert(holder), holder);
            }
        }
    }
}
