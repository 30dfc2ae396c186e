//! An entry of another writer whose name can't be read; see review/11/claim.txt.

mod kit;

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use kit::{Node, Service, Store, answer, has_trouble, host, note, read_call, request, seconds, unix_ms};

/// What a server ran: its service, and the path of the request.
type Runs = Arc<Mutex<Vec<(String, String, String)>>>;

/// Starts a sound server of a plain service.
fn start_server(service: &'static str, id: &'static str, address: SocketAddr, runs: &Runs) -> Service {
    let runs = runs.clone();
    note(format!("server {id} of {service} starts at {address}"));
    Service::start(address, move |mut stream: TcpStream, own| {
        let mut buffer = Vec::new();
        while let Ok(Some(call)) = read_call(&mut stream, &mut buffer) {
            if own.is_stopped() {
                return;
            }
            let attempt = call.header("x-attempt-id").unwrap_or_default().to_owned();
            let expected = call.header("x-expect-instance").map(str::to_owned);
            if expected.as_deref().is_some_and(|expected| expected != id) {
                note(format!("{id} ({service}): {attempt} {} expects {expected:?}: 421", call.path));
                let headers = [("X-Instance-Id", id), ("X-Not-Executed", "1"), ("X-Attempt-Id", &*attempt)];
                if answer(&mut stream, 421, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            thread::sleep(Duration::from_millis(20));
            runs.lock().unwrap().push((service.to_owned(), attempt.clone(), call.path.clone()));
            if expected.is_none() {
                note(format!("{id} ({service}) RAN {attempt} {} {}, sent without X-Expect-Instance", call.method, call.path));
            }
            let body = format!("answer of {service} {id}");
            let headers = [
                ("X-Attempt-Id", &*attempt),
                ("X-Server-Stamp", id),
                ("Content-Type", "text/plain"),
            ];
            if answer(&mut stream, 200, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    })
}

fn entry_of(service: &str, address: SocketAddr, state: &str, seq: u64, born: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":6,\
         \"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":{seq},\"born\":{born}}}"
    )
}

fn main() {
    kit::open_record();
    let trouble = has_trouble();
    note(format!("trouble: {trouble}"));
    let store = Store::start((host(0, 1), 8142).into());
    let config = r#"{"version":7,"routes":[
        {"name":"r-book","hostname":"swap.example","path_prefix":"/book/","route_kind":"non_idempotent","deadline_ms":4000,"goal_ms":400,"priority":2,"service":"swap-desk","attempts":1},
        {"name":"r-board","hostname":"swap.example","path_prefix":"/board/","route_kind":"idempotent","deadline_ms":4000,"goal_ms":400,"priority":2,"service":"notice-board","attempts":2}],
        "services":[{"name":"swap-desk","health_path":"/healthz","max_conns":110},{"name":"notice-board","health_path":"/healthz","max_conns":110}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
    store.put("config", b"main", config);
    let runs: Runs = Arc::default();
    let address = |number| SocketAddr::from((host(2, number), 8501));
    let born = unix_ms();
    // Two servers of the desk, four of the board. The address of the second of the board was a desk server's before.
    let _desk1 = start_server("swap-desk", "i-0d000001", address(1), &runs);
    let _desk2 = start_server("swap-desk", "i-0d000002", address(2), &runs);
    let _board1 = start_server("notice-board", "i-0b000001", address(3), &runs);
    let board2 = start_server("notice-board", "i-0b000002", address(4), &runs);
    let _board3 = start_server("notice-board", "i-0b000003", address(5), &runs);
    let _board4 = start_server("notice-board", "i-0b000004", address(6), &runs);
    store.put("servers", b"i-0d000001", &entry_of("swap-desk", address(1), "ready", 1, born));
    store.put("servers", b"i-0d000002", &entry_of("swap-desk", address(2), "ready", 1, born));
    store.put("servers", b"i-0b000001", &entry_of("notice-board", address(3), "ready", 1, born));
    store.put("servers", b"i-0b000002", &entry_of("notice-board", address(4), "ready", 1, born));
    store.put("servers", b"i-0b000003", &entry_of("notice-board", address(5), "ready", 1, born));
    store.put("servers", b"i-0b000004", &entry_of("notice-board", address(6), "ready", 1, born));
    if trouble {
        // Another writer's entry: what the desk server said that had this address before, under a name of bytes that
        // can't be read. It names no server to use.
        let before = born - 60_000;
        store.put("servers", br"i-\u001f\u00070d000009", &entry_of("swap-desk", address(4), "ready", 1, before));
        note("another writer's entry stands in the store, its name can't be read");
    }
    let nodes: Vec<Node> = (1..=2)
        .map(|n| Node::start("entry", &format!("edge-{n}"), host(1, n), store.address))
        .collect();
    for node in &nodes {
        node.wait_until_ready();
    }
    // Clients: 10 bookings and 5 reads of the board a second, each on a new channel.
    let number = Arc::new(AtomicU64::new(0));
    let foreign: Arc<Mutex<Vec<String>>> = Arc::default();
    let served = Arc::new(AtomicU64::new(0));
    let stop_at = 16.0;
    let fronts: Vec<SocketAddr> = nodes.iter().map(Node::frontend).collect();
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let (number, foreign, served, fronts) = (number.clone(), foreign.clone(), served.clone(), fronts.clone());
            thread::spawn(move || {
                while seconds() < stop_at {
                    let n = number.fetch_add(1, Ordering::Relaxed);
                    let (method, path, service) = match client % 3 {
                        0 | 1 => ("POST", format!("/book/{n}"), "swap-desk"),
                        _ => ("GET", format!("/board/{n}"), "notice-board"),
                    };
                    let id = format!("a{n:015x}");
                    let body = if method == "POST" { "one swap" } else { "" };
                    let head = format!(
                        "{method} {path} HTTP/1.1\r\nHost: swap.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 4000\r\n\
                         Content-Length: {}\r\n\r\n",
                        body.len()
                    );
                    let front = fronts[n as usize % fronts.len()];
                    let found = request(front, &head, body.as_bytes(), Duration::from_secs(5));
                    let text = String::from_utf8_lossy(&found.body).trim().to_owned();
                    note(format!("client: {id} {method} {path} to {front}: {} {text}", found.status));
                    if found.status == 200 {
                        served.fetch_add(1, Ordering::Relaxed);
                        if !text.contains(service) {
                            foreign.lock().unwrap().push(format!("{id} {path}: {text}"));
                        }
                    }
                    thread::sleep(Duration::from_millis(380));
                }
            })
        })
        .collect();
    // It leaves without saying so: its entry is removed, and it serves on for drain_ms and a little longer.
    kit::sleep_until(8.0);
    note("the entry of i-0b000002 is removed; it serves on for a while");
    store.remove("servers", b"i-0b000002");
    kit::sleep_until(14.0);
    note("i-0b000002 ends");
    board2.stop();
    for client in clients {
        let _ = client.join();
    }
    let runs = runs.lock().unwrap();
    let prefix = |service: &str| if service == "swap-desk" { "/book/" } else { "/board/" };
    let wrong = runs.iter().filter(|(service, _, path)| !path.starts_with(prefix(service)));
    let wrong: Vec<_> = wrong.collect();
    for (service, attempt, path) in &wrong {
        note(format!("ROUTE broken: {attempt} {path} was run by a server of {service}"));
    }
    for text in foreign.lock().unwrap().iter() {
        note(format!("the client got another service's answer: {text}"));
    }
    let summary = format!(
        "requests served {}, runs {}, run by a service that no config allows {}, foreign answers to clients {}",
        served.load(Ordering::Relaxed),
        runs.len(),
        wrong.len(),
        foreign.lock().unwrap().len()
    );
    note(&summary);
    println!("{summary}");
    let status = match (served.load(Ordering::Relaxed), wrong.len()) {
        (0..50, _) => 2,
        (_, 0) => 0,
        _ => 1,
    };
    drop(nodes);
    std::process::exit(status);
}
