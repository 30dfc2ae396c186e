//! Datagrams between entries and agents.
//!
//! All state is sent again and again, so a lost datagram only delays it. A datagram that is older
//! than one already seen from the same incarnation is ignored.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use kumquatkeel_core::serving::{
    AdapterKey, Backlog, EngineReport, LoadCommand, ModelDemand, TargetId,
};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 8 * 1024;

/// Identifies one incarnation of a process and counts what it sends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Stamp {
    /// Drawn at random at start.
    pub incarnation: u64,
    /// Grows with each datagram.
    pub count: u64,
}

impl Stamp {
    /// Returns the first stamp of a process.
    pub fn start() -> Self {
        Self {
            incarnation: rand::random(),
            count: 0,
        }
    }

    /// Returns the stamp of the next datagram.
    #[must_use]
    pub fn advance(&mut self) -> Self {
        self.count += 1;
        *self
    }

    /// Says whether a datagram with this stamp is newer than the last one seen.
    pub const fn is_newer_than(self, last: Self) -> bool {
        self.incarnation != last.incarnation || self.count > last.count
    }
}

/// An entry's state for the agent of one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EntryHeartbeat {
    /// The sender's stamp.
    pub stamp: Stamp,
    /// The target that the beat is about.
    pub target: TargetId,
    /// The work that the entry has sent to the target.
    pub backlog: Backlog,
    /// Adapters in use at the target since the last beat.
    pub adapters: Vec<AdapterKey>,
    /// Whether the entry is in another region, and is told less often.
    pub remote: bool,
    /// The demand of the entry's callers; only a planner is told.
    pub demand: Vec<ModelDemand>,
}

/// An agent's state, for entries and other agents.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AgentHeartbeat {
    /// The sender's stamp.
    pub stamp: Stamp,
    /// The target beside the agent.
    pub target: TargetId,
    /// The engine's state, without the list of cached models.
    pub report: EngineReport,
    /// The models whose weights the machine keeps; not with each beat.
    pub cached: Option<Vec<Arc<str>>>,
    /// Whether the agent plans placement.
    pub planner: bool,
    /// The number of entries that the agent knows.
    pub entries: u16,
    /// The work of all other entries at the target.
    pub others: Backlog,
    /// The pause between two beats to the receiver, in milliseconds.
    pub interval_ms: u16,
}

/// Asks an agent to load an adapter.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AdapterRequest {
    /// The target that is meant.
    pub target: TargetId,
    /// The adapter.
    pub adapter: AdapterKey,
}

/// Tells an agent the entry's work at its target, whenever it changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BacklogUpdate {
    /// The sender's stamp.
    pub stamp: Stamp,
    /// The target that is meant.
    pub target: TargetId,
    /// The work that the entry has sent there.
    pub backlog: Backlog,
}

/// Asks an agent for the work of other entries, just before a request is sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BacklogQuery {
    /// The target that is meant.
    pub target: TargetId,
}

/// An agent's answer to a [`BacklogQuery`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BacklogReply {
    /// The target.
    pub target: TargetId,
    /// The work of all other entries there.
    pub others: Backlog,
    /// KV memory that can't yield, in tokens.
    pub kv_used: u64,
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Datagram {
    /// From an entry to an agent.
    Entry(EntryHeartbeat),
    /// From an agent to entries, and to agents that may plan.
    Agent(AgentHeartbeat),
    /// From an agent to the other agents: it is there.
    Alive(Stamp),
    /// From an entry to an agent.
    Want(AdapterRequest),
    /// From the planner to an agent.
    Load(LoadCommand),
    /// From an entry to an agent.
    Note(BacklogUpdate),
    /// From an entry to an agent.
    Query(BacklogQuery),
    /// From an agent to an entry.
    Count(BacklogReply),
}

/// A socket for datagrams.
#[derive(Debug)]
pub struct GossipSocket {
    socket: UdpSocket,
}

impl GossipSocket {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket })
    }

    /// Returns the socket's address.
    ///
    /// # Errors
    ///
    /// Returns an error when the system does not tell it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a datagram if the socket takes it at once; a later one carries the same state.
    pub fn send(&self, to: SocketAddr, datagram: &Datagram) {
        match postcard::to_allocvec(datagram) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM => {
                if let Err(error) = self.socket.try_send_to(&bytes, to) {
                    log::debug!(peer:% = to, error:%; "datagram not sent");
                }
            }
            Ok(bytes) => log::warn!(peer:% = to, bytes = bytes.len(); "datagram is too large"),
            Err(error) => log::warn!(peer:% = to, error:%; "datagram not encoded"),
        }
    }

    /// Waits for the next datagram that can be read.
    pub async fn receive(&self) -> (SocketAddr, Datagram) {
        let mut buffer = [0; MAX_DATAGRAM];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((size, from)) => match postcard::from_bytes(&buffer[..size]) {
                    Ok(datagram) => return (from, datagram),
                    Err(error) => log::warn!(peer:% = from, error:%; "datagram not read"),
                },
                Err(error) => {
                    // A refused datagram is reported on the next read.
                    log::debug!(error:%; "datagram socket");
                    tokio::task::yield_now().await;
                }
            }
        }
    }
}
