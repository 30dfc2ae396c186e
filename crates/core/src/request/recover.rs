//! Recovery from an attempt without a complete answer: fence, back-off and retry.

use std::time::Duration;

use kumquatkeel_types::message::FenceReply;
use kumquatkeel_types::{ErrorCode, Timestamp};

use super::attempt::AttemptState;
use super::flow::{MAX_ATTEMPTS, RETRY_AFTER};
use super::{FlowAnswer, FlowContext, FlowFailure, FlowStep, RequestFlow};
use crate::retry::BudgetStep;

/// The delay between two fence requests to an agent whose attempt still runs.
const FENCE_POLL_INTERVAL: Duration = Duration::from_millis(200);

impl RequestFlow {
    pub(super) fn not_sent(&mut self, now: Timestamp, context: &mut FlowContext<'_>) -> FlowStep {
        self.exclude_target();
        self.last_error = Some((ErrorCode::Unavailable, None));
        self.retry(now, context, true)
    }

    /// Handles an interrupted answer: retries if the work may be repeated, else fences the attempt.
    pub(super) fn interrupted(
        &mut self,
        now: Timestamp,
        context: &mut FlowContext<'_>,
    ) -> FlowStep {
        self.may_have_run = true;
        if self.spec.may_repeat() {
            self.exclude_target();
            self.last_error = Some((ErrorCode::Interrupted, None));
            return self.retry(now, context, true);
        }
        let Some(attempt) = &mut self.attempt else {
            return FlowStep::Ignore;
        };
        attempt.state = AttemptState::Fencing;
        self.request_fence()
    }

    pub(super) fn request_fence(&self) -> FlowStep {
        let fence = self.attempt.as_ref().and_then(|attempt| {
            Some(FlowStep::Fence {
                target: attempt.target.clone(),
                request: attempt.fence_request()?,
            })
        });
        fence.unwrap_or_else(|| self.fail(ErrorCode::Interrupted, "the answer was cut off"))
    }

    pub(super) fn poll_fence_later(&mut self, now: Timestamp) -> FlowStep {
        if now >= self.spec.deadline {
            return self.fail(ErrorCode::Interrupted, "the answer was cut off");
        }
        self.due = now.after(FENCE_POLL_INTERVAL).min(self.spec.deadline);
        FlowStep::Backoff
    }

    pub(super) fn fenced(
        &mut self,
        reply: FenceReply,
        now: Timestamp,
        context: &mut FlowContext<'_>,
    ) -> FlowStep {
        match reply {
            FenceReply::NotRun => {
                self.may_have_run = false;
                self.exclude_target();
                self.last_error = Some((ErrorCode::Unavailable, None));
                self.retry(now, context, true)
            }
            FenceReply::Running => self.poll_fence_later(now),
            FenceReply::Answered {
                status,
                content_type,
                body,
            } => FlowStep::Finish(FlowAnswer::Plain {
                status,
                content_type,
                body,
            }),
            FenceReply::Unknown | FenceReply::WrongIncarnation { .. } => {
                self.fail(ErrorCode::Interrupted, "the answer was cut off")
            }
        }
    }

    /// Starts the next attempt if the limit of attempts allows it and, with `costs_budget`, the
    /// retry budget too.
    pub(super) fn retry(
        &mut self,
        now: Timestamp,
        context: &mut FlowContext<'_>,
        costs_budget: bool,
    ) -> FlowStep {
        self.routing.probe_rounds = 0;
        let exhausted = self.attempts >= MAX_ATTEMPTS
            || (costs_budget && context.budget.retry() == BudgetStep::Exhausted);
        if exhausted {
            let (code, after) = self.last_error.unwrap_or((ErrorCode::Unavailable, None));
            let failure = self.failure(code, "the retries are used up");
            return FlowStep::Fail(FlowFailure {
                retry_after: after.or(Some(RETRY_AFTER)),
                ..failure
            });
        }
        if self.routing.hint.is_some() || !costs_budget {
            return FlowStep::Route(self.routing.clone());
        }
        self.back_off(now, context)
    }

    pub(super) fn back_off(&mut self, now: Timestamp, context: &mut FlowContext<'_>) -> FlowStep {
        let until = now.after(context.backoff.delay(self.attempts, context.rng));
        if until >= self.spec.deadline {
            return self.fail(ErrorCode::Deadline, "the deadline leaves no time to retry");
        }
        self.due = until;
        FlowStep::Backoff
    }

    pub(super) fn exclude_target(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            self.routing.tried.push(attempt.target);
        }
    }
}
