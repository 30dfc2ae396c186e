//! What an attempt's events tell beyond its own request: load, health and residency.

use std::sync::Arc;

use kumquatkeel_core::request::FlowEvent;
use kumquatkeel_core::retry::AttemptResult;
use kumquatkeel_core::routing::RouteRequest;
use kumquatkeel_types::message::{AttemptEvent, NotRunReason};
use kumquatkeel_types::{Incarnation, TargetName, Timestamp};

use crate::EntryState;

/// One attempt in the counts of its target; dropping it takes it out of them.
#[derive(Debug)]
pub(super) struct OpenAttempt {
    state: Arc<EntryState>,
    request: Arc<RouteRequest>,
    target: TargetName,
    sent: Timestamp,
    answered: bool,
}

impl OpenAttempt {
    /// Counts an attempt that is sent.
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

    /// Notes what an event of the attempt tells of its target.
    pub(super) fn watch(&mut self, event: &FlowEvent) {
        match event {
            FlowEvent::Attempt { event, .. } => self.watch_answer(event),
            FlowEvent::Interrupted(_) | FlowEvent::NotSent(_) => self.record(AttemptResult::Failed),
            _ => {}
        }
    }

    fn watch_answer(&mut self, event: &AttemptEvent) {
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
            } => self.watch_refusal(*incarnation, *reason),
            _ => {}
        }
    }

    fn watch_refusal(&self, incarnation: Incarnation, reason: NotRunReason) {
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

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        if let Some(router) = &mut self.state.routing().router {
            router.ended(&self.request, &self.target);
        }
    }
}
