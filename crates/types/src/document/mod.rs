//! The configuration document: services, the models that serve them, and the targets that run them.
//!
//! An operator writes a [`RawDocument`] in JSON with comments. Daemons use the validated form,
//! [`Document`]; the conversion reports all faults, each with the path of its field. Committed
//! changes reach the daemons as [`Delta`]s.

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
