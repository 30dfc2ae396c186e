//! A server crashes and starts again under the `id` that it had, with another software version.

mod common;
mod streams;

use std::thread;
use std::time::Duration;

use common::{SERVER_PORT, Site, has_trouble, pause};
use streams::{BUDGET_MS, Clients, Stream, config, engine_entry};

/// Age of the store's answers to calls with `stale_ok`.
const STALE_MS: u64 = 2_000;
const ENTRIES: [u8; 3] = [2, 3, 4];
const STREAMS: usize = 12;

fn main() {
    let case = common::case_folder();
    let number = |name: &str, default: u64| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default);
    let mut site = Site::start(&case, Duration::from_millis(number("STALE_MS", STALE_MS)));
    let record = site.record.clone();
    site.store.put("config", "main", config(7, &["m0", "m1"]));
    let options = |models: &str| [format!("models={models}"), "disk=m0,m1".to_owned(), "events=70".to_owned(), "gap=100".to_owned()];
    for (id, host, models) in [("i-a", 11, "m0"), ("i-c", 12, "m1")] {
        let arguments = options(models);
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let born = site.start_server(id, host, "v1", &arguments);
        let address = format!("{}:{SERVER_PORT}", site.ip(host));
        site.store.put("servers", id, engine_entry(&address, "v1", born, &[models]));
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
    let threads: Vec<_> = (0..STREAMS)
        .map(|n| {
            let clients = clients.clone();
            pause(25);
            thread::spawn(move || clients.stream(&format!("aa{n:02x}"), "m0", BUDGET_MS))
        })
        .collect();
    pause(2_000);
    if has_trouble() {
        site.kill_server("i-a");
        pause(number("DOWN_MS", 1_000));
        let arguments = options("");
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let born = site.start_server("i-a", 11, "v2", &arguments);
        let address = format!("{}:{SERVER_PORT}", site.ip(11));
        site.store.put("servers", "i-a", engine_entry(&address, "v2", born, &[]));
        record.line("the store has the entry of the new start: version v2, another born");
    }
    let streams: Vec<Stream> = threads.into_iter().map(|t| t.join().unwrap()).collect();
    let mixed = streams.iter().filter(|s| s.versions().len() > 1).count();
    let whole = streams.iter().filter(|s| s.whole).count();
    record.say(format!("streams: {}, whole: {whole}, with events of two software versions: {mixed}", streams.len()));
    let broken = mixed > 2;
    if !has_trouble() && whole < STREAMS {
        common::cannot_run("streams broke off without a disruption");
    }
    record.say(if broken { "ORDER is broken" } else { "ORDER holds" });
    site.end(broken)
}
