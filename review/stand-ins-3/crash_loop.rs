//! A request that crashes each server that begins to run it, where servers start again under their ids; see
//! review/11/claim.txt.

mod kit;

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use kit::{APP, Node, Service, Store, answer, has_trouble, host, note, read_call, request, seconds, unix_ms};

/// How long a server takes to come back after a crash.
const DOWN: Duration = Duration::from_secs(2);
const CONTACT_S: f64 = 4.0;

/// A server of the plain service, over all its starts.
struct Server {
    number: u8,
    address: SocketAddr,
    store: Store,
    seen: Arc<Seen>,
    /// Whether each start has an id of its own.
    new_ids: bool,
}

/// What all servers have seen.
#[derive(Default)]
struct Seen {
    crashes: Mutex<Vec<f64>>,
    /// The arrivals of the deadly request: when, and under which attempt.
    deadly: Mutex<Vec<(f64, String)>>,
    /// Sound requests whose run a crash ended.
    cut: AtomicU64,
    runs: AtomicU64,
}

impl Server {
    fn start(self: &Arc<Self>, start: u64) {
        let born = unix_ms();
        let id = if self.new_ids {
            format!("i-0d{:02x}{start:04x}", self.number)
        } else {
            format!("i-0d{:02x}0000", self.number)
        };
        let entry = format!(
            "{{\"service\":\"swap-desk\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\
             \"cold_left_ms\":0,\"seq\":{start},\"born\":{born}}}",
            self.address
        );
        note(format!("server {id} starts, born {born}"));
        let running = Arc::new(AtomicU64::new(0));
        let (own, own_id) = (self.clone(), id.clone());
        Service::start(self.address, move |stream, service| own.serve(stream, &service, &own_id, start, &running));
        self.store.put("servers", id.as_bytes(), &entry);
    }

    fn serve(
        self: &Arc<Self>,
        mut stream: TcpStream,
        service: &Service,
        id: &str,
        start: u64,
        running: &AtomicU64,
    ) {
        let mut buffer = Vec::new();
        while let Ok(Some(call)) = read_call(&mut stream, &mut buffer) {
            if service.is_stopped() {
                return;
            }
            let attempt = call.header("x-attempt-id").unwrap_or_default().to_owned();
            if call.header("x-expect-instance").is_some_and(|expected| expected != id) {
                let headers = [("X-Instance-Id", id), ("X-Not-Executed", "1"), ("X-Attempt-Id", &*attempt)];
                if answer(&mut stream, 421, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            if call.path == "/shelf/deadly" {
                self.seen.deadly.lock().unwrap().push((seconds(), attempt.clone()));
                self.seen.crashes.lock().unwrap().push(seconds());
                let cut = running.load(Ordering::SeqCst);
                self.seen.cut.fetch_add(cut, Ordering::SeqCst);
                note(format!("{id} begins to run {attempt} {} and crashes; {cut} runs of others end", call.path));
                service.stop();
                let (server, id) = (self.clone(), id.to_owned());
                thread::spawn(move || {
                    thread::sleep(DOWN);
                    if server.new_ids {
                        server.store.remove("servers", id.as_bytes());
                    }
                    server.start(start + 1);
                });
                return;
            }
            running.fetch_add(1, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(60));
            running.fetch_sub(1, Ordering::SeqCst);
            if service.is_stopped() {
                return;
            }
            self.seen.runs.fetch_add(1, Ordering::SeqCst);
            let headers = [("X-Attempt-Id", &*attempt), ("X-Server-Stamp", id), ("Content-Type", "text/plain")];
            if answer(&mut stream, 200, &headers, b"whole answer").is_err() {
                return;
            }
        }
    }
}

/// A model server that holds one model and gets no requests. Its agent is one of those that judge crashes.
fn start_engine(address: SocketAddr, id: String, born: u64) {
    Service::start(address, move |mut stream, _| {
        let mut buffer = Vec::new();
        while let Ok(Some(call)) = read_call(&mut stream, &mut buffer) {
            let report = format!(
                "{{\"phase\":\"unified\",\"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"seq\":0,\
                 \"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":160000,\"handles\":0,\"born\":{born},\"state\":\"ready\",\
                 \"available\":{{\"resident\":[\"m0\"],\"cached_on_disk\":[\"m0\"]}}}}"
            );
            let (status, body) = match call.route() {
                "/kumquatkeel/report" => (200, report),
                _ => (404, String::new()),
            };
            let headers = [("Content-Type", "application/json"), ("X-Instance-Id", &*id)];
            if answer(&mut stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    });
}

fn main() {
    kit::open_record();
    let trouble = has_trouble();
    let new_ids = std::env::var("NEW_IDS").is_ok_and(|value| value == "1");
    note(format!("trouble: {trouble}, new ids at each start: {new_ids}"));
    let store = Store::start((host(0, 1), 8142).into());
    let config = r#"{"version":7,"routes":[
        {"name":"r-shelf","hostname":"swap.example","path_prefix":"/shelf/","route_kind":"idempotent","deadline_ms":4000,"goal_ms":400,"priority":2,"service":"swap-desk","attempts":2},
        {"name":"r-book","hostname":"swap.example","path_prefix":"/book/","route_kind":"non_idempotent","deadline_ms":4000,"goal_ms":400,"priority":2,"service":"swap-desk","attempts":1},
        {"name":"r-draft","hostname":"swap.example","path_prefix":"/draft/","route_kind":"streaming","deadline_ms":15000,"goal_ms":600,"priority":0,"service":"puzzle-assist","attempts":1,"affinity":true,"resumable":false,"gap_goal_ms":200}],
        "services":[{"name":"swap-desk","health_path":"/healthz","max_conns":110},
        {"name":"puzzle-assist","health_path":"/healthz","max_conns":370,"engine":{"slots":64,"kv_capacity":166342,"models":[{"name":"m0","weights_mb":65100,"load_s":5.8,"adapters":0,"adapter_size_mb":12,"warm_s":0.57,"disk_s":1.2}],"weights_mb":200000,"adapter_slots":8,"loads_per_s":1.1}}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
    store.put("config", b"main", config);
    let born = unix_ms();
    for n in 1..=3 {
        let (address, id) = (SocketAddr::from((host(3, n), APP)), format!("i-0e0000{n:02x}"));
        let entry = format!(
            "{{\"service\":\"puzzle-assist\",\"address\":\"{address}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\
             \"cold_left_ms\":0,\"phase\":\"unified\",\"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[]}}],\"seq\":1,\"born\":{born}}}"
        );
        start_engine(address, id.clone(), born);
        store.put("servers", id.as_bytes(), &entry);
    }
    let seen: Arc<Seen> = Arc::default();
    let servers = std::env::var("SERVERS").ok().and_then(|text| text.parse().ok()).unwrap_or(2);
    for number in 1..=servers {
        let server = Arc::new(Server {
            number,
            address: (host(2, number), 8501).into(),
            store: store.clone(),
            seen: seen.clone(),
            new_ids,
        });
        server.start(1);
    }
    let agents: Vec<Node> =
        (1..=3).map(|n| Node::start("agent", &format!("side-{n}"), host(3, n), store.address)).collect();
    let entries: Vec<Node> =
        (1..=2).map(|n| Node::start("entry", &format!("edge-{n}"), host(1, n), store.address)).collect();
    for entry in &entries {
        entry.wait_until_ready();
    }
    kit::sleep_until(4.0);
    let fronts: Vec<SocketAddr> = entries.iter().map(Node::frontend).collect();
    let stop_at = 50.0;
    let number = Arc::new(AtomicU64::new(0));
    // Sound bookings and reads at both entries: about 12 a second.
    let counts: Arc<Mutex<std::collections::BTreeMap<u16, u64>>> = Arc::default();
    let mut clients: Vec<_> = (0..6)
        .map(|client| {
            let (number, fronts, counts) = (number.clone(), fronts.clone(), counts.clone());
            thread::spawn(move || {
                while seconds() < stop_at {
                    let n = number.fetch_add(1, Ordering::Relaxed);
                    let (method, path) =
                        if client % 2 == 0 { ("POST", format!("/book/{n}")) } else { ("GET", format!("/shelf/{n}")) };
                    let id = format!("a{n:015x}");
                    let head = format!(
                        "{method} {path} HTTP/1.1\r\nHost: swap.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 4000\r\n\
                         Content-Length: 0\r\n\r\n"
                    );
                    let found = request(fronts[n as usize % fronts.len()], &head, &[], Duration::from_secs(5));
                    note(format!("client: {id} {method} {path}: {}", found.status));
                    *counts.lock().unwrap().entry(found.status).or_default() += 1;
                    thread::sleep(Duration::from_millis(400));
                }
            })
        })
        .collect();
    if trouble {
        let fronts = fronts.clone();
        // The request that crashes servers comes again every second, with the same path, caller and body, at any
        // entry.
        clients.push(thread::spawn(move || {
            let mut n = 0_usize;
            kit::sleep_until(6.0);
            while seconds() < stop_at {
                let id = format!("d{n:015x}");
                let head = format!(
                    "GET /shelf/deadly HTTP/1.1\r\nHost: swap.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 4000\r\n\
                     Content-Length: 0\r\n\r\n"
                );
                let found = request(fronts[n % fronts.len()], &head, &[], Duration::from_secs(5));
                note(format!("client: {id} GET /shelf/deadly: {}", found.status));
                n += 1;
                thread::sleep(Duration::from_secs(1));
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let crashes = seen.crashes.lock().unwrap().clone();
    let third = crashes.get(2).copied();
    let late: Vec<(f64, String)> = match third {
        None => Vec::new(),
        Some(third) => {
            let deadly = seen.deadly.lock().unwrap();
            deadly.iter().filter(|(at, _)| *at > third + CONTACT_S).cloned().collect()
        }
    };
    for (at, attempt) in &late {
        note(format!("{attempt} reached a server at {at:.3}, later than contact_ms after the third crash"));
    }
    let summary = format!(
        "crashes {}, the third at {:?}; the deadly request reached servers {} times later than contact_ms after it (3 allowed); \
         runs of others cut {}; sound runs {}; answers {:?}",
        crashes.len(),
        third,
        late.len(),
        seen.cut.load(Ordering::SeqCst),
        seen.runs.load(Ordering::SeqCst),
        counts.lock().unwrap()
    );
    note(&summary);
    println!("{summary}");
    let status = match (seen.runs.load(Ordering::SeqCst), late.len()) {
        (0..50, _) => 2,
        (_, 0..=3) => 0,
        _ => 1,
    };
    drop(entries);
    drop(agents);
    std::process::exit(status);
}
