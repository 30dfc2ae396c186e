//! A model engine with one accelerator and continuous batching.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kumquatkeel_types::{AdapterName, AttemptId, ModelId};

/// Weights that an accelerator reads in a millisecond, in megabytes.
const READ_MB_MS: f64 = 2_000.0;
/// Time that each sequence adds to a step, in milliseconds.
const SEQUENCE_MS: f64 = 0.5;
/// Prompt tokens that an accelerator takes in within a millisecond.
const PROMPT_TOKENS_MS: f64 = 8.0;
/// Tokens that travel in one event after the first.
pub(super) const CHUNK_TOKENS: u32 = 16;

/// A request that runs on an engine.
#[derive(Debug, Clone)]
pub(super) struct Sequence {
    /// The request, by its place in the schedule.
    pub(super) request: usize,
    /// The attempt.
    pub(super) attempt: AttemptId,
    /// The model.
    pub(super) model: ModelId,
    /// Prompt tokens that are still to be taken in.
    pub(super) prompt: u32,
    /// Tokens generated so far, over all attempts.
    pub(super) done: u32,
    /// Tokens of the whole answer.
    pub(super) tokens: u32,
}

/// What a step gives for one sequence.
#[derive(Debug, Clone)]
pub(super) struct Output {
    /// The sequence after the step.
    pub(super) sequence: Sequence,
    /// The event's index in the whole answer, if tokens are sent on now.
    pub(super) chunk: Option<u32>,
    /// Whether the answer is whole.
    pub(super) finished: bool,
}

/// A replica on an engine.
#[derive(Debug, Clone)]
pub(super) struct Replica {
    /// Memory of the weights, in megabytes.
    pub(super) weights_mb: u32,
    /// Memory of the replica without its adapters, in megabytes.
    pub(super) memory_mb: u32,
    /// Whether it serves.
    pub(super) ready: bool,
    /// The adapters, with their memory in megabytes.
    pub(super) adapters: BTreeMap<AdapterName, u32>,
}

/// The engine.
#[derive(Debug, Clone, Default)]
pub(super) struct Engine {
    /// The replicas.
    pub(super) replicas: BTreeMap<ModelId, Replica>,
    running: Vec<Sequence>,
    joining: Vec<Sequence>,
    stepping: bool,
}

impl Engine {
    /// Returns the memory in use, in megabytes.
    pub(super) fn used_mb(&self) -> u32 {
        let size = |r: &Replica| r.memory_mb + r.adapters.values().sum::<u32>();
        self.replicas.values().map(size).sum()
    }

    /// Takes in a sequence, which joins the next step.
    pub(super) fn join(&mut self, sequence: Sequence) {
        self.joining.push(sequence);
    }

    /// Drops a sequence.
    pub(super) fn cancel(&mut self, attempt: &AttemptId) {
        self.running.retain(|s| s.attempt != *attempt);
        self.joining.retain(|s| s.attempt != *attempt);
    }

    /// Says whether a model has sequences.
    pub(super) fn is_busy(&self, model: &ModelId) -> bool {
        let mut all = self.running.iter().chain(&self.joining);
        all.any(|s| s.model == *model)
    }

    /// Starts a step unless one is in progress or there is nothing to do, and returns its time.
    pub(super) fn start_step(&mut self) -> Option<Duration> {
        if self.stepping {
            return None;
        }
        let joining = std::mem::take(&mut self.joining);
        let prompts: u32 = joining.iter().map(|s| s.prompt).sum();
        self.running.extend(joining);
        if self.running.is_empty() {
            return None;
        }
        self.stepping = true;
        let active: BTreeSet<&ModelId> = self.running.iter().map(|s| &s.model).collect();
        let read_mb: u32 = active
            .iter()
            .filter_map(|model| self.replicas.get(*model))
            .map(|r| r.weights_mb)
            .sum();
        let step_ms = f64::from(read_mb) / READ_MB_MS
            + self.running.len() as f64 * SEQUENCE_MS
            + f64::from(prompts) / PROMPT_TOKENS_MS;
        Some(Duration::from_secs_f64(step_ms / 1_000.0))
    }

    /// Ends a step: each sequence has one token more.
    pub(super) fn end_step(&mut self) -> Vec<Output> {
        self.stepping = false;
        let mut outputs = Vec::new();
        for sequence in &mut self.running {
            sequence.prompt = 0;
            sequence.done += 1;
            let finished = sequence.done >= sequence.tokens;
            let chunk = chunk_of(sequence.done, finished);
            if chunk.is_some() {
                outputs.push(Output {
                    sequence: sequence.clone(),
                    chunk,
                    finished,
                });
            }
        }
        self.running.retain(|s| s.done < s.tokens);
        outputs
    }

    /// Loses everything.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }
}

/// Returns the index of the event that goes out after this many tokens, if one does.
fn chunk_of(done: u32, finished: bool) -> Option<u32> {
    if done == 1 {
        return Some(0);
    }
    let whole = (done - 1).is_multiple_of(CHUNK_TOKENS);
    (whole || finished).then(|| (done - 1).div_ceil(CHUNK_TOKENS))
}

/// Returns the tokens that an answer of this many events holds.
pub(super) const fn tokens_in(events: u32) -> u32 {
    match events {
        0 => 0,
        events => 1 + (events - 1) * CHUNK_TOKENS,
    }
}
