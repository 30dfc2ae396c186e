//! The prompt prefix cache and its events.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use kumquatkeel_types::digest::hash_parts;
use kumquatkeel_types::engine::{CacheEvent, CacheEvents};
use tokio::time::Instant;

/// Bytes of a prompt in one block.
const BLOCK_BYTES: usize = 64;
/// Events that are kept for readers.
const KEPT_EVENTS: usize = 4_096;

#[derive(Debug, Clone)]
struct Published {
    at: Instant,
    event: CacheEvent,
}

/// A cache of prompt prefixes in limited memory; the block used longest ago is evicted first.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    limit: usize,
    uses: u64,
    blocks: BTreeMap<u64, u64>,
    sequence: u64,
    events: VecDeque<Published>,
    gap: u32,
}

impl PrefixCache {
    /// Makes an empty cache of `limit` blocks.
    pub const fn new(limit: usize) -> Self {
        Self {
            limit,
            uses: 0,
            blocks: BTreeMap::new(),
            sequence: 0,
            events: VecDeque::new(),
            gap: 0,
        }
    }

    /// Stores a prompt's blocks and returns how many were not there.
    pub fn store(&mut self, model: &str, prompt: &str) -> u32 {
        let mut missing = 0;
        let mut chain = hash_parts([model]).to_string();
        for block in prompt.as_bytes().chunks(BLOCK_BYTES) {
            let hash = hash_parts([chain.as_str(), &String::from_utf8_lossy(block)]);
            chain = hash.to_string();
            self.uses += 1;
            if self.blocks.insert(hash, self.uses).is_none() {
                missing += 1;
                self.publish(hash, true);
            }
        }
        self.evict();
        missing
    }

    /// Loses the next `count` events: their numbers are skipped.
    pub const fn lose_events(&mut self, count: u32) {
        self.gap += count;
    }

    /// Returns the events after a number that are at least as old as the lag.
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
        while self.blocks.len() > self.limit {
            let oldest = self.blocks.iter().min_by_key(|(_, used)| **used);
            let Some((&block, _)) = oldest else { return };
            self.blocks.remove(&block);
            self.publish(block, false);
        }
    }

    fn publish(&mut self, block: u64, stored: bool) {
        self.sequence += 1;
        if self.gap > 0 {
            self.gap -= 1;
            return;
        }
        if self.events.len() == KEPT_EVENTS {
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
