//! All of the project's processes are killed at one moment, and the first server of a second software version starts.

#[path = "../stand-ins-2/common.rs"]
mod common;
#[path = "../stand-ins-2/streams.rs"]
mod streams;

use std::thread;
use std::time::Duration;

use common::{SERVER_PORT, Site, has_trouble, pause, unix_ms};
use streams::{BUDGET_MS, Clients, Stream, config, engine_entry};

/// `contact_ms` of the settings.
const CONTACT_MS: u64 = 4_000;
const ENTRIES: [u8; 3] = [2, 3, 4];
const OLD: [(&str, u8); 2] = [("i-a1", 11), ("i-a2", 12)];
/// One of two is replaced, so that one new server starts.
const NEW: [(&str, u8); 1] = [("i-b1", 13)];
const STREAMS: usize = 24;

fn main() {
    let case = common::case_folder();
    let mut site = Site::start(&case, Duration::ZERO);
    let record = site.record.clone();
    site.store.put("config", "main", config(7, &["m0"]));
    let start = |site: &mut Site, id: &str, host: u8, version: &str| {
        let born = site.start_server(id, host, version, &["models=m0", "disk=m0", "events=105", "gap=100"]);
        let address = format!("{}:{SERVER_PORT}", site.ip(host));
        site.store.put("servers", id, engine_entry(&address, version, born, &["m0"]));
    };
    for (id, host) in OLD {
        start(&mut site, id, host, "v1");
    }
    for host in ENTRIES {
        site.start_node("entry", host, None);
    }
    for (_, host) in OLD {
        let app = format!("{}:{SERVER_PORT}", site.ip(host));
        site.start_node("agent", host, Some(&app));
    }
    site.wait_ready(&ENTRIES);
    pause(6_000);
    let mut clients = Clients::new(&site, &ENTRIES);
    clients.rest_ms = 1_000 + CONTACT_MS + 500;
    let begin = |name: &str, count: usize, clients: &Clients| -> Vec<thread::JoinHandle<Stream>> {
        let start = |n: usize| {
            let (clients, name) = (clients.clone(), format!("{name}{n:02x}"));
            pause(25);
            thread::spawn(move || clients.stream(&name, "m0", BUDGET_MS))
        };
        (0..count).map(start).collect()
    };
    let first = begin("aa", STREAMS, &clients);
    pause(1_500);
    if has_trouble() {
        site.kill_nodes(None);
    } else {
        // The clients leave their channels themselves.
        *clients.break_at.lock().unwrap() = Some(unix_ms());
    }
    pause(500);
    // A release of the service: the new server starts first.
    for (id, host) in NEW {
        start(&mut site, id, host, "v2");
    }
    pause(500);
    site.restart_nodes();
    for (_, host) in NEW {
        let app = format!("{}:{SERVER_PORT}", site.ip(host));
        site.start_node("agent", host, Some(&app));
    }
    let in_touch = unix_ms() + CONTACT_MS;
    pause(CONTACT_MS + 300);
    record.line("the machines are in touch again");
    let new = begin("bb", STREAMS, &clients);
    let join = |threads: Vec<thread::JoinHandle<Stream>>| -> Vec<Stream> {
        threads.into_iter().map(|t| t.join().unwrap()).collect()
    };
    let (first, new) = (join(first), join(new));
    let again = |s: &Stream| s.attempts.iter().any(|a| a.resumed && a.sent >= in_touch);
    let goes_on = |s: &Stream| s.attempts.iter().any(|a| a.resumed && a.sent >= in_touch && a.events > 0);
    let taken_up = first.iter().filter(|s| again(s)).count();
    let gone_on = first.iter().filter(|s| again(s) && goes_on(s)).count();
    let begun = new.iter().filter(|s| s.attempts[0].events > 0).count();
    let mixed = first.iter().chain(&new).filter(|s| s.versions().len() > 1).count();
    record.say(format!("streams taken up again at machines in touch: {taken_up}, of which {gone_on} go on"));
    record.say(format!("new streams at the same time: {}, of which {begun} begin at once; of two versions: {mixed}", new.len()));
    if taken_up < 12 {
        common::cannot_run("too few streams were taken up again");
    }
    let shares = (gone_on as f64 / taken_up as f64, begun as f64 / new.len() as f64);
    let broken = shares.0 < 0.5 * shares.1;
    record.say(if broken { "LOST is broken" } else { "LOST holds" });
    site.end(broken)
}
