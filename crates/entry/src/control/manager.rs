//! Takes part in a control lease: acquires, renews and releases it through the platform's store.
//!
//! The decisions are taken by `Lease` of `kumquatkeel-core`; the task here makes the store calls.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::Debug;
use kumquatkeel_core::lease::{
    ActionKind, Lease, LeaseOptions, LeaseRead, LeaseRecord, LeaseStatus, LeaseStep, LeaseWrite,
};
use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_daemon::spread::SharedView;
use kumquatkeel_platform::{
    ObjectKey, ObjectStore, ObjectVersion, Precondition, PutOutcome, WriteIdGenerator, put_resolved,
};
use kumquatkeel_types::digest::rendezvous;
use kumquatkeel_types::{EntryName, Epoch, Incarnation, Timestamp};
use log::{info, warn};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Number of entries that compete for a lease; the others only do when these have left.
const CANDIDATE_COUNT: usize = 3;

/// Interval at which an entry checks whether it is a candidate.
const CANDIDATE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time for releasing the lease when the daemon stops.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// The lease and the process that takes part in it.
#[derive(Debug, Clone)]
pub struct LeaseManagerOptions {
    /// The lease's name, such as `placement`.
    pub name: String,
    /// The name of this entry.
    pub holder: EntryName,
    /// This entry's incarnation, as recorded in the store; no other process has the same.
    pub incarnation: Incarnation,
    /// The lease's durations.
    pub times: LeaseOptions,
}

/// An entry's participation in a control lease, maintained by a background task.
#[derive(Debug)]
pub struct LeaseManager {
    clock: Clock,
    #[debug(skip)]
    store: Arc<dyn ObjectStore>,
    lease: Arc<Mutex<Lease<ObjectVersion>>>,
    tasks: TaskTracker,
    stop: CancellationToken,
}

struct LeaseTask {
    options: LeaseManagerOptions,
    key: ObjectKey,
    clock: Clock,
    store: Arc<dyn ObjectStore>,
    ids: Arc<WriteIdGenerator>,
    view: watch::Receiver<SharedView>,
    lease: Arc<Mutex<Lease<ObjectVersion>>>,
    stop: CancellationToken,
}

impl LeaseManager {
    /// Starts the task, which releases the lease when `stop` is cancelled.
    pub fn start(
        options: LeaseManagerOptions,
        store: Arc<dyn ObjectStore>,
        ids: Arc<WriteIdGenerator>,
        view: watch::Receiver<SharedView>,
        stop: CancellationToken,
    ) -> Self {
        let clock = Clock::start();
        let lease = Lease::new(options.holder.clone(), options.incarnation, options.times);
        let lease = Arc::new(Mutex::new(lease));
        let task = LeaseTask {
            key: ObjectKey::from(format!("lease/{}", options.name)),
            options,
            clock,
            store: store.clone(),
            ids,
            view,
            lease: lease.clone(),
            stop: stop.clone(),
        };
        let tasks = TaskTracker::new();
        tasks.spawn(task.run());
        tasks.close();
        Self {
            clock,
            store,
            lease,
            tasks,
            stop,
        }
    }

    /// Returns whether the lease is held at this moment; it no longer is once any answer of the store has
    /// stated a restore.
    pub fn status(&self) -> LeaseStatus {
        let mut lease = lock(&self.lease);
        lease.observe_era(self.store.era());
        lease.status(self.clock.now())
    }

    /// Returns the epoch under which an action of this kind is allowed now, or `None` when it is
    /// not; called right before each action.
    pub fn permit(&self, kind: ActionKind) -> Option<Epoch> {
        self.status().permit(kind)
    }

    /// Releases the lease and waits until that is written, for at most `RELEASE_TIMEOUT`.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.tasks.wait().await;
    }
}

fn lock(lease: &Mutex<Lease<ObjectVersion>>) -> MutexGuard<'_, Lease<ObjectVersion>> {
    lease.lock().unwrap_or_else(PoisonError::into_inner)
}

impl LeaseTask {
    async fn run(self) {
        let stop = self.stop.clone();
        tokio::select! {
            () = self.maintain() => {}
            () = stop.cancelled() => {}
        }
        lock(&self.lease).release();
        if timeout(RELEASE_TIMEOUT, self.write_release())
            .await
            .is_err()
        {
            warn!(target: "lease", "lease: release of {} timed out; it expires", self.options.name);
        }
    }

    async fn maintain(&self) {
        let mut last_status = LeaseStatus::NotHeld;
        loop {
            let not_held = lock(&self.lease).status(self.clock.now()) == LeaseStatus::NotHeld;
            if not_held && !self.is_candidate() {
                sleep(CANDIDATE_CHECK_INTERVAL).await;
                continue;
            }
            self.step().await;
            let status = lock(&self.lease).status(self.clock.now());
            if status != last_status {
                info!(target: "lease", "lease: status of {} is {status:?}", self.options.name);
                last_status = status;
            }
        }
    }

    async fn write_release(&self) {
        while !lock(&self.lease).is_released() {
            self.step().await;
        }
    }

    /// Returns whether this entry is among the first [`CANDIDATE_COUNT`] serving entries in
    /// rendezvous order for the lease.
    fn is_candidate(&self) -> bool {
        let view = self.view.borrow();
        let entries: Vec<_> = view.serving_entries().map(|(name, _)| name).collect();
        let order = rendezvous(&self.options.name, entries);
        order
            .into_iter()
            .take(CANDIDATE_COUNT)
            .any(|e| *e == self.options.holder)
    }

    async fn step(&self) {
        let step = lock(&self.lease).step(self.clock.now());
        match step {
            LeaseStep::Wait(until) => sleep_until(self.clock.instant(until)).await,
            LeaseStep::Read => {
                let result = self.read().await;
                self.apply(|lease, now| lease.on_read(result, now));
            }
            LeaseStep::Write { version, record } => {
                let result = self.write(version, &record).await;
                self.apply(|lease, now| lease.on_write(result, now));
            }
        }
    }

    /// Applies the result of a call with the era that its answer may have stated.
    fn apply(&self, apply: impl FnOnce(&mut Lease<ObjectVersion>, Timestamp)) {
        let mut lease = lock(&self.lease);
        lease.observe_era(self.store.era());
        apply(&mut lease, self.clock.now());
    }

    async fn read(&self) -> LeaseRead<ObjectVersion> {
        match self.store.get(&self.key).await {
            Ok(None) => LeaseRead::Found(None),
            Ok(Some(object)) => match serde_json::from_slice::<LeaseRecord>(&object.value) {
                Ok(record) => LeaseRead::Found(Some((object.version, record))),
                Err(error) => {
                    warn!(target: "lease", "lease: {} is malformed: {error}", self.options.name);
                    LeaseRead::Failed
                }
            },
            Err(error) => {
                warn!(target: "lease", "lease: reading {} failed: {error}", self.options.name);
                LeaseRead::Failed
            }
        }
    }

    async fn write(
        &self,
        version: Option<ObjectVersion>,
        record: &LeaseRecord,
    ) -> LeaseWrite<ObjectVersion> {
        let precondition = version.map_or(Precondition::Absent, Precondition::Version);
        let Ok(value) = serde_json::to_vec(record) else {
            return LeaseWrite::Failed;
        };
        let write = self.ids.next_id();
        match put_resolved(&*self.store, &self.key, precondition, &write, value.into()).await {
            Ok(PutOutcome::Written(version)) => LeaseWrite::Written(version),
            Ok(PutOutcome::Conflict | PutOutcome::Superseded(_)) => LeaseWrite::Replaced,
            Err(error) => {
                warn!(target: "lease", "lease: writing {} failed: {error}", self.options.name);
                LeaseWrite::Failed
            }
        }
    }
}
