//! Choice of a target, or the reason why a request is refused at once.
//!
//! Load pattern: flash crowds push the offered prefill work past what the engines read. First
//! tokens come in time only while the work ahead at an engine is short, so a request goes where
//! its predicted first token is earliest. A request that can no longer meet its objective is sent
//! in a deferred band, which uses what urgent work leaves; one that would outlive its caller is
//! refused before it waits.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::band_rates::BandRates;
use super::engine::{Band, EngineState};

/// Part of what is left until the objective within which a first token must be predicted; the rest
/// covers the error of the prediction.
const TIMELY_SHARE: f64 = 0.65;
/// Part of the caller's remaining time within which a first token must be predicted.
const PATIENCE_SHARE: f64 = 0.75;
/// Fixed time of an engine's step before a first token, beside the prefill.
const FIRST_STEP: Duration = Duration::from_millis(25);
/// Penalty of an engine whose slots or KV memory are all taken: a typical generation's rest.
const FULL_PENALTY: Duration = Duration::from_millis(1_500);
/// Time to load an adapter, beside the order's way there.
const ADAPTER_LOAD: Duration = Duration::from_millis(40);
/// Time until a place for an adapter is free, where all are in use.
const ADAPTER_WAIT: Duration = Duration::from_millis(600);
/// Engines whose work is counted before a choice.
const COUNTED_ENGINES: usize = 3;
/// Predictions that differ by less are about equal; a tenth of a typical prefill.
const TIE_SPREAD: Duration = Duration::from_millis(10);
/// The shortest time after which a refused caller should return.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No target of the service takes work.
    NoTarget,
    /// No engine holds the model and none will in time.
    ModelAbsent,
    /// The predicted first token comes after the caller has left.
    Overload,
    /// The entry stops before the answer would be complete.
    Draining,
}

/// One target that could take the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// What is known of the engine.
    pub engine: &'a EngineState,
    /// The round trip to the target, with what a byte on that path costs.
    pub path_cost: Duration,
    /// Time by which the target is worse than others, as it fails part of its requests.
    pub penalty: Duration,
    /// Whether the target is avoided for now: failures have ejected it, or its agent is silent, as
    /// when its machine stands still.
    pub avoided: bool,
}

/// What the request needs and how long it may take.
#[derive(Debug, Clone, Copy)]
pub struct DispatchInput<'a> {
    /// The model.
    pub model: &'a str,
    /// The adapter.
    pub adapter: Option<&'a str>,
    /// The predicted prefill time on an idle engine.
    pub prefill: Duration,
    /// KV memory that the prompt and its output take, in tokens.
    pub kv_tokens: u64,
    /// What is left until the latency objective.
    pub objective: Duration,
    /// What is left until the caller leaves or the route's deadline.
    pub timeout: Duration,
    /// The band in which the request meets its objective.
    pub band: Band,
    /// The work sent lately, by band.
    pub rates: &'a BandRates,
    /// Drawn at random for each decision; orders engines that are about equal, so that entries that
    /// decide together don't all choose the same.
    pub tie_seed: u64,
    /// The expected time until an engine could have loaded the model from the weight store.
    pub load_time: Duration,
    /// The same from a copy that the engine's machine keeps.
    pub disk_load_time: Duration,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchDecision {
    /// Send it to the candidate with this index.
    Send {
        /// The candidate's index.
        index: usize,
        /// When the first token is expected.
        predicted: Duration,
        /// The band in which it waits there.
        band: Band,
    },
    /// Ask the candidate with this index to load the adapter, and decide again.
    LoadAdapter {
        /// The candidate's index.
        index: usize,
    },
    /// Decide again when an engine's state changes; the model is expected to be loaded by then.
    AwaitModel,
    /// Refuse it; it has not run.
    Refuse {
        /// The reason.
        reason: RefusalReason,
        /// When the caller should return.
        retry_after: Duration,
    },
}

/// Chooses an engine for a generation.
pub fn choose_engine(candidates: &[Candidate<'_>], terms: &DispatchInput<'_>) -> DispatchDecision {
    if candidates.is_empty() {
        return refuse(RefusalReason::NoTarget, Duration::from_secs(1));
    }
    let holders: Vec<usize> = (0..candidates.len())
        .filter(|i| candidates[*i].engine.report.holds(terms.model))
        .collect();
    if holders.is_empty() {
        return absent_model(candidates, terms);
    }
    let any_open = holders.iter().any(|i| !candidates[*i].avoided);
    let open = |i: &&usize| !any_open || !candidates[**i].avoided;
    let best = |band: Band| {
        let ranked = |i: &usize| rank(candidates, terms, band, *i);
        holders.iter().filter(open).map(ranked).min()
    };
    let timely = terms.objective.mul_f64(TIMELY_SHARE);
    let found = best(terms.band).filter(|found| found.predicted <= timely);
    let (band, found) = match found {
        Some(found) => (terms.band, Some(found)),
        None => (Band::Deferred, best(Band::Deferred)),
    };
    let Some(Ranked {
        predicted, index, ..
    }) = found
    else {
        return refuse(RefusalReason::NoTarget, MIN_RETRY_AFTER);
    };
    if predicted > terms.timeout.mul_f64(PATIENCE_SHARE) {
        let wait = predicted.saturating_sub(terms.objective);
        return refuse(RefusalReason::Overload, wait);
    }
    if needs_adapter(&candidates[index], terms) {
        return DispatchDecision::LoadAdapter { index };
    }
    DispatchDecision::Send {
        index,
        predicted,
        band,
    }
}

/// Lists the engines whose work is to be counted before a choice: the best as far as known.
///
/// Load pattern: many entries send to the same engines, and each knows the others' work only as of
/// some hundred milliseconds ago, in which an engine reads several prompts.
pub fn engines_to_query(candidates: &[Candidate<'_>], terms: &DispatchInput<'_>) -> Vec<usize> {
    let holders = (0..candidates.len()).filter(|i| {
        let candidate = &candidates[*i];
        !candidate.avoided && candidate.engine.report.holds(terms.model)
    });
    let mut best: Vec<usize> = holders.collect();
    best.sort_by_cached_key(|i| rank(candidates, terms, terms.band, *i));
    best.truncate(COUNTED_ENGINES);
    best
}

/// Chooses a plain target by unfinished requests and path.
///
/// `running` and `slots` describe each candidate in the same order.
pub fn choose_target(candidates: &[Candidate<'_>], slots: &[u32]) -> DispatchDecision {
    let any_open = candidates.iter().any(|c| !c.avoided);
    let score = |i: usize| {
        let candidate = &candidates[i];
        let load = f64::from(candidate.engine.running) / f64::from(slots[i].max(1));
        candidate.penalty
            + candidate.path_cost.mul_f64(0.5)
            + Duration::from_millis(30).mul_f64(load)
    };
    let best = (0..candidates.len())
        .filter(|i| !any_open || !candidates[*i].avoided)
        .map(|i| (score(i), i))
        .min();
    best.map_or_else(
        || refuse(RefusalReason::NoTarget, Duration::from_millis(500)),
        |(predicted, index)| DispatchDecision::Send {
            index,
            predicted,
            band: Band::First,
        },
    )
}

/// A candidate's place in a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Ranked {
    /// The predicted first token, the penalty and the tie break.
    rank: Duration,
    predicted: Duration,
    index: usize,
}

fn rank(
    candidates: &[Candidate<'_>],
    terms: &DispatchInput<'_>,
    band: Band,
    index: usize,
) -> Ranked {
    let candidate = &candidates[index];
    let predicted = predict(candidate, terms, band);
    Ranked {
        rank: predicted + candidate.penalty + tie_break(terms.tie_seed, index),
        predicted,
        index,
    }
}

/// Returns a time below [`TIE_SPREAD`] that depends on the draw and the candidate.
fn tie_break(tie_seed: u64, index: usize) -> Duration {
    let mixed = tie_seed.rotate_left((index as u32 * 11) % 64);
    TIE_SPREAD.mul_f64((mixed % 1_024) as f64 / 1_024.0)
}

fn predict(candidate: &Candidate<'_>, terms: &DispatchInput<'_>, band: Band) -> Duration {
    let engine = candidate.engine;
    let report = &engine.report;
    let mut time = candidate.path_cost
        + engine.ahead(band).mul_f64(terms.rates.wait_factor(band))
        + terms.prefill
        + FIRST_STEP;
    if report.kv_total > 0 && report.kv_used + terms.kv_tokens > report.kv_total {
        time += FULL_PENALTY;
    }
    if needs_adapter(candidate, terms) {
        time += if report.adapter_room {
            ADAPTER_LOAD
        } else {
            ADAPTER_WAIT
        };
    }
    time
}

fn needs_adapter(candidate: &Candidate<'_>, terms: &DispatchInput<'_>) -> bool {
    let report = &candidate.engine.report;
    (terms.adapter).is_some_and(|adapter| !report.holds_adapter(terms.model, adapter))
}

fn absent_model(candidates: &[Candidate<'_>], terms: &DispatchInput<'_>) -> DispatchDecision {
    let cached = candidates
        .iter()
        .any(|c| c.engine.report.is_cached(terms.model));
    let load_time = if cached {
        terms.disk_load_time
    } else {
        terms.load_time
    };
    let loads = candidates.iter().flat_map(|c| &c.engine.report.loading);
    let left = loads
        .filter(|load| &*load.model == terms.model)
        .map(|load| u64::from(load.left_ms))
        .min();
    let wait = left.map_or(load_time, Duration::from_millis);
    if wait + terms.prefill <= terms.timeout.mul_f64(PATIENCE_SHARE) {
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
