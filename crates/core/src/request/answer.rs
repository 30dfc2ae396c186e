//! Transitions on the events of an attempt's answer.

use std::time::Duration;

use kumquatkeel_types::message::{AttemptEvent, FinishReason, NotRunReason};
use kumquatkeel_types::{AttemptId, ErrorCode, Incarnation, Timestamp};

use super::attempt::{Attempt, AttemptState};
use super::flow::RETRY_AFTER;
use super::{FlowAnswer, FlowContext, FlowFailure, FlowStep, RequestFlow, TokenStep};

impl RequestFlow {
    pub(super) fn attempt_event(
        &mut self,
        event: AttemptEvent,
        now: Timestamp,
        context: &mut FlowContext<'_>,
    ) -> FlowStep {
        if attempt_of(&event).is_some_and(|id| !self.is_current(id)) {
            return FlowStep::Ignore;
        }
        match event {
            AttemptEvent::Accepted { incarnation, .. } => self.accepted(incarnation, now, context),
            AttemptEvent::NotRun {
                incarnation,
                reason,
                hint,
                retry_after_ms,
                ..
            } => {
                if !self.proves_not_run(incarnation, reason) {
                    return self.interrupted(now, context);
                }
                self.routing.hint = hint;
                let after = retry_after_ms.map(Duration::from_millis);
                self.refused(reason, after, now, context)
            }
            _ if !self.is_accepted() => self.interrupted(now, context),
            AttemptEvent::Token { index, text } => self.token(index, text, now, context),
            AttemptEvent::Finished { reason, tokens, .. } => {
                self.finished(reason, tokens, now, context)
            }
            AttemptEvent::Answered {
                status,
                content_type,
                body,
                ..
            } => FlowStep::Finish(FlowAnswer::Plain {
                status,
                content_type,
                body,
            }),
            AttemptEvent::Failed { code, message, .. } => self.failed(code, message, now, context),
        }
    }

    fn is_accepted(&self) -> bool {
        self.attempt
            .as_ref()
            .is_some_and(|a| a.state == AttemptState::Accepted)
    }

    fn accepted(
        &mut self,
        incarnation: Incarnation,
        now: Timestamp,
        context: &mut FlowContext<'_>,
    ) -> FlowStep {
        let Some(attempt) = &mut self.attempt else {
            return FlowStep::Ignore;
        };
        if attempt
            .incarnation
            .is_some_and(|known| known != incarnation)
        {
            return self.interrupted(now, context);
        }
        attempt.incarnation = Some(incarnation);
        attempt.state = AttemptState::Accepted;
        self.await_event(now)
    }

    fn proves_not_run(&self, incarnation: Incarnation, reason: NotRunReason) -> bool {
        let wrong_incarnation = reason == NotRunReason::WrongIncarnation;
        let proven = |a: &Attempt| a.proves_not_run(incarnation, wrong_incarnation);
        self.attempt.as_ref().is_some_and(proven)
    }

    fn refused(
        &mut self,
        reason: NotRunReason,
        after: Option<Duration>,
        now: Timestamp,
        context: &mut FlowContext<'_>,
    ) -> FlowStep {
        match reason {
            NotRunReason::WrongIncarnation => self.attempt = None,
            _ => self.exclude_target(),
        }
        self.last_error = Some((error_code(reason), after));
        if reason == NotRunReason::Deadline && self.routing.hint.is_none() {
            let failure = self.failure(ErrorCode::Deadline, "the deadline can't be met");
            return FlowStep::Fail(FlowFailure {
                retry_after: after.or(Some(RETRY_AFTER)),
                ..failure
            });
        }
        self.retry(now, context, costs_budget(reason))
    }

    fn token(
        &mut self,
        index: u32,
        text: String,
        now: Timestamp,
        context: &mut FlowContext<'_>,
    ) -> FlowStep {
        match self.transcript.push(index, &text) {
            TokenStep::Duplicate => FlowStep::Ignore,
            TokenStep::Gap => self.interrupted(now, context),
            TokenStep::Next => {
                if let Some(attempt) = &mut self.attempt {
                    attempt.received_token = true;
                }
                self.due = self.next_due(now);
                FlowStep::Emit { index, text }
            }
        }
    }

    fn finished(
        &mut self,
        reason: FinishReason,
        tokens: u32,
        now: Timestamp,
        context: &mut FlowContext<'_>,
    ) -> FlowStep {
        if tokens != self.transcript.len() {
            return self.interrupted(now, context);
        }
        FlowStep::Finish(FlowAnswer::Completed { reason, tokens })
    }

    fn failed(
        &mut self,
        code: ErrorCode,
        message: String,
        now: Timestamp,
        context: &mut FlowContext<'_>,
    ) -> FlowStep {
        self.may_have_run = true;
        self.exclude_target();
        if !self.spec.may_repeat() {
            return FlowStep::Fail(self.failure(code, message));
        }
        self.last_error = Some((code, None));
        self.retry(now, context, true)
    }
}

/// Returns the attempt that an event names; a token names none.
const fn attempt_of(event: &AttemptEvent) -> Option<&AttemptId> {
    match event {
        AttemptEvent::Accepted { attempt, .. }
        | AttemptEvent::NotRun { attempt, .. }
        | AttemptEvent::Finished { attempt, .. }
        | AttemptEvent::Answered { attempt, .. }
        | AttemptEvent::Failed { attempt, .. } => Some(attempt),
        AttemptEvent::Token { .. } => None,
    }
}

const fn error_code(reason: NotRunReason) -> ErrorCode {
    match reason {
        NotRunReason::Busy => ErrorCode::Overloaded,
        NotRunReason::Deadline => ErrorCode::Deadline,
        _ => ErrorCode::Unavailable,
    }
}

/// Returns whether a retry after this refusal counts against the retry budget.
///
/// A refusal that only shows that the entry's view of the target was outdated costs the agent next
/// to nothing.
const fn costs_budget(reason: NotRunReason) -> bool {
    !matches!(
        reason,
        NotRunReason::Draining | NotRunReason::NotResident | NotRunReason::WrongIncarnation
    )
}
