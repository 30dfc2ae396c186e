//! Keeps the origins of streams for the entries.

use std::net::SocketAddr;
use std::time::Duration;

use kumquatkeel_core::serving::list_relays;

use super::daemon::Agent;
use crate::gossip::{Datagram, OriginQuery, OriginRecord};
use crate::origin_record::OriginDuty;

/// Shortest interval between two writes of origins to the store by the first relay of a region, and by the others,
/// which only matter if the first one fails at the same time as all that know the origins.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
const STANDBY_WRITE_INTERVAL: Duration = Duration::from_secs(1);

impl Agent {
    /// Keeps an origin for the entries that ask.
    pub(super) fn record_origin(&mut self, record: OriginRecord) {
        if let Some(keeper) = &self.origin_keeper {
            keeper.record(record.clone());
        }
        record.insert_into(&mut self.origins, self.clock.now());
    }

    /// Decides whether this agent keeps origins in the store: the relays of the list do, for services that targets
    /// of several software versions serve.
    pub(super) fn update_origin_duty(&self) {
        let Some(keeper) = &self.origin_keeper else {
            return;
        };
        let hosts = self.objects.agent_hosts(&self.settings.locality);
        let own = self.settings.gossip.ip();
        let rank = list_relays(hosts).iter().position(|host| *host == own);
        let listed = self.objects.listed_versions(self.clock.now());
        let duty = rank.zip(listed).map(|(rank, listed)| {
            let interval = match rank {
                0 => WRITE_INTERVAL,
                _ => STANDBY_WRITE_INTERVAL,
            };
            OriginDuty::new(listed.versions, &self.recorded_versions.borrow(), interval)
        });
        keeper.set_duty(duty);
    }

    /// Answers an entry's query if the origin is known.
    pub(super) fn answer_origin_query(&mut self, from: SocketAddr, query: OriginQuery) {
        let now = self.clock.now();
        if let Some((origin, until)) = self.origins.get_until(&query.attempt, now) {
            let record = OriginRecord::new(query.attempt, origin.clone(), until, now);
            self.gossip.send(from, &Datagram::Origin(record));
        }
    }

    /// Sends the origins that this agent keeps to the agents that have become their holders, as hosts came or
    /// went. An entry asks the present holders.
    pub(super) fn move_origins(&mut self) {
        let hosts = self.objects.origin_hosts();
        if hosts == self.origin_hosts {
            return;
        }
        let former = std::mem::replace(&mut self.origin_hosts, hosts);
        let (own, now) = (self.settings.gossip, self.clock.now());
        let mut sent = 0_u64;
        for (attempt, origin, until) in self.origins.iter(now) {
            let added = self.origin_hosts.added_holders(attempt, &former);
            for host in added.into_iter().filter(|host| *host != own.ip()) {
                let record = OriginRecord::new(attempt.clone(), origin.clone(), until, now);
                let agent = SocketAddr::new(host, own.port());
                self.gossip.send(agent, &Datagram::Began(record));
                sent += 1;
            }
        }
        log::debug!(sent; "hosts of origins changed");
    }
}
