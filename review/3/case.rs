//! The entries are stopped and started in turn, as planned, while clients read streams. Nothing else happens.
//! A request that is sent later than 3 s after SIGTERM is not excused by a server that is still at work.
//!
//! A small deployment: two entries behind the platform's balancer, and two engines with their agents. Clients
//! keep their channels for further requests. The engines are sound and in time: an event of two tokens every
//! 100 ms, where the route's `gap_goal_ms` is 200.

#[path = "../stand-ins/common.rs"]
mod common;

use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{
    BROKEN, HELD, Message, Network, Node, Record, Site, Store, Wire, answer, attempt_id, chance,
    fail, finish, has_trouble, random, serve, unix_ms, wait_for,
};

const CLIENTS: usize = 120;
/// Tokens of an event, the fewest and the most events of a stream, and the pauses before its first event and
/// between two of them.
const EVENT_TOKENS: u64 = 2;
const MIN_EVENTS: u64 = 20;
const MAX_EVENTS: u64 = 60;
const FIRST: Duration = Duration::from_millis(150);
const PAUSE: Duration = Duration::from_millis(100);
/// The time budget of a client, and the route's.
const DEADLINE: Duration = Duration::from_secs(15);
/// Time between two requests of a client on a kept channel; the limit of the configuration is 15 s.
const MIN_THINK: f64 = 2.0;
const MAX_THINK: f64 = 8.0;
/// The first stop and the time between two of them.
const FIRST_STOP: Duration = Duration::from_secs(9);
const STOP_INTERVAL: Duration = Duration::from_secs(14);
const STOPS: usize = 4;
/// `grace_s` and `loss_slack_ms` of the deployment.
const GRACE: Duration = Duration::from_secs(8);
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Requests that are sent later than this after SIGTERM are not excused by a server that is still at work.
const EXCUSED: Duration = Duration::from_secs(3);

/// When a server began to work on an attempt, and when it ended.
#[derive(Debug, Clone, Copy)]
struct Work {
    begun: Instant,
    ended: Option<Instant>,
    complete: bool,
}

type Works = Arc<Mutex<HashMap<String, Work>>>;

struct Engine {
    id: String,
    born: u64,
    record: Arc<Record>,
    works: Works,
}

impl Engine {
    fn serve(&self, mut wire: Wire) {
        while let Ok(request) = wire.read_message() {
            if self.respond(&mut wire, &request).is_err() {
                return;
            }
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
            return wire.write(&answer(
                "200 OK",
                "Content-Type: application/json\r\n",
                &body,
            ));
        }
        let attempt = request.header("x-attempt-id").to_owned();
        let echo = format!("X-Attempt-Id: {attempt}\r\nX-Instance-Id: {}\r\n", self.id);
        if request.header("x-expect-instance") != self.id {
            return wire.write(&answer("421 Misdirected Request", &echo, ""));
        }
        let tokens = request.header("x-token-usage").split(',').nth(1);
        let tokens: u64 = tokens.and_then(|t| t.parse().ok()).unwrap_or(0);
        let work = Work {
            begun: Instant::now(),
            ended: None,
            complete: false,
        };
        self.works.lock().unwrap().insert(attempt.clone(), work);
        self.record
            .line(&format!("server {} runs {attempt}", self.id));
        let result = self.stream(wire, &echo, tokens / EVENT_TOKENS);
        let complete = result.is_ok();
        let end = if complete {
            "ends"
        } else {
            "finds its channel closed during"
        };
        self.record
            .line(&format!("server {} {end} {attempt}", self.id));
        if let Some(work) = self.works.lock().unwrap().get_mut(&attempt) {
            work.ended = Some(Instant::now());
            work.complete = complete;
        }
        result
    }

    fn stream(&self, wire: &mut Wire, echo: &str, events: u64) -> std::io::Result<()> {
        std::thread::sleep(FIRST);
        wire.write(&format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Server-Stamp: {}.{:08x}\r\nX-Weight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id,
            random() as u32
        ))?;
        for event in 1..=events {
            let text = format!("id: {event}\ndata: t{event}\n\n");
            wire.write(&format!("{:x}\r\n{text}\r\n", text.len()))?;
            std::thread::sleep(PAUSE);
        }
        wire.write("0\r\n\r\n")
    }
}

fn config() -> &'static str {
    r#"{"version":7,"routes":[{"name":"draft","hostname":"swap.example","path_prefix":"/draft/",
    "route_kind":"streaming","deadline_ms":15000,"goal_ms":600,"priority":0,"service":"assist",
    "attempts":1,"affinity":true,"resumable":false,"gap_goal_ms":200}],
    "services":[{"name":"assist","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,
    "engine":{"slots":64,"kv_capacity":160000,"weights_mb":200000,"adapter_slots":8,"loads_per_s":1.1,
    "models":[{"name":"m","weights_mb":65000,"load_s":5.8,"adapters":0,"adapter_size_mb":12}]}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,
    "idle_timeout_ms":15000}}"#
}

/// The platform's balancer: asks each entry once a second whether it is ready, and takes it out of rotation
/// after two misses.
struct Balancer {
    entries: Vec<Arc<Node>>,
    rotation: Mutex<Vec<bool>>,
}

impl Balancer {
    fn start(entries: Vec<Arc<Node>>) -> Arc<Self> {
        let rotation = Mutex::new(vec![true; entries.len()]);
        let balancer = Arc::new(Self { entries, rotation });
        for index in 0..balancer.entries.len() {
            let balancer = balancer.clone();
            std::thread::spawn(move || {
                let mut misses = 0;
                loop {
                    misses = if balancer.entries[index].is_ready() {
                        0
                    } else {
                        misses + 1
                    };
                    balancer.rotation.lock().unwrap()[index] = misses < 2;
                    std::thread::sleep(Duration::from_secs(1));
                }
            });
        }
        balancer
    }

    /// Selects the entry of a new channel by the client. With fewer than half in rotation, all are used.
    fn select(&self, client: usize) -> usize {
        let rotation = self.rotation.lock().unwrap();
        let ready: Vec<usize> = (0..rotation.len()).filter(|i| rotation[*i]).collect();
        if ready.len() * 2 < rotation.len() {
            return client % rotation.len();
        }
        ready[client % ready.len()]
    }
}

/// A request whose channel ended without a complete answer.
#[derive(Debug, Clone)]
struct Broken {
    attempt: String,
    entry: usize,
    /// When its last byte was sent, and when the channel ended.
    sent: Instant,
    ended: Instant,
}

#[derive(Default)]
struct Tally {
    complete: usize,
    refused: usize,
    other: usize,
    broken: Vec<Broken>,
}

/// How an answer ended.
enum Ending {
    /// Complete, with this status; whether the channel may be kept.
    Answer(u16, bool),
    Broken,
}

fn send(wire: &mut Wire, attempt: &str, client: usize) -> std::io::Result<()> {
    let events = MIN_EVENTS + random() % (MAX_EVENTS - MIN_EVENTS + 1);
    let tokens = events * EVENT_TOKENS;
    let _ = wire.stream.set_read_timeout(Some(DEADLINE));
    wire.write(&format!(
        "POST /draft/2f HTTP/1.1\r\nHost: swap.example\r\nX-Attempt-Id: {attempt}\r\nX-Model: m\r\n\
         X-Token-Usage: 1110,{tokens}\r\nX-Prompt-Prefix: 5c1e07a2:350,{client:08x}:760\r\n\
         X-Deadline-Ms: {}\r\nContent-Length: 5\r\n\r\ndraft",
        DEADLINE.as_millis()
    ))
}

fn receive(wire: &mut Wire) -> Ending {
    let Ok(head) = wire.read_head() else {
        return Ending::Broken;
    };
    let keeps = !head.header("connection").eq_ignore_ascii_case("close");
    if !head.header("transfer-encoding").is_empty() {
        loop {
            match wire.read_chunk() {
                Ok(Some(_)) => {}
                Ok(None) => return Ending::Answer(head.status(), keeps),
                Err(_) => return Ending::Broken,
            }
        }
    }
    // A refusal: its body is short, and the channel is not used again.
    Ending::Answer(head.status(), false)
}

fn run_client(
    client: usize,
    balancer: &Balancer,
    stop: &AtomicBool,
    record: &Record,
    tally: &Mutex<Tally>,
) {
    let mut kept: Option<(Wire, usize)> = None;
    std::thread::sleep(Duration::from_secs_f64(MAX_THINK * chance()));
    while !stop.load(Ordering::Relaxed) {
        let (mut wire, entry) = match kept.take().filter(|(wire, _)| !wire.is_closed()) {
            Some(kept) => kept,
            None => {
                let entry = balancer.select(client);
                let address = balancer.entries[entry].frontend();
                match Wire::connect(address, Duration::from_secs(1)) {
                    Ok(wire) => (wire, entry),
                    Err(_) => {
                        std::thread::sleep(Duration::from_millis(300));
                        continue;
                    }
                }
            }
        };
        let attempt = attempt_id();
        if send(&mut wire, &attempt, client).is_err() {
            continue;
        }
        let sent = Instant::now();
        let name = &balancer.entries[entry].name;
        record.line(&format!("client {client} sends {attempt} to {name}"));
        let ending = receive(&mut wire);
        let ended = Instant::now();
        match ending {
            Ending::Answer(200, keeps) => {
                record.line(&format!("client {client}: {attempt} is complete"));
                tally.lock().unwrap().complete += 1;
                kept = keeps.then_some((wire, entry));
            }
            Ending::Answer(status, _) => {
                record.line(&format!("client {client} gets {status} for {attempt}"));
                let mut tally = tally.lock().unwrap();
                if status == 503 {
                    tally.refused += 1;
                } else {
                    tally.other += 1;
                }
                drop(tally);
                std::thread::sleep(Duration::from_millis(300));
                continue;
            }
            Ending::Broken => {
                record.line(&format!("client {client}: the channel of {attempt} ends"));
                let broken = Broken {
                    attempt,
                    entry,
                    sent,
                    ended,
                };
                tally.lock().unwrap().broken.push(broken);
            }
        }
        let think = MIN_THINK + (MAX_THINK - MIN_THINK) * chance();
        std::thread::sleep(Duration::from_secs_f64(think));
    }
}

/// Returns why a broken request breaks the rule; `None` if it is excused.
fn judge(
    broken: &Broken,
    stops: &[(usize, Instant)],
    works: &HashMap<String, Work>,
) -> Option<String> {
    let window = GRACE + Duration::from_secs(1);
    let stop = stops.iter().find(|(entry, at)| {
        *entry == broken.entry && broken.ended >= *at && broken.ended <= *at + window
    });
    let at = stop?.1;
    let work = works.get(&broken.attempt);
    // A request that crosses the close and isn't passed on doesn't count, unless it was held for long.
    if work.is_none() && broken.ended < broken.sent + LOSS_SLACK {
        return None;
    }
    if broken.ended >= broken.sent + DEADLINE {
        return None;
    }
    let server_ended = work.and_then(|work| work.ended);
    let last_sixth = at + GRACE * 5 / 6;
    let at_work = work.is_some() && server_ended.is_none_or(|ended| ended >= last_sixth);
    if at_work && broken.sent <= at + EXCUSED {
        return None;
    }
    let sent_after = broken.sent.saturating_duration_since(at);
    let ended_after = broken.ended.saturating_duration_since(at);
    let work = work.map_or("not passed on".to_owned(), |work| {
        format!(
            "passed on to a server {:?} after it was sent",
            work.begun - broken.sent
        )
    });
    Some(format!(
        "LOST: {} was sent {sent_after:?} after SIGTERM, {work}, and its channel ended {ended_after:?} after \
         SIGTERM without a complete answer",
        broken.attempt
    ))
}

/// Stops an entry as the platform does, and starts it again.
fn restart(entry: &Node, record: &Record) -> Instant {
    let at = Instant::now();
    record.line(&format!("SIGTERM to {}", entry.name));
    entry.signal("TERM");
    while !entry.has_ended() {
        if at.elapsed() >= GRACE {
            record.line(&format!("SIGKILL to {}", entry.name));
            break;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    record.line(&format!(
        "{} has ended {:?} after SIGTERM",
        entry.name,
        at.elapsed()
    ));
    entry.kill();
    std::thread::sleep(Duration::from_millis(500));
    record.line(&format!("{} starts again", entry.name));
    entry.start();
    at
}

fn main() {
    let record = Record::create();
    let network = Network::find(5);
    let store = Store::start(network.host(5), Duration::ZERO);
    store.put("config", "main", config());
    let works = Works::default();
    let site = Site::new(network, store.address);
    let mut agents = Vec::new();
    for machine in [3, 4] {
        let Ok(listener) = TcpListener::bind((network.host(machine), 0)) else {
            fail("no address")
        };
        let address = listener.local_addr().unwrap();
        let engine = Engine {
            id: format!("i-assist{machine}"),
            born: unix_ms(),
            record: record.clone(),
            works: works.clone(),
        };
        let spec = format!(
            "{{\"service\":\"assist\",\"address\":\"{address}\",\"zone\":\"amman-a\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"phase\":\"unified\",\"born\":{},\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":0}}",
            engine.born
        );
        store.put("servers", &engine.id, &spec);
        serve(listener, move |wire| engine.serve(wire));
        agents.push(site.agent(machine, address));
    }
    let entries = vec![site.entry(1), site.entry(2)];
    wait_for("the entries are ready", Duration::from_secs(20), || {
        entries.iter().all(|entry| entry.is_ready())
    });
    std::thread::sleep(Duration::from_secs(2));

    let balancer = Balancer::start(entries.clone());
    let (stop, tally) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(Mutex::new(Tally::default())),
    );
    let begin = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (balancer, stop) = (balancer.clone(), stop.clone());
            let (record, tally) = (record.clone(), tally.clone());
            std::thread::spawn(move || run_client(client, &balancer, &stop, &record, &tally))
        })
        .collect();
    let mut stops = Vec::new();
    for number in 0..STOPS {
        let at = begin + FIRST_STOP + STOP_INTERVAL * number as u32;
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        if has_trouble() {
            let entry = number % entries.len();
            stops.push((entry, restart(&entries[entry], &record)));
        }
    }
    std::thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    std::thread::sleep(Duration::from_millis(300));
    let (tally, works) = (tally.lock().unwrap(), works.lock().unwrap());
    let lost: Vec<String> = tally
        .broken
        .iter()
        .filter_map(|broken| judge(broken, &stops, &works))
        .collect();
    for text in &lost {
        record.line(text);
    }
    record.say(&format!(
        "streams complete {}, refused {}, other failures {}, channels ended without a complete answer {}",
        tally.complete,
        tally.refused,
        tally.other,
        tally.broken.len()
    ));
    record.say(&format!("of these not excused by the rule: {}", lost.len()));
    if tally.complete < 100 {
        fail("too few streams were served");
    }
    if !has_trouble() && !tally.broken.is_empty() {
        fail("channels ended although nothing happened");
    }
    finish(if lost.is_empty() { HELD } else { BROKEN });
}
