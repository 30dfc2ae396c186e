//! Feeds an attempt's events back into shared state: the router's in-flight counts and fleet view,
//! outlier ejection and the concurrency limit of admission control.

use std::sync::Arc;

use kumquatkeel_core::request::FlowEvent;
use kumquatkeel_core::retry::AttemptResult;
use kumquatkeel_core::routing::RouteRequest;
use kumquatkeel_types::message::{AttemptEvent, NotRunReason};
use kumquatkeel_types::{Incarnation, TargetName, Timestamp};

use crate::EntryState;

/// An attempt in its target's in-flight count; dropping it ends the count.
#[derive(Debug)]
pub(super) struct AttemptTracker {
    state: Arc<EntryState>,
    request: Arc<RouteRequest>,
    target: TargetName,
    sent: Timestamp,
    answered: bool,
}

impl AttemptTracker {
    /// Counts an attempt as in flight; called right before it is sent.
    pub(super) fn start(
        state: &Arc<EntryState>,
        request: &Arc<RouteRequest>,
        target: TargetName,
    ) -> Self {
        state.metrics.count_attempt(&request.service);
        if let Some(router) = &mut state.routing().router {
            router.started(request, &target);
        }
        Self {
            state: state.clone(),
            request: request.clone(),
            target,
            sent: state.clock.now(),
            answered: false,
        }
    }

    /// Updates the shared state from an event of the attempt.
    pub(super) fn observe(&mut self, event: &FlowEvent) {
        match event {
            FlowEvent::Attempt { event, .. } => self.observe_event(event),
            FlowEvent::Interrupted(_) | FlowEvent::NotSent(_) => self.record(AttemptResult::Failed),
            _ => {}
        }
    }

    fn observe_event(&mut self, event: &AttemptEvent) {
        match event {
            AttemptEvent::Accepted { .. } => self.state.admission.accepted(&self.request.service),
            AttemptEvent::Token { .. } | AttemptEvent::Answered { .. } if !self.answered => {
                self.answered = true;
                let time = self.state.clock.now().since(self.sent);
                self.record(AttemptResult::Answered(time));
            }
            AttemptEvent::Failed { .. } => self.record(AttemptResult::Failed),
            AttemptEvent::NotRun {
                incarnation,
                reason,
                ..
            } => self.observe_refusal(*incarnation, *reason),
            _ => {}
        }
    }

    fn observe_refusal(&self, incarnation: Incarnation, reason: NotRunReason) {
        match reason {
            NotRunReason::Busy => self.state.admission.busy(&self.request.service),
            NotRunReason::TargetUnreachable => self.record(AttemptResult::Failed),
            NotRunReason::Draining => {
                if let Some(router) = &mut self.state.routing().router {
                    router.view_mut().mark_draining(&self.target, incarnation);
                }
            }
            NotRunReason::NotResident => {
                let mut routing = self.state.routing();
                if let (Some(router), Some(model)) = (&mut routing.router, &self.request.model) {
                    router.view_mut().mark_absent(&self.target, model);
                }
            }
            NotRunReason::WrongIncarnation => {
                if let Some(router) = &mut self.state.routing().router {
                    router
                        .view_mut()
                        .mark_incarnation(&self.target, incarnation);
                }
            }
            NotRunReason::Deadline | NotRunReason::Fenced | NotRunReason::Cancelled => {}
        }
    }

    fn record(&self, result: AttemptResult) {
        let now = self.state.clock.now();
        if let Some(router) = &mut self.state.routing().router {
            router.ejector_mut().record(&self.target, result, now);
        }
    }
}

impl Drop for AttemptTracker {
    fn drop(&mut self) {
        if let Some(router) = &mut self.state.routing().router {
            router.ended(&self.request, &self.target);
        }
    }
}
