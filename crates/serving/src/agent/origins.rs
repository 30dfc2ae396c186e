//! Keeps the origins of streams for the entries.

use std::net::SocketAddr;

use super::daemon::Agent;
use crate::gossip::{Datagram, OriginQuery, OriginRecord};

impl Agent {
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
