//! Servers that start again under their ids with a newer software version; see review/12/claim.txt.

mod kit;

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use kit::{APP, Node, Service, Store, answer, has_trouble, host, note, read_call, seconds, unix_ms};

const EVENTS: u64 = 50;
const PAUSE: Duration = Duration::from_millis(100);

struct Server {
    number: u8,
    address: SocketAddr,
    store: Store,
    service: Mutex<Option<Service>>,
    served: AtomicU64,
}

impl Server {
    fn id(&self, version: u64, new_ids: bool) -> String {
        let start = if new_ids { version } else { 1 };
        format!("i-0d{:02x}{start:04x}", self.number)
    }

    fn start(self: &Arc<Self>, version: u64, new_ids: bool) {
        let (id, born) = (self.id(version, new_ids), unix_ms());
        note(format!("server {id} starts with software v{version}, born {born}"));
        let (own, own_id) = (self.clone(), id.clone());
        let service = Service::start(self.address, move |stream, service| {
            own.serve(stream, &service, &own_id, version);
        });
        *self.service.lock().unwrap() = Some(service);
        let entry = format!(
            "{{\"service\":\"draft-desk\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v{version}\",\"slots\":64,\"state\":\"ready\",\
             \"cold_left_ms\":0,\"seq\":1,\"born\":{born}}}",
            self.address
        );
        self.store.put("servers", id.as_bytes(), &entry);
    }

    fn stop(&self) {
        if let Some(service) = self.service.lock().unwrap().take() {
            service.stop();
        }
    }

    fn serve(&self, mut stream: TcpStream, service: &Service, id: &str, version: u64) {
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
            let last: u64 = call.header("last-event-id").and_then(|l| l.parse().ok()).unwrap_or(0);
            if last > 0 {
                note(format!("{id} v{version} goes on with {attempt} after event {last}"));
            }
            self.served.fetch_add(1, Ordering::SeqCst);
            let head = format!(
                "HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\n\
                 X-Server-Stamp: {id}\r\n\r\n"
            );
            if stream.write_all(head.as_bytes()).is_err() {
                return;
            }
            for n in last + 1..=EVENTS {
                thread::sleep(PAUSE);
                let event = format!("id: {n}\ndata: by v{version}\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                if service.is_stopped() || stream.write_all(chunk.as_bytes()).is_err() {
                    return;
                }
            }
            if stream.write_all(b"0\r\n\r\n").is_err() {
                return;
            }
        }
    }
}

/// A model server that holds one model and gets no requests, beside an agent.
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

/// Reads a stream; returns the versions of its events, their number and whether it ended in order.
fn read_stream(front: SocketAddr, id: &str) -> (BTreeSet<String>, u64, bool) {
    let mut text = String::new();
    let mut exchange = || -> std::io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        let head = format!(
            "POST /draft/{id} HTTP/1.1\r\nHost: swap.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 15000\r\nConnection: close\r\n\
             Content-Length: 2\r\n\r\n{{}}"
        );
        stream.write_all(head.as_bytes())?;
        let mut part = [0; 4096];
        loop {
            let size = stream.read(&mut part)?;
            if size == 0 {
                return Ok(());
            }
            text.push_str(&String::from_utf8_lossy(&part[..size]));
        }
    };
    let _ = exchange();
    let versions = text.lines().filter_map(|line| line.strip_prefix("data: by ")).map(str::to_owned);
    let count = text.lines().filter(|line| line.starts_with("id: ")).count();
    let whole = text.starts_with("HTTP/1.1 200") && text.ends_with("0\r\n\r\n");
    (versions.collect(), count as u64, whole)
}

fn main() {
    kit::open_record();
    let trouble = has_trouble();
    let new_ids = std::env::var("NEW_IDS").is_ok_and(|value| value == "1");
    note(format!("trouble: {trouble}, new ids: {new_ids}"));
    // How old the content is that calls with `stale_ok` get.
    let stale_ms = std::env::var("STALE_MS").ok().and_then(|text| text.parse().ok()).unwrap_or(2_000);
    let store = Store::with_stale_reads((host(0, 1), 8142).into(), Duration::from_millis(stale_ms));
    let config = r#"{"version":7,"routes":[
        {"name":"r-draft","hostname":"swap.example","path_prefix":"/draft/","route_kind":"streaming","deadline_ms":15000,"goal_ms":600,"priority":0,"service":"draft-desk","attempts":3,"resumable":true,"gap_goal_ms":200},
        {"name":"r-check","hostname":"swap.example","path_prefix":"/check/","route_kind":"streaming","deadline_ms":12000,"goal_ms":5000,"priority":1,"service":"puzzle-assist","attempts":2,"affinity":true,"resumable":true,"gap_goal_ms":200}],
        "services":[{"name":"draft-desk","health_path":"/healthz","max_conns":110},
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
    let servers: Vec<Arc<Server>> = (1..=3)
        .map(|number| {
            Arc::new(Server {
                number,
                address: (host(2, number), 8501).into(),
                store: store.clone(),
                service: Mutex::default(),
                served: AtomicU64::default(),
            })
        })
        .collect();
    for server in &servers {
        server.start(1, new_ids);
    }
    thread::sleep(Duration::from_millis(2_500));
    let agents: Vec<Node> =
        (1..=3).map(|n| Node::start("agent", &format!("side-{n}"), host(3, n), store.address)).collect();
    let entries: Vec<Node> =
        (1..=2).map(|n| Node::start("entry", &format!("edge-{n}"), host(1, n), store.address)).collect();
    for entry in &entries {
        entry.wait_until_ready();
    }
    kit::sleep_until(8.0);
    let fronts: Vec<SocketAddr> = entries.iter().map(Node::frontend).collect();
    let number = Arc::new(AtomicU64::new(0));
    let results: Arc<Mutex<Vec<(String, BTreeSet<String>, u64, bool)>>> = Arc::default();
    let clients: Vec<_> = (0..24_u64)
        .map(|client| {
            let (number, fronts, results) = (number.clone(), fronts.clone(), results.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(client * 150));
                while seconds() < 30.0 {
                    let n = number.fetch_add(1, Ordering::Relaxed);
                    let id = format!("a{n:015x}");
                    let (versions, events, whole) = read_stream(fronts[n as usize % fronts.len()], &id);
                    note(format!("client: {id}: {events} events of {versions:?}, whole: {whole}"));
                    results.lock().unwrap().push((id, versions, events, whole));
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    if trouble {
        // The servers start again with newer software, one after the other.
        let down: f64 = std::env::var("DOWN").ok().and_then(|text| text.parse().ok()).unwrap_or(2.0);
        let gap: f64 = std::env::var("GAP").ok().and_then(|text| text.parse().ok()).unwrap_or(2.5);
        for (index, server) in servers.iter().enumerate() {
            kit::sleep_until(16.0 + gap * index as f64);
            note(format!("server {} stops", server.id(1, new_ids)));
            server.stop();
            thread::sleep(Duration::from_secs_f64(down));
            if new_ids {
                store.remove("servers", server.id(1, new_ids).as_bytes());
            }
            server.start(2, new_ids);
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let results = results.lock().unwrap();
    let mixed: Vec<_> = results.iter().filter(|(_, versions, _, _)| versions.len() > 1).collect();
    for (id, versions, events, whole) in &mixed {
        note(format!("ORDER: {id} holds events of {versions:?} ({events} events, whole: {whole})"));
    }
    let whole = results.iter().filter(|(_, _, events, whole)| *whole && *events == EVENTS).count();
    let summary = format!(
        "streams {}, whole {whole}; with events of two software versions {} (2 allowed)",
        results.len(),
        mixed.len()
    );
    note(&summary);
    println!("{summary}");
    let status = match (whole, mixed.len()) {
        (0..20, _) => 2,
        (_, 0..=2) => 0,
        _ => 1,
    };
    drop(entries);
    drop(agents);
    std::process::exit(status);
}
