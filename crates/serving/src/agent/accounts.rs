//! Issues what accounts with a limit may spend.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use kumquatkeel_core::serving::{AgentHost, IssuerCoordinator};
use kumquatkeel_types::Timestamp;

use super::daemon::Agent;
use crate::gossip::{AccountReply, AccountRequest, Datagram, SilenceNotice};
use crate::locality::Locality;

/// Interval between two records of the levels of buckets.
const LEVELS_INTERVAL: Duration = Duration::from_secs(1);

/// What an agent knows of accounts with a limit.
#[derive(Debug)]
pub(super) struct AccountState {
    pub(super) coordinator: IssuerCoordinator,
    levels_recorded: Timestamp,
}

impl AccountState {
    pub(super) fn new(own: IpAddr, locality: &Locality, now: Timestamp) -> Self {
        let own_region = locality.regions.get(&locality.data_centre).cloned();
        let regions = locality.regions.values().cloned();
        Self {
            coordinator: IssuerCoordinator::new(own, own_region, regions, now),
            levels_recorded: now,
        }
    }
}

impl Agent {
    /// Answers an entry's request to spend on behalf of an account.
    pub(super) fn handle_account_request(&mut self, from: SocketAddr, request: &AccountRequest) {
        let now = self.clock.now();
        let (id, ask) = ((request.incarnation, request.number), &request.ask);
        let mut probes = Vec::new();
        let coordinator = &mut self.accounts.coordinator;
        let decision = coordinator.answer(id, ask, now, &mut probes);
        self.send_probes(&probes);
        let Some(decision) = decision else {
            // The first request may come before the configuration.
            self.update_accounts();
            return;
        };
        log::debug!(account:% = ask.account, cost = ask.cost, peer:% = from, decision:serde; "account");
        let reply = AccountReply {
            number: request.number,
            decision,
        };
        self.gossip.send(from, &Datagram::AccountReply(reply));
    }

    /// Finds out whether an account's issuer is alive that has not replied to an entry.
    pub(super) fn handle_silence_notice(&mut self, notice: &SilenceNotice) {
        let now = self.clock.now();
        let silent = Duration::from_millis(u64::from(notice.silent_ms));
        let mut probes = Vec::new();
        let coordinator = &mut self.accounts.coordinator;
        coordinator.record_silence(&notice.account, silent, now, &mut probes);
        self.send_probes(&probes);
    }

    /// Follows the list of targets and the configuration.
    pub(super) fn update_accounts(&mut self) {
        let now = self.clock.now();
        let coordinator = &mut self.accounts.coordinator;
        let Some(config) = self.objects.config() else {
            return;
        };
        if coordinator.version() != Some(config.version) {
            let accounts = config.accounts.iter().flatten();
            let limits = accounts.filter_map(|a| Some((a.name.clone(), a.limit?)));
            coordinator.set_limits(config.version, limits);
        }
        if coordinator.is_active() {
            let agents: Vec<AgentHost> = self
                .objects
                .account_agents(&self.settings.locality)
                .collect();
            coordinator.set_agents(agents, now);
        }
    }

    /// Notes that time passes, probes peers and records the levels of buckets.
    pub(super) fn tick_accounts(&mut self) {
        let now = self.clock.now();
        let probes = self.accounts.coordinator.tick(now);
        self.send_probes(&probes);
        if now.since(self.accounts.levels_recorded) < LEVELS_INTERVAL {
            return;
        }
        self.accounts.levels_recorded = now;
        for (account, level) in self.accounts.coordinator.levels() {
            self.instruments.record_account_level(account, level);
        }
    }

    fn send_probes(&self, hosts: &[IpAddr]) {
        for host in hosts {
            let to = SocketAddr::new(*host, self.settings.gossip.port());
            self.gossip.send(to, &Datagram::Probe);
        }
    }
}
