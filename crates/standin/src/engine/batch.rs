//! Running and waiting requests of each replica.
//!
//! A replica runs as many requests as it has slots; the others wait in order of priority.

use std::collections::BTreeMap;

use kumquatkeel_types::AdapterName;

use super::accelerators::ReplicaKey;

/// State of a request right after it was submitted to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    /// The request got a free slot and runs.
    Running,
    /// All slots are taken; the request waits for one.
    Waiting,
}

/// Position of a waiting request: its priority (0 runs first), then its order of arrival.
type QueuePosition = (u8, u64);

#[derive(Debug, Clone, Default)]
struct RequestQueue {
    running: BTreeMap<u64, Option<AdapterName>>,
    waiting: BTreeMap<QueuePosition, Option<AdapterName>>,
}

/// The running and waiting requests of all replicas of an engine.
#[derive(Debug, Clone, Default)]
pub struct Batch {
    queues: BTreeMap<ReplicaKey, RequestQueue>,
}

impl Batch {
    /// Adds a request to a replica that has `slots` slots.
    pub(super) fn submit(
        &mut self,
        replica: &ReplicaKey,
        run: u64,
        priority: u8,
        adapter: Option<AdapterName>,
        slots: u16,
    ) -> RequestState {
        let queue = self.queues.entry(replica.clone()).or_default();
        if queue.running.len() < usize::from(slots) {
            queue.running.insert(run, adapter);
            return RequestState::Running;
        }
        queue.waiting.insert((priority, run), adapter);
        RequestState::Waiting
    }

    /// Removes a request and returns the waiting request that gets the free slot, if any.
    pub(super) fn remove(&mut self, replica: &ReplicaKey, run: u64, slots: u16) -> Option<u64> {
        let queue = self.queues.get_mut(replica)?;
        queue.running.remove(&run);
        queue.waiting.retain(|(_, waiting), _| *waiting != run);
        if queue.running.len() >= usize::from(slots) {
            return None;
        }
        let ((_, next), adapter) = queue.waiting.pop_first()?;
        queue.running.insert(next, adapter);
        Some(next)
    }

    /// Returns the number of requests that run on a replica.
    pub(super) fn running(&self, replica: &ReplicaKey) -> u32 {
        self.queues
            .get(replica)
            .map_or(0, |queue| queue.running.len() as u32)
    }

    /// Returns the number of requests that wait for a slot of a replica.
    pub(super) fn waiting(&self, replica: &ReplicaKey) -> u32 {
        self.queues
            .get(replica)
            .map_or(0, |queue| queue.waiting.len() as u32)
    }

    /// Returns the number of running and waiting requests of a replica, or of one adapter on it.
    pub(super) fn users(&self, replica: &ReplicaKey, adapter: Option<&AdapterName>) -> u32 {
        let Some(queue) = self.queues.get(replica) else {
            return 0;
        };
        let uses = |used: &&Option<AdapterName>| adapter.is_none() || used.as_ref() == adapter;
        let running = queue.running.values().filter(uses).count();
        let waiting = queue.waiting.values().filter(uses).count();
        (running + waiting) as u32
    }
}
