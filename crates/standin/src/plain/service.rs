//! The plain service's state: executed calls and stored answers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use derive_more::{Display, Error};
use tokio::time::sleep;

use super::{PlainFault, PlainFaults};

/// A call as the service receives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainCall {
    /// The request path, with its leading slash.
    pub path: String,
    /// The idempotency key, or `None` if the request has no valid key header.
    pub key: Option<String>,
    /// The request body.
    pub body: String,
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The response body as JSON text.
    pub body: String,
}

/// The answer to a call was lost; the call may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the answer was lost")]
pub struct PlainError;

#[derive(Debug, Default)]
struct State {
    executed: Vec<PlainCall>,
    answers: BTreeMap<String, PlainAnswer>,
}

#[derive(Debug)]
struct Shared {
    deduplicates: bool,
    service_time: Duration,
    faults: PlainFaults,
    state: Mutex<State>,
}

/// A plain service that answers each call with its sequence number; clones share the state.
#[derive(Debug, Clone)]
pub struct PlainService {
    shared: Arc<Shared>,
}

impl PlainService {
    /// Creates a service that executes a call again when its idempotency key is repeated.
    ///
    /// Each call takes `service_time`.
    pub fn new(service_time: Duration) -> Self {
        Self::build(service_time, false)
    }

    /// Creates a service that deduplicates calls by their idempotency key.
    ///
    /// A repeated key gets the stored answer; each call takes `service_time`.
    pub fn deduping(service_time: Duration) -> Self {
        Self::build(service_time, true)
    }

    /// Returns the faults of the service.
    pub fn faults(&self) -> &PlainFaults {
        &self.shared.faults
    }

    /// Returns the calls that took effect, in the order of execution.
    pub fn executed(&self) -> Vec<PlainCall> {
        self.lock().executed.clone()
    }

    /// Returns how often calls with this idempotency key took effect, over all callers.
    ///
    /// The agent prefixes the key with the caller's name and a colon; both forms are counted.
    pub fn executions(&self, key: &str) -> usize {
        let state = self.lock();
        let matches = |call: &&PlainCall| {
            let full_key = call.key.as_deref().unwrap_or_default();
            full_key == key
                || full_key
                    .strip_suffix(key)
                    .is_some_and(|caller| caller.ends_with(':'))
        };
        state.executed.iter().filter(matches).count()
    }

    /// Executes a call after the service time, with the injected fault if there is one.
    ///
    /// # Errors
    ///
    /// Fails if a fault loses the answer.
    pub async fn call(&self, call: PlainCall) -> Result<PlainAnswer, PlainError> {
        let fault = self.shared.faults.next_fault();
        match fault {
            Some(PlainFault::LostBefore) => return Err(PlainError),
            Some(PlainFault::Slow(span)) => sleep(span).await,
            _ => sleep(self.shared.service_time).await,
        }
        let answer = self.execute(call);
        match fault {
            Some(PlainFault::LostAfter) => Err(PlainError),
            Some(PlainFault::Silent) => std::future::pending().await,
            _ => Ok(answer),
        }
    }

    fn build(service_time: Duration, deduplicates: bool) -> Self {
        Self {
            shared: Arc::new(Shared {
                deduplicates,
                service_time,
                faults: PlainFaults::default(),
                state: Mutex::default(),
            }),
        }
    }

    fn execute(&self, call: PlainCall) -> PlainAnswer {
        let mut state = self.lock();
        let stored = call.key.as_ref().and_then(|key| state.answers.get(key));
        if let Some(answer) = stored.filter(|_| self.shared.deduplicates) {
            return answer.clone();
        }
        let number = state.executed.len() + 1;
        let answer = PlainAnswer {
            status: 200,
            body: format!(r#"{{"number":{number}}}"#),
        };
        if let Some(key) = &call.key {
            state.answers.insert(key.clone(), answer.clone());
        }
        state.executed.push(call);
        answer
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
