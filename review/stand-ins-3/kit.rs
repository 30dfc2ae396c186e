//! What the scripts of this review share: JSON, HTTP, a stand-in of the platform's store, and the processes of
//! the system. Uses the standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- record

static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static STARTED: OnceLock<Instant> = OnceLock::new();

/// Opens the record of a case; its lines begin with the seconds since then.
pub fn open_record() {
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    let file = File::create(&path).expect("create the record");
    RECORD.set(Mutex::new(file)).ok();
    STARTED.set(Instant::now()).ok();
}

pub fn seconds() -> f64 {
    STARTED.get().map_or(0.0, |at| at.elapsed().as_secs_f64())
}

pub fn note(text: impl AsRef<str>) {
    let line = format!("{:8.3} {}\n", seconds(), text.as_ref());
    if let Some(record) = RECORD.get() {
        let _ = record.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Returns whether the disruption is to be made.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_until(at: f64) {
    let left = at - seconds();
    if left > 0.0 {
        thread::sleep(Duration::from_secs_f64(left));
    }
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |t| t.as_millis() as u64)
}

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        parser.value()
    }

    pub fn get(&self, key: &str) -> Option<&Self> {
        match self {
            Self::Table(fields) => fields.iter().find(|(name, _)| name == key).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Self::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn write(&self) -> String {
        let mut out = String::new();
        self.write_to(&mut out);
        out
    }

    fn write_to(&self, out: &mut String) {
        match self {
            Self::Null => out.push_str("null"),
            Self::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Self::Number(n) if n.fract() == 0.0 && n.abs() < 9e15 => {
                let _ = write!(out, "{}", *n as i64);
            }
            Self::Number(n) => {
                let _ = write!(out, "{n}");
            }
            Self::Text(text) => {
                out.push('"');
                for c in text.chars() {
                    match c {
                        '"' => out.push_str("\\\""),
                        '\\' => out.push_str("\\\\"),
                        c if (c as u32) < 32 => {
                            let _ = write!(out, "\\u{:04x}", c as u32);
                        }
                        c => out.push(c),
                    }
                }
                out.push('"');
            }
            Self::List(items) => {
                out.push('[');
                for (i, item) in items.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    item.write_to(out);
                }
                out.push(']');
            }
            Self::Table(fields) => {
                out.push('{');
                for (i, (key, value)) in fields.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    Self::Text(key.clone()).write_to(out);
                    out.push(':');
                    value.write_to(out);
                }
                out.push('}');
            }
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.at < self.bytes.len() && self.bytes[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
    }

    fn eat(&mut self, byte: u8) -> bool {
        self.skip();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match *self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.eat(b'}') {
                    return Some(Json::Table(fields));
                }
                loop {
                    self.skip();
                    let key = self.string()?;
                    if !self.eat(b':') {
                        return None;
                    }
                    fields.push((key, self.value()?));
                    if self.eat(b'}') {
                        return Some(Json::Table(fields));
                    }
                    if !self.eat(b',') {
                        return None;
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.eat(b']') {
                    return Some(Json::List(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.eat(b']') {
                        return Some(Json::List(items));
                    }
                    if !self.eat(b',') {
                        return None;
                    }
                }
            }
            b'"' => Some(Json::Text(self.string()?)),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self.at < self.bytes.len()
                    && matches!(self.bytes[self.at], b'-' | b'+' | b'.' | b'e' | b'E' | b'0'..=b'9')
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn string(&mut self) -> Option<String> {
        if !self.eat(b'"') {
            return None;
        }
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                            let c = char::from_u32(code).unwrap_or('\u{fffd}');
                            out.extend_from_slice(c.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone, Default)]
pub struct Call {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Call {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the path without its query.
    pub fn route(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.path.split_once('?')?.1;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Reads bytes up to the end of a head; `None` at the end of the connection.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            return Ok(Some(head));
        }
        let mut part = [0; 8192];
        let size = stream.read(&mut part)?;
        if size == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&part[..size]);
    }
}

fn read_exactly(stream: &mut TcpStream, buffer: &mut Vec<u8>, size: usize) -> io::Result<Vec<u8>> {
    while buffer.len() < size {
        let mut part = [0; 65536];
        let got = stream.read(&mut part)?;
        if got == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        buffer.extend_from_slice(&part[..got]);
    }
    Ok(buffer.drain(..size).collect())
}

fn parse_headers(lines: std::str::Lines<'_>) -> Vec<(String, String)> {
    lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect()
}

/// Reads the next request of a connection; `None` at its end. Reads bodies with a length.
pub fn read_call(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Call>> {
    let Some(head) = read_head(stream, buffer)? else {
        return Ok(None);
    };
    let mut lines = head.lines();
    let mut first = lines.next().unwrap_or_default().split(' ');
    let mut call = Call {
        method: first.next().unwrap_or_default().to_owned(),
        path: first.next().unwrap_or_default().to_owned(),
        headers: parse_headers(lines),
        body: Vec::new(),
    };
    let length = call.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    call.body = read_exactly(stream, buffer, length)?;
    Ok(Some(call))
}

pub fn answer(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 if the channel ended without a whole answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends one request on a new channel and reads the whole answer.
pub fn request(to: SocketAddr, head: &str, body: &[u8], limit: Duration) -> Answer {
    let exchange = || -> io::Result<Answer> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        stream.write_all(head.as_bytes())?;
        stream.write_all(body)?;
        read_answer(&mut stream)
    };
    exchange().unwrap_or_default()
}

pub fn read_answer(stream: &mut TcpStream) -> io::Result<Answer> {
    let mut buffer = Vec::new();
    let head = read_head(stream, &mut buffer)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut lines = head.lines();
    let status = lines.next().and_then(|l| l.split(' ').nth(1)).and_then(|s| s.parse().ok());
    let mut answer = Answer {
        status: status.unwrap_or(0),
        headers: parse_headers(lines),
        body: Vec::new(),
    };
    let chunked = answer.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
    if chunked {
        loop {
            while !buffer.windows(2).any(|w| w == b"\r\n") {
                let more = read_exactly(stream, &mut Vec::new(), 1)?;
                buffer.extend(more);
            }
            let end = buffer.windows(2).position(|w| w == b"\r\n").unwrap_or(0);
            let size = String::from_utf8_lossy(&buffer[..end]).trim().to_owned();
            buffer.drain(..end + 2);
            let size = usize::from_str_radix(&size, 16).map_err(io::Error::other)?;
            let mut data = read_exactly(stream, &mut buffer, size + 2)?;
            data.truncate(size);
            if size == 0 {
                return Ok(answer);
            }
            answer.body.extend(data);
        }
    }
    let length = answer.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    answer.body = read_exactly(stream, &mut buffer, length)?;
    Ok(answer)
}

// ---------------------------------------------------------------- a listener that can crash

/// A listener whose connections are all reset, and whose port is closed, when it is stopped.
#[derive(Clone)]
pub struct Service {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Service {
    /// Serves each connection in a thread of its own with `serve`.
    pub fn start(address: SocketAddr, serve: impl Fn(TcpStream, Service) + Send + Sync + 'static) -> Self {
        let listener = bind(address);
        let service = Self {
            address: listener.local_addr().expect("address of a listener"),
            stopped: Arc::default(),
            streams: Arc::default(),
        };
        let (own, serve) = (service.clone(), Arc::new(serve));
        thread::spawn(move || {
            loop {
                let Ok((stream, _)) = listener.accept() else { continue };
                if own.is_stopped() {
                    return;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    own.streams.lock().unwrap().push(copy);
                }
                let (serve, service) = (serve.clone(), own.clone());
                thread::spawn(move || serve(stream, service));
            }
        });
        service
    }

    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Closes the port and all connections, as the end of a process does.
    pub fn stop(&self) {
        if self.stopped.swap(true, Ordering::SeqCst) {
            return;
        }
        // Wakes the accepting thread, which drops the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn bind(address: SocketAddr) -> TcpListener {
    for _ in 0..200 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        thread::sleep(Duration::from_millis(10));
    }
    eprintln!("can't bind {address}");
    std::process::exit(2);
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Object {
    revision: u64,
    name: Vec<u8>,
    spec: Vec<u8>,
}

impl Object {
    fn write(&self) -> Vec<u8> {
        let mut out = b"{\"metadata\":{\"name\":\"".to_vec();
        out.extend_from_slice(&self.name);
        let rest = format!(
            "\",\"revision\":{},\"created\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":",
            self.revision
        );
        out.extend_from_slice(rest.as_bytes());
        out.extend_from_slice(&self.spec);
        out.extend_from_slice(b",\"status\":null}");
        out
    }
}

#[derive(Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, Vec<u8>), Object>,
    /// Kind, whether the object was removed, the object, and when.
    log: Vec<(String, bool, Object, Instant)>,
}

impl Content {
    /// Returns the revision of the content as it was this long ago.
    fn revision_before(&self, age: Duration) -> u64 {
        let old = self.log.iter().rev().find(|(_, _, _, at)| at.elapsed() >= age);
        old.map_or(0, |(_, _, object, _)| object.revision)
    }
}

/// A sound store, as PROTOCOL describes it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Content>, Condvar)>,
    /// How old the content is that calls with `stale_ok` get.
    stale: Duration,
}

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        Self::with_stale_reads(address, Duration::ZERO)
    }

    /// Starts a store that answers calls with `stale_ok` from a content of this age.
    pub fn with_stale_reads(address: SocketAddr, stale: Duration) -> Self {
        let shared: Arc<(Mutex<Content>, Condvar)> = Arc::default();
        let own = shared.clone();
        let service = Service::start(address, move |stream, _| {
            let store = Store { address, shared: own.clone(), stale };
            store.serve(stream);
        });
        Self { address: service.address, shared, stale }
    }

    /// Writes an object; its name may hold any bytes.
    pub fn put(&self, kind: &str, name: &[u8], spec: &str) -> u64 {
        let (content, changed) = &*self.shared;
        let mut content = content.lock().unwrap();
        content.revision += 1;
        let object = Object {
            revision: content.revision,
            name: name.to_vec(),
            spec: spec.as_bytes().to_vec(),
        };
        content.objects.insert((kind.to_owned(), name.to_vec()), object.clone());
        content.log.push((kind.to_owned(), false, object, Instant::now()));
        changed.notify_all();
        content.revision
    }

    pub fn remove(&self, kind: &str, name: &[u8]) {
        let (content, changed) = &*self.shared;
        let mut content = content.lock().unwrap();
        if let Some(mut object) = content.objects.remove(&(kind.to_owned(), name.to_vec())) {
            content.revision += 1;
            object.revision = content.revision;
            content.log.push((kind.to_owned(), true, object, Instant::now()));
            changed.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Ok(Some(call)) = read_call(&mut stream, &mut buffer) {
            let (status, body) = self.handle(&call);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if answer(&mut stream, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn handle(&self, call: &Call) -> (u16, Vec<u8>) {
        let Some(rest) = call.route().strip_prefix("/kumquatkeel/objects/") else {
            return (404, Vec::new());
        };
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (rest, None),
        };
        match (call.method.as_str(), name) {
            ("GET", None) if call.query("watch").is_some() => self.watch(call, kind),
            ("GET", None) => self.list(kind, self.age_of(call)),
            ("GET", Some(name)) => {
                let content = self.shared.0.lock().unwrap();
                let object = content.objects.get(&(kind.to_owned(), name.as_bytes().to_vec()));
                object.map_or((404, Vec::new()), |object| (200, object.write()))
            }
            ("POST" | "PUT", name) => self.write(call, kind, name),
            ("DELETE", Some(name)) => {
                let key = (kind.to_owned(), name.as_bytes().to_vec());
                let known = self.shared.0.lock().unwrap().objects.get(&key).cloned();
                let stated: Option<u64> = call.query("revision").and_then(|r| r.parse().ok());
                match known {
                    None => (404, Vec::new()),
                    Some(object) if stated.is_some_and(|r| r != object.revision) => (409, object.write()),
                    Some(object) => {
                        self.remove(kind, name.as_bytes());
                        (200, object.write())
                    }
                }
            }
            _ => (404, Vec::new()),
        }
    }

    /// Returns how old the content is that a call gets.
    fn age_of(&self, call: &Call) -> Duration {
        if call.query("stale_ok").is_some() { self.stale } else { Duration::ZERO }
    }

    fn list(&self, kind: &str, age: Duration) -> (u16, Vec<u8>) {
        let content = self.shared.0.lock().unwrap();
        let as_of = if age.is_zero() { content.revision } else { content.revision_before(age) };
        let mut found = BTreeMap::new();
        for (k, removed, object, _) in &content.log {
            if k == kind && object.revision <= as_of {
                if *removed {
                    found.remove(&object.name);
                } else {
                    found.insert(object.name.clone(), object.write());
                }
            }
        }
        let items: Vec<Vec<u8>> = found.into_values().collect();
        let mut out = b"{\"items\":[".to_vec();
        out.extend(items.join(&b','));
        out.extend(format!("],\"truncated\":false,\"as_of\":{as_of}}}").bytes());
        (200, out)
    }

    fn watch(&self, call: &Call, kind: &str) -> (u16, Vec<u8>) {
        let since: u64 = call.query("watch").and_then(|r| r.parse().ok()).unwrap_or(0);
        let wait: u64 = call.query("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let age = self.age_of(call);
        let (content, changed) = &*self.shared;
        let mut content = content.lock().unwrap();
        loop {
            let as_of = if age.is_zero() { content.revision } else { content.revision_before(age) };
            let found = (content.log.iter())
                .filter(|(k, _, o, _)| k == kind && o.revision > since && o.revision <= as_of);
            let events: Vec<Vec<u8>> = found
                .map(|(_, deleted, object, _)| {
                    let mut event = format!("{{\"deleted\":{deleted},\"object\":").into_bytes();
                    event.extend(object.write());
                    event.push(b'}');
                    event
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let mut out = b"{\"events\":[".to_vec();
                out.extend(events.join(&b','));
                out.extend(format!("],\"as_of\":{}}}", as_of.max(since)).bytes());
                return (200, out);
            }
            // What is not shown yet to a stale read becomes old enough without a further change.
            let pause = if age.is_zero() { left } else { left.min(Duration::from_millis(20)) };
            content = changed.wait_timeout(content, pause).unwrap().0;
        }
    }

    fn write(&self, call: &Call, kind: &str, name: Option<&str>) -> (u16, Vec<u8>) {
        let Some(body) = Json::parse(&String::from_utf8_lossy(&call.body)) else {
            return (400, Vec::new());
        };
        let metadata = body.get("metadata").cloned().unwrap_or(Json::Null);
        let stated = metadata.get("name").and_then(Json::text).map(str::to_owned);
        let Some(name) = name.map(str::to_owned).or(stated) else {
            return (400, Vec::new());
        };
        let key = (kind.to_owned(), name.as_bytes().to_vec());
        let known = self.shared.0.lock().unwrap().objects.get(&key).cloned();
        let revision = metadata.get("revision").and_then(Json::number);
        match (&known, call.method.as_str()) {
            (Some(object), "POST") => return (409, object.write()),
            (None, "PUT") => return (404, Vec::new()),
            (Some(object), _) if revision.is_some_and(|r| r as u64 != object.revision) => {
                return (409, object.write());
            }
            _ => {}
        }
        let spec = body.get("spec").map_or_else(|| "null".to_owned(), Json::write);
        self.put(kind, name.as_bytes(), &spec);
        let content = self.shared.0.lock().unwrap();
        content.objects.get(&key).map_or((500, Vec::new()), |o| (200, o.write()))
    }
}

// ---------------------------------------------------------------- the processes of the system

/// Loopback addresses of one run: each machine has its own. The zone is below 4.
pub fn host(zone: u8, number: u8) -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 64 + (id % 150) as u8, (id / 150 % 60) as u8 * 4 + zone, number)
}

/// A process of the system with its settings file.
pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    pub folder: PathBuf,
    child: Child,
    extra: String,
    role: &'static str,
}

pub const FRONTEND: u16 = 8149;
pub const READINESS: u16 = 8141;
pub const APP: u16 = 8505;

impl Node {
    /// Starts a process with the command of the deploy file.
    pub fn start(role: &'static str, name: &str, ip: Ipv4Addr, store: SocketAddr) -> Self {
        let folder = PathBuf::from(std::env::var("FOLDER").expect("FOLDER")).join(name);
        fs::create_dir_all(&folder).expect("create a folder");
        let listen = match role {
            "entry" => format!("listen:\n  frontend: \"{ip}:{FRONTEND}\"\n  readiness: \"{ip}:{READINESS}\"\n"),
            _ => format!("listen: {{}}\napp: \"{ip}:{APP}\"\n"),
        };
        let class = if role == "entry" { "edge" } else { "side" };
        let settings = format!(
            "node_name: \"{name}\"\nrole: \"{role}\"\nmachine_class: \"{class}\"\nip: \"{ip}\"\nzone: \"z1\"\n\
             region: \"r1\"\nzones:\n  z1: \"r1\"\n{listen}internal_ports:\n  - 7380\n  - 7395\nseeds: []\n\
             bootstrap: true\ndiscovery: \"platform\"\nheartbeat_ms: 1200\nbounds:\n  seed_lag_s: 3\n  \
             reuse_after_s: 2\n  contact_ms: 4000\n  ack_ms: 5000\n  catch_up_s: 4\n  drain_ms: 3000\n  grace_s: 8\n  \
             loss_slack_ms: 200\n  config_ms: 3000\n  downgrade_ms: 250\n  outer_ms: 6000\n  \
             retry_budget_ratio: 0.2\n  budget_window_s: 10\n  retry_budget_slack: 58\n  recover_s: 12\n  \
             pass_ms: 400\n  retry_after_s: 0\n  fencing_enforced: false\n  lease_ms: 3000\n  thaw_ms: 300\n  \
             ceiling_window_s: 5\n  ceiling_over: 1.1\nplatform:\n  address: \"{store}\"\n  form: \"objects\"\n  \
             writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n  ttl_min_ms: 1000\n"
        );
        fs::write(folder.join("local.yaml"), settings).expect("write settings");
        let child = spawn(role, &folder);
        note(format!("process {name} ({role}) started at {ip}"));
        Self { name: name.to_owned(), ip, folder, child, extra: String::new(), role }
    }

    pub fn frontend(&self) -> SocketAddr {
        (self.ip, FRONTEND).into()
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process at once.
    pub fn stop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again after [`Node::stop`].
    pub fn start_again(&mut self) {
        self.child = spawn(self.role, &self.folder);
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits until an entry says that it is ready.
    pub fn wait_until_ready(&self) {
        let head = "GET /kumquatkeel/readyz HTTP/1.1\r\nHost: a\r\n\r\n";
        for _ in 0..100 {
            let answer = request((self.ip, READINESS).into(), head, &[], Duration::from_millis(500));
            if answer.status == 200 {
                note(format!("{} is ready", self.name));
                return;
            }
            thread::sleep(Duration::from_millis(100));
        }
        note(format!("{} did not get ready", self.name));
        eprintln!("{} did not get ready", self.name);
        std::process::exit(2);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(role: &str, folder: &PathBuf) -> Child {
    let program = std::env::var("NODE").expect("NODE");
    let log = File::options().create(true).append(true).open(folder.join("log.txt")).expect("open a log");
    let errors = log.try_clone().expect("clone a log");
    let port = if role == "entry" { "9464" } else { "9465" };
    let mut command = Command::new(program);
    command
        .args([role, "--metrics-port", port])
        .env_clear()
        .env("KUMQUATKEEL_CONFIG", folder.join("local.yaml"))
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors);
    match command.spawn() {
        Ok(child) => {
            // The script ends what is left.
            let pids = PathBuf::from(std::env::var("FOLDER").expect("FOLDER")).join("pids");
            if let Ok(mut file) = File::options().create(true).append(true).open(pids) {
                let _ = writeln!(file, "{}", child.id());
            }
            child
        }
        Err(error) => {
            eprintln!("can't start the program: {error}");
            std::process::exit(2);
        }
    }
}
