//! The replicas of one model, or of one plain service, on one target.

use kumquatkeel_types::message::LoadSummary;
use kumquatkeel_types::{AdapterName, Timestamp};

/// What an entry knows of the replicas of a model on one target.
#[derive(Debug, Clone)]
pub struct ReplicaView {
    /// The target's index in the view.
    pub(super) slot: usize,
    /// The load over the replicas, with this entry's own attempts since the report counted in.
    pub(super) load: LoadSummary,
    /// When that load was heard.
    pub(super) heard: Timestamp,
    /// When the first of them became ready, if the entry has seen it happen.
    pub(super) loaded: Option<Timestamp>,
    /// The adapters that are ready on at least one replica.
    pub(super) adapters: Vec<AdapterName>,
}

impl ReplicaView {
    /// Makes the view of a target's replicas without any load.
    pub(super) const fn new(slot: usize, heard: Timestamp) -> Self {
        Self {
            slot,
            load: LoadSummary {
                running: 0,
                waiting: 0,
                slots: 0,
            },
            heard,
            loaded: None,
            adapters: Vec::new(),
        }
    }

    /// Adds the load of one more replica on the same target.
    pub(super) fn add(&mut self, load: LoadSummary, adapters: &[AdapterName]) {
        self.load.running = self.load.running.saturating_add(load.running);
        self.load.waiting = self.load.waiting.saturating_add(load.waiting);
        self.load.slots = self.load.slots.saturating_add(load.slots);
        for adapter in adapters {
            if !self.adapters.contains(adapter) {
                self.adapters.push(adapter.clone());
            }
        }
    }

    /// Counts an attempt that this entry has just sent.
    pub(super) const fn count_start(&mut self) {
        if self.load.running < self.load.slots {
            self.load.running += 1;
        } else {
            self.load.waiting = self.load.waiting.saturating_add(1);
        }
    }

    /// Counts the end of an attempt of this entry.
    pub(super) const fn count_end(&mut self) {
        if self.load.waiting > 0 {
            self.load.waiting -= 1;
        } else {
            self.load.running = self.load.running.saturating_sub(1);
        }
    }
}
