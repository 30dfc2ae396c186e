//! The stand-ins in this process and the daemons in theirs.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Deref;
use std::sync::Arc;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use kumquatkeel_daemon::config::{Proposal, commit_document};
use kumquatkeel_daemon::http::PeerClient;
use kumquatkeel_platform::WriteIdGenerator;
use kumquatkeel_standin::demo::{CALLER_KEY, Caller, OPERATOR_KEY};
use kumquatkeel_standin::engine::{Engine, EngineOptions, EngineServer};
use kumquatkeel_standin::fleet::PEER_KEY;
use kumquatkeel_standin::plain::{PlainServer, PlainService};
use kumquatkeel_standin::platform::{MemoryStore, PlatformServer};
use kumquatkeel_types::document::{RawDocument, Target, TargetKind};
use kumquatkeel_types::message::{MemberState, Role};
use kumquatkeel_types::operator::{ApplyReply, ApplyRequest, CurrentDocument, StatusReport};
use kumquatkeel_types::{Revision, jsonc};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use super::daemon::Daemon;
use super::{EVENT_LIMIT, LOOK};

const DOCUMENT: &str = include_str!("document.jsonc");
const AGENT: &str = "kumquatkeel-agent";
const ENTRY: &str = "kumquatkeel-entry";

/// What callers and checks need of the site.
#[derive(Clone)]
pub(crate) struct SiteHandle {
    pub(crate) caller: Caller,
    pub(crate) callers: Vec<SocketAddr>,
    pub(crate) store: MemoryStore,
    pub(crate) plain: PlainService,
    engines: BTreeMap<String, Engine>,
}

pub(crate) struct Site {
    handle: SiteHandle,
    agents: BTreeMap<String, Daemon>,
    settings: BTreeMap<String, Value>,
    entries: Vec<Daemon>,
    directory: tempfile::TempDir,
    servers: (PlatformServer, Vec<EngineServer>, PlainServer),
}

impl Deref for Site {
    type Target = SiteHandle;

    fn deref(&self) -> &SiteHandle {
        &self.handle
    }
}

/// An address of loopback that only the daemons of this test use; any free port.
const RESERVED: (Ipv4Addr, u16) = (Ipv4Addr::new(127, 0, 7, 1), 0);

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Returns addresses for daemons that are started later.
///
/// They are on a loopback address of their own, where no other socket can take the ports meanwhile.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<_> = (0..count)
        .map(|_| TcpListener::bind(RESERVED).expect("binds"))
        .collect();
    let address = |listener: &TcpListener| listener.local_addr().expect("has an address");
    listeners.iter().map(address).collect()
}

impl Site {
    pub(crate) async fn start() -> Self {
        let mut document: RawDocument = jsonc::parse(DOCUMENT).expect("document");
        let addresses = free_addresses(document.targets.len() + 2);
        let (agents, internals) = addresses.split_at(document.targets.len());
        for (target, agent) in document.targets.iter_mut().zip(agents) {
            target.agent = *agent;
        }
        let store = MemoryStore::new();
        let platform = PlatformServer::start(loopback(), store.clone()).expect("starts");
        commit(&store, &document).await;
        let plain = PlainService::new(std::time::Duration::from_millis(200));
        let plain_server = PlainServer::start(loopback(), plain.clone()).expect("starts");
        let mut site = Self {
            handle: SiteHandle {
                caller: Caller::new(CALLER_KEY),
                callers: Vec::new(),
                store,
                plain,
                engines: BTreeMap::new(),
            },
            agents: BTreeMap::new(),
            settings: BTreeMap::new(),
            entries: Vec::new(),
            directory: tempfile::tempdir().expect("makes a directory"),
            servers: (platform, Vec::new(), plain_server),
        };
        for target in &document.targets {
            site.add_agent(&document, target, internals).await;
        }
        for (number, internal) in internals.iter().enumerate() {
            site.start_entry(number, *internal, internals).await;
        }
        site
    }

    pub(crate) fn handle(&self) -> SiteHandle {
        self.handle.clone()
    }

    /// Takes an agent out, to be stopped.
    pub(crate) fn take_agent(&mut self, name: &str) -> Daemon {
        self.agents.remove(name).expect("agent")
    }

    /// Starts the agent of a target again.
    pub(crate) async fn start_agent(&mut self, name: &str) {
        let settings = &self.settings[name];
        let daemon = Daemon::start(AGENT, self.directory.path(), settings).await;
        self.agents.insert(name.into(), daemon);
    }

    /// Ends an entry at once; callers do not use it any more.
    pub(crate) async fn kill_entry(&mut self, number: usize) {
        self.entries.remove(number).kill().await;
        self.handle.callers.remove(number);
    }

    /// Applies a changed document through an entry and returns its revision.
    pub(crate) async fn apply(&self) -> Revision {
        let current: CurrentDocument = self.operate(Method::GET, "document", Bytes::new()).await;
        let mut document = current.document;
        document.policy.link_bytes = 1_000_001;
        let request = ApplyRequest {
            base: Some(current.revision),
            document,
        };
        let body = serde_json::to_vec(&request).expect("encodes");
        let reply = self.operate(Method::PUT, "document", body.into()).await;
        match reply {
            ApplyReply::Committed { revision } => revision,
            reply => panic!("not committed: {reply:?}"),
        }
    }

    /// Waits until every process that serves works from a revision.
    pub(crate) async fn wait_in_force(&self, revision: Revision) {
        let end = tokio::time::Instant::now() + EVENT_LIMIT;
        loop {
            let status: StatusReport = self.operate(Method::GET, "status", Bytes::new()).await;
            let serving = |state| state == MemberState::Serving;
            let behind = status.members.iter().filter(|member| {
                let stopped = match &member.role {
                    Role::Agent(name) => !self.agents.contains_key(name.as_str()),
                    Role::Entry(_) => false,
                };
                !stopped && serving(member.state) && member.revision < revision
            });
            let behind = behind.count();
            if behind == 0 && status.revision >= revision {
                return;
            }
            assert!(tokio::time::Instant::now() < end, "{status:?}");
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Stops every daemon gracefully.
    pub(crate) async fn stop(mut self) {
        for daemon in self.entries.iter_mut().chain(self.agents.values_mut()) {
            daemon.terminate();
            assert!(daemon.wait().await.success());
        }
    }

    async fn add_agent(&mut self, document: &RawDocument, target: &Target, relays: &[SocketAddr]) {
        let address = match target.kind {
            TargetKind::Plain => self.servers.2.address(),
            TargetKind::Engine => {
                let engine = Engine::new(EngineOptions::of_target(document, target));
                let server = EngineServer::start(loopback(), engine.clone()).expect("starts");
                let address = server.address();
                self.servers.1.push(server);
                self.handle.engines.insert(target.name.to_string(), engine);
                address
            }
        };
        let settings = json!({
            "name": target.name, "data_centre": target.data_centre, "listen": target.agent,
            "peer_key": PEER_KEY, "kind": target.kind, "target": address,
            "accelerators": target.accelerators, "accelerator_mb": target.accelerator_mb,
            "fencing": target.fencing, "store": self.servers.0.address(), "relays": relays,
        });
        self.settings.insert(target.name.to_string(), settings);
        self.start_agent(target.name.as_str()).await;
    }

    async fn start_entry(&mut self, number: usize, internal: SocketAddr, all: &[SocketAddr]) {
        let settings = json!({
            "name": format!("entry-{number}"), "data_centre": "kol-salt", "listen": loopback(),
            "internal": internal, "platform": self.servers.0.address(), "entries": all,
            "peer_key": PEER_KEY, "drain_ms": 100,
        });
        let daemon = Daemon::start(ENTRY, self.directory.path(), &settings).await;
        self.handle.callers.push(daemon.address);
        self.entries.push(daemon);
    }

    async fn operate<T: DeserializeOwned>(&self, method: Method, path: &str, body: Bytes) -> T {
        let peer = self.callers[0];
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{peer}/operator/{path}"))
            .header(AUTHORIZATION, format!("Bearer {OPERATOR_KEY}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .expect("request");
        let response = PeerClient::new().send("operate", peer, request).await;
        let body = response.expect("answers").into_body().collect().await;
        let bytes = body.expect("reads").to_bytes();
        let text = || String::from_utf8_lossy(&bytes).into_owned();
        serde_json::from_slice(&bytes).unwrap_or_else(|error| panic!("{error}: {}", text()))
    }
}

impl SiteHandle {
    /// Waits until a completion runs.
    pub(crate) async fn wait_running(&self) {
        self.wait(|site| site.find_busy().is_some()).await;
    }

    /// Waits until the plain service has been called so often.
    pub(crate) async fn wait_calls(&self, calls: u64) {
        self.wait(|site| site.plain.faults().calls() >= calls).await;
    }

    /// Returns the target of an engine on which a completion runs.
    pub(crate) fn busy_engine(&self) -> String {
        self.find_busy().expect("an engine runs a completion")
    }

    /// Returns how many runs all engines have begun.
    pub(crate) fn runs(&self) -> usize {
        let runs = |engine: &Engine| engine.record().runs.len();
        self.engines.values().map(runs).sum()
    }

    fn find_busy(&self) -> Option<String> {
        use kumquatkeel_standin::engine::RunEnd;
        let busy = |engine: &Engine| {
            let runs = engine.record().runs;
            runs.iter()
                .any(|run| run.end == RunEnd::Running && run.sent > 0)
        };
        let found = self.engines.iter().find(|(_, engine)| busy(engine));
        found.map(|(name, _)| name.clone())
    }

    async fn wait(&self, holds: impl Fn(&Self) -> bool) {
        let end = tokio::time::Instant::now() + EVENT_LIMIT;
        while !holds(self) {
            assert!(tokio::time::Instant::now() < end, "the event did not come");
            tokio::time::sleep(LOOK).await;
        }
    }
}

async fn commit(store: &MemoryStore, document: &RawDocument) {
    let ids = WriteIdGenerator::new("operator", &mut rand::rng());
    let proposal = Proposal {
        document: document.clone(),
        base: None,
    };
    let store: Arc<MemoryStore> = Arc::new(store.clone());
    commit_document(&*store, &ids, proposal)
        .await
        .expect("commits");
}
