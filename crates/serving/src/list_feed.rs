//! The state that a process shares with the task that reads its list of targets.

use std::time::Duration;

use kumquatkeel_core::serving::{ListCall, ListNotice, ListReader, ListRole};
use kumquatkeel_core::store::StorePosition;
use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_types::Timestamp;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Shortest time between two reads of the list for an urgent change.
const MIN_URGENT_DELAY: Duration = Duration::from_millis(100);

/// What a process has confirmed of the list by consistent reads.
#[derive(Debug, Clone, Copy)]
struct ListProgress {
    /// When the store last confirmed it; `None` before the first time.
    confirmed: Option<Instant>,
    /// The position of the last urgent change.
    urgent: StorePosition,
}

/// Decides how a task reads the list, and holds what it has confirmed.
#[derive(Debug, Clone)]
pub(crate) struct ListFeed {
    reader: watch::Sender<ListReader>,
    progress: watch::Sender<ListProgress>,
    clock: Clock,
}

impl ListFeed {
    /// Creates the state of a process whose times are those of `clock`.
    pub(crate) fn new(reader: ListReader, clock: Clock) -> Self {
        let progress = ListProgress {
            confirmed: None,
            urgent: StorePosition::default(),
        };
        Self {
            reader: watch::Sender::new(reader),
            progress: watch::Sender::new(progress),
            clock,
        }
    }

    /// Changes the part that the process has in reading the list.
    pub(crate) fn set_role(&self, role: ListRole) {
        self.reader.send_if_modified(|reader| reader.set_role(role));
    }

    /// Records what a relay states.
    pub(crate) fn record_notice(&self, notice: ListNotice) {
        let now = self.clock.now();
        self.reader
            .send_modify(|reader| reader.record_notice(notice, now));
    }

    /// Returns what the process states as a relay; `None` before its first consistent read.
    pub(crate) fn notice(&self) -> Option<ListNotice> {
        let progress = *self.progress.borrow();
        let age = progress.confirmed?.elapsed().as_millis();
        Some(ListNotice {
            urgent: (progress.urgent.era, progress.urgent.revision),
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        })
    }

    /// Decides on the next call of the task, which knows the list up to `known`.
    pub(crate) fn next_call(&self, known: StorePosition) -> ListCall {
        self.reader.borrow().next_call(known, self.clock.now())
    }

    /// Records that the store confirmed the list up to `known` at this time, in answer to a call that was
    /// sent at `sent`; `urgent` states whether it brought an urgent change.
    pub(crate) fn record_confirmation(
        &self,
        (sent, at): (Instant, Instant),
        known: StorePosition,
        urgent: bool,
    ) {
        let sent = self.clock.timestamp(sent);
        self.reader
            .send_modify(|reader| reader.record_read(known, sent));
        let urgent = urgent.then_some(known);
        self.progress.send_modify(|progress| {
            progress.confirmed = progress.confirmed.max(Some(at));
            progress.urgent = progress.urgent.max(urgent.unwrap_or_default());
        });
    }

    /// Waits until the list must be read consistently.
    pub(crate) async fn wait_for_consistent(&self, known: StorePosition) {
        self.wait_until(|reader| reader.consistent_at(known)).await;
    }

    /// Waits until an urgent change must be read that a relay has stated.
    pub(crate) async fn wait_for_urgent(&self, known: StorePosition) {
        sleep(MIN_URGENT_DELAY).await;
        self.wait_until(|reader| reader.urgent_at(known)).await;
    }

    /// Waits until a relay confirms the list again after a time in which none did; forever if one does, as
    /// where the store fails this process only.
    pub(crate) async fn wait_for_recovery(&self) {
        let mut changes = self.reader.subscribe();
        let is_confirmed = |reader: &ListReader| reader.is_confirmed(self.clock.now());
        if is_confirmed(&changes.borrow()) || changes.wait_for(is_confirmed).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the time that `due` returns, which may change; `None` stands for never.
    async fn wait_until(&self, due: impl Fn(&ListReader) -> Option<Timestamp>) {
        let mut changes = self.reader.subscribe();
        loop {
            let at = due(&changes.borrow_and_update());
            let now = self.clock.now();
            let left = at.map(|at| at.since(now));
            if left.is_some_and(|left| left.is_zero()) {
                return;
            }
            tokio::select! {
                () = sleep(left.unwrap_or(Duration::MAX)) => {}
                _ = changes.changed() => {}
            }
        }
    }
}
