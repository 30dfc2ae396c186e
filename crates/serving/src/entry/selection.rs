//! Selection of a target for a request, from what the entry knows now.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{
    Band, CallKind, Candidate, Choice, DispatchTerms, DrainPlan, RefusalReason, Target,
    choose_engine, choose_plain,
};
use tokio::time::Instant;

use super::attempt::AttemptPlan;
use super::exchange::{Exchange, millis};
use super::state::{Shared, State};
use super::work::WorkGuard;
use crate::gossip::{AdapterWant, Datagram};
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

    /// Decides what to do with the request now.
    pub(super) fn next(&mut self) -> Next {
        let shared = self.shared.clone();
        let mut state = shared.lock();
        let now = shared.now();
        let ready: Vec<Arc<Target>> = state.objects.table.ready(&self.service).to_vec();
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
        if let Choice::Send { band, .. } = choice {
            let (entries, engines) = (state.entries(), targets.len());
            state.rates.set_fleet(entries, engines);
            state.rates.record(prefill, band, now);
        }
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
        self.gossip.send(agent, &Datagram::Want(want));
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
