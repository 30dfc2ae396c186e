//! What targets state about themselves in their answers.

use std::time::Duration;

use kumquatkeel_core::serving::{
    Acceptance, Incarnation, RequestRate, StatedLimit, Target, TargetId, TargetNotice,
};

use super::state::Shared;
use crate::gossip::Datagram;
use crate::platform::ResponseClass;

/// Longest time that an entry adds to the pause of a target, where there are few entries.
const MIN_PAUSE_SPREAD: Duration = Duration::from_millis(200);
/// The time by which that grows with each entry, so that the first requests of hundreds don't come
/// together.
const PAUSE_SPREAD_PER_ENTRY: Duration = Duration::from_millis(20);

impl Shared {
    /// Returns whether a target accepts a request, by what it has stated. Ask it right before the request
    /// is sent: a permit or a connection may have been waited for since the target was chosen.
    pub(super) fn begin_request(&self, target: &Target) -> bool {
        let now = self.now();
        let table = &mut self.lock().objects.table;
        table.begin_request(&target.incarnation(), now) == Acceptance::Accepts
    }

    /// Records what an answer states about its target.
    ///
    /// Only an answer to the request shows by a missing statement that an earlier one no longer holds;
    /// rejections and invalid answers may lack what others state.
    pub(super) fn record_notice(
        &self,
        target: &Target,
        class: ResponseClass,
        notice: TargetNotice,
    ) {
        if class == ResponseClass::WrongTarget {
            return;
        }
        match notice.pause {
            Some(pause) => self.record_pause(target, pause),
            None => self.record_answer(target),
        }
        if notice.leaving {
            self.record_leaving(target);
        }
        let is_answer = matches!(class, ResponseClass::Success | ResponseClass::Failure);
        if is_answer || notice.limit != StatedLimit::Absent {
            self.record_limit(target, notice.limit);
        }
    }

    /// Records a pause, which ends somewhat later at each entry, so that their first requests come apart.
    fn record_pause(&self, target: &Target, pause: Duration) {
        let now = self.now();
        let mut state = self.lock();
        let spread = MIN_PAUSE_SPREAD.max(PAUSE_SPREAD_PER_ENTRY * state.entries() as u32);
        let pause = pause + spread.mul_f64(rand::random());
        let table = &mut state.objects.table;
        table.record_pause(&target.incarnation(), pause, now);
        drop(state);
        self.instruments.record_pause();
    }

    fn record_answer(&self, target: &Target) {
        let now = self.now();
        let table = &mut self.lock().objects.table;
        table.record_answer(&target.incarnation(), now);
    }

    fn record_leaving(&self, target: &Target) {
        let (now, incarnation) = (self.now(), target.incarnation());
        let mut state = self.lock();
        let is_new = state.objects.table.record_leaving(&incarnation, now);
        let listed = state.objects.table.get(&target.id);
        let listed_born = listed.map(|listed| listed.born);
        let has_agent = state.engine_spec(&target.service).is_some();
        drop(state);
        if !is_new {
            return;
        }
        self.instruments.record_leaving();
        let (id, born) = (&target.id, target.born);
        log::info!(target_id:% = id, born, listed_born; "target leaves, as its answer states");
        if has_agent {
            let agent = self.settings.agent_of(target);
            self.gossip.send(agent, &Datagram::Leaving(incarnation));
        }
    }

    /// Records that a target leaves, as its agent reports.
    pub(super) fn handle_leaving(&self, incarnation: &Incarnation) {
        let now = self.now();
        let is_new = (self.lock().objects.table).record_leaving(incarnation, now);
        if is_new {
            let (id, born) = (&incarnation.id, incarnation.born);
            log::info!(target_id:% = id, born; "target leaves, as its agent reports");
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
