//! Fault injection for the stand-in of an engine.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// The operations of an engine that are counted and can be made to fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EngineCall {
    /// Runs a completion.
    Completion,
    /// Cancels a completion.
    Cancel,
    /// Loads or unloads a model or an adapter.
    Order,
    /// Reads the load report or the cache events.
    Report,
}

/// The fault that is injected into one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFault {
    /// The call has no effect and the response is lost.
    LostBefore,
    /// The call takes effect and the response is lost.
    LostAfter,
    /// The call is delayed by this time and then proceeds.
    Late(Duration),
    /// The response is lost at once; the call takes effect after this delay.
    LateEffect(Duration),
    /// The call never returns and has no effect.
    Silent,
    /// The stream ends after this many tokens, without a finish reason.
    InterruptAfter(u32),
    /// The response is that of the previous request.
    Crossed,
}

#[derive(Debug, Default)]
struct State {
    dead: bool,
    slowness: Option<f64>,
    scripts: BTreeMap<(EngineCall, u64), EngineFault>,
    calls: BTreeMap<EngineCall, u64>,
}

/// Controls the faults of an engine; clones share the state.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    state: Arc<Mutex<State>>,
}

impl EngineFaults {
    /// Creates a controller without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the engine down or brings it back; while it is down, calls are lost without effect and
    /// running streams are interrupted.
    pub fn set_dead(&self, dead: bool) {
        self.lock().dead = dead;
    }

    /// Multiplies the time of the prefill and the time between tokens by `factor`.
    pub fn set_slowness(&self, factor: f64) {
        self.lock().slowness = Some(factor.max(0.0));
    }

    /// Injects `fault` into the `nth` call of a kind from now on, counted from 1.
    pub fn script(&self, call: EngineCall, nth: u64, fault: EngineFault) {
        let mut state = self.lock();
        let number = state.calls.get(&call).copied().unwrap_or(0) + nth.max(1);
        state.scripts.insert((call, number), fault);
    }

    /// Removes all faults; the call counts are kept.
    pub fn clear(&self) {
        let mut state = self.lock();
        let calls = std::mem::take(&mut state.calls);
        *state = State {
            calls,
            ..State::default()
        };
    }

    /// Returns the number of calls of a kind that arrived, lost ones included.
    pub fn calls(&self, call: EngineCall) -> u64 {
        self.lock().calls.get(&call).copied().unwrap_or(0)
    }

    pub(super) fn is_dead(&self) -> bool {
        self.lock().dead
    }

    pub(super) fn scale_time(&self, span: Duration) -> Duration {
        self.lock()
            .slowness
            .map_or(span, |factor| span.mul_f64(factor))
    }

    /// Counts a call and returns the fault to inject into it, if any.
    pub(super) fn next_fault(&self, call: EngineCall) -> Option<EngineFault> {
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
