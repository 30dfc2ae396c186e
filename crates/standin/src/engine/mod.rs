//! Stand-in of the inference engines: continuous batching, load and unload orders, load reports and
//! cache events, with fault injection.
//!
//! An answer is a pure function of the request, so that a test can compute the expected text:
//!
//! ```
//! use kumquatkeel_standin::engine::Prompt;
//!
//! let prompt = Prompt::new("puzzle-8b", "2", "A box of 500 pieces").with_seed(7);
//! let answer = prompt.expected(64);
//! assert_eq!(answer, prompt.expected(64));
//! assert!(answer.tokens.len() <= 64);
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

pub use accelerators::{Accelerators, OrderStart};
pub use batch::{Batch, RequestState};
pub use events::PrefixCache;
pub use faults::{EngineCall, EngineFault, EngineFaults};
pub use options::EngineOptions;
pub use record::{EngineRecord, MemoryViolation, OrderRecord, RunEnd, RunRecord};
pub use runner::{Engine, EngineError};
pub use server::EngineServer;
pub use tokens::{ExpectedAnswer, Prompt};
pub use weights::WeightStore;
