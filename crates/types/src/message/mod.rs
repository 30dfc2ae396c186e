//! Messages between the system's own processes.
//!
//! Control messages are JSON-RPC calls. A [`Dispatch`] is the body of an HTTP request from an entry
//! to an agent; the response body is a stream of [`AttemptEvent`], one JSON object per line.

mod demand;
mod dispatch;
mod fence;
mod member;
mod order;
mod probe;
mod spread;

pub use demand::{DemandReport, ModelDemand};
pub use dispatch::{
    AttemptEvent, CompletionWork, Dispatch, FinishReason, NotRunReason, PlainWork, Work,
};
pub use fence::{FenceReply, FenceRequest};
pub use member::{Member, MemberState, MemberVersion, ReplicaState, Residency, Role, TargetStatus};
pub use order::{Order, OrderAction, OrderReply, OrderResult};
pub use probe::{LoadSummary, ProbeReply, ProbeRequest};
pub use spread::{ConfigUpdate, PollReply, PollRequest, Snapshot};
