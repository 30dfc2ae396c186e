//! Choice of a target for a request, or its refusal.
//!
//! During a flash crowd the requested prefill work exceeds what the engines can process, and first
//! tokens are on time only while an engine's backlog is short. A request is therefore sent to the
//! engine with the earliest predicted first token. A request that can't meet its objective any more
//! is sent in the deferred band, which uses the time that urgent work leaves. A request whose first
//! token would come too late for its caller is refused before it waits.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::band_rates::BandRates;
use super::engine::{Band, EngineState};

/// Share of the time left until the objective within which the first token must be predicted; the
/// rest covers the prediction error.
pub(super) const OBJECTIVE_SHARE: f64 = 0.65;
/// Share of the caller's remaining time within which the first token must be predicted.
pub(super) const TIMEOUT_SHARE: f64 = 0.75;
/// Time of the engine step that produces a first token, in addition to the prefill.
pub const FIRST_STEP: Duration = Duration::from_millis(25);
/// Penalty of an engine without enough free KV memory: the typical remaining time of a generation.
const KV_FULL_PENALTY: Duration = Duration::from_millis(1_500);
/// Time to load an adapter, without the transmission of the order.
const ADAPTER_LOAD: Duration = Duration::from_millis(40);
/// Time until an adapter slot is free when all are in use.
const ADAPTER_WAIT: Duration = Duration::from_millis(600);
/// Number of engines that are queried for their current backlog before a decision.
const QUERIED_ENGINES: usize = 3;
/// Upper bound of the random tie-break, so that predictions that differ by less count as about
/// equal; a tenth of a typical prefill.
const TIE_SPREAD: Duration = Duration::from_millis(10);
/// Share of the tie-break by which targets without models are ordered apart: more than the cost of a new
/// connection, which would keep an entry at the target that it used first, and less than that of the path
/// to another data centre.
const TARGET_TIE_SHARE: f64 = 0.2;
/// Shortest time after which a refused caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No target of the service accepts work.
    NoTarget,
    /// No engine holds the model, and none will have loaded it in time.
    ModelAbsent,
    /// The predicted first token is too late for the caller.
    Overload,
    /// The entry shuts down before the answer would be complete.
    Draining,
    /// A part of the prompt has crashed several targets.
    Quarantined,
    /// All targets that could run the request name a limit that is used up, or have asked for a pause.
    TargetsClosed,
    /// The software version that began the stream is unknown, and not all targets have the same.
    UnknownOrigin,
    /// The request's account is over its limit.
    AccountLimit,
    /// No issuer of the account's limit replies.
    IssuerSilent,
}

/// A target that could take the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The state of the target's engine.
    pub engine: &'a EngineState,
    /// Round-trip time to the target, plus the price of traffic on that path as time.
    pub path_cost: Duration,
    /// Time added to the prediction because the target fails part of its requests.
    pub penalty: Duration,
    /// Whether to use the target only if no other is left: it is ejected after failures, or its
    /// agent is silent, as on a stalled instance.
    pub avoided: bool,
    /// Time until the target accepts a request, by what it states about itself; `None` if it does
    /// now.
    pub closed: Option<Duration>,
}

/// What a request for a generation needs, and how long it may take.
#[derive(Debug, Clone, Copy)]
pub struct DispatchInput<'a> {
    /// The requested model.
    pub model: &'a str,
    /// The requested adapter, if any.
    pub adapter: Option<&'a str>,
    /// Predicted prefill time on an idle engine.
    pub prefill: Duration,
    /// KV memory for the prompt and its output, in tokens.
    pub kv_tokens: u64,
    /// Time left until the latency objective.
    pub objective: Duration,
    /// Time left until the caller gives up or the route's deadline expires.
    pub timeout: Duration,
    /// The band of the request while it can meet its objective.
    pub band: Band,
    /// The recent rate of work by band.
    pub rates: &'a BandRates,
    /// Random value drawn for each decision. It orders engines that are about equal, so that
    /// entries that decide at the same time don't all choose the same one.
    pub tie_seed: u64,
    /// Expected time until an engine has loaded the model from the weight store.
    pub load_time: Duration,
    /// Expected time until an engine has loaded the model from a copy on its instance.
    pub disk_load_time: Duration,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchDecision {
    /// Send the request to a candidate.
    Send {
        /// Index of the candidate.
        index: usize,
        /// Predicted time until the first token.
        predicted: Duration,
        /// The band in which the request waits at the target.
        band: Band,
    },
    /// Ask the candidate's agent to load the adapter, then decide again.
    LoadAdapter {
        /// Index of the candidate.
        index: usize,
    },
    /// Decide again when an engine's state changes; the model is expected to be loaded in time.
    AwaitModel,
    /// Refuse the request; it has not run.
    Refuse {
        /// Why the request is refused.
        reason: RefusalReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Chooses an engine for a generation.
pub fn choose_engine(candidates: &[Candidate<'_>], input: &DispatchInput<'_>) -> DispatchDecision {
    if candidates.is_empty() {
        return refuse(RefusalReason::NoTarget, Duration::from_secs(1));
    }
    let holders: Vec<usize> = (0..candidates.len())
        .filter(|i| candidates[*i].engine.report.holds(input.model))
        .collect();
    if holders.is_empty() {
        return await_or_refuse(candidates, input);
    }
    let open: Vec<usize> = (holders.iter().copied())
        .filter(|i| candidates[*i].closed.is_none())
        .collect();
    if open.is_empty() {
        let closed = holders.iter().filter_map(|i| candidates[*i].closed);
        return refuse(
            RefusalReason::TargetsClosed,
            closed.min().unwrap_or_default(),
        );
    }
    let any_usable = open.iter().any(|i| !candidates[*i].avoided);
    let usable = |i: &&usize| !any_usable || !candidates[**i].avoided;
    let best = |band: Band| {
        let ranked = |i: &usize| rank(candidates, input, band, *i);
        open.iter().filter(usable).map(ranked).min()
    };
    let limit = input.objective.mul_f64(OBJECTIVE_SHARE);
    let found = best(input.band).filter(|found| found.predicted <= limit);
    let (band, found) = match found {
        Some(found) => (input.band, Some(found)),
        None => (Band::Deferred, best(Band::Deferred)),
    };
    let Some(Ranked {
        predicted, index, ..
    }) = found
    else {
        return refuse(RefusalReason::NoTarget, MIN_RETRY_AFTER);
    };
    if predicted > input.timeout.mul_f64(TIMEOUT_SHARE) {
        let wait = predicted.saturating_sub(input.objective);
        return refuse(RefusalReason::Overload, wait);
    }
    if needs_adapter(&candidates[index], input) {
        return DispatchDecision::LoadAdapter { index };
    }
    DispatchDecision::Send {
        index,
        predicted,
        band,
    }
}

/// Returns the engines to query for their current backlog before a decision: those with the
/// earliest predicted first token.
///
/// Many entries send to the same engines, and each knows the others' work only as of some hundred
/// milliseconds ago, a time in which an engine processes several prompts.
pub fn engines_to_query(candidates: &[Candidate<'_>], input: &DispatchInput<'_>) -> Vec<usize> {
    let holders = (0..candidates.len()).filter(|i| {
        let candidate = &candidates[*i];
        let usable = !candidate.avoided && candidate.closed.is_none();
        usable && candidate.engine.report.holds(input.model)
    });
    let mut best: Vec<usize> = holders.collect();
    best.sort_by_cached_key(|i| rank(candidates, input, input.band, *i));
    best.truncate(QUERIED_ENGINES);
    best
}

/// Chooses a target of a service without models, by unfinished requests, path cost and penalty.
///
/// `slots` states how many requests each candidate runs at once, in the order of `candidates`. `tie_seed` is
/// drawn at random for each decision: each of many entries has few requests at a target, so that most of
/// them know no difference between the targets of a data centre, and must not all choose the first.
pub fn choose_target(
    candidates: &[Candidate<'_>],
    slots: &[u32],
    tie_seed: u64,
) -> DispatchDecision {
    let open = |c: &Candidate<'_>| c.closed.is_none();
    if !candidates.is_empty() && !candidates.iter().any(open) {
        let closed = candidates.iter().filter_map(|c| c.closed).min();
        return refuse(RefusalReason::TargetsClosed, closed.unwrap_or_default());
    }
    let any_usable = candidates.iter().any(|c| open(c) && !c.avoided);
    let score = |i: usize| {
        let candidate = &candidates[i];
        let load = f64::from(candidate.engine.running) / f64::from(slots[i].max(1));
        candidate.penalty
            + candidate.path_cost.mul_f64(0.5)
            + Duration::from_millis(30).mul_f64(load)
    };
    let best = (0..candidates.len())
        .filter(|i| open(&candidates[*i]) && (!any_usable || !candidates[*i].avoided))
        .map(|i| {
            let tie = tie_break(tie_seed, i).mul_f64(TARGET_TIE_SHARE);
            (score(i) + tie, i)
        })
        .min();
    best.map_or_else(
        || refuse(RefusalReason::NoTarget, Duration::from_millis(500)),
        |(_, index)| DispatchDecision::Send {
            index,
            predicted: score(index),
            band: Band::First,
        },
    )
}

/// A candidate with its sort key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Ranked {
    /// The sum of the predicted time, the penalty and the tie-break.
    key: Duration,
    predicted: Duration,
    index: usize,
}

fn rank(
    candidates: &[Candidate<'_>],
    input: &DispatchInput<'_>,
    band: Band,
    index: usize,
) -> Ranked {
    let candidate = &candidates[index];
    let predicted = predict(candidate, input, band);
    Ranked {
        key: predicted + candidate.penalty + tie_break(input.tie_seed, index),
        predicted,
        index,
    }
}

/// Returns a time below [`TIE_SPREAD`] that depends on the seed and the candidate's index.
fn tie_break(seed: u64, index: usize) -> Duration {
    let mixed = xxh3_64_with_seed(&(index as u64).to_le_bytes(), seed);
    TIE_SPREAD.mul_f64((mixed % 1_024) as f64 / 1_024.0)
}

/// Predicts the time until the first token if the request is sent to a candidate in a band.
pub(super) fn predict(
    candidate: &Candidate<'_>,
    input: &DispatchInput<'_>,
    band: Band,
) -> Duration {
    let engine = candidate.engine;
    let report = &engine.report;
    let mut time = candidate.path_cost
        + engine.ahead(band).mul_f64(input.rates.wait_factor(band))
        + input.prefill
        + FIRST_STEP;
    if report.kv_total > 0 && report.kv_used + input.kv_tokens > report.kv_total {
        time += KV_FULL_PENALTY;
    }
    if needs_adapter(candidate, input) {
        time += if report.adapter_room {
            ADAPTER_LOAD
        } else {
            ADAPTER_WAIT
        };
    }
    time
}

fn needs_adapter(candidate: &Candidate<'_>, input: &DispatchInput<'_>) -> bool {
    let report = &candidate.engine.report;
    (input.adapter).is_some_and(|adapter| !report.holds_adapter(input.model, adapter))
}

/// Decides on a request whose model no candidate holds.
fn await_or_refuse(candidates: &[Candidate<'_>], input: &DispatchInput<'_>) -> DispatchDecision {
    let cached = candidates
        .iter()
        .any(|c| c.engine.report.is_cached(input.model));
    let load_time = if cached {
        input.disk_load_time
    } else {
        input.load_time
    };
    let loads = candidates.iter().flat_map(|c| &c.engine.report.loading);
    let left = loads
        .filter(|load| &*load.model == input.model)
        .map(|load| u64::from(load.left_ms))
        .min();
    let wait = left.map_or(load_time, Duration::from_millis);
    if wait + input.prefill <= input.timeout.mul_f64(TIMEOUT_SHARE) {
        return DispatchDecision::AwaitModel;
    }
    refuse(RefusalReason::ModelAbsent, wait)
}

fn refuse(reason: RefusalReason, wait: Duration) -> DispatchDecision {
    DispatchDecision::Refuse {
        reason,
        retry_after: wait.max(MIN_RETRY_AFTER),
    }
}
