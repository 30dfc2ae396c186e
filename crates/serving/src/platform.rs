//! What an adapter of a platform provides: the feed of objects, the wire's names and the engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use derive_more::{Display, Error};
use http::{HeaderMap, StatusCode};
use kumquatkeel_core::serving::{
    CallerRequest, EngineOrder, EngineReport, ServingConfig, Target, TargetId,
};

/// Says that a call to the platform or a target failed.
#[derive(Debug, Clone, Display, Error)]
#[display("{step} at {peer}: {reason}")]
pub struct PlatformError {
    /// The step.
    pub step: &'static str,
    /// The peer.
    pub peer: SocketAddr,
    /// The cause.
    pub reason: String,
    /// Whether the peer says that the history to watch from is gone.
    pub history_gone: bool,
}

impl PlatformError {
    /// Makes an error of a step at a peer.
    pub fn new(step: &'static str, peer: SocketAddr, reason: impl Into<String>) -> Self {
        Self {
            step,
            peer,
            reason: reason.into(),
            history_gone: false,
        }
    }
}

/// Which objects a feed carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum FeedKind {
    /// The configuration.
    #[display("configuration")]
    Config,
    /// The list of targets.
    #[display("targets")]
    Targets,
}

/// One object of a feed, decoded.
#[derive(Debug, Clone, PartialEq)]
pub enum FeedItem {
    /// A configuration, with the store's revision of the object.
    Config {
        /// The configuration.
        config: Box<ServingConfig>,
        /// The revision of the object's last change.
        revision: u64,
    },
    /// A target as listed.
    Target(Target),
    /// A target's entry is gone.
    TargetRemoved(TargetId),
    /// An object that names nothing usable, by its name, with the reason.
    Unusable {
        /// The object's name.
        name: Arc<str>,
        /// What is wrong with it.
        reason: String,
    },
}

/// Objects as of a revision of the store.
#[derive(Debug, Clone, PartialEq)]
pub struct FeedBatch {
    /// The objects or changes, in order.
    pub items: Vec<FeedItem>,
    /// The revision to watch from.
    pub revision: u64,
}

/// Whether a read may be older than the store's last change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadMode {
    /// The answer holds all acknowledged changes.
    Linearizable,
    /// The answer may be seconds old; cheaper.
    Stale,
}

/// The platform's store, as a source of configuration and targets.
#[async_trait]
pub trait ObjectFeed: Send + Sync {
    /// Reads all objects of a kind.
    async fn list(&self, kind: FeedKind, mode: ReadMode) -> Result<FeedBatch, PlatformError>;

    /// Waits for changes after `revision`, at most for `wait`.
    async fn watch(
        &self,
        kind: FeedKind,
        mode: ReadMode,
        revision: u64,
        wait: Duration,
    ) -> Result<FeedBatch, PlatformError>;
}

/// What the entry adds to a request that it sends to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardOptions {
    /// The incarnation that is meant.
    pub target: TargetId,
    /// What is left of the caller's time.
    pub timeout: Duration,
    /// The engine's priority, from 0 (first) to 9.
    pub priority: Option<u8>,
    /// The last event that the caller has, for a stream that goes on.
    pub resume_after: Option<u64>,
}

/// What a target's answer says besides its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// The request ran to a success with the target's signature.
    Success,
    /// The target says that it did not run the request.
    NotRun,
    /// The target says that it is not the incarnation that was meant.
    WrongTarget,
    /// The target answers with a failure of its own that may be passed on.
    Failure,
    /// The answer belongs to another request or can't be a target's.
    Invalid,
}

/// Why a caller's request can't be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum RequestError {
    /// The request has no attempt id.
    #[display("no attempt id")]
    MissingAttemptId,
    /// A header of the platform can't be read.
    #[display("unreadable header")]
    InvalidHeader,
}

/// The names and forms of the platform's HTTP messages.
pub trait Dialect: Send + Sync {
    /// Reads the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns a fault when a header that the request needs is missing or can't be read.
    fn read_request(&self, headers: &HeaderMap) -> Result<CallerRequest, RequestError>;

    /// Turns a caller's headers into those for a target: drops what only the system may set and
    /// what concerns one connection, and adds the terms.
    fn write_request(&self, headers: &HeaderMap, terms: &ForwardOptions) -> HeaderMap;

    /// Reads the head of a target's answer to the request with this attempt id.
    fn classify_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        attempt: &str,
    ) -> ResponseClass;

    /// Returns the headers of a target's answer that go to the caller.
    fn relay_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Says whether a path asks for the entry's readiness.
    fn is_readiness(&self, path: &str) -> bool;
}

/// What an engine says to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum OrderReply {
    /// The engine carries it out.
    #[display("accepted")]
    Accepted,
    /// What it asks for already holds.
    #[display("holds")]
    AlreadyApplied,
    /// Another order is in progress, or orders were accepted in between.
    #[display("conflict")]
    Conflict,
    /// The engine refuses the order for good.
    #[display("refused")]
    Refused,
}

/// What a target says about itself to its agent.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetStatus {
    /// The incarnation's start in Unix milliseconds; 0 if not told.
    pub born: u64,
    /// The engine's state.
    pub report: EngineReport,
}

/// The target beside an agent.
#[async_trait]
pub trait EngineClient: Send + Sync {
    /// Reads the target's state.
    async fn report(&self) -> Result<TargetStatus, PlatformError>;

    /// Gives an order to the incarnation `target`.
    async fn order(
        &self,
        target: &TargetId,
        order: &EngineOrder,
    ) -> Result<OrderReply, PlatformError>;
}
