//! Records calls and responses in the order in which they happen.

use std::sync::{Arc, Mutex};

use todc_utils::{Action, History, Specification, WGLChecker};

/// What the processes of a run did, in order.
pub(crate) type Actions<T> = Vec<(usize, Action<T>)>;

/// A shared record of one run.
#[derive(Debug)]
pub(crate) struct Recorder<T> {
    actions: Arc<Mutex<Actions<T>>>,
}

impl<T> Clone for Recorder<T> {
    fn clone(&self) -> Self {
        Self {
            actions: Arc::clone(&self.actions),
        }
    }
}

impl<T: Clone> Recorder<T> {
    pub(crate) fn new() -> Self {
        Self {
            actions: Arc::default(),
        }
    }

    pub(crate) fn call(&self, process: usize, operation: T) {
        self.push(process, Action::Call(operation));
    }

    pub(crate) fn respond(&self, process: usize, operation: T) {
        self.push(process, Action::Response(operation));
    }

    /// Returns the actions so far.
    pub(crate) fn actions(&self) -> Actions<T> {
        self.actions.lock().expect("not poisoned").clone()
    }

    fn push(&self, process: usize, action: Action<T>) {
        let mut actions = self.actions.lock().expect("not poisoned");
        actions.push((process, action));
    }
}

/// Says whether a history could have come from one call after the other.
pub(crate) fn is_linearizable<S: Specification>(actions: Actions<S::Operation>) -> bool {
    WGLChecker::<S>::is_linearizable(History::from_actions(actions))
}

/// Returns the seeds to run: the one that the environment names, or the first `count`.
pub(crate) fn seeds(count: u64) -> Vec<u64> {
    let named = std::env::var("KUMQUATKEEL_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    named.map_or_else(|| (0..count).collect(), |seed| vec![seed])
}
