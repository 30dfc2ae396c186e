//! Streams that clients resume after processes of the system were stopped or killed during a release.
//!
//! Two entries, and engines of two software versions with their agents. A release replaces those of the old
//! version one after the other; the new ones start first. The old ones do not report that they drain: their
//! entries are removed, and they serve on for a while and say in all their answers that they leave.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::common::{
    BROKEN, HELD, Message, Network, Node, Record, Site, Store, Wire, answer, attempt_id, fail,
    finish, has_trouble, random, serve, unix_ms, wait_for,
};

/// Pause between two events of a stream.
const PAUSE: Duration = Duration::from_millis(150);
/// The time budget of a client, and the route's.
const DEADLINE: Duration = Duration::from_secs(12);
/// Tries of a client, with the first one.
const TRIES: usize = 3;
/// Time between the starts of two streams.
const START_INTERVAL: Duration = Duration::from_millis(3);
/// When the first server is replaced, the pause until the next one is, and the time from the entry of a new
/// server to the removal of the old one's.
const RELEASE: Duration = Duration::from_millis(1_500);
const GAP: Duration = Duration::from_millis(1_000);
const OVERLAP: Duration = Duration::from_millis(600);
/// Time from the end of the release to the kill.
const KILL_DELAY: Duration = Duration::from_millis(400);
/// Time until a process is started again.
const RESTART: Duration = Duration::from_millis(500);
/// The pause between the planned stops of two entries, and `grace_s`.
const STOP_GAP: Duration = Duration::from_millis(1_300);
const GRACE: Duration = Duration::from_secs(8);

/// What happens to the entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disruption {
    /// Both are stopped and started in turn, as planned.
    Stops,
    /// One is killed after the release, and starts again.
    Kill,
}

/// What a run does.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Servers of the old version, each of which is replaced.
    pub old: u8,
    /// Servers that have the new version from the beginning.
    pub kept: u8,
    pub streams: usize,
    /// Events of a stream.
    pub events: u64,
    pub disruption: Disruption,
}

/// A model server of one software version.
struct Engine {
    id: String,
    version: &'static str,
    events: u64,
    born: u64,
    address: SocketAddr,
    record: Arc<Record>,
    /// Whether the server leaves, which all its answers then state.
    leaves: AtomicBool,
}

impl Engine {
    fn start(
        site: Network,
        machine: u8,
        (version, events): (&'static str, u64),
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let Ok(listener) = TcpListener::bind((site.host(machine), 0)) else {
            fail("no address")
        };
        let engine = Arc::new(Self {
            id: format!("i-assist{machine}"),
            version,
            events,
            born: unix_ms(),
            address: listener.local_addr().unwrap(),
            record: record.clone(),
            leaves: AtomicBool::new(false),
        });
        let server = engine.clone();
        serve(listener, move |wire| server.serve(wire));
        engine
    }

    /// Returns the entry that the server writes.
    fn entry(&self) -> String {
        let Self {
            version,
            born,
            address,
            ..
        } = self;
        format!(
            "{{\"service\":\"assist\",\"address\":\"{address}\",\"zone\":\"amman-a\",\"version\":\"{version}\",\
             \"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"phase\":\"unified\",\"born\":{born},\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":0}}"
        )
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(request) = wire.read_message() {
            if self.respond(&mut wire, &request).is_err() {
                return;
            }
        }
    }

    /// Returns the header by which a server that leaves says so.
    fn notice(&self) -> &'static str {
        if self.leaves.load(Ordering::SeqCst) {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        }
    }

    fn respond(&self, wire: &mut Wire, request: &Message) -> std::io::Result<()> {
        if request.path().starts_with("/kumquatkeel/report") {
            let body = format!(
                "{{\"phase\":\"unified\",\"born\":{},\"models\":[{{\"name\":\"m\",\"version\":1,\
                 \"adapters\":[]}}],\"busy\":false,\"seq\":0,\"queued\":0,\"active\":0,\"kv_used\":0,\
                 \"kv_total\":160000,\"handles\":0}}",
                self.born
            );
            let headers = format!("Content-Type: application/json\r\n{}", self.notice());
            return wire.write(&answer("200 OK", &headers, &body));
        }
        let attempt = request.header("x-attempt-id");
        let echo = format!(
            "X-Attempt-Id: {attempt}\r\nX-Instance-Id: {}\r\n{}",
            self.id,
            self.notice()
        );
        if request.header("x-expect-instance") != self.id {
            return wire.write(&answer("421 Misdirected Request", &echo, ""));
        }
        let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let (id, version) = (&self.id, self.version);
        self.record.line(&format!(
            "server {id} ({version}) runs {attempt} after event {last}"
        ));
        wire.write(&format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Server-Stamp: {id}.{:08x}\r\nX-Weight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            random() as u32
        ))?;
        for event in last + 1..=self.events {
            std::thread::sleep(PAUSE);
            let text = format!("id: {event}\ndata: {version}.{event}\n\n");
            wire.write(&format!("{:x}\r\n{text}\r\n", text.len()))?;
        }
        wire.write("0\r\n\r\n")
    }
}

fn config() -> &'static str {
    r#"{"version":7,"routes":[{"name":"check","hostname":"swap.example","path_prefix":"/check/",
    "route_kind":"streaming","deadline_ms":12000,"goal_ms":5000,"priority":1,"service":"assist",
    "attempts":2,"affinity":true,"resumable":true,"gap_goal_ms":200}],
    "services":[{"name":"assist","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,
    "engine":{"slots":64,"kv_capacity":160000,"weights_mb":200000,"adapter_slots":8,"loads_per_s":1.1,
    "models":[{"name":"m","weights_mb":65000,"load_s":5.8,"adapters":0,"adapter_size_mb":12}]}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,
    "idle_timeout_ms":15000}}"#
}

/// A client's stream over all its tries.
#[derive(Default)]
struct Stream {
    /// The version that wrote each event.
    versions: Vec<String>,
    /// The attempt that brought the first event.
    first: Option<String>,
    complete: bool,
}

/// Reads one stream, with further tries until it is complete or the time budget is over.
fn read_stream(entries: &[SocketAddr], number: usize, record: &Record) -> Stream {
    let end = Instant::now() + DEADLINE;
    let mut stream = Stream::default();
    // The balancer selects an entry by a hash of the client, and not evenly.
    let home = usize::from(number % 4 == 0);
    for entry in (home..home + TRIES).map(|try_| entries[try_ % entries.len()]) {
        let left = end.saturating_duration_since(Instant::now());
        if stream.complete || left < Duration::from_millis(100) {
            break;
        }
        let pause = try_stream(entry, number, left, &mut stream, record);
        if !stream.complete {
            std::thread::sleep(pause.min(left / 3));
        }
    }
    stream
}

/// Makes one try; returns how long to wait before the next.
fn try_stream(
    entry: SocketAddr,
    number: usize,
    left: Duration,
    stream: &mut Stream,
    record: &Record,
) -> Duration {
    const PAUSE: Duration = Duration::from_millis(200);
    let attempt = attempt_id();
    let Ok(mut wire) = Wire::connect(entry, Duration::from_secs(1)) else {
        return PAUSE;
    };
    let _ = wire
        .stream
        .set_read_timeout(Some(left.min(Duration::from_secs(20))));
    let resumed = stream.first.as_ref().map(|first| {
        format!(
            "Last-Event-Id: {}\r\nResumes: {first}\r\n",
            stream.versions.len()
        )
    });
    let request = format!(
        "POST /check/2f HTTP/1.1\r\nHost: swap.example\r\nX-Attempt-Id: {attempt}\r\nX-Model: m\r\n\
         X-Token-Usage: 460,90\r\nX-Prompt-Prefix: 5c1e07a2:200,{number:08x}:260\r\n\
         X-Deadline-Ms: {}\r\n{}Content-Length: 6\r\n\r\nphotos",
        left.as_millis(),
        resumed.clone().unwrap_or_default()
    );
    let resumed = resumed.unwrap_or_default().replace("\r\n", "; ");
    record.line(&format!("client {number} sends {attempt} {resumed}"));
    let head = wire.write(&request).and_then(|()| wire.read_head());
    let Ok(head) = head else {
        record.line(&format!("client {number}: no answer to {attempt}"));
        return PAUSE;
    };
    if head.status() != 200 {
        record.line(&format!(
            "client {number} gets {} for {attempt}",
            head.status()
        ));
        let seconds = head.header("retry-after").parse().unwrap_or(0.2);
        return Duration::from_secs_f64(seconds);
    }
    let mut text = String::new();
    loop {
        match wire.read_chunk() {
            Ok(Some(chunk)) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => {
                record.line(&format!("client {number}: {attempt} is complete"));
                stream.complete = true;
                return Duration::ZERO;
            }
            Err(_) => {
                let events = stream.versions.len();
                record.line(&format!(
                    "client {number}: {attempt} broke off after event {events}"
                ));
                return PAUSE;
            }
        }
        while let Some((event, rest)) = text.split_once("\n\n") {
            let data = event.lines().find_map(|line| line.strip_prefix("data: "));
            let version = data
                .and_then(|d| d.split('.').next())
                .unwrap_or_default()
                .to_owned();
            if stream.versions.last() != Some(&version) {
                let event = event.replace('\n', " ");
                record.line(&format!(
                    "client {number}: {attempt} brings events of {version}: {event}"
                ));
            }
            stream.first.get_or_insert_with(|| attempt.clone());
            stream.versions.push(version);
            text = rest.to_owned();
        }
    }
}

/// Stops an entry as the platform does, and starts it again.
fn restart(entry: &Node, record: &Record) {
    record.line(&format!("SIGTERM to {}", entry.name));
    entry.signal("TERM");
    let end = Instant::now() + GRACE;
    while !entry.has_ended() && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(10));
    }
    entry.kill();
    record.line(&format!("{} has ended", entry.name));
    std::thread::sleep(RESTART);
    entry.start();
    record.line(&format!("{} starts again", entry.name));
}

/// Runs a plan and ends the process with the result.
pub fn run(plan: Plan) -> ! {
    let record = Record::create();
    // Two entries, the engines and the store.
    let machines = 3 + 2 * plan.old + plan.kept;
    let network = Network::find(machines);
    let store = Store::start(network.host(machines), Duration::ZERO);
    store.put("config", "main", config());
    let mut next = 3;
    let mut start = |count: u8, version: &'static str| -> Vec<Arc<Engine>> {
        let engines = next..next + count;
        next += count;
        engines
            .map(|machine| Engine::start(network, machine, (version, plan.events), &record))
            .collect()
    };
    let (old, kept) = (start(plan.old, "v1"), start(plan.kept, "v2"));
    // These are up and not listed yet.
    let new = start(plan.old, "v2");
    for engine in old.iter().chain(&kept) {
        store.put("servers", &engine.id, &engine.entry());
    }
    let site = Site::new(network, store.address);
    let mut nodes = Vec::new();
    for (machine, engine) in (3..).zip(old.iter().chain(&kept).chain(&new)) {
        nodes.push(site.agent(machine, engine.address));
    }
    let entries = [site.entry(1), site.entry(2)];
    nodes.extend(entries.iter().cloned());
    wait_for("the entries are ready", Duration::from_secs(20), || {
        entries.iter().all(|entry| entry.is_ready())
    });
    std::thread::sleep(Duration::from_secs(2));

    let begin = Instant::now();
    let wait_until = |after: Duration| {
        std::thread::sleep((begin + after).saturating_duration_since(Instant::now()));
    };
    let mut stops = Vec::new();
    if has_trouble() && plan.disruption == Disruption::Stops {
        for (number, entry) in entries.iter().rev().cloned().enumerate() {
            let record = record.clone();
            stops.push(std::thread::spawn(move || {
                std::thread::sleep(STOP_GAP * number as u32);
                restart(&entry, &record);
            }));
        }
    }
    let streams: Arc<Mutex<Vec<Stream>>> = Arc::default();
    let clients: Vec<_> = (0..plan.streams)
        .map(|number| {
            wait_until(START_INTERVAL * number as u32);
            let addresses: Vec<SocketAddr> = entries.iter().map(|e| e.frontend()).collect();
            let (record, streams) = (record.clone(), streams.clone());
            std::thread::spawn(move || {
                let stream = read_stream(&addresses, number, &record);
                streams.lock().unwrap().push(stream);
            })
        })
        .collect();
    for (number, (old, new)) in old.iter().zip(&new).enumerate() {
        wait_until(RELEASE + GAP * number as u32);
        record.line(&format!("store: {} ({}) is listed", new.id, new.version));
        store.put("servers", &new.id, &new.entry());
        std::thread::sleep(OVERLAP);
        record.line(&format!(
            "store: the entry of {} ({}) is removed",
            old.id, old.version
        ));
        old.leaves.store(true, Ordering::SeqCst);
        store.remove("servers", &old.id);
    }
    std::thread::sleep(KILL_DELAY);
    if has_trouble() && plan.disruption == Disruption::Kill {
        let entry = &entries[0];
        record.line(&format!("{} is killed", entry.name));
        entry.kill();
        std::thread::sleep(RESTART);
        record.line("it starts again");
        entry.start();
    }
    for thread in clients.into_iter().chain(stops) {
        let _ = thread.join();
    }
    if nodes.iter().any(|node| node.has_ended()) {
        record.say("a process of the system ended by itself");
    }
    let streams = streams.lock().unwrap();
    let mixed = streams.iter().filter(|stream| {
        let first = stream.versions.first();
        stream.versions.iter().any(|version| Some(version) != first)
    });
    let (mixed, complete) = (mixed.count(), streams.iter().filter(|s| s.complete).count());
    let begun = streams.iter().filter(|s| s.first.is_some()).count();
    record.say(&format!(
        "streams {}, begun {begun}, complete {complete}",
        streams.len()
    ));
    record.say(&format!(
        "streams with events of two software versions: {mixed}"
    ));
    if begun < plan.streams {
        fail("not all streams have begun");
    }
    finish(if mixed > 2 { BROKEN } else { HELD });
}
