//! The account of one request at a target.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{AdapterKey, Band, TargetId};

use super::state::Shared;

/// Counts a request at a target until it is dropped.
#[derive(Debug)]
pub(super) struct WorkGuard {
    shared: Arc<Shared>,
    target: TargetId,
    prefill: Duration,
    band: Band,
    waiting: bool,
    adapter: Option<AdapterKey>,
}

impl WorkGuard {
    /// Starts counting a request with this prefill time.
    pub(super) fn new(
        shared: Arc<Shared>,
        target: TargetId,
        prefill: Duration,
        band: Band,
        adapter: Option<AdapterKey>,
    ) -> Self {
        let mut state = shared.lock();
        if let Some(adapter) = &adapter {
            state.use_adapter(&target, adapter);
        }
        state.with_engine(&target, |engine| {
            engine.own_backlog.add(prefill, band);
            engine.running += 1;
        });
        drop(state);
        if !prefill.is_zero() {
            shared.note_work(&target);
        }
        Self {
            shared,
            target,
            prefill,
            band,
            waiting: true,
            adapter,
        }
    }

    /// Notes bytes of the answer; the first ones show that the prefill is over.
    pub(super) fn received(&mut self) {
        let now = self.shared.now();
        (self.shared.lock()).with_engine(&self.target, |engine| engine.last_byte = Some(now));
        self.end_prefill();
    }

    /// Returns the target.
    pub(super) const fn target(&self) -> &TargetId {
        &self.target
    }

    fn end_prefill(&mut self) {
        if std::mem::take(&mut self.waiting) {
            let (prefill, band) = (self.prefill, self.band);
            let mut state = self.shared.lock();
            state.with_engine(&self.target, |engine| {
                engine.own_backlog.remove(prefill, band);
            });
            drop(state);
            if !prefill.is_zero() {
                self.shared.note_work(&self.target);
            }
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.end_prefill();
        let mut state = self.shared.lock();
        if let Some(adapter) = &self.adapter {
            state.leave_adapter(&self.target, adapter);
        }
        state.with_engine(&self.target, |engine| {
            engine.running = engine.running.saturating_sub(1);
        });
    }
}
