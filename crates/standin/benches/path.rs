//! The path's added latency and processor time, against calling the stand-in engine directly.
//!
//! `cargo bench -p kumquatkeel-standin --bench path` starts the demo's fleet in this process and
//! prints one line for each way and number of streams. Processor time is that of the whole
//! process: caller, entry, links, agent and engine; the difference between the two ways is what
//! the entry, the agent and the links add.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use kumquatkeel_daemon::http::PeerClient;
use kumquatkeel_standin::demo::{CALLER_KEY, sample_plan};
use kumquatkeel_standin::fleet::Fleet;
use kumquatkeel_types::ModelId;
use kumquatkeel_types::engine::EngineCompletion;
use serde_json::json;
use tokio::time::Instant;

/// Tokens of each answer.
const TOKENS: u32 = 100;
/// Streams at a time, within the slots of one replica so that none waits.
const STREAMS: [usize; 2] = [1, 12];
/// Rounds of each measurement.
const ROUNDS: usize = 20;

/// A way to the engine.
#[derive(Debug, Clone, Copy)]
enum Way {
    /// Straight to one engine.
    Direct,
    /// Through an entry and an agent.
    Path,
}

/// Where requests go.
struct Site {
    client: PeerClient,
    entry: SocketAddr,
    engine: SocketAddr,
    model: ModelId,
}

/// What one stream took.
struct Timing {
    first: Duration,
    tokens: usize,
    whole: bool,
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let fleet = Fleet::start(sample_plan().expect("the sample"))
            .await
            .expect("the fleet");
        fleet.wait_placed().await.expect("the planner places");
        let site = Arc::new(Site::of(&fleet));
        for streams in STREAMS {
            for way in [Way::Direct, Way::Path] {
                measure(&site, way, streams).await;
            }
        }
        fleet.stop().await;
    });
}

impl Site {
    fn of(fleet: &Fleet) -> Self {
        let model = fleet.document.models[0].id();
        let holds = |name: &&kumquatkeel_types::TargetName| {
            let member = fleet.agents[*name].handle().member();
            let status = member.borrow().target.clone().unwrap_or_default();
            status.replicas.iter().any(|replica| replica.model == model)
        };
        let holder = fleet
            .engines
            .keys()
            .find(holds)
            .expect("an engine holds the model");
        let link = fleet.agents[holder].target_link().expect("the agent runs");
        Self {
            client: PeerClient::new(),
            entry: fleet.entries[0].address(),
            engine: link.address(),
            model: model.clone(),
        }
    }

    fn request(&self, way: Way, number: usize) -> (SocketAddr, Request<Full<Bytes>>) {
        let (peer, body) = match way {
            Way::Direct => (self.engine, self.direct_body(number)),
            Way::Path => (self.entry, self.path_body(number)),
        };
        let request = Request::post(format!("http://{peer}/v1/completions"))
            .header("authorization", format!("Bearer {CALLER_KEY}"))
            .header("content-type", "application/json")
            .header("kumquatkeel-deadline-ms", "300000")
            .body(Full::from(body))
            .expect("a request");
        (peer, request)
    }

    fn direct_body(&self, number: usize) -> Vec<u8> {
        let completion = EngineCompletion {
            request_id: format!("direct-{number}"),
            model: self.model.clone(),
            adapter: None,
            prompt: format!("box {number}"),
            max_tokens: TOKENS,
            seed: 1,
            priority: 5,
            resume: Vec::new(),
        };
        serde_json::to_vec(&completion).expect("JSON")
    }

    fn path_body(&self, number: usize) -> Vec<u8> {
        let body = json!({
            "model": self.model.name, "prompt": format!("box {number}"), "max_tokens": TOKENS,
            "seed": 1, "stream": true,
        });
        serde_json::to_vec(&body).expect("JSON")
    }

    async fn stream(&self, way: Way, number: usize) -> Option<Timing> {
        let begun = Instant::now();
        let (peer, request) = self.request(way, number);
        let response = self.client.send("stream", peer, request).await.ok()?;
        let mut body = response.into_body();
        let (mut first, mut tokens, mut whole) = (None, 0, false);
        while let Some(Ok(frame)) = body.frame().await {
            let data = frame.into_data().unwrap_or_default();
            first.get_or_insert_with(|| begun.elapsed());
            let text = String::from_utf8_lossy(&data);
            tokens += text.matches("data: {").count();
            whole |= text.contains("[DONE]");
        }
        Some(Timing {
            first: first?,
            tokens,
            whole,
        })
    }
}

async fn measure(site: &Arc<Site>, way: Way, streams: usize) {
    let mut first = Histogram::<u64>::new(3).expect("a histogram");
    let (mut whole, mut asked, mut tokens) = (0, 0, 0);
    let (begun, before) = (Instant::now(), process_millis());
    for round in 0..ROUNDS {
        let run = |n: usize| {
            let site = site.clone();
            async move { site.stream(way, round * streams + n).await }
        };
        for timing in join_all((0..streams).map(run)).await {
            asked += 1;
            let Some(timing) = timing else { continue };
            whole += usize::from(timing.whole);
            tokens += timing.tokens;
            first
                .record(timing.first.as_micros() as u64)
                .expect("in range");
        }
    }
    let (span, cpu) = (begun.elapsed().as_secs_f64(), process_millis() - before);
    println!(
        "{way:?} {streams} streams: {whole} of {asked} whole, first token {:.2} ms median {:.2} ms p95, \
         {:.0} tokens/s, {:.4} ms of processor time a token",
        first.value_at_quantile(0.5) as f64 / 1_000.0,
        first.value_at_quantile(0.95) as f64 / 1_000.0,
        tokens as f64 / span,
        cpu / tokens.max(1) as f64,
    );
}

/// Returns the processor time of this process, in milliseconds.
fn process_millis() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<_> = after_name.split_whitespace().collect();
    let ticks = |at: usize| {
        fields
            .get(at)
            .and_then(|t| t.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    // User and system time, in hundredths of a second.
    (ticks(11) + ticks(12)) * 10.0
}
