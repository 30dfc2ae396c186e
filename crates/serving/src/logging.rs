//! Structured logs on standard output that never block the daemon.
//!
//! Each record becomes one JSON line. Lines wait in a bounded buffer until a writer thread takes
//! them; when the buffer is full, lines are dropped and counted, and the count is logged.

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use serde_json::{Map, Value as Json};

/// Bytes of lines that may wait for the writer.
const BUFFER_BYTES: usize = 256 * 1024;
/// How long the writer gathers lines before it writes them.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);
/// Largest write, unless one line is longer: what a pipe keeps together beside other writers.
const PIECE_BYTES: usize = 4_096;
/// Wire name of the variable that sets the level.
pub const LOG_VARIABLE: &str = "KUMQUATKEEL_LOG";

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

#[derive(Debug)]
struct JsonLog {
    daemon: Arc<str>,
    buffer: Mutex<Buffer>,
    filled: Condvar,
}

struct Fields<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

impl Log for JsonLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target().starts_with("kumquatkeel") || metadata.level() <= log::Level::Warn
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let mut line = Map::new();
        let time = std::time::SystemTime::UNIX_EPOCH
            .elapsed()
            .unwrap_or_default();
        line.insert("time_ms".to_owned(), (time.as_millis() as u64).into());
        line.insert("level".to_owned(), record.level().as_str().into());
        line.insert("daemon".to_owned(), (&*self.daemon).into());
        line.insert("event".to_owned(), record.args().to_string().into());
        if let Err(error) = record.key_values().visit(&mut Fields(&mut line)) {
            line.insert("log_error".to_owned(), error.to_string().into());
        }
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() > BUFFER_BYTES {
            buffer.dropped += 1;
            return;
        }
        let was_empty = buffer.bytes.is_empty();
        if serde_json::to_writer(&mut buffer.bytes, &line).is_ok() {
            buffer.bytes.push(b'\n');
        }
        drop(buffer);
        if was_empty {
            self.filled.notify_one();
        }
    }

    fn flush(&self) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let bytes = std::mem::take(&mut buffer.bytes);
        drop(buffer);
        write_out(&bytes);
    }
}

impl JsonLog {
    fn write_lines(&self) {
        loop {
            let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
            while buffer.bytes.is_empty() {
                buffer = (self.filled.wait(buffer)).unwrap_or_else(PoisonError::into_inner);
            }
            let Buffer { mut bytes, dropped } = std::mem::take(&mut *buffer);
            drop(buffer);
            if dropped > 0 {
                let daemon = &self.daemon;
                let line = format!(
                    "{{\"daemon\":\"{daemon}\",\"event\":\"log lines dropped\",\"count\":{dropped}}}\n"
                );
                bytes.extend_from_slice(line.as_bytes());
            }
            write_out(&bytes);
            std::thread::sleep(FLUSH_INTERVAL);
        }
    }
}

fn write_out(bytes: &[u8]) {
    let mut output = std::io::stdout().lock();
    for piece in whole_lines(bytes, PIECE_BYTES) {
        // A closed standard output leaves no place to report to.
        let _ = output.write_all(piece);
    }
}

/// Splits lines into pieces of at most `limit` bytes; a longer line is a piece by itself.
pub fn whole_lines(lines: &[u8], limit: usize) -> Vec<&[u8]> {
    let mut pieces = Vec::new();
    let (mut start, mut end) = (0, 0);
    for line in lines.split_inclusive(|byte| *byte == b'\n') {
        if end > start && end + line.len() - start > limit {
            pieces.push(&lines[start..end]);
            start = end;
        }
        end += line.len();
    }
    if end > start {
        pieces.push(&lines[start..end]);
    }
    pieces
}

/// Starts logging under the daemon's name; a second call changes nothing.
pub fn start_logging(daemon: impl Into<Arc<str>>) {
    let logger: &'static JsonLog = Box::leak(Box::new(JsonLog {
        daemon: daemon.into(),
        buffer: Mutex::default(),
        filled: Condvar::new(),
    }));
    if log::set_logger(logger).is_err() {
        return;
    }
    let level = std::env::var(LOG_VARIABLE)
        .ok()
        .and_then(|text| text.parse().ok());
    log::set_max_level(level.unwrap_or(LevelFilter::Info));
    let writer = std::thread::Builder::new().name("log".to_owned());
    if let Err(error) = writer.spawn(move || logger.write_lines()) {
        log::set_max_level(LevelFilter::Off);
        write_out(format!("kumquatkeel: no log thread: {error}\n").as_bytes());
    }
}
