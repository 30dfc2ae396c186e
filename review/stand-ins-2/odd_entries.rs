//! Another writer leaves entries with fields missing that name the addresses of sound servers.

mod common;
mod streams;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::{SERVER_PORT, Site, attempt_id, has_trouble, pause, send, unix_ms};
use streams::{Clients, config, desk_entry, engine_entry};

/// How long clients send before the other writer comes, and after.
const BEFORE_MS: u64 = 5_000;
const AFTER_MS: u64 = 45_000;
const ENTRIES: [u8; 2] = [2, 3];
const DESKS: [u8; 2] = [21, 22];

fn main() {
    let case = common::case_folder();
    let mut site = Site::start(&case, Duration::ZERO);
    let record = site.record.clone();
    site.store.put("config", "main", config(7, &["m0"]));
    let born = site.start_server("i-e11", 11, "v1", &["models=m0", "disk=m0", "events=10", "gap=50"]);
    let app = format!("{}:{SERVER_PORT}", site.ip(11));
    site.store.put("servers", "i-e11", engine_entry(&app, "v1", born, &["m0"]));
    for host in DESKS {
        let id = format!("i-d{host}");
        let born = site.start_server(&id, host, "v1", &["work=60"]);
        let address = format!("{}:{SERVER_PORT}", site.ip(host));
        site.store.put("servers", &id, desk_entry(&address, "v1", born));
    }
    for host in ENTRIES {
        site.start_node("entry", host, None);
    }
    site.start_node("agent", 11, Some(&app));
    site.wait_ready(&ENTRIES);
    pause(6_000);
    let clients = Clients::new(&site, &ENTRIES);
    let over = Arc::new(AtomicBool::new(false));
    // Bookings and streams: the kind of request, and whether it was served.
    let served: Arc<Mutex<Vec<(bool, bool)>>> = Arc::default();
    let mut threads = Vec::new();
    for lane in 0..2 {
        let (clients, over, served) = (clients.clone(), over.clone(), served.clone());
        threads.push(thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let (attempt, sent) = (attempt_id(), unix_ms());
                let headers = [("X-Attempt-Id", attempt.clone()), ("X-Deadline-Ms", "2000".to_owned())];
                let body = format!("{{\"lane\":{lane},\"at\":{sent}}}");
                let entry = clients.entry();
                let answer = send(&entry, "POST", "/book/swap", &headers, body.as_bytes(), Duration::from_secs(2), |_| true);
                clients.record.line_at(sent, format!("booking {attempt} to {entry}: {}", answer.status));
                served.lock().unwrap().push((true, answer.status == 200));
                pause(140);
            }
        }));
    }
    for lane in 0..4 {
        let (clients, over, served) = (clients.clone(), over.clone(), served.clone());
        threads.push(thread::spawn(move || {
            let mut number = 0;
            while !over.load(Ordering::Relaxed) {
                number += 1;
                let name = format!("{lane:02x}{number:04x}");
                let stream = clients.stream(&name, "m0", 5_000);
                served.lock().unwrap().push((false, stream.whole));
            }
        }));
    }
    pause(BEFORE_MS);
    if has_trouble() {
        for host in DESKS {
            // `version`, `slots`, `cold_left_ms` and `seq` are missing.
            let address = format!("{}:{SERVER_PORT}", site.ip(host));
            let entry = format!(
                "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"amman-a\",\"state\":\"ready\",\"born\":{}}}",
                unix_ms()
            );
            site.store.put("servers", &format!("other-{host}"), entry.clone());
            record.line(format!("another writer: servers/other-{host} {entry}"));
        }
    }
    pause(AFTER_MS);
    over.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|t| t.join().unwrap());
    let served = served.lock().unwrap();
    let count = |kind: Option<bool>| {
        let asked: Vec<bool> = served.iter().filter(|(k, _)| kind.is_none_or(|kind| kind == *k)).map(|(_, s)| *s).collect();
        (asked.iter().filter(|s| **s).count(), asked.len())
    };
    let (bookings, all) = (count(Some(true)), count(None));
    record.say(format!("bookings served: {} of {}; all requests served: {} of {}", bookings.0, bookings.1, all.0, all.1));
    let share = |(served, asked): (usize, usize)| served as f64 / asked.max(1) as f64;
    let broken = share(bookings) < 0.25 * share(all);
    record.say(if broken { "Starved is broken" } else { "Starved holds" });
    site.end(broken)
}
