//! Keeps the origins of streams in the platform's store.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{JournalStep, OriginJournal, VersionSet};
use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_types::Timestamp;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use crate::gossip::OriginRecord;
use crate::platform::{OriginStore, PlatformError};

/// Most records that wait for the store.
const MAX_WAITING: usize = 4_096;
/// Most records that are taken up at once.
const BATCH: usize = 1_024;
/// Interval between two comparisons with the store: others may have ended, or the store may have been restored
/// from a copy.
const COMPARE_INTERVAL: Duration = Duration::from_secs(20);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Which origins a process writes to the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct OriginDuty {
    /// The services whose streams may have been begun by several software versions.
    pub(crate) services: BTreeSet<Arc<str>>,
    /// Shortest interval between two writes.
    pub(crate) interval: Duration,
}

/// Where a process passes the origins that it is to keep in the store.
#[derive(Debug)]
pub(crate) struct OriginKeeper {
    /// The process's duty; `None` while other processes keep the origins.
    duty: watch::Sender<Option<OriginDuty>>,
    records: mpsc::Sender<OriginRecord>,
}

impl OriginDuty {
    /// Returns the duty to write the streams of services that are listed or recorded with several versions.
    pub(crate) fn new(listed: VersionSet, recorded: &VersionSet, interval: Duration) -> Self {
        let mut versions = listed;
        versions.merge(recorded.clone());
        let services = versions.mixed_services().cloned().collect();
        Self { services, interval }
    }
}

impl OriginKeeper {
    /// Starts to keep origins in a store, in objects whose names begin with `prefix`.
    pub(crate) fn start(store: Arc<dyn OriginStore>, prefix: String, clock: Clock) -> Self {
        let duty = watch::Sender::new(None);
        let (records, received) = mpsc::channel(MAX_WAITING);
        let journal = OriginJournal::new(prefix);
        let writer = Writer {
            store,
            journal,
            clock,
        };
        tokio::spawn(writer.run(duty.subscribe(), received));
        Self { duty, records }
    }

    /// Sets the process's duty; `None` if other processes keep the origins.
    pub(crate) fn set_duty(&self, duty: Option<OriginDuty>) {
        crate::objects::publish(&self.duty, duty);
    }

    /// Passes on a record, which is written once the process has the duty for its service. While the store doesn't
    /// keep up, some are dropped.
    pub(crate) fn record(&self, record: OriginRecord) {
        if self.records.try_send(record).is_err() {
            log::debug!(waiting = MAX_WAITING; "origin not recorded in the store");
        }
    }
}

/// Carries out the steps of a journal.
struct Writer {
    store: Arc<dyn OriginStore>,
    journal: OriginJournal,
    clock: Clock,
}

impl Writer {
    /// Runs for as long as the keeper exists.
    async fn run(
        mut self,
        mut duty: watch::Receiver<Option<OriginDuty>>,
        mut records: mpsc::Receiver<OriginRecord>,
    ) {
        let mut batch = Vec::new();
        let (mut next_steps, mut next_compare) = (Instant::now(), Instant::now());
        let mut on_duty = false;
        // What others have left is only known after a comparison.
        let mut is_compared = false;
        loop {
            let current = duty.borrow_and_update().clone();
            let now = self.clock.now();
            let services = current
                .iter()
                .flat_map(|duty| duty.services.iter().cloned());
            self.journal.set_services(services, now);
            if !std::mem::replace(&mut on_duty, current.is_some()) && on_duty {
                (is_compared, next_compare) = (false, Instant::now());
            }
            let compares = on_duty && (!is_compared || self.journal.is_in_use());
            let steps_due = self.steps_due(now).max(next_steps);
            tokio::select! {
                biased;
                () = sleep_until(next_compare), if compares => {
                    next_compare = Instant::now() + COMPARE_INTERVAL;
                    is_compared |= self.compare().await;
                }
                () = sleep_until(steps_due) => {
                    let interval = current.map_or(RETRY_PAUSE, |duty| duty.interval);
                    next_steps = Instant::now() + self.take_steps(interval).await;
                }
                count = records.recv_many(&mut batch, BATCH) => {
                    if count == 0 {
                        return;
                    }
                    self.record(batch.drain(..));
                }
                changed = duty.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
        }
    }

    fn record(&mut self, records: impl Iterator<Item = OriginRecord>) {
        let now = self.clock.now();
        for record in records {
            let until = now.after(record.life());
            self.journal
                .record(record.attempt, record.origin, until, now);
        }
    }

    /// Returns when the journal has a step to take.
    fn steps_due(&self, now: Timestamp) -> Instant {
        if self.journal.is_due(now) {
            return Instant::now();
        }
        let removal = self.journal.next_removal();
        Instant::now() + removal.map_or(COMPARE_INTERVAL, |at| at.since(now))
    }

    /// Takes all steps that are due; returns the pause until the next ones.
    async fn take_steps(&mut self, interval: Duration) -> Duration {
        loop {
            let step = self.journal.next_step(self.clock.now());
            match self.take(step).await {
                Ok(true) => {}
                Ok(false) => return interval,
                Err(error) => {
                    log::info!(dependency = "store", error:%; "origins not kept in the store");
                    return RETRY_PAUSE;
                }
            }
        }
    }

    /// Takes a step; returns whether there was one.
    async fn take(&mut self, step: JournalStep) -> Result<bool, PlatformError> {
        match step {
            JournalStep::Idle => return Ok(false),
            JournalStep::Write {
                name,
                slice,
                revision,
            } => {
                let revision = self.store.write_origins(&name, &slice, revision).await?;
                let count = slice.origins().count();
                log::debug!(object:% = name, count, revision; "origins written");
                self.journal.record_written(&name, revision);
            }
            JournalStep::Remove { name, revision } => {
                self.store.remove_origins(&name, revision).await?;
                self.journal.record_removed(&name);
            }
        }
        Ok(true)
    }

    /// Compares the journal with the store; returns whether the store could be read.
    async fn compare(&mut self) -> bool {
        match self.store.read_origins().await {
            Ok(stored) => {
                self.journal.compare(&stored, self.clock.now());
                true
            }
            Err(error) => {
                log::info!(dependency = "store", error:%; "origins not compared with the store");
                false
            }
        }
    }
}
