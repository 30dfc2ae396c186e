//! Fault injection for the stand-in of the platform.
//!
//! Every call to a [`MemoryStore`](super::MemoryStore) takes its delay and its fault from here
//! before it touches the table.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::{CallCounts, CallKind};

/// The fault that is injected into one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFault {
    /// The call fails as unavailable and has no effect.
    Unavailable,
    /// The call fails because of the rate limit and has no effect.
    RateLimited,
    /// The call has no effect and the response is lost, so the outcome is unknown to the client.
    LostBefore,
    /// The call takes effect and the response is lost, so the outcome is unknown to the client.
    LostAfter,
    /// The response is lost at once; the call takes effect after this delay.
    LateEffect(Duration),
    /// The call is delayed by this time and then proceeds.
    Slow(Duration),
    /// The watch fails because changes since its start version are no longer available.
    Gap,
}

#[derive(Debug, Default)]
struct State {
    outage: bool,
    read_delay: Duration,
    write_delay: Duration,
    scripts: BTreeMap<(CallKind, u64), CallFault>,
    losses: Option<Losses>,
    calls: CallCounts,
}

#[derive(Debug)]
struct Losses {
    probability: f64,
    rng: Pcg64,
}

/// Controls the faults of a store, or of one client's link to it; clones share the state.
#[derive(Debug, Clone, Default)]
pub struct PlatformFaults {
    state: Arc<Mutex<State>>,
}

/// The delay and the fault that are injected into one call.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Injection {
    pub(super) delay: Duration,
    pub(super) fault: Option<CallFault>,
}

impl PlatformFaults {
    /// Creates a controller without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts or ends an outage, during which every call fails as unavailable without effect.
    pub fn set_outage(&self, outage: bool) {
        self.lock().outage = outage;
    }

    /// Sets the delay of every call that doesn't modify the store, watches included.
    pub fn set_read_delay(&self, delay: Duration) {
        self.lock().read_delay = delay;
    }

    /// Sets the delay of puts and removals before they take effect.
    pub fn set_write_delay(&self, delay: Duration) {
        self.lock().write_delay = delay;
    }

    /// Injects `fault` into the `nth` call of `kind` from now on, counted from 1.
    pub fn script(&self, kind: CallKind, nth: u64, fault: CallFault) {
        let mut state = self.lock();
        let number = state.calls.of(kind) + nth.max(1);
        state.scripts.insert((kind, number), fault);
    }

    /// Loses the responses to writes with the given probability, half of them before the write
    /// takes effect.
    ///
    /// The same seed selects the same writes.
    pub fn set_losses(&self, probability: f64, seed: u64) {
        self.lock().losses = (probability > 0.0).then(|| Losses {
            probability,
            rng: Pcg64::seed_from_u64(seed),
        });
    }

    /// Removes all faults and delays; the call counts are kept.
    pub fn clear(&self) {
        let mut state = self.lock();
        let calls = std::mem::take(&mut state.calls);
        *state = State {
            calls,
            ..State::default()
        };
    }

    /// Returns the counts of the calls so far.
    pub fn calls(&self) -> CallCounts {
        self.lock().calls.clone()
    }

    /// Returns true during an outage.
    pub fn outage(&self) -> bool {
        self.lock().outage
    }

    /// Records a call and returns the delay and the fault to inject into it.
    ///
    /// An outage takes precedence over a scripted fault, and that over a random loss.
    pub(super) fn next_injection(&self, kind: CallKind) -> Injection {
        let mut state = self.lock();
        let number = state.calls.record(kind);
        let delay = if kind.is_write() {
            state.write_delay
        } else {
            state.read_delay
        };
        let scripted = state.scripts.remove(&(kind, number));
        let fault = if state.outage {
            Some(CallFault::Unavailable)
        } else {
            scripted.or_else(|| state.sample_loss(kind))
        };
        Injection { delay, fault }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl State {
    fn sample_loss(&mut self, kind: CallKind) -> Option<CallFault> {
        let losses = self.losses.as_mut().filter(|_| kind.is_write())?;
        if !losses.rng.random_bool(losses.probability.clamp(0.0, 1.0)) {
            return None;
        }
        if losses.rng.random_bool(0.5) {
            Some(CallFault::LostBefore)
        } else {
            Some(CallFault::LostAfter)
        }
    }
}
