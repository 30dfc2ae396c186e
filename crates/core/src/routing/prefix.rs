//! An index of the prompt prefixes that each target probably caches.
//!
//! Engines publish cache events late and with gaps. After a gap the blocks known of a target may be
//! evicted already, so they are dropped: they give no affinity until events store them again.

use std::collections::BTreeMap;

use kumquatkeel_types::digest::hash_bytes;
use kumquatkeel_types::engine::CacheEvents;
use kumquatkeel_types::{Incarnation, TargetName};

/// Bytes of prompt text in one block.
pub const BLOCK_BYTES: usize = 256;
/// The most leading blocks of a prompt that are hashed and looked up.
pub const MAX_BLOCKS: usize = 16;
/// The most blocks kept for each target; the oldest are dropped first.
pub const MAX_TARGET_BLOCKS: usize = 4_096;

/// Returns the hashes of a prompt's leading whole blocks, each over the prefix that it ends.
pub fn prefix_blocks(prompt: impl AsRef<str>) -> Vec<u64> {
    let bytes = prompt.as_ref().as_bytes();
    let whole = (bytes.len() / BLOCK_BYTES).min(MAX_BLOCKS);
    (1..=whole)
        .map(|blocks| hash_bytes(&bytes[..blocks * BLOCK_BYTES]))
        .collect()
}

/// The result of applying a batch of cache events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PrefixStep {
    /// The events continue those before.
    Applied,
    /// Events are missing; the blocks known before the gap are dropped.
    Gap,
    /// The events are of an earlier incarnation and were ignored.
    Stale,
}

/// The blocks that one target probably caches.
#[derive(Debug, Clone, Default)]
struct TargetBlocks {
    incarnation: Incarnation,
    next_sequence: Option<u64>,
    /// The sequence number of the event that last stored each block.
    blocks: BTreeMap<u64, u64>,
}

impl TargetBlocks {
    fn apply(&mut self, events: &CacheEvents) -> PrefixStep {
        let mut step = PrefixStep::Applied;
        for event in &events.events {
            if self.next_sequence.is_some_and(|next| event.sequence < next) {
                continue;
            }
            if self.next_sequence.is_some_and(|next| event.sequence > next) {
                self.blocks.clear();
                step = PrefixStep::Gap;
            }
            self.next_sequence = Some(event.sequence.saturating_add(1));
            if event.stored {
                self.blocks.insert(event.block, event.sequence);
            } else {
                self.blocks.remove(&event.block);
            }
        }
        self.evict_oldest();
        step
    }

    fn evict_oldest(&mut self) {
        let over = self.blocks.len().saturating_sub(MAX_TARGET_BLOCKS);
        if over == 0 {
            return;
        }
        let mut ages: Vec<_> = self.blocks.iter().map(|(b, s)| (*s, *b)).collect();
        ages.sort_unstable();
        for (_, block) in ages.into_iter().take(over) {
            self.blocks.remove(&block);
        }
    }
}

/// The prompt blocks that each target probably caches.
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    targets: BTreeMap<TargetName, TargetBlocks>,
}

impl PrefixIndex {
    /// Applies events of a target's cache; a later incarnation starts with an empty cache.
    pub fn apply(
        &mut self,
        target: &TargetName,
        incarnation: Incarnation,
        events: &CacheEvents,
    ) -> PrefixStep {
        let cached = self.targets.entry(target.clone()).or_default();
        if incarnation < cached.incarnation {
            return PrefixStep::Stale;
        }
        if incarnation > cached.incarnation {
            *cached = TargetBlocks {
                incarnation,
                ..TargetBlocks::default()
            };
        }
        cached.apply(events)
    }

    /// Records the blocks of a prompt that is sent to a target, which will cache them.
    pub fn record_prompt(&mut self, target: &TargetName, prefix: &[u64]) {
        if prefix.is_empty() {
            return;
        }
        let cached = self.targets.entry(target.clone()).or_default();
        let sequence = cached.next_sequence.unwrap_or(0);
        for block in prefix {
            cached.blocks.insert(*block, sequence);
        }
        cached.evict_oldest();
    }

    /// Drops a target's blocks, for instance when its agent restarts.
    pub fn remove(&mut self, target: &TargetName) {
        self.targets.remove(target);
    }

    /// Returns the number of leading blocks of a prompt that a target probably caches.
    pub fn hits(&self, target: &TargetName, prefix: &[u64]) -> u32 {
        if prefix.is_empty() {
            return 0;
        }
        let Some(cached) = self.targets.get(target) else {
            return 0;
        };
        let held = |block: &&u64| cached.blocks.contains_key(*block);
        prefix.iter().take_while(held).count() as u32
    }
}
