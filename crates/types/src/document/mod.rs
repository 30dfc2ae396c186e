//! The operators' document: what is served, by which models, on which targets.
//!
//! [`RawDocument`] is what an operator writes, in JSON with comments. [`Document`] is the checked
//! form that every daemon works from. The conversion reports all faults, each with the path of its
//! field.

mod check;
mod checked;
mod delta;
mod fault;
mod raw;

pub use checked::{Document, Offer};
pub use delta::{Change, Delta, Item, ItemKey};
pub use fault::{Fault, Faults};
pub use raw::{
    Adapter, CallerEntry, Deployment, Fencing, Model, Operator, Policy, RawDocument, Region,
    ServedModel, Service, ServiceKind, Target, TargetKind,
};
