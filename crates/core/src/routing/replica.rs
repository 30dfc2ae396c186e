//! The view of the replicas of one model, or of one plain service, on one target.

use kumquatkeel_types::message::LoadSummary;
use kumquatkeel_types::{AdapterName, Timestamp};

/// The replicas of one model or plain service on one target, added up.
#[derive(Debug, Clone)]
pub struct ReplicaView {
    /// The target's index among the view's agents.
    pub(super) index: usize,
    /// The total load of the replicas, with this entry's own attempts since the report counted in.
    pub(super) load: LoadSummary,
    /// When that load was last reported, in a report or a probe's reply.
    pub(super) updated: Timestamp,
    /// When the first of them became ready; `None` if the view did not see that happen.
    pub(super) ready_since: Option<Timestamp>,
    /// The adapters that are ready on at least one replica.
    pub(super) adapters: Vec<AdapterName>,
}

impl ReplicaView {
    /// Creates the view of a target's replicas, without slots or load.
    pub(super) const fn new(index: usize, updated: Timestamp) -> Self {
        Self {
            index,
            load: LoadSummary {
                running: 0,
                waiting: 0,
                slots: 0,
            },
            updated,
            ready_since: None,
            adapters: Vec::new(),
        }
    }

    /// Adds the load and the adapters of one more replica on the same target.
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

    /// Counts an attempt that this entry sends; the attempt waits if all slots are taken.
    pub(super) const fn count_start(&mut self) {
        if self.load.running < self.load.slots {
            self.load.running += 1;
        } else {
            self.load.waiting = self.load.waiting.saturating_add(1);
        }
    }

    /// Counts the end of an attempt of this entry; a waiting attempt takes over the slot.
    pub(super) const fn count_end(&mut self) {
        if self.load.waiting > 0 {
            self.load.waiting -= 1;
        } else {
            self.load.running = self.load.running.saturating_sub(1);
        }
    }
}
