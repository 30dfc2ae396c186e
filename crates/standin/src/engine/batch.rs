//! Which requests run and which wait on each replica.

use std::collections::BTreeMap;

use kumquatkeel_types::AdapterName;

use super::accelerators::Place;

/// What becomes of a request that reaches a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entered {
    /// The request runs from now on.
    Running,
    /// The request waits for a slot.
    Waiting,
}

/// A request's place in line: its priority, then its order of arrival.
type Turn = (u8, u64);

#[derive(Debug, Clone, Default)]
struct Line {
    running: BTreeMap<u64, Option<AdapterName>>,
    waiting: BTreeMap<Turn, Option<AdapterName>>,
}

/// The running and waiting requests of all replicas of an engine.
#[derive(Debug, Clone, Default)]
pub struct Batch {
    lines: BTreeMap<Place, Line>,
}

impl Batch {
    /// Adds a request to a replica with `slots` slots.
    pub(super) fn enter(
        &mut self,
        place: &Place,
        run: u64,
        priority: u8,
        adapter: Option<AdapterName>,
        slots: u16,
    ) -> Entered {
        let line = self.lines.entry(place.clone()).or_default();
        if line.running.len() < usize::from(slots) {
            line.running.insert(run, adapter);
            return Entered::Running;
        }
        line.waiting.insert((priority, run), adapter);
        Entered::Waiting
    }

    /// Removes a request and returns the one that runs in its stead, if any.
    pub(super) fn leave(&mut self, place: &Place, run: u64, slots: u16) -> Option<u64> {
        let line = self.lines.get_mut(place)?;
        line.running.remove(&run);
        line.waiting.retain(|(_, waiting), _| *waiting != run);
        if line.running.len() >= usize::from(slots) {
            return None;
        }
        let ((_, next), adapter) = line.waiting.pop_first()?;
        line.running.insert(next, adapter);
        Some(next)
    }

    /// Returns how many requests run on a replica.
    pub(super) fn running(&self, place: &Place) -> u32 {
        self.lines
            .get(place)
            .map_or(0, |line| line.running.len() as u32)
    }

    /// Returns how many requests wait for a replica.
    pub(super) fn waiting(&self, place: &Place) -> u32 {
        self.lines
            .get(place)
            .map_or(0, |line| line.waiting.len() as u32)
    }

    /// Returns how many requests use a replica, or an adapter on it, running or waiting.
    pub(super) fn users(&self, place: &Place, adapter: Option<&AdapterName>) -> u32 {
        let Some(line) = self.lines.get(place) else {
            return 0;
        };
        let uses = |used: &&Option<AdapterName>| adapter.is_none() || used.as_ref() == adapter;
        let running = line.running.values().filter(uses).count();
        let waiting = line.waiting.values().filter(uses).count();
        (running + waiting) as u32
    }
}
