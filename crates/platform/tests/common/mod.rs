//! An in-memory object store with injected faults, also used by the tests of other crates.

#![allow(dead_code, reason = "each test file uses its own part of the fake")]

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use kumquatkeel_core::store::StoreEra;
use kumquatkeel_platform::{
    Object, ObjectKey, ObjectStore, ObjectVersion, Precondition, StoreError, StoreFault,
    WatchReply, WriteId,
};
use tokio::sync::watch;

/// How one call of the store fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallFault {
    /// The call has no effect and is reported as not executed.
    Unavailable,
    /// The call has no effect and is reported as over the rate limit.
    RateLimited,
    /// The call has no effect, and the answer is lost.
    LostBefore,
    /// The call takes effect, and the answer is lost.
    LostAfter,
    /// The answer is lost, and a write takes effect at the next call, if its precondition still holds.
    Delayed,
}

impl CallFault {
    pub(crate) const ALL: [Self; 5] = [
        Self::Unavailable,
        Self::RateLimited,
        Self::LostBefore,
        Self::LostAfter,
        Self::Delayed,
    ];
}

#[derive(Debug, Clone)]
struct Write {
    key: ObjectKey,
    precondition: Precondition,
    id: WriteId,
    value: Bytes,
}

#[derive(Debug, Default)]
struct Inner {
    objects: BTreeMap<String, Object>,
    version: u64,
    calls: u64,
    puts: u64,
    faults: BTreeMap<u64, CallFault>,
    delayed: Vec<Write>,
    down: bool,
    /// How often the store was restored; `None` if it doesn't say.
    era: Option<u64>,
    /// The era as the answers have stated it.
    stated_era: StoreEra,
    /// The copy from which the store is restored just before the call with this number.
    next_restore: Option<(u64, StoreCopy)>,
}

/// The objects of a store at one moment, with its versions.
#[derive(Debug, Clone)]
pub(crate) struct StoreCopy(BTreeMap<String, Object>, u64);

/// An in-memory store that injects faults by call number, from 1.
#[derive(Debug)]
pub(crate) struct FakeStore {
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
}

impl Default for FakeStore {
    fn default() -> Self {
        Self {
            inner: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl Inner {
    fn apply(&mut self, write: Write) -> Result<ObjectVersion, StoreFault> {
        let name = write.key.as_ref().to_owned();
        let current = self.objects.get(&name).map(|o| o.version);
        let holds = match write.precondition {
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => current == Some(version),
        };
        if !holds {
            return Err(StoreFault::Conflict { current });
        }
        self.version += 1;
        let version = ObjectVersion(self.version);
        let object = Object {
            key: write.key,
            version,
            write: write.id,
            value: write.value,
        };
        self.objects.insert(name, object);
        Ok(version)
    }

    fn restore(&mut self, copy: &StoreCopy) {
        self.objects.clone_from(&copy.0);
        self.version = copy.1;
        self.era = Some(self.era.unwrap_or_default() + 1);
    }

    fn begin_call(&mut self) -> Result<Option<CallFault>, StoreFault> {
        self.calls += 1;
        for write in std::mem::take(&mut self.delayed) {
            let _ = self.apply(write);
        }
        let calls = self.calls;
        if let Some((_, copy)) = self.next_restore.take_if(|(call, _)| *call == calls) {
            self.restore(&copy);
        }
        if self.down {
            return Err(StoreFault::Unavailable);
        }
        let fault = self.faults.get(&self.calls);
        if !self.down && fault.is_none() {
            self.stated_era.observe(self.era);
        }
        match fault {
            Some(CallFault::Unavailable) => Err(StoreFault::Unavailable),
            Some(CallFault::RateLimited) => Err(StoreFault::RateLimited),
            fault => Ok(fault.copied()),
        }
    }
}

fn error(fault: StoreFault) -> StoreError {
    StoreError::new("call", "fake", fault)
}

impl FakeStore {
    /// Makes the call `number`, counted from the next one, fail with `fault`.
    pub(crate) fn fail(&self, number: u64, fault: CallFault) {
        let mut inner = self.inner.lock().unwrap();
        let at = inner.calls + number;
        inner.faults.insert(at, fault);
    }

    /// Ends an outage and removes the faults that have not occurred yet.
    pub(crate) fn heal(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.down = false;
        inner.faults.clear();
    }

    /// Starts or ends an outage.
    pub(crate) fn set_down(&self, down: bool) {
        self.inner.lock().unwrap().down = down;
    }

    /// Makes the store state its era in each answer.
    pub(crate) fn state_era(&self, era: u64) {
        self.inner.lock().unwrap().era = Some(era);
    }

    /// Returns a copy from which the store can be restored.
    pub(crate) fn copy(&self) -> StoreCopy {
        let inner = self.inner.lock().unwrap();
        StoreCopy(inner.objects.clone(), inner.version)
    }

    /// Restores the store from a copy: what was written since is gone, versions are given out again, and the
    /// era rises by one.
    pub(crate) fn restore(&self, copy: &StoreCopy) {
        self.inner.lock().unwrap().restore(copy);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Restores the store just before the call `number`, counted from the next one.
    pub(crate) fn restore_at(&self, number: u64, copy: StoreCopy) {
        let mut inner = self.inner.lock().unwrap();
        inner.next_restore = Some((inner.calls + number, copy));
    }

    /// Returns the number of calls.
    pub(crate) fn calls(&self) -> u64 {
        self.inner.lock().unwrap().calls
    }

    /// Returns the number of write calls, including failed ones.
    pub(crate) fn puts(&self) -> u64 {
        self.inner.lock().unwrap().puts
    }

    fn read<T>(&self, read: impl FnOnce(&Inner) -> T) -> Result<T, StoreError> {
        let mut inner = self.inner.lock().unwrap();
        match inner.begin_call() {
            Ok(None) => Ok(read(&inner)),
            Ok(Some(_)) => Err(error(StoreFault::Unavailable)),
            Err(fault) => Err(error(fault)),
        }
    }

    fn changed_since(&self, prefix: &str, after: ObjectVersion) -> Result<WatchReply, StoreError> {
        let mut inner = self.inner.lock().unwrap();
        let era = inner.era;
        inner.stated_era.observe(era);
        if after.0 > inner.version {
            return Err(error(StoreFault::WatchGap));
        }
        let objects = inner
            .objects
            .values()
            .filter(|o| o.version > after && o.key.as_ref().starts_with(prefix));
        Ok(WatchReply {
            objects: objects.cloned().collect(),
            version: ObjectVersion(inner.version),
        })
    }
}

#[async_trait]
impl ObjectStore for FakeStore {
    fn era(&self) -> StoreEra {
        self.inner.lock().unwrap().stated_era
    }

    async fn get(&self, key: &ObjectKey) -> Result<Option<Object>, StoreError> {
        self.read(|inner| inner.objects.get(key.as_ref()).cloned())
    }

    async fn put(
        &self,
        key: &ObjectKey,
        precondition: Precondition,
        write: &WriteId,
        value: Bytes,
    ) -> Result<ObjectVersion, StoreError> {
        let write = Write {
            key: key.clone(),
            precondition,
            id: write.clone(),
            value,
        };
        let result = {
            let mut inner = self.inner.lock().unwrap();
            inner.puts += 1;
            match inner.begin_call() {
                Err(fault) => Err(fault),
                Ok(Some(CallFault::LostAfter)) => {
                    let _ = inner.apply(write);
                    Err(StoreFault::Unknown)
                }
                Ok(Some(CallFault::Delayed)) => {
                    inner.delayed.push(write);
                    Err(StoreFault::Unknown)
                }
                Ok(Some(_)) => Err(StoreFault::Unknown),
                Ok(None) => inner.apply(write),
            }
        };
        self.changed.send_modify(|n| *n += 1);
        result.map_err(error)
    }

    async fn remove(&self, key: &ObjectKey, version: ObjectVersion) -> Result<(), StoreError> {
        let mut inner = self.inner.lock().unwrap();
        inner.begin_call().map_err(error)?;
        let current = inner.objects.get(key.as_ref()).map(|o| o.version);
        if current != Some(version) {
            return Err(error(StoreFault::Conflict { current }));
        }
        inner.version += 1;
        inner.objects.remove(key.as_ref());
        Ok(())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Object>, StoreError> {
        self.read(|_| ())?;
        Ok(self.changed_since(prefix, ObjectVersion(0))?.objects)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<WatchReply, StoreError> {
        let mut changed = self.changed.subscribe();
        let until = tokio::time::Instant::now() + wait;
        self.read(|_| ())?;
        loop {
            let reply = self.changed_since(prefix, after)?;
            if !reply.objects.is_empty() {
                return Ok(reply);
            }
            if tokio::time::timeout_at(until, changed.changed())
                .await
                .is_err()
            {
                return Ok(reply);
            }
        }
    }
}
