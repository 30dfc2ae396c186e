//! Test fixture: an agent in front of a stand-in target on loopback, and a client of the agent.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::BoxStream;
use http::{Request, Response};
use http_body_util::{BodyDataStream, Full};
use hyper::body::Incoming;
use jsonrpsee::http_client::HttpClient;
use kumquatkeel_agent::{
    Agent, AgentHandle, AgentParts, AgentSettings, Configuration, RawAgentSettings,
};
use kumquatkeel_daemon::http::{PeerClient, rpc_client};
use kumquatkeel_daemon::metrics::Metrics;
use kumquatkeel_daemon::peer::PeerKey;
use kumquatkeel_daemon::rpc::AgentApiClient;
use kumquatkeel_platform::ObjectStore;
use kumquatkeel_standin::engine::{Engine, EngineOptions, EngineServer};
use kumquatkeel_types::document::{Document, RawDocument};
use kumquatkeel_types::message::{
    AttemptEvent, CompletionWork, Dispatch, FenceReply, FenceRequest, Member, Order, OrderAction,
    OrderReply, PlainWork, ReplicaState, Work,
};
use kumquatkeel_types::{AttemptId, Epoch, Incarnation, ModelId, RequestId, Revision};
use serde_json::json;
use tokio::sync::watch;

const KEY: &str = "a-peer-key-of-the-tests";
const ANY_PORT: &str = "127.0.0.1:0";
const TIMEOUT: Duration = Duration::from_secs(30);
const STATUS_PAUSE: Duration = Duration::from_millis(2);

/// The `order_delay` setting of the agents under test.
pub(crate) const ORDER_DELAY: Duration = Duration::from_millis(600);
/// The `order_lease` setting of the agents under test.
pub(crate) const ORDER_LEASE: Duration = Duration::from_millis(300);

pub(crate) fn model(name: &str) -> ModelId {
    ModelId {
        name: name.try_into().unwrap(),
        version: "1".try_into().unwrap(),
    }
}

fn document() -> RawDocument {
    serde_json::from_value(json!({
        "models": [
            { "name": "small", "version": "1", "memory_mb": 30, "kv_mb": 10, "slots": 1 },
            { "name": "large", "version": "1", "memory_mb": 60, "kv_mb": 10, "slots": 1 },
        ],
        "adapters": [{ "name": "tone", "model": "small", "memory_mb": 5 }],
    }))
    .unwrap()
}

pub(crate) fn engine_options() -> EngineOptions {
    EngineOptions {
        accelerators: 1,
        accelerator_mb: 100,
        models: document().models,
        adapters: document().adapters,
        load_time: Duration::from_millis(20),
        unload_time: Duration::from_millis(5),
        token_gap: Duration::from_millis(2),
        report_lag: Duration::from_millis(10),
        ..EngineOptions::default()
    }
}

pub(crate) fn start_engine(options: EngineOptions) -> (Engine, EngineServer) {
    let engine = Engine::new(options);
    let server = EngineServer::start(ANY_PORT.parse().unwrap(), engine.clone()).unwrap();
    (engine, server)
}

/// Concurrent attempts at a target, unless a test says otherwise.
const SLOTS: u32 = 4;

fn settings(kind: &str, target: SocketAddr, slots: u32) -> AgentSettings {
    let accelerators = u16::from(kind == "engine");
    let raw: RawAgentSettings = serde_json::from_value(json!({
        "name": "t1", "data_centre": "dc", "listen": ANY_PORT, "peer_key": KEY, "kind": kind,
        "target": target, "accelerators": accelerators, "accelerator_mb": 100 * accelerators,
        "slots": slots,
        "limits": {
            "order_delay_ms": ORDER_DELAY.as_millis() as u64, "order_lease_ms": ORDER_LEASE.as_millis() as u64,
            "poll_ms": 20, "stall_ms": 2_000,
        },
    }))
    .unwrap();
    AgentSettings::try_from(raw).unwrap()
}

/// An agent and clients of its endpoints.
pub(crate) struct TestAgent {
    pub(crate) agent: AgentHandle,
    rpc: HttpClient,
    http: PeerClient,
    numbers: std::sync::atomic::AtomicU64,
    _configuration: watch::Sender<Option<Configuration>>,
}

impl TestAgent {
    pub(crate) async fn engine(target: SocketAddr, store: Option<Arc<dyn ObjectStore>>) -> Self {
        Self::start(settings("engine", target, SLOTS), store).await
    }

    pub(crate) async fn plain(target: SocketAddr) -> Self {
        Self::plain_with_slots(target, SLOTS).await
    }

    pub(crate) async fn plain_with_slots(target: SocketAddr, slots: u32) -> Self {
        Self::start(settings("plain", target, slots), None).await
    }

    async fn start(settings: AgentSettings, store: Option<Arc<dyn ObjectStore>>) -> Self {
        let configuration = watch::Sender::new(Some(Configuration {
            revision: Revision(1),
            document: Arc::new(Document::try_from(document()).unwrap()),
        }));
        let mut parts = AgentParts::new(configuration.subscribe(), Metrics::start().unwrap());
        parts.store = store;
        let agent = Agent::start(settings, parts).await.unwrap();
        let key = PeerKey::try_from(KEY).unwrap();
        Self {
            rpc: rpc_client(agent.address(), &key, TIMEOUT).unwrap(),
            agent,
            http: PeerClient::new(),
            numbers: 1.into(),
            _configuration: configuration,
        }
    }

    pub(crate) fn next_number(&self) -> u64 {
        self.numbers
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed)
    }

    /// Posts a raw body to the attempts endpoint.
    pub(crate) async fn post(&self, body: impl Into<Bytes>) -> Response<Incoming> {
        let key = PeerKey::try_from(KEY).unwrap();
        let address = self.agent.address();
        let request = Request::post(format!("http://{address}/v1/attempts"))
            .header("authorization", key.header())
            .body(Full::from(body.into()))
            .unwrap();
        self.http.send("attempt", address, request).await.unwrap()
    }

    /// Sends a dispatch and returns a stream of its events.
    pub(crate) async fn send(&self, dispatch: &Dispatch) -> BoxStream<'static, AttemptEvent> {
        let response = self.post(serde_json::to_vec(dispatch).unwrap()).await;
        assert!(response.status().is_success(), "{}", response.status());
        parse_events(BodyDataStream::new(response.into_body()).map(Result::unwrap))
    }

    /// Sends a dispatch and returns all events once the stream has ended.
    pub(crate) async fn run(&self, dispatch: &Dispatch) -> Vec<AttemptEvent> {
        self.send(dispatch).await.collect().await
    }

    pub(crate) async fn status(&self) -> Member {
        self.rpc.status().await.unwrap()
    }

    pub(crate) async fn fence(&self, attempt: &AttemptId) -> FenceReply {
        let request = FenceRequest {
            attempt: attempt.clone(),
            incarnation: self.agent.incarnation(),
        };
        self.fence_as(request).await
    }

    pub(crate) async fn fence_as(&self, request: FenceRequest) -> FenceReply {
        self.rpc.fence(request).await.unwrap()
    }

    pub(crate) async fn order(&self, order: &Order) -> OrderReply {
        self.rpc.order(order.clone()).await.unwrap()
    }

    /// Returns an order of epoch 1 with a new number.
    pub(crate) fn make_order(&self, action: OrderAction) -> Order {
        Order {
            epoch: Epoch(1),
            number: self.next_number(),
            target: "t1".try_into().unwrap(),
            incarnation: self.agent.incarnation(),
            action,
        }
    }

    pub(crate) async fn load(&self, name: &str) -> OrderReply {
        let action = OrderAction::Load {
            model: model(name),
            accelerator: 0,
        };
        self.order(&self.make_order(action)).await
    }

    pub(crate) async fn unload(&self, name: &str) -> OrderReply {
        let action = OrderAction::Unload {
            model: model(name),
            accelerator: 0,
        };
        self.order(&self.make_order(action)).await
    }

    /// Polls the agent's status until it meets the condition.
    pub(crate) async fn wait_for(&self, condition: impl Fn(&Member) -> bool) -> Member {
        let reported = async {
            loop {
                let member = self.status().await;
                if condition(&member) {
                    return member;
                }
                tokio::time::sleep(STATUS_PAUSE).await;
            }
        };
        let reported = tokio::time::timeout(TIMEOUT, reported).await;
        reported.expect("the status must meet the condition in time")
    }

    /// Loads a model once the quarantine after the start is over, and waits until it is ready.
    pub(crate) async fn load_until_ready(&self, name: &str) {
        while let kumquatkeel_types::message::OrderResult::Quarantined { retry_after_ms } =
            self.load(name).await.result
        {
            tokio::time::sleep(Duration::from_millis(retry_after_ms.min(20))).await;
        }
        self.wait_for(|m| replica_state(m, name) == Some(ReplicaState::Ready))
            .await;
    }

    pub(crate) fn completion(&self, name: &str, max_tokens: u32) -> Dispatch {
        self.dispatch(Work::Completion(CompletionWork {
            model: model(name),
            adapter: None,
            prompt: "a box of 500 pieces".into(),
            max_tokens,
            seed: 7,
            resume: Vec::new(),
        }))
    }

    pub(crate) fn call(&self, key: &str) -> Dispatch {
        self.dispatch(Work::Plain(PlainWork {
            caller: None,
            path: "/swaps".into(),
            content_type: "application/json".into(),
            body: "{}".into(),
            key: Some(key.try_into().unwrap()),
        }))
    }

    fn dispatch(&self, work: Work) -> Dispatch {
        Dispatch {
            attempt: AttemptId {
                request: RequestId {
                    entry: "e1".try_into().unwrap(),
                    life: Incarnation(1),
                    number: self.next_number(),
                },
                number: 1,
            },
            incarnation: Some(self.agent.incarnation()),
            service: "assist".try_into().unwrap(),
            priority: 5,
            deadline_ms: 20_000,
            first_token_ms: 10_000,
            work,
        }
    }
}

fn parse_events(
    chunks: impl futures::Stream<Item = Bytes> + Send + 'static,
) -> BoxStream<'static, AttemptEvent> {
    let state = (Box::pin(chunks), Vec::new());
    let events = futures::stream::unfold(state, |(mut chunks, mut buffer)| async move {
        loop {
            if let Some(end) = buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = buffer.drain(..=end).collect();
                let event = serde_json::from_slice(&line).unwrap();
                return Some((event, (chunks, buffer)));
            }
            buffer.extend_from_slice(&chunks.next().await?);
        }
    });
    events.boxed()
}

pub(crate) fn replica_state(member: &Member, name: &str) -> Option<ReplicaState> {
    let target = member.target.as_ref()?;
    let replica = target.replicas.iter().find(|r| r.model == model(name))?;
    Some(replica.state)
}

pub(crate) fn committed_mb(member: &Member) -> u32 {
    member.target.as_ref().map_or(0, |t| t.committed_mb[0])
}

pub(crate) fn running(member: &Member) -> u32 {
    member.target.as_ref().map_or(0, |t| t.load.running)
}
