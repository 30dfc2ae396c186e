//! HTTP clients of the platform.

mod list;
mod store;
mod transport;

pub use list::HttpInstanceList;
pub use store::HttpObjectStore;
pub use transport::HttpOptions;
