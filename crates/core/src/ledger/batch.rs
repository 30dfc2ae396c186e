//! Joins waiting operations on a partition into one conditional update.

use std::collections::VecDeque;
use std::time::Duration;

use kumquatkeel_types::Timestamp;

use super::{OpAnswer, Operation, Partition, WallTime};

/// Operations that may wait for one partition.
const MAX_WAITING: usize = 1_024;

/// Operations in one update.
const MAX_BATCH: usize = 256;

/// Times that a batch is applied again after another writer came first.
const MAX_CONFLICTS: u32 = 8;

/// Identifies a waiting operation.
pub type Ticket = u64;

/// What to do next for a partition; `V` is the store's version of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchStep<V> {
    /// Read the partition's object, then call [`Batcher::on_read`].
    Read,
    /// Write the object, then call [`Batcher::on_write`].
    Write(BatchWrite<V>),
    /// Wait until this time.
    Wait(Timestamp),
    /// Nothing to do until an operation comes.
    Idle,
}

/// A conditional update of a partition's object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchWrite<V> {
    /// The version to replace; none when there is no object yet.
    pub version: Option<V>,
    /// The value.
    pub partition: Partition,
}

/// How a read ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome<V> {
    /// The partition as it stands; none when there is no object yet.
    Found(Option<(V, Partition)>),
    /// The store failed.
    Failed,
}

/// How a write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome<V> {
    /// The write took effect at this version.
    Written(V),
    /// Another write came first, or may have; the object is read again.
    Replaced,
    /// The store failed; the write may still take effect.
    Failed,
}

/// The answer to one operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchReply {
    /// The operation.
    pub ticket: Ticket,
    /// The answer.
    pub answer: OpAnswer,
}

#[derive(Debug, Clone)]
struct Waiting {
    ticket: Ticket,
    operation: Operation,
}

/// The operations that wait for one partition, and what is known of its object.
#[derive(Debug)]
pub struct Batcher<V> {
    known: Option<Known<V>>,
    waiting: VecDeque<Waiting>,
    flight: Option<Flight>,
    next: Ticket,
    conflicts: u32,
    interval: Duration,
    ready: Timestamp,
}

#[derive(Debug, Clone)]
struct Known<V> {
    version: Option<V>,
    partition: Partition,
    /// Whether it was read after the last operation came.
    fresh: bool,
}

#[derive(Debug)]
struct Flight {
    batch: Vec<Waiting>,
    answers: Vec<OpAnswer>,
    partition: Partition,
}

impl<V: Copy> Batcher<V> {
    /// Makes a batcher that writes at most once every `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            known: None,
            waiting: VecDeque::new(),
            flight: None,
            next: 1,
            conflicts: 0,
            interval,
            ready: Timestamp::ZERO,
        }
    }

    /// Sets the least time between two writes.
    pub const fn set_interval(&mut self, interval: Duration) {
        self.interval = interval;
    }

    /// Says whether no operation waits.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.flight.is_none()
    }

    /// Says whether the next step may be a write.
    pub fn may_write(&self) -> bool {
        self.known.is_some() && self.flight.is_none() && !self.waiting.is_empty()
    }

    /// Adds an operation; `None` when too many wait already.
    pub fn submit(&mut self, operation: Operation) -> Option<Ticket> {
        if self.waiting.len() >= MAX_WAITING {
            return None;
        }
        if let Some(known) = &mut self.known {
            known.fresh = false;
        }
        let ticket = self.next;
        self.next += 1;
        self.waiting.push_back(Waiting { ticket, operation });
        Some(ticket)
    }

    /// Says what to do next, and answers operations that change nothing.
    pub fn step(&mut self, now: Timestamp, wall: WallTime) -> (BatchStep<V>, Vec<BatchReply>) {
        if self.flight.is_some() || self.waiting.is_empty() {
            return (BatchStep::Idle, Vec::new());
        }
        let Some(known) = &self.known else {
            return (BatchStep::Read, Vec::new());
        };
        if now < self.ready {
            return (BatchStep::Wait(self.ready), Vec::new());
        }
        let mut partition = known.partition.clone();
        let version = known.version;
        let count = self.waiting.len().min(MAX_BATCH);
        let batch: Vec<_> = self.waiting.drain(..count).collect();
        let answers: Vec<_> = batch
            .iter()
            .map(|w| partition.apply(&w.operation, wall))
            .collect();
        if partition == known.partition {
            return self.answer_unchanged(batch, answers);
        }
        self.ready = now.after(self.interval);
        self.flight = Some(Flight {
            batch,
            answers,
            partition: partition.clone(),
        });
        (
            BatchStep::Write(BatchWrite { version, partition }),
            Vec::new(),
        )
    }

    /// Answers a batch that changes nothing, if the object was read after it came.
    ///
    /// An update proves by its condition that what it was worked out from still stood; without
    /// one only a new read does.
    fn answer_unchanged(
        &mut self,
        batch: Vec<Waiting>,
        answers: Vec<OpAnswer>,
    ) -> (BatchStep<V>, Vec<BatchReply>) {
        if self.known.as_ref().is_some_and(|known| known.fresh) {
            return (BatchStep::Idle, replies(batch, answers));
        }
        self.take_back(batch);
        (BatchStep::Read, Vec::new())
    }

    /// Takes in how a read ended.
    pub fn on_read(&mut self, end: ReadOutcome<V>) -> Vec<BatchReply> {
        match end {
            ReadOutcome::Found(found) => {
                let (version, partition) = match found {
                    Some((version, partition)) => (Some(version), partition),
                    None => (None, Partition::default()),
                };
                self.known = Some(Known {
                    version,
                    partition,
                    fresh: true,
                });
                Vec::new()
            }
            ReadOutcome::Failed => self.refuse_all(),
        }
    }

    /// Takes in how a write ended.
    pub fn on_write(&mut self, end: WriteOutcome<V>) -> Vec<BatchReply> {
        let Some(flight) = self.flight.take() else {
            return Vec::new();
        };
        match end {
            WriteOutcome::Written(version) => {
                self.conflicts = 0;
                self.known = Some(Known {
                    version: Some(version),
                    partition: flight.partition,
                    fresh: false,
                });
                replies(flight.batch, flight.answers)
            }
            WriteOutcome::Replaced if self.conflicts < MAX_CONFLICTS => {
                self.conflicts += 1;
                self.ready = Timestamp::ZERO;
                self.take_back(flight.batch);
                Vec::new()
            }
            WriteOutcome::Replaced | WriteOutcome::Failed => {
                self.conflicts = 0;
                self.take_back(flight.batch);
                self.refuse_all()
            }
        }
    }

    /// Puts a batch back to the front, to be applied to what is read next.
    fn take_back(&mut self, batch: Vec<Waiting>) {
        self.known = None;
        for waiting in batch.into_iter().rev() {
            self.waiting.push_front(waiting);
        }
    }

    fn refuse_all(&mut self) -> Vec<BatchReply> {
        self.known = None;
        let refused = self.waiting.drain(..).map(|w| BatchReply {
            ticket: w.ticket,
            answer: OpAnswer::StoreUnavailable,
        });
        refused.collect()
    }
}

fn replies(batch: Vec<Waiting>, answers: Vec<OpAnswer>) -> Vec<BatchReply> {
    let pairs = batch.into_iter().zip(answers);
    pairs
        .map(|(waiting, answer)| BatchReply {
            ticket: waiting.ticket,
            answer,
        })
        .collect()
}
