//! Stand-ins for the platform's store, servers and clients, and the processes under test.
//!
//! Everything speaks HTTP/1.1 on loopback addresses, with one thread for each connection. The system's own
//! processes are started with the commands of `deploy/system.toml`.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime};

/// Exit code: the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code: the rule held.
pub const HELD: i32 = 0;
/// Exit code: the case could not run.
pub const UNFIT: i32 = 2;

/// Returns whether the disruption is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Random numbers of a generator that is seeded by the system.
pub fn random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    if STATE.load(Ordering::Relaxed) == 0 {
        let mut seed = [0; 8];
        let read = File::open("/dev/urandom").and_then(|mut f| f.read_exact(&mut seed));
        read.expect("random seed");
        STATE.store(u64::from_le_bytes(seed) | 1, Ordering::Relaxed);
    }
    let mut z = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Returns a number from 0 to 1.
pub fn chance() -> f64 {
    (random() >> 11) as f64 / (1_u64 << 53) as f64
}

pub fn unix_ms() -> u64 {
    let time = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    time.as_millis() as u64
}

/// Writes what was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create() -> Arc<Self> {
        let path = std::env::var("RECORD").expect("RECORD names the file");
        let file = Mutex::new(File::create(path).expect("record file"));
        let start = Instant::now();
        Arc::new(Self { file, start })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:9.4} {text}").expect("record file");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

// ---------------------------------------------------------------------------------------------------
// HTTP

/// The head of a request or an answer, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The words of the first line.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header's value, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn method(&self) -> &str {
        self.first.first().map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.first.get(1).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        let buffer = Vec::new();
        Self { stream, buffer }
    }

    pub fn connect(address: SocketAddr, limit: Duration) -> std::io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, limit)?))
    }

    /// Returns whether the peer has closed the channel, which a client checks before it uses it again.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        let _ = self.stream.set_nonblocking(true);
        let seen = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        !matches!(seen, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    fn fill(&mut self) -> std::io::Result<()> {
        let mut bytes = [0; 16 * 1024];
        let size = self.stream.read(&mut bytes)?;
        if size == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&bytes[..size]);
        Ok(())
    }

    /// Reads a head.
    pub fn read_head(&mut self) -> std::io::Result<Message> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default();
        let header = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        };
        Ok(Message {
            first: first.splitn(3, ' ').map(str::to_owned).collect(),
            headers: lines.filter_map(header).collect(),
            body: Vec::new(),
        })
    }

    /// Reads the next piece of a chunked body; `None` after the last chunk.
    pub fn read_chunk(&mut self) -> std::io::Result<Option<Vec<u8>>> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                break end;
            }
            self.fill()?;
        };
        let size = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let size = usize::from_str_radix(size.split(';').next().unwrap_or_default().trim(), 16);
        let size = size.map_err(|_| std::io::Error::from(ErrorKind::InvalidData))?;
        self.buffer.drain(..end + 2);
        let chunk = self.take(size + 2)?;
        Ok((size > 0).then(|| chunk[..size].to_vec()))
    }

    fn take(&mut self, size: usize) -> std::io::Result<Vec<u8>> {
        while self.buffer.len() < size {
            self.fill()?;
        }
        Ok(self.buffer.drain(..size).collect())
    }

    /// Reads a message that has a length or chunks, or no body.
    pub fn read_message(&mut self) -> std::io::Result<Message> {
        let mut message = self.read_head()?;
        if message.is_chunked() {
            while let Some(chunk) = self.read_chunk()? {
                message.body.extend(chunk);
            }
        } else {
            let length = message.header("content-length").parse().unwrap_or(0);
            message.body = self.take(length)?;
        }
        Ok(message)
    }

    pub fn write(&mut self, text: &str) -> std::io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }
}

fn find(bytes: &[u8], end: &[u8]) -> Option<usize> {
    bytes.windows(end.len()).position(|window| window == end)
}

/// Formats an answer with a length.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

/// Accepts connections and serves each in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(Wire) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || handle(Wire::new(stream)));
        }
    });
}

// ---------------------------------------------------------------------------------------------------
// JSON

/// Returns the fields of a JSON object, each with its value as it is written.
pub fn json_fields(text: &str) -> BTreeMap<String, String> {
    let bytes = text.as_bytes();
    let mut fields = BTreeMap::new();
    let (mut depth, mut in_text, mut escaped) = (0, false, false);
    let (mut key, mut start) = (String::new(), 0);
    for (i, byte) in bytes.iter().enumerate() {
        if in_text {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => in_text = false,
                _ => {}
            }
            continue;
        }
        let ends = depth == 1 && matches!(byte, b',' | b'}');
        if ends && !key.is_empty() {
            fields.insert(std::mem::take(&mut key), text[start..i].trim().to_owned());
        }
        match byte {
            b'"' => in_text = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth -= 1,
            b':' if depth == 1 => key = text[start..i].trim().trim_matches('"').to_owned(),
            _ => {}
        }
        if depth == 1 && matches!(byte, b'{' | b',' | b':') {
            start = i + 1;
        }
    }
    fields
}

/// Returns a JSON string without its quotes.
pub fn json_text(raw: Option<&String>) -> String {
    raw.map_or("", |raw| raw.trim_matches('"')).to_owned()
}

// ---------------------------------------------------------------------------------------------------
// The platform's store

#[derive(Debug, Clone)]
struct Change {
    revision: u64,
    at: Instant,
    kind: String,
    name: String,
    spec: String,
    status: String,
    created: u64,
    deleted: bool,
}

impl Change {
    fn object(&self) -> String {
        let Self {
            name,
            revision,
            created,
            spec,
            status,
            ..
        } = self;
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{created},\
             \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":{status}}}"
        )
    }
}

#[derive(Default)]
struct StoreState {
    changes: Vec<Change>,
    revision: u64,
}

impl StoreState {
    /// Returns the objects of a kind as of a revision.
    fn objects(&self, kind: &str, revision: u64) -> BTreeMap<String, Change> {
        let mut objects = BTreeMap::new();
        let past = self
            .changes
            .iter()
            .filter(|c| c.kind == kind && c.revision <= revision);
        for change in past {
            if change.deleted {
                objects.remove(&change.name);
            } else {
                objects.insert(change.name.clone(), change.clone());
            }
        }
        objects
    }
}

/// The platform's store. Its cheap answers may be old by `stale`.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
    stale: Duration,
}

impl Store {
    pub fn start(host: Ipv4Addr, stale: Duration) -> Arc<Self> {
        let listener = TcpListener::bind((host, 0)).expect("store address");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("store address"),
            state: Mutex::default(),
            changed: Condvar::new(),
            stale,
        });
        store.state.lock().unwrap().revision = 500;
        let server = store.clone();
        serve(listener, move |mut wire| {
            while let Ok(request) = wire.read_message() {
                let text = server.respond(&request);
                if wire.write(&text).is_err() {
                    return;
                }
            }
        });
        store
    }

    /// Creates or replaces an object, as its owner does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        self.write(&mut state, (kind, name), spec, "null", false)
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        self.write(&mut state, (kind, name), "null", "null", true);
    }

    fn write(
        &self,
        state: &mut StoreState,
        (kind, name): (&str, &str),
        spec: &str,
        status: &str,
        deleted: bool,
    ) -> u64 {
        state.revision += 1;
        let revision = state.revision;
        let known = state.objects(kind, revision).remove(name);
        state.changes.push(Change {
            revision,
            at: Instant::now(),
            kind: kind.to_owned(),
            name: name.to_owned(),
            spec: spec.to_owned(),
            status: status.to_owned(),
            created: known.map_or(revision, |known| known.created),
            deleted,
        });
        self.changed.notify_all();
        revision
    }

    fn respond(&self, request: &Message) -> String {
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let Some(rest) = path.strip_prefix("/kumquatkeel/objects/") else {
            return json_answer("404 Not Found", "{}");
        };
        let mut words = rest.split('/');
        let kind = words.next().unwrap_or_default();
        let name = words.next();
        match (request.method(), name) {
            ("GET", None) if query.contains_key("watch") => self.watch(kind, &query),
            ("GET", None) => self.list(kind, &query),
            ("GET", Some(name)) => {
                let state = self.state.lock().unwrap();
                match state.objects(kind, state.revision).get(name) {
                    Some(object) => json_answer("200 OK", &object.object()),
                    None => json_answer("404 Not Found", "{}"),
                }
            }
            ("POST" | "PUT", _) => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                self.change(kind, name, request.method() == "POST", &body)
            }
            _ => json_answer("400 Bad Request", "{}"),
        }
    }

    fn change(&self, kind: &str, name: Option<&str>, creates: bool, body: &str) -> String {
        let fields = json_fields(body);
        let meta = json_fields(fields.get("metadata").map_or("{}", |m| m));
        let name = name.map_or_else(|| json_text(meta.get("name")), str::to_owned);
        let spec = fields.get("spec").map_or("null", |spec| spec);
        let mut state = self.state.lock().unwrap();
        let known = state.objects(kind, state.revision).remove(&name);
        let expected = meta.get("revision").and_then(|r| r.parse::<u64>().ok());
        match known {
            Some(known) if creates || expected.is_some_and(|r| r != known.revision) => {
                json_answer("409 Conflict", &known.object())
            }
            None if !creates => json_answer("404 Not Found", "{}"),
            _ => {
                self.write(&mut state, (kind, &name), spec, "null", false);
                let revision = state.revision;
                let object = state.objects(kind, revision).remove(&name);
                json_answer("200 OK", &object.map(|o| o.object()).unwrap_or_default())
            }
        }
    }

    /// Returns the newest revision that an answer shows.
    fn visible(&self, state: &StoreState, query: &BTreeMap<&str, &str>) -> u64 {
        if query.get("stale_ok") != Some(&"1") {
            return state.revision;
        }
        let recent = state.changes.iter().find(|c| c.at.elapsed() < self.stale);
        recent.map_or(state.revision, |change| change.revision - 1)
    }

    fn list(&self, kind: &str, query: &BTreeMap<&str, &str>) -> String {
        let state = self.state.lock().unwrap();
        let as_of = self.visible(&state, query);
        let after = query.get("after").copied().unwrap_or_default();
        let objects = state.objects(kind, as_of);
        let items = objects.values().filter(|o| *o.name > *after);
        let items: Vec<String> = items.map(Change::object).collect();
        let items = items.join(",");
        let body = format!("{{\"items\":[{items}],\"truncated\":false,\"as_of\":{as_of}}}");
        json_answer("200 OK", &body)
    }

    fn watch(&self, kind: &str, query: &BTreeMap<&str, &str>) -> String {
        let number = |name: &str| query.get(name).and_then(|v| v.parse().ok()).unwrap_or(0);
        let since: u64 = number("watch");
        let end = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let as_of = self.visible(&state, query).max(since);
            let news = state.changes.iter();
            let news = news.filter(|c| c.kind == kind && c.revision > since && c.revision <= as_of);
            let events: Vec<String> = news
                .map(|c| format!("{{\"deleted\":{},\"object\":{}}}", c.deleted, c.object()))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let body = format!("{{\"events\":[{events}],\"as_of\":{as_of}}}");
                return json_answer("200 OK", &body);
            }
            // Cheap answers show a change later than it is made.
            let pause = left.min(Duration::from_millis(20));
            state = self.changed.wait_timeout(state, pause).unwrap().0;
        }
    }
}

fn json_answer(status: &str, body: &str) -> String {
    answer(
        status,
        "Content-Type: application/json\r\nStore-Era: 1\r\n",
        body,
    )
}

// ---------------------------------------------------------------------------------------------------
// Machines and the system's processes

/// The loopback addresses of a run: one for each machine.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    second: u8,
    third: u8,
    /// The port for traffic between daemons, which is free on all machines.
    pub internal: u16,
}

impl Network {
    /// Finds addresses that nobody uses.
    pub fn find(machines: u8) -> Self {
        for _ in 0..100 {
            let number = random();
            let mut network = Self {
                second: 16 + (number % 200) as u8,
                third: (number >> 16) as u8,
                internal: 20_000 + ((number >> 32) % 9_000) as u16,
            };
            let hosts: Vec<Ipv4Addr> = (1..=machines).map(|m| network.host(m)).collect();
            let is_free = |port: u16| {
                let free = |host: &Ipv4Addr| {
                    TcpListener::bind((*host, port)).is_ok()
                        && UdpSocket::bind((*host, port)).is_ok()
                };
                hosts.iter().all(free)
            };
            if !is_free(9_464) || !is_free(9_465) {
                continue;
            }
            for _ in 0..50 {
                if is_free(network.internal) {
                    return network;
                }
                network.internal += 1;
            }
        }
        fail("no free addresses");
    }

    /// Returns the address of a machine; the first is 1.
    pub fn host(self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, machine)
    }
}

/// The processes that were started and not ended yet. Their ids also stand in the run's folder, so that the
/// script can end them if this process is killed.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and the run.
pub fn finish(code: i32) -> ! {
    for process in PROCESSES.lock().unwrap().drain(..) {
        let _ = Command::new("kill")
            .args(["-9", &process.to_string()])
            .status();
    }
    std::process::exit(code);
}

/// Ends the run, as the case can't be shown.
pub fn fail(reason: &str) -> ! {
    println!("the case could not run: {reason}");
    finish(UNFIT);
}

/// Reserves a free port of a host.
pub fn free_port(host: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind((host, 0)).unwrap_or_else(|e| fail(&e.to_string()));
    listener
        .local_addr()
        .unwrap_or_else(|e| fail(&e.to_string()))
}

/// The part of a process of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Entry {
        frontend: SocketAddrV4,
        readiness: SocketAddrV4,
    },
    Agent {
        app: SocketAddrV4,
    },
}

/// A process of the system on a machine of its own.
pub struct Node {
    pub name: String,
    pub role: Role,
    settings: PathBuf,
    folder: PathBuf,
    child: Mutex<Option<Child>>,
    starts: AtomicU64,
}

/// What all machines of a run share.
#[derive(Debug, Clone)]
pub struct Site {
    pub network: Network,
    pub store: SocketAddr,
    pub folder: PathBuf,
}

impl Site {
    /// Creates the temporary folder of a run.
    pub fn new(network: Network, store: SocketAddr) -> Self {
        let folder = std::env::var("RUN_FOLDER").map_or_else(|_| fail("RUN_FOLDER"), PathBuf::from);
        Self {
            network,
            store,
            folder,
        }
    }

    fn settings(&self, name: &str, machine: u8, role: Role) -> String {
        let ip = self.network.host(machine);
        let (internal, store) = (self.network.internal, self.store);
        let (class, serves, listen, app) = match role {
            Role::Entry {
                frontend,
                readiness,
            } => (
                "edge",
                "  - \"edge\"\n",
                format!("\n  frontend: \"{frontend}\"\n  readiness: \"{readiness}\""),
                String::new(),
            ),
            Role::Agent { app } => (
                "side",
                "  - \"side\"\n",
                " {}".to_owned(),
                format!("app: \"{app}\"\nservice: \"assist\"\n"),
            ),
        };
        format!(
            "node_name: \"{name}\"\nrole: \"{class}\"\nmachine_class: \"{class}\"\nserves:\n{serves}\
             ip: \"{ip}\"\nzone: \"amman-a\"\nregion: \"amman\"\nzones:\n  amman-a: \"amman\"\n\
             listen:{listen}\ninternal_ports:\n  - {internal}\n  - {internal}\nseeds: []\n\
             bootstrap: true\nloss_counts: false\nlimits:\n  cpu_quota: 0.2\n  cores: 1\n\
             \x20 memory_mb: 260\n  max_fds: 4096\n  link_mbps: 1000.0\n  disk_mb: 0\n\
             data_dir: null\ndiscovery: \"platform\"\nentry: \"virtual_ip\"\nheartbeat_ms: 1200\n\
             bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 4000\n  ack_ms: 5000\n\
             \x20 catch_up_s: 4\n  drain_ms: 3000\n  grace_s: 8\n  loss_slack_ms: 200\n\
             \x20 config_ms: 3000\n  downgrade_ms: 250\n  outer_ms: 6000\n  retry_budget_ratio: 0.2\n\
             \x20 budget_window_s: 10\n  retry_budget_slack: 58\n  recover_s: 12\n  pass_ms: 400\n\
             \x20 retry_after_s: 0\n  fencing_enforced: false\n  lease_ms: 3000\n  thaw_ms: 300\n\
             \x20 ceiling_window_s: 5\n  ceiling_over: 1.1\n{app}platform:\n  address: \"{store}\"\n\
             \x20 form: \"objects\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n\
             \x20 value_bytes: 1048576\n  ttl_min_ms: 1000\n"
        )
    }

    /// Starts an entry on a machine.
    pub fn entry(&self, machine: u8) -> Arc<Node> {
        let host = self.network.host(machine);
        let port = |a: SocketAddr| SocketAddrV4::new(host, a.port());
        let (frontend, readiness) = (port(free_port(host)), port(free_port(host)));
        let role = Role::Entry {
            frontend,
            readiness,
        };
        self.node(&format!("edge-{machine}"), machine, role)
    }

    /// Starts an agent beside the server at `app`.
    pub fn agent(&self, machine: u8, app: SocketAddr) -> Arc<Node> {
        let app = SocketAddrV4::new(self.network.host(machine), app.port());
        self.node(&format!("side-{machine}"), machine, Role::Agent { app })
    }

    fn node(&self, name: &str, machine: u8, role: Role) -> Arc<Node> {
        let settings = self.folder.join(format!("{name}.yaml"));
        let text = self.settings(name, machine, role);
        std::fs::write(&settings, text).unwrap_or_else(|e| fail(&e.to_string()));
        let node = Arc::new(Node {
            name: name.to_owned(),
            role,
            settings,
            folder: self.folder.clone(),
            child: Mutex::default(),
            starts: AtomicU64::new(0),
        });
        node.start();
        node
    }
}

/// Returns the words of a role's command in the deploy file.
fn command_of(role: &str) -> Vec<String> {
    let text =
        std::fs::read_to_string("deploy/system.toml").unwrap_or_else(|e| fail(&e.to_string()));
    let section = text
        .split(&format!("[roles.{role}]"))
        .nth(1)
        .unwrap_or_default();
    let line = section.lines().find_map(|line| line.strip_prefix("run = "));
    let Some(line) = line else {
        fail("no command in the deploy file")
    };
    line.trim()
        .trim_matches('"')
        .split(' ')
        .map(str::to_owned)
        .collect()
}

impl Node {
    /// Starts the process with the command of the deploy file.
    pub fn start(&self) {
        let words = command_of(match self.role {
            Role::Entry { .. } => "entry",
            Role::Agent { .. } => "agent",
        });
        if !Path::new(&words[0]).exists() {
            fail("the build of the deploy file is missing");
        }
        let start = self.starts.fetch_add(1, Ordering::Relaxed);
        let log = self.folder.join(format!("{}-{start}.log", self.name));
        let log = File::create(log).unwrap_or_else(|e| fail(&e.to_string()));
        let mut command = Command::new(&words[0]);
        command
            .args(&words[1..])
            .env_clear()
            .env("KUMQUATKEEL_CONFIG", &self.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn();
        let child = child.unwrap_or_else(|e| fail(&e.to_string()));
        PROCESSES.lock().unwrap().push(child.id());
        let list = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("pids"));
        let _ = list.and_then(|mut list| writeln!(list, "{}", child.id()));
        *self.child.lock().unwrap() = Some(child);
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            PROCESSES
                .lock()
                .unwrap()
                .retain(|process| *process != child.id());
        }
    }

    /// Sends a signal, such as `TERM` or `STOP`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &*self.child.lock().unwrap() {
            let _ = Command::new("kill")
                .args([&format!("-{name}"), &child.id().to_string()])
                .status();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child
            .as_mut()
            .is_some_and(|c| !matches!(c.try_wait(), Ok(None)))
    }

    /// Returns the memory that the process has in use, in megabytes.
    pub fn memory_mb(&self) -> u64 {
        let id = self.child.lock().unwrap().as_ref().map(Child::id);
        let status = id.and_then(|id| std::fs::read_to_string(format!("/proc/{id}/status")).ok());
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1_000
    }

    pub fn frontend(&self) -> SocketAddr {
        match self.role {
            Role::Entry { frontend, .. } => frontend.into(),
            Role::Agent { .. } => fail("an agent has no frontend"),
        }
    }

    /// Asks the entry whether it is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        let Role::Entry { readiness, .. } = self.role else {
            return true;
        };
        let ask = || -> std::io::Result<u16> {
            let mut wire = Wire::connect(readiness.into(), Duration::from_millis(500))?;
            wire.stream
                .set_read_timeout(Some(Duration::from_millis(500)))?;
            wire.write("GET /kumquatkeel/readyz HTTP/1.1\r\nHost: platform\r\n\r\n")?;
            Ok(wire.read_message()?.status())
        };
        ask().is_ok_and(|status| status == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until `holds`; ends the run if it does not in time.
pub fn wait_for(what: &str, limit: Duration, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + limit;
    while !holds() {
        if Instant::now() > end {
            fail(&format!("waited in vain: {what}"));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns an id as clients choose it for each attempt.
pub fn attempt_id() -> String {
    format!("{:016x}", random())
}
