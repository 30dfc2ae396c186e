//! UDP datagrams between entries and agents.
//!
//! All state is sent periodically, so a lost datagram only delays it. A datagram that is older
//! than one already seen from the same incarnation is ignored.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kumquatkeel_core::quarantine::{Suspect, Verdict};
use kumquatkeel_core::serving::{
    AccountAsk, AccountDecision, AdapterKey, AdmissionDecision, AdmissionRank, Backlog, Competitor,
    EngineReport, Incarnation, LimitTable, ListNotice, LoadCommand, ModelDemand, OriginTable,
    PermitDecision, RequestRate, StreamOrigin, TargetId, Urgency,
};
use kumquatkeel_types::Timestamp;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Most models whose demand one heartbeat states, so that it fits into a datagram.
pub const MAX_DEMANDS: usize = 256;

/// Orders the datagrams of one incarnation of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Stamp {
    /// A random number drawn when the process starts.
    pub incarnation: u64,
    /// The sequence number; it grows with each datagram.
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

    /// Returns whether a datagram with this stamp is newer than the last one `seen`; another
    /// incarnation always is.
    pub const fn is_newer_than(self, seen: Self) -> bool {
        self.incarnation != seen.incarnation || self.count > seen.count
    }
}

/// An entry's periodic heartbeat to the agent of one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EntryHeartbeat {
    /// The sender's stamp.
    pub stamp: Stamp,
    /// The incarnation of the target that `backlog` and `adapters` refer to.
    pub target: TargetId,
    /// The entry's backlog at the target.
    pub backlog: Backlog,
    /// Adapters used at the target since the last heartbeat.
    pub adapters: Vec<AdapterKey>,
    /// Whether the entry is in another region than the target; the agent then sends less often.
    pub remote: bool,
    /// The demand of the entry's callers; empty unless the agent is the planner.
    pub demand: Vec<ModelDemand>,
}

/// An agent's periodic heartbeat to entries and other agents.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AgentHeartbeat {
    /// The sender's stamp.
    pub stamp: Stamp,
    /// The target beside the agent.
    pub target: TargetId,
    /// The engine's state; its list of cached models is empty here and travels in `cached`.
    pub report: EngineReport,
    /// The models whose weights the instance caches; `None` in most heartbeats, to save bytes.
    pub cached: Option<Vec<Arc<str>>>,
    /// Whether the agent is the planner.
    pub planner: bool,
    /// The number of entries that the agent has heard from recently.
    pub entries: u16,
    /// The backlog of all entries but the receiver at the target.
    pub others: Backlog,
    /// The interval between two heartbeats to the receiver, in milliseconds.
    pub interval_ms: u16,
}

/// Asks an agent to load an adapter.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AdapterRequest {
    /// The incarnation that is to load the adapter; the agent of another one ignores the request.
    pub target: TargetId,
    /// The adapter to load.
    pub adapter: AdapterKey,
}

/// Announces an entry's backlog at the agent's target whenever it changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BacklogUpdate {
    /// The sender's stamp.
    pub stamp: Stamp,
    /// The incarnation that the backlog refers to.
    pub target: TargetId,
    /// The entry's backlog at the target.
    pub backlog: Backlog,
}

/// Asks an agent for the backlog of the other entries, just before a request is sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BacklogQuery {
    /// The incarnation that is asked about; the agent of another one doesn't answer.
    pub target: TargetId,
}

/// An agent's answer to a [`BacklogQuery`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BacklogReply {
    /// The incarnation that the answer is about.
    pub target: TargetId,
    /// The backlog of all entries but the receiver at the target.
    pub others: Backlog,
    /// KV memory that can't be reclaimed, in tokens.
    pub kv_used: u64,
}

/// The origin of a stream; an entry has agents keep it before the first event is passed on, and an
/// agent answers an [`OriginQuery`] with it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct OriginRecord {
    /// The caller's attempt that began the stream.
    pub attempt: Arc<str>,
    /// Where the stream began.
    pub origin: StreamOrigin,
    /// How much longer the stream may be resumed, in milliseconds.
    pub life_ms: u32,
}

impl OriginRecord {
    /// Creates the record of a stream that may be resumed until `until`.
    pub fn new(attempt: Arc<str>, origin: StreamOrigin, until: Timestamp, now: Timestamp) -> Self {
        let life = until.since(now).as_millis();
        Self {
            attempt,
            origin,
            life_ms: u32::try_from(life).unwrap_or(u32::MAX),
        }
    }

    /// Returns how much longer the stream may be resumed.
    pub fn life(&self) -> Duration {
        Duration::from_millis(u64::from(self.life_ms))
    }

    /// Adds the record to a table.
    pub fn insert_into(self, table: &mut OriginTable, now: Timestamp) {
        let until = now.after(self.life());
        table.record(self.attempt, self.origin, until, now);
    }
}

/// Asks an agent for the origin of a stream; an agent that doesn't know it sends no answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct OriginQuery {
    /// The caller's attempt that began the stream.
    pub attempt: Arc<str>,
}

/// Reports that an incarnation of a target has crashed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CrashReport {
    /// The incarnation that crashed.
    pub target: TargetId,
    /// The requests that the sender had there and the shared parts of their prompts, without those that
    /// the sender has seen complete.
    pub suspects: Vec<Suspect>,
}

/// What the sender knows of requests that crash targets.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct QuarantineNotice {
    /// Suspects that were at a crash; entries answer with those that they have seen complete. Only
    /// agents send them.
    pub suspects: Vec<Suspect>,
    /// The verdicts that the sender knows.
    pub verdicts: Vec<Verdict>,
}

/// What a target last stated about the rate of requests that it accepts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LimitRecord {
    /// The incarnation that stated it.
    pub target: TargetId,
    /// The limit; `None` if the target names none any more.
    pub rate: Option<RequestRate>,
    /// How long ago the target stated it, in milliseconds.
    pub age_ms: u32,
}

impl LimitRecord {
    /// Returns what a table has on a target; `None` if the target has never named a limit.
    pub fn from_table(table: &LimitTable, target: &TargetId, now: Timestamp) -> Option<Self> {
        let (rate, stated) = table.statement(target)?;
        Some(Self {
            target: target.clone(),
            rate,
            age_ms: now.since(stated).as_millis().min(u128::from(u32::MAX)) as u32,
        })
    }

    /// Takes the record over into a table; returns whether the limit changed.
    pub fn merge_into(&self, table: &mut LimitTable, now: Timestamp) -> bool {
        let age = Duration::from_millis(u64::from(self.age_ms));
        let stated = Timestamp::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64));
        table.merge(&self.target, self.rate, stated)
    }
}

/// Asks for a permit to send a request to a target that names a limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PermitRequest {
    /// Identifies the request among those of the sender.
    pub number: u64,
    /// The limit as the sender knows it.
    pub limit: LimitRecord,
    /// The urgency of the caller's request.
    pub urgency: Urgency,
    /// How long the caller's request may wait for the permit, in milliseconds.
    pub patience_ms: u32,
}

/// The answer to a [`PermitRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PermitReply {
    /// The number of the [`PermitRequest`] that is answered.
    pub number: u64,
    /// The limit as the issuer knows it; `None` if the target has never named one.
    pub limit: Option<LimitRecord>,
    /// Whether and when the request may be sent.
    pub decision: PermitDecision,
}

/// Asks the agent beside an engine of a paced service to admit a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AdmitRequest {
    /// Identifies the request among those of the sender; a repetition has the same number.
    pub number: u64,
    /// The incarnation that the request is for.
    pub target: TargetId,
    /// The request's rank among those that wait.
    pub rank: AdmissionRank,
    /// The account on whose behalf the request is sent, if it has a limit.
    pub competitor: Option<Competitor>,
    /// The predicted prefill time, in microseconds.
    pub prefill_us: u32,
    /// Time left until the objective, in milliseconds.
    pub objective_ms: u32,
    /// Longest time that the request can wait, in milliseconds.
    pub max_wait_ms: u32,
}

/// The answer to an [`AdmitRequest`]; one that is queued is followed by another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AdmitReply {
    /// The number of the [`AdmitRequest`] that is answered.
    pub number: u64,
    /// Whether the request may be sent.
    pub decision: AdmissionDecision,
    /// The backlog of all entries but the receiver at the target.
    pub others: Backlog,
}

/// States that a request has its first token, or that it won't be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AdmitEnd {
    /// The number of the [`AdmitRequest`] that is over.
    pub number: u64,
}

/// Asks to spend on behalf of an account with a limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AccountRequest {
    /// A random number drawn when the sender starts.
    pub incarnation: u64,
    /// Identifies the request among those of the sender; the same if it is sent again.
    pub number: u64,
    /// What is asked for.
    pub ask: AccountAsk,
}

/// States that the issuer of an account has not replied so far.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SilenceNotice {
    /// The account whose issuer is silent, by its name in the configuration.
    pub account: Arc<str>,
    /// How long ago the issuer was asked, in milliseconds.
    pub silent_ms: u32,
}

/// The answer to an [`AccountRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AccountReply {
    /// The number of the [`AccountRequest`] that is answered.
    pub number: u64,
    /// Whether the account has paid, when to come back, or which agent to ask instead.
    pub decision: AccountDecision,
}

/// A datagram, encoded with postcard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Datagram {
    /// From an entry to an agent: heartbeat.
    Entry(EntryHeartbeat),
    /// From an agent to entries and to agents that are candidates for planner: heartbeat.
    Agent(AgentHeartbeat),
    /// From an agent to the agents that are no candidates for planner: it is alive.
    Alive(Stamp),
    /// From an entry to an agent: an adapter to load.
    Want(AdapterRequest),
    /// From the planner to an agent: a model to load.
    Load(LoadCommand),
    /// From an entry to an agent: the entry's backlog has changed.
    Note(BacklogUpdate),
    /// From an entry to an agent: question for the other entries' backlog.
    Query(BacklogQuery),
    /// From an agent to an entry: answer to a query.
    Count(BacklogReply),
    /// From an entry to an agent: a stream has begun.
    Began(OriginRecord),
    /// From an entry to an agent: question for the origin of a stream.
    FindOrigin(OriginQuery),
    /// From an agent to an entry: answer to a question for an origin.
    Origin(OriginRecord),
    /// From an entry to an agent: a target has crashed.
    Crash(CrashReport),
    /// From an entry to an agent: requests with these suspects have completed.
    Sound(Vec<Suspect>),
    /// From an entry to an agent and back: suspects and verdicts.
    Quarantine(QuarantineNotice),
    /// From an entry to the agent that issues permits for a target: request for a permit.
    Permit(PermitRequest),
    /// From an agent to an entry: answer to a request for a permit.
    PermitReply(PermitReply),
    /// From an entry to the agent that issues permits for a target: the target's limit has changed.
    Limit(LimitRecord),
    /// From the agent that issues permits to entries and other agents: a target's limit.
    LimitNotice(LimitRecord),
    /// From an entry to the agent beside a target, and from that agent to entries and to agents that are
    /// candidates for planner: the incarnation has stated that it leaves.
    Leaving(Incarnation),
    /// From a relay of the list of targets to the entries of its region: the last urgent change.
    List(ListNotice),
    /// From an entry to an agent: request for admission to the engine.
    Admit(AdmitRequest),
    /// From an agent to an entry: answer to a request for admission.
    AdmitReply(AdmitReply),
    /// From an entry to an agent: the prefill of an admitted request is over.
    AdmitEnd(AdmitEnd),
    /// From an entry to the agent that issues what an account spends: request.
    Account(AccountRequest),
    /// From an agent to an entry: answer to a request to spend.
    AccountReply(AccountReply),
    /// From an entry to the agent that may replace an account's issuer: that has not replied so far.
    IssuerSilent(SilenceNotice),
    /// From an agent to another: question whether it is alive.
    Probe,
    /// From an agent to another: it is alive.
    ProbeReply,
}

/// Most suspects in one notice.
const MAX_SUSPECTS: usize = 32;
/// Most verdicts in one notice.
const MAX_VERDICTS: usize = 64;

/// Sends a notice, in several datagrams if it has many verdicts; of the suspects only the first are
/// sent.
pub fn send_notice(
    socket: &GossipSocket,
    to: SocketAddr,
    suspects: &[Suspect],
    verdicts: &[Verdict],
) {
    let mut suspects = suspects[..suspects.len().min(MAX_SUSPECTS)].to_vec();
    let mut rest = verdicts.chunks(MAX_VERDICTS);
    loop {
        let notice = QuarantineNotice {
            suspects: std::mem::take(&mut suspects),
            verdicts: rest.next().unwrap_or_default().to_vec(),
        };
        socket.send(to, &Datagram::Quarantine(notice));
        if rest.len() == 0 {
            return;
        }
    }
}

/// The UDP socket for datagrams.
#[derive(Debug)]
pub struct GossipSocket {
    socket: UdpSocket,
    /// Datagrams that could not be sent for their size, or not be decoded.
    faults: AtomicU64,
}

impl GossipSocket {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let faults = AtomicU64::new(0);
        Ok(Self { socket, faults })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error when the system can't report the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a datagram if the socket accepts it without waiting, and drops it otherwise, as a
    /// later one carries the same state.
    pub fn send(&self, to: SocketAddr, datagram: &Datagram) {
        match postcard::to_allocvec(datagram) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => {
                if let Err(error) = self.socket.try_send_to(&bytes, to) {
                    log::debug!(peer:% = to, error:%; "datagram not sent");
                }
            }
            Ok(bytes) => {
                if let Some(faults) = self.count_fault() {
                    log::warn!(peer:% = to, bytes = bytes.len(), faults; "datagram too large");
                }
            }
            Err(error) => log::warn!(peer:% = to, error:%; "datagram not encoded"),
        }
    }

    /// Counts a fault; returns the number of faults if this one is to be logged. A peer of another build or
    /// a stranger may send many.
    fn count_fault(&self) -> Option<u64> {
        let faults = self.faults.fetch_add(1, Ordering::Relaxed) + 1;
        faults.is_power_of_two().then_some(faults)
    }

    /// Waits for the next datagram that can be decoded; counts others, and logs some of them.
    pub async fn receive(&self) -> (SocketAddr, Datagram) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((size, from)) => match postcard::from_bytes(&buffer[..size]) {
                    Ok(datagram) => return (from, datagram),
                    Err(error) => {
                        if let Some(faults) = self.count_fault() {
                            log::warn!(peer:% = from, size, error:%, faults; "datagram not decoded");
                        }
                    }
                },
                Err(error) => {
                    // The error may come from an earlier send that the peer's host refused.
                    log::debug!(error:%; "receiving a datagram failed");
                    tokio::task::yield_now().await;
                }
            }
        }
    }
}
