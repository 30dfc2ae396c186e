//! Accounting of one request that is in flight at a target.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{AdapterKey, Band, TargetId};

use super::admission::AdmissionGuard;
use super::state::Shared;

/// Counts a request at a target until the guard is dropped: its prefill work up to the first byte
/// of the response, the running request and its adapter up to the end.
#[derive(Debug)]
pub(super) struct InFlightGuard {
    shared: Arc<Shared>,
    target: TargetId,
    prefill: Duration,
    band: Band,
    /// Whether the prefill still counts towards the backlog.
    in_prefill: bool,
    adapter: Option<AdapterKey>,
    /// The admission of the request, which ends with its prefill.
    admission: Option<AdmissionGuard>,
}

impl InFlightGuard {
    /// Counts a request with this predicted prefill time; zero for a target without models.
    pub(super) fn new(
        shared: Arc<Shared>,
        target: TargetId,
        prefill: Duration,
        band: Band,
        adapter: Option<AdapterKey>,
    ) -> Self {
        let mut state = shared.lock();
        if let Some(adapter) = &adapter {
            state.acquire_adapter(&target, adapter);
        }
        state.update_engine(&target, |engine| {
            engine.own_backlog.add(prefill, band);
            engine.running += 1;
        });
        drop(state);
        if !prefill.is_zero() {
            shared.send_backlog(&target);
        }
        Self {
            shared,
            target,
            prefill,
            band,
            in_prefill: true,
            adapter,
            admission: None,
        }
    }

    /// Records that response bytes arrived; the first ones show that the prefill is over.
    pub(super) fn record_bytes(&mut self) {
        let now = self.shared.now();
        (self.shared.lock()).update_engine(&self.target, |engine| engine.last_byte = Some(now));
        self.end_prefill();
    }

    /// Keeps the admission of the request until its prefill is over.
    pub(super) fn set_admission(&mut self, admission: AdmissionGuard) {
        self.admission = Some(admission);
    }

    pub(super) const fn target(&self) -> &TargetId {
        &self.target
    }

    fn end_prefill(&mut self) {
        self.admission = None;
        if std::mem::take(&mut self.in_prefill) {
            let (prefill, band) = (self.prefill, self.band);
            let mut state = self.shared.lock();
            state.update_engine(&self.target, |engine| {
                engine.own_backlog.remove(prefill, band);
            });
            drop(state);
            if !prefill.is_zero() {
                self.shared.send_backlog(&self.target);
            }
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.end_prefill();
        let mut state = self.shared.lock();
        if let Some(adapter) = &self.adapter {
            state.release_adapter(&self.target, adapter);
        }
        state.update_engine(&self.target, |engine| {
            engine.running = engine.running.saturating_sub(1);
        });
    }
}
