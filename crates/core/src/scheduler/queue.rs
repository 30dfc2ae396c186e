//! The queue of waiting attempts: starts, time-outs and evictions.

use std::time::Duration;

use kumquatkeel_types::message::NotRunReason;
use kumquatkeel_types::{AttemptId, Timestamp};

use super::record::{Job, Record};
use super::{AttemptScheduler, Ending, PoolId, SchedulerStep};

impl AttemptScheduler {
    /// Expires old keys and records, refuses overdue and excess attempts, and fills free slots.
    #[must_use]
    pub fn tick(&mut self, now: Timestamp) -> Vec<SchedulerStep> {
        self.keys.expire(self.limits.key_age, now);
        while let Some((ended, _)) = self.ended.front()
            && now.since(*ended) >= self.limits.record_age
        {
            self.evict_oldest();
        }
        let overdue = self.overdue(now);
        let mut steps = self.refuse_all(overdue, NotRunReason::Deadline, now);
        let excess = self.excess();
        steps.extend(self.refuse_all(excess, NotRunReason::Busy, now));
        steps.extend(self.start_waiting(now));
        steps
    }

    /// Returns when [`AttemptScheduler::tick`] is due: the earliest start deadline of all waiting
    /// attempts; `None` when nothing waits.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let ranks = self.pools.values().flat_map(|p| p.waiting.keys());
        ranks.map(|r| r.deadline).min()
    }

    /// Starts waiting attempts by rank while slots are free; refuses overdue ones on the way.
    pub(super) fn start_waiting(&mut self, now: Timestamp) -> Vec<SchedulerStep> {
        let mut steps = Vec::new();
        while self.running < self.limits.slots {
            let next = self.pools.values().filter(|p| p.has_slot());
            let next = next.filter_map(|p| p.waiting.first_key_value()).min();
            let Some(attempt) = next.map(|(_, attempt)| attempt.clone()) else {
                break;
            };
            let Some(job) = self.dequeue(&attempt) else {
                break;
            };
            if job.rank.deadline <= now {
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

    pub(super) fn release(&mut self, pool: &PoolId, slot_time: Duration) {
        self.running = self.running.saturating_sub(1);
        let Some(state) = self.pools.get_mut(pool) else {
            return;
        };
        state.release(slot_time);
        if state.slots == 0 && state.running == 0 {
            self.pools.remove(pool);
        }
    }

    /// Removes a waiting attempt from its pool's queue; `None` if it does not wait.
    pub(super) fn dequeue(&mut self, attempt: &AttemptId) -> Option<Job> {
        let Some(Record::Waiting(job)) = self.records.get(attempt).cloned() else {
            return None;
        };
        let pool = self.pools.get_mut(&job.pool)?;
        pool.waiting.remove(&job.rank)?;
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
            if let Some(job) = self.dequeue(&attempt) {
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
        steps.extend(self.finish_joined(attempt, &end, now));
        self.finish_key(job, &end, now);
        self.close_record(attempt, Record::NotRun(reason), now);
        steps
    }

    fn overdue(&self, now: Timestamp) -> Vec<AttemptId> {
        let waiting = self.pools.values().flat_map(|p| p.waiting.iter());
        waiting
            .filter(|(rank, _)| rank.deadline <= now)
            .map(|(_, attempt)| attempt.clone())
            .collect()
    }

    /// Returns the waiting attempts beyond the queue's bound, lowest rank first.
    fn excess(&self) -> Vec<AttemptId> {
        let over = self.waiting.saturating_sub(self.limits.queue);
        let waiting = self.pools.values().flat_map(|p| p.waiting.iter());
        let mut waiting: Vec<_> = waiting.collect();
        waiting.sort();
        let last = waiting.into_iter().rev().take(over);
        last.map(|(_, attempt)| attempt.clone()).collect()
    }
}
