//! A request crashes each server that begins to run it, and the servers start again under the `id` that they had.

mod common;
mod streams;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::{SERVER_PORT, Site, attempt_id, has_trouble, pause, send, unix_ms};
use streams::{Clients, config, desk_entry, engine_entry};

/// `contact_ms` of the settings.
const CONTACT_MS: u64 = 4_000;
/// Time that a server is down after a crash.
const DOWN_MS: u64 = 2_000;
/// Time after which the crashing request comes again.
const AGAIN_MS: u64 = 1_500;
const LENGTH_MS: u64 = 45_000;
const ENTRIES: [u8; 3] = [2, 3, 4];
const DESKS: [u8; 2] = [21, 22];

fn main() {
    let case = common::case_folder();
    let mut site = Site::start(&case, Duration::ZERO);
    let record = site.record.clone();
    // With NEW_IDS=1 each start of a server has an id of its own, for comparison.
    let new_ids = std::env::var("NEW_IDS").as_deref() == Ok("1");
    site.store.put("config", "main", config(7, &["m0"]));
    for host in [11, 12] {
        let id = format!("i-e{host}");
        let born = site.start_server(&id, host, "v1", &["models=m0", "disk=m0"]);
        let address = format!("{}:{SERVER_PORT}", site.ip(host));
        site.store.put("servers", &id, engine_entry(&address, "v1", born, &["m0"]));
    }
    let mut ids: Vec<String> = DESKS.iter().map(|host| format!("i-d{host}")).collect();
    let mut starts = 0;
    for (id, host) in ids.iter().zip(DESKS) {
        let born = site.start_server(id, host, "v1", &["work=60"]);
        let address = format!("{}:{SERVER_PORT}", site.ip(host));
        site.store.put("servers", id, desk_entry(&address, "v1", born));
    }
    for host in ENTRIES {
        site.start_node("entry", host, None);
    }
    for host in [11, 12] {
        let app = format!("{}:{SERVER_PORT}", site.ip(host));
        site.start_node("agent", host, Some(&app));
    }
    site.wait_ready(&ENTRIES);
    pause(6_000);
    let clients = Clients::new(&site, &ENTRIES);
    let over = Arc::new(AtomicBool::new(false));
    // Bookings, each with an answer of its own.
    let bookings = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for lane in 0..4 {
        let (clients, over, bookings) = (clients.clone(), over.clone(), bookings.clone());
        threads.push(thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let (attempt, sent) = (attempt_id(), unix_ms());
                let headers = [("X-Attempt-Id", attempt.clone()), ("X-Deadline-Ms", "2000".to_owned())];
                let body = format!("{{\"lane\":{lane},\"at\":{sent}}}");
                let entry = clients.entry();
                let answer = send(&entry, "POST", "/book/swap", &headers, body.as_bytes(), Duration::from_secs(2), |_| true);
                if answer.status != 200 {
                    clients.record.line_at(sent, format!("booking {attempt} to {entry}: {}", answer.status));
                }
                bookings.lock().unwrap().push((sent, answer.status));
                pause(90);
            }
        }));
    }
    // The request that comes again, with the same path, caller and body.
    if has_trouble() {
        let (clients, over) = (clients.clone(), over.clone());
        threads.push(thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let (attempt, sent) = (attempt_id(), unix_ms());
                let headers = [("X-Attempt-Id", attempt.clone()), ("X-Deadline-Ms", "2000".to_owned())];
                let entry = clients.entry();
                let answer = send(&entry, "GET", "/browse/poison", &headers, b"", Duration::from_secs(2), |_| true);
                clients.record.line_at(sent, format!("crashing request {attempt} to {entry}: {}", answer.status));
                pause(AGAIN_MS);
            }
        }));
    }
    let start = unix_ms();
    let mut down: Vec<Option<u64>> = vec![None; DESKS.len()];
    while unix_ms() < start + LENGTH_MS {
        for index in 0..DESKS.len() {
            match down[index] {
                None if site.has_ended(&ids[index]) => {
                    record.line(format!("server {}: has crashed", ids[index]));
                    down[index] = Some(unix_ms());
                }
                Some(at) if unix_ms() >= at + DOWN_MS => {
                    let host = DESKS[index];
                    if new_ids {
                        site.store.remove("servers", &ids[index]);
                        starts += 1;
                        ids[index] = format!("i-d{host}-{starts}");
                    }
                    let born = site.start_server(&ids[index], host, "v1", &["work=60"]);
                    let address = format!("{}:{SERVER_PORT}", site.ip(host));
                    site.store.put("servers", &ids[index], desk_entry(&address, "v1", born));
                    down[index] = None;
                }
                _ => {}
            }
        }
        pause(10);
    }
    over.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|t| t.join().unwrap());
    let runs: Vec<u64> = site
        .runs()
        .iter()
        .filter(|r| r[3] == "runs" && r[5] == "/browse/poison")
        .map(|r| r[0].parse().unwrap())
        .collect();
    let third = runs.get(2).copied().unwrap_or(u64::MAX);
    let after = third.saturating_add(CONTACT_MS);
    let late = runs.iter().filter(|at| **at > after).count();
    let bookings = bookings.lock().unwrap();
    let lost = bookings.iter().filter(|(sent, status)| *sent > after && !matches!(status, 200 | 503)).count();
    record.say(format!("servers crashed by the request: {}, of which later than contact_ms after the third: {late}", runs.len()));
    record.say(format!("bookings: {}, of which without a known outcome in that time: {lost}", bookings.len()));
    let broken = late > 3;
    if bookings.iter().filter(|(_, status)| *status == 200).count() < 100 {
        common::cannot_run("too few bookings were served");
    }
    record.say(if broken { "BUDGET is broken" } else { "BUDGET holds" });
    site.end(broken)
}
