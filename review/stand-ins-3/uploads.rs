//! Callers that send bodies within the operator's limit at the same time; see review/15/claim.txt.

mod kit;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use kit::{Node, Service, Store, answer, has_trouble, host, note, read_answer, read_call, seconds, unix_ms};

/// The memory of a process on an `edge` machine of the site.
const MEMORY_MB: u64 = 260;
/// The operator's `max_body_bytes`.
const MAX_BODY: usize = 4_194_304;
/// The largest body of the site's own callers, for the run without the disruption.
const SMALL_BODY: usize = 28_000;
/// Callers that send at once at each entry.
const UPLOADS: usize = 80;

/// Returns the resident memory of a process, in megabytes.
fn resident_mb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next()).and_then(|kb| kb.parse::<u64>().ok());
    kb.unwrap_or(0) / 1024
}

fn start_server(id: &'static str, address: SocketAddr, runs: Arc<Mutex<Vec<String>>>) {
    Service::start(address, move |mut stream: TcpStream, _| {
        let mut buffer = Vec::new();
        while let Ok(Some(call)) = read_call(&mut stream, &mut buffer) {
            let attempt = call.header("x-attempt-id").unwrap_or_default().to_owned();
            if call.header("x-expect-instance").is_some_and(|expected| expected != id) {
                let headers = [("X-Instance-Id", id), ("X-Not-Executed", "1"), ("X-Attempt-Id", &*attempt)];
                let _ = answer(&mut stream, 421, &headers, b"");
                continue;
            }
            runs.lock().unwrap().push(attempt.clone());
            // The largest work time of the site's bookings.
            thread::sleep(Duration::from_millis(450));
            let headers = [("X-Attempt-Id", &*attempt), ("X-Server-Stamp", id), ("Content-Type", "text/plain")];
            if answer(&mut stream, 200, &headers, b"booked").is_err() {
                return;
            }
        }
    });
}

/// Sends a body of this size with a pause of a second in it; returns the status of the answer.
fn upload(front: SocketAddr, id: &str, size: usize) -> u16 {
    let exchange = || -> std::io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let head = format!(
            "POST /photo/{id} HTTP/1.1\r\nHost: swap.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 4000\r\n\
             Content-Length: {size}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let body = vec![b'x'; size];
        stream.write_all(&body[..size - 100])?;
        thread::sleep(Duration::from_secs(1));
        stream.write_all(&body[size - 100..])?;
        Ok(read_answer(&mut stream)?.status)
    };
    exchange().unwrap_or(0)
}

fn main() {
    kit::open_record();
    let trouble = has_trouble();
    let size = if trouble { MAX_BODY } else { SMALL_BODY };
    note(format!("trouble: {trouble}, bodies of {size} bytes"));
    let store = Store::start((host(0, 1), 8142).into());
    let config = format!(
        r#"{{"version":7,"routes":[
        {{"name":"r-book","hostname":"swap.example","path_prefix":"/book/","route_kind":"non_idempotent","deadline_ms":4000,"goal_ms":400,"priority":2,"service":"swap-desk","attempts":1}},
        {{"name":"r-photo","hostname":"swap.example","path_prefix":"/photo/","route_kind":"idempotent","deadline_ms":4000,"goal_ms":400,"priority":2,"service":"swap-desk","attempts":2}}],
        "services":[{{"name":"swap-desk","health_path":"/healthz","max_conns":370}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":{MAX_BODY},"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    );
    store.put("config", b"main", &config);
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let born = unix_ms();
    for (n, id) in ["i-0d000001", "i-0d000002", "i-0d000003"].into_iter().enumerate() {
        let address = SocketAddr::from((host(2, n as u8 + 1), 8501));
        start_server(id, address, runs.clone());
        let entry = format!(
            "{{\"service\":\"swap-desk\",\"address\":\"{address}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\
             \"cold_left_ms\":0,\"seq\":1,\"born\":{born}}}"
        );
        store.put("servers", id.as_bytes(), &entry);
    }
    let nodes: Vec<Arc<Mutex<Node>>> = (1..=2)
        .map(|n| Arc::new(Mutex::new(Node::start("entry", &format!("edge-{n}"), host(1, n), store.address))))
        .collect();
    for node in &nodes {
        node.lock().unwrap().wait_until_ready();
    }
    let fronts: Vec<SocketAddr> = nodes.iter().map(|node| node.lock().unwrap().frontend()).collect();
    let done = Arc::new(AtomicBool::new(false));
    let peak = Arc::new(AtomicU64::new(0));
    let ends: Arc<Mutex<Vec<(String, f64)>>> = Arc::default();
    // The platform: ends a process that exceeds its memory, and starts it again after a short delay.
    let platform: Vec<_> = nodes
        .iter()
        .map(|node| {
            let (node, done, peak, ends) = (node.clone(), done.clone(), peak.clone(), ends.clone());
            thread::spawn(move || {
                while !done.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(10));
                    let mut node = node.lock().unwrap();
                    let used = resident_mb(node.pid());
                    peak.fetch_max(used, Ordering::SeqCst);
                    if used > MEMORY_MB {
                        note(format!("{} holds {used} MB of {MEMORY_MB}: ended by the platform", node.name));
                        ends.lock().unwrap().push((node.name.clone(), seconds()));
                        node.stop();
                        thread::sleep(Duration::from_millis(500));
                        node.start_again();
                    }
                }
            })
        })
        .collect();
    // Bookings on kept channels.
    let number = Arc::new(AtomicU64::new(0));
    let cut: Arc<Mutex<Vec<String>>> = Arc::default();
    let booked = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for client in 0..16_usize {
        let (number, cut, booked, fronts, done) = (number.clone(), cut.clone(), booked.clone(), fronts.clone(), done.clone());
        clients.push(thread::spawn(move || {
            let mut channel: Option<(TcpStream, u32)> = None;
            while !done.load(Ordering::SeqCst) {
                if channel.is_none() {
                    let stream = TcpStream::connect_timeout(&fronts[client % fronts.len()], Duration::from_secs(1)).ok();
                    let Some(stream) = stream else {
                        thread::sleep(Duration::from_millis(200));
                        continue;
                    };
                    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
                    channel = Some((stream, 0));
                }
                let Some((stream, answered)) = channel.as_mut() else { continue };
                let id = format!("a{:015x}", number.fetch_add(1, Ordering::Relaxed));
                let head = format!(
                    "POST /book/{id} HTTP/1.1\r\nHost: swap.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 4000\r\n\
                     Content-Length: 8\r\n\r\none swap"
                );
                let sent = stream.write_all(head.as_bytes());
                let found = sent.and_then(|()| read_answer(stream));
                match found {
                    Ok(found) if found.status > 0 => {
                        booked.fetch_add(u64::from(found.status == 200), Ordering::SeqCst);
                        *answered += 1;
                    }
                    _ => {
                        let kept = *answered > 0;
                        note(format!("client: booking {id} got no answer, its channel ended; kept before: {kept}"));
                        if kept {
                            cut.lock().unwrap().push(id);
                        }
                        channel = None;
                    }
                }
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    kit::sleep_until(3.0);
    // Rounds of uploads, some seconds apart.
    let statuses: Arc<Mutex<std::collections::BTreeMap<u16, u64>>> = Arc::default();
    for round in 0..4 {
        kit::sleep_until(3.0 + f64::from(round) * 8.0);
        note(format!("round {round}: {UPLOADS} callers at each entry send {size} bytes each"));
        let mut senders = Vec::new();
        for n in 0..UPLOADS {
            for (front_index, front) in fronts.iter().copied().enumerate() {
                let statuses = statuses.clone();
                let id = format!("u{round}{front_index}{n:013x}");
                senders.push(thread::spawn(move || {
                    let status = upload(front, &id, size);
                    *statuses.lock().unwrap().entry(status).or_default() += 1;
                }));
            }
        }
        for sender in senders {
            let _ = sender.join();
        }
    }
    kit::sleep_until(36.0);
    done.store(true, Ordering::SeqCst);
    for thread in clients.into_iter().chain(platform) {
        let _ = thread.join();
    }
    let runs = runs.lock().unwrap();
    let cut = cut.lock().unwrap();
    let lost: Vec<&String> = cut.iter().filter(|id| runs.contains(id)).collect();
    for id in &lost {
        note(format!("LOST: booking {id} was passed on to a sound server, and its kept channel ended without an answer"));
    }
    let ends = ends.lock().unwrap();
    let summary = format!(
        "processes ended as their memory was over {MEMORY_MB} MB: {} ({:?}); largest memory {} MB; bookings passed on from kept \
         channels that ended without an answer: {} (3 allowed); booked {}; uploads answered {:?}",
        ends.len(),
        ends.iter().map(|(name, at)| format!("{name} at {at:.1}")).collect::<Vec<_>>(),
        peak.load(Ordering::SeqCst),
        lost.len(),
        booked.load(Ordering::SeqCst),
        statuses.lock().unwrap()
    );
    note(&summary);
    println!("{summary}");
    let status = match (booked.load(Ordering::SeqCst), lost.len()) {
        (0..50, _) => 2,
        (_, 0..=3) => 0,
        _ => 1,
    };
    drop(nodes);
    std::process::exit(status);
}
