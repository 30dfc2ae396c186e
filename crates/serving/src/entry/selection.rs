//! Selection of a target for a request, from what the entry knows now.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{
    Band, CallKind, DispatchDecision, DispatchInput, DrainPlan, RefusalReason, Target, TargetId,
    choose_engine, choose_target, engines_to_query,
};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use super::attempt::AttemptPlan;
use super::exchange::{Exchange, millis};
use super::state::State;
use super::work::WorkGuard;
use crate::gossip::{AdapterRequest, BacklogQuery, Datagram};
use crate::platform::ForwardOptions;

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
/// Longest pause between an engine's change and the decisions of requests that waited for it; those
/// of all entries wait for the same change, and each should see what the others sent.
const WAKE_SPREAD: Duration = Duration::from_millis(40);
/// Longest wait before a request is decided on again.
const RECHECK: Duration = Duration::from_millis(100);
/// Gap after which callers abandon a stream; the platform names the longest of three.
const MIN_ABANDON: Duration = Duration::from_secs(2);
/// Longest wait for agents' counts of work; two round trips of a region.
const COUNT_WAIT: Duration = Duration::from_millis(8);
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
pub(super) enum Next {
    Send(AttemptPlan),
    Wait(Duration),
    /// Wait for an engine to hold the model.
    AwaitModel(Duration),
    Refuse(RefusalReason, Duration),
}

impl Exchange {
    /// Says whether a stopping process can still finish the request.
    pub(super) fn is_admitted_while_draining(&self) -> bool {
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

    /// Waits for an engine's change, then for a pause that differs between requests.
    pub(super) async fn wait_for_model(&self, changed: &mut watch::Receiver<u64>, until: Instant) {
        if let Ok(Ok(())) = timeout_at(until, changed.changed()).await {
            let pause = WAKE_SPREAD.mul_f64(rand::random());
            tokio::time::sleep(pause).await;
        }
    }

    /// Has the agents of the likeliest targets count the work there, and waits for it a moment.
    pub(super) async fn count_work(&self) {
        let shared = &self.shared;
        let mut counted = shared.counted.subscribe();
        let since = shared.now();
        let asked = self.ask_agents();
        let end = Instant::now() + COUNT_WAIT;
        while !asked.iter().all(|id| shared.lock().is_counted(id, since)) {
            if !matches!(timeout_at(end, counted.changed()).await, Ok(Ok(()))) {
                log::debug!(request:% = self.request.attempt; "work not counted in time");
                return;
            }
        }
    }

    /// Asks the agents of the engines that are to be counted; returns the targets.
    fn ask_agents(&self) -> Vec<TargetId> {
        let Some(model) = &self.request.model else {
            return Vec::new();
        };
        let shared = &self.shared;
        let mut state = shared.lock();
        let now = shared.now();
        let targets = state.options(&self.service, &self.tried, now);
        let candidates = state.candidates(shared, &targets, now);
        let input = self.dispatch_input(&state, model);
        let mut asked = Vec::new();
        for index in engines_to_query(&candidates, &input) {
            let target = &targets[index];
            // The answer of an agent in another region would come too late.
            if shared.is_remote(&target.data_centre) {
                continue;
            }
            let query = BacklogQuery {
                target: target.id.clone(),
            };
            let agent = shared.settings.agent_of(target);
            shared.gossip.send(agent, &Datagram::Query(query));
            asked.push(target.id.clone());
        }
        asked
    }

    /// Decides what to do with the request now.
    pub(super) fn next(&mut self) -> Next {
        let shared = self.shared.clone();
        let mut state = shared.lock();
        let now = shared.now();
        let targets = state.options(&self.service, &self.tried, now);
        let candidates = state.candidates(&shared, &targets, now);
        let (choice, prefill) = if let Some(model) = &self.request.model {
            let input = self.dispatch_input(&state, model);
            (choose_engine(&candidates, &input), input.prefill)
        } else {
            let slots: Vec<u32> = targets.iter().map(|t| t.slots).collect();
            (choose_target(&candidates, &slots), Duration::ZERO)
        };
        match choice {
            DispatchDecision::Refuse {
                reason,
                retry_after,
            } => Next::Refuse(reason, retry_after),
            DispatchDecision::AwaitModel => Next::AwaitModel(RECHECK),
            DispatchDecision::LoadAdapter { index } => {
                self.want_adapter(&targets[index]);
                Next::Wait(WANT_INTERVAL)
            }
            DispatchDecision::Send {
                index,
                predicted,
                band,
            } => {
                let age = candidates[index].engine.age(now);
                let (target, engines) = (targets[index].clone(), targets.len());
                let entries = state.entries();
                state.rates.set_fleet_size(entries, engines);
                state.rates.record(prefill, band, now);
                drop(state);
                Next::Send(self.plan(target, predicted, band, prefill, age))
            }
        }
    }

    fn dispatch_input<'a>(&'a self, state: &'a State, model: &'a str) -> DispatchInput<'a> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let usage = self.request.usage;
        let spec = state.engine_spec(&self.service);
        let model_spec = spec.and_then(|s| s.models.get(model));
        let load_time = model_spec.map_or(UNKNOWN_LOAD, |m| m.load);
        let disk_load_time = model_spec.map_or(UNKNOWN_LOAD, |m| m.disk_load);
        DispatchInput {
            model,
            adapter: self.request.adapter.as_deref(),
            prefill: state.estimator.prefill(model, usage.prompt),
            kv_tokens: usage.prompt + usage.output / OUTPUT_SHARE,
            objective: self.objective_left(),
            timeout: left.min(self.abandon_left()),
            band: self.band(),
            rates: &state.rates,
            tie_seed: rand::random(),
            load_time: load_time + PLANNING_TIME,
            disk_load_time: disk_load_time + PLANNING_TIME,
        }
    }

    /// Returns what is left until the objective, counted from the caller's first attempt.
    fn objective_left(&self) -> Duration {
        let timeout = self.request.timeout.unwrap_or(self.route.deadline);
        let before = self.route.deadline.saturating_sub(timeout);
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
        let want = AdapterRequest {
            target: target.id.clone(),
            adapter: (model.clone(), adapter.clone()),
        };
        log::debug!(request:% = self.request.attempt, target_id:% = target.id; "adapter wanted");
        self.shared.gossip.send(agent, &Datagram::Want(want));
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
            terms: ForwardOptions {
                target: target.id.clone(),
                timeout: left,
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
}
