//! How far requests may go from the entry's data centre.
//!
//! The decision is `core::serving::LocalityControl`'s. It takes effect through the path costs of the
//! candidates, before the choice of a target.

use std::collections::HashMap;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use kumquatkeel_core::serving::{
    CallKind, Candidate, LeavingRequest, LocalityControl, LocalityMode, Place, PlaceTimes, Reach,
    ServingConfig, ShareKey, StreamPacing, Target, can_serve,
};
use kumquatkeel_types::Timestamp;

use super::exchange::{Exchange, millis};
use super::state::{Shared, State};

/// Path cost of a target that the request may not be sent to; longer than any deadline.
const BARRED_PATH_COST: Duration = Duration::from_hours(1);
/// Bytes of a request's head, estimated.
const HEAD_BYTES: u64 = 512;
/// Bytes of an answer for each output token, estimated: an event of three tokens with its framing.
const BYTES_PER_OUTPUT_TOKEN: u64 = 60;

/// The entry's state for these decisions.
#[derive(Debug, Default)]
pub(super) struct LocalityState {
    control: LocalityControl,
    /// Whether the objectives of a service allow pacing, by the configuration of `version`.
    paced: HashMap<Arc<str>, bool>,
    version: u64,
}

impl LocalityState {
    /// Returns whether the objectives of a service allow pacing.
    fn is_paced(&mut self, config: &ServingConfig, service: &Arc<str>, now: Timestamp) -> bool {
        if self.version != config.version {
            self.version = config.version;
            self.paced.clear();
            self.control.expire(now);
        }
        let paced = || StreamPacing::for_service(config, service).is_some();
        *self.paced.entry(service.clone()).or_insert_with(paced)
    }
}

/// What was decided on a request, to be recorded once its target is known.
#[derive(Debug)]
pub(super) struct ReachDecision {
    request: LeavingRequest,
    reach: Reach,
}

impl Shared {
    /// Returns the distance of a data centre.
    fn place_of(&self, data_centre: &str) -> Place {
        if *self.settings.locality.data_centre == *data_centre {
            Place::Home
        } else if self.is_remote(data_centre) {
            Place::Elsewhere
        } else {
            Place::Region
        }
    }

    fn lock_locality(&self) -> MutexGuard<'_, LocalityState> {
        self.locality.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the time to a first event of a service from a data centre.
    pub(super) fn record_place_time(
        &self,
        config: &ServingConfig,
        service: &Arc<str>,
        data_centre: &str,
        (predicted, seen): (Duration, Duration),
    ) {
        let place = self.place_of(data_centre);
        let (now, mut locality) = (self.now(), self.lock_locality());
        if locality.is_paced(config, service, now) {
            (locality.control).record_first_event(place, predicted, seen, now);
        }
    }
}

impl Exchange {
    /// Decides how far the request may go, and sets the candidates' path costs accordingly; `None` if
    /// the fixed path costs hold.
    pub(super) fn limit_reach(
        &self,
        state: &State,
        targets: &[Arc<Target>],
        candidates: &mut [Candidate<'_>],
        now: Timestamp,
    ) -> Option<ReachDecision> {
        let shared = &self.shared;
        let places: Vec<Place> = targets
            .iter()
            .map(|target| shared.place_of(&target.data_centre))
            .collect();
        if places.iter().all(|place| *place == Place::Home) {
            return None;
        }
        let (reach, decision) = match shared.settings.locality_mode {
            LocalityMode::Auto => {
                let decision = self.decide_reach(state, candidates, &places, now)?;
                (Some(decision.reach), Some(decision))
            }
            LocalityMode::Ignored => (None, None),
            LocalityMode::Forbidden => {
                let model = self.request.model.as_deref();
                let holds = |c: &Candidate<'_>| model.is_none_or(|m| c.engine.report.holds(m));
                let mut pairs = candidates.iter().zip(&places);
                if !pairs.any(|(c, p)| *p == Place::Home && can_serve(c) && holds(c)) {
                    return None;
                }
                (Some(Reach::Stay), None)
            }
        };
        for ((candidate, target), place) in candidates.iter_mut().zip(targets).zip(places) {
            let cost = match reach {
                None => Place::Home.round_trip(),
                Some(reach) if reach.admits(place) => place.round_trip(),
                Some(_) => BARRED_PATH_COST,
            };
            candidate.path_cost = if state.has_idle_connection(target) {
                cost
            } else {
                // A new connection takes one more round trip.
                cost * 2
            };
        }
        decision
    }

    /// Decides how far the request may go in the mode `auto`; `None` if its service isn't concerned.
    fn decide_reach(
        &self,
        state: &State,
        candidates: &[Candidate<'_>],
        places: &[Place],
        now: Timestamp,
    ) -> Option<ReachDecision> {
        let shared = &self.shared;
        let model = self.request.model.as_deref()?;
        let active = state.active.as_ref()?;
        if self.route.kind != CallKind::Stream {
            return None;
        }
        let mut locality = shared.lock_locality();
        if !locality.is_paced(&active.config, &self.service, now) {
            return None;
        }
        let input = self.dispatch_input(state, model);
        let times = PlaceTimes::predict(candidates, places, &input);
        if times == PlaceTimes::default() {
            return None;
        }
        let request = LeavingRequest {
            objective: input.objective,
            timeout: input.timeout,
            bytes_out: self.outgoing.body.len() as u64 + HEAD_BYTES,
            bytes_back: self.request.usage.output * BYTES_PER_OUTPUT_TOKEN + HEAD_BYTES,
            draw: self.leave_draw,
        };
        let key: ShareKey = (self.route.name.clone(), self.service.clone());
        let control = &mut locality.control;
        let reach = control.decide(&key, &request, &times, state.entries(), now);
        let changes = control.take_changes(&key);
        let budget_use = control.budget_use();
        drop(locality);
        shared.instruments.record_link_budget(budget_use);
        for change in changes {
            log::info!(
                route:% = change.key.0, service:% = change.key.1, place = change.place.name(),
                share = change.share, home_ms = times.home.map(millis),
                region_ms = times.region.map(millis), elsewhere_ms = times.elsewhere.map(millis),
                budget_use;
                "share of requests that may leave changed"
            );
        }
        Some(ReachDecision { request, reach })
    }

    /// Counts a request that is sent out of the data centre, and charges the link.
    pub(super) fn record_departure(&self, decision: Option<&ReachDecision>, target: &Target) {
        let Some(decision) = decision else {
            return;
        };
        let place = self.shared.place_of(&target.data_centre);
        let Reach::Leave(_, reason) = decision.reach else {
            return;
        };
        if place == Place::Home {
            return;
        }
        let mut locality = self.shared.lock_locality();
        locality.control.record_sent(&decision.request, place);
        drop(locality);
        let instruments = &self.shared.instruments;
        instruments.record_departure(place, reason, decision.request.bytes_out);
    }
}
