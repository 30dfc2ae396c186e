//! Prefix cache of prompts, and the events that report its changes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use kumquatkeel_types::digest::hash_parts;
use kumquatkeel_types::engine::{CacheEvent, CacheEvents};
use tokio::time::Instant;

/// Length in bytes of the part of a prompt that one block covers.
const BLOCK_BYTES: usize = 64;
/// Number of events that are retained; the oldest is dropped first.
const MAX_EVENTS: usize = 4_096;

#[derive(Debug, Clone)]
struct Published {
    at: Instant,
    event: CacheEvent,
}

/// A prefix cache of limited size with least-recently-used eviction.
///
/// A block's hash covers the model and the prompt up to the end of the block.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    capacity: usize,
    use_count: u64,
    blocks: BTreeMap<u64, u64>,
    sequence: u64,
    events: VecDeque<Published>,
    to_drop: u32,
}

impl PrefixCache {
    /// Creates an empty cache that holds up to `capacity` blocks.
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            use_count: 0,
            blocks: BTreeMap::new(),
            sequence: 0,
            events: VecDeque::new(),
            to_drop: 0,
        }
    }

    /// Stores the blocks of a prompt and returns how many of them were missing.
    pub fn store(&mut self, model: &str, prompt: &str) -> u32 {
        let mut missing = 0;
        let mut chain = hash_parts([model]).to_string();
        for block in prompt.as_bytes().chunks(BLOCK_BYTES) {
            let hash = hash_parts([chain.as_str(), &String::from_utf8_lossy(block)]);
            chain = hash.to_string();
            self.use_count += 1;
            if self.blocks.insert(hash, self.use_count).is_none() {
                missing += 1;
                self.publish(hash, true);
            }
        }
        self.evict();
        missing
    }

    /// Drops the next `count` events; their sequence numbers are skipped.
    pub const fn lose_events(&mut self, count: u32) {
        self.to_drop += count;
    }

    /// Returns the events with a sequence number above `after` that are at least as old as `lag`.
    pub fn events_after(&self, after: u64, lag: Duration) -> CacheEvents {
        let now = Instant::now();
        let events = self
            .events
            .iter()
            .filter(|published| published.event.sequence > after)
            .take_while(|published| now.saturating_duration_since(published.at) >= lag)
            .map(|published| published.event.clone())
            .collect();
        CacheEvents { events }
    }

    fn evict(&mut self) {
        while self.blocks.len() > self.capacity {
            let oldest = self.blocks.iter().min_by_key(|(_, used)| **used);
            let Some((&block, _)) = oldest else { return };
            self.blocks.remove(&block);
            self.publish(block, false);
        }
    }

    fn publish(&mut self, block: u64, stored: bool) {
        self.sequence += 1;
        if self.to_drop > 0 {
            self.to_drop -= 1;
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent {
            sequence: self.sequence,
            block,
            stored,
        };
        let at = Instant::now();
        self.events.push_back(Published { at, event });
    }
}
