//! The state machine of one request: routing, dispatch, time-outs and the final result.

use std::time::Duration;

use kumquatkeel_types::message::{Dispatch, Work};
use kumquatkeel_types::{AttemptId, ErrorCode, Incarnation, Outcome, TargetName, Timestamp};
use rand::Rng;

use super::attempt::{Attempt, AttemptProgress, AttemptState};
use super::{FlowEvent, FlowFailure, FlowSpec, FlowStep, Transcript};
use crate::retry::{Backoff, RetryBudget};
use crate::routing::RouteProgress;

/// The maximum number of attempts of one request, the first one included.
pub(super) const MAX_ATTEMPTS: u32 = 5;
/// The longest time without an event before a completion's answer counts as interrupted.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The retry delay of a failure if no target has given one.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a flow needs of its service to decide on retries.
pub struct FlowContext<'a> {
    /// The service's retry budget.
    pub budget: &'a mut RetryBudget,
    /// The delays between attempts.
    pub backoff: Backoff,
    /// The random number generator for the jitter of the delays.
    pub rng: &'a mut dyn Rng,
}

/// The state of one request over all its attempts.
#[derive(Debug, Clone)]
pub struct RequestFlow {
    pub(super) spec: FlowSpec,
    pub(super) transcript: Transcript,
    pub(super) routing: RouteProgress,
    pub(super) attempts: u32,
    pub(super) attempt: Option<Attempt>,
    pub(super) may_have_run: bool,
    pub(super) ended: bool,
    pub(super) due: Timestamp,
    pub(super) last_error: Option<(ErrorCode, Option<Duration>)>,
}

impl RequestFlow {
    /// Starts a request; the first step is [`FlowStep::Route`].
    pub fn start(spec: FlowSpec, context: &mut FlowContext<'_>) -> (Self, FlowStep) {
        context.budget.first_attempt();
        let due = spec.deadline;
        let flow = Self {
            spec,
            transcript: Transcript::default(),
            routing: RouteProgress::default(),
            attempts: 0,
            attempt: None,
            may_have_run: false,
            ended: false,
            due,
            last_error: None,
        };
        let step = FlowStep::Route(flow.routing.clone());
        (flow, step)
    }

    /// Returns the request and its limits.
    pub const fn spec(&self) -> &FlowSpec {
        &self.spec
    }

    /// Returns the tokens that have been passed on to the caller.
    pub const fn transcript(&self) -> &Transcript {
        &self.transcript
    }

    /// Returns the time at which [`FlowEvent::Timer`] is due.
    pub const fn due(&self) -> Timestamp {
        self.due
    }

    /// Returns the attempt in progress; `None` between attempts.
    pub fn attempt(&self) -> Option<&AttemptId> {
        self.attempt.as_ref().map(|a| &a.id)
    }

    /// Returns the target of the attempt in progress; `None` between attempts.
    pub fn target(&self) -> Option<&TargetName> {
        self.attempt.as_ref().map(|a| &a.target)
    }

    /// Handles an event and returns what to do next.
    ///
    /// Events of former attempts, and all events after the end of the request, are ignored.
    pub fn handle(
        &mut self,
        event: FlowEvent,
        now: Timestamp,
        context: &mut FlowContext<'_>,
    ) -> FlowStep {
        if self.ended {
            return FlowStep::Ignore;
        }
        let step = self.decide(event, now, context);
        self.ended = matches!(
            step,
            FlowStep::Finish(_) | FlowStep::Fail(_) | FlowStep::Stop
        );
        step
    }

    fn decide(
        &mut self,
        event: FlowEvent,
        now: Timestamp,
        context: &mut FlowContext<'_>,
    ) -> FlowStep {
        match event {
            FlowEvent::ProbeWanted(targets) => self.probe(targets, now),
            FlowEvent::Probed => self.probed(now),
            FlowEvent::Chosen {
                target,
                incarnation,
            } => self.dispatch(target, incarnation, now),
            FlowEvent::NoTarget => self.no_target(now, context),
            FlowEvent::NotSent(id) if self.is_current(&id) => self.not_sent(now, context),
            FlowEvent::Attempt { attempt, event } if self.is_current(&attempt) => {
                self.attempt_event(event, now, context)
            }
            FlowEvent::Interrupted(id) if self.is_current(&id) => self.interrupted(now, context),
            FlowEvent::Fenced { attempt, reply } if self.is_fencing(&attempt) => {
                self.fenced(reply, now, context)
            }
            FlowEvent::FenceFailed(id) if self.is_fencing(&id) => self.poll_fence_later(now),
            FlowEvent::Timer => self.timer(now, context),
            FlowEvent::CallerLeft => self.caller_left(),
            _ => FlowStep::Ignore,
        }
    }

    pub(super) fn is_current(&self, id: &AttemptId) -> bool {
        self.attempt
            .as_ref()
            .is_some_and(|a| a.id == *id && a.state != AttemptState::Fencing)
    }

    fn is_fencing(&self, id: &AttemptId) -> bool {
        self.attempt
            .as_ref()
            .is_some_and(|a| a.id == *id && a.state == AttemptState::Fencing)
    }

    fn probe(&self, targets: Vec<TargetName>, now: Timestamp) -> FlowStep {
        if self.attempt.is_some() {
            return FlowStep::Ignore;
        }
        if now >= self.spec.deadline {
            return self.fail(ErrorCode::Deadline, "the deadline has passed");
        }
        FlowStep::Probe(targets)
    }

    fn probed(&mut self, now: Timestamp) -> FlowStep {
        if self.attempt.is_some() {
            return FlowStep::Ignore;
        }
        if now >= self.spec.deadline {
            return self.fail(ErrorCode::Deadline, "the deadline has passed");
        }
        self.routing.probe_rounds += 1;
        FlowStep::Route(self.routing.clone())
    }

    fn dispatch(
        &mut self,
        target: TargetName,
        incarnation: Option<Incarnation>,
        now: Timestamp,
    ) -> FlowStep {
        if self.attempt.is_some() {
            return FlowStep::Ignore;
        }
        let Some(remaining) = self.time_left(now) else {
            return self.fail(ErrorCode::Deadline, "the deadline has passed");
        };
        self.attempts += 1;
        let id = AttemptId {
            request: self.spec.id.clone(),
            number: self.attempts,
        };
        let dispatch = Dispatch {
            attempt: id.clone(),
            incarnation,
            service: self.spec.service.clone(),
            priority: self.spec.priority,
            deadline_ms: remaining.as_millis() as u64,
            first_token_ms: self.spec.first_token.min(remaining).as_millis() as u64,
            work: self.work(),
        };
        self.attempt = Some(Attempt::new(id, target.clone(), incarnation));
        self.due = self.next_due(now);
        FlowStep::Dispatch {
            target,
            dispatch: Box::new(dispatch),
        }
    }

    /// Returns the work of the next attempt; a completion resumes after the tokens passed on.
    fn work(&self) -> Work {
        let mut work = self.spec.work.clone();
        if let Work::Completion(completion) = &mut work {
            completion.resume = self.transcript.tokens().to_vec();
        }
        work
    }

    fn no_target(&mut self, now: Timestamp, context: &mut FlowContext<'_>) -> FlowStep {
        if self.attempt.is_some() {
            return FlowStep::Ignore;
        }
        let has_tried = !self.routing.tried.is_empty();
        if has_tried && self.may_have_run && self.attempts < MAX_ATTEMPTS {
            self.routing = RouteProgress::default();
            return self.back_off(now, context);
        }
        let (code, after) = self.last_error.unwrap_or((ErrorCode::Unavailable, None));
        let mut failure = self.failure(code, "no target can take the request now");
        failure.retry_after = after.or(Some(RETRY_AFTER));
        FlowStep::Fail(failure)
    }

    fn timer(&mut self, now: Timestamp, context: &mut FlowContext<'_>) -> FlowStep {
        if now >= self.spec.deadline {
            return self.deadline_passed();
        }
        if now < self.due {
            return FlowStep::Ignore;
        }
        match self.attempt.as_ref().map(|a| a.state) {
            None => FlowStep::Route(self.routing.clone()),
            Some(AttemptState::Fencing) => self.request_fence(),
            Some(AttemptState::Sent | AttemptState::Accepted) => self.interrupted(now, context),
        }
    }

    pub(super) fn await_event(&mut self, now: Timestamp) -> FlowStep {
        self.due = self.next_due(now);
        FlowStep::Await
    }

    fn deadline_passed(&mut self) -> FlowStep {
        FlowStep::Fail(self.end(AttemptProgress::Sent, ErrorCode::Deadline))
    }

    /// Ends the request, whatever it waits for, and returns its failure.
    ///
    /// An attempt in progress counts as one that may have run, unless it was certainly not sent.
    pub fn end(&mut self, progress: AttemptProgress, code: ErrorCode) -> FlowFailure {
        self.ended = true;
        self.may_have_run |= self.attempt.is_some() && progress == AttemptProgress::Sent;
        let message = match code {
            ErrorCode::Draining => "this entry is stopping",
            _ => "the deadline has passed",
        };
        self.failure(code, message)
    }

    /// Returns the time that is left until the deadline; `None` if it has passed.
    pub fn time_left(&self, now: Timestamp) -> Option<Duration> {
        let left = self.spec.deadline.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Stops, unless an attempt of a call that is not idempotent is in progress: its end must still
    /// be recorded.
    fn caller_left(&self) -> FlowStep {
        if self.attempt.is_some() && !self.spec.may_repeat() {
            return FlowStep::Ignore;
        }
        FlowStep::Stop
    }

    /// Returns the latest time for the next event of the attempt.
    pub(super) fn next_due(&self, now: Timestamp) -> Timestamp {
        match self.spec.work {
            Work::Completion(_) => now.after(STALL_TIMEOUT).min(self.spec.deadline),
            Work::Plain(_) => self.spec.deadline,
        }
    }

    pub(super) fn fail(&self, code: ErrorCode, message: &str) -> FlowStep {
        FlowStep::Fail(self.failure(code, message))
    }

    pub(super) fn failure(&self, code: ErrorCode, message: impl Into<String>) -> FlowFailure {
        let outcome = if self.may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        FlowFailure {
            outcome,
            code,
            message: message.into(),
            retry_after: Some(RETRY_AFTER),
        }
    }
}
