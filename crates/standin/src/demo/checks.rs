//! The calls that `demo --once` sends, and what must hold of their answers.

use std::net::SocketAddr;

use derive_more::Display;
use kumquatkeel_types::Outcome;
use serde_json::{Value, json};

use super::{CALLER_KEY, Caller, Completion, DemoError, PlainReply};
use crate::engine::{ExpectedAnswer, Prompt};
use crate::fleet::Fleet;

/// The prompt of the demo's completions.
const PROMPT: &str = "Describe a donated puzzle box of 500 pieces.";
/// The token limit of the demo's completions.
const MAX_TOKENS: u32 = 48;
/// The seed of the demo's completions.
const SEED: u64 = 11;
/// The idempotency key of the call that is repeated.
const CALL_KEY: &str = "swap-2041-once";

/// One call of the demo and what came back.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{call} at {entry}: {answer}")]
pub struct DemoCall {
    /// What was sent.
    pub call: String,
    /// The entry that took it.
    pub entry: SocketAddr,
    /// What came back.
    pub answer: String,
}

/// A completion that the demo sends.
#[derive(Debug, Clone, Copy)]
struct Sample {
    name: &'static str,
    model: &'static str,
    prompt: fn() -> Prompt,
    stream: bool,
}

const SAMPLES: [Sample; 3] = [
    Sample {
        name: "completion",
        model: "puzzle-8b",
        prompt: || Prompt::new("puzzle-8b", "2", PROMPT),
        stream: false,
    },
    Sample {
        name: "streamed completion",
        model: "shelf-3b",
        prompt: || Prompt::new("shelf-3b", "1", PROMPT),
        stream: true,
    },
    Sample {
        name: "completion by an adapter",
        model: "swap-tone",
        prompt: || Prompt::new("puzzle-8b", "2", PROMPT).with_adapter("swap-tone"),
        stream: true,
    },
];

/// Sends every call and checks every answer.
///
/// # Errors
///
/// Fails with the first answer that is not as it must be.
pub(super) async fn check_all(fleet: &Fleet) -> Result<Vec<DemoCall>, DemoError> {
    let caller = Caller::new(CALLER_KEY);
    let mut calls = Vec::new();
    for (sample, entry) in SAMPLES.iter().zip(fleet.entries.iter().cycle()) {
        calls.push(check_completion(&caller, entry.address(), sample).await?);
    }
    calls.extend(check_repeated_call(&caller, fleet).await?);
    Ok(calls)
}

async fn check_completion(
    caller: &Caller,
    entry: SocketAddr,
    sample: &Sample,
) -> Result<DemoCall, DemoError> {
    let body = json!({
        "model": sample.model,
        "prompt": PROMPT,
        "max_tokens": MAX_TOKENS,
        "seed": SEED,
        "stream": sample.stream,
    });
    let completion = caller.complete(entry, &body).await?;
    let expected = (sample.prompt)().with_seed(SEED).expected(MAX_TOKENS);
    if !is_expected(&completion, &expected) {
        let reason = format!("{completion:?} instead of {expected:?}");
        return Err(DemoError::check(sample.name, reason));
    }
    Ok(DemoCall {
        call: format!("{} of {}", sample.name, sample.model),
        entry,
        answer: completion.text,
    })
}

fn is_expected(completion: &Completion, expected: &ExpectedAnswer) -> bool {
    let finish = expected.finish.to_string();
    completion.text == expected.text() && completion.finish.as_deref() == Some(finish.as_str())
}

/// Sends a call, repeats it with the same key through the other entry, and reads the record of
/// the plain service.
async fn check_repeated_call(caller: &Caller, fleet: &Fleet) -> Result<Vec<DemoCall>, DemoError> {
    let body = json!({ "swap": 2041, "from": "amman", "to": "irbid" });
    let mut calls = Vec::new();
    let mut first: Option<PlainReply> = None;
    for entry in &fleet.entries {
        let entry = entry.address();
        let reply = send_swap(caller, entry, &body).await?;
        if first.as_ref().is_some_and(|first| *first != reply) {
            let reason = format!("{reply:?} after {first:?}");
            return Err(DemoError::check("the repeated call's answer", reason));
        }
        calls.push(DemoCall {
            call: format!("call with key {CALL_KEY}"),
            entry,
            answer: reply.body.clone(),
        });
        first = Some(reply);
    }
    let executions = fleet.executions(CALL_KEY);
    if executions != 1 {
        let reason = format!("the plain services ran the call {executions} times");
        return Err(DemoError::check("the call runs once", reason));
    }
    Ok(calls)
}

async fn send_swap(
    caller: &Caller,
    entry: SocketAddr,
    body: &Value,
) -> Result<PlainReply, DemoError> {
    let path = "/v1/services/swap-desk/swaps";
    let reply = caller.call(entry, path, CALL_KEY, body).await?;
    if reply.outcome == Some(Outcome::Done) && reply.status.is_success() {
        return Ok(reply);
    }
    Err(DemoError::check("the call's outcome", format!("{reply:?}")))
}
