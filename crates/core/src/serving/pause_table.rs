//! The pauses that targets have asked for.

use std::collections::HashMap;
use std::time::Duration;

use kumquatkeel_types::Timestamp;

use super::target::TargetId;

/// The targets that have asked this process to send nothing for a while.
#[derive(Debug, Clone, Default)]
pub struct PauseTable {
    ends: HashMap<TargetId, Timestamp>,
}

impl PauseTable {
    /// Records that a target wants no request for a time; a pause that ends later stands.
    pub fn record(&mut self, target: &TargetId, pause: Duration, now: Timestamp) {
        let end = self.ends.entry(target.clone()).or_default();
        *end = now.after(pause).max(*end);
    }

    /// Returns the time until a target's pause ends; `None` if it accepts requests.
    pub fn left(&self, target: &TargetId, now: Timestamp) -> Option<Duration> {
        let end = *self.ends.get(target)?;
        (now < end).then(|| end.since(now))
    }

    /// Drops the targets for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&TargetId) -> bool) {
        self.ends.retain(|id, _| keep(id));
    }
}
