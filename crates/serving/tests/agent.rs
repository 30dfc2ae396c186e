//! Runs an agent over loopback beside a simulated engine.
//!
//! Guards against an engine that stays empty after it has restarted, alone or together with its
//! agent, against backlog that one entry adds and another can't see, and against reports sent to
//! agents that don't need them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use kumquatkeel_core::serving::{
    AccountAsk, Backlog, Band, ClientLimits, EngineOrder, EngineReport, EngineSpec, Incarnation,
    ModelDemand, ModelSpec, RequestRate, ResidentModel, ServiceSpec, ServingConfig, StatedLimit,
    StreamOrigin, Target, TargetId, TargetNotice, TargetState,
};
use kumquatkeel_core::store::StorePosition;
use kumquatkeel_serving::agent::{Agent, AgentSettings};
use kumquatkeel_serving::gossip::{
    AccountRequest, AgentHeartbeat, BacklogQuery, BacklogUpdate, Datagram, EntryHeartbeat,
    GossipSocket, LimitRecord, OriginRecord, Stamp,
};
use kumquatkeel_serving::locality::Locality;
use kumquatkeel_serving::platform::{
    EngineClient, FeedBatch, FeedItem, FeedKind, ObjectFeed, OrderReply, PlatformError, ReadMode,
    TargetStatus,
};
use kumquatkeel_serving::signals::Signals;
use tokio::time::{Instant, sleep, timeout};

const SERVICE: &str = "assist";
const BORN: u64 = 2_000;

fn engine_address() -> SocketAddr {
    ([127, 0, 0, 1], 9).into()
}

/// An engine that completes each load at once.
#[derive(Debug, Default)]
struct Engine {
    state: Mutex<(u64, EngineReport)>,
    notice: Mutex<TargetNotice>,
    loads: Mutex<Vec<Arc<str>>>,
}

impl Engine {
    /// Starts another incarnation with no model loaded and copies of all models on its disk.
    fn restart(&self, born: u64) {
        let cached = ["hot", "rare", "other"].map(Arc::from).to_vec();
        let report = EngineReport {
            cached,
            ..EngineReport::default()
        };
        *self.state.lock().unwrap() = (born, report);
    }

    async fn wait_for_loads(&self, count: usize) -> Vec<Arc<str>> {
        let end = Instant::now() + Duration::from_secs(5);
        while self.loads.lock().unwrap().len() < count && Instant::now() < end {
            sleep(Duration::from_millis(10)).await;
        }
        std::mem::take(&mut *self.loads.lock().unwrap())
    }
}

#[async_trait]
impl EngineClient for Engine {
    async fn report(&self) -> Result<TargetStatus, PlatformError> {
        let (born, report) = self.state.lock().unwrap().clone();
        Ok(TargetStatus {
            born,
            report,
            notice: *self.notice.lock().unwrap(),
        })
    }

    async fn order(&self, _: &TargetId, order: &EngineOrder) -> Result<OrderReply, PlatformError> {
        let report = &mut self.state.lock().unwrap().1;
        if order.expected != report.order_seq {
            return Ok(OrderReply::Conflict);
        }
        report.order_seq += 1;
        report.models.push(ResidentModel {
            name: order.model.clone(),
            adapters: Vec::new(),
        });
        self.loads.lock().unwrap().push(order.model.clone());
        Ok(OrderReply::Accepted)
    }
}

/// A store of one configuration and the given targets, all of which each watch returns again.
#[derive(Debug)]
struct Objects {
    targets: Mutex<Vec<Target>>,
}

#[async_trait]
impl ObjectFeed for Objects {
    async fn list(&self, kind: FeedKind, _: ReadMode) -> Result<FeedBatch, PlatformError> {
        let items = match kind {
            FeedKind::Config => vec![FeedItem::Config {
                config: Box::new(config()),
                position: StorePosition::default(),
            }],
            FeedKind::Targets => {
                let targets = self.targets.lock().unwrap().clone();
                targets.into_iter().map(FeedItem::Target).collect()
            }
        };
        Ok(FeedBatch {
            items,
            revision: 1,
            era: None,
        })
    }

    async fn watch(
        &self,
        kind: FeedKind,
        mode: ReadMode,
        _: u64,
        _: Duration,
    ) -> Result<FeedBatch, PlatformError> {
        sleep(Duration::from_millis(50)).await;
        self.list(kind, mode).await
    }
}

fn config() -> ServingConfig {
    let model = |name: &str| {
        let name: Arc<str> = Arc::from(name);
        let spec = ModelSpec {
            name: name.clone(),
            weights_mb: 70_000.0,
            load: Duration::from_secs(6),
            disk_load: Duration::from_secs(1),
            adapters: 0,
            adapter_mb: 40.0,
        };
        (name, spec)
    };
    let engine = EngineSpec {
        weights_mb: 200_000.0,
        adapter_slots: 8,
        load_rate: 1.0,
        models: ["hot", "rare", "other"].map(model).into(),
    };
    let service = ServiceSpec {
        name: Arc::from(SERVICE),
        engine: Some(engine),
    };
    ServingConfig {
        version: 1,
        routes: Vec::new(),
        services: [(service.name.clone(), service)].into(),
        accounts: None,
        limits: ClientLimits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
    }
}

fn listed(id: &str, address: SocketAddr, born: u64, models: &[&str]) -> Target {
    Target {
        id: TargetId::from(id),
        service: Arc::from(SERVICE),
        version: Arc::from("v1"),
        address,
        data_centre: Arc::from("a"),
        slots: 64,
        state: TargetState::Ready,
        born,
        models: models.iter().map(|m| Arc::from(*m)).collect(),
    }
}

async fn start_agent(engine: &Arc<Engine>, objects: &Arc<Objects>) -> SocketAddr {
    let settings = AgentSettings {
        instance: Arc::from("agent"),
        gossip: ([127, 0, 0, 1], 0).into(),
        metrics: None,
        target: engine_address(),
        locality: Locality {
            data_centre: Arc::from("a"),
            regions: BTreeMap::new(),
        },
    };
    let agent = Agent::start(settings, engine.clone()).await.unwrap();
    let address = agent.gossip();
    let signals = Signals::install().unwrap();
    tokio::spawn(agent.run(objects.clone(), signals));
    address
}

fn names(models: &[Arc<str>]) -> Vec<&str> {
    models.iter().map(|m| &**m).collect()
}

/// After a power loss neither the agent nor its engine has any state; the platform's list still
/// holds the earlier incarnation with its models.
#[tokio::test]
async fn after_a_power_loss_an_engine_loads_the_models_listed_for_its_predecessor() {
    let engine = Arc::new(Engine::default());
    engine.restart(BORN);
    let neighbour = ([127, 0, 0, 1], 10).into();
    let objects = Arc::new(Objects {
        targets: Mutex::new(vec![
            listed("old", engine_address(), 1_000, &["rare", "hot"]),
            listed("neighbour", neighbour, 1_000, &["hot"]),
            listed("new", engine_address(), BORN, &[]),
        ]),
    });
    start_agent(&engine, &objects).await;
    let loads = engine.wait_for_loads(2).await;
    assert_eq!(
        names(&loads),
        ["hot", "rare"],
        "only models of the earlier incarnation are loaded, the one with most copies first"
    );
}

/// When only the engine crashes, its agent's last report is newer than the platform's list.
#[tokio::test]
async fn after_a_crash_an_engine_loads_the_models_of_its_last_report() {
    let engine = Arc::new(Engine::default());
    engine.restart(BORN);
    let objects = Arc::new(Objects {
        targets: Mutex::new(vec![
            listed("old", engine_address(), 1_000, &["other"]),
            listed("one", engine_address(), BORN, &[]),
        ]),
    });
    start_agent(&engine, &objects).await;
    assert_eq!(names(&engine.wait_for_loads(1).await), ["other"]);
    sleep(Duration::from_millis(300)).await;

    engine.restart(BORN + 1);
    let next = listed("two", engine_address(), BORN + 1, &[]);
    objects.targets.lock().unwrap().push(next);
    assert_eq!(names(&engine.wait_for_loads(1).await), ["other"]);
}

/// Reads datagrams until the agent answers a backlog query; returns the backlog of other entries.
async fn receive_backlog(socket: &GossipSocket) -> Backlog {
    loop {
        let (_, datagram) = socket.receive().await;
        if let Datagram::Count(reply) = datagram {
            return reply.others;
        }
    }
}

/// Several entries send to one engine: requests that one of them has just sent must count when
/// another chooses a target.
#[tokio::test]
async fn a_backlog_query_includes_what_other_entries_have_just_sent() {
    let engine = Arc::new(Engine::default());
    engine.restart(BORN);
    let objects = Arc::new(Objects {
        targets: Mutex::new(vec![listed("one", engine_address(), BORN, &[])]),
    });
    let agent = start_agent(&engine, &objects).await;
    let local: SocketAddr = ([127, 0, 0, 1], 0).into();
    let (first, second) = (
        GossipSocket::bind(local).await.unwrap(),
        GossipSocket::bind(local).await.unwrap(),
    );
    let target = TargetId::from("one");
    let mut stamp = Stamp::start();
    let mut backlog = Backlog::default();
    backlog.add(Duration::from_millis(70), Band::First);
    let query = Datagram::Query(BacklogQuery {
        target: target.clone(),
    });
    let heartbeat = Datagram::Entry(EntryHeartbeat {
        stamp: stamp.advance(),
        target: target.clone(),
        backlog: Backlog::default(),
        adapters: Vec::new(),
        remote: false,
        demand: Vec::new(),
    });
    let update = |stamp: Stamp, target: &str| {
        Datagram::Note(BacklogUpdate {
            stamp,
            target: TargetId::from(target),
            backlog,
        })
    };
    sleep(Duration::from_millis(400)).await;
    first.send(agent, &heartbeat);
    first.send(agent, &update(stamp.advance(), "one"));
    second.send(agent, &query);
    let others = timeout(Duration::from_secs(2), receive_backlog(&second))
        .await
        .unwrap();
    assert_eq!(others, backlog);

    // A backlog at an earlier incarnation doesn't count for the current one.
    first.send(agent, &update(stamp.advance(), "earlier"));
    first.send(agent, &query);
    let others = timeout(Duration::from_secs(2), receive_backlog(&first))
        .await
        .unwrap();
    assert_eq!(
        others,
        Backlog::default(),
        "the answer leaves out the asking entry's own backlog"
    );
}

/// With dozens of agents, reports sent to all of them were most of the bytes between regions.
#[tokio::test]
async fn only_planner_candidates_are_sent_reports() {
    let engine = Arc::new(Engine::default());
    engine.restart(BORN);
    let local = |last: u8| SocketAddr::from(([127, 0, 0, last], 0));
    let target = |last: u8| listed(&format!("t{last}"), local(last), 1, &[]);
    let mut targets: Vec<Target> = (2..6).map(target).collect();
    targets.push(listed("one", engine_address(), BORN, &[]));
    let objects = Arc::new(Objects {
        targets: Mutex::new(targets),
    });
    let agent = start_agent(&engine, &objects).await;
    let mut agents = Vec::new();
    for last in 2..6 {
        let address = SocketAddr::new(local(last).ip(), agent.port());
        agents.push(GossipSocket::bind(address).await.unwrap());
    }
    // `try_send_to` on a new socket fails until the runtime has seen that it is writable.
    sleep(Duration::from_millis(50)).await;
    for socket in &agents {
        socket.send(agent, &Datagram::Alive(Stamp::start()));
    }
    sleep(Duration::from_millis(1_200)).await;
    let mut reports = Vec::new();
    for socket in &agents {
        let mut last = None;
        while let Ok((_, datagram)) = timeout(Duration::from_millis(50), socket.receive()).await {
            last = Some(matches!(datagram, Datagram::Agent(_)));
        }
        reports.push(last);
    }
    assert_eq!(reports, [Some(true), Some(true), Some(true), Some(false)]);
}

/// Reads datagrams until the agent spreads a limit; returns it.
async fn receive_limit(socket: &GossipSocket) -> Option<RequestRate> {
    loop {
        let (_, datagram) = socket.receive().await;
        if let Datagram::LimitNotice(record) = datagram {
            return record.rate;
        }
    }
}

/// Sends an entry's statement on the limit of target `one`.
fn send_limit(socket: &GossipSocket, agent: SocketAddr, rate: Option<RequestRate>) {
    let record = LimitRecord {
        target: TargetId::from("one"),
        rate,
        age_ms: 0,
    };
    socket.send(agent, &Datagram::Limit(record));
}

/// Entries without a permit get no answers from a target, and learn of its limit from its agent alone.
#[tokio::test]
async fn entries_learn_that_a_limit_begins_and_ends() {
    let engine = Arc::new(Engine::default());
    let (agent, entry) = start_agent_and_entry(&engine, Vec::new()).await;
    let limited = async |limit| {
        let received = timeout(Duration::from_secs(3), receive_limit(&entry)).await;
        assert_eq!(received.expect("the agent spreads the limit"), limit);
    };
    let rate = |per_second| RequestRate::try_from(per_second).ok();

    // Named in answers to entries only, which the engine's reports don't contradict.
    send_limit(&entry, agent, rate(2.0));
    limited(rate(2.0)).await;
    sleep(Duration::from_millis(300)).await;
    send_limit(&entry, agent, None);
    limited(None).await;

    // Named in the engine's reports too.
    engine.notice.lock().unwrap().limit = StatedLimit::Rate(rate(3.0).unwrap());
    limited(rate(3.0)).await;
    engine.notice.lock().unwrap().limit = StatedLimit::Absent;
    limited(None).await;
}

/// Starts an agent beside target `one`, whose engine is empty, and an entry known to it.
async fn start_agent_and_entry(
    engine: &Arc<Engine>,
    others: Vec<Target>,
) -> (SocketAddr, GossipSocket) {
    engine.restart(BORN);
    let mut targets = others;
    targets.push(listed("one", engine_address(), BORN, &[]));
    let objects = Arc::new(Objects {
        targets: Mutex::new(targets),
    });
    let agent = start_agent(engine, &objects).await;
    let entry = GossipSocket::bind(([127, 0, 0, 1], 0).into())
        .await
        .unwrap();
    sleep(Duration::from_millis(300)).await;
    entry.send(agent, &Datagram::Entry(entry_heartbeat(Vec::new())));
    sleep(Duration::from_millis(100)).await;
    (agent, entry)
}

fn entry_heartbeat(demand: Vec<ModelDemand>) -> EntryHeartbeat {
    EntryHeartbeat {
        stamp: Stamp::start().advance(),
        target: TargetId::from("one"),
        backlog: Backlog::default(),
        adapters: Vec::new(),
        remote: false,
        demand,
    }
}

fn incarnation(id: &str, born: u64) -> Incarnation {
    let id = TargetId::from(id);
    Incarnation { id, born }
}

/// Reads datagrams until the agent spreads that a target leaves.
async fn receive_leaving(socket: &GossipSocket) -> Incarnation {
    let receive = async {
        loop {
            if let (_, Datagram::Leaving(incarnation)) = socket.receive().await {
                return incarnation;
            }
        }
    };
    let received = timeout(Duration::from_secs(3), receive).await;
    received.expect("the agent spreads that the target leaves")
}

#[tokio::test]
async fn entries_are_not_told_that_an_engine_leaves_by_its_report() {
    let engine = Arc::new(Engine::default());
    let (_, entry) = start_agent_and_entry(&engine, Vec::new()).await;
    engine.notice.lock().unwrap().leaving = true;
    assert_eq!(receive_leaving(&entry).await, incarnation("one", BORN));
}

#[tokio::test]
async fn entries_are_not_told_that_an_engine_leaves_by_its_answers_to_others() {
    let engine = Arc::new(Engine::default());
    let (agent, entry) = start_agent_and_entry(&engine, Vec::new()).await;
    let other = GossipSocket::bind(([127, 0, 0, 1], 0).into())
        .await
        .unwrap();
    sleep(Duration::from_millis(50)).await;
    // A statement of an earlier incarnation is not spread.
    other.send(agent, &Datagram::Leaving(incarnation("one", BORN - 1)));
    other.send(agent, &Datagram::Leaving(incarnation("one", BORN)));
    for _ in 0..2 {
        assert_eq!(receive_leaving(&entry).await, incarnation("one", BORN));
    }
}

#[tokio::test]
async fn a_model_that_only_a_leaving_target_holds_is_not_loaded_elsewhere() {
    let engine = Arc::new(Engine::default());
    let address = SocketAddr::from(([127, 0, 0, 2], 9));
    let holder = listed("two", address, 1, &["rare"]);
    let (agent, entry) = start_agent_and_entry(&engine, vec![holder.clone()]).await;
    let beside = SocketAddr::new(address.ip(), agent.port());
    let other = GossipSocket::bind(beside).await.unwrap();
    let mut stamp = Stamp::start();
    let report = EngineReport {
        models: vec![ResidentModel {
            name: Arc::from("rare"),
            adapters: Vec::new(),
        }],
        ..EngineReport::default()
    };
    let mut report_for = async |time: Duration| {
        let end = Instant::now() + time;
        while Instant::now() < end {
            let heartbeat = AgentHeartbeat {
                stamp: stamp.advance(),
                target: holder.id.clone(),
                report: report.clone(),
                cached: None,
                planner: false,
                entries: 1,
                others: Backlog::default(),
                interval_ms: 500,
            };
            other.send(agent, &Datagram::Agent(heartbeat));
            let demand = ModelDemand {
                model: Arc::from("rare"),
                rate_us: 20_000,
            };
            entry.send(agent, &Datagram::Entry(entry_heartbeat(vec![demand])));
            sleep(Duration::from_millis(100)).await;
        }
    };
    report_for(Duration::from_secs(3)).await;
    assert!(
        engine.loads.lock().unwrap().is_empty(),
        "one copy is enough"
    );
    other.send(agent, &Datagram::Leaving(holder.incarnation()));
    report_for(Duration::from_secs(2)).await;
    let loads = engine.loads.lock().unwrap().clone();
    assert_eq!(names(&loads), ["rare"]);
}

/// Entries ask the agents that are holders by the present list, which may not be those that were told.
#[tokio::test]
async fn an_agent_that_becomes_a_holder_does_not_know_earlier_streams() {
    let engine = Arc::new(Engine::default());
    engine.restart(BORN);
    let objects = Arc::new(Objects {
        targets: Mutex::new(vec![listed("one", engine_address(), BORN, &[])]),
    });
    let agent = start_agent(&engine, &objects).await;
    let entry = GossipSocket::bind(([127, 0, 0, 1], 0).into());
    let entry = entry.await.unwrap();
    sleep(Duration::from_millis(400)).await;
    let added = SocketAddr::from(([127, 0, 0, 7], agent.port()));
    let added = GossipSocket::bind(added).await.unwrap();
    let record = OriginRecord {
        attempt: "a1".into(),
        origin: StreamOrigin {
            service: SERVICE.into(),
            version: "v1".into(),
        },
        life_ms: 60_000,
    };
    entry.send(agent, &Datagram::Began(record.clone()));
    sleep(Duration::from_millis(100)).await;
    let neighbour = listed("two", ([127, 0, 0, 7], 9).into(), 1, &[]);
    objects.targets.lock().unwrap().push(neighbour);
    // The life that is left shrinks on the way.
    let is_told = |datagram| match datagram {
        Datagram::Began(told) => {
            assert!((50_000..60_000).contains(&told.life_ms), "{told:?}");
            told.attempt == record.attempt && told.origin == record.origin
        }
        _ => false,
    };
    let told = async { while !is_told(added.receive().await.1) {} };
    timeout(Duration::from_secs(5), told)
        .await
        .expect("the holder is told");
}

/// A standby issuer takes an agent that answers probes for the issuer and sends entries there; without the
/// list of agents that agent leaves them without a reply.
#[tokio::test]
async fn an_agent_answers_probes_once_it_can_issue() {
    let engine = Arc::new(Engine::default());
    engine.restart(BORN);
    let objects = Arc::new(Objects {
        targets: Mutex::new(vec![listed("one", engine_address(), BORN, &[])]),
    });
    let agent = start_agent(&engine, &objects).await;
    let peer = GossipSocket::bind(([127, 0, 0, 1], 0).into());
    let peer = peer.await.unwrap();
    let probe_reply = async || {
        peer.send(agent, &Datagram::Probe);
        let reply = async { while peer.receive().await.1 != Datagram::ProbeReply {} };
        timeout(Duration::from_millis(500), reply).await.is_ok()
    };
    let query = Datagram::Query(BacklogQuery {
        target: TargetId::from("one"),
    });
    let start = async {
        loop {
            peer.send(agent, &query);
            let reply = timeout(Duration::from_millis(100), receive_backlog(&peer));
            if reply.await.is_ok() {
                break;
            }
        }
    };
    timeout(Duration::from_secs(5), start)
        .await
        .expect("the agent starts");
    assert!(!probe_reply().await, "the list of agents is not in use yet");
    let request = Datagram::Account(AccountRequest {
        incarnation: 1,
        number: 1,
        ask: AccountAsk {
            account: "north".into(),
            version: 1,
            rate: 10.0,
            burst: 10.0,
            cost: 1,
            priority: 0,
            patience_ms: 0,
            top_up: 0,
            elsewhere: 0,
            recent: [0; 4],
            refunded: 0,
        },
    });
    let answer = async {
        loop {
            peer.send(agent, &request);
            let reply = timeout(Duration::from_millis(100), peer.receive()).await;
            if matches!(reply, Ok((_, Datagram::AccountReply(_)))) {
                break;
            }
        }
    };
    timeout(Duration::from_secs(5), answer)
        .await
        .expect("the agent answers requests to spend");
    assert!(probe_reply().await, "the agent can issue");
}
