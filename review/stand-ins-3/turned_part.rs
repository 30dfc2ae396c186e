//! A part of prompts that was sound crashes the servers of a newer software version, after a release.

#[path = "../stand-ins-2/common.rs"]
mod common;
#[path = "../stand-ins-2/streams.rs"]
mod streams;

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::{CRASHING_PART, Message, SERVER_PORT, Site, has_trouble, pause, read_request, serve, unix_ms, write_response};
use streams::{Clients, config, engine_entry};

/// `contact_ms` and `drain_ms` of the settings.
const CONTACT_MS: u64 = 4_000;
const DRAIN_MS: u64 = 3_000;
/// Time that a server is down after a crash.
const DOWN_MS: u64 = 2_000;
/// Three check-in intervals, after which the entry of a server that crashed is removed.
const LAPSE_MS: u64 = 3_600;
/// Time between two requests with the part.
const AGAIN_MS: u64 = 500;
/// Time between two sound requests.
const SOUND_MS: u64 = 200;
const ENTRIES: [u8; 2] = [2, 3];
const OLD_HOST: u8 = 10;
const NEW_HOST: u8 = 11;
const OLD: &str = "i-a0";
/// The first part of all prompts.
const FIRST_PART: &str = "5c1e07a2";
const EVENTS: u64 = 30;
const GAP_MS: u64 = 80;

/// A server of v1, which answers prompts with any part. It says in its answers when it leaves.
fn serve_old(stream: TcpStream, born: u64, leaving: &AtomicBool) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut stream = stream;
    while let Some(request) = read_request(&mut reader) {
        let leaves = leaving.load(Ordering::SeqCst).then(|| ("Server-Leaving", "1".to_owned()));
        if !answer_old(&mut stream, &request, born, leaves) {
            return;
        }
    }
}

/// Answers a request; returns whether the channel can take another one.
fn answer_old(
    stream: &mut TcpStream,
    request: &Message,
    born: u64,
    leaves: Option<(&'static str, String)>,
) -> bool {
    let mut headers = vec![("X-Instance-Id", OLD.to_owned())];
    headers.extend(leaves);
    if request.header("x-expect-instance").is_some_and(|expected| expected != OLD) {
        return write_response(stream, "421 Misdirected Request", &headers, b"");
    }
    if request.target() == "/kumquatkeel/report" {
        let body = format!(
            "{{\"born\":{born},\"phase\":\"unified\",\"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"seq\":0,\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":90000,\"handles\":0,\"available\":{{\"resident\":[\"m0\"],\"cached_on_disk\":[\"m0\"]}}}}"
        );
        headers.push(("Content-Type", "application/json".to_owned()));
        return write_response(stream, "200 OK", &headers, body.as_bytes());
    }
    if request.target() == "/kumquatkeel/order" {
        return write_response(stream, "409 Conflict", &headers, b"");
    }
    let attempt = request.header("x-attempt-id").unwrap_or("");
    let mut head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Attempt-Id: {attempt}\r\nX-Server-Stamp: {OLD}.{born}\r\n"
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    let after = request.header("last-event-id").and_then(|e| e.parse().ok()).unwrap_or(0u64);
    for event in after + 1..=EVENTS {
        let data = format!("id: {event}\ndata: {OLD} v1\n\n");
        if stream.write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes()).is_err() {
            return false;
        }
        pause(GAP_MS);
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

fn main() {
    let case = common::case_folder();
    let mut site = Site::start(&case, Duration::ZERO);
    let record = site.record.clone();
    // With FRESH=1 no request with the part comes before the release, for comparison.
    let fresh = std::env::var("FRESH").as_deref() == Ok("1");
    site.store.put("config", "main", config(7, &["m0"]));
    let old_address = format!("{}:{SERVER_PORT}", site.ip(OLD_HOST));
    let listener = TcpListener::bind(&old_address).unwrap_or_else(|e| common::cannot_run(&e.to_string()));
    let (old_born, leaving) = (unix_ms(), Arc::new(AtomicBool::new(false)));
    let leaves = leaving.clone();
    serve(listener, move |stream| serve_old(stream, old_born, &leaves));
    let old_entry = engine_entry(&old_address, "v1", old_born, &["m0"]);
    site.store.put("servers", OLD, old_entry.clone());
    let start = |site: &mut Site, id: &str, disk: &str| {
        let (events, gap, disk) = (format!("events={EVENTS}"), format!("gap={GAP_MS}"), format!("disk={disk}"));
        let born = site.start_server(id, NEW_HOST, "v2", &["models=", &disk, &events, &gap]);
        let address = format!("{}:{SERVER_PORT}", site.ip(NEW_HOST));
        site.store.put("servers", id, engine_entry(&address, "v2", born, &[]));
    };
    for host in ENTRIES {
        site.start_node("entry", host, None);
    }
    for host in [OLD_HOST, NEW_HOST] {
        let app = format!("{}:{SERVER_PORT}", site.ip(host));
        site.start_node("agent", host, Some(&app));
    }
    site.wait_ready(&ENTRIES);
    pause(6_000);
    let clients = Clients::new(&site, &ENTRIES);
    // Sound requests: when each was sent, and whether it began at the first attempt.
    let sound: Arc<Mutex<Vec<(u64, bool)>>> = Arc::default();
    // Requests with the part: when each was sent, and whether it was whole.
    let others: Arc<Mutex<Vec<(u64, bool)>>> = Arc::default();
    let over = Arc::new(AtomicBool::new(false));
    let with_part = Arc::new(AtomicBool::new(!fresh));
    let sender = {
        let (clients, sound, over) = (clients.clone(), sound.clone(), over.clone());
        thread::spawn(move || {
            let (mut number, mut threads) = (0, Vec::new());
            while !over.load(Ordering::Relaxed) {
                pause(SOUND_MS);
                number += 1;
                let (clients, sound) = (clients.clone(), sound.clone());
                threads.push(thread::spawn(move || {
                    let name = format!("50{number:04x}");
                    let sent = unix_ms();
                    let parts = format!("{FIRST_PART}:100,{name}:100");
                    let stream = clients.stream_with(&name, "m0", &parts, 5_000, 2);
                    sound.lock().unwrap().push((sent, stream.attempts.first().is_some_and(|a| a.events > 0)));
                }));
            }
            threads.into_iter().for_each(|t| t.join().unwrap());
        })
    };
    let poison = {
        let (clients, others, over, with_part) = (clients.clone(), others.clone(), over.clone(), with_part.clone());
        thread::spawn(move || {
            let (mut number, mut threads) = (0, Vec::new());
            while !over.load(Ordering::Relaxed) {
                pause(AGAIN_MS);
                if !with_part.load(Ordering::Relaxed) {
                    continue;
                }
                number += 1;
                let (clients, others) = (clients.clone(), others.clone());
                threads.push(thread::spawn(move || {
                    // No two are alike, and each comes once.
                    let name = format!("b{number:05x}");
                    let parts = format!("{FIRST_PART}:100,{CRASHING_PART}:100,{name}:100");
                    let sent = unix_ms();
                    let stream = clients.stream_with(&name, "m0", &parts, 5_000, 1);
                    others.lock().unwrap().push((sent, stream.whole));
                }));
            }
            threads.into_iter().for_each(|t| t.join().unwrap());
        })
    };
    pause(8_000);
    let calm_end = unix_ms();
    if !has_trouble() {
        with_part.store(false, Ordering::Relaxed);
    }
    // A release: the new server starts first, empty; the old one drains.
    let mut id = "i-e0".to_owned();
    start(&mut site, &id, "");
    record.line("the server of v1 drains");
    leaving.store(true, Ordering::SeqCst);
    site.store.put("servers", OLD, old_entry.replace("\"ready\"", "\"draining\""));
    pause(DRAIN_MS + 1_000);
    site.store.remove("servers", OLD);
    record.line("the entry of the server of v1 is removed");
    // The new one holds the model after a load from the weight store.
    pause(5_000);
    let trouble = unix_ms();
    with_part.store(has_trouble(), Ordering::Relaxed);
    let mut crashes: Vec<u64> = Vec::new();
    let mut down: Option<u64> = None;
    let mut lapsing: Vec<(u64, String)> = Vec::new();
    let mut starts = 0;
    loop {
        match down {
            None if site.has_ended(&id) => {
                record.line(format!("server {id}: has crashed"));
                crashes.push(unix_ms());
                lapsing.push((unix_ms() + LAPSE_MS, id.clone()));
                down = crashes.last().copied();
            }
            Some(at) if unix_ms() >= at + DOWN_MS => {
                starts += 1;
                id = format!("i-e{starts}");
                // A restart preserves the disk.
                start(&mut site, &id, "m0");
                down = None;
            }
            _ => {}
        }
        let now = unix_ms();
        for (_, id) in lapsing.iter().filter(|(at, _)| now >= *at) {
            site.store.remove("servers", id);
        }
        lapsing.retain(|(at, _)| now < *at);
        let counted = crashes.get(4).or(crashes.last()).copied().unwrap_or(trouble);
        let from = counted + 2 * CONTACT_MS;
        let enough = crashes.len() >= 5 || now > trouble + 20_000;
        if (enough && now > from + 12_000) || now > trouble + 60_000 {
            break;
        }
        pause(10);
    }
    over.store(true, Ordering::Relaxed);
    poison.join().unwrap();
    sender.join().unwrap();
    let counted = crashes.get(4).or(crashes.last()).copied().unwrap_or(trouble);
    let from = counted + 2 * CONTACT_MS;
    let sound = sound.lock().unwrap();
    let share = |from: u64, to: u64| {
        let sent: Vec<bool> = sound.iter().filter(|(at, _)| (from..to).contains(at)).map(|(_, began)| *began).collect();
        (sent.iter().filter(|b| **b).count(), sent.len())
    };
    let (calm, after) = (share(0, calm_end), share(from, u64::MAX));
    let whole = others.lock().unwrap().iter().filter(|(at, whole)| *at < calm_end && *whole).count();
    let late = crashes.iter().filter(|at| **at > counted + CONTACT_MS).count();
    record.say(format!("requests with the part that were whole before the release: {whole}; crashes after it: {}, of which {late} later than contact_ms after the fifth", crashes.len()));
    record.say(format!("sound requests that begin at the first attempt: {} of {} before, {} of {} from 2 x contact_ms after the fifth crash", calm.0, calm.1, after.0, after.1));
    if calm.1 < 20 || after.1 < 20 || calm.0 * 10 < calm.1 * 9 {
        common::cannot_run("too few sound requests");
    }
    let broken = (after.0 as f64 / after.1 as f64) < 0.5 * (calm.0 as f64 / calm.1 as f64);
    record.say(if broken { "LOST is broken" } else { "LOST holds" });
    site.end(broken)
}
