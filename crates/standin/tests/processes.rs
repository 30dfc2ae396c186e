//! The daemons as separate processes over real sockets, bounded by events.
//!
//! Two entries and three agents are started from settings files. While callers send calls and
//! completions, one agent is stopped gracefully and one killed, a document is applied, and the
//! store is stopped and started.

#[path = "processes/daemon.rs"]
mod daemon;
#[path = "processes/site.rs"]
mod site;

use std::net::SocketAddr;
use std::time::Duration;

use kumquatkeel_standin::engine::Prompt;
use kumquatkeel_types::Outcome;
use serde_json::json;

use site::{Site, SiteHandle};

/// Longest wait for an event; only a fault makes a run wait so long.
const EVENT_LIMIT: Duration = Duration::from_secs(90);
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(50);

const PROMPT: &str = "Which trench was checked last?";

async fn complete(site: &SiteHandle, entry: usize, max_tokens: u32) -> Result<String, String> {
    let body = json!({
        "model": "box", "prompt": PROMPT, "max_tokens": max_tokens, "seed": 3, "stream": true,
    });
    let answer = site.caller.complete(site.callers[entry], &body).await;
    let text = answer.map_err(|error| error.to_string())?.text;
    let expected = Prompt::new("box", "1", PROMPT)
        .with_seed(3)
        .expected(max_tokens);
    assert_eq!(text, expected.text());
    Ok(text)
}

/// Sends a keyed call until one of the entries answers as wanted.
async fn call_until(site: &SiteHandle, key: &str, wanted: Outcome) {
    call_until_at(site, &site.callers, key, wanted).await;
}

/// Sends a keyed call through each entry until it is done there, so that each knows the service.
async fn call_through_each(site: &SiteHandle, key: &str) {
    for (number, entry) in site.callers.iter().enumerate() {
        let key = format!("{key}-{number}");
        call_until_at(site, std::slice::from_ref(entry), &key, Outcome::Done).await;
        assert_eq!(site.plain.executions(&key), 1, "{key}");
    }
}

async fn call_until_at(site: &SiteHandle, entries: &[SocketAddr], key: &str, wanted: Outcome) {
    let end = tokio::time::Instant::now() + EVENT_LIMIT;
    for entry in entries.iter().cycle() {
        let path = "/v1/services/swaps/swap";
        let body = json!({ "key": key });
        let reply = site.caller.call(*entry, path, key, &body).await;
        if reply
            .as_ref()
            .is_ok_and(|reply| reply.outcome == Some(wanted))
        {
            return;
        }
        let late = tokio::time::Instant::now() > end;
        assert!(!late, "{key} never answered {wanted}: {reply:?}");
        tokio::time::sleep(LOOK).await;
    }
}

async fn complete_until(site: &SiteHandle, entry: usize) {
    let end = tokio::time::Instant::now() + EVENT_LIMIT;
    while let Err(reason) = complete(site, entry, 8).await {
        assert!(tokio::time::Instant::now() < end, "no completion: {reason}");
        tokio::time::sleep(LOOK).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_daemons_keep_their_promises_as_processes() {
    let mut site = Site::start().await;
    for entry in 0..site.callers.len() {
        complete_until(&site, entry).await;
    }
    call_through_each(&site, "before").await;

    // A graceful stop cuts no stream: the agent ends only after it.
    let long = tokio::spawn({
        let site = site.handle();
        async move { complete(&site, 0, 200).await }
    });
    site.wait_running().await;
    let (stopped, started) = (site.busy_engine(), site.runs());
    let mut leaving = site.take_agent(&stopped);
    leaving.terminate();
    assert!(leaving.wait().await.success());
    assert!(long.await.expect("joins").is_ok(), "the stream was cut");
    assert!(site.runs() >= started);
    complete_until(&site, 1).await;

    // A killed agent loses no call and doubles none.
    let key = "killed";
    let before = site.plain.faults().calls();
    let calls = tokio::spawn({
        let site = site.handle();
        async move {
            let (path, body) = ("/v1/services/swaps/swap", json!({ "key": key }));
            let call = site.caller.call(site.callers[0], path, key, &body);
            call.await.ok().and_then(|reply| reply.outcome)
        }
    });
    site.wait_calls(before + 1).await;
    site.take_agent("swaps-a").kill().await;
    let told = calls.await.expect("joins");
    assert_ne!(
        told,
        Some(Outcome::NotRun),
        "the call had reached the service"
    );
    site.start_agent("swaps-a").await;
    call_through_each(&site, "after-kill").await;

    // A killed entry's call is settled through the other one, and never doubled.
    let key = "entry-killed";
    let calls = site.plain.faults().calls();
    let cut = tokio::spawn({
        let site = site.handle();
        async move {
            let (path, body) = ("/v1/services/swaps/swap", json!({ "key": key }));
            site.caller.call(site.callers[1], path, key, &body).await
        }
    });
    site.wait_calls(calls + 1).await;
    site.kill_entry(1).await;
    assert!(cut.await.expect("joins").is_err(), "a dead entry answered");
    call_until(&site, key, Outcome::Done).await;
    assert_eq!(site.plain.executions(key), 1);

    // A document applied meanwhile is in force in every process that is left.
    let revision = site.apply().await;
    site.wait_in_force(revision).await;

    // Without the store completions go on and keyed calls are refused as not run.
    site.store.set_outage(true);
    complete_until(&site, 0).await;
    call_until(&site, "outage", Outcome::NotRun).await;
    assert_eq!(site.plain.executions("outage"), 0);
    site.store.set_outage(false);
    call_until(&site, "outage", Outcome::Done).await;

    for key in ["killed", "outage"] {
        assert!(site.plain.executions(key) <= 1, "{key} ran twice");
    }
    site.stop().await;
}
