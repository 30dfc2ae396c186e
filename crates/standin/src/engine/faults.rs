//! Faults that a test or a setting brings about at an engine.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// The kind of a call to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EngineCall {
    /// A completion.
    Completion,
    /// The cancellation of a completion.
    Cancel,
    /// An order.
    Order,
    /// The load report or the cache events.
    Report,
}

/// What happens to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFault {
    /// The call does nothing and its answer is lost.
    LostBefore,
    /// The call takes effect and its answer is lost.
    LostAfter,
    /// The call starts after this time.
    Late(Duration),
    /// The answer is lost and the call takes effect after this time.
    LateEffect(Duration),
    /// No answer ever comes, and the call does nothing.
    Silent,
    /// A stream ends after this many tokens, without its end mark.
    CutAfter(u32),
    /// The answer is that of the request before.
    Crossed,
}

#[derive(Debug, Default)]
struct State {
    dead: bool,
    slowness: Option<f64>,
    scripts: BTreeMap<(EngineCall, u64), EngineFault>,
    calls: BTreeMap<EngineCall, u64>,
}

/// A handle on the faults of an engine; clones share them.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    state: Arc<Mutex<State>>,
}

impl EngineFaults {
    /// Makes a handle without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes the engine dead or alive; a dead one loses every call and cuts every stream.
    pub fn set_dead(&self, dead: bool) {
        self.lock().dead = dead;
    }

    /// Multiplies the time between tokens.
    pub fn set_slowness(&self, factor: f64) {
        self.lock().slowness = Some(factor.max(0.0));
    }

    /// Makes the `nth` call of a kind from now on, counted from 1, meet a fault.
    pub fn script(&self, call: EngineCall, nth: u64, fault: EngineFault) {
        let mut state = self.lock();
        let number = state.calls.get(&call).copied().unwrap_or(0) + nth.max(1);
        state.scripts.insert((call, number), fault);
    }

    /// Ends all faults; counts stay.
    pub fn clear(&self) {
        let mut state = self.lock();
        let calls = std::mem::take(&mut state.calls);
        *state = State {
            calls,
            ..State::default()
        };
    }

    /// Returns how many calls of a kind arrived.
    pub fn calls(&self, call: EngineCall) -> u64 {
        self.lock().calls.get(&call).copied().unwrap_or(0)
    }

    pub(super) fn is_dead(&self) -> bool {
        self.lock().dead
    }

    pub(super) fn stretch(&self, span: Duration) -> Duration {
        self.lock()
            .slowness
            .map_or(span, |factor| span.mul_f64(factor))
    }

    /// Counts a call and returns the fault that it meets.
    pub(super) fn meet(&self, call: EngineCall) -> Option<EngineFault> {
        let mut state = self.lock();
        let number = state.calls.entry(call).or_default();
        *number += 1;
        let number = *number;
        let scripted = state.scripts.remove(&(call, number));
        if state.dead {
            return Some(EngineFault::LostBefore);
        }
        scripted
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
