//! All of the project's processes are killed at one moment while servers of two software versions serve.

mod common;
mod streams;

use std::thread;
use std::time::Duration;

use common::{SERVER_PORT, Site, has_trouble, pause, unix_ms};
use streams::{BUDGET_MS, Clients, Stream, config, engine_entry};

/// `contact_ms` of the settings.
const CONTACT_MS: u64 = 4_000;
const ENTRIES: [u8; 3] = [2, 3, 4];
const ENGINES: [(&str, u8, &str); 4] = [
    ("i-a1", 11, "v1"),
    ("i-a2", 12, "v1"),
    ("i-b1", 13, "v2"),
    ("i-b2", 14, "v2"),
];
const STREAMS: usize = 24;
/// The entry that is killed in the comparison with a rolling restart of the agents.
const KILLED: u8 = 2;

fn main() {
    let case = common::case_folder();
    let mut site = Site::start(&case, Duration::ZERO);
    let record = site.record.clone();
    site.store.put("config", "main", config(7, &["m0"]));
    for (id, host, version) in ENGINES {
        let born = site.start_server(id, host, version, &["models=m0", "events=105", "gap=100"]);
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
    let mut clients = Clients::new(&site, &ENTRIES);
    clients.rest_ms = 1_000 + CONTACT_MS + 500;
    let begin = |name: &str, count: usize, clients: &Clients| {
        let threads: Vec<_> = (0..count)
            .map(|n| {
                let (clients, name) = (clients.clone(), format!("{name}{n:02x}"));
                pause(25);
                thread::spawn(move || clients.stream(&name, "m0", BUDGET_MS))
            })
            .collect();
        threads
    };
    // With ROLL_AGENTS=1 the agents are stopped and started in turn instead, and then one entry is killed.
    let rolls = std::env::var("ROLL_AGENTS").as_deref() == Ok("1");
    let count = if rolls { 2 * STREAMS } else { STREAMS };
    let first = begin("aa", count, &clients);
    pause(1_500);
    if rolls {
        for (_, host, _) in ENGINES {
            site.roll_node(&format!("agent-{host}"));
            pause(1_000);
        }
        site.kill_nodes(Some(&format!("entry-{KILLED}")));
        pause(500);
        site.restart_nodes();
    } else if has_trouble() {
        site.kill_nodes(None);
        pause(1_000);
        site.restart_nodes();
    } else {
        // The clients leave their channels themselves.
        *clients.break_at.lock().unwrap() = Some(unix_ms());
        pause(1_000);
    }
    // Only the entry that was killed, which the clients' next attempts don't reach, is out of touch then.
    let in_touch = if rolls { 0 } else { unix_ms() + CONTACT_MS };
    if rolls {
        clients.leave_out(&format!("{}:8149", site.ip(KILLED)));
    }
    pause(if rolls { 500 } else { CONTACT_MS + 300 });
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
    record.say(format!("streams taken up again at machines in touch: {taken_up}, of which {gone_on} go on"));
    record.say(format!("new streams at the same time: {}, of which {begun} begin at once", new.len()));
    let shares = (gone_on as f64 / taken_up.max(1) as f64, begun as f64 / new.len() as f64);
    let broken = taken_up >= 12 && shares.0 < 0.5 * shares.1;
    if !has_trouble() && taken_up < 12 {
        common::cannot_run("too few streams were taken up again");
    }
    record.say(if broken { "LOST is broken" } else { "LOST holds" });
    site.end(broken)
}
