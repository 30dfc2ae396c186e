//! HTTP client of the instance list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{Request, StatusCode};

use super::HttpOptions;
use super::transport::{Call, Transport};
use crate::wire::WireInstances;
use crate::{CallCounts, CallKind, InstanceList, InstanceRecord, StoreError};

/// Client of the platform's instance list over HTTP.
#[derive(Debug, Clone)]
pub struct HttpInstanceList {
    transport: Transport,
}

impl HttpInstanceList {
    /// Creates a client of the instance list at `address`; it adds its calls to `counts`.
    pub fn new(address: SocketAddr, options: HttpOptions, counts: Arc<CallCounts>) -> Self {
        Self {
            transport: Transport::new(address, options, counts),
        }
    }
}

#[async_trait]
impl InstanceList for HttpInstanceList {
    async fn instances(&self) -> Result<Vec<InstanceRecord>, StoreError> {
        const STEP: &str = "read instance list";
        let kind = CallKind::Instances;
        let call = Call {
            step: STEP,
            kind,
            request: Request::get(self.transport.uri("/v1/instances")),
            body: Bytes::new(),
            wait: Duration::ZERO,
        };
        let reply = self.transport.send(call).await?;
        if reply.status != StatusCode::OK {
            return Err(self.transport.unexpected((STEP, kind), &reply));
        }
        let wire: WireInstances = self.transport.decode(STEP, &reply)?;
        Ok(wire.instances)
    }
}
