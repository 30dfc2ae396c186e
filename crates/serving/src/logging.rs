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

/// Size of the buffer above which further lines are dropped, in bytes.
const BUFFER_BYTES: usize = 256 * 1024;
/// Shortest interval between two writes.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);
/// Largest write, unless a single line is longer: a pipe with several writers keeps writes up to
/// this size (`PIPE_BUF`) together.
const MAX_WRITE_BYTES: usize = 4_096;
/// Name of the environment variable that sets the level, such as `debug`; the default is `info`.
pub const LOG_VARIABLE: &str = "KUMQUATKEEL_LOG";

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

#[derive(Debug)]
struct JsonLogger {
    daemon: Arc<str>,
    buffer: Mutex<Buffer>,
    not_empty: Condvar,
}

struct Fields<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

impl Log for JsonLogger {
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
            self.not_empty.notify_one();
        }
    }

    fn flush(&self) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let bytes = std::mem::take(&mut buffer.bytes);
        drop(buffer);
        write_stdout(&bytes);
    }
}

impl JsonLogger {
    fn run_writer(&self) {
        loop {
            let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
            while buffer.bytes.is_empty() {
                buffer = (self.not_empty.wait(buffer)).unwrap_or_else(PoisonError::into_inner);
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
            write_stdout(&bytes);
            std::thread::sleep(FLUSH_INTERVAL);
        }
    }
}

fn write_stdout(bytes: &[u8]) {
    let mut output = std::io::stdout().lock();
    for chunk in chunk_lines(bytes, MAX_WRITE_BYTES) {
        // The error is ignored: with standard output closed there is nowhere to report it.
        let _ = output.write_all(chunk);
    }
}

/// Splits text into chunks of whole lines of at most `limit` bytes; a longer line is a chunk of
/// its own.
pub fn chunk_lines(lines: &[u8], limit: usize) -> Vec<&[u8]> {
    let mut chunks = Vec::new();
    let (mut start, mut end) = (0, 0);
    for line in lines.split_inclusive(|byte| *byte == b'\n') {
        if end > start && end + line.len() - start > limit {
            chunks.push(&lines[start..end]);
            start = end;
        }
        end += line.len();
    }
    if end > start {
        chunks.push(&lines[start..end]);
    }
    chunks
}

/// Installs the logger, which adds the daemon's name to each line, and starts its writer thread; a
/// second call has no effect.
pub fn start_logging(daemon: impl Into<Arc<str>>) {
    let logger: &'static JsonLogger = Box::leak(Box::new(JsonLogger {
        daemon: daemon.into(),
        buffer: Mutex::default(),
        not_empty: Condvar::new(),
    }));
    if log::set_logger(logger).is_err() {
        return;
    }
    let level = std::env::var(LOG_VARIABLE)
        .ok()
        .and_then(|text| text.parse().ok());
    log::set_max_level(level.unwrap_or(LevelFilter::Info));
    let writer = std::thread::Builder::new().name("log".to_owned());
    if let Err(error) = writer.spawn(move || logger.run_writer()) {
        log::set_max_level(LevelFilter::Off);
        write_stdout(
            format!("kumquatkeel: logging is off: the writer thread did not start: {error}\n")
                .as_bytes(),
        );
    }
}
