//! Clients of streams that may be resumed, and the configuration of the sites that have them.
#![allow(dead_code)]

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::common::{Event, FRONTEND_PORT, Record, Site, attempt_id, events_of, pause, send, unix_ms};

/// Time that a client waits, in milliseconds, as on the sheets of resumable streams.
pub const BUDGET_MS: u64 = 12_000;
/// Shortest and longest pause of a client before it takes a stream up again.
pub const BACKOFF_MS: (u64, u64) = (1_000, 2_500);

/// The configuration: one service of engines with these models, one plain service.
pub fn config(version: u64, models: &[&str]) -> String {
    config_with(version, models, BUDGET_MS)
}

/// The same with this `deadline_ms` of the route of streams.
pub fn config_with(version: u64, models: &[&str], deadline_ms: u64) -> String {
    let model = |name: &&str| {
        format!("{{\"name\":\"{name}\",\"weights_mb\":65100.0,\"load_s\":5.8,\"adapters\":0,\"adapter_size_mb\":12.0,\"warm_s\":0.57,\"disk_s\":0.6}}")
    };
    let models: Vec<String> = models.iter().map(model).collect();
    format!(
        "{{\"version\":{version},\"routes\":[\
        {{\"name\":\"r-stream\",\"hostname\":\"ficu95.example\",\"path_prefix\":\"/stream/\",\"route_kind\":\"streaming\",\"deadline_ms\":{deadline_ms},\"goal_ms\":5000,\"priority\":1,\"service\":\"assist\",\"attempts\":2,\"affinity\":true,\"resumable\":true,\"gap_goal_ms\":200}},\
        {{\"name\":\"r-book\",\"hostname\":\"ficu95.example\",\"path_prefix\":\"/book/\",\"route_kind\":\"non_idempotent\",\"deadline_ms\":2000,\"goal_ms\":400,\"priority\":2,\"service\":\"desk\",\"attempts\":1}},\
        {{\"name\":\"r-browse\",\"hostname\":\"ficu95.example\",\"path_prefix\":\"/browse/\",\"route_kind\":\"idempotent\",\"deadline_ms\":2000,\"goal_ms\":400,\"priority\":2,\"service\":\"desk\",\"attempts\":2}}],\
        \"services\":[{{\"name\":\"assist\",\"health_path\":\"/healthz\",\"max_conns\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv_capacity\":166342,\"kv_token_bytes\":327680,\"link_mbps\":370000.0,\"host_mb\":140000.0,\"disk_mb\":410000.0,\"models\":[{}],\"weights_mb\":200000.0,\"adapter_slots\":8,\"loads_per_s\":1.1}}}},\
        {{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
        \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        models.join(",")
    )
}

/// The entry of an engine in the store.
pub fn engine_entry(address: &str, version: &str, born: u64, models: &[&str]) -> String {
    let models: Vec<String> = models.iter().map(|m| format!("{{\"name\":\"{m}\",\"version\":1,\"adapters\":[]}}")).collect();
    format!(
        "{{\"service\":\"assist\",\"address\":\"{address}\",\"zone\":\"amman-a\",\"version\":\"{version}\",\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"phase\":\"unified\",\"models\":[{}],\"seq\":0,\"born\":{born}}}",
        models.join(",")
    )
}

/// The entry of a plain server in the store.
pub fn desk_entry(address: &str, version: &str, born: u64) -> String {
    format!("{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"amman-a\",\"version\":\"{version}\",\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":{born}}}")
}

/// One client attempt of a stream.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub sent: u64,
    pub resumed: bool,
    pub status: u16,
    pub events: usize,
}

/// A stream over all of a client's attempts.
#[derive(Debug, Clone, Default)]
pub struct Stream {
    pub attempts: Vec<Attempt>,
    pub events: Vec<Event>,
    pub whole: bool,
}

impl Stream {
    /// Returns the software versions of the stream's events.
    pub fn versions(&self) -> Vec<String> {
        let mut versions: Vec<String> = self.events.iter().map(|e| e.version.clone()).collect();
        versions.sort();
        versions.dedup();
        versions
    }
}

/// What clients need to send streams.
#[derive(Clone)]
pub struct Clients {
    pub record: Record,
    entries: Vec<String>,
    left_out: Arc<Mutex<Option<String>>>,
    next: Arc<AtomicUsize>,
    /// Clients that see this time break their channel off, in Unix milliseconds.
    pub break_at: Arc<Mutex<Option<u64>>>,
    /// No stream is taken up again before this time after a break.
    pub rest_ms: u64,
}

impl Clients {
    pub fn new(site: &Site, hosts: &[u8]) -> Self {
        Self {
            record: site.record.clone(),
            entries: hosts.iter().map(|h| format!("{}:{FRONTEND_PORT}", site.ip(*h))).collect(),
            left_out: Arc::default(),
            next: Arc::default(),
            break_at: Arc::default(),
            rest_ms: 0,
        }
    }

    /// Returns the next entry; retries reach other entries.
    pub fn entry(&self) -> String {
        let left_out = self.left_out.lock().unwrap().clone();
        loop {
            let next = self.next.fetch_add(1, Ordering::Relaxed);
            let entry = &self.entries[next % self.entries.len()];
            if left_out.as_ref() != Some(entry) {
                return entry.clone();
            }
        }
    }

    /// Sends nothing to this entry any more, as the platform does with one that isn't ready.
    pub fn leave_out(&self, entry: &str) {
        *self.left_out.lock().unwrap() = Some(entry.to_owned());
    }

    /// Sends a stream, and takes it up again until it is whole or the client's time has passed.
    pub fn stream(&self, name: &str, model: &str, budget_ms: u64) -> Stream {
        self.stream_with(name, model, &format!("5c1e07a2:100,{name}:100"), budget_ms, u32::MAX)
    }

    /// The same with these parts of the prompt, in so many attempts at most.
    pub fn stream_with(&self, name: &str, model: &str, parts: &str, budget_ms: u64, attempts: u32) -> Stream {
        let start = Instant::now();
        let mut stream = Stream::default();
        loop {
            let left = Duration::from_millis(budget_ms).saturating_sub(start.elapsed());
            if left < Duration::from_millis(50) || stream.attempts.len() as u32 >= attempts {
                return stream;
            }
            let attempt = attempt_id();
            let mut headers = vec![
                ("X-Attempt-Id", attempt.clone()),
                ("X-Model", model.to_owned()),
                ("X-Token-Usage", "200,40".to_owned()),
                ("X-Prompt-Prefix", parts.to_owned()),
                ("X-Deadline-Ms", left.as_millis().to_string()),
            ];
            let resumed = stream.events.last().cloned();
            if let Some(last) = &resumed {
                headers.push(("Last-Event-Id", last.id.to_string()));
                headers.push(("Resumes", stream.events[0].attempt.clone()));
            }
            let entry = self.entry();
            let body = format!("{{\"prompt\":\"{name}\"}}");
            let sent = unix_ms();
            let break_at = self.break_at.clone();
            let mut broke = false;
            let answer = send(&entry, "POST", "/stream/a", &headers, body.as_bytes(), left, |_| {
                let at = *break_at.lock().unwrap();
                broke = at.is_some_and(|at| sent < at && unix_ms() >= at);
                !broke
            });
            let events = if answer.status == 200 { events_of(&answer.body, &attempt) } else { Vec::new() };
            let span = match (events.first(), events.last()) {
                (Some(first), Some(last)) => format!("events {} to {} of {} {}", first.id, last.id, last.server, last.version),
                _ => "no event".to_owned(),
            };
            self.record.line_at(sent, format!(
                "stream {name}: attempt {attempt} to {entry}{}: {} {span}, {}",
                resumed.map(|l| format!(", Last-Event-Id {} Resumes {}", l.id, stream.events[0].attempt)).unwrap_or_default(),
                answer.status,
                if answer.whole { "whole" } else { "cut" },
            ));
            stream.attempts.push(Attempt {
                sent,
                resumed: headers.len() > 5,
                status: answer.status,
                events: events.len(),
            });
            stream.events.extend(events);
            if answer.status == 200 && answer.whole {
                stream.whole = true;
                return stream;
            }
            let left = Duration::from_millis(budget_ms).saturating_sub(start.elapsed());
            let wished = answer.retry_after().unwrap_or(0.0).min(left.as_secs_f64() / 3.0);
            // Clients don't all come back at the same moment.
            let spread = u64::from(attempt.as_bytes()[15]) * 97 % (BACKOFF_MS.1 - BACKOFF_MS.0);
            let backoff = if broke { self.rest_ms } else { BACKOFF_MS.0 + spread };
            pause(backoff.max((wished * 1000.0) as u64));
        }
    }
}
