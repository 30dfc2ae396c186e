//! The course of one request: choose, send, wait, resend, refuse or answer.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use http::{Response, StatusCode};
use kumquatkeel_core::serving::{
    AttemptEnd, CallKind, CallerRequest, Recovery, RefusalReason, Route, TargetId, after_attempt,
};
use tokio::time::{Instant, timeout_at};

use super::answer::{AnswerBody, not_run, plain, whole};
use super::attempt::{Answer, AttemptFailure, AttemptPlan, Outgoing, attempt, read_whole};
use super::relay::Relay;
use super::selection::Next;
use super::state::Shared;

/// Share of the caller's remaining time that a refusal may ask for.
const RETRY_SHARE: f64 = 0.33;

/// One request of a caller.
pub(super) struct Exchange {
    pub(super) shared: Arc<Shared>,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<str>,
    pub(super) request: CallerRequest,
    pub(super) outgoing: Outgoing,
    pub(super) arrival: Instant,
    pub(super) deadline: Instant,
    pub(super) version: u64,
    /// Targets that the request was sent to.
    pub(super) tried: Vec<TargetId>,
    /// Sends that may have run.
    pub(super) runs: u8,
    pub(super) sends: u8,
    pub(super) waited: bool,
    pub(super) outcome: Option<&'static str>,
}

impl Exchange {
    /// Takes in a request that a route allows.
    pub(super) fn new(
        shared: Arc<Shared>,
        (route, service): (Arc<Route>, Arc<str>),
        request: CallerRequest,
        outgoing: Outgoing,
        (arrival, version): (Instant, u64),
    ) -> Self {
        let timeout = request.timeout.unwrap_or(route.deadline);
        Self {
            deadline: arrival + route.deadline.min(timeout),
            shared,
            route,
            service,
            request,
            outgoing,
            arrival,
            version,
            tried: Vec::new(),
            runs: 0,
            sends: 0,
            waited: false,
            outcome: None,
        }
    }

    /// Returns the end of the request's time.
    pub(super) const fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Says whether a broken stream may continue elsewhere.
    pub(super) fn is_resumable(&self) -> bool {
        self.route.resumable
    }

    /// Notes the outcome for the log.
    pub(super) fn finish(&mut self, outcome: &'static str) {
        self.outcome = Some(outcome);
    }

    /// Waits until a target stands still, if the stream could then go on elsewhere.
    pub(super) async fn stall(&self, target: &TargetId) {
        if !self.is_resumable() || self.runs >= self.route.attempts {
            return std::future::pending().await;
        }
        self.shared.stall(target).await;
    }

    /// Records the first byte of a stream.
    pub(super) fn first_byte(&self, target: &TargetId, predicted: Duration, sent: Instant) {
        let seen = sent.elapsed();
        let mut state = self.shared.lock();
        // The path cost of other regions counts bytes as time, so their samples say little.
        let near = state
            .objects
            .table
            .get(target)
            .is_some_and(|t| !self.shared.is_remote(&t.data_centre));
        if let Some(model) = self.request.model.as_ref().filter(|_| near) {
            state
                .estimator
                .record(model, self.request.usage.prompt, predicted, seen);
        }
        drop(state);
        self.shared.instruments.record_first_byte(predicted, seen);
        log::info!(
            request:% = self.request.attempt, predicted_ms = millis(predicted),
            seen_ms = millis(seen), age_ms = millis(self.arrival.elapsed());
            "first event"
        );
    }

    /// Serves the request.
    pub(super) async fn run(mut self) -> io::Result<Response<AnswerBody>> {
        {
            let now = self.shared.now();
            let mut state = self.shared.lock();
            state
                .quota(&self.service, &self.shared.settings)
                .record_request(now);
            if let Some(model) = &self.request.model {
                let work = state.estimator.prefill(model, self.request.usage.prompt);
                state.demand.record(model, work);
            }
        }
        let mut changed = self.shared.changed.subscribe();
        loop {
            if !self.is_admitted_while_draining() {
                return Ok(self.refuse(RefusalReason::Draining, Duration::ZERO));
            }
            if Instant::now() >= self.deadline {
                return Ok(self.expire());
            }
            changed.mark_unchanged();
            self.count_work().await;
            match self.next() {
                Next::Refuse(reason, retry_after) => return Ok(self.refuse(reason, retry_after)),
                Next::Wait(limit) => {
                    self.waited = true;
                    let until = (Instant::now() + limit).min(self.deadline);
                    // Both ends of the wait lead to a new decision.
                    let _ = timeout_at(until, changed.changed()).await;
                }
                Next::AwaitModel(limit) => {
                    self.waited = true;
                    let until = (Instant::now() + limit).min(self.deadline);
                    self.wait_for_model(&mut changed, until).await;
                }
                Next::Send(plan) => {
                    let response = match self.send(plan).await {
                        Ok(answer) => self.answer(answer).await,
                        Err(failure) => self.recover(&failure, None),
                    };
                    if let Some(response) = response {
                        return Ok(response);
                    }
                }
            }
        }
    }

    /// Continues a stream after the last event that the caller has.
    pub(super) async fn resume(&mut self, last_event: Option<u64>, reason: &str) -> Option<Answer> {
        loop {
            let (now, entries) = (self.shared.now(), self.shared.lock().entries());
            let left = self.route.attempts.saturating_sub(self.runs);
            let allowed = left > 0 && {
                let mut state = self.shared.lock();
                state
                    .quota(&self.service, &self.shared.settings)
                    .try_resend(now, entries)
            };
            log::info!(
                request:% = self.request.attempt, reason, last_event:serde, allowed;
                "stream broken off"
            );
            if !allowed || Instant::now() >= self.deadline {
                return None;
            }
            let Next::Send(mut plan) = self.next() else {
                return None;
            };
            plan.terms.resume_after = last_event;
            match self.send(plan).await {
                Ok(answer) if answer.success => return Some(answer),
                Ok(_) => return None,
                Err(failure) if failure.end == AttemptEnd::Lost => return None,
                Err(_) => {}
            }
        }
    }

    async fn send(&mut self, plan: AttemptPlan) -> Result<Answer, AttemptFailure> {
        let target = plan.target.id.clone();
        self.tried.push(target.clone());
        self.sends += 1;
        let result = tokio::select! {
            result = attempt(&self.shared, &self.outgoing, plan) => result,
            () = self.shared.stall(&target) => Err(AttemptFailure {
                end: AttemptEnd::Lost,
                reason: "the target stands still".to_owned(),
            }),
            () = self.shared.end_of_drain() => Err(AttemptFailure {
                end: AttemptEnd::Lost,
                reason: "the process stops".to_owned(),
            }),
        };
        match &result {
            Ok(_) => self.runs += 1,
            Err(failure) => {
                self.runs += u8::from(failure.end == AttemptEnd::Lost);
                log::info!(
                    request:% = self.request.attempt, target_id:% = target,
                    end:? = failure.end, reason = failure.reason;
                    "attempt failed"
                );
            }
        }
        result
    }

    /// Turns an accepted answer into the caller's; `None` means that the request goes on.
    async fn answer(&mut self, answer: Answer) -> Option<Response<AnswerBody>> {
        let headers = self.shared.dialect.relay_headers(&answer.headers);
        let status = answer.status;
        let mut response = if answer.success && self.route.kind == CallKind::Stream {
            let exchange = self.take();
            Response::new(Relay::body(exchange, answer))
        } else {
            let Some(body) = read_whole(answer.body, self.deadline).await else {
                let failure = AttemptFailure {
                    end: AttemptEnd::Lost,
                    reason: "the answer broke off".to_owned(),
                };
                return self.recover(&failure, None);
            };
            answer.lease.release();
            if !answer.success {
                let failure = AttemptFailure {
                    end: AttemptEnd::Failed,
                    reason: format!("target answered {status}"),
                };
                let mut response = Response::new(whole(body));
                *response.status_mut() = status;
                *response.headers_mut() = headers;
                return self.recover(&failure, Some(response));
            }
            self.shared
                .instruments
                .record_first_byte(answer.predicted, answer.sent.elapsed());
            self.finish("served");
            Response::new(whole(body))
        };
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        Some(response)
    }

    /// Decides what follows a failed attempt; `None` means that the request goes on.
    fn recover(
        &mut self,
        failure: &AttemptFailure,
        passed: Option<Response<AnswerBody>>,
    ) -> Option<Response<AnswerBody>> {
        let now = self.shared.now();
        let left = self.resends_left(failure.end);
        let mut recovery = after_attempt(self.route.kind, failure.end, self.runs > 0, left);
        let mut state = self.shared.lock();
        let entries = state.entries();
        let quota = state.quota(&self.service, &self.shared.settings);
        if recovery == Recovery::Resend && !quota.try_resend(now, entries) {
            recovery = after_attempt(self.route.kind, failure.end, self.runs > 0, 0);
        }
        drop(state);
        log::info!(
            request:% = self.request.attempt, recovery:? = recovery, runs = self.runs,
            sends = self.sends, reason = failure.reason;
            "recovery"
        );
        match recovery {
            Recovery::Resend => None,
            Recovery::Reject => {
                Some(self.refuse(RefusalReason::NoTarget, Duration::from_millis(200)))
            }
            Recovery::PassFailure if passed.is_some() => {
                self.finish("target_failed");
                passed
            }
            Recovery::PassFailure | Recovery::Fail => {
                self.finish("unknown_outcome");
                Some(plain(StatusCode::BAD_GATEWAY, "the outcome is unknown\n"))
            }
        }
    }

    /// Returns how many further targets may be sent to.
    fn resends_left(&self, end: AttemptEnd) -> u8 {
        let left = self.route.attempts.saturating_sub(self.runs);
        match end {
            // A request that was never read may go elsewhere, once more than the route's attempts.
            AttemptEnd::NotSent | AttemptEnd::NotRun if self.sends <= self.route.attempts => {
                left.max(1)
            }
            AttemptEnd::NotSent | AttemptEnd::NotRun => 0,
            AttemptEnd::Failed | AttemptEnd::Lost => left,
        }
    }

    fn refuse(&mut self, reason: RefusalReason, retry_after: Duration) -> Response<AnswerBody> {
        if self.runs > 0 {
            self.finish("unknown_outcome");
            return plain(StatusCode::BAD_GATEWAY, "the outcome is unknown\n");
        }
        let left = self.deadline.saturating_duration_since(Instant::now());
        let retry_after = retry_after.min(left.mul_f64(RETRY_SHARE));
        let name = match reason {
            RefusalReason::NoTarget => "no_target",
            RefusalReason::ModelAbsent => "model_absent",
            RefusalReason::Overload => "overload",
            RefusalReason::Draining => "draining",
        };
        self.shared.instruments.record_refusal(name);
        log::info!(
            request:% = self.request.attempt, reason = name, config = self.version,
            model = self.request.model.as_deref().unwrap_or(""),
            retry_after_ms = millis(retry_after), left_ms = millis(left);
            "refused"
        );
        self.finish("refused");
        not_run("not run; come back later\n", retry_after)
    }

    fn expire(&mut self) -> Response<AnswerBody> {
        self.finish("expired");
        plain(StatusCode::GATEWAY_TIMEOUT, "the deadline has passed\n")
    }

    /// Moves the request into a relay, which reports its outcome.
    fn take(&mut self) -> Self {
        let outcome = self.outcome.replace("relayed");
        Self {
            shared: self.shared.clone(),
            route: self.route.clone(),
            service: self.service.clone(),
            request: self.request.clone(),
            outgoing: self.outgoing.clone(),
            tried: self.tried.clone(),
            outcome,
            ..*self
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let outcome = self.outcome.unwrap_or("caller_left");
        if outcome == "relayed" {
            return;
        }
        let duration = self.arrival.elapsed();
        self.shared.instruments.record_request(outcome, duration);
        log::info!(
            request:% = self.request.attempt, route:% = self.route.name, outcome,
            sends = self.sends, duration_ms = millis(duration);
            "request ended"
        );
    }
}

/// Returns a duration in milliseconds, for the logs.
pub(super) fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
