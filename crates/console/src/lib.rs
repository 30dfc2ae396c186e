//! The operators' console: HTML forms that edit the configuration document.
//!
//! Each page edits one list of the document and is rendered from the document's JSON. A submitted
//! form is read with a blank item of the list as its template, merged into the document in force
//! and validated as a whole, by the same rules as `kumquatkeel check`. Faults are shown beside
//! their fields. The entry serves the pages and commits the result.
//!
//! A field that the blank item lacks is neither shown nor kept when a form is submitted, so a new
//! field of the document needs a place in its blank item.
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
