//! The ledger in the platform's store.

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
use super::{CallLedger, ClaimAnswer, LedgerPeers, SettleAnswer, WallClock};

/// Operations on their way to one worker.
const WORKER_QUEUE: usize = 256;

/// Outcomes that are sent again after the store failed.
const MAX_PENDING: usize = 4_096;

/// First pause before an outcome is sent again; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause before an outcome is sent again.
const LAST_PAUSE: Duration = Duration::from_secs(5);

/// Times that an outcome is sent again: about an hour and a half.
const MAX_RESENDS: u32 = 1_024;

/// Times that a call is claimed again after what held it was settled.
const MAX_CLAIMS: u32 = 3;

/// Limits of the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerOptions {
    /// The longest time that an operation waits for the store.
    pub wait: Duration,
}

impl Default for LedgerOptions {
    fn default() -> Self {
        Self {
            wait: Duration::from_secs(3),
        }
    }
}

/// The ledger of calls, kept in the platform's store.
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
    /// Makes the ledger of one entry; its tasks end when `stop` is cancelled.
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

    /// Returns the number of outcomes that are still to be stored.
    pub fn pending(&self) -> usize {
        MAX_PENDING - self.inner.pending.available_permits()
    }

    /// Returns when no outcome is left to be stored; to be called before the daemon stops.
    pub async fn flush(&self) {
        let all = self.inner.pending.acquire_many(MAX_PENDING as u32).await;
        drop(all);
    }

    /// Applies an operation in this entry, as the partition's owner or in its place.
    pub async fn apply(&self, operation: &Operation) -> OpAnswer {
        let wait = self.inner.options.wait;
        match timeout(wait, self.apply_local(operation)).await {
            Ok(answer) => answer,
            Err(_) => OpAnswer::StoreUnavailable,
        }
    }

    /// Applies an operation through the partition's owner, or here when that does not answer.
    ///
    /// An operation has the effect of once however often it is applied.
    async fn submit(&self, operation: &Operation) -> OpAnswer {
        let partition = operation.key().partition();
        if let Some(owner) = self.inner.peers.owner(partition)
            && let Some(answer) = self.inner.peers.forward(&owner, operation).await
        {
            return answer;
        }
        self.apply(operation).await
    }

    async fn apply_local(&self, operation: &Operation) -> OpAnswer {
        let partition = operation.key().partition();
        // A worker that ends because it was idle may drop one submission; the next worker takes it.
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
            limiter.set_writers(inner.peers.writers());
        }
        let worker = Worker::new(inner.shared.clone(), partition, receiver);
        inner.tasks.spawn(worker.run());
        workers.insert(partition, sender.clone());
        sender
    }

    /// Looks into a call that another attempt holds; `None` when it may be claimed again.
    async fn look_into(&self, key: &LedgerKey, claim: &Claim) -> Option<ClaimAnswer> {
        let peers = &self.inner.peers;
        let holder = peers.holder(&claim.attempt.request);
        let mut step = resolve_held(claim, holder, self.inner.shared.wall.now());
        if let HeldStep::Fence(request) = step {
            step = resolve_fence(peers.fence(&claim.target, request).await);
        }
        let outcome = match step {
            HeldStep::Running(retry_after) => return Some(ClaimAnswer::Running { retry_after }),
            HeldStep::Settle(outcome) => outcome,
            HeldStep::Unknown | HeldStep::Fence(_) => return Some(ClaimAnswer::Unknown),
        };
        info!(target: "ledger", "ledger: claim {} is settled for its entry", claim.attempt);
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
            (outcome, _) => Some(told(outcome)),
        }
    }

    /// Sends an outcome until it stands.
    fn send_later(&self, operation: Operation) {
        let Ok(permit) = self.inner.pending.clone().try_acquire_owned() else {
            warn!(target: "ledger", "ledger: too many outcomes wait; one is left to be fenced");
            return;
        };
        let ledger = self.clone();
        let stop = self.inner.shared.stop.clone();
        self.inner.tasks.spawn(async move {
            let mut pause = FIRST_PAUSE;
            for _ in 0..MAX_RESENDS {
                tokio::select! {
                    () = sleep(pause) => {}
                    () = stop.cancelled() => break,
                }
                if ledger.submit(&operation).await != OpAnswer::StoreUnavailable {
                    break;
                }
                pause = (pause * 2).min(LAST_PAUSE);
            }
            drop(permit);
        });
    }
}

fn told(outcome: CallOutcome) -> ClaimAnswer {
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
impl CallLedger for StoreLedger {
    async fn claim(&self, call: Call) -> ClaimAnswer {
        let operation = Operation::Claim(call.clone());
        for _ in 0..MAX_CLAIMS {
            match self.submit(&operation).await {
                OpAnswer::Claimed(claim) => return ClaimAnswer::Run(claim),
                OpAnswer::Held(claim) => {
                    if let Some(answer) = self.look_into(&call.key, &claim).await {
                        return answer;
                    }
                }
                OpAnswer::Recorded(outcome) => return told(outcome),
                OpAnswer::KeyReused => return ClaimAnswer::KeyReused,
                OpAnswer::KeyExpired => return ClaimAnswer::KeyExpired,
                OpAnswer::Full => return ClaimAnswer::Full,
                OpAnswer::Settled | OpAnswer::NotHolder | OpAnswer::StoreUnavailable => {
                    // The claim may have been made all the same. It is never used.
                    self.send_later(Operation::Settle {
                        key: call.key,
                        attempt: call.attempt,
                        outcome: CallOutcome::NotRun,
                    });
                    return ClaimAnswer::StoreUnavailable;
                }
            }
        }
        // Others claim the call in turn; one of them will run it.
        let retry_after = FIRST_PAUSE;
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
                self.send_later(operation);
                SettleAnswer::Pending
            }
            _ => SettleAnswer::NotHolder,
        }
    }
}
