//! Origins of streams in the store: all that may be needed, and no longer or larger than needed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{
    JournalStep, OriginJournal, OriginSlice, StoredSlice, StreamOrigin,
};
use kumquatkeel_types::Timestamp;
use proptest::prelude::*;

fn origin(service: &str) -> StreamOrigin {
    StreamOrigin {
        service: service.into(),
        version: "v1".into(),
    }
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_secs(seconds))
}

/// The objects of a store.
#[derive(Debug, Default)]
struct Store {
    revision: u64,
    objects: BTreeMap<Arc<str>, StoredSlice>,
}

impl Store {
    /// Takes all steps of a journal.
    fn apply(&mut self, journal: &mut OriginJournal, now: Timestamp) {
        while journal.is_due(now) {
            match journal.next_step(now) {
                JournalStep::Idle => return,
                JournalStep::Write {
                    name,
                    slice,
                    revision,
                } => {
                    assert_eq!(self.objects.get(&name).map(|s| s.revision), revision);
                    self.revision += 1;
                    let revision = self.revision;
                    let stored = StoredSlice {
                        name: name.clone(),
                        revision,
                        slice,
                    };
                    self.objects.insert(name.clone(), stored);
                    journal.record_written(&name, Some(revision));
                }
                JournalStep::Remove { name, revision } => {
                    if self.objects.get(&name).map(|s| s.revision) == revision {
                        self.objects.remove(&name);
                    }
                    journal.record_removed(&name);
                }
            }
        }
    }

    fn list(&self) -> Vec<StoredSlice> {
        self.objects.values().cloned().collect()
    }

    fn knows(&self, attempt: &str) -> bool {
        let slices = self.objects.values().map(|stored| &stored.slice);
        slices
            .flat_map(OriginSlice::origins)
            .any(|(known, _)| **known == *attempt)
    }
}

#[test]
fn origins_are_written_from_when_several_versions_serve() {
    let (mut journal, mut store) = (OriginJournal::new("one"), Store::default());
    for service in ["assist", "desk"] {
        journal.record(service.into(), origin(service), at(15), at(0));
    }
    store.apply(&mut journal, at(0));
    assert!(store.objects.is_empty());
    journal.set_services(["assist".into()], at(1));
    store.apply(&mut journal, at(1));
    assert!(store.knows("assist") && !store.knows("desk"));
    // One version again: what was written stays for as long as it is needed.
    journal.set_services([], at(2));
    store.apply(&mut journal, at(14));
    assert!(store.knows("assist"));
    store.apply(&mut journal, at(15));
    assert!(store.objects.is_empty());
}

#[test]
fn a_stream_that_is_resumed_stays_in_the_store_for_longer() {
    let (mut journal, mut store) = (OriginJournal::new("one"), Store::default());
    journal.set_services(["assist".into()], at(0));
    journal.record("a".into(), origin("assist"), at(15), at(0));
    store.apply(&mut journal, at(0));
    journal.record("a".into(), origin("assist"), at(28), at(13));
    for now in 13..28 {
        store.apply(&mut journal, at(now));
        assert!(store.knows("a"), "after {now} s");
    }
    store.apply(&mut journal, at(28));
    assert!(store.objects.is_empty());
}

/// The processes of hosts that are gone don't remove their objects.
#[test]
fn the_objects_of_a_process_that_ended_are_removed_by_another() {
    let (mut ended, mut store) = (OriginJournal::new("one"), Store::default());
    ended.set_services(["assist".into()], at(0));
    ended.record("a".into(), origin("assist"), at(15), at(0));
    store.apply(&mut ended, at(0));
    let mut other = OriginJournal::new("two");
    for now in [5, 10, 19] {
        other.compare(&store.list(), at(now));
        store.apply(&mut other, at(now));
        assert!(store.knows("a"), "after {now} s");
    }
    store.apply(&mut other, at(20));
    assert!(store.objects.is_empty());
}

/// The other process has not read the object since it grew.
#[test]
fn an_object_that_has_changed_is_not_removed_by_another() {
    let (mut writer, mut store) = (OriginJournal::new("one"), Store::default());
    writer.set_services(["assist".into()], at(0));
    writer.record("a".into(), origin("assist"), at(11), at(0));
    store.apply(&mut writer, at(0));
    let mut other = OriginJournal::new("two");
    other.compare(&store.list(), at(0));
    writer.record("b".into(), origin("assist"), at(18), at(7));
    store.apply(&mut writer, at(7));
    for now in 8..18 {
        store.apply(&mut other, at(now));
        assert!(store.knows("b"), "after {now} s");
    }
    other.compare(&store.list(), at(17));
    store.apply(&mut other, at(28));
    assert!(store.objects.is_empty());
}

#[test]
fn what_a_restored_store_has_lost_is_written_again() {
    let (mut journal, mut store) = (OriginJournal::new("one"), Store::default());
    journal.set_services(["assist".into()], at(0));
    journal.record("a".into(), origin("assist"), at(15), at(0));
    store.apply(&mut journal, at(0));
    let copy = store.list();
    journal.record("b".into(), origin("assist"), at(15), at(1));
    journal.record("c".into(), origin("assist"), at(30), at(9));
    store.apply(&mut journal, at(9));
    store.objects = copy.into_iter().map(|s| (s.name.clone(), s)).collect();
    journal.compare(&store.list(), at(10));
    store.apply(&mut journal, at(10));
    assert!(["a", "b", "c"].iter().all(|attempt| store.knows(attempt)));
}

#[test]
fn the_objects_of_a_journal_are_bounded_in_number_and_size() {
    let (mut journal, mut store) = (OriginJournal::new("one"), Store::default());
    journal.set_services(["assist".into()], at(0));
    for number in 0..60_000_u32 {
        let attempt = format!("{number:064}");
        journal.record(attempt.into(), origin("assist"), at(3_600), at(0));
        if number % 1_000 == 0 {
            store.apply(&mut journal, at(0));
        }
    }
    store.apply(&mut journal, at(0));
    let sizes = store.list().into_iter();
    let sizes: Vec<usize> = sizes
        .map(|s| serde_json::to_string(&s.slice).unwrap().len())
        .collect();
    assert!(sizes.len() <= 64, "{} objects", sizes.len());
    assert!(sizes.iter().all(|size| *size < 20_000), "{sizes:?}");
    assert!(store.knows(&format!("{:064}", 59_999)));
}

/// What happens to a journal.
#[derive(Debug, Clone)]
enum Event {
    Begin { life: u64 },
    Resume { stream: usize, life: u64 },
    Steps,
    Restart,
    Restore,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (1..60_u64).prop_map(|life| Event::Begin { life }),
        2 => (0..20_usize, 1..60_u64).prop_map(|(stream, life)| Event::Resume { stream, life }),
        4 => Just(Event::Steps),
        1 => Just(Event::Restart),
        1 => Just(Event::Restore),
    ]
}

proptest! {
    /// Whatever the order of streams, restarts of the process and restored stores: what was written to the end
    /// is found while its stream may be resumed, and nothing stays once all streams have ended.
    #[test]
    fn a_written_origin_is_found_until_its_stream_ends(
        events in prop::collection::vec((0..8_u64, event()), 1..60),
    ) {
        let (mut journal, mut store) = (OriginJournal::new("0"), Store::default());
        // The end of each stream, and whether a running process knows it.
        let mut streams: Vec<(u64, bool)> = Vec::new();
        let (mut now, mut starts, mut copy) = (0, 0, Vec::new());
        for (pause, event) in events {
            now += pause;
            journal.set_services(["assist".into()], at(now));
            match event {
                Event::Begin { life } => {
                    let attempt = streams.len().to_string();
                    journal.record(attempt.into(), origin("assist"), at(now + life), at(now));
                    streams.push((now + life, true));
                }
                Event::Resume { stream, life } => {
                    let Some((until, _)) = streams.get(stream).copied() else { continue };
                    // Entries find the origin in the store, or refuse.
                    if until <= now || !store.knows(&stream.to_string()) {
                        continue;
                    }
                    let end = until.max(now + life);
                    let attempt = stream.to_string();
                    journal.record(attempt.into(), origin("assist"), at(end), at(now));
                    streams[stream] = (end, true);
                }
                Event::Steps => {
                    copy = store.list();
                    store.apply(&mut journal, at(now));
                    journal.compare(&store.list(), at(now));
                    for (number, (until, known)) in streams.iter().enumerate() {
                        if *known && *until > now {
                            prop_assert!(store.knows(&number.to_string()), "{number}");
                        }
                    }
                }
                Event::Restart => {
                    store.apply(&mut journal, at(now));
                    starts += 1;
                    journal = OriginJournal::new(starts.to_string());
                    journal.compare(&store.list(), at(now));
                }
                Event::Restore => {
                    // A process that lives writes again what the copy lacks; one that has ended can't.
                    store.objects = copy.iter().map(|s| (s.name.clone(), s.clone())).collect();
                    journal.compare(&store.list(), at(now));
                    for (number, (_, known)) in streams.iter_mut().enumerate() {
                        *known = *known && (store.knows(&number.to_string()) || starts == 0);
                    }
                }
            }
        }
        for later in [60, 120, 180] {
            store.apply(&mut journal, at(now + later));
            journal.compare(&store.list(), at(now + later));
        }
        store.apply(&mut journal, at(now + 300));
        prop_assert!(store.objects.is_empty(), "{:?}", store.objects);
    }
}
