//! Fault injection for the stand-in of a plain service.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// The fault that is injected into one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlainFault {
    /// The call has no effect and the response is lost.
    LostBefore,
    /// The call takes effect and the response is lost.
    LostAfter,
    /// The call takes this long instead of the usual service time.
    Slow(Duration),
    /// The call takes effect and never returns.
    Silent,
}

#[derive(Debug, Default)]
struct State {
    dead: bool,
    scripts: BTreeMap<u64, PlainFault>,
    calls: u64,
}

/// Controls the faults of a plain service; clones share the state.
#[derive(Debug, Clone, Default)]
pub struct PlainFaults {
    state: Arc<Mutex<State>>,
}

impl PlainFaults {
    /// Takes the service down or brings it back; while it is down, calls are lost without effect.
    pub fn set_dead(&self, dead: bool) {
        self.lock().dead = dead;
    }

    /// Injects `fault` into the `nth` call from now on, counted from 1.
    pub fn script(&self, nth: u64, fault: PlainFault) {
        let mut state = self.lock();
        let number = state.calls + nth.max(1);
        state.scripts.insert(number, fault);
    }

    /// Returns the number of calls that arrived, lost ones included.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Removes all faults; the call count is kept.
    pub fn clear(&self) {
        let mut state = self.lock();
        state.dead = false;
        state.scripts.clear();
    }

    /// Counts a call and returns the fault to inject into it, if any.
    pub(super) fn next_fault(&self) -> Option<PlainFault> {
        let mut state = self.lock();
        state.calls += 1;
        let number = state.calls;
        let scripted = state.scripts.remove(&number);
        if state.dead {
            return Some(PlainFault::LostBefore);
        }
        scripted
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
