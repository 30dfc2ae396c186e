//! A simulation that compares routing mechanisms at the design size: 330 entries, 840 targets, 720
//! models.
//!
//! Guards against a change after which probing meets the first-token limit less often than the
//! mechanisms that rely on an entry's own knowledge, or far less often than a central owner.
//!
//! `KUMQUATKEEL_FULL=1 cargo test --release -p kumquatkeel-core --test routing_mechanisms --
//! --nocapture` prints the table of `docs/design/routing.md`; without the variable a tenth of the
//! size runs.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use kumquatkeel_core::plugin::find_plugin;
use kumquatkeel_core::routing::{
    Candidate, Distance, RouteRequest, RouteStep, RoutingPlugin, RoutingPolicy,
};
use kumquatkeel_types::message::{LoadSummary, ProbeReply, ProbeRequest};
use kumquatkeel_types::{Incarnation, ModelId, TargetName};
use rand::seq::SliceRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Requests that one replica runs at a time within its limits.
const SLOTS: u32 = 12;
/// Mean duration of a stream: 500 tokens at 49 ms.
const STREAM_SECONDS: f64 = 24.5;
/// The longest wait at a replica after which a request still meets its first-token limit.
const MAX_WAIT_SECONDS: f64 = 0.5;
/// Interval of load reports at an entry that takes 4 KB a second of 32-byte reports of 840 targets.
const REPORT_INTERVAL_SECONDS: f64 = 6.7;
/// Bytes of HTTP and JSON-RPC overhead of one request or reply.
const FRAME_BYTES: usize = 220;
/// The most candidates that the router gives a policy.
const MAX_CANDIDATES: usize = 24;
/// The simulated time over which requests are counted.
const RUN_SECONDS: f64 = 60.0;

/// How an entry chooses a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mechanism {
    /// The `round-robin` policy.
    RoundRobin,
    /// The `least-in-flight` policy.
    LeastInFlight,
    /// The `least-loaded` policy, with probes.
    Probe,
    /// One owner for each model, which the entries ask to assign every attempt.
    Owner,
}

const MECHANISMS: [Mechanism; 4] = [
    Mechanism::RoundRobin,
    Mechanism::LeastInFlight,
    Mechanism::Probe,
    Mechanism::Owner,
];

/// The size of a run.
#[derive(Debug, Clone, Copy)]
struct Size {
    entries: u32,
    models: usize,
    replicas: usize,
    /// Requests a second.
    rate: f64,
}

/// One replica and the end times of its streams, in microseconds.
#[derive(Debug, Clone, Default)]
struct Replica {
    ends: BinaryHeap<Reverse<u64>>,
    /// Requests by the last load report.
    reported: u32,
    /// Requests that the owner counts as in progress.
    granted: u32,
}

/// The totals of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Totals {
    requests: u64,
    /// Requests that a replica accepted in time for the first token.
    attained: u64,
    attempts: u64,
    /// Bytes of probes and of messages to owners.
    bytes: u64,
    /// The time that probes or owners added to the requests.
    added_ms: f64,
}

/// One model; its lists have an element for each replica.
struct Model {
    id: ModelId,
    replicas: Vec<Replica>,
    names: Vec<TargetName>,
    distances: Vec<Distance>,
}

/// The state of a run.
struct Run {
    mechanism: Mechanism,
    size: Size,
    models: Vec<Model>,
    /// The cumulative shares of the models in the traffic.
    cumulative: Vec<f64>,
    policy: Box<dyn RoutingPolicy>,
    /// Requests in progress by entry, model and replica.
    in_flight: BTreeMap<(u32, usize, usize), u32>,
    /// The end time of each request in progress, with its entry, model and replica.
    releases: BinaryHeap<Reverse<(u64, u32, usize, usize)>>,
    rng: Pcg64,
    totals: Totals,
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

impl Run {
    fn new(mechanism: Mechanism, size: Size, utilisation: f64, seed: u64) -> Self {
        let name = match mechanism {
            Mechanism::RoundRobin => "round-robin",
            Mechanism::LeastInFlight => "least-in-flight",
            Mechanism::Probe | Mechanism::Owner => "least-loaded",
        };
        let mut rng = Pcg64::seed_from_u64(seed);
        let weights: Vec<f64> = (0..size.models).map(|i| 1.0 / (i as f64 + 8.0)).collect();
        let total: f64 = weights.iter().sum();
        let mut cumulative = Vec::new();
        let mut sum = 0.0;
        for weight in &weights {
            sum += weight / total;
            cumulative.push(sum);
        }
        let models = (0..size.models)
            .map(|i| Model::new(i, weights[i] / total * size.replicas as f64, &mut rng))
            .collect();
        let capacity = size.replicas as f64 * f64::from(SLOTS) / STREAM_SECONDS;
        let rate = capacity * utilisation;
        Self {
            mechanism,
            size: Size { rate, ..size },
            models,
            cumulative,
            policy: (find_plugin::<RoutingPlugin>(name).unwrap().make)(),
            in_flight: BTreeMap::new(),
            releases: BinaryHeap::new(),
            rng,
            totals: Totals::default(),
        }
    }

    fn run(mut self) -> Totals {
        let mut now = 0.0;
        let mut report = 0.0;
        // Replicas reach their steady load before requests are counted.
        let warm_up = STREAM_SECONDS * 2.0;
        while now < warm_up + RUN_SECONDS {
            now -= (1.0 - self.rng.random::<f64>()).ln() / self.size.rate;
            if now >= report {
                self.report(now);
                report = now + REPORT_INTERVAL_SECONDS;
            }
            if now >= warm_up && self.totals.requests == 0 {
                self.totals = Totals::default();
            }
            self.request(now, now >= warm_up);
        }
        self.totals
    }

    fn report(&mut self, now: f64) {
        for replica in self.models.iter_mut().flat_map(|m| &mut m.replicas) {
            replica.remove_ended(micros(now));
            replica.reported = replica.ends.len() as u32;
        }
    }

    fn request(&mut self, now: f64, counted: bool) {
        let point = self.rng.random::<f64>();
        let model = self.cumulative.partition_point(|c| *c < point);
        let model = model.min(self.models.len() - 1);
        let entry = self.rng.random_range(0..self.size.entries);
        self.release(now);
        let before = std::mem::take(&mut self.totals);
        let mut tried = Vec::new();
        let mut attained = false;
        while tried.len() < 2.min(self.models[model].replicas.len()) {
            let chosen = self.choose(now, entry, model, &tried);
            self.totals.attempts += 1;
            let replica = &mut self.models[model].replicas[chosen];
            replica.remove_ended(micros(now));
            if replica.accepts(now) {
                self.start(now, entry, model, chosen);
                attained = true;
                break;
            }
            tried.push(chosen);
        }
        let spent = std::mem::replace(&mut self.totals, before);
        if counted {
            self.totals.requests += 1;
            self.totals.attained += u64::from(attained);
            self.totals.attempts += spent.attempts;
            self.totals.bytes += spent.bytes;
            self.totals.added_ms += spent.added_ms;
        }
    }

    fn start(&mut self, now: f64, entry: u32, model: usize, replica: usize) {
        let length = -(1.0 - self.rng.random::<f64>()).ln() * STREAM_SECONDS;
        let wait = self.models[model].replicas[replica].wait(now);
        let end = micros(now + wait + length);
        self.models[model].replicas[replica].ends.push(Reverse(end));
        self.releases.push(Reverse((end, entry, model, replica)));
        *self.in_flight.entry((entry, model, replica)).or_default() += 1;
        self.models[model].replicas[replica].granted += 1;
        if self.mechanism == Mechanism::Owner {
            // The entry reports the end of each granted request to the owner.
            self.totals.bytes += FRAME_BYTES as u64 * 2;
        }
    }

    fn release(&mut self, now: f64) {
        while let Some(Reverse((end, entry, model, replica))) = self.releases.peek().copied() {
            if end > micros(now) {
                return;
            }
            self.releases.pop();
            self.models[model].replicas[replica].granted -= 1;
            if let Some(count) = self.in_flight.get_mut(&(entry, model, replica)) {
                *count -= 1;
                if *count == 0 {
                    self.in_flight.remove(&(entry, model, replica));
                }
            }
        }
    }

    fn choose(&mut self, now: f64, entry: u32, model: usize, tried: &[usize]) -> usize {
        if self.mechanism == Mechanism::Owner {
            return self.choose_by_owner(model, tried);
        }
        let mut probed: Vec<usize> = Vec::new();
        for _ in 0..3 {
            let candidates = self.candidates(entry, model, tried, &probed);
            let request = route_request(&self.models[model].id);
            let rng: &mut dyn Rng = &mut self.rng;
            match self.policy.choose(&request, &candidates, rng) {
                RouteStep::Dispatch(target) => return index_of(&target),
                RouteStep::Probe(targets) => {
                    self.totals.bytes += (targets.len() * probe_bytes(&request)) as u64;
                    self.totals.added_ms += self.round_trip_ms(model, &targets);
                    for target in &targets {
                        let at = index_of(target);
                        self.models[model].replicas[at].remove_ended(micros(now));
                        probed.push(at);
                    }
                }
                RouteStep::NoTarget => break,
            }
        }
        let replicas = &self.models[model].replicas;
        let fallback = probed.into_iter().min_by_key(|i| replicas[*i].ends.len());
        fallback.unwrap_or(0)
    }

    /// Takes the replica with the fewest granted requests, which are all that the owner knows.
    fn choose_by_owner(&mut self, model: usize, tried: &[usize]) -> usize {
        self.totals.bytes += probe_bytes(&route_request(&self.models[model].id)) as u64;
        // The owner of a model is in the entry's region, in either data centre.
        self.totals.added_ms += if self.rng.random_bool(0.5) { 2.4 } else { 0.4 };
        let replicas = self.models[model].replicas.iter().enumerate();
        let untried = replicas.filter(|(i, _)| !tried.contains(i));
        untried.min_by_key(|(_, r)| r.granted).map_or(0, |(i, _)| i)
    }

    /// Returns what the router would give the policy: a random sample with all probed replicas.
    fn candidates(
        &mut self,
        entry: u32,
        model: usize,
        tried: &[usize],
        probed: &[usize],
    ) -> Vec<Candidate> {
        let m = &self.models[model];
        let mut drawn: Vec<usize> = (0..m.replicas.len())
            .filter(|i| !tried.contains(i) && !probed.contains(i))
            .collect();
        drawn.shuffle(&mut self.rng);
        drawn.truncate(MAX_CANDIDATES - probed.len());
        drawn.extend_from_slice(probed);
        drawn
            .into_iter()
            .map(|i| {
                let is_probed = probed.contains(&i);
                let count = m.replicas[i].ends.len() as u32;
                let running = if is_probed {
                    count
                } else {
                    m.replicas[i].reported
                };
                Candidate {
                    target: m.names[i].clone(),
                    distance: m.distances[i],
                    incarnation: Incarnation(1),
                    adapter_ready: true,
                    load: LoadSummary {
                        running: running.min(SLOTS),
                        waiting: running.saturating_sub(SLOTS),
                        slots: SLOTS,
                    },
                    load_age: Duration::from_secs_f64(if is_probed {
                        0.0
                    } else {
                        REPORT_INTERVAL_SECONDS
                    }),
                    in_flight: self.in_flight.get(&(entry, model, i)).copied().unwrap_or(0),
                    prefix_hits: 0,
                    weight: 1.0,
                }
            })
            .collect()
    }

    fn round_trip_ms(&self, model: usize, targets: &[TargetName]) -> f64 {
        let round_trip = |t: &TargetName| match self.models[model].distances[index_of(t)] {
            Distance::SameCentre => 0.4,
            _ => 2.4,
        };
        targets.iter().map(round_trip).fold(0.0, f64::max)
    }
}

impl Model {
    fn new(number: usize, share: f64, rng: &mut Pcg64) -> Self {
        let count = (share.round() as usize).max(1);
        let distance = |_| {
            if rng.random_bool(0.5) {
                Distance::SameCentre
            } else {
                Distance::SameRegion
            }
        };
        Self {
            id: ModelId {
                name: format!("model-{number}").try_into().unwrap(),
                version: "1".try_into().unwrap(),
            },
            replicas: vec![Replica::default(); count],
            names: (0..count)
                .map(|i| format!("target-{i}").try_into().unwrap())
                .collect(),
            distances: (0..count).map(distance).collect(),
        }
    }
}

impl Replica {
    fn remove_ended(&mut self, now: u64) {
        while self.ends.peek().is_some_and(|Reverse(end)| *end <= now) {
            self.ends.pop();
        }
    }

    fn accepts(&self, now: f64) -> bool {
        self.wait(now) <= MAX_WAIT_SECONDS
    }

    /// Returns the seconds until a slot is free for one more.
    fn wait(&self, now: f64) -> f64 {
        let over = (self.ends.len() + 1).saturating_sub(SLOTS as usize);
        if over == 0 {
            return 0.0;
        }
        let mut ends: Vec<_> = self.ends.iter().map(|Reverse(end)| *end).collect();
        ends.sort_unstable();
        (ends[over - 1] as f64 / 1e6 - now).max(0.0)
    }
}

fn index_of(target: &TargetName) -> usize {
    target
        .as_str()
        .trim_start_matches("target-")
        .parse()
        .unwrap()
}

fn route_request(model: &ModelId) -> RouteRequest {
    RouteRequest {
        service: "s".try_into().unwrap(),
        model: Some(model.clone()),
        adapter: None,
        prefix: Vec::new(),
        priority: 5,
        first_token: Duration::from_millis(680),
        bytes: 32_000,
    }
}

/// Returns the bytes of one probe and its reply.
fn probe_bytes(request: &RouteRequest) -> usize {
    let probe = ProbeRequest {
        model: request.model.clone(),
        adapter: None,
    };
    let reply = ProbeReply {
        incarnation: Incarnation(1),
        draining: false,
        resident: true,
        load: LoadSummary {
            running: 10,
            waiting: 10,
            slots: SLOTS,
        },
    };
    let length = |text: Result<Vec<u8>, serde_json::Error>| text.unwrap().len();
    let bodies = length(serde_json::to_vec(&probe)) + length(serde_json::to_vec(&reply));
    bodies + 2 * FRAME_BYTES
}

/// The environment variable that selects the design size.
const FULL_VARIABLE: &str = "KUMQUATKEEL_FULL";

fn attainment(totals: &Totals) -> f64 {
    totals.attained as f64 / totals.requests as f64
}

fn table(size: Size, levels: &[f64]) -> Vec<(Mechanism, f64, Totals)> {
    println!("| mechanism | utilisation | attainment | bytes a request | added ms | attempts |");
    println!("|---|---|---|---|---|---|");
    let mut rows = Vec::new();
    for utilisation in levels {
        for mechanism in MECHANISMS {
            let totals = Run::new(mechanism, size, *utilisation, 42).run();
            let each = |sum: f64| sum / totals.requests as f64;
            println!(
                "| {mechanism:?} | {utilisation} | {:.4} | {:.0} | {:.2} | {:.3} |",
                attainment(&totals),
                each(totals.bytes as f64),
                each(totals.added_ms),
                each(totals.attempts as f64),
            );
            rows.push((mechanism, *utilisation, totals));
        }
    }
    rows
}

/// Returns the design size if the environment selects it, else a tenth of it, and the levels of
/// utilisation.
fn size_and_levels() -> (Size, &'static [f64]) {
    let tenth = Size {
        entries: 33,
        models: 72,
        replicas: 670,
        rate: 0.0,
    };
    if std::env::var_os(FULL_VARIABLE).is_none() {
        return (tenth, &[0.85]);
    }
    let full = Size {
        entries: 330,
        models: 720,
        replicas: 6_700,
        rate: 0.0,
    };
    (full, &[0.7, 0.85, 0.95])
}

#[test]
fn probing_attains_more_than_an_entrys_own_knowledge() {
    let (size, levels) = size_and_levels();
    let rows = table(size, levels);
    let of = |mechanism| {
        let row = rows
            .iter()
            .find(|(m, level, _)| *m == mechanism && *level > 0.8)
            .unwrap();
        row.2
    };
    let probe = attainment(&of(Mechanism::Probe));
    assert!(probe > attainment(&of(Mechanism::RoundRobin)));
    assert!(probe > attainment(&of(Mechanism::LeastInFlight)));
    assert!(probe > attainment(&of(Mechanism::Owner)) - 0.03);
    let again = Run::new(Mechanism::Probe, size, 0.85, 42).run();
    assert_eq!(
        again,
        of(Mechanism::Probe),
        "the same seed gives the same run"
    );
}
