//! Bounds of the scheduler's concurrency, memory and retention.

use std::time::Duration;

/// The bounds of a scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SchedulerLimits {
    /// Attempts that run at a time, over all slot pools.
    pub slots: u32,
    /// Attempts that wait for a slot, over all slot pools.
    pub queue: usize,
    /// Records that are kept of ended and fenced attempts.
    pub records: usize,
    /// Idempotency keys that are kept.
    pub keys: usize,
    /// Total bytes of the stored answers of plain calls.
    pub answer_bytes: usize,
    /// How long the record of an ended or fenced attempt is kept.
    pub record_age: Duration,
    /// How long an idempotency key is kept after its call ended.
    pub key_age: Duration,
    /// Entries for which a watermark is kept in place of evicted records.
    pub entries: usize,
}

impl Default for SchedulerLimits {
    fn default() -> Self {
        Self {
            slots: 256,
            queue: 256,
            records: 32_768,
            keys: 65_536,
            answer_bytes: 16 << 20,
            record_age: Duration::from_mins(10),
            key_age: Duration::from_hours(1),
            entries: 4_096,
        }
    }
}
