//! The only server of a software version that holds a model is lost, while two others of that version serve.

#[path = "../stand-ins-2/common.rs"]
mod common;
#[path = "../stand-ins-2/streams.rs"]
mod streams;

use std::thread;
use std::time::Duration;

use common::{SERVER_PORT, Site, has_trouble, pause, unix_ms};
use streams::{BUDGET_MS, Clients, Stream, config, engine_entry};

/// Three check-in intervals, after which the entry of a server that crashed is removed.
const LAPSE_MS: u64 = 3_600;
/// `drain_ms` of the settings.
const DRAIN_MS: u64 = 3_000;
const ENTRIES: [u8; 3] = [2, 3, 4];
/// Id, host, software version and model of each server.
const ENGINES: [(&str, u8, &str, &str); 4] = [
    ("i-a1", 11, "v1", "m0"),
    ("i-a2", 12, "v1", "m1"),
    ("i-a3", 13, "v1", "m1"),
    ("i-b1", 14, "v2", "m0"),
];
const STREAMS: usize = 48;
const LOST: &str = "i-a1";

fn main() {
    let case = common::case_folder();
    let mut site = Site::start(&case, Duration::ZERO);
    let record = site.record.clone();
    site.store.put("config", "main", config(7, &["m0", "m1"]));
    // With PLANNED=1 the server is not lost but taken away: it drains, is removed after a while and ends (scale_in).
    let is_planned = std::env::var("PLANNED").as_deref() == Ok("1");
    let mut lost_entry = String::new();
    for (id, host, version, model) in ENGINES {
        // Each server has both models on its disk.
        let models = format!("models={model}");
        let born = site.start_server(id, host, version, &[&models, "disk=m0,m1", "events=100", "gap=100"]);
        let address = format!("{}:{SERVER_PORT}", site.ip(host));
        let entry = engine_entry(&address, version, born, &[model]);
        if id == LOST {
            lost_entry.clone_from(&entry);
        }
        site.store.put("servers", id, entry);
    }
    for host in ENTRIES {
        site.start_node("entry", host, None);
    }
    for (_, host, _, _) in ENGINES {
        let app = format!("{}:{SERVER_PORT}", site.ip(host));
        site.start_node("agent", host, Some(&app));
    }
    site.wait_ready(&ENTRIES);
    pause(6_000);
    let clients = Clients::new(&site, &ENTRIES);
    let begin = |name: &str, count: usize, clients: &Clients| -> Vec<thread::JoinHandle<Stream>> {
        let start = |n: usize| {
            let (clients, name) = (clients.clone(), format!("{name}{n:02x}"));
            pause(25);
            thread::spawn(move || clients.stream(&name, "m0", BUDGET_MS))
        };
        (0..count).map(start).collect()
    };
    let first = begin("aa", STREAMS, &clients);
    pause(1_000);
    let lost_at = unix_ms();
    if has_trouble() && is_planned {
        site.store.put("servers", LOST, lost_entry.replace("\"ready\"", "\"draining\""));
        record.line(format!("{LOST} drains"));
        pause(DRAIN_MS + 1_000);
        site.store.remove("servers", LOST);
        pause(500);
        site.kill_server(LOST);
    } else if has_trouble() {
        site.kill_server(LOST);
    } else {
        // The clients leave their channels themselves.
        *clients.break_at.lock().unwrap() = Some(lost_at);
    }
    pause(LAPSE_MS);
    if has_trouble() && !is_planned {
        site.store.remove("servers", LOST);
        record.line(format!("the entry of {LOST} is removed"));
    }
    let new = begin("bb", STREAMS / 2, &clients);
    let join = |threads: Vec<thread::JoinHandle<Stream>>| -> Vec<Stream> {
        threads.into_iter().map(|t| t.join().unwrap()).collect()
    };
    let (first, new) = (join(first), join(new));
    // Streams of v1 that their callers take up again.
    let is_v1 = |s: &Stream| s.events.first().is_some_and(|e| e.version == "v1");
    let taken_up: Vec<&Stream> = first.iter().filter(|s| is_v1(s) && s.attempts.iter().any(|a| a.resumed)).collect();
    let gone_on = taken_up.iter().filter(|s| s.attempts.iter().any(|a| a.resumed && a.events > 0)).count();
    let begun = new.iter().filter(|s| s.attempts[0].events > 0).count();
    let mixed = first.iter().chain(&new).filter(|s| s.versions().len() > 1).count();
    record.say(format!("streams of v1 taken up again: {}, of which {gone_on} go on", taken_up.len()));
    record.say(format!("new streams at the same time: {}, of which {begun} begin at once; of two versions: {mixed}", new.len()));
    if taken_up.len() < 12 {
        common::cannot_run("too few streams were taken up again");
    }
    let shares = (gone_on as f64 / taken_up.len() as f64, begun as f64 / new.len() as f64);
    let broken = shares.0 < 0.5 * shares.1;
    record.say(if broken { "LOST is broken" } else { "LOST holds" });
    site.end(broken)
}
