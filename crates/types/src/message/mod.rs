//! Messages between the system's own processes.
//!
//! Control messages travel as JSON-RPC; work travels as an HTTP request whose answer is a stream of
//! [`AttemptEvent`], one JSON object a line.

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
