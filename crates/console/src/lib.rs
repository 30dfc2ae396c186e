//! The operators' console: plain forms whose output is one validated document.
//!
//! Each page edits one list of the document. A page is made from the document's own
//! serialisation, so a new field shows up without code here. What a page sends is read back along a
//! blank item of the list, put into the document in force and checked as a whole, with the same
//! check as `kumquatkeel check`; faults are shown beside their fields.
//!
//! ```
//! use kumquatkeel_console::{Page, Section, render};
//! use kumquatkeel_types::document::RawDocument;
//!
//! let document = serde_json::to_value(RawDocument::default())?;
//! let html = render(&Page::new(Section::Models, &document));
//! assert!(html.contains("Add"));
//! # Ok::<(), serde_json::Error>(())
//! ```

mod blank;
mod form;
mod page;
mod section;
mod value;

pub use form::{Form, FormAction, FormError, Submission, read_form};
pub use page::{Notice, Page, render};
pub use section::Section;
pub use value::document_of;
