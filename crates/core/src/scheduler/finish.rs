//! The end of attempts: results, fences and cancellations, and the records kept of them.

use kumquatkeel_types::message::{FenceReply, FenceRequest, NotRunReason};
use kumquatkeel_types::{AttemptId, Timestamp};

use super::keys::KeyState;
use super::record::{Job, Record};
use super::watermark::PriorState;
use super::{AttemptScheduler, CancelStep, Ending, SchedulerStep};

impl AttemptScheduler {
    /// Fences an attempt, so that it never starts later, and returns its state.
    ///
    /// A running attempt is not stopped. An attempt without a record is recorded as not run unless
    /// it may have run. The returned steps refuse a waiting attempt and those that joined it.
    #[must_use]
    pub fn fence(
        &mut self,
        request: &FenceRequest,
        now: Timestamp,
    ) -> (FenceReply, Vec<SchedulerStep>) {
        if request.incarnation != self.incarnation {
            let incarnation = self.incarnation;
            return (FenceReply::WrongIncarnation { incarnation }, Vec::new());
        }
        let attempt = &request.attempt;
        if let Some(Record::Waiting(_)) = self.records.get(attempt) {
            let steps = self.refuse_all([attempt.clone()], NotRunReason::Fenced, now);
            return (FenceReply::NotRun, steps);
        }
        let reply = match self.records.get(attempt) {
            Some(Record::NotRun(_)) => FenceReply::NotRun,
            Some(Record::Running { .. } | Record::Joined(_) | Record::Waiting(_)) => {
                FenceReply::Running
            }
            Some(Record::Ran) => FenceReply::Unknown,
            Some(Record::Keyed(scope)) => match self.keys.get(scope).map(|k| &k.state) {
                Some(KeyState::Answered(answer)) => answer.fence_reply(),
                _ => FenceReply::Unknown,
            },
            None if self.watermarks.prior_state(attempt) == PriorState::MayHaveRun => {
                FenceReply::Unknown
            }
            None => {
                self.close_record(attempt, Record::NotRun(NotRunReason::Fenced), now);
                FenceReply::NotRun
            }
        };
        (reply, Vec::new())
    }

    /// Records the end of a running attempt and fills the freed slot.
    ///
    /// Does nothing if the attempt does not run.
    #[must_use]
    pub fn finish(
        &mut self,
        attempt: &AttemptId,
        end: Ending,
        now: Timestamp,
    ) -> Vec<SchedulerStep> {
        let Some(Record::Running { job, since }) = self.records.get(attempt).cloned() else {
            return Vec::new();
        };
        self.release(&job.pool, now.since(since));
        let mut steps = self.finish_joined(attempt, &end, now);
        self.finish_key(&job, &end, now);
        let record = match (end, job.key) {
            (Ending::NotSent(reason), _) => Record::NotRun(reason),
            (_, Some(scope)) => Record::Keyed(scope),
            _ => Record::Ran,
        };
        self.close_record(attempt, record, now);
        steps.extend(self.start_waiting(now));
        steps
    }

    /// Cancels an attempt whose caller has disconnected.
    ///
    /// A waiting attempt is refused. A running call with an idempotency key runs on, because its
    /// answer is kept for later calls with the key.
    #[must_use]
    pub fn cancel(
        &mut self,
        attempt: &AttemptId,
        now: Timestamp,
    ) -> (CancelStep, Vec<SchedulerStep>) {
        match self.records.get(attempt) {
            Some(Record::Waiting(_)) => {
                let steps = self.refuse_all([attempt.clone()], NotRunReason::Cancelled, now);
                (CancelStep::NotRun, steps)
            }
            Some(Record::Running { job, .. }) if job.key.is_none() => {
                (CancelStep::CancelTarget, Vec::new())
            }
            _ => (CancelStep::Nothing, Vec::new()),
        }
    }

    pub(super) fn finish_key(&mut self, job: &Job, end: &Ending, now: Timestamp) {
        let Some(scope) = &job.key else {
            return;
        };
        let bytes = self.limits.answer_bytes;
        match end {
            Ending::NotSent(_) => self.keys.remove(scope),
            Ending::Answered(answer) => self.keys.finish(scope, Some(answer.clone()), bytes, now),
            Ending::Finished | Ending::Unknown => self.keys.finish(scope, None, bytes, now),
        }
    }

    pub(super) fn finish_joined(
        &mut self,
        leader: &AttemptId,
        end: &Ending,
        now: Timestamp,
    ) -> Vec<SchedulerStep> {
        let joined = self.joined.remove(leader).unwrap_or_default();
        let mut steps = Vec::new();
        for attempt in joined {
            let Some(Record::Joined(scope)) = self.records.get(&attempt).cloned() else {
                continue;
            };
            let record = match end {
                Ending::NotSent(reason) => Record::NotRun(*reason),
                _ => Record::Keyed(scope),
            };
            self.close_record(&attempt, record, now);
            steps.push(joined_step(attempt, end));
        }
        steps
    }

    pub(super) fn close_record(&mut self, attempt: &AttemptId, record: Record, now: Timestamp) {
        self.records.insert(attempt.clone(), record);
        self.ended.push_back((now, attempt.clone()));
        while self.ended.len() > self.limits.records {
            self.evict_oldest();
        }
    }

    pub(super) fn evict_oldest(&mut self) {
        let Some((_, attempt)) = self.ended.pop_front() else {
            return;
        };
        let Some(record) = self.records.remove(&attempt) else {
            return;
        };
        let ran = !matches!(record, Record::NotRun(_));
        self.watermarks.raise(&attempt, ran, self.limits.entries);
    }
}

/// Returns the step of a joined attempt at the end of the attempt that it joined.
fn joined_step(attempt: AttemptId, end: &Ending) -> SchedulerStep {
    match end {
        Ending::NotSent(reason) => SchedulerStep::NotRun {
            attempt,
            reason: *reason,
        },
        Ending::Answered(answer) => SchedulerStep::Answer {
            attempt,
            answer: answer.clone(),
        },
        Ending::Finished | Ending::Unknown => SchedulerStep::Unknown(attempt),
    }
}
