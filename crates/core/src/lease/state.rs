//! State machine of one process that competes for a lease.

use kumquatkeel_types::{EntryName, Epoch, Incarnation, Timestamp};

use crate::store::{EraChange, StoreEra};

use super::{LeaseOptions, LeaseRead, LeaseRecord, LeaseStatus, LeaseStep, LeaseWrite};

/// Acquires, renews and releases a lease for one process.
///
/// The caller performs each [`LeaseStep`] and reports its result, after the era of the store as it is known
/// then; `V` is the store's version of an object.
#[derive(Debug)]
pub struct Lease<V> {
    holder: EntryName,
    incarnation: Incarnation,
    options: LeaseOptions,
    era: StoreEra,
    /// The era when the last step was returned.
    step_era: StoreEra,
    seen: Option<Observed<V>>,
    held: Option<Holding>,
    sent: Option<SentWrite>,
    /// Earliest time of the next read or write.
    next_step: Timestamp,
    releasing: bool,
}

/// The record as last read or written by this process.
#[derive(Debug, Clone)]
struct Observed<V> {
    version: Option<V>,
    record: Option<LeaseRecord>,
    /// When this process first saw this version.
    first_seen: Timestamp,
    /// Whether the object may have changed since, so that it must be read again.
    stale: bool,
}

/// The epoch that this process holds, and when its lease duration ends.
#[derive(Debug, Clone, Copy)]
struct Holding {
    epoch: Epoch,
    until: Timestamp,
}

/// A write whose result is not known yet.
#[derive(Debug, Clone)]
struct SentWrite {
    record: LeaseRecord,
    at: Timestamp,
}

impl<V: Copy + PartialEq + Into<u64>> Lease<V> {
    /// Creates the state of a process that does not hold the lease.
    pub fn new(holder: EntryName, incarnation: Incarnation, options: LeaseOptions) -> Self {
        Self {
            holder,
            incarnation,
            options,
            era: StoreEra::new(),
            step_era: StoreEra::new(),
            seen: None,
            held: None,
            sent: None,
            next_step: Timestamp::ZERO,
            releasing: false,
        }
    }

    /// Takes over the era that the store has stated; returns whether it has risen.
    ///
    /// A restored store may have lost the record of the lease, and gives its versions out again. So
    /// nothing is held any more, and what was read or written before counts for nothing.
    pub fn observe_era(&mut self, era: StoreEra) -> bool {
        if self.era.observe(era.stated()) != EraChange::Restored {
            return false;
        }
        self.seen = None;
        self.held = None;
        self.sent = None;
        self.next_step = Timestamp::ZERO;
        true
    }

    /// Returns whether the lease is held at `now`; to be checked right before each action under it.
    pub fn status(&self, now: Timestamp) -> LeaseStatus {
        match self.held {
            Some(held) if now < held.until => LeaseStatus::Held(held.epoch),
            Some(held) => LeaseStatus::InDoubt(held.epoch),
            None => LeaseStatus::NotHeld,
        }
    }

    /// Releases the lease with the next write, so that another process can take it at once.
    pub fn release(&mut self) {
        self.releasing = true;
        self.next_step = Timestamp::ZERO;
    }

    /// Returns whether a requested release has been written, or there was nothing to release.
    pub fn is_released(&self) -> bool {
        let holds = self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.stale || seen.record.as_ref().is_some_and(|r| self.is_own(r)));
        self.releasing && self.sent.is_none() && !holds
    }

    /// Returns whether a record gives the lease to this incarnation of the process.
    fn is_own(&self, record: &LeaseRecord) -> bool {
        let is_holder = record.holder == self.holder && record.life == self.incarnation;
        is_holder && !record.released && self.is_of_era(record)
    }

    /// Returns whether a record was written since the store's last restore.
    fn is_of_era(&self, record: &LeaseRecord) -> bool {
        self.era.is_current(record.epoch.0)
    }

    /// Returns whether the lease may be taken without waiting for its duration to end.
    ///
    /// A record from before a restore, or none, says nothing: a later one may have been lost, and its writer
    /// may not have learnt of that yet.
    fn is_free(&self, record: Option<&LeaseRecord>) -> bool {
        match record {
            Some(record) => record.released && self.is_of_era(record),
            None => self.era.stated().is_none(),
        }
    }

    /// Returns whether the store may have been restored since the last step was returned.
    fn is_outdated(&self) -> bool {
        self.step_era != self.era
    }

    /// Returns the next step to perform for the lease.
    pub fn step(&mut self, now: Timestamp) -> LeaseStep<V> {
        self.step_era = self.era;
        if now < self.next_step {
            return LeaseStep::Wait(self.next_step);
        }
        let Some(seen) = self.seen.clone().filter(|seen| !seen.stale) else {
            return LeaseStep::Read;
        };
        let Some(record) = self.next_record(&seen, now) else {
            self.mark_stale();
            return LeaseStep::Read;
        };
        if record.released {
            // Whether or not the reply arrives, another process may take the lease from now on.
            self.held = None;
        }
        // Counted from before the write is sent: however late the reply, the other processes start
        // to count later.
        self.sent = Some(SentWrite {
            record: record.clone(),
            at: now,
        });
        LeaseStep::Write {
            version: seen.version,
            record,
        }
    }

    /// Returns the record to write, if this process may renew, release or take the lease.
    fn next_record(&self, seen: &Observed<V>, now: Timestamp) -> Option<LeaseRecord> {
        let record = |epoch, renewal, released| LeaseRecord {
            holder: self.holder.clone(),
            life: self.incarnation,
            epoch,
            renewal,
            released,
        };
        let current = seen.record.as_ref();
        if let Some(own) = current.filter(|record| self.is_own(record))
            && self.held.is_some_and(|held| held.epoch == own.epoch)
        {
            return Some(record(own.epoch, own.renewal + 1, self.releasing));
        }
        let lapsed = now.since(seen.first_seen) >= self.options.duration + self.options.drift;
        let free = lapsed || self.is_free(current);
        let last = current.map_or(Epoch::default(), |record| record.epoch);
        let version = seen.version.map_or(0, Into::into);
        let epoch = Epoch(self.era.next_number(last.0, version));
        (free && !self.releasing).then(|| record(epoch, 0, false))
    }

    /// Applies the result of a read.
    pub fn on_read(&mut self, end: LeaseRead<V>, now: Timestamp) {
        if self.is_outdated() {
            return;
        }
        self.next_step = now.after(self.options.interval);
        let LeaseRead::Found(found) = end else { return };
        let (version, record) = match found {
            Some((version, record)) => (Some(version), Some(record)),
            None => (None, None),
        };
        self.resolve_sent(record.as_ref());
        self.held = record.as_ref().and_then(|r| self.holding_for(r));
        if self.held.is_some() || self.is_free(record.as_ref()) {
            self.next_step = now;
        }
        let first_seen = match &self.seen {
            Some(seen) if seen.version == version => seen.first_seen,
            _ => now,
        };
        self.seen = Some(Observed {
            version,
            record,
            first_seen,
            stale: false,
        });
    }

    /// Returns what this process holds when the store contains `record`.
    ///
    /// After a takeover that took effect late, the lease belongs to this process but its duration
    /// counts as over: it is in doubt until renewed.
    fn holding_for(&self, record: &LeaseRecord) -> Option<Holding> {
        let known = self.held.filter(|held| held.epoch == record.epoch);
        let expired = Holding {
            epoch: record.epoch,
            until: Timestamp::ZERO,
        };
        self.is_own(record).then(|| known.unwrap_or(expired))
    }

    /// Resolves a write whose reply was lost by comparing it with the stored record.
    fn resolve_sent(&mut self, record: Option<&LeaseRecord>) {
        let Some(sent) = self.sent.take() else { return };
        if record == Some(&sent.record) {
            self.apply_write(&sent);
        }
    }

    fn apply_write(&mut self, sent: &SentWrite) {
        self.held = (!sent.record.released).then(|| Holding {
            epoch: sent.record.epoch,
            until: sent.at.after(self.options.duration),
        });
    }

    /// Applies the result of a write.
    pub fn on_write(&mut self, end: LeaseWrite<V>, now: Timestamp) {
        if self.is_outdated() {
            return;
        }
        self.next_step = now.after(self.options.interval);
        match end {
            LeaseWrite::Written(version) => {
                let Some(sent) = self.sent.take() else { return };
                self.apply_write(&sent);
                self.seen = Some(Observed {
                    version: Some(version),
                    record: Some(sent.record),
                    first_seen: now,
                    stale: false,
                });
            }
            LeaseWrite::Replaced => {
                self.next_step = now;
                self.mark_stale();
            }
            LeaseWrite::Failed => self.mark_stale(),
        }
    }

    /// Makes the next step read the object again.
    fn mark_stale(&mut self) {
        if let Some(seen) = &mut self.seen {
            seen.stale = true;
        }
    }
}
