//! Faults that a test or a setting brings about at the platform.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::{CallCounts, CallKind};

/// What happens to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFault {
    /// The call is refused before it does anything.
    Unavailable,
    /// The call is refused for its rate.
    RateLimited,
    /// The call does nothing and its answer is lost.
    LostBefore,
    /// The call takes effect and its answer is lost.
    LostAfter,
    /// The answer is lost and the call takes effect after this time.
    LateEffect(Duration),
    /// The call starts after this time.
    Slow(Duration),
    /// The watch can't go on.
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
    share: f64,
    random: Pcg64,
}

/// A handle on the faults of a store or of one client's way to it; clones share them.
#[derive(Debug, Clone, Default)]
pub struct PlatformFaults {
    state: Arc<Mutex<State>>,
}

/// What a call meets: how long it is held up, and a fault.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Meeting {
    pub(super) delay: Duration,
    pub(super) fault: Option<CallFault>,
}

impl PlatformFaults {
    /// Makes a handle without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts or ends an outage; calls are refused before they do anything.
    pub fn set_outage(&self, outage: bool) {
        self.lock().outage = outage;
    }

    /// Sets how long reads and lists are held up.
    pub fn set_read_delay(&self, delay: Duration) {
        self.lock().read_delay = delay;
    }

    /// Sets how long writes are held up before they take effect.
    pub fn set_write_delay(&self, delay: Duration) {
        self.lock().write_delay = delay;
    }

    /// Makes the `nth` call of a kind from now on, counted from 1, meet a fault.
    pub fn script(&self, kind: CallKind, nth: u64, fault: CallFault) {
        let mut state = self.lock();
        let number = state.calls.of(kind) + nth.max(1);
        state.scripts.insert((kind, number), fault);
    }

    /// Loses a share of the answers to writes, half of them before the write takes effect.
    ///
    /// The same seed loses the same ones.
    pub fn set_losses(&self, share: f64, seed: u64) {
        self.lock().losses = (share > 0.0).then(|| Losses {
            share,
            random: Pcg64::seed_from_u64(seed),
        });
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

    /// Returns the calls so far.
    pub fn calls(&self) -> CallCounts {
        self.lock().calls.clone()
    }

    /// Says whether there is an outage.
    pub fn outage(&self) -> bool {
        self.lock().outage
    }

    /// Counts a call and returns what it meets.
    pub(super) fn meet(&self, kind: CallKind) -> Meeting {
        let mut state = self.lock();
        let number = state.calls.add(kind);
        let delay = if kind.is_write() {
            state.write_delay
        } else {
            state.read_delay
        };
        let scripted = state.scripts.remove(&(kind, number));
        let fault = if state.outage {
            Some(CallFault::Unavailable)
        } else {
            scripted.or_else(|| state.draw_loss(kind))
        };
        Meeting { delay, fault }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl State {
    fn draw_loss(&mut self, kind: CallKind) -> Option<CallFault> {
        let losses = self.losses.as_mut().filter(|_| kind.is_write())?;
        if !losses.random.random_bool(losses.share.clamp(0.0, 1.0)) {
            return None;
        }
        if losses.random.random_bool(0.5) {
            Some(CallFault::LostBefore)
        } else {
            Some(CallFault::LostAfter)
        }
    }
}
