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
        if matches!(class, ResponseClass::WrongTarget | ResponseClass::Invalid) {
            return;
        }
        if notice.leaving {
            self.record_leaving(&target.id);
        }
        if class != ResponseClass::NotRun || notice.limit != StatedLimit::Absent {
            self.record_limit(target, notice.limit);
        }
    }

    fn record_leaving(&self, target: &TargetId) {
        if self.lock().objects.table.record_leaving(target) {
            log::info!(target_id:% = target; "target leaves, as its answer states");
        }
    }

    fn record_limit(&self, target: &Target, limit: StatedLimit) {
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
