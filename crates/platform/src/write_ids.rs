//! Generation of write ids that are unique across processes and restarts.

use std::fmt::Display;
use std::sync::atomic::{AtomicU64, Ordering};

use rand::Rng;

use crate::WriteId;

/// Generates the ids of one process's writes as `OWNER.RANDOM.NUMBER`.
#[derive(Debug)]
pub struct WriteIdGenerator {
    prefix: String,
    next: AtomicU64,
}

impl WriteIdGenerator {
    /// Creates a generator for `owner`; a random part from `rng` tells its incarnations apart.
    pub fn new(owner: impl Display, rng: &mut dyn Rng) -> Self {
        Self {
            prefix: format!("{owner}.{:016x}", rng.next_u64()),
            next: AtomicU64::new(1),
        }
    }

    /// Returns an id that was not returned before.
    pub fn next_id(&self) -> WriteId {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        WriteId::from(format!("{}.{number}", self.prefix))
    }
}
