//! The objects themselves, without time or faults.

use std::collections::BTreeMap;

use bytes::Bytes;
use kumquatkeel_platform::{Object, ObjectKey, ObjectVersion, Precondition, StoreFault, WriteId};

use kumquatkeel_platform::wire::MAX_VALUE_BYTES;

/// All objects and the number of the last change.
#[derive(Debug, Clone, Default)]
pub(super) struct Table {
    objects: BTreeMap<ObjectKey, Object>,
    version: ObjectVersion,
    oldest: ObjectVersion,
}

impl Table {
    /// Returns the number of the last change.
    pub(super) const fn version(&self) -> ObjectVersion {
        self.version
    }

    pub(super) fn get(&self, key: &ObjectKey) -> Option<Object> {
        self.objects.get(key).cloned()
    }

    pub(super) fn put(
        &mut self,
        key: &ObjectKey,
        precondition: Precondition,
        write: &WriteId,
        value: Bytes,
    ) -> Result<ObjectVersion, StoreFault> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreFault::TooLarge { bytes: value.len() });
        }
        let current = self.objects.get(key).map(|object| object.version);
        let holds = match precondition {
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => current == Some(version),
        };
        if !holds {
            return Err(StoreFault::Conflict { current });
        }
        let version = self.next_version();
        let object = Object {
            key: key.clone(),
            version,
            write: write.clone(),
            value,
        };
        self.objects.insert(key.clone(), object);
        Ok(version)
    }

    pub(super) fn remove(
        &mut self,
        key: &ObjectKey,
        version: ObjectVersion,
    ) -> Result<(), StoreFault> {
        let current = self.objects.get(key).map(|object| object.version);
        if current != Some(version) {
            return Err(StoreFault::Conflict { current });
        }
        self.objects.remove(key);
        self.next_version();
        Ok(())
    }

    pub(super) fn list(&self, prefix: &str) -> Vec<Object> {
        self.newer(prefix, ObjectVersion(0))
    }

    /// Returns the objects below `prefix` that changed after `after`.
    pub(super) fn newer(&self, prefix: &str, after: ObjectVersion) -> Vec<Object> {
        self.objects
            .range(ObjectKey::from(prefix)..)
            .take_while(|(key, _)| key.as_ref().starts_with(prefix))
            .filter(|(_, object)| object.version > after)
            .map(|(_, object)| object.clone())
            .collect()
    }

    /// Forgets the changes so far: a watch from before this point meets a gap.
    pub(super) const fn compact(&mut self) {
        self.oldest = self.version;
    }

    /// Says whether a watch can go on from `after`; one from the start sees every object anew.
    pub(super) fn can_watch(&self, after: ObjectVersion) -> bool {
        after == ObjectVersion(0) || after >= self.oldest
    }

    const fn next_version(&mut self) -> ObjectVersion {
        self.version.0 += 1;
        self.version
    }
}
