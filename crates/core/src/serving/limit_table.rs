//! The limits that targets name, as an entry knows them.

use std::collections::HashMap;

use super::request_rate::RequestRate;
use super::target::TargetId;
use super::target_notice::StatedLimit;

/// The limits that targets name.
#[derive(Debug, Clone, Default)]
pub struct LimitTable {
    limits: HashMap<TargetId, RequestRate>,
}

impl LimitTable {
    /// Records what an answer of a target says; returns whether the limit changed.
    pub fn record(&mut self, target: &TargetId, stated: StatedLimit) -> bool {
        match stated {
            StatedLimit::Absent => self.limits.remove(target).is_some(),
            StatedLimit::Rate(rate) => self.limits.insert(target.clone(), rate) != Some(rate),
            StatedLimit::Unreadable => false,
        }
    }

    /// Returns the limit that a target names.
    pub fn limit(&self, target: &TargetId) -> Option<RequestRate> {
        self.limits.get(target).copied()
    }

    /// Drops the targets for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&TargetId) -> bool) {
        self.limits.retain(|id, _| keep(id));
    }
}
