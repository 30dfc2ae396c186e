//! The default policy: the less loaded of a few near targets, probed when the view is stale.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::{Candidate, Distance, RouteRequest, RouteStep, RoutingPlugin, RoutingPolicy};

/// A load report that is younger counts as fresh.
const FRESH: Duration = Duration::from_millis(50);
/// Targets that are compared for one request.
const CHOICES: usize = 2;
/// Slots that a target counts beyond its free ones, so that a full one is still looked at.
const SPARE_FLOOR: f64 = 0.25;
/// The cost of a full target against an empty one, in milliseconds.
const LOAD_COST_MS: f64 = 400.0;
/// The cost of each batch of requests that waits at a target, in milliseconds.
const WAIT_COST_MS: f64 = 4_000.0;
/// The cost of leaving the data centre, in milliseconds.
const CENTRE_COST_MS: f64 = 2.5;
/// The cost of crossing the regional link, in milliseconds.
const REGION_COST_MS: f64 = 500.0;
/// The cost of loading an adapter before the request can run, in milliseconds.
const ADAPTER_COST_MS: f64 = 15.0;
/// What each cached prompt block saves, in milliseconds.
const PREFIX_GAIN_MS: f64 = 8.0;
/// Prompt blocks beyond this number save nothing more.
const PREFIX_MOST: u32 = 16;

/// Compares a few targets by their expected cost.
#[derive(Debug)]
struct LeastLoaded;

impl RoutingPolicy for LeastLoaded {
    fn choose(
        &mut self,
        request: &RouteRequest,
        candidates: &[Candidate],
        rng: &mut dyn Rng,
    ) -> RouteStep {
        let spare = |c: &&Candidate| is_fresh(c) && has_spare(c);
        let near = candidates
            .iter()
            .filter(|c| c.distance != Distance::OtherRegion);
        if let Some(best) = cheapest(near.clone().filter(spare), request) {
            return RouteStep::Dispatch(best.target.clone());
        }
        let stale_near: Vec<_> = near.filter(|c| !is_fresh(c)).collect();
        if let Some(step) = probe_or_dispatch(request, candidates, &stale_near, rng) {
            return step;
        }
        let far = candidates
            .iter()
            .filter(|c| c.distance == Distance::OtherRegion);
        if let Some(best) = cheapest(far.clone().filter(spare), request) {
            return RouteStep::Dispatch(best.target.clone());
        }
        let stale_far: Vec<_> = far.filter(|c| !is_fresh(c)).collect();
        if let Some(step) = probe_or_dispatch(request, candidates, &stale_far, rng) {
            return step;
        }
        match cheapest(candidates.iter(), request) {
            Some(best) => RouteStep::Dispatch(best.target.clone()),
            None => RouteStep::NoTarget,
        }
    }
}

/// Asks a few stale targets for their load, or sends at once where there is nothing to compare.
fn probe_or_dispatch(
    request: &RouteRequest,
    all: &[Candidate],
    stale: &[&Candidate],
    rng: &mut dyn Rng,
) -> Option<RouteStep> {
    match stale {
        [] => None,
        [only] if all.len() == 1 => Some(RouteStep::Dispatch(only.target.clone())),
        _ => Some(RouteStep::Probe(shortlist(request, stale, rng))),
    }
}

/// Picks the targets to compare, those believed cheapest first.
fn shortlist(
    request: &RouteRequest,
    stale: &[&Candidate],
    rng: &mut dyn Rng,
) -> Vec<kumquatkeel_types::TargetName> {
    let mut picked: Vec<&Candidate> = Vec::with_capacity(CHOICES + 1);
    let favourite = stale.iter().filter(|c| c.prefix_hits > 0);
    picked.extend(cheapest(favourite.copied(), request));
    let mut rest: Vec<&Candidate> = stale.to_vec();
    let wanted = picked.len() + CHOICES;
    while picked.len() < wanted && !rest.is_empty() {
        let candidate = rest.swap_remove(weighted_index(&rest, rng));
        if picked.iter().all(|p| p.target != candidate.target) {
            picked.push(candidate);
        }
    }
    picked.sort_by(|a, b| cost_ms(a, request).total_cmp(&cost_ms(b, request)));
    picked.into_iter().map(|c| c.target.clone()).collect()
}

/// Draws an index in proportion to the candidates' weights and spare slots.
fn weighted_index(candidates: &[&Candidate], rng: &mut dyn Rng) -> usize {
    let share = |c: &Candidate| c.weight.max(0.0) * (believed_spare(c) + SPARE_FLOOR);
    let total: f64 = candidates.iter().map(|c| share(c)).sum();
    if total <= 0.0 {
        return rng.random_range(0..candidates.len());
    }
    let mut point = rng.random_range(0.0..total);
    for (i, candidate) in candidates.iter().enumerate() {
        point -= share(candidate);
        if point < 0.0 {
            return i;
        }
    }
    candidates.len() - 1
}

fn cheapest<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    request: &RouteRequest,
) -> Option<&'a Candidate> {
    candidates.min_by(|a, b| {
        cost_ms(a, request)
            .total_cmp(&cost_ms(b, request))
            .then_with(|| a.target.cmp(&b.target))
    })
}

fn is_fresh(candidate: &Candidate) -> bool {
    candidate.load_age <= FRESH
}

const fn has_spare(candidate: &Candidate) -> bool {
    candidate.load.waiting == 0 && candidate.load.running < candidate.load.slots
}

/// Returns the slots that were free when the load was reported.
fn believed_spare(candidate: &Candidate) -> f64 {
    let taken = candidate
        .load
        .running
        .saturating_add(candidate.load.waiting);
    f64::from(candidate.load.slots.saturating_sub(taken))
}

/// Estimates what a target adds to the request's time, in milliseconds.
fn cost_ms(candidate: &Candidate, request: &RouteRequest) -> f64 {
    let slots = f64::from(candidate.load.slots.max(1));
    let load = f64::from(candidate.load.running) / slots * LOAD_COST_MS;
    let wait = f64::from(candidate.load.waiting) / slots * WAIT_COST_MS;
    let distance = match candidate.distance {
        Distance::SameCentre => 0.0,
        Distance::SameRegion => CENTRE_COST_MS,
        Distance::OtherRegion => REGION_COST_MS,
    };
    let adapter = if request.adapter.is_some() && !candidate.adapter_ready {
        ADAPTER_COST_MS
    } else {
        0.0
    };
    let gain = f64::from(candidate.prefix_hits.min(PREFIX_MOST)) * PREFIX_GAIN_MS;
    let base = LOAD_COST_MS + load + wait + distance + adapter - gain;
    base / candidate.weight.clamp(0.01, 1.0)
}

inventory::submit! {
    RoutingPlugin {
        name: "least-loaded",
        make: || Box::new(LeastLoaded),
    }
}
