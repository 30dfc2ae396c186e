//! What operators may do: read and replace the document, read status and burn.

mod desk;
mod store_desk;

pub use desk::{NoDesk, OperatorDesk};
pub use store_desk::StoreDesk;
