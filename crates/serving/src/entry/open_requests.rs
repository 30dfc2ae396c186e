//! The requests that an entry has begun to read and whose response is not complete, as far as the entry makes or
//! relays it, and what each of them waits for. Bytes that are still to be written to a caller are not known here.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use super::exchange::millis;

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Stage {
    /// The caller, which sends the body.
    Body,
    /// The origin of a resumed stream.
    Origin,
    /// The agents' replies to backlog queries.
    Backlog,
    /// A model, an adapter or another change of the targets.
    Model,
    /// The payment out of its account's limit.
    Payment,
    /// The admission by the agent beside its engine.
    Admission,
    /// The permit for a target that names a limit.
    Permit,
    /// The store, which grants a trial of a quarantined suspect.
    Trial,
    /// The answer of a target.
    Target,
    /// The rest of a stream, part of which has been passed on.
    Stream,
}

/// The open requests of an entry, by the order in which they came.
#[derive(Debug, Default)]
pub(super) struct OpenRequests(Mutex<Registry>);

#[derive(Debug, Default)]
struct Registry {
    last: u64,
    open: BTreeMap<u64, Arc<OpenRequest>>,
}

/// A request without a full answer.
#[derive(Debug)]
pub(super) struct OpenRequest {
    /// The caller's id of its attempt.
    pub(super) attempt: Arc<str>,
    pub(super) arrival: Instant,
    progress: Mutex<Progress>,
}

#[derive(Debug)]
struct Progress {
    stage: Stage,
    since: Instant,
    /// The time spent in stages that have ended.
    spent: BTreeMap<Stage, Duration>,
}

/// Keeps a request among the open ones until it is dropped.
#[derive(Debug)]
pub(super) struct OpenRequestGuard {
    requests: Arc<OpenRequests>,
    number: u64,
    request: Arc<OpenRequest>,
}

impl OpenRequests {
    /// Adds a request, whose body is read first.
    pub(super) fn begin(self: &Arc<Self>, attempt: Arc<str>, arrival: Instant) -> OpenRequestGuard {
        let progress = Progress {
            stage: Stage::Body,
            since: arrival,
            spent: BTreeMap::new(),
        };
        let request = Arc::new(OpenRequest {
            attempt,
            arrival,
            progress: Mutex::new(progress),
        });
        let mut registry = self.registry();
        registry.last += 1;
        let number = registry.last;
        registry.open.insert(number, request.clone());
        OpenRequestGuard {
            requests: self.clone(),
            number,
            request,
        }
    }

    /// Returns the requests that are open now.
    pub(super) fn list(&self) -> Vec<Arc<OpenRequest>> {
        self.registry().open.values().cloned().collect()
    }

    fn registry(&self) -> MutexGuard<'_, Registry> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenRequest {
    /// Returns the current stage and the time since it began.
    pub(super) fn stage(&self) -> (Stage, Duration) {
        let progress = self.progress();
        (progress.stage, progress.since.elapsed())
    }

    /// Returns the milliseconds spent in each stage, without those that took none.
    pub(super) fn stage_times(&self) -> BTreeMap<Stage, u64> {
        let progress = self.progress();
        let mut spent = progress.spent.clone();
        *spent.entry(progress.stage).or_default() += progress.since.elapsed();
        let times = spent.into_iter().map(|(stage, time)| (stage, millis(time)));
        times.filter(|(_, time)| *time > 0).collect()
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenRequestGuard {
    /// Records that the request waits for something else from now on.
    pub(super) fn enter(&self, stage: Stage) {
        let now = Instant::now();
        let mut progress = self.request.progress();
        let (last, spent) = (progress.stage, now - progress.since);
        *progress.spent.entry(last).or_default() += spent;
        (progress.stage, progress.since) = (stage, now);
    }

    /// Returns the request.
    pub(super) fn request(&self) -> &OpenRequest {
        &self.request
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.requests.registry().open.remove(&self.number);
    }
}
