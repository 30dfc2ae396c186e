//! The `least-loaded` policy, the default: probes a few targets when their load reports are stale
//! and takes the cheapest.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::{Candidate, Distance, RouteRequest, RouteStep, RoutingPlugin, RoutingPolicy};

/// A load report counts as fresh up to this age.
const MAX_FRESH_AGE: Duration = Duration::from_millis(50);
/// Targets drawn at random for one round of probes, besides one that caches the prompt's prefix.
const RANDOM_PROBES: usize = 2;
/// Added to each target's free slots in the draw, so that a full target can be drawn too.
const DRAW_OFFSET_SLOTS: f64 = 0.25;
/// The cost of a full target against an empty one.
const LOAD_COST_MS: f64 = 400.0;
/// The cost of a queue as long as the target has slots.
const WAIT_COST_MS: f64 = 4_000.0;
/// The cost of another data centre in the same region.
const CENTRE_COST_MS: f64 = 2.5;
/// The cost of crossing the regional link.
const REGION_COST_MS: f64 = 500.0;
/// The cost of loading the adapter before the request can run.
const ADAPTER_LOAD_COST_MS: f64 = 15.0;
/// The gain of each cached prompt block.
const PREFIX_GAIN_MS: f64 = 8.0;
/// Cached prompt blocks beyond this number bring no further gain.
const MAX_PREFIX_BLOCKS: u32 = 16;

/// Compares targets by their expected cost.
///
/// Targets in the entry's region go first: those known to have a free slot, then stale ones after a
/// probe. Only then follow the targets in another region, in the same order, and last the cheapest
/// target of all.
#[derive(Debug)]
struct LeastLoaded;

impl RoutingPolicy for LeastLoaded {
    fn choose(
        &mut self,
        request: &RouteRequest,
        candidates: &[Candidate],
        rng: &mut dyn Rng,
    ) -> RouteStep {
        let has_room = |c: &&Candidate| is_fresh(c) && has_free_slot(c);
        let near = candidates
            .iter()
            .filter(|c| c.distance != Distance::OtherRegion);
        if let Some(best) = cheapest(near.clone().filter(has_room), request) {
            return RouteStep::Dispatch(best.target.clone());
        }
        let stale_near: Vec<_> = near.filter(|c| !is_fresh(c)).collect();
        if let Some(step) = probe_or_dispatch(request, candidates, &stale_near, rng) {
            return step;
        }
        let far = candidates
            .iter()
            .filter(|c| c.distance == Distance::OtherRegion);
        if let Some(best) = cheapest(far.clone().filter(has_room), request) {
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

/// Probes a few stale targets, or dispatches at once to the only candidate.
fn probe_or_dispatch(
    request: &RouteRequest,
    all: &[Candidate],
    stale: &[&Candidate],
    rng: &mut dyn Rng,
) -> Option<RouteStep> {
    match stale {
        [] => None,
        [only] if all.len() == 1 => Some(RouteStep::Dispatch(only.target.clone())),
        _ => Some(RouteStep::Probe(probe_targets(request, stale, rng))),
    }
}

/// Picks the targets to probe, sorted by their expected cost.
fn probe_targets(
    request: &RouteRequest,
    stale: &[&Candidate],
    rng: &mut dyn Rng,
) -> Vec<kumquatkeel_types::TargetName> {
    let mut picked: Vec<&Candidate> = Vec::with_capacity(RANDOM_PROBES + 1);
    let cached = stale.iter().filter(|c| c.prefix_hits > 0);
    picked.extend(cheapest(cached.copied(), request));
    let mut rest: Vec<&Candidate> = stale.to_vec();
    let wanted = picked.len() + RANDOM_PROBES;
    while picked.len() < wanted && !rest.is_empty() {
        let candidate = rest.swap_remove(weighted_index(&rest, rng));
        if picked.iter().all(|p| p.target != candidate.target) {
            picked.push(candidate);
        }
    }
    picked.sort_by(|a, b| cost_ms(a, request).total_cmp(&cost_ms(b, request)));
    picked.into_iter().map(|c| c.target.clone()).collect()
}

/// Draws an index with a probability that grows with the candidate's weight and free slots.
fn weighted_index(candidates: &[&Candidate], rng: &mut dyn Rng) -> usize {
    let share = |c: &Candidate| c.weight.max(0.0) * (free_slots(c) + DRAW_OFFSET_SLOTS);
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

/// Returns the candidate of least cost; the name decides a tie.
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
    candidate.load_age <= MAX_FRESH_AGE
}

const fn has_free_slot(candidate: &Candidate) -> bool {
    candidate.load.waiting == 0 && candidate.load.running < candidate.load.slots
}

/// Returns the number of slots that were free by the last known load.
fn free_slots(candidate: &Candidate) -> f64 {
    let taken = candidate
        .load
        .running
        .saturating_add(candidate.load.waiting);
    f64::from(candidate.load.slots.saturating_sub(taken))
}

/// Estimates the time that a target adds to the request, in milliseconds, divided by its weight.
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
        ADAPTER_LOAD_COST_MS
    } else {
        0.0
    };
    let gain = f64::from(candidate.prefix_hits.min(MAX_PREFIX_BLOCKS)) * PREFIX_GAIN_MS;
    // The constant term keeps the cost positive, so that a lower weight always raises it.
    let base = LOAD_COST_MS + load + wait + distance + adapter - gain;
    base / candidate.weight.clamp(0.01, 1.0)
}

inventory::submit! {
    RoutingPlugin {
        name: "least-loaded",
        make: || Box::new(LeastLoaded),
    }
}
