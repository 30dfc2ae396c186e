//! Which targets are believed to cache a prompt's leading blocks.
//!
//! Engines publish cache events late and with gaps. After a gap a target's blocks are distrusted:
//! they give no affinity until the engine's events name them again.

use std::collections::BTreeMap;

use kumquatkeel_types::digest::hash_bytes;
use kumquatkeel_types::engine::CacheEvents;
use kumquatkeel_types::{Incarnation, TargetName};

/// Bytes of prompt text in one block.
pub const BLOCK_BYTES: usize = 256;
/// Leading blocks of a prompt that are looked up.
pub const MAX_BLOCKS: usize = 16;
/// Blocks remembered for each target.
pub const MAX_TARGET_BLOCKS: usize = 4_096;

/// Returns the hashes of a prompt's leading blocks, each over the whole prefix so far.
pub fn prefix_blocks(prompt: impl AsRef<str>) -> Vec<u64> {
    let bytes = prompt.as_ref().as_bytes();
    let whole = (bytes.len() / BLOCK_BYTES).min(MAX_BLOCKS);
    (1..=whole)
        .map(|blocks| hash_bytes(&bytes[..blocks * BLOCK_BYTES]))
        .collect()
}

/// What became of a batch of cache events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PrefixStep {
    /// The events follow on those before.
    Applied,
    /// Events are missing; the blocks known before are distrusted.
    Gap,
    /// The events are of an earlier life of the target.
    Stale,
}

/// The blocks that one target is believed to cache.
#[derive(Debug, Clone, Default)]
struct TargetBlocks {
    incarnation: Incarnation,
    next: Option<u64>,
    blocks: BTreeMap<u64, u64>,
}

impl TargetBlocks {
    fn apply(&mut self, events: &CacheEvents) -> PrefixStep {
        let mut step = PrefixStep::Applied;
        for event in &events.events {
            if self.next.is_some_and(|next| event.sequence < next) {
                continue;
            }
            if self.next.is_some_and(|next| event.sequence > next) {
                self.blocks.clear();
                step = PrefixStep::Gap;
            }
            self.next = Some(event.sequence.saturating_add(1));
            if event.stored {
                self.blocks.insert(event.block, event.sequence);
            } else {
                self.blocks.remove(&event.block);
            }
        }
        self.trim();
        step
    }

    fn trim(&mut self) {
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

/// The prompt blocks that each target is believed to cache.
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    targets: BTreeMap<TargetName, TargetBlocks>,
}

impl PrefixIndex {
    /// Takes in events of a target's cache.
    pub fn apply(
        &mut self,
        target: &TargetName,
        incarnation: Incarnation,
        events: &CacheEvents,
    ) -> PrefixStep {
        let known = self.targets.entry(target.clone()).or_default();
        if incarnation < known.incarnation {
            return PrefixStep::Stale;
        }
        if incarnation > known.incarnation {
            *known = TargetBlocks {
                incarnation,
                ..TargetBlocks::default()
            };
        }
        known.apply(events)
    }

    /// Notes that a prompt ran on a target, which will have cached its blocks.
    pub fn note_run(&mut self, target: &TargetName, prefix: &[u64]) {
        if prefix.is_empty() {
            return;
        }
        let known = self.targets.entry(target.clone()).or_default();
        let sequence = known.next.unwrap_or(0);
        for block in prefix {
            known.blocks.insert(*block, sequence);
        }
        known.trim();
    }

    /// Forgets a target's blocks, for instance when its agent restarts.
    pub fn forget(&mut self, target: &TargetName) {
        self.targets.remove(target);
    }

    /// Returns how many leading blocks of a prompt a target is believed to cache.
    pub fn hits(&self, target: &TargetName, prefix: &[u64]) -> u32 {
        if prefix.is_empty() {
            return 0;
        }
        let Some(known) = self.targets.get(target) else {
            return 0;
        };
        let held = |block: &&u64| known.blocks.contains_key(*block);
        prefix.iter().take_while(held).count() as u32
    }
}
