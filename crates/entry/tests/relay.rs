//! Polls and forwarded ledger operations between entries over real sockets, and the
//! placement lease.
//!
//! Guards against views that do not converge, a key claimed through two entries, a lease with two
//! holders, and destructive actions after a store outage has put the lease in doubt.

#[path = "../../platform/tests/common/mod.rs"]
mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use common::FakeStore;
use kumquatkeel_core::lease::{ActionKind, LeaseOptions, LeaseStatus};
use kumquatkeel_core::ledger::example_call;
use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_daemon::config::{Proposal, commit_document};
use kumquatkeel_daemon::metrics::Metrics;
use kumquatkeel_daemon::peer::PeerKey;
use kumquatkeel_daemon::rpc::RelayApiServer;
use kumquatkeel_daemon::server::{NoRoutes, PeerServer};
use kumquatkeel_daemon::spread::{Hub, RpcTransport, SharedView, SpreadClient, SpreadOptions};
use kumquatkeel_entry::control::{LeaseManager, LeaseManagerOptions};
use kumquatkeel_entry::demand::SharedDemand;
use kumquatkeel_entry::fleet::{FleetSource, FleetUpdate};
use kumquatkeel_entry::ledger::{ClaimAnswer, ClaimLedger, RpcPeers, StoreLedger, WallClock};
use kumquatkeel_entry::relay::{HubFleetSource, RelayService};
use kumquatkeel_platform::{ObjectStore, WriteIdGenerator};
use kumquatkeel_types::document::{RawDocument, Region};
use kumquatkeel_types::message::{Member, MemberState, MemberVersion, Role};
use kumquatkeel_types::{DataCentreName, EntryName, Incarnation, RegionName, Revision};
use tokio::net::TcpListener;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

const LIMIT: Duration = Duration::from_secs(20);

fn key() -> PeerKey {
    PeerKey::try_from("a-peer-key-for-tests-only").unwrap()
}

fn name(number: u16) -> EntryName {
    EntryName::try_from(format!("entry-{number}")).unwrap()
}

fn ids(owner: &str) -> WriteIdGenerator {
    WriteIdGenerator::new(owner, &mut rand::rng())
}

struct Node {
    hub: Arc<Hub>,
    ledger: StoreLedger,
    server: PeerServer,
    spread: SpreadClient,
}

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

async fn start_node(
    number: u16,
    address: SocketAddr,
    seeds: &[SocketAddr],
    store: &Arc<FakeStore>,
) -> Node {
    let member = Member {
        role: Role::Entry(name(number)),
        version: MemberVersion {
            incarnation: Incarnation(1),
            sequence: 1,
        },
        data_centre: DataCentreName::try_from("amman-a").unwrap(),
        address,
        state: MemberState::Serving,
        revision: Revision::default(),
        target: None,
    };
    let stop = CancellationToken::new();
    let hub = Arc::new(Hub::new(member, u64::from(number), Clock::start()));
    let peers = RpcPeers::new(name(number), key(), hub.view());
    let ledger = StoreLedger::new(
        store.clone(),
        ids("ledger"),
        Arc::new(peers),
        WallClock::start(),
        stop.clone(),
    );
    let service = RelayService::new(
        hub.clone(),
        ledger.clone(),
        SharedDemand::new(Clock::start()),
    );
    let metrics = Metrics::start().unwrap();
    let routes = Arc::new(NoRoutes);
    let server = PeerServer::start(address, key(), metrics, service.into_rpc(), routes);
    let server = server.await.unwrap();
    let options = SpreadOptions {
        seeds: seeds.to_vec(),
        transport: Arc::new(RpcTransport::new(key())),
        store: store.clone(),
        instances: None,
        ids: Arc::new(ids("spread")),
    };
    let spread = SpreadClient::start(hub.clone(), options, stop);
    Node {
        hub,
        ledger,
        server,
        spread,
    }
}

async fn wait_for_view(hub: &Hub, holds: impl FnMut(&SharedView) -> bool) {
    let mut view = hub.view();
    timeout(LIMIT, view.wait_for(holds)).await.unwrap().unwrap();
}

fn document() -> RawDocument {
    let region = Region {
        name: RegionName::try_from("amman").unwrap(),
        data_centres: vec![DataCentreName::try_from("amman-a").unwrap()],
    };
    RawDocument {
        regions: vec![region],
        ..RawDocument::default()
    }
}

#[tokio::test]
async fn entries_share_the_configuration_and_the_ledger_over_sockets() {
    let store = Arc::new(FakeStore::default());
    let seeds = [
        free_address().await,
        free_address().await,
        free_address().await,
    ];
    let mut nodes = Vec::new();
    for (number, address) in (1..).zip(seeds) {
        nodes.push(start_node(number, address, &seeds, &store).await);
    }
    let proposal = Proposal {
        document: document(),
        base: None,
    };
    commit_document(&*store, &ids("operator"), proposal)
        .await
        .unwrap();
    for node in &nodes {
        let converged = |view: &SharedView| view.is_ready() && view.serving_entries().count() == 3;
        wait_for_view(&node.hub, converged).await;
    }
    let updates = timeout(LIMIT, HubFleetSource::new(nodes[0].hub.clone()).next())
        .await
        .unwrap();
    assert!(
        updates
            .iter()
            .any(|update| matches!(update, FleetUpdate::Config(s) if s.revision == Revision(1)))
    );
    assert_eq!(
        updates
            .iter()
            .filter(|update| matches!(update, FleetUpdate::Member(_)))
            .count(),
        3
    );
    // Each key is claimed once, through any entry; some claims are forwarded to the partition's
    // owner.
    for number in 0..12 {
        let key = format!("swap-{number}");
        let first = nodes[0].ledger.claim(example_call(&key, number)).await;
        assert!(matches!(first, ClaimAnswer::Run(_)), "{first:?}");
        let second = nodes[1]
            .ledger
            .claim(example_call(&key, 100 + number))
            .await;
        assert!(!matches!(second, ClaimAnswer::Run(_)), "{second:?}");
    }
    for node in nodes {
        node.spread.stop().await;
        timeout(LIMIT, node.server.stop()).await.unwrap();
    }
}

/// Starts the lease manager of an entry.
fn start_manager(store: &Arc<FakeStore>, number: u16) -> LeaseManager {
    let options = LeaseManagerOptions {
        name: "placement".into(),
        holder: name(number),
        incarnation: Incarnation(1),
        times: LeaseOptions::default(),
    };
    let ids = Arc::new(ids(&format!("manager-{number}")));
    let view = tokio::sync::watch::channel(two_entry_view()).1;
    LeaseManager::start(options, store.clone(), ids, view, CancellationToken::new())
}

/// The copy is from before the second takeover.
#[tokio::test(start_paused = true)]
async fn a_lease_from_before_a_restore_permits_orders() {
    let store = Arc::new(FakeStore::default());
    store.state_era(1);
    let first = start_manager(&store, 1);
    tokio::time::sleep(Duration::from_mins(1)).await;
    let copy = store.copy();
    first.stop().await;
    let second = start_manager(&store, 2);
    tokio::time::sleep(Duration::from_mins(1)).await;
    let before = second.permit(ActionKind::Destructive).unwrap();
    store.restore(&copy);
    // Any answer to the process states the era.
    store.list("none/").await.unwrap();
    assert_eq!(second.status(), LeaseStatus::NotHeld);
    tokio::time::sleep(Duration::from_secs(20)).await;
    let after = second.permit(ActionKind::Destructive);
    assert!(after > Some(before), "{after:?} after {before}");
}

#[tokio::test(start_paused = true)]
async fn the_lease_has_one_holder_and_moves_when_that_stops() {
    let store = Arc::new(FakeStore::default());
    let (first, second) = (start_manager(&store, 1), start_manager(&store, 2));
    tokio::time::sleep(Duration::from_mins(1)).await;
    let statuses = [first.status(), second.status()];
    let holders = statuses
        .iter()
        .filter(|c| matches!(c, LeaseStatus::Held(_)))
        .count();
    assert_eq!(holders, 1, "{statuses:?}");
    let (holder, other) = if statuses[0] == LeaseStatus::NotHeld {
        (second, first)
    } else {
        (first, second)
    };
    let epoch = holder.permit(ActionKind::Destructive).unwrap();
    holder.stop().await;
    assert_eq!(holder.permit(ActionKind::Additive), None);
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(other.permit(ActionKind::Destructive), Some(epoch.next()));
    store.set_down(true);
    tokio::time::sleep(Duration::from_mins(1)).await;
    assert_eq!(other.permit(ActionKind::Destructive), None);
    assert_eq!(other.permit(ActionKind::Additive), Some(epoch.next()));
}

/// Returns a view with two serving entries.
fn two_entry_view() -> SharedView {
    let mut view = SharedView::empty();
    let member = |number: u16| Member {
        role: Role::Entry(name(number)),
        version: MemberVersion {
            incarnation: Incarnation(1),
            sequence: 1,
        },
        data_centre: DataCentreName::try_from("amman-a").unwrap(),
        address: ([127, 0, 0, 1], number).into(),
        state: MemberState::Serving,
        revision: Revision(1),
        target: None,
    };
    let members = [member(1), member(2)].map(|m| (m.role.clone(), Arc::new(m)));
    view.members = Arc::new(members.into());
    view
}
