//! Faults that a test or a setting brings about at a plain service.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// What happens to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlainFault {
    /// The call does nothing and its answer is lost.
    LostBefore,
    /// The call takes effect and its answer is lost.
    LostAfter,
    /// The call takes this long.
    Slow(Duration),
    /// The call takes effect and no answer ever comes.
    Silent,
}

#[derive(Debug, Default)]
struct State {
    dead: bool,
    scripts: BTreeMap<u64, PlainFault>,
    calls: u64,
}

/// A handle on the faults of a plain service; clones share them.
#[derive(Debug, Clone, Default)]
pub struct PlainFaults {
    state: Arc<Mutex<State>>,
}

impl PlainFaults {
    /// Makes the service dead or alive; a dead one loses every call.
    pub fn set_dead(&self, dead: bool) {
        self.lock().dead = dead;
    }

    /// Makes the `nth` call from now on, counted from 1, meet a fault.
    pub fn script(&self, nth: u64, fault: PlainFault) {
        let mut state = self.lock();
        let number = state.calls + nth.max(1);
        state.scripts.insert(number, fault);
    }

    /// Returns how many calls arrived.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Ends all faults; the count stays.
    pub fn clear(&self) {
        let mut state = self.lock();
        state.dead = false;
        state.scripts.clear();
    }

    /// Counts a call and returns the fault that it meets.
    pub(super) fn meet(&self) -> Option<PlainFault> {
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
