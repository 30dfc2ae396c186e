//! The course of one request: choose, send, wait, resend, refuse or answer.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use http::{Response, StatusCode};
use kumquatkeel_core::serving::{
    AttemptEnd, Band, CallKind, CallerRequest, Candidate, Choice, DispatchTerms, DrainPlan,
    Recovery, RefusalReason, Route, Target, TargetId, after_attempt, choose_engine, choose_plain,
};
use tokio::time::{Instant, timeout_at};

use super::answer::{AnswerBody, not_run, plain, whole};
use super::attempt::{Answer, AttemptFailure, AttemptPlan, Outgoing, attempt, read_whole};
use super::relay::Relay;
use super::state::{Shared, State};
use super::work::WorkGuard;
use crate::gossip::{AdapterWant, Gossip};
use crate::port::TargetTerms;

/// Objectives below this are interactive: they belong to the urgent band.
const INTERACTIVE: Duration = Duration::from_secs(2);
/// Engine priority of the first band.
const FIRST_PRIORITY: u8 = 1;
/// Engine priority of the urgent band.
const URGENT_PRIORITY: u8 = 3;
/// Engine priority of requests of the first rank that no longer meet their objective.
const LATE_FIRST_PRIORITY: u8 = 6;
/// Engine priority of other requests that no longer meet their objective.
const LATE_PRIORITY: u8 = 8;
/// Engine priority of requests with a long objective.
const PATIENT_PRIORITY: u8 = 5;
/// Pause between two requests for an adapter.
const WANT_INTERVAL: Duration = Duration::from_millis(30);
/// Longest wait before a request is decided on again.
const RECHECK: Duration = Duration::from_millis(100);
/// Gap after which callers abandon a stream; the platform names the longest of three.
const MIN_ABANDON: Duration = Duration::from_secs(2);
/// Share of the caller's remaining time that a refusal may ask for.
const RETRY_SHARE: f64 = 0.33;
/// Time within which the planner notices demand for a model and commands a load.
const PLANNING_TIME: Duration = Duration::from_millis(600);
/// Load time of a model that the configuration does not name.
const UNKNOWN_LOAD: Duration = Duration::from_secs(6);
/// Output tokens count this much less than prompt tokens towards the memory that a request takes,
/// as callers name a most.
const OUTPUT_SHARE: u64 = 2;
/// Expected time of an output token on a busy engine.
const OUTPUT_TOKEN: Duration = Duration::from_millis(25);
/// Factor on the objective for the wait for an answer that may be asked for elsewhere.
const REPEAT_FACTOR: u32 = 3;

/// What to do next with a request.
enum Next {
    Send(AttemptPlan),
    Wait(Duration),
    Refuse(RefusalReason, Duration),
}

/// One request of a caller.
pub(super) struct Exchange {
    shared: Arc<Shared>,
    gossip: Arc<Gossip>,
    route: Arc<Route>,
    service: Arc<str>,
    request: CallerRequest,
    outgoing: Outgoing,
    arrival: Instant,
    deadline: Instant,
    version: u64,
    /// Targets that the request was sent to.
    tried: Vec<TargetId>,
    /// Sends that may have run.
    runs: u8,
    sends: u8,
    waited: bool,
    outcome: Option<&'static str>,
}

impl Exchange {
    /// Takes in a request that a route allows.
    pub(super) fn new(
        shared: Arc<Shared>,
        gossip: Arc<Gossip>,
        (route, service): (Arc<Route>, Arc<str>),
        request: CallerRequest,
        outgoing: Outgoing,
        (arrival, version): (Instant, u64),
    ) -> Self {
        let patience = request.patience.unwrap_or(route.deadline);
        Self {
            deadline: arrival + route.deadline.min(patience),
            shared,
            gossip,
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
    pub(super) fn first_byte(&self, predicted: Duration, sent: Instant) {
        let seen = sent.elapsed();
        self.shared.instruments.first_byte(predicted, seen);
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
                .request(now);
            if let Some(model) = &self.request.model {
                let work = state.pace.prefill(model, self.request.usage.prompt);
                state.demand.ask_for(model, work);
                let (entries, engines) = (state.entries(), state.table.ready(&self.service).len());
                state.rates.set_fleet(entries, engines);
                state.rates.offer(work, self.band(), now);
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
            match self.next() {
                Next::Refuse(reason, retry_after) => return Ok(self.refuse(reason, retry_after)),
                Next::Wait(limit) => {
                    self.waited = true;
                    let until = (Instant::now() + limit).min(self.deadline);
                    // Both ends of the wait lead to a new decision.
                    let _ = timeout_at(until, changed.changed()).await;
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

    /// Says whether a stopping process can still finish the request.
    fn is_admitted_while_draining(&self) -> bool {
        let Some(since) = *self.shared.draining.borrow() else {
            return true;
        };
        let expected = match self.route.kind {
            CallKind::Stream => {
                let output = self.request.usage.output.min(u64::from(u32::MAX)) as u32;
                self.route.objective + OUTPUT_TOKEN * output
            }
            CallKind::Idempotent | CallKind::NonIdempotent => self.route.objective * 2,
        };
        DrainPlan::new(self.shared.settings.grace).admits(since.elapsed(), expected)
    }

    fn next(&mut self) -> Next {
        let shared = self.shared.clone();
        let mut state = shared.lock();
        let now = shared.now();
        let ready: Vec<Arc<Target>> = state.table.ready(&self.service).to_vec();
        for target in &ready {
            state.engine(target, now);
        }
        let untried: Vec<Arc<Target>> = (ready.iter())
            .filter(|t| !self.tried.contains(&t.id))
            .cloned()
            .collect();
        let targets = if untried.is_empty() { ready } else { untried };
        let engines: Vec<_> = targets
            .iter()
            .map(|t| state.engine(t, now).clone())
            .collect();
        let candidates: Vec<Candidate<'_>> = (targets.iter().zip(&engines))
            .map(|(target, engine)| Candidate {
                engine,
                link: path_time(&shared, &state, target),
                penalty: state.failures.penalty(&target.id),
                avoided: state.is_avoided(&target.id, now),
            })
            .collect();
        let (choice, prefill) = if let Some(model) = &self.request.model {
            let prefill = state.pace.prefill(model, self.request.usage.prompt);
            let terms = self.terms(&state, model, prefill);
            (choose_engine(&candidates, &terms), prefill)
        } else {
            let slots: Vec<u32> = targets.iter().map(|t| t.slots).collect();
            (choose_plain(&candidates, &slots), Duration::ZERO)
        };
        drop(state);
        match choice {
            Choice::Refuse {
                reason,
                retry_after,
            } => Next::Refuse(reason, retry_after),
            Choice::AwaitModel => Next::Wait(RECHECK),
            Choice::LoadAdapter { index } => {
                self.want_adapter(&targets[index]);
                Next::Wait(WANT_INTERVAL)
            }
            Choice::Send {
                index,
                predicted,
                band,
            } => {
                let age = engines[index].age(now);
                Next::Send(self.plan(targets[index].clone(), predicted, band, prefill, age))
            }
        }
    }

    fn terms<'a>(
        &'a self,
        state: &'a State,
        model: &'a str,
        prefill: Duration,
    ) -> DispatchTerms<'a> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let usage = self.request.usage;
        let spec = state.service(&self.service).and_then(|s| s.engine.as_ref());
        let model_spec = spec.and_then(|s| s.models.get(model));
        let load_time = model_spec.map_or(UNKNOWN_LOAD, |m| m.load);
        let disk_load_time = model_spec.map_or(UNKNOWN_LOAD, |m| m.disk_load);
        DispatchTerms {
            model,
            adapter: self.request.adapter.as_deref(),
            prefill,
            tokens: usage.prompt + usage.output / OUTPUT_SHARE,
            objective: self.objective_left(),
            patience: left.min(self.abandon_left()),
            band: self.band(),
            rates: &state.rates,
            load_time: load_time + PLANNING_TIME,
            disk_load_time: disk_load_time + PLANNING_TIME,
        }
    }

    /// Returns what is left until the objective, counted from the caller's first attempt.
    fn objective_left(&self) -> Duration {
        let patience = self.request.patience.unwrap_or(self.route.deadline);
        let before = self.route.deadline.saturating_sub(patience);
        let used = before + self.arrival.elapsed();
        self.route.objective.saturating_sub(used)
    }

    /// Returns what is left until callers abandon a stream without a first event.
    fn abandon_left(&self) -> Duration {
        if self.route.kind != CallKind::Stream {
            return Duration::MAX;
        }
        let gap = self.route.gap.unwrap_or_default() * 8;
        let limit = MIN_ABANDON.max(self.route.objective * 4).max(gap);
        limit.saturating_sub(self.arrival.elapsed())
    }

    fn want_adapter(&self, target: &Target) {
        let (Some(model), Some(adapter)) = (&self.request.model, &self.request.adapter) else {
            return;
        };
        let agent = self.shared.settings.agent_of(target);
        let want = AdapterWant {
            target: target.id.clone(),
            adapter: (model.clone(), adapter.clone()),
        };
        log::debug!(request:% = self.request.attempt, target_id:% = target.id; "adapter wanted");
        self.gossip
            .send(agent, &crate::gossip::Datagram::Want(want));
    }

    fn plan(
        &self,
        target: Arc<Target>,
        predicted: Duration,
        band: Band,
        prefill: Duration,
        age: Option<Duration>,
    ) -> AttemptPlan {
        let now = Instant::now();
        let left = self.deadline.saturating_duration_since(now);
        let repeatable = self.route.kind == CallKind::Idempotent;
        let more = repeatable && self.runs + 1 < self.route.attempts;
        let wait = if more {
            left.min(self.route.objective * REPEAT_FACTOR)
        } else {
            left
        };
        log::info!(
            request:% = self.request.attempt, route:% = self.route.name, target_id:% = target.id,
            config = self.version, report_age_ms = age.map(millis), predicted_ms = millis(predicted),
            band:serde, waited = self.waited, left_ms = millis(left);
            "dispatch"
        );
        let adapter = (self.request.model.clone()).zip(self.request.adapter.clone());
        let shared = self.shared.clone();
        AttemptPlan {
            terms: TargetTerms {
                target: target.id.clone(),
                patience: left,
                priority: self.request.model.as_ref().map(|_| self.priority(band)),
                resume_after: None,
            },
            deadline: now + wait,
            careful: !repeatable,
            predicted,
            guard: WorkGuard::new(shared, target.id.clone(), prefill, band, adapter),
            target,
        }
    }

    /// Returns the band in which the request meets its objective.
    fn band(&self) -> Band {
        match self.route.priority {
            _ if self.route.objective >= INTERACTIVE => Band::Deferred,
            0 => Band::First,
            _ => Band::Urgent,
        }
    }

    fn priority(&self, band: Band) -> u8 {
        match band {
            Band::First => FIRST_PRIORITY,
            Band::Urgent => URGENT_PRIORITY,
            Band::Deferred if self.route.objective >= INTERACTIVE => PATIENT_PRIORITY,
            Band::Deferred if self.route.priority == 0 => LATE_FIRST_PRIORITY,
            Band::Deferred => LATE_PRIORITY,
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
            answer.lease.keep();
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
                .first_byte(answer.predicted, answer.sent.elapsed());
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
        self.shared.instruments.refusal(name);
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
            gossip: self.gossip.clone(),
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
        self.shared.instruments.request(outcome, duration);
        log::info!(
            request:% = self.request.attempt, route:% = self.route.name, outcome,
            sends = self.sends, duration_ms = millis(duration);
            "request ended"
        );
    }
}

/// Returns the path cost of a target; a new connection takes one round trip more.
fn path_time(shared: &Shared, state: &State, target: &Target) -> Duration {
    let link = shared.link(&target.data_centre);
    if state.is_connected(&target.id) {
        link
    } else {
        link * 2
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
