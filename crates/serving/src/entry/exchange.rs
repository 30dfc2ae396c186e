//! Drives one caller's request: selects a target, sends, waits, resends, refuses or responds.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use http::header::HOST;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use hyper::body::Incoming;
use kumquatkeel_core::quarantine::{QuarantineCheck, RequestDigest, Suspect, Trial};
use kumquatkeel_core::response::Framing;
use kumquatkeel_core::serving::{
    Account, AttemptEnd, CallKind, CallerRequest, Identity, Recovery, RefusalReason, RequestPhase,
    Route, StreamScope, TargetId, after_attempt, may_run_again, spread_retry_after,
};
use kumquatkeel_types::Timestamp;
use tokio::time::{Instant, timeout};

use super::account::Charge;
use super::attempt::{
    AttemptFailure, AttemptPlan, OutgoingRequest, StreamForm, TargetResponse, read_full_body,
    run_attempt,
};
use super::open_requests::{OpenRequestGuard, Stage};
use super::quarantine::RunEnd;
use super::relay::Relay;
use super::response::{
    ResponseBody, buffered_body, not_run_response, over_limit_response, text_response,
    unauthorized_response,
};
use super::selection::Step;
use super::state::{Shared, State};
use super::time_limit::{TimeEnd, TimeLimit};
use kumquatkeel_daemon::buffer::BufferedBody;

/// Largest `Retry-After` of a refusal, as a share of the caller's remaining time.
const MAX_RETRY_AFTER_SHARE: f64 = 0.33;

/// Demand for an engine's time as a multiple of the prefill time, where admission leaves engines pauses to
/// decode: prefill then takes about three quarters of their time.
const PACED_DEMAND: f64 = 4.0 / 3.0;

/// `Retry-After` of a stream that can go on once targets of a single software version are left.
const ORIGIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What follows the preparation of an attempt.
enum Prepared {
    Send(Box<AttemptPlan>),
    Respond(Response<ResponseBody>),
}

/// What to do with a request right before it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SendCheck {
    Send,
    /// Decide on the request again.
    Decide,
    /// The request's key has been removed.
    RejectKey,
}

/// What the configuration in force says of a request.
pub(super) struct RoutedRequest {
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<str>,
    pub(super) account: Option<Arc<Account>>,
    /// The version of the configuration.
    pub(super) config_version: u64,
}

/// One caller's request from its arrival to the end of the response.
pub(super) struct Exchange {
    pub(super) shared: Arc<Shared>,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<str>,
    /// The account on whose behalf the request is sent; `None` for none.
    pub(super) account: Option<Arc<Account>>,
    pub(super) request: CallerRequest,
    pub(super) outgoing: OutgoingRequest,
    pub(super) arrival: Instant,
    pub(super) limit: TimeLimit,
    /// How far the request is when an attempt is prepared.
    pub(super) phase: RequestPhase,
    /// Keeps the request among the open ones; the relay of a stream shares it.
    open: Arc<OpenRequestGuard>,
    /// The version of the configuration by which the request was routed, or identified again since.
    pub(super) config_version: u64,
    /// The targets at which the stream may begin or go on.
    pub(super) scope: StreamScope,
    /// The targets of all attempts so far.
    pub(super) tried: Vec<TargetId>,
    /// Attempts that may have run at their target, besides the current one.
    pub(super) runs: u8,
    /// Whether the current attempt may have reached its target.
    may_run: Arc<AtomicBool>,
    /// All attempts, also those that were not sent or not run.
    pub(super) sends: u8,
    /// Runs that ended with the connection to their target.
    pub(super) broken_runs: u8,
    /// Whether the request has waited for a model or an adapter.
    pub(super) waited: bool,
    /// What was paid for the request out of its account's limit; `None` if it has none or nothing is paid
    /// yet.
    pub(super) charge: Option<Charge>,
    /// Drawn once for all decisions on whether the request may leave its data centre.
    pub(super) leave_draw: f64,
    /// The trials that were granted to the request and not made.
    trials: Vec<Trial>,
    /// What a crash under the request may be blamed on; empty until it is asked for.
    suspects: OnceLock<Arc<[Suspect]>>,
    /// The outcome for logs and metrics; `None` until it is decided.
    pub(super) outcome: Option<&'static str>,
}

impl Exchange {
    /// Starts an exchange for a request that matches a route.
    pub(super) fn new(
        shared: Arc<Shared>,
        routed: RoutedRequest,
        request: CallerRequest,
        outgoing: OutgoingRequest,
        open: OpenRequestGuard,
    ) -> Self {
        let RoutedRequest {
            route,
            service,
            account,
            config_version,
        } = routed;
        let timeout = request.timeout.unwrap_or(route.deadline);
        let arrival = open.request().arrival;
        Self {
            limit: TimeLimit::new(shared.clone(), arrival + route.deadline.min(timeout)),
            phase: RequestPhase::Waiting,
            shared,
            route,
            service,
            account,
            request,
            outgoing,
            arrival,
            open: Arc::new(open),
            config_version,
            scope: StreamScope::Any,
            tried: Vec::new(),
            runs: 0,
            may_run: Arc::default(),
            sends: 0,
            broken_runs: 0,
            waited: false,
            charge: None,
            leave_draw: rand::random(),
            trials: Vec::new(),
            suspects: OnceLock::new(),
            outcome: None,
        }
    }

    /// Returns what a crash under the request may be blamed on: the request itself, and the shared parts
    /// of its prompt.
    pub(super) fn suspects(&self) -> &Arc<[Suspect]> {
        self.suspects.get_or_init(|| {
            let request = Suspect::Request(self.digest());
            let parts = self.request.parts.iter().cloned();
            std::iter::once(request).chain(parts).collect()
        })
    }

    /// Returns the identity of the request: its method, host, path with query, caller and body.
    fn digest(&self) -> RequestDigest {
        let outgoing = &self.outgoing;
        let host = outgoing.headers.get(HOST).map(HeaderValue::as_bytes);
        let path = outgoing.uri.path_and_query().map(PathAndQuery::as_str);
        let mut fields = vec![
            outgoing.method.as_str().as_bytes(),
            host.unwrap_or_default(),
            path.unwrap_or_default().as_bytes(),
            &outgoing.body,
        ];
        fields.extend(self.shared.dialect.caller_identity(&outgoing.headers));
        // Two accounts never share a verdict.
        fields.extend(self.account.as_ref().map(|account| account.name.as_bytes()));
        RequestDigest::of(fields)
    }

    pub(super) const fn deadline(&self) -> Instant {
        self.limit.deadline()
    }

    /// Returns whether a stream that breaks may be resumed at another target.
    pub(super) fn is_resumable(&self) -> bool {
        self.route.resumable
    }

    /// Records what the request waits for from now on.
    pub(super) fn enter(&self, stage: Stage) {
        self.open.enter(stage);
    }

    /// Sets the outcome that is logged and counted when the exchange is dropped.
    pub(super) fn set_outcome(&mut self, outcome: &'static str) {
        self.outcome = Some(outcome);
    }

    /// Waits until a target stalls; never returns if the stream can't be resumed elsewhere.
    pub(super) async fn wait_until_stalled(&self, target: &TargetId, sent: Instant) {
        if !self.is_resumable() || self.runs >= self.route.attempts {
            return std::future::pending().await;
        }
        self.shared.wait_until_stalled(target, sent).await;
    }

    /// Records the time to the first byte of a stream, also as a sample of the prefill estimate.
    pub(super) fn record_first_byte(&self, target: &TargetId, predicted: Duration, sent: Instant) {
        let seen = sent.elapsed();
        let mut state = self.shared.lock();
        // The path cost to other regions includes the price of the bytes as time, so samples from
        // there would distort the prefill estimate.
        let same_region = state
            .objects
            .table
            .get(target)
            .is_some_and(|t| !self.shared.is_remote(&t.data_centre));
        if let Some(model) = self.request.model.as_ref().filter(|_| same_region) {
            state
                .estimator
                .record(model, self.request.usage.prompt, predicted, seen);
        }
        let data_centre = (state.objects.table.get(target)).map(|t| t.data_centre.clone());
        let active = state.active.clone();
        drop(state);
        if let (Some(active), Some(data_centre)) = (active, data_centre) {
            let times = (predicted, seen);
            self.shared
                .record_place_time(&active.config, &self.service, &data_centre, times);
        }
        self.shared.instruments.record_first_byte(predicted, seen);
        log::info!(
            request:% = self.request.attempt, predicted_ms = millis(predicted),
            seen_ms = millis(seen), age_ms = millis(self.arrival.elapsed());
            "first byte received"
        );
    }

    /// Records how long a stream took from its first byte to its end.
    pub(super) fn record_stream_rest(&self, rest: Duration) {
        let output = self.request.usage.output;
        let mut state = self.shared.lock();
        let predicted = state.decode.rest(output);
        state.decode.record(output, rest);
        drop(state);
        self.shared.instruments.record_stream_rest(predicted, rest);
    }

    /// Runs attempts until one gives a response, the request is refused or its time ends.
    ///
    /// Preparation and attempt are raced with the end of their time as a whole. Whatever they wait for is
    /// dropped then, and gives back what it holds.
    pub(super) async fn run(mut self) -> Response<ResponseBody> {
        if let Some(retry_after) = self.known_denial() {
            return self.refuse(RefusalReason::AccountLimit, retry_after);
        }
        let limit = self.limit.clone();
        let mut is_new = true;
        loop {
            let prepared = tokio::select! {
                // What is ready at once needs no timer; it has been checked against the time itself.
                biased;
                prepared = self.prepare(std::mem::take(&mut is_new)) => prepared,
                end = limit.reached(RequestPhase::Waiting) => return self.end_early(end),
            };
            let plan = match prepared {
                Prepared::Send(plan) => plan,
                Prepared::Respond(response) => return response,
            };
            let response = tokio::select! {
                // An answer that has come counts, and a target that missed the deadline is recorded first.
                biased;
                response = self.attempt(*plan) => response,
                end = limit.reached(RequestPhase::Sent) => Some(self.end_early(end)),
            };
            if let Some(response) = response {
                return response;
            }
        }
    }

    /// Waits until the request may be sent to a target.
    async fn prepare(&mut self, is_new: bool) -> Prepared {
        if is_new {
            self.enter(Stage::Origin);
            self.find_scope().await;
            if self.scope == StreamScope::Nowhere {
                let refusal = self.refuse(RefusalReason::UnknownOrigin, ORIGIN_RETRY_AFTER);
                return Prepared::Respond(refusal);
            }
            self.record_demand();
        }
        let mut state_version = self.shared.state_version.subscribe();
        loop {
            if let Some(end) = self.limit.passed(self.phase) {
                return Prepared::Respond(self.end_early(end));
            }
            if !self.is_still_authorized() {
                return Prepared::Respond(self.reject_key());
            }
            state_version.mark_unchanged();
            self.enter(Stage::Backlog);
            self.refresh_backlogs().await;
            match self.next_permitted_step().await {
                Step::Refuse(reason, retry_after) => {
                    return Prepared::Respond(self.refuse(reason, retry_after));
                }
                Step::Wait(limit) => {
                    self.waited = true;
                    self.enter(Stage::Model);
                    // A change and the time limit both lead to a new decision.
                    let _ = timeout(limit, state_version.changed()).await;
                }
                Step::AwaitModel(limit) => {
                    self.waited = true;
                    self.enter(Stage::Model);
                    self.wait_for_model(&mut state_version, limit).await;
                }
                Step::Send(mut plan) => {
                    self.claim_trials().await;
                    match self.check_before_send(&mut plan) {
                        SendCheck::Send => return Prepared::Send(plan),
                        SendCheck::Decide => {}
                        SendCheck::RejectKey => return Prepared::Respond(self.reject_key()),
                    }
                }
            }
        }
    }

    /// Counts the request for the retry quota of its service and the demand for its model.
    fn record_demand(&self) {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        state
            .quota(&self.service, &self.shared.settings)
            .record_request(now);
        if let Some(model) = &self.request.model {
            let mut work = state.estimator.prefill(model, self.request.usage.prompt);
            if state.is_paced(&self.service) {
                work = work.mul_f64(PACED_DEMAND);
            }
            state.demand.record(model, work);
        }
    }

    /// Makes one attempt; `None` means that another one follows.
    async fn attempt(&mut self, plan: AttemptPlan) -> Option<Response<ResponseBody>> {
        match self.send(plan).await {
            Ok(response) => self.respond(response).await,
            Err(failure) if failure.end == AttemptEnd::Withheld => None,
            Err(failure) => self.recover(&failure, None),
        }
    }

    /// Ends the exchange whose time has ended. What may have run is not reported as refused.
    fn end_early(&mut self, end: TimeEnd) -> Response<ResponseBody> {
        self.settle_attempt();
        let (stage, waited) = self.open.request().stage();
        log::info!(
            request:% = self.request.attempt, end:serde, stage:serde, waited_ms = millis(waited),
            runs = self.runs;
            "time of the request ended"
        );
        match end {
            TimeEnd::Expired => self.expire(),
            TimeEnd::Stopping => self.refuse(RefusalReason::Draining, Duration::ZERO),
        }
    }

    /// Resumes a stream at another target after the last event that the caller has; `None` if the
    /// retry quota, the deadline or the targets don't allow it, or the target's response is no
    /// continuation in the stream's `form`.
    pub(super) async fn resume(
        &mut self,
        form: &StreamForm,
        last_event: Option<u64>,
        reason: &str,
    ) -> Option<TargetResponse> {
        let mut end = AttemptEnd::Lost;
        loop {
            let (now, entries) = (self.shared.now(), self.shared.lock().entries());
            let allowed = self.resends_left(end) > 0 && {
                let mut state = self.shared.lock();
                state
                    .quota(&self.service, &self.shared.settings)
                    .try_resend(now, entries)
            };
            log::info!(
                request:% = self.request.attempt, reason, last_event:serde, allowed;
                "stream interrupted"
            );
            if !allowed || !self.is_still_authorized() {
                return None;
            }
            let result = loop {
                let Step::Send(mut plan) = self.next_permitted_step().await else {
                    return None;
                };
                match self.check_before_send(&mut plan) {
                    SendCheck::Send => {}
                    SendCheck::Decide if self.limit.passed(self.phase).is_none() => {
                        continue;
                    }
                    SendCheck::Decide | SendCheck::RejectKey => return None,
                }
                plan.terms.resume_after = last_event;
                match self.send(*plan).await {
                    Err(failure) if failure.end == AttemptEnd::Withheld => {}
                    result => break result,
                }
            };
            match result {
                Ok(response) if response.success && response.stream_form() == *form => {
                    return Some(response);
                }
                Ok(response) => {
                    log::info!(
                        request:% = self.request.attempt, target_id:% = response.guard.target(),
                        expected:? = form, found:? = response.stream_form();
                        "the response does not continue the stream"
                    );
                    return None;
                }
                Err(failure) if failure.end == AttemptEnd::Lost => return None,
                Err(failure) => end = failure.end,
            }
        }
    }

    /// Checks again what may have changed while the request waited for a payment, an admission or a
    /// permit, and states the time that is left.
    fn check_before_send(&mut self, plan: &mut AttemptPlan) -> SendCheck {
        let account = self.account.clone();
        if !self.is_still_authorized() {
            return SendCheck::RejectKey;
        }
        let left = self.deadline().saturating_duration_since(Instant::now());
        let now = self.shared.now();
        let quarantined = self.check_quarantine(&self.shared.lock(), now) != QuarantineCheck::Clear;
        let ended = self.limit.passed(self.phase).is_some();
        if ended || quarantined || self.account != account {
            return SendCheck::Decide;
        }
        plan.terms.timeout = plan.terms.timeout.min(left);
        SendCheck::Send
    }

    async fn send(&mut self, plan: AttemptPlan) -> Result<TargetResponse, AttemptFailure> {
        let target = plan.target.id.clone();
        self.enter(Stage::Target);
        self.log_dispatch(&plan);
        self.tried.push(target.clone());
        self.sends += 1;
        self.set_charge_used(true);
        let result = tokio::select! {
            result = run_attempt(&self.shared, &self.outgoing, plan, &self.may_run) => result,
            () = self.shared.wait_until_stalled(&target, Instant::now()) => {
                let end = if self.may_run.load(Ordering::Relaxed) {
                    AttemptEnd::Lost
                } else {
                    AttemptEnd::NotSent
                };
                Err(AttemptFailure::new(end, "target stalled"))
            }
        };
        let not_run = |end| {
            matches!(
                end,
                AttemptEnd::Withheld | AttemptEnd::NotSent | AttemptEnd::NotRun
            )
        };
        if result.as_ref().is_err_and(|failure| not_run(failure.end)) {
            self.may_run.store(false, Ordering::Relaxed);
        }
        self.settle_attempt();
        match &result {
            Ok(_) => {}
            Err(failure) if failure.end == AttemptEnd::Withheld => {
                self.tried.pop();
                self.sends -= 1;
                log::info!(request:% = self.request.attempt, target_id:% = target; "request withheld");
            }
            Err(failure) => {
                if failure.broken {
                    self.record_broken_run(&target);
                }
                log::info!(
                    request:% = self.request.attempt, target_id:% = target,
                    end:? = failure.end, reason = failure.reason,
                    suspects:serde = self.suspects();
                    "attempt failed"
                );
            }
        }
        result
    }

    /// Counts the current attempt as a run if it may be one. Else what the request holds may be used again.
    fn settle_attempt(&mut self) {
        if self.may_run.swap(false, Ordering::Relaxed) {
            self.runs += 1;
            self.trials.clear();
        }
        self.set_charge_used(self.runs > 0);
    }

    /// Turns a target's response into the caller's; `None` means that another attempt follows.
    async fn respond(&mut self, from_target: TargetResponse) -> Option<Response<ResponseBody>> {
        let headers = self.shared.dialect.relay_headers(&from_target.headers);
        let status = from_target.status;
        let mut response = if from_target.success && self.route.kind == CallKind::Stream {
            self.enter(Stage::Stream);
            let exchange = self.take_for_relay();
            Response::new(Relay::body(exchange, from_target))
        } else {
            let head = (from_target.framing, &from_target.headers);
            let body = match self.read_body(from_target.body, head).await {
                Ok(body) => body,
                Err(failure) => {
                    if failure.broken {
                        self.record_broken_run(&from_target.guard.target().clone());
                    }
                    return self.recover(&failure, None);
                }
            };
            self.record_complete_run(from_target.guard.target(), from_target.framing);
            from_target.pooled.release();
            if !from_target.success {
                let reason = format!("target failed with status {status}");
                let failure = AttemptFailure::new(AttemptEnd::Failed, reason);
                let mut response = Response::new(buffered_body(body));
                *response.status_mut() = status;
                *response.headers_mut() = headers;
                return self.recover(&failure, Some(response));
            }
            self.shared
                .instruments
                .record_first_byte(from_target.predicted, from_target.sent.elapsed());
            self.set_outcome("served");
            Response::new(buffered_body(body))
        };
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        Some(response)
    }

    /// Reads the body of a target's response, for as long as the caller can still get an answer.
    async fn read_body(
        &self,
        body: Incoming,
        head: (Framing, &HeaderMap),
    ) -> Result<BufferedBody, AttemptFailure> {
        let mut lease = self.shared.buffers.lease();
        let body = read_full_body(body, head, self.deadline(), &mut lease).await;
        let broken = |reason| AttemptFailure::broken(format!("response body: {reason}"));
        Ok(BufferedBody::new(body.map_err(broken)?, lease))
    }

    /// Decides what follows a failed attempt; `None` means that another attempt follows.
    ///
    /// `passed` is the target's own failure, in the form that the caller would get it.
    fn recover(
        &mut self,
        failure: &AttemptFailure,
        passed: Option<Response<ResponseBody>>,
    ) -> Option<Response<ResponseBody>> {
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
                self.set_outcome("target_failed");
                passed
            }
            Recovery::PassFailure | Recovery::Fail => {
                self.set_outcome("unknown_outcome");
                Some(text_response(
                    StatusCode::BAD_GATEWAY,
                    "the outcome is unknown\n",
                ))
            }
        }
    }

    /// Returns how many further attempts the route allows.
    fn resends_left(&self, end: AttemptEnd) -> u8 {
        if self.limit.passed(self.phase).is_some() {
            return 0;
        }
        let left = self.route.attempts.saturating_sub(self.runs);
        match end {
            // A request that no target has run may be sent once more than the route's attempts.
            AttemptEnd::NotSent | AttemptEnd::NotRun if self.sends <= self.route.attempts => {
                left.max(1)
            }
            AttemptEnd::Withheld | AttemptEnd::NotSent | AttemptEnd::NotRun => 0,
            AttemptEnd::Failed | AttemptEnd::Lost if !self.may_run_again() => 0,
            AttemptEnd::Failed | AttemptEnd::Lost => left,
        }
    }

    /// Returns whether the request may be sent to another target, as far as its broken runs decide.
    fn may_run_again(&self) -> bool {
        if self.broken_runs == 0 {
            return true;
        }
        let is_request = |suspect: &&Suspect| suspect.is_request();
        let request = self.suspects().iter().find(is_request);
        let now = self.shared.now();
        let state = self.shared.lock();
        let suspected = request.is_some_and(|request| state.quarantine.is_suspected(request, now));
        may_run_again(self.broken_runs, suspected)
    }

    /// Decides whether verdicts on the request and on parts of its prompt let it be sent. A trial ends with its
    /// first run.
    pub(super) fn check_quarantine(&self, state: &State, now: Timestamp) -> QuarantineCheck {
        let suspects = self.known_suspects(state);
        match state.quarantine.check(suspects, now) {
            QuarantineCheck::Clear => QuarantineCheck::Clear,
            _ if self.runs == 0 && state.quarantine.are_granted(suspects, &self.trials) => {
                QuarantineCheck::Clear
            }
            QuarantineCheck::Trial(_) if self.runs > 0 => QuarantineCheck::Rejected(Duration::ZERO),
            check => check,
        }
    }

    /// Claims the trials that the request needs, if any, right before it is sent. Without them the request is
    /// decided on again.
    async fn claim_trials(&mut self) {
        let check = self.check_quarantine(&self.shared.lock(), self.shared.now());
        let QuarantineCheck::Trial(trials) = check else {
            return;
        };
        self.enter(Stage::Trial);
        if let Some(grant) = self.shared.claim_trials(trials).await {
            log::info!(request:% = self.request.attempt; "request sent as a trial");
            self.trials = grant.take();
        }
    }

    /// Returns the suspects without the request itself where no request is known to be one, which
    /// saves its digest.
    fn known_suspects(&self, state: &State) -> &Arc<[Suspect]> {
        if state.quarantine.concerns_requests() {
            self.suspects()
        } else {
            &self.request.parts
        }
    }

    /// Records a run whose answer is complete. The end of an answer that nothing marks may also be a
    /// crash.
    pub(super) fn record_complete_run(&self, target: &TargetId, framing: Framing) {
        let end = match framing {
            Framing::Connection => RunEnd::Unmarked,
            Framing::Delimited => RunEnd::Complete,
        };
        let suspects = self.known_suspects(&self.shared.lock()).clone();
        self.shared.investigate(target, &suspects, end);
    }

    /// Records a run that ended with the connection to its target, and finds out whether the target
    /// crashed.
    pub(super) fn record_broken_run(&mut self, target: &TargetId) {
        self.broken_runs += 1;
        let suspects = self.suspects();
        self.shared.investigate(target, suspects, RunEnd::Broken);
    }

    fn refuse(&mut self, reason: RefusalReason, retry_after: Duration) -> Response<ResponseBody> {
        if self.runs > 0 {
            self.set_outcome("unknown_outcome");
            return text_response(StatusCode::BAD_GATEWAY, "the outcome is unknown\n");
        }
        let left = self.deadline().saturating_duration_since(Instant::now());
        let longest = left.mul_f64(MAX_RETRY_AFTER_SHARE);
        let retry_after = match reason {
            // A caller has no reason to come back before the end of a quarantine.
            RefusalReason::Quarantined => retry_after,
            RefusalReason::TargetsClosed | RefusalReason::AccountLimit => {
                spread_retry_after(retry_after, longest, rand::random())
            }
            _ => retry_after.min(longest),
        };
        let name = match reason {
            RefusalReason::NoTarget => "no_target",
            RefusalReason::ModelAbsent => "model_absent",
            RefusalReason::Overload => "overload",
            RefusalReason::Draining => "draining",
            RefusalReason::Quarantined => "quarantined",
            RefusalReason::TargetsClosed => "targets_closed",
            RefusalReason::UnknownOrigin => "unknown_origin",
            RefusalReason::AccountLimit => "account_limit",
            RefusalReason::IssuerSilent => "issuer_silent",
        };
        self.shared.instruments.record_refusal(name);
        log::info!(
            request:% = self.request.attempt, reason = name, config = self.config_version,
            model = self.request.model.as_deref().unwrap_or(""),
            parts:serde = self.request.parts, retry_after_ms = millis(retry_after), left_ms = millis(left);
            "refused"
        );
        self.set_outcome("refused");
        if reason == RefusalReason::AccountLimit {
            return over_limit_response(retry_after);
        }
        not_run_response("not run; come back later\n", retry_after)
    }

    /// Returns whether the configuration in force still allows the request's key, which may have been
    /// removed while the request waited; takes over what a newer one says of the account.
    fn is_still_authorized(&mut self) -> bool {
        let active = self.shared.lock().active.clone();
        let Some(active) = active.filter(|a| a.config.version != self.config_version) else {
            return true;
        };
        match active.identify(&self.route, self.request.key.as_ref()) {
            Identity::Anonymous => self.account = None,
            Identity::Account(account) => self.account = Some(account),
            Identity::Unknown => return false,
        }
        self.config_version = active.config.version;
        true
    }

    fn reject_key(&mut self) -> Response<ResponseBody> {
        if self.runs > 0 {
            self.set_outcome("unknown_outcome");
            return text_response(StatusCode::BAD_GATEWAY, "the outcome is unknown\n");
        }
        let account = self.account.as_ref().map(|account| &*account.name);
        log::info!(request:% = self.request.attempt, account; "key removed while the request waited");
        self.set_outcome("refused");
        unauthorized_response()
    }

    /// Returns the priority of the request: its account's, or else its route's.
    pub(super) fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.priority);
        account.unwrap_or(self.route.priority)
    }

    /// Returns whether the request belongs to the most urgent ones.
    ///
    /// There are fewer bands than pairs of an account's and a route's priority: the account's goes first,
    /// and the route's divides the accounts of the second one.
    pub(super) fn is_first(&self) -> bool {
        let account = self.account.as_ref().and_then(|account| account.priority);
        match (account, self.route.priority) {
            (None | Some(1), 0) | (Some(0), _) => true,
            (None | Some(_), _) => false,
        }
    }

    fn expire(&mut self) -> Response<ResponseBody> {
        self.set_outcome("expired");
        if self.runs == 0 {
            return not_run_response("not run in time\n", Duration::ZERO);
        }
        text_response(StatusCode::GATEWAY_TIMEOUT, "the deadline has passed\n")
    }

    /// Copies the exchange for a relay, which reports the outcome instead of this one.
    fn take_for_relay(&mut self) -> Self {
        let outcome = self.outcome.replace("relayed");
        Self {
            shared: self.shared.clone(),
            route: self.route.clone(),
            service: self.service.clone(),
            account: self.account.clone(),
            request: self.request.clone(),
            outgoing: self.outgoing.clone(),
            limit: self.limit.clone(),
            phase: RequestPhase::Streaming,
            scope: self.scope.clone(),
            tried: self.tried.clone(),
            trials: std::mem::take(&mut self.trials),
            suspects: self.suspects.clone(),
            open: self.open.clone(),
            // The request has run, so that nothing is given back.
            charge: self.charge.take(),
            may_run: Arc::default(),
            outcome,
            ..*self
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        // A caller that leaves while its request may run has used its trials.
        if !self.trials.is_empty() && !self.may_run.load(Ordering::Relaxed) {
            self.shared.lock().quarantine.return_trials(&self.trials);
        }
        let outcome = self.outcome.unwrap_or("caller_left");
        if outcome == "relayed" {
            return;
        }
        let duration = self.arrival.elapsed();
        self.shared.instruments.record_request(outcome, duration);
        log::info!(
            request:% = self.request.attempt, route:% = self.route.name, outcome,
            sends = self.sends, duration_ms = millis(duration),
            stages_ms:serde = self.open.request().stage_times();
            "request ended"
        );
    }
}

/// Returns a duration in whole milliseconds, for log fields.
pub(super) fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
