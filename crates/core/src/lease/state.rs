//! One process's part in a lease.

use kumquatkeel_types::{EntryName, Epoch, Incarnation, Timestamp};

use super::{LeaseOptions, LeaseRead, LeaseRecord, LeaseStatus, LeaseStep, LeaseWrite};

/// One process's part in a lease.
#[derive(Debug)]
pub struct Lease<V> {
    holder: EntryName,
    life: Incarnation,
    options: LeaseOptions,
    seen: Option<Seen<V>>,
    held: Option<Held>,
    sent: Option<Sent>,
    next: Timestamp,
    releasing: bool,
}

/// The record as it was last read or written.
#[derive(Debug, Clone)]
struct Seen<V> {
    version: Option<V>,
    record: Option<LeaseRecord>,
    /// When this version was first seen.
    since: Timestamp,
    /// Whether the object may have changed since, by a write of this process.
    open: bool,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    epoch: Epoch,
    until: Timestamp,
}

/// A write whose end is not known yet.
#[derive(Debug, Clone)]
struct Sent {
    record: LeaseRecord,
    at: Timestamp,
}

impl<V: Copy + PartialEq> Lease<V> {
    /// Makes a process's part in a lease that it does not hold.
    pub fn new(holder: EntryName, life: Incarnation, options: LeaseOptions) -> Self {
        Self {
            holder,
            life,
            options,
            seen: None,
            held: None,
            sent: None,
            next: Timestamp::ZERO,
            releasing: false,
        }
    }

    /// Says whether the lease is held now; to be asked right before each step.
    pub fn status(&self, now: Timestamp) -> LeaseStatus {
        match self.held {
            Some(held) if now < held.until => LeaseStatus::Held(held.epoch),
            Some(held) => LeaseStatus::InDoubt(held.epoch),
            None => LeaseStatus::NotHeld,
        }
    }

    /// Gives the lease up with the next write, so that another can take it at once.
    pub fn release(&mut self) {
        self.releasing = true;
        self.next = Timestamp::ZERO;
    }

    /// Says whether a release has been written, or there was nothing to release.
    pub fn is_released(&self) -> bool {
        let holds = self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.open || seen.record.as_ref().is_some_and(|r| self.is_mine(r)));
        self.releasing && self.sent.is_none() && !holds
    }

    /// Says whether a record gives the lease to this process.
    fn is_mine(&self, record: &LeaseRecord) -> bool {
        record.holder == self.holder && record.life == self.life && !record.released
    }

    /// Says what to do next.
    pub fn step(&mut self, now: Timestamp) -> LeaseStep<V> {
        if now < self.next {
            return LeaseStep::Wait(self.next);
        }
        let Some(seen) = self.seen.clone().filter(|seen| !seen.open) else {
            return LeaseStep::Read;
        };
        let Some(record) = self.next_record(&seen, now) else {
            self.reopen();
            return LeaseStep::Read;
        };
        if record.released {
            // Whether or not the answer arrives, another may take the lease from now on.
            self.held = None;
        }
        // Counted from before the write is sent: whatever the answer's delay, the others start to
        // count later.
        self.sent = Some(Sent {
            record: record.clone(),
            at: now,
        });
        LeaseStep::Write {
            version: seen.version,
            record,
        }
    }

    /// Returns the record to write, if the lease is this process's to renew or to take.
    fn next_record(&self, seen: &Seen<V>, now: Timestamp) -> Option<LeaseRecord> {
        let record = |epoch, renewal, released| LeaseRecord {
            holder: self.holder.clone(),
            life: self.life,
            epoch,
            renewal,
            released,
        };
        let Some(current) = &seen.record else {
            return (!self.releasing).then(|| record(Epoch(1), 0, false));
        };
        if self.is_mine(current) && self.held.is_some_and(|h| h.epoch == current.epoch) {
            return Some(record(current.epoch, current.renewal + 1, self.releasing));
        }
        let lapsed = now.since(seen.since) >= self.options.duration + self.options.drift;
        let free = current.released || lapsed;
        (free && !self.releasing).then(|| record(current.epoch.next(), 0, false))
    }

    /// Takes in how a read ended.
    pub fn on_read(&mut self, end: LeaseRead<V>, now: Timestamp) {
        self.next = now.after(self.options.interval);
        let LeaseRead::Found(found) = end else { return };
        let (version, record) = match found {
            Some((version, record)) => (Some(version), Some(record)),
            None => (None, None),
        };
        self.settle_sent(record.as_ref());
        self.held = record.as_ref().and_then(|r| self.held_by(r));
        if self.held.is_some() || record.as_ref().is_none_or(|r| r.released) {
            self.next = now;
        }
        let since = match &self.seen {
            Some(seen) if seen.version == version => seen.since,
            _ => now,
        };
        self.seen = Some(Seen {
            version,
            record,
            since,
            open: false,
        });
    }

    /// Returns what this process holds when `record` stands in the store.
    ///
    /// A take-over that landed late is this process's own, but its time has run out: it is in
    /// doubt until it is renewed.
    fn held_by(&self, record: &LeaseRecord) -> Option<Held> {
        let known = self.held.filter(|held| held.epoch == record.epoch);
        let late = Held {
            epoch: record.epoch,
            until: Timestamp::ZERO,
        };
        self.is_mine(record).then(|| known.unwrap_or(late))
    }

    /// Settles a write whose answer was lost by what stands in the store.
    fn settle_sent(&mut self, record: Option<&LeaseRecord>) {
        let Some(sent) = self.sent.take() else { return };
        if record == Some(&sent.record) {
            self.take_effect(&sent);
        }
    }

    fn take_effect(&mut self, sent: &Sent) {
        self.held = (!sent.record.released).then(|| Held {
            epoch: sent.record.epoch,
            until: sent.at.after(self.options.duration),
        });
    }

    /// Takes in how a write ended.
    pub fn on_write(&mut self, end: LeaseWrite<V>, now: Timestamp) {
        self.next = now.after(self.options.interval);
        match end {
            LeaseWrite::Written(version) => {
                let Some(sent) = self.sent.take() else { return };
                self.take_effect(&sent);
                self.seen = Some(Seen {
                    version: Some(version),
                    record: Some(sent.record),
                    since: now,
                    open: false,
                });
            }
            LeaseWrite::Replaced => {
                self.next = now;
                self.reopen();
            }
            LeaseWrite::Failed => self.reopen(),
        }
    }

    fn reopen(&mut self) {
        if let Some(seen) = &mut self.seen {
            seen.open = true;
        }
    }
}
