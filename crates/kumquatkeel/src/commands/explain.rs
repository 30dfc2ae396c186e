//! `explain ID`: joins the log lines of all processes into the story of one request.

use std::collections::BTreeSet;
use std::io::{BufRead, stdin};

use serde_json::{Map, Value};

use crate::error::CommandError;

/// How long before and after the request other events are shown, in milliseconds.
const AROUND_MS: u64 = 3_000;
/// Fields that every line has.
const COMMON: [&str; 5] = ["time_ms", "daemon", "event", "level", "request"];

/// One line of a log.
#[derive(Debug)]
struct Line {
    time: u64,
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
        // Other programs' lines may stand between ours.
        lines.extend(parse(&line));
    }
    lines.sort_by_key(|line| line.time);
    let story = explain(&lines, request);
    if story.is_empty() {
        return Err(CommandError::Run {
            step: "explain",
            reason: format!("no log line names request {request}"),
        });
    }
    for line in &story {
        println!("{line}");
    }
    Ok(())
}

fn parse(line: &str) -> Option<Line> {
    let start = line.find('{')?;
    let fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
    let time = fields.get("time_ms")?.as_u64()?;
    Some(Line { time, fields })
}

fn explain(lines: &[Line], request: &str) -> Vec<String> {
    let own: Vec<&Line> = lines
        .iter()
        .filter(|l| text(l, "request") == request)
        .collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let targets: BTreeSet<&str> = own.iter().map(|l| text(l, "target_id")).collect();
    let daemons: BTreeSet<&str> = own.iter().map(|l| text(l, "daemon")).collect();
    let from = first.time.saturating_sub(AROUND_MS);
    let concerns = |line: &Line| {
        let here = daemons.contains(text(line, "daemon"));
        let target = text(line, "target_id");
        let belief = here && !line.fields.contains_key("request") && target.is_empty();
        !target.is_empty() && targets.contains(target) && !line.fields.contains_key("request")
            || belief
    };
    let shown = lines.iter().filter(|line| {
        let near = (from..=last.time + AROUND_MS).contains(&line.time);
        text(line, "request") == request || (near && concerns(line))
    });
    shown
        .map(|line| format_line(line, first.time, request))
        .collect()
}

fn format_line(line: &Line, origin: u64, request: &str) -> String {
    let offset = line.time.cast_signed() - origin.cast_signed();
    let mark = if text(line, "request") == request {
        '*'
    } else {
        ' '
    };
    let details: Vec<String> = (line.fields.iter())
        .filter(|(key, _)| !COMMON.contains(&key.as_str()))
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    let (daemon, event) = (text(line, "daemon"), text(line, "event"));
    format!(
        "{offset:>7} ms {mark} {daemon}: {event} {}",
        details.join(" ")
    )
}

fn text<'a>(line: &'a Line, key: &str) -> &'a str {
    line.fields
        .get(key)
        .and_then(Value::as_str)
        .unwrap_or_default()
}
