//! One entry is killed while it relays streams that have run for more than a minute.

mod common;
mod streams;

use std::thread;
use std::time::Duration;

use common::{FRONTEND_PORT, SERVER_PORT, Site, has_trouble, pause};
use streams::{Clients, Stream, config_with, engine_entry};

/// `deadline_ms` of the route, and the time that clients wait.
const DEADLINE_MS: u64 = 100_000;
const ENTRIES: [u8; 3] = [2, 3, 4];
const KILLED: u8 = 2;
const ENGINES: [(&str, u8, &str); 4] = [
    ("i-a1", 11, "v1"),
    ("i-a2", 12, "v1"),
    ("i-b1", 13, "v2"),
    ("i-b2", 14, "v2"),
];
/// Streams before the kill, a third of them at the entry that is killed, and new ones after it.
const STREAMS: usize = 48;
const NEW_STREAMS: usize = 24;
/// Age of the streams when the entry is killed; AGE_MS=30000 is for comparison.
const AGE_MS: u64 = 62_000;
/// How long clients go on after the kill.
const AFTER_MS: u64 = 14_000;

fn main() {
    let case = common::case_folder();
    let mut site = Site::start(&case, Duration::ZERO);
    let record = site.record.clone();
    let age = std::env::var("AGE_MS").ok().and_then(|v| v.parse().ok()).unwrap_or(AGE_MS);
    site.store.put("config", "main", config_with(7, &["m0"], DEADLINE_MS));
    for (id, host, version) in ENGINES {
        let born = site.start_server(id, host, version, &["models=m0", "events=420", "gap=200"]);
        let address = format!("{}:{SERVER_PORT}", site.ip(host));
        site.store.put("servers", id, engine_entry(&address, version, born, &["m0"]));
    }
    for host in ENTRIES {
        site.start_node("entry", host, None);
    }
    for (_, host, _) in ENGINES {
        let app = format!("{}:{SERVER_PORT}", site.ip(host));
        site.start_node("agent", host, Some(&app));
    }
    site.wait_ready(&ENTRIES);
    pause(6_000);
    let clients = Clients::new(&site, &ENTRIES);
    let begin = |name: &str, count: usize, budget: u64| {
        let threads: Vec<_> = (0..count)
            .map(|n| {
                let (clients, name) = (clients.clone(), format!("{name}{n:02x}"));
                pause(25);
                thread::spawn(move || clients.stream(&name, "m0", budget))
            })
            .collect();
        threads
    };
    let spread = 25 * STREAMS as u64;
    // The clients stop at the end of the script; what they wait for is longer.
    let first = begin("aa", STREAMS, spread + age + AFTER_MS);
    pause(age);
    if has_trouble() {
        clients.leave_out(&format!("{}:{FRONTEND_PORT}", site.ip(KILLED)));
        site.kill_nodes(Some(&format!("entry-{KILLED}")));
        pause(500);
        site.restart_nodes();
    }
    record.line("new streams begin at the other entries");
    let new = begin("bb", NEW_STREAMS, 3_000);
    let join = |threads: Vec<thread::JoinHandle<Stream>>| -> Vec<Stream> {
        threads.into_iter().map(|t| t.join().unwrap()).collect()
    };
    let (first, new) = (join(first), join(new));
    let again = |s: &&Stream| s.attempts.iter().any(|a| a.resumed);
    let taken_up = first.iter().filter(again).count();
    let gone_on = first.iter().filter(again).filter(|s| s.attempts.iter().any(|a| a.resumed && a.events > 0)).count();
    let begun = new.iter().filter(|s| s.attempts[0].events > 0).count();
    record.say(format!("streams taken up again at machines in touch: {taken_up}, of which {gone_on} go on"));
    record.say(format!("new streams at the same time: {}, of which {begun} begin at once", new.len()));
    let shares = (gone_on as f64 / taken_up.max(1) as f64, begun as f64 / new.len() as f64);
    let broken = taken_up >= 12 && shares.0 < 0.5 * shares.1;
    if has_trouble() && taken_up < 12 || shares.1 < 0.9 {
        common::cannot_run("too few streams");
    }
    record.say(if broken { "LOST is broken" } else { "LOST holds" });
    site.end(broken)
}
