//! The fleet of one cell, its traffic and its monitor.

use std::time::Duration;

use kumquatkeel_standin::fleet::{EntryPlan, EntrySlot, Fleet, FleetPlan, LinkMode, pace_clock};
use kumquatkeel_types::document::RawDocument;
use kumquatkeel_types::{Revision, TargetName, jsonc};
use tokio::time::{Instant, sleep};

use crate::monitor::Monitor;
use crate::traffic::Traffic;

const SAMPLE: &str = include_str!("sample.jsonc");

/// Time between two looks at a condition.
const TICK: Duration = Duration::from_millis(1);
/// Longest wait for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(40);

pub(crate) struct World {
    pub(crate) fleet: Fleet,
    pub(crate) traffic: Traffic,
    pub(crate) monitor: Monitor,
    pub(crate) revision: Revision,
    /// The names that callers can use once the faults have ended.
    pub(crate) served: Vec<&'static str>,
    /// Targets whose agents were asked to stop; they stay stopped.
    pub(crate) left: Vec<TargetName>,
}

pub(crate) fn target(name: &str) -> TargetName {
    name.try_into().expect("name")
}

fn plan() -> FleetPlan {
    let entry = |name: &str, centre: &str| EntryPlan {
        name: name.try_into().expect("name"),
        data_centre: centre.try_into().expect("name"),
    };
    FleetPlan {
        document: jsonc::parse::<RawDocument>(SAMPLE).expect("document"),
        entries: vec![entry("entry-a", "amman-a"), entry("entry-b", "irbid-a")],
    }
}

impl World {
    pub(crate) async fn start() -> Self {
        tokio::spawn(pace_clock());
        let fleet = Fleet::start(plan()).await.expect("fleet starts");
        fleet.wait_placed().await.expect("models are placed");
        let monitor = Monitor::start(&fleet);
        let traffic = Traffic::new(fleet.entries.iter().map(EntrySlot::address).collect());
        let world = Self {
            fleet,
            traffic,
            monitor,
            revision: Revision(1),
            served: vec!["box", "shelf", "tone"],
            left: Vec::new(),
        };
        sleep(Duration::from_secs(2)).await;
        world
    }

    /// Ends every fault.
    pub(crate) async fn heal(&mut self) {
        self.fleet.store.set_outage(false);
        self.fleet.store.faults().clear();
        self.fleet.store.set_instances([]);
        self.traffic.set_models(self.served.clone());
        for engine in self.fleet.engines.values() {
            engine.faults().clear();
        }
        for plain in self.fleet.plains.values() {
            plain.faults().clear();
        }
        for entry in &self.fleet.entries {
            entry.set_links(LinkMode::Pass);
        }
        for (name, agent) in &mut self.fleet.agents {
            if self.left.contains(name) {
                continue;
            }
            if agent.is_running() {
                agent.resume();
            } else {
                agent.revive().await.expect("agent starts");
                self.monitor.watch_agent(name, agent);
            }
        }
    }
}

/// Waits until a condition holds; says whether it did in time.
pub(crate) async fn eventually(condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + WAIT_LIMIT;
    while !condition() {
        if Instant::now() > end {
            return false;
        }
        sleep(TICK).await;
    }
    true
}
