//! `explain ID`: merges the log lines of several processes into the timeline of one request.
//!
//! The timeline holds the request's own lines and, near it in time, the lines about its targets and
//! the lines of its processes that concern no request or target, such as configuration changes.

use std::collections::BTreeSet;
use std::io::{BufRead, stdin};

use serde_json::{Map, Value};

use crate::error::CommandError;

/// How long before and after the request related events are shown, in milliseconds.
const CONTEXT_MS: u64 = 3_000;
/// Fields that are not printed as details: they form the line's prefix or are common to all lines.
const COMMON_FIELDS: [&str; 5] = ["time_ms", "daemon", "event", "level", "request"];

/// One JSON log line of a daemon.
#[derive(Debug)]
struct LogLine {
    time_ms: u64,
    fields: Map<String, Value>,
}

/// Reads log lines from standard input and prints those that explain a request.
pub(super) fn run(request: &str) -> Result<(), CommandError> {
    let mut lines = Vec::new();
    for line in stdin().lock().lines() {
        let line = line.map_err(|e| CommandError::Run {
            step: "read the logs",
            reason: e.to_string(),
        })?;
        // Lines that are not log lines of a daemon are skipped: other programs may write to the
        // same stream.
        lines.extend(parse_line(&line));
    }
    lines.sort_by_key(|line| line.time_ms);
    let timeline = timeline_of(&lines, request);
    if timeline.is_empty() {
        return Err(CommandError::Run {
            step: "explain",
            reason: format!("no log line names request {request}"),
        });
    }
    for line in &timeline {
        println!("{line}");
    }
    Ok(())
}

fn parse_line(line: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    let fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
    let time_ms = fields.get("time_ms")?.as_u64()?;
    Some(LogLine { time_ms, fields })
}

fn timeline_of(lines: &[LogLine], request: &str) -> Vec<String> {
    let own: Vec<&LogLine> = lines
        .iter()
        .filter(|l| text_field(l, "request") == request)
        .collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let targets: BTreeSet<&str> = own.iter().map(|l| text_field(l, "target_id")).collect();
    let daemons: BTreeSet<&str> = own.iter().map(|l| text_field(l, "daemon")).collect();
    let start_ms = first.time_ms.saturating_sub(CONTEXT_MS);
    let is_related = |line: &LogLine| {
        let same_daemon = daemons.contains(text_field(line, "daemon"));
        let target = text_field(line, "target_id");
        let process_event =
            same_daemon && !line.fields.contains_key("request") && target.is_empty();
        !target.is_empty() && targets.contains(target) && !line.fields.contains_key("request")
            || process_event
    };
    let shown = lines.iter().filter(|line| {
        let in_range = (start_ms..=last.time_ms + CONTEXT_MS).contains(&line.time_ms);
        text_field(line, "request") == request || (in_range && is_related(line))
    });
    shown
        .map(|line| format_line(line, first.time_ms, request))
        .collect()
}

fn format_line(line: &LogLine, origin_ms: u64, request: &str) -> String {
    let offset_ms = line.time_ms.cast_signed() - origin_ms.cast_signed();
    let marker = if text_field(line, "request") == request {
        '*'
    } else {
        ' '
    };
    let details: Vec<String> = (line.fields.iter())
        .filter(|(key, _)| !COMMON_FIELDS.contains(&key.as_str()))
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    let (daemon, event) = (text_field(line, "daemon"), text_field(line, "event"));
    format!(
        "{offset_ms:>7} ms {marker} {daemon}: {event} {}",
        details.join(" ")
    )
}

fn text_field<'a>(line: &'a LogLine, key: &str) -> &'a str {
    line.fields
        .get(key)
        .and_then(Value::as_str)
        .unwrap_or_default()
}
