//! Admission of an attempt: duplicate detection, idempotency keys, refusal, start or queue.

use std::time::Duration;

use kumquatkeel_types::message::{Dispatch, NotRunReason};
use kumquatkeel_types::{AttemptId, Timestamp};

use super::keys::KeyState;
use super::pool::SlotPool;
use super::record::{Job, Record};
use super::watermark::PriorState;
use super::{Admission, AttemptScheduler};

/// The lower bound of the retry delay in a refusal.
const MIN_RETRY: Duration = Duration::from_millis(10);
/// The upper bound of the retry delay in a refusal.
const MAX_RETRY: Duration = Duration::from_secs(5);

impl AttemptScheduler {
    /// Admits, queues or refuses an attempt that has reached the agent.
    ///
    /// An attempt of a higher priority is queued even if the queue is full. The next
    /// [`AttemptScheduler::tick`] then refuses the waiting attempt of the lowest rank.
    #[must_use]
    pub fn offer(&mut self, dispatch: &Dispatch, now: Timestamp) -> Admission {
        if let Some(repeat) = self.repeat_of(&dispatch.attempt) {
            return repeat;
        }
        if dispatch.incarnation.is_some_and(|i| i != self.incarnation) {
            return not_run(NotRunReason::WrongIncarnation);
        }
        self.arrivals += 1;
        let job = Job::new(dispatch, self.arrivals, now);
        if let Some(known) = self.known_key(&dispatch.attempt, &job, now) {
            return known;
        }
        if let Some((reason, retry)) = self.refusal_of(&job, now) {
            self.close_record(&dispatch.attempt, Record::NotRun(reason), now);
            return Admission::NotRun {
                reason,
                retry_after_ms: retry.map(|r| r.as_millis() as u64),
            };
        }
        self.admit(&dispatch.attempt, job, now)
    }

    fn repeat_of(&self, attempt: &AttemptId) -> Option<Admission> {
        match self.records.get(attempt) {
            Some(Record::NotRun(reason)) => Some(not_run(*reason)),
            Some(Record::Keyed(scope)) => Some(match self.keys.get(scope).map(|k| &k.state) {
                Some(KeyState::Answered(answer)) => Admission::Stored(answer.clone()),
                _ => Admission::Unknown,
            }),
            Some(Record::Ran) => Some(Admission::Unknown),
            Some(Record::Waiting(_) | Record::Running { .. } | Record::Joined(_)) => {
                Some(Admission::Repeated)
            }
            None => match self.watermarks.prior_state(attempt) {
                PriorState::New => None,
                PriorState::MayBeFenced => Some(not_run(NotRunReason::Fenced)),
                PriorState::MayHaveRun => Some(Admission::Unknown),
            },
        }
    }

    fn known_key(&mut self, attempt: &AttemptId, job: &Job, now: Timestamp) -> Option<Admission> {
        let scope = job.key.as_ref()?;
        let entry = self.keys.get(scope)?.clone();
        if entry.digest != job.digest {
            return Some(Admission::KeyReused);
        }
        match entry.state {
            KeyState::Answered(answer) => {
                self.close_record(attempt, Record::Keyed(scope.clone()), now);
                Some(Admission::Stored(answer))
            }
            KeyState::Unknown => {
                self.close_record(attempt, Record::Keyed(scope.clone()), now);
                Some(Admission::Unknown)
            }
            KeyState::InProgress(leader) => {
                let record = Record::Joined(scope.clone());
                self.records.insert(attempt.clone(), record);
                self.joined.entry(leader).or_default().push(attempt.clone());
                Some(Admission::Joined)
            }
        }
    }

    /// Returns why an attempt is refused and after what delay a retry may succeed, or `None` if it
    /// can be admitted.
    fn refusal_of(&self, job: &Job, now: Timestamp) -> Option<(NotRunReason, Option<Duration>)> {
        if self.draining {
            return Some((NotRunReason::Draining, None));
        }
        if job.rank.deadline <= now {
            return Some((NotRunReason::Deadline, None));
        }
        let pool = self.pools.get(&job.pool);
        let Some(pool) = pool.filter(|p| p.serves(job.adapter.as_ref())) else {
            return Some((NotRunReason::NotResident, None));
        };
        if job.key.is_some() && self.keys.len() >= self.limits.keys {
            return Some((NotRunReason::Busy, Some(MAX_RETRY)));
        }
        if self.may_start(pool) {
            return None;
        }
        let retry = pool.expected_wait(0).clamp(MIN_RETRY, MAX_RETRY);
        if self.waiting >= self.limits.queue && !self.displaces(job) {
            return Some((NotRunReason::Busy, Some(retry)));
        }
        // A refusal lets the entry try another target, which may have a free slot sooner.
        let wait = pool.expected_wait(pool.ahead_of(job.rank));
        (now.after(wait) > job.rank.deadline).then_some((NotRunReason::Busy, Some(retry)))
    }

    fn may_start(&self, pool: &SlotPool) -> bool {
        pool.has_slot() && pool.waiting.is_empty() && self.running < self.limits.slots
    }

    /// Returns whether a job has a higher priority than the last one in the queue.
    fn displaces(&self, job: &Job) -> bool {
        let ranks = self.pools.values().flat_map(|p| p.waiting.keys());
        ranks
            .max()
            .is_some_and(|last| job.rank.priority < last.priority)
    }

    fn admit(&mut self, attempt: &AttemptId, job: Job, now: Timestamp) -> Admission {
        if let Some(scope) = &job.key {
            self.keys.open(scope.clone(), job.digest, attempt.clone());
        }
        let starts = self.pools.get(&job.pool).is_some_and(|p| self.may_start(p));
        let Some(pool) = self.pools.get_mut(&job.pool) else {
            return not_run(NotRunReason::NotResident);
        };
        if starts {
            pool.running += 1;
            self.running += 1;
            let record = Record::Running { job, since: now };
            self.records.insert(attempt.clone(), record);
            return Admission::Start;
        }
        pool.waiting.insert(job.rank, attempt.clone());
        self.waiting += 1;
        self.records.insert(attempt.clone(), Record::Waiting(job));
        Admission::Queued
    }
}

const fn not_run(reason: NotRunReason) -> Admission {
    Admission::NotRun {
        reason,
        retry_after_ms: None,
    }
}
