//! Versioned objects with conditional writes; no clock and no faults.

use std::collections::BTreeMap;

use bytes::Bytes;
use kumquatkeel_platform::{Object, ObjectKey, ObjectVersion, Precondition, StoreFault, WriteId};

use kumquatkeel_platform::wire::MAX_VALUE_BYTES;

/// All objects, with one version counter for the whole store.
#[derive(Debug, Clone, Default)]
pub(super) struct Table {
    objects: BTreeMap<ObjectKey, Object>,
    version: ObjectVersion,
    /// Watches from an earlier version fail, except from version 0.
    compacted: ObjectVersion,
    /// How often the store has been restored, once it states that.
    era: Option<u64>,
}

impl Table {
    /// Returns the version of the last change.
    pub(super) const fn version(&self) -> ObjectVersion {
        self.version
    }

    /// Returns how often the store has been restored, if it states that.
    pub(super) const fn era(&self) -> Option<u64> {
        self.era
    }

    pub(super) const fn state_era(&mut self, era: u64) {
        self.era = Some(era);
    }

    /// Goes back to a copy; versions since then are given out again, in the next era.
    pub(super) fn restore(&mut self, copy: Self) {
        let era = self.era.unwrap_or_default() + 1;
        *self = copy;
        self.era = Some(era);
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
        let satisfied = match precondition {
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => current == Some(version),
        };
        if !satisfied {
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
        self.changed_after(prefix, ObjectVersion(0))
    }

    /// Returns the objects below `prefix` that were written after version `after`.
    pub(super) fn changed_after(&self, prefix: &str, after: ObjectVersion) -> Vec<Object> {
        self.objects
            .range(ObjectKey::from(prefix)..)
            .take_while(|(key, _)| key.as_ref().starts_with(prefix))
            .filter(|(_, object)| object.version > after)
            .map(|(_, object)| object.clone())
            .collect()
    }

    /// Discards the change history up to the current version.
    pub(super) const fn compact(&mut self) {
        self.compacted = self.version;
    }

    /// Returns true if the changes since `after` are known.
    ///
    /// A watch from version 0 is always possible, since it reads every object. One from a version that a
    /// restored store has not reached again is not.
    pub(super) fn can_watch(&self, after: ObjectVersion) -> bool {
        after == ObjectVersion(0) || (self.compacted..=self.version).contains(&after)
    }

    const fn next_version(&mut self) -> ObjectVersion {
        self.version.0 += 1;
        self.version
    }
}
