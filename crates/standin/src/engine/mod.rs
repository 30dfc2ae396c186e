//! The engines' stand-in: continuous batching, orders, load reports and cache events, with faults.
//!
//! Its answers are a pure function of the request, so that anyone can compute the text that a
//! whole answer has:
//!
//! ```
//! use kumquatkeel_standin::engine::Prompt;
//!
//! let prompt = Prompt::new("puzzle-8b", "2", "A box of 500 pieces").with_seed(7);
//! let whole = prompt.expected(64);
//! assert_eq!(whole, prompt.expected(64));
//! assert!(whole.tokens.len() <= 64);
//! ```

mod accelerators;
mod batch;
mod events;
mod faults;
mod options;
mod record;
mod run;
mod runner;
mod server;
mod tokens;
mod weights;

pub use accelerators::{Accelerators, Start};
pub use batch::{Batch, Entered};
pub use events::PrefixCache;
pub use faults::{EngineCall, EngineFault, EngineFaults};
pub use options::EngineOptions;
pub use record::{EngineRecord, MemoryViolation, OrderRecord, RunEnd, RunRecord};
pub use runner::{Engine, EngineError};
pub use server::EngineServer;
pub use tokens::{ExpectedAnswer, Prompt};
pub use weights::WeightStore;
