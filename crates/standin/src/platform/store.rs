//! In-memory object store and instance list.
//!
//! A call first passes the faults of its client's link, then those of the store and then the rate
//! limits; only then does it read or change the table.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use kumquatkeel_core::store::StoreEra;
use kumquatkeel_platform::{
    InstanceList, InstanceRecord, Object, ObjectKey, ObjectStore, ObjectVersion, Precondition,
    StoreError, StoreFault, WatchReply, WriteId,
};
use tokio::sync::watch;
use tokio::time::Instant;

use super::faults::Injection;
use super::table::Table;
use super::{CallCounts, CallFault, CallKind, PlatformFaults, TokenBucket};

/// Peer name in the errors of the stand-in.
const PEER: &str = "memory";

#[derive(Debug)]
struct Shared {
    table: Mutex<Table>,
    changes: watch::Sender<u64>,
    limits: Mutex<Limits>,
    instances: Mutex<Instances>,
}

#[derive(Debug, Default)]
struct Limits {
    reads: Option<TokenBucket>,
    writes: Option<TokenBucket>,
}

#[derive(Debug, Default)]
struct Instances {
    lag: Duration,
    history: Vec<(Instant, Vec<InstanceRecord>)>,
}

/// In-memory stand-in of the platform: objects, watches and the list of instances.
///
/// Clones share the store, its faults and the link; [`client`](Self::client) gives a view with a
/// link of its own.
#[derive(Debug, Clone)]
pub struct MemoryStore {
    shared: Arc<Shared>,
    faults: PlatformFaults,
    link: PlatformFaults,
    /// The era that this client's answers have stated.
    era: Arc<Mutex<StoreEra>>,
}

/// The objects of a store at one moment, with its versions.
#[derive(Debug, Clone)]
pub struct StoreCopy(Table);

impl MemoryStore {
    /// Creates an empty store without rate limits or faults.
    pub fn new() -> Self {
        Self {
            shared: Arc::new(Shared {
                table: Mutex::default(),
                changes: watch::Sender::new(0),
                limits: Mutex::default(),
                instances: Mutex::default(),
            }),
            faults: PlatformFaults::new(),
            link: PlatformFaults::new(),
            era: Arc::default(),
        }
    }

    /// Returns a view of the same store whose link has faults of its own.
    #[must_use]
    pub fn client(&self) -> Self {
        Self {
            link: PlatformFaults::new(),
            era: Arc::default(),
            ..self.clone()
        }
    }

    /// Returns the faults of the store, which affect every client.
    pub const fn faults(&self) -> &PlatformFaults {
        &self.faults
    }

    /// Returns the faults of this client's link, which affect no other client.
    pub const fn link(&self) -> &PlatformFaults {
        &self.link
    }

    /// Returns the counts of the calls of all clients so far, failed ones included.
    pub fn calls(&self) -> CallCounts {
        self.faults.calls()
    }

    /// Starts or ends an outage for all clients; pending watches fail when it starts.
    pub fn set_outage(&self, outage: bool) {
        self.faults.set_outage(outage);
        self.notify();
    }

    /// Limits the number of reads and of writes per second; each starts with a full token bucket.
    pub fn set_limits(&self, reads: u32, writes: u32) {
        *lock(&self.shared.limits) = Limits {
            reads: Some(TokenBucket::new(reads)),
            writes: Some(TokenBucket::new(writes)),
        };
    }

    /// Discards the change history: watches from an earlier version fail with
    /// [`StoreFault::WatchGap`].
    pub fn compact(&self) {
        lock(&self.shared.table).compact();
        self.notify();
    }

    /// Makes the store state its era in all answers from now on.
    pub fn state_era(&self, era: u64) {
        lock(&self.shared.table).state_era(era);
    }

    /// Returns the era that answers state at this moment.
    pub(super) fn current_era(&self) -> Option<u64> {
        lock(&self.shared.table).era()
    }

    /// Returns a copy of the store from which it can be restored.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(lock(&self.shared.table).clone())
    }

    /// Restores the store from a copy: what was written since is gone, versions are given out again, and the
    /// era rises by one.
    pub fn restore(&self, copy: StoreCopy) {
        lock(&self.shared.table).restore(copy.0);
        self.notify();
    }

    /// Records the era that an answer of the table states.
    fn observe_era(&self, table: &Table) {
        lock(&self.era).observe(table.era());
    }

    /// Replaces the list of instances; readers see it after the lag.
    pub fn set_instances(&self, instances: impl Into<Vec<InstanceRecord>>) {
        let now = Instant::now();
        lock(&self.shared.instances)
            .history
            .push((now, instances.into()));
    }

    /// Sets the delay after which readers see a new list of instances.
    pub fn set_instance_lag(&self, lag: Duration) {
        lock(&self.shared.instances).lag = lag;
    }

    /// Returns all objects, bypassing rate limits and faults, so that tests can check the contents.
    pub fn snapshot(&self) -> Vec<Object> {
        lock(&self.shared.table).list("")
    }

    fn notify(&self) {
        self.shared.changes.send_modify(|changes| *changes += 1);
    }

    /// Records a call, delays it, and returns the fault to inject into it, if any.
    async fn inject(&self, kind: CallKind) -> Option<CallFault> {
        for Injection { delay, fault } in [
            self.link.next_injection(kind),
            self.faults.next_injection(kind),
        ] {
            pause(delay).await;
            match fault {
                Some(CallFault::Slow(delay)) => pause(delay).await,
                Some(fault) => return Some(fault),
                None => {}
            }
        }
        self.rate_limited(kind).then_some(CallFault::RateLimited)
    }

    fn rate_limited(&self, kind: CallKind) -> bool {
        let mut limits = lock(&self.shared.limits);
        let bucket = if kind.is_write() {
            &mut limits.writes
        } else {
            &mut limits.reads
        };
        bucket
            .as_mut()
            .is_some_and(|bucket| !bucket.take(Instant::now()))
    }

    async fn read<T>(
        &self,
        kind: CallKind,
        step: &'static str,
        read: impl FnOnce(&Table) -> T + Send,
    ) -> Result<T, StoreError> {
        if let Some(fault) = self.inject(kind).await {
            return Err(error(step, store_fault(fault)));
        }
        let table = lock(&self.shared.table);
        self.observe_era(&table);
        Ok(read(&table))
    }

    async fn write<T>(
        &self,
        kind: CallKind,
        step: &'static str,
        write: impl FnOnce(&mut Table) -> Result<T, StoreFault> + Send + 'static,
    ) -> Result<T, StoreError>
    where
        T: Send + 'static,
    {
        match self.inject(kind).await {
            None => {
                let result = self.change(write);
                self.observe_era(&lock(&self.shared.table));
                result.map_err(|fault| error(step, fault))
            }
            Some(CallFault::LostAfter) => {
                let _ = self.change(write);
                Err(error(step, StoreFault::Unknown))
            }
            Some(CallFault::LateEffect(delay)) => {
                let store = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    let _ = store.change(write);
                });
                Err(error(step, StoreFault::Unknown))
            }
            Some(fault) => Err(error(step, store_fault(fault))),
        }
    }

    fn change<T>(
        &self,
        write: impl FnOnce(&mut Table) -> Result<T, StoreFault>,
    ) -> Result<T, StoreFault> {
        let result = write(&mut lock(&self.shared.table));
        if result.is_ok() {
            self.notify();
        }
        result
    }

    fn changes_after(&self, prefix: &str, after: ObjectVersion) -> Result<WatchReply, StoreFault> {
        let table = lock(&self.shared.table);
        self.observe_era(&table);
        if !table.can_watch(after) {
            return Err(StoreFault::WatchGap);
        }
        Ok(WatchReply {
            objects: table.changed_after(prefix, after),
            version: table.version(),
        })
    }

    /// Returns the objects below `prefix` with the version of the store at which they were read.
    pub(super) async fn list_at(
        &self,
        prefix: &str,
    ) -> Result<(Vec<Object>, ObjectVersion), StoreError> {
        self.read(CallKind::List, "list", |table| {
            (table.list(prefix), table.version())
        })
        .await
    }
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self::new()
    }
}

#[async_trait]
impl ObjectStore for MemoryStore {
    fn era(&self) -> StoreEra {
        *lock(&self.era)
    }

    async fn get(&self, key: &ObjectKey) -> Result<Option<Object>, StoreError> {
        self.read(CallKind::Get, "get", |table| table.get(key))
            .await
    }

    async fn put(
        &self,
        key: &ObjectKey,
        precondition: Precondition,
        write: &WriteId,
        value: Bytes,
    ) -> Result<ObjectVersion, StoreError> {
        let (key, write) = (key.clone(), write.clone());
        self.write(CallKind::Put, "put", move |table| {
            table.put(&key, precondition, &write, value)
        })
        .await
    }

    async fn remove(&self, key: &ObjectKey, version: ObjectVersion) -> Result<(), StoreError> {
        let key = key.clone();
        self.write(CallKind::Remove, "remove", move |table| {
            table.remove(&key, version)
        })
        .await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Object>, StoreError> {
        self.list_at(prefix).await.map(|(objects, _)| objects)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<WatchReply, StoreError> {
        let end = Instant::now() + wait;
        let mut changes = self.shared.changes.subscribe();
        if let Some(fault) = self.inject(CallKind::Watch).await {
            return Err(error("watch", store_fault(fault)));
        }
        loop {
            changes.borrow_and_update();
            if self.faults.outage() || self.link.outage() {
                return Err(error("watch", StoreFault::Unavailable));
            }
            let reply = self
                .changes_after(prefix, after)
                .map_err(|fault| error("watch", fault))?;
            if !reply.objects.is_empty() {
                return Ok(reply);
            }
            if tokio::time::timeout_at(end, changes.changed())
                .await
                .is_err()
            {
                return Ok(reply);
            }
        }
    }
}

#[async_trait]
impl InstanceList for MemoryStore {
    async fn instances(&self) -> Result<Vec<InstanceRecord>, StoreError> {
        if let Some(fault) = self.inject(CallKind::Instances).await {
            return Err(error("instances", store_fault(fault)));
        }
        let instances = lock(&self.shared.instances);
        let now = Instant::now();
        let visible = instances
            .history
            .iter()
            .rev()
            .find(|(since, _)| now.saturating_duration_since(*since) >= instances.lag);
        Ok(visible.map(|(_, list)| list.clone()).unwrap_or_default())
    }
}

async fn pause(delay: Duration) {
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}

fn store_fault(fault: CallFault) -> StoreFault {
    match fault {
        CallFault::RateLimited => StoreFault::RateLimited,
        CallFault::LostBefore | CallFault::LostAfter | CallFault::LateEffect(_) => {
            StoreFault::Unknown
        }
        CallFault::Gap => StoreFault::WatchGap,
        CallFault::Unavailable | CallFault::Slow(_) => StoreFault::Unavailable,
    }
}

fn error(step: &'static str, fault: StoreFault) -> StoreError {
    StoreError::new(step, PEER, fault)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
