//! What targets state about themselves in their answers.

use http::HeaderMap;
use kumquatkeel_core::serving::{RequestRate, StatedLimit, Target};

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
        let mut state = self.lock();
        let changed = state.limits.record(&target.id, limit);
        let per_second = state.limits.limit(&target.id).map(RequestRate::per_second);
        drop(state);
        if changed {
            self.instruments.record_limit_change();
            log::info!(target_id:% = target.id, per_second:serde; "limit of a target changed");
        }
    }
}
