//! Stand-ins for the platform's store, servers and clients, and the start of the project's own programs.
//!
//! Only the standard library is used. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the run has the disruption; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Writes what was sent, answered and run to `record.txt`, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: u64,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).unwrap_or_else(|e| cannot_run(&e.to_string()));
        Self { file: Arc::new(Mutex::new(file)), start: unix_ms() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(unix_ms(), text);
    }

    pub fn line_at(&self, at: u64, text: impl AsRef<str>) {
        let ms = at.saturating_sub(self.start);
        let line = format!("{:>4}.{:03} s  {}\n", ms / 1000, ms % 1000, text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to the terminal.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// The processes that this one has started and not yet waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Longest time of a script.
const LONGEST: Duration = Duration::from_secs(115);

fn started(child: Child) -> Child {
    STARTED.lock().unwrap_or_else(|e| e.into_inner()).push(child.id());
    child
}

/// Waits for a process that has ended or was killed.
fn reap(child: &mut Child) {
    let _ = child.wait();
    STARTED.lock().unwrap_or_else(|e| e.into_inner()).retain(|id| *id != child.id());
}

/// Sends a signal to a process by its id; the shell, which runs the script anyway, has it built in.
fn signal(name: &str, id: u32) {
    let _ = Command::new("bash").args(["-c", &format!("kill -{name} {id}")]).status();
}

fn end_started() {
    for id in STARTED.lock().unwrap_or_else(|e| e.into_inner()).drain(..) {
        signal("KILL", id);
    }
}

/// Ends the script, and all processes that it started, with the status for a case that couldn't run.
pub fn cannot_run(reason: &str) -> ! {
    println!("the case could not run: {reason}");
    end_started();
    std::process::exit(2)
}

/// Ends the script when it takes too long or a part of it fails.
fn guard() {
    std::panic::set_hook(Box::new(|fault| cannot_run(&fault.to_string())));
    thread::spawn(|| {
        thread::sleep(LONGEST);
        cannot_run("it took too long");
    });
}

// ---- HTTP ----

#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or status line.
    pub line: String,
    /// Header names are in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the channel.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.line = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Some(message);
        }
        let (name, value) = text.split_once(':')?;
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a request with a body of a stated length.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(reader)?;
    let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0usize);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

pub fn write_response(stream: &mut TcpStream, status: &str, headers: &[(&str, String)], body: &[u8]) -> bool {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Serves each channel in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

// ---- JSON, as far as the store needs it ----

/// Returns the end of the JSON value that begins at `at`.
fn value_end(text: &[u8], at: usize) -> usize {
    let (mut index, mut depth, mut in_string) = (at, 0, false);
    while index < text.len() {
        match text[index] {
            b'\\' if in_string => index += 1,
            b'"' => {
                in_string = !in_string;
                if !in_string && depth == 0 {
                    return index + 1;
                }
            }
            b'{' | b'[' if !in_string => depth += 1,
            b'}' | b']' if !in_string => {
                if depth == 0 {
                    return index;
                }
                depth -= 1;
                if depth == 0 {
                    return index + 1;
                }
            }
            b',' if !in_string && depth == 0 => return index,
            _ => {}
        }
        index += 1;
    }
    index
}

/// Returns the text of a field of a JSON object.
pub fn field(object: &str, name: &str) -> Option<String> {
    let bytes = object.as_bytes();
    let mut index = object.find('{')? + 1;
    loop {
        while index < bytes.len() && (bytes[index] as char).is_whitespace() || bytes.get(index) == Some(&b',') {
            index += 1;
        }
        if *bytes.get(index)? != b'"' {
            return None;
        }
        let end = value_end(bytes, index);
        let key = &object[index + 1..end - 1];
        index = end + object[end..].find(':')? + 1;
        while (*bytes.get(index)? as char).is_whitespace() {
            index += 1;
        }
        let end = value_end(bytes, index);
        if key == name {
            return Some(object[index..end].trim().to_owned());
        }
        index = end;
    }
}

// ---- The platform's store ----

struct Change {
    revision: u64,
    at: Instant,
    kind: String,
    name: String,
    /// `None` for a removal.
    spec: Option<String>,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    log: Vec<Change>,
}

impl Objects {
    /// Returns the objects of a kind as of a revision.
    fn as_of(&self, kind: &str, revision: u64) -> BTreeMap<String, (u64, String)> {
        let mut found = BTreeMap::new();
        for change in self.log.iter().filter(|c| c.kind == kind && c.revision <= revision) {
            match &change.spec {
                Some(spec) => found.insert(change.name.clone(), (change.revision, spec.clone())),
                None => found.remove(&change.name),
            };
        }
        found
    }
}

/// The object store of the platform, with list, watch, create and replace.
#[derive(Clone)]
pub struct Store {
    pub address: String,
    objects: Arc<(Mutex<Objects>, Condvar)>,
    /// How old the answers to calls with `stale_ok` are.
    stale: Duration,
    /// Calls for servers: consistent ones and those with `stale_ok`.
    pub calls: Arc<(AtomicU64, AtomicU64)>,
}

impl Store {
    pub fn start(ip: &str, stale: Duration) -> Self {
        let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let store = Self {
            address: listener.local_addr().unwrap().to_string(),
            objects: Arc::default(),
            stale,
            calls: Arc::default(),
        };
        store.objects.0.lock().unwrap().revision = 100;
        let serving = store.clone();
        serve(listener, move |stream| {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let mut stream = stream;
            while let Some(request) = read_request(&mut reader) {
                let (status, body) = serving.answer(&request);
                let headers = [
                    ("Content-Type", "application/json".to_owned()),
                    ("Store-Era", "1".to_owned()),
                ];
                if !write_response(&mut stream, status, &headers, body.as_bytes()) {
                    return;
                }
            }
        });
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: impl Into<String>) {
        self.change(kind, name, Some(spec.into()));
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.change(kind, name, None);
    }

    pub fn objects(&self, kind: &str) -> BTreeMap<String, (u64, String)> {
        let objects = self.objects.0.lock().unwrap();
        objects.as_of(kind, objects.revision)
    }

    fn change(&self, kind: &str, name: &str, spec: Option<String>) -> u64 {
        let mut objects = self.objects.0.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        let (kind, name) = (kind.to_owned(), name.to_owned());
        objects.log.push(Change { revision, at: Instant::now(), kind, name, spec });
        self.objects.1.notify_all();
        revision
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let Some(rest) = path.strip_prefix("/kumquatkeel/objects/") else {
            return ("404 Not Found", "{}".into());
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let argument = |key: &str| {
            let found = query.split('&').filter_map(|p| p.split_once('='));
            found.filter(|(k, _)| *k == key).map(|(_, v)| v.to_owned()).next()
        };
        match request.method() {
            "GET" => {
                let is_stale = argument("stale_ok").as_deref() == Some("1");
                if kind == "servers" {
                    let counter = if is_stale { &self.calls.1 } else { &self.calls.0 };
                    counter.fetch_add(1, Ordering::Relaxed);
                }
                let age = if is_stale { self.stale } else { Duration::ZERO };
                match argument("watch").and_then(|w| w.parse().ok()) {
                    Some(after) => {
                        let wait = argument("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
                        self.watch(kind, after, Duration::from_millis(wait), age)
                    }
                    None => self.list(kind, &argument("after").unwrap_or_default(), age),
                }
            }
            "POST" | "PUT" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let metadata = field(&body, "metadata").unwrap_or_default();
                let named = field(&metadata, "name").unwrap_or_default();
                let named = named.trim_matches('"').to_owned();
                let name = if name.is_empty() { named } else { name.to_owned() };
                let expected = field(&metadata, "revision").and_then(|r| r.parse::<u64>().ok());
                let found = self.objects(kind).get(&name).cloned();
                let is_create = request.method() == "POST";
                if let Some((revision, spec)) = &found {
                    if is_create || expected.is_some_and(|e| e != *revision) {
                        return ("409 Conflict", object(&name, *revision, Some(spec)));
                    }
                } else if !is_create {
                    return ("404 Not Found", "{}".into());
                }
                let spec = field(&body, "spec").unwrap_or_else(|| "null".into());
                let revision = self.change(kind, &name, Some(spec.clone()));
                ("200 OK", object(&name, revision, Some(&spec)))
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }

    /// Returns the newest revision that is at least this old.
    fn revision_before(&self, objects: &Objects, age: Duration) -> u64 {
        if age.is_zero() {
            return objects.revision;
        }
        let known = objects.log.iter().filter(|c| c.at.elapsed() >= age);
        known.map(|c| c.revision).max().unwrap_or(100)
    }

    fn list(&self, kind: &str, after: &str, age: Duration) -> (&'static str, String) {
        let objects = self.objects.0.lock().unwrap();
        let revision = self.revision_before(&objects, age);
        let found = objects.as_of(kind, revision);
        let items: Vec<String> = (found.iter().filter(|(name, _)| name.as_str() > after))
            .map(|(name, (revision, spec))| object(name, *revision, Some(spec)))
            .collect();
        ("200 OK", format!("{{\"items\":[{}],\"truncated\":false,\"as_of\":{revision}}}", items.join(",")))
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration, age: Duration) -> (&'static str, String) {
        let end = Instant::now() + wait;
        let mut objects = self.objects.0.lock().unwrap();
        loop {
            let known = self.revision_before(&objects, age);
            let newer = objects.log.iter().filter(|c| c.kind == kind && c.revision > after && c.revision <= known);
            let events: Vec<String> = newer
                .map(|c| {
                    let object = object(&c.name, c.revision, c.spec.as_deref());
                    format!("{{\"object\":{object},\"deleted\":{}}}", c.spec.is_none())
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let known = known.max(after);
                return ("200 OK", format!("{{\"events\":[{}],\"as_of\":{known}}}", events.join(",")));
            }
            let nap = if age.is_zero() { left } else { left.min(Duration::from_millis(20)) };
            objects = self.objects.1.wait_timeout(objects, nap).unwrap().0;
        }
    }
}

fn object(name: &str, revision: u64, spec: Option<&str>) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
        spec.unwrap_or("null")
    )
}

// ---- The project's own programs ----

/// A site on loopback addresses of its own: a temporary folder, the store and the project's programs.
pub struct Site {
    pub folder: PathBuf,
    pub record: Record,
    /// First three numbers of the site's addresses.
    pub net: String,
    pub store: Store,
    port: u16,
    repository: PathBuf,
    nodes: Vec<Node>,
    servers: Vec<Server>,
}

/// One of the project's processes.
pub struct Node {
    pub name: String,
    pub role: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

/// A process of a server stand-in.
pub struct Server {
    pub id: String,
    pub child: Child,
}

const METRICS_PORTS: [(&str, &str); 2] = [("entry", "9464"), ("agent", "9465")];
pub const FRONTEND_PORT: u16 = 8149;
pub const SERVER_PORT: u16 = 8080;

impl Site {
    /// Prepares a site. `stale` is the age of answers to calls with `stale_ok`.
    pub fn start(case: &Path, stale: Duration) -> Self {
        guard();
        let repository = std::env::current_dir().unwrap();
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-2-{pid}"));
        std::fs::create_dir_all(&folder).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let net = format!("127.{}.{}", 20 + pid % 200, pid / 200 % 250);
        // The same port for datagrams and followers on each address of the site.
        let port = (0..200)
            .map(|n| 17_000 + ((pid + n * 7) % 9_000) as u16)
            .find(|port| {
                (1..40).all(|host| {
                    let ip = format!("{net}.{host}");
                    UdpSocket::bind((ip.as_str(), *port)).is_ok() && TcpListener::bind((ip.as_str(), *port)).is_ok()
                })
            })
            .unwrap_or_else(|| cannot_run("no free port"));
        let store = Store::start(&format!("{net}.1"), stale);
        Self {
            record: Record::create(case),
            folder,
            net,
            store,
            port,
            repository,
            nodes: Vec::new(),
            servers: Vec::new(),
        }
    }

    pub fn ip(&self, host: u8) -> String {
        format!("{}.{host}", self.net)
    }

    /// Starts one of the project's programs with the command of the deploy file.
    pub fn start_node(&mut self, role: &'static str, host: u8, app: Option<&str>) {
        let name = format!("{role}-{host}");
        let settings = self.folder.join(format!("{name}.yaml"));
        let (ip, zone) = (self.ip(host), "amman-a");
        let listen = if role == "entry" {
            format!("listen:\n  frontend: \"{ip}:{FRONTEND_PORT}\"\n  readiness: \"{ip}:8141\"\n")
        } else {
            "listen: {}\n".to_owned()
        };
        let (class, memory) = if role == "entry" { ("edge", 260) } else { ("side", 192) };
        let app = app.map(|a| format!("app: \"{a}\"\n")).unwrap_or_default();
        let text = format!(
            "node_name: \"{name}\"\nrole: \"{role}\"\nmachine_class: \"{class}\"\nserves:\n  - \"{class}\"\nip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"amman\"\nzones:\n  amman-a: \"amman\"\n{listen}internal_ports:\n  - {port}\n  - {last}\nseeds: []\nbootstrap: true\nloss_counts: false\nlimits:\n  cpu_quota: 0.19\n  cores: 1\n  memory_mb: {memory}\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\ndiscovery: \"platform\"\nentry: \"virtual_ip\"\nheartbeat_ms: 1200\ncontracts: [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"fleet\", \"stream\", \"engine\", \"platform\"]\nfault_tolerance:\n  machines: 2\n  zones: 0\n  regions: 0\nbounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 4000\n  ack_ms: 5000\n  catch_up_s: 4\n  drain_ms: 3000\n  grace_s: 8\n  loss_slack_ms: 200\n  config_ms: 3000\n  downgrade_ms: 250\n  outer_ms: 6000\n  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  retry_budget_slack: 58\n  recover_s: 12\n  pass_ms: 400\n  retry_after_s: 0\n  fencing_enforced: false\n  lease_ms: 3000\n  thaw_ms: 300\n  ceiling_window_s: 5\n  ceiling_over: 1.1\n{app}platform:\n  address: \"{store}\"\n  form: \"objects\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n  ttl_min_ms: 1000\n",
            port = self.port,
            last = self.port + 15,
            store = self.store.address,
        );
        std::fs::write(&settings, text).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let mut node = Node { name, role, settings, child: None };
        node.launch(&self.repository, &self.folder);
        self.nodes.push(node);
    }

    /// Sends SIGKILL to all of the project's processes at once, or to the one with this name.
    pub fn kill_nodes(&mut self, name: Option<&str>) {
        let chosen = self.nodes.iter_mut().filter(|n| name.is_none_or(|name| n.name == name));
        let mut killed = Vec::new();
        for node in chosen {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                killed.push(child);
            }
            self.record.line(format!("{}: SIGKILL", node.name));
        }
        killed.iter_mut().for_each(reap);
    }

    /// Starts the processes that were killed again, as the platform does.
    pub fn restart_nodes(&mut self) {
        for node in self.nodes.iter_mut().filter(|n| n.child.is_none()) {
            node.launch(&self.repository, &self.folder);
            self.record.line(format!("{}: started again", node.name));
        }
    }

    /// Sends SIGTERM to one of the project's processes, waits for its end and starts it again.
    pub fn roll_node(&mut self, name: &str) {
        let (repository, folder, record) = (self.repository.clone(), self.folder.clone(), self.record.clone());
        let Some(node) = self.nodes.iter_mut().find(|n| n.name == name) else {
            cannot_run("no such process");
        };
        if let Some(mut child) = node.child.take() {
            record.line(format!("{name}: SIGTERM"));
            signal("TERM", child.id());
            reap(&mut child);
        }
        node.launch(&repository, &folder);
        record.line(format!("{name}: started again"));
    }

    /// Waits until an entry is ready and serves a request.
    pub fn wait_ready(&self, hosts: &[u8]) {
        let end = Instant::now() + Duration::from_secs(20);
        for host in hosts {
            loop {
                if let Ok(stream) = TcpStream::connect((self.ip(*host).as_str(), 8141)) {
                    let mut writer = stream.try_clone().unwrap();
                    let _ = writer.write_all(b"GET /kumquatkeel/readyz HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n");
                    if read_head(&mut BufReader::new(stream)).is_some_and(|m| m.status() == 200) {
                        break;
                    }
                }
                if Instant::now() > end {
                    cannot_run("an entry did not become ready");
                }
                pause(50);
            }
        }
    }

    /// Starts a server's process. It writes what it runs to `runs.txt`.
    pub fn start_server(&mut self, id: &str, host: u8, version: &str, arguments: &[&str]) -> u64 {
        let born = unix_ms();
        let mut command = Command::new(std::env::current_exe().unwrap());
        command.args(["server", id, &format!("{}:{SERVER_PORT}", self.ip(host)), version, &born.to_string()]);
        command.arg(self.folder.join("runs.txt")).args(arguments);
        let child = command.stdin(Stdio::null()).stderr(Stdio::null()).spawn();
        let child = started(child.unwrap_or_else(|e| cannot_run(&e.to_string())));
        self.servers.retain(|s| s.id != id);
        self.servers.push(Server { id: id.to_owned(), child });
        self.record.line(format!("server {id} ({version}): started"));
        // It listens before it registers. A request may have crashed it already.
        let end = Instant::now() + Duration::from_secs(3);
        while TcpStream::connect((self.ip(host).as_str(), SERVER_PORT)).is_err() && !self.has_ended(id) {
            if Instant::now() > end {
                cannot_run("a server did not start");
            }
            pause(5);
        }
        born
    }

    /// Sends SIGKILL to a server's process.
    pub fn kill_server(&mut self, id: &str) {
        if let Some(server) = self.servers.iter_mut().find(|s| s.id == id) {
            let _ = server.child.kill();
            reap(&mut server.child);
            self.record.line(format!("server {id}: crashes"));
        }
    }

    /// Returns whether a server's process has ended.
    pub fn has_ended(&mut self, id: &str) -> bool {
        let server = self.servers.iter_mut().find(|s| s.id == id);
        let has_ended = server.is_some_and(|s| {
            let has_ended = s.child.try_wait().ok().flatten().is_some();
            if has_ended {
                reap(&mut s.child);
            }
            has_ended
        });
        has_ended
    }

    /// Returns what servers have run: time, server, version, attempt and path.
    pub fn runs(&self) -> Vec<Vec<String>> {
        let text = std::fs::read_to_string(self.folder.join("runs.txt")).unwrap_or_default();
        text.lines().map(|l| l.split(' ').map(str::to_owned).collect()).collect()
    }

    /// Ends all processes and removes the temporary folder.
    pub fn end(mut self, broken: bool) -> ! {
        for run in self.runs() {
            let at = run[0].parse().unwrap_or(0);
            self.record.line_at(at, format!("server {} ({}) {}", run[1], run[2], run[3..].join(" ")));
        }
        for server in &mut self.servers {
            let _ = server.child.kill();
            reap(&mut server.child);
        }
        for child in self.nodes.iter_mut().filter_map(|n| n.child.as_mut()) {
            let _ = child.kill();
            reap(child);
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
        std::process::exit(i32::from(broken))
    }
}

impl Node {
    fn launch(&mut self, repository: &Path, folder: &Path) {
        let log = OpenOptions::new().create(true).append(true).open(folder.join(format!("{}.log", self.name)));
        let log = log.unwrap_or_else(|e| cannot_run(&e.to_string()));
        let metrics = METRICS_PORTS.iter().find(|(role, _)| *role == self.role).unwrap().1;
        let child = Command::new(repository.join("target/deploy/kumquatkeel-node"))
            .args([self.role, "--metrics-port", metrics])
            .env("KUMQUATKEEL_CONFIG", &self.settings)
            .current_dir(repository)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        self.child = Some(started(child.unwrap_or_else(|e| cannot_run(&format!("kumquatkeel-node: {e}")))));
    }
}

// ---- Clients ----

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// Returns a new id of a client attempt.
pub fn attempt_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed))
}

/// How a client attempt ended.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 for no answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer came to its end.
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn retry_after(&self) -> Option<f64> {
        self.header("retry-after")?.parse().ok()
    }
}

/// Sends a request on a new channel and reads the answer; `chunk` gets the bytes of the body as they come, and
/// ends the attempt by returning false.
pub fn send(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
    mut chunk: impl FnMut(&[u8]) -> bool,
) -> Answer {
    let mut answer = Answer::default();
    let parsed: std::net::SocketAddr = address.parse().unwrap();
    let end = Instant::now() + limit;
    let Ok(stream) = TcpStream::connect_timeout(&parsed, limit.min(Duration::from_secs(1))) else {
        return answer;
    };
    let _ = stream.set_nodelay(true);
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    if (&stream).write_all(&bytes).is_err() {
        return answer;
    }
    let clock = stream.try_clone().unwrap();
    let patience = || {
        let left = end.saturating_duration_since(Instant::now());
        clock.set_read_timeout(Some(left.max(Duration::from_millis(1)))).is_ok() && !left.is_zero()
    };
    let mut reader = BufReader::new(stream);
    patience();
    let Some(head) = read_head(&mut reader) else {
        return answer;
    };
    answer.status = head.status();
    answer.headers = head.headers.clone();
    let chunked = head.header("transfer-encoding").is_some_and(|t| t.contains("chunked"));
    if !chunked {
        let length = head.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0usize);
        let mut body = vec![0; length];
        answer.whole = patience() && reader.read_exact(&mut body).is_ok();
        answer.body = body;
        return answer;
    }
    loop {
        let mut line = String::new();
        if !patience() || reader.read_line(&mut line).unwrap_or(0) == 0 {
            return answer;
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
            return answer;
        };
        let mut data = vec![0; size + 2];
        if !patience() || reader.read_exact(&mut data).is_err() {
            return answer;
        }
        if size == 0 {
            answer.whole = true;
            return answer;
        }
        answer.body.extend_from_slice(&data[..size]);
        if !chunk(&data[..size]) {
            return answer;
        }
    }
}

/// An event of a stream, as a client got it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    pub id: u64,
    pub server: String,
    pub version: String,
    /// The client attempt that brought it.
    pub attempt: String,
}

/// Returns the events in a body: `id: N`, `data: SERVER VERSION`.
pub fn events_of(body: &[u8], attempt: &str) -> Vec<Event> {
    let text = String::from_utf8_lossy(body);
    let mut events = Vec::new();
    for part in text.split("\n\n") {
        let id = part.lines().find_map(|l| l.strip_prefix("id: ")).and_then(|i| i.parse().ok());
        let data = part.lines().find_map(|l| l.strip_prefix("data: "));
        if let (Some(id), Some((server, version))) = (id, data.and_then(|d| d.split_once(' '))) {
            let (server, version) = (server.to_owned(), version.to_owned());
            events.push(Event { id, server, version, attempt: attempt.to_owned() });
        }
    }
    events
}

// ---- Servers ----

/// A part of a prompt on which servers crash.
pub const CRASHING_PART: &str = "dead0001";

/// What a server does, by the arguments of its process.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// The time that a plain request takes.
    pub work: Duration,
    /// The events of a stream.
    pub events: u64,
    pub gap: Duration,
    /// The models of an engine; empty for a plain server.
    pub models: Vec<String>,
    /// The models on the disk of an engine.
    pub disk: Vec<String>,
    /// The time of a load from disk.
    pub load: Duration,
}

/// The time of a load from the weight store.
const STORE_LOAD: Duration = Duration::from_millis(5_800);

/// What an engine holds and does.
#[derive(Default)]
struct Engine {
    models: Vec<String>,
    /// The number of orders accepted.
    seq: u64,
    /// The order under way: its end, whether it loads, and the model.
    order: Option<(Instant, bool, String)>,
}

impl Engine {
    /// Ends the order under way if it is due.
    fn advance(&mut self) {
        let due = self.order.take_if(|(at, ..)| Instant::now() >= *at);
        if let Some((_, load, model)) = due {
            self.models.retain(|m| *m != model);
            if load {
                self.models.push(model);
            }
        }
    }
}

/// Runs a server until it is killed: `server ID ADDRESS VERSION BORN RECORD [work=MS] [events=N] [gap=MS]
/// [models=A,B] [disk=A,B] [load=MS]`.
pub fn run_server(arguments: &[String]) -> ! {
    let [id, address, version, born, record, rest @ ..] = arguments else {
        cannot_run("arguments of a server");
    };
    let option = |name: &str| {
        let found = rest.iter().filter_map(|a| a.split_once('='));
        found.filter(|(n, _)| *n == name).map(|(_, v)| v.to_owned()).next()
    };
    let number = |name: &str, default: u64| option(name).and_then(|v| v.parse().ok()).unwrap_or(default);
    let names = |name: &str| -> Vec<String> {
        let text = option(name).unwrap_or_default();
        text.split(',').filter(|m| !m.is_empty()).map(str::to_owned).collect()
    };
    let options = ServerOptions {
        work: Duration::from_millis(number("work", 60)),
        events: number("events", 12),
        gap: Duration::from_millis(number("gap", 100)),
        models: names("models"),
        disk: names("disk"),
        load: Duration::from_millis(number("load", 600)),
    };
    let is_engine = option("models").is_some();
    let engine = Engine { models: options.models.clone(), ..Engine::default() };
    let engine = Arc::new(Mutex::new(engine));
    // A server that starts again takes its port over from the one that crashed.
    let end = Instant::now() + Duration::from_secs(3);
    let listener = loop {
        match TcpListener::bind(address.as_str()) {
            Ok(listener) => break listener,
            Err(_) if Instant::now() < end => pause(20),
            Err(error) => cannot_run(&error.to_string()),
        }
    };
    let (id, version, born) = (id.clone(), version.clone(), born.clone());
    let record = PathBuf::from(record);
    serve(listener, move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        while let Some(request) = read_request(&mut reader) {
            let note = |what: &str| {
                let attempt = request.header("x-attempt-id").unwrap_or("-");
                let line = format!("{} {id} {version} {what} {attempt} {}\n", unix_ms(), request.target());
                if let Ok(mut file) = OpenOptions::new().create(true).append(true).open(&record) {
                    let _ = file.write_all(line.as_bytes());
                }
            };
            let own = ("X-Instance-Id", id.clone());
            if request.header("x-expect-instance").is_some_and(|e| e != id) {
                if !write_response(&mut stream, "421 Misdirected Request", &[own], b"") {
                    return;
                }
                continue;
            }
            let path = request.target().to_owned();
            if path == "/healthz" {
                write_response(&mut stream, "200 OK", &[own], b"");
                continue;
            }
            if is_engine && path == "/kumquatkeel/report" {
                let mut engine = engine.lock().unwrap();
                engine.advance();
                let models: Vec<String> = (engine.models.iter())
                    .map(|m| format!("{{\"name\":\"{m}\",\"version\":1,\"adapters\":[]}}"))
                    .collect();
                let disk: Vec<String> = options.disk.iter().map(|m| format!("\"{m}\"")).collect();
                let body = format!(
                    "{{\"born\":{born},\"phase\":\"unified\",\"models\":[{}],\"busy\":{},\"seq\":{},\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":90000,\"handles\":0,\"available\":{{\"resident\":[],\"cached_on_disk\":[{}]}}}}",
                    models.join(","), engine.order.is_some(), engine.seq, disk.join(",")
                );
                let headers = [("Content-Type", "application/json".to_owned())];
                if !write_response(&mut stream, "200 OK", &headers, body.as_bytes()) {
                    return;
                }
                continue;
            }
            if is_engine && path == "/kumquatkeel/order" {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let text = |name: &str| field(&body, name).unwrap_or_default().trim_matches('"').to_owned();
                let mut engine = engine.lock().unwrap();
                engine.advance();
                let expected = text("expected").parse::<u64>().ok();
                let load = text("op") == "loading";
                let status = if engine.order.is_some() || expected.is_some_and(|e| e != engine.seq) {
                    "409 Conflict"
                } else if engine.models.contains(&text("model")) == load {
                    "200 OK"
                } else {
                    engine.seq += 1;
                    let time = match (load, options.disk.contains(&text("model"))) {
                        (true, true) => options.load,
                        (true, false) => STORE_LOAD,
                        (false, _) => Duration::ZERO,
                    };
                    engine.order = Some((Instant::now() + time, load, text("model")));
                    "202 Accepted"
                };
                note(&format!("order-{}-{}-{}", text("op"), text("model"), &status[..3]));
                write_response(&mut stream, status, &[], b"");
                continue;
            }
            let attempt = ("X-Attempt-Id", request.header("x-attempt-id").unwrap_or("").to_owned());
            if let Some(model) = request.header("x-model").filter(|_| is_engine) {
                let mut engine = engine.lock().unwrap();
                engine.advance();
                if !engine.models.iter().any(|m| m == model) {
                    drop(engine);
                    let headers = [own, attempt, ("X-Not-Executed", "1".to_owned())];
                    write_response(&mut stream, "421 Misdirected Request", &headers, b"");
                    continue;
                }
            }
            note("runs");
            // A part of a prompt may crash the server too, which then begins to write an answer.
            let prefix = request.header("x-prompt-prefix").unwrap_or("");
            if prefix.contains(CRASHING_PART) {
                let head = format!("HTTP/1.1 200 OK\r\n{}: {}\r\n", attempt.0, attempt.1);
                let _ = stream.write_all(head.as_bytes());
                std::process::abort();
            }
            if path.contains("/poison") {
                // The crash of the whole process.
                std::process::abort();
            }
            let stamp = ("X-Server-Stamp", format!("{id}.{born}"));
            if !path.contains("/stream") {
                thread::sleep(options.work);
                note("answers");
                let body = format!("done by {id}\n");
                if !write_response(&mut stream, "200 OK", &[attempt, stamp], body.as_bytes()) {
                    return;
                }
                continue;
            }
            let after = request.header("last-event-id").and_then(|e| e.parse().ok()).unwrap_or(0u64);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{}: {}\r\n{}: {}\r\n\r\n",
                attempt.0, attempt.1, stamp.0, stamp.1
            );
            if stream.write_all(head.as_bytes()).is_err() {
                return;
            }
            for event in after + 1..=options.events {
                let data = format!("id: {event}\ndata: {id} {version}\n\n");
                if stream.write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes()).is_err() {
                    return;
                }
                thread::sleep(options.gap);
            }
            if stream.write_all(b"0\r\n\r\n").is_err() {
                return;
            }
            note("ends");
        }
    });
    loop {
        thread::park();
    }
}

/// Runs a server if the arguments say so; returns the folder of the case otherwise.
pub fn case_folder() -> PathBuf {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.split_first() {
        Some((verb, rest)) if verb == "server" => run_server(rest),
        Some((folder, _)) => PathBuf::from(folder),
        None => cannot_run("no folder of a case"),
    }
}
