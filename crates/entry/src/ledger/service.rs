//! The ledger that keeps its claims in the platform's store.
//!
//! An operation is forwarded to the owner of its partition, or applied here by the partition's
//! worker. A claim held by another attempt is resolved by a fence at the agent, once the holder is
//! gone or the claim is old.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use kumquatkeel_core::ledger::{
    Call, CallOutcome, Claim, HeldStep, LedgerKey, OpAnswer, Operation, PartitionId,
    WriteRateLimiter, resolve_fence, resolve_held,
};
use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_platform::{ObjectStore, WriteIdGenerator};
use log::{info, warn};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::worker::{Submission, Worker, WorkerShared};
use super::{ClaimAnswer, ClaimLedger, LedgerPeers, SettleAnswer, WallClock};

/// Capacity of a worker's queue, in operations.
const WORKER_QUEUE: usize = 256;

/// Limit for outcomes that wait to be resent after the store failed.
const MAX_PENDING: usize = 4_096;

/// Delay before an outcome is first resent; it doubles with each resend.
const MIN_RESEND_DELAY: Duration = Duration::from_millis(200);

/// Upper limit of the delay between resends.
const MAX_RESEND_DELAY: Duration = Duration::from_secs(5);

/// Number of times that an outcome is resent, which takes about an hour and a half.
const MAX_RESENDS: u32 = 1_024;

/// Number of tries to claim a call; each further one follows the settlement of another claim.
const MAX_CLAIM_TRIES: u32 = 3;

/// Limits of the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerOptions {
    /// How long an operation may wait for the store.
    pub store_timeout: Duration,
}

impl Default for LedgerOptions {
    fn default() -> Self {
        Self {
            store_timeout: Duration::from_secs(3),
        }
    }
}

/// The ledger of claims in the platform's store; clones share it.
#[derive(Clone)]
pub struct StoreLedger {
    inner: Arc<Inner>,
}

struct Inner {
    shared: Arc<WorkerShared>,
    peers: Arc<dyn LedgerPeers>,
    options: LedgerOptions,
    workers: Mutex<BTreeMap<PartitionId, mpsc::Sender<Submission>>>,
    tasks: TaskTracker,
    pending: Arc<Semaphore>,
}

impl StoreLedger {
    /// Creates the ledger of one entry; its tasks end when `stop` is cancelled.
    pub fn new(
        store: Arc<dyn ObjectStore>,
        ids: WriteIdGenerator,
        peers: Arc<dyn LedgerPeers>,
        wall: WallClock,
        stop: CancellationToken,
    ) -> Self {
        let shared = WorkerShared {
            store,
            ids,
            clock: Clock::start(),
            wall,
            limiter: Mutex::new(WriteRateLimiter::default()),
            stop,
        };
        Self {
            inner: Arc::new(Inner {
                shared: Arc::new(shared),
                peers,
                options: LedgerOptions::default(),
                workers: Mutex::default(),
                tasks: TaskTracker::new(),
                pending: Arc::new(Semaphore::new(MAX_PENDING)),
            }),
        }
    }

    /// Returns the number of outcomes that wait to be stored.
    pub fn pending(&self) -> usize {
        MAX_PENDING - self.inner.pending.available_permits()
    }

    /// Waits until no outcome is left to be stored; called before the daemon stops.
    pub async fn flush(&self) {
        let all = self.inner.pending.acquire_many(MAX_PENDING as u32).await;
        drop(all);
    }

    /// Applies an operation in this entry, as the partition's owner or instead of it.
    pub async fn apply(&self, operation: &Operation) -> OpAnswer {
        let store_timeout = self.inner.options.store_timeout;
        match timeout(store_timeout, self.apply_local(operation)).await {
            Ok(answer) => answer,
            Err(_) => OpAnswer::StoreUnavailable,
        }
    }

    /// Applies an operation through the partition's owner, or here when the owner does not answer.
    ///
    /// Operations are idempotent: applying one again that the owner applied without answering does
    /// no harm.
    async fn submit(&self, operation: &Operation) -> OpAnswer {
        let partition = operation.key().partition();
        if let Some(owner) = self.inner.peers.partition_owner(partition)
            && let Some(answer) = self.inner.peers.forward(&owner, operation).await
        {
            return answer;
        }
        self.apply(operation).await
    }

    async fn apply_local(&self, operation: &Operation) -> OpAnswer {
        let partition = operation.key().partition();
        // A worker that ends when idle may drop a submission; the second try starts a new worker.
        for _ in 0..2 {
            let (reply, answer) = oneshot::channel();
            let submission = Submission {
                operation: operation.clone(),
                reply,
            };
            let worker = self.worker(partition);
            if worker.send(submission).await.is_ok()
                && let Ok(answer) = answer.await
            {
                return answer;
            }
        }
        OpAnswer::StoreUnavailable
    }

    fn worker(&self, partition: PartitionId) -> mpsc::Sender<Submission> {
        let inner = &self.inner;
        let mut workers = inner.workers.lock().unwrap_or_else(PoisonError::into_inner);
        workers.retain(|_, worker| !worker.is_closed());
        if let Some(worker) = workers.get(&partition) {
            return worker.clone();
        }
        let (sender, receiver) = mpsc::channel(WORKER_QUEUE);
        if let Ok(mut limiter) = inner.shared.limiter.lock() {
            limiter.set_writers(inner.peers.live_entries());
        }
        let worker = Worker::new(inner.shared.clone(), partition, receiver);
        inner.tasks.spawn(worker.run());
        workers.insert(partition, sender.clone());
        sender
    }

    /// Resolves a claim held by another attempt; returns `None` when the call may be claimed again.
    async fn resolve_claim(&self, key: &LedgerKey, claim: &Claim) -> Option<ClaimAnswer> {
        let peers = &self.inner.peers;
        let holder = peers.holder_state(&claim.attempt.request);
        let mut step = resolve_held(claim, holder, self.inner.shared.wall.now());
        if let HeldStep::Fence(request) = step {
            step = resolve_fence(peers.fence(&claim.target, request).await);
        }
        let outcome = match step {
            HeldStep::Running(retry_after) => return Some(ClaimAnswer::Running { retry_after }),
            HeldStep::Settle(outcome) => outcome,
            HeldStep::Unknown | HeldStep::Fence(_) => return Some(ClaimAnswer::Unknown),
        };
        info!(target: "ledger", "ledger: settling claim {} on behalf of its entry", claim.attempt);
        let operation = Operation::Settle {
            key: key.clone(),
            attempt: claim.attempt.clone(),
            outcome: outcome.clone(),
        };
        let settled = self.submit(&operation).await;
        match (outcome, settled) {
            (CallOutcome::NotRun, OpAnswer::StoreUnavailable) => {
                Some(ClaimAnswer::StoreUnavailable)
            }
            (CallOutcome::NotRun, _) | (_, OpAnswer::NotHolder) => None,
            (outcome, _) => Some(recorded_answer(outcome)),
        }
    }

    /// Resends an outcome in the background until it is stored.
    fn retry_settle(&self, operation: Operation) {
        let Ok(permit) = self.inner.pending.clone().try_acquire_owned() else {
            warn!(target: "ledger", "ledger: too many outcomes to resend; leaving one to a fence");
            return;
        };
        let ledger = self.clone();
        let stop = self.inner.shared.stop.clone();
        self.inner.tasks.spawn(async move {
            let mut delay = MIN_RESEND_DELAY;
            for _ in 0..MAX_RESENDS {
                tokio::select! {
                    () = sleep(delay) => {}
                    () = stop.cancelled() => break,
                }
                if ledger.submit(&operation).await != OpAnswer::StoreUnavailable {
                    break;
                }
                delay = (delay * 2).min(MAX_RESEND_DELAY);
            }
            drop(permit);
        });
    }
}

fn recorded_answer(outcome: CallOutcome) -> ClaimAnswer {
    match outcome {
        CallOutcome::Answered {
            status,
            content_type,
            body,
        } => ClaimAnswer::Answered {
            status,
            content_type,
            body,
        },
        CallOutcome::NotRun | CallOutcome::Unknown => ClaimAnswer::Unknown,
    }
}

#[async_trait]
impl ClaimLedger for StoreLedger {
    async fn claim(&self, call: Call) -> ClaimAnswer {
        let operation = Operation::Claim(call.clone());
        for _ in 0..MAX_CLAIM_TRIES {
            match self.submit(&operation).await {
                OpAnswer::Claimed(claim) => return ClaimAnswer::Run(claim),
                OpAnswer::Held(claim) => {
                    if let Some(answer) = self.resolve_claim(&call.key, &claim).await {
                        return answer;
                    }
                }
                OpAnswer::Recorded(outcome) => return recorded_answer(outcome),
                OpAnswer::KeyReused => return ClaimAnswer::KeyReused,
                OpAnswer::KeyExpired => return ClaimAnswer::KeyExpired,
                OpAnswer::Full => return ClaimAnswer::Full,
                OpAnswer::Settled | OpAnswer::NotHolder | OpAnswer::StoreUnavailable => {
                    // The claim may have been stored nevertheless; it is never used.
                    self.retry_settle(Operation::Settle {
                        key: call.key,
                        attempt: call.attempt,
                        outcome: CallOutcome::NotRun,
                    });
                    return ClaimAnswer::StoreUnavailable;
                }
            }
        }
        // Other attempts keep claiming the call; one of them will run it.
        let retry_after = MIN_RESEND_DELAY;
        ClaimAnswer::Running { retry_after }
    }

    async fn settle(&self, key: &LedgerKey, claim: &Claim, outcome: CallOutcome) -> SettleAnswer {
        let operation = Operation::Settle {
            key: key.clone(),
            attempt: claim.attempt.clone(),
            outcome,
        };
        match self.submit(&operation).await {
            OpAnswer::Settled => SettleAnswer::Stored,
            OpAnswer::StoreUnavailable => {
                self.retry_settle(operation);
                SettleAnswer::Pending
            }
            _ => SettleAnswer::NotHolder,
        }
    }
}
