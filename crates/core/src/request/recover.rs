//! What follows on an attempt that did not bring a whole answer.

use std::time::Duration;

use kumquatkeel_types::message::FenceReply;
use kumquatkeel_types::{ErrorCode, Timestamp};

use super::attempt::AttemptState;
use super::flow::{MAX_ATTEMPTS, RETRY_AFTER};
use super::{FlowAnswer, FlowContext, FlowFailure, FlowStep, RequestFlow};
use crate::retry::BudgetStep;

/// Pause between two questions to an agent whose attempt still runs.
const FENCE_PAUSE: Duration = Duration::from_millis(200);

impl RequestFlow {
    pub(super) fn not_sent(&mut self, now: Timestamp, context: &mut FlowContext<'_>) -> FlowStep {
        self.give_up_target();
        self.last = Some((ErrorCode::Unavailable, None));
        self.again(now, context, true)
    }

    /// Goes on after an answer that broke off.
    pub(super) fn cut(&mut self, now: Timestamp, context: &mut FlowContext<'_>) -> FlowStep {
        self.may_have_run = true;
        if self.spec.may_repeat() {
            self.give_up_target();
            self.last = Some((ErrorCode::Interrupted, None));
            return self.again(now, context, true);
        }
        let Some(attempt) = &mut self.attempt else {
            return FlowStep::Ignore;
        };
        attempt.state = AttemptState::Fencing;
        self.ask_fence()
    }

    pub(super) fn ask_fence(&self) -> FlowStep {
        let fence = self.attempt.as_ref().and_then(|attempt| {
            Some(FlowStep::Fence {
                target: attempt.target.clone(),
                request: attempt.fence()?,
            })
        });
        fence.unwrap_or_else(|| self.fail(ErrorCode::Interrupted, "the answer was cut off"))
    }

    pub(super) fn wait_for_fence(&mut self, now: Timestamp) -> FlowStep {
        if now >= self.spec.deadline {
            return self.fail(ErrorCode::Interrupted, "the answer was cut off");
        }
        self.due = now.after(FENCE_PAUSE).min(self.spec.deadline);
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
                self.give_up_target();
                self.last = Some((ErrorCode::Unavailable, None));
                self.again(now, context, true)
            }
            FenceReply::Running => self.wait_for_fence(now),
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

    /// Makes the next attempt if the limits and the budget allow it.
    pub(super) fn again(
        &mut self,
        now: Timestamp,
        context: &mut FlowContext<'_>,
        costs: bool,
    ) -> FlowStep {
        self.routing.probe_rounds = 0;
        let exhausted = self.attempts >= MAX_ATTEMPTS
            || (costs && context.budget.retry() == BudgetStep::Exhausted);
        if exhausted {
            let (code, after) = self.last.unwrap_or((ErrorCode::Unavailable, None));
            let failure = self.failure(code, "the retries are used up");
            return FlowStep::Fail(FlowFailure {
                retry_after: after.or(Some(RETRY_AFTER)),
                ..failure
            });
        }
        if self.routing.hint.is_some() || !costs {
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

    pub(super) fn give_up_target(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            self.routing.tried.push(attempt.target);
        }
    }
}
