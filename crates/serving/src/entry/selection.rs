//! Decides the next step of an exchange from the entry's current view of the targets.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::quarantine::QuarantineCheck;
use kumquatkeel_core::serving::{
    AdmissionRank, AdmissionRequest, Band, CallKind, Candidate, Competitor, DispatchDecision,
    DispatchInput, RefusalReason, Target, TargetId, choose_engine, choose_target, engines_to_query,
};
use kumquatkeel_types::digest::hash_bytes;
use tokio::sync::watch;
use tokio::time::{Instant, timeout, timeout_at};

use super::attempt::AttemptPlan;
use super::exchange::{Exchange, millis};
use super::in_flight::InFlightGuard;
use super::state::State;
use crate::gossip::{AdapterRequest, Datagram};
use crate::platform::ForwardOptions;

/// Routes with an objective below this are interactive; others get the deferred band.
const INTERACTIVE_OBJECTIVE: Duration = Duration::from_secs(2);
/// Engine priority of the first band; 0 is the highest priority and 9 the lowest.
const FIRST_PRIORITY: u8 = 1;
/// Engine priority of the urgent band.
const URGENT_PRIORITY: u8 = 3;
/// Engine priority of requests that miss a short objective, on a route with priority 0.
const LATE_FIRST_PRIORITY: u8 = 6;
/// Engine priority of requests that miss a short objective, on any other route.
const LATE_PRIORITY: u8 = 8;
/// Engine priority of requests on routes with a long objective.
const LONG_OBJECTIVE_PRIORITY: u8 = 5;
/// Interval between two load requests for an adapter.
const ADAPTER_RETRY_INTERVAL: Duration = Duration::from_millis(30);
/// Longest random delay between a state change and the decisions of the requests that waited for
/// it. Requests of all entries wait for the same change; the spread lets each decision see the work
/// that the others have sent.
const MAX_WAKE_JITTER: Duration = Duration::from_millis(40);
/// Longest wait for a model until a request is decided on again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Smallest gap after which callers abandon a stream. The platform defines the gap as the longest
/// of this, four times the route's objective and eight times its gap objective.
const MIN_ABANDON_GAP: Duration = Duration::from_secs(2);
/// Longest wait for the agents' replies to backlog queries: two round trips within a region.
const BACKLOG_QUERY_TIMEOUT: Duration = Duration::from_millis(8);
/// Time that the planner takes to notice demand for a model and to command a load.
const PLANNING_TIME: Duration = Duration::from_millis(600);
/// Expected load time of a model that the configuration does not list.
const DEFAULT_LOAD_TIME: Duration = Duration::from_secs(6);
/// `Retry-After` of a stream whose model only targets of other software versions hold.
const OUTSIDE_SCOPE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Divisor of the output tokens in the estimate of a request's KV memory, as callers state only an
/// upper limit.
const OUTPUT_DIVISOR: u64 = 2;
/// Share of the time left until the objective for which a request may wait for a permit where no other
/// target can take it.
const PERMIT_WAIT_SHARE: f64 = 0.5;
/// Time from an admission to the first event besides the prefill: the paths and one step.
const SEND_TIME: Duration = Duration::from_millis(40);
/// Share of the time left for which a request that is late may wait for its admission.
const MAX_WAIT_SHARE: f64 = 0.6;
/// Longest wait for a response while another attempt is allowed, in multiples of the objective.
const RESEND_WAIT_FACTOR: u32 = 3;

/// The next step of an exchange.
pub(super) enum Step {
    Send(Box<AttemptPlan>),
    /// Wait for a state change, at most this long, and decide again.
    Wait(Duration),
    /// Wait for an engine to hold the model, at most this long, and decide again.
    AwaitModel(Duration),
    /// Refuse the request; it may be sent again after this time.
    Refuse(RefusalReason, Duration),
}

impl Exchange {
    /// Waits for a state change, at most this long, then for a random delay of up to [`MAX_WAKE_JITTER`].
    pub(super) async fn wait_for_model(
        &self,
        state_version: &mut watch::Receiver<u64>,
        longest: Duration,
    ) {
        if let Ok(Ok(())) = timeout(longest, state_version.changed()).await {
            let pause = MAX_WAKE_JITTER.mul_f64(rand::random());
            tokio::time::sleep(pause).await;
        }
    }

    /// Asks the agents of the best-ranked engines for the backlog of other entries, and waits for
    /// the replies for at most [`BACKLOG_QUERY_TIMEOUT`].
    pub(super) async fn refresh_backlogs(&self) {
        let shared = &self.shared;
        let mut backlog_version = shared.backlog_version.subscribe();
        let since = shared.now();
        let queried = self.query_backlogs();
        let end = Instant::now() + BACKLOG_QUERY_TIMEOUT;
        while !queried
            .iter()
            .all(|id| shared.lock().has_fresh_backlog(id, since))
        {
            if !matches!(timeout_at(end, backlog_version.changed()).await, Ok(Ok(()))) {
                log::debug!(request:% = self.request.attempt; "backlog query timed out");
                return;
            }
        }
    }

    /// Sends backlog queries to the agents of the best-ranked engines; returns their targets.
    fn query_backlogs(&self) -> Vec<TargetId> {
        let Some(model) = &self.request.model else {
            return Vec::new();
        };
        let shared = &self.shared;
        let mut state = shared.lock();
        let now = shared.now();
        let targets = state.eligible_targets(&self.service, &self.tried, &self.scope, now);
        let mut candidates = state.candidates(shared, &targets, self.urgency(), now);
        self.limit_reach(&state, &targets, &mut candidates, now);
        let input = self.dispatch_input(&state, model);
        let mut queried = Vec::new();
        for index in engines_to_query(&candidates, &input) {
            let target = &targets[index];
            // A reply from another region would arrive after the time-out.
            if shared.is_remote(&target.data_centre) {
                continue;
            }
            state.ask_agent(target, shared, now);
            queried.push(target.id.clone());
        }
        queried
    }

    /// Decides the next step of the request.
    pub(super) fn next_step(&mut self) -> Step {
        let shared = self.shared.clone();
        let mut state = shared.lock();
        let now = shared.now();
        if let QuarantineCheck::Rejected(left) = self.check_quarantine(&state, now) {
            return Step::Refuse(RefusalReason::Quarantined, left);
        }
        let targets = state.eligible_targets(&self.service, &self.tried, &self.scope, now);
        let mut candidates = state.candidates(&shared, &targets, self.urgency(), now);
        let reach = self.limit_reach(&state, &targets, &mut candidates, now);
        let is_paced = state.is_paced(&self.service);
        let mut admission = None;
        let (decision, prefill) = if let Some(model) = &self.request.model {
            let input = self.dispatch_input(&state, model);
            let decision = choose_engine(&candidates, &input);
            if is_paced && self.route.kind == CallKind::Stream {
                admission = self.admission_request(decision, &input);
            }
            (decision, input.prefill)
        } else {
            let slots: Vec<u32> = targets.iter().map(|t| t.slots).collect();
            let decision = choose_target(&candidates, &slots, rand::random());
            (decision, Duration::ZERO)
        };
        match decision {
            DispatchDecision::Refuse {
                reason,
                retry_after,
            } => Step::Refuse(reason, retry_after),
            DispatchDecision::AwaitModel if self.is_model_outside_scope(&state) => {
                Step::Refuse(RefusalReason::ModelAbsent, OUTSIDE_SCOPE_RETRY_AFTER)
            }
            DispatchDecision::AwaitModel => Step::AwaitModel(RECHECK_INTERVAL),
            DispatchDecision::LoadAdapter { index } => {
                self.request_adapter(&targets[index]);
                Step::Wait(ADAPTER_RETRY_INTERVAL)
            }
            DispatchDecision::Send {
                index,
                predicted,
                band,
            } => {
                let age = candidates[index].engine.age(now);
                let alone = self.is_only_choice(&candidates, index);
                let (target, engines) = (targets[index].clone(), targets.len());
                let entries = state.entries();
                state.rates.set_fleet_size(entries, engines);
                state.rates.record(prefill, band, now);
                drop(state);
                self.record_departure(reach.as_ref(), &target);
                let mut plan = self.plan_attempt(target, predicted, band, prefill, age);
                plan.admission = admission;
                if alone {
                    plan.patience = self.remaining_objective().mul_f64(PERMIT_WAIT_SHARE);
                }
                Step::Send(Box::new(plan))
            }
        }
    }

    /// Returns whether no other candidate can take the request now.
    fn is_only_choice(&self, candidates: &[Candidate<'_>], index: usize) -> bool {
        let holds = |candidate: &Candidate<'_>| {
            let model = self.request.model.as_ref();
            model.is_none_or(|model| candidate.engine.report.holds(model))
        };
        let others = (candidates.iter().enumerate()).filter(|(i, _)| *i != index);
        !others
            .map(|(_, candidate)| candidate)
            .any(|c| c.closed.is_none() && !c.avoided && holds(c))
    }

    /// Returns whether the model is loaded or being loaded at targets to which the stream may not go,
    /// so that no load at those of its own version is to be expected.
    fn is_model_outside_scope(&self, state: &State) -> bool {
        let Some(model) = &self.request.model else {
            return false;
        };
        let ready = state.objects.table.ready(&self.service).iter();
        let mut outside = ready.filter(|t| !self.scope.admits(&t.version));
        outside.any(|t| state.expects_model(&t.id, model))
    }

    pub(super) fn dispatch_input<'a>(
        &'a self,
        state: &'a State,
        model: &'a str,
    ) -> DispatchInput<'a> {
        let mut left = self.deadline().saturating_duration_since(Instant::now());
        let usage = self.request.usage;
        if state.is_paced(&self.service) {
            // A stream that starts too late to end is of no use to its caller.
            left = left.saturating_sub(state.decode.rest(usage.output));
        }
        let spec = state.engine_spec(&self.service);
        let model_spec = spec.and_then(|s| s.models.get(model));
        let load_time = model_spec.map_or(DEFAULT_LOAD_TIME, |m| m.load);
        let disk_load_time = model_spec.map_or(DEFAULT_LOAD_TIME, |m| m.disk_load);
        DispatchInput {
            model,
            adapter: self.request.adapter.as_deref(),
            prefill: state.estimator.prefill(model, usage.prompt),
            kv_tokens: usage.prompt + usage.output / OUTPUT_DIVISOR,
            objective: self.remaining_objective(),
            timeout: left.min(self.time_to_abandon()),
            band: self.band(),
            rates: &state.rates,
            tie_seed: rand::random(),
            load_time: load_time + PLANNING_TIME,
            disk_load_time: disk_load_time + PLANNING_TIME,
        }
    }

    /// Returns the time left until the latency objective, counted from the caller's first attempt.
    pub(super) fn remaining_objective(&self) -> Duration {
        let timeout = self.request.timeout.unwrap_or(self.route.deadline);
        let before = self.route.deadline.saturating_sub(timeout);
        let used = before + self.arrival.elapsed();
        self.route.objective.saturating_sub(used)
    }

    /// Returns the time left until callers abandon a stream without a first event; unlimited for
    /// calls.
    fn time_to_abandon(&self) -> Duration {
        if self.route.kind != CallKind::Stream {
            return Duration::MAX;
        }
        let gap = self.route.gap.unwrap_or_default() * 8;
        let limit = MIN_ABANDON_GAP.max(self.route.objective * 4).max(gap);
        limit.saturating_sub(self.arrival.elapsed())
    }

    fn request_adapter(&self, target: &Target) {
        let (Some(model), Some(adapter)) = (&self.request.model, &self.request.adapter) else {
            return;
        };
        let agent = self.shared.settings.agent_of(target);
        let wanted = AdapterRequest {
            target: target.id.clone(),
            adapter: (model.clone(), adapter.clone()),
        };
        log::debug!(
            request:% = self.request.attempt, target_id:% = target.id;
            "adapter load requested"
        );
        self.shared.gossip.send(agent, &Datagram::Want(wanted));
    }

    fn plan_attempt(
        &self,
        target: Arc<Target>,
        predicted: Duration,
        band: Band,
        prefill: Duration,
        age: Option<Duration>,
    ) -> AttemptPlan {
        let now = Instant::now();
        let left = self.deadline().saturating_duration_since(now);
        let repeatable = self.route.kind == CallKind::Idempotent;
        let may_resend = repeatable && self.runs + 1 < self.route.attempts;
        let wait = if may_resend {
            left.min(self.route.objective * RESEND_WAIT_FACTOR)
        } else {
            left
        };
        let resend = self.tried.contains(&target.id);
        log::debug!(
            request:% = self.request.attempt, target_id:% = target.id, predicted_ms = millis(predicted),
            left_ms = millis(left);
            "target chosen"
        );
        let adapter = (self.request.model.clone()).zip(self.request.adapter.clone());
        let shared = self.shared.clone();
        AttemptPlan {
            chosen: now,
            terms: ForwardOptions {
                target: target.id.clone(),
                timeout: left,
                priority: self
                    .request
                    .model
                    .as_ref()
                    .map(|_| self.engine_priority(band)),
                account: self.account.as_ref().map(|account| account.name.clone()),
                resume_after: None,
            },
            deadline: now + wait,
            at_most_once: !repeatable,
            resend,
            predicted,
            band,
            report_age: age,
            patience: Duration::ZERO,
            admission: None,
            guard: InFlightGuard::new(shared, target.id.clone(), prefill, band, adapter),
            target,
        }
    }

    /// Logs a request that is sent now, with what its target was chosen by.
    pub(super) fn log_dispatch(&self, plan: &AttemptPlan) {
        let resume = self.request.resume.as_ref();
        log::info!(
            request:% = self.request.attempt, route:% = self.route.name, target_id:% = plan.target.id,
            version:% = plan.target.version, last_event = resume.map(|r| &*r.last_event),
            first_attempt = resume.and_then(|r| r.first_attempt.as_deref()),
            config = self.config_version, report_age_ms = plan.report_age.map(millis),
            predicted_ms = millis(plan.predicted), band:serde = plan.band, waited = self.waited,
            resend = plan.resend, left_ms = millis(plan.terms.timeout),
            chosen_ms = millis(plan.chosen.elapsed());
            "dispatch"
        );
    }

    /// Returns what the agent beside the chosen engine has to decide on.
    fn admission_request(
        &self,
        decision: DispatchDecision,
        input: &DispatchInput<'_>,
    ) -> Option<AdmissionRequest> {
        let DispatchDecision::Send { predicted, .. } = decision else {
            return None;
        };
        let late = predicted > input.objective;
        let limit = if late {
            input.timeout.mul_f64(MAX_WAIT_SHARE)
        } else {
            input.objective.min(input.timeout)
        };
        Some(AdmissionRequest {
            rank: AdmissionRank {
                priority: self.priority(),
                route: self.route.priority,
                late,
            },
            competitor: self.competitor(),
            prefill: input.prefill,
            objective: input.objective,
            max_wait: limit
                .saturating_sub(input.prefill + SEND_TIME)
                .min(self.limit.left(self.phase)),
        })
    }

    /// Returns the account of the request as it competes for engines; `None` if it has no limit.
    fn competitor(&self) -> Option<Competitor> {
        let account = self.account.as_ref()?;
        let limit = account.limit?;
        Some(Competitor {
            account: hash_bytes(account.name.as_bytes()),
            weight: limit.rate,
        })
    }

    /// Returns the band that the request is sent in as long as it can meet its objective.
    fn band(&self) -> Band {
        if self.route.objective >= INTERACTIVE_OBJECTIVE {
            Band::Deferred
        } else if self.is_first() {
            Band::First
        } else {
            Band::Urgent
        }
    }

    fn engine_priority(&self, band: Band) -> u8 {
        match band {
            Band::First => FIRST_PRIORITY,
            Band::Urgent => URGENT_PRIORITY,
            Band::Deferred if self.route.objective >= INTERACTIVE_OBJECTIVE => {
                LONG_OBJECTIVE_PRIORITY
            }
            Band::Deferred if self.is_first() => LATE_FIRST_PRIORITY,
            Band::Deferred => LATE_PRIORITY,
        }
    }
}
