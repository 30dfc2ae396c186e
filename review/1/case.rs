//! A faulty server writes a second copy of some of its answers, late, where the next answer is expected.
//!
//! A small deployment: an entry, an engine with its agent, and one server of the booking service, which is
//! full at times and says so. Clients book; a booking that was refused is sent again as a new attempt.

#[path = "../stand-ins/common.rs"]
mod common;

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{
    BROKEN, HELD, Network, Record, Site, Store, Wire, answer, attempt_id, chance, fail, finish,
    has_trouble, random, serve, unix_ms, wait_for,
};

/// How long clients book.
const DURATION: Duration = Duration::from_secs(20);
const CLIENTS: usize = 16;
/// Places of the booking server, and how many more requests it queues.
const SLOTS: usize = 6;
const QUEUE: usize = 2;
/// Mean time of a booking at the server.
const WORK_MS: f64 = 15.0;
/// One way between the entry's zone and the server's.
const LINK: Duration = Duration::from_micros(1_400);
/// Share of the server's answers of which it writes a second copy.
const COPIED: f64 = 0.02;
/// The time that a client waits for an answer, and the route's.
const DEADLINE_MS: u64 = 4_000;

/// Requests in work and in the queue of the booking server.
#[derive(Default)]
struct Places {
    working: usize,
    waiting: usize,
}

struct Desk {
    id: String,
    record: Arc<Record>,
    places: Mutex<Places>,
    freed: std::sync::Condvar,
    /// The attempts that the server began to run, and how often.
    runs: Mutex<HashMap<String, usize>>,
    copies: Mutex<usize>,
}

impl Desk {
    fn serve(&self, mut wire: Wire) {
        // A copy of an answer that is still to be written on this connection.
        let mut copy: Option<String> = None;
        while let Ok(request) = wire.read_message() {
            std::thread::sleep(LINK);
            let attempt = request.header("x-attempt-id").to_owned();
            if let Some(copy) = copy.take() {
                self.record.line(&format!(
                    "server writes the copy, before it answers {attempt}"
                ));
                if wire.write(&copy).is_err() {
                    return;
                }
            }
            let text = self.answer(&attempt, request.header("x-expect-instance"));
            if has_trouble() && chance() < COPIED {
                *self.copies.lock().unwrap() += 1;
                self.record
                    .line(&format!("server will copy its answer to {attempt}"));
                copy = Some(text.clone());
            }
            std::thread::sleep(LINK);
            if wire.write(&text).is_err() {
                return;
            }
        }
    }

    fn answer(&self, attempt: &str, expected: &str) -> String {
        let echo = format!("X-Attempt-Id: {attempt}\r\nX-Instance-Id: {}\r\n", self.id);
        if expected != self.id {
            return answer("421 Misdirected Request", &echo, "");
        }
        if !self.enter() {
            self.record.line(&format!("server refuses {attempt}: full"));
            let headers = format!("{echo}X-Not-Executed: 1\r\n");
            return answer("503 Service Unavailable", &headers, "");
        }
        let runs = {
            let mut runs = self.runs.lock().unwrap();
            let count = runs.entry(attempt.to_owned()).or_default();
            *count += 1;
            *count
        };
        self.record
            .line(&format!("server runs {attempt} (run {runs})"));
        std::thread::sleep(Duration::from_secs_f64(2.0 * WORK_MS / 1_000.0 * chance()));
        self.places.lock().unwrap().working -= 1;
        self.freed.notify_one();
        let headers = format!(
            "{echo}X-Server-Stamp: {}.{:08x}\r\n",
            self.id,
            random() as u32
        );
        answer("200 OK", &headers, "booked")
    }

    /// Waits for a place; returns false if the queue is full.
    fn enter(&self) -> bool {
        let mut places = self.places.lock().unwrap();
        if places.working >= SLOTS {
            if places.waiting >= QUEUE {
                return false;
            }
            places.waiting += 1;
            while places.working >= SLOTS {
                places = self.freed.wait(places).unwrap();
            }
            places.waiting -= 1;
        }
        places.working += 1;
        true
    }
}

/// A server of model `m`, which serves nothing here but its report.
fn serve_engine(mut wire: Wire) {
    while let Ok(request) = wire.read_message() {
        let text = if request.path().starts_with("/kumquatkeel/report") {
            let body = "{\"phase\":\"unified\",\"born\":1,\"models\":[{\"name\":\"m\",\"version\":1,\
                        \"adapters\":[]}],\"busy\":false,\"seq\":0,\"queued\":0,\"active\":0,\
                        \"kv_used\":0,\"kv_total\":100000,\"handles\":0}";
            answer("200 OK", "Content-Type: application/json\r\n", body)
        } else {
            answer("421 Misdirected Request", "", "")
        };
        if wire.write(&text).is_err() {
            return;
        }
    }
}

fn config() -> &'static str {
    r#"{"version":7,"routes":[{"name":"book","hostname":"swap.example","path_prefix":"/book/",
    "route_kind":"non_idempotent","deadline_ms":4000,"goal_ms":400,"priority":2,"service":"desk",
    "attempts":1},{"name":"permit","hostname":"swap.example","path_prefix":"/permit/",
    "route_kind":"non_idempotent","deadline_ms":4000,"goal_ms":400,"priority":2,"service":"desk",
    "attempts":2}],"services":[{"name":"desk","health_path":"/healthz","max_conns":110,"protocol":"h1",
    "tls":false},{"name":"assist","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,
    "engine":{"slots":64,"kv_capacity":100000,"weights_mb":200000,"adapter_slots":8,"loads_per_s":1.1,
    "models":[{"name":"m","weights_mb":65000,"load_s":5.8,"adapters":0,"adapter_size_mb":12}]}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,
    "idle_timeout_ms":15000}}"#
}

/// The final status of each attempt; 0 for a channel that ended without an answer.
type Statuses = Arc<Mutex<HashMap<String, u16>>>;

/// Books until `end`, one booking after the other on a kept channel. A booking that was refused is sent
/// again, as a new attempt on a new channel, once the time in `Retry-After` has passed.
fn book(entry: SocketAddr, path: &str, end: Instant, record: &Record, statuses: &Statuses) {
    let mut wire: Option<Wire> = None;
    let mut retries = 0;
    while Instant::now() < end {
        let attempt = attempt_id();
        let mut channel = match wire.take() {
            Some(channel) => channel,
            None => match Wire::connect(entry, Duration::from_secs(1)) {
                Ok(channel) => channel,
                Err(_) => continue,
            },
        };
        let request = format!(
            "POST /{path}/2f HTTP/1.1\r\nHost: swap.example\r\nX-Attempt-Id: {attempt}\r\n\
             X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 4\r\n\r\nswap"
        );
        let limit = Duration::from_millis(DEADLINE_MS + 1_000);
        let _ = channel.stream.set_read_timeout(Some(limit));
        record.line(&format!("client sends {attempt} on /{path}/"));
        let reply = channel
            .write(&request)
            .and_then(|()| channel.read_message());
        let status = reply.as_ref().map_or(0, common::Message::status);
        record.line(&format!("client gets {status} for {attempt}"));
        statuses.lock().unwrap().insert(attempt, status);
        let Ok(reply) = reply else { continue };
        if status == 503 && retries == 0 {
            retries = 1;
            let pause: f64 = reply.header("retry-after").parse().unwrap_or(0.2);
            std::thread::sleep(Duration::from_secs_f64(pause.min(1.0)));
            continue;
        }
        retries = 0;
        wire = (!reply.header("connection").eq_ignore_ascii_case("close")).then_some(channel);
        std::thread::sleep(Duration::from_secs_f64(0.004 * chance()));
    }
}

fn main() {
    let record = Record::create();
    let network = Network::find(4);
    let store = Store::start(network.host(4), Duration::ZERO);
    store.put("config", "main", config());
    let desk = Arc::new(Desk {
        id: "i-desk1".to_owned(),
        record: record.clone(),
        places: Mutex::default(),
        freed: std::sync::Condvar::new(),
        runs: Mutex::default(),
        copies: Mutex::default(),
    });
    let bind = |machine: u8| TcpListener::bind((network.host(machine), 0));
    let (Ok(app), Ok(listener)) = (bind(2), bind(3)) else {
        fail("no address for a server")
    };
    let engine = app.local_addr().unwrap();
    serve(app, serve_engine);
    let address = listener.local_addr().unwrap();
    let server = desk.clone();
    serve(listener, move |wire| server.serve(wire));
    let born = unix_ms();
    let list = |id: &str, service: &str, address: SocketAddr, slots: usize, models: &str| {
        let spec = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"amman-a\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,\"born\":{born},\"seq\":0{models}}}"
        );
        store.put("servers", id, &spec);
    };
    list("i-desk1", "desk", address, SLOTS, "");
    let models =
        ",\"phase\":\"unified\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";
    list("i-assist1", "assist", engine, 64, models);
    let site = Site::new(network, store.address);
    let agent = site.agent(2, engine);
    let entry = site.entry(1);
    wait_for("the entry is ready", Duration::from_secs(20), || {
        entry.is_ready()
    });
    std::thread::sleep(Duration::from_secs(1));

    let statuses = Statuses::default();
    let end = Instant::now() + DURATION;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            // The routes differ in `attempts`: 1 and 2.
            let path = if number % 2 == 0 { "permit" } else { "book" };
            let (record, statuses, address) = (record.clone(), statuses.clone(), entry.frontend());
            std::thread::spawn(move || book(address, path, end, &record, &statuses))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    // A refused booking may also run later.
    std::thread::sleep(Duration::from_secs(2));
    if entry.has_ended() || agent.has_ended() {
        record.say("a process of the system ended by itself");
    }
    let (runs, statuses) = (desk.runs.lock().unwrap(), statuses.lock().unwrap());
    let mut counts: HashMap<u16, usize> = HashMap::new();
    for status in statuses.values() {
        *counts.entry(*status).or_default() += 1;
    }
    let refused_and_run = statuses.iter().filter(|(attempt, status)| {
        [408, 421, 429, 503].contains(*status) && runs.contains_key(*attempt)
    });
    let broken: Vec<&String> = refused_and_run.map(|(attempt, _)| attempt).collect();
    for attempt in &broken {
        record.line(&format!(
            "REFUSED: {attempt} was answered {} and has run",
            statuses[*attempt]
        ));
    }
    let twice = runs.iter().filter(|(_, count)| **count > 1);
    let twice = twice
        .inspect(|(attempt, count)| record.line(&format!("TWICE: {attempt} ran {count} times")))
        .count();
    let copies = *desk.copies.lock().unwrap();
    record.say(&format!(
        "attempts {}, answers by status {counts:?}, attempts run {}, answers copied {copies}",
        statuses.len(),
        runs.len()
    ));
    record.say(&format!(
        "refused although they have run: {}; run twice: {twice}",
        broken.len()
    ));
    if counts.get(&200).copied().unwrap_or(0) < 100 {
        fail("too few bookings were served");
    }
    finish(if broken.is_empty() && twice == 0 {
        HELD
    } else {
        BROKEN
    });
}
