//! The spread among many daemons, over a transport in memory and a store with faults.

#[path = "../../platform/tests/common/mod.rs"]
mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use common::FakeStore;
use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_daemon::config::{CommitOutcome, Proposal, commit_document};
use kumquatkeel_daemon::spread::{
    Hub, PollError, SharedView, SpreadClient, SpreadOptions, SpreadTransport,
};
use kumquatkeel_platform::WriteIdGenerator;
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

/// The time within which a change is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(6);

/// Daemons that reach each other in memory.
#[derive(Default)]
struct Network {
    hubs: Mutex<BTreeMap<SocketAddr, Arc<Hub>>>,
    cut: Mutex<BTreeSet<SocketAddr>>,
    /// A data centre that is cut off from the others.
    island: Mutex<Option<DataCentreName>>,
}

#[async_trait]
impl SpreadTransport for Network {
    async fn poll(&self, peer: SocketAddr, request: PollRequest) -> Result<PollReply, PollError> {
        let lost = |reason: &str| PollError {
            peer,
            reason: reason.into(),
        };
        sleep(Duration::from_millis(1)).await;
        let from = request.member.address;
        let island = |a: &SocketAddr| Some(centre(a.port())) == *self.island.lock().unwrap();
        let is_cut =
            |a: &SocketAddr| self.cut.lock().unwrap().contains(a) || island(&peer) != island(&from);
        let hub = self.hubs.lock().unwrap().get(&peer).cloned();
        let hub = hub.filter(|_| !is_cut(&peer) && !is_cut(&from));
        let hub = hub.ok_or_else(|| lost("no connection"))?;
        let reply = hub.answer(request).await;
        if is_cut(&peer) || is_cut(&from) {
            return Err(lost("the answer was lost"));
        }
        Ok(reply)
    }
}

struct Daemon {
    hub: Arc<Hub>,
    client: SpreadClient,
}

struct Site {
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

fn member(number: u16, agent: bool, life: u64) -> Member {
    let name = format!("daemon-{number}");
    let role = if agent {
        Role::Agent(TargetName::try_from(name).unwrap())
    } else {
        Role::Entry(EntryName::try_from(name).unwrap())
    };
    Member {
        role,
        version: MemberVersion {
            incarnation: Incarnation(life),
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

impl Site {
    async fn start(entries: u16, agents: u16) -> Self {
        let mut rng = Pcg64::seed_from_u64(7);
        let mut site = Self {
            network: Arc::default(),
            store: Arc::default(),
            ids: Arc::new(WriteIdGenerator::new("test", &mut rng)),
            daemons: BTreeMap::new(),
        };
        site.commit(1, None).await;
        for number in 1..=entries + agents {
            site.run(member(number, number > entries, 1));
        }
        site.settle(Revision(1)).await;
        let known = usize::from(entries);
        let all = |hub: &Hub| hub.view().borrow().serving_entries().count() == known;
        site.until("known", all).await;
        site
    }

    fn run(&mut self, member: Member) -> Arc<Hub> {
        let address = member.address;
        let life = u64::from(address.port()) * 1_000 + member.version.incarnation.0;
        let hub = Arc::new(Hub::new(member, life, Clock::start()));
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
    async fn until(&self, what: &str, holds: impl Fn(&Hub) -> bool) -> Duration {
        let begun = Instant::now();
        let all = async {
            while !self.daemons.values().all(|d| holds(&d.hub)) {
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(Duration::from_mins(2), all)
            .await
            .unwrap_or_else(|_| panic!("{what}"));
        begun.elapsed()
    }

    async fn settle(&self, revision: Revision) -> Duration {
        self.until("in force", |hub| hub.view().borrow().revision == revision)
            .await
    }

    async fn know(&self, role: &Role, state: MemberState) -> Duration {
        let knows = |hub: &Hub| {
            let view = hub.view().borrow().clone();
            let known = view.members.get(role).is_some_and(|m| m.state == state);
            known || (role.is_agent() && hub.own().role.is_agent())
        };
        self.until("known", knows).await
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_is_in_force_everywhere_and_its_acknowledgements_come_back() {
    let site = Site::start(24, 36).await;
    let calls = site.store.calls();
    let revision = site.commit(2, Some(Revision(1))).await;
    assert!(site.settle(revision).await < IN_FORCE);
    let entries = |hub: &Hub| {
        let view = hub.view().borrow().clone();
        hub.own().role.is_agent()
            || (view.members.len() == 60 && view.lagging(revision).next().is_none())
    };
    assert!(site.until("acknowledged", entries).await < IN_FORCE);
    // Two relays in each of three data centres; the rest never meets the store.
    assert!(site.store.calls() - calls < 60);
}

#[tokio::test(start_paused = true)]
async fn a_daemon_that_starts_in_an_outage_takes_the_newest_of_its_neighbours() {
    let mut site = Site::start(6, 3).await;
    // Daemon 1, the first source of everyone, is cut off and stays behind.
    site.network.cut.lock().unwrap().insert(address(1));
    let stale = site.daemons.remove(&address(1)).unwrap();
    stale.client.stop().await;
    let revision = site.commit(2, Some(Revision(1))).await;
    site.settle(revision).await;
    site.store.set_down(true);
    site.network.cut.lock().unwrap().clear();
    for (number, agent) in [(4, false), (7, true)] {
        site.kill(number).await;
        let hub = site.run(member(number, agent, 2));
        let mut seen = hub.view();
        let first = seen.wait_for(SharedView::is_ready).await.unwrap().revision;
        assert_eq!(first, revision);
    }
}

#[rstest]
#[case::entry(false)]
#[case::agent(true)]
#[tokio::test(start_paused = true)]
async fn a_silent_process_is_gone_and_comes_back_with_a_newer_report(#[case] agent: bool) {
    let mut site = Site::start(9, 9).await;
    let number = if agent { 12 } else { 5 };
    let role = member(number, agent, 1).role;
    site.kill(number).await;
    assert!(site.know(&role, MemberState::Gone).await < Duration::from_secs(12));
    site.run(member(number, agent, 2));
    assert!(site.know(&role, MemberState::Serving).await < Duration::from_secs(12));
}

#[tokio::test(start_paused = true)]
async fn draining_spreads_at_once() {
    let site = Site::start(9, 9).await;
    let leaving = &site.daemons[&address(12)].hub;
    leaving.set_state(MemberState::Draining);
    let role = leaving.own().role;
    assert!(site.know(&role, MemberState::Draining).await < Duration::from_secs(3));
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_hears_nobody_watches_the_store_itself() {
    let mut site = Site::start(9, 0).await;
    let is_seed = |port: u16| port <= 3;
    let below = site.daemons.values().filter(|d| !d.hub.plan().store);
    let mut below = below.map(|d| d.hub.own().address.port());
    let alone = below.find(|port| !is_seed(*port)).unwrap();
    for number in (1..=9).filter(|number| *number != alone) {
        site.kill(number).await;
    }
    let revision = site.commit(2, Some(Revision(1))).await;
    assert!(site.settle(revision).await < Duration::from_secs(20));
}

#[tokio::test(start_paused = true)]
async fn every_relay_lost_at_once_is_replaced() {
    let mut site = Site::start(12, 6).await;
    let relays: Vec<_> = site
        .daemons
        .values()
        .filter(|d| d.hub.plan().store)
        .collect();
    let relays: Vec<_> = relays.iter().map(|d| d.hub.own().address.port()).collect();
    assert_eq!(relays.len(), 6);
    for number in relays {
        site.kill(number).await;
    }
    let revision = site.commit(2, Some(Revision(1))).await;
    // The failure's own detection comes before the change can spread.
    assert!(site.settle(revision).await < Duration::from_secs(20));
}

#[tokio::test(start_paused = true)]
async fn a_data_centre_that_is_cut_off_is_unreachable_but_not_gone() {
    let site = Site::start(12, 12).await;
    for _ in 0..300 {
        let mut views = site.daemons.values().map(|d| d.hub.view());
        assert!(views.all(|view| view.borrow().unreachable.is_empty()));
        sleep(Duration::from_millis(100)).await;
    }
    *site.network.island.lock().unwrap() = Some(centre(1));
    let own_side = |hub: &Hub, other: &DataCentreName| {
        let outside = hub.own().data_centre != centre(1);
        outside == (*other == centre(1))
    };
    let cut = |hub: &Hub| {
        let view = hub.view().borrow().clone();
        view.unreachable.iter().all(|c| own_side(hub, c)) && !view.unreachable.is_empty()
    };
    site.until("unreachable", cut).await;
    sleep(Duration::from_mins(2)).await;
    let alive = |hub: &Hub| {
        let view = hub.view().borrow().clone();
        view.members
            .values()
            .all(|m| m.state == MemberState::Serving)
    };
    assert!(site.daemons.values().all(|d| alive(&d.hub) && cut(&d.hub)));
    *site.network.island.lock().unwrap() = None;
    let whole = |hub: &Hub| alive(hub) && hub.view().borrow().unreachable.is_empty();
    assert!(site.until("reachable", whole).await < Duration::from_secs(15));
}

#[tokio::test(start_paused = true)]
async fn a_process_that_was_cut_off_refutes_that_it_is_gone() {
    let site = Site::start(9, 9).await;
    let role = member(12, true, 1).role;
    site.network.cut.lock().unwrap().insert(address(12));
    let others = |hub: &Hub| {
        let view = hub.view().borrow().clone();
        hub.own().role.is_agent() || view.members[&role].state == MemberState::Gone
    };
    site.until("gone", others).await;
    site.network.cut.lock().unwrap().clear();
    site.know(&role, MemberState::Serving).await;
    let own = site.daemons[&address(12)].hub.own();
    assert!(own.version.sequence > 1);
}

#[tokio::test(start_paused = true)]
async fn an_agent_that_met_an_entry_before_it_served_follows_it_later() {
    let mut site = Site::start(0, 0).await;
    let mut starting = member(1, false, 1);
    starting.state = MemberState::Starting;
    let entry = site.run(starting);
    let agent = member(4, true, 1).role;
    site.run(member(4, true, 1));
    site.settle(Revision(1)).await;
    entry.set_state(MemberState::Serving);
    let revision = site.commit(2, Some(Revision(1))).await;
    assert!(site.settle(revision).await < IN_FORCE);
    assert!(site.know(&agent, MemberState::Serving).await < IN_FORCE);
    sleep(Duration::from_secs(30)).await;
    let view = entry.view().borrow().clone();
    assert!(
        view.serving(&agent).is_some(),
        "the agent is taken for gone"
    );
}
