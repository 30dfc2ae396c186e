//! Callers that send keyed calls and completions, and what they were told.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use kumquatkeel_standin::demo::{CALLER_KEY, Caller, Completion, PlainReply};
use kumquatkeel_types::Outcome;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Tokens of a completion.
pub(crate) const MAX_TOKENS: u32 = 24;
/// Times that a caller asks again with the same key.
const CALL_TRIES: usize = 6;
/// Pause before a caller asks again.
const CALL_PAUSE: Duration = Duration::from_millis(700);
/// Longest time that a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(30);

/// A keyed call and every reply to it.
#[derive(Debug, Clone)]
pub(crate) struct CallRecord {
    pub(crate) key: String,
    pub(crate) replies: Vec<Option<PlainReply>>,
}

impl CallRecord {
    /// Returns the whole answers among the replies.
    pub(crate) fn answers(&self) -> impl Iterator<Item = &PlainReply> {
        self.replies
            .iter()
            .flatten()
            .filter(|reply| reply.outcome == Some(Outcome::Done))
    }

    /// Says whether every reply said that the call was not run.
    pub(crate) fn told_not_run(&self) -> bool {
        let not_run = |reply: &Option<PlainReply>| {
            let reply = reply.as_ref();
            reply.is_some_and(|reply| reply.outcome == Some(Outcome::NotRun))
        };
        !self.replies.is_empty() && self.replies.iter().all(not_run)
    }
}

/// A completion and its answer, or why there is none.
#[derive(Debug, Clone)]
pub(crate) struct StreamRecord {
    pub(crate) model: &'static str,
    pub(crate) prompt: String,
    pub(crate) seed: u64,
    pub(crate) answer: Result<Completion, String>,
}

pub(crate) struct Traffic {
    entries: Vec<SocketAddr>,
    caller: Caller,
    calls: Arc<Mutex<Vec<CallRecord>>>,
    streams: Arc<Mutex<Vec<StreamRecord>>>,
    tasks: JoinSet<()>,
    models: Vec<&'static str>,
    sent: u64,
}

impl Traffic {
    pub(crate) fn new(entries: Vec<SocketAddr>) -> Self {
        Self {
            entries,
            caller: Caller::new(CALLER_KEY),
            calls: Arc::default(),
            streams: Arc::default(),
            tasks: JoinSet::new(),
            models: vec!["box", "shelf", "tone"],
            sent: 0,
        }
    }

    /// Sets the models that callers ask for from now on.
    pub(crate) fn set_models(&mut self, models: Vec<&'static str>) {
        self.models = models;
    }

    /// Sends keyed calls and completions through every entry.
    pub(crate) fn send_some(&mut self) {
        for entry in 0..self.entries.len() {
            for _ in 0..3 {
                self.send_call(entry);
            }
            for model in self.models.clone() {
                self.send_stream(entry, model);
            }
        }
    }

    /// Sends a keyed call, and again through the other entry until it has a whole answer.
    pub(crate) fn send_call(&mut self, entry: usize) {
        self.sent += 1;
        let (entries, caller) = (self.entries.clone(), self.caller.clone());
        let mut record = CallRecord {
            key: format!("key-{}", self.sent),
            replies: Vec::new(),
        };
        let calls = self.calls.clone();
        self.tasks.spawn(async move {
            let body = json!({ "key": record.key });
            for number in 0..CALL_TRIES {
                let entry = entries[(entry + number) % entries.len()];
                let call = caller.call(entry, "/v1/services/swaps/swap", &record.key, &body);
                let reply = timeout(PATIENCE, call).await;
                record.replies.push(reply.ok().and_then(Result::ok));
                if record.answers().next().is_some() {
                    break;
                }
                sleep(CALL_PAUSE).await;
            }
            calls.lock().expect("not poisoned").push(record);
        });
    }

    /// Sends a streamed completion.
    pub(crate) fn send_stream(&mut self, entry: usize, model: &'static str) {
        self.sent += 1;
        let (seed, entry) = (self.sent, self.entries[entry]);
        let prompt = format!("prompt {seed}");
        let (caller, streams) = (self.caller.clone(), self.streams.clone());
        self.tasks.spawn(async move {
            let body = json!({
                "model": model, "prompt": prompt, "max_tokens": MAX_TOKENS, "seed": seed,
                "stream": true,
            });
            let answer = match timeout(PATIENCE, caller.complete(entry, &body)).await {
                Ok(Ok(completion)) => Ok(completion),
                Ok(Err(error)) => Err(error.to_string()),
                Err(_) => Err("no answer in time".into()),
            };
            let record = StreamRecord {
                model,
                prompt,
                seed,
                answer,
            };
            streams.lock().expect("not poisoned").push(record);
        });
    }

    /// Waits until every caller has its last answer.
    pub(crate) async fn finish(&mut self) {
        while self.tasks.join_next().await.is_some() {}
    }

    pub(crate) fn calls(&self) -> Vec<CallRecord> {
        self.calls.lock().expect("not poisoned").clone()
    }

    pub(crate) fn streams(&self) -> Vec<StreamRecord> {
        self.streams.lock().expect("not poisoned").clone()
    }
}
