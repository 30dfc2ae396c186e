//! Invalid settings and dispatches are refused with an error that names the field.
//!
//! The tests guard against an invalid dispatch that reaches the target, and against an agent that
//! starts with a setting out of range.

mod common;

use std::time::Duration;

use common::TestAgent;
use http::StatusCode;
use http_body_util::BodyExt;
use kumquatkeel_agent::{AgentSettings, RawAgentSettings};
use kumquatkeel_standin::plain::{PlainServer, PlainService};
use kumquatkeel_types::{ErrorBody, Outcome};
use rstest::rstest;
use serde_json::{Value, json};

async fn fixture() -> (TestAgent, PlainService, PlainServer) {
    let service = PlainService::new(Duration::ZERO);
    let listen = "127.0.0.1:0".parse().unwrap();
    let server = PlainServer::start(listen, service.clone()).unwrap();
    let fixture = TestAgent::plain(server.address()).await;
    (fixture, service, server)
}

#[rstest]
#[case::priority("/priority", json!(10), "priority")]
#[case::deadline("/deadline_ms", json!(u64::MAX), "deadline_ms")]
#[case::negative("/deadline_ms", json!(-1), "deadline_ms")]
#[case::name("/service", json!("a b"), "service")]
#[case::path("/work/plain/path", json!("swaps"), "work.plain.path")]
#[case::absolute("/work/plain/path", json!("//elsewhere/swaps"), "work.plain.path")]
#[case::header("/work/plain/content_type", json!("a\nb"), "work.plain.content_type")]
#[tokio::test]
async fn an_invalid_field_is_named_and_nothing_runs(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] field: &str,
) {
    let (fixture, service, _server) = fixture().await;
    let mut dispatch = serde_json::to_value(fixture.call("k1")).unwrap();
    *dispatch.pointer_mut(pointer).unwrap() = value;
    let response = fixture.post(dispatch.to_string()).await;
    assert_eq!(response.status(), StatusCode::BAD_REQUEST);
    let body = response.into_body().collect().await.unwrap().to_bytes();
    let body: ErrorBody = serde_json::from_slice(&body).unwrap();
    assert_eq!(body.outcome, Outcome::Refused);
    assert!(body.message.contains(field), "{}", body.message);
    assert!(service.executed().is_empty());
}

#[rstest]
#[case::empty(Vec::new(), StatusCode::BAD_REQUEST)]
#[case::not_utf8(vec![b'"', 0xff, b'"'], StatusCode::BAD_REQUEST)]
#[case::repeated(br#"{"priority":1,"priority":1}"#.to_vec(), StatusCode::BAD_REQUEST)]
#[case::unknown(br#"{"colour":1}"#.to_vec(), StatusCode::BAD_REQUEST)]
#[case::oversized(vec![b' '; (1 << 20) + 1], StatusCode::PAYLOAD_TOO_LARGE)]
#[tokio::test]
async fn an_invalid_body_is_refused(#[case] body: Vec<u8>, #[case] status: StatusCode) {
    let (fixture, _service, _server) = fixture().await;
    assert_eq!(fixture.post(body).await.status(), status);
}

#[rstest]
#[case::slots("/slots", json!(0), "slots")]
#[case::poll("/limits/poll_ms", json!(0), "limits.poll_ms")]
#[case::answer("/limits/answer_bytes", json!(1_u64 << 40), "limits.answer_bytes")]
#[case::accelerators("/accelerators", json!(0), "accelerators")]
#[case::memory("/accelerator_mb", json!(0), "accelerator_mb")]
#[case::key("/peer_key", json!("short"), "peer_key")]
fn a_setting_out_of_range_is_named(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] field: &str,
) {
    let mut settings = json!({
        "name": "t1", "data_centre": "dc", "listen": "127.0.0.1:0", "kind": "engine",
        "peer_key": "a-peer-key-of-the-tests", "target": "127.0.0.1:1", "slots": 4,
        "accelerators": 1, "accelerator_mb": 100,
        "limits": { "poll_ms": 500, "answer_bytes": 1000 },
    });
    *settings.pointer_mut(pointer).unwrap() = value;
    let raw: RawAgentSettings = serde_json::from_value(settings).unwrap();
    let faults = AgentSettings::try_from(raw).unwrap_err();
    let paths: Vec<_> = faults.0.iter().map(|fault| fault.path.as_str()).collect();
    assert_eq!(paths, [field]);
}
