//! The ledger as the request path uses it.

use std::collections::BTreeMap;
use std::sync::Mutex;

use async_trait::async_trait;
use kumquatkeel_core::ledger::{Call, CallOutcome, Claim, LedgerKey};
use kumquatkeel_core::request::FlowAnswer;
use kumquatkeel_types::{AttemptId, ErrorBody, ErrorCode, Outcome};

use crate::call::{CallEnd, CallLedger, ClaimStep, ClaimedAttempt, KeyedCall};
use crate::ledger::{CallLedger as _, ClaimAnswer, StoreLedger};
use crate::state::lock;

/// When a caller may come back after the store failed, in milliseconds.
const STORE_RETRY_MS: u64 = 1_000;

/// Claims and settles calls for the request path.
pub(super) struct LedgerOfCalls {
    ledger: StoreLedger,
    open: Mutex<BTreeMap<LedgerKey, Claim>>,
}

impl LedgerOfCalls {
    pub(super) const fn new(ledger: StoreLedger) -> Self {
        Self {
            ledger,
            open: Mutex::new(BTreeMap::new()),
        }
    }

    /// Gives up the claim of an earlier attempt of the same request, which did not run.
    async fn give_up_earlier(&self, key: &LedgerKey, attempt: &AttemptId) {
        let earlier = {
            let mut open = lock(&self.open);
            let is_own = open
                .get(key)
                .is_some_and(|c| c.attempt.request == attempt.request);
            if is_own { open.remove(key) } else { None }
        };
        if let Some(claim) = earlier {
            self.ledger.settle(key, &claim, CallOutcome::NotRun).await;
        }
    }
}

#[async_trait]
impl CallLedger for LedgerOfCalls {
    async fn claim(&self, call: &KeyedCall, attempt: &ClaimedAttempt) -> ClaimStep {
        let key = key_of(call);
        self.give_up_earlier(&key, &attempt.attempt).await;
        let wanted = Call {
            key: key.clone(),
            digest: call.digest,
            attempt: attempt.attempt.clone(),
            target: attempt.target.clone(),
            incarnation: attempt.incarnation,
        };
        match self.ledger.claim(wanted).await {
            ClaimAnswer::Run(claim) => {
                lock(&self.open).insert(key, claim);
                ClaimStep::Send
            }
            ClaimAnswer::Answered {
                status,
                content_type,
                body: Some(body),
            } => ClaimStep::Replay(FlowAnswer::Plain {
                status,
                content_type,
                body,
            }),
            other => ClaimStep::Refuse(refusal_of(&other)),
        }
    }

    async fn settle(&self, call: &KeyedCall, attempt: &AttemptId, end: CallEnd) {
        let key = key_of(call);
        let claim = {
            let mut open = lock(&self.open);
            let is_own = open.get(&key).is_some_and(|c| c.attempt == *attempt);
            if is_own { open.remove(&key) } else { None }
        };
        if let Some(claim) = claim {
            self.ledger.settle(&key, &claim, outcome_of(end)).await;
        }
    }
}

fn key_of(call: &KeyedCall) -> LedgerKey {
    LedgerKey {
        caller: call.caller.clone(),
        service: call.service.clone(),
        key: call.key.clone(),
    }
}

fn outcome_of(end: CallEnd) -> CallOutcome {
    match end {
        CallEnd::Done(FlowAnswer::Plain {
            status,
            content_type,
            body,
        }) => CallOutcome::answered(status, content_type, body),
        CallEnd::NotRun => CallOutcome::NotRun,
        CallEnd::Done(FlowAnswer::Completed { .. }) | CallEnd::Unknown => CallOutcome::Unknown,
    }
}

/// Returns what a caller is told when the call is not sent.
fn refusal_of(answer: &ClaimAnswer) -> ErrorBody {
    let (outcome, code, message, retry_after_ms) = match answer {
        ClaimAnswer::Running { retry_after } => (
            Outcome::Unknown,
            ErrorCode::Interrupted,
            "the call with this key is running",
            Some(retry_after.as_millis() as u64),
        ),
        ClaimAnswer::Answered { .. } => (
            Outcome::Unknown,
            ErrorCode::Interrupted,
            "the call has run; its answer was too large to keep",
            None,
        ),
        ClaimAnswer::KeyReused => (
            Outcome::Refused,
            ErrorCode::KeyReused,
            "the idempotency key was used for another request",
            None,
        ),
        ClaimAnswer::KeyExpired => (
            Outcome::Refused,
            ErrorCode::KeyExpired,
            "the idempotency key is past its age limit",
            None,
        ),
        ClaimAnswer::Full => (
            Outcome::NotRun,
            ErrorCode::Overloaded,
            "the ledger has no room for the key",
            Some(STORE_RETRY_MS),
        ),
        ClaimAnswer::StoreUnavailable => (
            Outcome::NotRun,
            ErrorCode::StoreUnavailable,
            "the store that records calls can't be reached",
            Some(STORE_RETRY_MS),
        ),
        ClaimAnswer::Run(_) | ClaimAnswer::Unknown => (
            Outcome::Unknown,
            ErrorCode::Interrupted,
            "the call may have run; it is not run again",
            None,
        ),
    };
    ErrorBody {
        outcome,
        code,
        message: message.into(),
        request: None,
        retry_after_ms,
    }
}
