//! A part of prompts crashes the server that answers it, after a rolling restart of the project's entries; the requests
//! with it don't all have the same first part.

#[path = "../stand-ins-2/common.rs"]
mod common;
#[path = "../stand-ins-2/streams.rs"]
mod streams;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::{CRASHING_PART, SERVER_PORT, Site, has_trouble, pause, unix_ms};
use streams::{Clients, config, engine_entry};

/// `contact_ms` of the settings.
const CONTACT_MS: u64 = 4_000;
/// Time that a server is down after a crash.
const DOWN_MS: u64 = 2_000;
/// Three check-in intervals, after which the entry of a server that crashed is removed.
const LAPSE_MS: u64 = 3_600;
/// Time between two requests with the part that crashes servers.
const AGAIN_MS: u64 = 1_500;
/// Time between two sound requests.
const SOUND_MS: u64 = 200;
const ENTRIES: [u8; 2] = [2, 3];
/// The first part of the prompts, sound ones and others.
const FIRST_PART: &str = "5c1e07a2";
/// The first part of every other request with the part that crashes servers, from the fourth on.
const OTHER_FIRST_PART: &str = "91bd3f06";

fn main() {
    let case = common::case_folder();
    let mut site = Site::start(&case, Duration::ZERO);
    let record = site.record.clone();
    // With NO_ROLL=1 the entries are not restarted, for comparison.
    let rolls = std::env::var("NO_ROLL").as_deref() != Ok("1");
    site.store.put("config", "main", config(7, &["m0"]));
    // 86 events, as a draft on the sheets has, in 6.9 s.
    let options = |models: &str| [format!("models={models}"), "disk=m0".to_owned(), "events=86".to_owned(), "gap=80".to_owned()];
    let start = |site: &mut Site, id: &str, models: &str| {
        let arguments = options(models);
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let born = site.start_server(id, 11, "v1", &arguments);
        let address = format!("{}:{SERVER_PORT}", site.ip(11));
        let models: Vec<&str> = models.split(',').filter(|m| !m.is_empty()).collect();
        site.store.put("servers", id, engine_entry(&address, "v1", born, &models));
    };
    let mut id = "i-e0".to_owned();
    start(&mut site, &id, "m0");
    for host in ENTRIES {
        site.start_node("entry", host, None);
    }
    let app = format!("{}:{SERVER_PORT}", site.ip(11));
    site.start_node("agent", 11, Some(&app));
    site.wait_ready(&ENTRIES);
    pause(6_000);
    let clients = Clients::new(&site, &ENTRIES);
    // Sound requests: when each was sent, and whether it began at the first attempt.
    let sound: Arc<Mutex<Vec<(u64, bool)>>> = Arc::default();
    let over = Arc::new(AtomicBool::new(false));
    let resting = Arc::new(AtomicBool::new(false));
    let sender = {
        let (clients, sound, over, resting) = (clients.clone(), sound.clone(), over.clone(), resting.clone());
        thread::spawn(move || {
            let mut threads = Vec::new();
            let mut number = 0;
            while !over.load(Ordering::Relaxed) {
                pause(SOUND_MS);
                if resting.load(Ordering::Relaxed) {
                    continue;
                }
                number += 1;
                let (clients, sound) = (clients.clone(), sound.clone());
                threads.push(thread::spawn(move || {
                    let name = format!("50{number:04x}");
                    let sent = unix_ms();
                    let stream = clients.stream_with(&name, "m0", &format!("{FIRST_PART}:100,{name}:100"), 12_000, 2);
                    sound.lock().unwrap().push((sent, stream.attempts.first().is_some_and(|a| a.events > 0)));
                }));
            }
            threads.into_iter().for_each(|t| t.join().unwrap());
        })
    };
    pause(6_000);
    resting.store(true, Ordering::Relaxed);
    let calm_end = unix_ms();
    pause(8_000);
    if rolls {
        // Planned work: the entries are stopped and started in turn.
        for host in ENTRIES {
            site.roll_node(&format!("entry-{host}"));
            site.wait_ready(&[host]);
        }
        pause(CONTACT_MS + 1_000);
    }
    resting.store(false, Ordering::Relaxed);
    let trouble = unix_ms();
    let crash_count = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let poison = {
        let (clients, over) = (clients.clone(), over.clone());
        let crashes_so_far = crash_count.clone();
        thread::spawn(move || {
            let (mut number, mut threads) = (0, Vec::new());
            while has_trouble() && !over.load(Ordering::Relaxed) {
                number += 1;
                // No two are alike, and each comes once.
                let name = format!("b{number:05x}");
                let others = std::env::var("SAME_FIRST").as_deref() != Ok("1");
                let first = if others && crashes_so_far.load(Ordering::Relaxed) >= 3 && number % 2 == 0 {
                    OTHER_FIRST_PART
                } else {
                    FIRST_PART
                };
                let parts = format!("{first}:100,{CRASHING_PART}:100,{name}:100");
                let clients = clients.clone();
                threads.push(thread::spawn(move || {
                    clients.stream_with(&name, "m0", &parts, 5_000, 1);
                }));
                pause(AGAIN_MS);
            }
            threads.into_iter().for_each(|t| t.join().unwrap());
        })
    };
    let mut crashes: Vec<u64> = Vec::new();
    let mut down: Option<u64> = None;
    let mut lapsing: Vec<(u64, String)> = Vec::new();
    let mut starts = 0;
    loop {
        match down {
            None if site.has_ended(&id) => {
                record.line(format!("server {id}: has crashed"));
                crashes.push(unix_ms());
                crash_count.store(crashes.len(), Ordering::Relaxed);
                lapsing.push((unix_ms() + LAPSE_MS, id.clone()));
                down = crashes.last().copied();
            }
            Some(at) if unix_ms() >= at + DOWN_MS => {
                starts += 1;
                id = format!("i-e{starts}");
                start(&mut site, &id, "");
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
        let enough = crashes.len() >= 5 || !has_trouble() || now > trouble + 45_000;
        if (enough && now > from + 8_000) || now > trouble + 70_000 {
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
    record.say(format!("crashes: {}; sound requests that begin at the first attempt: {} of {} before, {} of {} from 2 x contact_ms after the crashes", crashes.len(), calm.0, calm.1, after.0, after.1));
    if calm.1 < 20 || after.1 < 20 || calm.0 * 10 < calm.1 * 9 {
        common::cannot_run("too few sound requests");
    }
    let broken = (after.0 as f64 / after.1 as f64) < 0.5 * (calm.0 as f64 / calm.1 as f64);
    record.say(if broken { "LOST is broken" } else { "LOST holds" });
    site.end(broken)
}
