//! The callers' API over real sockets, before scripted agents.

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
use support::{CALLER_KEY, OTHER_KEY, PEER_KEY, Script, Seen, Site};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);
const TEXT: &str = "/v1/completions";
const BOOK: &str = "/v1/services/book/swaps/new";

fn body(stream: bool) -> String {
    format!(
        r#"{{"model": "m", "prompt": "describe the box", "max_tokens": 8, "stream": {stream}}}"#
    )
}

#[tokio::test]
async fn a_completion_is_answered_whole() {
    let site = Site::start(&["t1"], None).await;
    site.agents[0].script(Script::Whole(3));
    let reply = site.post(TEXT, &[], &body(false)).await;
    assert_eq!((reply.status.as_u16(), reply.outcome()), (200, "done"));
    let answer = reply.json();
    assert_eq!(answer["choices"][0]["text"], "w0 w1 w2 ");
    assert_eq!(answer["choices"][0]["finish_reason"], "stop");
    assert_eq!(answer["usage"]["completion_tokens"], 3);
}

#[tokio::test]
async fn a_chat_is_streamed_to_its_end_mark() {
    let mut site = Site::start(&["t1"], None).await;
    site.agents[0].script(Script::Whole(2));
    let chat = r#"{"model": "m", "stream": true, "messages": [{"role": "user", "content": "hi"}]}"#;
    let reply = site.post("/v1/chat/completions", &[], chat).await;
    assert_eq!(reply.headers["content-type"], "text/event-stream");
    assert!(reply.text.contains(r#""content":"w0 ""#), "{}", reply.text);
    assert!(reply.text.contains(r#""outcome":"done""#));
    assert!(reply.text.ends_with("data: [DONE]\n\n"));
    let Work::Completion(work) = site.agents[0].next_attempt().await.work else {
        panic!("the work is no completion");
    };
    assert_eq!(work.prompt, "user: hi\nassistant:");
}

#[tokio::test]
async fn a_cut_stream_goes_on_at_another_agent_without_a_seam() {
    let site = Site::start(&["t1", "t2"], None).await;
    for agent in &site.agents {
        agent.script(Script::Cut(2));
        agent.script(Script::Whole(2));
    }
    let reply = site.post(TEXT, &[], &body(false)).await;
    assert_eq!(reply.outcome(), "done", "{}", reply.text);
    let text = reply.json()["choices"][0]["text"].clone();
    // The second agent cuts as well; the third attempt ends the answer.
    assert_eq!(text, "w0 w1 w2 w3 w4 w5 ");
}

#[tokio::test]
async fn a_stream_that_can_not_go_on_ends_with_an_error_and_without_end_mark() {
    let site = Site::start(&["t1"], None).await;
    for _ in 0..8 {
        site.agents[0].script(Script::Cut(1));
    }
    let reply = site
        .post(TEXT, &[("kumquatkeel-deadline-ms", "3000")], &body(true))
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
#[case::two_answers(r#"{"model": "m", "prompt": "p", "n": 2}"#, "n:")]
#[case::oversized_name(&format!(r#"{{"model": "{}", "prompt": "p"}}"#, "m".repeat(97)), "model")]
#[case::oversized_body(&format!(r#"{{"model": "m", "prompt": "{}"}}"#, "p".repeat(5000)), "body")]
#[tokio::test]
async fn a_wrong_body_is_refused_and_the_field_is_named(#[case] body: &str, #[case] named: &str) {
    let site = Site::start(&["t1"], None).await;
    let reply = site.post(TEXT, &[], body).await;
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
async fn a_wrong_header_is_refused_and_named(#[case] name: &str, #[case] value: &str) {
    let site = Site::start(&["t1"], None).await;
    let reply = site.post(TEXT, &[(name, value)], &body(false)).await;
    assert_eq!(reply.status.as_u16(), 400);
    assert!(reply.text.contains(name), "{}", reply.text);
}

#[rstest]
#[case::no_key(None, TEXT, 401, "unauthorized")]
#[case::unknown_key(Some("guess"), TEXT, 401, "unauthorized")]
#[case::no_right(Some(OTHER_KEY), TEXT, 403, "forbidden")]
#[case::no_service(Some(CALLER_KEY), "/v1/services/none/x", 404, "not_found")]
#[tokio::test]
async fn keys_and_rights_are_checked(
    #[case] key: Option<&str>,
    #[case] path: &str,
    #[case] status: u16,
    #[case] code: &str,
) {
    let site = Site::start(&["t1"], None).await;
    let header = key.map(|key| format!("Bearer {key}"));
    let headers: Vec<_> = header
        .iter()
        .map(|h| ("authorization", h.as_str()))
        .collect();
    let reply = site.post_raw(path, &headers, &body(false)).await;
    assert_eq!(
        (reply.status.as_u16(), reply.outcome()),
        (status, "refused")
    );
    assert_eq!(reply.json()["code"], code);
    assert!(!reply.text.contains(key.unwrap_or("Bearer")));
}

#[tokio::test]
async fn a_draining_entry_takes_nothing_new_and_cuts_nothing_off() {
    let mut site = Site::start(&["t1"], None).await;
    site.agents[0].script(Script::Hold);
    let key = format!("Bearer {CALLER_KEY}");
    let held = site
        .open(TEXT, &[("authorization", &key)], body(true))
        .await;
    site.agents[0].next_attempt().await;
    let next = body(false);
    let drained = site.entry.drain();
    tokio::pin!(drained);
    tokio::select! {
        biased;
        () = &mut drained => panic!("the drain cuts a stream off"),
        reply = site.post(TEXT, &[], &next) => {
            assert_eq!((reply.status.as_u16(), reply.outcome()), (503, "not_run"));
            assert_eq!(reply.json()["code"], "draining");
            assert!(reply.headers.contains_key("retry-after"));
        }
    }
    site.agents[0].go_on();
    let text = held.into_body().collect().await.unwrap().to_bytes();
    assert!(text.ends_with(b"data: [DONE]\n\n"));
    drained.await;
}

#[tokio::test]
async fn open_streams_count_against_the_entrys_requests() {
    let mut site = Site::start(&["t1"], None).await;
    let key = format!("Bearer {CALLER_KEY}");
    let mut held = Vec::new();
    for _ in 0..3 {
        site.agents[0].script(Script::Hold);
        held.push(
            site.open(TEXT, &[("authorization", &key)], body(true))
                .await,
        );
        site.agents[0].next_attempt().await;
    }
    let reply = site.post(TEXT, &[], &body(true)).await;
    assert_eq!((reply.status.as_u16(), reply.outcome()), (429, "not_run"));
    site.agents[0].go_on();
    for stream in held {
        let text = stream.into_body().collect().await.unwrap().to_bytes();
        assert!(text.ends_with(b"data: [DONE]\n\n"));
    }
}

#[rstest]
#[case::streamed(true)]
#[case::whole(false)]
#[tokio::test]
async fn a_caller_who_leaves_cancels_the_attempt_and_frees_the_place(#[case] stream: bool) {
    let mut site = Site::start(&["t1"], None).await;
    site.agents[0].script(Script::Hold);
    let body = body(stream);
    let request = format!(
        "POST {TEXT} HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut caller = TcpStream::connect(site.entry.address()).await.unwrap();
    caller.write_all(request.as_bytes()).await.unwrap();
    site.agents[0].next_attempt().await;
    drop(caller);
    assert!(matches!(site.agents[0].seen.recv().await, Some(Seen::Left)));
    site.entry.drain().await;
    let load = site
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
async fn a_body_that_does_not_come_holds_nothing(#[case] rest: &str, #[case] keep: bool) {
    let site = Site::start(&["t1"], None).await;
    let head = format!("POST {TEXT} HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {CALLER_KEY}\r\n");
    let mut caller = TcpStream::connect(site.entry.address()).await.unwrap();
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
    site.entry.drain().await;
}

/// A ledger in memory that notes what it is told.
#[derive(Debug, Default)]
struct NotingLedger {
    ends: Mutex<Vec<CallEnd>>,
}

#[async_trait]
impl CallLedger for NotingLedger {
    async fn claim(&self, _call: &KeyedCall, _attempt: &ClaimedAttempt) -> ClaimStep {
        ClaimStep::Send
    }

    async fn settle(&self, _call: &KeyedCall, _attempt: &AttemptId, end: CallEnd) {
        self.ends.lock().unwrap().push(end);
    }
}

#[rstest]
#[case::answered(Script::Answer(201), FenceReply::Unknown, 201, "done")]
#[case::services_own_error(Script::Answer(409), FenceReply::Unknown, 409, "done")]
#[case::cut_and_unknown(Script::Cut(0), FenceReply::Unknown, 502, "unknown")]
#[case::refused(
    Script::Refuse(NotRunReason::Deadline),
    FenceReply::Unknown,
    503,
    "not_run"
)]
#[tokio::test]
async fn a_booking_is_sent_once_and_its_end_is_recorded(
    #[case] script: Script,
    #[case] fence: FenceReply,
    #[case] status: u16,
    #[case] outcome: &str,
) {
    let ledger = Arc::new(NotingLedger::default());
    let mut site = Site::start(&["plain-1"], Some(ledger.clone())).await;
    site.agents[0].script(script);
    site.agents[0].on_fence(fence);
    let reply = site.post(BOOK, &[("idempotency-key", "k1")], "{}").await;
    assert_eq!(
        (reply.status.as_u16(), reply.outcome()),
        (status, outcome),
        "{}",
        reply.text
    );
    let Work::Plain(work) = site.agents[0].next_attempt().await.work else {
        panic!("the work is no plain call");
    };
    assert_eq!(work.path, "/swaps/new");
    while let Ok(seen) = site.agents[0].seen.try_recv() {
        assert!(matches!(seen, Seen::Fence), "sent twice");
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
async fn a_booking_needs_a_key_and_a_ledger(
    #[case] headers: &[(&str, &str)],
    #[case] status: u16,
    #[case] outcome: &str,
) {
    let mut site = Site::start(&["plain-1"], None).await;
    let reply = site.post(BOOK, headers, "{}").await;
    assert_eq!((reply.status.as_u16(), reply.outcome()), (status, outcome));
    assert!(site.agents[0].seen.try_recv().is_err(), "nothing is sent");
}

#[tokio::test]
async fn a_call_over_the_services_rate_is_refused_with_the_time_to_come_back() {
    let site = Site::start(&["plain-1"], None).await;
    site.agents[0].script(Script::Answer(200));
    let path = "/v1/services/limited/x";
    let first = site.post(path, &[], "{}").await;
    assert_eq!((first.status.as_u16(), first.outcome()), (200, "done"));
    let second = site.post(path, &[], "{}").await;
    assert_eq!((second.status.as_u16(), second.outcome()), (429, "not_run"));
    assert!(second.headers.contains_key("retry-after"));
}

#[tokio::test]
async fn shares_of_a_rate_are_granted_to_entries_with_the_peer_key_only() {
    let site = Site::start(&["plain-1"], None).await;
    let share = async |key: &str, service: &str| {
        let key = PeerKey::try_from(key).unwrap();
        let client = rpc_client(site.entry.internal(), &key, TIMEOUT).unwrap();
        let entry = "other".try_into().unwrap();
        client.share(entry, service.try_into().unwrap(), 5.0).await
    };
    let first = share(PEER_KEY, "limited").await.unwrap();
    assert!(
        first.rate <= 0.0,
        "an earlier granter's shares may still hold"
    );
    assert!(first.life_ms > 0);
    assert_eq!(share(PEER_KEY, "none").await.unwrap().life_ms, 0);
    assert!(share("another-key-of-16-bytes", "limited").await.is_err());
}

#[tokio::test]
async fn every_mutated_body_gets_an_answer_that_names_its_outcome() {
    let site = Site::start(&["t1"], None).await;
    let whole = body(false).into_bytes();
    let mut rng = Pcg64::seed_from_u64(21);
    for _ in 0..200 {
        let mut mutated = whole.clone();
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(0..mutated.len());
            mutated[at] = rng.random();
        }
        mutated.truncate(rng.random_range(1..=whole.len()));
        let reply = site.post_bytes(TEXT, mutated).await;
        let expected = match reply.status.as_u16() {
            400 | 404 => "refused",
            429 | 503 => "not_run",
            status => panic!("unexpected status {status}: {}", reply.text),
        };
        assert_eq!(reply.outcome(), expected, "{}", reply.text);
    }
    site.entry.drain().await;
    let load = site
        .entry
        .state()
        .admission
        .load(&"text".try_into().unwrap());
    assert_eq!(load, (0, 0));
}

#[tokio::test]
async fn the_models_are_those_that_the_caller_may_use() {
    let site = Site::start(&["t1"], None).await;
    let address = site.entry.address();
    for (key, count) in [(CALLER_KEY, 1), (OTHER_KEY, 0)] {
        let request = http::Request::get(format!("http://{address}/v1/models"))
            .header("authorization", format!("Bearer {key}"))
            .body(http_body_util::Full::new(Bytes::new()))
            .unwrap();
        let response = site.client.send("list", address, request).await.unwrap();
        let text = response.into_body().collect().await.unwrap().to_bytes();
        let list: serde_json::Value = serde_json::from_slice(&text).unwrap();
        assert_eq!(list["data"].as_array().unwrap().len(), count);
    }
}
