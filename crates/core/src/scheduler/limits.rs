//! Bounds of the gate's memory and time.

use std::time::Duration;

/// How much the gate keeps, and for how long.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SchedulerLimits {
    /// Attempts that run at a time on the whole target.
    pub slots: u32,
    /// Attempts that wait for a slot.
    pub queue: usize,
    /// Records of ended or fenced attempts.
    pub records: usize,
    /// Idempotency keys.
    pub keys: usize,
    /// Bytes of stored answers of plain calls.
    pub answer_bytes: usize,
    /// How long a record of an ended or fenced attempt is kept.
    pub record_age: Duration,
    /// How long an idempotency key is kept after its call ended.
    pub key_age: Duration,
    /// Entries for which the gate remembers which of their requests are too old to start.
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
