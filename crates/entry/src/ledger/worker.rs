//! The task that reads and writes one partition of the ledger and batches the operations on it.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use kumquatkeel_core::ledger::{
    BatchReply, BatchStep, BatchWrite, Batcher, OpAnswer, Operation, Partition, PartitionId,
    ReadOutcome, Ticket, WriteOutcome, WriteRateLimiter,
};
use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_platform::{
    Object, ObjectKey, ObjectStore, ObjectVersion, Precondition, PutOutcome, WriteIdGenerator,
    put_resolved,
};
use kumquatkeel_types::Timestamp;
use log::{debug, warn};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use super::WallClock;

/// Minimum time between two writes of one partition.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);

/// Time without operations after which a worker ends.
const IDLE_LIMIT: Duration = Duration::from_mins(1);

/// An operation submitted to a worker.
pub(super) struct Submission {
    /// The operation.
    pub(super) operation: Operation,
    /// The channel for its result.
    pub(super) reply: oneshot::Sender<OpAnswer>,
}

/// The state shared by all workers of an entry.
pub(super) struct WorkerShared {
    pub(super) store: Arc<dyn ObjectStore>,
    pub(super) ids: WriteIdGenerator,
    pub(super) clock: Clock,
    pub(super) wall: WallClock,
    pub(super) limiter: Mutex<WriteRateLimiter>,
    pub(super) stop: CancellationToken,
}

/// Applies the operations on one partition, one store call at a time.
pub(super) struct Worker {
    shared: Arc<WorkerShared>,
    partition: PartitionId,
    key: ObjectKey,
    submissions: mpsc::Receiver<Submission>,
    batcher: Batcher<ObjectVersion>,
    replies: Vec<(Ticket, oneshot::Sender<OpAnswer>)>,
}

impl Worker {
    pub(super) fn new(
        shared: Arc<WorkerShared>,
        partition: PartitionId,
        submissions: mpsc::Receiver<Submission>,
    ) -> Self {
        Self {
            shared,
            partition,
            key: ObjectKey::from(partition.object_key()),
            submissions,
            batcher: Batcher::new(WRITE_INTERVAL),
            replies: Vec::new(),
        }
    }

    /// Runs until the daemon stops or no operation has arrived for [`IDLE_LIMIT`].
    pub(super) async fn run(mut self) {
        let stop = self.shared.stop.clone();
        tokio::select! {
            () = self.process() => {}
            () = stop.cancelled() => {}
        }
    }

    async fn process(&mut self) {
        loop {
            self.drain_submissions();
            if self.batcher.may_write() {
                // Operations that arrive while the write waits for the rate limit join its batch.
                sleep_until(self.shared.clock.instant(self.reserve_write())).await;
                self.drain_submissions();
            }
            let now = self.shared.clock.now();
            let (step, replies) = self.batcher.step(now, self.shared.wall.now());
            self.send_replies(replies);
            match step {
                BatchStep::Idle if !self.batcher.is_idle() => {}
                BatchStep::Idle => match timeout(IDLE_LIMIT, self.submissions.recv()).await {
                    Ok(Some(submission)) => self.accept(submission),
                    Ok(None) | Err(_) => return,
                },
                BatchStep::Wait(at) => sleep_until(self.shared.clock.instant(at)).await,
                BatchStep::Read => {
                    let result = self.read().await;
                    let replies = self.batcher.on_read(result);
                    self.send_replies(replies);
                }
                BatchStep::Write(write) => {
                    let result = self.write(write).await;
                    let replies = self.batcher.on_write(result);
                    self.send_replies(replies);
                }
            }
        }
    }

    fn drain_submissions(&mut self) {
        while let Ok(submission) = self.submissions.try_recv() {
            self.accept(submission);
        }
    }

    fn accept(&mut self, submission: Submission) {
        match self.batcher.submit(submission.operation) {
            Some(ticket) => self.replies.push((ticket, submission.reply)),
            None => {
                let _ = submission.reply.send(OpAnswer::StoreUnavailable);
            }
        }
    }

    fn send_replies(&mut self, replies: Vec<BatchReply>) {
        for BatchReply { ticket, answer } in replies {
            let Some(index) = self.replies.iter().position(|(t, _)| *t == ticket) else {
                continue;
            };
            let (_, reply) = self.replies.swap_remove(index);
            let _ = reply.send(answer);
        }
    }

    async fn read(&self) -> ReadOutcome<ObjectVersion> {
        let id = self.partition;
        match self.shared.store.get(&self.key).await {
            Ok(None) => ReadOutcome::Found(None),
            Ok(Some(object)) => match decode_partition(&object) {
                Ok(partition) => ReadOutcome::Found(Some((object.version, partition))),
                Err(error) => {
                    warn!(target: "ledger", "ledger: partition {id} is malformed: {error}");
                    ReadOutcome::Failed
                }
            },
            Err(error) => {
                warn!(target: "ledger", "ledger: reading partition {id} failed: {error}");
                ReadOutcome::Failed
            }
        }
    }

    async fn write(&self, write: BatchWrite<ObjectVersion>) -> WriteOutcome<ObjectVersion> {
        let id = self.partition;
        let Ok(value) = serde_json::to_vec(&write.partition) else {
            return WriteOutcome::Failed;
        };
        let precondition = write
            .version
            .map_or(Precondition::Absent, Precondition::Version);
        let store = &*self.shared.store;
        let write = self.shared.ids.next_id();
        match put_resolved(store, &self.key, precondition, &write, value.into()).await {
            Ok(PutOutcome::Written(version)) => WriteOutcome::Written(version),
            Ok(PutOutcome::Conflict | PutOutcome::Superseded(_)) => {
                debug!(target: "ledger", "ledger: partition {id} was changed by another entry");
                WriteOutcome::Replaced
            }
            Err(error) => {
                warn!(target: "ledger", "ledger: writing partition {id} failed: {error}");
                WriteOutcome::Failed
            }
        }
    }

    fn reserve_write(&self) -> Timestamp {
        let now = self.shared.clock.now();
        match self.shared.limiter.lock() {
            Ok(mut limiter) => limiter.reserve(now),
            Err(_) => now,
        }
    }
}

fn decode_partition(object: &Object) -> Result<Partition, serde_json::Error> {
    serde_json::from_slice(&object.value)
}
