//! The queue: who starts next, and who is not run.

use std::time::Duration;

use kumquatkeel_types::message::NotRunReason;
use kumquatkeel_types::{AttemptId, Timestamp};

use super::record::{Job, Record};
use super::{AttemptScheduler, Ending, PoolId, SchedulerStep};

impl AttemptScheduler {
    /// Ends what has waited too long and forgets what is too old.
    #[must_use]
    pub fn tick(&mut self, now: Timestamp) -> Vec<SchedulerStep> {
        self.keys.expire(self.limits.key_age, now);
        while let Some((ended, _)) = self.ended.front()
            && now.since(*ended) >= self.limits.record_age
        {
            self.drop_oldest();
        }
        let late = self.late(now);
        let mut steps = self.refuse_all(late, NotRunReason::Deadline, now);
        let surplus = self.surplus();
        steps.extend(self.refuse_all(surplus, NotRunReason::Busy, now));
        steps.extend(self.fill(now));
        steps
    }

    /// Returns when the next attempt has waited too long.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let turns = self.pools.values().flat_map(|l| l.waiting.keys());
        turns.map(|t| t.deadline).min()
    }

    /// Starts what waits, in turn, while there are slots.
    pub(super) fn fill(&mut self, now: Timestamp) -> Vec<SchedulerStep> {
        let mut steps = Vec::new();
        while self.running < self.limits.slots {
            let next = self.pools.values().filter(|l| l.has_slot());
            let next = next.filter_map(|l| l.waiting.first_key_value()).min();
            let Some(attempt) = next.map(|(_, attempt)| attempt.clone()) else {
                break;
            };
            let Some(job) = self.take_waiting(&attempt) else {
                break;
            };
            if job.turn.deadline <= now {
                steps.extend(self.refuse(&attempt, &job, NotRunReason::Deadline, now));
                continue;
            }
            if let Some(pool) = self.pools.get_mut(&job.pool) {
                pool.running += 1;
            }
            self.running += 1;
            let record = Record::Running { job, since: now };
            self.records.insert(attempt.clone(), record);
            steps.push(SchedulerStep::Start(attempt));
        }
        steps
    }

    pub(super) fn release(&mut self, pool: &PoolId, hold: Duration) {
        self.running = self.running.saturating_sub(1);
        let Some(state) = self.pools.get_mut(pool) else {
            return;
        };
        state.release(hold);
        if state.slots == 0 && state.running == 0 {
            self.pools.remove(pool);
        }
    }

    /// Takes a waiting attempt out of its queue.
    pub(super) fn take_waiting(&mut self, attempt: &AttemptId) -> Option<Job> {
        let Some(Record::Waiting(job)) = self.records.get(attempt).cloned() else {
            return None;
        };
        let pool = self.pools.get_mut(&job.pool)?;
        pool.waiting.remove(&job.turn)?;
        self.waiting = self.waiting.saturating_sub(1);
        Some(job)
    }

    pub(super) fn refuse_all(
        &mut self,
        attempts: impl IntoIterator<Item = AttemptId>,
        reason: NotRunReason,
        now: Timestamp,
    ) -> Vec<SchedulerStep> {
        let mut steps = Vec::new();
        for attempt in attempts {
            if let Some(job) = self.take_waiting(&attempt) {
                steps.extend(self.refuse(&attempt, &job, reason, now));
            }
        }
        steps
    }

    fn refuse(
        &mut self,
        attempt: &AttemptId,
        job: &Job,
        reason: NotRunReason,
        now: Timestamp,
    ) -> Vec<SchedulerStep> {
        let end = Ending::NotSent(reason);
        let mut steps = vec![SchedulerStep::NotRun {
            attempt: attempt.clone(),
            reason,
        }];
        steps.extend(self.settle_joined(attempt, &end, now));
        self.settle_key(job, &end, now);
        self.end_record(attempt, Record::NotRun(reason), now);
        steps
    }

    fn late(&self, now: Timestamp) -> Vec<AttemptId> {
        let waiting = self.pools.values().flat_map(|l| l.waiting.iter());
        waiting
            .filter(|(turn, _)| turn.deadline <= now)
            .map(|(_, attempt)| attempt.clone())
            .collect()
    }

    /// Returns the last waiting attempts beyond the queue's bound.
    fn surplus(&self) -> Vec<AttemptId> {
        let over = self.waiting.saturating_sub(self.limits.queue);
        let waiting = self.pools.values().flat_map(|l| l.waiting.iter());
        let mut waiting: Vec<_> = waiting.collect();
        waiting.sort();
        let last = waiting.into_iter().rev().take(over);
        last.map(|(_, attempt)| attempt.clone()).collect()
    }
}
