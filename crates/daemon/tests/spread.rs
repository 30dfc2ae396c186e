//! Distribution of the configuration and of member reports among many daemons, over an in-memory
//! transport and a fake store, in paused time.
//!
//! Guards against daemons that stay on an old revision, and against wrong verdicts on other
//! processes (gone while alive, or alive while gone), after crashes, outages and network partitions.

#[path = "../../platform/tests/common/mod.rs"]
mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use common::FakeStore;
use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_daemon::config::{CommitOutcome, Proposal, commit_document};
use kumquatkeel_daemon::spread::{
    CentreStatus, Hub, PollError, STATUS_PREFIX, SharedView, SpreadClient, SpreadOptions,
    SpreadTransport,
};
use kumquatkeel_platform::{ObjectKey, ObjectStore, Precondition, WriteId, WriteIdGenerator};
use kumquatkeel_types::document::{RawDocument, Region};
use kumquatkeel_types::message::{
    Member, MemberState, MemberVersion, PollReply, PollRequest, Role,
};
use kumquatkeel_types::{DataCentreName, EntryName, Incarnation, RegionName, Revision, TargetName};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;
use rstest::rstest;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Time within which a change must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(6);

/// In-memory transport between daemons, with faults.
#[derive(Default)]
struct Network {
    hubs: Mutex<BTreeMap<SocketAddr, Arc<Hub>>>,
    /// Addresses of daemons that can neither send nor receive.
    cut: Mutex<BTreeSet<SocketAddr>>,
    /// A data centre that is partitioned from the others.
    partitioned: Mutex<Option<DataCentreName>>,
}

#[async_trait]
impl SpreadTransport for Network {
    async fn poll(&self, peer: SocketAddr, request: PollRequest) -> Result<PollReply, PollError> {
        let failed = |reason: &str| PollError {
            peer,
            reason: reason.into(),
        };
        sleep(Duration::from_millis(1)).await;
        let from = request.member.address;
        let is_partitioned =
            |a: &SocketAddr| Some(centre(a.port())) == *self.partitioned.lock().unwrap();
        let is_cut = |a: &SocketAddr| {
            self.cut.lock().unwrap().contains(a) || is_partitioned(&peer) != is_partitioned(&from)
        };
        let hub = self.hubs.lock().unwrap().get(&peer).cloned();
        let hub = hub.filter(|_| !is_cut(&peer) && !is_cut(&from));
        let hub = hub.ok_or_else(|| failed("no connection"))?;
        let reply = hub.answer(request).await;
        if is_cut(&peer) || is_cut(&from) {
            return Err(failed("reply lost"));
        }
        Ok(reply)
    }
}

struct Daemon {
    hub: Arc<Hub>,
    client: SpreadClient,
}

struct Cluster {
    network: Arc<Network>,
    store: Arc<FakeStore>,
    ids: Arc<WriteIdGenerator>,
    daemons: BTreeMap<SocketAddr, Daemon>,
}

fn address(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], number).into()
}

fn centre(number: u16) -> DataCentreName {
    DataCentreName::try_from(format!("centre-{}", number % 3)).unwrap()
}

fn member(number: u16, agent: bool, incarnation: u64) -> Member {
    let name = format!("daemon-{number}");
    let role = if agent {
        Role::Agent(TargetName::try_from(name).unwrap())
    } else {
        Role::Entry(EntryName::try_from(name).unwrap())
    };
    Member {
        role,
        version: MemberVersion {
            incarnation: Incarnation(incarnation),
            sequence: 1,
        },
        data_centre: centre(number),
        address: address(number),
        state: MemberState::Serving,
        revision: Revision::default(),
        target: None,
    }
}

fn document(number: u32) -> RawDocument {
    let region = RegionName::try_from(format!("region-{number}")).unwrap();
    RawDocument {
        regions: vec![Region {
            name: region,
            data_centres: vec![centre(0), centre(1), centre(2)],
        }],
        ..RawDocument::default()
    }
}

impl Cluster {
    async fn start(entries: u16, agents: u16) -> Self {
        let mut rng = Pcg64::seed_from_u64(7);
        let mut cluster = Self {
            network: Arc::default(),
            store: Arc::default(),
            ids: Arc::new(WriteIdGenerator::new("test", &mut rng)),
            daemons: BTreeMap::new(),
        };
        cluster.commit(1, None).await;
        for number in 1..=entries + agents {
            cluster.run(member(number, number > entries, 1));
        }
        cluster.wait_for_revision(Revision(1)).await;
        let known = usize::from(entries);
        let all = |hub: &Hub| hub.view().borrow().serving_entries().count() == known;
        cluster.wait_until("not all entries are known", all).await;
        cluster
    }

    fn run(&mut self, member: Member) -> Arc<Hub> {
        let address = member.address;
        let hub_id = u64::from(address.port()) * 1_000 + member.version.incarnation.0;
        let hub = Arc::new(Hub::new(member, hub_id, Clock::start()));
        let options = SpreadOptions {
            seeds: vec![self::address(1), self::address(2), self::address(3)],
            transport: self.network.clone(),
            store: self.store.clone(),
            instances: None,
            ids: self.ids.clone(),
        };
        let client = SpreadClient::start(hub.clone(), options, CancellationToken::new());
        self.network
            .hubs
            .lock()
            .unwrap()
            .insert(address, hub.clone());
        self.daemons.insert(
            address,
            Daemon {
                hub: hub.clone(),
                client,
            },
        );
        hub
    }

    async fn kill(&mut self, number: u16) {
        self.network.hubs.lock().unwrap().remove(&address(number));
        let daemon = self.daemons.remove(&address(number)).unwrap();
        daemon.client.stop().await;
    }

    async fn commit(&self, number: u32, base: Option<Revision>) -> Revision {
        let proposal = Proposal {
            document: document(number),
            base,
        };
        match commit_document(&*self.store, &self.ids, proposal)
            .await
            .unwrap()
        {
            CommitOutcome::Committed(revision) => revision,
            other => panic!("{other:?}"),
        }
    }

    /// Waits until a condition holds for every daemon; returns how long it took.
    ///
    /// Panics with `failure` after 2 min.
    async fn wait_until(&self, failure: &str, holds: impl Fn(&Hub) -> bool) -> Duration {
        let begun = Instant::now();
        let all = async {
            while !self.daemons.values().all(|d| holds(&d.hub)) {
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(Duration::from_mins(2), all)
            .await
            .unwrap_or_else(|_| panic!("timed out: {failure}"));
        begun.elapsed()
    }

    /// Waits until `revision` is in force in every daemon; returns how long it took.
    async fn wait_for_revision(&self, revision: Revision) -> Duration {
        self.wait_until("the revision is not in force everywhere", |hub| {
            hub.view().borrow().revision == revision
        })
        .await
    }

    /// Waits until all daemons see `role` in `state`; returns how long it took.
    ///
    /// Agents need not see each other.
    async fn wait_for_state(&self, role: &Role, state: MemberState) -> Duration {
        let knows = |hub: &Hub| {
            let view = hub.view().borrow().clone();
            let known = view.members.get(role).is_some_and(|m| m.state == state);
            known || (role.is_agent() && hub.own().role.is_agent())
        };
        self.wait_until("the state of the process is not known everywhere", knows)
            .await
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_is_in_force_everywhere_and_is_acknowledged() {
    let cluster = Cluster::start(24, 36).await;
    let calls = cluster.store.calls();
    let revision = cluster.commit(2, Some(Revision(1))).await;
    assert!(cluster.wait_for_revision(revision).await < IN_FORCE);
    let entries = |hub: &Hub| {
        let view = hub.view().borrow().clone();
        hub.own().role.is_agent()
            || (view.members.len() == 60 && view.lagging(revision).next().is_none())
    };
    assert!(
        cluster
            .wait_until("the revision is not acknowledged", entries)
            .await
            < IN_FORCE
    );
    // Only two relays in each of three data centres use the store.
    assert!(cluster.store.calls() - calls < 60);
}

#[tokio::test(start_paused = true)]
async fn a_daemon_that_starts_in_a_store_outage_takes_the_newest_revision_of_its_seeds() {
    let mut cluster = Cluster::start(6, 3).await;
    // Daemon 1, the first seed of every daemon, is cut off and keeps an old revision.
    cluster.network.cut.lock().unwrap().insert(address(1));
    let stale = cluster.daemons.remove(&address(1)).unwrap();
    stale.client.stop().await;
    let revision = cluster.commit(2, Some(Revision(1))).await;
    cluster.wait_for_revision(revision).await;
    cluster.store.set_down(true);
    cluster.network.cut.lock().unwrap().clear();
    for (number, agent) in [(4, false), (7, true)] {
        cluster.kill(number).await;
        let hub = cluster.run(member(number, agent, 2));
        let mut seen = hub.view();
        let first = seen.wait_for(SharedView::is_ready).await.unwrap().revision;
        assert_eq!(first, revision);
    }
}

#[rstest]
#[case::entry(false)]
#[case::agent(true)]
#[tokio::test(start_paused = true)]
async fn a_silent_process_is_marked_gone_until_a_newer_report(#[case] agent: bool) {
    let mut cluster = Cluster::start(9, 9).await;
    let number = if agent { 12 } else { 5 };
    let role = member(number, agent, 1).role;
    cluster.kill(number).await;
    assert!(cluster.wait_for_state(&role, MemberState::Gone).await < Duration::from_secs(12));
    cluster.run(member(number, agent, 2));
    assert!(cluster.wait_for_state(&role, MemberState::Serving).await < Duration::from_secs(12));
}

#[tokio::test(start_paused = true)]
async fn draining_is_distributed_at_once() {
    let cluster = Cluster::start(9, 9).await;
    let leaving = &cluster.daemons[&address(12)].hub;
    leaving.set_state(MemberState::Draining);
    let role = leaving.own().role;
    assert!(cluster.wait_for_state(&role, MemberState::Draining).await < Duration::from_secs(3));
}

#[tokio::test(start_paused = true)]
async fn an_entry_without_contact_to_others_watches_the_store() {
    let mut cluster = Cluster::start(9, 0).await;
    let is_seed = |port: u16| port <= 3;
    let non_relays = cluster.daemons.values().filter(|d| !d.hub.plan().store);
    let mut ports = non_relays.map(|d| d.hub.own().address.port());
    let alone = ports.find(|port| !is_seed(*port)).unwrap();
    for number in (1..=9).filter(|number| *number != alone) {
        cluster.kill(number).await;
    }
    let revision = cluster.commit(2, Some(Revision(1))).await;
    assert!(cluster.wait_for_revision(revision).await < Duration::from_secs(20));
}

#[tokio::test(start_paused = true)]
async fn relays_that_all_fail_at_once_are_replaced() {
    let mut cluster = Cluster::start(12, 6).await;
    let relays: Vec<_> = cluster
        .daemons
        .values()
        .filter(|d| d.hub.plan().store)
        .collect();
    let relays: Vec<_> = relays.iter().map(|d| d.hub.own().address.port()).collect();
    assert_eq!(relays.len(), 6);
    for number in relays {
        cluster.kill(number).await;
    }
    let revision = cluster.commit(2, Some(Revision(1))).await;
    // The failure must be detected before the change can be distributed.
    assert!(cluster.wait_for_revision(revision).await < Duration::from_secs(20));
}

#[tokio::test(start_paused = true)]
async fn processes_of_a_partitioned_data_centre_are_unreachable_but_not_gone() {
    let cluster = Cluster::start(12, 12).await;
    for _ in 0..300 {
        let mut views = cluster.daemons.values().map(|d| d.hub.view());
        assert!(views.all(|view| view.borrow().unreachable.is_empty()));
        sleep(Duration::from_millis(100)).await;
    }
    *cluster.network.partitioned.lock().unwrap() = Some(centre(1));
    let is_other_side = |hub: &Hub, other: &DataCentreName| {
        let outside = hub.own().data_centre != centre(1);
        outside == (*other == centre(1))
    };
    let other_side_unreachable = |hub: &Hub| {
        let view = hub.view().borrow().clone();
        view.unreachable.iter().all(|c| is_other_side(hub, c)) && !view.unreachable.is_empty()
    };
    cluster
        .wait_until("the other side is not unreachable", other_side_unreachable)
        .await;
    sleep(Duration::from_mins(2)).await;
    let alive = |hub: &Hub| {
        let view = hub.view().borrow().clone();
        view.members
            .values()
            .all(|m| m.state == MemberState::Serving)
    };
    assert!(
        cluster
            .daemons
            .values()
            .all(|d| alive(&d.hub) && other_side_unreachable(&d.hub))
    );
    *cluster.network.partitioned.lock().unwrap() = None;
    let reachable = |hub: &Hub| alive(hub) && hub.view().borrow().unreachable.is_empty();
    assert!(
        cluster
            .wait_until("not all data centres are reachable again", reachable)
            .await
            < Duration::from_secs(15)
    );
}

#[tokio::test(start_paused = true)]
async fn a_process_that_was_cut_off_refutes_its_gone_report() {
    let cluster = Cluster::start(9, 9).await;
    let role = member(12, true, 1).role;
    cluster.network.cut.lock().unwrap().insert(address(12));
    let others = |hub: &Hub| {
        let view = hub.view().borrow().clone();
        hub.own().role.is_agent() || view.members[&role].state == MemberState::Gone
    };
    cluster
        .wait_until("the process is not marked as gone", others)
        .await;
    cluster.network.cut.lock().unwrap().clear();
    cluster.wait_for_state(&role, MemberState::Serving).await;
    let own = cluster.daemons[&address(12)].hub.own();
    assert!(own.version.sequence > 1);
}

#[tokio::test(start_paused = true)]
async fn an_agent_follows_an_entry_that_starts_serving_after_their_first_poll() {
    let mut cluster = Cluster::start(0, 0).await;
    let mut starting = member(1, false, 1);
    starting.state = MemberState::Starting;
    let entry = cluster.run(starting);
    let agent = member(4, true, 1).role;
    cluster.run(member(4, true, 1));
    cluster.wait_for_revision(Revision(1)).await;
    entry.set_state(MemberState::Serving);
    let revision = cluster.commit(2, Some(Revision(1))).await;
    assert!(cluster.wait_for_revision(revision).await < IN_FORCE);
    assert!(cluster.wait_for_state(&agent, MemberState::Serving).await < IN_FORCE);
    sleep(Duration::from_secs(30)).await;
    let view = entry.view().borrow().clone();
    assert!(
        view.serving(&agent).is_some(),
        "the agent is marked as gone"
    );
}

/// Returns the number of the document in force, by its only region.
fn document_number(hub: &Hub) -> Option<u32> {
    let view = hub.view().borrow().clone();
    let region = view.document.regions.first()?.name.clone();
    (1..100).find(|number| document(*number).regions[0].name == region)
}

#[rstest]
#[case::of_before(true)]
#[case::empty(false)]
#[tokio::test(start_paused = true)]
async fn an_accepted_configuration_is_lost_in_a_restore(#[case] has_config: bool) {
    let mut cluster = Cluster::start(9, 9).await;
    cluster.store.state_era(3);
    let empty = FakeStore::default().copy();
    let copy = if has_config {
        cluster.store.copy()
    } else {
        empty
    };
    let mut revision = Revision(1);
    for number in 2..5 {
        revision = cluster.commit(number, Some(revision)).await;
    }
    cluster.wait_for_revision(revision).await;
    cluster.store.restore(&copy);
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(40) {
        sleep(Duration::from_millis(200)).await;
        for daemon in cluster.daemons.values() {
            assert_eq!(
                document_number(&daemon.hub),
                Some(4),
                "in force all the time"
            );
        }
    }
    // A daemon that knows the store alone gets it too.
    for number in 1..=18 {
        cluster.kill(number).await;
    }
    let alone = cluster.run(member(4, false, 2));
    let ready = alone.view();
    timeout(IN_FORCE, ready.clone().wait_for(SharedView::is_ready))
        .await
        .expect("ready")
        .unwrap();
    assert_eq!(document_number(&alone), Some(4));
}

/// Raises the store's version by objects that concern nobody.
async fn raise_version(store: &FakeStore, name: &str, count: u32) {
    for number in 0..count {
        let key = ObjectKey::from(format!("{name}/{number}"));
        let id = WriteId::from(format!("{name}.{number}"));
        let put = store.put(&key, Precondition::Absent, &id, Bytes::new());
        put.await.unwrap();
    }
}

/// The operator writes before the daemons have written theirs again.
#[rstest]
#[case::at_a_new_version(0, 0)]
#[case::at_a_version_that_was_watched_before(100, 300)]
#[tokio::test(start_paused = true)]
async fn a_configuration_that_is_accepted_after_a_restore_is_ignored(
    #[case] forgotten: u32,
    #[case] written: u32,
) {
    let cluster = Cluster::start(9, 9).await;
    cluster.store.state_era(3);
    let copy = cluster.store.copy();
    raise_version(&cluster.store, "forgotten", forgotten).await;
    let mut revision = Revision(1);
    for number in 2..5 {
        revision = cluster.commit(number, Some(revision)).await;
    }
    cluster.wait_for_revision(revision).await;
    cluster.store.restore(&copy);
    let accepted = cluster.commit(9, Some(Revision(1))).await;
    raise_version(&cluster.store, "written", written).await;
    assert!(accepted > revision, "{accepted} after {revision}");
    assert!(cluster.wait_for_revision(accepted).await < IN_FORCE);
    sleep(Duration::from_secs(30)).await;
    let next = cluster.commit(10, Some(accepted)).await;
    assert!(cluster.wait_for_revision(next).await < IN_FORCE);
    for daemon in cluster.daemons.values() {
        assert_eq!(document_number(&daemon.hub), Some(10));
    }
}

#[tokio::test(start_paused = true)]
async fn a_status_from_before_a_restore_stays_in_the_store() {
    let mut cluster = Cluster::start(9, 9).await;
    cluster.store.state_era(3);
    sleep(Duration::from_secs(10)).await;
    let copy = cluster.store.copy();
    cluster.kill(18).await;
    let status = async || {
        let key = ObjectKey::from(format!("{STATUS_PREFIX}{}", centre(18)));
        let object = cluster.store.get(&key).await.unwrap().unwrap();
        let status: CentreStatus = serde_json::from_slice(&object.value).unwrap();
        status.processes
    };
    assert_eq!(status().await, 6);
    sleep(Duration::from_secs(20)).await;
    assert_eq!(status().await, 5);
    cluster.store.restore(&copy);
    sleep(Duration::from_secs(20)).await;
    assert_eq!(status().await, 5);
}

/// Entries change their parents while a site starts, and those left behind wait for heartbeats.
#[rstest]
#[case::one_data_centre_of_three_entries(9, 9)]
#[case::deeper_trees(24, 12)]
#[tokio::test(start_paused = true)]
async fn a_live_process_is_marked_gone_by_a_former_parent(
    #[case] entries: u16,
    #[case] agents: u16,
) {
    let cluster = Cluster::start(entries, agents).await;
    let mut gone = BTreeSet::new();
    for _ in 0..1_200 {
        sleep(Duration::from_millis(50)).await;
        for daemon in cluster.daemons.values() {
            let view = daemon.hub.view().borrow().clone();
            let members = view.members.values();
            let listed = members.filter(|m| m.state == MemberState::Gone);
            gone.extend(listed.map(|m| m.role.as_ref().to_owned()));
        }
    }
    assert!(gone.is_empty(), "{gone:?}");
}
