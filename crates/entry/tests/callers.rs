//! Tests the callers' API over loopback sockets, with an entry in front of scripted agents.
//!
//! They guard against responses without or with a wrong outcome, repeated or lost tokens after an
//! interrupted stream, calls that are sent twice, and requests whose admission is never released.

mod support;

use std::sync::Arc;
use std::sync::Mutex;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::BodyExt;
use kumquatkeel_daemon::http::rpc_client;
use kumquatkeel_daemon::peer::PeerKey;
use kumquatkeel_daemon::rpc::EntryApiClient;
use kumquatkeel_entry::call::{CallEnd, CallLedger, ClaimStep, ClaimedAttempt, KeyedCall};
use kumquatkeel_types::AttemptId;
use kumquatkeel_types::message::{FenceReply, NotRunReason, Work};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;
use support::{AgentEvent, CALLER_KEY, OTHER_KEY, PEER_KEY, Script, TestCluster};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);
const COMPLETIONS_PATH: &str = "/v1/completions";
const BOOK_PATH: &str = "/v1/services/book/swaps/new";

fn body(stream: bool) -> String {
    format!(
        r#"{{"model": "m", "prompt": "describe the box", "max_tokens": 8, "stream": {stream}}}"#
    )
}

#[tokio::test]
async fn completion_returns_the_complete_text() {
    let cluster = TestCluster::start(&["t1"], None).await;
    cluster.agents[0].script(Script::Complete(3));
    let reply = cluster.post(COMPLETIONS_PATH, &[], &body(false)).await;
    assert_eq!((reply.status.as_u16(), reply.outcome()), (200, "done"));
    let answer = reply.json();
    assert_eq!(answer["choices"][0]["text"], "w0 w1 w2 ");
    assert_eq!(answer["choices"][0]["finish_reason"], "stop");
    assert_eq!(answer["usage"]["completion_tokens"], 3);
}

#[tokio::test]
async fn chat_completion_streams_until_the_done_event() {
    let mut cluster = TestCluster::start(&["t1"], None).await;
    cluster.agents[0].script(Script::Complete(2));
    let chat = r#"{"model": "m", "stream": true, "messages": [{"role": "user", "content": "hi"}]}"#;
    let reply = cluster.post("/v1/chat/completions", &[], chat).await;
    assert_eq!(reply.headers["content-type"], "text/event-stream");
    assert!(reply.text.contains(r#""content":"w0 ""#), "{}", reply.text);
    assert!(reply.text.contains(r#""outcome":"done""#));
    assert!(reply.text.ends_with("data: [DONE]\n\n"));
    let Work::Completion(work) = cluster.agents[0].next_attempt().await.work else {
        panic!("the attempt is not a completion");
    };
    assert_eq!(work.prompt, "user: hi\nassistant:");
}

#[tokio::test]
async fn interrupted_completion_resumes_on_another_agent_without_gap_or_repeat() {
    let cluster = TestCluster::start(&["t1", "t2"], None).await;
    for agent in &cluster.agents {
        agent.script(Script::Interrupt(2));
        agent.script(Script::Complete(2));
    }
    let reply = cluster.post(COMPLETIONS_PATH, &[], &body(false)).await;
    assert_eq!(reply.outcome(), "done", "{}", reply.text);
    let text = reply.json()["choices"][0]["text"].clone();
    // The second agent's stream is interrupted as well; the third attempt completes the text.
    assert_eq!(text, "w0 w1 w2 w3 w4 w5 ");
}

#[tokio::test]
async fn stream_that_can_not_be_resumed_ends_with_an_error_event_and_no_done_event() {
    let cluster = TestCluster::start(&["t1"], None).await;
    for _ in 0..8 {
        cluster.agents[0].script(Script::Interrupt(1));
    }
    let reply = cluster
        .post(
            COMPLETIONS_PATH,
            &[("kumquatkeel-deadline-ms", "3000")],
            &body(true),
        )
        .await;
    assert!(
        reply
            .text
            .contains("event: error\ndata: {\"outcome\":\"unknown\""),
        "{}",
        reply.text
    );
    assert!(!reply.text.contains("[DONE]"));
}

#[rstest]
#[case::not_json("{", "body")]
#[case::unknown_field(r#"{"model": "m", "prompt": "p", "best_of": 2}"#, "best_of")]
#[case::missing_field(r#"{"model": "m"}"#, "prompt")]
#[case::field_twice(r#"{"model": "m", "prompt": "p", "prompt": "q"}"#, "prompt")]
#[case::out_of_range(r#"{"model": "m", "prompt": "p", "max_tokens": 0}"#, "max_tokens")]
#[case::wrong_type(r#"{"model": "m", "prompt": "p", "max_tokens": "8"}"#, "max_tokens")]
#[case::two_completions(r#"{"model": "m", "prompt": "p", "n": 2}"#, "n:")]
#[case::oversized_name(&format!(r#"{{"model": "{}", "prompt": "p"}}"#, "m".repeat(97)), "model")]
#[case::oversized_body(&format!(r#"{{"model": "m", "prompt": "{}"}}"#, "p".repeat(5000)), "body")]
#[tokio::test]
async fn invalid_body_is_refused_with_the_field_name(#[case] body: &str, #[case] named: &str) {
    let cluster = TestCluster::start(&["t1"], None).await;
    let reply = cluster.post(COMPLETIONS_PATH, &[], body).await;
    assert_eq!(
        (reply.status.as_u16(), reply.outcome()),
        (400, "refused"),
        "{}",
        reply.text
    );
    assert_eq!(reply.json()["code"], "invalid_request");
    let message = reply.json()["message"].to_string();
    assert!(message.contains(named), "{message}");
}

#[rstest]
#[case::deadline("kumquatkeel-deadline-ms", "0")]
#[case::deadline_text("kumquatkeel-deadline-ms", "soon")]
#[case::priority("kumquatkeel-priority", "10")]
#[tokio::test]
async fn invalid_header_is_refused_with_its_name(#[case] name: &str, #[case] value: &str) {
    let cluster = TestCluster::start(&["t1"], None).await;
    let reply = cluster
        .post(COMPLETIONS_PATH, &[(name, value)], &body(false))
        .await;
    assert_eq!(reply.status.as_u16(), 400);
    assert!(reply.text.contains(name), "{}", reply.text);
}

#[rstest]
#[case::no_key(None, COMPLETIONS_PATH, 401, "unauthorized")]
#[case::unknown_key(Some("guess"), COMPLETIONS_PATH, 401, "unauthorized")]
#[case::no_right(Some(OTHER_KEY), COMPLETIONS_PATH, 403, "forbidden")]
#[case::no_service(Some(CALLER_KEY), "/v1/services/none/x", 404, "not_found")]
#[tokio::test]
async fn unknown_keys_and_forbidden_services_are_refused(
    #[case] key: Option<&str>,
    #[case] path: &str,
    #[case] status: u16,
    #[case] code: &str,
) {
    let cluster = TestCluster::start(&["t1"], None).await;
    let header = key.map(|key| format!("Bearer {key}"));
    let headers: Vec<_> = header
        .iter()
        .map(|h| ("authorization", h.as_str()))
        .collect();
    let reply = cluster.post_raw(path, &headers, &body(false)).await;
    assert_eq!(
        (reply.status.as_u16(), reply.outcome()),
        (status, "refused")
    );
    assert_eq!(reply.json()["code"], code);
    assert!(!reply.text.contains(key.unwrap_or("Bearer")));
}

#[tokio::test]
async fn draining_entry_refuses_new_requests_and_completes_open_streams() {
    let mut cluster = TestCluster::start(&["t1"], None).await;
    cluster.agents[0].script(Script::Hold);
    let key = format!("Bearer {CALLER_KEY}");
    let held = cluster
        .open(COMPLETIONS_PATH, &[("authorization", &key)], body(true))
        .await;
    cluster.agents[0].next_attempt().await;
    let next = body(false);
    let drained = cluster.entry.drain();
    tokio::pin!(drained);
    tokio::select! {
        biased;
        () = &mut drained => panic!("draining ended before the open stream"),
        reply = cluster.post(COMPLETIONS_PATH, &[], &next) => {
            assert_eq!((reply.status.as_u16(), reply.outcome()), (503, "not_run"));
            assert_eq!(reply.json()["code"], "draining");
            assert!(reply.headers.contains_key("retry-after"));
        }
    }
    cluster.agents[0].release();
    let text = held.into_body().collect().await.unwrap().to_bytes();
    assert!(text.ends_with(b"data: [DONE]\n\n"));
    drained.await;
}

#[tokio::test]
async fn open_streams_count_towards_the_request_limit() {
    let mut cluster = TestCluster::start(&["t1"], None).await;
    let key = format!("Bearer {CALLER_KEY}");
    let mut held = Vec::new();
    for _ in 0..3 {
        cluster.agents[0].script(Script::Hold);
        held.push(
            cluster
                .open(COMPLETIONS_PATH, &[("authorization", &key)], body(true))
                .await,
        );
        cluster.agents[0].next_attempt().await;
    }
    let reply = cluster.post(COMPLETIONS_PATH, &[], &body(true)).await;
    assert_eq!((reply.status.as_u16(), reply.outcome()), (429, "not_run"));
    cluster.agents[0].release();
    for stream in held {
        let text = stream.into_body().collect().await.unwrap().to_bytes();
        assert!(text.ends_with(b"data: [DONE]\n\n"));
    }
}

#[rstest]
#[case::streamed(true)]
#[case::complete(false)]
#[tokio::test]
async fn caller_disconnect_cancels_the_attempt_and_releases_admission(#[case] stream: bool) {
    let mut cluster = TestCluster::start(&["t1"], None).await;
    cluster.agents[0].script(Script::Hold);
    let body = body(stream);
    let request = format!(
        "POST {COMPLETIONS_PATH} HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut caller = TcpStream::connect(cluster.entry.address()).await.unwrap();
    caller.write_all(request.as_bytes()).await.unwrap();
    cluster.agents[0].next_attempt().await;
    drop(caller);
    assert!(matches!(
        cluster.agents[0].observed.recv().await,
        Some(AgentEvent::Disconnected)
    ));
    cluster.entry.drain().await;
    let load = cluster
        .entry
        .state()
        .admission
        .load(&"text".try_into().unwrap());
    assert_eq!(load, (0, 0));
}

#[rstest]
#[case::slow("content-length: 100\r\n\r\n{", true)]
#[case::truncated("content-length: 100\r\n\r\n{", false)]
#[tokio::test]
async fn incomplete_body_ends_the_request_and_does_not_block_draining(
    #[case] rest: &str,
    #[case] keep: bool,
) {
    let cluster = TestCluster::start(&["t1"], None).await;
    let head = format!(
        "POST {COMPLETIONS_PATH} HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {CALLER_KEY}\r\n"
    );
    let mut caller = TcpStream::connect(cluster.entry.address()).await.unwrap();
    caller
        .write_all(format!("{head}{rest}").as_bytes())
        .await
        .unwrap();
    if !keep {
        caller.shutdown().await.unwrap();
    }
    let mut answer = vec![0; 4_096];
    let read = caller.read(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer[..read]).into_owned();
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 400"),
        "{answer}"
    );
    assert!(keep == answer.contains("is not complete"), "{answer}");
    cluster.entry.drain().await;
}

/// A ledger in memory that accepts every claim and records how the calls end.
#[derive(Debug, Default)]
struct RecordingLedger {
    ends: Mutex<Vec<CallEnd>>,
}

#[async_trait]
impl CallLedger for RecordingLedger {
    async fn claim(&self, _call: &KeyedCall, _attempt: &ClaimedAttempt) -> ClaimStep {
        ClaimStep::Send
    }

    async fn settle(&self, _call: &KeyedCall, _attempt: &AttemptId, end: CallEnd) {
        self.ends.lock().unwrap().push(end);
    }
}

#[rstest]
#[case::answered(Script::Answer(201), FenceReply::Unknown, 201, "done")]
#[case::error_status_of_the_service(Script::Answer(409), FenceReply::Unknown, 409, "done")]
#[case::interrupted_and_unknown(Script::Interrupt(0), FenceReply::Unknown, 502, "unknown")]
#[case::refused(
    Script::Refuse(NotRunReason::Deadline),
    FenceReply::Unknown,
    503,
    "not_run"
)]
#[tokio::test]
async fn non_idempotent_call_is_sent_once_and_its_end_is_recorded(
    #[case] script: Script,
    #[case] fence: FenceReply,
    #[case] status: u16,
    #[case] outcome: &str,
) {
    let ledger = Arc::new(RecordingLedger::default());
    let mut cluster = TestCluster::start(&["plain-1"], Some(ledger.clone())).await;
    cluster.agents[0].script(script);
    cluster.agents[0].on_fence(fence);
    let reply = cluster
        .post(BOOK_PATH, &[("idempotency-key", "k1")], "{}")
        .await;
    assert_eq!(
        (reply.status.as_u16(), reply.outcome()),
        (status, outcome),
        "{}",
        reply.text
    );
    let Work::Plain(work) = cluster.agents[0].next_attempt().await.work else {
        panic!("the attempt is not a plain call");
    };
    assert_eq!(work.path, "/swaps/new");
    while let Ok(observed) = cluster.agents[0].observed.try_recv() {
        assert!(
            matches!(observed, AgentEvent::Fence),
            "the call was sent twice"
        );
    }
    let ends = ledger.ends.lock().unwrap();
    let expected = match outcome {
        "done" => matches!(ends[..], [CallEnd::Done(_)]),
        "not_run" => matches!(ends[..], [CallEnd::NotRun]),
        _ => matches!(ends[..], [CallEnd::Unknown]),
    };
    assert!(expected, "{ends:?}");
}

#[rstest]
#[case::without_key(&[], 400, "refused")]
#[case::without_ledger(&[("idempotency-key", "k1")], 503, "not_run")]
#[tokio::test]
async fn non_idempotent_call_requires_a_key_and_a_ledger(
    #[case] headers: &[(&str, &str)],
    #[case] status: u16,
    #[case] outcome: &str,
) {
    let mut cluster = TestCluster::start(&["plain-1"], None).await;
    let reply = cluster.post(BOOK_PATH, headers, "{}").await;
    assert_eq!((reply.status.as_u16(), reply.outcome()), (status, outcome));
    assert!(
        cluster.agents[0].observed.try_recv().is_err(),
        "the call was sent to the agent"
    );
}

#[tokio::test]
async fn call_above_the_service_rate_is_refused_with_retry_after() {
    let cluster = TestCluster::start(&["plain-1"], None).await;
    cluster.agents[0].script(Script::Answer(200));
    let path = "/v1/services/limited/x";
    let first = cluster.post(path, &[], "{}").await;
    assert_eq!((first.status.as_u16(), first.outcome()), (200, "done"));
    let second = cluster.post(path, &[], "{}").await;
    assert_eq!((second.status.as_u16(), second.outcome()), (429, "not_run"));
    assert!(second.headers.contains_key("retry-after"));
}

#[tokio::test]
async fn rate_shares_are_granted_only_with_the_peer_key() {
    let cluster = TestCluster::start(&["plain-1"], None).await;
    let share = async |key: &str, service: &str| {
        let key = PeerKey::try_from(key).unwrap();
        let client = rpc_client(cluster.entry.internal(), &key, TIMEOUT).unwrap();
        let entry = "other".try_into().unwrap();
        client.share(entry, service.try_into().unwrap(), 5.0).await
    };
    let first = share(PEER_KEY, "limited").await.unwrap();
    assert!(
        first.rate <= 0.0,
        "a new granter must wait until the shares of an earlier one have expired"
    );
    assert!(first.life_ms > 0);
    assert_eq!(share(PEER_KEY, "none").await.unwrap().life_ms, 0);
    assert!(share("another-key-of-16-bytes", "limited").await.is_err());
}

#[tokio::test]
async fn every_mutated_body_gets_a_response_with_an_outcome() {
    let cluster = TestCluster::start(&["t1"], None).await;
    let valid = body(false).into_bytes();
    let mut rng = Pcg64::seed_from_u64(21);
    for _ in 0..200 {
        let mut mutated = valid.clone();
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(0..mutated.len());
            mutated[at] = rng.random();
        }
        mutated.truncate(rng.random_range(1..=valid.len()));
        let reply = cluster.post_bytes(COMPLETIONS_PATH, mutated).await;
        let expected = match reply.status.as_u16() {
            400 | 404 => "refused",
            429 | 503 => "not_run",
            status => panic!("unexpected status {status}: {}", reply.text),
        };
        assert_eq!(reply.outcome(), expected, "{}", reply.text);
    }
    cluster.entry.drain().await;
    let load = cluster
        .entry
        .state()
        .admission
        .load(&"text".try_into().unwrap());
    assert_eq!(load, (0, 0));
}

#[tokio::test]
async fn model_list_contains_only_models_available_to_the_caller() {
    let cluster = TestCluster::start(&["t1"], None).await;
    let address = cluster.entry.address();
    for (key, count) in [(CALLER_KEY, 1), (OTHER_KEY, 0)] {
        let request = http::Request::get(format!("http://{address}/v1/models"))
            .header("authorization", format!("Bearer {key}"))
            .body(http_body_util::Full::new(Bytes::new()))
            .unwrap();
        let response = cluster.client.send("list", address, request).await.unwrap();
        let text = response.into_body().collect().await.unwrap().to_bytes();
        let list: serde_json::Value = serde_json::from_slice(&text).unwrap();
        assert_eq!(list["data"].as_array().unwrap().len(), count);
    }
}
