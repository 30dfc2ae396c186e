//! What targets state about themselves in their answers.

use http::HeaderMap;
use kumquatkeel_core::serving::{RequestRate, StatedLimit, Target, TargetId};

use super::state::Shared;
use crate::platform::ResponseClass;

impl Shared {
    /// Records what an answer states about its target.
    ///
    /// Only an answer of the target itself shows by a missing statement that it no longer holds.
    pub(super) fn record_notice(&self, target: &Target, class: ResponseClass, headers: &HeaderMap) {
        let notice = self.dialect.read_notice(headers);
        let limit = match (class, notice.limit) {
            (ResponseClass::WrongTarget | ResponseClass::Invalid, _)
            | (ResponseClass::NotRun, StatedLimit::Absent) => return,
            (_, limit) => limit,
        };
        let now = self.now();
        let changed = self.lock().limits.record(&target.id, limit, now);
        if changed {
            self.record_limit_change(&target.id);
            self.report_limit(target);
        }
    }

    /// Logs and counts a changed limit, and wakes the requests that wait.
    pub(super) fn record_limit_change(&self, target: &TargetId) {
        let mut state = self.lock();
        state.permits.reset(target);
        let per_second = state.limits.limit(target).map(RequestRate::per_second);
        drop(state);
        self.instruments.record_limit_change();
        log::info!(target_id:% = target, per_second:serde; "limit of a target changed");
        self.notify();
    }
}
