//! The task that keeps an entry's part in a control lease.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use kumquatkeel_core::lease::{
    ActionKind, Lease, LeaseOptions, LeaseRead, LeaseRecord, LeaseStatus, LeaseStep, LeaseWrite,
};
use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_daemon::spread::SharedView;
use kumquatkeel_platform::{
    ObjectKey, ObjectStore, ObjectVersion, Precondition, PutOutcome, WriteIdGenerator, put_resolved,
};
use kumquatkeel_types::digest::rendezvous;
use kumquatkeel_types::{EntryName, Epoch, Incarnation};
use log::{info, warn};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Entries that try to hold a lease; the others only come in when these are gone.
const CANDIDATES: usize = 3;

/// Time between checks whether an entry is a candidate.
const CANDIDATE_CHECK: Duration = Duration::from_secs(1);

/// Longest time to give the lease up when the daemon stops.
const RELEASE_WAIT: Duration = Duration::from_secs(2);

/// Who takes part in a lease.
#[derive(Debug, Clone)]
pub struct LeaseManagerOptions {
    /// The lease's name, such as `placement`.
    pub name: String,
    /// This entry.
    pub holder: EntryName,
    /// This entry's life, as recorded in the store; no other process has the same.
    pub incarnation: Incarnation,
    /// The lease's times.
    pub times: LeaseOptions,
}

/// An entry's part in a control lease, kept by a task.
#[derive(Debug)]
pub struct LeaseManager {
    clock: Clock,
    lease: Arc<Mutex<Lease<ObjectVersion>>>,
    tasks: TaskTracker,
    stop: CancellationToken,
}

struct Keeper {
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
    /// Starts to take part; the lease is given up when `stop` is cancelled.
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
        let keeper = Keeper {
            key: ObjectKey::from(format!("lease/{}", options.name)),
            options,
            clock,
            store,
            ids,
            view,
            lease: lease.clone(),
            stop: stop.clone(),
        };
        let tasks = TaskTracker::new();
        tasks.spawn(keeper.run());
        tasks.close();
        Self {
            clock,
            lease,
            tasks,
            stop,
        }
    }

    /// Says whether the lease is held now.
    pub fn status(&self) -> LeaseStatus {
        lock(&self.lease).status(self.clock.now())
    }

    /// Returns the epoch under which a step may be taken now; to be asked right before each step.
    pub fn permit(&self, kind: ActionKind) -> Option<Epoch> {
        self.status().permit(kind)
    }

    /// Gives the lease up and returns when that is written, or after a short time.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.tasks.wait().await;
    }
}

fn lock(lease: &Mutex<Lease<ObjectVersion>>) -> MutexGuard<'_, Lease<ObjectVersion>> {
    lease.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Keeper {
    async fn run(self) {
        let stop = self.stop.clone();
        tokio::select! {
            () = self.keep() => {}
            () = stop.cancelled() => {}
        }
        lock(&self.lease).release();
        if timeout(RELEASE_WAIT, self.give_up()).await.is_err() {
            warn!(target: "lease", "lease: {} is left to lapse", self.options.name);
        }
    }

    async fn keep(&self) {
        let mut held = LeaseStatus::NotHeld;
        loop {
            let lost = lock(&self.lease).status(self.clock.now()) == LeaseStatus::NotHeld;
            if lost && !self.is_candidate() {
                sleep(CANDIDATE_CHECK).await;
                continue;
            }
            self.step().await;
            let now = lock(&self.lease).status(self.clock.now());
            if now != held {
                info!(target: "lease", "lease: {} is now {now:?}", self.options.name);
                held = now;
            }
        }
    }

    async fn give_up(&self) {
        while !lock(&self.lease).is_released() {
            self.step().await;
        }
    }

    /// Says whether this entry is among the first of the serving ones for this lease.
    fn is_candidate(&self) -> bool {
        let view = self.view.borrow();
        let entries: Vec<_> = view.serving_entries().map(|(name, _)| name).collect();
        let order = rendezvous(&self.options.name, entries);
        order
            .into_iter()
            .take(CANDIDATES)
            .any(|e| *e == self.options.holder)
    }

    async fn step(&self) {
        let step = lock(&self.lease).step(self.clock.now());
        match step {
            LeaseStep::Wait(until) => sleep_until(self.clock.instant(until)).await,
            LeaseStep::Read => {
                let end = self.read().await;
                lock(&self.lease).on_read(end, self.clock.now());
            }
            LeaseStep::Write { version, record } => {
                let end = self.write(version, &record).await;
                lock(&self.lease).on_write(end, self.clock.now());
            }
        }
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
