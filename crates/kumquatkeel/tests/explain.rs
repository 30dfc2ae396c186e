//! Guards against timelines of `explain` that lack log lines of the request or related to it, hold
//! lines of other requests, or are out of order.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const LOGS: &str = r#"
{"time_ms":900,"daemon":"entry-1","event":"configuration in force","version":4}
{"time_ms":2000,"daemon":"entry-1","event":"dispatch","request":"a1","target_id":"i-1","predicted_ms":90}
not a log line
{"time_ms":1990,"daemon":"agent-1","event":"order","target_id":"i-1","load":true}
{"time_ms":2100,"daemon":"entry-1","event":"attempt failed","request":"a1","target_id":"i-1","reason":"reset"}
{"time_ms":2101,"daemon":"entry-1","event":"request ended","request":"a1","outcome":"unknown_outcome"}
{"time_ms":2050,"daemon":"entry-1","event":"dispatch","request":"b2","target_id":"i-1"}
{"time_ms":2060,"daemon":"agent-2","event":"order","target_id":"i-2","load":true}
{"time_ms":9000,"daemon":"entry-1","event":"configuration in force","version":9}
"#;

fn explain(request: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_kumquatkeel"))
        .args(["explain", request])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(LOGS.as_bytes())
        .unwrap();
    child.wait_with_output().unwrap()
}

#[test]
fn the_timeline_holds_the_request_and_events_of_its_target_and_entry_in_order() {
    let output = explain("a1");
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    let events: Vec<&str> = text.lines().collect();
    assert_eq!(events.len(), 5, "{text}");
    assert!(events[0].contains("version=4"));
    assert!(events[1].contains("agent-1: order"));
    assert!(events[2].contains("* entry-1: dispatch"));
    assert!(events[4].contains("unknown_outcome"));
    assert!(!text.contains("i-2") && !text.contains("version=9"));
}

#[test]
fn an_unknown_request_is_an_error() {
    let output = explain("zz");
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("zz"));
}
