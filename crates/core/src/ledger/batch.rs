//! Batches queued operations on a partition into one conditional update.

use std::collections::VecDeque;
use std::time::Duration;

use kumquatkeel_types::Timestamp;

use super::{OpAnswer, Operation, Partition, WallTime};

/// Most operations that may be queued for one partition.
const MAX_QUEUED: usize = 1_024;

/// Most operations in one update.
const MAX_BATCH: usize = 256;

/// Most consecutive write conflicts after which a batch is retried on a new read.
const MAX_CONFLICTS: u32 = 8;

/// Identifies a submitted operation; unique within one [`Batcher`].
pub type Ticket = u64;

/// The next step for a partition; `V` is the store's version of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchStep<V> {
    /// Read the partition's object, then call [`Batcher::on_read`].
    Read,
    /// Write the partition's object, then call [`Batcher::on_write`].
    Write(BatchWrite<V>),
    /// Do nothing until this time.
    Wait(Timestamp),
    /// Do nothing until an operation is submitted or the write in flight ends.
    Idle,
}

/// A conditional update of a partition's object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchWrite<V> {
    /// The version to replace; `None` when there is no object yet.
    pub version: Option<V>,
    /// The new value of the object.
    pub partition: Partition,
}

/// Result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome<V> {
    /// The partition and its version; `None` when there is no object yet.
    Found(Option<(V, Partition)>),
    /// The store returned an error or no reply.
    Failed,
}

/// Result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome<V> {
    /// The write took effect at this version.
    Written(V),
    /// Another write came first, or may have; the object is read again.
    Replaced,
    /// The store returned an error or no reply; the write may still take effect.
    Failed,
}

/// The result of one submitted operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchReply {
    /// The ticket that [`Batcher::submit`] returned.
    pub ticket: Ticket,
    /// The result of the operation.
    pub answer: OpAnswer,
}

#[derive(Debug, Clone)]
struct QueuedOperation {
    ticket: Ticket,
    operation: Operation,
}

/// The operations queued for one partition, and a cached copy of its object.
///
/// At most one write is in flight at a time.
#[derive(Debug)]
pub struct Batcher<V> {
    cached: Option<CachedPartition<V>>,
    queue: VecDeque<QueuedOperation>,
    in_flight: Option<InFlight>,
    next_ticket: Ticket,
    conflicts: u32,
    interval: Duration,
    /// Earliest time of the next write.
    next_write: Timestamp,
}

#[derive(Debug, Clone)]
struct CachedPartition<V> {
    version: Option<V>,
    partition: Partition,
    /// Whether the copy was read after the last operation was submitted.
    fresh: bool,
}

/// A write that was sent, with the results to return if it takes effect.
#[derive(Debug)]
struct InFlight {
    batch: Vec<QueuedOperation>,
    answers: Vec<OpAnswer>,
    partition: Partition,
}

impl<V: Copy> Batcher<V> {
    /// Creates a batcher that writes at most once every `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            cached: None,
            queue: VecDeque::new(),
            in_flight: None,
            next_ticket: 1,
            conflicts: 0,
            interval,
            next_write: Timestamp::ZERO,
        }
    }

    /// Sets the minimum time between two writes.
    pub const fn set_interval(&mut self, interval: Duration) {
        self.interval = interval;
    }

    /// Returns whether no operation is queued or in flight.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    /// Returns whether the next step may be a write.
    pub fn may_write(&self) -> bool {
        self.cached.is_some() && self.in_flight.is_none() && !self.queue.is_empty()
    }

    /// Queues an operation; returns `None` when the queue is full.
    pub fn submit(&mut self, operation: Operation) -> Option<Ticket> {
        if self.queue.len() >= MAX_QUEUED {
            return None;
        }
        if let Some(cached) = &mut self.cached {
            cached.fresh = false;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.queue.push_back(QueuedOperation { ticket, operation });
        Some(ticket)
    }

    /// Returns the next step, and the results of operations that change nothing.
    pub fn step(&mut self, now: Timestamp, wall: WallTime) -> (BatchStep<V>, Vec<BatchReply>) {
        if self.in_flight.is_some() || self.queue.is_empty() {
            return (BatchStep::Idle, Vec::new());
        }
        let Some(cached) = &self.cached else {
            return (BatchStep::Read, Vec::new());
        };
        if now < self.next_write {
            return (BatchStep::Wait(self.next_write), Vec::new());
        }
        let mut partition = cached.partition.clone();
        let version = cached.version;
        let count = self.queue.len().min(MAX_BATCH);
        let batch: Vec<_> = self.queue.drain(..count).collect();
        let answers: Vec<_> = batch
            .iter()
            .map(|queued| partition.apply(&queued.operation, wall))
            .collect();
        if partition == cached.partition {
            return self.answer_unchanged(batch, answers);
        }
        self.next_write = now.after(self.interval);
        self.in_flight = Some(InFlight {
            batch,
            answers,
            partition: partition.clone(),
        });
        (
            BatchStep::Write(BatchWrite { version, partition }),
            Vec::new(),
        )
    }

    /// Answers a batch that changes nothing, if the object was read after it was submitted.
    ///
    /// The condition of an update proves that the copy it was computed from was current. Without an
    /// update, only a new read proves this.
    fn answer_unchanged(
        &mut self,
        batch: Vec<QueuedOperation>,
        answers: Vec<OpAnswer>,
    ) -> (BatchStep<V>, Vec<BatchReply>) {
        if self.cached.as_ref().is_some_and(|cached| cached.fresh) {
            return (BatchStep::Idle, replies(batch, answers));
        }
        self.requeue(batch);
        (BatchStep::Read, Vec::new())
    }

    /// Applies the result of a read; returns the operations that failed with it.
    pub fn on_read(&mut self, outcome: ReadOutcome<V>) -> Vec<BatchReply> {
        match outcome {
            ReadOutcome::Found(found) => {
                let (version, partition) = match found {
                    Some((version, partition)) => (Some(version), partition),
                    None => (None, Partition::default()),
                };
                self.cached = Some(CachedPartition {
                    version,
                    partition,
                    fresh: true,
                });
                Vec::new()
            }
            ReadOutcome::Failed => self.fail_all(),
        }
    }

    /// Applies the result of a write; returns the results of the operations that it decides.
    pub fn on_write(&mut self, outcome: WriteOutcome<V>) -> Vec<BatchReply> {
        let Some(in_flight) = self.in_flight.take() else {
            return Vec::new();
        };
        match outcome {
            WriteOutcome::Written(version) => {
                self.conflicts = 0;
                self.cached = Some(CachedPartition {
                    version: Some(version),
                    partition: in_flight.partition,
                    fresh: false,
                });
                replies(in_flight.batch, in_flight.answers)
            }
            WriteOutcome::Replaced if self.conflicts < MAX_CONFLICTS => {
                self.conflicts += 1;
                self.next_write = Timestamp::ZERO;
                self.requeue(in_flight.batch);
                Vec::new()
            }
            WriteOutcome::Replaced | WriteOutcome::Failed => {
                self.conflicts = 0;
                self.requeue(in_flight.batch);
                self.fail_all()
            }
        }
    }

    /// Puts a batch back at the front of the queue, to be applied to the next read.
    fn requeue(&mut self, batch: Vec<QueuedOperation>) {
        self.cached = None;
        for queued in batch.into_iter().rev() {
            self.queue.push_front(queued);
        }
    }

    /// Fails all queued operations with [`OpAnswer::StoreUnavailable`].
    fn fail_all(&mut self) -> Vec<BatchReply> {
        self.cached = None;
        let failed = self.queue.drain(..).map(|queued| BatchReply {
            ticket: queued.ticket,
            answer: OpAnswer::StoreUnavailable,
        });
        failed.collect()
    }
}

fn replies(batch: Vec<QueuedOperation>, answers: Vec<OpAnswer>) -> Vec<BatchReply> {
    let pairs = batch.into_iter().zip(answers);
    pairs
        .map(|(queued, answer)| BatchReply {
            ticket: queued.ticket,
            answer,
        })
        .collect()
}
