//! The division of the services' rate limits among the entries.
//!
//! For each service, the first entry in rendezvous order grants shares of the rate; the others
//! request theirs by RPC. The share held here becomes the rate limit of admission control.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use futures::future::join_all;
use jsonrpsee::core::RpcResult;
use kumquatkeel_core::admission::{ShareGrant, ShareGranter, ShareHolder, ShareStep};
use kumquatkeel_daemon::rpc::{EntryApiClient, EntryApiServer};
use kumquatkeel_types::digest::rendezvous;
use kumquatkeel_types::document::Service;
use kumquatkeel_types::{EntryName, ServiceName, Timestamp};
use log::debug;

use crate::EntryState;
use crate::state::lock;

/// The shares that this entry has granted and those that it holds.
#[derive(Debug, Default)]
pub(crate) struct ShareTable {
    granted: Mutex<BTreeMap<ServiceName, ShareGranter>>,
    held: Mutex<BTreeMap<ServiceName, ShareHolder>>,
}

impl ShareTable {
    /// Returns this entry's share of a service's rate in requests per second; `None` when the
    /// service has no rate limit.
    pub(crate) fn rate(&self, service: &Service, entries: usize, now: Timestamp) -> Option<f64> {
        let rate = f64::from(service.rate?);
        let held = lock(&self.held);
        let holder = held.get(&service.name).cloned().unwrap_or_default();
        Some(holder.rate(rate, entries, now))
    }

    /// Grants a share of a service's rate to an entry with `demand` requests per second.
    fn grant(
        &self,
        entry: &EntryName,
        service: &Service,
        demand: f64,
        now: Timestamp,
    ) -> ShareGrant {
        let mut granted = lock(&self.granted);
        let share_granter = granted
            .entry(service.name.clone())
            .or_insert_with(|| ShareGranter::new(now));
        let rate = service.rate.map_or(0.0, f64::from);
        share_granter.grant(entry, demand, rate, now)
    }

    fn record_arrivals(&self, service: &ServiceName, arrivals: u64, now: Timestamp) -> ShareStep {
        let mut held = lock(&self.held);
        let holder = held.entry(service.clone()).or_default();
        holder.record_arrivals(arrivals, now)
    }

    fn set_grant(&self, service: &ServiceName, grant: ShareGrant, sent: Timestamp) {
        let mut held = lock(&self.held);
        let holder = held.entry(service.clone()).or_default();
        holder.set_grant(grant, sent);
    }
}

/// The RPC service through which other entries request shares.
#[derive(Debug, Clone)]
pub(crate) struct ShareService(pub(crate) Arc<EntryState>);

#[async_trait]
impl EntryApiServer for ShareService {
    async fn share(
        &self,
        entry: EntryName,
        service: ServiceName,
        demand: f64,
    ) -> RpcResult<ShareGrant> {
        let Self(state) = self;
        let now = state.clock.now();
        let document = state.document();
        let service = document.as_ref().and_then(|d| d.service(&service));
        let no_grant = ShareGrant {
            rate: 0.0,
            life_ms: 0,
        };
        Ok(service.map_or(no_grant, |s| state.shares.grant(&entry, s, demand, now)))
    }
}

/// Renews the shares of all services that have a rate limit and requests at this entry.
pub(crate) async fn renew_shares(state: &Arc<EntryState>) {
    let Some(document) = state.document() else {
        return;
    };
    let limited = document.services.iter().filter(|s| s.rate.is_some());
    join_all(limited.map(|service| renew(state, service))).await;
}

async fn renew(state: &Arc<EntryState>, service: &Service) {
    let sent = state.clock.now();
    let arrivals = state.admission.take_arrivals(&service.name);
    let ShareStep::Ask { demand } = state.shares.record_arrivals(&service.name, arrivals, sent)
    else {
        return;
    };
    let own = &state.settings.name;
    let grant = match granter_address(state, &service.name) {
        None => Some(state.shares.grant(own, service, demand, sent)),
        Some(address) => request_share(state, address, service, demand).await,
    };
    if let Some(grant) = grant {
        state.shares.set_grant(&service.name, grant, sent);
    }
}

/// Returns the address of the entry that grants a service's shares; `None` when it is this one.
fn granter_address(state: &EntryState, service: &ServiceName) -> Option<SocketAddr> {
    let own = &state.settings.name;
    let entries = state.serving_entries();
    let names = entries.keys().chain(std::iter::once(own));
    let granter = *rendezvous(service.as_str(), names).first()?;
    (granter != own).then(|| entries.get(granter).copied())?
}

async fn request_share(
    state: &EntryState,
    address: SocketAddr,
    service: &Service,
    demand: f64,
) -> Option<ShareGrant> {
    let client = state.rpc_client_for(address)?;
    let own = state.settings.name.clone();
    match client.share(own, service.name.clone(), demand).await {
        Ok(grant) => Some(grant),
        Err(error) => {
            debug!(target: "admission", "admission: no share granted by {address}: {error}");
            None
        }
    }
}
