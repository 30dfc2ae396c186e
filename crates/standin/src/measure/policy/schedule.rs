//! The demand of an evening, drawn before it begins.

use std::f64::consts::TAU;
use std::time::Duration;

use kumquatkeel_types::Timestamp;
use kumquatkeel_types::document::{Document, ServiceKind, TargetKind};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::agent::ACCELERATOR_SLOTS;
use super::workload::Site;

/// Requests in progress that the evening keeps on average without bursts, as a share of all slots.
const BASE_SHARE: f64 = 0.2;
/// The share of the base demand at which the evening begins.
const QUIET: f64 = 0.1;
/// Time in which the demand rises from quiet to the evening's.
const RISE_SECS: f64 = 300.0;
/// The factor by which a burst raises a model's demand.
const BURST: f64 = 10.0;
/// Mean time between the starts of two bursts, in seconds.
const BURST_GAP_SECS: f64 = 120.0;
/// Time in which a burst rises, and falls.
const BURST_RAMP_SECS: f64 = 60.0;
/// Shortest and longest time that a burst stays at its height, in seconds.
const BURST_SECS: (f64, f64) = (180.0, 300.0);
/// The exponent of the models' popularity.
const SKEW: f64 = 0.8;
/// Time between two tokens by which demand is sized, in seconds.
const TOKEN_SECS: f64 = 0.04;
/// Share of completions that use an adapter.
const ADAPTER_SHARE: f64 = 0.6;
/// Plain calls for each completion.
const PLAIN_SHARE: f64 = 0.1;
/// Shortest and longest prompt, in tokens.
const PROMPT_TOKENS: (u32, u32) = (100, 1_000);
/// Shortest and longest run of a plain call, in milliseconds.
const PLAIN_MS: (u64, u64) = (20, 120);
/// Priorities of callers, the most common first.
const PRIORITIES: [u8; 4] = [5, 5, 5, 3];

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Ask {
    /// A completion.
    Completion {
        /// The model, by its place in the document.
        model: usize,
        /// The adapter, by its place in the document.
        adapter: Option<usize>,
        /// Tokens of the prompt.
        prompt: u32,
        /// Tokens of the whole answer.
        tokens: u32,
    },
    /// A call that runs at most once.
    Plain {
        /// How long it runs.
        run: Duration,
    },
}

/// A request that a caller will send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Draw {
    /// When it is sent.
    pub(super) at: Timestamp,
    /// The data centre of the entry that it is sent to, by its place in the document.
    pub(super) centre: usize,
    /// The priority.
    pub(super) priority: u8,
    /// What it asks for.
    pub(super) ask: Ask,
}

/// A time in which a model's demand is raised.
#[derive(Debug, Clone, Copy)]
struct Burst {
    model: usize,
    start: f64,
    hold: f64,
}

impl Burst {
    /// Returns the factor on the model's demand at a time.
    fn factor(&self, at: f64) -> f64 {
        let rise = ((at - self.start) / BURST_RAMP_SECS).clamp(0.0, 1.0);
        let end = self.start + BURST_RAMP_SECS + self.hold;
        let fall = ((at - end) / BURST_RAMP_SECS).clamp(0.0, 1.0);
        1.0 + (BURST - 1.0) * (rise - fall)
    }
}

/// Draws all requests of an evening of `seconds`, in the order of their times.
pub(super) fn draw(site: &Site, seed: u64, load: f64, seconds: u64) -> Vec<Draw> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let models = site.document.models.len();
    let bursts = bursts(models, seconds as f64, &mut rng);
    let rates = rates(site, load);
    let mut draws = Vec::new();
    for second in 0..seconds {
        let at = second as f64;
        let evening = QUIET + (1.0 - QUIET) * (at / RISE_SECS).min(1.0);
        for (model, rate) in rates.iter().enumerate() {
            let factor = bursts
                .iter()
                .filter(|b| b.model == model)
                .map(|b| b.factor(at))
                .fold(1.0, f64::max);
            let mean = rate * evening * factor;
            for _ in 0..poisson(mean, &mut rng) {
                draws.push(completion(site, model, second, &mut rng));
            }
            for _ in 0..poisson(mean * PLAIN_SHARE, &mut rng) {
                draws.push(plain(second, &mut rng));
            }
        }
    }
    draws.sort_by_key(|draw| draw.at);
    draws
}

/// Returns the requests a second for each model without bursts.
fn rates(site: &Site, load: f64) -> Vec<f64> {
    let document: &Document = &site.document;
    let engines = document.targets.iter();
    let engines = engines.filter(|t| t.kind == TargetKind::Engine).count();
    let tokens = f64::from(site.tokens.0 + site.tokens.1) / 2.0;
    let total =
        engines as f64 * f64::from(ACCELERATOR_SLOTS) * BASE_SHARE * load / (tokens * TOKEN_SECS);
    let shares: Vec<f64> = (1..=document.models.len())
        .map(|rank| (rank as f64).powf(-SKEW))
        .collect();
    let sum: f64 = shares.iter().sum();
    shares.iter().map(|share| total * share / sum).collect()
}

fn bursts(models: usize, seconds: f64, rng: &mut Pcg64) -> Vec<Burst> {
    let mut bursts = Vec::new();
    let mut start = exponential(BURST_GAP_SECS, rng);
    while start < seconds {
        bursts.push(Burst {
            model: rng.random_range(0..models),
            start,
            hold: rng.random_range(BURST_SECS.0..BURST_SECS.1),
        });
        start += exponential(BURST_GAP_SECS, rng);
    }
    bursts
}

fn completion(site: &Site, model: usize, second: u64, rng: &mut Pcg64) -> Draw {
    let name = &site.document.models[model].name;
    let adapters = site.document.adapters.iter().enumerate();
    let fitting: Vec<usize> = adapters
        .filter(|(_, a)| a.model == *name)
        .map(|(i, _)| i)
        .collect();
    let uses = rng.random_bool(ADAPTER_SHARE) && !fitting.is_empty();
    let adapter = uses.then(|| fitting[rng.random_range(0..fitting.len())]);
    let ask = Ask::Completion {
        model,
        adapter,
        prompt: rng.random_range(PROMPT_TOKENS.0..=PROMPT_TOKENS.1),
        tokens: rng.random_range(site.tokens.0..=site.tokens.1),
    };
    sent(second, ask, rng)
}

fn plain(second: u64, rng: &mut Pcg64) -> Draw {
    let run = Duration::from_millis(rng.random_range(PLAIN_MS.0..=PLAIN_MS.1));
    sent(second, Ask::Plain { run }, rng)
}

fn sent(second: u64, ask: Ask, rng: &mut Pcg64) -> Draw {
    Draw {
        at: Timestamp::from_micros(second * 1_000_000 + rng.random_range(0..1_000_000)),
        centre: rng.random_range(0..3),
        priority: PRIORITIES[rng.random_range(0..PRIORITIES.len())],
        ask,
    }
}

fn exponential(mean: f64, rng: &mut Pcg64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Draws a number of events; exact for small means, by the normal distribution for large ones.
fn poisson(mean: f64, rng: &mut Pcg64) -> u32 {
    if mean > 30.0 {
        let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
        let normal = radius * (TAU * rng.random::<f64>()).cos();
        return (mean + mean.sqrt() * normal).round().max(0.0) as u32;
    }
    let limit = (-mean).exp();
    let mut count = 0;
    let mut product: f64 = rng.random();
    while product > limit {
        count += 1;
        product *= rng.random::<f64>();
    }
    count
}

/// Returns the service of completions or of plain calls.
pub(super) fn service_of(
    document: &Document,
    kind: ServiceKind,
) -> &kumquatkeel_types::document::Service {
    let mut services = document.services.iter();
    services
        .find(|s| s.kind == kind)
        .expect("the workload has a service of each kind")
}
