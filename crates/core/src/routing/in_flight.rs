//! The attempts that an entry has in progress on each target.

use std::collections::BTreeMap;

use kumquatkeel_types::TargetName;

/// Counts attempts in progress, by target.
#[derive(Debug, Clone, Default)]
pub struct InFlight {
    counts: BTreeMap<TargetName, u32>,
}

impl InFlight {
    /// Counts the start of an attempt on a target.
    pub fn start(&mut self, target: &TargetName) {
        match self.counts.get_mut(target) {
            Some(count) => *count += 1,
            None => {
                self.counts.insert(target.clone(), 1);
            }
        }
    }

    /// Counts the end of an attempt on a target; without a start it does nothing.
    pub fn end(&mut self, target: &TargetName) {
        let Some(count) = self.counts.get_mut(target) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.counts.remove(target);
        }
    }

    /// Returns the number of attempts in progress on a target.
    pub fn on(&self, target: &TargetName) -> u32 {
        self.counts.get(target).copied().unwrap_or(0)
    }

    /// Returns the number of attempts in progress on all targets.
    pub fn total(&self) -> u32 {
        self.counts.values().sum()
    }
}
